"""The error codes, and the error that every failed ``Result`` carries."""

from dataclasses import dataclass, field
from enum import Enum
from typing import Any


class ErrorCode(Enum):
    """Every way in which a request can fail.

    The value is what clients and operators receive; it is part of the public interface and never changes.
    """

    MALFORMED = "malformed"
    TOO_LARGE = "tooLarge"
    UNKNOWN_PATH = "unknownPath"
    WRONG_METHOD = "wrongMethod"
    UNKNOWN_SESSION = "unknownSession"
    SESSION_ELSEWHERE = "sessionElsewhere"
    SESSION_NOT_LOCATED = "sessionSought"
    HANDLE_SUPERSEDED = "handleOld"
    UNKNOWN_DATABASE = "unknownDatabase"
    UNKNOWN_KIND = "unknownKind"
    UNKNOWN_PREPARED = "unknownPrepared"
    TIME_LEFT_MISSING = "timeLeftMissing"
    TIME_LEFT_SPENT = "timeLeftSpent"
    NOT_CURRENT = "notCurrent"
    DRAINING = "draining"
    NO_PRIMARY = "noLead"
    MOVING = "moving"
    NOT_IN_SYNC = "notInSync"
    NO_BACKEND = "noBackend"
    OVERLOADED = "crowded"
    TOO_STALE = "tooStale"
    SESSION_BUSY = "sessionBusy"
    NO_TRANSACTION = "noTransaction"
    IN_TRANSACTION = "inTransaction"
    TRANSACTION_LOST = "transactionLost"
    TRANSACTION_FAILED = "transactionFailed"
    BACKEND_FAULT = "backendFault"
    STATEMENT_DENIED = "statementDenied"
    OUTCOME_UNKNOWN = "outcomeUnknown"
    ROUTE_DENIED = "routeDenied"
    VERSION_OLD = "versionOld"
    VERSION_TAKEN = "versionTaken"
    BROKEN_CONFIGURATION = "brokenConfiguration"
    NO_CONFIGURATION = "noConfiguration"
    REGISTER_UNREACHABLE = "registerUnreachable"
    REGISTER_UNSURE = "registerUnsure"
    REQUEST_NOT_SENT = "wireUnsent"
    NO_RESPONSE = "wireUnsure"
    OTHER_VERSION = "otherVersion"
    BAD_SETTINGS = "badSettings"
    DISK_DAMAGED = "diskDamaged"
    INTERNAL = "internal"


@dataclass(frozen=True, kw_only=True)
class CinderstairError:
    """The error side of every ``Result``.

    :ivar code: what a program acts on.
    :ivar reason: describes for people what went wrong, in one line.
    :ivar details: what a client needs in order to react, for example the address of another proxy.
    """

    code: ErrorCode
    reason: str
    details: dict[str, Any] = field(default_factory=dict)
