"""Faults that are injected from outside, one after the other or at once."""

import asyncio
import random
import resource
import signal
from collections.abc import Awaitable, Callable

import attrs

from testing.platform_world import Vm
from testing.soak.proxy import Mode
from testing.soak.upstreams import SoakUpstream
from testing.soak.world import SoakWorld

_GRACE_SECONDS = 7.0
# How often processes that have ended by themselves are looked for, in seconds.
_SUPERVISE_SECONDS = 0.3
# Calm that a node with an empty disk needs before another disk may be lost, in
# seconds (the platform's bounds).
_CATCH_UP_SECONDS = 4.0
# For how long it is waited for before the seed goes on to its checks, seconds.
_CATCH_UP_MOST_SECONDS = 30.0
# How long an upstream stays that says in its answers that it leaves, seconds.
_LEAVING_SECONDS = 3.0
# From a process's start until it can have run its first line, in seconds.
_BOOT_SECONDS = 0.1
# Bytes that a disk which is full still takes for one file.
_FULL_BYTES = 64


@attrs.frozen
class Happened:
    """A fault that was injected.

    Attributes:
        planned: whether it is planned work, which must cut no request.
    """

    name: str
    began: float
    ended: float
    planned: bool = False


class Faults:
    """Injects faults into a world.

    Args:
        world: where.
    """

    def __init__(self, world: SoakWorld) -> None:
        self.happened: list[Happened] = []
        self.exits: list[str] = []
        self._world = world
        self._rng = world.rng
        self._loop = asyncio.get_running_loop()
        self._busy: set[str] = set()
        self._wiped = False
        self._disturbed_at = self._loop.time()
        self._kinds: tuple[tuple[Callable[[], Awaitable[None]], bool], ...] = (
            (self._kill, False),
            (self._pause, False),
            (self._wipe, False),
            (self._kill_all_controls, False),
            (self._proxy_fault, False),
            (self._proxy_reset, False),
            (self._fill_disk, False),
            (self._crash_upstream, False),
            (self._sicken_upstream, False),
            (self._leave, True),
            (self._terminate, True),
            (self._reload, True),
        )

    async def run(self, seconds: float) -> None:
        """Injects faults for some seconds; returns once all are over."""
        until = self._loop.time() + seconds
        running: set[asyncio.Task[None]] = set()
        planned_only = self._rng.random() < 0.25
        supervising = asyncio.create_task(self._supervise())
        saying = asyncio.create_task(self._have_upstreams_say())
        limiting = asyncio.create_task(self._have_upstreams_name_limits())
        while self._loop.time() < until:
            kinds = [k for k in self._kinds if k[1] or not planned_only]
            work, planned = self._rng.choice(kinds)
            task = asyncio.create_task(self._inject(work, planned=planned))
            running.add(task)
            task.add_done_callback(running.discard)
            await asyncio.sleep(self._rng.uniform(0.1, 1.2))
        await asyncio.gather(*running)
        await asyncio.sleep(2 * _SUPERVISE_SECONDS)
        supervising.cancel()
        saying.cancel()
        limiting.cancel()
        await self._end_words()

    async def _supervise(self) -> None:
        """Starts processes that ended by themselves, as a platform does."""
        while True:
            await asyncio.sleep(_SUPERVISE_SECONDS)
            for vm in self._world.vms:
                ended = vm.process is not None and vm.process.poll() is not None
                if ended and vm.name not in self._busy:
                    self.exits.append(vm.name)
                    self._world.restart(vm)
                    self._note_disturbed(vm)

    async def _inject(
        self, work: Callable[[], Awaitable[None]], *, planned: bool
    ) -> None:
        began = self._disturbed_at = self._loop.time()
        await work()
        name = work.__name__.strip("_")
        ended = self._disturbed_at = self._loop.time()
        self.happened.append(Happened(name, began, ended, planned))

    def _take(self, vms: list[Vm]) -> Vm | None:
        """Returns a VM on which no other fault is at work."""
        free = [vm for vm in vms if vm.name not in self._busy]
        if not free:
            return None
        chosen = self._rng.choice(free)
        self._busy.add(chosen.name)
        self._note_disturbed(chosen)
        return chosen

    def _note_disturbed(self, vm: Vm) -> None:
        times = self._world.disturbed.setdefault(vm.name, [])
        times.append(self._loop.time())

    async def _wait(self, least: float, most: float) -> None:
        await asyncio.sleep(self._rng.uniform(least, most))

    # -- processes -----------------------------------------------------

    async def _kill(self) -> None:
        vm = self._take(self._world.vms)
        if vm is not None:
            vm.kill()
            await self._come_back(vm)

    async def _come_back(self, vm: Vm) -> None:
        await self._wait(0.1, 1.5)
        self._world.restart(vm)
        self._note_disturbed(vm)
        self._busy.discard(vm.name)

    async def _pause(self) -> None:
        vm = self._take(self._world.vms)
        if vm is None:
            return
        vm.signal(signal.SIGSTOP)
        await self._wait(0.3, 2.5)
        vm.signal(signal.SIGCONT)
        self._world.paused_until[vm.name] = self._loop.time()
        self._note_disturbed(vm)
        self._busy.discard(vm.name)

    async def _wipe(self) -> None:
        """One disk of three at a time may be lost, as the settings allow."""
        if self._wiped:
            return
        vm = self._take(self._world.controls)
        if vm is None:
            return
        self._wiped = True
        vm.kill()
        vm.wipe()
        await self._come_back(vm)
        # Until it has caught up, no other disk may go: it still counts as lost.
        deadline = self._loop.time() + _CATCH_UP_MOST_SECONDS
        while self._loop.time() < deadline:
            await asyncio.sleep(_SUPERVISE_SECONDS)
            if await self._is_caught_up(vm):
                self._wiped = False
                return

    async def _is_caught_up(self, vm: Vm) -> bool:
        """Whether a control node had calm for long enough, and follows."""
        calm = self._loop.time() - self._disturbed_at
        if calm < _CATCH_UP_SECONDS:
            return False
        return await self._world.is_sure(vm)

    async def _kill_all_controls(self) -> None:
        vms = [v for v in self._world.controls if v.name not in self._busy]
        self._busy.update(vm.name for vm in vms)
        for vm in vms:
            vm.kill()
        for vm in vms:
            self._world.restart(vm)
            self._busy.discard(vm.name)

    async def _terminate(self) -> None:
        vm = self._take(self._world.vms)
        if vm is None or vm.process is None:
            return
        vm.signal(signal.SIGTERM)
        deadline = self._loop.time() + _GRACE_SECONDS
        while vm.process.poll() is None and self._loop.time() < deadline:
            await asyncio.sleep(0.05)
        vm.kill()
        self._world.restart(vm)
        self._note_disturbed(vm)
        self._busy.discard(vm.name)

    async def _reload(self) -> None:
        vm = self._rng.choice(self._world.vms)
        times = self._world.disturbed.get(vm.name, [])
        if times and self._loop.time() - times[-1] < _BOOT_SECONDS:
            # Before a process runs its first line nothing can take the signal.
            await asyncio.sleep(_BOOT_SECONDS)
        vm.signal(signal.SIGHUP)

    async def _fill_disk(self) -> None:
        """Refuses every write above a size, as a full disk does."""
        vm = self._take(self._world.controls)
        if vm is None or vm.process is None:
            return
        pid = vm.process.pid
        try:
            _, hard = resource.prlimit(pid, resource.RLIMIT_FSIZE)
            resource.prlimit(pid, resource.RLIMIT_FSIZE, (_FULL_BYTES, hard))
            await self._wait(0.5, 2.0)
            resource.prlimit(pid, resource.RLIMIT_FSIZE, (hard, hard))
        except ProcessLookupError:
            # It ended by itself; the supervisor notes that and restarts it.
            pass
        finally:
            self._busy.discard(vm.name)

    # -- links ---------------------------------------------------------

    async def _proxy_fault(self) -> None:
        proxy = self._rng.choice(list(self._world.proxies.values()))
        proxy.delay = self._rng.uniform(0.01, 0.3)
        proxy.mode = self._rng.choice(
            (Mode.DELAYED, Mode.SILENT, Mode.NO_ANSWERS)
        )
        await self._wait(0.5, 3.0)
        proxy.mode = Mode.OPEN

    async def _proxy_reset(self) -> None:
        self._rng.choice(list(self._world.proxies.values())).reset()

    # -- upstreams -----------------------------------------------------

    def _upstream(self) -> SoakUpstream:
        return self._rng.choice(self._world.upstreams)

    async def _crash_upstream(self) -> None:
        upstream = self._upstream()
        if upstream.name in self._busy:
            return
        self._busy.add(upstream.name)
        upstream.crash()
        await self._wait(0.2, 1.5)
        await upstream.restart()

    async def _sicken_upstream(self) -> None:
        upstream = self._upstream()
        upstream.refusing = self._rng.choice((0.0, 0.5))
        upstream.hanging = self._rng.choice((0.0, 0.3))
        await self._wait(0.5, 2.0)
        upstream.refusing = 0.0
        upstream.hanging = 0.0

    async def _have_upstreams_say(self) -> None:
        """Has upstreams ask for rest, or say only in answers that they leave.

        Beside the other faults and by a chance of its own, so that these are
        the same for a seed as without it.
        """
        rng = random.Random(f"words {self._world.seed}")
        while True:
            await asyncio.sleep(rng.uniform(0.2, 1.0))
            upstream = rng.choice(self._world.upstreams)
            if upstream.name in self._busy or upstream.leaves:
                continue
            if rng.random() < 0.3:
                await self._leave_by_answers(upstream)
                continue
            upstream.tired = rng.choice((0.3, 1.0))
            upstream.rest = rng.uniform(0.8, 3.0)
            await asyncio.sleep(rng.uniform(0.2, 1.0))
            upstream.tired = 0.0

    async def _have_upstreams_name_limits(self) -> None:
        """Has upstreams name limits, raise and lower them, and take them back.

        By a chance of its own, so that the other faults are the same for a seed
        as without it. A start that follows names none.
        """
        rng = random.Random(f"limits {self._world.seed}")
        while True:
            await asyncio.sleep(rng.uniform(0.3, 2.0))
            count = rng.choice((1, 1, 2, len(self._world.upstreams)))
            chosen = rng.sample(self._world.upstreams, count)
            for upstream in chosen:
                upstream.name_limit(rng.uniform(1.5, 12.0))
            for _ in range(rng.randrange(3)):
                await asyncio.sleep(rng.uniform(0.5, 4.0))
                for upstream in chosen:
                    if upstream.limit:
                        upstream.name_limit(rng.uniform(1.5, 12.0))
            await asyncio.sleep(rng.uniform(2.0, 6.0))
            for upstream in chosen:
                if upstream.limit:
                    upstream.name_limit(0.0)

    async def _leave_by_answers(self, upstream: SoakUpstream) -> None:
        """Has an upstream leave that says so in its answers alone."""
        name = upstream.name
        upstream.leaves = True
        await asyncio.sleep(_LEAVING_SECONDS)
        if upstream.name == name:
            upstream.crash()
            await upstream.restart()

    async def _end_words(self) -> None:
        for upstream in self._world.upstreams:
            upstream.tired = 0.0
            if upstream.limit:
                upstream.name_limit(0.0)
            if upstream.leaves:
                upstream.crash()
                await upstream.restart()

    async def _leave(self) -> None:
        """Has an upstream leave as planned, and another one come."""
        upstream = self._upstream()
        if upstream.name in self._busy:
            return
        name = upstream.name
        self._busy.add(name)
        upstream.state = "draining"
        await asyncio.sleep(4.0)
        if upstream.name == name:
            # Else it has ended meanwhile, and its successor doesn't leave.
            upstream.crash()
            await upstream.restart()
