"""Compare-and-set on one key of the register: the only way in which an assignment changes.

Invariant: a value is replaced only while it is the one that the decision was based on, so two holders of the same
role, of whom one has not yet noticed that its lease ran out, can't undo each other's steps.
"""

from collections.abc import Callable

from expression import Error, Ok, Result

from ..consensus.register import Register, VersionedValue
from ..consensus.register_view import RegisterView
from ..runtime.errors import CinderstairError, ErrorCode


async def compare_and_set(
    *,
    register: Register,
    view: RegisterView,
    key: str,
    unchanged: Callable[[bytes], bool],
    new: bytes,
    conflict: str,
) -> Result[VersionedValue, CinderstairError]:
    """Writes `new` if the key's current value passes `unchanged`, and takes the result into the view.

    :param unchanged: must also accept `new` itself where a retry of an unclear write is to count as success.
    :param conflict: the reason given with versionTaken when the value is another one.
    :returns: what was written; versionTaken on a conflict, else the register's own error.
    """

    def decide(current: bytes) -> Result[bytes, CinderstairError]:
        if not unchanged(current):
            return Error(CinderstairError(code=ErrorCode.VERSION_TAKEN, reason=conflict))
        return Ok(new)

    result = await register.change(key=key, decide=decide)
    view.apply_own_write(key=key, result=result)
    return result
