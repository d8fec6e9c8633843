"""Steps for vectors that are sent incrementally, as the changes since a revision."""

from typing import Any

from behave import given, then, when
from expression import Ok

from cinderstair.consensus.ballot import BLANK, Ballot, read_ballot
from cinderstair.consensus.known_vectors import KnownVectors
from cinderstair.consensus.messages import SourceRevision, Status
from cinderstair.runtime.packer import Packer
from cinderstair.runtime.protocol_versions import ProtocolVersions
from cinderstair.runtime.unpacker import Unpacker


def count_keys(*, answer: bytes) -> int:
    unpacker = Unpacker(data=answer)
    if unpacker.u8() == Status.SINCE:
        unpacker.u64()
        unpacker.u64()
    return len(unpacker.many(each=lambda u: (u.text(), read_ballot(unpacker=u))))


def request_vector(*, context: Any, times: int) -> dict[str, Ballot]:
    """Reads the vector as proposer 0, and keeps the number of keys in each answer to the last request."""
    register = context.registers[0]
    read = register.known_vectors.read
    for _ in range(times):
        context.key_counts = []

        def read_and_count(*, answers: list[bytes]) -> dict[str, Ballot]:
            context.key_counts = [count_keys(answer=answer) for answer in answers]
            return read(answers=answers)

        register.known_vectors.read = read_and_count
        context.vector = dict(context.world.run(work=register.vector()).ok)
    register.known_vectors.read = read
    return context.vector


def write(*, context: Any, key: str, value: bytes = b"x") -> Any:
    return context.world.run(work=context.registers[1].change(key=key, decide=lambda _: Ok(value)))


@given("proposer 1 has written 40 keys")
def given_keys(context: Any) -> None:
    for number in range(40):
        assert write(context=context, key=f"key-{number}").is_ok()


@when("proposer 0 requests the vector {times:d} times")
def when_requests(context: Any, times: int) -> None:
    request_vector(context=context, times=times)


@when("proposer 1 rewrites one of the keys, and proposer 0 requests the vector")
def when_writes(context: Any) -> None:
    written = write(context=context, key="key-7", value=b"y").ok
    assert request_vector(context=context, times=1)["key-7"] == written.ballot


@when("the register replicas are restarted one by one, and proposer 0 requests the vector")
def when_restarted(context: Any) -> None:
    world = context.world
    for name in world.register_replica_names:
        world.kill(name=name)
        world.advance(for_us=600_000)
        world.start(name=name)
        world.advance(for_us=1_500_000)
    request_vector(context=context, times=1)


@then("the last answers together contain {count:d} keys")
def then_contain(context: Any, count: int) -> None:
    assert sum(context.key_counts) == count, context.key_counts


@then("the last answers together contain at most {count:d} keys")
def then_at_most(context: Any, count: int) -> None:
    assert 0 < sum(context.key_counts) <= count, context.key_counts


@then("the last answers together contain at least {count:d} keys")
def then_at_least(context: Any, count: int) -> None:
    assert sum(context.key_counts) >= count, context.key_counts


@when("keys are written and the vector is requested 60 times, while register replicas are killed and restarted")
def when_mixed(context: Any) -> None:
    world = context.world
    context.seen = []
    acknowledged: dict[str, Ballot] = {}
    down: list[str] = []
    for _ in range(60):
        if down and world.rng.random() < 0.5:
            world.start(name=down.pop())
            world.advance(for_us=800_000)
        elif not down and world.rng.random() < 0.4:
            down.append(world.rng.choice(world.register_replica_names))
            world.kill(name=down[-1])
        key = f"key-{world.rng.randrange(12)}"
        written = write(context=context, key=key, value=b"%d" % world.rng.randrange(1000))
        if written.is_ok():
            acknowledged[key] = written.ok.ballot
        before = dict(acknowledged)
        found = world.run(work=context.registers[0].vector())
        if found.is_ok():
            context.seen.append((before, dict(found.ok)))


@then("every vector has at least the ballots acknowledged before its request")
def then_acknowledged(context: Any) -> None:
    assert len(context.seen) > 40, len(context.seen)
    for before, vector in context.seen:
        for key, ballot in before.items():
            assert vector.get(key, BLANK) >= ballot, (key, ballot, vector.get(key))


@then("no vector has a lower acknowledged ballot than the one before")
def then_forward(context: Any) -> None:
    for (_, earlier), (_, later) in zip(context.seen, context.seen[1:], strict=False):
        for key, ballot in earlier.items():
            # a ballot that no majority has accepted may appear in one vector and be missing in the next
            if ballot in [each[0].get(key) for each in context.seen]:
                assert later.get(key, BLANK) >= ballot, (key, ballot)


@when("proposer 0 supports only protocol version 1, and requests the vector 2 times")
def when_first(context: Any) -> None:
    context.registers[0].ctx.protocol_versions = ProtocolVersions(lowest=1, highest=1)
    request_vector(context=context, times=2)


def vector_answer(*, revision: int, keys: dict[str, Ballot]) -> bytes:
    packer = Packer().u8(value=Status.SINCE).u64(value=9).u64(value=revision)

    def each(p: Packer, entry: tuple[str, Ballot]) -> None:
        entry[1].write(packer=p.text(value=entry[0]))

    return packer.many(values=list(keys.items()), each=each).bytes()


@when("the answer with revision 7 of a source is applied before the one with revision 5")
def when_overtaken(context: Any) -> None:
    known = KnownVectors()
    known.read(answers=[vector_answer(revision=7, keys={"a": Ballot(9, 1), "b": Ballot(2, 1)})])
    context.vector = known.read(answers=[vector_answer(revision=5, keys={"a": Ballot(4, 1), "b": Ballot(2, 1)})])
    context.revisions = known.revisions()


@then("the ballots of revision 7 are kept")
def then_kept(context: Any) -> None:
    assert context.vector == {"a": Ballot(9, 1), "b": Ballot(2, 1)}, context.vector
    assert context.revisions == (SourceRevision(9, 7),), context.revisions
