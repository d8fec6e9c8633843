"""Operators' configurations: one content under one number, confirmed by a quorum or not at all."""

from expression import Error, Ok, Result

from ..config.service_plan import PLAN_KEY, ServicePlan, plan_version, read_service_plan
from ..consensus.register import Register
from ..consensus.register_view import RegisterView
from ..consensus.versioned_value import VersionedValue
from ..runtime.errors import CinderstairError, ErrorCode

SUBMIT_TRIES = 4


class Orders:
    """Takes configurations in and gives the newest one back. Out of touch with a quorum it does neither."""

    def __init__(self, *, register: Register, view: RegisterView) -> None:
        self.register = register
        self.view = view

    async def submit(self, *, plan: ServicePlan) -> Result[bool, CinderstairError]:
        """Puts a checked configuration into the register; True where it changed anything.

        The highest version holds: one that is not above it is taken note of and changes nothing. versionTaken: its
        number was acknowledged for another document. registerUnreachable: no majority is in reach.
        """

        def decide(current: bytes) -> Result[bytes, CinderstairError]:
            if not current:
                return Ok(plan.following(standing=None).bytes())
            standing = read_service_plan(data=current)
            if plan.version > standing.version:
                return Ok(plan.following(standing=standing).bytes())
            known = standing.digest_of(version=plan.version)
            if known is None:
                return Ok(standing.with_accepted(other=plan).bytes())
            if known != plan.digest:
                why = f"version {plan.version} has other content; version {standing.version} is in force"
                return Error(CinderstairError(code=ErrorCode.VERSION_TAKEN, reason=why))
            return Error(CinderstairError(code=ErrorCode.VERSION_OLD, reason="it was acknowledged before"))

        if not self.view.current:
            return Error(
                CinderstairError(code=ErrorCode.REGISTER_UNREACHABLE, reason="out of touch with the register")
            )
        result: Result[VersionedValue, CinderstairError] = Error(
            CinderstairError(code=ErrorCode.REGISTER_UNREACHABLE, reason="not tried")
        )
        for _ in range(SUBMIT_TRIES):
            result = await self.register.change(key=PLAN_KEY, decide=decide)
            if result.is_ok():
                self.view.take_own(key=PLAN_KEY, result=result)
                return Ok(plan_version(data=result.ok.value) == plan.version)
            # why: the same version may be put again to the same effect; one that won meanwhile answers for it
            if result.error.code == ErrorCode.VERSION_OLD:
                return Ok(False)
            if result.error.code != ErrorCode.REGISTER_UNSURE:
                break
        return Error(result.error)

    async def fetch(self) -> Result[bytes, CinderstairError]:
        """The newest accepted configuration in its operator's own bytes, as a majority holds it."""
        if not self.view.current:
            return Error(
                CinderstairError(code=ErrorCode.REGISTER_UNREACHABLE, reason="out of touch with the register")
            )
        found = await self.register.read(key=PLAN_KEY)
        if found.is_error():
            return Error(found.error)
        if not found.ok.value:
            return Error(
                CinderstairError(code=ErrorCode.NO_CONFIGURATION, reason="no configuration has been accepted yet")
            )
        return Ok(read_service_plan(data=found.ok.value).document)
