"""How long engines take to read (prefill) prompts, learned from past prompts.

Load pattern: prompts have a hundred to forty thousand tokens, and engines
differ in speed. Because of attention, a token of a long prompt takes longer
than a token of a short one. A constant rate predicts a third too little for the
longest prompts, and makes every request late that is queued behind one of them.
"""

import attrs

from ridgesill.core.fleet.engine_pace import EnginePaces

# Seconds for a thousand tokens until engines have been observed: the mean over
# typical engines.
_DEFAULT_SECONDS_PER_THOUSAND = 1 / 30
# Tokens per unit of the fitted curve, which keeps its coefficients near one.
_TOKENS_PER_UNIT = 1000.0
# Factor by which the weight of earlier observations shrinks with each new one.
# It leaves about 200 observations, which are some tens of seconds of a
# deployment's long prompts.
_FORGETTING_FACTOR = 0.995
# Variances of the initial values of the two coefficients. They are large enough
# for one or two long prompts to outweigh the initial values.
_INITIAL_VARIANCES = (1e-4, 1e-7)
# Variance of the observed seconds around the curve. It is caused by the steps
# of the batch and by prompts that are read in between.
_NOISE_VARIANCE = 0.01
# Greatest factor between an observed and an expected time; beyond it the
# observation is clipped. Cached parts of a prompt are not read and make an
# engine look fast, and a wait that is unknown here makes it look slow.
_MAX_PLAUSIBLE_FACTOR = 2.0
# Least length of an observed prompt, in tokens. For shorter prompts the
# duration of a batch step, about 30 ms, distorts the time too much.
_MIN_TOKENS = 2000


@attrs.define
class _ReadTimeCurve:
    """Seconds as a function of tokens: a linear and a square term.

    The coefficients are fitted by recursive least squares with forgetting.

    Attributes:
        linear: seconds per thousand tokens.
        square: seconds per square of a thousand tokens.
    """

    linear: float = _DEFAULT_SECONDS_PER_THOUSAND
    square: float = 0.0
    # Covariance matrix of both coefficients.
    _linear_variance: float = _INITIAL_VARIANCES[0]
    _covariance: float = 0.0
    _square_variance: float = _INITIAL_VARIANCES[1]

    def seconds(self, tokens: float) -> float:
        """Returns how long an engine of pace 1 takes, in seconds."""
        x = tokens / _TOKENS_PER_UNIT
        return max(self.linear * x + self.square * x * x, 0.0)

    def record(self, tokens: float, seconds: float) -> None:
        """Updates the coefficients from one observation.

        Args:
            tokens: the length of the prompt.
            seconds: how long an engine of pace 1 took to read it.
        """
        x = tokens / _TOKENS_PER_UNIT
        y = x * x
        linear_projection = self._linear_variance * x + self._covariance * y
        square_projection = self._covariance * x + self._square_variance * y
        innovation_variance = (
            _FORGETTING_FACTOR * _NOISE_VARIANCE
            + x * linear_projection
            + y * square_projection
        )
        linear_gain, square_gain = (
            linear_projection / innovation_variance,
            square_projection / innovation_variance,
        )
        error = seconds - (self.linear * x + self.square * y)
        self.linear += linear_gain * error
        self.square = max(self.square + square_gain * error, 0.0)
        self._linear_variance = min(
            (self._linear_variance - linear_gain * linear_projection)
            / _FORGETTING_FACTOR,
            _INITIAL_VARIANCES[0],
        )
        self._covariance = (
            self._covariance - linear_gain * square_projection
        ) / _FORGETTING_FACTOR
        self._square_variance = min(
            (self._square_variance - square_gain * square_projection)
            / _FORGETTING_FACTOR,
            _INITIAL_VARIANCES[1],
        )


class ReadingTimes:
    """Predicts reading times from one curve and the pace of each engine.

    The pace is a factor on the time that the curve gives.

    Args:
        paces: the paces of the engines; by default they are learned from these
            reading times only.
    """

    def __init__(self, paces: EnginePaces | None = None) -> None:
        self._curve = _ReadTimeCurve()
        self._paces = paces or EnginePaces()

    def seconds(self, engine: str, tokens: int) -> float:
        """Returns how long an engine takes to read a prompt, in seconds."""
        return self._curve.seconds(tokens) * self._paces.pace(engine)

    def mean_seconds(self, tokens: int) -> float:
        """Returns how long an average engine takes to read, in seconds."""
        return self._curve.seconds(tokens) * self._paces.mean_pace()

    def record(self, engine: str, tokens: int, seconds: float) -> None:
        """Records how long an engine took to read a prompt, in seconds."""
        if tokens < _MIN_TOKENS or seconds <= 0:
            return
        pace = self._paces.pace(engine)
        expected = self._curve.seconds(tokens) * pace
        shortest, longest = (
            expected / _MAX_PLAUSIBLE_FACTOR,
            expected * _MAX_PLAUSIBLE_FACTOR,
        )
        seconds = min(max(seconds, shortest), longest)
        self._paces.record_reading(engine, seconds / expected)
        self._curve.record(tokens, seconds / pace)
