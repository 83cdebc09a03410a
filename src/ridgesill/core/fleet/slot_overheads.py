"""How long slots of brittle upstreams stay taken beyond the requests in them.

A new connection may take a slot for a moment, and an upstream may go on with a
request whose connection was closed. Neither time is stated anywhere. They are
learned from requests that are rejected although the count of permits allows
them: the time grows until it covers what happened last at that upstream, and
shrinks slowly without rejections. The time of connections also shrinks with
each one to a full upstream that rejects nothing, until the first that is
followed by a rejection.
"""

import math
from collections.abc import Collection

import attrs

# Time for which a new connection is expected to take a slot before anything was
# learned, and its bounds, in seconds.
SETTLE_SECONDS = 0.02
_MIN_SETTLE_SECONDS = 0.002
_MAX_SETTLE_SECONDS = 0.25
# Factor by which a connection that did no harm lowers that time.
_SETTLE_SHRINK = 0.97
# Least and greatest factor by which a rejection raises that time. A connection
# that is older than the second one allows is too often there by chance to be
# taken for the cause.
_MIN_SETTLE_GROWTH = 1.5
_MAX_SETTLE_GROWTH = 2.0
# Greatest time for which a broken request is expected to go on, in seconds.
_MAX_LINGER_SECONDS = 2.0
# Least time by which a rejection raises it, and the greatest one at first, in
# seconds. Later ones double it at most.
_MIN_LINGER_STEP_SECONDS = 0.1
_MAX_LINGER_STEP_SECONDS = 0.2
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

    def shrink(self, factor: float, least: float) -> None:
        """Lowers the value, unless it has grown before."""
        if self.changed_at == -math.inf:
            self.base = max(self.base * factor, least)

    def raise_to(self, seconds: float, now: float) -> None:
        """Raises the value if it is lower and hasn't grown just now."""
        known = self.find(now)
        pause = max(known, _GROWTH_PAUSE_SECONDS)
        if seconds > known and now >= self.changed_at + pause:
            self.extra = seconds - self.base
            self.changed_at = now


@attrs.define
class _ServiceTimes:
    settle: _LearnedTime = attrs.Factory(lambda: _LearnedTime(SETTLE_SECONDS))
    linger: _LearnedTime = attrs.Factory(lambda: _LearnedTime(0.0))


@attrs.frozen
class _Connection:
    """The connection that was last opened to an upstream.

    Attributes:
        at: clock time, in seconds.
        fills: whether the upstream had no other slot left.
    """

    at: float
    fills: bool


class SlotOverheads:
    """The times of each service, and the events that explain rejections."""

    def __init__(self) -> None:
        self._times: dict[str, _ServiceTimes] = {}
        # The last connection that no rejection followed, and the clock time of
        # the last release, by upstream.
        self._connections: dict[str, _Connection] = {}
        self._released_at: dict[str, float] = {}

    def _times_of(self, service: str) -> _ServiceTimes:
        return self._times.setdefault(service, _ServiceTimes())

    def settle_seconds(self, service: str, now: float) -> float:
        """Returns for how long a new connection may take a slot."""
        return self._times_of(service).settle.find(now)

    def linger_seconds(self, service: str, now: float) -> float:
        """Returns for how much longer than usual broken requests run."""
        return self._times_of(service).linger.find(now)

    def record_connection(
        self, service: str, upstream: str, now: float, *, fills: bool = False
    ) -> None:
        """Records that a front is about to connect to an upstream.

        Args:
            service: of the upstream.
            upstream: its name.
            now: clock time, in seconds.
            fills: whether the upstream has no other slot left.
        """
        previous = self._connections.get(upstream)
        settle = self._times_of(service).settle
        if (
            previous is not None
            and previous.fills
            and now - previous.at > _MAX_SETTLE_GROWTH * settle.find(now)
        ):
            settle.shrink(_SETTLE_SHRINK, _MIN_SETTLE_SECONDS)
        self._connections[upstream] = _Connection(now, fills)

    def record_released(self, upstream: str, now: float) -> None:
        """Records that the slot of a broken request was given back."""
        self._released_at[upstream] = now

    def record_rejected(self, service: str, upstream: str, now: float) -> None:
        """Learns from a rejection of a permitted request.

        Broken requests close connections, so that new ones are often there by
        chance: a request that ended just before explains the rejection first.

        Args:
            service: of the upstream.
            upstream: its name.
            now: clock time, in seconds.
        """
        settle = self._times_of(service).settle.find(now)
        linger = self._times_of(service).linger.find(now)
        connection = self._connections.pop(upstream, None)
        connected_ago = math.inf
        if connection is not None:
            connected_ago = now - connection.at
        released_ago = now - self._released_at.get(upstream, -math.inf)
        if released_ago <= max(linger, _MAX_LINGER_STEP_SECONDS):
            self._raise_linger(service, released_ago, now)
        elif connected_ago <= min(
            _MAX_SETTLE_GROWTH * settle, _MAX_SETTLE_SECONDS
        ):
            seconds = max(connected_ago, _MIN_SETTLE_GROWTH * settle)
            seconds = min(seconds, _MAX_SETTLE_SECONDS)
            self._times_of(service).settle.raise_to(seconds, now)
        elif released_ago <= _MAX_LINGER_SECONDS:
            self._raise_linger(service, released_ago, now)

    def _raise_linger(self, service: str, seconds: float, now: float) -> None:
        """Raises the time of broken requests by about so many seconds."""
        times = self._times_of(service).linger
        known = times.find(now)
        step = min(seconds, max(known, _MAX_LINGER_STEP_SECONDS))
        step = max(step, _MIN_LINGER_STEP_SECONDS)
        times.raise_to(min(known + step, _MAX_LINGER_SECONDS), now)

    def discard_except(self, upstreams: Collection[str]) -> None:
        """Discards the events of all but the given upstreams."""
        for events in (self._connections, self._released_at):
            for name in list(events):
                if name not in upstreams:
                    del events[name]  # type: ignore[attr-defined]
