"""Brings artifacts to engines for the requests that wait for them."""

import asyncio
from collections.abc import Callable
from typing import Any

import attrs
from eliot import log_message, write_traceback

from ridgesill.app.engine_orders import EngineOrders
from ridgesill.core.fleet.engines import (
    Engine,
    Held,
    Pending,
    is_adapter,
)
from ridgesill.core.fleet.messages import ArtifactReady, WantArtifact
from ridgesill.core.fleet.orders import Action, OrderVerdict
from ridgesill.core.fleet.placement import Choice, Demand, Placement, Survey
from ridgesill.core.fleet.wants import Waiter, Waiting, WantQueue

# What an adapter takes from the store while few are on their way (the users'
# second letter), and where it was lately (their protocol: ten times faster).
_LOAD_SECONDS = 0.25
_RELOAD_SECONDS = 0.025
# How often an engine is asked whether a load is done.
_POLL_SECONDS = 0.02
# An engine that waits for the runs of one artifact answers no other questions;
# a load there counts as done after this long.
_SURELY_LOADED_SECONDS = 0.4
_LOAD_MOST_SECONDS = 3.0
# How often a wait for the runs of an artifact is looked at, and how long it
# may last; the longest time-outs are 12 s.
_UNLOAD_POLL_SECONDS = 0.1
_UNLOAD_MOST_SECONDS = 15.0
# How often wants without a place are looked at again, in seconds: places come
# free with what fronts report, some ten times a second each.
_RETRY_SECONDS = 0.02
# Answers, or none, after which a load is given up: the engine is gone, cut off
# or follows another owner.
_FAILED = frozenset(
    (OrderVerdict.MISDIRECTED, OrderVerdict.FENCED, OrderVerdict.UNKNOWN)
)
# Engines that one want tries.
_TRIES = 3
# Wants in a row that find no place before the rest isn't looked at: what one
# lacks, the others nearly always lack too.
_MISSES_MOST = 3
# How often the log says why wants wait, in seconds.
_TELL_SECONDS = 0.5
# An adapter that was handed to a front doesn't give way before the front has
# had the time to report its use, in seconds: the way there and back.
_REPORT_MARGIN = 0.03
# A front that is gone reports nothing; what was handed out longer ago than
# this shows in the reports of those that are there. Seconds; several reports.
_SETTLE_SECONDS = 0.4
# How often copies are thought of, in seconds: all counts are looked at, and
# fronts report what they use a few times a second.
_SPREAD_SECONDS = 0.3
# How long before its first order an owner asks engines what they hold, in
# seconds: a report takes some milliseconds, and is asked for once.
_PREPARE_SECONDS = 0.3
# Replacements wait this long for requests on the old version to end, so that
# the engine isn't blocked by them.
_REPLACE_PATIENCE = 2.5


@attrs.define(eq=False)
class _Loading:
    """What requests wait for, and their answer."""

    waiting: Waiting
    answer: asyncio.Future[ArtifactReady]


@attrs.frozen
class LoadsView:
    """What loading needs to know of its owner.

    Attributes:
        engines: returns the engines of a service that may be ordered.
        busy: returns requests in progress by upstream.
        using: returns artifacts in use by upstream.
        heard_since: whether every front has reported after a moment.
        version: returns the oldest version of an artifact that may serve.
        tell: called with an engine whose holdings have changed.
        orders_from: returns from when orders are allowed.
    """

    engines: Callable[[str], list[Engine]]
    busy: Callable[[], dict[str, int]]
    using: Callable[[str], set[str]]
    heard_since: Callable[[float], bool]
    version: Callable[[str], int]
    tell: Callable[[Engine], None]
    orders_from: Callable[[], float]


class FleetLoads:
    """Answers wants by loads, one for all who want the same.

    Args:
        placement: which engine loads and what gives way.
        orders: gives orders to engines.
        view: what it needs to know of the owner.
    """

    def __init__(
        self, placement: Placement, orders: EngineOrders, view: LoadsView
    ) -> None:
        self._placement = placement
        self._orders = orders
        self._view = view
        self._loop = asyncio.get_running_loop()
        self._queue = WantQueue()
        self._loadings: dict[tuple[str, str], _Loading] = {}
        self._told_at = float("-inf")
        self._dispatching: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[Any]] = set()
        self._spread_at: dict[str, float] = {}
        self._replace_since: dict[tuple[str, str], float] = {}

    def end(self) -> None:
        """Ends all wants: this node owns the fleet no more."""
        for loading in self._loadings.values():
            if not loading.answer.done():
                refused = ArtifactReady("", after=0.1, reason="owner_changed")
                loading.answer.set_result(refused)
        self._loadings.clear()
        self._queue = WantQueue()

    # -- wants ---------------------------------------------------------

    async def want(self, want: WantArtifact) -> ArtifactReady:
        """Returns once an engine holds what is wanted, or none will."""
        deadline = self._loop.time() + want.patience
        answer = ArtifactReady("", reason="no_time", after=0.5)
        while True:
            ready = self._find_ready(want)
            if ready is not None:
                return ready
            left = deadline - self._loop.time()
            if left <= 0:
                return answer
            wait = self._view.orders_from() - self._loop.time()
            if wait > left:
                return ArtifactReady("", after=wait, reason="earlier_owner")
            if wait > 0:
                await asyncio.sleep(wait)
                continue
            answer = await self._await_load(want, left)
            if answer.upstream or answer.reason == "owner_changed":
                return answer
            await asyncio.sleep(_RETRY_SECONDS)

    def _find_ready(self, want: WantArtifact) -> ArtifactReady | None:
        for engine in self._view.engines(want.service):
            held = engine.held.get(want.artifact)
            if held is None or held.version < want.version:
                continue
            if engine.name not in want.avoid and not engine.draining:
                held.handed_at = self._loop.time()
                return ArtifactReady(engine.name, held.version)
        return None

    async def _await_load(
        self, want: WantArtifact, seconds: float
    ) -> ArtifactReady:
        now = self._loop.time()
        loading = self._join(want, now)
        waiter = Waiter(now + want.goal)
        waiting = loading.waiting
        waiting.waiters.append(waiter)
        self._dispatch()
        try:
            return await asyncio.wait_for(
                asyncio.shield(loading.answer), seconds
            )
        except TimeoutError:
            reason = "load_too_slow" if waiting.tries else "no_place"
            return ArtifactReady("", after=0.5, reason=reason)
        finally:
            waiting.waiters.remove(waiter)
            if not waiting.waiters and waiting in self._queue:
                self._finish(loading, ArtifactReady("", reason="not_wanted"))

    def _join(self, want: WantArtifact, now: float) -> _Loading:
        """Returns what the requests for the same artifact wait for."""
        key = (want.service, want.artifact)
        loading = self._loadings.get(key)
        if loading is None:
            waiting = Waiting(want, now)
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

    def _spawn(self, work: Any) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # -- places --------------------------------------------------------

    def dispatch(self) -> None:
        """Gives places to the wants that wait; called when one may be free."""
        if len(self._queue):
            self._dispatch()

    def _dispatch_later(self) -> None:
        if self._dispatching is None:
            self._dispatching = self._loop.call_later(
                _RETRY_SECONDS, self._dispatch_again
            )

    def _dispatch_again(self) -> None:
        self._dispatching = None
        self.dispatch()

    def _dispatch(self) -> None:
        now = self._loop.time()
        if now < self._view.orders_from():
            return
        surveys: dict[str, Survey] = {}
        misses = 0
        for waiting in self._queue.ranked(now):
            service = waiting.want.service
            if service not in surveys:
                surveys[service] = self._survey(service)
            choice = self._choose(waiting, surveys[service])
            if choice is None:
                misses += 1
                if misses >= _MISSES_MOST:
                    break
                continue
            self._begin_load(waiting, choice)
            surveys[service].note_chosen(choice.engine)
        if len(self._queue):
            self._tell_why(surveys, now)
            self._dispatch_later()

    def _tell_why(self, surveys: dict[str, Survey], now: float) -> None:
        """Says at times why wants wait."""
        if now < self._told_at + _TELL_SECONDS:
            return
        self._told_at = now
        for service, survey in surveys.items():
            log_message(
                "fleet:no_place",
                service=service,
                waiting=len(self._queue),
                **survey.describe(),
            )

    def _survey(self, service: str) -> Survey:
        demand = Demand(self._view.busy(), self._view.using, self._is_settled)
        return self._placement.survey(
            self._view.engines(service), demand, self._loop.time()
        )

    def _is_settled(self, handed_at: float) -> bool:
        """Whether what was handed out at a moment shows in fronts' reports."""
        if self._loop.time() - handed_at > _SETTLE_SECONDS:
            return True
        return self._view.heard_since(handed_at + _REPORT_MARGIN)

    def _choose(self, waiting: Waiting, survey: Survey) -> Choice | None:
        want = waiting.want
        if not is_adapter(want.artifact):
            return self._placement.choose_for_model(
                want.artifact,
                self._view.engines(want.service),
                self._view.busy(),
                self._loop.time(),
            )
        return survey.choose(want.artifact, want.data_centre, waiting.avoid)

    def _begin_load(self, waiting: Waiting, choice: Choice) -> None:
        want = waiting.want
        self._queue.discard(waiting)
        waiting.tries += 1
        self._reserve(choice, want.artifact)
        self._spawn(
            self._bring(self._loadings[(want.service, want.artifact)], choice)
        )

    async def _bring(self, loading: _Loading, choice: Choice) -> None:
        waiting = loading.waiting
        want = waiting.want
        loaded = False
        try:
            loaded = await self._load(choice, want.artifact, want.version)
        except Exception:  # noqa: BLE001 - those who wait must get an answer
            write_traceback()
        if loaded:
            held = choice.engine.held.get(want.artifact)
            version = held.version if held else 0
            self._finish(loading, ArtifactReady(choice.engine.name, version))
        elif waiting.tries >= _TRIES or not waiting.waiters:
            failed = ArtifactReady("", after=0.5, reason="loads_failed")
            self._finish(loading, failed)
        elif not loading.answer.done():
            waiting.avoid.add(choice.engine.name)
            self._queue.add(waiting)
        self.dispatch()

    # -- loads ---------------------------------------------------------

    def _reserve(self, choice: Choice, artifact: str) -> None:
        """Takes a place, so that no other choice counts on it."""
        engine = choice.engine
        engine.loading[artifact] = Pending(choice.victim)
        if choice.victim:
            self._let_go(engine, choice.victim)

    def _let_go(self, engine: Engine, artifact: str) -> None:
        """Has fronts send no more requests for what is to be unloaded."""
        engine.held.pop(artifact, None)
        engine.leaving[artifact] = self._loop.time()
        self._view.tell(engine)

    async def _load(self, choice: Choice, artifact: str, version: int) -> bool:
        """Unloads what gives way, loads, and waits until it is there."""
        engine = choice.engine
        try:
            if choice.victim and not await self._unload(engine, choice.victim):
                return False
            return await self._order_load(engine, artifact, version)
        finally:
            engine.loading.pop(artifact, None)

    async def _unload(self, engine: Engine, artifact: str) -> bool:
        """Returns whether the place of an adapter let go is free now."""
        verdict = await self._orders.give(Action.UNLOAD, engine, artifact)
        if verdict is OrderVerdict.HOLDS:
            self._note_unloaded(engine, artifact)
            return True
        if verdict is OrderVerdict.TAKEN:
            engine.waits_for = artifact
            self._spawn(self._await_unload(engine, artifact))
        elif verdict is OrderVerdict.REFUSED:
            # Certainly not done: it is still there.
            engine.leaving.pop(artifact, None)
            now = self._loop.time()
            engine.held[artifact] = Held(self._version_of(artifact), now, now)
            self._view.tell(engine)
        return False

    def _note_unloaded(self, engine: Engine, artifact: str) -> None:
        engine.leaving.pop(artifact, None)
        engine.note_left(artifact, self._loop.time())

    def _version_of(self, artifact: str) -> int:
        """Returns the version that a load brings."""
        return max(self._view.version(artifact), 1)

    async def _await_unload(self, engine: Engine, artifact: str) -> None:
        """Waits for the runs of an adapter that is to leave."""
        began = self._loop.time()
        while self._loop.time() - began < _UNLOAD_MOST_SECONDS:
            await asyncio.sleep(_UNLOAD_POLL_SECONDS)
            verdict = await self._orders.give(
                Action.UNLOAD, engine, artifact, again=True
            )
            if verdict is OrderVerdict.HOLDS:
                self._note_unloaded(engine, artifact)
                break
            if verdict is OrderVerdict.MISDIRECTED:
                break
        if engine.waits_for == artifact:
            engine.waits_for = ""

    async def _order_load(
        self, engine: Engine, artifact: str, version: int
    ) -> bool:
        began = self._loop.time()
        verdict = await self._orders.give(
            Action.LOAD, engine, artifact, version
        )
        if verdict is OrderVerdict.HOLDS:
            self._note_loaded(engine, artifact, version, began)
            return True
        if verdict is not OrderVerdict.TAKEN:
            return False
        pending = engine.loading.get(artifact)
        if pending is not None:
            pending.taken = True
        soon = engine.had_lately(artifact) or artifact in engine.held
        await asyncio.sleep(_RELOAD_SECONDS if soon else _LOAD_SECONDS)
        while self._loop.time() - began < _LOAD_MOST_SECONDS:
            verdict = await self._orders.give(
                Action.LOAD, engine, artifact, version, again=True
            )
            took = self._loop.time() - began
            blocked = engine.waits_for not in ("", artifact)
            surely = blocked and took > _SURELY_LOADED_SECONDS
            if verdict is OrderVerdict.HOLDS or surely:
                self._note_loaded(engine, artifact, version, began)
                return True
            if verdict in _FAILED:
                break
            await asyncio.sleep(_POLL_SECONDS)
        engine.note_under_way(artifact, self._loop.time())
        return False

    def _note_loaded(
        self, engine: Engine, artifact: str, version: int, began: float
    ) -> None:
        now = self._loop.time()
        newest = max(self._version_of(artifact), version)
        engine.held[artifact] = Held(newest, now, now)
        engine.ghosts.pop(artifact, None)
        self._view.tell(engine)
        self._orders.telemetry.note_load(now - began)
        log_message(
            "fleet:loaded",
            upstream=engine.name,
            artifact=artifact,
            version=newest,
            places=engine.places_taken(),
            seconds=round(now - began, 4),
        )

    # -- base models and new versions ----------------------------------

    def tend(self, service: str, models: tuple[str, ...]) -> None:
        """Brings base models back to engines, and new versions in force."""
        now = self._loop.time()
        if now < self._view.orders_from() - _PREPARE_SECONDS:
            return
        for engine in self._view.engines(service):
            if not engine.can_order(now) or engine.is_busy():
                continue
            if engine.has_old_ghosts(now):
                engine.revision = None
            if engine.revision is None and not engine.loading:
                self._spawn(self._orders.prepare(engine))
                continue
            if now < self._view.orders_from():
                continue
            if engine.free_places() < 0:
                self._make_room(service, engine)
                continue
            if not any(engine.has_model(model) for model in models):
                self._begin_model(engine, models)
                continue
            self._replace_old(engine, now)
        if now >= self._view.orders_from():
            self._spread(service, now)

    def _spread(self, service: str, now: float) -> None:
        """Loads copies of much wanted adapters."""
        if now < self._spread_at.get(service, now):
            return
        self._spread_at[service] = now + _SPREAD_SECONDS
        survey = self._survey(service)
        for artifact, choice in self._placement.choose_copies(survey):
            self._reserve(choice, artifact)
            survey.note_chosen(choice.engine)
            version = self._view.version(artifact)
            self._spawn(self._load(choice, artifact, version))

    def _make_room(self, service: str, engine: Engine) -> None:
        """Unloads from an engine that is believed to hold too much."""
        if engine.loading or engine.leaving:
            return
        victim = self._survey(service).victim(engine)
        if victim is not None:
            self._let_go(engine, victim)
            self._spawn(self._unload(engine, victim))

    def _begin_model(self, engine: Engine, models: tuple[str, ...]) -> None:
        for model in models:
            if engine.loading or not engine.has_room(model):
                return
            engine.loading[model] = Pending()
            self._spawn(self._load(Choice(engine), model, 0))

    def _replace_old(self, engine: Engine, now: float) -> None:
        for artifact, held in list(engine.held.items()):
            version = self._view.version(artifact)
            if held.version >= version or artifact in engine.loading:
                continue
            key = (engine.name, artifact)
            since = self._replace_since.setdefault(key, now)
            in_use = artifact in self._view.using(engine.name)
            if in_use and now - since < _REPLACE_PATIENCE:
                continue
            del self._replace_since[key]
            engine.loading[artifact] = Pending()
            self._spawn(self._replace(engine, artifact, version))
            return

    async def _replace(
        self, engine: Engine, artifact: str, version: int
    ) -> None:
        engine.waits_for = artifact
        try:
            await self._order_load(engine, artifact, version)
        finally:
            engine.loading.pop(artifact, None)
            if engine.waits_for == artifact:
                engine.waits_for = ""
