"""Runs a fleet owner with simulated engines that fail, restart and leave."""

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
from testing.explorer.memory_engine import (
    MODELS,
    MemoryLimitedEngine,
    make_memory_limited_table,
)

ADAPTER_SLOTS = 3
_NAME = "10.0.0.1:70"
_SERVICE = "s"
_ADAPTER_COUNT = 12
_LEASE_SECONDS = 0.3
_HEARTBEAT_SECONDS = 0.6
_TIMING = Timing(heartbeat=0.3, election_min=0.5, election_max=0.9)
_REQUEST_INTERVAL_SECONDS = 0.12
_FRONT_INTERVAL_SECONDS = 0.2
_USE_SECONDS = 0.5
# Delay of late heartbeats, longer than the lag that the owner allows for when
# it compares a heartbeat with its records.
_HEARTBEAT_DELAY_SECONDS = 5.0
# How long an engine keeps running after it has announced that it leaves.
_LEAVE_SECONDS = 1.0
# Share of requests that ask for a base model, if engines load base models.
_MODEL_SHARE = 0.1
# Time of day at the start, in milliseconds. The engines started long before.
_EPOCH_MS = 1_000_000


@attrs.define
class Machine:
    """An address and the engine that currently runs there.

    All times are in seconds of the event loop's clock.

    Attributes:
        address: `host:port` of the engine.
        engine: the engine.
        start: the start time that the engine reports, in milliseconds.
        sequence: number of the last heartbeat.
        deaf_until: until when no message reaches the engine.
        mute_until: until when the engine's answers are lost.
        silent_until: until when the engine's heartbeats are held back.
        late_until: until when each heartbeat arrives 5 s late.
        leaves: whether the engine announces that it leaves.
        held_back: heartbeats that are delivered when `silent_until` has passed.
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
class AnswerLoss:
    """Loses the answers of some orders and delays their execution.

    Attributes:
        until: when this ends, in seconds of the event loop's clock.
        share: share of the orders that is affected.
        delays_seconds: execution delays, used in turn.
    """

    until: float = 0.0
    share: float = 0.0
    delays_seconds: tuple[float, ...] = (2.0,)


class ExplorerWorld:
    """One owner at a time, several engines and a steady load of requests.

    Args:
        seed: decides which artifacts are requested and which answers are lost.
        count: number of engines.
        limited_memory: whether engines also load base models and have little
            memory.
    """

    def __init__(
        self, seed: int, count: int = 2, *, limited_memory: bool = False
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random(seed)
        self._limited_memory = limited_memory
        self._make_engine = (
            MemoryLimitedEngine if limited_memory else SimulatedEngine
        )
        self.machines = [
            Machine(
                f"10.0.1.{n}:80",
                self._make_engine(f"u{n}", ADAPTER_SLOTS),
                1000 + n,
            )
            for n in range(count)
        ]
        self.answer_loss = AnswerLoss()
        self.log: list[str] = []
        self.pending_requests = 0
        self.last_delayed_order_at = 0.0
        self._pending_delays: collections.deque[float] = collections.deque()
        self._last_name_number = count
        self._storage = MemoryStorage(
            f"{_NAME}.a", make_initial_snapshot((f"{_NAME}.a",), b"")
        )
        self._incarnation = 0
        self._tasks: list[asyncio.Task[Any]] = []
        self._node_tasks: list[asyncio.Task[Any]] = []
        self.owner = self._make_owner({})

    # -- owner ---------------------------------------------------------

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
        client = FleetClient(NoPeers(), lambda: _NAME, _NAME)
        client.view.upstreams = dict(upstreams)
        owner = FleetOwner(
            control,
            client,
            self,  # type: ignore[arg-type]
            PlatformEngines(),
            _LEASE_SECONDS,
            _HEARTBEAT_SECONDS,
            lambda: self._time_of_day_ms() / 1000,
        )
        make_route_table = (
            make_memory_limited_table if self._limited_memory else make_table
        )
        owner.apply_table(make_route_table(_SERVICE, ADAPTER_SLOTS))
        coroutines = (control.driver.run(), owner.run(), owner.holder.run())
        self._node_tasks = [
            asyncio.ensure_future(coroutine) for coroutine in coroutines
        ]
        return owner

    def replace_owner(self, *, knows_fleet: bool) -> None:
        """Ends the owner; its successor starts with an election.

        Args:
            knows_fleet: whether the successor knows the upstreams that its
                predecessor knew.
        """
        registry = self.owner._registry
        known_upstreams = (
            dict(registry.upstreams) if registry and knows_fleet else {}
        )
        self._stop_owner()
        self.owner = self._make_owner(known_upstreams)

    def _stop_owner(self) -> None:
        """Stops the owner and its timers, as if its process had ended."""
        loads = self.owner._loads
        stopped_tasks = [*self._node_tasks, *loads.engine_loads._tasks]
        self.owner._engines.end()
        loads.end()
        for task in stopped_tasks:
            task.cancel()
        self._tasks += stopped_tasks

    # -- channels to engines -------------------------------------------

    async def send(
        self, address: str, request: HttpRequest
    ) -> SimulatedExchange:
        """Delivers an order or a request for a report.

        During `answer_loss` some orders get no answer and are executed later.

        Raises:
            ChannelError: if the engine exceeded its capacity, which ends it.
        """
        await asyncio.sleep(0.002)
        now = self.loop.time()
        machine = next(m for m in self.machines if m.address == address)
        if now < machine.deaf_until:
            return SimulatedExchange(0, b"")
        expected = dict(request.headers)[b"expect-instance"].decode()
        if machine.engine.is_overfull:
            raise ChannelError("connect", address, "refused", sent=False)
        if request.method == b"GET":
            report = {**machine.engine.report(now), "born": machine.start}
            if now < machine.mute_until:
                return SimulatedExchange(0, b"")
            return SimulatedExchange(200, msgspec.json.encode(report))
        body = msgspec.json.decode(request.body)
        if (
            now < self.answer_loss.until
            and self.rng.random() < self.answer_loss.share
        ):
            if not self._pending_delays:
                self._pending_delays.extend(self.answer_loss.delays_seconds)
            delay = self._pending_delays.popleft()
            self._append_log(f"{address} {body} runs in {delay}")
            self.last_delayed_order_at = max(
                self.last_delayed_order_at, now + delay
            )
            self.loop.call_later(delay, self._execute, machine, expected, body)
            return SimulatedExchange(0, b"")
        status = self._execute(machine, expected, body)
        if now < machine.mute_until:
            return SimulatedExchange(0, b"")
        return SimulatedExchange(status, b"{}")

    def _execute(
        self, machine: Machine, expected: str, body: dict[str, Any]
    ) -> int:
        engine = machine.engine
        if engine.name != expected or engine.is_overfull:
            return 421
        status = engine.handle_order(body, self.loop.time())
        self._append_log(
            f"{machine.address} {body['operation']}"
            f" {body.get('adapter') or body['model']}"
            f" at {body.get('expected_revision')}: {status},"
            f" holds {sorted(engine.held)} {sorted(engine.incoming)}"
        )
        return status

    def prune(self) -> None:
        """Does nothing: no connections are kept."""

    def _append_log(self, text: str) -> None:
        self.log.append(f"{self.loop.time():.3f} {text}")

    # -- engines -------------------------------------------------------

    def restart(self, number: int, *, same_name: bool) -> None:
        """Restarts an engine, which then holds nothing.

        Args:
            number: index of its machine.
            same_name: whether it keeps its name.
        """
        machine = self.machines[number]
        name = machine.engine.name
        if not same_name:
            self._last_name_number += 1
            name = f"u{self._last_name_number}"
        machine.engine = self._make_engine(name, ADAPTER_SLOTS)
        machine.leaves = False
        machine.start = self._time_of_day_ms()
        machine.sequence = 0
        self._append_log(f"{machine.address} starts as {name} {machine.start}")

    def _time_of_day_ms(self) -> int:
        return _EPOCH_MS + int(self.loop.time() * 1000)

    def cut(self, number: int, seconds: float) -> None:
        """Cuts an engine off; its heartbeats are delivered afterwards."""
        machine = self.machines[number]
        until = self.loop.time() + seconds
        machine.deaf_until = machine.silent_until = until
        self._append_log(f"{machine.address} is cut off for {seconds}")

    def cut_one_way(self, number: int, seconds: float, way: str) -> None:
        """Disrupts messages from or to an engine in one direction.

        Args:
            number: index of its machine.
            seconds: how long this lasts.
            way: "deaf", "mute", "silent" or "late"; see the attributes of
                `Machine`.
        """
        machine = self.machines[number]
        setattr(machine, f"{way}_until", self.loop.time() + seconds)
        self._append_log(f"{machine.address} is {way} for {seconds}")

    def leave(self, number: int) -> None:
        """Has an engine leave; another one then starts at its address."""
        machine = self.machines[number]
        machine.leaves = True
        self._append_log(f"{machine.address} leaves")
        self.loop.call_later(
            _LEAVE_SECONDS, self._replace, number, machine.engine
        )

    def _replace(self, number: int, engine: SimulatedEngine) -> None:
        """Replaces an engine that has left, unless it was replaced already."""
        if self.machines[number].engine is engine:
            self.restart(number, same_name=False)

    def use_adapter(self, number: int) -> None:
        """Has a request use an adapter that an engine holds for a while."""
        engine = self.machines[number].engine
        if engine.held:
            adapter = self.rng.choice(sorted(engine.held))
            engine.adapters_in_use.add(adapter)
            self.loop.call_later(
                _USE_SECONDS, engine.adapters_in_use.discard, adapter
            )

    async def _send_heartbeats(self) -> None:
        while True:
            for machine in self.machines:
                self._send_heartbeat(machine)
            await asyncio.sleep(_HEARTBEAT_SECONDS)

    def _send_heartbeat(self, machine: Machine) -> None:
        engine = machine.engine
        if engine.is_overfull:
            return
        engine.complete_due(self.loop.time())
        machine.sequence += 1
        state = {
            "service": _SERVICE,
            "address": machine.address,
            "zone": "a",
            "version": "v1",
            "slots": 8,
            "state": "draining" if machine.leaves else "ready",
            "sequence": machine.sequence,
            "born": machine.start,
            "models": engine.list_models(),
        }
        heartbeat = (engine.name, msgspec.json.encode(state))
        if self.loop.time() < machine.late_until:
            self.loop.call_later(
                _HEARTBEAT_DELAY_SECONDS, self._deliver_heartbeat, *heartbeat
            )
            return
        machine.held_back.append(heartbeat)
        if self.loop.time() < machine.silent_until:
            return
        for name, body in machine.held_back:
            self._deliver_heartbeat(name, body)
        machine.held_back.clear()

    def _deliver_heartbeat(self, name: str, body: bytes) -> None:
        if self.owner.is_owner():
            self.owner.handle_heartbeat(read_heartbeat(name, body))

    # -- callers -------------------------------------------------------

    async def _request_artifacts(self) -> None:
        while True:
            artifact = self._choose_artifact()
            self._tasks.append(
                asyncio.ensure_future(self.request_artifact(artifact))
            )
            await asyncio.sleep(_REQUEST_INTERVAL_SECONDS)

    def _choose_artifact(self) -> str:
        adapter = int(self.rng.paretovariate(0.7)) % _ADAPTER_COUNT
        if not self._limited_memory:
            return f"{MODEL}/a{adapter}"
        model = self.rng.choice(MODELS)
        is_model = self.rng.random() < _MODEL_SHARE
        return model if is_model else f"{model}/a{adapter}"

    def find_usable_artifact(self) -> str:
        """Returns a new adapter of a base model that some engine holds.

        If no engine holds a base model, the adapter is one of `MODEL`.
        """
        held = {a for m in self.machines for a in m.engine.artifacts()}
        usable = (model for model in MODELS if model in held)
        return f"{next(usable, MODEL)}/a{_ADAPTER_COUNT}"

    async def request_artifact(self, artifact: str) -> bool:
        """Requests an artifact; returns whether an engine then holds it."""
        want = WantArtifact(_SERVICE, artifact, 0, (), 1.0)
        self.pending_requests += 1
        answer: ArtifactReady = await self.owner.handle_want(want)
        self.pending_requests -= 1
        return bool(answer.upstream)

    async def _run_front(self) -> None:
        while True:
            requests_by_engine = {}
            if self.owner.is_owner():
                for engine in self.owner._placement.engines.values():
                    machine = self._find_machine(engine.address)
                    artifacts_in_use = map(
                        machine.engine.artifact, machine.engine.adapters_in_use
                    )
                    requests_by_engine[engine.name] = dict.fromkeys(
                        artifacts_in_use, 1
                    )
                self.owner._record_front(
                    "f1", WatchFleet(0, 0, 0.0, True, {}, requests_by_engine)
                )
            for machine in self.machines:
                machine.engine.report(self.loop.time())
            await asyncio.sleep(_FRONT_INTERVAL_SECONDS)

    def _find_machine(self, address: str) -> Machine:
        return next(m for m in self.machines if m.address == address)

    # -- running -------------------------------------------------------

    def start(self) -> None:
        """Starts heartbeats, requests for artifacts and the front."""
        for coroutine in (
            self._send_heartbeats(),
            self._request_artifacts(),
            self._run_front(),
        ):
            self._tasks.append(asyncio.ensure_future(coroutine))

    def stop_callers(self) -> None:
        """Stops new requests; pending requests continue."""
        self._tasks[1].cancel()

    async def stop(self) -> None:
        """Stops the owner and all tasks.

        Raises:
            Exception: the first failure of a task.
        """
        self._stop_owner()
        for task in self._tasks:
            task.cancel()
        outcomes = await asyncio.gather(*self._tasks, return_exceptions=True)
        for outcome in outcomes:
            # A schedule proves nothing if heartbeats or the front have failed.
            if isinstance(outcome, Exception):
                raise outcome

    # -- invariants ----------------------------------------------------

    def find_overfull_engines(self) -> list[str]:
        """Returns the engines that were ordered beyond their capacity."""
        return [m.engine.name for m in self.machines if m.engine.is_overfull]

    def find_record_mismatches(self) -> list[str]:
        """Returns differences between the owner's records and the engines."""
        violations = []
        for machine in self.machines:
            engine = machine.engine
            engine.complete_due(self.loop.time())
            record = self._find_owner_record(machine)
            if record is None:
                violations.append(f"{engine.name} has no record at the owner")
                continue
            held = engine.artifacts()
            if record.possible_artifacts() != held:
                violations.append(
                    f"{engine.name} holds {sorted(held)},"
                    f" recorded {sorted(record.possible_artifacts())}"
                )
        return violations

    def _find_owner_record(self, machine: Machine) -> Any:
        for engine in self.owner._placement.engines.values():
            is_same = engine.instance == machine.engine.name
            if is_same and engine.start == machine.start:
                return engine
        return None
