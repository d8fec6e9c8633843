"""Takes configurations in and gives the newest accepted one back."""

from collections.abc import Callable
from dataclasses import dataclass

from expression import Error, Ok, Result

from ..config.check import check_configuration
from ..config.configuration import CONFIGURATION_KEY, Configuration
from ..consensus.register import Register
from ..consensus.versioned_value import VersionedValue
from ..runtime.context import Context
from ..runtime.errors import CinderstairError, ErrorCode

#: How often a write is tried whose outcome stays unknown.
MAX_ATTEMPTS = 4


@dataclass(frozen=True, kw_only=True)
class AcceptedConfiguration:
    """A configuration that is in force, and its value in the register."""

    configuration: Configuration
    found: VersionedValue


def _check_follows(*, current: bytes, raw: bytes, version: int) -> Result[bytes, CinderstairError]:
    """What is to be written over the current document, or why the submitted one can't follow it."""
    if not current or current == raw:
        return Ok(raw)
    # The current document was checked before it was written, but perhaps by a newer release than this one.
    checked = check_configuration(raw=current)
    if checked.is_error():
        reason = "what stands can't be read by this version"
        return Error(CinderstairError(code=ErrorCode.INTERNAL, reason=reason))
    current_version = checked.ok.version
    details = {"stands": current_version}
    if version == current_version:
        reason = f"version {current_version} stands with other content"
        return Error(CinderstairError(code=ErrorCode.VERSION_TAKEN, reason=reason, details=details))
    if version < current_version:
        reason = f"version {current_version} stands"
        return Error(CinderstairError(code=ErrorCode.VERSION_OLD, reason=reason, details=details))
    return Ok(raw)


class ConfigurationStore:
    """Checks a configuration whole before it is written to the register; of two writers the second is told so."""

    def __init__(self, *, ctx: Context, register: Register) -> None:
        self.ctx = ctx
        self.register = register

    async def submit(self, *, raw: bytes) -> Result[AcceptedConfiguration, CinderstairError]:
        """Checks a document and writes it over an older one.

        :param raw: the operator's document
        :returns: the accepted configuration, or why it is refused; REGISTER_UNSURE where the outcome is unknown
        """
        checked = check_configuration(raw=raw)
        if checked.is_error():
            return Error(checked.error)
        configuration = checked.ok

        def decide(current: bytes) -> Result[bytes, CinderstairError]:
            return _check_follows(current=current, raw=raw, version=configuration.version)

        written = await self._write(decide=decide)
        if written.is_error():
            return Error(written.error)
        return Ok(AcceptedConfiguration(configuration=configuration, found=written.ok))

    async def _write(
        self, *, decide: Callable[[bytes], Result[bytes, CinderstairError]]
    ) -> Result[VersionedValue, CinderstairError]:
        result: Result[VersionedValue, CinderstairError] = Error(
            CinderstairError(code=ErrorCode.REGISTER_UNREACHABLE, reason="not tried")
        )
        for _ in range(MAX_ATTEMPTS):
            result = await self.register.change(key=CONFIGURATION_KEY, decide=decide)
            # Writing the same bytes again has no further effect, so a write whose outcome is unknown is repeated.
            if result.is_ok() or result.error.code != ErrorCode.REGISTER_UNSURE:
                break
        return result

    async def fetch(self) -> Result[bytes, CinderstairError]:
        """The newest accepted document, to the byte; NO_CONFIGURATION where there is none yet."""
        found = await self.register.read(key=CONFIGURATION_KEY)
        if found.is_error():
            return Error(found.error)
        if not found.ok.value:
            return Error(
                CinderstairError(code=ErrorCode.NO_CONFIGURATION, reason="no configuration has been accepted yet")
            )
        return Ok(found.ok.value)
