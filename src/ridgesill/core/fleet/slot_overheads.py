"""How long slots of brittle upstreams stay taken beyond the requests in them.

A new connection may take a slot for a moment, and an upstream may go on with a
request whose connection was closed. Neither time is stated anywhere. They are
learned from requests that are rejected although the count of permits allows
them: the time grows until it covers what happened last at that upstream, and
shrinks slowly without rejections.
"""

import math
from collections.abc import Collection

import attrs

# Least and greatest time for which a new connection is expected to take a slot,
# in seconds.
MIN_SETTLE_SECONDS = 0.02
_MAX_SETTLE_SECONDS = 0.25
# Greatest factor between that time and the age of a connection that is taken to
# be the cause of a rejection. Older ones are too often there by chance.
_MAX_SETTLE_GROWTH = 2.0
# Greatest time for which a broken request is expected to go on, in seconds.
_MAX_LINGER_SECONDS = 2.0
# Time by which a rejection raises it at first, in seconds. Later ones double it
# at most.
_LINGER_STEP_SECONDS = 0.2
# Least time between two growths, in seconds: requests that were sent before the
# first one show nothing new.
_GROWTH_PAUSE_SECONDS = 0.25
# What was learned halves in this time without rejections, in seconds.
_HALF_LIFE_SECONDS = 30.0


@attrs.define
class _LearnedTime:
    """A time that grows with evidence and shrinks without.

    Attributes:
        base: the least value, in seconds.
        extra: what was learned beyond it, in seconds.
        changed_at: clock time of the last growth, in seconds.
    """

    base: float
    extra: float = 0.0
    changed_at: float = -math.inf

    def find(self, now: float) -> float:
        """Returns the current value, in seconds."""
        if not self.extra:
            return self.base
        age = max(now - self.changed_at, 0.0)
        return self.base + self.extra * math.exp2(-age / _HALF_LIFE_SECONDS)

    def raise_to(self, seconds: float, now: float) -> None:
        """Raises the value if it is lower and hasn't grown just now."""
        known = self.find(now)
        pause = max(known, _GROWTH_PAUSE_SECONDS)
        if seconds > known and now >= self.changed_at + pause:
            self.extra = seconds - self.base
            self.changed_at = now


@attrs.define
class _ServiceTimes:
    settle: _LearnedTime = attrs.Factory(
        lambda: _LearnedTime(MIN_SETTLE_SECONDS)
    )
    linger: _LearnedTime = attrs.Factory(lambda: _LearnedTime(0.0))


class SlotOverheads:
    """The times of each service, and the events that explain rejections."""

    def __init__(self) -> None:
        self._times: dict[str, _ServiceTimes] = {}
        # Clock time of the last event, by upstream.
        self._connected_at: dict[str, float] = {}
        self._released_at: dict[str, float] = {}

    def _times_of(self, service: str) -> _ServiceTimes:
        return self._times.setdefault(service, _ServiceTimes())

    def settle_seconds(self, service: str, now: float) -> float:
        """Returns for how long a new connection may take a slot."""
        return self._times_of(service).settle.find(now)

    def linger_seconds(self, service: str, now: float) -> float:
        """Returns for how much longer than usual broken requests run."""
        return self._times_of(service).linger.find(now)

    def record_connection(self, upstream: str, now: float) -> None:
        """Records that a front is about to connect to an upstream."""
        self._connected_at[upstream] = now

    def record_released(self, upstream: str, now: float) -> None:
        """Records that the slot of a broken request was given back."""
        self._released_at[upstream] = now

    def record_rejected(self, service: str, upstream: str, now: float) -> None:
        """Learns from a rejection of a permitted request.

        Args:
            service: of the upstream.
            upstream: its name.
            now: clock time, in seconds.
        """
        times = self._times_of(service)
        known = times.settle.find(now)
        age = now - self._connected_at.get(upstream, -math.inf)
        if age <= min(_MAX_SETTLE_GROWTH * known, _MAX_SETTLE_SECONDS):
            times.settle.raise_to(age, now)
        known = times.linger.find(now)
        age = now - self._released_at.get(upstream, -math.inf)
        if age <= _MAX_LINGER_SECONDS:
            step = min(age, max(known, _LINGER_STEP_SECONDS))
            times.linger.raise_to(min(known + step, _MAX_LINGER_SECONDS), now)

    def discard_except(self, upstreams: Collection[str]) -> None:
        """Discards the events of all but the given upstreams."""
        for events in (self._connected_at, self._released_at):
            for name in list(events):
                if name not in upstreams:
                    del events[name]
