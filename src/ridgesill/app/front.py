"""What the requests of a front share."""

import random

from ridgesill.adapters.http1.client import UpstreamChannels
from ridgesill.app.change_signal import ChangeSignal
from ridgesill.app.fleet_client import FleetClient
from ridgesill.app.quarantine import Quarantine
from ridgesill.app.unknown_words import UnknownWords
from ridgesill.app.upstream_words import UpstreamWords
from ridgesill.core.fleet.use_reports import Sent
from ridgesill.core.freshness import Freshness
from ridgesill.core.serving.admission import AdmissionControl
from ridgesill.core.serving.callers import ConfigurationFreshness
from ridgesill.core.serving.choice import Chooser
from ridgesill.core.serving.front_limits import FrontLimits
from ridgesill.core.serving.prefill_rate import PrefillRate
from ridgesill.core.serving.rates import FrontRates
from ridgesill.core.serving.retries import RetryBounds, ServiceRetries
from ridgesill.core.serving.routes import RouteTable
from ridgesill.ports.dialect import Dialect
from ridgesill.ports.telemetry import BufferedTelemetry, Telemetry


class Front:
    """What the requests of a front share.

    Args:
        chooser: the choice of an upstream.
        fleet: the link to the owner.
        channels: to upstreams.
        dialect: how clients and upstreams speak.
        bounds: of retries.
        freshness: of the configuration here.
        revocation: seconds from which a key may have been taken away unheard.
        name: of this front, for operators.
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
    ) -> None:
        self.table = RouteTable()
        self.versions: dict[str, int] = {}
        self.chooser = chooser
        self.fleet = fleet
        self.channels = channels
        self.dialect = dialect
        self.quarantine = Quarantine(channels.is_refused)
        self.rng = random.Random()
        self.quotas = FrontRates(self.rng)
        self.limits = FrontLimits(self.rng, name)
        self.words = UpstreamWords(chooser.unavailable, self.limits, fleet)
        self.in_progress = 0
        self.used: dict[str, int] = {}
        self.telemetry: Telemetry = BufferedTelemetry()
        self.unknown_words = UnknownWords(lambda: self.telemetry)
        # Noted when routes or upstreams become known.
        self.learned = ChangeSignal()
        # From when requests that may outlast this process are refused, and
        # when it cuts what is left, on the loop's clock.
        self.refuses_from = float("inf")
        self.stops_at = float("inf")
        self._bounds = bounds
        self._freshness = freshness or Freshness(float("inf"))
        self._revocation = revocation
        self._retries: dict[str, ServiceRetries] = {}
        self._admissions: dict[str, AdmissionControl] = {}
        self._readings: dict[str, PrefillRate] = {}

    def knowledge(self, now: float) -> ConfigurationFreshness:
        """Returns how sure this front is of its configuration."""
        return ConfigurationFreshness(
            self._freshness.age(now), self._revocation
        )

    def retries(self, service: str) -> ServiceRetries:
        """Returns the retry budget of a service."""
        budget = self._retries.get(service)
        if budget is None:
            budget = self._retries[service] = ServiceRetries(self._bounds)
        return budget

    def admission(self, service: str) -> AdmissionControl:
        """Returns the measure of how long a service's engines take."""
        return self._admissions.setdefault(service, AdmissionControl())

    def reading(self, service: str) -> PrefillRate:
        """Returns the measure of how fast a service's engines read."""
        return self._readings.setdefault(service, PrefillRate())

    def take_sent(self) -> Sent:
        """Returns what was sent under rates since the last call."""
        since = min(self.quotas.used_since, self.limits.rates.used_since)
        uses = self.quotas.collect_uses()
        return Sent(uses, self.limits.rates.collect_uses(), since)

    def note_used(self, artifact: str) -> None:
        """Counts a request for an artifact, to be told the owner."""
        self.used[artifact] = self.used.get(artifact, 0) + 1

    def take_used(self) -> dict[str, int]:
        """Returns the requests by artifact since the last call."""
        used, self.used = self.used, {}
        return used
