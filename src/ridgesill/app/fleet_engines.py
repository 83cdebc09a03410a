"""What an owner believes of engines, brought in line with what they say."""

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

# An engine that began longer ago than this gets no more orders that were meant
# for an earlier start, in seconds: they are carried out 13 s late at the most,
# and sent for four heartbeats until the earlier start counts as silent; 7 s are
# for clocks that differ.
_BEGAN_LATELY = 25.0


class FleetEngines:
    """The engines that an owner orders, from what upstreams say.

    Args:
        placement: where the engines are kept.
        orders: knows which orders to earlier starts may still run.
        calls: how starts are named.
        delivered_until: returns until when an earlier owner's orders may have
            left, in seconds of the loop's clock.
        note_news: called when fronts have something to learn.
        now: returns the loop's clock, in seconds.
        time_of_day: returns seconds since 1970, as upstreams tell their starts.
    """

    def __init__(
        self,
        placement: Placement,
        orders: EngineOrders,
        calls: EngineCalls,
        delivered_until: Callable[[], float],
        note_news: Callable[[], None],
        now: Callable[[], float],
        time_of_day: Callable[[], float] = time.time,
    ) -> None:
        self.table = RouteTable()
        self.registry: Registry | None = None
        self._placement = placement
        self._orders = orders
        self._calls = calls
        self._delivered_until = delivered_until
        self._note_news = note_news
        self._now = now
        self._time_of_day = time_of_day
        # Whether this owner knew no upstream, though an earlier one may have
        # ordered some.
        self._began_blind = False

    def begin(self, registry: Registry, *, blind: bool) -> None:
        """Takes over with what is known of the upstreams.

        Args:
            registry: of the upstreams.
            blind: whether an earlier owner may have ordered some that aren't
                in it.
        """
        self.registry = registry
        self._began_blind = blind
        self._placement.engines.clear()
        now = self._now()
        for upstream in registry.upstreams.values():
            self._meet(upstream, now)

    def end(self) -> None:
        """Gives up all."""
        self.registry = None

    def remove_silent(self) -> None:
        """Forgets upstreams that have been silent for too long."""
        registry = self.registry
        if registry is None:
            return
        number = registry.number
        for name in registry.expire(self._now()):
            log_message("fleet:upstream_silent", upstream=name)
            self._forget(name)
        if registry.number != number:
            self._note_news()

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
        """Takes a heartbeat."""
        registry = self.registry
        if registry is None:
            return
        now = self._now()
        number = registry.number
        known = registry.upstreams.get(heartbeat.name)
        before = registry.find(heartbeat.identity)
        if not registry.handle_heartbeat(heartbeat, now):
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
        if heartbeat.unknown:
            self._orders.unknown_words.note(
                upstream.name, upstream.address, "heartbeat", heartbeat.unknown
            )
        if before is not None and before.name != upstream.name:
            self._note_restart(before, upstream)
        self._note_heartbeat(heartbeat, upstream, now)
        if registry.number != number:
            for name in list(self._placement.engines):
                if name not in registry.upstreams:
                    self._forget(name)
            self._note_news()

    def handle_leave(self, leave: HeardLeave) -> None:
        """Notes that an upstream leaves."""
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
        self._note_news()

    def _note_heartbeat(
        self, heartbeat: Heartbeat, upstream: Upstream, now: float
    ) -> None:
        engine = self._placement.engines.get(upstream.name)
        if engine is None:
            self._meet(upstream, now)
            return
        # By what was ever heard of this start: one that said in its answers
        # that it leaves may send heartbeats that don't say so yet.
        engine.draining = upstream.state != READY
        if heartbeat.resident is not None:
            appeared = engine.reconcile(heartbeat.resident, now)
            if appeared:
                log_message(
                    "fleet:appeared",
                    upstream=engine.name,
                    artifacts=appeared,
                    places=engine.used_adapter_slots(),
                )
            self.publish_resident(engine)

    def _meet(self, upstream: Upstream, now: float) -> None:
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
        )
        if upstream.has_strays or self._may_have_started_recently(upstream):
            # An earlier owner's orders to an earlier start may run on this one;
            # which isn't known here.
            engine.suspended_until = (
                self._delivered_until() + UNANSWERED_SECONDS
            )
        engine.late_orders = self._orders.late_orders(
            engine.instance, engine.start
        )
        engine.draining = upstream.state != READY
        # Fronts may still use all of it, until they have said what they use.
        engine.apply_resident(upstream.resident, assigned_at=now)
        # A report must be from after an earlier owner's last order.
        engine.last_order_at = min(now, self._delivered_until())
        self._placement.engines[upstream.name] = engine

    def _may_have_started_recently(self, upstream: Upstream) -> bool:
        """Whether an earlier owner may have ordered an earlier start of it.

        Only the engine's own word tells when it began, by the time of day,
        which may differ here by some seconds.
        """
        if not upstream.start or not self._began_blind:
            return False
        return self._time_of_day() - upstream.start / 1000 < _BEGAN_LATELY

    def _note_restart(self, before: Upstream, upstream: Upstream) -> None:
        """Begins anew with an engine that started again under its name."""
        log_message(
            "fleet:restarted",
            upstream=upstream.name,
            peer=upstream.address,
            start=upstream.start,
            before=before.start,
        )
        self._forget(before.name)

    def handle_later_start(self, engine: Engine, report: EngineReport) -> None:
        """Takes a report of a later start than the one that was asked."""
        registry = self.registry
        if registry is None or engine.name not in registry.upstreams:
            return
        upstream = registry.upstreams[engine.name]
        name = self._calls.make_incarnation_name(engine.name, report.start)
        # Below any number of its own heartbeats.
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
        )
        self.handle_heartbeat(heartbeat)

    def _forget(self, name: str) -> None:
        engine = self._placement.engines.pop(name, None)
        if engine is not None:
            # Loads that are under way there give no more orders.
            engine.is_superseded = True
        self._orders.discard_engine(name)

    def apply_table(self, table: RouteTable) -> None:
        """Takes a new configuration."""
        self.table = table
        if self.registry is None:
            return
        now = self._now()
        for upstream in self.registry.upstreams.values():
            if upstream.name not in self._placement.engines:
                self._meet(upstream, now)

    def publish_resident(self, engine: Engine) -> None:
        """Has fronts learn what an engine holds now."""
        if self.registry is None:
            return
        number = self.registry.number
        self.registry.set_resident(engine.name, engine.resident())
        if self.registry.number != number:
            self._note_news()
