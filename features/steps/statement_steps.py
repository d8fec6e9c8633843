"""Steps for parsing clients' statements and formatting them for backends."""

import random
from typing import Any

from adapter.statements import read_statement, text_for
from adapter_common import raw
from behave import then

from cinderstair.pooler.statement import Verb


@then('the text "{text}" is parsed as {verb}')
def then_statement(context: Any, text: str, verb: str) -> None:
    context.statement = read_statement(ident=b"id1", text=raw(text=text))
    assert context.statement.verb == Verb[verb], context.statement


@then('the field "{field}" is "{value}"')
def then_field(context: Any, field: str, value: str) -> None:
    found = getattr(context.statement, field)
    assert (str(found) if isinstance(found, bool) else found) == (
        value if isinstance(found, bool) else raw(text=value.strip("'"))
    ), found


@then('the text "{text}" is refused')
def then_no_statement(context: Any, text: str) -> None:
    try:
        found = read_statement(ident=b"1", text=raw(text=text))
    except ValueError:
        return
    raise AssertionError(found)


@then("a backend is sent {count:d} seeded reads, writes and commits byte for byte, with any alias")
def then_bytes(context: Any, count: int) -> None:
    rng = random.Random("texts")
    for _ in range(count):
        data = rng.randbytes(rng.randrange(1, 60)).replace(b"\r\n", b"")
        row_key = rng.randbytes(rng.randrange(1, 9)).translate(None, b" \r\n") or b"q"
        for text in (b"FETCH " + row_key + data, b"PUT " + row_key + b" q" + data, b"COMMIT"):
            read = read_statement(ident=b"1", text=text)
            assert text_for(statement=read, alias=rng.choice([b"", b"p7"])) == text


@then('a backend is sent "{sent}" for "{text}" under the alias "{alias}"')
def then_alias(context: Any, sent: str, text: str, alias: str) -> None:
    found = text_for(statement=read_statement(ident=b"1", text=raw(text=text)), alias=raw(text=alias))
    assert found == raw(text=sent), found
