"""Counts upstream ends per request, to find requests that cause them.

When an upstream ends, all requests that it was serving fail. One of them may
be the cause and ends the next upstream when it is repeated, while the others
get an answer. So each end is counted against every request in flight, a whole
answer clears the count, and a request with several ends and no answer between
them is quarantined: no upstream gets it any more.

Each end is counted under two keys. One is the hash of the request's content,
since a caller may have several addresses. The other also includes the caller's
address, since a request that ends upstreams for one caller may be answered for
another.
"""

import collections
from collections.abc import Iterable, Iterator

import attrs

from ridgesill.core.codec import register
from ridgesill.core.serving.fingerprints import Fingerprint

# The number of ends, without an answer in between, that quarantines a request.
# With two, harmless requests that are retried at once, on the same upstream as
# the cause, would be quarantined for good.
MIN_ENDS_FOR_QUARANTINE = 3
# Limits on the entries kept, so that no caller can exhaust the memory of all
# nodes. At a limit the oldest entries are dropped; no request is refused.
_SUSPECTS_MOST = 2000
_QUARANTINED_MOST = 1000


@register
@attrs.frozen
class Suspect:
    """A request that was in flight on upstreams that ended.

    Attributes:
        key: the hash under which its ends are counted: of its content, with
            or without its caller.
        fingerprint: the fingerprint of the request that was counted last.
        ends: the names of those upstreams; a restarted upstream has a new
            name.
    """

    key: str
    fingerprint: Fingerprint
    ends: tuple[str, ...]

    @property
    def is_quarantined(self) -> bool:
        """Whether it is refused instead of being sent to an upstream."""
        return len(self.ends) >= MIN_ENDS_FOR_QUARANTINE


class Suspects:
    """The suspects recorded in the log, the same on every node."""

    def __init__(self, suspects: Iterable[Suspect] = ()) -> None:
        self._suspects: dict[str, Suspect] = {}
        self._targets: collections.Counter[str] = collections.Counter()
        for suspect in suspects:
            self._replace(suspect)

    def __iter__(self) -> Iterator[Suspect]:
        return iter(self._suspects.values())

    def __len__(self) -> int:
        return len(self._suspects)

    def has_content(self, content: str) -> bool:
        """Returns whether any end is counted for a request.

        Args:
            content: the hash of the request's content.
        """
        return bool(self._keys_with_content(content))

    def _keys_with_content(self, content: str) -> list[str]:
        return [
            key
            for key, suspect in self._suspects.items()
            if suspect.fingerprint.content == content
        ]

    def has_target(self, target: str) -> bool:
        """Returns whether a suspect has this hash of path and query."""
        return target in self._targets

    def ended_upstreams(self, fingerprint: Fingerprint) -> tuple[str, ...]:
        """Returns the upstreams that ended while serving a request."""
        counted = map(self._ends_of_key, count_keys(fingerprint))
        return max(counted, key=len)

    def _ends_of_key(self, key: str) -> tuple[str, ...]:
        known = self._suspects.get(key)
        return known.ends if known else ()

    def quarantined(self) -> list[Suspect]:
        """Returns the quarantined suspects, one for each content hash."""
        by_content = {
            suspect.fingerprint.content: suspect
            for suspect in self._suspects.values()
            if suspect.is_quarantined
        }
        return list(by_content.values())

    def explains(self, upstream: str, aboard: Iterable[Fingerprint]) -> bool:
        """Whether a request in quarantine was aboard when an upstream ended."""
        return any(
            suspect.is_quarantined and upstream in suspect.ends
            for suspect in self._suspects.values()
        ) or any(
            len(self.ended_upstreams(fingerprint)) >= MIN_ENDS_FOR_QUARANTINE
            for fingerprint in aboard
        )

    def record_end(self, upstream: str, aboard: Iterable[Fingerprint]) -> None:
        """Counts the end of an upstream once for each request in flight."""
        for fingerprint in aboard:
            for key in count_keys(fingerprint):
                ends = self._ends_of_key(key)
                if upstream not in ends and len(ends) < MIN_ENDS_FOR_QUARANTINE:
                    self._replace(Suspect(key, fingerprint, (*ends, upstream)))
        self._prune_oldest()

    def clear(self, served: Iterable[Fingerprint]) -> None:
        """Clears the ends of answered requests.

        Ends under the keys of other callers of the same content stay.
        """
        for fingerprint in served:
            self._discard(count_keys(fingerprint))

    def lift(self, content: str) -> None:
        """Clears the ends of a request for all callers.

        Args:
            content: the hash of the request's content.
        """
        self._discard(self._keys_with_content(content))

    def _discard(self, keys: Iterable[str]) -> None:
        for key in keys:
            known = self._suspects.pop(key, None)
            if known is None:
                continue
            target = known.fingerprint.target
            self._targets[target] -= 1
            if not self._targets[target]:
                del self._targets[target]

    def _replace(self, suspect: Suspect) -> None:
        self._discard([suspect.key])
        self._suspects[suspect.key] = suspect
        self._targets[suspect.fingerprint.target] += 1

    def _prune_oldest(self) -> None:
        suspects = list(self._suspects.values())
        quarantined = [s.key for s in suspects if s.is_quarantined]
        others = [s.key for s in suspects if not s.is_quarantined]
        self._discard(quarantined[:-_QUARANTINED_MOST])
        self._discard(others[:-_SUSPECTS_MOST])


def count_keys(fingerprint: Fingerprint) -> tuple[str, str]:
    """Returns the two hashes under which a request's ends are counted."""
    return fingerprint.content, fingerprint.caller
