"""Requests that were aboard upstreams when these ended.

An upstream that ends takes all requests with it that it was serving. One of
them may be the cause, and ends the next upstream when it comes again; the
others are answered when they do. So a request is counted with each end that it
was aboard of, a whole answer takes all of that back, and one that was aboard
of several without an answer gets no upstream any more.

Ends are counted twice: by what a request says, since a caller may have several
addresses, and by that and its caller's address, since what ends upstreams for
one caller may be answered for another.
"""

import collections
from collections.abc import Iterable, Iterator

import attrs

from ridgesill.core.codec import register
from ridgesill.core.serving.fingerprints import Fingerprint

# Ends, without an answer in between, from which a request is in quarantine.
# With two, callers that come back at once, together with the cause, to the
# same upstream would be shut out for good.
MIN_ENDS_FOR_QUARANTINE = 3
# How many are kept, so that nobody can fill the memory of all nodes: who is at
# the limit forgets the oldest, and refuses nobody for it.
_SUSPECTS_MOST = 2000
_QUARANTINED_MOST = 1000


@register
@attrs.frozen
class Suspect:
    """A request that was aboard of upstreams that ended.

    Attributes:
        key: the hash by which its ends are counted: of its content, with or
            without its caller.
        ends: names of those upstreams, one for each start.
    """

    key: str
    fingerprint: Fingerprint
    ends: tuple[str, ...]

    @property
    def is_quarantined(self) -> bool:
        """Whether it gets no upstream."""
        return len(self.ends) >= MIN_ENDS_FOR_QUARANTINE


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

    def has_content(self, content: str) -> bool:
        """Whether anything is held against a request, by its content."""
        return bool(self._of_content(content))

    def _of_content(self, content: str) -> list[str]:
        return [
            key
            for key, suspect in self._suspects.items()
            if suspect.fingerprint.content == content
        ]

    def has_target(self, target: str) -> bool:
        """Whether a suspect has this hash of its path."""
        return target in self._targets

    def ended_upstreams(self, fingerprint: Fingerprint) -> tuple[str, ...]:
        """Returns the upstreams that ended with a request aboard."""
        counted = map(self._ends, keys_of(fingerprint))
        return max(counted, key=len)

    def _ends(self, key: str) -> tuple[str, ...]:
        known = self._suspects.get(key)
        return known.ends if known else ()

    def quarantined(self) -> list[Suspect]:
        """Returns those that get no upstream, each content once."""
        by_content = {
            suspect.fingerprint.content: suspect
            for suspect in self._suspects.values()
            if suspect.is_quarantined
        }
        return list(by_content.values())

    def record_end(self, upstream: str, aboard: Iterable[Fingerprint]) -> None:
        """Counts the end of an upstream with each request aboard, once."""
        for fingerprint in aboard:
            for key in keys_of(fingerprint):
                ends = self._ends(key)
                if upstream not in ends and len(ends) < MIN_ENDS_FOR_QUARANTINE:
                    self._put(Suspect(key, fingerprint, (*ends, upstream)))
        self._forget_oldest()

    def clear(self, served: Iterable[Fingerprint]) -> None:
        """Takes back what is held against requests that were answered."""
        for fingerprint in served:
            self._forget(keys_of(fingerprint))

    def lift(self, content: str) -> None:
        """Takes back what is held against a request of any caller."""
        self._forget(self._of_content(content))

    def _forget(self, keys: Iterable[str]) -> None:
        for key in keys:
            known = self._suspects.pop(key, None)
            if known is None:
                continue
            target = known.fingerprint.target
            self._targets[target] -= 1
            if not self._targets[target]:
                del self._targets[target]

    def _put(self, suspect: Suspect) -> None:
        self._forget([suspect.key])
        self._suspects[suspect.key] = suspect
        self._targets[suspect.fingerprint.target] += 1

    def _forget_oldest(self) -> None:
        suspects = list(self._suspects.values())
        quarantined = [s.key for s in suspects if s.is_quarantined]
        others = [s.key for s in suspects if not s.is_quarantined]
        self._forget(quarantined[:-_QUARANTINED_MOST])
        self._forget(others[:-_SUSPECTS_MOST])


def keys_of(fingerprint: Fingerprint) -> tuple[str, str]:
    """Returns the hashes by which a request's ends are counted."""
    return fingerprint.content, fingerprint.caller
