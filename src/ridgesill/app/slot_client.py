"""A front's side of the permits for slots of brittle upstreams."""

import asyncio
import collections
import enum
import itertools
from collections.abc import Sequence

import attrs
from eliot import log_message

from ridgesill.app.change_signal import ChangeSignal
from ridgesill.app.fleet_client import FleetClient
from ridgesill.core.fleet.messages import Upstream
from ridgesill.core.fleet.slot_overheads import SETTLE_SECONDS
from ridgesill.core.fleet.slot_permits import (
    HeldSlots,
    RequestSlot,
    SlotAnswer,
)
from ridgesill.core.serving.brittle import BrittleUpstreams
from ridgesill.core.serving.choice import Chooser

# How long a request waits at the owner for a slot, in seconds.
_PATIENCE_SECONDS = 0.15
# Time between two reports that the owner confirms, in seconds. Those at the end
# of a request are sent without, which costs the owner half as much.
_REPORT_INTERVAL_SECONDS = 0.8
# Pause after a report that the owner hasn't taken, in seconds.
_RETRY_SECONDS = 0.1
# Requests whose outcome is unknown keep their slot for this multiple of the
# longest recent answer, and for the constant before any answer, in seconds; and
# for what the owner has learned beyond that.
_UNCERTAIN_SHARE = 1.25
_UNCERTAIN_SECONDS = 1.0
# How much the longest answer counts for after each later one.
_LONGEST_DECAY = 0.98


class SlotEnd(enum.Enum):
    """How a request left its slot."""

    ANSWERED = enum.auto()
    # It never ran, or ended without an answer.
    FREE = enum.auto()
    # It wasn't sent; the connection that it opened may still take the slot.
    CONNECTED = enum.auto()
    # The upstream may go on with the request.
    UNCERTAIN = enum.auto()


@attrs.frozen
class Slot:
    """A slot that a request may use.

    Attributes:
        upstream: the upstream that it belongs to.
        number: of the permit; 0 if the owner hasn't granted it.
        began_at: when it was granted, on the loop's clock.
    """

    upstream: Upstream
    number: int
    began_at: float


class SlotClient:
    """Asks the owner for slots of brittle upstreams, and reports those held.

    Args:
        fleet: the connection to the owner.
        chooser: counts this front's requests in progress.
    """

    def __init__(self, fleet: FleetClient, chooser: Chooser) -> None:
        self._fleet = fleet
        self._chooser = chooser
        self._brittle: BrittleUpstreams = chooser.brittle
        self._loop = asyncio.get_running_loop()
        self._numbers = itertools.count(1)
        self._last_number = 0
        self._sequences = itertools.count(1)
        self._held: dict[int, str] = {}
        # Permits of requests that have ended here and may still take slots.
        self._ended: set[int] = set()
        self._asked: set[int] = set()
        self._answered: collections.Counter[str] = collections.Counter()
        self._rejected: collections.Counter[str] = collections.Counter()
        # Those of them that had a permit.
        self._unexpected: collections.Counter[str] = collections.Counter()
        # Broken requests whose slots were given back.
        self._broken: collections.Counter[str] = collections.Counter()
        self._longest: dict[str, float] = {}
        # What the owner last told of each service, in seconds.
        self._settle_seconds: dict[str, float] = {}
        self._linger_seconds: dict[str, float] = {}
        self._changed = ChangeSignal()
        self._has_changed = False
        self._reported_to = ""
        # Whether the owner has confirmed a report since the last change.
        self._is_confirmed = True
        self._confirmed_at = float("-inf")

    def needs_permit(self, service: str) -> bool:
        """Whether requests to a service need a permit."""
        return bool(self._brittle) and self._brittle.is_service_brittle(service)

    def settle_seconds(self, service: str) -> float:
        """Returns for how long a new connection may take a slot.

        0 if requests to the service need no permit.
        """
        if not self.needs_permit(service):
            return 0.0
        return self._settle_seconds.get(service, SETTLE_SECONDS)

    async def acquire(
        self,
        upstreams: Sequence[Upstream],
        priority: int,
        patience: float,
        connected: Sequence[str] = (),
    ) -> Slot | None:
        """Returns a slot at one of the upstreams, or None if none is free.

        Args:
            upstreams: that the request may go to, the best first.
            priority: 0 goes first.
            patience: seconds for which the request can wait.
            connected: names of those that this front has a connection to.
        """
        number = self._last_number = next(self._numbers)
        request = RequestSlot(
            number,
            tuple(upstream.name for upstream in upstreams),
            max(min(_PATIENCE_SECONDS, patience), 0.0),
            priority,
            tuple(connected),
        )
        self._asked.add(number)
        answer: SlotAnswer | None = None
        try:
            answer = await self._fleet.request_slot(request)
        finally:
            self._asked.discard(number)
            if answer is None:
                # One that doesn't arrive any more may have granted a slot.
                self._notify()
        by_name = {upstream.name: upstream for upstream in upstreams}
        now = self._loop.time()
        if answer is None or not answer.is_certain:
            return self._acquire_alone(upstreams, now)
        if answer.upstream not in by_name:
            return None
        self._held[number] = answer.upstream
        granted = by_name[answer.upstream]
        self._settle_seconds[granted.service] = answer.settle_seconds
        self._linger_seconds[granted.service] = answer.linger_seconds
        return Slot(granted, number, now)

    def _acquire_alone(
        self, upstreams: Sequence[Upstream], now: float
    ) -> Slot | None:
        """Returns a slot that this front may use without the owner."""
        fronts = self._chooser.view.fronts
        silence = now - self._chooser.view.updated_at
        for upstream in upstreams:
            own = self._chooser.count_own_requests(upstream.name)
            if self._brittle.may_use_alone(upstream, own, fronts, silence, now):
                log_message("request:slot_alone", upstream=upstream.name)
                return Slot(upstream, 0, now)
        return None

    def end(self, slot: Slot, end: SlotEnd) -> None:
        """Records that a request has left its slot."""
        name = slot.upstream.name
        now = self._loop.time()
        seconds = now - slot.began_at
        service = slot.upstream.service
        if end is SlotEnd.ANSWERED:
            self._answered[name] += 1
            longest = self._longest.get(service, 0.0) * _LONGEST_DECAY
            self._longest[service] = max(longest, seconds)
        if end is SlotEnd.UNCERTAIN:
            log_message("request:slot_uncertain", upstream=name)
        seconds_left = self._find_seconds_left(service, end, seconds)
        if slot.number and seconds_left > 0:
            self._ended.add(slot.number)
            self._loop.call_later(seconds_left, self._release, slot, end)
        else:
            self._release(slot, end)

    def _find_seconds_left(
        self, service: str, end: SlotEnd, seconds: float
    ) -> float:
        """Returns for how long a slot that was left may still be taken.

        Args:
            service: of the upstream.
            end: how the request left it.
            seconds: since the slot was granted.
        """
        if end is SlotEnd.CONNECTED:
            return self.settle_seconds(service)
        if end is not SlotEnd.UNCERTAIN:
            return 0.0
        expected = _UNCERTAIN_SECONDS
        if service in self._longest:
            expected = _UNCERTAIN_SHARE * self._longest[service]
        linger = self._linger_seconds.get(service, 0.0)
        return max(expected - seconds, 0.0) + linger

    def record_rejected(self, upstream: Upstream, *, had_permit: bool) -> None:
        """Records that a brittle upstream had no room for a request.

        Args:
            upstream: that rejected it.
            had_permit: whether the request had a permit.
        """
        self._rejected[upstream.name] += 1
        if had_permit:
            self._unexpected[upstream.name] += 1
        fronts = self._chooser.view.fronts
        self._brittle.record_rejected(upstream, fronts, self._loop.time())
        self._notify()

    def _release(self, slot: Slot, end: SlotEnd) -> None:
        """Gives a slot back."""
        if end is SlotEnd.UNCERTAIN:
            self._broken[slot.upstream.name] += 1
        self._held.pop(slot.number, None)
        self._ended.discard(slot.number)
        self._notify()

    def _notify(self) -> None:
        self._has_changed = True
        self._changed.notify()

    async def run(self) -> None:
        """Reports what is held until cancelled."""
        while True:
            if not self._has_changed:
                await self._changed.wait(_REPORT_INTERVAL_SECONDS)
            has_changed, self._has_changed = self._has_changed, False
            if not (self._brittle or self._held):
                continue
            if self._must_confirm():
                if not await self._report():
                    self._has_changed = True
                    await asyncio.sleep(_RETRY_SECONDS)
            elif has_changed:
                self._is_confirmed = False
                self._fleet.send_slots(self._make_report())
                self._answered.clear()
                self._broken.clear()

    def _must_confirm(self) -> bool:
        """Whether the owner must confirm the next report."""
        if self._rejected or self._fleet.owner_address() != self._reported_to:
            return True
        is_due = (
            self._loop.time() >= self._confirmed_at + _REPORT_INTERVAL_SECONDS
        )
        return is_due and bool(
            self._held or self._count_unpermitted() or not self._is_confirmed
        )

    def _count_unpermitted(self) -> dict[str, int]:
        """Returns requests without a permit, by brittle upstream."""
        permitted = collections.Counter(
            name
            for number, name in self._held.items()
            if number not in self._ended
        )
        counts = {
            name: self._chooser.count_own_requests(name) - permitted[name]
            for name in self._brittle.list_upstreams()
        }
        return {name: count for name, count in counts.items() if count > 0}

    async def _report(self) -> bool:
        """Sends a report; returns whether the owner has taken it."""
        report = self._make_report()
        answered, self._answered = self._answered, collections.Counter()
        rejected, self._rejected = self._rejected, collections.Counter()
        unexpected, self._unexpected = self._unexpected, collections.Counter()
        broken, self._broken = self._broken, collections.Counter()
        self._is_confirmed = True
        self._reported_to = await self._fleet.report_slots(report)
        if self._reported_to:
            self._confirmed_at = self._loop.time()
            return True
        self._is_confirmed = False
        self._answered += answered
        self._rejected += rejected
        self._unexpected += unexpected
        self._broken += broken
        return False

    def _make_report(self) -> HeldSlots:
        return HeldSlots(
            next(self._sequences),
            dict(self._held),
            tuple(self._asked),
            self._last_number,
            self._count_unpermitted(),
            dict(self._answered),
            dict(self._rejected),
            dict(self._broken),
            dict(self._unexpected),
        )
