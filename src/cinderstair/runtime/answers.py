"""The one table from error kind to answer."""

from types import MappingProxyType
from typing import NamedTuple

from .kind import Kind


class Answer(NamedTuple):
    """What a caller is told for a kind: HTTP status, outcome, and when to come back (0: do not)."""

    status: int
    outcome: str
    retry_after_us: int


DENIED = "denied"
UNKNOWN = "unknown"

ANSWERS = MappingProxyType(
    {
        Kind.malformed: Answer(400, DENIED, 0),
        Kind.tooLarge: Answer(413, DENIED, 0),
        Kind.unknownPath: Answer(404, DENIED, 0),
        Kind.wrongMethod: Answer(405, DENIED, 0),
        Kind.unknownSession: Answer(410, DENIED, 0),
        Kind.sessionElsewhere: Answer(421, DENIED, 1_000),
        Kind.sessionSought: Answer(503, DENIED, 500_000),
        Kind.handleOld: Answer(409, DENIED, 1_000),
        Kind.unknownDatabase: Answer(404, DENIED, 0),
        Kind.unknownKind: Answer(400, DENIED, 0),
        Kind.unknownPrepared: Answer(404, DENIED, 0),
        Kind.timeLeftMissing: Answer(400, DENIED, 0),
        Kind.timeLeftSpent: Answer(504, DENIED, 250_000),
        Kind.notCurrent: Answer(503, DENIED, 500_000),
        Kind.draining: Answer(503, DENIED, 100_000),
        Kind.noLead: Answer(503, DENIED, 1_000_000),
        Kind.moving: Answer(503, DENIED, 1_000_000),
        Kind.notInSync: Answer(503, DENIED, 1_000_000),
        Kind.noBackend: Answer(503, DENIED, 500_000),
        Kind.crowded: Answer(503, DENIED, 500_000),
        Kind.tooStale: Answer(503, DENIED, 250_000),
        Kind.sessionBusy: Answer(409, DENIED, 50_000),
        Kind.noTransaction: Answer(409, DENIED, 0),
        Kind.inTransaction: Answer(409, DENIED, 0),
        Kind.transactionLost: Answer(409, DENIED, 100_000),
        Kind.transactionFailed: Answer(409, DENIED, 0),
        Kind.backendFault: Answer(502, UNKNOWN, 0),
        Kind.statementDenied: Answer(422, DENIED, 0),
        Kind.outcomeUnknown: Answer(504, UNKNOWN, 1_000_000),
        Kind.routeDenied: Answer(403, DENIED, 0),
        Kind.versionOld: Answer(409, DENIED, 0),
        Kind.versionTaken: Answer(409, DENIED, 0),
        Kind.brokenConfiguration: Answer(422, DENIED, 0),
        Kind.noConfiguration: Answer(404, DENIED, 1_000_000),
        Kind.registerUnreachable: Answer(503, DENIED, 1_000_000),
        Kind.registerUnsure: Answer(504, UNKNOWN, 1_000_000),
        Kind.wireUnsent: Answer(503, DENIED, 250_000),
        Kind.wireUnsure: Answer(504, UNKNOWN, 250_000),
        Kind.otherVersion: Answer(503, DENIED, 1_000_000),
        Kind.badSettings: Answer(500, DENIED, 0),
        Kind.diskDamaged: Answer(500, DENIED, 0),
        Kind.internal: Answer(500, UNKNOWN, 1_000_000),
    }
)
