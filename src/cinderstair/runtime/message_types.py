"""The types of the messages that processes exchange, and the protocol versions that have each."""

from enum import IntEnum
from types import MappingProxyType


class MessageType(IntEnum):
    """The first byte of a message's body: it selects the handler.

    The numbers are part of the wire format. A number, once released, is never changed and never reused, and
    every number stays below ``protocol_versions.VERSION_FLAG``. The members are grouped by the component that
    handles them.
    """

    # Consensus register: Paxos phases, reads, leases and changes of the voters.
    PREPARE = 1
    ACCEPT = 2
    READ = 3
    VECTOR = 4
    LEASE = 5
    JOIN_REQUEST = 6
    ADOPT = 7
    SNAPSHOT = 8

    # Protocol: the handshake in which two processes exchange the versions that they support.
    HANDSHAKE = 9

    # Membership: direct and indirect failure detection.
    PROBE = 20
    PROBE_FOR = 21

    # Membership: the heartbeats of databases and their replicas.
    HEARTBEATS = 30

    # HTTP front end: sessions that move to another proxy, and their replicas.
    HANDOVER = 40
    SEEK = 41
    REPLICA = 42
    TOUCH = 43
    FORGET = 44

    # Control plane and pooler: relayed state, failover, proxy addresses, forwarded statements.
    RELAY = 50
    SUSPECT = 51
    OPINION = 52
    PROXIES = 53
    SHARDS = 54
    CONTROLLER = 55
    ANNOUNCE_ADDRESS = 56
    PROXY_ADDRESSES = 57
    FORWARD = 58

    # Control plane: plans for the shard map, and what the controller announces to proxies.
    SHARDS_PLAN = 59
    SHARDS_ABANDON = 60
    SHARDS_PROGRESS = 61
    ANNOUNCE = 62

    # Failover: a new primary assignment, sent to controllers, which relay it, and to proxies.
    RELAY_ASSIGNMENT = 63
    APPLY_ASSIGNMENT = 64

    @property
    def counter_name(self) -> str:
        """The name of this message type in counters and tools, for example ``join_request``."""
        return self.name.lower()


_VERSION_1 = frozenset(
    {
        MessageType.PREPARE,
        MessageType.ACCEPT,
        MessageType.READ,
        MessageType.VECTOR,
        MessageType.LEASE,
        MessageType.JOIN_REQUEST,
        MessageType.ADOPT,
        MessageType.SNAPSHOT,
        MessageType.PROBE,
        MessageType.PROBE_FOR,
        MessageType.HEARTBEATS,
        MessageType.HANDOVER,
        MessageType.SEEK,
    }
)

_ADDED_IN_VERSION_2 = frozenset(
    {
        MessageType.HANDSHAKE,
        MessageType.REPLICA,
        MessageType.TOUCH,
        MessageType.FORGET,
        MessageType.RELAY,
        MessageType.SUSPECT,
        MessageType.OPINION,
        MessageType.PROXIES,
        MessageType.SHARDS,
        MessageType.CONTROLLER,
        MessageType.ANNOUNCE_ADDRESS,
        MessageType.PROXY_ADDRESSES,
        MessageType.FORWARD,
        MessageType.SHARDS_PLAN,
        MessageType.SHARDS_ABANDON,
        MessageType.SHARDS_PROGRESS,
        MessageType.ANNOUNCE,
        MessageType.RELAY_ASSIGNMENT,
        MessageType.APPLY_ASSIGNMENT,
    }
)

MESSAGE_TYPES_BY_VERSION = MappingProxyType({1: _VERSION_1, 2: _VERSION_1 | _ADDED_IN_VERSION_2})
"""The message types that each protocol version supports."""
