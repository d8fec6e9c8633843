"""Names and zones of emulated proxies, services and backends, and the configuration document for them."""

import json

# Seven zones in three regions; the first letter of a zone is its region.
ZONES = ("e1", "e2", "e3", "w1", "w2", "s1", "s2")
REGIONS = {zone: zone[0] for zone in ZONES}
REPLICAS = "abc"
LINK_CAP = 400


def zone_of(*, number: int) -> str:
    """Distributes instances over the zones by their numbers."""
    return ZONES[number % len(ZONES)]


def service_name(*, number: int) -> str:
    return f"ledger-{number:04}"


def backend_name(*, service: int, replica: str) -> str:
    return f"{service_name(number=service)}-{replica}"


def proxy_name(*, number: int) -> str:
    return f"booth-{number:04}"


def operator_document(*, revision: int, databases: int) -> bytes:
    """Returns a configuration document as operators submit it, with a route and a service for each database."""
    routes = [
        {
            "name": f"route-{number:04}",
            "host_name": f"ledger-{number:04}.pool.example",
            "path_start": "/",
            "sort": ("primary", "recent_enough", "self_hosted")[number % 3],
            "give_up_ms": 2_000 + revision % 100,
            "rank": 1,
            "target": service_name(number=number),
            "max_age_ms": 1_500,
        }
        for number in range(databases)
    ]
    services = [
        {"name": service_name(number=number), "max_links": LINK_CAP, "waits_for": 1} for number in range(databases)
    ]
    value = {"revision": revision, "routes": routes, "services": services, "limits": {"tx_rest_ms": 10_000}}
    return json.dumps(value).encode()
