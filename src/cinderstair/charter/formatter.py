"""Writes the small language in its one true form; comments stay."""

from expression import Error, Ok, Result

from ..pitch.fault import Fault
from .compiler import POLICIES, UNITS, compileProgram, compileSelector
from .route import Policy, Route


def names(*, databases: tuple[str, ...] | None) -> str:
    return "*" if databases is None else ", ".join(databases)


def amountText(*, policy: Policy) -> str:
    if POLICIES[policy.name][0] != "duration":
        return str(policy.amount)
    amount = int(policy.amount)
    unit = next(unit for unit in ("s", "ms", "us") if amount % UNITS[unit] == 0)
    return f"{amount // UNITS[unit]}{unit}"


def routeText(*, route: Route) -> str:
    where = f" where {route.where.text}" if route.where.text else ""
    return f"route {', '.join(route.kinds)} on {names(databases=route.databases)} to {route.target}{where}"


def policyText(*, policy: Policy) -> str:
    return f"policy {policy.name} on {names(databases=policy.databases)} is {amountText(policy=policy)}"


def splitComment(*, line: str) -> tuple[str, str]:
    """The code and the comment of a line; a '#' inside a text is no comment."""
    inText = False
    for place, letter in enumerate(line):
        if letter == '"':
            inText = not inText
        elif letter == "#" and not inText:
            return line[:place], line[place:].strip()
    return line, ""


def formatLine(*, line: str) -> Result[str, Fault]:
    code, comment = splitComment(line=line)
    compiled = compileProgram(text=code)
    if compiled.is_error():
        return Error(compiled.error)
    program = compiled.ok
    texts = [routeText(route=route) for route in program.routes]
    texts += [policyText(policy=policy) for policy in program.policies]
    return Ok("  ".join(part for part in ("; ".join(texts), comment) if part))


def formatProgram(*, text: str) -> Result[str, Fault]:
    """The whole text line by line; it must have compiled as a whole before."""
    whole = compileProgram(text=text)
    if whole.is_error():
        return Error(whole.error)
    lines = []
    for line in text.splitlines():
        formatted = formatLine(line=line)
        if formatted.is_error():
            return Error(formatted.error)
        lines.append(formatted.ok)
    return Ok("\n".join(lines))


def formatSelector(*, text: str) -> Result[str, Fault]:
    return compileSelector(text=text).map(lambda selector: selector.text)
