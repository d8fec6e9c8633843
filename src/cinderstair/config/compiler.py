"""Compiles the configuration language into routes, policies and selectors; errors carry line and column."""

from dataclasses import dataclass
from functools import cache
from importlib.resources import files
from typing import Any

from expression import Error, Ok, Result
from lark import Lark, UnexpectedInput
from lark.exceptions import UnexpectedCharacters, UnexpectedEOF, UnexpectedToken, VisitError

from ..runtime.errors import CinderstairError, ErrorCode
from .program_builder import LanguageError, Program, ProgramBuilder
from .selector import Selector

#: The grammar's start rules: a program of statements, and a single selector.
PROGRAM_RULE, SELECTOR_RULE = "start", "selection"
#: How error messages name the grammar's terminals; all others appear by their name in lower case.
TERMINAL_NAMES = {
    "EQUAL": "=",
    "__ANON_0": "!=",
    "LPAR": "(",
    "RPAR": ")",
    "STAR": "*",
    "COMMA": ",",
    "NAME": "a name",
    "_NL": "the line's end",
    "INT": "a number",
    "STRING": "a text",
    "$END": "the end",
}


@dataclass(frozen=True, kw_only=True)
class SourceLocation:
    """A position in a source text; line and column count from 1."""

    line: int
    column: int


@cache
def _parser(*, rule: str) -> Lark:
    grammar = files(__package__).joinpath("language.lark").read_text()
    return Lark(grammar, parser="lalr", start=rule)


def _expectation(*, error: UnexpectedInput) -> str:
    """Describes the unexpected input and the expected terminals, without lark's internal terminal names."""
    if isinstance(error, UnexpectedToken):
        expected = error.accepts or error.expected
        found = "the line's end" if error.token.type == "_NL" else f"'{error.token}'"
    elif isinstance(error, UnexpectedCharacters):
        expected, found = error.allowed or set(), f"'{error.char}'"
    else:
        expected, found = set(getattr(error, "expected", ())), "the end"
    names = sorted({TERMINAL_NAMES.get(terminal, terminal.lower()) for terminal in expected})
    return f"found {found}, expected {' or '.join(names)}"


def _location(*, error: UnexpectedInput, text: str) -> SourceLocation:
    # lark reports no location at the end of input; report the position after the last character
    if isinstance(error, UnexpectedEOF) or error.line < 1:
        lines = text.splitlines() or [""]
        return SourceLocation(line=len(lines), column=len(lines[-1]) + 1)
    return SourceLocation(line=error.line, column=error.column)


def _invalid(*, location: SourceLocation, reason: str) -> Result[Any, CinderstairError]:
    return Error(
        CinderstairError(
            code=ErrorCode.BROKEN_CONFIGURATION,
            reason=f"line {location.line}, column {location.column}: {reason}",
            details={"line": location.line, "column": location.column},
        )
    )


def _compile(*, text: str, rule: str) -> Result[Any, CinderstairError]:
    try:
        tree = _parser(rule=rule).parse(text)
        return Ok(ProgramBuilder().transform(tree))
    except UnexpectedInput as error:
        return _invalid(location=_location(error=error, text=text), reason=_expectation(error=error))
    except VisitError as error:
        # lark wraps exceptions raised by ProgramBuilder's methods
        cause = error.orig_exc
        if not isinstance(cause, LanguageError):
            raise
        return _invalid(location=SourceLocation(line=cause.line, column=cause.column), reason=cause.reason)


def compile_program(*, text: str) -> Result[Program, CinderstairError]:
    """Compiles a program of routes and policies.

    :param text: statements, one per line or separated by semicolons
    :returns: the program, or the first error as BROKEN_CONFIGURATION with `line` and `column` in its details
    """
    return _compile(text=text + "\n", rule=PROGRAM_RULE)


def compile_selector(*, text: str) -> Result[Selector, CinderstairError]:
    """Compiles a single selector such as `hall = old`; errors are reported as by compile_program."""
    return _compile(text=text, rule=SELECTOR_RULE)
