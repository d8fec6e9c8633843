"""The shard map: which service is a database's place, where that differs from the plan's word."""

import json
from dataclasses import dataclass, field
from typing import Any

from expression import Error, Ok, Result

from ..pitch.fault import Fault
from ..pitch.kind import Kind
from ..pitch.packer import Packer
from ..pitch.unpacker import Unpacker

AGREE_PERCENT = 51


@dataclass(frozen=True, kw_only=True)
class ShardMap:
    """Version 0 is the empty map: every database stands where the plan says."""

    version: int = 0
    places: dict[str, str] = field(default_factory=dict)
    agree_percent: int = AGREE_PERCENT

    def place(self, *, database: str, planned: str) -> str:
        return self.places.get(database, planned)

    def write(self, *, packer: Packer) -> None:
        packer.u64(value=self.version).u32(value=self.agree_percent)
        packer.many(values=sorted(self.places.items()), each=lambda p, e: p.text(value=e[0]).text(value=e[1]))


def read_shard_map(*, unpacker: Unpacker) -> ShardMap:
    version, agree_percent = unpacker.u64(), unpacker.u32()
    places = dict(unpacker.many(each=lambda u: (u.text(), u.text())))
    return ShardMap(version=version, places=places, agree_percent=agree_percent)


def broken(*, why: str) -> Result[ShardMap, Fault]:
    return Error(Fault(kind=Kind.brokenConfiguration, why=why))


def _texts(value: dict[Any, Any]) -> bool:
    return all(isinstance(service, str) and service and database for database, service in value.items())


def check_shard_map(*, raw: bytes) -> Result[ShardMap, Fault]:
    """An operator's document, checked whole: `version`, `places`, and perhaps `agree_percent`."""
    try:
        document = json.loads(raw)
    except (ValueError, RecursionError) as error:
        return broken(why=f"not JSON: {error}")
    if not isinstance(document, dict):
        return broken(why="/: not an object")
    unknown = sorted(set(document) - {"version", "places", "agree_percent"})
    if unknown:
        return broken(why=f"/{unknown[0]}: not known")
    version, places = document.get("version"), document.get("places")
    percent = document.get("agree_percent", AGREE_PERCENT)
    if not isinstance(version, int) or isinstance(version, bool) or not 0 < version < 2**63:
        return broken(why="/version: a whole number above 0 is needed")
    if not isinstance(places, dict) or not _texts(places):
        return broken(why="/places: databases and their services are needed")
    # why: with half or less, two maps could each be agreed on by others
    if not isinstance(percent, int) or isinstance(percent, bool) or not 50 < percent <= 100:
        return broken(why="/agree_percent: a whole number from 51 to 100 is needed")
    return Ok(ShardMap(version=version, places=places, agree_percent=percent))
