"""Counts upstream ends per request, to find requests that cause them.

When an upstream ends, all requests that it was serving fail. One of them may
be the cause and ends the next upstream when it is repeated, while the others
get an answer. So each end is counted against every request in flight, a whole
answer clears the count, and a request with several ends and no answer between
them is quarantined: no upstream gets it any more.

Requests that were aboard of the same ends can't be told apart so. Then a few
trials, each of which sends one request, find out which one is harmful.

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
# Ends that are kept of a request.
_MAX_ENDS = 8
# Ends by which a part exceeds the requests whose ends it explains.
_MARGIN_ENDS = 2
# Trials of a request in quarantine, in all.
MAX_TRIALS = 2
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
        trials: number of trials that were begun.
    """

    key: str
    fingerprint: Fingerprint
    ends: tuple[str, ...]
    trials: int = 0

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

    def record_end(self, upstream: str, aboard: Iterable[Fingerprint]) -> None:
        """Counts the end of an upstream once for each request in flight."""
        for fingerprint in aboard:
            for key in count_keys(fingerprint):
                self._add_end(key, fingerprint, upstream)
        self._prune_oldest()

    def _add_end(
        self, key: str, fingerprint: Fingerprint, upstream: str
    ) -> None:
        known = self._suspects.get(key)
        ends = known.ends if known else ()
        if upstream not in ends:
            ends = (*ends, upstream)[-_MAX_ENDS:]
            trials = known.trials if known else 0
            self._replace(Suspect(key, fingerprint, ends, trials))

    def discard_explained(self, ends: tuple[str, ...]) -> None:
        """Discards ends that a part of prompts explains.

        Requests with nearly as many ends keep theirs: they may be the cause
        themselves.

        Args:
            ends: the upstreams that ended under the part.
        """
        for other in list(self._suspects.values()):
            if len(other.ends) + _MARGIN_ENDS <= len(ends):
                self._discard_ends(other, ends)

    def _discard_ends(self, suspect: Suspect, ends: tuple[str, ...]) -> None:
        left = tuple(end for end in suspect.ends if end not in ends)
        if not left:
            self._discard([suspect.key])
        elif left != suspect.ends:
            self._replace(attrs.evolve(suspect, ends=left))

    def is_ambiguous(self, content: str) -> bool:
        """Whether other requests were aboard of all ends of a request.

        Args:
            content: the hash of the request's content.
        """
        return content in self.list_ambiguous()

    def list_ambiguous(self) -> set[str]:
        """Returns the contents of quarantined requests that are ambiguous.

        Others in quarantine were aboard of all their ends.
        """
        keys_by_end: dict[str, set[str]] = collections.defaultdict(set)
        longest: dict[str, Suspect] = {}
        for suspect in self._suspects.values():
            if not suspect.is_quarantined:
                continue
            for end in suspect.ends:
                keys_by_end[end].add(suspect.key)
            content = suspect.fingerprint.content
            known = longest.get(content)
            if known is None or len(suspect.ends) > len(known.ends):
                longest[content] = suspect
        return {
            content
            for content, suspect in longest.items()
            if any(
                self._suspects[key].fingerprint.content != content
                for key in set.intersection(
                    *(keys_by_end[end] for end in suspect.ends)
                )
            )
        }

    def begin_trial(self, content: str, number: int) -> bool:
        """Begins a trial of a request in quarantine.

        Args:
            content: the hash of the request's content.
            number: of the trial, from 1.

        Returns:
            Whether the trial may be made; False if it was begun before, or the
            request isn't in quarantine.
        """
        own = [self._suspects[key] for key in self._keys_with_content(content)]
        if not any(suspect.is_quarantined for suspect in own):
            return False
        begun = max(suspect.trials for suspect in own)
        if number != begun + 1 or number > MAX_TRIALS:
            return False
        for suspect in own:
            self._replace(attrs.evolve(suspect, trials=number))
        return True

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
