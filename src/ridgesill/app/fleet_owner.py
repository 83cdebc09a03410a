"""The owner of the fleet: hears heartbeats, tells fronts, orders engines.

The log's leader owns the fleet and decides which orders are given. The VMs that
hold engines' order leases deliver them (`core/fleet/order_leases.py`).
"""

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import Any

import attrs
from eliot import log_message

from ridgesill.adapters.http1.client import UpstreamChannels
from ridgesill.app.change_signal import ChangeSignal
from ridgesill.app.control import Control, UnavailableError
from ridgesill.app.engine_loads import OwnerCallbacks
from ridgesill.app.engine_orders import Authority, EngineOrders
from ridgesill.app.fleet_client import FleetClient
from ridgesill.app.fleet_engines import FleetEngines
from ridgesill.app.fleet_loads import FleetLoads
from ridgesill.app.log_driver import LogDriver
from ridgesill.app.named_limits import LimitUse, NamedLimits
from ridgesill.app.news_relay import (
    NewsRelay,
    extract_sent,
    extract_usage,
    wait_for_news,
)
from ridgesill.app.order_holder import OrderHolder
from ridgesill.app.order_lease_keeper import OrderLeaseKeeper
from ridgesill.core import codec
from ridgesill.core.commands import GrantPool
from ridgesill.core.fleet.backlog import Backlogs
from ridgesill.core.fleet.engines import Engine
from ridgesill.core.fleet.health import EngineHealth
from ridgesill.core.fleet.messages import (
    ArtifactReady,
    FleetNews,
    HeardHeartbeat,
    HeardLeave,
    Heartbeat,
    ReadingEnded,
    Taken,
    WantArtifact,
    WatchFleet,
)
from ridgesill.core.fleet.order_leases import OrderLeases
from ridgesill.core.fleet.orders import EngineReport, HolderAlive
from ridgesill.core.fleet.placement import Placement
from ridgesill.core.fleet.rate_ledger import (
    QuotaUse,
    RateLedger,
    Tolerance,
)
from ridgesill.core.fleet.registry import Registry
from ridgesill.core.fleet.usage import Usage
from ridgesill.core.fleet.use_reports import ReceivedReports, Sent, UseReport
from ridgesill.core.serving.routes import RouteTable
from ridgesill.ports.dialect import EngineCalls
from ridgesill.ports.peers import PeerError
from ridgesill.ports.telemetry import Telemetry

# Name of the grant in the log.
FLEET = "fleet"
_TICK = 0.1
# An owner acts only while a quorum has followed it within this time, in
# seconds; below the shortest election, so that no successor acts yet.
_QUORUM_SECONDS = 0.6
# How long a new owner waits to hear as many fronts as there were before, in
# seconds; they learn of it within half a second, and report ten times a second.
_FRONTS_SECONDS = 1.5
# How long a new owner takes to hear what customers use, unless it knows what an
# earlier one said within this time, in seconds.
_USES_SECONDS = 0.6
_MEMORY_SECONDS = 8.0
# How long a grant of the fleet may take to be applied, in seconds; it is
# proposed again after that.
_PROPOSE_SECONDS = 2.0
# Heartbeats that may be missed before an upstream counts as gone.
_HEARTBEATS_MISSED = 4.0
# How long another node's owner has to take what was passed on, in seconds; the
# upstream goes to another node after a second.
_PASS_ON_SECONDS = 0.7
# Reason of a refusal by a node that does not own the fleet.
NOT_OWNER = "not_owner"


def last_owner(driver: LogDriver) -> str:
    """Returns the node that the last grant in a restarted node's log is to.

    It need not wait for anybody's lease before its first order, so it should
    be the one to lead again.
    """
    owner = driver.state.owners.get(FLEET)
    last = owner.node if owner else ""
    log = driver.replica.log
    for entry in log.slice(log.snapshot.index, log.last_index):
        command = codec.decode(entry.command)
        if isinstance(command, GrantPool) and command.pool == FLEET:
            last = command.node
    return last


class NotOwnerError(Exception):
    """This node does not own the fleet, or can't be sure that it does."""


class FleetOwner:
    """Owns the fleet while this node leads the log.

    Args:
        control: the control plane.
        follower: this node's view of the fleet while another owns it.
        channels: to engines, for orders.
        calls: how orders and reports are worded.
        lease: seconds within which two VMs must not both give orders.
        heartbeat: seconds between an upstream's heartbeats.
        time_of_day: in seconds since 1970, as upstreams tell their starts.
        tolerance: of customers' limits.
    """

    def __init__(
        self,
        control: Control,
        follower: FleetClient,
        channels: UpstreamChannels,
        calls: EngineCalls,
        lease: float,
        heartbeat: float,
        time_of_day: Callable[[], float] = time.time,
        tolerance: Tolerance | None = None,
    ) -> None:
        # Of this configuration and those before: upstreams of a service that
        # was dropped are heard until they are gone.
        self._services: set[str] = set()
        self._control = control
        self._follower = follower
        self.relay = NewsRelay(follower)
        self._channels = channels
        self._patience = heartbeat * _HEARTBEATS_MISSED
        self._loop = asyncio.get_running_loop()
        self._term = 0
        self.holder = OrderHolder(
            control, channels, calls, self.handle_holder_alive
        )
        self._leases = OrderLeaseKeeper(
            control, OrderLeases(lease), self.holder, self._spawn
        )
        self._owned_at = float("-inf")
        self._fronts_before = 0
        self._uses_known_at = float("-inf")
        self._placement = Placement()
        self._usage = Usage()
        self._quotas = RateLedger(tolerance)
        self._limits = NamedLimits()
        self._taken = ReceivedReports()
        self._backlogs = Backlogs()
        self._health = EngineHealth()
        self._orders = EngineOrders(
            channels,
            calls,
            self._authority,
            self._leases.deliver,
            self._hear_later_start,
            self._hear_leaving,
        )
        self._news = ChangeSignal()
        self._engines = FleetEngines(
            self._placement,
            self._orders,
            calls,
            self._leases.delivered_until,
            self._news.note,
            self._loop.time,
            time_of_day,
        )
        self._loads = FleetLoads(
            self._placement,
            self._orders,
            OwnerCallbacks(
                self._engines.of_service,
                self._usage.requests_by_upstream,
                self._usage.artifacts_in_use,
                self._have_fronts_told,
                self._version,
                self._engines.publish_resident,
                self._usable_from,
                self._count_fronts,
                self._usage.is_resting_for_most,
                self._is_limited,
            ),
            self._backlogs,
            self._health,
        )

    def _hear_later_start(self, engine: Engine, report: EngineReport) -> None:
        self._engines.handle_later_start(engine, report)

    def _hear_leaving(self, engine: Engine) -> None:
        if not engine.draining:
            self.handle_leave(HeardLeave(engine.instance, engine.start))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        self._loads.engine_loads.spawn(work)

    def swap_telemetry(self, telemetry: Telemetry) -> Telemetry:
        """Has orders and loads counted; returns what has counted them."""
        before, self._orders.telemetry = self._orders.telemetry, telemetry
        return before

    @property
    def table(self) -> RouteTable:
        """The configuration in force here."""
        return self._engines.table

    @property
    def _registry(self) -> Registry | None:
        """What is known of the upstreams; None while another owns them."""
        return self._engines.registry

    # -- ownership -----------------------------------------------------

    def is_owner(self) -> bool:
        """Whether this node owns the fleet and a quorum still follows it."""
        return self._registry is not None and self._leads_surely()

    def _leads_surely(self) -> bool:
        driver = self._control.driver
        if driver is None or not driver.is_leader:
            return False
        now = self._loop.time()
        return now - driver.replica.quorum_confirmed_at(now) < _QUORUM_SECONDS

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
        ordered_until = driver.replica.predecessor_until + _QUORUM_SECONDS
        self._leases.begin(term, ordered_until)
        self._term = term
        is_first = before is None
        blind = not (is_first or self._follower.view.upstreams)
        self._begin(done.index, now, blind=blind)
        log_message(
            "fleet:owned",
            epoch=done.index,
            term=term,
            before=before.node if before else "",
            ordered_until=round(ordered_until - now, 3),
            upstreams=len(self._follower.view.upstreams),
        )

    def _begin(self, epoch: int, now: float, *, blind: bool) -> None:
        self._owned_at = now
        self._fronts_before = self._follower.view.fronts
        registry = Registry(epoch, self._patience)
        registry.adopt(self._follower.view.upstreams.values(), now)
        if not registry.upstreams:
            registry.begin_settling(now)
        self._engines.begin(registry, blind=blind)
        view = self._follower.view
        self._quotas.restore(view.quotas, view.updated_at, now)
        is_known = now - view.updated_at < _MEMORY_SECONDS
        self._uses_known_at = now + (0.0 if is_known else _USES_SECONDS)
        self._limits.restore(view, now)
        for sent in self._follower.pending_reports.take_unassigned():
            self._count(sent, now)
        self._news.note()

    def _give_up(self) -> None:
        if self._registry is None:
            return
        log_message("fleet:given_up", epoch=self._registry.epoch)
        self._follower.view.upstreams = dict(self._registry.upstreams)
        self._engines.end()
        self._term = 0
        self._loads.end()
        self._news.note()

    def _tick(self) -> None:
        registry = self._registry
        if registry is None:
            return
        now = self._loop.time()
        self._engines.remove_silent()
        self._usage.prune_silent(now)
        self._taken.prune_silent(now)
        self._quotas.record_fronts(self._usage.fronts, now)
        self._limits.update(self._usage.fronts, registry.upstreams, now)
        self._backlogs.prune_lost(now)
        self._backlogs.discard_except(set(registry.upstreams))
        self._health.discard_except(set(registry.upstreams))
        self._channels.prune()
        self._orders.prune_expired()
        engines = self._placement.engines.values()
        self._leases.update_holders(engines)
        self._leases.maintain_leases(engines)
        self._tend()

    # -- heartbeats ----------------------------------------------------

    def is_unknown_service(self, service: str) -> bool:
        """Whether no configuration has named a service, though there is one."""
        return bool(self._services) and service not in self._services

    async def submit_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Takes a heartbeat, here or through the owner.

        Raises:
            NotOwnerError: no owner could be reached.
        """
        if self.is_owner():
            self.handle_heartbeat(heartbeat)
        else:
            await self._pass_on(HeardHeartbeat(heartbeat))

    async def submit_leave(self, leave: HeardLeave) -> None:
        """Takes an upstream's word that it leaves."""
        if self.is_owner():
            self.handle_leave(leave)
        else:
            await self._pass_on(leave)

    async def _pass_on(self, message: Any) -> None:
        leader = self._control.leader_address()
        if not leader or leader == self._control.node.address:
            raise NotOwnerError("no owner is known")
        try:
            await self._control.peers.call(leader, message, _PASS_ON_SECONDS)
        except PeerError as error:
            raise NotOwnerError(str(error)) from error

    async def handle_forwarded(
        self, message: HeardHeartbeat | HeardLeave
    ) -> Taken:
        """Takes what another node passes on."""
        if not self.is_owner():
            raise PeerError(type(message).__name__, "here", "not the owner")
        if isinstance(message, HeardLeave):
            self.handle_leave(message)
        else:
            self.handle_heartbeat(message.heartbeat)
        return Taken()

    def handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Takes a heartbeat as the owner."""
        self._engines.handle_heartbeat(heartbeat)

    def handle_leave(self, leave: HeardLeave) -> None:
        """Notes as the owner that an upstream leaves."""
        self._engines.handle_leave(leave)

    def apply_table(self, table: RouteTable) -> None:
        """Takes a new configuration."""
        self._services.update(table.services)
        self._engines.apply_table(table)
        customers = table.customers
        self._quotas.set_quotas(customers.quotas if customers else {})

    # -- fronts --------------------------------------------------------

    def _count_fronts(self) -> int:
        return self._usage.fronts

    def _is_limited(self, upstream: str) -> bool:
        return self._limits.is_limited(upstream, self._loop.time())

    def _expect_fronts(self, now: float) -> int:
        """Returns how many fronts there are; a new owner has yet to hear some.

        It expects as many as its predecessor had.
        """
        is_new = now < self._owned_at + _FRONTS_SECONDS
        before = self._fronts_before if is_new else 0
        return max(self._usage.fronts, before)

    def _have_fronts_told(self, at: float) -> bool:
        """Whether every front has told what it uses after a moment.

        What fronts that a new owner has not heard use must not be unloaded.
        """
        if self._usage.fronts < self._expect_fronts(self._loop.time()):
            return False
        return self._usage.has_reports_since(at)

    async def handle_watch(
        self, sender: str, question: WatchFleet
    ) -> FleetNews:
        """Answers a front, a relay, or a node that may own the fleet next."""
        if not self.is_owner():
            return await self.relay.handle_watch(sender, question)
        taken = self._record_front(sender, question)
        await wait_for_news(
            lambda: self._has_news(question),
            self._news,
            question.wait,
            self._usage.reporter_count,
        )
        if not self.is_owner() or self._registry is None:
            return FleetNews(0, taken=taken)
        now = self._loop.time()
        news = self._registry.make_news(
            question,
            max(self._expect_fronts(now), 1),
            self._usage.requests_by_upstream(),
            now,
        )
        return attrs.evolve(
            news,
            quotas=self._quotas.states(now),
            limits=self._limits.current_limits(now),
            sends=self._limits.states(now),
            taken=taken,
            knows_uses=now >= self._uses_known_at,
        )

    def _has_news(self, question: WatchFleet) -> bool:
        registry = self._registry
        if registry is None or self._limits.has_any():
            return True
        if self._quotas.has_limiting_rate(self._loop.time()):
            return True
        return registry.has_news(question.epoch, question.number)

    def _record_front(
        self, sender: str, question: WatchFleet
    ) -> tuple[int, ...]:
        """Takes what an asker says; returns the reports that were taken."""
        now = self._loop.time()
        self._usage.record_report(sender, extract_usage(question), now)
        self._loads.handle_report()
        if self._limits.apply_limits(question.limits, now):
            self._news.note()
        if question.used:
            self._placement.record_requests(question.used, now)
        return self._taken.handle_reports(
            sender,
            question.reports,
            now,
            accepts=True,
            count=self._count_report,
        )

    def _count_report(self, report: UseReport) -> None:
        now = self._loop.time()
        self._count(extract_sent(report, now), now)
        if self._quotas.has_limiting_rate(now):
            self._news.note()

    def _count(self, sent: Sent, now: float) -> None:
        span = max(now - sent.since, 0.0)
        for customer in self._quotas.record_uses(sent.uses, now, span):
            log_message("fleet:absurd_report", customer=customer)
        for upstream in self._limits.record_sends(sent.sends, now, span):
            log_message("fleet:absurd_report", upstream=upstream)

    def list_limits(self) -> list[LimitUse]:
        """Returns the limits that upstreams have named.

        Raises:
            NotOwnerError: another node owns the fleet, and knows.
        """
        self._check_owner()
        return self._limits.overview(self._loop.time())

    def _check_owner(self) -> None:
        if not self.is_owner():
            owner = self._control.leader_address() or "nobody known"
            raise NotOwnerError(f"the fleet's owner is {owner}; ask there")

    def list_quotas(self) -> list[QuotaUse]:
        """Returns what limited customers use.

        Raises:
            NotOwnerError: another node owns the fleet, and knows.
        """
        self._check_owner()
        return self._quotas.overview(self._loop.time())

    def _version(self, artifact: str) -> int:
        return self._control.state.artifact_versions.get(artifact, 0)

    # -- wants ---------------------------------------------------------

    async def handle_want(self, want: WantArtifact) -> ArtifactReady:
        """Has an engine hold something; answers once it does."""
        if not self.is_owner():
            return ArtifactReady("", after=1.0, reason=NOT_OWNER)
        return await self._loads.provide_artifact(want)

    async def handle_reading_ended(
        self, sender: str, ended: ReadingEnded
    ) -> None:
        """Notes that an engine has read a prompt, or never will."""
        now = self._loop.time()
        self._backlogs.record_ended(
            ended.upstream, ended.request, now, was_read=ended.was_read
        )
        if ended.was_read:
            self._health.record_served(ended.upstream, now)
        elif ended.failed:
            self._health.record_failed(
                ended.upstream, sender, now, unreachable=ended.unreachable
            )

    # -- order leases --------------------------------------------------

    def handle_holder_alive(self, alive: HolderAlive) -> None:
        """Notes that a VM can deliver orders."""
        if self._leases.handle_alive(alive) and self._registry is not None:
            self._leases.update_holders(self._placement.engines.values())
            self._loads.dispatch()

    def _usable_from(self) -> float:
        """Returns from when some engine can be ordered."""
        if self._registry is None:
            return float("inf")
        return self._leases.orders_possible_from(
            self._placement.engines.values()
        )

    def _authority(self, engine: Engine) -> Authority | None:
        """Returns who delivers orders to an engine now; None if nobody."""
        if not self.is_owner():
            return None
        return self._leases.find_authority(engine)

    def _tend(self) -> None:
        for service in self.table.services.values():
            if service.engine is not None:
                models = tuple(model.name for model in service.engine.models)
                self._loads.start_upkeep(service.name, models)
