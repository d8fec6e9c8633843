"""Stores the operator's configuration in the register and reads it back."""

from collections.abc import Callable
from dataclasses import dataclass

from expression import Error, Ok, Result

from ..config.check import check_configuration
from ..config.configuration import CONFIGURATION_KEY, Configuration
from ..consensus.register import Register
from ..consensus.versioned_value import VersionedValue
from ..runtime.context import Context
from ..runtime.errors import CinderstairError, ErrorCode

# attempts of a write whose outcome is unknown
MAX_ATTEMPTS = 4


@dataclass(frozen=True, kw_only=True)
class AcceptedConfiguration:
    """An accepted configuration and its value in the register."""

    configuration: Configuration
    found: VersionedValue


def _check_follows(*, current: bytes, raw: bytes, version: int) -> Result[bytes, CinderstairError]:
    """The bytes to write, or why the submitted document can't replace the current one."""
    if not current or current == raw:
        return Ok(raw)
    # the current document was checked before it was written, but perhaps by a newer release
    checked = check_configuration(raw=current)
    if checked.is_error():
        reason = "this release can't read the accepted configuration; submit it by a newer release"
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
    """Validates a document before it is written to the register.

    Versions only increase: of two concurrent writers the second gets VERSION_TAKEN or VERSION_OLD.
    """

    def __init__(self, *, ctx: Context, register: Register) -> None:
        self.ctx = ctx
        self.register = register

    async def submit(self, *, raw: bytes) -> Result[AcceptedConfiguration, CinderstairError]:
        """Validates a document and replaces an older version by it.

        :param raw: the operator's document.
        :returns: the accepted configuration, or why it was rejected; REGISTER_UNSURE where the outcome is unknown.
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
            CinderstairError(
                code=ErrorCode.REGISTER_UNREACHABLE, reason="no attempt was made to write the configuration"
            )
        )
        for _ in range(MAX_ATTEMPTS):
            result = await self.register.change(key=CONFIGURATION_KEY, decide=decide)
            # writing the same bytes again has no further effect, so a write of unknown outcome can be repeated
            if result.is_ok() or result.error.code != ErrorCode.REGISTER_UNSURE:
                break
        return result

    async def fetch(self) -> Result[bytes, CinderstairError]:
        """The bytes of the newest accepted document; NO_CONFIGURATION where there is none yet."""
        found = await self.register.read(key=CONFIGURATION_KEY)
        if found.is_error():
            return Error(found.error)
        if not found.ok.value:
            return Error(
                CinderstairError(code=ErrorCode.NO_CONFIGURATION, reason="no configuration has been accepted yet")
            )
        return Ok(found.ok.value)
