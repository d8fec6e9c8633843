"""Steps for a booth's router and sessions."""

import asyncio
from typing import Any

from behave import given, then, when
from boothcommon import STATE_WORDS
from stage import (
    SITE,
    FakeBackend,
    FakeDialer,
    Stage,
    ToldView,
    announcement,
    plan,
    position,
    route,
    shown,
    statement,
)

from cinderstair.config.service_plan import Consistency
from cinderstair.consensus.ballot import Ballot
from cinderstair.failover.booth_places import PLACES_KEY, BoothPlace, BoothPlaces
from cinderstair.failover.service_lead import LeadState, ServiceLead, service_lead_key
from cinderstair.failover.slots import SLOTS_KEY, Slots
from cinderstair.membership.announcement import GONE
from cinderstair.membership.beat import EMPTYING, READY
from cinderstair.membership.pooled_sample import PooledSample
from cinderstair.membership.relay_record import RelayAnswer, RelayedValue
from cinderstair.pooler.dealing import Spot, dealt_links
from cinderstair.pooler.forwarder import Forwarder
from cinderstair.pooler.link_pool import LinkPool
from cinderstair.pooler.reply import State
from cinderstair.pooler.router import CONTROL_LINKS, Router
from cinderstair.pooler.session import Session


def reply_line(*, reply: Any) -> str:
    """What the client gets, in a few words: the outcome, and the state."""
    if reply.fault is None:
        outcome = "done"
    else:
        outcome = reply.native.decode() or reply.fault.value
    return f"{outcome} {STATE_WORDS[reply.state]}"


@given('a booth, where "{primary}" leads and "{copies}" are copies, all at {at}')
def given_booth(context: Any, primary: str, copies: str, at: str) -> None:
    stage = context.stage = Stage(context=context)
    found = position(text=at)
    assert found is not None
    context.primary = primary
    context.names = [primary, *(name for name in copies.split(", ") if name != "none")]
    context.backends = {name: FakeBackend(name=name, at=found) for name in context.names}
    context.told = ToldView(stage=stage)
    context.distances = {SITE: 0}
    context.router = Router(
        ctx=stage.ctx,
        view=context.told.view,
        dialer=FakeDialer(backends=context.backends),
        distance=lambda site: context.distances.get(site, 3),
    )
    context.told.plan(plan=plan(routes=(route(),)))
    context.told.slots(names=("booth-1",))
    context.told.tell(backends=tuple(announcement(name=n, leads=n == primary) for n in context.names))
    context.told.lead(primary=primary)
    context.numbers = dict.fromkeys(context.names, 1)
    context.session = Session(ctx=stage.ctx, router=context.router, database="db")
    context.replies = []


@given("its route reads {sort} with {age_ms:d} ms of age and a limit of {limit_ms:d} ms")
def given_route(context: Any, sort: str, age_ms: int, limit_ms: int) -> None:
    made = route(consistency=Consistency[sort], age_ms=age_ms, limit_ms=limit_ms)
    context.told.plan(plan=plan(routes=(made,), version=2))


@given('"{name}" answers "{words}"')
@when('"{name}" answers "{words}" from now on')
def given_answers(context: Any, name: str, words: str) -> None:
    context.backends[name].script.extend(words.split(", "))


@given('"{name}" is dialled "{words}"')
def given_dialled(context: Any, name: str, words: str) -> None:
    context.backends[name].dials.extend(words.split(", "))


@given('"{name}" answers rollbacks "{words}"')
def given_rollbacks(context: Any, name: str, words: str) -> None:
    context.backends[name].rollbacks.extend(words.split(", "))


@given('"{name}" stands {distance:d} away')
def given_away(context: Any, name: str, distance: int) -> None:
    site = f"far-{name}"
    context.distances[site] = distance
    context.numbers[name] += 1
    context.told.tell(
        backends=(announcement(name=name, site=site, number=context.numbers[name], leads=name == context.primary),)
    )


@given("the primary's position was asked for {ago_ms:d} ms ago")
def given_sampled(context: Any, ago_ms: int) -> None:
    context.stage.run(work=context.router.sample(service="s"))
    context.stage.advance(for_us=ago_ms * 1_000)
    for backend in context.backends.values():
        backend.log.clear()


@when("the guildhall tells of {at} under term {term:d}")
def when_hall_tells(context: Any, at: str, term: int) -> None:
    hall_tells(context=context, at=at, term=term, age_us=1_000)


def hall_tells(*, context: Any, at: str, term: int, age_us: int) -> None:
    found = position(text=at)
    assert found is not None
    now_us = context.stage.now_us
    context.told.turn += 1
    sample = PooledSample(service="s", term=term, age_us=age_us, position=found, edition=context.told.turn)
    context.told.view.samples.answered(source=1, answered_us=7_000_000, asked_us=now_us, samples=(sample,))


@when("for {wait_ms:d} ms the guildhall tells of {at} under term {term:d} each {every_ms:d} ms")
def when_hall_tells_often(context: Any, every_ms: int, at: str, term: int, wait_ms: int) -> None:
    # why: the router tends meanwhile, as it does all the time
    for _ in range(wait_ms // every_ms):
        hall_tells(context=context, at=at, term=term, age_us=200_000)
        when_tends(context=context, wait_ms=every_ms)


@when("the guildhall sends this booth to the primary")
def when_hall_sends(context: Any) -> None:
    context.stage.call(call=lambda: context.told.view.ask("s"))
    context.stage.advance(for_us=50_000)


@then("it has {what} to tell")
def then_to_tell(context: Any, what: str) -> None:
    samples = context.told.view.samples
    samples.answered(source=1, answered_us=7_000_000, asked_us=context.stage.now_us, samples=())
    found = ", ".join(shown(at=each.position) for each in samples.told(source=1)) or "nothing"
    assert found == what, found


@when('the client asks "{text}"')
def when_client_asks(context: Any, text: str) -> None:
    began_us = context.stage.now_us
    for each in text.split(", "):
        context.replies.append(context.stage.run(work=context.session.run(statement=statement(text=each))))
    context.took_us = context.stage.now_us - began_us


@when('the client begins to ask "{text}"')
def when_client_begins(context: Any, text: str) -> None:
    async def ask_later() -> None:
        context.replies.append(await context.session.run(statement=statement(text=text)))

    context.asking = context.stage.call(call=lambda: context.stage.ctx.spawn(work=ask_later(), name="client"))


@when("{wait_ms:d} ms pass")
def when_time(context: Any, wait_ms: int) -> None:
    context.stage.advance(for_us=wait_ms * 1_000)


@then('the client was told "{words}"')
def then_replies(context: Any, words: str) -> None:
    found = ", ".join(reply_line(reply=reply) for reply in context.replies)
    assert found == words, found


@then("it took between {least_ms:d} and {most_ms:d} ms")
def then_took(context: Any, least_ms: int, most_ms: int) -> None:
    assert least_ms * 1_000 <= context.took_us <= most_ms * 1_000, context.took_us


@then('"{name}" was sent "{words}"')
def then_sent(context: Any, name: str, words: str) -> None:
    found = ", ".join(context.backends[name].log) or "nothing"
    assert found == words, found


@then('"{words}" were not sent to "{name}"')
def then_not_sent(context: Any, words: str, name: str) -> None:
    assert not any(word in context.backends[name].log for word in words.split(", ")), context.backends[name].log


@when('the open links of "{name}" are lost')
def when_links_lost(context: Any, name: str) -> None:
    for link in context.backends[name].links:
        context.stage.call(call=link.lose)
    context.stage.advance(for_us=1_000)


@when('the lead moves to "{name}" at {fence}, to be ready in {ready_ms:d} ms')
def when_moves(context: Any, name: str, fence: str, ready_ms: int) -> None:
    context.told.lead(primary=name, term=4, state=LeadState.moving, fence=fence, ready_in_us=ready_ms * 1_000)


@when("the lead is closing")
def when_closing(context: Any) -> None:
    context.told.lead(primary=context.primary, state=LeadState.closing)


@when('the lead settles on "{name}" after {wait_ms:d} ms')
def when_settles(context: Any, name: str, wait_ms: int) -> None:
    async def settle() -> None:
        await asyncio.sleep(wait_ms / 1_000)
        told = context.told
        told.turn += 1
        told.view._take(answer=settled_answer(told=told, primary=name))
        told.view._wake()

    context.stage.call(call=lambda: context.stage.ctx.spawn(work=settle()))


def settled_answer(*, told: ToldView, primary: str) -> RelayAnswer:
    lead = ServiceLead(term=4, primary=primary, state=LeadState.settled)
    value = RelayedValue(key=service_lead_key(service="s"), ballot=Ballot(told.turn, 1), value=lead.bytes())
    return RelayAnswer(source=1, edition=told.turn, age_us=0, whole=False, values=(value,))


@when("the booth has been out of touch for {wait_ms:d} ms")
def when_out(context: Any, wait_ms: int) -> None:
    context.told.in_touch = False
    context.stage.advance(for_us=wait_ms * 1_000)


@when('"{name}" says that it is {state}')
def when_says(context: Any, name: str, state: str) -> None:
    context.numbers[name] += 1
    states = {"ready": READY, "emptying": EMPTYING, "gone": GONE}
    context.told.tell(
        backends=(
            announcement(name=name, state=states[state], number=context.numbers[name], leads=name == context.primary),
        )
    )


@then('reads may go to "{names}"')
def then_readers(context: Any, names: str) -> None:
    found = ", ".join(pool.backend.name for pool in context.router.readers(service="s")) or "nobody"
    assert found == names, found


@then('the surely leading primary is "{name}"')
def then_led(context: Any, name: str) -> None:
    led = context.router.may_lead(service="s")
    found = led.ok.backend.name if led.is_ok() else led.error.kind.value
    assert found == name, found


@then('a guarded read of {sort} routes with {age_ms:d} ms of age, whose session is at {own}, needs "{at}"')
def then_guard(context: Any, sort: str, age_ms: int, own: str, at: str) -> None:
    made = route(consistency=Consistency[sort], age_ms=age_ms)
    found = context.router.guard(route=made, arrived_us=context.stage.now_us, own=position(text=own))
    text = shown(at=found.ok) if found.is_ok() else found.error.kind.value
    assert text == at, text


@when('{count:d} links of "{name}" are taken')
def when_taken(context: Any, count: int, name: str) -> None:
    pool = context.router.pools[name]

    async def take() -> None:
        for _ in range(count):
            taken = await pool.acquire(values={}, rank=0, until_us=context.stage.now_us + 500_000)
            assert taken.is_ok(), taken

    context.stage.run(work=take())


@when('"{name}" is in trouble')
def when_trouble(context: Any, name: str) -> None:
    context.stage.call(call=context.router.pools[name].blame)


@given("backends have {drain_ms:d} ms to empty")
def given_drain(context: Any, drain_ms: int) -> None:
    context.router.drain_us = drain_ms * 1_000


@when("the router tends for {wait_ms:d} ms")
def when_tends(context: Any, wait_ms: int) -> None:
    for _ in range(wait_ms // 100):
        context.stage.call(call=context.router.tend)
        context.stage.advance(for_us=100_000)


@then('"{name}" is open to new statements: {word}')
def then_open_to(context: Any, name: str, word: str) -> None:
    pool = context.router.pools.get(name)
    assert (pool is not None and not pool.closed) == (word == "yes")


@then("with {cap:d} links for each backend and {booths:d} booths all limits stay within the cap, control links apart")
def then_limits(context: Any, cap: int, booths: int) -> None:
    limits = booth_limits(context=context, cap=cap, booths=booths, dealt=booths)
    for name in context.names:
        total = sum(each[name] for each in limits)
        assert total + CONTROL_LINKS <= cap, (name, total)
        # why: what is not dealt out is idle capacity
        assert total + CONTROL_LINKS == cap, (name, total)


def booth_limits(*, context: Any, cap: int, booths: int, dealt: int) -> list[dict[str, int]]:
    limits = []
    context.routers = []
    for number in range(booths):
        name = f"booth-{number}"
        stage = context.stage
        told = ToldView(stage=stage)
        told.view.ctx = stage.context(name=name)
        router = Router(
            ctx=told.view.ctx,
            view=told.view,
            dialer=FakeDialer(backends=context.backends),
            distance=lambda site: 0,
        )
        told.tell(backends=tuple(announcement(name=each) for each in context.names))
        told.slots(names=tuple(f"booth-{each}" for each in range(dealt)))
        told.plan(plan=plan(link_cap=cap))
        told.lead(primary=context.primary)
        context.routers.append(router)
        limits.append({each: router.pools[each].limit for each in context.names})
    return limits


@then("with {cap:d} links and {booths:d} booths, one more without a number takes no larger part than it will have")
def then_newcomer(context: Any, cap: int, booths: int) -> None:
    limits = booth_limits(context=context, cap=cap, booths=booths + 1, dealt=booths)
    later = booth_limits(context=context, cap=cap, booths=booths + 1, dealt=booths + 1)
    for name in context.names:
        assert limits[-1][name] <= later[-1][name], (name, limits[-1], later[-1])


def kept_by_booth(*, context: Any, cap: int, booths: int, dealt: int) -> list[list[str]]:
    booth_limits(context=context, cap=cap, booths=booths, dealt=dealt)
    return [
        [name for name, pool in router.pools.items() if not pool.lent and name != context.primary]
        for router in context.routers
    ]


@then(
    "with {cap:d} links for each backend and {booths:d} booths each keeps links to {kept:d} copy, "
    "at most {most:d} to one"
)
def then_kept(context: Any, cap: int, booths: int, kept: int, most: int) -> None:
    found = kept_by_booth(context=context, cap=cap, booths=booths, dealt=booths)
    assert all(len(names) == kept for names in found), found
    for name in context.names:
        count = sum(name in names for names in found)
        assert count <= most and count <= cap - CONTROL_LINKS, (name, count)
    assert all(router.pools[context.primary].lent for router in context.routers)


@then("with {cap:d} links for each backend and {booths:d} booths one without an id keeps links to {kept:d} copies")
def then_newcomer_keeps(context: Any, cap: int, booths: int, kept: int) -> None:
    found = kept_by_booth(context=context, cap=cap, booths=booths + 1, dealt=booths)
    assert len(found[-1]) == kept, found[-1]


def places_of(*, names: list[str]) -> bytes:
    return BoothPlaces(places={n: BoothPlace(site=SITE, records=f"{n}:1") for n in names}).bytes()


@then(
    "with {cap:d} links for each backend and {booths:d} booths that can be reached the parts add up to {room:d}, "
    "and all others know the holders"
)
def then_parts(context: Any, cap: int, booths: int, room: int) -> None:
    names = [f"booth-{n}" for n in range(booths)]
    pools: dict[str, dict[str, LinkPool]] = {}
    for name in names:
        ctx = context.stage.context(name=name)
        told = ToldView(stage=context.stage)
        told.view.ctx = ctx
        router = Router(
            ctx=ctx, view=told.view, dialer=FakeDialer(backends=context.backends), distance=lambda site: 0
        )
        router.forwarder = Forwarder(ctx=ctx)
        told.tell(backends=tuple(announcement(name=each) for each in context.names))
        told.slots(names=tuple(names))
        told.tell(values={PLACES_KEY: places_of(names=names)})
        told.plan(plan=plan(link_cap=cap))
        pools[name] = router.pools
    for backend in context.names:
        holding = {name for name in names if pools[name][backend].limit}
        assert sum(pools[name][backend].limit for name in names) == room
        for name in names:
            known = {holder.name for holder in pools[name][backend].holders}
            assert known == holding - {name}, (name, known)


@given('a booth that can be reached, one of {count:d} before "a", which takes {room:d} links')
def given_reachable(context: Any, count: int, room: int) -> None:
    stage = context.stage = Stage(context=context)
    context.room = room
    context.told = ToldView(stage=stage)
    context.router = Router(
        ctx=stage.ctx, view=context.told.view, dialer=FakeDialer(backends={}), distance=lambda site: 0
    )
    context.router.forwarder = Forwarder(ctx=stage.ctx)
    context.told.tell(backends=(announcement(name="a"),))
    context.told.lead(primary="a")
    deal_ids(context=context, count=count)
    context.told.plan(plan=plan(link_cap=room + CONTROL_LINKS))


def deal_ids(*, context: Any, count: int, first: int = 1) -> None:
    names = [f"booth-{n}" for n in range(first, first + count)]
    context.named = names
    if names:
        context.told.slots(names=tuple(names))
        context.told.tell(values={PLACES_KEY: places_of(names=names)})


def own_part(*, context: Any, names: list[str]) -> int:
    spot = Spot(SITE, SITE)
    booths = [(n, spot) for n, _ in enumerate(names)]
    dealt = dealt_links(booths=booths, backend="a", spot=spot, room=context.room)
    return dealt.get(names.index("booth-1"), 0) if "booth-1" in names else 0


@then('it may hold its part of "a"')
def then_own_part(context: Any) -> None:
    part = own_part(context=context, names=context.named)
    assert context.router.pools["a"].limit == part, (context.router.pools["a"].limit, part)


@then("it may hold what it held")
def then_held(context: Any) -> None:
    assert context.router.pools["a"].limit == context.held, context.router.pools["a"].limit


@then('it may hold {count:d} links to "a"')
def then_limit(context: Any, count: int) -> None:
    assert context.router.pools["a"].limit == count, context.router.pools["a"].limit


@when("the ids are dealt anew, so that it may hold {word}")
def when_dealt_anew(context: Any, word: str) -> None:
    now = own_part(context=context, names=context.named)
    context.held = context.router.pools["a"].limit
    for ahead in range(40):
        for count in range(11, 40):
            names = [*(f"other-{n}" for n in range(ahead)), *(f"booth-{n}" for n in range(1, count))]
            part = own_part(context=context, names=names)
            if (part > now) if word == "more" else (part < now):
                context.named = names
                context.told.tell(
                    values={
                        PLACES_KEY: places_of(names=names),
                        SLOTS_KEY: Slots(names=tuple(enumerate(names))).bytes(),
                    }
                )
                return
    raise AssertionError(f"no such ids; it holds {now}")


@given("no table of places")
def given_no_places(context: Any) -> None:
    context.told.tell(values={PLACES_KEY: BoothPlaces().bytes()})
    context.stage.call(call=lambda: context.router.pools["a"].allow(limit=0))


@when("the client vanishes")
def when_vanishes(context: Any) -> None:
    context.stage.call(call=context.session.close)


@when("the booth ends transactions that rest for more than {limit_ms:d} ms")
def when_rest_limit(context: Any, limit_ms: int) -> None:
    context.stage.call(call=lambda: context.session.rest_too_long(limit_us=limit_ms * 1_000))
    context.stage.advance(for_us=10_000)


@then("every link is given back")
def then_given_back(context: Any) -> None:
    context.stage.advance(for_us=5_000_000)
    left = {name: len(pool.taken) for name, pool in context.router.pools.items() if pool.taken}
    assert not left, left


@then("nothing has crashed")
def then_no_crash(context: Any) -> None:
    assert not context.stage.crashed, context.stage.crashes or context.stage.ctx.counters.snapshot()


@then("no link that was given back open is in a transaction")
def then_no_transaction(context: Any) -> None:
    for pool in context.router.pools.values():
        assert all(link.state == State.idle for link in pool.idle), pool.backend.name


@then("a client that vanishes after any of {count:d} turns of the loop leaves nothing behind")
def then_vanishes_anywhere(context: Any, count: int) -> None:
    left = []
    for turns in range(count):
        session = Session(ctx=context.stage.ctx, router=context.router, database="db")

        async def vanish(session: Session = session, turns: int = turns) -> None:
            await session.run(statement=statement(text="BEGIN"))
            await asyncio.sleep(0.02)
            work = asyncio.create_task(session.run(statement=statement(text="PUT 1 a")))
            for _ in range(turns):
                await asyncio.sleep(0)
            session.close()
            await asyncio.wait([work])
            await asyncio.sleep(5)

        context.stage.run(work=vanish())
        taken = sum(len(pool.taken) for pool in context.router.pools.values())
        if taken:
            left.append((turns, taken))
            for pool in context.router.pools.values():
                for link, _ in list(pool.taken.values()):
                    context.stage.call(call=lambda pool=pool, link=link: pool.release(link=link, keep=False))
    assert not left, f"links still taken by (turns, links): {left}"


@when('another session asks "{text}"')
def when_another_asks(context: Any, text: str) -> None:
    other = Session(ctx=context.stage.ctx, router=context.router, database="db")
    for each in text.split(", "):
        context.replies.append(context.stage.run(work=other.run(statement=statement(text=each))))


@when("the configuration drops the database")
def when_drops(context: Any) -> None:
    context.told.plan(plan=plan(version=9))
