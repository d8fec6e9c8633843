"""The shard map: which service holds a database, where that differs from the configuration."""

import json
import re
from collections import Counter
from dataclasses import dataclass, field
from typing import Any, TypeGuard

from expression import Error, Ok, Result

from ..runtime.errors import CinderstairError, ErrorCode
from ..runtime.packer import Packer
from ..runtime.unpacker import Unpacker

#: The share of proxies that must agree to a map, unless its document says another.
AGREE_PERCENT = 51
KNOWN_KEYS = {"version", "places", "agree_percent"}
MAX_VERSION = 2**63 - 1


@dataclass(frozen=True, kw_only=True)
class ShardMap:
    """Which service holds which database. Version 0 is the empty map: every database is where the plan has it.

    :ivar placements: services by database
    :ivar agree_percent: the share of proxies that must agree before the map comes into force
    """

    version: int = 0
    placements: dict[str, str] = field(default_factory=dict)
    agree_percent: int = AGREE_PERCENT

    def service_of(self, *, database: str, planned: str) -> str:
        """The service that holds a database; `planned` where the map doesn't name the database."""
        return self.placements.get(database, planned)

    def write(self, *, packer: Packer) -> None:
        """Appends the map to a record."""
        packer.u64(value=self.version).u32(value=self.agree_percent)
        packer.many(values=sorted(self.placements.items()), each=lambda p, e: p.text(value=e[0]).text(value=e[1]))


def read_shard_map(*, unpacker: Unpacker) -> ShardMap:
    """What ShardMap.write appended; raises ValueError where the bytes are no map."""
    version, agree_percent = unpacker.u64(), unpacker.u32()
    placements = dict(unpacker.many(each=lambda u: (u.text(), u.text())))
    return ShardMap(version=version, placements=placements, agree_percent=agree_percent)


def line_of_name(*, text: str, name: str, nth: int = 1) -> int:
    """The line of a document on which a key stands for the nth time, from 1; 0 where it doesn't."""
    start = max(0, text.find('"places"'))
    spellings = {json.dumps(name), json.dumps(name, ensure_ascii=False)}
    pattern = "(?:" + "|".join(map(re.escape, sorted(spellings))) + r")\s*:"
    matches = list(re.finditer(pattern, text[start:]))
    if len(matches) < nth:
        return 0
    return text.count("\n", 0, start + matches[nth - 1].start()) + 1


def _duplicate_keys(*, raw: bytes) -> list[str]:
    """The keys that an object holds more than once, of which JSON would silently keep the last."""
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
    # JSON's true and false are numbers to Python.
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
        return _invalid(reason="/: not an object")
    duplicates = _duplicate_keys(raw=raw)
    if duplicates:
        line = line_of_name(text=raw.decode(errors="replace"), name=duplicates[0], nth=2)
        return _invalid(reason=f"line {line}: '{duplicates[0]}' is named twice")
    return Ok(document)


def check_shard_map(*, raw: bytes) -> Result[ShardMap, CinderstairError]:
    """Checks an operator's document by itself.

    :param raw: JSON with `version`, `places`, and perhaps `agree_percent`
    :returns: the map, or BROKEN_CONFIGURATION with the first error and its place
    """
    read = _read_document(raw=raw)
    if read.is_error():
        return Error(read.error)
    document = read.ok
    unknown = sorted(set(document) - KNOWN_KEYS)
    if unknown:
        return _invalid(reason=f"/{unknown[0]}: not known")
    version, placements = document.get("version"), document.get("places")
    agree_percent = document.get("agree_percent", AGREE_PERCENT)
    if not _is_integer(version) or not 0 < version <= MAX_VERSION:
        return _invalid(reason="/version: a whole number above 0 is needed")
    if not _are_placements(placements):
        return _invalid(reason="/places: databases and their services are needed")
    # With half or less, two maps could each be agreed to by different proxies.
    if not _is_integer(agree_percent) or not 50 < agree_percent <= 100:
        return _invalid(reason="/agree_percent: a whole number from 51 to 100 is needed")
    return Ok(ShardMap(version=version, placements=placements, agree_percent=agree_percent))
