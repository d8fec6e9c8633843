"""Formats the configuration language canonically, keeping comments."""

from dataclasses import dataclass

from expression import Error, Ok, Result

from ..runtime.errors import CinderstairError
from .compiler import compile_program, compile_selector
from .policy_kinds import DURATION_UNITS_US, POLICY_KINDS, ValueKind
from .route import Policy, Route


def _database_names(*, databases: tuple[str, ...] | None) -> str:
    return "*" if databases is None else ", ".join(databases)


def _amount_text(*, policy: Policy) -> str:
    if POLICY_KINDS[policy.name].value_kind != ValueKind.DURATION:
        return str(policy.amount)
    amount_us = int(policy.amount)
    unit = next(unit for unit in ("s", "ms", "us") if amount_us % DURATION_UNITS_US[unit] == 0)
    return f"{amount_us // DURATION_UNITS_US[unit]}{unit}"


def _route_text(*, route: Route) -> str:
    where = f" where {route.where.text}" if route.where.text else ""
    return f"route {', '.join(route.kinds)} on {_database_names(databases=route.databases)} to {route.target}{where}"


def _policy_text(*, policy: Policy) -> str:
    return f"policy {policy.name} on {_database_names(databases=policy.databases)} is {_amount_text(policy=policy)}"


@dataclass(frozen=True, kw_only=True)
class _SourceLine:
    """One line split into its statements and its comment including the '#'; either may be empty."""

    statements: str
    comment: str = ""


def _split_comment(*, line: str) -> _SourceLine:
    in_quotes = False
    for index, character in enumerate(line):
        if character == '"':
            in_quotes = not in_quotes
        elif character == "#" and not in_quotes:
            return _SourceLine(statements=line[:index], comment=line[index:].strip())
    return _SourceLine(statements=line)


def _format_line(*, line: str) -> Result[str, CinderstairError]:
    source = _split_comment(line=line)
    compiled = compile_program(text=source.statements)
    if compiled.is_error():
        return Error(compiled.error)
    program = compiled.ok
    texts = [_route_text(route=route) for route in program.routes]
    texts += [_policy_text(policy=policy) for policy in program.policies]
    return Ok("  ".join(part for part in ("; ".join(texts), source.comment) if part))


def format_program(*, text: str) -> Result[str, CinderstairError]:
    """The canonical form of a program, line by line, or its first compile error."""
    whole = compile_program(text=text)
    if whole.is_error():
        return Error(whole.error)
    lines = []
    for line in text.splitlines():
        formatted = _format_line(line=line)
        if formatted.is_error():
            return Error(formatted.error)
        lines.append(formatted.ok)
    return Ok("\n".join(lines))


def format_selector(*, text: str) -> Result[str, CinderstairError]:
    """The canonical form of a selector, or its compile error."""
    return compile_selector(text=text).map(lambda selector: selector.text)
