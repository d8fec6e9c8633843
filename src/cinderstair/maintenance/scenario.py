"""Scenarios of the simulate command: running HTTP proxies, failures, additions and open windows."""

import json
from dataclasses import dataclass, field
from typing import Any

from expression import Error, Ok, Result
from marshmallow import Schema, ValidationError, fields, validate

from ..config.configuration import Configuration
from ..runtime.errors import CinderstairError, ErrorCode
from ..runtime.settings import NAME


class PrimarySchema(Schema):
    """The primary and the in-sync replicas of one database."""

    primary = fields.String(required=True, validate=NAME)
    inSync = fields.List(fields.String(validate=NAME), load_default=list)


class ScenarioSchema(Schema):
    """The schema of the document; references into the configuration are checked afterwards."""

    stalls = fields.List(
        fields.String(validate=NAME),
        required=True,
        validate=validate.Length(min=1, max=500, error="1 to 500 HTTP proxies"),
    )
    joins = fields.List(fields.String(validate=NAME), load_default=list)
    lost = fields.List(fields.String(validate=NAME), load_default=list)
    windows = fields.List(fields.String(validate=NAME), load_default=list)
    leads = fields.Dict(keys=fields.String(), values=fields.Nested(PrimarySchema), load_default=dict)
    seed = fields.Integer(load_default=1, strict=True, validate=validate.Range(min=0, max=2**31))


@dataclass(frozen=True, kw_only=True)
class Scenario:
    """A scenario that is valid for a configuration.

    :ivar http_proxies: names of the running HTTP proxies, by id
    :ivar joins: names of HTTP proxies that are added
    :ivar lost: names of HTTP proxies and backends that fail
    :ivar windows: names of the windows that are open
    :ivar primaries: the primary of each database
    :ivar in_sync: the in-sync replicas of each database
    """

    http_proxies: tuple[str, ...]
    joins: tuple[str, ...] = ()
    lost: tuple[str, ...] = ()
    windows: tuple[str, ...] = ()
    primaries: dict[str, str] = field(default_factory=dict)
    in_sync: dict[str, tuple[str, ...]] = field(default_factory=dict)
    seed: int = 1


def _invalid(*, reason: str) -> Result[Any, CinderstairError]:
    return Error(CinderstairError(code=ErrorCode.MALFORMED, reason=reason))


def read_scenario(*, raw: bytes, configuration: Configuration) -> Result[Scenario, CinderstairError]:
    """Parses and validates a scenario.

    :param raw: the document, JSON in UTF-8
    :returns: the scenario, or MALFORMED with the first error and its JSON path or line
    """
    read = _read_document(raw=raw)
    if read.is_error():
        return Error(read.error)
    document = read.ok
    problem = _problem(document=document, configuration=configuration)
    if problem:
        return _invalid(reason=problem)
    primaries = _primaries(document=document, configuration=configuration)
    return Ok(
        Scenario(
            http_proxies=tuple(document["stalls"]),
            joins=tuple(document["joins"]),
            lost=tuple(document["lost"]),
            windows=tuple(document["windows"]),
            primaries=primaries,
            in_sync=_in_sync(document=document, configuration=configuration, primaries=primaries),
            seed=document["seed"],
        )
    )


def _read_document(*, raw: bytes) -> Result[dict[str, Any], CinderstairError]:
    try:
        value = json.loads(raw)
    except UnicodeDecodeError as error:
        return _invalid(reason=f"not UTF-8 at byte {error.start}")
    except json.JSONDecodeError as error:
        return _invalid(reason=f"line {error.lineno}, column {error.colno}: {error.msg}")
    try:
        return Ok(ScenarioSchema().load(value))
    except ValidationError as error:
        return _invalid(reason=_first_schema_error(error=error))


def _first_schema_error(*, error: ValidationError) -> str:
    path, messages = next(iter(error.normalized_messages().items()))
    while isinstance(messages, dict):
        step, messages = next(iter(messages.items()))
        path = f"{path}/{step}"
    return f"/{path}: {messages[0]}"


def _problem(*, document: dict[str, Any], configuration: Configuration) -> str:
    """The first conflict with the configuration, with its JSON path; empty if there is none."""
    return (
        _unknown_name(document=document, configuration=configuration)
        or _foreign_backend(document=document, configuration=configuration)
        or _duplicate_proxy(document=document)
    )


def _unknown_name(*, document: dict[str, Any], configuration: Configuration) -> str:
    known_names: dict[str, set[str]] = {
        "lost": {*document["stalls"], *configuration.backends},
        "windows": {window.name for window in configuration.windows},
        "leads": set(configuration.databases),
    }
    for key, known in known_names.items():
        for index, name in enumerate(document[key]):
            if name not in known:
                return f"/{key}/{index}: '{name}' is not known"
    return ""


def _foreign_backend(*, document: dict[str, Any], configuration: Configuration) -> str:
    for database, entry in document["leads"].items():
        for name in (entry["primary"], *entry["inSync"]):
            if name not in configuration.databases[database]:
                return f"/leads/{database}: '{name}' is not a backend of this database"
    return ""


def _duplicate_proxy(*, document: dict[str, Any]) -> str:
    names = [*document["stalls"], *document["joins"]]
    return "/stalls: duplicate name" if len(set(names)) != len(names) else ""


def _primaries(*, document: dict[str, Any], configuration: Configuration) -> dict[str, str]:
    """The primary of each database; its first backend if the scenario names none."""
    return {
        database: document["leads"].get(database, {}).get("primary", backends[0])
        for database, backends in configuration.databases.items()
    }


def _in_sync(
    *, document: dict[str, Any], configuration: Configuration, primaries: dict[str, str]
) -> dict[str, tuple[str, ...]]:
    """The in-sync replicas of each database; the number that its policy requires if the scenario names none."""
    in_sync: dict[str, tuple[str, ...]] = {}
    for database, backends in configuration.databases.items():
        if database in document["leads"]:
            in_sync[database] = tuple(document["leads"][database]["inSync"])
            continue
        replicas = tuple(name for name in backends if name != primaries[database])
        in_sync[database] = replicas[: configuration.amount(name="inSync", database=database)]
    return in_sync
