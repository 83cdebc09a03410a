"""State that all requests of a front share."""

import asyncio
import random

import attrs

from ridgesill.adapters.http1.client import UpstreamChannels
from ridgesill.app.change_signal import ChangeSignal
from ridgesill.app.fleet_client import FleetClient
from ridgesill.app.quarantine import Quarantine
from ridgesill.app.reachability_tests import ReachabilityTests
from ridgesill.app.slot_client import SlotClient
from ridgesill.app.stream_keeping import StreamKeeping
from ridgesill.app.unknown_field_log import UnknownFieldLog
from ridgesill.app.upstream_words import UpstreamWords
from ridgesill.core.fleet.use_reports import Sent
from ridgesill.core.freshness import Freshness
from ridgesill.core.serving.admission import AdmissionControl
from ridgesill.core.serving.callers import ConfigurationFreshness
from ridgesill.core.serving.choice import Chooser
from ridgesill.core.serving.front_limits import FrontLimits
from ridgesill.core.serving.front_load import FrontLoad
from ridgesill.core.serving.peer_fronts import PeerFronts
from ridgesill.core.serving.prefill_rate import PrefillRate
from ridgesill.core.serving.rates import FrontRates
from ridgesill.core.serving.retries import RetryBounds, ServiceRetries
from ridgesill.core.serving.returning_callers import ReturningCallers
from ridgesill.core.serving.routes import RouteTable
from ridgesill.core.serving.service_admission import ServiceAdmission
from ridgesill.ports.dialect import AppliedState, Dialect, FrontDialect
from ridgesill.ports.telemetry import BufferedTelemetry, Telemetry


@attrs.frozen
class FrontLinks:
    """The way to other fronts, which serve what can't be served from here.

    Attributes:
        fronts: chooses among them.
        channels: pools the connections to them.
        dialect: translates the requests that are sent on.
    """

    fronts: PeerFronts
    channels: UpstreamChannels
    dialect: FrontDialect


class Front:
    """Holds the state that all requests of a front share.

    Args:
        chooser: chooses upstreams.
        fleet: the connection to the owner.
        channels: pools the connections to upstreams.
        dialect: translates requests and answers.
        bounds: bounds of the retry budgets.
        freshness: age of the configuration in this process; never stale if
            omitted.
        revocation: age of the configuration, in seconds, from which keys may
            have been revoked without this front knowing.
        name: name of this front, for operators.
        links: the way to other fronts; None where there are none.
        streams: knows where streams began; knows only those of this front if
            omitted.
    """

    def __init__(
        self,
        chooser: Chooser,
        fleet: FleetClient,
        channels: UpstreamChannels,
        dialect: Dialect,
        bounds: RetryBounds,
        freshness: Freshness | None = None,
        revocation: float = float("inf"),
        name: str = "",
        links: FrontLinks | None = None,
        streams: StreamKeeping | None = None,
    ) -> None:
        self.table = RouteTable()
        # Index of the last log entry that has been applied.
        self.applied_index = 0
        self.versions: dict[str, int] = {}
        self.chooser = chooser
        self.fleet = fleet
        self.channels = channels
        self.slots = SlotClient(fleet, chooser)
        self.reachability_tests = ReachabilityTests(
            chooser, channels, self.slots
        )
        self.links = links
        self.streams = streams or StreamKeeping(name, fleet.view)
        self.dialect = dialect
        self.quarantine = Quarantine(self.reachability_tests.has_ended)
        self.rng = random.Random()
        self.quotas = FrontRates(self.rng)
        self.limits = FrontLimits(self.rng, name)
        self.service_admission = ServiceAdmission(self.rng)
        self.returning_callers = ReturningCallers()
        self.upstream_words = UpstreamWords(
            chooser.unavailable,
            self.limits,
            chooser.brittle,
            self.slots,
            fleet,
        )
        # Whether the owner controls the load of plain services, so that their
        # offers and outcomes are counted and reported.
        self.reports_load = True
        # None where no limit of the VM applies.
        self.load: FrontLoad | None = None
        # Services whose whole streams end with an end mark.
        self.marked_services: set[str] = set()
        self.in_progress = 0
        self.request_counts: dict[str, int] = {}
        self.telemetry: Telemetry = BufferedTelemetry()
        self.unknown_field_log = UnknownFieldLog(lambda: self.telemetry)
        # Signals that routes or upstreams have become known or have changed.
        self.discovery_signal = ChangeSignal()
        # While the process stops, on the loop's clock: from the first time on,
        # requests that may outlast the process are refused; at the second one,
        # the remaining requests are cut.
        self.refuses_from = float("inf")
        self.stops_at = float("inf")
        # Time limits of the requests in progress.
        self.timeouts: set[asyncio.Timeout] = set()
        self._bounds = bounds
        self._freshness = freshness or Freshness(float("inf"))
        self._revocation = revocation
        self._retries: dict[str, ServiceRetries] = {}
        self._admission_controls: dict[str, AdmissionControl] = {}
        self._prefill_rates: dict[str, PrefillRate] = {}
        # When the amounts sent were last collected, on the loop's clock.
        self._collected_at = float("inf")

    def begin_stop(self, refuses_from: float, stops_at: float) -> None:
        """Limits all requests, also those in progress, to the time left.

        Args:
            refuses_from: from when requests that may take longer are refused,
                on the loop's clock in seconds.
            stops_at: by when all requests are to be answered.
        """
        self.refuses_from = refuses_from
        self.stops_at = stops_at
        for timeout in self.timeouts:
            ends_at = timeout.when()
            is_later = ends_at is None or ends_at > stops_at
            if is_later and not timeout.expired():
                timeout.reschedule(stops_at)

    def describe_applied(self, now: float) -> AppliedState:
        """Returns what this front has applied, as other fronts are told.

        Args:
            now: the loop's clock, in seconds.
        """
        is_in_touch = self._freshness.is_valid(now)
        index = self.applied_index if is_in_touch else 0
        return AppliedState(self.table.version, index)

    def is_behind(self, applied: AppliedState, now: float) -> bool:
        """Whether another front knows of changes that this one may lack.

        A front in touch with a voter gets each change soon, so its place in the
        log counts only once it is out of touch.

        Args:
            applied: what the other front has applied.
            now: the loop's clock, in seconds.
        """
        if self.table.version < applied.version:
            return True
        if self._freshness.is_valid(now):
            return False
        return self.applied_index < applied.index

    def configuration_freshness(self, now: float) -> ConfigurationFreshness:
        """Returns how far this front may rely on its configuration.

        Args:
            now: the loop's clock, in seconds.
        """
        return ConfigurationFreshness(
            self._freshness.age(now), self._revocation
        )

    def retries(self, service: str) -> ServiceRetries:
        """Returns the retry budget of a service."""
        budget = self._retries.get(service)
        if budget is None:
            budget = self._retries[service] = ServiceRetries(self._bounds)
        return budget

    def admission_control(self, service: str) -> AdmissionControl:
        """Returns the admission control of a service."""
        return self._admission_controls.setdefault(service, AdmissionControl())

    def prefill_rate(self, service: str) -> PrefillRate:
        """Returns the measured prefill rate of a service's engines."""
        return self._prefill_rates.setdefault(service, PrefillRate())

    def collect_sent(self, now: float) -> Sent:
        """Returns what was sent, and its answers, since the last call.

        Args:
            now: the loop's clock, in seconds.
        """
        since = min(self.quotas.used_since, self.limits.rates.used_since)
        uses = self.quotas.collect_uses()
        sent = Sent(uses, self.limits.rates.collect_uses(), since)
        sent = sent.plus(self.service_admission.collect())
        collected_at, self._collected_at = self._collected_at, now
        if sent.since == float("inf"):
            # Answers alone: their requests were sent before the last call.
            sent = attrs.evolve(sent, since=min(collected_at, now))
        return sent

    def record_request(self, artifact: str) -> None:
        """Counts a request for an artifact until the next usage report."""
        self.request_counts[artifact] = self.request_counts.get(artifact, 0) + 1

    def collect_request_counts(self) -> dict[str, int]:
        """Returns the number of requests by artifact since the last call."""
        counts, self.request_counts = self.request_counts, {}
        return counts
