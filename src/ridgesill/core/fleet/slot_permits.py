"""Permits for the slots of brittle upstreams, granted by the fleet's owner.

A brittle upstream lets few or no requests wait, and falls over if it rejects
too many of them. Fronts that each count by themselves take the same free slot,
so a request needs a permit from the owner, which grants no more of them than
there are slots. Fronts report the permits that they hold; those of a front that
falls silent expire.

An upstream that rejects a request all the same has less room than it states, or
is running requests that nobody reports. Its limit then falls below what it held
and grows again with its answers, as a congestion window does. So does the limit
of a new start, from one request on.
"""

from collections.abc import Collection, Iterable, Mapping

import attrs

from ridgesill.core.codec import register
from ridgesill.core.fleet.messages import Upstream

# Holders report twice a second, so this is four missed reports.
_SILENT_AFTER_SECONDS = 2.0
# Share of an upstream's bound on rejections that fronts with permits may cause;
# the others are left to those that can't reach the owner.
_REJECTED_SHARE = 0.5
_MAX_PAUSE_SECONDS = 5.0


@register
@attrs.frozen
class RequestSlot:
    """Asks the owner for a slot at one of several upstreams.

    Attributes:
        number: of the request at its front, increasing.
        upstreams: names of the upstreams that it may go to, the best first.
        patience: seconds for which it may wait for a slot.
        priority: 0 goes first.
    """

    number: int
    upstreams: tuple[str, ...]
    patience: float
    priority: int = 0


@register
@attrs.frozen
class SlotAnswer:
    """Answers a `RequestSlot`.

    Attributes:
        upstream: name of the upstream whose slot is granted; empty for none.
        is_certain: whether the owner knows that there is no free slot. One that
            has just taken over doesn't know yet what fronts hold.
    """

    upstream: str = ""
    is_certain: bool = True


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
    """

    sequence: int
    held: dict[int, str]
    asked: tuple[int, ...] = ()
    last_number: int = 0
    unpermitted: dict[str, int] = attrs.Factory(dict)
    answered: dict[str, int] = attrs.Factory(dict)
    rejected: dict[str, int] = attrs.Factory(dict)


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
        grows_fast_below: below this, each answer raises it by one.
        paused_until: until when nothing is granted, in seconds.
    """

    requests: float
    grows_fast_below: float
    paused_until: float = float("-inf")

    def grow(self, answers: int, slots: int) -> None:
        """Raises the limit after whole answers, up to the slots."""
        for _ in range(answers):
            is_fast = self.requests < self.grows_fast_below
            self.requests += 1.0 if is_fast else 1.0 / self.requests
        self.requests = min(self.requests, slots)

    def shrink(self, held: int, bound: float, now: float) -> None:
        """Lowers the limit below what the upstream held, and pauses."""
        self.requests = max(min(self.requests, held) - 1.0, 1.0)
        self.grows_fast_below = self.requests
        pause = _MAX_PAUSE_SECONDS
        if bound > 0:
            pause = min(1.0 / (bound * _REJECTED_SHARE), _MAX_PAUSE_SECONDS)
        self.paused_until = max(self.paused_until, now + pause)


class SlotPermits:
    """The permits that are held, over all fronts."""

    def __init__(self) -> None:
        self._holders: dict[str, _Holder] = {}
        self._held: dict[str, int] = {}
        self._limits: dict[str, _Limit] = {}

    def count_reporters(self) -> int:
        """Returns the number of fronts that have reported."""
        return sum(holder.sequence >= 0 for holder in self._holders.values())

    def count_held(self, upstream: str) -> int:
        """Returns the requests in progress at an upstream."""
        return self._held.get(upstream, 0)

    def start_full(self, upstreams: Iterable[Upstream]) -> None:
        """Lets upstreams that serve already use all their slots at once."""
        for upstream in upstreams:
            slots = max(upstream.slots, 1)
            self._limits.setdefault(upstream.name, _Limit(slots, slots))

    def has_room(self, upstream: Upstream, now: float) -> bool:
        """Whether an upstream may get one more request now."""
        return self._room(upstream, now) > 0

    def _room(self, upstream: Upstream, now: float) -> float:
        """Returns the free share of an upstream's slots."""
        limit = self._find_limit(upstream)
        if now < limit.paused_until:
            return 0.0
        free = int(limit.requests) - self.count_held(upstream.name)
        return free / max(upstream.slots, 1)

    def _find_limit(self, upstream: Upstream) -> _Limit:
        slots = max(upstream.slots, 1)
        return self._limits.setdefault(upstream.name, _Limit(1.0, slots))

    def grant(
        self,
        holder: str,
        number: int,
        upstreams: Collection[Upstream],
        now: float,
    ) -> str:
        """Grants a slot at the upstream with the largest free share.

        Args:
            holder: identity of the front's process.
            number: of its request.
            upstreams: that the request may go to, the best first.
            now: clock time, in seconds.

        Returns:
            The upstream's name; empty if none has room.
        """
        best = max(upstreams, key=lambda u: self._room(u, now), default=None)
        if best is None or self._room(best, now) <= 0:
            return ""
        known = self._holders.setdefault(holder, _Holder(now))
        known.heard_at = now
        if number not in known.permits:
            known.permits[number] = best.name
            self._add(best.name, 1)
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
            self._record_rejected(upstreams.get(name), count, now)
        for name, count in held.answered.items():
            if name in upstreams:
                upstream = upstreams[name]
                self._find_limit(upstream).grow(count, max(upstream.slots, 1))
        asked = set(held.asked)
        permits = {
            number: name
            for number, name in known.permits.items()
            if number in asked or number > held.last_number
        }
        self._replace(known, {**held.held, **permits}, held.unpermitted)

    def _record_rejected(
        self, upstream: Upstream | None, count: int, now: float
    ) -> None:
        if upstream is None:
            return
        limit = self._find_limit(upstream)
        for _ in range(count):
            held = self.count_held(upstream.name)
            limit.shrink(held, upstream.brittle, now)

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
