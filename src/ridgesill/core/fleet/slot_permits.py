"""Permits for the slots of brittle upstreams, granted by the fleet's owner.

A brittle upstream lets few or no requests wait, and falls over if it rejects
too many of them. Fronts that each count by themselves take the same free slot,
so a request needs a permit from the owner, which grants no more of them than
there are slots. Fronts report the permits that they hold; those of a front that
falls silent expire.

A permit covers one slot: for the connection that the request may have to open,
then for the request. An upstream that rejects a request all the same has less
room than it states, or is running requests that nobody reports. Its limit then
falls below what it held, stays there for as long as its bound on rejections
asks, and grows again with its answers, as a congestion window does. So does the
limit of a new start, from one request on.
"""

import collections
from collections.abc import Collection, Iterable, Mapping

import attrs

from ridgesill.core.codec import register
from ridgesill.core.fleet.last_slots import LastSlots
from ridgesill.core.fleet.messages import Upstream
from ridgesill.core.fleet.slot_overheads import (
    SETTLE_SECONDS,
    SlotOverheads,
)

# Holders report twice a second, so this is four missed reports.
_SILENT_AFTER_SECONDS = 2.0
# Share of an upstream's bound on rejections that fronts with permits may cause;
# the others are left to those that can't reach the owner.
_REJECTED_SHARE = 0.5
# Longest time for which a limit stays lowered, in seconds.
_MAX_HOLD_SECONDS = 5.0
# A limit that was exceeded is tried again after this multiple of that time.
_RETRY_FACTOR = 4.0
# Time over which the bound on rejections counts, in seconds.
_BOUND_SECONDS = 1.0


@register
@attrs.frozen
class RequestSlot:
    """Asks the owner for a slot at one of several upstreams.

    Attributes:
        number: of the request at its front, increasing.
        upstreams: names of the upstreams that it may go to, the best first.
        patience: seconds for which it may wait for a slot.
        priority: 0 goes first.
        connected: those of the upstreams to which the front has an idle
            connection.
    """

    number: int
    upstreams: tuple[str, ...]
    patience: float
    priority: int = 0
    connected: tuple[str, ...] = ()


@register
@attrs.frozen
class SlotAnswer:
    """Answers a `RequestSlot`.

    Attributes:
        upstream: name of the upstream whose slot is granted; empty for none.
        is_certain: whether the owner knows that there is no free slot. One that
            has just taken over doesn't know yet what fronts hold.
        settle_seconds: how long a new connection may take a slot.
        linger_seconds: for how much longer than usual upstreams go on with
            requests that were broken off.
    """

    upstream: str = ""
    is_certain: bool = True
    settle_seconds: float = SETTLE_SECONDS
    linger_seconds: float = 0.0


@register
@attrs.frozen
class HeldSlots:
    """What a front holds, and what it has learnt since its last report.

    Attributes:
        sequence: increases with each report; lower ones are ignored.
        held: upstream by number of the permit.
        asked: numbers of the requests that have no answer yet.
        last_number: the highest number that the front has used.
        unpermitted: requests in progress without a permit, by upstream.
        answered: whole answers by upstream.
        rejected: rejected requests by upstream.
        unexpected: those of them that had a permit, by upstream.
        broken: requests by upstream that were broken off, and whose slots the
            front has given back.
    """

    sequence: int
    held: dict[int, str]
    asked: tuple[int, ...] = ()
    last_number: int = 0
    unpermitted: dict[str, int] = attrs.Factory(dict)
    answered: dict[str, int] = attrs.Factory(dict)
    rejected: dict[str, int] = attrs.Factory(dict)
    broken: dict[str, int] = attrs.Factory(dict)
    unexpected: dict[str, int] = attrs.Factory(dict)


@attrs.define
class _Holder:
    """A front that holds permits.

    Attributes:
        heard_at: when it last reported, or was granted a slot, in seconds.
        sequence: of its last report.
        permits: upstream by number.
        unpermitted: requests in progress without a permit, by upstream.
    """

    heard_at: float
    sequence: int = -1
    permits: dict[int, str] = attrs.Factory(dict)
    unpermitted: dict[str, int] = attrs.Factory(dict)


@attrs.define
class _Limit:
    """Requests that an upstream may have in progress.

    Attributes:
        requests: the limit; a fraction counts as growth.
        fitting: requests that are taken to fit; below this, each answer raises
            the limit by one.
        lowered_until: until when the limit doesn't grow, in seconds.
        fits_until: until when it doesn't grow beyond `fitting`, in seconds.
        rejected_at: clock times of the latest rejections, in seconds.
    """

    requests: float
    fitting: float
    lowered_until: float = float("-inf")
    fits_until: float = float("-inf")
    rejected_at: collections.deque[float] = attrs.Factory(collections.deque)

    def find(self, now: float) -> int:
        """Returns the whole requests that are allowed now."""
        if now < self.lowered_until:
            return int(self.requests)
        return max(int(self.requests), 1)

    def grow(self, answers: int, slots: int, now: float) -> None:
        """Raises the limit after whole answers, up to the slots."""
        if now < self.lowered_until:
            return
        self.requests = max(self.requests, 1.0)
        for _ in range(answers):
            if self.requests < self.fitting:
                self.requests += 1.0
            elif now >= self.fits_until:
                self.requests += 1.0 / self.requests
        self.requests = min(self.requests, slots)

    def shrink(self, held: int, bound: float, now: float) -> None:
        """Lowers the limit below what the upstream held, for a while.

        Slots are left free for whatever took the missing one: one of them, or
        half of them if the next rejections could exceed the bound.

        Args:
            held: requests there, including the rejected one.
            bound: rejections per second that the upstream bears.
            now: clock time, in seconds.
        """
        self.requests = max(min(self.requests, held) - 1.0, 0.0)
        self.fitting = self.requests
        allowed = bound * _REJECTED_SHARE
        if self._count_rejected(now) > allowed * _BOUND_SECONDS:
            self.requests //= 2
        seconds = _MAX_HOLD_SECONDS
        if allowed > 0:
            seconds = min(1.0 / allowed, _MAX_HOLD_SECONDS)
        self.lowered_until = now + seconds
        self.fits_until = now + min(_RETRY_FACTOR * seconds, _MAX_HOLD_SECONDS)

    def _count_rejected(self, now: float) -> int:
        """Counts a rejection; returns those over which the bound counts."""
        self.rejected_at.append(now)
        while self.rejected_at[0] <= now - _BOUND_SECONDS:
            self.rejected_at.popleft()
        return len(self.rejected_at)


class SlotPermits:
    """The permits that are held, over all fronts.

    Attributes:
        overheads: how long slots stay taken beyond the requests in them.
    """

    def __init__(self) -> None:
        self.overheads = SlotOverheads()
        self._holders: dict[str, _Holder] = {}
        self._held: dict[str, int] = {}
        self._limits: dict[str, _Limit] = {}
        # From when all requests at an upstream are known, by its name.
        self._counted_from: dict[str, float] = {}
        # By service.
        self._last_slots: dict[str, LastSlots] = {}

    def count_reporters(self) -> int:
        """Returns the number of fronts that have reported."""
        return sum(holder.sequence >= 0 for holder in self._holders.values())

    def count_held(self, upstream: str) -> int:
        """Returns the requests in progress at an upstream."""
        return self._held.get(upstream, 0)

    def start_full(
        self, upstreams: Iterable[Upstream], now: float = float("-inf")
    ) -> None:
        """Lets upstreams that serve already use all their slots at once.

        Args:
            upstreams: that have become brittle, or that an earlier owner knew.
            now: clock time, in seconds.
        """
        for upstream in upstreams:
            slots = max(upstream.slots, 1)
            self._limits.setdefault(upstream.name, _Limit(slots, slots))
            self._counted_from[upstream.name] = now + _SILENT_AFTER_SECONDS

    def has_room(self, upstream: Upstream, now: float) -> bool:
        """Whether an upstream may get one more request now."""
        return self._room(upstream, now) > 0

    def _room(self, upstream: Upstream, now: float) -> float:
        """Returns the free share of an upstream's slots."""
        slots = max(upstream.slots, 1)
        held = self.count_held(upstream.name)
        free = self.find_limit(upstream, now) - held
        if held == slots - 1 and not self._last_slots_of(
            upstream.service
        ).may_fill(slots, self._held, now):
            return 0.0
        return free / slots

    def _last_slots_of(self, service: str) -> LastSlots:
        return self._last_slots.setdefault(service, LastSlots())

    def find_limit(self, upstream: Upstream, now: float) -> int:
        """Returns how many requests an upstream may have in progress."""
        return self._find_limit(upstream).find(now)

    def _find_limit(self, upstream: Upstream) -> _Limit:
        slots = max(upstream.slots, 1)
        return self._limits.setdefault(upstream.name, _Limit(1.0, slots))

    def grant(
        self,
        holder: str,
        number: int,
        upstreams: Collection[Upstream],
        now: float,
        connected: Collection[str] = (),
    ) -> str:
        """Grants a slot at the upstream with the largest free share.

        An upstream to which the front has a connection goes before others.

        Args:
            holder: identity of the front's process.
            number: of its request.
            upstreams: that the request may go to, the best first.
            now: clock time, in seconds.
            connected: names of those to which it has a connection.

        Returns:
            The upstream's name; empty if none has room.
        """
        rooms = [
            (u, room) for u in upstreams if (room := self._room(u, now)) > 0
        ]
        if not rooms:
            return ""
        best, _ = max(
            rooms, key=lambda each: (each[0].name in connected, each[1])
        )
        known = self._holders.setdefault(holder, _Holder(now))
        known.heard_at = now
        if number not in known.permits:
            known.permits[number] = best.name
            self._add(best.name, 1)
            if self.count_held(best.name) == max(best.slots, 1):
                self._last_slots_of(best.service).record_filled(
                    best.name, best.slots, now
                )
            if best.name not in connected:
                self.overheads.record_connection(
                    best.service,
                    best.name,
                    now,
                    fills=self.count_held(best.name) >= best.slots,
                )
        return best.name

    def _add(self, upstream: str, count: int) -> None:
        left = self._held.get(upstream, 0) + count
        if left > 0:
            self._held[upstream] = left
        else:
            self._held.pop(upstream, None)

    def report(
        self,
        holder: str,
        held: HeldSlots,
        upstreams: Mapping[str, Upstream],
        now: float,
    ) -> None:
        """Applies a front's report.

        Permits that it doesn't list are free again, except those that it may
        not have heard of yet.

        Args:
            holder: identity of the front's process.
            held: its report.
            upstreams: the upstreams that exist.
            now: clock time, in seconds.
        """
        known = self._holders.setdefault(holder, _Holder(now))
        if held.sequence <= known.sequence:
            return
        known.heard_at = now
        known.sequence = held.sequence
        for name, count in held.rejected.items():
            if name in upstreams:
                self._lower_limit(upstreams[name], count, now)
                if name in held.unexpected:
                    self._learn_from_rejection(upstreams[name], now)
        for name, count in held.answered.items():
            if name in upstreams:
                upstream = upstreams[name]
                slots = max(upstream.slots, 1)
                self._find_limit(upstream).grow(count, slots, now)
                self._last_slots_of(upstream.service).record_answer(
                    name, self._held, now
                )
        asked = set(held.asked)
        permits = {
            number: name
            for number, name in known.permits.items()
            if number in asked or number > held.last_number
        }
        for name in held.broken:
            self.overheads.record_released(name, now)
        self._replace(known, {**held.held, **permits}, held.unpermitted)

    def _lower_limit(self, upstream: Upstream, count: int, now: float) -> None:
        limit = self._find_limit(upstream)
        for _ in range(count):
            held = self.count_held(upstream.name)
            limit.shrink(held, upstream.brittle, now)

    def _learn_from_rejection(self, upstream: Upstream, now: float) -> None:
        """Learns from a rejection that the count doesn't explain."""
        name = upstream.name
        is_counted = now >= self._counted_from.get(name, float("-inf"))
        if not is_counted or self.count_held(name) > max(upstream.slots, 1):
            return
        self.overheads.record_rejected(upstream.service, name, now)
        self._last_slots_of(upstream.service).record_rejected(now)

    def _replace(
        self,
        holder: _Holder,
        permits: dict[int, str],
        unpermitted: dict[str, int],
    ) -> None:
        for name in holder.permits.values():
            self._add(name, -1)
        for name, count in holder.unpermitted.items():
            self._add(name, -count)
        holder.permits = permits
        holder.unpermitted = unpermitted
        for name in permits.values():
            self._add(name, 1)
        for name, count in unpermitted.items():
            self._add(name, count)

    def prune(self, upstreams: Collection[str], now: float) -> None:
        """Frees what silent fronts held, and forgets upstreams that are gone.

        Args:
            upstreams: names of the upstreams that exist.
            now: clock time, in seconds.
        """
        for name, holder in list(self._holders.items()):
            if now - holder.heard_at > _SILENT_AFTER_SECONDS:
                self._replace(holder, {}, {})
                del self._holders[name]
        for name in list(self._limits):
            if name not in upstreams:
                del self._limits[name]
                self._counted_from.pop(name, None)
        self.overheads.discard_except(upstreams)
