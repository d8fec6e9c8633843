"""The compiler of the small language: text in, routes and policies out, every error with its place."""

from dataclasses import dataclass
from functools import cache
from importlib.resources import files
from typing import Any

from expression import Error, Ok, Result
from lark import Lark, Token, Transformer, UnexpectedInput, v_args
from lark.exceptions import UnexpectedCharacters, UnexpectedEOF, UnexpectedToken

from ..runtime.errors import CinderstairError, ErrorCode
from .route import KINDS, Policy, Route
from .selector import EVERYTHING, Selector

UNITS = {"us": 1, "ms": 1_000, "s": 1_000_000}
# why: margins beyond the contract's bounds would let a policy break a promise, so they can't be written
POLICIES = {
    "liveAge": ("duration", 50_000, 1_300_000),
    "freshAge": ("duration", 50_000, 2_300_000),
    "commitWait": ("duration", 10_000, 5_000_000),
    "subsetSize": ("whole", 0, 10_000),
    "active": ("whole", 1, 100_000),
    "closeWait": ("duration", 0, 3_000_000),
    "inSync": ("whole", 1, 16),
    "site": ("word", 0, 0),
}
SITES = ("near", "any")


@dataclass(frozen=True, kw_only=True)
class Program:
    """All routes and policies of a configuration."""

    routes: tuple[Route, ...] = ()
    policies: tuple[Policy, ...] = ()


def quoted(*, value: str) -> str:
    return value if value.replace("-", "_").replace(".", "_").isidentifier() else f'"{value}"'


@v_args(inline=True)
class Builder(Transformer[Token, Any]):
    """Turns the parse into our types, from the leaves up."""

    def value(self, token: Token) -> str:
        return str(token).strip('"')

    def equal(self, key: Token, value: str) -> Selector:
        name = str(key)
        return Selector(
            test=lambda labels: labels.get(name) == value,
            text=f"{name} = {quoted(value=value)}",
            keys=frozenset([name]),
        )

    def unequal(self, key: Token, value: str) -> Selector:
        name = str(key)
        return Selector(
            test=lambda labels: labels.get(name) != value,
            text=f"{name} != {quoted(value=value)}",
            keys=frozenset([name]),
        )

    def among(self, key: Token, *values: str) -> Selector:
        name, wanted = str(key), frozenset(values)
        listed = ", ".join(quoted(value=value) for value in sorted(wanted))
        return Selector(
            test=lambda labels: labels.get(name) in wanted,
            text=f"{name} in ({listed})",
            keys=frozenset([name]),
        )

    def present(self, key: Token) -> Selector:
        name = str(key)
        return Selector(test=lambda labels: name in labels, text=f"has {name}", keys=frozenset([name]))

    def negated(self, inner: Selector) -> Selector:
        return Selector(test=lambda labels: not inner.test(labels), text=f"not ({inner.text})", keys=inner.keys)

    def both(self, *parts: Selector) -> Selector:
        return self._joined(parts=parts, word=" and ", test=lambda labels: all(p.test(labels) for p in parts))

    def either(self, *parts: Selector) -> Selector:
        return self._joined(parts=parts, word=" or ", test=lambda labels: any(p.test(labels) for p in parts))

    def _joined(self, *, parts: tuple[Selector, ...], word: str, test: Any) -> Selector:
        # why: a single part needs no brackets, and formatting twice must give the same text
        if len(parts) == 1:
            return parts[0]
        text = word.join(f"({p.text})" if " and " in p.text or " or " in p.text else p.text for p in parts)
        return Selector(test=test, text=text, keys=frozenset().union(*(p.keys for p in parts)))

    def selection(self, selector: Selector) -> Selector:
        return selector

    def where(self, selector: Selector) -> Selector:
        return selector

    def kinds(self, *names: Token) -> tuple[Token, ...]:
        return names

    def everydb(self) -> None:
        return None

    def somedbs(self, *names: Token) -> tuple[str, ...]:
        return tuple(str(name) for name in names)

    def primary(self) -> str:
        return "primary"

    def replica(self) -> str:
        return "replica"

    def anyone(self) -> str:
        return "any"

    def rejected(self) -> str:
        return "deny"

    def route(self, kinds: Any, dbs: Any, target: str, where: Selector | None = None) -> Route:
        for name in kinds:
            if str(name) not in KINDS:
                raise LanguageError(token=name, why=f"expected one of {', '.join(KINDS)}")
        # why: only the primary can keep these two promises, so no route may send them elsewhere
        if target in ("replica", "any") and any(str(name) in ("primary", "write") for name in kinds):
            raise LanguageError(token=kinds[0], why="kinds primary and write go to primary or deny")
        return Route(
            kinds=tuple(str(name) for name in kinds),
            databases=dbs,
            target=target,
            where=where or EVERYTHING,
            line=kinds[0].line or 0,
        )

    def duration(self, token: Token) -> tuple[str, Any, Token]:
        digits = "".join(c for c in token if c.isdigit())
        return "duration", int(digits) * UNITS[token[len(digits) :]], token

    def whole(self, token: Token) -> tuple[str, Any, Token]:
        return "whole", int(token), token

    def word(self, token: Token) -> tuple[str, Any, Token]:
        return "word", str(token), token

    def policy(self, name: Token, dbs: Any, amount: tuple[str, Any, Token]) -> Policy:
        form = POLICIES.get(str(name))
        if form is None:
            raise LanguageError(token=name, why=f"expected one of {', '.join(sorted(POLICIES))}")
        sort, value, token = amount
        if sort != form[0]:
            raise LanguageError(token=token, why=f"{name} takes a {form[0]}")
        if sort == "word" and value not in SITES:
            raise LanguageError(token=token, why=f"expected one of {', '.join(SITES)}")
        if sort != "word" and not form[1] <= value <= form[2]:
            raise LanguageError(token=token, why=f"{name} must be from {form[1]} to {form[2]} (us or whole)")
        return Policy(name=str(name), databases=dbs, amount=value, line=name.line or 0)

    def statement(self, inner: Route | Policy) -> Route | Policy:
        return inner

    def start(self, *statements: Any) -> Program:
        return Program(
            routes=tuple(s for s in statements if isinstance(s, Route)),
            policies=tuple(s for s in statements if isinstance(s, Policy)),
        )


class LanguageError(Exception):
    """A place in the text and what is wrong there."""

    def __init__(self, *, token: Token, why: str) -> None:
        super().__init__(why)
        self.line, self.column, self.why = token.line or 0, token.column or 0, f"'{token}': {why}"


@cache
def parsers() -> dict[str, Lark]:
    grammar = files(__package__).joinpath("language.lark").read_text()
    return {start: Lark(grammar, parser="lalr", start=start) for start in ("start", "selection")}


def expectation(*, error: UnexpectedInput) -> str:
    # why: lark's own names for its terminals mean nothing to an operator
    if isinstance(error, UnexpectedToken):
        names = error.accepts or error.expected
        found = "the line's end" if error.token.type == "_NL" else f"'{error.token}'"
    elif isinstance(error, UnexpectedCharacters):
        names, found = error.allowed or set(), f"'{error.char}'"
    else:
        names, found = set(getattr(error, "expected", ())), "the end"
    words = {"EQUAL": "=", "__ANON_0": "!=", "LPAR": "(", "RPAR": ")", "STAR": "*", "COMMA": ","}
    words |= {
        "NAME": "a name",
        "_NL": "the line's end",
        "INT": "a number",
        "STRING": "a text",
        "$END": "the end",
    }
    listed = sorted({words.get(name, name.lower()) for name in names})
    return f"found {found}, expected {' or '.join(listed)}"


def parse(*, text: str, start: str) -> Result[Any, CinderstairError]:
    try:
        tree = parsers()[start].parse(text)
        return Ok(Builder().transform(tree))
    except UnexpectedInput as error:
        line, column, why = error.line, error.column, expectation(error=error)
        # why: at the end lark knows no place, and the operator still wants one
        if isinstance(error, UnexpectedEOF) or line < 1:
            lines = text.splitlines() or [""]
            line, column = len(lines), len(lines[-1]) + 1
    except Exception as error:  # lark wraps what a Builder raises
        inner = getattr(error, "orig_exc", error)
        if not isinstance(inner, LanguageError):
            raise
        line, column, why = inner.line, inner.column, inner.why
    details = {"line": line, "column": column}
    return Error(
        CinderstairError(
            code=ErrorCode.BROKEN_CONFIGURATION, reason=f"line {line}, column {column}: {why}", details=details
        )
    )


def compile_program(*, text: str) -> Result[Program, CinderstairError]:
    return parse(text=text + "\n", start="start")


def compile_selector(*, text: str) -> Result[Selector, CinderstairError]:
    return parse(text=text, start="selection")
