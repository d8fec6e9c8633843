"""Steps for the negotiation of protocol versions."""

import random
from typing import Any

from behave import then, when
from common import new_world

from cinderstair.runtime.dispatcher import Dispatcher
from cinderstair.runtime.errors import ErrorCode
from cinderstair.runtime.message_types import MessageType
from cinderstair.runtime.packer import Packer
from cinderstair.runtime.protocol_versions import VERSION_FLAG, ProtocolVersions
from cinderstair.runtime.unpacker import Unpacker
from cinderstair.simulation.virtual_loop import SimProcess

ADDRESS = "10.9.9.9:7100"


def protocol_versions(*, text: str) -> ProtocolVersions:
    lowest, _, highest = text.partition(" to ")
    return ProtocolVersions(lowest=int(lowest), highest=int(highest))


def new_context(*, context: Any, name: str, versions: str) -> Any:
    context.world.versions_by_address[name] = protocol_versions(text=versions)
    context.world.addresses.setdefault(name, name)
    return context.world._context(name=name, process=SimProcess(name=name))


def open_dispatcher(*, context: Any, name: str, versions: str) -> Dispatcher:
    """A dispatcher whose response holds the version and the text of the request."""
    ctx = new_context(context=context, name=name, versions=versions)
    dispatcher = Dispatcher(ctx=ctx)

    async def seek(unpacker: Unpacker) -> bytes:
        word = unpacker.text()
        unpacker.done()
        return Packer().u8(value=unpacker.version).text(value=word).bytes()

    dispatcher.add_handler(message_type=MessageType.SEEK, handler=seek)
    context.world.run(work=ctx.net.listen(address=ADDRESS, handler=dispatcher.dispatch))
    return dispatcher


def send_requests(*, context: Any, times: int) -> None:
    body = Packer().u8(value=MessageType.SEEK).text(value="word").bytes()
    for _ in range(times):
        result = context.world.run(
            work=context.client.peer_client.request(address=ADDRESS, body=body, wait_us=100_000)
        )
        context.world.advance(for_us=1_500_000)
        context.results.append(result)


@when("a process that supports versions {one} sends three requests to a process that supports versions {other}")
def when_requested(context: Any, one: str, other: str) -> None:
    new_world(context=context, seed=1, http_proxies=0, register_replicas=0, databases=0)
    context.results = []
    open_dispatcher(context=context, name="other-1", versions=other)
    context.client = new_context(context=context, name="one-1", versions=one)
    send_requests(context=context, times=3)


@when("the other is replaced by one that supports versions {other}, and is sent six requests")
def when_replaced(context: Any, other: str) -> None:
    open_dispatcher(context=context, name="other-2", versions=other)
    send_requests(context=context, times=6)


@then("the response has version {version:d}")
def then_version(context: Any, version: int) -> None:
    assert context.results[-1].ok == Packer().u8(value=version).text(value="word").bytes(), context.results


@then("the request is rejected; the error gives both ranges, and is logged once and counted")
def then_rejected(context: Any) -> None:
    error = context.results[-1].error
    assert error.code == ErrorCode.OTHER_VERSION, error
    assert "3 to 4" in error.reason and "1 to 2" in error.reason, error.reason
    assert len(context.client.peer_client.logged_mismatches) == 1, context.client.peer_client.logged_mismatches
    assert context.client.counters.counts["records.otherVersion"] >= 2


@when("a dispatcher that supports versions {versions} gets {count:d} requests generated from seed {seed:d}")
def when_generated(context: Any, versions: str, count: int, seed: int) -> None:
    new_world(context=context, seed=1, http_proxies=0, register_replicas=0, databases=0)
    dispatcher = open_dispatcher(context=context, name="other-1", versions=versions)
    rng = random.Random(seed)
    whole = Packer().u8(value=MessageType.SEEK).text(value="word").bytes()
    context.outcomes = {"malformed": 0, "rejected": 0, "answered": 0}
    for _ in range(count):
        body = bytes([VERSION_FLAG | rng.randrange(0, 6)]) * rng.randrange(0, 3) + whole
        how = rng.choice(["as it is", "cut", "longer", "twice", "flipped"])
        at = rng.randrange(len(body))
        if how == "cut":
            body = body[:at]
        elif how == "longer":
            body += rng.randbytes(rng.randrange(1, 40))
        elif how == "twice":
            body += body
        elif how == "flipped":
            body = body[:at] + bytes([body[at] ^ (1 << rng.randrange(8))]) + body[at + 1 :]
        try:
            answer = context.world.run(work=dispatcher.dispatch(body))
        except ValueError:
            context.outcomes["malformed"] += 1
            continue
        rejected = answer == bytes([VERSION_FLAG, 1, 2])
        # Only a complete request of a supported version may get a response, and only that to what it asked.
        sound = answer[-4:] != b"word" or body[-4:] == b"word"
        assert rejected or sound, (body, answer)
        context.outcomes["rejected" if rejected else "answered"] += 1


@then("each is dropped as malformed, rejected for its version, or gets the response to what it asked")
def then_outcomes(context: Any) -> None:
    assert all(count > 50 for count in context.outcomes.values()), context.outcomes
