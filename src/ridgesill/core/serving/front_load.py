"""Decides which requests a front refuses because it is itself overloaded.

Load pattern: the load balancer hashes clients to fronts regardless of their
size, so that fronts with 0.4 cores get as many requests as those with 1.3
cores. An overloaded front delays every request that it takes. Refusing a part
at once sends these callers to another front while the others are served in
time.

A VM with 0.4 cores is stopped for up to 60 ms in each 0.1 s, in some ways of
enforcing the limit also while its process has hardly anything to do. A timer is
late then, and refusing requests wouldn't help. So the front isn't full because
a timer is late, but because one turn of the event loop takes long; an idle
process takes next to no time for it.

Processor use and event loop lag depend on how many requests are admitted, so
their control reduces the admitted share in steps. Memory, descriptors and bytes
that wait at the link don't fall when fewer requests are admitted, or fall late;
a control that kept reducing the share would end up refusing everything. For
these, the refused share is proportional to the excess.
"""

from collections.abc import Iterable

import attrs

from ridgesill.core.commands import Node

# Ratio of the processor shares of two nodes from which their VMs differ in
# size.
UNEVEN_FACTOR = 1.25
# A front is full if its event loop is late by more than this share of the
# shortest goal for this many seconds, and its last two turns took longer than
# that. A request waits for the loop about five times, so half of the goal is
# lost then. A shorter lag may be a single long callback.
_MAX_LAG_SHARE = 1 / 10
_SUSTAINED_SECONDS = 0.3
# Shares of the limits from which a front is full.
_MAX_PROCESSOR_SHARE = 0.9
_MAX_STOCK_SHARE = 0.85
# Seconds of the link's bandwidth that may wait in sockets.
_MAX_LINK_WAIT_SECONDS = 0.25
# Seconds over which processor use is measured. Between two samples it varies
# with single requests.
_PROCESSOR_SPAN_SECONDS = 0.5
# Factor by which the use over two spans can exceed an enforced limit. Kernels
# enforce it in periods of 0.1 s, and a second has parts of up to 11 periods.
_MAX_USE_FACTOR = 1.1
# Share of a bound below which the admitted share grows quickly. Between it and
# the bound it grows slowly, so that the refused share doesn't oscillate.
_RELEASE_SHARE = 0.8
_FAST_GROWTH_PER_SECOND = 0.1
_SLOW_GROWTH_PER_SECOND = 0.02
# Lowest factor by which one step reduces the admitted share. Lag is compared at
# each sample, ten times a second; processor use once in its span.
_MIN_FACTOR = 0.7
# Decrease of the admitted share per second while the lag stays as it is.
_CONSTANT_LAG_DECREASE_PER_SECOND = 0.5
# Decrease of the refused share per second once memory and descriptors are
# within their bounds again.
_STOCK_RELEASE_PER_SECOND = 0.2
# The same for the link. What waits there shows at once whether it is narrow,
# and all requests are admitted again within a second after that.
_LINK_RELEASE_PER_SECOND = 2.0
# A small part is always admitted, since only admitted requests show whether the
# front has recovered.
_MAX_REFUSED_SHARE = 0.95
# Seconds from the first sample in which nothing is refused: a starting process
# imports modules and decodes the configuration.
_START_SECONDS = 2.0
# Time constant of the counts of requests by priority, in seconds.
_COUNTS_SECONDS = 1.0
# Counts below this are dropped.
_MIN_COUNT = 0.01
# A front may report itself as not ready once it has refused this share or more
# for this many seconds. By then its report has passed at most four long polls
# of half a second, two to the owner and two to the other fronts. So no front
# counts one as having room that is not ready.
_MIN_UNREADY_SHARE = 0.25
_UNREADY_AFTER_SECONDS = 2.5
# Greatest age of the owner's news for that, in seconds.
_MAX_NEWS_AGE_SECONDS = 1.0


@attrs.frozen
class VmLimits:
    """Limits of a VM; 0 stands for no limit.

    Attributes:
        processor_share: processor seconds per second.
        memory_bytes: resident memory.
        descriptors: open file descriptors.
        link_bytes_per_second: bandwidth of its link.
    """

    processor_share: float = 0.0
    memory_bytes: float = 0.0
    descriptors: int = 0
    link_bytes_per_second: float = 0.0

    def __bool__(self) -> bool:
        """Whether there is any limit."""
        return self != VmLimits()


@attrs.frozen
class LoadSample:
    """What a front has measured of itself.

    Attributes:
        at: time of the sample, in seconds.
        lag_seconds: how late the event loop ran a timer.
        processor_seconds: processor time used since the process started.
        memory_bytes: resident memory.
        descriptors: open file descriptors.
        waiting_bytes: bytes that wait at the link.
        turn_seconds: time that a turn of the event loop took after the previous
            sample; None if not measured.
    """

    at: float
    lag_seconds: float = 0.0
    processor_seconds: float = 0.0
    memory_bytes: float = 0.0
    descriptors: int = 0
    waiting_bytes: float = 0.0
    turn_seconds: float | None = None

    @property
    def delay_seconds(self) -> float:
        """How long the work of the event loop delays a request."""
        if self.turn_seconds is None:
            return self.lag_seconds
        return self.turn_seconds


@attrs.define
class _Sustained:
    """Tells whether a value has exceeded its bound without a break.

    Attributes:
        seconds: how long it must have exceeded the bound.
    """

    seconds: float
    _since: float | None = None

    def record(
        self, is_over: bool, at: float, over_since: float | None = None
    ) -> bool:
        """Records a comparison; returns whether the bound counts as exceeded.

        Args:
            is_over: whether the value exceeds its bound now.
            at: time of the comparison, in seconds.
            over_since: from when the value has exceeded it if the previous one
                didn't; None for the time of the comparison.
        """
        if not is_over:
            self._since = None
            return False
        if self._since is None:
            # One value alone doesn't last, however late it was taken.
            self._since = at if over_since is None else over_since
            return False
        return at - self._since >= self.seconds


def are_uneven(nodes: Iterable[Node]) -> bool:
    """Whether the fronts' VMs differ in size.

    Only then does the load balancer, which ignores sizes, overload some fronts
    while others have room.

    Args:
        nodes: all nodes; voters don't count.
    """
    shares = [n.processor_share for n in nodes if not n.voter]
    known = [share for share in shares if share]
    return bool(known) and max(known) >= UNEVEN_FACTOR * min(known)


class FrontLoad:
    """Tracks the load of one front and the share of requests to refuse.

    Args:
        limits: limits that apply; see `set_limits`.

    Attributes:
        shortest_goal: shortest goal of all routes, in seconds.
        last: the latest sample; None before the first.
        processor_use: processor seconds per second, recently.
        is_clock_usable: whether the processor clock may be right and its use
            due to requests; once it isn't, the clock isn't used any more.
        refused_share: share of new requests to refuse, from 0 to 1.
    """

    def __init__(self, limits: VmLimits | None = None) -> None:
        self.shortest_goal = float("inf")
        self.last: LoadSample | None = None
        self.processor_use = 0.0
        self.is_clock_usable = True
        self.refused_share = 0.0
        self._limits = limits or VmLimits()
        self._started_at = 0.0
        self._admitted_share = 1.0
        self._stock_share = 0.0
        self._link_share = 0.0
        self._lag_over = _Sustained(_SUSTAINED_SECONDS)
        # First samples of the current and of the previous span of processor
        # use.
        self._span_start: LoadSample | None = None
        self._previous_start: LoadSample | None = None
        self._refusing_since: float | None = None
        self._is_unready = False
        self._counts: dict[int, float] = {}

    def set_limits(self, limits: VmLimits, shortest_goal: float) -> None:
        """Sets the limits that apply from now on.

        Args:
            limits: limits of the front's VM; those that are 0 don't apply.
            shortest_goal: shortest goal of all routes, in seconds; infinite if
                lag doesn't count.
        """
        self._limits = limits
        self.shortest_goal = shortest_goal

    @property
    def processor_limit(self) -> float:
        """Processor seconds per second that the VM has; 0 for no limit."""
        return self._limits.processor_share

    @property
    def is_enabled(self) -> bool:
        """Whether any limit applies."""
        return bool(self._limits)

    @property
    def is_full(self) -> bool:
        """Whether the front refuses a part of its new requests."""
        return self.refused_share > 0

    @property
    def lacks_descriptors(self) -> bool:
        """Whether few descriptors are left, so that clients should leave."""
        used = self.last.descriptors if self.last else 0
        return _share_over(used, self._limits.descriptors) > 0

    # -- samples -------------------------------------------------------

    def record(self, sample: LoadSample) -> None:
        """Records a sample and updates the refused share."""
        previous = self.last
        self.last = sample
        if previous is None:
            self._started_at = sample.at
            self._span_start = sample
            return
        span = max(sample.at - previous.at, 0.0)
        self._decay_counts(span)
        new_use = self._measure_processor(sample)
        lag_factor = self._lag_factor(sample, previous)
        processor_factor = self._processor_factor() if new_use else 1.0
        stock_excess = self._stock_excess(sample)
        link_excess = self._link_excess(sample)
        if sample.at - self._started_at < _START_SECONDS:
            return
        factor = min(lag_factor, processor_factor)
        if factor < 1.0:
            self._admitted_share *= factor
        else:
            self._grow(sample, span)
        self._stock_share = max(
            stock_excess, self._stock_share - _STOCK_RELEASE_PER_SECOND * span
        )
        self._link_share = max(
            link_excess, self._link_share - _LINK_RELEASE_PER_SECOND * span
        )
        refused = max(
            1 - self._admitted_share, self._stock_share, self._link_share
        )
        self.refused_share = min(max(refused, 0.0), _MAX_REFUSED_SHARE)
        self._admitted_share = max(self._admitted_share, 1 - _MAX_REFUSED_SHARE)
        self._track_refusing(sample.at)

    def _measure_processor(self, sample: LoadSample) -> bool:
        """Updates the processor use; returns whether a span has ended."""
        first = self._span_start
        assert first is not None
        span = sample.at - first.at
        if span < _PROCESSOR_SPAN_SECONDS:
            return False
        self.processor_use = _find_use(first, sample)
        self._check_clock(sample)
        self._previous_start, self._span_start = first, sample
        return True

    def _check_clock(self, sample: LoadSample) -> None:
        """Stops using a clock that is wrong or doesn't depend on requests."""
        first = self._previous_start
        limit = self._limits.processor_share
        if first is None or not limit or not self.is_clock_usable:
            return
        if _find_use(first, sample) > _MAX_USE_FACTOR * limit:
            self.is_clock_usable = False
            # The share may be reduced due to earlier errors of the clock. A
            # lag reduces it again within 0.3 s.
            self._admitted_share = 1.0
        elif self._is_use_unrelated(sample):
            self.is_clock_usable = False

    def _is_use_unrelated(self, sample: LoadSample) -> bool:
        """Whether use stays high though as many are refused as may be.

        If it is right after all, refusals alone overload the front, and its
        event loop shows that as well.
        """
        return (
            self._admitted_share <= 1 - _MAX_REFUSED_SHARE
            and self.processor_use > self._find_processor_bound()
            and sample.delay_seconds
            <= _RELEASE_SHARE * _MAX_LAG_SHARE * self.shortest_goal
        )

    def _find_processor_bound(self) -> float:
        """Returns the use above which the front is full; 0 for none."""
        if not self.is_clock_usable:
            return 0.0
        return _MAX_PROCESSOR_SHARE * self._limits.processor_share

    def _lag_factor(self, sample: LoadSample, previous: LoadSample) -> float:
        """Returns by which factor lag reduces the admitted share; 1 for none.

        A rise of the lag shows by how much the work exceeds what the front can
        do. A falling lag reduces nothing: earlier requests are being worked
        off.
        """
        bound = _MAX_LAG_SHARE * self.shortest_goal
        delay, previous_delay = sample.delay_seconds, previous.delay_seconds
        lateness = max(sample.lag_seconds, delay)
        is_sustained = self._lag_over.record(
            lateness > bound,
            sample.at,
            max(previous.at, sample.at - lateness) + bound,
        )
        # A single long turn may be one in which the process was stopped.
        is_over = is_sustained and min(delay, previous_delay) > bound
        rise = delay - previous_delay
        span = sample.at - previous.at
        if not is_over or rise < 0 or span <= 0:
            return 1.0
        constant_factor = 1 - _CONSTANT_LAG_DECREASE_PER_SECOND * span
        factor = min(span / (span + rise), constant_factor)
        return max(factor, _MIN_FACTOR)

    def _processor_factor(self) -> float:
        bound = self._find_processor_bound()
        if not bound or self.processor_use <= bound:
            return 1.0
        # Above the limit the clock is wrong, or the span has parts of one more
        # period of the limit than usual. The next span shows which.
        limit = self._limits.processor_share
        if self.processor_use > _MAX_USE_FACTOR * limit:
            return 1.0
        return max(bound / self.processor_use, _MIN_FACTOR)

    def _grow(self, sample: LoadSample, span: float) -> None:
        """Increases the admitted share after a time within the bounds."""
        lag_bound = _MAX_LAG_SHARE * self.shortest_goal
        use_bound = self._find_processor_bound()
        delay = sample.delay_seconds
        if delay > lag_bound:
            return
        if use_bound and self.processor_use > use_bound:
            return
        is_low = delay <= _RELEASE_SHARE * lag_bound and (
            not use_bound or self.processor_use <= _RELEASE_SHARE * use_bound
        )
        rate = _FAST_GROWTH_PER_SECOND if is_low else _SLOW_GROWTH_PER_SECOND
        self._admitted_share = min(self._admitted_share + rate * span, 1.0)

    def _stock_excess(self, sample: LoadSample) -> float:
        """Returns the share to refuse for memory and descriptors."""
        limits = self._limits
        return max(
            _share_over(sample.memory_bytes, limits.memory_bytes),
            _share_over(sample.descriptors, limits.descriptors),
        )

    def _link_excess(self, sample: LoadSample) -> float:
        bound = _MAX_LINK_WAIT_SECONDS * self._limits.link_bytes_per_second
        if not 0 < bound < sample.waiting_bytes:
            return 0.0
        return 1 - bound / sample.waiting_bytes

    def _track_refusing(self, at: float) -> None:
        if not self.is_full:
            self._is_unready = False
        if self.refused_share < _MIN_UNREADY_SHARE:
            self._refusing_since = None
        elif self._refusing_since is None:
            self._refusing_since = at

    # -- requests ------------------------------------------------------

    def refuses(self, priority: int, draw: float) -> bool:
        """Counts a new request; returns whether to refuse it.

        Args:
            priority: of the request; 0 is the most urgent.
            draw: a random number from 0 to below 1.
        """
        self._counts[priority] = self._counts.get(priority, 0.0) + 1
        if not self.refused_share:
            return False
        return draw < self._find_share(priority)

    def _find_share(self, priority: int) -> float:
        """Returns the share of a priority's requests to refuse.

        Less urgent ones are refused first, as far as they suffice.
        """
        to_refuse = self.refused_share * sum(self._counts.values())
        less_urgent = sum(n for p, n in self._counts.items() if p > priority)
        return (to_refuse - less_urgent) / self._counts[priority]

    def _decay_counts(self, span: float) -> None:
        kept_share = max(1 - span / _COUNTS_SECONDS, 0.0)
        self._counts = {
            priority: count * kept_share
            for priority, count in self._counts.items()
            if count * kept_share >= _MIN_COUNT
        }

    # -- readiness -----------------------------------------------------

    def may_take_clients(
        self, fronts: int, with_room: int, news_age: float, now: float
    ) -> bool:
        """Whether the load balancer should send new clients here.

        False only while at least two thirds of the data centre's fronts have
        room, so that at most a third of them are not ready. Once not ready,
        the front stays so until it refuses nothing more.

        Args:
            fronts: number of fronts of the data centre; 0 if unknown.
            with_room: number of these that refuse nothing.
            news_age: age of both figures, in seconds.
            now: the current time, in seconds.
        """
        others_have_room = fronts > 0 and 3 * with_room >= 2 * fronts
        if not others_have_room or news_age > _MAX_NEWS_AGE_SECONDS:
            self._is_unready = False
        elif (
            self._refusing_since is not None
            and now - self._refusing_since >= _UNREADY_AFTER_SECONDS
        ):
            self._is_unready = True
        return not self._is_unready


def _find_use(first: LoadSample, last: LoadSample) -> float:
    """Returns the processor seconds per second between two samples."""
    used = last.processor_seconds - first.processor_seconds
    return used / (last.at - first.at)


def _share_over(used: float, limit: float) -> float:
    """Returns how far a use is between its bound (0) and its limit (1)."""
    if not limit:
        return 0.0
    bound = _MAX_STOCK_SHARE * limit
    return min(max((used - bound) / (limit - bound), 0.0), 1.0)
