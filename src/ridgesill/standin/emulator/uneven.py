"""Replays long prompts among short ones on engines of different speeds.

No sockets and no tasks: engines are batches of streams, the owner's decisions
are the real ones, and the reports of fronts reach them 0.2 s late. Two replays
of one plan have the same requests and slow periods.
"""

import collections
import heapq
import itertools
import operator
import random
import time
from collections.abc import Callable
from typing import Any

import attrs

from ridgesill.core.fleet.assignment import choose_holder, rank_want
from ridgesill.core.fleet.backlog import Backlogs
from ridgesill.core.fleet.copy_benefit import is_copy_sooner
from ridgesill.core.fleet.engine_pace import EnginePaces
from ridgesill.core.fleet.engines import Engine, HeldArtifact
from ridgesill.core.fleet.messages import WantArtifact
from ridgesill.core.fleet.pauses import make_pause_costs
from ridgesill.core.fleet.placement import (
    Demand,
    LoadTarget,
    PlacementSnapshot,
)
from ridgesill.core.pool.popularity import Popularity
from ridgesill.core.serving.load_reports import UpstreamCalls, add_calls
from ridgesill.core.serving.routes import EngineSpec, Model
from ridgesill.core.serving.stream_gaps import StreamGaps

PAUSE_GOAL = 0.3
_STEP_SECONDS = 0.005
_CHUNK_TOKENS, _CHUNK_SECONDS = 1024, 0.027
_EVENT_TOKENS = 7
_SHORT_TOKENS, _LONG_TOKENS = 646, 9190
_SHORT_GOAL, _LONG_GOAL = 0.52, 0.847
_LONG_SHARE = 16.5 / 435.4
_REPORT_SECONDS, _REPORT_DELAY_SECONDS = 0.1, 0.2
_LOAD_SECONDS = 0.3
# Requests that arrive earlier aren't counted: no engine is known yet.
WARM_UP_SECONDS = 5.0
_SLOTS = 8
_SPEC = EngineSpec(12, 1e6, _SLOTS, 9.0, (Model("m", 1.0, 1.0, 9999, 1.0),))


@attrs.frozen
class Arrival:
    """A request: time in seconds, adapter, prompt and answer in tokens."""

    at: float
    artifact: str
    tokens: int
    answer_tokens: int
    front: int

    @property
    def goal(self) -> float:
        """Seconds until the first event is late."""
        return _LONG_GOAL if self.tokens == _LONG_TOKENS else _SHORT_GOAL


@attrs.frozen
class Plan:
    """What all replays of a seed have in common.

    Attributes:
        speeds: speed of each engine.
        arrivals: the requests in order.
        slow_periods: by engine the times at which it begins to take 2.5 times
            as long for 0.6 s.
        fronts: number of fronts.
    """

    speeds: tuple[float, ...]
    arrivals: tuple[Arrival, ...]
    slow_periods: dict[int, list[float]]
    fronts: int


def make_plan(
    seed: int,
    engines: int = 16,
    seconds: float = 30.0,
    fronts: int = 85,
    rate: float = 9.3,
) -> Plan:
    """Returns requests for engines of which one in four is slow.

    Args:
        seed: decides all draws.
        engines: number of engines.
        seconds: time in which requests arrive.
        fronts: number of fronts.
        rate: requests a second for each engine.
    """
    rng = random.Random(seed)
    speeds = tuple(0.55 if n % 4 == 0 else 1.2 for n in range(engines))
    arrivals = []
    at = 0.0
    while (at := at + rng.expovariate(rate * engines)) < seconds:
        is_long = rng.random() < _LONG_SHARE
        arrivals.append(
            Arrival(
                at,
                f"m/a{rng.randrange(engines * 3)}",
                _LONG_TOKENS if is_long else _SHORT_TOKENS,
                rng.randint(60, 130),
                rng.randrange(fronts),
            )
        )
    slow_periods: dict[int, list[float]] = collections.defaultdict(list)
    for begin in range(2, int(seconds), 4):
        for number in rng.sample(range(engines), max(engines // 7, 1)):
            slow_periods[number].append(begin + rng.random())
    return Plan(speeds, tuple(arrivals), slow_periods, fronts)


@attrs.define(eq=False)
class _Request:
    """A request at an engine; `unread` and `left` are in tokens."""

    name: str
    arrival: Arrival
    rank: int
    unread: int
    left: int
    is_begun: bool = False
    gaps: StreamGaps = attrs.Factory(StreamGaps)
    events: list[float] = attrs.Factory(list)


@attrs.define(eq=False)
class _Batch:
    """The requests in progress on one engine, and its speed."""

    engine: Engine
    speed: float
    slow_from: list[float]
    requests: list[_Request] = attrs.Factory(list)

    def step(self, now: float) -> tuple[float, list[_Request]]:
        """Returns the end of a step that begins now, and its events' streams.

        A step generates one token for each stream and reads one chunk.
        """
        unread = [r for r in self.requests if r.unread]
        streams = [r for r in self.requests if not r.unread]
        seconds = _STEP_SECONDS
        if unread:
            # A prompt that was begun is read to its end.
            prompt = min(unread, key=lambda r: (not r.is_begun, r.rank))
            prompt.is_begun = True
            chunk = min(prompt.unread, _CHUNK_TOKENS)
            prompt.unread -= chunk
            seconds += _CHUNK_SECONDS * chunk / _CHUNK_TOKENS
            if not prompt.unread:
                streams.append(prompt)
        is_slow = any(at <= now < at + 0.6 for at in self.slow_from)
        now += seconds / self.speed * (2.5 if is_slow else 1.0)
        told = []
        for stream in streams:
            stream.left -= 1
            if not stream.events or stream.left % _EVENT_TOKENS == 0:
                stream.events.append(now)
                stream.gaps.record_data(b"\n\n", now)
                told.append(stream)
        self.requests = [r for r in self.requests if r.left > 0]
        return now, told


class _Snapshot(PlacementSnapshot):
    """Keeps the engine that was chosen for a load last."""

    chosen: LoadTarget | None = None

    def choose(self, *args: Any, **options: Any) -> LoadTarget | None:
        """Returns where to load an adapter."""
        self.chosen = super().choose(*args, **options)
        return self.chosen


@attrs.define
class Result:
    """What a replay measured.

    Attributes:
        streams: number of streams that arrived after the warm-up.
        paused: number of those with a pause beyond the goal.
        late: number of those whose first event was late.
        copies: number of adapters that were loaded.
        decisions: number of engines that were chosen.
        decision_seconds: processor time for these decisions.
        changes: changes of rounded paces.
        processor_seconds: processor time for learning the paces.
        reports: what each front reported, at each report.
        paces: the last published pace of each engine.
        pause_shares: the expected share of streams that pause too long beside a
            long prompt, by engine.
    """

    streams: int = 0
    paused: int = 0
    late: int = 0
    copies: int = 0
    decisions: int = 0
    decision_seconds: float = 0.0
    changes: int = 0
    processor_seconds: float = 0.0
    reports: list[dict[str, UpstreamCalls]] = attrs.Factory(list)
    paces: dict[str, float] = attrs.Factory(dict)
    pause_shares: dict[str, float] = attrs.Factory(dict)


class Replay:
    """One replay of a plan.

    Args:
        plan: the requests.
        by_pace: whether streams are reported and pauses count; otherwise paces
            are learned from the reading of long prompts.
    """

    def __init__(self, plan: Plan, *, by_pace: bool) -> None:
        self._plan = plan
        self._by_pace = by_pace
        self._paces = EnginePaces()
        self._backlogs = Backlogs(self._paces)
        self._popularity = Popularity(60.0)
        self._batches: dict[str, _Batch] = {}
        self._busy: dict[str, int] = {}
        self._calls: dict[int, dict[str, UpstreamCalls]] = {}
        self._events: list[tuple[float, int, Callable[..., None], Any]] = []
        self._count = itertools.count()
        self._stepping: set[str] = set()
        self.result = Result()
        rng = random.Random(1)
        for number, speed in enumerate(plan.speeds):
            engine = Engine(f"e{number}", "", "a", _SPEC, has_holder=True)
            engine.apply_resident({"m": 1})
            slow = plan.slow_periods.get(number, [])
            self._batches[engine.name] = _Batch(engine, speed, slow)
        engines = self._engines()
        for artifact in sorted({a.artifact for a in plan.arrivals}):
            for engine in rng.sample(engines, 2):
                engine.apply_resident({artifact: 1})

    def _engines(self) -> list[Engine]:
        return [batch.engine for batch in self._batches.values()]

    def _push(self, at: float, call: Callable[..., None], *args: Any) -> None:
        """Calls a function at a time, with that time and more arguments."""
        heapq.heappush(self._events, (at, next(self._count), call, args))

    def run(self) -> Result:
        """Plays all requests to their ends."""
        for arrival in self._plan.arrivals:
            self._push(arrival.at, self._arrive, arrival)
        end = self._plan.arrivals[-1].at
        for number in range(int(end / _REPORT_SECONDS)):
            self._push(number * _REPORT_SECONDS, self._collect)
        while self._events:
            now, _, call, args = heapq.heappop(self._events)
            call(now, *args)
        result = self.result
        for name in self._batches:
            result.paces[name] = self._paces.published_pace(name)
            share = self._paces.late_pause_share(name, PAUSE_GOAL)
            result.pause_shares[name] = share
        return result

    # -- owner ---------------------------------------------------------

    def _arrive(self, now: float, arrival: Arrival) -> None:
        name = f"r{next(self._count)}"
        want = WantArtifact(
            "s",
            arrival.artifact,
            0,
            goal=arrival.goal,
            request=name,
            tokens=arrival.tokens,
            data_centre="a",
        )
        engines = self._engines()
        began_at = time.process_time()
        goal = PAUSE_GOAL if self._by_pace else 0.0
        pauses = make_pause_costs(goal, engines, self._backlogs, self._busy)
        holder = choose_holder(
            want, engines, self._backlogs, now, self._busy, pauses
        )
        assert holder is not None
        snapshot = self._snapshot(now)
        is_copied = is_copy_sooner(
            want, holder, self._backlogs, now, lambda: snapshot, pauses
        )
        self.result.decisions += 1
        self.result.decision_seconds += time.process_time() - began_at
        if is_copied:
            target, loaded_at = snapshot.chosen, now + _LOAD_SECONDS
            assert target is not None
            self._push(loaded_at, self._load, target, want.artifact)
            self._push(loaded_at, self._send, want, arrival, target.engine)
        else:
            self._send(now, want, arrival, holder)

    def _snapshot(self, now: float) -> "_Snapshot":
        demand = Demand(
            self._busy,
            lambda name: {
                r.arrival.artifact for r in self._batches[name].requests
            },
            lambda _at: True,
            lambda name: self._backlogs.backlog_seconds(name, now),
        )
        return _Snapshot(self._popularity, self._engines(), demand, now)

    def _load(self, now: float, target: LoadTarget, artifact: str) -> None:
        """Replaces an adapter at the end of a load."""
        self.result.copies += 1
        target.engine.held.pop(target.victim, None)
        target.engine.held[artifact] = HeldArtifact(1, now, now)

    def _send(
        self, now: float, want: WantArtifact, arrival: Arrival, engine: Engine
    ) -> None:
        rank = rank_want(want, engine, self._backlogs)
        self._backlogs.record_sent(
            engine.name, want.request, want.tokens, rank, now
        )
        request = _Request(
            want.request, arrival, rank, want.tokens, arrival.answer_tokens
        )
        self._batches[engine.name].requests.append(request)
        if engine.name not in self._stepping:
            self._stepping.add(engine.name)
            self._step(now, engine.name)

    # -- engines and fronts --------------------------------------------

    def _step(self, now: float, engine: str) -> None:
        batch = self._batches[engine]
        if not batch.requests:
            self._stepping.discard(engine)
            return
        end, told = batch.step(now)
        for request in told:
            if len(request.events) == 1:
                self._push(end + 0.002, self._end_reading, engine, request.name)
            if request.left <= 0:
                self._record_end(engine, request)
        self._push(end, self._step, engine)

    def _end_reading(self, now: float, engine: str, request: str) -> None:
        self._backlogs.record_ended(engine, request, now, was_read=True)

    def _record_end(self, engine: str, request: _Request) -> None:
        arrival = request.arrival
        calls = request.gaps.make_calls()
        if calls is not None:
            earlier = self._calls.get(arrival.front, {})
            self._calls[arrival.front] = add_calls(earlier, {engine: calls})
        if arrival.at >= WARM_UP_SECONDS:
            events, result = request.events, self.result
            longest = max(b - a for a, b in itertools.pairwise(events))
            result.streams += 1
            result.paused += longest > PAUSE_GOAL
            result.late += events[0] > arrival.at + arrival.goal

    def _collect(self, now: float) -> None:
        """Passes on the reports of fronts, and how busy engines are."""
        reports, self._calls = list(self._calls.values()), {}
        busy = {name: len(b.requests) for name, b in self._batches.items()}
        self._push(now + _REPORT_DELAY_SECONDS, self._receive, reports, busy)

    def _receive(
        self,
        now: float,
        reports: list[dict[str, UpstreamCalls]],
        busy: dict[str, int],
    ) -> None:
        self._busy = busy
        self.result.reports += reports
        if not self._by_pace:
            return
        began_at = time.process_time()
        for report in reports:
            for engine, calls in report.items():
                self._paces.record_calls("s", engine, calls, 99, now)
        before = [self._paces.published_pace(name) for name in self._batches]
        self._paces.update({"s": list(self._batches)}, now)
        after = [self._paces.published_pace(name) for name in self._batches]
        self.result.processor_seconds += time.process_time() - began_at
        self.result.changes += sum(map(operator.ne, before, after))
