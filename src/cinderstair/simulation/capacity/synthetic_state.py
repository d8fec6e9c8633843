"""Synthetic state of any size, as a proxy and a controller would hold it."""

from ...config.service_plan import PLAN_KEY, Consistency, DatabaseRoute, Service, ServicePlan
from ...consensus.ballot import Ballot
from ...failover.proxy_ids import PROXY_IDS_KEY, ProxyId, ProxyIds
from ...failover.service_primary import PrimaryState, ServicePrimary, service_primary_key
from ...membership.announcement import Announcement
from ...membership.relay_record import RelayAnswer, RelayedBackend, RelayedValue
from .naming import LINK_CAP, REPLICAS, backend_name, proxy_name, service_name, zone_of

BALLOT = Ballot(7, 1 << 60)


def plan_of(*, version: int, databases: int) -> ServicePlan:
    """Returns a plan with a route and a service for each database."""
    routes = [
        DatabaseRoute(
            database=f"ledger-{number:04}.pool.example",
            service=service_name(number=number),
            consistency=Consistency(number % 3),
            time_limit_us=2_000_000,
            rank=1,
            max_age_us=1_500_000,
        )
        for number in range(databases)
    ]
    services = [Service(name=service_name(number=n), link_cap=LINK_CAP, confirmations=1) for n in range(databases)]
    return ServicePlan(
        version=version,
        routes={route.database: route for route in routes},
        services={service.name: service for service in services},
        idle_transaction_limit_us=10_000_000,
    )


def proxy_ids_of(*, proxies: int) -> ProxyIds:
    """Numbers the proxies in the order of their names."""
    return ProxyIds(names=tuple(ProxyId(number, proxy_name(number=number)) for number in range(proxies)))


def assignment_of(*, database: int, term: int = 1) -> ServicePrimary:
    """Assigns a database's first replica as primary."""
    primary = backend_name(service=database, replica=REPLICAS[0])
    return ServicePrimary(term=term, primary=primary, state=PrimaryState.settled)


def announcements_of(*, databases: int) -> list[Announcement]:
    """Returns the announcements of all backends; the first of each database is primary."""
    return [
        Announcement(
            name=backend_name(service=database, replica=replica),
            number=1,
            service=service_name(number=database),
            address=f"10.{database // 250}.{database % 250}.{number + 1}:6000",
            site=zone_of(number=database + 3 * number),
            state="ready",
            is_primary=number == 0,
            capacity=100,
        )
        for database in range(databases)
        for number, replica in enumerate(REPLICAS)
    ]


def assignment_value(*, database: int, term: int = 1) -> RelayedValue:
    """Returns the primary assignment of a database as a relay sends it."""
    return RelayedValue(
        key=service_primary_key(service=service_name(number=database)),
        ballot=Ballot(BALLOT.round + term, BALLOT.proposer),
        value=assignment_of(database=database, term=term).bytes(),
    )


def full_answer(*, proxies: int, databases: int, controllers: int) -> RelayAnswer:
    """Returns the full answer of a relay to a starting proxy, in an order that a controller may use."""
    plan = RelayedValue(
        key=PLAN_KEY, ballot=BALLOT, value=plan_of(version=1, databases=databases).bytes(with_document=False)
    )
    proxy_ids = RelayedValue(key=PROXY_IDS_KEY, ballot=BALLOT, value=proxy_ids_of(proxies=proxies).bytes())
    assignments = [assignment_value(database=database) for database in range(databases)]
    return RelayAnswer(
        source=1,
        revision=1,
        age_us=0,
        full=True,
        values=(plan, *assignments, proxy_ids),
        backends=tuple(
            RelayedBackend(announcement=each, silent=False) for each in announcements_of(databases=databases)
        ),
        controllers=tuple(f"10.255.0.{number}:7000" for number in range(controllers)),
    )
