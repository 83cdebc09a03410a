"""How fast the engines of a service read prompts, as a front sees it."""

# Tokens a second until answers have shown it; between the fastest and the
# slowest engines that the users have described.
_USUAL_RATE = 30_000.0
# Weights of a sample above the estimate and of one below. Waits at an engine
# make readings look slow, nothing but kept parts makes them look fast, so the
# estimate follows the fastest tenth.
_RISING = 0.1
_FALLING = 0.01
# Shorter prompts say more of steps and delays than of reading.
_TELLING_TOKENS = 2000
# A reading that looks faster than the estimate by more had parts kept.
_PLAUSIBLE = 2.0
# What a first event takes beside the reading, in seconds: a step of the batch
# and the way there and back.
_BESIDE_SECONDS = 0.015


class PrefillRate:
    """Learns from answers."""

    def __init__(self) -> None:
        self._rate = _USUAL_RATE

    def record(self, tokens: int, seconds: float) -> None:
        """Notes how long the first event of an answer took, in seconds."""
        reading = seconds - _BESIDE_SECONDS
        if tokens < _TELLING_TOKENS or reading <= 0:
            return
        sample = min(tokens / reading, _PLAUSIBLE * self._rate)
        weight = _RISING if sample > self._rate else _FALLING
        self._rate += weight * (sample - self._rate)

    def estimate_seconds(self, tokens: int) -> float:
        """Returns how long the first event of a prompt takes without a wait."""
        return tokens / self._rate + _BESIDE_SECONDS
