"""An owner of the fleet over engines that lose answers, restart and leave."""

import asyncio
import collections
import random
from typing import Any

import attrs
import msgspec

from ridgesill.app.control import Control, ControlSettings
from ridgesill.app.fleet_client import FleetClient
from ridgesill.app.fleet_owner import FleetOwner
from ridgesill.app.log_driver import LogDriver
from ridgesill.core.commands import Node
from ridgesill.core.fleet.messages import (
    ArtifactReady,
    Upstream,
    WantArtifact,
    WatchFleet,
)
from ridgesill.core.log.messages import Timing
from ridgesill.core.log.replica import found_snapshot
from ridgesill.platform.upstreams import PlatformEngines, read_heartbeat
from ridgesill.ports.http import ChannelError, HttpRequest
from testing.app.control_world import MemoryStorage, _run_inline
from testing.app.engine_world import (
    MODEL,
    SimulatedEngine,
    SimulatedExchange,
    make_table,
)
from testing.app.lone_node import NoPeers

PLACES = 3
_NAME = "10.0.0.1:70"
_SERVICE = "s"
_ADAPTERS = 12
_LEASE = 0.3
_HEARTBEAT = 0.6
_TIMING = Timing(heartbeat=0.3, election_min=0.5, election_max=0.9)
_WANT_EVERY = 0.12
_FRONT_EVERY = 0.2
_USE_SECONDS = 0.5
# The time of day at the start, in ms; the engines began long before.
_EPOCH_MS = 1_000_000


@attrs.define
class Machine:
    """Where an engine runs, and the engine that runs there now.

    Attributes:
        cut_until: until when nothing reaches it and nothing comes from it.
        held_back: heartbeats that a cut holds back.
    """

    address: str
    engine: SimulatedEngine
    start: int
    sequence: int = 0
    cut_until: float = 0.0
    held_back: list[tuple[str, bytes]] = attrs.Factory(list)


@attrs.frozen
class Late:
    """How orders are answered for a while.

    Attributes:
        until: when that ends.
        share: of the orders that get no answer.
        fates: after how many seconds each of those is carried out, in turn.
    """

    until: float = 0.0
    share: float = 0.0
    fates: tuple[float, ...] = (2.0,)


class ExplorerWorld:
    """One owner at a time, two engines, wants that never end.

    Args:
        seed: decides which adapters are wanted and whose answers are lost.
        count: how many engines there are.
    """

    def __init__(self, seed: int, count: int = 2) -> None:
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random(seed)
        self.machines = [
            Machine(
                f"10.0.1.{n}:80", SimulatedEngine(f"u{n}", PLACES), 1000 + n
            )
            for n in range(count)
        ]
        self.late = Late()
        self.log: list[str] = []
        self.unanswered_wants = 0
        self.served = 0
        self.last_late_at = 0.0
        self._fates: collections.deque[float] = collections.deque()
        self._names = count
        self._storage = MemoryStorage(
            f"{_NAME}.a", found_snapshot((f"{_NAME}.a",), b"")
        )
        self._incarnation = 0
        self._tasks: list[asyncio.Task[Any]] = []
        self._node_tasks: list[asyncio.Task[Any]] = []
        self.owner = self._make_owner({})

    # -- the owner -----------------------------------------------------

    def _make_owner(self, upstreams: dict[str, Upstream]) -> FleetOwner:
        self._incarnation += 1
        node = Node(
            _NAME, str(self._incarnation), _NAME, "a", self._storage.identity
        )
        settings = ControlSettings({_NAME: _NAME}, names_are_addresses=True)
        control = Control(node, settings, NoPeers(), lambda: ())
        control.driver = LogDriver(
            self._storage,
            lambda _to, _message: None,
            control.note_applied,
            _TIMING,
            run_blocking=_run_inline,
            rng=random.Random(self.rng.random()),
        )
        follower = FleetClient(NoPeers(), lambda: _NAME, _NAME)
        follower.view.upstreams = dict(upstreams)
        owner = FleetOwner(
            control,
            follower,
            self,  # type: ignore[arg-type]
            PlatformEngines(),
            _LEASE,
            _HEARTBEAT,
            lambda: self._time_of_day_ms() / 1000,
        )
        owner.note_table(make_table(_SERVICE, PLACES))
        works = (control.driver.run(), owner.run(), owner.holder.run())
        self._node_tasks = [asyncio.ensure_future(work) for work in works]
        return owner

    def replace_owner(self, *, knows: bool) -> None:
        """Loses the owner; its successor begins with an election.

        Args:
            knows: whether the successor has followed the owner's news.
        """
        registry = self.owner._registry
        known = dict(registry.upstreams) if registry and knows else {}
        self._end_owner()
        self.owner = self._make_owner(known)

    def _end_owner(self) -> None:
        """Ends the owner as the end of its process does, timers included."""
        loads = self.owner._loads
        ended = [*self._node_tasks, *loads.engine_loads._tasks]
        self.owner._registry = None
        loads.end()
        for task in ended:
            task.cancel()
        self._tasks += ended

    # -- channels to engines -------------------------------------------

    async def send(
        self, address: str, request: HttpRequest
    ) -> SimulatedExchange:
        """Carries an order or a question; some orders run late, unheard."""
        await asyncio.sleep(0.002)
        now = self.loop.time()
        machine = next(m for m in self.machines if m.address == address)
        if now < machine.cut_until:
            return SimulatedExchange(0, b"")
        expected = dict(request.headers)[b"expect-instance"].decode()
        if machine.engine.fell:
            raise ChannelError("connect", address, "refused", sent=False)
        if request.method == b"GET":
            said = {**machine.engine.report(now), "born": machine.start}
            return SimulatedExchange(200, msgspec.json.encode(said))
        body = msgspec.json.decode(request.body)
        if now < self.late.until and self.rng.random() < self.late.share:
            if not self._fates:
                self._fates.extend(self.late.fates)
            after = self._fates.popleft()
            self._note(f"{address} {body} runs in {after}")
            self.last_late_at = max(self.last_late_at, now + after)
            self.loop.call_later(
                after, self._carry_out, machine, expected, body
            )
            return SimulatedExchange(0, b"")
        status = self._carry_out(machine, expected, body)
        return SimulatedExchange(status, b"{}")

    def _carry_out(
        self, machine: Machine, expected: str, body: dict[str, Any]
    ) -> int:
        engine = machine.engine
        if engine.name != expected or engine.fell:
            return 421
        status = engine.order(body, self.loop.time())
        self._note(
            f"{machine.address} {body['operation']} {body['adapter']}"
            f" at {body.get('expected_revision')}: {status},"
            f" holds {sorted(engine.held)} {sorted(engine.incoming)}"
        )
        return status

    def sweep(self) -> None:
        """Closes nothing."""

    def _note(self, text: str) -> None:
        self.log.append(f"{self.loop.time():.3f} {text}")

    # -- engines -------------------------------------------------------

    def restart(self, number: int, *, same_name: bool) -> None:
        """Starts an engine again; it holds nothing."""
        machine = self.machines[number]
        name = machine.engine.name
        if not same_name:
            self._names += 1
            name = f"u{self._names}"
        machine.engine = SimulatedEngine(name, PLACES)
        machine.start = self._time_of_day_ms()
        machine.sequence = 0
        self._note(f"{machine.address} starts as {name} {machine.start}")

    def _time_of_day_ms(self) -> int:
        return _EPOCH_MS + int(self.loop.time() * 1000)

    def cut(self, number: int, seconds: float) -> None:
        """Cuts an engine off; its heartbeats come when that ends."""
        machine = self.machines[number]
        machine.cut_until = self.loop.time() + seconds
        self._note(f"{machine.address} is cut off for {seconds}")

    def use(self, number: int) -> None:
        """Has a request use something that an engine holds for a while."""
        engine = self.machines[number].engine
        if engine.held:
            adapter = self.rng.choice(sorted(engine.held))
            engine.used.add(adapter)
            self.loop.call_later(_USE_SECONDS, engine.used.discard, adapter)

    async def _beat(self) -> None:
        while True:
            for machine in self.machines:
                self._beat_once(machine)
            await asyncio.sleep(_HEARTBEAT)

    def _beat_once(self, machine: Machine) -> None:
        engine = machine.engine
        if engine.fell:
            return
        engine.settle(self.loop.time())
        machine.sequence += 1
        said = {
            "service": _SERVICE,
            "address": machine.address,
            "zone": "a",
            "slots": 8,
            "state": "ready",
            "sequence": machine.sequence,
            "born": machine.start,
            "models": [{"name": MODEL, "adapters": sorted(engine.held)}],
        }
        machine.held_back.append((engine.name, msgspec.json.encode(said)))
        if self.loop.time() < machine.cut_until:
            return
        for name, body in machine.held_back:
            if self.owner.is_owner():
                self.owner.take_heartbeat(read_heartbeat(name, body))
        machine.held_back.clear()

    # -- callers -------------------------------------------------------

    async def _want(self) -> None:
        while True:
            adapter = int(self.rng.paretovariate(0.7)) % _ADAPTERS
            self._tasks.append(asyncio.ensure_future(self._want_once(adapter)))
            await asyncio.sleep(_WANT_EVERY)

    async def _want_once(self, adapter: int) -> None:
        artifact = f"{MODEL}/a{adapter}"
        want = WantArtifact(_SERVICE, artifact, 0, (), 1.0)
        self.unanswered_wants += 1
        answer: ArtifactReady = await self.owner.handle_want(want)
        self.unanswered_wants -= 1
        self.served += bool(answer.upstream)

    async def _front(self) -> None:
        while True:
            using = {}
            if self.owner.is_owner():
                for engine in self.owner._placement.engines.values():
                    machine = self._machine_of(engine.address)
                    used = machine.engine.used
                    using[engine.name] = {f"{MODEL}/{a}": 1 for a in used}
                self.owner._note_front(
                    "f1", WatchFleet(0, 0, 0.0, True, {}, using)
                )
            for machine in self.machines:
                machine.engine.report(self.loop.time())
            await asyncio.sleep(_FRONT_EVERY)

    def _machine_of(self, address: str) -> Machine:
        return next(m for m in self.machines if m.address == address)

    # -- all -----------------------------------------------------------

    def start(self) -> None:
        """Has engines beat and callers ask."""
        for work in (self._beat(), self._want(), self._front()):
            self._tasks.append(asyncio.ensure_future(work))

    def stop_callers(self) -> None:
        """Ends what asks; what was asked goes on."""
        self._tasks[1].cancel()

    async def stop(self) -> None:
        """Ends all."""
        self._end_owner()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    # -- what must hold ------------------------------------------------

    def find_fallen(self) -> list[str]:
        """Returns the engines that were ordered over their places."""
        return [m.engine.name for m in self.machines if m.engine.fell]

    def find_untrue_books(self) -> list[str]:
        """Returns where the owner's books differ from the engines' truth."""
        found = []
        for machine in self.machines:
            engine = machine.engine
            engine.settle(self.loop.time())
            books = self._find_books(machine)
            if books is None:
                found.append(f"{engine.name} isn't known")
                continue
            truth = {MODEL, *(f"{MODEL}/{a}" for a in engine.held)}
            if books.may_hold() != truth:
                found.append(
                    f"{engine.name} holds {sorted(truth)},"
                    f" believed {sorted(books.may_hold())}"
                )
        return found

    def _find_books(self, machine: Machine) -> Any:
        for engine in self.owner._placement.engines.values():
            is_same = engine.instance == machine.engine.name
            if is_same and engine.start == machine.start:
                return engine
        return None
