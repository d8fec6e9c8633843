"""A process's place, from a checked settings file and flags."""

import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from expression import Error, Ok, Result
from marshmallow import Schema, ValidationError, fields, validate

from .errors import CinderstairError, ErrorCode
from .settings_validation import address_error, line_of

NAME = validate.Regexp(r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$", error="not a name (letters, digits, . _ -)")
LIVE = ("logLevel", "drainWaitUs", "queueMost", "idleTransactionUs", "idleSessionUs")


def check_address(value: str) -> None:
    problem = address_error(value=value)
    if problem:
        raise ValidationError(problem)


class SettingsSchema(Schema):
    """Every key that a settings file may hold."""

    name = fields.String(required=True, validate=NAME)
    site = fields.String(required=True, validate=NAME)
    records = fields.String(required=True, validate=check_address)
    http = fields.String(load_default="", validate=lambda v: check_address(v) if v else None)
    folder = fields.String(load_default="")
    seeds = fields.List(
        fields.String(validate=check_address),
        required=True,
        validate=validate.Length(equal=3, error="three seed addresses are needed"),
    )
    foundingVaults = fields.Integer(load_default=5, strict=True, validate=validate.Range(min=1, max=15))
    platform = fields.String(load_default="", validate=lambda v: check_address(v) if v else None)
    traces = fields.String(load_default="")
    logLevel = fields.String(load_default="info", validate=validate.OneOf(["debug", "info", "warning", "error"]))
    drainWaitUs = fields.Integer(load_default=8_000_000, strict=True, validate=validate.Range(min=0))
    queueMost = fields.Integer(load_default=200, strict=True, validate=validate.Range(min=1))
    idleTransactionUs = fields.Integer(load_default=10_000_000, strict=True, validate=validate.Range(min=1))
    idleSessionUs = fields.Integer(load_default=86_400_000_000, strict=True, validate=validate.Range(min=1_000_000))
    mostVaults = fields.Integer(load_default=0, strict=True, validate=validate.Range(min=0, max=15))
    mayFound = fields.Boolean(load_default=True)
    catchUpUs = fields.Integer(load_default=8_000_000, strict=True, validate=validate.Range(min=1))
    leaveWithinUs = fields.Integer(load_default=0, strict=True, validate=validate.Range(min=0))
    probeEveryUs = fields.Integer(load_default=300_000, strict=True, validate=validate.Range(min=50_000))
    # why: below 2.5 s, for which a link bears silence, what a standing machine holds up could arrive out of time
    underWayUs = fields.Integer(
        load_default=3_000_000, strict=True, validate=validate.Range(min=2_500_000, max=60_000_000)
    )


@dataclass(frozen=True, kw_only=True)
class Settings:
    """What a process was told when it started, and what it may be told again while it runs.

    mostVaults: how many may vote in the end (0: as many as found the system). mayFound: whether a blank disk may
    take part in founding; a machine that has lost its disk may not. catchUpUs: how long after a register replica's
    start another
    loss has to be borne. leaveWithinUs: for how long a register replica that stops votes on until its place is taken.
    underWayUs: for how long what has left for a backend may still take effect after its link was lost; a closing
    shard map waits as long for who is not heard.
    """

    name: str
    site: str
    records: str
    seeds: tuple[str, ...]
    http: str = ""
    folder: str = ""
    foundingVaults: int = 5
    platform: str = ""
    traces: str = ""
    logLevel: str = "info"
    drainWaitUs: int = 8_000_000
    queueMost: int = 200
    idleTransactionUs: int = 10_000_000
    idleSessionUs: int = 86_400_000_000
    mostVaults: int = 0
    mayFound: bool = True
    catchUpUs: int = 8_000_000
    leaveWithinUs: int = 0
    probeEveryUs: int = 300_000
    underWayUs: int = 3_000_000


def bad_settings(*, where: str, why: str) -> Result[Settings, CinderstairError]:
    return Error(CinderstairError(code=ErrorCode.BAD_SETTINGS, reason=f"{where}: {why}"))


def check_settings(*, values: dict[str, Any], text: str, where: str) -> Result[Settings, CinderstairError]:
    try:
        loaded = SettingsSchema().load(values)
    except ValidationError as error:
        key, reason = next(iter(error.normalized_messages().items()))
        while isinstance(reason, dict):
            reason = next(iter(reason.values()))
        line = line_of(text=text, key=key)
        place = f"{where}:{line}" if line else where
        return bad_settings(where=place, why=f"{key}: {reason[0]}")
    return Ok(Settings(**{**loaded, "seeds": tuple(loaded["seeds"])}))


def read_settings(*, path: str, flags: dict[str, Any]) -> Result[Settings, CinderstairError]:
    """The file's values, overridden by flags; everything is checked before anything is used."""
    text, values = "", {}
    if path:
        try:
            text = Path(path).read_text()
            values = tomllib.loads(text)
        except OSError as error:
            return bad_settings(where=path, why=f"can't be read: {error.strerror}")
        except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
            return bad_settings(where=path, why=f"not TOML: {error}")
    return check_settings(values={**values, **flags}, text=text, where=path or "flags")


def may_change_live(*, old: Settings, new: Settings) -> list[str]:
    """The keys that differ and can't be changed without a restart."""
    return [
        key for key in Settings.__dataclass_fields__ if key not in LIVE and getattr(old, key) != getattr(new, key)
    ]
