"""Injects faults from outside the processes, several of them at a time."""

import asyncio
import random
import re
import resource
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

import attrs

from testing.platform_world import Vm
from testing.soak.proxy import Mode
from testing.soak.upstreams import SoakUpstream
from testing.soak.world import SoakWorld
from testing.upstream_links import Cut

# How long a process may take to exit after SIGTERM before it is killed.
_GRACE_SECONDS = 7.0
# Interval at which processes that exited by themselves are looked for.
_SUPERVISE_SECONDS = 0.3
# Seconds without a fault that a node with an empty disk needs to catch up
# before another disk may be lost.
_CALM_SECONDS = 4.0
# Longest wait, in seconds, for a node to catch up before the run goes on.
_CATCH_UP_TIMEOUT_SECONDS = 30.0
# How long an upstream runs on after it announces in its answers that it leaves.
_LEAVING_SECONDS = 3.0
# Share of the cuts in which connections come up and nothing is answered.
_MUTE_SHARE = 0.25
# Share of the cuts during which a front is frozen, and for which part of the
# cut it is.
_FREEZE_SHARE = 0.5
_FROZEN_PART = (0.4, 0.9)
# Interval at which it is looked whether a started process handles SIGHUP.
_HANDLER_POLL_SECONDS = 0.02
# Largest file, in bytes, that can be written to the simulated full disk.
_FULL_DISK_FILE_BYTES = 64


@attrs.frozen
class InjectedFault:
    """A fault that was injected.

    Attributes:
        name: Name of the kind of fault.
        began: Event-loop time in seconds at which it began.
        ended: Event-loop time in seconds at which it was over.
        planned: Whether it is planned work, which must cut no request.
    """

    name: str
    began: float
    ended: float
    planned: bool = False


def handles_hangup(vm: Vm) -> bool:
    """Returns whether SIGHUP ends no process of a VM, by how it is handled."""
    if vm.process is None or vm.process.poll() is not None:
        return True
    status = Path(f"/proc/{vm.process.pid}/status").read_text()
    masks = re.findall(r"^Sig(?:Ign|Cgt):\s*(\w+)", status, re.MULTILINE)
    hangup = 1 << (signal.SIGHUP - 1)
    return any(int(mask, 16) & hangup for mask in masks)


class Faults:
    """Injects faults into a deployment.

    Args:
        world: The deployment.

    Attributes:
        injected: The faults that are over.
        exits: Name, exit status and time of each process that exited by
            itself.
    """

    def __init__(self, world: SoakWorld) -> None:
        self.injected: list[InjectedFault] = []
        self.exits: list[str] = []
        self._world = world
        self._rng = world.rng
        self._loop = asyncio.get_running_loop()
        self._busy: set[str] = set()
        self._is_disk_lost = False
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
        """Injects faults for `seconds`; returns once all of them are over."""
        until = self._loop.time() + seconds
        running: set[asyncio.Task[None]] = set()
        planned_only = self._rng.random() < 0.25
        supervising = asyncio.create_task(self._supervise())
        announcing = asyncio.create_task(self._run_announcements())
        limiting = asyncio.create_task(self._run_limit_changes())
        cutting = asyncio.create_task(self._run_cuts())
        while self._loop.time() < until:
            kinds = [k for k in self._kinds if k[1] or not planned_only]
            inject, planned = self._rng.choice(kinds)
            task = asyncio.create_task(self._inject(inject, planned=planned))
            running.add(task)
            task.add_done_callback(running.discard)
            await asyncio.sleep(self._rng.uniform(0.1, 1.2))
        await asyncio.gather(*running)
        await asyncio.sleep(2 * _SUPERVISE_SECONDS)
        supervising.cancel()
        announcing.cancel()
        limiting.cancel()
        cutting.cancel()
        for links in self._world.links.values():
            await links.heal()
        await self._end_announcements()

    async def _supervise(self) -> None:
        """Restarts processes that exited by themselves."""
        while True:
            await asyncio.sleep(_SUPERVISE_SECONDS)
            for vm in self._world.vms:
                status = None if vm.process is None else vm.process.poll()
                if status is not None and vm.name not in self._busy:
                    at = self._loop.time()
                    self.exits.append(f"{vm.name}: {status} at {at:.3f} s")
                    self._world.restart(vm)
                    self._record_disturbance(vm)

    async def _inject(
        self, inject: Callable[[], Awaitable[None]], *, planned: bool
    ) -> None:
        """Injects one fault, waits until it is over and records it."""
        began = self._disturbed_at = self._loop.time()
        await inject()
        name = inject.__name__.strip("_")
        ended = self._disturbed_at = self._loop.time()
        self.injected.append(InjectedFault(name, began, ended, planned))

    def _reserve_vm(self, vms: list[Vm]) -> Vm | None:
        """Reserves a VM with no fault in progress; None if there is none."""
        free = [vm for vm in vms if vm.name not in self._busy]
        if not free:
            return None
        chosen = self._rng.choice(free)
        self._busy.add(chosen.name)
        self._record_disturbance(chosen)
        return chosen

    def _record_disturbance(self, vm: Vm) -> None:
        times = self._world.disturbed.setdefault(vm.name, [])
        times.append(self._loop.time())

    async def _sleep_between(self, least: float, most: float) -> None:
        await asyncio.sleep(self._rng.uniform(least, most))

    # -- processes -----------------------------------------------------

    async def _kill(self) -> None:
        vm = self._reserve_vm(self._world.vms)
        if vm is not None:
            vm.kill()
            await self._restart_after_delay(vm)

    async def _restart_after_delay(self, vm: Vm) -> None:
        await self._sleep_between(0.1, 1.5)
        self._world.restart(vm)
        self._record_disturbance(vm)
        self._busy.discard(vm.name)

    async def _pause(self) -> None:
        vm = self._reserve_vm(self._world.vms)
        if vm is None:
            return
        vm.signal(signal.SIGSTOP)
        await self._sleep_between(0.3, 2.5)
        vm.signal(signal.SIGCONT)
        self._world.paused_until[vm.name] = self._loop.time()
        self._record_disturbance(vm)
        self._busy.discard(vm.name)

    async def _wipe(self) -> None:
        """Kills a control node and empties its disk.

        The settings tolerate the loss of one disk of three at a time.
        """
        if self._is_disk_lost:
            return
        vm = self._reserve_vm(self._world.controls)
        if vm is None:
            return
        self._is_disk_lost = True
        vm.kill()
        vm.wipe()
        await self._restart_after_delay(vm)
        # The disk counts as lost until the node has caught up, so no other
        # disk may be emptied before then.
        deadline = self._loop.time() + _CATCH_UP_TIMEOUT_SECONDS
        while self._loop.time() < deadline:
            await asyncio.sleep(_SUPERVISE_SECONDS)
            if await self._is_caught_up(vm):
                self._is_disk_lost = False
                return

    async def _is_caught_up(self, vm: Vm) -> bool:
        """Returns whether a control node has caught up with its peers.

        It must answer with the newest configuration, after enough time without
        faults anywhere.
        """
        calm = self._loop.time() - self._disturbed_at
        if calm < _CALM_SECONDS:
            return False
        return await self._world.can_read_configuration(vm)

    async def _kill_all_controls(self) -> None:
        vms = [v for v in self._world.controls if v.name not in self._busy]
        self._busy.update(vm.name for vm in vms)
        for vm in vms:
            vm.kill()
        for vm in vms:
            self._world.restart(vm)
            self._busy.discard(vm.name)

    async def _terminate(self) -> None:
        vm = self._reserve_vm(self._world.vms)
        if vm is None or vm.process is None:
            return
        vm.signal(signal.SIGTERM)
        deadline = self._loop.time() + _GRACE_SECONDS
        while vm.process.poll() is None and self._loop.time() < deadline:
            await asyncio.sleep(0.05)
        vm.kill()
        self._world.restart(vm)
        self._record_disturbance(vm)
        self._busy.discard(vm.name)

    async def _reload(self) -> None:
        vm = self._rng.choice(self._world.vms)
        # A process that has not run its first line has no signal handler yet,
        # and SIGHUP would end it.
        while not handles_hangup(vm):
            await asyncio.sleep(_HANDLER_POLL_SECONDS)
        vm.signal(signal.SIGHUP)

    async def _fill_disk(self) -> None:
        """Limits a node's file size, so that writes fail as on a full disk."""
        vm = self._reserve_vm(self._world.controls)
        if vm is None or vm.process is None:
            return
        pid = vm.process.pid
        try:
            _, hard = resource.prlimit(pid, resource.RLIMIT_FSIZE)
            resource.prlimit(
                pid, resource.RLIMIT_FSIZE, (_FULL_DISK_FILE_BYTES, hard)
            )
            await self._sleep_between(0.5, 2.0)
            resource.prlimit(pid, resource.RLIMIT_FSIZE, (hard, hard))
        except ProcessLookupError:
            # The process exited by itself; `_supervise` restarts it.
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
        await self._sleep_between(0.5, 3.0)
        proxy.mode = Mode.OPEN

    async def _proxy_reset(self) -> None:
        self._rng.choice(list(self._world.proxies.values())).reset()

    # -- upstreams -----------------------------------------------------

    def _choose_upstream(self) -> SoakUpstream:
        return self._rng.choice(self._world.upstreams)

    async def _crash_upstream(self) -> None:
        upstream = self._choose_upstream()
        if upstream.name in self._busy:
            return
        self._busy.add(upstream.name)
        upstream.crash()
        await self._sleep_between(0.2, 1.5)
        await upstream.restart()

    async def _sicken_upstream(self) -> None:
        upstream = self._choose_upstream()
        upstream.refuse_share = self._rng.choice((0.0, 0.5))
        upstream.hang_share = self._rng.choice((0.0, 0.3))
        await self._sleep_between(0.5, 2.0)
        upstream.refuse_share = 0.0
        upstream.hang_share = 0.0

    async def _run_announcements(self) -> None:
        """Makes upstreams send Retry-After, or announce that they leave.

        Uses its own random generator, so that the other faults of a seed don't
        depend on it.
        """
        rng = random.Random(f"words {self._world.seed}")
        while True:
            await asyncio.sleep(rng.uniform(0.2, 1.0))
            upstream = rng.choice(self._world.upstreams)
            if upstream.name in self._busy or upstream.is_leaving:
                continue
            if rng.random() < 0.3:
                await self._leave_by_announcement(upstream)
                continue
            upstream.retry_after_share = rng.choice((0.3, 1.0))
            upstream.retry_after = rng.uniform(0.8, 3.0)
            await asyncio.sleep(rng.uniform(0.2, 1.0))
            upstream.retry_after_share = 0.0

    async def _run_limit_changes(self) -> None:
        """Makes upstreams announce limits, change them and withdraw them.

        Uses its own random generator, so that the other faults of a seed don't
        depend on it. An upstream that restarts has no limit.
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

    async def _run_cuts(self) -> None:
        """Cuts fronts off from all upstreams, several at a time or in turn.

        During some cuts a front is frozen, so that fronts that serve for each
        other have different versions of the configuration.

        Uses its own random generator, so that the other faults of a seed don't
        depend on it.
        """
        rng = random.Random(f"cuts {self._world.seed}")
        mute_rng = random.Random(f"mute {self._world.seed}")
        freeze_rng = random.Random(f"freeze {self._world.seed}")
        links = self._world.links
        while True:
            await asyncio.sleep(rng.uniform(0.5, 3.0))
            cut = rng.sample(list(links), rng.randint(1, len(links)))
            how = rng.choice((Cut.RESET, Cut.HANG, Cut.REFUSE))
            if mute_rng.random() < _MUTE_SHARE:
                how = Cut.MUTE
            began = self._loop.time()
            for front in cut:
                await links[front].cut(how)
            try:
                seconds = rng.uniform(0.3, 4.0)
                async with asyncio.TaskGroup() as group:
                    group.create_task(asyncio.sleep(seconds))
                    group.create_task(self._freeze(freeze_rng, seconds))
            finally:
                fault = InjectedFault(f"cut {how}", began, self._loop.time())
                self.injected.append(fault)
            for front in cut:
                await links[front].heal()
                await asyncio.sleep(rng.uniform(0.0, 0.5))

    async def _freeze(self, rng: random.Random, seconds: float) -> None:
        """Freezes a front that no other fault hits, for a part of a cut.

        It stays available to other faults, whose choices don't depend on it.

        Args:
            rng: Random generator for whether, which and how long.
            seconds: Duration of the cut.
        """
        is_chosen = rng.random() < _FREEZE_SHARE
        vm = rng.choice(self._world.fronts)
        frozen_seconds = seconds * rng.uniform(*_FROZEN_PART)
        if not is_chosen or vm.name in self._busy:
            return
        self._record_disturbance(vm)
        began = self._loop.time()
        vm.signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(frozen_seconds)
        finally:
            vm.signal(signal.SIGCONT)
            self._record_disturbance(vm)
            fault = InjectedFault(f"freeze {vm.name}", began, self._loop.time())
            self.injected.append(fault)

    async def _leave_by_announcement(self, upstream: SoakUpstream) -> None:
        """Makes an upstream leave that announces it only in its answers."""
        name = upstream.name
        upstream.is_leaving = True
        await asyncio.sleep(_LEAVING_SECONDS)
        if upstream.name == name:
            upstream.crash()
            await upstream.restart()

    async def _end_announcements(self) -> None:
        """Withdraws all announcements; restarts upstreams that are leaving."""
        for upstream in self._world.upstreams:
            upstream.retry_after_share = 0.0
            if upstream.limit:
                upstream.name_limit(0.0)
            if upstream.is_leaving:
                upstream.crash()
                await upstream.restart()

    async def _leave(self) -> None:
        """Drains an upstream as planned, then starts a new incarnation."""
        upstream = self._choose_upstream()
        if upstream.name in self._busy:
            return
        name = upstream.name
        self._busy.add(name)
        upstream.state = "draining"
        await asyncio.sleep(4.0)
        if upstream.name == name:
            # With another name it has crashed meanwhile, and the new
            # incarnation isn't draining.
            upstream.crash(is_planned=True)
            await upstream.restart()
