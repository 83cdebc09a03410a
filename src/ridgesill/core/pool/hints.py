"""Hints about a pool, which its owner sends to entry nodes as digests.

A pool of nine runners holds about 150 adapters, whose names take 3 KB. Sending
all of them twice a second to each of 330 nodes in a region would exceed a
node's share of the network several times, so most digests contain only changes.
"""

import attrs

from ridgesill.core.pool.messages import Digest

# A whole digest at least this often lets entry nodes recover after a gap.
_WHOLE_EVERY_SECONDS = 30.0
# Changes in load alone are sent less often than changes of resident adapters.
_LOAD_EVERY_SECONDS = 1.0


@attrs.define
class PoolHints:
    """The state of a pool as an entry node knows it, which may be outdated.

    Attributes:
        epoch: epoch of the owner that sent the last digest.
        number: number of the last digest applied to `resident`.
        resident: adapters on at least one runner, as `name@version`.
        spare: number of further requests that the runners can take.
        waiting: number of waiting requests.
    """

    epoch: int = -1
    number: int = -1
    resident: set[str] = attrs.Factory(set)
    spare: int = 0
    waiting: int = 0

    def apply_digest(self, digest: Digest) -> None:
        """Applies a digest; ignores one from an earlier owner.

        After a missed digest, `resident` stays unchanged until the next whole
        one.
        """
        if digest.epoch < self.epoch:
            return
        if digest.is_whole:
            self.resident = set(digest.added)
            self.number = digest.number
        elif digest.epoch == self.epoch and digest.number == self.number + 1:
            self.resident.difference_update(digest.removed)
            self.resident.update(digest.added)
            self.number = digest.number
        self.epoch = digest.epoch
        self.spare = digest.spare
        self.waiting = digest.waiting


@attrs.define
class DigestBuilder:
    """Builds the digests of an owner: whole ones regularly, else changes."""

    pool: str
    epoch: int
    _number: int = 0
    _sent_resident: frozenset[str] = frozenset()
    _receivers: frozenset[str] = frozenset()
    _whole_built_at: float = float("-inf")
    _built_at: float = float("-inf")

    def build(
        self,
        resident: frozenset[str],
        spare: int,
        waiting: int,
        receivers: frozenset[str],
        now: float,
    ) -> Digest | None:
        """Returns the next digest, or None if none is due.

        Args:
            resident: adapters on at least one runner, as `name@version`.
            spare: number of further requests that the runners can take.
            waiting: number of waiting requests.
            receivers: the entry nodes that get it; a new one among them makes
                the digest whole.
            now: the current time, in seconds.
        """
        is_whole = (
            bool(receivers - self._receivers)
            or now - self._whole_built_at >= _WHOLE_EVERY_SECONDS
        )
        is_due = now - self._built_at >= _LOAD_EVERY_SECONDS
        if not (is_whole or is_due or resident != self._sent_resident):
            return None
        if is_whole:
            self._whole_built_at = now
        self._built_at = now
        previous = frozenset() if is_whole else self._sent_resident
        self._number += 1
        self._sent_resident = resident
        self._receivers = receivers
        return Digest(
            self.pool,
            self.epoch,
            self._number,
            is_whole,
            tuple(sorted(resident - previous)),
            tuple(sorted(previous - resident)),
            spare,
            waiting,
        )
