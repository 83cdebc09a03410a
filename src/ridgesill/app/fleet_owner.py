"""The owner of the fleet: hears heartbeats, tells fronts, orders engines.

The log's leader owns the fleet. The grant in the log gives it a fencing token
and says which VM gave orders before; a different one waits out that VM's lease
before its first order.
"""

import asyncio
from typing import Any

import attrs
from eliot import log_message, write_traceback

from ridgesill.adapters.http1.client import UpstreamChannels
from ridgesill.app.control import Control, UnavailableError
from ridgesill.app.fleet_client import FleetClient
from ridgesill.core.commands import GrantPool
from ridgesill.core.fleet.engines import (
    GHOST_SECONDS,
    Engine,
    Held,
    Pending,
)
from ridgesill.core.fleet.messages import (
    ArtifactReady,
    FleetNews,
    HeardHeartbeat,
    HeardLeave,
    Heartbeat,
    Taken,
    Upstream,
    WantArtifact,
    WatchFleet,
)
from ridgesill.core.fleet.orders import Action, FleetOrder, OrderVerdict
from ridgesill.core.fleet.placement import Choice, Placement
from ridgesill.core.fleet.registry import Registry
from ridgesill.core.serving.routes import RouteTable
from ridgesill.ports.dialect import EngineCalls
from ridgesill.ports.http import ChannelError, HttpRequest
from ridgesill.ports.peers import PeerError

# Name of the grant in the log.
FLEET = "fleet"
_TICK = 0.1
# An owner acts only while a quorum has followed it within this time, in
# seconds; below the shortest election, so that no successor acts yet.
_QUORUM_SECONDS = 1.0
# Added to the lease of the VM that gave orders before, in seconds.
_LEASE_MARGIN = 0.4
_PROPOSE_SECONDS = 2.0
# Least time between two answers with news to the same front, in seconds, for
# each front that asks.
_NEWS_SECONDS_A_FRONT = 0.001
_NEWS_SECONDS = 0.02
# Heartbeats that may be missed before an upstream counts as gone.
_HEARTBEATS_MISSED = 4.0
_ORDER_SECONDS = 0.5
# What an adapter's load takes at first, in seconds; learned from then on.
_LOAD_SECONDS = 0.25
_LOAD_SMOOTHING = 0.1
# How often an engine is asked whether a load is done, in seconds.
_POLL_SECONDS = 0.015
_LOAD_MOST_SECONDS = 3.0
_SUSPEND_SECONDS = 1.0
_FRONT_HEARD_SECONDS = 2.0
_TRIES = 3


class NotOwnerError(Exception):
    """This node does not own the fleet, or can't be sure that it does."""


@attrs.define
class _Front:
    heard_at: float
    busy: dict[str, int]


@attrs.define
class _Loading:
    """A load that requests wait for."""

    answer: asyncio.Future[ArtifactReady]
    began_at: float


class FleetOwner:
    """Owns the fleet while this node leads the log.

    Args:
        control: the control plane.
        follower: this node's view of the fleet while another owns it.
        channels: to engines, for orders.
        calls: how orders and reports are worded.
        lease: seconds within which two VMs must not both give orders.
        heartbeat: seconds between an upstream's heartbeats.
    """

    def __init__(
        self,
        control: Control,
        follower: FleetClient,
        channels: UpstreamChannels,
        calls: EngineCalls,
        lease: float,
        heartbeat: float,
    ) -> None:
        self.table = RouteTable()
        self._control = control
        self._follower = follower
        self._channels = channels
        self._calls = calls
        self._lease = lease
        self._patience = heartbeat * _HEARTBEATS_MISSED
        self._loop = asyncio.get_running_loop()
        self._term = 0
        self._registry: Registry | None = None
        self._orders_from = float("inf")
        self._placement = Placement()
        self._locks: dict[str, asyncio.Lock] = {}
        self._loadings: dict[str, _Loading] = {}
        self._fronts: dict[str, _Front] = {}
        self._news = asyncio.Event()
        self._load_seconds = _LOAD_SECONDS
        self._tasks: set[asyncio.Task[Any]] = set()

    # -- ownership -----------------------------------------------------

    def is_owner(self) -> bool:
        """Whether this node owns the fleet and a quorum still follows it."""
        return self._registry is not None and self._leads_surely()

    def _leads_surely(self) -> bool:
        driver = self._control.driver
        if driver is None or not driver.is_leader:
            return False
        now = self._loop.time()
        return now - driver.replica.confirmed_at(now) < _QUORUM_SECONDS

    async def run(self) -> None:
        """Takes and gives up ownership with the log's leadership."""
        while True:
            await asyncio.sleep(_TICK)
            driver = self._control.driver
            if driver is None or not driver.is_leader:
                self._give_up()
            elif driver.replica.term != self._term:
                self._give_up()
                await self._take_over(driver.replica.term)
            else:
                self._tick()

    async def _take_over(self, term: int) -> None:
        if not self._leads_surely():
            return
        before = self._control.state.owners.get(FLEET)
        me = self._control.node
        grant = GrantPool(FLEET, me.name, me.incarnation)
        try:
            done = await self._control.propose(grant, _PROPOSE_SECONDS)
        except UnavailableError as error:
            log_message("fleet:not_granted", detail=str(error))
            return
        driver = self._control.driver
        if driver is None or driver.replica.term != term:
            return
        now = self._loop.time()
        waits = before is not None and before.node != me.name
        self._orders_from = now + (self._lease + _LEASE_MARGIN) * waits
        self._term = term
        self._begin(done.index, now)
        log_message(
            "fleet:owned",
            epoch=done.index,
            term=term,
            before=before.node if before else "",
            orders_in=round(self._orders_from - now, 3),
            upstreams=len(self._follower.view.upstreams),
        )

    def _begin(self, epoch: int, now: float) -> None:
        registry = Registry(epoch, self._patience)
        registry.adopt(self._follower.view.upstreams.values(), now)
        self._registry = registry
        self._placement.engines.clear()
        self._locks.clear()
        for upstream in registry.upstreams.values():
            self._meet_engine(upstream, now)
        self._wake()

    def _give_up(self) -> None:
        if self._registry is None:
            return
        log_message("fleet:given_up", epoch=self._registry.epoch)
        self._follower.view.upstreams = dict(self._registry.upstreams)
        self._registry = None
        self._term = 0
        self._orders_from = float("inf")
        for loading in self._loadings.values():
            if not loading.answer.done():
                refused = ArtifactReady("", after=1.0, reason="owner_changed")
                loading.answer.set_result(refused)
        self._loadings.clear()
        self._wake()

    def _tick(self) -> None:
        registry = self._registry
        if registry is None:
            return
        now = self._loop.time()
        number = registry.number
        for name in registry.expire(now):
            log_message("fleet:upstream_silent", upstream=name)
            self._forget_engine(name)
        if registry.number != number:
            self._wake()
        for front, heard in list(self._fronts.items()):
            if now - heard.heard_at > _FRONT_HEARD_SECONDS:
                del self._fronts[front]
        self._channels.sweep()
        self._replace_old_versions()

    def _wake(self) -> None:
        self._news.set()
        self._news = asyncio.Event()

    # -- heartbeats ----------------------------------------------------

    async def hear(self, heartbeat: Heartbeat) -> None:
        """Takes a heartbeat, here or through the owner.

        Raises:
            NotOwnerError: no owner could be reached.
        """
        if self.is_owner():
            self.take_heartbeat(heartbeat)
        else:
            await self._pass_on(HeardHeartbeat(heartbeat))

    async def hear_leave(self, name: str) -> None:
        """Takes an upstream's word that it leaves."""
        if self.is_owner():
            self.take_leave(name)
        else:
            await self._pass_on(HeardLeave(name))

    async def _pass_on(self, message: Any) -> None:
        leader = self._control.leader_name()
        if not leader or leader == self._control.node.name:
            raise NotOwnerError("no owner is known")
        address = self._control.address_of(leader)
        try:
            await self._control.peers.call(address, message, _PASS_ON_SECONDS)
        except PeerError as error:
            raise NotOwnerError(str(error)) from error

    async def handle_passed(
        self, message: HeardHeartbeat | HeardLeave
    ) -> Taken:
        """Takes what another node passes on."""
        if not self.is_owner():
            raise PeerError(type(message).__name__, "here", "not the owner")
        if isinstance(message, HeardLeave):
            self.take_leave(message.name)
        else:
            self.take_heartbeat(message.heartbeat)
        return Taken()

    def take_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Takes a heartbeat as the owner."""
        registry = self._registry
        if registry is None:
            return
        now = self._loop.time()
        number = registry.number
        known = registry.upstreams.get(heartbeat.name)
        if not registry.hear(heartbeat, now):
            return
        upstream = registry.upstreams[heartbeat.name]
        if known is None or known.state != upstream.state:
            log_message(
                "fleet:upstream",
                upstream=upstream.name,
                service=upstream.service,
                peer=upstream.address,
                state=upstream.state,
            )
        self._note_engine(heartbeat, upstream, now)
        for name in list(self._placement.engines):
            if name not in registry.upstreams:
                self._forget_engine(name)
        if registry.number != number:
            self._wake()

    def take_leave(self, name: str) -> None:
        """Notes as the owner that an upstream leaves."""
        registry = self._registry
        if registry is None:
            return
        registry.drain(name, self._loop.time())
        engine = self._placement.engines.get(name)
        if engine is not None:
            engine.draining = True
        log_message("fleet:upstream", upstream=name, state="leaving")
        self._wake()

    def _note_engine(
        self, heartbeat: Heartbeat, upstream: Upstream, now: float
    ) -> None:
        engine = self._placement.engines.get(upstream.name)
        if engine is None:
            self._meet_engine(upstream, now)
            return
        engine.draining = heartbeat.draining
        if heartbeat.resident is not None:
            engine.reconcile(heartbeat.resident, now)
            self._tell_resident(engine)

    def _meet_engine(self, upstream: Upstream, now: float) -> None:
        service = self.table.services.get(upstream.service)
        if service is None or service.engine is None:
            return
        engine = Engine(
            upstream.name,
            upstream.address,
            upstream.data_centre,
            service.engine,
        )
        engine.adopt(upstream.resident, now)
        self._placement.engines[upstream.name] = engine

    def _forget_engine(self, name: str) -> None:
        self._placement.engines.pop(name, None)
        self._locks.pop(name, None)

    def note_table(self, table: RouteTable) -> None:
        """Takes a new configuration."""
        self.table = table
        if self._registry is None:
            return
        now = self._loop.time()
        for upstream in self._registry.upstreams.values():
            if upstream.name not in self._placement.engines:
                self._meet_engine(upstream, now)

    def _tell_resident(self, engine: Engine) -> None:
        if self._registry is None:
            return
        number = self._registry.number
        self._registry.set_resident(engine.name, engine.resident())
        if self._registry.number != number:
            self._wake()

    # -- fronts --------------------------------------------------------

    async def handle_watch(
        self, sender: str, question: WatchFleet
    ) -> FleetNews:
        """Answers a front, or a node that may own the fleet next."""
        if not self.is_owner():
            return FleetNews(0)
        self._note_front(sender, question)
        began = self._loop.time()
        deadline = began + question.wait
        while self._registry is not None:
            if self._registry.has_news(question.epoch, question.number):
                break
            left = deadline - self._loop.time()
            if left <= 0 or not await self._news_within(left):
                break
        spacing = _NEWS_SECONDS + _NEWS_SECONDS_A_FRONT * len(self._fronts)
        await asyncio.sleep(max(began + spacing - self._loop.time(), 0.0))
        if not self.is_owner() or self._registry is None:
            return FleetNews(0)
        return self._registry.news(
            question.epoch,
            question.number,
            max(len(self._fronts), 1),
            self._busy(),
        )

    def _note_front(self, sender: str, question: WatchFleet) -> None:
        now = self._loop.time()
        if question.is_front:
            self._fronts[sender] = _Front(now, question.busy)
        if question.used:
            self._placement.note_used(question.used, now)

    async def _news_within(self, seconds: float) -> bool:
        try:
            await asyncio.wait_for(self._news.wait(), seconds)
        except TimeoutError:
            return False
        return True

    def _busy(self) -> dict[str, int]:
        totals: dict[str, int] = {}
        for front in self._fronts.values():
            for name, count in front.busy.items():
                totals[name] = totals.get(name, 0) + count
        return totals

    # -- wants ---------------------------------------------------------

    async def handle_want(self, want: WantArtifact) -> ArtifactReady:
        """Has an engine hold something; answers once it does."""
        if not self.is_owner():
            return ArtifactReady("", after=1.0, reason="not_owner")
        now = self._loop.time()
        for engine in self._placement.holders(want.artifact, want.version):
            if engine.name not in want.avoid and not engine.draining:
                version = engine.held[want.artifact].version
                return ArtifactReady(engine.name, version)
        if now < self._orders_from:
            after = self._orders_from - now
            return ArtifactReady("", after=after, reason="earlier_owner")
        loading = self._loadings.get(want.artifact)
        if loading is None:
            loading = self._begin_load(want)
        try:
            return await asyncio.wait_for(
                asyncio.shield(loading.answer), want.patience
            )
        except TimeoutError:
            return ArtifactReady("", after=0.5, reason="load_too_slow")

    def _begin_load(self, want: WantArtifact) -> _Loading:
        loading = _Loading(self._loop.create_future(), self._loop.time())
        self._loadings[want.artifact] = loading
        self._spawn(self._bring(want, loading))
        return loading

    def _spawn(self, work: Any) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _bring(self, want: WantArtifact, loading: _Loading) -> None:
        answer = ArtifactReady("", after=0.5, reason="no_engine")
        try:
            answer = await self._bring_somewhere(want)
        except Exception:  # noqa: BLE001 - those who wait must get an answer
            write_traceback()
        finally:
            if self._loadings.get(want.artifact) is loading:
                del self._loadings[want.artifact]
            if not loading.answer.done():
                loading.answer.set_result(answer)

    async def _bring_somewhere(self, want: WantArtifact) -> ArtifactReady:
        avoid = set(want.avoid)
        for _ in range(_TRIES):
            choice = self._choose(want, avoid)
            if choice is None:
                return ArtifactReady("", after=0.3, reason="no_place")
            if await self._load(choice, want.artifact, want.version):
                held = choice.engine.held.get(want.artifact)
                version = held.version if held else 0
                return ArtifactReady(choice.engine.name, version)
            avoid.add(choice.engine.name)
        return ArtifactReady("", after=0.5, reason="loads_failed")

    def _choose(self, want: WantArtifact, avoid: set[str]) -> Choice | None:
        now = self._loop.time()
        registry = self._registry
        if registry is None:
            return None
        engines = [
            engine
            for engine in self._placement.engines.values()
            if engine.name not in avoid
            and engine.name in registry.upstreams
            and registry.upstreams[engine.name].service == want.service
        ]
        return self._placement.choose(want.artifact, engines, self._busy(), now)

    # -- loads ---------------------------------------------------------

    async def _load(self, choice: Choice, artifact: str, version: int) -> bool:
        """Unloads what gives way, loads, and waits until it is there."""
        engine = choice.engine
        now = self._loop.time()
        engine.loading[artifact] = Pending(version, now)
        if choice.victim:
            engine.held.pop(choice.victim, None)
            engine.leaving[choice.victim] = now
            self._tell_resident(engine)
        try:
            if choice.victim and not await self._unload(engine, choice.victim):
                return False
            verdict = await self._order(Action.LOAD, engine, artifact, version)
            if verdict is OrderVerdict.HOLDS:
                self._note_loaded(engine, artifact, version, now)
                return True
            if verdict is not OrderVerdict.TAKEN:
                return False
            return await self._await_load(engine, artifact, version)
        finally:
            engine.loading.pop(artifact, None)

    async def _unload(self, engine: Engine, artifact: str) -> bool:
        verdict = await self._order(Action.UNLOAD, engine, artifact, 0)
        if verdict is OrderVerdict.HOLDS:
            engine.leaving.pop(artifact, None)
            return True
        if verdict is OrderVerdict.REFUSED:
            # Certainly not done: it is still there.
            engine.leaving.pop(artifact, None)
            now = self._loop.time()
            engine.held[artifact] = Held(0, now, now)
        return False

    async def _await_load(
        self, engine: Engine, artifact: str, version: int
    ) -> bool:
        began = self._loop.time()
        await asyncio.sleep(self._load_seconds)
        while self._loop.time() - began < _LOAD_MOST_SECONDS:
            verdict = await self._order(Action.LOAD, engine, artifact, version)
            if verdict is OrderVerdict.HOLDS:
                now = self._loop.time()
                took = now - began
                change = took - self._load_seconds
                self._load_seconds += _LOAD_SMOOTHING * change
                self._note_loaded(engine, artifact, version, now)
                return True
            if verdict in (OrderVerdict.MISDIRECTED, OrderVerdict.FENCED):
                return False
            await asyncio.sleep(_POLL_SECONDS)
        return False

    def _note_loaded(
        self, engine: Engine, artifact: str, version: int, now: float
    ) -> None:
        known = self._control.state.artifact_versions.get(artifact, 1)
        engine.held[artifact] = Held(max(known, version), now, now)
        self._tell_resident(engine)

    def _replace_old_versions(self) -> None:
        """Has engines bring the new version of what they hold in an old one."""
        now = self._loop.time()
        if now < self._orders_from:
            return
        for artifact, version in self._control.state.artifact_versions.items():
            for engine in self._placement.engines.values():
                held = engine.held.get(artifact)
                if held is None or held.version >= version:
                    continue
                if artifact not in engine.loading and engine.can_order(now):
                    engine.loading[artifact] = Pending(version, now)
                    self._spawn(self._replace(engine, artifact, version))

    async def _replace(
        self, engine: Engine, artifact: str, version: int
    ) -> None:
        try:
            verdict = await self._order(Action.LOAD, engine, artifact, version)
            if verdict is OrderVerdict.HOLDS:
                self._note_loaded(engine, artifact, version, self._loop.time())
            elif verdict is OrderVerdict.TAKEN:
                await self._await_load(engine, artifact, version)
        finally:
            engine.loading.pop(artifact, None)

    # -- orders --------------------------------------------------------

    async def _order(
        self, action: Action, engine: Engine, artifact: str, version: int
    ) -> OrderVerdict:
        """Gives an order, one at a time to each engine."""
        lock = self._locks.setdefault(engine.name, asyncio.Lock())
        async with lock:
            if engine.revision is None:
                await self._ask_report(engine)
            registry = self._registry
            now = self._loop.time()
            if registry is None or not self.is_owner():
                return OrderVerdict.REFUSED
            if now < self._orders_from or not engine.can_order(now):
                return OrderVerdict.REFUSED
            order = FleetOrder(
                action,
                engine.name,
                engine.address,
                artifact,
                version,
                self._control.node.name,
                registry.epoch,
                engine.revision,
            )
            verdict = await self._give(order)
            self._note_verdict(engine, order, verdict)
            return verdict

    async def _give(self, order: FleetOrder) -> OrderVerdict:
        request = self._calls.write_order(order)
        began = self._loop.time()
        try:
            async with asyncio.timeout(_ORDER_SECONDS):
                status, body = await self._exchange(order.address, request)
            verdict = self._calls.read_verdict(status)
            detail = body[:200].decode("latin-1")
        except (ChannelError, TimeoutError) as error:
            sent = not isinstance(error, ChannelError) or error.sent
            verdict = OrderVerdict.UNKNOWN if sent else OrderVerdict.MISDIRECTED
            status = 0
            detail = str(error) or "no answer in time"
        log_message(
            "fleet:order",
            action=order.action.value,
            upstream=order.upstream,
            peer=order.address,
            artifact=order.artifact,
            version=order.version,
            revision=order.revision,
            token=order.token,
            verdict=verdict.value,
            status=status,
            detail=detail,
            seconds=round(self._loop.time() - began, 4),
        )
        return verdict

    async def _exchange(
        self, address: str, request: HttpRequest
    ) -> tuple[int, bytes]:
        exchange = await self._channels.send(address, request)
        try:
            head = await exchange.read_head()
            parts = []
            while data := await exchange.read_data():
                parts.append(data)
            return head.status, b"".join(parts)
        finally:
            exchange.cancel()

    def _note_verdict(
        self, engine: Engine, order: FleetOrder, verdict: OrderVerdict
    ) -> None:
        now = self._loop.time()
        if verdict is OrderVerdict.TAKEN or (
            verdict is OrderVerdict.HOLDS and order.action is Action.UNLOAD
        ):
            if engine.revision is not None:
                engine.revision += 1
        elif verdict is OrderVerdict.UNKNOWN:
            engine.revision = None
            engine.suspended_until = now + _SUSPEND_SECONDS
            if order.action is Action.LOAD:
                engine.ghosts[order.artifact] = now + GHOST_SECONDS
        elif verdict is OrderVerdict.MISDIRECTED:
            engine.suspended_until = now + _SUSPEND_SECONDS
        elif verdict is OrderVerdict.REFUSED:
            engine.revision = None

    async def _ask_report(self, engine: Engine) -> None:
        request = self._calls.ask_report(engine.name, engine.address)
        try:
            async with asyncio.timeout(_ORDER_SECONDS):
                status, body = await self._exchange(engine.address, request)
        except (ChannelError, TimeoutError) as error:
            log_message(
                "fleet:no_report", upstream=engine.name, detail=str(error)
            )
            return
        if status == 200:
            report = self._calls.read_report(body)
            engine.take_report(report, self._loop.time())
            log_message(
                "fleet:report",
                upstream=engine.name,
                revision=report.revision,
                busy=report.busy,
                incoming=len(report.incoming),
                resident=len(report.resident),
                body=body[:400].decode("latin-1"),
            )


# How long another node's owner has to take what was passed on, in seconds; the
# upstream goes to another node after a second.
_PASS_ON_SECONDS = 0.7
