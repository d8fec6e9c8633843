"""Steps for backends' heartbeats and operators' configurations over HTTP."""

import json
from typing import Any

from adapter.control_api import ControlApi
from adapter.http_messages import HttpRequest
from adapter_common import document, raw
from behave import given, then, when
from expression import Error, Ok, Result
from stage import Stage

from cinderstair.config.service_plan import ServicePlan
from cinderstair.membership.announcement import Announcement, read_announcement
from cinderstair.runtime.errors import CinderstairError, ErrorCode
from cinderstair.runtime.packer import Packer
from cinderstair.runtime.unpacker import Unpacker


class FakeController:
    def __init__(self) -> None:
        self.received: list[Announcement] = []
        self.submitted: list[ServicePlan] = []
        self.submits: Result[bool, CinderstairError] = Ok(True)
        self.document: Result[bytes, CinderstairError] = Error(
            CinderstairError(code=ErrorCode.NO_CONFIGURATION, reason="none yet")
        )
        self.departed: list[str] = []
        self.in_touch = True
        self.plan_store = self

    async def receive(self, *, announcement: Announcement) -> bool:
        self.received.append(announcement)
        return self.in_touch

    async def deregister(self, *, name: str) -> bool:
        self.departed.append(name)
        return self.in_touch

    async def submit(self, *, plan: ServicePlan) -> Result[bool, CinderstairError]:
        self.submitted.append(plan)
        return self.submits

    async def fetch(self) -> Result[bytes, CinderstairError]:
        return self.document


HEARTBEAT = {
    "target": "s1",
    "address": "10.8.0.3:5100",
    "zone": "yard-a",
    "revision": "r5",
    "call_room": 3,
    "standing": "ready",
    "cold_left_ms": 0,
    "db_role": "copy",
    "call_count": 6,
}


@given("a control API")
def given_edge(context: Any) -> None:
    context.stage = Stage(context=context)
    context.controller = FakeController()
    closer = {"yard-b": "10.2.0.2:5001"}
    context.control_api = ControlApi(controller=context.controller, closer_address=lambda site: closer.get(site, ""))


def handle(*, context: Any, method: str, target: str, body: bytes = b"") -> None:
    request = HttpRequest(method=method, target=target, body=body)
    answer = context.stage.run(work=context.control_api.handle(request))
    context.status, context.body = answer.status, answer.body


@when("a backend sends a heartbeat")
def when_heartbeat(context: Any) -> None:
    handle(context=context, method="PUT", target="/cinderstair/servers/srv-1", body=json.dumps(HEARTBEAT).encode())


@when("a backend sends a heartbeat with {field} as {value}")
def when_heartbeat_with(context: Any, field: str, value: str) -> None:
    heartbeat = {key: each for key, each in HEARTBEAT.items() if key != field}
    text = json.dumps(heartbeat)
    if value != "missing":
        # why: as text, since not every JSON can be made from Python's values
        text = text[:-1] + f', "{field}": {value}}}'
    handle(context=context, method="PUT", target="/cinderstair/servers/srv-1", body=text.encode())


@when("{method} {target} is called")
def when_called(context: Any, method: str, target: str) -> None:
    handle(context=context, method=method, target=target)


@when("{method} {target} is called with `{body}`")
def when_called_with(context: Any, method: str, target: str, body: str) -> None:
    handle(context=context, method=method, target=target, body=raw(text=body))


@when("the operator puts a {what} document")
def when_puts(context: Any, what: str) -> None:
    found = document()
    if what == "broken":
        found["routes"][0]["give_up_ms"] = 0
    context.raw = json.dumps(found).encode()
    handle(context=context, method="PUT", target="/cinderstair/settings", body=context.raw)


@given("a controller out of touch with a majority")
def given_out_of_touch(context: Any) -> None:
    context.controller.in_touch = False


@then("the deregistration of {name} was received")
def then_departed(context: Any, name: str) -> None:
    assert context.controller.departed == [name], context.controller.departed


@given("a controller that answers {kind}")
def given_kind(context: Any, kind: str) -> None:
    fault = Error(CinderstairError(code=ErrorCode(kind), reason="so"))
    context.controller.submits = context.controller.document = fault


@given("a controller that keeps `{text}`")
def given_keeps(context: Any, text: str) -> None:
    context.controller.document = Ok(raw(text=text))


@then("the answer is {status:d} with `{body}`")
def then_answer(context: Any, status: int, body: str) -> None:
    assert (context.status, context.body) == (status, raw(text=body)), (context.status, context.body)


@then("the answer is {status:d}")
def then_status(context: Any, status: int) -> None:
    assert context.status == status, (context.status, context.body)


@then("{count:d} heartbeats were received")
def then_received(context: Any, count: int) -> None:
    assert len(context.controller.received) == count, context.controller.received


@then("the last heartbeat has {field} {value}")
def then_last_heartbeat(context: Any, field: str, value: str) -> None:
    assert str(getattr(context.controller.received[-1], field)) == value, context.controller.received[-1]


@then("every heartbeat received can be written as a record")
def then_packable(context: Any) -> None:
    for each in context.controller.received:
        packer = Packer()
        each.write(packer=packer)
        assert read_announcement(unpacker=Unpacker(data=packer.bytes())) == each


@then("the plan that was submitted keeps the operator's bytes, or there is none: {word}")
def then_submitted(context: Any, word: str) -> None:
    found = [plan.document for plan in context.controller.submitted]
    assert found == ([context.raw] if word == "keeps" else []), found
