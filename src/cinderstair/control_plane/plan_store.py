"""Stores operators' configurations in the register: one document for each version, accepted only by a quorum."""

from expression import Error, Ok, Result

from ..config.service_plan import PLAN_KEY, ServicePlan, plan_version, read_service_plan
from ..consensus.register import Register
from ..consensus.register_view import RegisterView
from ..consensus.versioned_value import VersionedValue
from ..runtime.errors import CinderstairError, ErrorCode

MAX_SUBMIT_ATTEMPTS = 4


class PlanStore:
    """Accepts configurations and returns the newest one; fails both while this controller reaches no quorum."""

    def __init__(self, *, register: Register, view: RegisterView) -> None:
        self.register = register
        self.view = view

    async def submit(self, *, plan: ServicePlan) -> Result[bool, CinderstairError]:
        """Writes a checked configuration to the register.

        The highest version is in force; a lower one is recorded as accepted and changes nothing else.

        :returns: whether this version is in force afterwards and had not been acknowledged before. Errors:
            versionTaken where its number was acknowledged for another document, registerUnreachable without a
            majority, registerUnsure where the outcome is still unknown after `MAX_SUBMIT_ATTEMPTS`.
        """
        if not self.view.current:
            return Error(_register_unreachable())
        result: Result[VersionedValue, CinderstairError] = Error(
            CinderstairError(code=ErrorCode.REGISTER_UNREACHABLE, reason="the register was not written")
        )
        for _ in range(MAX_SUBMIT_ATTEMPTS):
            result = await self.register.change(
                key=PLAN_KEY, decide=lambda stored: _next_plan(stored=stored, submitted=plan)
            )
            if result.is_ok():
                self.view.apply_own_write(key=PLAN_KEY, result=result)
                return Ok(plan_version(data=result.ok.value) == plan.version)
            if result.error.code == ErrorCode.VERSION_OLD:
                return Ok(False)
            # retrying after an unsure outcome is safe: submitting is idempotent, and each attempt compares with the
            # value that is in the register by then
            if result.error.code != ErrorCode.REGISTER_UNSURE:
                break
        return Error(result.error)

    async def fetch(self) -> Result[bytes, CinderstairError]:
        """Reads the newest accepted configuration from a majority, in the operator's own bytes.

        Errors: noConfiguration before the first, registerUnreachable without a majority.
        """
        if not self.view.current:
            return Error(_register_unreachable())
        found = await self.register.read(key=PLAN_KEY)
        if found.is_error():
            return Error(found.error)
        if not found.ok.value:
            return Error(
                CinderstairError(code=ErrorCode.NO_CONFIGURATION, reason="no configuration has been accepted yet")
            )
        return Ok(read_service_plan(data=found.ok.value).document)


def _next_plan(*, stored: bytes, submitted: ServicePlan) -> Result[bytes, CinderstairError]:
    """The register's value after a submission.

    :param stored: the value now in the register; empty before the first configuration
    :returns: the new value. Errors: versionOld where the same document was acknowledged before, versionTaken where
        its number was acknowledged for another document.
    """
    if not stored:
        return Ok(submitted.as_successor_of(current=None).bytes())
    current = read_service_plan(data=stored)
    if submitted.version > current.version:
        return Ok(submitted.as_successor_of(current=current).bytes())
    known_digest = current.digest_of(version=submitted.version)
    if known_digest is None:
        return Ok(current.with_accepted(other=submitted).bytes())
    if known_digest != submitted.digest:
        reason = f"version {submitted.version} has other content; version {current.version} is in force"
        return Error(CinderstairError(code=ErrorCode.VERSION_TAKEN, reason=reason))
    return Error(CinderstairError(code=ErrorCode.VERSION_OLD, reason="it was acknowledged before"))


def _register_unreachable() -> CinderstairError:
    return CinderstairError(
        code=ErrorCode.REGISTER_UNREACHABLE, reason="no majority of the register replicas answers"
    )
