"""What entry nodes know of a pool, and how owners tell them of changes.

A pool of nine runners holds some 150 adapters, whose names are 3 KB. Sent
whole to every node of a region twice a second they would cost a node of 330
several times its share of the network, so a digest says only what changed.
"""

import attrs

from ridgesill.core.pool.messages import Digest

_WHOLE_EVERY_SECONDS = 30.0
# Load changes all the time; what is resident matters more.
_LOAD_EVERY_SECONDS = 1.0


@attrs.define
class PoolHints:
    """A pool as an entry node knows it; it may be old.

    Attributes:
        number: of the last digest that `resident` is built from.
        resident: adapters on some runner of it, as `name@version`.
        spare: requests that its runners have room for.
        waiting: requests that wait there.
    """

    epoch: int = -1
    number: int = -1
    resident: set[str] = attrs.Factory(set)
    spare: int = 0
    waiting: int = 0

    def apply_digest(self, digest: Digest) -> None:
        """Takes a digest; one from an earlier owner is passed over.

        After a gap, what is resident stays as it was known until the next
        whole digest.
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
    """Makes an owner's digests, whole at first and then now and then."""

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
        """Returns the next digest for these receivers; None for no need."""
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
