"""The settings of a process, read from a settings file and from flags that override it."""

import logging
import tomllib
from dataclasses import dataclass
from dataclasses import fields as dataclass_fields
from pathlib import Path
from typing import Any, NamedTuple

from expression import Error, Ok, Result
from marshmallow import Schema, ValidationError, fields, validate

from .errors import CinderstairError, ErrorCode
from .settings_names import rename_old_names
from .settings_validation import address_error, line_of

NAME = validate.Regexp(r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$", error="not a name (letters, digits, . _ -)")

RELOADABLE_SETTINGS = ("log_level", "drain_wait_us", "queue_limit", "idle_transaction_us", "idle_session_us")
"""The settings that can change while the process runs; a change of any other needs a restart."""

SEED_COUNT = 3
MAX_REGISTER_REPLICAS = 15

# A connection is closed after 2.5 s without a response. Until then a machine that was paused may still send a
# statement, which therefore has to count as in flight.
MIN_IN_FLIGHT_US = 2_500_000
MAX_IN_FLIGHT_US = 60_000_000

_log = logging.getLogger(__name__)


def check_address(value: str) -> None:
    """Validate an address for a schema; ValidationError if the text is not one."""
    problem = address_error(value=value)
    if problem:
        raise ValidationError(problem)


def _check_optional_address(value: str) -> None:
    if value:
        check_address(value)


def _microseconds(*, default: int, minimum: int, maximum: int | None = None) -> fields.Integer:
    return fields.Integer(load_default=default, strict=True, validate=validate.Range(min=minimum, max=maximum))


class SettingsSchema(Schema):
    """The types, defaults and bounds of the keys in a settings file; see ``Settings`` for their meaning."""

    name = fields.String(required=True, validate=NAME)
    site = fields.String(required=True, validate=NAME)
    records = fields.String(required=True, validate=check_address)
    http = fields.String(load_default="", validate=_check_optional_address)
    folder = fields.String(load_default="")
    seeds = fields.List(
        fields.String(validate=check_address),
        required=True,
        validate=validate.Length(equal=SEED_COUNT, error="three seed addresses are needed"),
    )
    founding_replicas = fields.Integer(
        load_default=5, strict=True, validate=validate.Range(min=1, max=MAX_REGISTER_REPLICAS)
    )
    platform = fields.String(load_default="", validate=_check_optional_address)
    traces = fields.String(load_default="")
    log_level = fields.String(load_default="info", validate=validate.OneOf(["debug", "info", "warning", "error"]))
    drain_wait_us = _microseconds(default=8_000_000, minimum=0)
    queue_limit = fields.Integer(load_default=200, strict=True, validate=validate.Range(min=1))
    idle_transaction_us = _microseconds(default=10_000_000, minimum=1)
    idle_session_us = _microseconds(default=86_400_000_000, minimum=1_000_000)
    max_voters = fields.Integer(
        load_default=0, strict=True, validate=validate.Range(min=0, max=MAX_REGISTER_REPLICAS)
    )
    may_found = fields.Boolean(load_default=True)
    catch_up_us = _microseconds(default=8_000_000, minimum=1)
    leave_within_us = _microseconds(default=0, minimum=0)
    probe_every_us = _microseconds(default=300_000, minimum=50_000)
    in_flight_us = _microseconds(default=3_000_000, minimum=MIN_IN_FLIGHT_US, maximum=MAX_IN_FLIGHT_US)


@dataclass(frozen=True, kw_only=True)
class Settings:
    """The checked settings of one process. Times are in microseconds; an empty text means "none".

    :ivar name: the process's name, unique in the system.
    :ivar site: the site that it runs at.
    :ivar records: the address for messages from other processes.
    :ivar seeds: the addresses of three register replicas, through which a process joins.
    :ivar http: the address of its HTTP server.
    :ivar folder: the path of its data folder.
    :ivar founding_replicas: the number of register replicas that form the first voter set.
    :ivar platform: the address of the platform that promotes backends.
    :ivar traces: the file that traces are appended to.
    :ivar log_level: debug, info, warning or error.
    :ivar drain_wait_us: how long a graceful shutdown may take.
    :ivar queue_limit: how many requests may wait for one backend.
    :ivar idle_transaction_us: after how long without a statement a transaction is abandoned.
    :ivar idle_session_us: after how long without a request a session is closed.
    :ivar max_voters: the maximum number of voting register replicas; 0 means ``founding_replicas``.
    :ivar may_found: whether a register replica with an empty disk may join the first voter set. Must be false for one
        that has lost its disk.
    :ivar catch_up_us: within how long a lost register replica has to be replaced, so that the loss of another is
        survived; determines after how long without a response one counts as lost.
    :ivar leave_within_us: how long a register replica that shuts down keeps voting while it waits to be replaced.
    :ivar probe_every_us: the interval between membership probes.
    :ivar in_flight_us: how long a statement may still take effect at a backend after its connection was lost. A
        change of the shard map waits equally long for a proxy that does not respond.
    """

    name: str
    site: str
    records: str
    seeds: tuple[str, ...]
    http: str = ""
    folder: str = ""
    founding_replicas: int = 5
    platform: str = ""
    traces: str = ""
    log_level: str = "info"
    drain_wait_us: int = 8_000_000
    queue_limit: int = 200
    idle_transaction_us: int = 10_000_000
    idle_session_us: int = 86_400_000_000
    max_voters: int = 0
    may_found: bool = True
    catch_up_us: int = 8_000_000
    leave_within_us: int = 0
    probe_every_us: int = 300_000
    in_flight_us: int = 3_000_000


class _SettingsFile(NamedTuple):
    text: str
    values: dict[str, Any]


def read_settings(*, path: str, flags: dict[str, Any]) -> Result[Settings, CinderstairError]:
    """Read and validate the settings; an error in one rejects all of them.

    Old names of settings (see ``settings_names``) are accepted. One warning lists those that the file uses.

    :param path: the settings file (TOML); empty if there is none.
    :param flags: values that override those of the file, by name.
    :returns: the settings, or the error BAD_SETTINGS with file, line, key and reason in one line.
    """
    file = _read_file(path=path)
    if file.is_error():
        return Error(file.error)
    return _check_settings(file=file.ok, flags=flags, where=path or "flags")


def settings_needing_restart(*, old: Settings, new: Settings) -> list[str]:
    """Return the names of the settings that differ and can't change without a restart."""
    names = [field.name for field in dataclass_fields(Settings)]
    return [name for name in names if name not in RELOADABLE_SETTINGS and getattr(old, name) != getattr(new, name)]


def _read_file(*, path: str) -> Result[_SettingsFile, CinderstairError]:
    if not path:
        return Ok(_SettingsFile(text="", values={}))
    try:
        text = Path(path).read_text()
        return Ok(_SettingsFile(text=text, values=tomllib.loads(text)))
    except OSError as error:
        return Error(_bad_settings(where=path, reason=f"can't be read: {error.strerror}"))
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        return Error(_bad_settings(where=path, reason=f"not TOML: {error}"))


def _check_settings(*, file: _SettingsFile, flags: dict[str, Any], where: str) -> Result[Settings, CinderstairError]:
    from_file, from_flags = rename_old_names(values=file.values), rename_old_names(values=flags)
    for renamed in (from_file, from_flags):
        if renamed.conflict is not None:
            location = _location(where=where, text=file.text, key=renamed.conflict.old)
            reason = f"{renamed.conflict.old}: is the old name of {renamed.conflict.new}, which is given too"
            return Error(_bad_settings(where=location, reason=reason))
    try:
        loaded = SettingsSchema().load({**from_file.values, **from_flags.values})
    except ValidationError as error:
        name, reason = _first_problem(error=error)
        key = from_flags.spelling(name=name) if name in from_flags.values else from_file.spelling(name=name)
        return Error(_bad_settings(where=_location(where=where, text=file.text, key=key), reason=f"{key}: {reason}"))
    if from_file.old_names:
        names = ", ".join(f"{renaming.old} (now {renaming.new})" for renaming in from_file.old_names)
        _log.warning("%s: deprecated setting names, which the next version rejects: %s", where, names)
    return Ok(Settings(**{**loaded, "seeds": tuple(loaded["seeds"])}))


class _Problem(NamedTuple):
    name: str
    reason: str


def _first_problem(*, error: ValidationError) -> _Problem:
    name, reason = next(iter(error.normalized_messages().items()))
    # The messages on a list are nested, by the index of the entry.
    while isinstance(reason, dict):
        reason = next(iter(reason.values()))
    return _Problem(name=name, reason=reason[0])


def _location(*, where: str, text: str, key: str) -> str:
    line = line_of(text=text, key=key)
    return f"{where}:{line}" if line else where


def _bad_settings(*, where: str, reason: str) -> CinderstairError:
    return CinderstairError(code=ErrorCode.BAD_SETTINGS, reason=f"{where}: {reason}")
