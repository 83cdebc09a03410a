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
from ridgesill.core.log.replica import make_initial_snapshot
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
from testing.explorer.weighed import (
    MODELS,
    WeighedEngine,
    make_weighed_table,
)

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
# How late heartbeats come that are late; longer than what they tell is doubted.
_BEAT_LATE_SECONDS = 5.0
# How long an engine goes on after it said that it leaves.
_LEAVE_SECONDS = 1.0
# Share of what is wanted that is a base model, where these are loaded.
_MODEL_SHARE = 0.1
# The time of day at the start, in ms; the engines began long before.
_EPOCH_MS = 1_000_000


@attrs.define
class Machine:
    """Where an engine runs, and the engine that runs there now.

    Attributes:
        deaf_until: until when nothing reaches it.
        mute_until: until when none of its answers come.
        silent_until: until when its heartbeats are held back.
        late_until: until when each heartbeat comes seconds late.
        leaves: whether it says that it leaves.
        held_back: heartbeats that a cut holds back.
    """

    address: str
    engine: SimulatedEngine
    start: int
    sequence: int = 0
    deaf_until: float = 0.0
    mute_until: float = 0.0
    silent_until: float = 0.0
    late_until: float = 0.0
    leaves: bool = False
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
        weighed: whether engines load base models too, and have little room.
    """

    def __init__(
        self, seed: int, count: int = 2, *, weighed: bool = False
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random(seed)
        self._weighed = weighed
        self._make_engine = WeighedEngine if weighed else SimulatedEngine
        self.machines = [
            Machine(
                f"10.0.1.{n}:80", self._make_engine(f"u{n}", PLACES), 1000 + n
            )
            for n in range(count)
        ]
        self.late = Late()
        self.log: list[str] = []
        self.unanswered_wants = 0
        self.last_late_at = 0.0
        self._fates: collections.deque[float] = collections.deque()
        self._names = count
        self._storage = MemoryStorage(
            f"{_NAME}.a", make_initial_snapshot((f"{_NAME}.a",), b"")
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
            control.notify_applied,
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
        make = make_weighed_table if self._weighed else make_table
        owner.apply_table(make(_SERVICE, PLACES))
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
        self.owner._engines.end()
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
        if now < machine.deaf_until:
            return SimulatedExchange(0, b"")
        expected = dict(request.headers)[b"expect-instance"].decode()
        if machine.engine.is_overfull:
            raise ChannelError("connect", address, "refused", sent=False)
        if request.method == b"GET":
            said = {**machine.engine.report(now), "born": machine.start}
            if now < machine.mute_until:
                return SimulatedExchange(0, b"")
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
        if now < machine.mute_until:
            return SimulatedExchange(0, b"")
        return SimulatedExchange(status, b"{}")

    def _carry_out(
        self, machine: Machine, expected: str, body: dict[str, Any]
    ) -> int:
        engine = machine.engine
        if engine.name != expected or engine.is_overfull:
            return 421
        status = engine.handle_order(body, self.loop.time())
        self._note(
            f"{machine.address} {body['operation']}"
            f" {body.get('adapter') or body['model']}"
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
        machine.engine = self._make_engine(name, PLACES)
        machine.leaves = False
        machine.start = self._time_of_day_ms()
        machine.sequence = 0
        self._note(f"{machine.address} starts as {name} {machine.start}")

    def _time_of_day_ms(self) -> int:
        return _EPOCH_MS + int(self.loop.time() * 1000)

    def cut(self, number: int, seconds: float) -> None:
        """Cuts an engine off; its heartbeats come when that ends."""
        machine = self.machines[number]
        until = self.loop.time() + seconds
        machine.deaf_until = machine.silent_until = until
        self._note(f"{machine.address} is cut off for {seconds}")

    def cut_one_way(self, number: int, seconds: float, way: str) -> None:
        """Cuts an engine off one way.

        Args:
            number: which engine.
            seconds: for how long.
            way: "deaf", "mute", "silent" or "late", as a machine's attributes
                say.
        """
        machine = self.machines[number]
        setattr(machine, f"{way}_until", self.loop.time() + seconds)
        self._note(f"{machine.address} is {way} for {seconds}")

    def leave(self, number: int) -> None:
        """Has an engine leave; another one begins at its address."""
        machine = self.machines[number]
        machine.leaves = True
        self._note(f"{machine.address} leaves")
        self.loop.call_later(
            _LEAVE_SECONDS, self._replace, number, machine.engine
        )

    def _replace(self, number: int, engine: SimulatedEngine) -> None:
        """Starts another engine where one has left, unless one has already."""
        if self.machines[number].engine is engine:
            self.restart(number, same_name=False)

    def use(self, number: int) -> None:
        """Has a request use something that an engine holds for a while."""
        engine = self.machines[number].engine
        if engine.held:
            adapter = self.rng.choice(sorted(engine.held))
            engine.adapters_in_use.add(adapter)
            self.loop.call_later(
                _USE_SECONDS, engine.adapters_in_use.discard, adapter
            )

    async def _beat(self) -> None:
        while True:
            for machine in self.machines:
                self._beat_once(machine)
            await asyncio.sleep(_HEARTBEAT)

    def _beat_once(self, machine: Machine) -> None:
        engine = machine.engine
        if engine.is_overfull:
            return
        engine.complete_due(self.loop.time())
        machine.sequence += 1
        said = {
            "service": _SERVICE,
            "address": machine.address,
            "zone": "a",
            "slots": 8,
            "state": "draining" if machine.leaves else "ready",
            "sequence": machine.sequence,
            "born": machine.start,
            "models": engine.list_models(),
        }
        beat = (engine.name, msgspec.json.encode(said))
        if self.loop.time() < machine.late_until:
            self.loop.call_later(_BEAT_LATE_SECONDS, self._hear, *beat)
            return
        machine.held_back.append(beat)
        if self.loop.time() < machine.silent_until:
            return
        for name, body in machine.held_back:
            self._hear(name, body)
        machine.held_back.clear()

    def _hear(self, name: str, body: bytes) -> None:
        if self.owner.is_owner():
            self.owner.handle_heartbeat(read_heartbeat(name, body))

    # -- callers -------------------------------------------------------

    async def _want(self) -> None:
        while True:
            artifact = self._draw_artifact()
            self._tasks.append(asyncio.ensure_future(self.want(artifact)))
            await asyncio.sleep(_WANT_EVERY)

    def _draw_artifact(self) -> str:
        adapter = int(self.rng.paretovariate(0.7)) % _ADAPTERS
        if not self._weighed:
            return f"{MODEL}/a{adapter}"
        model = self.rng.choice(MODELS)
        is_model = self.rng.random() < _MODEL_SHARE
        return model if is_model else f"{model}/a{adapter}"

    def find_usable_artifact(self) -> str:
        """Returns an adapter of a model that some engine holds, if any does."""
        held = {a for m in self.machines for a in m.engine.artifacts()}
        usable = (model for model in MODELS if model in held)
        return f"{next(usable, MODEL)}/a{_ADAPTERS}"

    async def want(self, artifact: str) -> bool:
        """Asks for an artifact; returns whether an engine then holds it."""
        want = WantArtifact(_SERVICE, artifact, 0, (), 1.0)
        self.unanswered_wants += 1
        answer: ArtifactReady = await self.owner.handle_want(want)
        self.unanswered_wants -= 1
        return bool(answer.upstream)

    async def _front(self) -> None:
        while True:
            using = {}
            if self.owner.is_owner():
                for engine in self.owner._placement.engines.values():
                    machine = self._machine_of(engine.address)
                    used = map(
                        machine.engine.artifact, machine.engine.adapters_in_use
                    )
                    using[engine.name] = dict.fromkeys(used, 1)
                self.owner._record_front(
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
        ended = await asyncio.gather(*self._tasks, return_exceptions=True)
        for outcome in ended:
            # A world without fronts or heartbeats finds nothing.
            if isinstance(outcome, Exception):
                raise outcome

    # -- what must hold ------------------------------------------------

    def find_fallen(self) -> list[str]:
        """Returns the engines that were ordered over their places."""
        return [m.engine.name for m in self.machines if m.engine.is_overfull]

    def find_untrue_books(self) -> list[str]:
        """Returns where the owner's books differ from the engines' truth."""
        found = []
        for machine in self.machines:
            engine = machine.engine
            engine.complete_due(self.loop.time())
            books = self._find_books(machine)
            if books is None:
                found.append(f"{engine.name} isn't known")
                continue
            truth = engine.artifacts()
            if books.possible_artifacts() != truth:
                found.append(
                    f"{engine.name} holds {sorted(truth)},"
                    f" believed {sorted(books.possible_artifacts())}"
                )
        return found

    def _find_books(self, machine: Machine) -> Any:
        for engine in self.owner._placement.engines.values():
            is_same = engine.instance == machine.engine.name
            if is_same and engine.start == machine.start:
                return engine
        return None
