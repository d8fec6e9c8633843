"""The kinds of records, by the version of the records that brought them."""

from types import MappingProxyType

PREPARE, ACCEPT, READ, VECTOR, LEASE, HELLO, ADOPT, SNAPSHOT, PARLEY = 1, 2, 3, 4, 5, 6, 7, 8, 9
PROBE, PROBE_FOR = 20, 21
NEWS = 30
HANDOVER, SEEK, COPY, TOUCH, FORGET = 40, 41, 42, 43, 44
RELAY, SUSPECT, OPINION, BOOTHS, SHARDS, GUILDHALL, PLACE, PLACES, FORWARD = 50, 51, 52, 53, 54, 55, 56, 57, 58
SHARDS_PLAN, SHARDS_ABANDON, SHARDS_PROGRESS, ANNOUNCE = 59, 60, 61, 62

FIRST = frozenset(
    [PREPARE, ACCEPT, READ, VECTOR, LEASE, HELLO, ADOPT, SNAPSHOT, PROBE, PROBE_FOR, NEWS, HANDOVER, SEEK]
)
CONTROL = frozenset(
    [RELAY, SUSPECT, OPINION, BOOTHS, SHARDS, GUILDHALL, PLACE, PLACES, FORWARD]
    + [SHARDS_PLAN, SHARDS_ABANDON, SHARDS_PROGRESS, ANNOUNCE]
)
KINDS = MappingProxyType({1: FIRST, 2: FIRST | {PARLEY, COPY, TOUCH, FORGET} | CONTROL})

# why: counters and tools name a kind as this page does
NAMES = MappingProxyType(
    {value: name.lower() for name, value in list(globals().items()) if name.isupper() and isinstance(value, int)}
)
