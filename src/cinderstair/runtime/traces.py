"""Traces in OpenTelemetry's JSON encoding: one span per request, one line per batch."""

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
"""Writes one line, which ends with a line feed."""

MAX_SPANS = 2_000

NANOSECONDS_PER_MICROSECOND = 1_000

_ID_KEYS = ("traceId", "spanId", "parentSpanId")


def _attribute(*, key: str, value: str | int) -> KeyValue:
    any_value = AnyValue(int_value=value) if isinstance(value, int) else AnyValue(string_value=value)
    return KeyValue(key=key, value=any_value)


def _hex_id(*, value: str) -> str:
    return base64.b64decode(value).hex()


def _hex_ids(*, value: Any) -> Any:
    """Return the JSON value with its ids in hex, as OpenTelemetry has them; protobuf encodes bytes as base64."""
    if isinstance(value, dict):
        return {
            key: _hex_id(value=inner) if key in _ID_KEYS else _hex_ids(value=inner) for key, inner in value.items()
        }
    if isinstance(value, list):
        return [_hex_ids(value=inner) for inner in value]
    return value


class Traces:
    """Buffers spans until they are flushed; while ``MAX_SPANS`` are buffered, further ones are counted and dropped.

    :param service: the name of the process in the traces.
    :param rng: generates the ids.
    :param sink: writes the lines; None turns traces off.
    :ivar dropped: how many spans have been dropped.
    """

    def __init__(self, *, service: str, rng: random.Random, sink: Sink | None = None) -> None:
        self.service = service
        self.rng = rng
        self.sink = sink
        self.spans: list[Span] = []
        self.dropped = 0

    def span(self, *, name: str, wall_us: int, took_us: int, attributes: dict[str, str | int], failed: bool) -> None:
        """Add the span of a request that has ended.

        :param name: the kind of request.
        :param wall_us: when it began, in microseconds since 1970.
        :param took_us: how long it took, in microseconds.
        :param failed: whether its status is an error.
        """
        if self.sink is None:
            return
        if len(self.spans) >= MAX_SPANS:
            self.dropped += 1
            return
        self.spans.append(
            Span(
                trace_id=self.rng.getrandbits(128).to_bytes(16, "big"),
                span_id=self.rng.getrandbits(64).to_bytes(8, "big"),
                name=name,
                kind=Span.SPAN_KIND_SERVER,
                start_time_unix_nano=wall_us * NANOSECONDS_PER_MICROSECOND,
                end_time_unix_nano=(wall_us + took_us) * NANOSECONDS_PER_MICROSECOND,
                attributes=[_attribute(key=key, value=value) for key, value in attributes.items()],
                status=Status(code=Status.STATUS_CODE_ERROR if failed else Status.STATUS_CODE_OK),
            )
        )

    def flush(self) -> None:
        """Pass all spans to the sink as one line; does nothing if there are none."""
        if self.sink is None or not self.spans:
            return
        spans, self.spans = self.spans, []
        resource = Resource(attributes=[_attribute(key="service.name", value=self.service)])
        scope = ScopeSpans(scope=InstrumentationScope(name="cinderstair"), spans=spans)
        data = TracesData(resource_spans=[ResourceSpans(resource=resource, scope_spans=[scope])])
        # OpenTelemetry's JSON encoding has enumerations as numbers.
        value = _hex_ids(value=MessageToDict(data, use_integers_for_enums=True))
        self.sink(json.dumps(value, separators=(",", ":")).encode() + b"\n")
