"""Steps for traces."""

import json
import random
import re
from typing import Any

from behave import then, when
from http_proxy_steps import statement

from cinderstair.runtime.traces import Traces
from cinderstair.simulation.world import WALL_START_US


@when("traces of stall-0 are collected and {count:d} statements are sent to it")
def when_traced(context: Any, count: int) -> None:
    ctx = context.world.contexts["stall-0"]
    context.lines = []
    ctx.traces = Traces(service="stall-0", rng=random.Random(1), sink=context.lines.append)
    context.began_us = WALL_START_US + context.world.now_us
    for number in range(count):
        text = "get k" if number else "dance"
        statement(context=context, kind="primary", text=text)
    context.world.advance(for_us=1_000_000)


@then("the lines hold {count:d} spans with hex ids and the times and statuses of the statements")
def then_spans(context: Any, count: int) -> None:
    values = [json.loads(line) for line in context.lines]
    spans = [s for v in values for r in v["resourceSpans"] for scope in r["scopeSpans"] for s in scope["spans"]]
    assert len(spans) == count, len(spans)
    service = values[0]["resourceSpans"][0]["resource"]["attributes"][0]
    assert service == {"key": "service.name", "value": {"stringValue": "stall-0"}}, service
    for span in spans:
        assert re.fullmatch("[0-9a-f]{32}", span["traceId"]) and re.fullmatch("[0-9a-f]{16}", span["spanId"])
        start, end = int(span["startTimeUnixNano"]), int(span["endTimeUnixNano"])
        assert context.began_us * 1000 <= start < end < context.began_us * 1000 + 10**9, (start, end)
        assert span["name"] == "statement" and span["kind"] == 2, span
    statuses = [
        int(a["value"]["intValue"])
        for span in spans
        for a in span["attributes"]
        if a["key"] == "http.response.status_code"
    ]
    assert statuses == [422] + [200] * (count - 1), statuses


@then("without a sink no span is kept")
def then_off(context: Any) -> None:
    traces = Traces(service="x", rng=random.Random(1))
    traces.span(name="statement", wall_us=1, took_us=1, attributes={}, failed=False)
    assert not traces.spans
    assert context.world.contexts["stall-1"].traces is None
