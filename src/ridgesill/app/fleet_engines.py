"""Keeps the owner's model of the engines in line with their heartbeats."""

import time
from collections.abc import Callable

from eliot import log_message

from ridgesill.app.engine_orders import EngineOrders
from ridgesill.core.fleet.engines import Engine
from ridgesill.core.fleet.messages import (
    READY,
    HeardLeave,
    Heartbeat,
    Upstream,
)
from ridgesill.core.fleet.orders import EngineReport
from ridgesill.core.fleet.placement import Placement
from ridgesill.core.fleet.registry import Registry
from ridgesill.core.fleet.sent_orders import UNANSWERED_SECONDS
from ridgesill.core.serving.routes import RouteTable
from ridgesill.ports.dialect import EngineCalls

# A start of an engine that is older than this, in seconds, receives no more
# orders that were meant for its previous start. Orders run at most 13 s late,
# and are sent for another four heartbeats until the previous start counts as
# silent; 7 s of the total allow for differing clocks.
_RECENT_START_SECONDS = 25.0


class FleetEngines:
    """Maintains the engines of the placement from the upstreams' heartbeats.

    Args:
        placement: holds the engines.
        orders: knows which orders to earlier starts may still take effect.
        calls: derives the names of starts.
        delivered_until: returns the time until which orders of an earlier
            owner may have been sent, in seconds of the loop's clock.
        notify_news: called when there is news for the fronts.
        now: returns the loop's clock, in seconds.
        time_of_day: returns seconds since 1970, the unit in which upstreams
            report their starts.
    """

    def __init__(
        self,
        placement: Placement,
        orders: EngineOrders,
        calls: EngineCalls,
        delivered_until: Callable[[], float],
        notify_news: Callable[[], None],
        now: Callable[[], float],
        time_of_day: Callable[[], float] = time.time,
    ) -> None:
        self.table = RouteTable()
        self.registry: Registry | None = None
        self._placement = placement
        self._orders = orders
        self._calls = calls
        self._delivered_until = delivered_until
        self._notify_news = notify_news
        self._now = now
        self._time_of_day = time_of_day
        # Whether this owner took over without knowing any upstream although an
        # earlier owner may have sent orders to some.
        self._may_lack_upstreams = False
        # The software versions that were logged last, by service.
        self._software: dict[str, tuple[str, ...]] = {}

    def begin(self, registry: Registry, *, may_lack_upstreams: bool) -> None:
        """Rebuilds the engines from a registry when this node takes over.

        Args:
            registry: the upstreams that are known.
            may_lack_upstreams: whether an earlier owner may have sent orders
                to upstreams that are not in the registry.
        """
        self.registry = registry
        self._may_lack_upstreams = may_lack_upstreams
        self._placement.engines.clear()
        now = self._now()
        for upstream in registry.upstreams.values():
            self._add_engine(upstream, now)

    def end(self) -> None:
        """Drops the registry when this node gives up the fleet."""
        self.registry = None

    def remove_silent(self) -> None:
        """Removes upstreams that have sent no heartbeat for too long."""
        registry = self.registry
        if registry is None:
            return
        number = registry.number
        for name in registry.expire(self._now()):
            log_message("fleet:upstream_silent", upstream=name)
            self._remove_engine(name)
        if registry.number != number:
            for service in list(self._software):
                self._log_software(service)
            self._notify_news()

    def of_service(self, service: str) -> list[Engine]:
        """Returns the engines of a service."""
        registry = self.registry
        if registry is None:
            return []
        return [
            engine
            for engine in self._placement.engines.values()
            if engine.name in registry.upstreams
            and registry.upstreams[engine.name].service == service
        ]

    def handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Updates the registry and the engine from a heartbeat."""
        registry = self.registry
        if registry is None:
            return
        now = self._now()
        number = registry.number
        known_upstream = registry.upstreams.get(heartbeat.name)
        previous_start = registry.find(heartbeat.identity)
        if not registry.handle_heartbeat(heartbeat, now):
            return
        upstream = registry.upstreams[heartbeat.name]
        if known_upstream is None or known_upstream.state != upstream.state:
            log_message(
                "fleet:upstream",
                upstream=upstream.name,
                service=upstream.service,
                peer=upstream.address,
                state=upstream.state,
                software=upstream.software,
            )
        if heartbeat.unknown:
            self._orders.unknown_field_log.record(
                upstream.name, upstream.address, "heartbeat", heartbeat.unknown
            )
        if previous_start is not None and previous_start.name != upstream.name:
            self._handle_restart(previous_start, upstream)
        self._apply_heartbeat(heartbeat, upstream, now)
        if registry.number != number:
            for name in list(self._placement.engines):
                if name not in registry.upstreams:
                    self._remove_engine(name)
            self._log_software(upstream.service)
            self._notify_news()

    def _log_software(self, service: str) -> None:
        """Logs the software versions of a service if they have changed."""
        assert self.registry is not None
        versions = self.registry.list_software(service)
        if versions != self._software.get(service, ()):
            self._software[service] = versions
            log_message(
                "fleet:software", service=service, versions=list(versions)
            )

    def handle_leave(self, leave: HeardLeave) -> None:
        """Marks an upstream and its engine as leaving."""
        registry = self.registry
        if registry is None:
            return
        name = registry.handle_leave(leave.name, leave.start, self._now())
        engine = self._placement.engines.get(name)
        if engine is not None:
            engine.draining = True
        log_message(
            "fleet:upstream",
            upstream=leave.name,
            start=leave.start,
            leaves=name,
            state="leaving",
        )
        self._notify_news()

    def _apply_heartbeat(
        self, heartbeat: Heartbeat, upstream: Upstream, now: float
    ) -> None:
        engine = self._placement.engines.get(upstream.name)
        if engine is None:
            self._add_engine(upstream, now)
            return
        # Uses the registry's state, not this heartbeat's: an upstream that
        # announced in a response that it is leaving may still send heartbeats
        # that say it is ready.
        engine.draining = upstream.state != READY
        engine.software = upstream.software
        if heartbeat.resident is not None:
            new_artifacts = engine.reconcile(heartbeat.resident, now)
            if new_artifacts:
                log_message(
                    "fleet:appeared",
                    upstream=engine.name,
                    artifacts=new_artifacts,
                    places=engine.used_adapter_slots(),
                )
            self.publish_resident(engine)

    def _add_engine(self, upstream: Upstream, now: float) -> None:
        service = self.table.services.get(upstream.service)
        if service is None or service.engine is None:
            return
        engine = Engine(
            upstream.name,
            upstream.address,
            upstream.data_centre,
            service.engine,
            instance=upstream.instance,
            start=upstream.start,
            software=upstream.software,
        )
        if upstream.has_strays or self._may_have_started_recently(upstream):
            # Orders that an earlier owner sent to an earlier start may still
            # run on this one, and this owner doesn't know them.
            engine.suspended_until = (
                self._delivered_until() + UNANSWERED_SECONDS
            )
        engine.late_orders = self._orders.late_orders(
            engine.instance, engine.start
        )
        engine.draining = upstream.state != READY
        # All resident artifacts count as in use until the fronts have reported
        # what they use.
        engine.apply_resident(upstream.resident, assigned_at=now)
        # Only reports made after an earlier owner's last order are reliable.
        engine.last_order_at = min(now, self._delivered_until())
        self._placement.engines[upstream.name] = engine

    def _may_have_started_recently(self, upstream: Upstream) -> bool:
        """Whether orders of an earlier owner to its last start may still run.

        The start time comes from the engine's own clock, which may differ from
        this node's by some seconds.
        """
        if not upstream.start or not self._may_lack_upstreams:
            return False
        return (
            self._time_of_day() - upstream.start / 1000 < _RECENT_START_SECONDS
        )

    def _handle_restart(
        self, previous_start: Upstream, upstream: Upstream
    ) -> None:
        """Removes the previous start of an engine that has restarted."""
        log_message(
            "fleet:restarted",
            upstream=upstream.name,
            peer=upstream.address,
            start=upstream.start,
            before=previous_start.start,
        )
        self._remove_engine(previous_start.name)

    def handle_later_start(self, engine: Engine, report: EngineReport) -> None:
        """Registers a later start that answered instead of the one asked."""
        registry = self.registry
        if registry is None or engine.name not in registry.upstreams:
            return
        upstream = registry.upstreams[engine.name]
        name = self._calls.make_incarnation_name(engine.name, report.start)
        # Sequence number -1 is below those of the engine's own heartbeats. Its
        # software may have changed, so until it tells its version, that counts
        # as one of its own.
        heartbeat = Heartbeat(
            name,
            upstream.service,
            upstream.address,
            upstream.data_centre,
            upstream.slots,
            False,
            -1,
            report.resident,
            instance=engine.instance,
            start=report.start,
            software=name,
        )
        self.handle_heartbeat(heartbeat)

    def _remove_engine(self, name: str) -> None:
        engine = self._placement.engines.pop(name, None)
        if engine is not None:
            # Loads in progress on this engine send no more orders.
            engine.is_superseded = True
        self._orders.discard_engine(name)

    def apply_table(self, table: RouteTable) -> None:
        """Adopts a new configuration; adds engines of new services."""
        self.table = table
        if self.registry is None:
            return
        now = self._now()
        for upstream in self.registry.upstreams.values():
            if upstream.name not in self._placement.engines:
                self._add_engine(upstream, now)

    def publish_resident(self, engine: Engine) -> None:
        """Publishes an engine's resident artifacts to the fronts as news."""
        if self.registry is None:
            return
        number = self.registry.number
        self.registry.set_resident(engine.name, engine.resident())
        if self.registry.number != number:
            self._notify_news()
