"""The error codes of requests, and the error type of every ``Result``."""

from dataclasses import dataclass, field
from enum import Enum
from typing import Any


class ErrorCode(Enum):
    """Every way in which a request can fail.

    Clients and operators receive the value, which is part of the public interface and never changes.
    """

    # The request can't be parsed, or a field of it is missing or invalid.
    MALFORMED = "malformed"
    # The body, or what a session is asked to keep, exceeds its limit.
    TOO_LARGE = "tooLarge"
    UNKNOWN_PATH = "unknownPath"
    WRONG_METHOD = "wrongMethod"
    # The session does not exist, or the client presents a handle older than the previous one.
    UNKNOWN_SESSION = "unknownSession"
    # Another proxy holds the session; its address is in the details.
    SESSION_ELSEWHERE = "sessionElsewhere"
    # The session was not found, but some proxies that may hold it have not responded.
    SESSION_NOT_LOCATED = "sessionSought"
    # The session has a newer handle, which is in the details.
    HANDLE_SUPERSEDED = "handleOld"
    UNKNOWN_DATABASE = "unknownDatabase"
    # The statement is of an unknown kind.
    UNKNOWN_KIND = "unknownKind"
    # No statement is prepared under this name.
    UNKNOWN_PREPARED = "unknownPrepared"
    # The request states no deadline.
    TIME_LEFT_MISSING = "timeLeftMissing"
    # The deadline passed before the request could be run.
    TIME_LEFT_SPENT = "timeLeftSpent"
    # The proxy's view of the register is out of date.
    NOT_CURRENT = "notCurrent"
    # The proxy drains and accepts no new work.
    DRAINING = "draining"
    # The database has no primary that can serve the request.
    NO_PRIMARY = "noLead"
    # The primary, or the placement of the database, is changing.
    MOVING = "moving"
    # No in-sync replica of the primary can be reached, so a write could not be replicated.
    NOT_IN_SYNC = "notInSync"
    # No suitable backend can be reached.
    NO_BACKEND = "noBackend"
    # A queue or a session limit is full, or no connection became free before the deadline.
    OVERLOADED = "crowded"
    # No replica is known to be fresh enough for the read.
    TOO_STALE = "tooStale"
    # Another request of the session is in progress.
    SESSION_BUSY = "sessionBusy"
    NO_TRANSACTION = "noTransaction"
    IN_TRANSACTION = "inTransaction"
    # The transaction was ended by a failure; none of it was committed.
    TRANSACTION_LOST = "transactionLost"
    # A statement of the transaction failed; it accepts only a rollback.
    TRANSACTION_FAILED = "transactionFailed"
    # The backend responded with an error of its own; it may have run the statement.
    BACKEND_FAULT = "backendFault"
    # The backend refused the statement, which had no effect.
    STATEMENT_DENIED = "statementDenied"
    # A write or commit was sent and its outcome is not known.
    OUTCOME_UNKNOWN = "outcomeUnknown"
    # A route of the configuration denies the request.
    ROUTE_DENIED = "routeDenied"
    # The submitted version is older than the one in force.
    VERSION_OLD = "versionOld"
    # A concurrent change was accepted first, or the version is in use with another content.
    VERSION_TAKEN = "versionTaken"
    # The configuration or shard map is invalid; the details may list every error.
    BROKEN_CONFIGURATION = "brokenConfiguration"
    # No configuration has been accepted yet.
    NO_CONFIGURATION = "noConfiguration"
    # No majority of register replicas could be reached; nothing was written.
    REGISTER_UNREACHABLE = "registerUnreachable"
    # The write to the register may or may not have been accepted.
    REGISTER_UNSURE = "registerUnsure"
    # The peer or backend has seen nothing of the request.
    REQUEST_NOT_SENT = "wireUnsent"
    # No valid response came; the peer or backend may have handled the request.
    NO_RESPONSE = "wireUnsure"
    # No protocol version is shared with the peer; it has not handled the request.
    OTHER_VERSION = "otherVersion"
    # The process's settings are invalid.
    BAD_SETTINGS = "badSettings"
    # The register replica's files can't be read.
    DISK_DAMAGED = "diskDamaged"
    # An unexpected exception in the product.
    INTERNAL = "internal"


@dataclass(frozen=True, kw_only=True)
class CinderstairError:
    """The error side of every ``Result``.

    :ivar code: identifies the failure to programs.
    :ivar reason: describes the failure to people, in one line.
    :ivar details: data that a client needs in order to react, for example the address of another proxy.
    """

    code: ErrorCode
    reason: str
    details: dict[str, Any] = field(default_factory=dict)
