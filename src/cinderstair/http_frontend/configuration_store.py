"""Takes configurations in and gives the newest accepted one back."""

from expression import Error, Ok, Result

from ..consensus.register import Found, Register
from ..runtime.context import Context
from ..runtime.errors import CinderstairError, ErrorCode
from .check import check_configuration
from .configuration import Configuration

CONFIGURATION_KEY = "charter"
ROUNDS = 4


class ConfigurationStore:
    """A configuration is checked whole, then put to the register; whoever comes second is told so."""

    def __init__(self, *, ctx: Context, register: Register) -> None:
        self.ctx = ctx
        self.register = register

    async def submit(self, *, raw: bytes) -> Result[tuple[Configuration, Found], CinderstairError]:
        checked = check_configuration(raw=raw)
        if checked.is_error():
            return Error(checked.error)
        wanted = checked.ok

        def decide(current: bytes) -> Result[bytes, CinderstairError]:
            if not current or current == raw:
                return Ok(raw)
            # why: what stands was checked before it was written, but perhaps by a newer version than this one
            standing = check_configuration(raw=current)
            if standing.is_error():
                return Error(
                    CinderstairError(code=ErrorCode.INTERNAL, reason="what stands can't be read by this version")
                )
            version = standing.ok.version
            details = {"stands": version}
            if wanted.version == version:
                why = f"version {version} stands with other content"
                return Error(CinderstairError(code=ErrorCode.VERSION_TAKEN, reason=why, details=details))
            if wanted.version < version:
                return Error(
                    CinderstairError(code=ErrorCode.VERSION_OLD, reason=f"version {version} stands", details=details)
                )
            return Ok(raw)

        result: Result[Found, CinderstairError] = Error(
            CinderstairError(code=ErrorCode.REGISTER_UNREACHABLE, reason="not tried")
        )
        for _ in range(ROUNDS):
            result = await self.register.change(key=CONFIGURATION_KEY, decide=decide)
            # why: the same bytes may be put again and again to the same effect, so an unsure round is repeated
            if result.is_ok() or result.error.code != ErrorCode.REGISTER_UNSURE:
                break
        if result.is_error():
            return Error(result.error)
        return Ok((wanted, result.ok))

    async def fetch(self) -> Result[bytes, CinderstairError]:
        found = await self.register.read(key=CONFIGURATION_KEY)
        if found.is_error():
            return Error(found.error)
        if not found.ok.value:
            return Error(
                CinderstairError(code=ErrorCode.NO_CONFIGURATION, reason="no configuration has been accepted yet")
            )
        return Ok(found.ok.value)
