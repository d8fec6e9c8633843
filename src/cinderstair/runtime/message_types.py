"""The kinds of records, by the version of the records that brought them."""

from types import MappingProxyType

PREPARE, ACCEPT, READ, VECTOR, LEASE, JOIN_REQUEST, ADOPT, SNAPSHOT, HANDSHAKE = 1, 2, 3, 4, 5, 6, 7, 8, 9
PROBE, PROBE_FOR = 20, 21
HEARTBEATS = 30
HANDOVER, SEEK, REPLICA, TOUCH, FORGET = 40, 41, 42, 43, 44
RELAY, SUSPECT, OPINION, PROXIES, SHARDS, CONTROLLER, ANNOUNCE_ADDRESS, PROXY_ADDRESSES, FORWARD = (
    50,
    51,
    52,
    53,
    54,
    55,
    56,
    57,
    58,
)
SHARDS_PLAN, SHARDS_ABANDON, SHARDS_PROGRESS, ANNOUNCE = 59, 60, 61, 62

FIRST = frozenset(
    [
        PREPARE,
        ACCEPT,
        READ,
        VECTOR,
        LEASE,
        JOIN_REQUEST,
        ADOPT,
        SNAPSHOT,
        PROBE,
        PROBE_FOR,
        HEARTBEATS,
        HANDOVER,
        SEEK,
    ]
)
CONTROL = frozenset(
    [RELAY, SUSPECT, OPINION, PROXIES, SHARDS, CONTROLLER, ANNOUNCE_ADDRESS, PROXY_ADDRESSES, FORWARD]
    + [SHARDS_PLAN, SHARDS_ABANDON, SHARDS_PROGRESS, ANNOUNCE]
)
KINDS = MappingProxyType({1: FIRST, 2: FIRST | {HANDSHAKE, REPLICA, TOUCH, FORGET} | CONTROL})

# why: counters and tools name a kind as this page does
NAMES = MappingProxyType(
    {value: name.lower() for name, value in list(globals().items()) if name.isupper() and isinstance(value, int)}
)
