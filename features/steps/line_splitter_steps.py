"""Steps for the splitter of a byte stream into lines."""

import random
from typing import Any

from adapter.line_splitter import MAX_LINE_BYTES, LineSplitter
from adapter_common import raw
from behave import then


def feed_all(*, chunks: list[bytes]) -> list[bytes]:
    splitter = LineSplitter()
    return [line for chunk in chunks for line in splitter.feed(chunk)]


@then('the chunks "{chunks}" are split into the lines "{lines}"')
def then_lines(context: Any, chunks: str, lines: str) -> None:
    found = feed_all(chunks=[raw(text=chunk) for chunk in chunks.split(" + ")])
    wanted = [] if lines == "none" else [raw(text=line) for line in lines.split(" / ")]
    assert found == wanted, found


@then("{count:d} seeded streams are split into the same lines with any chunks")
def then_any_split(context: Any, count: int) -> None:
    rng = random.Random("lines")
    for _ in range(count):
        stream = b"".join(rng.choice([b"a", b"\r", b"\n", b"\r\n", b" ", b"ROW x", b"\x00\xff"]) for _ in range(40))
        whole = feed_all(chunks=[stream])
        assert whole == stream.split(b"\r\n")[:-1]
        assert feed_all(chunks=[stream[n : n + 1] for n in range(len(stream))]) == whole
        cuts = sorted(rng.randrange(len(stream) + 1) for _ in range(rng.randrange(12)))
        parts = [stream[a:b] for a, b in zip([0, *cuts], [*cuts, len(stream)], strict=True)]
        assert feed_all(chunks=parts) == whole, parts


def long_line(*, over: int) -> bytes:
    return b"x" * (MAX_LINE_BYTES + over)


@then("a line of 1 MiB is accepted with a chunk boundary {where}")
def then_mebibyte(context: Any, where: str) -> None:
    stream = long_line(over=0) + b"\r\n"
    ends = {"nowhere": [], "in the middle": [1000], "before CR": [MAX_LINE_BYTES], "before LF": [MAX_LINE_BYTES + 1]}[
        where
    ]
    parts = [stream[a:b] for a, b in zip([0, *ends], [*ends, len(stream)], strict=True)]
    assert feed_all(chunks=parts) == [long_line(over=0)]


@then("a line over 1 MiB is refused {when}")
def then_too_long(context: Any, when: str) -> None:
    end = {"before its end": b"", "at its end": b"\r\n", "before another line": b"\r\nx\r\n"}[when]
    # two bytes over the limit: the splitter doesn't count a trailing CR, which may belong to a CR LF
    try:
        LineSplitter().feed(long_line(over=2) + end)
    except ValueError:
        return
    raise AssertionError("accepted")
