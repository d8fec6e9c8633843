"""Checks a configuration document whole: a Charter, or every error with its place."""

import json
from typing import Any

from expression import Error, Ok, Result
from marshmallow import ValidationError

from ..maintenance.window import Window, moment_us
from ..runtime.errors import CinderstairError, ErrorCode
from .backend import Backend
from .compiler import Program, compile_program, compile_selector
from .configuration import Configuration
from .route import Policy, Route
from .schema import ConfigurationSchema, check_language

MOST_BYTES = 1024 * 1024


def broken(*, errors: list[str]) -> Result[Configuration, CinderstairError]:
    return Error(
        CinderstairError(
            code=ErrorCode.BROKEN_CONFIGURATION, reason="; ".join(errors[:3]), details={"errors": errors}
        )
    )


def flatten(*, messages: Any, path: str) -> list[str]:
    if isinstance(messages, dict):
        return [
            line
            for key, inner in messages.items()
            # why: marshmallow sets 'value' between a map's key and its errors; operators know no such step
            for line in flatten(messages=inner, path=path if key in ("value", "key", "_schema") else f"{path}/{key}")
        ]
    return [f"{path or '/'}: {message}" for message in messages]


def no_duplicates(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    # why: a key written twice would silently lose one of the two
    names = [name for name, _ in pairs]
    for name in names:
        if names.count(name) > 1:
            raise ValueError(f"the key '{name}' stands twice")
    return dict(pairs)


def read_document(*, raw: bytes) -> Result[Any, CinderstairError]:
    if len(raw) > MOST_BYTES:
        return broken(errors=[f"the document is larger than {MOST_BYTES} bytes"])
    try:
        text = raw.decode()
        document = json.loads(text, object_pairs_hook=no_duplicates)
    except UnicodeDecodeError as error:
        return broken(errors=[f"not UTF-8 at byte {error.start}"])
    except json.JSONDecodeError as error:
        return broken(errors=[f"line {error.lineno}, column {error.colno}: {error.msg}"])
    except (ValueError, RecursionError) as error:
        return broken(errors=[str(error)])
    if not isinstance(document, dict):
        return broken(errors=["/: not an object"])
    return Ok(document)


def check_configuration(*, raw: bytes) -> Result[Configuration, CinderstairError]:
    """Everything is checked and compiled here, before a version can be written to the register."""
    document = read_document(raw=raw)
    if document.is_error():
        return Error(document.error)
    try:
        loaded = ConfigurationSchema().load(document.ok)
    except ValidationError as error:
        return broken(errors=flatten(messages=error.normalized_messages(), path=""))
    errors: list[str] = []
    backends = collect_backends(loaded=loaded, errors=errors)
    program = collect_program(loaded=loaded, errors=errors)
    windows = collect_windows(loaded=loaded, errors=errors)
    databases = set(loaded["databases"])
    statements: list[Route | Policy] = [*program.routes, *program.policies]
    for statement in statements:
        for name in statement.databases or ():
            if name not in databases:
                errors.append(f"/language: line {statement.line}: no database '{name}'")
    if errors:
        return broken(errors=errors)
    configuration = Configuration(
        version=loaded["version"],
        raw=raw,
        backends=backends,
        databases={
            name: tuple(sorted(b["name"] for b in database["backends"]))
            for name, database in loaded["databases"].items()
        },
        http_proxy_labels=loaded["stalls"],
        program=program,
        windows=windows,
    )
    return Ok(with_warnings(configuration=configuration))


def collect_backends(*, loaded: dict[str, Any], errors: list[str]) -> dict[str, Backend]:
    backends: dict[str, Backend] = {}
    addresses: set[str] = set()
    for database, entry in loaded["databases"].items():
        for index, one in enumerate(entry["backends"]):
            path = f"/databases/{database}/backends/{index}"
            # why: news and leads know a backend by its name alone
            if one["name"] in backends:
                errors.append(f"{path}/name: '{one['name']}' stands twice")
            if one["address"] in addresses:
                errors.append(f"{path}/address: '{one['address']}' stands twice")
            addresses.add(one["address"])
            backends[one["name"]] = Backend(database=database, **one)
    return backends


def collect_program(*, loaded: dict[str, Any], errors: list[str]) -> Program:
    try:
        text = check_language(loaded["language"])
    except ValidationError as error:
        errors.append(f"/language: {error.messages[0]}")
        return Program()
    program = compile_program(text=text)
    if program.is_error():
        errors.append(f"/language: {program.error.reason}")
        return Program()
    return program.ok


def collect_windows(*, loaded: dict[str, Any], errors: list[str]) -> tuple[Window, ...]:
    windows: dict[str, Window] = {}
    for index, entry in enumerate(loaded["windows"]):
        path = f"/windows/{index}"
        starts, ends = moment_us(text=entry["starts"]), moment_us(text=entry["ends"])
        selector = compile_selector(text=entry["empties"])
        if starts.is_error():
            errors.append(f"{path}/starts: {starts.error}")
        if ends.is_error():
            errors.append(f"{path}/ends: {ends.error}")
        if selector.is_error():
            errors.append(f"{path}/empties: {selector.error.reason}")
        if entry["name"] in windows:
            errors.append(f"{path}/name: '{entry['name']}' stands twice")
        if starts.is_error() or ends.is_error() or selector.is_error():
            continue
        if ends.ok <= starts.ok:
            errors.append(f"{path}/ends: not after its start")
        windows[entry["name"]] = Window(name=entry["name"], starts_us=starts.ok, ends_us=ends.ok, empties=selector.ok)
    return tuple(windows.values())


def with_warnings(*, configuration: Configuration) -> Configuration:
    """Unknown labels and selectors that match nothing are no errors, and still worth a word."""
    things = [
        *(backend.labels for backend in configuration.backends.values()),
        *configuration.http_proxy_labels.values(),
    ]
    known = {key for labels in things for key in labels}
    warnings: list[str] = []
    selectors = [(f"window {window.name}", window.empties) for window in configuration.windows]
    selectors += [(f"language line {route.line}", route.where) for route in configuration.program.routes]
    for where, selector in selectors:
        warnings += [f"{where}: no label '{key}' anywhere" for key in sorted(selector.keys - known)]
        if not any(selector.picks(labels=labels) for labels in things):
            warnings.append(f"{where}: selects nothing")
    return Configuration(**{**vars(configuration), "warnings": tuple(warnings)})
