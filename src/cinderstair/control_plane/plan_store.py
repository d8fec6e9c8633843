"""Operators' configurations: one document for each version, confirmed by a quorum or not at all."""

from expression import Error, Ok, Result

from ..config.service_plan import PLAN_KEY, ServicePlan, plan_version, read_service_plan
from ..consensus.register import Register
from ..consensus.register_view import RegisterView
from ..consensus.versioned_value import VersionedValue
from ..runtime.errors import CinderstairError, ErrorCode

SUBMIT_TRIES = 4


class PlanStore:
    """Takes configurations and returns the newest one; without a quorum in reach it does neither."""

    def __init__(self, *, register: Register, view: RegisterView) -> None:
        self.register = register
        self.view = view

    async def submit(self, *, plan: ServicePlan) -> Result[bool, CinderstairError]:
        """Puts a checked configuration into the register.

        The highest version is in force; a lower one is recorded as accepted and changes nothing else.

        :returns: whether this version is in force afterwards, and had not been acknowledged before. Errors:
            versionTaken where its number was acknowledged for another document, registerUnreachable without a
            majority.
        """
        if not self.view.current:
            return Error(_out_of_touch())
        result: Result[VersionedValue, CinderstairError] = Error(
            CinderstairError(code=ErrorCode.REGISTER_UNREACHABLE, reason="not tried")
        )
        for _ in range(SUBMIT_TRIES):
            result = await self.register.change(
                key=PLAN_KEY, decide=lambda current: _next_plan(current=current, submitted=plan)
            )
            if result.is_ok():
                self.view.take_own(key=PLAN_KEY, result=result)
                return Ok(plan_version(data=result.ok.value) == plan.version)
            if result.error.code == ErrorCode.VERSION_OLD:
                return Ok(False)
            # an unsure outcome may be tried again: the same version has the same effect, and another one that was
            # chosen meanwhile is judged against
            if result.error.code != ErrorCode.REGISTER_UNSURE:
                break
        return Error(result.error)

    async def fetch(self) -> Result[bytes, CinderstairError]:
        """The newest accepted configuration in its operator's own bytes, as a majority holds it.

        Errors: noConfiguration before the first, registerUnreachable without a majority.
        """
        if not self.view.current:
            return Error(_out_of_touch())
        found = await self.register.read(key=PLAN_KEY)
        if found.is_error():
            return Error(found.error)
        if not found.ok.value:
            return Error(
                CinderstairError(code=ErrorCode.NO_CONFIGURATION, reason="no configuration has been accepted yet")
            )
        return Ok(read_service_plan(data=found.ok.value).document)


def _next_plan(*, current: bytes, submitted: ServicePlan) -> Result[bytes, CinderstairError]:
    """The value of the register after a submission; versionOld where the submission was acknowledged before."""
    if not current:
        return Ok(submitted.following(standing=None).bytes())
    standing = read_service_plan(data=current)
    if submitted.version > standing.version:
        return Ok(submitted.following(standing=standing).bytes())
    known_digest = standing.digest_of(version=submitted.version)
    if known_digest is None:
        return Ok(standing.with_accepted(other=submitted).bytes())
    if known_digest != submitted.digest:
        reason = f"version {submitted.version} has other content; version {standing.version} is in force"
        return Error(CinderstairError(code=ErrorCode.VERSION_TAKEN, reason=reason))
    return Error(CinderstairError(code=ErrorCode.VERSION_OLD, reason="it was acknowledged before"))


def _out_of_touch() -> CinderstairError:
    return CinderstairError(code=ErrorCode.REGISTER_UNREACHABLE, reason="out of touch with the register")
