"""Finds parts of prompts that end the upstreams that write on them.

Requests with such a part may all be different, and sound requests share their
other parts with them. So each end of an upstream is counted against the parts
of the requests that it had not begun to answer. A part that any upstream
answers on is cleared, wherever that was seen. A part with several ends under
different requests, and no answer, is quarantined.

A part in quarantine explains its ends, which no longer count against parts
with two ends fewer. So a part that was aboard by chance is freed if the cause
has had more ends; otherwise a few trials free it, each of which sends one
request.
"""

import collections
from collections.abc import Collection, Iterable, Iterator

import attrs

from ridgesill.core.codec import register

# Ends, and different requests that were aboard, that quarantine a part. A
# request that is repeated word for word is counted as a whole.
MIN_ENDS = 3
MIN_REQUESTS = 2
# Requests with a part in quarantine that are sent to find out whether it is
# harmful, in all.
MAX_TRIALS = 2
# Ends by which a cause exceeds the parts whose ends it explains. A part that
# was aboard by chance of the same ends as the cause, and of one more, must not
# take them from it.
_MARGIN_ENDS = 2
# Ends that are kept of a part.
_MAX_ENDS = 8
# Limits on the entries kept, so that no caller can exhaust the memory of all
# nodes. At a limit the oldest entries are dropped; no request is refused.
_MAX_SUSPECTS = 2000
_MAX_QUARANTINED = 500


@register
@attrs.frozen
class PartSighting:
    """A part of a request that was aboard when an upstream ended.

    Attributes:
        part: keyed hash of the part's id.
        request: hash of the request's content.
    """

    part: str
    request: str


@register
@attrs.frozen
class SuspectPart:
    """A part that was aboard of upstreams that ended.

    Attributes:
        part: keyed hash of the part's id.
        ends: names of the latest of those upstreams, in order.
        requests: hashes of different requests that contained it, as many as
            matter.
        trials: number of trials that were begun.
    """

    part: str
    ends: tuple[str, ...] = ()
    requests: tuple[str, ...] = ()
    trials: int = 0

    @property
    def is_quarantined(self) -> bool:
        """Whether requests with it are refused."""
        return len(self.ends) >= MIN_ENDS and len(self.requests) >= MIN_REQUESTS

    def add_end(self, upstream: str, requests: Iterable[str]) -> "SuspectPart":
        """Returns it with the end of one more upstream."""
        ends = self.ends
        if upstream not in ends:
            ends = (*ends, upstream)[-_MAX_ENDS:]
        known = dict.fromkeys((*self.requests, *sorted(requests)))
        return attrs.evolve(
            self, ends=ends, requests=tuple(known)[:MIN_REQUESTS]
        )

    def without_ends(self, upstreams: Collection[str]) -> "SuspectPart":
        """Returns it without the ends of some upstreams."""
        ends = tuple(end for end in self.ends if end not in upstreams)
        return attrs.evolve(self, ends=ends)


class HarmfulParts:
    """The suspected parts, the same on every node.

    Args:
        suspects: those known at first.
    """

    def __init__(self, suspects: Iterable[SuspectPart] = ()) -> None:
        self._suspects = {suspect.part: suspect for suspect in suspects}

    def __iter__(self) -> Iterator[SuspectPart]:
        return iter(self._suspects.values())

    def __len__(self) -> int:
        return len(self._suspects)

    def find(self, part: str) -> SuspectPart | None:
        """Returns what is known of a part; None if it isn't suspected."""
        return self._suspects.get(part)

    def quarantined(self) -> list[SuspectPart]:
        """Returns the parts in quarantine."""
        return [s for s in self._suspects.values() if s.is_quarantined]

    def record_end(
        self, upstream: str, sightings: Iterable[PartSighting]
    ) -> None:
        """Counts the end of an upstream against the parts aboard.

        Args:
            upstream: name of the upstream's start.
            sightings: parts of requests that it had not begun to answer.
        """
        aboard: dict[str, set[str]] = collections.defaultdict(set)
        for sighting in sightings:
            aboard[sighting.part].add(sighting.request)
        for part, requests in aboard.items():
            known = self._suspects.pop(part, None) or SuspectPart(part)
            self._suspects[part] = known.add_end(upstream, requests)
        for cause in sorted(
            self.quarantined(), key=lambda s: len(s.ends), reverse=True
        ):
            if self._is_quarantined(cause.part):
                self.discard_explained(cause.ends)
        self._prune_oldest()

    def _is_quarantined(self, part: str) -> bool:
        known = self._suspects.get(part)
        return known is not None and known.is_quarantined

    def discard_explained(self, ends: tuple[str, ...]) -> None:
        """Discards ends that have a known cause.

        Parts with nearly as many ends as the cause keep theirs: they may be the
        cause themselves.

        Args:
            ends: the upstreams that ended under the cause.
        """
        for other in list(self._suspects.values()):
            if len(other.ends) + _MARGIN_ENDS <= len(ends):
                self._replace(other.without_ends(ends))

    def _replace(self, suspect: SuspectPart) -> None:
        if suspect.ends:
            self._suspects[suspect.part] = suspect
        else:
            del self._suspects[suspect.part]

    def clear(self, parts: Iterable[str]) -> None:
        """Clears parts that an upstream has answered on."""
        for part in parts:
            self._suspects.pop(part, None)

    def begin_trial(self, part: str, number: int) -> bool:
        """Begins a trial of a part in quarantine.

        Args:
            part: hash of the part.
            number: of the trial, from 1.

        Returns:
            Whether the trial may be made; False if it was begun before, or the
            part isn't in quarantine.
        """
        known = self._suspects.get(part)
        if known is None or not known.is_quarantined:
            return False
        if number != known.trials + 1 or number > MAX_TRIALS:
            return False
        self._suspects[part] = attrs.evolve(known, trials=number)
        return True

    def _prune_oldest(self) -> None:
        suspects = list(self._suspects.values())
        quarantined = [s.part for s in suspects if s.is_quarantined]
        others = [s.part for s in suspects if not s.is_quarantined]
        self.clear(quarantined[:-_MAX_QUARANTINED])
        self.clear(others[:-_MAX_SUSPECTS])
