"""An owner, relays and fronts in several data centres, on the paused clock.

Counts the messages and the bytes between data centres.
"""

import asyncio
import collections
import itertools
from collections.abc import Coroutine
from typing import Any

from ridgesill.adapters.peer_rpc import encode_body
from ridgesill.app.fleet_client import FleetClient
from ridgesill.app.news_relay import NewsRelay
from ridgesill.core.fleet.messages import Heartbeat, WatchFleet
from ridgesill.core.fleet.usage import UsageReport
from ridgesill.ports.peers import PeerError
from testing.app.lone_node import NAME, LoneNode, make_voter_storage

DATA_CENTRES = ("a", "b", "c", "d", "e")
# One way between any two VMs, in seconds.
_WAY_SECONDS = 0.001
# What HTTP/2 and TCP add to a message, in bytes.
_FRAME_BYTES = 60


class CountedPeers:
    """A node's way to the others; implements `ports.peers.Peers`."""

    def __init__(self, world: "NewsWorld", name: str) -> None:
        self._world = world
        self._name = name

    def send(self, address: str, message: Any) -> None:
        """Hands a message to a node, which answers nobody."""
        if address not in self._world.frozen:
            answer = self._world.answer(self._name, address, message)
            self._world.spawn(answer)

    async def call(self, address: str, message: Any, timeout: float) -> Any:
        """Returns a node's answer."""
        world = self._world
        world.count(self._name, address, message)
        await asyncio.sleep(_WAY_SECONDS)
        if address in world.frozen:
            await asyncio.sleep(timeout)
            raise PeerError("WatchFleet", address, "no answer in time")
        answer = await world.answer(self._name, address, message)
        world.count(address, self._name, answer)
        await asyncio.sleep(_WAY_SECONDS)
        return answer


class NewsWorld:
    """One owner in the first data centre, a relay in each other one.

    Args:
        fronts: how many, spread over the data centres.
        relayed: whether fronts ask relays.
    """

    def __init__(self, fronts: int, *, relayed: bool) -> None:
        self.owning = LoneNode(make_voter_storage(""))
        self.questions: collections.Counter[str] = collections.Counter()
        self.bytes_between = 0
        self.reported = 0
        self.frozen: set[str] = set()
        self.relays: dict[str, NewsRelay] = {}
        self.clients: dict[str, FleetClient] = {}
        self._tasks: list[asyncio.Task[Any]] = []
        self._places = {NAME: DATA_CENTRES[0]}
        for place in DATA_CENTRES[1:]:
            self._add_relay(f"r-{place}", place)
        for number in range(fronts):
            place = DATA_CENTRES[number % len(DATA_CENTRES)]
            near = f"r-{place}" if relayed and place != "a" else ""
            self._add_front(f"f{number}", place, near)

    def _add_relay(self, name: str, place: str) -> None:
        self._places[name] = place

        def report() -> UsageReport:
            return self.relays[name].make_usage_report()

        client = FleetClient(
            CountedPeers(self, name), lambda: NAME, name, report
        )
        self.relays[name] = NewsRelay(client)
        self.clients[name] = client

    def _add_front(self, name: str, place: str, near: str) -> None:
        self._places[name] = place
        self.clients[name] = FleetClient(
            CountedPeers(self, name),
            lambda: NAME,
            name,
            self._report,
            relay=lambda: near,
        )

    def _report(self) -> UsageReport:
        """Returns what a front says: one request since the last question."""
        self.reported += 1
        return UsageReport({"m/a1": 1}, {"e1": {"m/a1": 1}})

    def spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        """Runs work on its own."""
        self._tasks.append(asyncio.create_task(work))

    def count(self, sender: str, receiver: str, message: Any) -> None:
        """Counts a message on its way."""
        if isinstance(message, WatchFleet):
            self.questions[receiver] += 1
        if self._places[sender] != self._places[receiver]:
            self.bytes_between += len(encode_body(message)) + _FRAME_BYTES

    async def answer(self, sender: str, address: str, message: Any) -> Any:
        """Has a node take a message."""
        if address == NAME:
            return await self.owning.owner.handle_watch(sender, message)
        return await self.relays[address].handle_watch(sender, message)

    async def start(self, engines: int) -> None:
        """Starts all, with some engines that the owner has heard."""
        await self.owning.start()
        self._tasks.append(asyncio.create_task(self._beat(engines)))
        for client in self.clients.values():
            self._tasks.append(asyncio.create_task(client.run()))

    async def _beat(self, engines: int) -> None:
        """Has engines say that they are there."""
        for sequence in itertools.count(1):
            for number in range(engines):
                place = DATA_CENTRES[number % len(DATA_CENTRES)]
                address = f"10.0.2.{number}:80"
                beat = Heartbeat(
                    f"e{number}", "s", address, place, 12, False, sequence
                )
                self.owning.owner.handle_heartbeat(beat)
            await asyncio.sleep(1.2)

    def load(self, engine: str, artifact: str) -> None:
        """Has the owner learn that an engine holds something more."""
        registry = self.owning.owner._registry
        assert registry is not None
        registry.set_resident(engine, {"m": 1, artifact: 1})
        self.owning.owner._news.notify()

    async def change(self, seconds: float, a_second: int) -> None:
        """Has engines load and unload, as told to fronts."""
        owner = self.owning.owner
        registry = owner._registry
        assert registry is not None
        engines = sorted(registry.upstreams)
        for number in itertools.islice(
            itertools.count(), int(seconds * a_second)
        ):
            name = engines[number % len(engines)]
            adapters = {f"base-model/adapter-{number + n}": 1 for n in range(6)}
            registry.set_resident(name, {"m": 1, **adapters})
            owner._news.notify()
            await asyncio.sleep(1 / a_second)

    def stop(self) -> None:
        """Ends all."""
        for task in self._tasks:
            task.cancel()
        self.owning.stop()
