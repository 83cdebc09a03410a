"""A service of brittle upstreams under many fronts, on virtual time.

Fronts and owner run the code that grants and reports slots in production; the
messages between them, the upstreams and the callers are emulated.
"""

import asyncio
import collections
import itertools
import random
import time
from collections.abc import Callable
from typing import Any

import attrs

from ridgesill.app.fleet_client import FleetClient
from ridgesill.app.slot_client import Slot, SlotClient, SlotEnd
from ridgesill.app.slot_desk import SlotDesk
from ridgesill.core import codec
from ridgesill.core.fleet.brittle_bounds import HeardBrittle
from ridgesill.core.fleet.messages import (
    Heartbeat,
    Taken,
    Upstream,
    WatchFleet,
)
from ridgesill.core.fleet.registry import Registry
from ridgesill.core.fleet.slot_permits import HeldSlots
from ridgesill.core.serving.choice import Chooser
from ridgesill.core.serving.outcomes import Outcomes
from ridgesill.standin.emulator.clock import run_on_virtual_clock
from ridgesill.standin.emulator.network import EmulatedPeers

_SERVICE = "plain"
_OWNER = "owner"
# Time of a message between a front and the owner, and how often fronts hear
# news, in seconds.
_MESSAGE_SECONDS = 0.0015
_NEWS_SECONDS = 0.2
_QUEUE = 12
_DOWN_SECONDS = 3.0
_PATIENCE_SECONDS = 2.0
# How long a connection of a front stays open without a request, in seconds.
_IDLE_SECONDS = 4.0


@attrs.frozen
class BrittlePlan:
    """What is played.

    Attributes:
        fronts: number of fronts.
        share: load, as a share of what fits.
        seconds: length of the run; upstreams become brittle after one second
            and let nobody wait three seconds later.
        upstreams: number of upstreams.
        slots: requests that each processes at once.
        run_seconds: time of a request.
        connection_seconds: how long a new connection takes a slot.
        break_share: share of the answers that upstreams break off.
        linger_seconds: how long such a request keeps its slot.
        bound: rejections per second that an upstream bears.
        owner_lost: from when until when nobody owns the fleet, in seconds.
        seed: of all random choices.
    """

    fronts: int
    share: float
    seconds: float = 20.0
    upstreams: int = 4
    slots: int = 6
    run_seconds: float = 0.35
    connection_seconds: float = 0.0
    break_share: float = 0.0
    linger_seconds: float = 0.0
    bound: float = 3.0
    owner_lost: tuple[float, float] = (1e9, 1e9)
    seed: int = 1

    @property
    def tight_at(self) -> float:
        """From when upstreams let nobody wait, in seconds."""
        return 4.0

    @property
    def capacity(self) -> float:
        """Requests a second that fit."""
        return self.upstreams * self.slots / self.run_seconds


@attrs.define
class BrittleFigures:
    """What came of a run; requests count from `BrittlePlan.tight_at` on.

    Attributes:
        falls: upstreams that fell over.
        rejected: requests that upstreams rejected, those of falls included.
        sent: requests of callers.
        served: requests that were served.
        waits: seconds that served requests waited for their slots.
        refusal_seconds: seconds until refusals.
        messages: messages that the owner received.
        owner_seconds: processor time of the owner for decoding these messages
            and applying reports, without the transport.
    """

    falls: int = 0
    rejected: int = 0
    sent: int = 0
    served: int = 0
    waits: list[float] = attrs.Factory(list)
    refusal_seconds: list[float] = attrs.Factory(list)
    messages: int = 0
    owner_seconds: float = 0.0


class _FallenError(Exception):
    """The upstream fell over, or is away."""


class _BrokenOffError(Exception):
    """The answer broke off; the upstream may go on with the request."""


class _EmulatedUpstream:
    """An upstream that falls over if it rejects too many requests."""

    def __init__(
        self, plan: BrittlePlan, figures: BrittleFigures, rng: random.Random
    ) -> None:
        self._plan = plan
        self._figures = figures
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._accepted = 0
        self._running = asyncio.Semaphore(plan.slots)
        self._rejections: collections.deque[float] = collections.deque()
        self.is_away = False
        self._fallen: asyncio.Future[None] = self._loop.create_future()

    def connect(self) -> None:
        """Takes a slot for a new connection."""
        if self._plan.connection_seconds and not self.is_away:
            self._accepted += 1
            self._loop.call_later(
                self._plan.connection_seconds, self._release, self._fallen
            )

    def _release(self, fallen: asyncio.Future[None]) -> None:
        """Frees a slot that was taken before the upstream fell over."""
        if fallen is self._fallen:
            self._accepted -= 1

    async def serve(self) -> bool:
        """Serves a request; returns whether it ran.

        Raises:
            _FallenError: the upstream has ended.
            _BrokenOffError: the answer broke off.
        """
        if self.is_away:
            raise _FallenError
        now = self._loop.time()
        queue = _QUEUE if now < self._plan.tight_at else 0
        if self._accepted >= self._plan.slots + queue:
            self._reject(now)
            return False
        fallen = self._fallen
        self._accepted += 1
        breaks = self._rng.random() < self._plan.break_share
        linger_seconds = self._plan.linger_seconds if breaks else 0.0
        try:
            async with self._running:
                await asyncio.sleep(self._plan.run_seconds)
        finally:
            if linger_seconds:
                self._loop.call_later(linger_seconds, self._release, fallen)
            else:
                self._release(fallen)
        if fallen is not self._fallen:
            raise _FallenError
        if breaks:
            raise _BrokenOffError
        return True

    def _reject(self, now: float) -> None:
        self._figures.rejected += 1
        self._rejections.append(now)
        while self._rejections[0] <= now - 1.0:
            self._rejections.popleft()
        if now >= self._plan.tight_at and (
            len(self._rejections) > self._plan.bound
        ):
            self._figures.falls += 1
            self.is_away = True
            self._accepted = 0
            self._running = asyncio.Semaphore(self._plan.slots)
            self._fallen = self._loop.create_future()
            self._rejections.clear()
            raise _FallenError


class _Connections:
    """Idle connections of a front."""

    def __init__(self) -> None:
        self._idle: dict[str, list[float]] = {}

    def list_connected(self, now: float) -> list[str]:
        """Returns the upstreams to which a connection is idle."""
        return [
            name
            for name, since in self._idle.items()
            if since and now - since[-1] < _IDLE_SECONDS
        ]

    def take(self, upstream: str, now: float) -> bool:
        """Takes an idle connection; returns whether there was one."""
        since = self._idle.get(upstream, [])
        return bool(since) and now - since.pop() < _IDLE_SECONDS

    def give_back(self, upstream: str, now: float) -> None:
        """Keeps a connection for another request."""
        self._idle.setdefault(upstream, []).append(now)


class _BrittleWorld:
    """Upstreams, owner, fronts and callers of a run."""

    def __init__(self, plan: BrittlePlan) -> None:
        self.plan = plan
        self.figures = BrittleFigures()
        self._loop = asyncio.get_running_loop()
        self._rng = random.Random(plan.seed)
        self._starts = itertools.count(1)
        self._registry = Registry(1, 1e9)
        self.desk = SlotDesk(
            lambda: self._registry, lambda: plan.fronts, lambda: None
        )
        self.desk.begin([])
        self._upstreams: dict[str, _EmulatedUpstream] = {}
        for number in range(plan.upstreams):
            self._start_upstream(f"u{number}")
        self._nodes: dict[str, Callable[..., Any]] = {_OWNER: self._handle}
        self._choosers: list[Chooser] = []
        self._clients: list[SlotClient] = []
        self._connections = [_Connections() for _ in range(plan.fronts)]
        for number in range(plan.fronts):
            self._make_front(f"f{number}")

    def _make_front(self, name: str) -> None:
        peers = EmulatedPeers(self._nodes, name, _MESSAGE_SECONDS)
        fleet = FleetClient(peers, lambda: _OWNER, name)
        rng = random.Random(self._rng.random())
        chooser = Chooser("a", fleet.view, Outcomes(), rng)
        self._choosers.append(chooser)
        self._clients.append(SlotClient(fleet, chooser))

    async def _handle(self, sender: str, message: Any) -> Any:
        """Handles a message as the owner, and counts it and its cost."""
        self.figures.messages += 1
        began = time.process_time()
        message = codec.decode(codec.encode(message))
        if isinstance(message, HeldSlots):
            self.desk.handle_held(sender, message)
        self.figures.owner_seconds += time.process_time() - began
        if isinstance(message, HeldSlots):
            return Taken()
        return await self.desk.provide(sender, message)

    def _start_upstream(self, instance: str) -> None:
        start = next(self._starts)
        name = f"{instance}#{start}"
        rng = random.Random(f"{name} {self.plan.seed}")
        self._upstreams[name] = _EmulatedUpstream(self.plan, self.figures, rng)
        beat = Heartbeat(
            name,
            _SERVICE,
            f"{instance}:1",
            "a",
            self.plan.slots,
            False,
            1,
            instance=instance,
            start=start,
        )
        self._registry.handle_heartbeat(beat, self._loop.time())

    def is_owner_lost(self) -> bool:
        """Whether nobody owns the fleet now."""
        began, ended = self.plan.owner_lost
        return began <= self._loop.time() < ended

    async def play(self) -> BrittleFigures:
        """Plays the plan to its end."""
        self._send_news()
        tasks = [
            self._loop.create_task(coroutine)
            for coroutine in (
                self._send_news_regularly(),
                self._update_owner(),
                self._lose_owner(),
                *(client.run() for client in self._clients),
            )
        ]
        self._loop.call_at(1.0, self._become_brittle)
        calls: set[asyncio.Task[None]] = set()
        rate = self.plan.share * self.plan.capacity
        at = 0.0
        while (at := at + self._rng.expovariate(rate)) < self.plan.seconds:
            await asyncio.sleep(max(at - self._loop.time(), 0.0))
            front = self._rng.randrange(self.plan.fronts)
            task = self._loop.create_task(self._call(front))
            calls.add(task)
            task.add_done_callback(calls.discard)
        await asyncio.gather(*calls)
        for task in tasks:
            task.cancel()
        return self.figures

    def _become_brittle(self) -> None:
        for name in self._upstreams:
            self.desk.handle_heard(HeardBrittle(name, self.plan.bound, 0.0))

    async def _send_news_regularly(self) -> None:
        while True:
            await asyncio.sleep(_NEWS_SECONDS)
            if not self.is_owner_lost():
                self._send_news()

    def _send_news(self) -> None:
        for chooser in self._choosers:
            view = chooser.view
            question = WatchFleet(view.epoch, view.number, 0.0)
            news = self._registry.make_news(
                question, self.plan.fronts, {}, self._loop.time()
            )
            view.apply_news(news, self._loop.time())
            chooser.brittle.apply_view(view)

    async def _update_owner(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            if not self.is_owner_lost():
                self.desk.update(self._registry)

    async def _lose_owner(self) -> None:
        """Has another node own the fleet after a while, without any permit."""
        began, ended = self.plan.owner_lost
        await asyncio.sleep(began)
        del self._nodes[_OWNER]
        await asyncio.sleep(ended - began)
        self._nodes[_OWNER] = self._handle
        self.desk.end()
        self.desk.begin(self._registry.upstreams.values())

    async def _call(self, front: int) -> None:
        began = self._loop.time()
        counts = began >= self.plan.tight_at
        is_served, waited = await self._serve(front)
        if not counts:
            return
        self.figures.sent += 1
        if is_served:
            self.figures.served += 1
            self.figures.waits.append(waited)
        else:
            self.figures.refusal_seconds.append(waited)

    async def _serve(self, front: int) -> tuple[bool, float]:
        """Serves a request of a caller.

        Returns:
            Whether it was served, and the seconds until it was sent or refused.
        """
        began = self._loop.time()
        client, chooser = self._clients[front], self._choosers[front]
        ready = chooser.view.ready_upstreams(_SERVICE)
        if not ready:
            return False, 0.0
        upstream = self._rng.choice(ready)
        slot: Slot | None = None
        if client.needs_permit(_SERVICE):
            slot = await client.acquire(
                ready,
                0,
                _PATIENCE_SECONDS,
                self._connections[front].list_connected(began),
            )
            if slot is None:
                return False, self._loop.time() - began
            upstream = slot.upstream
        waited = self._loop.time() - began
        return await self._run(front, upstream, slot), waited

    async def _run(
        self, front: int, upstream: Upstream, slot: Slot | None
    ) -> bool:
        client, chooser = self._clients[front], self._choosers[front]
        chooser.record_start(upstream.name, "")
        end = SlotEnd.UNCERTAIN
        try:
            await self._connect(front, upstream)
            ran = await self._upstreams[upstream.name].serve()
            now = self._loop.time()
            self._connections[front].give_back(upstream.name, now)
            end = SlotEnd.ANSWERED if ran else SlotEnd.FREE
            if not ran and client.needs_permit(_SERVICE):
                client.record_rejected(upstream, had_permit=slot is not None)
            return ran
        except _FallenError:
            self._remove(upstream)
            return False
        except _BrokenOffError:
            return False
        finally:
            if slot is not None:
                client.end(slot, end)
            chooser.record_end(upstream.name, "")

    async def _connect(self, front: int, upstream: Upstream) -> None:
        """Opens a connection, unless one is idle, and lets it settle."""
        if self._connections[front].take(upstream.name, self._loop.time()):
            return
        self._upstreams[upstream.name].connect()
        await asyncio.sleep(self._clients[front].settle_seconds(_SERVICE))

    def _remove(self, upstream: Upstream) -> None:
        if upstream.name not in self._registry.upstreams:
            return
        self._registry.remove(upstream.name, self._loop.time())
        self._loop.call_later(
            _DOWN_SECONDS, self._start_upstream, upstream.instance
        )


def play_brittle_service(plan: BrittlePlan) -> BrittleFigures:
    """Plays a plan on virtual time and returns its figures."""

    async def play() -> BrittleFigures:
        return await _BrittleWorld(plan).play()

    figures = run_on_virtual_clock(play())
    assert isinstance(figures, BrittleFigures)
    return figures
