"""Validates a configuration document as a whole: yields a Configuration, or all errors with their locations."""

import json
from collections import Counter
from collections.abc import Collection, Mapping
from dataclasses import dataclass, replace
from typing import Any

from expression import Error, Ok, Result
from marshmallow import ValidationError

from ..runtime.errors import CinderstairError, ErrorCode
from .backend import Backend
from .compiler import compile_program, compile_selector
from .configuration import Configuration
from .program_builder import Program
from .route import Policy, Route
from .schema import ConfigurationSchema, join_lines
from .selector import Selector
from .window import Window, parse_time_us

MAX_DOCUMENT_BYTES = 1024 * 1024
#: The reason is a summary; the error details list every error.
MAX_ERRORS_IN_REASON = 3
#: Keys in marshmallow's nested errors that are no part of a path in the document.
MARSHMALLOW_PATH_KEYS = ("value", "key", "_schema")


def _invalid(*, errors: list[str]) -> Result[Any, CinderstairError]:
    reason = "; ".join(errors[:MAX_ERRORS_IN_REASON])
    return Error(CinderstairError(code=ErrorCode.BROKEN_CONFIGURATION, reason=reason, details={"errors": errors}))


def _schema_errors(*, messages: Any, path: str) -> list[str]:
    """Flattens marshmallow's nested errors into one line per message, with its path in the document."""
    if not isinstance(messages, dict):
        return [f"{path or '/'}: {message}" for message in messages]
    lines: list[str] = []
    for key, inner in messages.items():
        inner_path = path if key in MARSHMALLOW_PATH_KEYS else f"{path}/{key}"
        lines += _schema_errors(messages=inner, path=inner_path)
    return lines


def _unique_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    # json.loads would silently keep only the last of two values under one key
    for name, count in Counter(name for name, _ in pairs).items():
        if count > 1:
            raise ValueError(f"duplicate key '{name}'")
    return dict(pairs)


def _read_document(*, raw: bytes) -> Result[dict[str, Any], CinderstairError]:
    if len(raw) > MAX_DOCUMENT_BYTES:
        return _invalid(errors=[f"the document is larger than {MAX_DOCUMENT_BYTES} bytes"])
    try:
        document = json.loads(raw.decode(), object_pairs_hook=_unique_keys)
    except UnicodeDecodeError as error:
        return _invalid(errors=[f"not UTF-8 at byte {error.start}"])
    except json.JSONDecodeError as error:
        return _invalid(errors=[f"line {error.lineno}, column {error.colno}: {error.msg}"])
    except (ValueError, RecursionError) as error:
        return _invalid(errors=[str(error)])
    if not isinstance(document, dict):
        return _invalid(errors=["/: must be an object"])
    return Ok(document)


def check_configuration(*, raw: bytes) -> Result[Configuration, CinderstairError]:
    """Validates and compiles a document before it may be written to the register.

    :param raw: the operator's document, JSON in UTF-8
    :returns: the compiled configuration with its warnings, or a BROKEN_CONFIGURATION error whose details list one
        line per error under `errors`
    """
    document = _read_document(raw=raw)
    if document.is_error():
        return Error(document.error)
    try:
        loaded = ConfigurationSchema().load(document.ok)
    except ValidationError as error:
        return _invalid(errors=_schema_errors(messages=error.normalized_messages(), path=""))
    errors: list[str] = []
    configuration = Configuration(
        version=loaded["version"],
        raw=raw,
        backends=_collect_backends(loaded=loaded, errors=errors),
        databases=_backend_names(loaded=loaded),
        http_proxy_labels=loaded["stalls"],
        program=_collect_program(loaded=loaded, errors=errors),
        windows=_collect_windows(loaded=loaded, errors=errors),
    )
    errors += _unknown_databases(configuration=configuration)
    if errors:
        return _invalid(errors=errors)
    return Ok(replace(configuration, warnings=_warnings(configuration=configuration)))


def _backend_names(*, loaded: dict[str, Any]) -> dict[str, tuple[str, ...]]:
    return {
        database: tuple(sorted(backend["name"] for backend in entry["backends"]))
        for database, entry in loaded["databases"].items()
    }


def _collect_backends(*, loaded: dict[str, Any], errors: list[str]) -> dict[str, Backend]:
    backends: dict[str, Backend] = {}
    addresses: set[str] = set()
    for database, entry in loaded["databases"].items():
        for index, fields in enumerate(entry["backends"]):
            path = f"/databases/{database}/backends/{index}"
            # heartbeats and primary assignments name a backend without its database, so names must be unique overall
            if fields["name"] in backends:
                errors.append(f"{path}/name: '{fields['name']}' is used more than once")
            if fields["address"] in addresses:
                errors.append(f"{path}/address: '{fields['address']}' is used more than once")
            addresses.add(fields["address"])
            backends[fields["name"]] = Backend(database=database, **fields)
    return backends


def _collect_program(*, loaded: dict[str, Any], errors: list[str]) -> Program:
    try:
        text = join_lines(loaded["language"])
    except ValidationError as error:
        errors.append(f"/language: {error.messages[0]}")
        return Program()
    program = compile_program(text=text)
    if program.is_error():
        errors.append(f"/language: {program.error.reason}")
        return Program()
    return program.ok


def _unknown_databases(*, configuration: Configuration) -> list[str]:
    statements: list[Route | Policy] = [*configuration.program.routes, *configuration.program.policies]
    return [
        f"/language: line {statement.line}: no database '{name}'"
        for statement in statements
        for name in statement.databases or ()
        if name not in configuration.databases
    ]


def _collect_windows(*, loaded: dict[str, Any], errors: list[str]) -> tuple[Window, ...]:
    windows: dict[str, Window] = {}
    for index, entry in enumerate(loaded["windows"]):
        path = f"/windows/{index}"
        window = _read_window(entry=entry, path=path, known=windows.keys(), errors=errors)
        if window is not None:
            windows[window.name] = window
    return tuple(windows.values())


def _read_window(*, entry: dict[str, str], path: str, known: Collection[str], errors: list[str]) -> Window | None:
    """Parses one window; returns None and appends to `errors` if a time or the selector is invalid.

    :param known: names of the preceding windows
    """
    starts, ends = parse_time_us(text=entry["starts"]), parse_time_us(text=entry["ends"])
    selector = compile_selector(text=entry["empties"])
    if starts.is_error():
        errors.append(f"{path}/starts: {starts.error}")
    if ends.is_error():
        errors.append(f"{path}/ends: {ends.error}")
    if selector.is_error():
        errors.append(f"{path}/empties: {selector.error.reason}")
    if entry["name"] in known:
        errors.append(f"{path}/name: '{entry['name']}' is used more than once")
    if starts.is_error() or ends.is_error() or selector.is_error():
        return None
    if ends.ok <= starts.ok:
        errors.append(f"{path}/ends: must be later than the start")
    return Window(name=entry["name"], starts_us=starts.ok, ends_us=ends.ok, drained=selector.ok)


@dataclass(frozen=True, kw_only=True)
class _UsedSelector:
    """A selector, and the name of its user as shown in warnings."""

    user: str
    selector: Selector


def _used_selectors(*, configuration: Configuration) -> list[_UsedSelector]:
    return [
        *(_UsedSelector(user=f"window {window.name}", selector=window.drained) for window in configuration.windows),
        *(
            _UsedSelector(user=f"language line {route.line}", selector=route.where)
            for route in configuration.program.routes
        ),
    ]


def _warnings(*, configuration: Configuration) -> tuple[str, ...]:
    """Warns of unknown labels and of selectors that match nothing: valid, but probably mistakes."""
    labelled: list[Mapping[str, str]] = [
        *(backend.labels for backend in configuration.backends.values()),
        *configuration.http_proxy_labels.values(),
    ]
    labels_in_use = {key for labels in labelled for key in labels}
    warnings: list[str] = []
    for used in _used_selectors(configuration=configuration):
        unknown_keys = sorted(used.selector.keys - labels_in_use)
        warnings += [f"{used.user}: no backend or HTTP proxy has the label '{key}'" for key in unknown_keys]
        if not any(used.selector.matches(labels=labels) for labels in labelled):
            warnings.append(f"{used.user}: the selector matches no backend or HTTP proxy")
    return tuple(warnings)
