"""Which proxies are there and where, when any controller last saw each, and how it votes on the next shard map."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from ..failover.proxy_addresses import ProxyAddress
from ..failover.shard_state import Vote
from ..runtime.context import Context
from ..runtime.dispatcher import Dispatcher
from ..runtime.message_types import MessageType
from ..runtime.packer import Packer
from ..runtime.unpacker import Unpacker
from .relay import Relay

WITHIN_US = 30_000_000
ASK_WAIT_US = 500_000
# the turn and the phase of a change of the shard map, as a controller knows them
Word = tuple[int, int]


@dataclass(frozen=True, kw_only=True)
class Seen:
    """`turn` is the proposal that the vote is about."""

    at_us: int
    turn: int
    vote: Vote


class ProxyCensus:
    """Each controller knows the proxies that ask it; whoever holds a duty asks the others for theirs."""

    def __init__(
        self,
        *,
        ctx: Context,
        dispatcher: Dispatcher,
        relay: Relay,
        neighbours: Callable[[], list[str]],
        word: Callable[[], Word] = lambda: (0, 0),
    ) -> None:
        self.ctx = ctx
        self.relay = relay
        self.neighbours = neighbours
        self.word = word
        self.words: dict[str, Word] = {}
        self.proxies: dict[str, Seen] = {}
        self.places: dict[str, tuple[int, ProxyAddress]] = {}
        self.requested_us = self.asked_places_us = -WITHIN_US
        dispatcher.add_handler(message_type=MessageType.PROXIES, handler=self._asked)
        dispatcher.add_handler(message_type=MessageType.ANNOUNCE_ADDRESS, handler=self._reported)
        dispatcher.add_handler(message_type=MessageType.PROXY_ADDRESSES, handler=self._places_asked)

    async def _reported(self, unpacker: Unpacker) -> bytes:
        """A proxy says where it is; it does so until the table says it as well."""
        name, place = unpacker.text(), ProxyAddress(site=unpacker.text(), records=unpacker.text())
        unpacker.done()
        self.places[name] = (self.ctx.now_us(), place)
        return b"\0"

    async def _asked(self, unpacker: Unpacker) -> bytes:
        unpacker.done()

        def write(packer: Packer, entry: tuple[str, int, int, Vote]) -> None:
            packer.text(value=entry[0]).u64(value=entry[1]).u64(value=entry[2]).u8(value=entry[3])

        turn, phase = self.word()
        packer = Packer().many(values=self.relay.seen(within_us=WITHIN_US), each=write)
        # why: at the end, where a controller that knows nothing of it does not look
        return packer.u64(value=turn).u8(value=phase).bytes()

    def reported(self, *, word: Word) -> bool:
        """Whether every other controller has this word and has since named the proxies that it sees.

        Before that, one of them may tell a proxy that nobody else knows of an older word.
        """
        return all(self.words.get(address) == word for address in self.neighbours())

    async def _places_asked(self, unpacker: Unpacker) -> bytes:
        unpacker.done()
        now_us = self.ctx.now_us()
        self._forget(now_us=now_us)

        def write(packer: Packer, entry: tuple[str, tuple[int, ProxyAddress]]) -> None:
            name, (at_us, place) = entry
            packer.text(value=name).u64(value=now_us - at_us).text(value=place.site).text(value=place.records)

        return Packer().many(values=self.places.items(), each=write).bytes()

    def _forget(self, *, now_us: int) -> None:
        self.places = {name: entry for name, entry in self.places.items() if now_us - entry[0] <= WITHIN_US}

    def _take(self, *, name: str, seen: Seen) -> None:
        known = self.proxies.get(name)
        if known is None or seen.at_us > known.at_us:
            self.proxies[name] = seen

    async def gather(self, *, every_us: int) -> dict[str, Seen]:
        """What is known of all proxies; the other controllers are asked no more often than given."""
        now_us = self.ctx.now_us()
        for name, age_us, turn, vote in self.relay.seen(within_us=WITHIN_US):
            self._take(name=name, seen=Seen(at_us=now_us - age_us, turn=turn, vote=vote))
        if now_us - self.requested_us >= every_us:
            self.requested_us = now_us
            await self._ask(now_us=now_us)
        self.proxies = {name: seen for name, seen in self.proxies.items() if now_us - seen.at_us < 2 * WITHIN_US}
        return self.proxies

    async def _ask(self, *, now_us: int) -> None:
        body = Packer().u8(value=MessageType.PROXIES).bytes()
        addresses = self.neighbours()
        asks = [
            self.ctx.peer_client.request(address=address, body=body, wait_us=ASK_WAIT_US) for address in addresses
        ]
        for address, result in zip(addresses, await asyncio.gather(*asks), strict=True):
            if result.is_error():
                continue
            try:
                unpacker = Unpacker(data=result.ok)
                entries = unpacker.many(each=lambda u: (u.text(), u.u64(), u.u64(), Vote(u.u8())))
                word = unpacker.u64(), unpacker.u8()
            except ValueError:
                self.ctx.counters.add(name="records.malformed")
                continue
            self.words[address] = word
            for name, age_us, turn, vote in entries:
                # why: the answer may have lain anywhere since the asking, so its age counts from there
                self._take(name=name, seen=Seen(at_us=now_us - age_us, turn=turn, vote=vote))

    async def gather_places(self, *, every_us: int) -> dict[str, ProxyAddress]:
        """Where proxies said lately that they are; the other controllers are asked no more often than given."""
        now_us = self.ctx.now_us()
        if now_us - self.asked_places_us >= every_us:
            self.asked_places_us = now_us
            body = Packer().u8(value=MessageType.PROXY_ADDRESSES).bytes()
            asks = [
                self.ctx.peer_client.request(address=a, body=body, wait_us=ASK_WAIT_US) for a in self.neighbours()
            ]
            for result in await asyncio.gather(*asks):
                if result.is_ok():
                    self._take_places(data=result.ok, now_us=now_us)
        self._forget(now_us=now_us)
        return {name: place for name, (_, place) in self.places.items()}

    def _take_places(self, *, data: bytes, now_us: int) -> None:
        try:
            reported = Unpacker(data=data).many(each=_read_place)
        except ValueError:
            self.ctx.counters.add(name="records.malformed")
            return
        for name, age_us, place in reported:
            if name not in self.places or now_us - age_us > self.places[name][0]:
                self.places[name] = (now_us - age_us, place)


def _read_place(unpacker: Unpacker) -> tuple[str, int, ProxyAddress]:
    return unpacker.text(), unpacker.u64(), ProxyAddress(site=unpacker.text(), records=unpacker.text())
