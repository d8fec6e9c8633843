"""A what-if scenario: who is there, what is lost or joins, which windows are open."""

import json
from dataclasses import dataclass, field
from typing import Any

from expression import Error, Ok, Result
from marshmallow import Schema, ValidationError, fields, validate

from ..config.configuration import Configuration
from ..runtime.errors import CinderstairError, ErrorCode
from ..runtime.settings import NAME


class LeadSchema(Schema):
    primary = fields.String(required=True, validate=NAME)
    inSync = fields.List(fields.String(validate=NAME), load_default=list)


class ScenarioSchema(Schema):
    stalls = fields.List(
        fields.String(validate=NAME),
        required=True,
        validate=validate.Length(min=1, max=500, error="1 to 500 HTTP proxies"),
    )
    joins = fields.List(fields.String(validate=NAME), load_default=list)
    lost = fields.List(fields.String(validate=NAME), load_default=list)
    windows = fields.List(fields.String(validate=NAME), load_default=list)
    leads = fields.Dict(keys=fields.String(), values=fields.Nested(LeadSchema), load_default=dict)
    seed = fields.Integer(load_default=1, strict=True, validate=validate.Range(min=0, max=2**31))


@dataclass(frozen=True, kw_only=True)
class Scenario:
    """HTTP proxies hold their slots in the order given.

    `joins` and `lost` say what happens to them and to backends.
    """

    http_proxies: tuple[str, ...]
    joins: tuple[str, ...] = ()
    lost: tuple[str, ...] = ()
    windows: tuple[str, ...] = ()
    primaries: dict[str, str] = field(default_factory=dict)
    in_sync: dict[str, tuple[str, ...]] = field(default_factory=dict)
    seed: int = 1


def broken(*, why: str) -> Result[Scenario, CinderstairError]:
    return Error(CinderstairError(code=ErrorCode.MALFORMED, reason=why))


def read_scenario(*, raw: bytes, configuration: Configuration) -> Result[Scenario, CinderstairError]:
    """A scenario that fits a configuration, or the place where it doesn't."""
    try:
        value = json.loads(raw)
    except UnicodeDecodeError as error:
        return broken(why=f"not UTF-8 at byte {error.start}")
    except json.JSONDecodeError as error:
        return broken(why=f"line {error.lineno}, column {error.colno}: {error.msg}")
    try:
        loaded: dict[str, Any] = ScenarioSchema().load(value)
    except ValidationError as error:
        key, reason = next(iter(error.normalized_messages().items()))
        while isinstance(reason, dict):
            step, reason = next(iter(reason.items()))
            key = f"{key}/{step}"
        return broken(why=f"/{key}: {reason[0]}")
    known = {*loaded["stalls"], *configuration.backends}
    windows = {window.name for window in configuration.windows}
    for path, names, among in (
        ("lost", loaded["lost"], known),
        ("windows", loaded["windows"], windows),
        ("leads", list(loaded["leads"]), set(configuration.databases)),
    ):
        for index, name in enumerate(names):
            if name not in among:
                return broken(why=f"/{path}/{index}: '{name}' is not known")
    for database, lead in loaded["leads"].items():
        for name in (lead["primary"], *lead["inSync"]):
            if name not in configuration.databases[database]:
                return broken(why=f"/leads/{database}: '{name}' is no backend of it")
    every = [*loaded["stalls"], *loaded["joins"]]
    if len(set(every)) != len(every):
        return broken(why="/stalls: a name stands twice")
    primaries = {
        d: loaded["leads"].get(d, {}).get("primary", names[0]) for d, names in configuration.databases.items()
    }
    in_sync = {
        d: tuple(loaded["leads"][d]["inSync"])
        if d in loaded["leads"]
        # why: said nothing else, the usual state is assumed: as many in sync as the policy wants
        else tuple(n for n in names if n != primaries[d])[: configuration.amount(name="inSync", database=d)]
        for d, names in configuration.databases.items()
    }
    return Ok(
        Scenario(
            http_proxies=tuple(loaded["stalls"]),
            joins=tuple(loaded["joins"]),
            lost=tuple(loaded["lost"]),
            windows=tuple(loaded["windows"]),
            primaries=primaries,
            in_sync=in_sync,
            seed=loaded["seed"],
        )
    )
