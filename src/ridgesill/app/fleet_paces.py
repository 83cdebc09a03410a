"""Learns the paces of engines from reports, and publishes them to fronts."""

from collections.abc import Iterable, Mapping

from eliot import log_message

from ridgesill.core.fleet.engine_pace import EnginePaces
from ridgesill.core.fleet.messages import Upstream
from ridgesill.core.fleet.registry import Registry
from ridgesill.core.fleet.use_reports import Sent
from ridgesill.core.serving.routes import RouteTable

# How often paces are updated, in seconds. An update takes 3 microseconds for
# each engine.
_UPDATE_SECONDS = 0.4
# Age from which a report says nothing of the present paces, in seconds.
_MAX_REPORT_SECONDS = 4.0
# Streams of at least five events that one slot can end in a second, at most.
_MAX_STREAMS_PER_SLOT = 20.0
# Change of a published pace from which the log reports it.
_LOGGED_CHANGE = 0.3


class FleetPaces:
    """The owner's paces of all engines.

    Attributes:
        paces: the paces.
    """

    def __init__(self) -> None:
        self.paces = EnginePaces()
        # The paces that the log has reported last; 1 for other engines.
        self._logged: dict[str, float] = {}
        self._updated_at = float("-inf")

    def adopt(self, upstreams: Iterable[Upstream]) -> None:
        """Starts with the paces that an earlier owner has published."""
        self.paces.clear()
        self._logged.clear()
        for upstream in upstreams:
            self.paces.adopt(upstream.name, upstream.pace)
            self._logged[upstream.name] = upstream.pace

    def record(
        self, sent: Sent, upstreams: Mapping[str, Upstream], now: float
    ) -> None:
        """Records what a report says of the streams of upstreams.

        Args:
            sent: the report.
            upstreams: the known upstreams, by name.
            now: the loop's clock, in seconds.
        """
        span = max(now - sent.since, 0.0)
        if span > _MAX_REPORT_SECONDS:
            return
        for name, calls in sent.calls.items():
            upstream = upstreams.get(name)
            if upstream is None:
                continue
            max_streams = upstream.slots * (1 + _MAX_STREAMS_PER_SLOT * span)
            is_plausible = self.paces.record_calls(
                upstream.service, name, calls, max_streams, now
            )
            if not is_plausible:
                log_message("fleet:absurd_report", upstream=name, figure="gaps")

    def publish(
        self, registry: Registry, table: RouteTable, now: float
    ) -> None:
        """Updates the paces at times, and publishes those that have changed.

        Args:
            registry: publishes them to fronts.
            table: tells which services have engines.
            now: the loop's clock, in seconds.
        """
        if now < self._updated_at + _UPDATE_SECONDS:
            return
        self._updated_at = now
        engines = _engines_by_service(registry, table)
        if not engines:
            # The configuration isn't known yet; adopted paces stay.
            return
        self.paces.update(engines, now)
        for names in engines.values():
            for name in names:
                self._publish_pace(registry, name)
        for name in self._logged.keys() - registry.upstreams.keys():
            del self._logged[name]

    def _publish_pace(self, registry: Registry, engine: str) -> None:
        pace = self.paces.published_pace(engine)
        is_ejected = registry.upstreams[engine].is_ejected
        registry.set_load_state(engine, pace, is_ejected)
        self._log(engine, pace)

    def _log(self, upstream: str, pace: float) -> None:
        # Paces are sums of steps of 0.1, which floats don't hold exactly.
        change = round(abs(pace - self._logged.get(upstream, 1.0)), 3)
        if change >= _LOGGED_CHANGE:
            self._logged[upstream] = pace
            log_message("fleet:pace", upstream=upstream, pace=pace)


def _engines_by_service(
    registry: Registry, table: RouteTable
) -> dict[str, list[str]]:
    """Returns the names of the known engines by service."""
    engines: dict[str, list[str]] = {
        service.name: []
        for service in table.services.values()
        if service.engine is not None
    }
    for upstream in registry.upstreams.values():
        if upstream.service in engines:
            engines[upstream.service].append(upstream.name)
    return engines
