"""Estimates how fast the engines of a service read prompts (prefill)."""

# Estimate until answers have been measured; between the fastest and the slowest
# engines in use.
_INITIAL_TOKENS_PER_SECOND = 30_000.0
# Weights of samples above and below the estimate. Queueing at an engine makes
# prefill look slow, while only cached prompt parts make it look fast, so the
# estimate follows the fastest 10% of the samples.
_RISING_WEIGHT = 0.1
_FALLING_WEIGHT = 0.01
# For shorter prompts, batch steps and network delays dominate the time.
_MIN_SAMPLE_TOKENS = 2000
# Samples beyond this multiple of the estimate had cached prompt parts.
_MAX_SAMPLE_FACTOR = 2.0
# Time to the first event beside the prefill: one batch step and the network
# round trip.
_OVERHEAD_SECONDS = 0.015


class PrefillRate:
    """Moving estimate of the prefill rate, in tokens per second."""

    def __init__(self) -> None:
        self._rate = _INITIAL_TOKENS_PER_SECOND

    def record(self, tokens: int, seconds: float) -> None:
        """Records the time to the first event for a prompt.

        Args:
            tokens: length of the prompt.
            seconds: seconds from sending the request to the first event.
        """
        prefill_seconds = seconds - _OVERHEAD_SECONDS
        if tokens < _MIN_SAMPLE_TOKENS or prefill_seconds <= 0:
            return
        sample = min(tokens / prefill_seconds, _MAX_SAMPLE_FACTOR * self._rate)
        weight = _RISING_WEIGHT if sample > self._rate else _FALLING_WEIGHT
        self._rate += weight * (sample - self._rate)

    def estimate_seconds(self, tokens: int) -> float:
        """Returns the estimated seconds to the first event without queueing."""
        return tokens / self._rate + _OVERHEAD_SECONDS
