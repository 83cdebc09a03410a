"""Brings artifacts to engines for the requests that wait for them."""

import asyncio
import math

import attrs
from eliot import log_message, write_traceback

from ridgesill.app.engine_loads import EngineLoads, OwnerCallbacks
from ridgesill.app.engine_orders import EngineOrders
from ridgesill.app.fleet_upkeep import FleetUpkeep
from ridgesill.core.fleet.assignment import (
    choose_holder,
    find_holders,
    predict_first_event,
    rank_want,
)
from ridgesill.core.fleet.backlog import Backlogs
from ridgesill.core.fleet.copy_benefit import is_copy_sooner
from ridgesill.core.fleet.engine_capacity import is_adapter
from ridgesill.core.fleet.engines import Engine
from ridgesill.core.fleet.health import EngineHealth
from ridgesill.core.fleet.lateness import (
    expected_late_count,
    load_seconds,
    make_waiter,
)
from ridgesill.core.fleet.messages import (
    COPY_IS_SOONER,
    ArtifactReady,
    WantArtifact,
)
from ridgesill.core.fleet.placement import (
    Demand,
    LoadTarget,
    Placement,
    PlacementSnapshot,
)
from ridgesill.core.fleet.wants import (
    LOAD_SECONDS,
    ArtifactWaiters,
    Waiter,
    WantQueue,
)
from ridgesill.core.serving.rank import rank_request

# How often wants without a place are looked at again, in seconds: places come
# free with what fronts report, some ten times a second each.
_RETRY_SECONDS = 0.02
# The shortest wait for an earlier owner's lease, in seconds: a timer that is
# shorter than the clock's resolution ends in the moment in which it began.
_LEAST_WAIT = 0.001
# The same when fronts report, in seconds for each engine. What a report frees
# is given on at once, but a look at many engines takes a good part of the
# owner's time where many fronts report. A look at few costs no more than the
# report itself.
_REPORT_SECONDS_AN_ENGINE = 0.0003
_FEW_ENGINES = 12
# Engines that one want tries.
_TRIES = 3
# Wants in a row that find no place before the rest isn't looked at: what one
# lacks, the others nearly always lack too.
_MISSES_MOST = 3
# How long a want goes on waiting for a place once it can't be in time, in
# seconds: what has one is handed on within that, and what waits longer is
# mostly refused in the end, for which callers pay by the time that it took.
_LATE_PATIENCE = 0.2
# When one that found no place, or no engine, may come back, in seconds: answers
# hold places for 1 to 8 s, and engines that end are back after a few.
_NO_PLACE_AFTER = 1.5
# How often the log says why wants wait, in seconds.
_TELL_SECONDS = 0.5
# An adapter that was handed to a front doesn't give way before the front has
# had the time to report its use, in seconds: the way there and back.
_REPORT_MARGIN = 0.03
# A front that is gone reports nothing; what was handed out longer ago than
# this shows in the reports of those that are there. Seconds; several reports.
_SETTLE_SECONDS = 0.4


def _refuse_until(wait: float) -> ArtifactReady:
    """Returns a refusal for the seconds until orders may be given."""
    if math.isinf(wait):
        # No engine is known, so that nobody can say when one will be.
        return ArtifactReady("", after=_NO_PLACE_AFTER, reason="no_engine")
    return ArtifactReady("", after=wait, reason="earlier_owner")


@attrs.define(eq=False)
class _Loading:
    """What requests wait for, and their answer.

    Attributes:
        engine: that loads it; None while it has no place.
        loaded_at: when it should be there.
    """

    waiting: ArtifactWaiters
    answer: asyncio.Future[ArtifactReady]
    engine: Engine | None = None
    loaded_at: float = 0.0


class FleetLoads:
    """Answers wants by loads, one for all who want the same.

    Args:
        placement: which engine loads and what gives way.
        orders: gives orders to engines.
        view: what it needs to know of the owner.
        backlogs: what engines have yet to read.
        health: which engines fail requests.
    """

    def __init__(
        self,
        placement: Placement,
        orders: EngineOrders,
        view: OwnerCallbacks,
        backlogs: Backlogs | None = None,
        health: EngineHealth | None = None,
    ) -> None:
        self._placement = placement
        self._view = view
        self._backlogs = backlogs or Backlogs()
        self._health = health or EngineHealth()
        self._loop = asyncio.get_running_loop()
        self._queue = WantQueue()
        self._loadings: dict[tuple[str, str], _Loading] = {}
        self._told_at = float("-inf")
        self._dispatched_at = float("-inf")
        self._dispatching: asyncio.TimerHandle | None = None
        self.engine_loads = EngineLoads(orders, view)
        self._upkeep = FleetUpkeep(
            placement, orders, self.engine_loads, view, self._placement_snapshot
        )

    def end(self) -> None:
        """Ends all wants: this node owns the fleet no more."""
        for loading in self._loadings.values():
            if not loading.answer.done():
                refused = ArtifactReady("", after=0.1, reason="owner_changed")
                loading.answer.set_result(refused)
        self._loadings.clear()
        self._queue = WantQueue()

    def start_upkeep(self, service: str, models: tuple[str, ...]) -> None:
        """Brings base models, copies and new versions to engines."""
        self._upkeep.maintain(service, models)

    # -- wants ---------------------------------------------------------

    async def provide_artifact(self, want: WantArtifact) -> ArtifactReady:
        """Returns once an engine holds what is wanted, or none will."""
        asked_at = self._loop.time()
        deadline = asked_at + want.patience
        answer = ArtifactReady("", reason="no_time", after=0.5)
        copied = False
        while True:
            now = self._loop.time()
            current = attrs.evolve(want, goal=want.goal - (now - asked_at))
            engines = self._engines_in_use(want.service)
            holder = choose_holder(
                current,
                engines,
                self._backlogs,
                now,
                self._view.requests_in_progress(),
            )
            if holder is not None:
                if copied or not self._is_copy_sooner(current, holder):
                    return self._assign(current, holder)
                copied = True
            if want.is_held:
                copied = copied or self._is_held_out_of_use(want)
                reason = COPY_IS_SOONER if copied else "not_held"
                return ArtifactReady("", reason=reason)
            left = deadline - now
            if left <= 0:
                return answer
            wait = self._view.orders_allowed_from() - self._loop.time()
            if wait > left:
                return _refuse_until(wait)
            if wait > 0:
                await asyncio.sleep(max(wait, _LEAST_WAIT))
                continue
            late_in = asked_at + want.goal - self._least_seconds(want) - now
            patience = max(late_in, 0.0) + _LATE_PATIENCE
            answer = await self._await_load(want, min(left, patience))
            if answer.reason in ("owner_changed", "no_place"):
                return answer
            if not answer.upstream:
                await asyncio.sleep(_RETRY_SECONDS)

    def _engines_in_use(self, service: str) -> list[Engine]:
        """Returns the engines of a service that take requests and don't fail.

        One that rests for most fronts is full: what is loaded there serves
        few, and not soon. Where all of them rest, none is better.
        """
        engines = self._view.list_engines(service)
        awake = [e for e in engines if not self._view.is_resting(e.name)]
        engines = awake or engines
        names = [engine.name for engine in engines]
        fronts = self._view.count_fronts()
        out = self._health.find_ejected(names, fronts, self._loop.time())
        return [engine for engine in engines if engine.name not in out]

    def _is_held_out_of_use(self, want: WantArtifact) -> bool:
        """Whether only engines hold something that get no requests now."""
        return bool(find_holders(want, self._view.list_engines(want.service)))

    def _is_copy_sooner(self, want: WantArtifact, holder: Engine) -> bool:
        """Whether a request should wait for a copy rather than a holder."""
        now = self._loop.time()
        if now < self._view.orders_allowed_from() or not is_adapter(
            want.artifact
        ):
            return False
        return is_copy_sooner(
            want,
            holder,
            self._backlogs,
            now,
            lambda: self._placement_snapshot(want.service),
        )

    def _least_seconds(self, want: WantArtifact) -> float:
        """Returns what the first event takes from the order to load on."""
        return LOAD_SECONDS + self._backlogs.mean_read_seconds(want.tokens)

    def _assign(self, want: WantArtifact, engine: Engine) -> ArtifactReady:
        """Sends a request to an engine that holds what it needs."""
        now = self._loop.time()
        rank = rank_want(want, engine, self._backlogs)
        first = predict_first_event(want, engine, self._backlogs, now)
        seconds = self._backlogs.read_seconds(engine.name, want.tokens)
        self._backlogs.record_sent(
            engine.name, want.request, want.tokens, rank, now
        )
        self._health.record_assigned(engine.name, now)
        held = engine.held[want.artifact]
        held.assigned_at = now
        return ArtifactReady(
            engine.name,
            held.version,
            read_seconds=seconds,
            first_seconds=first,
        )

    async def _await_load(
        self, want: WantArtifact, seconds: float
    ) -> ArtifactReady:
        now = self._loop.time()
        loading = self._join(want, now)
        waiter = make_waiter(want, self._backlogs, now)
        waiting = loading.waiting
        waiting.waiters.append(waiter)
        if loading.engine is not None:
            self._promise(loading, waiter, now)
        self._dispatch()
        try:
            return await asyncio.wait_for(
                asyncio.shield(loading.answer), seconds
            )
        except TimeoutError:
            if waiting.failed_loads:
                return ArtifactReady("", after=0.5, reason="load_too_slow")
            return ArtifactReady("", after=_NO_PLACE_AFTER, reason="no_place")
        finally:
            waiting.waiters.remove(waiter)
            self._backlogs.release(want.request)
            if not waiting.waiters and waiting in self._queue:
                self._finish(loading, ArtifactReady("", reason="not_wanted"))

    def _join(self, want: WantArtifact, now: float) -> _Loading:
        """Returns what the requests for the same artifact wait for."""
        key = (want.service, want.artifact)
        loading = self._loadings.get(key)
        if loading is None:
            waiting = ArtifactWaiters(want, now)
            loading = _Loading(waiting, self._loop.create_future())
            self._loadings[key] = loading
            self._queue.add(waiting)
        loading.waiting.avoid.update(want.avoid)
        return loading

    def _finish(self, loading: _Loading, answer: ArtifactReady) -> None:
        """Answers all who wait."""
        want = loading.waiting.want
        key = (want.service, want.artifact)
        if self._loadings.get(key) is loading:
            del self._loadings[key]
        self._queue.discard(loading.waiting)
        if not loading.answer.done():
            loading.answer.set_result(answer)

    # -- places --------------------------------------------------------

    def dispatch(self) -> None:
        """Gives places to the wants that wait; called when one may be free."""
        if len(self._queue):
            self._dispatch()

    def handle_report(self) -> None:
        """Looks whether what fronts have just told frees a place."""
        engines = len(self._placement.engines)
        pause = _REPORT_SECONDS_AN_ENGINE * engines
        since = self._loop.time() - self._dispatched_at
        if engines <= _FEW_ENGINES or since >= pause:
            self.dispatch()

    def _dispatch_later(self) -> None:
        if self._dispatching is None:
            self._dispatching = self._loop.call_later(
                _RETRY_SECONDS, self._dispatch_again
            )

    def _dispatch_again(self) -> None:
        self._dispatching = None
        self.dispatch()

    def _dispatch(self) -> None:
        now = self._dispatched_at = self._loop.time()
        if now < self._view.orders_allowed_from():
            return
        placement_snapshots: dict[str, PlacementSnapshot] = {}
        misses = 0
        for waiting in self._queue.ranked(now):
            service = waiting.want.service
            if service not in placement_snapshots:
                placement_snapshots[service] = self._placement_snapshot(service)
            choice = self._choose(waiting, placement_snapshots[service])
            if choice is None:
                misses += 1
                if misses >= _MISSES_MOST:
                    break
                continue
            self._begin_load(waiting, choice)
            placement_snapshots[service].invalidate_engine(choice.engine)
        if len(self._queue):
            self._tell_why(placement_snapshots, now)
            self._dispatch_later()

    def _tell_why(
        self, placement_snapshots: dict[str, PlacementSnapshot], now: float
    ) -> None:
        """Says at times why wants wait."""
        if now < self._told_at + _TELL_SECONDS:
            return
        self._told_at = now
        for service, placement_snapshot in placement_snapshots.items():
            log_message(
                "fleet:no_place",
                service=service,
                waiting=len(self._queue),
                **placement_snapshot.describe(),
            )

    def _placement_snapshot(self, service: str) -> PlacementSnapshot:
        now = self._loop.time()
        demand = Demand(
            self._view.requests_in_progress(),
            self._view.artifacts_in_use,
            self._is_settled,
            lambda engine: self._backlogs.backlog_seconds(engine, now),
        )
        engines = self._engines_in_use(service)
        # What a limited engine loads it could serve to few.
        unlimited = [e for e in engines if not self._view.is_limited(e.name)]
        return self._placement.take_snapshot(unlimited or engines, demand, now)

    def _is_settled(self, assigned_at: float) -> bool:
        """Whether what was handed out at a moment shows in fronts' reports."""
        if self._view.have_fronts_reported_since(assigned_at + _REPORT_MARGIN):
            return True
        return self._loop.time() - assigned_at > _SETTLE_SECONDS

    def _choose(
        self, waiting: ArtifactWaiters, placement_snapshot: PlacementSnapshot
    ) -> LoadTarget | None:
        want = waiting.want
        if not is_adapter(want.artifact):
            return self._placement.choose_for_model(
                want.artifact,
                self._view.list_engines(want.service),
                self._view.requests_in_progress(),
                self._loop.time(),
            )
        avoid = waiting.avoid
        if not waiting.can_meet_goal(self._loop.time()):
            avoid = avoid | placement_snapshot.crowded_engines()
        now = self._loop.time()
        return placement_snapshot.choose(
            want.artifact,
            want.data_centre,
            avoid,
            lateness=lambda engine: expected_late_count(
                waiting, engine, self._backlogs, now
            ),
        )

    def _begin_load(self, waiting: ArtifactWaiters, choice: LoadTarget) -> None:
        want = waiting.want
        self._queue.discard(waiting)
        waiting.failed_loads += 1
        loading = self._loadings[(want.service, want.artifact)]
        now = self._loop.time()
        loading.engine = choice.engine
        loading.loaded_at = now + load_seconds(choice.engine, want.artifact)
        for waiter in waiting.waiters:
            self._promise(loading, waiter, now)
        self.engine_loads.reserve(choice, want.artifact)
        self.engine_loads.spawn(self._bring(loading, choice))

    def _promise(self, loading: _Loading, waiter: Waiter, now: float) -> None:
        """Counts a prompt that goes to an engine once its load is done."""
        if loading.engine is None:
            return
        name = loading.engine.name
        seconds = self._backlogs.read_seconds(name, waiter.tokens)
        at = max(loading.loaded_at, now)
        rank = rank_request(seconds, waiter.goal_at - at)
        self._backlogs.reserve(name, waiter.request, waiter.tokens, rank, at)

    async def _bring(self, loading: _Loading, choice: LoadTarget) -> None:
        waiting = loading.waiting
        want = waiting.want
        loaded = False
        try:
            loaded = await self.engine_loads.load(
                choice, want.artifact, want.version
            )
        except Exception:  # noqa: BLE001 - those who wait must get an answer
            write_traceback()
        if loaded:
            held = choice.engine.held.get(want.artifact)
            version = held.version if held else 0
            self._finish(loading, ArtifactReady(choice.engine.name, version))
        elif waiting.failed_loads >= _TRIES or not waiting.waiters:
            failed = ArtifactReady("", after=0.5, reason="loads_failed")
            self._finish(loading, failed)
        elif not loading.answer.done():
            waiting.avoid.add(choice.engine.name)
            loading.engine = None
            for waiter in waiting.waiters:
                self._backlogs.release(waiter.request)
            self._queue.add(waiting)
        self.dispatch()
