"""Transforms parse trees of the configuration language into routes, policies and selectors."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from lark import Token, Transformer, v_args

from .policy_kinds import DURATION_UNITS_US, POLICY_KINDS, SITES, PolicyKind, ValueKind
from .route import KINDS, Policy, Route
from .selector import EVERYTHING, Labels, Selector

#: Kinds of statement that only a primary may serve.
PRIMARY_KINDS = ("primary", "write")


@dataclass(frozen=True, kw_only=True)
class Program:
    """All routes and policies of a configuration, in source order."""

    routes: tuple[Route, ...] = ()
    policies: tuple[Policy, ...] = ()


class LanguageError(Exception):
    """A semantic error in the text; line and column count from 1 and are 0 if unknown."""

    def __init__(self, *, token: Token, reason: str) -> None:
        super().__init__(reason)
        self.line = token.line or 0
        self.column = token.column or 0
        self.reason = f"'{token}': {reason}"


@dataclass(frozen=True, kw_only=True)
class PolicyValue:
    """A policy's value, a duration in microseconds; the token holds its source location."""

    kind: ValueKind
    value: int | str
    token: Token


def quoted(*, value: str) -> str:
    """A label's value in source form: in quotes unless it is a plain name."""
    plain = value.replace("-", "_").replace(".", "_").isidentifier()
    return value if plain else f'"{value}"'


def _joined(*, parts: tuple[Selector, ...], operator: str, test: Callable[[Labels], bool]) -> Selector:
    # a single part stays without parentheses, so that formatting is idempotent
    if len(parts) == 1:
        return parts[0]
    texts = [f"({part.text})" if " and " in part.text or " or " in part.text else part.text for part in parts]
    keys = frozenset().union(*(part.keys for part in parts))
    return Selector(test=test, text=operator.join(texts), keys=keys)


@v_args(inline=True)
class ProgramBuilder(Transformer[Token, Any]):
    """Transforms a parse tree bottom-up into typed values; each method handles its namesake rule of `language.lark`.

    Raises LanguageError for a statement that is syntactically correct but invalid.
    """

    # -- selectors --

    def value(self, token: Token) -> str:
        return str(token).strip('"')

    def equals(self, key: Token, value: str) -> Selector:
        name = str(key)
        return Selector(
            test=lambda labels: labels.get(name) == value,
            text=f"{name} = {quoted(value=value)}",
            keys=frozenset([name]),
        )

    def not_equals(self, key: Token, value: str) -> Selector:
        name = str(key)
        return Selector(
            test=lambda labels: labels.get(name) != value,
            text=f"{name} != {quoted(value=value)}",
            keys=frozenset([name]),
        )

    def in_list(self, key: Token, *values: str) -> Selector:
        name, wanted = str(key), frozenset(values)
        listed = ", ".join(quoted(value=value) for value in sorted(wanted))
        return Selector(
            test=lambda labels: labels.get(name) in wanted,
            text=f"{name} in ({listed})",
            keys=frozenset([name]),
        )

    def has_label(self, key: Token) -> Selector:
        name = str(key)
        return Selector(test=lambda labels: name in labels, text=f"has {name}", keys=frozenset([name]))

    def not_expr(self, inner: Selector) -> Selector:
        return Selector(test=lambda labels: not inner.test(labels), text=f"not ({inner.text})", keys=inner.keys)

    def and_expr(self, *parts: Selector) -> Selector:
        return _joined(parts=parts, operator=" and ", test=lambda labels: all(part.test(labels) for part in parts))

    def or_expr(self, *parts: Selector) -> Selector:
        return _joined(parts=parts, operator=" or ", test=lambda labels: any(part.test(labels) for part in parts))

    def selection(self, selector: Selector) -> Selector:
        return selector

    # -- routes --

    def where(self, selector: Selector) -> Selector:
        return selector

    def kinds(self, *names: Token) -> tuple[Token, ...]:
        return names

    def all_databases(self) -> None:
        return None

    def named_databases(self, *names: Token) -> tuple[str, ...]:
        return tuple(str(name) for name in names)

    def primary_target(self) -> str:
        return "primary"

    def replica_target(self) -> str:
        return "replica"

    def any_target(self) -> str:
        return "any"

    def deny_target(self) -> str:
        return "deny"

    def route(
        self, kinds: tuple[Token, ...], databases: tuple[str, ...] | None, target: str, where: Selector | None = None
    ) -> Route:
        names = tuple(str(kind) for kind in kinds)
        for kind in kinds:
            if str(kind) not in KINDS:
                raise LanguageError(token=kind, reason=f"expected one of {', '.join(KINDS)}")
        # only the primary can give the guarantees of these kinds, so no route may send them to a replica
        if target in ("replica", "any") and any(name in PRIMARY_KINDS for name in names):
            raise LanguageError(token=kinds[0], reason="kinds primary and write go to primary or deny")
        return Route(
            kinds=names, databases=databases, target=target, where=where or EVERYTHING, line=kinds[0].line or 0
        )

    # -- policies --

    def duration(self, token: Token) -> PolicyValue:
        digits = "".join(character for character in token if character.isdigit())
        unit = token[len(digits) :]
        return PolicyValue(kind=ValueKind.DURATION, value=int(digits) * DURATION_UNITS_US[unit], token=token)

    def integer(self, token: Token) -> PolicyValue:
        return PolicyValue(kind=ValueKind.INTEGER, value=int(token), token=token)

    def word(self, token: Token) -> PolicyValue:
        return PolicyValue(kind=ValueKind.WORD, value=str(token), token=token)

    def policy(self, name: Token, databases: tuple[str, ...] | None, amount: PolicyValue) -> Policy:
        kind = POLICY_KINDS.get(str(name))
        if kind is None:
            raise LanguageError(token=name, reason=f"expected one of {', '.join(sorted(POLICY_KINDS))}")
        _check_amount(name=name, kind=kind, amount=amount)
        return Policy(name=str(name), databases=databases, amount=amount.value, line=name.line or 0)

    # -- programs --

    def statement(self, inner: Route | Policy) -> Route | Policy:
        return inner

    def start(self, *statements: Any) -> Program:
        return Program(
            routes=tuple(each for each in statements if isinstance(each, Route)),
            policies=tuple(each for each in statements if isinstance(each, Policy)),
        )


def _check_amount(*, name: Token, kind: PolicyKind, amount: PolicyValue) -> None:
    """Raises LanguageError if the value's type or range doesn't fit the policy."""
    if amount.kind != kind.value_kind:
        raise LanguageError(token=amount.token, reason=f"{name} takes a {kind.value_kind.value}")
    if isinstance(amount.value, str):
        if amount.value not in SITES:
            raise LanguageError(token=amount.token, reason=f"expected one of {', '.join(SITES)}")
    elif not kind.minimum <= amount.value <= kind.maximum:
        bounds = f"from {kind.minimum} to {kind.maximum} (durations in microseconds)"
        raise LanguageError(token=amount.token, reason=f"{name} must be {bounds}")
