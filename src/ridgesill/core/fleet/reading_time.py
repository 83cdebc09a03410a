"""How long engines take to read prompts, learned from what they have read.

Load pattern: prompts between a hundred and forty thousand tokens on engines of
unlike speeds. Attention makes each token of a long prompt dearer than one of a
short prompt, so that a rate alone foretells the longest a third too short, and
whatever is put behind one of those is late.
"""

import attrs

# Seconds for a thousand tokens until engines have shown how fast they read:
# the mean of the engines that the users have described.
_USUAL_SECONDS = 1 / 30
# Unit of the tokens that the curve is fitted over, for numbers near one.
_THOUSAND = 1000.0
# Of the weight of earlier readings, what is left with each new one; some 200
# readings count, a few tens of seconds of a deployment's long prompts.
_FORGETTING = 0.995
# How sure the first guess is, as variances of its two coefficients: a reading
# or two of a long prompt outweigh it.
_FIRST_VARIANCES = (1e-4, 1e-7)
# Variance of a reading's seconds around the curve: steps of the batch and
# prompts that come between, as emulated.
_NOISE = 0.01
# Weight of the newest reading in an engine's own pace.
_SMOOTHING = 0.1
# Parts that were kept are not read, and make a reading look fast; a wait that
# nobody here knows of makes it look slow. Beyond this factor it is one of both.
_PLAUSIBLE = 2.0
# A reading tells something only when it is long enough for a step of the
# batch, some 30 ms, to matter little.
_TELLING_TOKENS = 2000


@attrs.define
class _Curve:
    """Seconds of a reading by tokens and their square, fitted recursively."""

    linear: float = _USUAL_SECONDS
    square: float = 0.0
    # Covariance of both.
    _ll: float = _FIRST_VARIANCES[0]
    _ls: float = 0.0
    _ss: float = _FIRST_VARIANCES[1]

    def seconds(self, tokens: float) -> float:
        """Returns what an engine of mean pace takes."""
        x = tokens / _THOUSAND
        return max(self.linear * x + self.square * x * x, 0.0)

    def note(self, tokens: float, seconds: float) -> None:
        """Takes a reading: recursive least squares with forgetting."""
        x = tokens / _THOUSAND
        y = x * x
        toward_l = self._ll * x + self._ls * y
        toward_s = self._ls * x + self._ss * y
        total = _FORGETTING * _NOISE + x * toward_l + y * toward_s
        gain_l, gain_s = toward_l / total, toward_s / total
        error = seconds - (self.linear * x + self.square * y)
        self.linear += gain_l * error
        self.square = max(self.square + gain_s * error, 0.0)
        self._ll = min(
            (self._ll - gain_l * toward_l) / _FORGETTING, _FIRST_VARIANCES[0]
        )
        self._ls = (self._ls - gain_l * toward_s) / _FORGETTING
        self._ss = min(
            (self._ss - gain_s * toward_s) / _FORGETTING, _FIRST_VARIANCES[1]
        )


class ReadingTimes:
    """The readings of all engines: one curve, and a pace for each engine."""

    def __init__(self) -> None:
        self._curve = _Curve()
        self._paces: dict[str, float] = {}

    def seconds(self, engine: str, tokens: int) -> float:
        """Returns how long an engine takes to read a prompt."""
        return self._curve.seconds(tokens) * self._pace(engine)

    def mean_seconds(self, tokens: int) -> float:
        """Returns how long the engines take to read a prompt on average."""
        return self._curve.seconds(tokens) * self._mean_pace()

    def _mean_pace(self) -> float:
        if not self._paces:
            return 1.0
        return sum(self._paces.values()) / len(self._paces)

    def _pace(self, engine: str) -> float:
        pace = self._paces.get(engine)
        return self._mean_pace() if pace is None else pace

    def record(self, engine: str, tokens: int, seconds: float) -> None:
        """Takes how long an engine took for a prompt."""
        if tokens < _TELLING_TOKENS or seconds <= 0:
            return
        expected = self.seconds(engine, tokens)
        least, most = expected / _PLAUSIBLE, expected * _PLAUSIBLE
        seconds = min(max(seconds, least), most)
        pace = self._pace(engine)
        share = seconds / expected
        self._paces[engine] = pace * (1 + _SMOOTHING * (share - 1))
        self._curve.note(tokens, seconds / pace)

    def discard_except(self, engines: set[str]) -> None:
        """Forgets engines that are gone."""
        for name in list(self._paces):
            if name not in engines:
                del self._paces[name]
