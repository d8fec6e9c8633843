"""Steps for error words, positions and replies of the platform's wire protocol."""

import re
from typing import Any

from adapter.client_connection import encode
from adapter.error_words import error_word
from adapter.ready_fields import format_position, parse_position
from adapter_common import raw
from behave import then
from stage import position, position_text

from cinderstair.pooler.reply import Reply, State, refusal
from cinderstair.runtime.errors import ErrorCode

# error words that guarantee that the statement had no effect
NO_EFFECT_WORDS = (b"BUSY", b"ABORTED", b"LAGGING", b"READONLY", b"WRONGHOST", b"FULL")
STATES = {"I": State.idle, "T": State.open, "E": State.failed}


@then("{code} is reported as {text}")
def then_word(context: Any, code: str, text: str) -> None:
    found = error_word(code=ErrorCode(code)).decode()
    assert found == text, found


@then('no guarantee is given by the words for "{codes}"')
def then_no_guarantee(context: Any, codes: str) -> None:
    reported = {code: error_word(code=ErrorCode(code)).decode() for code in codes.split(", ")}
    assert not any(found.encode() in NO_EFFECT_WORDS for found in reported.values()), reported


@then("every error code has a word")
def then_all_words(context: Any) -> None:
    assert all(re.fullmatch(rb"[A-Z]+", error_word(code=code)) for code in ErrorCode)


@then('the position "{text}" is parsed as {found}')
def then_position(context: Any, text: str, found: str) -> None:
    read = parse_position(text=raw(text=text))
    assert position_text(at=read) == found, read
    if read is not None:
        assert parse_position(text=format_position(position=read)) == read


@then("a reply of {rows:d} rows, {outcome}, in state {state} at {at} is encoded as")
def then_encoded(context: Any, rows: int, outcome: str, state: str, at: str) -> None:
    reply = Reply(rows=[b"row %d" % n for n in range(rows)], state=STATES[state], position=position(text=at))
    kind, _, rest = outcome.partition(" ")
    if kind == "stamp":
        reply.stamp = rest.encode()
    elif kind == "native":
        reply.fault, reply.native = ErrorCode.BACKEND_FAULT, rest.encode()
    elif kind != "done":
        reply = refusal(kind=ErrorCode(kind), state=STATES[state], retry_after_us=int(rest or 0) * 1_000)
    assert encode(reply).decode() == "".join(line + "\r\n" for line in context.text.splitlines()), encode(reply)
