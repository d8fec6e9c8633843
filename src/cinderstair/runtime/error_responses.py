"""The HTTP response to each error code."""

from types import MappingProxyType
from typing import NamedTuple

from .errors import ErrorCode


class ErrorResponse(NamedTuple):
    """The HTTP status and retry advice that a client receives with an error.

    :ivar status: the HTTP status.
    :ivar outcome: REJECTED or UNKNOWN.
    :ivar retry_after_us: after how many microseconds the client may retry; 0 means that a retry can't succeed.
    """

    status: int
    outcome: str
    retry_after_us: int


REJECTED = "denied"
"""The request has had no effect."""

UNKNOWN = "unknown"
"""The request may have had an effect."""

ERROR_RESPONSES = MappingProxyType(
    {
        ErrorCode.MALFORMED: ErrorResponse(400, REJECTED, 0),
        ErrorCode.TOO_LARGE: ErrorResponse(413, REJECTED, 0),
        ErrorCode.UNKNOWN_PATH: ErrorResponse(404, REJECTED, 0),
        ErrorCode.WRONG_METHOD: ErrorResponse(405, REJECTED, 0),
        ErrorCode.UNKNOWN_SESSION: ErrorResponse(410, REJECTED, 0),
        ErrorCode.SESSION_ELSEWHERE: ErrorResponse(421, REJECTED, 1_000),
        ErrorCode.SESSION_NOT_LOCATED: ErrorResponse(503, REJECTED, 500_000),
        ErrorCode.HANDLE_SUPERSEDED: ErrorResponse(409, REJECTED, 1_000),
        ErrorCode.UNKNOWN_DATABASE: ErrorResponse(404, REJECTED, 0),
        ErrorCode.UNKNOWN_KIND: ErrorResponse(400, REJECTED, 0),
        ErrorCode.UNKNOWN_PREPARED: ErrorResponse(404, REJECTED, 0),
        ErrorCode.TIME_LEFT_MISSING: ErrorResponse(400, REJECTED, 0),
        ErrorCode.TIME_LEFT_SPENT: ErrorResponse(504, REJECTED, 250_000),
        ErrorCode.NOT_CURRENT: ErrorResponse(503, REJECTED, 500_000),
        ErrorCode.DRAINING: ErrorResponse(503, REJECTED, 100_000),
        ErrorCode.NO_PRIMARY: ErrorResponse(503, REJECTED, 1_000_000),
        ErrorCode.MOVING: ErrorResponse(503, REJECTED, 1_000_000),
        ErrorCode.NOT_IN_SYNC: ErrorResponse(503, REJECTED, 1_000_000),
        ErrorCode.NO_BACKEND: ErrorResponse(503, REJECTED, 500_000),
        ErrorCode.OVERLOADED: ErrorResponse(503, REJECTED, 500_000),
        ErrorCode.TOO_STALE: ErrorResponse(503, REJECTED, 250_000),
        ErrorCode.SESSION_BUSY: ErrorResponse(409, REJECTED, 50_000),
        ErrorCode.NO_TRANSACTION: ErrorResponse(409, REJECTED, 0),
        ErrorCode.IN_TRANSACTION: ErrorResponse(409, REJECTED, 0),
        ErrorCode.TRANSACTION_LOST: ErrorResponse(409, REJECTED, 100_000),
        ErrorCode.TRANSACTION_FAILED: ErrorResponse(409, REJECTED, 0),
        ErrorCode.BACKEND_FAULT: ErrorResponse(502, UNKNOWN, 0),
        ErrorCode.STATEMENT_DENIED: ErrorResponse(422, REJECTED, 0),
        ErrorCode.OUTCOME_UNKNOWN: ErrorResponse(504, UNKNOWN, 1_000_000),
        ErrorCode.ROUTE_DENIED: ErrorResponse(403, REJECTED, 0),
        ErrorCode.VERSION_OLD: ErrorResponse(409, REJECTED, 0),
        ErrorCode.VERSION_TAKEN: ErrorResponse(409, REJECTED, 0),
        ErrorCode.BROKEN_CONFIGURATION: ErrorResponse(422, REJECTED, 0),
        ErrorCode.NO_CONFIGURATION: ErrorResponse(404, REJECTED, 1_000_000),
        ErrorCode.REGISTER_UNREACHABLE: ErrorResponse(503, REJECTED, 1_000_000),
        ErrorCode.REGISTER_UNSURE: ErrorResponse(504, UNKNOWN, 1_000_000),
        ErrorCode.REQUEST_NOT_SENT: ErrorResponse(503, REJECTED, 250_000),
        ErrorCode.NO_RESPONSE: ErrorResponse(504, UNKNOWN, 250_000),
        ErrorCode.OTHER_VERSION: ErrorResponse(503, REJECTED, 1_000_000),
        ErrorCode.BAD_SETTINGS: ErrorResponse(500, REJECTED, 0),
        ErrorCode.DISK_DAMAGED: ErrorResponse(500, REJECTED, 0),
        ErrorCode.INTERNAL: ErrorResponse(500, UNKNOWN, 1_000_000),
    }
)
