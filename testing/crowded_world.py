"""Fronts of which one gets most new connections, and has a part of a core."""

import asyncio
import random
import signal
from pathlib import Path

import attrs

from testing.app.front_world import Call, Client
from testing.platform_world import ROUTE_HOST, Vm
from testing.service_world import SERVICE, Sent, ServiceWorld
from testing.soak.upstreams import Ledger, SoakUpstream

PROCESSOR_SHARE = 0.39
# Period in which a VM's share of a core is enforced, in seconds.
_PERIOD_SECONDS = 0.1
_TRY_SECONDS = 1.0
_TRIES = 3


class FastUpstream(SoakUpstream):
    """A plain service that answers after some milliseconds."""

    async def _serve(self, call: Call) -> None:
        self._ledger.record_run(call)
        await asyncio.sleep(0.01)
        await call.answer(200, b"fine")


@attrs.define
class Visit(Sent):
    """A request as its caller saw it, over all its tries.

    Attributes:
        front: name of the front that its first try went to.
        first_status: status of the answer to the first try that a front read;
            0 without an answer, -1 if no front has read one.
        unread: tries that were refused or closed without an answer.
    """

    front: str = ""
    first_status: int = -1
    unread: int = 0


class CrowdedWorld(ServiceWorld):
    """Fronts with a part of a core each, and clients that open connections.

    Args:
        folder: directory for settings, disks and logs.
        fronts: number of fronts.
    """

    def __init__(self, folder: Path, fronts: int = 6) -> None:
        super().__init__(
            folder,
            fronts,
            front_settings={"limits": {"cpu_share": PROCESSOR_SHARE}},
        )
        ledger = Ledger()
        self.upstreams = [
            FastUpstream(
                SERVICE, ledger, self.control_addresses, random.Random(1)
            )
            for _ in range(4)
        ]
        for upstream in self.upstreams:
            upstream.slots = 64
        # Share of new connections that go to the first front.
        self.crowded_share = 1.0 / fronts
        self.visits: list[Visit] = []
        self._throttles: list[asyncio.Task[None]] = []

    def throttle(self) -> None:
        """Gives each front its share of a core, period by period."""
        self._throttles = [
            asyncio.create_task(self._throttle(vm)) for vm in self.fronts
        ]

    async def _throttle(self, vm: Vm) -> None:
        loop = asyncio.get_running_loop()
        used = _read_processor_seconds(vm)
        while True:
            allowed = PROCESSOR_SHARE * _PERIOD_SECONDS
            ends = loop.time() + _PERIOD_SECONDS
            while loop.time() < ends:
                await asyncio.sleep(0.01)
                if _read_processor_seconds(vm) - used >= allowed:
                    vm.signal(signal.SIGSTOP)
                    await asyncio.sleep(max(ends - loop.time(), 0.0))
                    vm.signal(signal.SIGCONT)
            used = max(used + allowed, _read_processor_seconds(vm) - allowed)

    async def visit(self, rate: float, seconds: float) -> None:
        """Sends requests on new connections, most of them to the first front.

        Args:
            rate: requests a second.
            seconds: how long; returns once all have an outcome.
        """
        loop = asyncio.get_running_loop()
        tasks = set()
        at, end = loop.time(), loop.time() + seconds
        while (at := at + self._rng.expovariate(rate)) < end:
            await asyncio.sleep(max(at - loop.time(), 0.0))
            tasks.add(loop.create_task(self._visit()))
        await asyncio.gather(*tasks)

    def _choose_front(self) -> Vm:
        if self._rng.random() < self.crowded_share:
            return self.fronts[0]
        return self._rng.choice(self.fronts[1:])

    async def _visit(self) -> None:
        loop = asyncio.get_running_loop()
        vm = self._choose_front()
        visit = Visit(loop.time(), front=vm.name)
        self.visits.append(visit)
        for _ in range(_TRIES):
            status = await self._try(vm)
            visit.status = max(status, 0)
            if status >= 0:
                if visit.first_status < 0:
                    visit.first_status = status
                if status == 200:
                    break
            else:
                visit.unread += 1
            # Retries meet other fronts as a rule.
            vm = self._rng.choice(self.fronts)
        visit.seconds = loop.time() - visit.began

    async def _try(self, vm: Vm) -> int:
        """Returns a status; 0 without one in time, -1 if nothing was read."""
        host, _, port = self.client_address(vm).rpartition(":")
        client: Client | None = None
        try:
            async with asyncio.timeout(_TRY_SECONDS):
                client = Client(*await asyncio.open_connection(host, int(port)))
                answer = await client.ask(
                    "/p/x",
                    request_id=f"v{next(self._ids)}",
                    host=ROUTE_HOST,
                    request_deadline=str(int(1000 * _TRY_SECONDS)),
                )
            return answer.status
        except TimeoutError:
            return 0
        except (OSError, asyncio.IncompleteReadError):
            return -1
        finally:
            if client is not None:
                client.close()

    def first_served(self, began: float, ended: float) -> float:
        """Returns the share served at the first try that a front read."""
        visits = [v for v in self.visits if began <= v.began < ended]
        return sum(v.first_status == 200 for v in visits) / len(visits)

    def stop(self) -> None:
        """Ends every process and socket that this world started."""
        for task in self._throttles:
            task.cancel()
        for vm in self.fronts:
            vm.signal(signal.SIGCONT)
        super().stop()


def _read_processor_seconds(vm: Vm) -> float:
    """Returns the processor time of a VM's process, to nanoseconds."""
    assert vm.process is not None
    text = Path(f"/proc/{vm.process.pid}/schedstat").read_text()
    return int(text.split()[0]) / 1e9
