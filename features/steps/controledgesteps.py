"""Steps for backends' beats and operators' configurations over HTTP."""

import json
from typing import Any

from adapter.control_edge import ControlEdge
from adaptercommon import document, raw
from behave import given, then, when
from expression import Error, Ok, Result
from stage import Stage

from cinderstair.config.service_plan import ServicePlan
from cinderstair.membership.announcement import Announcement, read_announcement
from cinderstair.runtime.fault import Fault
from cinderstair.runtime.kind import Kind
from cinderstair.runtime.packer import Packer
from cinderstair.runtime.unpacker import Unpacker


class FakeGuildhall:
    def __init__(self) -> None:
        self.heard: list[Announcement] = []
        self.submitted: list[ServicePlan] = []
        self.submits: Result[bool, Fault] = Ok(True)
        self.document: Result[bytes, Fault] = Error(Fault(kind=Kind.noConfiguration, why="none yet"))
        self.departed: list[str] = []
        self.in_touch = True
        self.orders = self

    async def hear(self, *, announcement: Announcement) -> bool:
        self.heard.append(announcement)
        return self.in_touch

    async def depart(self, *, name: str) -> bool:
        self.departed.append(name)
        return self.in_touch

    async def submit(self, *, plan: ServicePlan) -> Result[bool, Fault]:
        self.submitted.append(plan)
        return self.submits

    async def fetch(self) -> Result[bytes, Fault]:
        return self.document


BEAT = {
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


@given("a control edge")
def given_edge(context: Any) -> None:
    context.stage = Stage(context=context)
    context.guildhall = FakeGuildhall()
    nearer = {"yard-b": "10.2.0.2:5001"}
    context.edge = ControlEdge(guildhall=context.guildhall, beat_to=lambda site: nearer.get(site, ""))


def handle(*, context: Any, method: str, target: str, body: bytes = b"") -> None:
    context.status, context.body = context.stage.run(work=context.edge.handle(method, target, body))


@when("a backend sends a beat")
def when_beat(context: Any) -> None:
    handle(context=context, method="PUT", target="/cinderstair/servers/srv-1", body=json.dumps(BEAT).encode())


@when("a backend sends a beat with {field} as {value}")
def when_beat_with(context: Any, field: str, value: str) -> None:
    beat = {key: each for key, each in BEAT.items() if key != field}
    text = json.dumps(beat)
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


@given("a guildhall out of touch with a majority")
def given_out_of_touch(context: Any) -> None:
    context.guildhall.in_touch = False


@then("the goodbye of {name} was taken")
def then_departed(context: Any, name: str) -> None:
    assert context.guildhall.departed == [name], context.guildhall.departed


@given("a guildhall that answers {kind}")
def given_kind(context: Any, kind: str) -> None:
    fault = Error(Fault(kind=Kind[kind], why="so"))
    context.guildhall.submits = context.guildhall.document = fault


@given("a guildhall that keeps `{text}`")
def given_keeps(context: Any, text: str) -> None:
    context.guildhall.document = Ok(raw(text=text))


@then("the answer is {status:d} with `{body}`")
def then_answer(context: Any, status: int, body: str) -> None:
    assert (context.status, context.body) == (status, raw(text=body)), (context.status, context.body)


@then("the answer is {status:d}")
def then_status(context: Any, status: int) -> None:
    assert context.status == status, (context.status, context.body)


@then("{count:d} beats were heard")
def then_heard(context: Any, count: int) -> None:
    assert len(context.guildhall.heard) == count, context.guildhall.heard


@then("the last beat has {field} {value}")
def then_last_beat(context: Any, field: str, value: str) -> None:
    assert str(getattr(context.guildhall.heard[-1], field)) == value, context.guildhall.heard[-1]


@then("whatever was heard can be told to others")
def then_packable(context: Any) -> None:
    for each in context.guildhall.heard:
        packer = Packer()
        each.write(packer=packer)
        assert read_announcement(unpacker=Unpacker(data=packer.bytes())) == each


@then("the plan that was submitted keeps the operator's bytes, or there is none: {word}")
def then_submitted(context: Any, word: str) -> None:
    found = [plan.document for plan in context.guildhall.submitted]
    assert found == ([context.raw] if word == "keeps" else []), found
