"""Writes a machine's settings as the file that the platform gives to a process (TOML; the DEPLOY page)."""

import json
from typing import Any

US_PER_MS = 1_000
US_PER_S = 1_000_000


def _table(name: str, values: dict[str, Any]) -> str:
    lines = (f"{json.dumps(key)} = {json.dumps(value)}\n" for key, value in values.items())
    return f"[{name}]\n" + "".join(lines)


def settings_text(*, machine: Any) -> str:
    """The file's text for an adapter's `MachineSettings`."""
    core = bool(machine.control)
    root = {
        "node": machine.name,
        "role": "controller" if core else "proxy",
        "machine_class": "core" if core else "edge",
        "ip": machine.ip,
        "zone": machine.site,
        "region": machine.regions[machine.site],
        "spare_ports": [machine.records_port, machine.records_port],
        "seeds": list(machine.seeds),
        "first_run": machine.first_run,
        "beat_every_ms": machine.heartbeat_interval_us // US_PER_MS,
        **({"data_folder": machine.folder} if core else {}),
    }
    addresses = {"control": machine.control} if core else {"front": machine.front, "ready": machine.ready}
    bounds = {
        "grace_s": machine.grace_us / US_PER_S,
        "catch_up_s": machine.catch_up_us / US_PER_S,
        "drain_ms": machine.drain_us // US_PER_MS,
    }
    return (
        "".join(f"{key} = {json.dumps(value)}\n" for key, value in root.items())
        + _table("zones", machine.regions)
        + _table("addresses", addresses)
        + _table("survive", {"machines": machine.losses, "zones": 0, "regions": 0})
        + _table("bounds", bounds)
        + _table("provider_api", {"address": machine.provider})
    )
