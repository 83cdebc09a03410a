"""The owner's load control of plain services: its wiring, logs and figures."""

from collections.abc import Mapping

import attrs
from eliot import log_message

from ridgesill.core.fleet.messages import ServiceNews
from ridgesill.core.fleet.overload import OverloadControl, ServiceState
from ridgesill.core.fleet.registry import Registry
from ridgesill.core.fleet.service_capacity import LoadState
from ridgesill.core.fleet.use_reports import Sent
from ridgesill.core.serving.customers import Customers
from ridgesill.core.serving.routes import RouteTable

# Change of capacity or offered load that is logged during an overload.
_LOGGED_CHANGE = 0.2
# Time without a restriction after which an overload has ended, in seconds: near
# its capacity a service is restricted on and off.
_END_SECONDS = 1.0


@attrs.define
class _LoggedOverload:
    """An overload that has been logged.

    Attributes:
        state: state of the service as logged last.
        restricted_at: latest time with a restriction, in seconds.
    """

    state: ServiceState
    restricted_at: float

    def has_changed(self, state: ServiceState) -> bool:
        """Whether capacity or offered load differ by a fifth."""
        pairs = (
            (self.state.capacity, state.capacity),
            (self.state.offered, state.offered),
        )
        return any(abs(new - old) >= _LOGGED_CHANGE * old for old, new in pairs)


class ServiceLoad:
    """Applies overload control to the fleet while this node owns it.

    Attributes:
        is_enabled: whether any service is controlled; set before the first
            configuration is applied.
    """

    def __init__(self) -> None:
        self.is_enabled = True
        self._control = OverloadControl()
        self._table = RouteTable()
        self._logged: dict[str, _LoggedOverload] = {}

    def begin(self, now: float) -> None:
        """Begins without knowledge, as a new owner does."""
        self._control = OverloadControl(now)
        self._logged.clear()
        self.apply_table(self._table)

    def end(self) -> None:
        """Drops all state when this node gives up the fleet."""
        self._control = OverloadControl()
        self._logged.clear()

    def apply_table(self, table: RouteTable) -> None:
        """Adopts a new configuration."""
        self._table = table
        weights = _find_weights(table.customers)
        goals = table.shortest_plain_goals() if self.is_enabled else {}
        self._control.set_services(goals, weights)

    def record(self, sent: Sent, span: float, now: float) -> None:
        """Counts a report; see `OverloadControl.record`."""
        for name in self._control.record(sent, span, now):
            log_message("fleet:absurd_report", subject=name.replace("\n", " "))

    def update(
        self,
        registry: Registry,
        busy: Mapping[str, int],
        fronts: int,
        now: float,
    ) -> bool:
        """Updates the control and the load states in the registry.

        Args:
            registry: all upstreams.
            busy: requests in progress by upstream, over all fronts.
            fronts: number of fronts that report.
            now: clock time, in seconds.

        Returns:
            Whether there is anything that fronts need to be told.
        """
        number = registry.number
        upstreams = registry.upstreams.values()
        self._control.update(upstreams, busy, fronts, now)
        self._set_load_states(registry)
        for state in self._control.states():
            self._log_overload(state, now)
        return self.is_restricting or registry.number != number

    def _set_load_states(self, registry: Registry) -> None:
        """Sets the load states of plain upstreams, and no engine's.

        Upstreams of services that aren't controlled get the default.
        """
        states = self._control.load_states()
        for name, upstream in list(registry.upstreams.items()):
            service = self._table.services.get(upstream.service)
            if service is None or service.engine is not None:
                continue
            state = states.get(name, LoadState())
            if upstream.is_ejected != state.is_ejected:
                log_message(
                    "fleet:ejected",
                    upstream=name,
                    service=upstream.service,
                    is_ejected=state.is_ejected,
                    failure_rate=round(self._control.failure_rate(name), 2),
                )
            registry.set_load_state(name, state.pace, state.is_ejected)

    def _log_overload(self, state: ServiceState, now: float) -> None:
        logged = self._logged.get(state.service)
        if not state.restricted:
            if logged and now - logged.restricted_at >= _END_SECONDS:
                del self._logged[state.service]
                _log_state(state, "ended")
        elif logged is None:
            self._logged[state.service] = _LoggedOverload(state, now)
            _log_state(state, "began")
        else:
            logged.restricted_at = now
            if logged.has_changed(state):
                logged.state = state
                _log_state(state, "changed")

    @property
    def is_restricting(self) -> bool:
        """Whether any class of requests is restricted."""
        return self._control.is_restricting

    def make_news(self, now: float) -> dict[str, ServiceNews]:
        """Returns the news of all controlled services."""
        return self._control.make_news(now)

    # -- metrics -------------------------------------------------------

    def capacity(self) -> float:
        """Returns the requests a second that all services can serve."""
        return sum(state.capacity for state in self._control.states())

    def lowest_share(self) -> float:
        """Returns the lowest share of its load that a service admits."""
        shares = (state.share for state in self._control.states())
        return min(shares, default=1.0)

    def expected_returns(self) -> float:
        """Returns the number of refused callers that should return."""
        return sum(state.expected_returns for state in self._control.states())


def _find_weights(customers: Customers | None) -> dict[str, float]:
    """Returns the customers' weights in fair shares, 1 on average.

    A customer's quota shows its usual load. Quotas in tokens and in requests
    can't be compared, so then all customers have the same weight.
    """
    quotas = customers.quotas if customers else {}
    if len({quota.counts_tokens for quota in quotas.values()}) != 1:
        return {}
    mean = sum(quota.rate for quota in quotas.values()) / len(quotas)
    return {n: q.rate / mean for n, q in quotas.items() if mean > 0}


def _log_state(state: ServiceState, change: str) -> None:
    log_message(
        "fleet:overload",
        service=state.service,
        change=change,
        capacity=round(state.capacity),
        offered=round(state.offered),
        in_progress=state.in_progress,
        restricted=state.restricted,
    )
