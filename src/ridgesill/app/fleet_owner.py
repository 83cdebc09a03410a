"""The owner of the fleet: receives heartbeats, informs fronts, orders engines.

The leader of the log owns the fleet and decides which orders engines get. The
VMs that hold the engines' order leases deliver these orders (see
`core/fleet/order_leases.py`).
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
from ridgesill.app.fleet_paces import FleetPaces
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
from ridgesill.app.service_load import ServiceLoad
from ridgesill.app.slot_desk import SlotDesk
from ridgesill.core import codec
from ridgesill.core.commands import GrantPool
from ridgesill.core.fleet.backlog import Backlogs
from ridgesill.core.fleet.brittle_bounds import HeardBrittle
from ridgesill.core.fleet.engines import Engine
from ridgesill.core.fleet.health import EngineHealth
from ridgesill.core.fleet.messages import (
    ArtifactReady,
    FleetNews,
    FrontRoom,
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
from ridgesill.core.fleet.slot_permits import (
    HeldSlots,
    RequestSlot,
    SlotAnswer,
)
from ridgesill.core.fleet.usage import Usage
from ridgesill.core.fleet.use_reports import ReceivedReports, Sent, UseReport
from ridgesill.core.serving.routes import RouteTable
from ridgesill.ports.dialect import EngineCalls
from ridgesill.ports.peers import PeerError
from ridgesill.ports.telemetry import Telemetry

# Pool name under which the log records who owns the fleet.
FLEET = "fleet"
# How often the owner checks its ownership and does its upkeep, in seconds.
_TICK_SECONDS = 0.1
# An owner acts only if a quorum has confirmed its leadership within this time,
# in seconds. It is below the shortest election timeout, so that no successor
# can act yet.
_QUORUM_SECONDS = 0.6
# How long a new owner expects as many fronts as its predecessor had, in
# seconds. Fronts learn of a new owner within half a second and report ten times
# a second.
_FRONT_DISCOVERY_SECONDS = 1.5
# How long a new owner needs to collect the customers' use, and the greatest age
# of an earlier owner's news that makes this unnecessary, both in seconds.
_USE_DISCOVERY_SECONDS = 0.6
_MAX_NEWS_AGE_SECONDS = 8.0
# How long the grant of the fleet may take to be applied before this node
# proposes it again, in seconds.
_PROPOSE_SECONDS = 2.0
# Heartbeats in a row that an upstream may miss before it counts as gone.
_MAX_MISSED_HEARTBEATS = 4.0
# How long the owner on another node may take to accept a forwarded message, in
# seconds. The upstream turns to another node after a second.
_FORWARD_SECONDS = 0.7
# Reason that a node gives in its refusal if it does not own the fleet.
NOT_OWNER = "not_owner"


def find_last_owner(driver: LogDriver) -> str:
    """Returns the last owner of the fleet according to a node's log.

    The last owner need not wait for another node's lease to expire before its
    first order, so it should become the leader again after a restart.
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
    """Raised if this node isn't certain to own the fleet."""


class FleetOwner:
    """Owns the fleet while this node leads the log.

    Args:
        control: this node's part in the control plane.
        follower: maintains this node's view of the fleet while another node
            owns it.
        channels: connections to engines, for orders.
        calls: encodes orders and decodes engine reports.
        lease: length of an order lease in seconds; two VMs must not both send
            orders to an engine within it.
        heartbeat: seconds between two heartbeats of an upstream.
        time_of_day: returns seconds since 1970, the unit in which upstreams
            report their starts.
        tolerance: how far customers may exceed their limits.
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
        # Services of this and all earlier configurations: heartbeats of a
        # removed service are accepted until its upstreams have ended.
        self._known_services: set[str] = set()
        self._control = control
        self._follower = follower
        self.relay = NewsRelay(follower)
        self._channels = channels
        self._silence_seconds = heartbeat * _MAX_MISSED_HEARTBEATS
        self._loop = asyncio.get_running_loop()
        self._term = 0
        self.holder = OrderHolder(
            control, channels, calls, self.handle_holder_alive
        )
        self._leases = OrderLeaseKeeper(
            control, OrderLeases(lease), self.holder, self._spawn
        )
        self._owned_since = float("-inf")
        self._previous_front_count = 0
        self._uses_complete_at = float("-inf")
        self._placement = Placement()
        self._usage = Usage()
        self._quotas = RateLedger(tolerance)
        self._limits = NamedLimits()
        self.service_load = ServiceLoad()
        self._received_reports = ReceivedReports()
        self._paces = FleetPaces()
        self._backlogs = Backlogs(self._paces.paces)
        self._health = EngineHealth()
        self._orders = EngineOrders(
            channels,
            calls,
            self._find_authority,
            self._leases.deliver,
            self._handle_later_start,
            self._handle_leaving,
        )
        self._news = ChangeSignal()
        self._engines = FleetEngines(
            self._placement,
            self._orders,
            calls,
            self._leases.delivered_until,
            self._news.notify,
            self._loop.time,
            time_of_day,
        )
        self.slots = SlotDesk(
            lambda: self._registry,
            lambda: self._expected_front_count(self._loop.time()),
            self._news.notify,
        )
        self._loads = FleetLoads(
            self._placement,
            self._orders,
            OwnerCallbacks(
                self._engines.of_service,
                self._usage.requests_by_upstream,
                self._usage.artifacts_in_use,
                self._have_fronts_reported_since,
                self._min_version,
                self._engines.publish_resident,
                self._orders_allowed_from,
                self._count_fronts,
                self._usage.is_resting_for_most,
                self._is_limited,
                self._pause_goal,
            ),
            self._backlogs,
            self._health,
        )

    def _handle_later_start(self, engine: Engine, report: EngineReport) -> None:
        self._engines.handle_later_start(engine, report)

    def _handle_leaving(self, engine: Engine) -> None:
        if not engine.draining:
            self.handle_leave(HeardLeave(engine.instance, engine.start))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        self._loads.engine_loads.spawn(work)

    def swap_telemetry(self, telemetry: Telemetry) -> Telemetry:
        """Replaces the telemetry of orders and loads; returns the old one."""
        before, self._orders.telemetry = self._orders.telemetry, telemetry
        return before

    @property
    def table(self) -> RouteTable:
        """The configuration that this node has applied last."""
        return self._engines.table

    @property
    def _registry(self) -> Registry | None:
        """The upstreams that are known; None while another node owns them."""
        return self._engines.registry

    # -- ownership -----------------------------------------------------

    def is_owner(self) -> bool:
        """Whether this node owns the fleet and a quorum still confirms it."""
        return self._registry is not None and self._has_quorum()

    def _has_quorum(self) -> bool:
        driver = self._control.driver
        if driver is None or not driver.is_leader:
            return False
        now = self._loop.time()
        return now - driver.replica.quorum_confirmed_at(now) < _QUORUM_SECONDS

    async def run(self) -> None:
        """Takes over and gives up the fleet along with the log's leadership."""
        while True:
            await asyncio.sleep(_TICK_SECONDS)
            driver = self._control.driver
            if driver is None or not driver.is_leader:
                self._give_up()
            elif driver.replica.term != self._term:
                self._give_up()
                await self._take_over(driver.replica.term)
            else:
                self._tick()

    async def _take_over(self, term: int) -> None:
        if not self._has_quorum():
            return
        previous_owner = self._control.state.owners.get(FLEET)
        own_node = self._control.node
        grant = GrantPool(FLEET, own_node.name, own_node.incarnation)
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
        is_first = previous_owner is None
        may_lack_upstreams = not (is_first or self._follower.view.upstreams)
        self._start_owning(
            done.index, now, may_lack_upstreams=may_lack_upstreams
        )
        log_message(
            "fleet:owned",
            epoch=done.index,
            term=term,
            before=previous_owner.node if previous_owner else "",
            ordered_until=round(ordered_until - now, 3),
            upstreams=len(self._follower.view.upstreams),
        )

    def _start_owning(
        self, epoch: int, now: float, *, may_lack_upstreams: bool
    ) -> None:
        self._owned_since = now
        self._previous_front_count = self._follower.view.fronts
        registry = Registry(epoch, self._silence_seconds)
        registry.adopt(self._follower.view.upstreams.values(), now)
        self._paces.adopt(registry.upstreams.values())
        if not registry.upstreams:
            registry.begin_settling(now)
        self._engines.begin(registry, may_lack_upstreams=may_lack_upstreams)
        view = self._follower.view
        self._quotas.restore(view.quotas, view.updated_at, now)
        is_news_recent = now - view.updated_at < _MAX_NEWS_AGE_SECONDS
        self._uses_complete_at = now + (
            0.0 if is_news_recent else _USE_DISCOVERY_SECONDS
        )
        self._limits.restore(view, now)
        self.service_load.begin(now)
        self.slots.begin(registry.upstreams.values())
        for sent in self._follower.pending_reports.take_unassigned():
            self._record_sent(sent, now)
        self._news.notify()

    def _give_up(self) -> None:
        if self._registry is None:
            return
        log_message("fleet:given_up", epoch=self._registry.epoch)
        self._follower.view.upstreams = dict(self._registry.upstreams)
        self._engines.end()
        self.service_load.end()
        self.slots.end()
        self._term = 0
        self._loads.end()
        self._news.notify()

    def _tick(self) -> None:
        registry = self._registry
        if registry is None:
            return
        now = self._loop.time()
        self._engines.remove_silent()
        self._usage.prune_silent(now)
        self._received_reports.prune_silent(now)
        self._quotas.record_fronts(self._usage.fronts, now)
        self._limits.update(self._usage.fronts, registry.upstreams, now)
        self._update_service_load(registry, now)
        self.slots.update(registry)
        self._paces.publish(registry, self.table, now)
        self._backlogs.prune_lost(now)
        self._backlogs.discard_except(set(registry.upstreams))
        self._health.discard_except(set(registry.upstreams))
        self._channels.prune()
        self._orders.prune_expired()
        engines = self._placement.engines.values()
        self._leases.update_holders(engines)
        self._leases.maintain_leases(engines)
        self._start_upkeep()

    def _update_service_load(self, registry: Registry, now: float) -> None:
        busy = self._usage.requests_by_upstream()
        fronts = self._expected_front_count(now)
        if self.service_load.update(registry, busy, fronts, now):
            self._news.notify()

    # -- heartbeats ----------------------------------------------------

    def is_unknown_service(self, service: str) -> bool:
        """Whether no configuration so far has named a service.

        False as long as there is no configuration at all.
        """
        return (
            bool(self._known_services) and service not in self._known_services
        )

    async def submit_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Handles a heartbeat, or forwards it to the owner on another node.

        Raises:
            NotOwnerError: no owner could be reached.
        """
        if self.is_owner():
            self.handle_heartbeat(heartbeat)
        else:
            await self._forward_to_owner(HeardHeartbeat(heartbeat))

    async def submit_leave(self, leave: HeardLeave) -> None:
        """Handles an upstream's leave, or forwards it to the owner.

        Raises:
            NotOwnerError: no owner could be reached.
        """
        if self.is_owner():
            self.handle_leave(leave)
        else:
            await self._forward_to_owner(leave)

    async def _forward_to_owner(self, message: Any) -> None:
        leader = self._control.leader_address()
        if not leader or leader == self._control.node.address:
            raise NotOwnerError("no owner is known")
        try:
            await self._control.peers.call(leader, message, _FORWARD_SECONDS)
        except PeerError as error:
            raise NotOwnerError(str(error)) from error

    async def handle_forwarded(
        self, message: HeardHeartbeat | HeardLeave
    ) -> Taken:
        """Handles a message that another node has forwarded to the owner.

        Raises:
            PeerError: this node does not own the fleet.
        """
        if not self.is_owner():
            raise PeerError(type(message).__name__, "here", "not the owner")
        if isinstance(message, HeardLeave):
            self.handle_leave(message)
        else:
            self.handle_heartbeat(message.heartbeat)
        return Taken()

    def handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Applies a heartbeat; this node must be the owner."""
        self._engines.handle_heartbeat(heartbeat)

    def handle_leave(self, leave: HeardLeave) -> None:
        """Marks an upstream as leaving; this node must be the owner."""
        self._engines.handle_leave(leave)

    def apply_table(self, table: RouteTable) -> None:
        """Adopts a new configuration."""
        self._known_services.update(table.services)
        self._engines.apply_table(table)
        self.service_load.apply_table(table)
        customers = table.customers
        self._quotas.set_quotas(customers.quotas if customers else {})
        self._loads.apply_customers(customers)

    # -- fronts --------------------------------------------------------

    def _count_fronts(self) -> int:
        return self._usage.fronts

    def _is_limited(self, upstream: str) -> bool:
        return self._limits.is_limited(upstream, self._loop.time())

    def _pause_goal(self, service: str) -> float:
        return self.table.shortest_pause_goal(service)

    def _expected_front_count(self, now: float) -> int:
        """Returns how many fronts there should be.

        A new owner may not have received reports of all fronts yet, so it
        expects at least as many as its predecessor had.
        """
        is_new_owner = now < self._owned_since + _FRONT_DISCOVERY_SECONDS
        expected = self._previous_front_count if is_new_owner else 0
        return max(self._usage.fronts, expected)

    def _have_fronts_reported_since(self, at: float) -> bool:
        """Whether every expected front has reported its use since a time.

        A new owner must not unload what fronts use that it has no report of
        yet.

        Args:
            at: seconds of the loop's clock.
        """
        if self._usage.fronts < self._expected_front_count(self._loop.time()):
            return False
        return self._usage.has_reports_since(at)

    async def handle_watch(self, sender: str, watch: WatchFleet) -> FleetNews:
        """Answers a front, a relay or another control node with news."""
        if not self.is_owner():
            return await self.relay.handle_watch(sender, watch)
        taken = self._record_front(sender, watch)
        await wait_for_news(
            lambda: self._has_news(watch),
            self._news,
            watch.wait,
            self._usage.reporter_count,
        )
        if not self.is_owner() or self._registry is None:
            return FleetNews(0, taken=taken)
        now = self._loop.time()
        news = self._registry.make_news(
            watch,
            max(self._expected_front_count(now), 1),
            self._usage.requests_by_upstream(),
            now,
        )
        return attrs.evolve(
            news,
            quotas=self._quotas.states(now),
            limits=self._limits.current_limits(now),
            sends=self._limits.states(now),
            taken=taken,
            knows_uses=now >= self._uses_complete_at,
            services=self.service_load.make_news(now),
            rooms=self._find_scarce_rooms(now),
        )

    def _find_scarce_rooms(self, now: float) -> dict[str, FrontRoom]:
        """Returns which data centres have full fronts; none if in doubt.

        Before all fronts have reported, those with room may be a wrong part.
        """
        if self._usage.fronts < self._expected_front_count(now):
            return {}
        return self._usage.find_scarce_rooms()

    def _has_news(self, watch: WatchFleet) -> bool:
        registry = self._registry
        if registry is None or self._limits.has_any():
            return True
        if self.service_load.is_restricting:
            return True
        if self._quotas.has_limiting_rate(self._loop.time()):
            return True
        return registry.has_news(watch.epoch, watch.number)

    def _record_front(self, sender: str, watch: WatchFleet) -> tuple[int, ...]:
        """Records a front's report; returns the numbers of accepted reports."""
        now = self._loop.time()
        self._usage.record_report(sender, extract_usage(watch), now)
        self._loads.handle_report()
        if self._limits.apply_limits(watch.limits, now):
            self._news.notify()
        if watch.used:
            self._placement.record_requests(watch.used, now)
        return self._received_reports.handle_reports(
            sender,
            watch.reports,
            now,
            accepts=True,
            count=self._record_report,
        )

    def _record_report(self, report: UseReport) -> None:
        now = self._loop.time()
        self._record_sent(extract_sent(report, now), now)
        if self._quotas.has_limiting_rate(now):
            self._news.notify()

    def _record_sent(self, sent: Sent, now: float) -> None:
        span = max(now - sent.since, 0.0)
        for customer in self._quotas.record_uses(sent.uses, now, span):
            log_message("fleet:absurd_report", customer=customer)
        for upstream in self._limits.record_sends(sent.sends, now, span):
            log_message("fleet:absurd_report", upstream=upstream)
        self.service_load.record(sent, span, now)
        if self._registry is not None:
            self._paces.record(sent, self._registry.upstreams, now)

    def list_limits(self) -> list[LimitUse]:
        """Returns the limits that upstreams have named.

        Raises:
            NotOwnerError: another node owns the fleet.
        """
        self._check_owner()
        return self._limits.overview(self._loop.time())

    def _check_owner(self) -> None:
        if not self.is_owner():
            owner = self._control.leader_address() or "nobody known"
            raise NotOwnerError(f"the fleet's owner is {owner}; ask there")

    def list_quotas(self) -> list[QuotaUse]:
        """Returns the use of customers that have a limit.

        Raises:
            NotOwnerError: another node owns the fleet.
        """
        self._check_owner()
        return self._quotas.overview(self._loop.time())

    def _min_version(self, artifact: str) -> int:
        return self._control.state.artifact_versions.get(artifact, 0)

    # -- requests for artifacts ----------------------------------------

    async def handle_want(self, want: WantArtifact) -> ArtifactReady:
        """Answers once an engine holds the artifact, or with a refusal."""
        if not self.is_owner():
            return ArtifactReady("", after=1.0, reason=NOT_OWNER)
        full = self.slots.list_full(want.service)
        if full:
            want = attrs.evolve(want, avoid=(*want.avoid, *full))
        return await self._loads.provide_artifact(want)

    # -- slots of brittle upstreams ------------------------------------

    async def handle_slot_request(
        self, sender: str, request: RequestSlot
    ) -> SlotAnswer:
        """Answers once a slot is free, or that there is none."""
        if not self.is_owner():
            return SlotAnswer(is_certain=False)
        return await self.slots.provide(sender, request)

    def handle_held_slots(self, sender: str, held: HeldSlots) -> Taken:
        """Applies a front's report of the slots that it holds.

        Raises:
            PeerError: another node owns the fleet.
        """
        if not self.is_owner():
            raise PeerError("HeldSlots", self._control.node.name, NOT_OWNER)
        self.slots.handle_held(sender, held)
        return Taken()

    def handle_heard_brittle(self, heard: HeardBrittle) -> None:
        """Records what an upstream states about being brittle."""
        if self.is_owner():
            self.slots.handle_heard(heard)

    async def handle_reading_ended(
        self, sender: str, ended: ReadingEnded
    ) -> None:
        """Takes a prompt out of an engine's backlog; records its outcome."""
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
        """Records that a VM is alive and can deliver orders."""
        if self._leases.handle_alive(alive) and self._registry is not None:
            self._leases.update_holders(self._placement.engines.values())
            self._loads.dispatch()

    def _orders_allowed_from(self) -> float:
        """Returns the time from which some engine can receive orders."""
        if self._registry is None:
            return float("inf")
        return self._leases.orders_possible_from(
            self._placement.engines.values()
        )

    def _find_authority(self, engine: Engine) -> Authority | None:
        """Returns which VM delivers orders to an engine; None if none may."""
        if not self.is_owner():
            return None
        return self._leases.find_authority(engine)

    def _start_upkeep(self) -> None:
        for service in self.table.services.values():
            if service.engine is not None:
                models = tuple(model.name for model in service.engine.models)
                self._loads.start_upkeep(service.name, models)
