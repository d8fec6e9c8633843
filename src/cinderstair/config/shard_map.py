"""The shard map: which service is a database's place, where that differs from the plan's word."""

import json
import re
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from expression import Error, Ok, Result

from ..runtime.errors import CinderstairError, ErrorCode
from ..runtime.packer import Packer
from ..runtime.unpacker import Unpacker

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


def line_of_name(*, text: str, name: str, nth: int = 1) -> int:
    """The line of a document on which a name stands for the nth time; 0 where it doesn't."""
    start = max(0, text.find('"places"'))
    forms = {json.dumps(name), json.dumps(name, ensure_ascii=False)}
    found = list(re.finditer("(?:" + "|".join(map(re.escape, sorted(forms))) + r")\s*:", text[start:]))
    if len(found) < nth:
        return 0
    return text.count("\n", 0, start + found[nth - 1].start()) + 1


def named_twice(*, raw: bytes) -> list[str]:
    """The names that an object holds more than once, of which JSON would quietly keep the last."""
    doubled: list[str] = []

    def pairs(entries: list[tuple[str, Any]]) -> dict[str, Any]:
        doubled.extend(name for name, count in Counter(name for name, _ in entries).items() if count > 1)
        return dict(entries)

    json.loads(raw, object_pairs_hook=pairs)
    return doubled


def broken(*, why: str) -> Result[ShardMap, CinderstairError]:
    return Error(CinderstairError(code=ErrorCode.BROKEN_CONFIGURATION, reason=why))


def _texts(value: dict[Any, Any]) -> bool:
    return all(isinstance(service, str) and service and database for database, service in value.items())


def check_shard_map(*, raw: bytes) -> Result[ShardMap, CinderstairError]:
    """An operator's document, checked whole: `version`, `places`, and perhaps `agree_percent`."""
    try:
        document = json.loads(raw)
    except (ValueError, RecursionError) as error:
        return broken(why=f"not JSON: {error}")
    if not isinstance(document, dict):
        return broken(why="/: not an object")
    doubled = named_twice(raw=raw)
    if doubled:
        line = line_of_name(text=raw.decode(errors="replace"), name=doubled[0], nth=2)
        return broken(why=f"line {line}: '{doubled[0]}' is named twice")
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
