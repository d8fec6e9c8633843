"""Steps for the control API, over a fake controller."""

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
    """Records calls; returns the configured results. Takes the part of the controller's `plan_store`, too."""

    def __init__(self) -> None:
        self.received: list[Announcement] = []
        self.submitted: list[ServicePlan] = []
        self.submits: Result[bool, CinderstairError] = Ok(True)
        self.document: Result[bytes, CinderstairError] = Error(
            CinderstairError(code=ErrorCode.NO_CONFIGURATION, reason="none yet")
        )
        self.deregistered: list[str] = []
        self.has_majority = True
        self.plan_store = self

    async def receive(self, *, announcement: Announcement) -> bool:
        self.received.append(announcement)
        return self.has_majority

    async def deregister(self, *, name: str) -> bool:
        self.deregistered.append(name)
        return self.has_majority

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
def given_control_api(context: Any) -> None:
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
        # appended as text, since json.dumps can't produce every JSON value, such as 1e999
        text = text[:-1] + f', "{field}": {value}}}'
    handle(context=context, method="PUT", target="/cinderstair/servers/srv-1", body=text.encode())


@when("{method} {target} is called")
def when_called(context: Any, method: str, target: str) -> None:
    handle(context=context, method=method, target=target)


@when("{method} {target} is called with `{body}`")
def when_called_with(context: Any, method: str, target: str, body: str) -> None:
    handle(context=context, method=method, target=target, body=raw(text=body))


@when("the operator puts a document that is {what}")
def when_puts(context: Any, what: str) -> None:
    found = document()
    if what == "invalid":
        found["routes"][0]["give_up_ms"] = 0
    context.raw = json.dumps(found).encode()
    handle(context=context, method="PUT", target="/cinderstair/settings", body=context.raw)


@given("a controller that can't reach a majority")
def given_no_majority(context: Any) -> None:
    context.controller.has_majority = False


@then("the deregistration of {name} was received")
def then_deregistered(context: Any, name: str) -> None:
    assert context.controller.deregistered == [name], context.controller.deregistered


@given("a controller that returns the error {code}")
def given_error(context: Any, code: str) -> None:
    fault = Error(CinderstairError(code=ErrorCode(code), reason="so"))
    context.controller.submits = context.controller.document = fault


@given("a controller that stores `{text}`")
def given_stored(context: Any, text: str) -> None:
    context.controller.document = Ok(raw(text=text))


@then("the response is {status:d} with `{body}`")
def then_answer(context: Any, status: int, body: str) -> None:
    assert (context.status, context.body) == (status, raw(text=body)), (context.status, context.body)


@then("the response is {status:d}")
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


@then("{count:d} plans with the operator's original bytes were submitted")
def then_submitted(context: Any, count: int) -> None:
    found = [plan.document for plan in context.controller.submitted]
    assert found == [context.raw] * count, found
