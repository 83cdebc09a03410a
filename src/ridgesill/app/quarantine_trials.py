"""Plans the few requests that find out if what is quarantined is harmful."""

import random
from collections.abc import Iterable

import attrs

from ridgesill.core.commands import BeginTrial

# How long a trial that the log has granted may wait for a request, in seconds.
_GRANT_SECONDS = 10.0
# Each front adds up to this share to the time before a trial, so that trials of
# what was quarantined together don't meet at one upstream.
_JITTER_SHARE = 1.0
# Retry delay once no trial is left, in seconds. Only an operator lifts the
# quarantine then.
_FINAL_RETRY_SECONDS = 3600.0


@attrs.frozen
class Held:
    """A request or a part of prompts in quarantine.

    Attributes:
        key: keyed hash of the request's content or of the part's id.
        trials: number of trials that were begun.
        after: time in quarantine before the first trial, and from each trial to
            the next one, in seconds; as many as there may be.
    """

    key: str
    trials: int
    after: tuple[float, ...]


@attrs.define
class _Watch:
    """Something in quarantine, as this front sees it.

    Attributes:
        trials: number of trials that were begun.
        due_at: clock time from when the next one may begin, in seconds.
    """

    trials: int
    due_at: float


class QuarantineTrials:
    """Decides which refused request is sent as a trial.

    The log grants each trial to one front. A front proposes one only when it
    has refused a request, so that what nobody sends has none.
    """

    def __init__(self) -> None:
        self._watches: dict[str, _Watch] = {}
        self._granted_until: dict[str, float] = {}
        # Trials that the log hasn't been asked for yet.
        self.wanted: set[BeginTrial] = set()

    def watch(self, held: Iterable[Held], now: float) -> None:
        """Takes note of what is in quarantine now."""
        watches = {}
        for one in held:
            known = self._watches.get(one.key)
            if known is None or known.trials != one.trials:
                known = _Watch(one.trials, now + _draw_wait(one))
            watches[one.key] = known
        self._watches = watches

    def take(self, held: Held, now: float) -> bool:
        """Returns whether a request may be sent as a trial.

        Args:
            held: what keeps it in quarantine.
            now: clock time, in seconds.
        """
        if now < self._granted_until.pop(held.key, float("-inf")):
            return True
        if not self.seconds_left(held, now):
            self.wanted.add(BeginTrial(held.key, held.trials + 1))
        return False

    def seconds_left(self, held: Held, now: float) -> float:
        """Returns the seconds until the next trial may begin."""
        watch = self._watches.get(held.key)
        if watch is None or held.trials >= len(held.after):
            return _FINAL_RETRY_SECONDS
        return max(watch.due_at - now, 0.0)

    def grant(self, key: str, now: float) -> None:
        """Records that the log has granted a trial to this front."""
        self._granted_until[key] = now + _GRANT_SECONDS


def _draw_wait(held: Held) -> float:
    """Returns the seconds until the next trial; infinite if none is left."""
    if held.trials >= len(held.after):
        return float("inf")
    return held.after[held.trials] * random.uniform(1.0, 1.0 + _JITTER_SHARE)
