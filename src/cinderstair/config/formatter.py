"""Writes the small language in its one true form; comments stay."""

from expression import Error, Ok, Result

from ..runtime.errors import CinderstairError
from .compiler import POLICIES, UNITS, compile_program, compile_selector
from .route import Policy, Route


def names(*, databases: tuple[str, ...] | None) -> str:
    return "*" if databases is None else ", ".join(databases)


def amount_text(*, policy: Policy) -> str:
    if POLICIES[policy.name][0] != "duration":
        return str(policy.amount)
    amount = int(policy.amount)
    unit = next(unit for unit in ("s", "ms", "us") if amount % UNITS[unit] == 0)
    return f"{amount // UNITS[unit]}{unit}"


def route_text(*, route: Route) -> str:
    where = f" where {route.where.text}" if route.where.text else ""
    return f"route {', '.join(route.kinds)} on {names(databases=route.databases)} to {route.target}{where}"


def policy_text(*, policy: Policy) -> str:
    return f"policy {policy.name} on {names(databases=policy.databases)} is {amount_text(policy=policy)}"


def split_comment(*, line: str) -> tuple[str, str]:
    """The code and the comment of a line; a '#' inside a text is no comment."""
    in_text = False
    for place, letter in enumerate(line):
        if letter == '"':
            in_text = not in_text
        elif letter == "#" and not in_text:
            return line[:place], line[place:].strip()
    return line, ""


def format_line(*, line: str) -> Result[str, CinderstairError]:
    code, comment = split_comment(line=line)
    compiled = compile_program(text=code)
    if compiled.is_error():
        return Error(compiled.error)
    program = compiled.ok
    texts = [route_text(route=route) for route in program.routes]
    texts += [policy_text(policy=policy) for policy in program.policies]
    return Ok("  ".join(part for part in ("; ".join(texts), comment) if part))


def format_program(*, text: str) -> Result[str, CinderstairError]:
    """The whole text line by line; it must have compiled as a whole before."""
    whole = compile_program(text=text)
    if whole.is_error():
        return Error(whole.error)
    lines = []
    for line in text.splitlines():
        formatted = format_line(line=line)
        if formatted.is_error():
            return Error(formatted.error)
        lines.append(formatted.ok)
    return Ok("\n".join(lines))


def format_selector(*, text: str) -> Result[str, CinderstairError]:
    return compile_selector(text=text).map(lambda selector: selector.text)
