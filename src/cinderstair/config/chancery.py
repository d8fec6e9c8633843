"""Takes configurations in and gives the newest accepted one back."""

from expression import Error, Ok, Result

from ..consensus.register import Found, Register
from ..runtime.context import Context
from ..runtime.fault import Fault
from ..runtime.kind import Kind
from .charter import Charter
from .check import check_charter

CHARTER_KEY = "charter"
ROUNDS = 4


class Chancery:
    """A configuration is checked whole, then put to the register; whoever comes second is told so."""

    def __init__(self, *, ctx: Context, register: Register) -> None:
        self.ctx = ctx
        self.register = register

    async def submit(self, *, raw: bytes) -> Result[tuple[Charter, Found], Fault]:
        checked = check_charter(raw=raw)
        if checked.is_error():
            return Error(checked.error)
        wanted = checked.ok

        def decide(current: bytes) -> Result[bytes, Fault]:
            if not current or current == raw:
                return Ok(raw)
            # why: what stands was checked before it was written, but perhaps by a newer version than this one
            standing = check_charter(raw=current)
            if standing.is_error():
                return Error(Fault(kind=Kind.internal, why="what stands can't be read by this version"))
            version = standing.ok.version
            details = {"stands": version}
            if wanted.version == version:
                why = f"version {version} stands with other content"
                return Error(Fault(kind=Kind.versionTaken, why=why, details=details))
            if wanted.version < version:
                return Error(Fault(kind=Kind.versionOld, why=f"version {version} stands", details=details))
            return Ok(raw)

        result: Result[Found, Fault] = Error(Fault(kind=Kind.registerUnreachable, why="not tried"))
        for _ in range(ROUNDS):
            result = await self.register.change(key=CHARTER_KEY, decide=decide)
            # why: the same bytes may be put again and again to the same effect, so an unsure round is repeated
            if result.is_ok() or result.error.kind != Kind.registerUnsure:
                break
        if result.is_error():
            return Error(result.error)
        return Ok((wanted, result.ok))

    async def fetch(self) -> Result[bytes, Fault]:
        found = await self.register.read(key=CHARTER_KEY)
        if found.is_error():
            return Error(found.error)
        if not found.ok.value:
            return Error(Fault(kind=Kind.noConfiguration, why="no configuration has been accepted yet"))
        return Ok(found.ok.value)
