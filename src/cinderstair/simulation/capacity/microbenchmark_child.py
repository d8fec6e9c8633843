"""Microbenchmarks of single operations of a proxy and of a controller's relay, without network, at any size."""

import asyncio
import gc
import time
from collections.abc import Awaitable, Callable
from typing import Any

from ...consensus.register import Register
from ...consensus.register_view import RegisterView
from ...consensus.versioned_value import VersionedValue
from ...control_plane.relay import Relay
from ...failover.service_primary import read_service_primary
from ...membership.announcement import Announcement
from ...membership.heartbeat_table import HeartbeatTable, ReceivedHeartbeat
from ...membership.member import Member
from ...membership.membership import Membership
from ...membership.relay_record import RelayedBackend, RelayQuestion
from ...pooler.proxy import Proxy
from ...pooler.relayed_view import RelayedView
from ...pooler.router import Router
from ...pooler.session import Session
from ...pooler.statement import Statement, Verb
from ...runtime.context import Context
from ...runtime.dispatcher import Dispatcher
from ...runtime.no_disk import NoDisk
from ...runtime.packer import Packer
from ...runtime.unpacker import Unpacker
from .child import Child, metered_context, rss_bytes, use_adapter
from .memory_transport import MemoryTransport
from .naming import proxy_name
from .stub_link import stub_dialer
from .synthetic_state import BALLOT, announcements_of, assignment_value, full_answer, plan_of, proxy_ids_of

# An operation is repeated until either is reached.
MIN_CPU_S = 0.15
MAX_ITERATIONS = 200
DISTANCES = {"e1": 0, "e2": 1, "e3": 1}


def distance(site: str) -> int:
    """Distance of a zone from zone e1, where the benchmarked proxies are."""
    return DISTANCES.get(site, 3)


def cpu_cost_us(work: Callable[[], Any]) -> float:
    """Returns the mean CPU time of an operation, repeated often enough for the resolution of the clock."""
    gc.collect()
    began, iterations = time.process_time(), 0
    while iterations < MAX_ITERATIONS and time.process_time() - began < MIN_CPU_S:
        work()
        iterations += 1
    return (time.process_time() - began) / iterations * 1_000_000


class MicrobenchmarkChild(Child):
    """Runs one benchmark per command. Times are CPU times in microseconds, memory is resident memory in bytes."""

    def __init__(self, *, options: dict[str, Any]) -> None:
        self.options = options
        self.number = 0

    def _context(self, *, name: str) -> Context:
        self.number += 1
        return metered_context(name=name, site="e1", disk=NoDisk(), seed=self.number)

    def _router(self, *, proxies: int, databases: int) -> Router:
        """Returns a router with a complete view, filled directly instead of by a relay's answer."""
        ctx = self._context(name=proxy_name(number=min(1, proxies - 1)))
        view = RelayedView(ctx=ctx, site="e1", seeds=tuple)
        router = Router(ctx=ctx, view=view, dialer=stub_dialer, distance=distance)
        view.plan = plan_of(version=1, databases=databases)
        view.proxy_ids = proxy_ids_of(proxies=proxies)
        for each in announcements_of(databases=databases):
            view.backends[each.name] = RelayedBackend(announcement=each, silent=False)
        for database in range(databases):
            value = assignment_value(database=database)
            view.primaries[value.key.partition("/")[2]] = read_service_primary(data=value.value)
            view.assigned_since_us[value.key.partition("/")[2]] = 0
            view.ballots[value.key] = value.ballot
        return router

    async def do_booth(self, *, proxies: int, databases: int) -> dict[str, Any]:
        """Measures a proxy's first and later pool rebuilds, its timer, and the memory of its view and pools."""
        gc.collect()
        before = rss_bytes()
        router = self._router(proxies=proxies, databases=databases)
        began = time.process_time()
        router.rebuild_pools()
        first_us = (time.process_time() - began) * 1_000_000
        rebuild_us = cpu_cost_us(router.rebuild_pools)
        router.on_timer()
        # Links that the timer requests open in later iterations of the event loop; with them the timer costs less.
        for _ in range(3):
            await asyncio.sleep(0.01)
            router.on_timer()
        await asyncio.sleep(0.05)
        timer_us = cpu_cost_us(router.on_timer)
        await asyncio.sleep(0)
        gc.collect()
        held_bytes = rss_bytes() - before
        links = sum(pool.open for pool in router.pools.values())
        most = max((pool.limit for pool in router.pools.values()), default=0)
        return {
            "first_us": first_us,
            "reckon_us": rebuild_us,
            "tend_us": timer_us,
            "held_bytes": held_bytes,
            "links": links,
            "most_links": most,
        }

    async def do_whole(self, *, proxies: int, databases: int) -> dict[str, Any]:
        """Measures how long a starting proxy takes to apply the full answer of a relay, and the answer's size."""
        answer = full_answer(proxies=proxies, databases=databases, controllers=21)
        ctx = self._context(name=proxy_name(number=0))
        view = RelayedView(ctx=ctx, site="e1", seeds=tuple)
        Router(ctx=ctx, view=view, dialer=stub_dialer, distance=distance)
        data = answer.bytes()
        began = time.process_time()
        view._take(answer=answer)
        return {"take_us": (time.process_time() - began) * 1_000_000, "answer_bytes": len(data)}

    async def do_guildhall(self, *, proxies: int, databases: int, sources: int) -> dict[str, Any]:
        """Measures what a controller does for proxies, backends and other controllers, and sizes of its answers."""
        gc.collect()
        before = rss_bytes()
        ctx = self._context(name="guildhall-0")
        dispatcher = Dispatcher(ctx=ctx)
        me = Member(name=ctx.name, role="vault", site="e1", records="127.0.0.1:1", http="", incarnation=1)
        membership = Membership(ctx=ctx, dispatcher=dispatcher, me=me, seeds=("127.0.0.1:1",), every_us=3_600_000_000)
        heartbeat_table: HeartbeatTable[Announcement] = HeartbeatTable(
            ctx=ctx,
            dispatcher=dispatcher,
            membership=membership,
            every_us=3_600_000_000,
            silent_after_us=3_600_000_000,
        )
        view = RegisterView(ctx=ctx, register=Register(ctx=ctx, seeds=()), every_us=3_600_000_000)
        relay = Relay(
            ctx=ctx,
            dispatcher=dispatcher,
            view=view,
            heartbeat_table=heartbeat_table,
            controllers=lambda: ("127.0.0.1:1",),
            on_link_failure=lambda name, proxy: None,
            shorten=lambda key, value: value,
        )
        now_us = ctx.now_us()
        announcements = announcements_of(databases=databases)
        for number, each in enumerate(announcements):
            received = ReceivedHeartbeat(
                source=number % sources + 1, version=number + 1, heartbeat=each, observed_at_us=now_us
            )
            heartbeat_table.merge(received=received)
        for entry in full_answer(proxies=proxies, databases=databases, controllers=1).values:
            view.known[entry.key] = VersionedValue(ballot=entry.ballot, value=entry.value)
        relay.refresh()
        gc.collect()
        held_bytes = rss_bytes() - before

        async def answer_to(source: int, revision: int) -> bytes:
            question = RelayQuestion(proxy="booth-0001", site="e1", source=source, revision=revision)
            return await relay.answer(Unpacker(data=question.write(packer=Packer()).bytes()))

        full = await answer_to(0, 0)
        unchanged = await answer_to(relay.source, relay.revision)
        vector = Packer().u8(value=0)
        vector.many(values=list(view.known), each=lambda p, key: BALLOT.write(packer=p.text(value=key)))
        asked = Packer().many(values=[], each=lambda p, e: None).bytes()
        heartbeat_answer = await heartbeat_table.answer(Unpacker(data=asked))
        return {
            "held_bytes": held_bytes,
            "look_us": cpu_cost_us(relay.refresh),
            "whole_us": await self._async_cpu_cost_us(lambda: answer_to(0, 0)),
            "whole_bytes": len(full),
            "nothing_us": await self._async_cpu_cost_us(lambda: answer_to(relay.source, relay.revision)),
            "nothing_bytes": len(unchanged),
            "vector_bytes": len(vector.bytes()),
            "news_vector_us": cpu_cost_us(heartbeat_table.version_vector),
            "news_entry_bytes": len(heartbeat_answer) / max(1, len(announcements)),
            "news_answer_us": await self._async_cpu_cost_us(lambda: heartbeat_table.answer(Unpacker(data=asked))),
        }

    async def _async_cpu_cost_us(self, work: Callable[[], Awaitable[Any]]) -> float:
        """Does the same as `cpu_cost_us` for a coroutine."""
        gc.collect()
        began, iterations = time.process_time(), 0
        while iterations < MAX_ITERATIONS and time.process_time() - began < MIN_CPU_S:
            await work()
            iterations += 1
        return (time.process_time() - began) / iterations * 1_000_000

    # -- the data plane --

    def _proxy(self, *, databases: int) -> Proxy:
        proxy = Proxy(
            ctx=self._context(name=proxy_name(number=0)),
            site="e1",
            seeds=tuple,
            dialer=stub_dialer,
            distance=distance,
        )
        proxy.view._take(answer=full_answer(proxies=2, databases=databases, controllers=3))
        return proxy

    async def do_statements(self, *, databases: int, sessions: int, rounds: int) -> dict[str, Any]:
        """Measures the CPU time per statement of each kind, in concurrent sessions over stub links."""
        proxy = self._proxy(databases=databases)
        ctx, view = proxy.ctx, proxy.view
        open_sessions = [proxy.open(database=f"ledger-{n % databases:04}.pool.example") for n in range(sessions)]
        read = Statement(ident=b"1", verb=Verb.read, text=b"FETCH price ticker=ACME")
        write = Statement(ident=b"2", verb=Verb.write, text=b"PUT price ticker=ACME value=10.49")
        shape = Statement(ident=b"3", verb=Verb.prepare, name=b"q", content=b"price ticker=?")
        execute = Statement(ident=b"4", verb=Verb.execute, name=b"q", content=b"ACME")
        begin, commit = (Statement(ident=b"5", verb=verb) for verb in (Verb.begin, Verb.commit))
        kinds: dict[str, list[Statement]] = {
            "read": [read],
            "write": [write],
            "execute": [execute],
            "transaction": [begin, read, write, commit],
        }
        found: dict[str, Any] = {}
        for session in open_sessions:
            await session.run(statement=shape)
        refused = 0
        for name, statements in kinds.items():

            async def client(session: Session, each: list[Statement] = statements) -> int:
                bad = 0
                for _ in range(rounds):
                    # Nothing refreshes this view, so it is marked current by hand.
                    view.as_of_us = ctx.now_us()
                    for statement in each:
                        bad += (await session.run(statement=statement)).fault is not None
                return bad

            await asyncio.gather(*(client(session) for session in open_sessions))
            began = time.process_time()
            refused += sum(await asyncio.gather(*(client(session) for session in open_sessions)))
            cpu_s = time.process_time() - began
            found[f"{name}_us"] = cpu_s / (len(open_sessions) * rounds * len(statements)) * 1_000_000
        found["refused"] = refused
        proxy.stop()
        return found

    async def do_sessions(self, *, count: int) -> dict[str, Any]:
        """Measures the memory of an idle session and the cost per session of the idle timeout check."""
        proxy = self._proxy(databases=3)
        gc.collect()
        before = rss_bytes()
        for number in range(count):
            session = proxy.open(database=f"ledger-{number % 3:04}.pool.example")
            name, content = b"tz", b"UTC"
            await session.run(statement=Statement(ident=b"1", verb=Verb.set_value, name=name, content=content))
            shape = b"price ticker=? day=?"
            await session.run(statement=Statement(ident=b"2", verb=Verb.prepare, name=b"q%d" % number, content=shape))
        gc.collect()
        held_bytes = rss_bytes() - before
        return {"session_bytes": held_bytes / count, "tend_us": cpu_cost_us(proxy._on_timer) / count}

    async def do_door(self, *, rounds: int, sessions: int) -> dict[str, Any]:
        """Measures statements through the adapter's client connection and a session, over in-memory transports."""
        use_adapter()
        from adapter.client_connection import ClientConnection

        proxy = self._proxy(databases=3)
        connections: set[Any] = set()
        transports: list[MemoryTransport] = []
        gc.collect()
        before = rss_bytes()
        for number in range(sessions):
            connection = ClientConnection(proxy=proxy, connections=connections, count=lambda name: None)
            transport = MemoryTransport(protocol=connection)
            transports.append(transport)
            connection.connection_made(transport)
            connection.data_received(b"GREET ledger-%04d.pool.example app\r\n" % (number % 3))
            await asyncio.sleep(0)
        gc.collect()
        held_bytes = rss_bytes() - before
        found: dict[str, Any] = {"connection_bytes": held_bytes / sessions}
        clients = transports[:50]
        for name, text in (("read", b"FETCH price ticker=ACME"), ("write", b"PUT price ticker=ACME value=10.49")):
            began = time.process_time()
            for number in range(rounds):
                proxy.view.as_of_us = proxy.ctx.now_us()
                await asyncio.gather(
                    *(each.ask(b"ASK %d-%d %s\r\n" % (number, at, text)) for at, each in enumerate(clients))
                )
            found[f"door_{name}_us"] = (time.process_time() - began) / rounds / len(clients) * 1_000_000
        found["garbled"] = sum(b"ERROR" in each.last for each in transports)
        proxy.stop()
        return found
