"""Decides whether a statement may be sent again after an attempt, and why."""

from enum import Enum

from ..runtime.errors import CinderstairError, ErrorCode
from .reply import Reply, State


class Resend(Enum):
    """The result of an attempt with regard to a retry; the value explains it.

    Only members whose `allowed` is True permit another attempt.
    """

    NOT_SENT = "no byte of the statement has left this proxy"
    NOT_RUN = "the backend declared that it did not run the statement"
    READ_FAILED = "a read failed, and running a read twice changes no data"
    PRIMARY_CHANGED = "the primary changed before anything was sent"
    GIVE_UP = "nothing was sent, and another attempt would not succeed in time or only add load"
    FINAL = "the backend's answer is final"
    OUTCOME_UNKNOWN = "the statement was sent, and whether it took effect is unknown"

    @property
    def allowed(self) -> bool:
        """Whether the statement may be sent again."""
        return self in _ALLOWED


_ALLOWED = frozenset({Resend.NOT_SENT, Resend.NOT_RUN, Resend.READ_FAILED, Resend.PRIMARY_CHANGED})


def after_unsent(*, fault: CinderstairError) -> Resend:
    """Decides after no link was available or no backend began the transaction."""
    return Resend.GIVE_UP if fault.code == ErrorCode.OVERLOADED else Resend.NOT_SENT


def after_write(*, reply: Reply | None) -> Resend:
    """Decides after a write was sent.

    :param reply: None where the link was lost or the deadline passed without a reply.
    """
    if reply is None:
        return Resend.OUTCOME_UNKNOWN
    return Resend.NOT_RUN if reply.not_run else Resend.FINAL


def after_read(*, reply: Reply) -> Resend:
    """Decides after a reply to a read."""
    if reply.fault is None:
        return Resend.FINAL
    if reply.not_run:
        return Resend.NOT_RUN
    return Resend.READ_FAILED if reply.retriable else Resend.FINAL


def after_commit(*, reply: Reply) -> Resend:
    """Decides after a commit: it may be repeated only while the backend keeps the transaction open."""
    return Resend.NOT_RUN if reply.not_run and reply.state == State.open else Resend.FINAL
