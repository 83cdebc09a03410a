"""Durable storage of a replica's log."""

from typing import Protocol

from ridgesill.core.log.messages import Entry, HardState, Snapshot, StoredLog


class Storage(Protocol):
    """Keeps a log; each call returns only once its data is synced."""

    identity: str

    def load(self) -> StoredLog:
        """Returns what was stored before."""

    def append(
        self, hard_state: HardState | None, entries: list[Entry]
    ) -> None:
        """Adds entries; one at a stored index cuts the stored tail."""

    def replace(
        self,
        snapshot: Snapshot,
        hard_state: HardState,
        entries: tuple[Entry, ...],
    ) -> None:
        """Stores a snapshot and drops all before it but these entries."""
