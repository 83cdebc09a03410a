"""A deployment whose upstreams fall over if they reject too many requests."""

import asyncio
import collections
import itertools
import random
from pathlib import Path

import attrs

from testing.app.front_world import Call, Client
from testing.platform_world import (
    ROUTE_HOST,
    PlatformDeployment,
    Vm,
    make_document,
)
from testing.soak.upstreams import Ledger, SoakUpstream

SERVICE = "plain"
SLOTS = 6
RUN_SECONDS = 0.35
# Time from an upstream's first statement until it lets nobody wait.
TIGHT_AFTER_SECONDS = 3.0
# How long an upstream that fell over stays away.
DOWN_SECONDS = 3.0
# Requests that wait at an upstream while it isn't brittle.
_QUEUE = 12
_TIMEOUT_SECONDS = 3.0


@attrs.define
class BrittleLedger(Ledger):
    """What brittle upstreams did.

    Attributes:
        falls: loop time and name of each incarnation that fell over.
        rejected: loop time and incarnation of each rejected request.
    """

    falls: list[tuple[float, str]] = attrs.Factory(list)
    rejected: list[tuple[float, str]] = attrs.Factory(list)


class BrittleUpstream(SoakUpstream):
    """A plain service that can become brittle.

    It processes `SLOTS` requests at once, and goes on with those whose front
    has left.
    """

    def __init__(
        self,
        service: str,
        ledger: BrittleLedger,
        controls: list[str],
        rng: random.Random,
    ) -> None:
        super().__init__(service, ledger, controls, rng)
        self.slots = SLOTS
        # Rejections per second that it bears; None while it isn't brittle.
        self.bound: float | None = None
        self._queue = _QUEUE
        self.brittle_ledger = ledger

    def _begin_incarnation(self) -> None:
        super()._begin_incarnation()
        self._has_fallen = False
        self._accepted = 0
        self._running = asyncio.Semaphore(SLOTS)
        self._rejections: collections.deque[float] = collections.deque()

    def become_brittle(self, bound: float) -> None:
        """States in all answers that it bears `bound` rejections a second."""
        self.bound = bound
        asyncio.get_running_loop().call_later(
            TIGHT_AFTER_SECONDS, self._tighten
        )

    def _tighten(self) -> None:
        if self.bound is not None:
            self._queue = 0

    def recover(self) -> None:
        """Ends its brittleness."""
        self.bound = None
        self._queue = _QUEUE

    def _bound_headers(self) -> tuple[str, ...]:
        if self.bound is None:
            return ()
        return (f"Server-Brittle: {self.bound:g}",)

    async def _serve(self, call: Call) -> None:
        incarnation = self.name
        if self._has_fallen:
            return
        if self._accepted >= SLOTS + self._queue:
            await self._reject(call)
            return
        self._accepted += 1
        try:
            async with self._running:
                await asyncio.sleep(RUN_SECONDS)
        finally:
            if incarnation == self.name:
                self._accepted -= 1
        if incarnation != self.name:
            return
        self._ledger.record_run(call)
        await call.answer(200, b"fine", *self._bound_headers())

    async def _reject(self, call: Call) -> None:
        now = asyncio.get_running_loop().time()
        if self.bound is not None:
            self.brittle_ledger.rejected.append((now, self.name))
            self._rejections.append(now)
            while self._rejections[0] <= now - 1.0:
                self._rejections.popleft()
            if len(self._rejections) > self.bound:
                self.brittle_ledger.falls.append((now, self.name))
                self.fall_over()
                return
        await call.answer(503, b"", "Not-Run: 1", *self._bound_headers())

    def fall_over(self) -> None:
        """Ends this incarnation; the next one starts after some seconds."""
        self._has_fallen = True
        self.crash()
        self._restart_task = asyncio.create_task(
            self._restart_after(DOWN_SECONDS)
        )


@attrs.define
class Sent:
    """A request as its caller saw it.

    Attributes:
        began: loop time at which it was sent, in seconds.
        seconds: until its outcome was known.
        status: of the answer; 0 without one.
        retry_after: seconds of its Retry-After; 0 without one.
    """

    began: float
    seconds: float = 0.0
    status: int = 0
    retry_after: float = 0.0


class BrittleWorld(PlatformDeployment):
    """Fronts before one service of brittle upstreams, and their callers.

    Args:
        folder: directory for settings, disks and logs.
        fronts: number of fronts.
        upstreams: number of upstreams.
        seed: of the callers' random choices.

    Attributes:
        sent: all requests of callers.
    """

    def __init__(
        self, folder: Path, fronts: int, upstreams: int = 4, seed: int = 1
    ) -> None:
        super().__init__(folder, 3, fronts, {"contracts": ["pressure"]})
        self.ledger = BrittleLedger()
        addresses = [self.control_address(vm) for vm in self.controls]
        self.upstreams = [
            BrittleUpstream(
                SERVICE, self.ledger, addresses, random.Random(seed)
            )
            for _ in range(upstreams)
        ]
        self.sent: list[Sent] = []
        self._rng = random.Random(seed)
        self._ids = itertools.count(1)
        self._idle: dict[str, list[Client]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def capacity(self) -> float:
        """Requests a second that all upstreams can serve."""
        return len(self.upstreams) * SLOTS / RUN_SECONDS

    async def start(self) -> None:
        """Starts everything and waits until each front serves requests."""
        for vm in self.vms:
            vm.start()
        for upstream in self.upstreams:
            await upstream.start()
        await self.put_configuration(make_document(1, "/p/"))
        for vm in self.fronts:
            await self.poll(lambda vm=vm: self._serves(vm))
        self.sent.clear()

    async def _serves(self, vm: Vm) -> bool | None:
        sent = Sent(asyncio.get_running_loop().time())
        await self._ask(vm, sent)
        return sent.status == 200 or None

    def become_brittle(self, bound: float) -> None:
        """Has all upstreams state a bound from now on."""
        for upstream in self.upstreams:
            upstream.become_brittle(bound)

    async def load(self, rate: float, seconds: float) -> None:
        """Sends requests at random times to random fronts.

        Args:
            rate: requests a second.
            seconds: how long; returns once all have an outcome.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        at = loop.time()
        while (at := at + self._rng.expovariate(rate)) < end:
            await asyncio.sleep(max(at - loop.time(), 0.0))
            sent = Sent(loop.time())
            self.sent.append(sent)
            task = loop.create_task(
                self._ask(self._rng.choice(self.fronts), sent)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        while self._tasks:
            await asyncio.sleep(0.05)

    async def _ask(self, vm: Vm, sent: Sent) -> None:
        loop = asyncio.get_running_loop()
        idle = self._idle.setdefault(vm.name, [])
        client: Client | None = None
        try:
            async with asyncio.timeout(_TIMEOUT_SECONDS):
                client = idle.pop() if idle else await self._connect(vm)
                answer = await client.ask(
                    "/p/x",
                    request_id=f"q{next(self._ids)}",
                    host=ROUTE_HOST,
                    request_deadline="2000",
                )
            sent.status = answer.status
            sent.retry_after = float(answer.headers.get("retry-after", 0.0))
            if answer.complete and answer.headers.get("connection") != "close":
                idle.append(client)
                client = None
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            sent.seconds = loop.time() - sent.began
            if client is not None:
                client.close()

    async def _connect(self, vm: Vm) -> Client:
        host, _, port = self.client_address(vm).rpartition(":")
        return Client(*await asyncio.open_connection(host, int(port)))

    def kill_owner(self) -> None:
        """Kills the control node that owns the fleet."""
        for vm in self.controls:
            log = vm.settings_file.with_suffix(".log").read_text()
            if log.rfind("fleet:owned") > log.rfind("fleet:given_up"):
                vm.kill()

    def served_since(self, began: float) -> float:
        """Returns the share of requests since a loop time that were served."""
        since = [sent for sent in self.sent if sent.began >= began]
        return sum(sent.status == 200 for sent in since) / len(since)

    def stop(self) -> None:
        """Ends every process and socket that this world started."""
        for task in self._tasks:
            task.cancel()
        super().stop()
        for upstream in self.upstreams:
            upstream.crash()
