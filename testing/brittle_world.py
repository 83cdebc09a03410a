"""A deployment whose upstreams fall over if they reject too many requests."""

import asyncio
import collections
import random
import statistics
from pathlib import Path

import attrs

from testing.app.front_world import Call
from testing.service_world import SERVICE, ServiceWorld
from testing.soak.upstreams import Ledger, SoakUpstream

SLOTS = 6
RUN_SECONDS = 0.35
# Time from an upstream's first statement until it lets nobody wait.
TIGHT_AFTER_SECONDS = 3.0
# How long an upstream that fell over stays away.
DOWN_SECONDS = 3.0
# Requests that wait at an upstream while it isn't brittle.
_QUEUE = 12


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

    Attributes:
        slots: requests that it says it processes at once.
        bound: rejections per second that it bears; None while it isn't brittle.
        run_seconds: shortest and longest time of a request.
        connection_seconds: how long a new connection takes a slot.
        break_share: share of the answers that it breaks off.
        linger_seconds: how long a request whose answer was broken off keeps its
            slot.
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
        self.bound: float | None = None
        self.run_seconds = (RUN_SECONDS, RUN_SECONDS)
        self.connection_seconds = 0.0
        self.break_share = 0.0
        self.linger_seconds = 0.0
        self._queue = _QUEUE
        self._work_rng = random.Random(f"work {service} {controls}")
        self.brittle_ledger = ledger

    def _begin_incarnation(self) -> None:
        super()._begin_incarnation()
        self._has_fallen = False
        self._accepted = 0
        self._running = asyncio.Semaphore(SLOTS)
        self._rejections: collections.deque[float] = collections.deque()
        self._scripted_server.connected = self._handle_connection

    def _handle_connection(self) -> None:
        if self.connection_seconds and not self._has_fallen:
            self._accepted += 1
            self._release_after(self.connection_seconds)

    def _release_after(self, seconds: float) -> None:
        """Frees a slot of this incarnation after a while."""
        asyncio.get_running_loop().call_later(seconds, self._release, self.name)

    def _release(self, incarnation: str) -> None:
        if incarnation == self.name:
            self._accepted -= 1

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
        breaks = self._work_rng.random() < self.break_share
        try:
            async with self._running:
                await asyncio.sleep(self._work_rng.uniform(*self.run_seconds))
        finally:
            if breaks:
                self._release_after(self.linger_seconds)
            else:
                self._release(incarnation)
        if incarnation != self.name:
            return
        self._ledger.record_run(call)
        if breaks:
            await self._break_off(call)
            return
        await call.answer(200, b"fine", *self._bound_headers())

    async def _break_off(self, call: Call) -> None:
        """Sends a part of an answer and closes the connection."""
        lines = [
            "HTTP/1.1 200 OK",
            "Content-Length: 4",
            *call.proof_lines(200, self._bound_headers()),
        ]
        await call.send("\r\n".join(lines).encode() + b"\r\n\r\nfi")
        call.writer.close()

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


class BrittleWorld(ServiceWorld):
    """Fronts before one service of brittle upstreams, and their callers.

    Args:
        folder: directory for settings, disks and logs.
        fronts: number of fronts.
        upstreams: number of upstreams.
        seed: of the callers' random choices.
    """

    def __init__(
        self, folder: Path, fronts: int, upstreams: int = 4, seed: int = 1
    ) -> None:
        super().__init__(folder, fronts, seed=seed)
        self.ledger = BrittleLedger()
        self.brittle_upstreams = [
            BrittleUpstream(
                SERVICE,
                self.ledger,
                self.control_addresses,
                random.Random(seed),
            )
            for _ in range(upstreams)
        ]
        self.upstreams = self.brittle_upstreams

    @property
    def capacity(self) -> float:
        """Requests a second that all upstreams can serve."""
        return sum(
            SLOTS / statistics.fmean(upstream.run_seconds)
            for upstream in self.brittle_upstreams
        )

    def become_brittle(self, bound: float) -> None:
        """Has all upstreams state a bound from now on."""
        for upstream in self.brittle_upstreams:
            upstream.become_brittle(bound)
