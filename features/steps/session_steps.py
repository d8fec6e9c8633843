"""Steps for a proxy's router and sessions."""

import asyncio
from typing import Any

from behave import given, then, when
from proxy_common import STATE_WORDS
from stage import (
    SITE,
    FakeBackend,
    FakeDialer,
    ReportedView,
    Stage,
    announcement,
    plan,
    position,
    position_text,
    route,
    statement,
)

from cinderstair.config.service_plan import Consistency
from cinderstair.consensus.ballot import Ballot
from cinderstair.failover.proxy_addresses import PROXY_ADDRESSES_KEY, ProxyAddress, ProxyAddresses
from cinderstair.failover.proxy_ids import PROXY_IDS_KEY, ProxyId, ProxyIds
from cinderstair.failover.service_primary import PrimaryState, ServicePrimary, service_primary_key
from cinderstair.membership.announcement import GONE
from cinderstair.membership.heartbeat import EMPTYING, READY
from cinderstair.membership.pooled_sample import PooledSample
from cinderstair.membership.relay_record import RelayAnswer, RelayedValue
from cinderstair.pooler.forwarder import Forwarder
from cinderstair.pooler.link_allocation import Location, ProxyLocation, allocate_links
from cinderstair.pooler.link_limits import CONTROL_LINKS
from cinderstair.pooler.link_pool import LinkPool
from cinderstair.pooler.reply import State
from cinderstair.pooler.router import Router
from cinderstair.pooler.session import Session


def reply_line(*, reply: Any) -> str:
    """A reply as the outcome and the session's state, such as "done I"."""
    if reply.fault is None:
        outcome = "done"
    else:
        outcome = reply.native.decode() or reply.fault.value
    return f"{outcome} {STATE_WORDS[reply.state]}"


@given('a proxy of a service with primary "{primary}" and replicas "{replicas}", all at {at}')
def given_proxy(context: Any, primary: str, replicas: str, at: str) -> None:
    stage = context.stage = Stage(context=context)
    found = position(text=at)
    assert found is not None
    context.primary = primary
    context.names = [primary, *(name for name in replicas.split(", ") if name != "none")]
    context.backends = {name: FakeBackend(name=name, at=found) for name in context.names}
    context.reported = ReportedView(stage=stage)
    context.distances = {SITE: 0}
    context.router = Router(
        ctx=stage.ctx,
        view=context.reported.view,
        dialer=FakeDialer(backends=context.backends),
        distance=lambda site: context.distances.get(site, 3),
    )
    context.reported.plan(plan=plan(routes=(route(),)))
    context.reported.proxy_ids(names=("booth-1",))
    context.reported.tell(backends=tuple(announcement(name=n, is_primary=n == primary) for n in context.names))
    context.reported.assign_primary(primary=primary)
    context.numbers = dict.fromkeys(context.names, 1)
    context.session = Session(ctx=stage.ctx, router=context.router, database="db")
    context.replies = []


@given("a route with {sort} consistency, a maximum age of {age_ms:d} ms and a limit of {limit_ms:d} ms")
def given_route(context: Any, sort: str, age_ms: int, limit_ms: int) -> None:
    configured = route(consistency=Consistency[sort], age_ms=age_ms, limit_ms=limit_ms)
    context.reported.plan(plan=plan(routes=(configured,), version=2))


@given('"{name}" answers "{words}"')
@when('"{name}" answers "{words}" from now on')
def given_answers(context: Any, name: str, words: str) -> None:
    context.backends[name].script.extend(words.split(", "))


@given('dialling "{name}" results in "{words}"')
def given_dialled(context: Any, name: str, words: str) -> None:
    context.backends[name].dial_script.extend(words.split(", "))


@given('"{name}" answers rollbacks with "{words}"')
def given_rollbacks(context: Any, name: str, words: str) -> None:
    context.backends[name].rollback_script.extend(words.split(", "))


@given('"{name}" is at distance {distance:d}')
def given_distance(context: Any, name: str, distance: int) -> None:
    site = f"far-{name}"
    context.distances[site] = distance
    context.numbers[name] += 1
    context.reported.tell(
        backends=(
            announcement(name=name, site=site, number=context.numbers[name], is_primary=name == context.primary),
        )
    )


@given("the primary's position was sampled {ago_ms:d} ms ago")
def given_sampled(context: Any, ago_ms: int) -> None:
    context.stage.run(work=context.router.sample(service="s"))
    context.stage.advance(for_us=ago_ms * 1_000)
    for backend in context.backends.values():
        backend.log.clear()


@when("the controller relays a sample of {at} in term {term:d}")
def when_sample_relayed(context: Any, at: str, term: int) -> None:
    relay_sample(context=context, at=at, term=term, age_us=1_000)


def relay_sample(*, context: Any, at: str, term: int, age_us: int) -> None:
    found = position(text=at)
    assert found is not None
    now_us = context.stage.now_us
    context.reported.revision += 1
    sample = PooledSample(service="s", term=term, age_us=age_us, position=found, revision=context.reported.revision)
    context.reported.view.samples.answered(source=1, answered_us=7_000_000, requested_us=now_us, samples=(sample,))


@when("the controller relays a sample of {at} in term {term:d} every {every_ms:d} ms for {wait_ms:d} ms")
def when_samples_relayed(context: Any, every_ms: int, at: str, term: int, wait_ms: int) -> None:
    # The router's timer runs between the answers, as in a running proxy.
    for _ in range(wait_ms // every_ms):
        relay_sample(context=context, at=at, term=term, age_us=200_000)
        when_timer_runs(context=context, wait_ms=every_ms)


@when("the controller asks this proxy to sample the primary")
def when_controller_requests(context: Any) -> None:
    context.stage.call(call=lambda: context.reported.view.ask("s"))
    context.stage.advance(for_us=50_000)


@then("the samples to report are {what}")
def then_to_report(context: Any, what: str) -> None:
    samples = context.reported.view.samples
    samples.answered(source=1, answered_us=7_000_000, requested_us=context.stage.now_us, samples=())
    found = ", ".join(position_text(at=each.position) for each in samples.reported(source=1)) or "none"
    assert found == what, found


@when('the client runs "{text}"')
def when_client_runs(context: Any, text: str) -> None:
    began_us = context.stage.now_us
    for each in text.split(", "):
        context.replies.append(context.stage.run(work=context.session.run(statement=statement(text=each))))
    context.took_us = context.stage.now_us - began_us


@when('the client starts "{text}"')
def when_client_starts(context: Any, text: str) -> None:
    async def run_later() -> None:
        context.replies.append(await context.session.run(statement=statement(text=text)))

    context.asking = context.stage.call(call=lambda: context.stage.ctx.spawn(work=run_later(), name="client"))


@when("{wait_ms:d} ms pass")
def when_time(context: Any, wait_ms: int) -> None:
    context.stage.advance(for_us=wait_ms * 1_000)


@then('the client\'s replies are "{words}"')
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


@then('none of "{words}" was sent to "{name}"')
def then_not_sent(context: Any, words: str, name: str) -> None:
    assert not any(word in context.backends[name].log for word in words.split(", ")), context.backends[name].log


@when('the open links of "{name}" are lost')
def when_links_lost(context: Any, name: str) -> None:
    for link in context.backends[name].links:
        context.stage.call(call=link.lose)
    context.stage.advance(for_us=1_000)


@when('a promotion of "{name}" with fence {fence} starts, expected to end in {ready_ms:d} ms')
def when_promotion_starts(context: Any, name: str, fence: str, ready_ms: int) -> None:
    context.reported.assign_primary(
        primary=name, term=4, state=PrimaryState.moving, fence=fence, ready_in_us=ready_ms * 1_000
    )


@when("the primary's assignment is closing")
def when_closing(context: Any) -> None:
    context.reported.assign_primary(primary=context.primary, state=PrimaryState.closing)


@when('the promotion of "{name}" ends after {wait_ms:d} ms')
def when_promotion_ends(context: Any, name: str, wait_ms: int) -> None:
    async def settle() -> None:
        await asyncio.sleep(wait_ms / 1_000)
        reported = context.reported
        reported.revision += 1
        reported.view._take(answer=settled_answer(reported=reported, primary=name))
        reported.view._wake()

    context.stage.call(call=lambda: context.stage.ctx.spawn(work=settle()))


def settled_answer(*, reported: ReportedView, primary: str) -> RelayAnswer:
    assignment = ServicePrimary(term=4, primary=primary, state=PrimaryState.settled)
    value = RelayedValue(
        key=service_primary_key(service="s"), ballot=Ballot(reported.revision, 1), value=assignment.bytes()
    )
    return RelayAnswer(source=1, revision=reported.revision, age_us=0, full=False, values=(value,))


@given("the proxy has received no relay answer for {wait_ms:d} ms")
@when("the proxy has received no relay answer for {wait_ms:d} ms")
def when_no_answer(context: Any, wait_ms: int) -> None:
    context.reported.in_touch = False
    context.stage.advance(for_us=wait_ms * 1_000)


@when("the proxy receives relay answers again")
def when_answers_again(context: Any) -> None:
    context.reported.in_touch = True


@when('"{name}" announces that it is {state}')
def when_announces(context: Any, name: str, state: str) -> None:
    context.numbers[name] += 1
    states = {"ready": READY, "draining": EMPTYING, "deregistered": GONE}
    context.reported.tell(
        backends=(
            announcement(
                name=name, state=states[state], number=context.numbers[name], is_primary=name == context.primary
            ),
        )
    )


@then('the read candidates are "{names}"')
def then_readers(context: Any, names: str) -> None:
    found = ", ".join(pool.backend.name for pool in context.router.readers(service="s")) or "none"
    assert found == names, found


@then('confirming the primary returns "{name}"')
def then_confirmed(context: Any, name: str) -> None:
    confirmed = context.router.confirmed_primary(service="s")
    found = confirmed.ok.backend.name if confirmed.is_ok() else confirmed.error.code.value
    assert found == name, found


@then('a read with {sort} consistency, maximum age {age_ms:d} ms and last commit {own} requires "{at}"')
def then_required(context: Any, sort: str, age_ms: int, own: str, at: str) -> None:
    configured = route(consistency=Consistency[sort], age_ms=age_ms)
    found = context.router.required_position(
        route=configured, arrived_us=context.stage.now_us, own_position=position(text=own)
    )
    text = position_text(at=found.ok) if found.is_ok() else found.error.code.value
    assert text == at, text


@when('{count:d} links of "{name}" are borrowed')
def when_borrowed(context: Any, count: int, name: str) -> None:
    pool = context.router.pools[name]

    async def take() -> None:
        for _ in range(count):
            taken = await pool.acquire(values={}, rank=0, until_us=context.stage.now_us + 500_000)
            assert taken.is_ok(), taken

    context.stage.run(work=take())


@when('a failure of "{name}" is reported')
def when_failure_reported(context: Any, name: str) -> None:
    context.stage.call(call=context.router.pools[name].report_suspicion)


@given("backends have a drain time of {drain_ms:d} ms")
def given_drain(context: Any, drain_ms: int) -> None:
    context.router.drain_us = drain_ms * 1_000


@when("the router's timer runs for {wait_ms:d} ms")
def when_timer_runs(context: Any, wait_ms: int) -> None:
    for _ in range(wait_ms // 100):
        context.stage.call(call=context.router.on_timer)
        context.stage.advance(for_us=100_000)


@then('"{name}" accepts new statements: {word}')
def then_accepts(context: Any, name: str, word: str) -> None:
    pool = context.router.pools.get(name)
    assert (pool is not None and not pool.closed) == (word == "yes")


@then("with a cap of {cap:d} links and {proxies:d} proxies all limits add up to the cap less the control links")
def then_limits(context: Any, cap: int, proxies: int) -> None:
    limits = proxy_limits(context=context, cap=cap, proxies=proxies, allocated=proxies)
    for name in context.names:
        total = sum(each[name] for each in limits)
        assert total + CONTROL_LINKS <= cap, (name, total)
        # Links that are not allocated are idle capacity.
        assert total + CONTROL_LINKS == cap, (name, total)


def proxy_limits(*, context: Any, cap: int, proxies: int, allocated: int) -> list[dict[str, int]]:
    limits = []
    context.routers = []
    for number in range(proxies):
        name = f"booth-{number}"
        stage = context.stage
        reported = ReportedView(stage=stage)
        reported.view.ctx = stage.context(name=name)
        router = Router(
            ctx=reported.view.ctx,
            view=reported.view,
            dialer=FakeDialer(backends=context.backends),
            distance=lambda site: 0,
        )
        reported.tell(backends=tuple(announcement(name=each) for each in context.names))
        reported.proxy_ids(names=tuple(f"booth-{each}" for each in range(allocated)))
        reported.plan(plan=plan(link_cap=cap))
        reported.assign_primary(primary=context.primary)
        context.routers.append(router)
        limits.append({each: router.pools[each].limit for each in context.names})
    return limits


@then(
    "with a cap of {cap:d} links and {proxies:d} proxies, one more without an id gets no larger limit than with one"
)
def then_proxy_without_id(context: Any, cap: int, proxies: int) -> None:
    limits = proxy_limits(context=context, cap=cap, proxies=proxies + 1, allocated=proxies)
    later = proxy_limits(context=context, cap=cap, proxies=proxies + 1, allocated=proxies + 1)
    for name in context.names:
        assert limits[-1][name] <= later[-1][name], (name, limits[-1], later[-1])


def kept_by_proxy(*, context: Any, cap: int, proxies: int, allocated: int) -> list[list[str]]:
    proxy_limits(context=context, cap=cap, proxies=proxies, allocated=allocated)
    return [
        [name for name, pool in router.pools.items() if not pool.on_demand and name != context.primary]
        for router in context.routers
    ]


@then(
    "with a cap of {cap:d} links and {proxies:d} proxies each keeps links to {kept:d} replica, "
    "at most {most:d} to the same"
)
def then_kept(context: Any, cap: int, proxies: int, kept: int, most: int) -> None:
    found = kept_by_proxy(context=context, cap=cap, proxies=proxies, allocated=proxies)
    assert all(len(names) == kept for names in found), found
    for name in context.names:
        count = sum(name in names for names in found)
        assert count <= most and count <= cap - CONTROL_LINKS, (name, count)
    assert all(router.pools[context.primary].on_demand for router in context.routers)


@then("with a cap of {cap:d} links and {proxies:d} proxies one without an id keeps links to {kept:d} replicas")
def then_proxy_without_id_keeps(context: Any, cap: int, proxies: int, kept: int) -> None:
    found = kept_by_proxy(context=context, cap=cap, proxies=proxies + 1, allocated=proxies)
    assert len(found[-1]) == kept, found[-1]


def proxy_addresses_of(*, names: list[str]) -> bytes:
    return ProxyAddresses(addresses={n: ProxyAddress(site=SITE, records=f"{n}:1") for n in names}).bytes()


@then(
    "with a cap of {cap:d} links and {proxies:d} reachable proxies the limits add up to {capacity:d}, "
    "and each proxy knows all other holders"
)
def then_limits_of_reachable(context: Any, cap: int, proxies: int, capacity: int) -> None:
    names = [f"booth-{n}" for n in range(proxies)]
    pools: dict[str, dict[str, LinkPool]] = {}
    for name in names:
        ctx = context.stage.context(name=name)
        reported = ReportedView(stage=context.stage)
        reported.view.ctx = ctx
        router = Router(
            ctx=ctx, view=reported.view, dialer=FakeDialer(backends=context.backends), distance=lambda site: 0
        )
        router.forwarder = Forwarder(ctx=ctx)
        reported.tell(backends=tuple(announcement(name=each) for each in context.names))
        reported.proxy_ids(names=tuple(names))
        reported.tell(values={PROXY_ADDRESSES_KEY: proxy_addresses_of(names=names)})
        reported.plan(plan=plan(link_cap=cap))
        pools[name] = router.pools
    for backend in context.names:
        holding = {name for name in names if pools[name][backend].limit}
        assert sum(pools[name][backend].limit for name in names) == capacity
        for name in names:
            known = {peer_proxy.name for peer_proxy in pools[name][backend].peer_proxies}
            assert known == holding - {name}, (name, known)


@given('a reachable proxy, one of {count:d} that share {capacity:d} links to "a"')
def given_reachable(context: Any, count: int, capacity: int) -> None:
    stage = context.stage = Stage(context=context)
    context.cap = capacity
    context.reported = ReportedView(stage=stage)
    context.router = Router(
        ctx=stage.ctx, view=context.reported.view, dialer=FakeDialer(backends={}), distance=lambda site: 0
    )
    context.router.forwarder = Forwarder(ctx=stage.ctx)
    context.reported.tell(backends=(announcement(name="a"),))
    context.reported.assign_primary(primary="a")
    allocate_ids(context=context, count=count)
    context.reported.plan(plan=plan(link_cap=capacity + CONTROL_LINKS))


def allocate_ids(*, context: Any, count: int, first: int = 1) -> None:
    names = [f"booth-{n}" for n in range(first, first + count)]
    context.named = names
    if names:
        context.reported.proxy_ids(names=tuple(names))
        context.reported.tell(values={PROXY_ADDRESSES_KEY: proxy_addresses_of(names=names)})


def own_share(*, context: Any, names: list[str]) -> int:
    location = Location(SITE, SITE)
    proxies = [ProxyLocation(n, location) for n, _ in enumerate(names)]
    allocated = allocate_links(proxies=proxies, backend="a", location=location, cap=context.cap)
    return allocated.get(names.index("booth-1"), 0) if "booth-1" in names else 0


@then('its limit for "a" is its allocated share')
def then_own_share(context: Any) -> None:
    share = own_share(context=context, names=context.named)
    assert context.router.pools["a"].limit == share, (context.router.pools["a"].limit, share)


@then('its limit for "a" is unchanged')
def then_limit_unchanged(context: Any) -> None:
    assert context.router.pools["a"].limit == context.held, context.router.pools["a"].limit


@then('its limit for "a" is {count:d}')
def then_limit(context: Any, count: int) -> None:
    assert context.router.pools["a"].limit == count, context.router.pools["a"].limit


@when("the ids are reassigned so that its share becomes {word}")
def when_ids_reassigned(context: Any, word: str) -> None:
    now = own_share(context=context, names=context.named)
    context.held = context.router.pools["a"].limit
    for ahead in range(40):
        for count in range(11, 40):
            names = [*(f"other-{n}" for n in range(ahead)), *(f"booth-{n}" for n in range(1, count))]
            share = own_share(context=context, names=names)
            if (share > now) if word == "larger" else (share < now):
                context.named = names
                context.reported.tell(
                    values={
                        PROXY_ADDRESSES_KEY: proxy_addresses_of(names=names),
                        PROXY_IDS_KEY: ProxyIds(names=tuple(ProxyId(*each) for each in enumerate(names))).bytes(),
                    }
                )
                return
    raise AssertionError(f"no ids found that change the share of {now} links")


@given("no proxy addresses are published")
def given_no_addresses(context: Any) -> None:
    context.reported.tell(values={PROXY_ADDRESSES_KEY: ProxyAddresses().bytes()})
    context.stage.call(call=lambda: context.router.pools["a"].set_limit(limit=0))


@when("the client disconnects")
def when_disconnects(context: Any) -> None:
    context.stage.call(call=context.session.close)


@when("the proxy ends transactions idle for more than {limit_ms:d} ms")
def when_idle_limit(context: Any, limit_ms: int) -> None:
    context.stage.call(call=lambda: context.session.end_idle_transaction(limit_us=limit_ms * 1_000))
    context.stage.advance(for_us=10_000)


@then("every link is released")
def then_released(context: Any) -> None:
    context.stage.advance(for_us=5_000_000)
    left = {name: len(pool.borrowed) for name, pool in context.router.pools.items() if pool.borrowed}
    assert not left, left


@then("no task has crashed")
def then_no_crash(context: Any) -> None:
    assert not context.stage.crashed, context.stage.crashes or context.stage.ctx.counters.snapshot()


@then("no released open link is in a transaction")
def then_no_transaction(context: Any) -> None:
    for pool in context.router.pools.values():
        assert all(link.state == State.idle for link in pool.idle), pool.backend.name


@then("a client that disconnects after any of {count:d} event loop iterations leaves no borrowed link")
def then_disconnects_anywhere(context: Any, count: int) -> None:
    left = []
    for iterations in range(count):
        session = Session(ctx=context.stage.ctx, router=context.router, database="db")

        async def run_and_disconnect(session: Session = session, iterations: int = iterations) -> None:
            await session.run(statement=statement(text="BEGIN"))
            await asyncio.sleep(0.02)
            work = asyncio.create_task(session.run(statement=statement(text="PUT 1 a")))
            for _ in range(iterations):
                await asyncio.sleep(0)
            session.close()
            await asyncio.wait([work])
            await asyncio.sleep(5)

        context.stage.run(work=run_and_disconnect())
        taken = sum(len(pool.borrowed) for pool in context.router.pools.values())
        if taken:
            left.append((iterations, taken))
            for pool in context.router.pools.values():
                for link, _ in list(pool.borrowed.values()):
                    context.stage.call(call=lambda pool=pool, link=link: pool.release(link=link, keep=False))
    assert not left, f"links still borrowed, by (iterations, links): {left}"


@when('another session runs "{text}"')
def when_another_runs(context: Any, text: str) -> None:
    other = Session(ctx=context.stage.ctx, router=context.router, database="db")
    for each in text.split(", "):
        context.replies.append(context.stage.run(work=other.run(statement=statement(text=each))))


@when("the configuration removes the database")
def when_database_removed(context: Any) -> None:
    context.reported.plan(plan=plan(version=9))
