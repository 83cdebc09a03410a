"""Requests that were aboard upstreams when these ended.

An upstream that ends takes all requests with it that it was serving. One of
them may be the cause, and ends the next upstream when it comes again; the
others are answered when they do. So a request is counted with each end that it
was aboard of, a whole answer takes all of that back, and one that was aboard
of several without an answer gets no upstream any more.
"""

import collections
from collections.abc import Iterable, Iterator

import attrs

from ridgesill.core.codec import register
from ridgesill.core.serving.fingerprints import Fingerprint

# Ends, without an answer in between, from which a request is in quarantine.
# With two, callers that come back at once, together with the cause, to the
# same upstream would be shut out for good.
ENDS_LEAST = 3
# How many are kept, so that nobody can fill the memory of all nodes: who is at
# the limit forgets the oldest, and refuses nobody for it.
_SUSPECTS_MOST = 2000
_QUARANTINED_MOST = 1000


@register
@attrs.frozen
class Suspect:
    """A request that was aboard of upstreams that ended.

    Attributes:
        ends: names of those upstreams, one for each start.
    """

    fingerprint: Fingerprint
    ends: tuple[str, ...]

    @property
    def is_quarantined(self) -> bool:
        """Whether it gets no upstream."""
        return len(self.ends) >= ENDS_LEAST


class Suspects:
    """The suspects that the log names, the same on every node."""

    def __init__(self, suspects: Iterable[Suspect] = ()) -> None:
        self._suspects: dict[str, Suspect] = {}
        self._targets: collections.Counter[str] = collections.Counter()
        for suspect in suspects:
            self._put(suspect)

    def __iter__(self) -> Iterator[Suspect]:
        return iter(self._suspects.values())

    def __len__(self) -> int:
        return len(self._suspects)

    def has(self, whole: str) -> bool:
        """Whether anything is held against a request, by its whole hash."""
        return whole in self._suspects

    def has_target(self, target: str) -> bool:
        """Whether a suspect has this hash of its path."""
        return target in self._targets

    def ends(self, fingerprint: Fingerprint) -> tuple[str, ...]:
        """Returns the upstreams that ended with a request aboard."""
        known = self._suspects.get(fingerprint.whole)
        return known.ends if known else ()

    def quarantined(self) -> list[Suspect]:
        """Returns those that get no upstream."""
        return [s for s in self._suspects.values() if s.is_quarantined]

    def note_end(self, upstream: str, aboard: Iterable[Fingerprint]) -> None:
        """Counts the end of an upstream with each request aboard, once."""
        for fingerprint in aboard:
            ends = self.ends(fingerprint)
            if upstream not in ends and len(ends) < ENDS_LEAST:
                self._put(Suspect(fingerprint, (*ends, upstream)))
        self._forget_oldest()

    def forget(self, wholes: Iterable[str]) -> None:
        """Forgets requests, by the hash of their whole."""
        for whole in wholes:
            known = self._suspects.pop(whole, None)
            if known is None:
                continue
            target = known.fingerprint.target
            self._targets[target] -= 1
            if not self._targets[target]:
                del self._targets[target]

    def _put(self, suspect: Suspect) -> None:
        whole = suspect.fingerprint.whole
        self.forget([whole])
        self._suspects[whole] = suspect
        self._targets[suspect.fingerprint.target] += 1

    def _forget_oldest(self) -> None:
        quarantined = [s.fingerprint.whole for s in self.quarantined()]
        self.forget(quarantined[:-_QUARANTINED_MOST])
        others = [w for w in self._suspects if w not in set(quarantined)]
        self.forget(others[:-_SUSPECTS_MOST])
