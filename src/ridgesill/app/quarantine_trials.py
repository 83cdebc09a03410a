"""Plans the few requests that find out if a quarantined part is harmful."""

import attrs

from ridgesill.core.commands import BeginPartTrial
from ridgesill.core.harmful_parts import MAX_TRIALS, SuspectPart

# Time in quarantine after which a front may begin the first trial, and the time
# from one trial to the next, in seconds.
_TRIAL_AFTER_SECONDS = (30.0, 300.0)
# How long a trial that the log has granted may wait for a request.
_GRANT_SECONDS = 10.0
# Retry delay once no trial is left, in seconds. Only an operator lifts the
# quarantine then.
_FINAL_RETRY_SECONDS = 3600.0


@attrs.define
class _Watch:
    """A part in quarantine, as this front sees it.

    Attributes:
        trials: number of trials that were begun.
        since: clock time since when that is so, in seconds.
    """

    trials: int
    since: float


class QuarantineTrials:
    """Decides which refused request is sent as a trial.

    The log grants each trial to one front. A front proposes one only when it
    has refused a request, so that a part that nobody sends has none.
    """

    def __init__(self) -> None:
        self._watches: dict[str, _Watch] = {}
        self._granted_until: dict[str, float] = {}
        # Trials that the log hasn't been asked for yet.
        self.wanted: set[BeginPartTrial] = set()

    def watch(self, suspects: list[SuspectPart], now: float) -> None:
        """Takes note of the parts that are in quarantine now."""
        watches = {}
        for suspect in suspects:
            known = self._watches.get(suspect.part)
            if known is None or known.trials != suspect.trials:
                known = _Watch(suspect.trials, now)
            watches[suspect.part] = known
        self._watches = watches

    def take(self, suspect: SuspectPart, now: float) -> bool:
        """Returns whether a request with a part may be sent as a trial.

        Args:
            suspect: the part, which is in quarantine.
            now: clock time, in seconds.
        """
        if now < self._granted_until.pop(suspect.part, float("-inf")):
            return True
        if suspect.trials < MAX_TRIALS and not self.seconds_left(suspect, now):
            self.wanted.add(BeginPartTrial(suspect.part, suspect.trials + 1))
        return False

    def seconds_left(self, suspect: SuspectPart, now: float) -> float:
        """Returns the seconds until the next trial of a part may begin."""
        if suspect.trials >= MAX_TRIALS:
            return _FINAL_RETRY_SECONDS
        watch = self._watches.get(suspect.part)
        since = now if watch is None else watch.since
        return max(since + _TRIAL_AFTER_SECONDS[suspect.trials] - now, 0.0)

    def grant(self, part: str, now: float) -> None:
        """Records that the log has granted a trial to this front."""
        self._granted_until[part] = now + _GRANT_SECONDS
