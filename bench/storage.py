"""Weighs an append-only file against sqlite3, with a real disk's sync delay.

The delay stands in for a disk: this machine's own syncs cost next to nothing
and say nothing about durability.
"""

import os
import sqlite3
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

from ridgesill.adapters.file_log import FileLog
from ridgesill.core.log.messages import Entry, HardState
from ridgesill.core.log.replica import make_initial_snapshot

_DELAYS = (0.0, 0.001, 0.005)
_BATCHES = (1, 16, 64)
_APPENDS = 200
_BODY = bytes(200)

Append = Callable[[list[Entry]], None]


def make_file(folder: Path, delay: float) -> Append:
    """Returns an append to our own file."""

    def sync(number: int) -> None:
        os.fdatasync(number)
        time.sleep(delay)

    FileLog(folder).initialize("a.0", make_initial_snapshot(("a.0",), b""))
    log = FileLog(folder, sync=sync)
    log.load()
    return lambda entries: log.append(None, entries)


def make_sqlite(folder: Path, delay: float) -> Append:
    """Returns an append to a database in WAL mode, synced at each commit."""
    connection = sqlite3.connect(folder / "log.db", isolation_level=None)
    connection.execute("pragma journal_mode=wal")
    connection.execute("pragma synchronous=full")
    connection.execute(
        "create table log (idx integer primary key, term int, command blob)"
    )

    def append(entries: list[Entry]) -> None:
        connection.execute("begin immediate")
        connection.executemany(
            "insert or replace into log values (?, ?, ?)",
            [(e.index, e.term, e.command) for e in entries],
        )
        connection.execute("commit")
        time.sleep(delay)

    return append


def measure(append: Append, batch: int) -> float:
    """Returns entries a second."""
    index = 0
    began = time.perf_counter()
    for _ in range(_APPENDS):
        entries = [Entry(index + n + 1, 1, _BODY) for n in range(batch)]
        index += batch
        append(entries)
    return _APPENDS * batch / (time.perf_counter() - began)


def measure_restart(count: int) -> float:
    """Returns the seconds that opening a log of some entries takes."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        append = make_file(folder, 0.0)
        append([Entry(n + 1, 1, _BODY) for n in range(count)])
        log = FileLog(folder)
        began = time.perf_counter()
        stored = log.load()
        took = time.perf_counter() - began
        assert len(stored.entries) == count
        assert stored.hard_state == HardState()
        return took


def main() -> int:
    """Prints the comparison."""
    makers = {"file": make_file, "sqlite": make_sqlite}
    rates: dict[tuple[str, float, int], float] = {}
    for delay in _DELAYS:
        for batch in _BATCHES:
            for name, make in makers.items():
                with tempfile.TemporaryDirectory() as folder:
                    append = make(Path(folder), delay)
                    rates[(name, delay, batch)] = measure(append, batch)
            print(
                f"sync +{delay * 1000:.0f} ms, batches of {batch}: "
                f"file {rates[('file', delay, batch)]:.0f}/s, "
                f"sqlite {rates[('sqlite', delay, batch)]:.0f}/s"
            )
    restart = measure_restart(1000)
    ratio = rates[("file", 0.005, 16)] / rates[("sqlite", 0.005, 16)]
    print(
        f"storage: file_vs_sqlite_5ms_batch16={ratio:.2f} "
        f"open_1000_entries_s={restart:.4f}"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
