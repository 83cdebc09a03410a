"""Metrics based on OpenTelemetry, exported in Prometheus' text format."""

from collections.abc import Callable, Iterable

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import (
    ExplicitBucketHistogramAggregation,
    View,
)
from prometheus_client import CollectorRegistry, generate_latest

_DURATION_BUCKETS_SECONDS = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1,
    1.6,
    2.5,
    5,
    10,
    30,
    60,
)
_BATCH_SIZE_BUCKETS = (1, 2, 4, 8, 12, 16, 24, 32, 64)


class MeterSet:
    """A set of instruments with an exporter in Prometheus' text format."""

    def __init__(self) -> None:
        views = [
            View(
                instrument_name="ridgesill_*_seconds",
                aggregation=ExplicitBucketHistogramAggregation(
                    _DURATION_BUCKETS_SECONDS
                ),
            ),
            View(
                instrument_name="ridgesill_batch_size",
                aggregation=ExplicitBucketHistogramAggregation(
                    _BATCH_SIZE_BUCKETS
                ),
            ),
        ]
        self._registry = CollectorRegistry()
        reader = PrometheusMetricReader(
            disable_target_info=True,
            scope_info_enabled=False,
            registry=self._registry,
        )
        provider = MeterProvider(metric_readers=[reader], views=views)
        self._meter = provider.get_meter("ridgesill")

    def add_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Adds a gauge.

        Args:
            name: the metric's name.
            read: returns the value; called at each export.
        """

        def observe(_: CallbackOptions) -> Iterable[Observation]:
            return [Observation(read())]

        self._meter.create_observable_gauge(name, callbacks=[observe])

    def render(self) -> bytes:
        """Returns all metrics in Prometheus' text format."""
        return bytes(generate_latest(self._registry))


class Metrics(MeterSet):
    """The instruments of a node.

    Most are labelled with the `team` and the priority as `class`.
    """

    def __init__(self) -> None:
        super().__init__()
        meter = self._meter
        self._first_byte = meter.create_histogram(
            "ridgesill_first_byte_seconds"
        )
        self._total = meter.create_histogram("ridgesill_total_seconds")
        self._stall = meter.create_histogram("ridgesill_load_stall_seconds")
        self._wait = meter.create_histogram("ridgesill_queue_wait_seconds")
        self._load = meter.create_histogram("ridgesill_adapter_load_seconds")
        self._batch = meter.create_histogram("ridgesill_batch_size")
        self._requests = meter.create_counter("ridgesill_requests")

    def observe_admission(
        self,
        team: str,
        priority: int,
        *,
        waited: float,
        stalled: float,
        batch: int,
    ) -> None:
        """Records the admission of a request.

        Args:
            team: the team that the request counts for.
            priority: its priority class.
            waited: seconds that it waited in the queue.
            stalled: seconds of these that it waited for a load.
            batch: number of requests in the runner's batch.
        """
        labels = {"team": team, "class": str(priority)}
        self._wait.record(waited, labels)
        self._stall.record(stalled, labels)
        self._batch.record(batch, labels)

    def observe_first_byte(
        self, team: str, priority: int, seconds: float
    ) -> None:
        """Records the time to the first byte of a response."""
        labels = {"team": team, "class": str(priority)}
        self._first_byte.record(seconds, labels)

    def observe_end(
        self, team: str, priority: int, outcome: str, seconds: float
    ) -> None:
        """Records the outcome and total duration of a request."""
        labels = {"team": team, "class": str(priority)}
        self._total.record(seconds, labels)
        self._requests.add(1, {**labels, "outcome": outcome})

    def observe_load(self, service: str, seconds: float) -> None:
        """Records the duration of an adapter's load."""
        self._load.record(seconds, {"service": service})
