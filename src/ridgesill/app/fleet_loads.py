"""Loads artifacts on engines for the requests that need them."""

import asyncio
import math
from collections.abc import Sequence
from typing import Any

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
from ridgesill.core.fleet.load_shares import (
    LoadRound,
    LoadShares,
    SlotClaim,
    find_weights,
)
from ridgesill.core.fleet.load_starts import LoadStarts, is_hopeless
from ridgesill.core.fleet.messages import (
    COPY_IS_SOONER,
    ArtifactReady,
    WantArtifact,
)
from ridgesill.core.fleet.pauses import PauseCosts, make_pause_costs
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
from ridgesill.core.serving.customers import Customers
from ridgesill.core.serving.rank import rank_request

# How often places are looked for again for artifacts that wait for one, in
# seconds. Places become free through the reports of fronts, which arrive about
# ten times a second from each front.
_DISPATCH_INTERVAL_SECONDS = 0.02
# The shortest wait for an earlier owner's lease to expire, in seconds. A timer
# below the resolution of the clock would fire without any time passing.
_MIN_WAIT_SECONDS = 0.001
# The shortest pause between two searches for places that reports of fronts
# trigger, in seconds per engine. A report may free a place, which should be
# reused at once, but a search through many engines after each report of many
# fronts would use a good part of the owner's time.
_REPORT_PAUSE_SECONDS_PER_ENGINE = 0.0003
# Up to this many engines, a search costs no more than handling the report
# itself, so there is no pause.
_MAX_ENGINES_WITHOUT_PAUSE = 12
# Engines on which one artifact is tried before its requests are refused.
_MAX_LOAD_ATTEMPTS = 3
# After this many artifacts in a row found no place, the rest of the queue is
# skipped, because the others nearly always lack the same thing.
_MAX_MISSES = 3
# How long a request keeps waiting for a place after it can no longer meet its
# goal, in seconds. Requests that still get a place mostly get it within this
# time. Those that wait longer are mostly refused in the end, and the wait only
# costs their callers time.
_LATE_PATIENCE = 0.2
# After how long a caller may retry a request that found no place or no engine,
# in seconds. Running requests occupy places for 1 to 8 s, and engines that end
# are replaced after a few seconds.
_NO_PLACE_RETRY_AFTER_SECONDS = 1.5
# How often the log reports why artifacts wait for a place, in seconds.
_LOG_INTERVAL_SECONDS = 0.5
# How long after an adapter was assigned to a front's request the front may take
# to report its use, in seconds: one network round trip. The adapter isn't
# unloaded before that.
_REPORT_MARGIN_SECONDS = 0.03
# Time after which an assignment shows in the reports of all fronts that still
# run, in seconds; it covers several reports. A front that is gone reports
# nothing.
_MAX_REPORT_DELAY_SECONDS = 0.4


def _refuse_for(wait: float) -> ArtifactReady:
    """Returns a refusal to retry once orders are allowed.

    Args:
        wait: seconds until then; infinite if no engine is known.
    """
    if math.isinf(wait):
        # No engine is known, so the time of the next one is unknown too.
        return ArtifactReady(
            "", after=_NO_PLACE_RETRY_AFTER_SECONDS, reason="no_engine"
        )
    return ArtifactReady("", after=wait, reason="earlier_owner")


def _find_claim(
    waiting: ArtifactWaiters, load_round: LoadRound | None
) -> SlotClaim | None:
    """Returns which adapters may be evicted for an artifact; None for any."""
    if load_round is None or not is_adapter(waiting.want.artifact):
        return None
    return load_round.find_claim(waiting.customers())


def _is_blocked(claim: SlotClaim | None, load_round: LoadRound | None) -> bool:
    """Whether a customer above its fair share may start no load now."""
    if load_round is None or claim is None:
        return False
    return not load_round.may_start(claim)


def _find_load_rate(engines: Sequence[Engine]) -> float:
    """Returns the adapter loads a second of the store; 0 if unknown."""
    return max((e.spec.adapter_loads_per_second for e in engines), default=0.0)


@attrs.define(eq=False)
class _SharedLoad:
    """A load of one artifact that several requests may wait for.

    Attributes:
        waiting: the artifact and the requests that wait for it.
        answer: resolves to the answer for all of them.
        engine: the engine that loads it; None while it has no place.
        expected_at: when the load should be done, in seconds of the loop's
            clock.
    """

    waiting: ArtifactWaiters
    answer: asyncio.Future[ArtifactReady]
    engine: Engine | None = None
    expected_at: float = 0.0


class FleetLoads:
    """Provides artifacts on engines; requests for the same one share a load.

    Args:
        placement: chooses the engine for a load and what to unload for it.
        orders: sends orders to engines.
        owner: functions of the fleet's owner that loading needs.
        backlogs: prompts that engines have yet to read.
        health: which engines fail requests.
    """

    def __init__(
        self,
        placement: Placement,
        orders: EngineOrders,
        owner: OwnerCallbacks,
        backlogs: Backlogs | None = None,
        health: EngineHealth | None = None,
    ) -> None:
        self._placement = placement
        self._owner = owner
        self._backlogs = backlogs or Backlogs()
        self._health = health or EngineHealth()
        self._loop = asyncio.get_running_loop()
        # None where the configuration has no customers.
        self._shares: LoadShares | None = None
        self._load_starts = LoadStarts()
        self._positions: dict[tuple[str, str, str | None], int] = {}
        self._queue = WantQueue()
        self._shared_loads: dict[tuple[str, str, str | None], _SharedLoad] = {}
        self._logged_at = float("-inf")
        self._dispatched_at = float("-inf")
        self._dispatch_timer: asyncio.TimerHandle | None = None
        self.engine_loads = EngineLoads(orders, owner)
        self._upkeep = FleetUpkeep(
            placement,
            orders,
            self.engine_loads,
            owner,
            self._placement_snapshot,
        )

    def end(self) -> None:
        """Refuses all waiting requests; this node no longer owns the fleet."""
        for shared_load in self._shared_loads.values():
            if not shared_load.answer.done():
                refused = ArtifactReady("", after=0.1, reason="owner_changed")
                shared_load.answer.set_result(refused)
        self._shared_loads.clear()
        # The loads of customers while others own the fleet aren't known here.
        if self._shares is not None:
            self._shares = LoadShares(self._shares.weights)
        self._load_starts = LoadStarts()
        self._queue = WantQueue(self._shares)

    def apply_customers(self, customers: Customers | None) -> None:
        """Adopts the customers of a configuration; None if it has none."""
        if customers is None:
            self._shares = None
        elif self._shares is None:
            self._shares = LoadShares(find_weights(customers.quotas))
        else:
            self._shares.weights = find_weights(customers.quotas)
        self._queue.shares = self._shares

    def start_upkeep(self, service: str, models: tuple[str, ...]) -> None:
        """Loads missing base models, copies and new versions on engines."""
        self._upkeep.maintain(service, models)

    # -- requests ------------------------------------------------------

    async def provide_artifact(self, want: WantArtifact) -> ArtifactReady:
        """Returns once an engine holds the artifact, or with a refusal.

        An engine that holds the artifact is used at once, unless the request
        is served sooner by a copy that has yet to be loaded.
        """
        requested_at = self._loop.time()
        deadline = requested_at + want.patience
        self._record_use(want, requested_at)
        answer = ArtifactReady("", reason="no_time", after=0.5)
        wait_for_copy = False
        while True:
            now = self._loop.time()
            current = attrs.evolve(want, goal=want.goal - (now - requested_at))
            engines = self._usable_engines(want.service)
            pauses = self._make_pause_costs(want.service, engines)
            holder = choose_holder(
                current,
                engines,
                self._backlogs,
                now,
                pauses.busy,
                pauses,
            )
            if holder is not None:
                if wait_for_copy or not self._is_copy_sooner(
                    current, holder, pauses
                ):
                    return self._assign(current, holder)
                wait_for_copy = True
            if want.is_held:
                wait_for_copy = (
                    wait_for_copy or self._is_held_by_unusable_engine(want)
                )
                reason = COPY_IS_SOONER if wait_for_copy else "not_held"
                return ArtifactReady("", reason=reason)
            remaining = deadline - now
            if remaining <= 0:
                return answer
            wait = self._owner.orders_allowed_from() - self._loop.time()
            if wait > remaining:
                return _refuse_for(wait)
            if wait > 0:
                await asyncio.sleep(max(wait, _MIN_WAIT_SECONDS))
                continue
            seconds_to_spare = (
                requested_at + want.goal - self._min_seconds(want) - now
            )
            patience = max(seconds_to_spare, 0.0) + _LATE_PATIENCE
            waiting_want = attrs.evolve(want, patience=remaining)
            answer = await self._await_load(
                waiting_want, min(remaining, patience)
            )
            if answer.reason in ("owner_changed", "no_place"):
                return answer
            if not answer.upstream:
                await asyncio.sleep(_DISPATCH_INTERVAL_SECONDS)

    def _record_use(self, want: WantArtifact, now: float) -> None:
        if self._shares is not None and is_adapter(want.artifact):
            self._shares.record_use(want.artifact, want.customer, now)

    def _usable_engines(self, service: str) -> list[Engine]:
        """Returns the engines of a service that accept requests and work.

        An engine that has asked most fronts to pause is full: an artifact
        loaded there would serve few requests, and late. Such engines are
        returned only if all engines of the service have asked for a pause.
        """
        engines = self._owner.list_engines(service)
        not_resting = [e for e in engines if not self._owner.is_resting(e.name)]
        engines = not_resting or engines
        engine_names = [engine.name for engine in engines]
        fronts = self._owner.count_fronts()
        ejected = self._health.find_ejected(
            engine_names, fronts, self._loop.time()
        )
        return [engine for engine in engines if engine.name not in ejected]

    def _is_held_by_unusable_engine(self, want: WantArtifact) -> bool:
        """Whether an engine that gets no requests now holds the artifact."""
        return bool(find_holders(want, self._owner.list_engines(want.service)))

    def _make_pause_costs(
        self, service: str, engines: Sequence[Engine]
    ) -> PauseCosts:
        """Returns what pauses cost on the engines of a service now."""
        return make_pause_costs(
            self._owner.pause_goal(service),
            engines,
            self._backlogs,
            self._owner.requests_in_progress(),
        )

    def _is_copy_sooner(
        self, want: WantArtifact, holder: Engine, pauses: PauseCosts
    ) -> bool:
        """Whether a copy would serve the request better than the holder."""
        now = self._loop.time()
        if now < self._owner.orders_allowed_from() or not is_adapter(
            want.artifact
        ):
            return False
        return is_copy_sooner(
            want,
            holder,
            self._backlogs,
            now,
            lambda: self._placement_snapshot(want.service),
            pauses,
        )

    def _min_seconds(self, want: WantArtifact) -> float:
        """Returns the expected seconds from a load order to the first event."""
        return LOAD_SECONDS + self._backlogs.mean_read_seconds(want.tokens)

    def _assign(self, want: WantArtifact, engine: Engine) -> ArtifactReady:
        """Assigns a request to an engine that holds the artifact."""
        now = self._loop.time()
        rank = rank_want(want, engine, self._backlogs)
        first_seconds = predict_first_event(want, engine, self._backlogs, now)
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
            first_seconds=first_seconds,
        )

    async def _await_load(
        self, want: WantArtifact, seconds: float
    ) -> ArtifactReady:
        now = self._loop.time()
        if self._is_hopeless(want):
            return self._refuse_for_place(want)
        shared_load = self._get_or_create_load(want, now)
        waiter = make_waiter(want, self._backlogs, now)
        waiting = shared_load.waiting
        waiting.waiters.append(waiter)
        if shared_load.engine is not None:
            self._reserve_backlog(shared_load, waiter, now)
        self._dispatch()
        try:
            return await asyncio.wait_for(
                asyncio.shield(shared_load.answer), seconds
            )
        except TimeoutError:
            if waiting.failed_loads:
                return ArtifactReady("", after=0.5, reason="load_too_slow")
            return self._refuse_for_place(want)
        finally:
            waiting.waiters.remove(waiter)
            self._backlogs.release(want.request)
            if not waiting.waiters and waiting in self._queue:
                self._finish(
                    shared_load, ArtifactReady("", reason="not_wanted")
                )

    def _is_hopeless(self, want: WantArtifact) -> bool:
        """Whether the load of an artifact certainly ends too late."""
        shared_load = self._shared_loads.get(want.load_key)
        is_loading = shared_load is not None and shared_load.engine is not None
        if self._shares is None or is_loading or not is_adapter(want.artifact):
            return False
        engines = self._owner.list_engines(want.service)
        rate = _find_load_rate(engines)
        return is_hopeless(
            self._count_ahead(want) if rate > 0 else 0,
            rate,
            want.patience,
            is_cached=any(e.is_cached_locally(want.artifact) for e in engines),
        )

    def _count_ahead(self, want: WantArtifact) -> int:
        """Returns how many artifacts are loaded before that of a request."""
        now = self._loop.time()
        shared_load = self._shared_loads.get(want.load_key)
        if shared_load is not None and shared_load.waiting.waiters:
            waiting = shared_load.waiting
        else:
            waiter = make_waiter(want, self._backlogs, now)
            waiting = ArtifactWaiters(want, now, [waiter])
        load_round = self._make_round(want.service)
        if load_round is None:
            return 0
        return self._queue.count_ahead(waiting, load_round, now)

    def _refuse_for_place(self, want: WantArtifact) -> ArtifactReady:
        """Returns a refusal to retry once a slot should be free."""
        after = _NO_PLACE_RETRY_AFTER_SECONDS
        if self._shares is not None:
            # The position at the latest search for slots, which is 20 ms old
            # at most; ranking all entries for each refusal takes milliseconds.
            key = want.load_key
            ahead = self._positions.get(key, len(self._queue))
            after = self._load_starts.retry_after(ahead, self._loop.time())
        return ArtifactReady("", after=after, reason="no_place")

    def _get_or_create_load(
        self, want: WantArtifact, now: float
    ) -> _SharedLoad:
        """Returns the load that requests for the same artifact share."""
        key = want.load_key
        shared_load = self._shared_loads.get(key)
        if shared_load is None:
            waiting = ArtifactWaiters(want, now)
            shared_load = _SharedLoad(waiting, self._loop.create_future())
            self._shared_loads[key] = shared_load
            self._queue.add(waiting)
        shared_load.waiting.avoid.update(want.avoid)
        return shared_load

    def _finish(self, shared_load: _SharedLoad, answer: ArtifactReady) -> None:
        """Ends a shared load with an answer to all requests waiting for it."""
        want = shared_load.waiting.want
        key = want.load_key
        if self._shared_loads.get(key) is shared_load:
            del self._shared_loads[key]
        self._queue.discard(shared_load.waiting)
        if not shared_load.answer.done():
            shared_load.answer.set_result(answer)

    # -- places --------------------------------------------------------

    def dispatch(self) -> None:
        """Assigns free places to artifacts that wait for one.

        Called when a place may have become free.
        """
        if len(self._queue):
            self._dispatch()

    def handle_report(self) -> None:
        """Assigns places that a report of a front has freed.

        Does so at most once per `_REPORT_PAUSE_SECONDS_PER_ENGINE` for each
        engine.
        """
        engines = len(self._placement.engines)
        pause = _REPORT_PAUSE_SECONDS_PER_ENGINE * engines
        since = self._loop.time() - self._dispatched_at
        if engines <= _MAX_ENGINES_WITHOUT_PAUSE or since >= pause:
            self.dispatch()

    def _dispatch_later(self) -> None:
        if self._dispatch_timer is None:
            self._dispatch_timer = self._loop.call_later(
                _DISPATCH_INTERVAL_SECONDS, self._dispatch_again
            )

    def _dispatch_again(self) -> None:
        self._dispatch_timer = None
        self.dispatch()

    def _dispatch(self) -> None:
        now = self._dispatched_at = self._loop.time()
        if now < self._owner.orders_allowed_from():
            return
        placement_snapshots: dict[str, PlacementSnapshot] = {}
        rounds: dict[str, LoadRound | None] = {}
        misses = 0
        ranked = self._queue.ranked(now)
        self._positions = {
            each.want.load_key: position for position, each in enumerate(ranked)
        }
        for waiting in ranked:
            service = waiting.want.service
            if service not in placement_snapshots:
                placement_snapshots[service] = self._placement_snapshot(service)
                rounds[service] = self._make_round(service)
            load_round = rounds[service]
            claim = _find_claim(waiting, load_round)
            if _is_blocked(claim, load_round):
                continue
            choice = self._choose_engine(
                waiting, placement_snapshots[service], claim
            )
            if choice is not None:
                self._start_load(waiting, choice, load_round)
                placement_snapshots[service].invalidate_engine(choice.engine)
            elif load_round is not None and claim is not None:
                # Engines that are avoided concern this artifact alone.
                if not waiting.avoid and waiting.can_meet_goal(now):
                    load_round.record_without_slot(claim)
            else:
                misses += 1
                if misses >= _MAX_MISSES:
                    break
        if len(self._queue):
            self._log_misses(placement_snapshots, now)
            self._dispatch_later()

    def _make_round(self, service: str) -> LoadRound | None:
        """Returns who may start loads now; None without customers."""
        if self._shares is None:
            return None
        engines = self._owner.list_engines(service)
        return LoadRound(
            self._shares,
            self._queue.waiting_customers(),
            _find_load_rate(engines),
            sum(len(engine.loading) for engine in engines),
            self._loop.time(),
        )

    def _describe_first(self, service: str, now: float) -> dict[str, Any]:
        """Returns whose artifact waits first, where there are customers."""
        if self._shares is None:
            return {}
        ranked = self._queue.ranked(now)
        first = next((w for w in ranked if w.want.service == service), None)
        if first is None:
            return {}
        return {
            "customer": min(first.customers()),
            "priority": first.priority(),
        }

    def _log_misses(
        self, placement_snapshots: dict[str, PlacementSnapshot], now: float
    ) -> None:
        """Logs why artifacts wait for a place, at most twice a second."""
        if now < self._logged_at + _LOG_INTERVAL_SECONDS:
            return
        self._logged_at = now
        for service, placement_snapshot in placement_snapshots.items():
            log_message(
                "fleet:no_place",
                service=service,
                waiting=len(self._queue),
                **self._describe_first(service, now),
                **placement_snapshot.describe(),
            )

    def _placement_snapshot(self, service: str) -> PlacementSnapshot:
        now = self._loop.time()
        demand = Demand(
            self._owner.requests_in_progress(),
            self._owner.artifacts_in_use,
            self._is_use_reported,
            lambda engine: self._backlogs.backlog_seconds(engine, now),
        )
        engines = self._usable_engines(service)
        # An engine with a request limit could use a new adapter for only a few
        # requests.
        unlimited = [e for e in engines if not self._owner.is_limited(e.name)]
        return self._placement.take_snapshot(unlimited or engines, demand, now)

    def _is_use_reported(self, assigned_at: float) -> bool:
        """Whether the fronts' reports include an assignment made at a time."""
        if self._owner.have_fronts_reported_since(
            assigned_at + _REPORT_MARGIN_SECONDS
        ):
            return True
        return self._loop.time() - assigned_at > _MAX_REPORT_DELAY_SECONDS

    def _choose_engine(
        self,
        waiting: ArtifactWaiters,
        placement_snapshot: PlacementSnapshot,
        claim: SlotClaim | None,
    ) -> LoadTarget | None:
        want = waiting.want
        engines = self._owner.list_engines(want.service)
        if not is_adapter(want.artifact):
            return self._placement.choose_for_model(
                want.artifact,
                [e for e in engines if want.accepts_software(e.software)],
                self._owner.requests_in_progress(),
                self._loop.time(),
            )
        avoid = waiting.avoid | {
            e.name for e in engines if not want.accepts_software(e.software)
        }
        if not waiting.can_meet_goal(self._loop.time()):
            avoid = avoid | placement_snapshot.crowded_engines()
        now = self._loop.time()
        pauses = self._make_pause_costs(
            want.service, placement_snapshot.engines
        )
        return placement_snapshot.choose(
            want.artifact,
            want.data_centre,
            avoid,
            lateness=lambda engine: expected_late_count(
                waiting, engine, self._backlogs, now, pauses
            ),
            claim=claim,
        )

    def _start_load(
        self,
        waiting: ArtifactWaiters,
        choice: LoadTarget,
        load_round: LoadRound | None,
    ) -> None:
        want = waiting.want
        if load_round is not None and is_adapter(want.artifact):
            load_round.record_started(waiting.customers())
        self._queue.discard(waiting)
        waiting.failed_loads += 1
        shared_load = self._shared_loads[want.load_key]
        now = self._loop.time()
        if now > waiting.asked_at:
            self._load_starts.record(now)
        shared_load.engine = choice.engine
        shared_load.expected_at = now + load_seconds(
            choice.engine, want.artifact
        )
        for waiter in waiting.waiters:
            self._reserve_backlog(shared_load, waiter, now)
        self.engine_loads.reserve(choice, want.artifact)
        self.engine_loads.spawn(self._run_load(shared_load, choice))

    def _reserve_backlog(
        self, shared_load: _SharedLoad, waiter: Waiter, now: float
    ) -> None:
        """Adds a prompt to the backlog of the engine that loads its adapter."""
        if shared_load.engine is None:
            return
        name = shared_load.engine.name
        seconds = self._backlogs.read_seconds(name, waiter.tokens)
        at = max(shared_load.expected_at, now)
        rank = rank_request(seconds, waiter.goal_at - at)
        self._backlogs.reserve(name, waiter.request, waiter.tokens, rank, at)

    async def _run_load(
        self, shared_load: _SharedLoad, choice: LoadTarget
    ) -> None:
        waiting = shared_load.waiting
        want = waiting.want
        loaded = False
        try:
            loaded = await self.engine_loads.load(
                choice, want.artifact, want.version
            )
        except Exception:  # noqa: BLE001 - waiting requests must get an answer
            write_traceback()
        if loaded:
            held = choice.engine.held.get(want.artifact)
            version = held.version if held else 0
            self._finish(
                shared_load, ArtifactReady(choice.engine.name, version)
            )
        elif waiting.failed_loads >= _MAX_LOAD_ATTEMPTS or not waiting.waiters:
            failed = ArtifactReady("", after=0.5, reason="loads_failed")
            self._finish(shared_load, failed)
        elif not shared_load.answer.done():
            waiting.avoid.add(choice.engine.name)
            shared_load.engine = None
            for waiter in waiting.waiters:
                self._backlogs.release(waiter.request)
            self._queue.add(waiting)
        self.dispatch()
