"""Counters and histograms of fronts and control nodes."""

import resource

from ridgesill.adapters.metrics import MeterSet
from ridgesill.ports.telemetry import RequestEnd

_BYTES_PER_KIBIBYTE = 1024
# Unknown fields counted under their own names; more are counted as `others`,
# since upstreams may send any number of them.
_MAX_NAMED_WORDS = 16


class ServingMetrics(MeterSet):
    """Implements `ports.telemetry.Telemetry`.

    Labels are the kinds of routes, priorities, outcomes, reasons and a few
    customers. The number of time series thus doesn't grow with the number of
    adapters or upstreams.
    """

    def __init__(self) -> None:
        super().__init__()
        meter = self._meter
        self._requests = meter.create_counter("ridgesill_requests")
        self._by_customer = meter.create_counter("ridgesill_customer_requests")
        self._attempts = meter.create_counter("ridgesill_attempts")
        self._total = meter.create_histogram("ridgesill_total_seconds")
        self._first_event = meter.create_histogram(
            "ridgesill_first_event_seconds"
        )
        self._load_wait = meter.create_histogram("ridgesill_load_wait_seconds")
        self._orders = meter.create_counter("ridgesill_orders")
        self._loads = meter.create_histogram("ridgesill_adapter_load_seconds")
        self._unknown_words = meter.create_counter("ridgesill_unknown_words")
        self._taken_up = meter.create_counter("ridgesill_streams_taken_up")
        self._named_words: set[str] = set()
        self.add_gauge("ridgesill_peak_memory_bytes", _read_peak_memory_bytes)

    def record_request_end(self, end: RequestEnd) -> None:
        """Records the outcome and the durations of a completed request."""
        labels = {"kind": end.kind, "class": str(end.priority)}
        labels_with_outcome = {
            **labels,
            "outcome": end.outcome,
            "reason": end.reason,
        }
        self._requests.add(1, labels_with_outcome)
        self._attempts.add(end.attempts, labels)
        self._total.record(end.seconds, labels)
        if end.customer:
            self._by_customer.add(
                1,
                {
                    "customer": end.customer,
                    "outcome": end.outcome,
                    "in_time": str(end.in_time).lower(),
                },
            )
        if end.outcome == "served":
            self._first_event.record(end.first_byte_seconds, labels)
        if end.load_wait_seconds:
            self._load_wait.record(end.load_wait_seconds, labels)

    def record_order(self, action: str, verdict: str) -> None:
        """Counts an order to an engine by action and verdict."""
        self._orders.add(1, {"action": action, "verdict": verdict})

    def record_load_seconds(self, seconds: float) -> None:
        """Records the duration of an adapter load in seconds."""
        self._loads.record(seconds)

    def record_unknown_field(self, word: str) -> None:
        """Counts an unknown field in an upstream's response."""
        if len(self._named_words) < _MAX_NAMED_WORDS:
            self._named_words.add(word)
        label = word if word in self._named_words else "others"
        self._unknown_words.add(1, {"word": label})

    def record_stream_taken_up(self, source: str) -> None:
        """Counts a stream that is taken up, by who knew where it began."""
        self._taken_up.add(1, {"source": source})


def _read_peak_memory_bytes() -> float:
    peak_kibibytes = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    return float(peak_kibibytes * _BYTES_PER_KIBIBYTE)
