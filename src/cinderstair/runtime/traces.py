"""Traces in the OpenTelemetry JSON form: one span a job, one line a batch. Off unless a sink is given."""

import base64
import json
import random
from collections.abc import Callable
from typing import Any

from google.protobuf.json_format import MessageToDict
from opentelemetry.proto.common.v1.common_pb2 import AnyValue, InstrumentationScope, KeyValue
from opentelemetry.proto.resource.v1.resource_pb2 import Resource
from opentelemetry.proto.trace.v1.trace_pb2 import ResourceSpans, ScopeSpans, Span, Status, TracesData

Sink = Callable[[bytes], None]
MOST_SPANS = 2_000
IDS = ("traceId", "spanId", "parentSpanId")


def attribute(*, key: str, value: str | int) -> KeyValue:
    held = AnyValue(int_value=value) if isinstance(value, int) else AnyValue(string_value=value)
    return KeyValue(key=key, value=held)


def hex_ids(*, value: Any) -> Any:
    """The JSON form writes ids in hex, where the library's general rule for bytes is base64."""
    if isinstance(value, dict):
        return {
            key: base64.b64decode(inner).hex() if key in IDS else hex_ids(value=inner) for key, inner in value.items()
        }
    if isinstance(value, list):
        return [hex_ids(value=inner) for inner in value]
    return value


class Traces:
    """Keeps spans until they are flushed; what is too much is counted and dropped, never waited for."""

    def __init__(self, *, service: str, rng: random.Random, sink: Sink | None = None) -> None:
        self.service = service
        self.rng = rng
        self.sink = sink
        self.spans: list[Span] = []
        self.dropped = 0

    def span(self, *, name: str, wall_us: int, took_us: int, attributes: dict[str, str | int], failed: bool) -> None:
        if self.sink is None:
            return
        # why: traces are a convenience, and must not cost a daemon its memory
        if len(self.spans) >= MOST_SPANS:
            self.dropped += 1
            return
        self.spans.append(
            Span(
                trace_id=self.rng.getrandbits(128).to_bytes(16, "big"),
                span_id=self.rng.getrandbits(64).to_bytes(8, "big"),
                name=name,
                kind=Span.SPAN_KIND_SERVER,
                start_time_unix_nano=wall_us * 1_000,
                end_time_unix_nano=(wall_us + took_us) * 1_000,
                attributes=[attribute(key=key, value=value) for key, value in attributes.items()],
                status=Status(code=Status.STATUS_CODE_ERROR if failed else Status.STATUS_CODE_OK),
            )
        )

    def flush(self) -> None:
        if self.sink is None or not self.spans:
            return
        spans, self.spans = self.spans, []
        resource = Resource(attributes=[attribute(key="service.name", value=self.service)])
        scope = ScopeSpans(scope=InstrumentationScope(name="cinderstair"), spans=spans)
        data = TracesData(resource_spans=[ResourceSpans(resource=resource, scope_spans=[scope])])
        # why: the JSON form writes enumerations as their numbers
        value = hex_ids(value=MessageToDict(data, use_integers_for_enums=True))
        self.sink(json.dumps(value, separators=(",", ":")).encode() + b"\n")
