"""Simulation of an owner, relays and fronts in several data centres.

It runs on a simulated clock and counts the questions to each node and the bytes
between data centres.
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
# One-way network latency between any two VMs, in seconds.
_ONE_WAY_SECONDS = 0.001
# Overhead of HTTP/2 and TCP for each message, in bytes.
_FRAME_BYTES = 60


class CountedPeers:
    """A node's connection to the others; implements `ports.peers.Peers`."""

    def __init__(self, world: "NewsWorld", name: str) -> None:
        self._world = world
        self._name = name

    def send(self, address: str, message: Any) -> None:
        """Delivers a message to a node and drops the answer."""
        if address not in self._world.frozen:
            answer = self._world.answer(self._name, address, message)
            self._world.spawn(answer)

    async def call(self, address: str, message: Any, timeout: float) -> Any:
        """Returns a node's answer; fails after the timeout if it is frozen."""
        world = self._world
        world.count(self._name, address, message)
        await asyncio.sleep(_ONE_WAY_SECONDS)
        if address in world.frozen:
            await asyncio.sleep(timeout)
            raise PeerError("WatchFleet", address, "no answer in time")
        answer = await world.answer(self._name, address, message)
        world.count(address, self._name, answer)
        await asyncio.sleep(_ONE_WAY_SECONDS)
        return answer


class NewsWorld:
    """An owner in the first data centre and a relay in each of the others.

    Args:
        fronts: number of fronts, spread over the data centres.
        relayed: whether fronts ask the relay of their data centre.
    """

    def __init__(self, fronts: int, *, relayed: bool) -> None:
        self.owner_node = LoneNode(make_voter_storage(""))
        self.questions: collections.Counter[str] = collections.Counter()
        self.bytes_between = 0
        self.report_count = 0
        self.frozen: set[str] = set()
        self.relays: dict[str, NewsRelay] = {}
        self.clients: dict[str, FleetClient] = {}
        self._tasks: list[asyncio.Task[Any]] = []
        self._data_centres = {NAME: DATA_CENTRES[0]}
        for data_centre in DATA_CENTRES[1:]:
            self._add_relay(f"r-{data_centre}", data_centre)
        for number in range(fronts):
            data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
            relay_name = (
                f"r-{data_centre}" if relayed and data_centre != "a" else ""
            )
            self._add_front(f"f{number}", data_centre, relay_name)

    def _add_relay(self, name: str, data_centre: str) -> None:
        self._data_centres[name] = data_centre

        def report() -> UsageReport:
            return self.relays[name].make_usage_report()

        client = FleetClient(
            CountedPeers(self, name), lambda: NAME, name, report
        )
        self.relays[name] = NewsRelay(client)
        self.clients[name] = client

    def _add_front(self, name: str, data_centre: str, relay_name: str) -> None:
        self._data_centres[name] = data_centre
        self.clients[name] = FleetClient(
            CountedPeers(self, name),
            lambda: NAME,
            name,
            self._report,
            relay=lambda: relay_name,
        )

    def _report(self) -> UsageReport:
        """Returns a front's report: one request since the last question."""
        self.report_count += 1
        return UsageReport({"m/a1": 1}, {"e1": {"m/a1": 1}})

    def spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        """Runs work as a task until `stop`."""
        self._tasks.append(asyncio.create_task(work))

    def count(self, sender: str, receiver: str, message: Any) -> None:
        """Counts a question, and the bytes of a message between centres."""
        if isinstance(message, WatchFleet):
            self.questions[receiver] += 1
        if self._data_centres[sender] != self._data_centres[receiver]:
            self.bytes_between += len(encode_body(message)) + _FRAME_BYTES

    async def answer(self, sender: str, address: str, message: Any) -> Any:
        """Returns a node's answer to a message."""
        if address == NAME:
            return await self.owner_node.owner.handle_watch(sender, message)
        return await self.relays[address].handle_watch(sender, message)

    async def start(self, engines: int) -> None:
        """Starts all nodes, and engines that send heartbeats to the owner."""
        await self.owner_node.start()
        self._tasks.append(asyncio.create_task(self._send_heartbeats(engines)))
        for client in self.clients.values():
            self._tasks.append(asyncio.create_task(client.run()))

    async def _send_heartbeats(self, engines: int) -> None:
        """Sends the engines' heartbeats to the owner."""
        for sequence in itertools.count(1):
            for number in range(engines):
                data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
                address = f"10.0.2.{number}:80"
                heartbeat = Heartbeat(
                    f"e{number}", "s", address, data_centre, 12, False, sequence
                )
                self.owner_node.owner.handle_heartbeat(heartbeat)
            await asyncio.sleep(1.2)

    def add_artifact(self, engine: str, artifact: str) -> None:
        """Records at the owner that an engine holds a further artifact."""
        registry = self.owner_node.owner._registry
        assert registry is not None
        registry.set_resident(engine, {"m": 1, artifact: 1})
        self.owner_node.owner._news.notify()

    async def change_adapters(self, seconds: float, per_second: int) -> None:
        """Changes the adapters of engines for some time.

        Args:
            seconds: duration of the changes.
            per_second: number of changes a second.
        """
        owner = self.owner_node.owner
        registry = owner._registry
        assert registry is not None
        engines = sorted(registry.upstreams)
        for number in itertools.islice(
            itertools.count(), int(seconds * per_second)
        ):
            name = engines[number % len(engines)]
            adapters = {f"base-model/adapter-{number + n}": 1 for n in range(6)}
            registry.set_resident(name, {"m": 1, **adapters})
            owner._news.notify()
            await asyncio.sleep(1 / per_second)

    def stop(self) -> None:
        """Stops all tasks and the owner."""
        for task in self._tasks:
            task.cancel()
        self.owner_node.stop()
