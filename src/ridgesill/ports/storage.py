"""Durable storage of a replica's log."""

from typing import Protocol

from ridgesill.core.log.messages import Entry, HardState, Snapshot, StoredLog


class Storage(Protocol):
    """Stores a replica's log; writes return once their data is synced.

    Attributes:
        identity: the identity under which the replica votes; empty if the
            storage is new.
    """

    identity: str

    def load(self) -> StoredLog:
        """Returns the stored log."""

    def append(
        self, hard_state: HardState | None, entries: list[Entry]
    ) -> None:
        """Appends entries.

        An entry at a stored index replaces the stored entries from there on.

        Args:
            hard_state: the new term and vote; None if unchanged.
            entries: entries with consecutive indexes.
        """

    def replace(
        self,
        snapshot: Snapshot,
        hard_state: HardState,
        entries: tuple[Entry, ...],
    ) -> None:
        """Stores a snapshot and replaces the log by the given entries."""
