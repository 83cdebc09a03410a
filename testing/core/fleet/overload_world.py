"""Replay of a plain service under the owner's overload control.

Upstreams with slots and bounded queues, fronts that admit the shares of the
owner's last news, and reports and news with delays; time is simulated.
"""

import collections
import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from typing import Any

import attrs

from ridgesill.core.fleet.messages import ServiceNews, Upstream
from ridgesill.core.fleet.overload import OverloadControl
from ridgesill.core.fleet.use_reports import Sent
from ridgesill.core.serving.load_reports import (
    RequestClass,
    UpstreamCalls,
    add_calls,
)
from ridgesill.core.serving.rates import RateUse, add_uses

SERVICE_SECONDS = 0.0686
GOAL = 0.342
_QUEUE = 24
_TICK_SECONDS = 0.1


@attrs.define(eq=False)
class PlainUpstream:
    """An upstream with six slots and a queue.

    Attributes:
        record: what the owner knows of it.
        factor: time of a call, as a multiple of `SERVICE_SECONDS`.
        mode: `ok`, `resets` all calls, or `hangs` and answers none.
        running: number of calls that hold a slot.
        waiting: calls in the queue.
    """

    record: Upstream
    factor: float = 1.0
    mode: str = "ok"
    running: int = 0
    waiting: collections.deque[Any] = attrs.Factory(collections.deque)

    @property
    def in_progress(self) -> int:
        """Number of calls that are in progress."""
        return self.running + len(self.waiting)

    @property
    def is_full(self) -> bool:
        """Whether it rejects calls."""
        return self.in_progress >= self.record.slots + _QUEUE


class OverloadWorld:
    """Fronts, upstreams and an owner.

    Args:
        fronts: number of fronts.
        upstreams: number of upstreams.
        seed: seed of all draws.
    """

    def __init__(
        self, fronts: int = 59, upstreams: int = 4, seed: int = 1
    ) -> None:
        self.now = 0.0
        self.fronts = fronts
        self.rng = random.Random(seed)
        self.upstreams = {
            f"u{n}": PlainUpstream(Upstream(f"u{n}", "s", f"h{n}", "a", 6))
            for n in range(upstreams)
        }
        self.control = OverloadControl(0.0)
        self.control.set_services({"s": GOAL}, {})
        self.load: dict[RequestClass, float] = {RequestClass("s"): 200.0}
        self.loses_reports = False
        self.report_delay = 0.1
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.news = [ServiceNews()] * fronts
        self._next_probe_at = 0.0
        self._calls: list[dict[str, UpstreamCalls]] = [{} for _ in self.news]
        self._offers: list[dict[str, RateUse]] = [{} for _ in self.news]
        self._events: list[tuple[float, int, Callable[..., None], Any]] = []
        self._order = itertools.count()
        self._update({})
        self._at(0.0, self._tick)
        for front in range(fronts):
            self._at(self.rng.random() * _TICK_SECONDS, self._report, front)
        self._schedule_arrival()

    def _at(self, time: float, work: Callable[..., None], *args: Any) -> None:
        heapq.heappush(self._events, (time, next(self._order), work, args))

    def run(self, seconds: float) -> None:
        """Plays for some time."""
        until = self.now + seconds
        while self._events[0][0] <= until:
            self.now, _, work, args = heapq.heappop(self._events)
            work(*args)
        self.now = until

    def restart(self, name: str) -> None:
        """Restarts an upstream, which gets another name."""
        lost = self.upstreams.pop(name)
        record = attrs.evolve(lost.record, name=f"{name}-2")
        self.upstreams[record.name] = PlainUpstream(record)
        self._update({n: u.in_progress for n, u in self.upstreams.items()})

    def _schedule_arrival(self) -> None:
        total = sum(self.load.values())
        self._at(self.now + self.rng.expovariate(total), self._arrive)

    def _arrive(self) -> None:
        classes, weights = zip(*self.load.items(), strict=True)
        (one,) = self.rng.choices(classes, weights)
        front = self.rng.randrange(self.fronts)
        state = self.news[front].shares.get(one.key)
        is_admitted = state is None or self.rng.random() < state.share
        offers = {one.key: RateUse(int(is_admitted), 1)}
        self._offers[front] = add_uses(self._offers[front], offers)
        self.outcomes[f"offered {one.customer}"] += 1
        if is_admitted:
            self._send(front, one)
        else:
            self.outcomes["refused"] += 1
        self._schedule_arrival()

    def _choose(self) -> PlainUpstream:
        """Returns the upstream for a call: two probes a second, or a usable."""
        states = self.control.load_states()
        usable = [n for n in self.upstreams if not states[n].is_ejected]
        ejected = self.upstreams.keys() - usable
        if ejected and self.now >= self._next_probe_at:
            self._next_probe_at = self.now + 0.5
            return self.upstreams[self.rng.choice(sorted(ejected))]
        pair = [self.upstreams[n] for n in self.rng.choices(usable, k=2)]
        return min(pair, key=lambda u: u.in_progress)

    def _send(self, front: int, one: RequestClass) -> None:
        upstream = self._choose()
        if upstream.mode == "resets":
            self._add(front, upstream, UpstreamCalls(failed=1))
        elif upstream.is_full:
            self.outcomes["rejected"] += 1
            self._add(front, upstream, UpstreamCalls(rejected=1))
        else:
            upstream.waiting.append((front, one, self.now))
            self._start(upstream)

    def _start(self, upstream: PlainUpstream) -> None:
        while upstream.waiting and upstream.running < upstream.record.slots:
            upstream.running += 1
            call = upstream.waiting.popleft()
            end = self.now + SERVICE_SECONDS * upstream.factor
            self._at(end, self._end, upstream, *call)

    def _end(
        self,
        upstream: PlainUpstream,
        front: int,
        one: RequestClass,
        sent_at: float,
    ) -> None:
        if upstream.mode == "hangs":
            return
        upstream.running -= 1
        self._start(upstream)
        if upstream.mode == "resets":
            self._add(front, upstream, UpstreamCalls(failed=1))
            return
        seconds = self.now - sent_at
        kind = "in_time" if seconds <= GOAL else "late"
        self.outcomes[kind] += 1
        self.outcomes[f"{kind} {one.customer}"] += 1
        self._add(front, upstream, UpstreamCalls(1, seconds))

    def _add(
        self, front: int, upstream: PlainUpstream, calls: UpstreamCalls
    ) -> None:
        name = upstream.record.name
        self.outcomes["failed"] += calls.failed
        self._calls[front] = add_calls(self._calls[front], {name: calls})

    def _report(self, front: int) -> None:
        """Sends a front's report, and gives it the owner's news."""
        sent = Sent({}, {}, 0.0, self._offers[front], self._calls[front])
        self._offers[front], self._calls[front] = {}, {}
        if not self.loses_reports:
            self._at(self.now + self.report_delay, self._receive, sent)
            news = self.control.make_news(self.now).get("s", ServiceNews())
            self._at(self.now + 0.05, self._apply, front, news)
        self._at(self.now + _TICK_SECONDS, self._report, front)

    def _receive(self, sent: Sent) -> None:
        span = self.report_delay + _TICK_SECONDS
        self.control.record(sent, span, self.now)

    def _apply(self, front: int, news: ServiceNews) -> None:
        self.news[front] = news

    def records(self) -> Iterable[Upstream]:
        """Returns the records of the upstreams, as the owner has them."""
        states = self.control.load_states()
        for name, upstream in self.upstreams.items():
            state = states.get(name)
            pace, is_ejected = attrs.astuple(state) if state else (1.0, False)
            yield attrs.evolve(
                upstream.record, pace=pace, is_ejected=is_ejected
            )

    def _tick(self) -> None:
        busy = {n: u.in_progress for n, u in self.upstreams.items()}
        self._at(self.now + self.report_delay, self._update, busy)
        self._at(self.now + _TICK_SECONDS, self._tick)

    def _update(self, busy: dict[str, int]) -> None:
        records = list(self.records())
        self.control.update(records, busy, self.fronts, self.now)

    @property
    def capacity(self) -> float:
        """The owner's estimate of the capacity, in calls a second."""
        return self.control.states()[0].capacity
