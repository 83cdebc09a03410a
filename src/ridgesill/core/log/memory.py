"""The in-memory log of a replica: a snapshot and the entries after it."""

from collections.abc import Iterable

from ridgesill.core.log.messages import Entry, Snapshot


def append_truncating(entries: list[Entry], entry: Entry) -> None:
    """Appends an entry, first removing all at its index or above.

    Args:
        entries: in ascending order of index; changed in place.
        entry: the entry to append.
    """
    while entries and entries[-1].index >= entry.index:
        entries.pop()
    entries.append(entry)


class MemoryLog:
    """A snapshot and the entries after it, addressed by log index."""

    def __init__(self, snapshot: Snapshot, entries: Iterable[Entry]) -> None:
        self.snapshot = snapshot
        self._entries = [e for e in entries if e.index > snapshot.index]

    @property
    def first_index(self) -> int:
        """The index after the snapshot, where the first entry is or will be."""
        return self.snapshot.index + 1

    @property
    def last_index(self) -> int:
        """The index of the last entry, or of the snapshot if there is none."""
        return self.snapshot.index + len(self._entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry, or of the snapshot if there is none."""
        return self.term(self.last_index)

    def term(self, index: int) -> int:
        """Returns the term at an index, or -1 if the index is not held."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if not self.first_index <= index <= self.last_index:
            return -1
        return self._entries[index - self.first_index].term

    def slice(self, after: int, upto: int) -> tuple[Entry, ...]:
        """Returns the entries after index `after`, up to `upto` inclusive."""
        start = max(after - self.snapshot.index, 0)
        stop = max(upto - self.snapshot.index, 0)
        return tuple(self._entries[start:stop])

    def append(self, entry: Entry) -> None:
        """Appends an entry, first removing all at its index or above."""
        keep = entry.index - self.first_index
        del self._entries[keep:]
        self._entries.append(entry)

    def compact(self, snapshot: Snapshot) -> None:
        """Replaces the entries up to a snapshot's index by the snapshot.

        Later entries are kept only if the log holds the snapshot's index with
        the same term; otherwise they conflict with it and are dropped.
        """
        if self.term(snapshot.index) == snapshot.term:
            kept = self._entries[snapshot.index - self.snapshot.index :]
        else:
            kept = []
        self.snapshot = snapshot
        self._entries = kept
