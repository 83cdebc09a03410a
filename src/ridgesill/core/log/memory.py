"""The part of the log that a replica holds in memory."""

from collections.abc import Iterable

from ridgesill.core.log.messages import Entry, Snapshot


def append_truncating(entries: list[Entry], entry: Entry) -> None:
    """Adds an entry to a list; one at an index already there cuts the tail."""
    while entries and entries[-1].index >= entry.index:
        entries.pop()
    entries.append(entry)


class MemoryLog:
    """Entries after a snapshot, addressed by index."""

    def __init__(self, snapshot: Snapshot, entries: Iterable[Entry]) -> None:
        self.snapshot = snapshot
        self._entries = [e for e in entries if e.index > snapshot.index]

    @property
    def first_index(self) -> int:
        """The index of the first entry held (or the next to come)."""
        return self.snapshot.index + 1

    @property
    def last_index(self) -> int:
        """The index of the last entry."""
        return self.snapshot.index + len(self._entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry."""
        return self.term(self.last_index)

    def term(self, index: int) -> int:
        """Returns the term of an index, or -1 if it is not held."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if not self.first_index <= index <= self.last_index:
            return -1
        return self._entries[index - self.first_index].term

    def slice(self, after: int, upto: int) -> tuple[Entry, ...]:
        """Returns the entries after one index up to another."""
        start = max(after - self.snapshot.index, 0)
        stop = max(upto - self.snapshot.index, 0)
        return tuple(self._entries[start:stop])

    def append(self, entry: Entry) -> None:
        """Adds an entry; one at an index already held cuts the tail."""
        keep = entry.index - self.first_index
        del self._entries[keep:]
        self._entries.append(entry)

    def compact(self, snapshot: Snapshot) -> None:
        """Drops what a snapshot covers."""
        if self.term(snapshot.index) == snapshot.term:
            kept = self._entries[snapshot.index - self.snapshot.index :]
        else:
            kept = []
        self.snapshot = snapshot
        self._entries = kept
