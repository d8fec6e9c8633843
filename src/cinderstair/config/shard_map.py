"""The shard map: services of those databases that moved away from their configured service."""

import json
import re
from collections import Counter
from dataclasses import dataclass, field
from typing import Any, TypeGuard

from expression import Error, Ok, Result

from ..runtime.errors import CinderstairError, ErrorCode
from ..runtime.packer import Packer
from ..runtime.unpacker import Unpacker

#: Default share of proxies that must agree to a map.
AGREE_PERCENT = 51
KNOWN_KEYS = {"version", "places", "agree_percent"}
MAX_VERSION = 2**63 - 1


@dataclass(frozen=True, kw_only=True)
class ShardMap:
    """Placements of databases on services. Version 0 is the empty map: every database is at its planned service.

    :ivar placements: service by database
    :ivar agree_percent: share of proxies that must agree before the map comes into force
    """

    version: int = 0
    placements: dict[str, str] = field(default_factory=dict)
    agree_percent: int = AGREE_PERCENT

    def service_of(self, *, database: str, planned: str) -> str:
        """The service that holds a database; `planned` if the map doesn't place it."""
        return self.placements.get(database, planned)

    def write(self, *, packer: Packer) -> None:
        """Appends the map to a record."""
        packer.u64(value=self.version).u32(value=self.agree_percent)
        packer.many(values=sorted(self.placements.items()), each=lambda p, e: p.text(value=e[0]).text(value=e[1]))


def read_shard_map(*, unpacker: Unpacker) -> ShardMap:
    """Reads what ShardMap.write appended; raises ValueError for malformed bytes."""
    version, agree_percent = unpacker.u64(), unpacker.u32()
    placements = dict(unpacker.many(each=lambda u: (u.text(), u.text())))
    return ShardMap(version=version, placements=placements, agree_percent=agree_percent)


def line_of_name(*, text: str, name: str, nth: int = 1) -> int:
    """The line, from 1, of the nth occurrence of a key in a document; 0 if there is none."""
    start = max(0, text.find('"places"'))
    spellings = {json.dumps(name), json.dumps(name, ensure_ascii=False)}
    pattern = "(?:" + "|".join(map(re.escape, sorted(spellings))) + r")\s*:"
    matches = list(re.finditer(pattern, text[start:]))
    if len(matches) < nth:
        return 0
    return text.count("\n", 0, start + matches[nth - 1].start()) + 1


def _duplicate_keys(*, raw: bytes) -> list[str]:
    """Keys that occur more than once in an object; json.loads would silently keep the last value."""
    duplicates: list[str] = []

    def collect(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        counts = Counter(name for name, _ in pairs)
        duplicates.extend(name for name, count in counts.items() if count > 1)
        return dict(pairs)

    json.loads(raw, object_pairs_hook=collect)
    return duplicates


def _invalid(*, reason: str) -> Result[Any, CinderstairError]:
    return Error(CinderstairError(code=ErrorCode.BROKEN_CONFIGURATION, reason=reason))


def _is_integer(value: Any) -> TypeGuard[int]:
    # in Python, bool is a subclass of int
    return isinstance(value, int) and not isinstance(value, bool)


def _are_placements(value: Any) -> TypeGuard[dict[str, str]]:
    return isinstance(value, dict) and all(
        isinstance(service, str) and service and database for database, service in value.items()
    )


def _read_document(*, raw: bytes) -> Result[dict[str, Any], CinderstairError]:
    try:
        document = json.loads(raw)
    except (ValueError, RecursionError) as error:
        return _invalid(reason=f"not JSON: {error}")
    if not isinstance(document, dict):
        return _invalid(reason="/: must be an object")
    duplicates = _duplicate_keys(raw=raw)
    if duplicates:
        line = line_of_name(text=raw.decode(errors="replace"), name=duplicates[0], nth=2)
        return _invalid(reason=f"line {line}: '{duplicates[0]}' occurs more than once")
    return Ok(document)


def check_shard_map(*, raw: bytes) -> Result[ShardMap, CinderstairError]:
    """Validates an operator's document on its own, without the configuration.

    :param raw: JSON with `version`, `places` and optionally `agree_percent`
    :returns: the map, or BROKEN_CONFIGURATION with the first error and its location
    """
    read = _read_document(raw=raw)
    if read.is_error():
        return Error(read.error)
    document = read.ok
    unknown = sorted(set(document) - KNOWN_KEYS)
    if unknown:
        return _invalid(reason=f"/{unknown[0]}: unknown key; known are {', '.join(sorted(KNOWN_KEYS))}")
    version, placements = document.get("version"), document.get("places")
    agree_percent = document.get("agree_percent", AGREE_PERCENT)
    if not _is_integer(version) or not 0 < version <= MAX_VERSION:
        return _invalid(reason=f"/version: must be an integer from 1 to {MAX_VERSION}")
    if not _are_placements(placements):
        return _invalid(reason="/places: must be an object with a service name for each database")
    # at half or less, two maps could each be accepted by disjoint sets of proxies
    if not _is_integer(agree_percent) or not 50 < agree_percent <= 100:
        return _invalid(reason="/agree_percent: must be an integer from 51 to 100")
    return Ok(ShardMap(version=version, placements=placements, agree_percent=agree_percent))
