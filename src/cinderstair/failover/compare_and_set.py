"""Compare-and-set on one key of the register; every change of an assignment uses it.

Invariant: a value is replaced only if it is still the one that the decision was based on. A former lease holder that
has not yet noticed the expiry of its lease can't undo the steps of its successor.
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
    """Writes `new` if the key's current value passes `unchanged`, and updates the view with the result.

    :param unchanged: must also accept `new` if the retry of a write with unknown outcome is to count as success.
    :param conflict: the reason given with versionTaken if the value is a different one.
    :returns: the value written; versionTaken on a conflict, else the register's error.
    """

    def decide(current: bytes) -> Result[bytes, CinderstairError]:
        if not unchanged(current):
            return Error(CinderstairError(code=ErrorCode.VERSION_TAKEN, reason=conflict))
        return Ok(new)

    result = await register.change(key=key, decide=decide)
    view.apply_own_write(key=key, result=result)
    return result
