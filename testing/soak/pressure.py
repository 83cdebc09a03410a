"""A hot customer, slow readers and damaged messages during a run."""

import asyncio
import random
import socket
from collections.abc import Callable
from pathlib import Path

import attrs
import msgspec

from testing.app.front_world import Client
from testing.platform_world import Vm
from testing.soak.clients import SHARED, Caller, RequestOutcome
from testing.soak.keys import HOT_KEY
from testing.soak.upstreams import MODEL, SLOW_PATH
from testing.soak.world import MEMORY_MB, SoakWorld

_HOT_CALLERS_PER_FRONT = 12
_OTHER_CALLERS_PER_FRONT = 2
_SLOW_READERS_PER_FRONT = 4
_RECEIVE_BYTES = 2048
_SAMPLE_SECONDS = 0.3
# Share of the chunks between nodes in which a bit is flipped.
_DAMAGED_SHARE = 0.03
# Reasons of refusals that are due to load, not to faults or limits.
_LOAD_REASONS = frozenset(("overload", "front_full"))
# Share of the others' requests that may be refused because of the hot customer.
_MAX_CROWDED_SHARE = 0.1
# Requests of others below which that share says nothing.
_MIN_REQUESTS = 50
# Flipped bits from which one must have been logged. One may hit a field that
# nobody reads, such as a reserved bit of a frame.
_MIN_FLIPS = 5


@attrs.define
class PressureRecord:
    """What a run's pressure did.

    Attributes:
        crowded: Ids of requests that a front refused because of its load.
        quarantined: Ids of requests that a front refused as quarantined.
        peak_bytes: Largest resident memory of each front, by name.
        flips: Number of bits flipped in messages between nodes.
        damage_lines: Number of log lines on damaged messages or lost streams.
    """

    crowded: set[str] = attrs.Factory(set)
    quarantined: set[str] = attrs.Factory(set)
    peak_bytes: dict[str, int] = attrs.Factory(dict)
    flips: int = 0
    damage_lines: int = 0


class Pressure:
    """Applies pressure to a deployment, in a seed's own random order.

    Args:
        world: The deployment.
        record: Where it records what it does.
    """

    def __init__(self, world: SoakWorld, record: PressureRecord) -> None:
        self._world = world
        self._record = record
        self._rng = random.Random(f"pressure {world.seed}")
        self._loop = asyncio.get_running_loop()
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Starts all kinds of pressure."""
        coroutines = [
            self._run_bursts(),
            self._run_damage(),
            self._sample_memory(),
            *(
                self._read_slowly(vm)
                for vm in self._world.fronts
                for _ in range(_SLOW_READERS_PER_FRONT)
            ),
        ]
        self._tasks = [self._loop.create_task(each) for each in coroutines]

    async def stop(self) -> None:
        """Ends the pressure and reads the logs."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for vm in self._world.vms:
            self._read_log(vm.settings_file.with_suffix(".log"))

    def _read_log(self, path: Path) -> None:
        for line in path.read_bytes().splitlines():
            if b'"peer:damaged"' in line or b'"peer:stream_lost"' in line:
                self._record.damage_lines += 1
            elif b'"request:end"' in line:
                end = msgspec.json.decode(line)
                if end["reason"] in _LOAD_REASONS:
                    self._record.crowded.add(end["request"])
                elif end["reason"] == "quarantined":
                    self._record.quarantined.add(end["request"])

    async def _run_bursts(self) -> None:
        while True:
            await asyncio.sleep(self._rng.uniform(0.5, 2.0))
            await self._burst(self._rng.uniform(2.0, 4.0))

    async def _burst(self, seconds: float) -> None:
        other_key = self._world.choose_steady_key
        kinds: list[tuple[str, int, Callable[[], str]]] = [
            ("hot", _HOT_CALLERS_PER_FRONT, lambda: HOT_KEY),
            ("other", _OTHER_CALLERS_PER_FRONT, other_key),
        ]
        callers = [
            self._loop.create_task(self._call(vm, f"{kind}-{number}", key))
            for vm in self._world.fronts
            for kind, count, key in kinds
            for number in range(count)
        ]
        try:
            await asyncio.sleep(seconds)
        finally:
            for task in callers:
                task.cancel()

    async def _call(
        self, vm: Vm, prefix: str, choose_key: Callable[[], str]
    ) -> None:
        """Sends requests; the hot customer ignores Retry-After."""
        name = f"{prefix}-{vm.name}-{self._loop.time():.3f}"
        rng = random.Random(f"{name} {self._world.seed}")
        front = (vm.name, self._world.client_address(vm))
        outcomes = self._world.outcomes
        caller = Caller(name, front, rng, outcomes, choose_key)
        while True:
            outcome = await caller.ask(SHARED)
            delay = 0.0 if prefix.startswith("hot") else outcome.retry_after
            await asyncio.sleep(delay + rng.uniform(0.05, 0.15))

    async def _run_damage(self) -> None:
        while True:
            await asyncio.sleep(self._rng.uniform(0.5, 3.0))
            proxy = self._rng.choice(list(self._world.proxies.values()))
            proxy.damage = self._flip_sometimes
            try:
                await asyncio.sleep(self._rng.uniform(0.5, 2.0))
            finally:
                proxy.damage = bytes

    def _flip_sometimes(self, data: bytes) -> bytes:
        if self._rng.random() >= _DAMAGED_SHARE:
            return data
        self._record.flips += 1
        damaged = bytearray(data)
        damaged[self._rng.randrange(len(data))] ^= 1 << self._rng.randrange(8)
        return bytes(damaged)

    async def _read_slowly(self, vm: Vm) -> None:
        """Requests long answers and reads a byte a second of each."""
        while True:
            await asyncio.sleep(self._rng.uniform(0.2, 2.0))
            try:
                client = await self._open(vm)
            except OSError:
                continue
            try:
                await client.send(
                    SLOW_PATH,
                    request_id="slow",
                    request_deadline="3000",
                    credential=self._world.choose_steady_key(),
                    model=f"{MODEL}/a1",
                    token_counts="10,20",
                )
                while await client.reader.read(1):
                    await asyncio.sleep(1.0)
            except OSError:
                pass
            finally:
                client.close()

    async def _open(self, vm: Vm) -> Client:
        host, _, port = self._world.client_address(vm).rpartition(":")
        end = socket.socket()
        end.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BYTES)
        end.setblocking(False)
        await self._loop.sock_connect(end, (host, int(port)))
        return Client(
            *await asyncio.open_connection(sock=end, limit=_RECEIVE_BYTES)
        )

    async def _sample_memory(self) -> None:
        while True:
            await asyncio.sleep(_SAMPLE_SECONDS)
            for vm in self._world.fronts:
                peak = self._record.peak_bytes.get(vm.name, 0)
                self._record.peak_bytes[vm.name] = max(peak, _read_peak(vm))


def _read_peak(vm: Vm) -> int:
    """Returns the largest resident memory of a VM's process, in bytes."""
    if vm.process is None:
        return 0
    try:
        status = Path(f"/proc/{vm.process.pid}/status").read_text()
    except OSError:
        return 0
    lines = [s for s in status.splitlines() if s.startswith("VmHWM")]
    return int(lines[0].split()[1]) * 1024 if lines else 0


def check_pressure(
    record: PressureRecord,
    outcomes: list[RequestOutcome],
    record_violation: Callable[[str, str], None],
) -> None:
    """Checks what a run's pressure may have cost.

    Args:
        record: What the pressure did.
        outcomes: The outcomes of all requests.
        record_violation: Records the kind and the details of a violation.
    """
    others = [
        outcome
        for outcome in outcomes
        if outcome.kind == SHARED and outcome.request.startswith("other-")
    ]
    crowded = [
        each
        for each in others
        if each.status >= 400 and each.request in record.crowded
    ]
    if len(crowded) > _MAX_CROWDED_SHARE * max(len(others), _MIN_REQUESTS):
        record_violation("crowded", f"{len(crowded)} of {len(others)}")
    for name, peak in record.peak_bytes.items():
        if peak > MEMORY_MB * 1e6:
            record_violation("memory", f"{name}: {peak} bytes")
    if record.flips >= _MIN_FLIPS and not record.damage_lines:
        record_violation("unlogged", f"{record.flips} damaged chunks")
