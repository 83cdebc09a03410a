"""Compares the append-only log file with SQLite under several sync delays.

A delay added to each sync models a disk, because syncs may cost almost nothing
on the machine that runs the comparison. Durability is not tested.
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

_SYNC_DELAYS_SECONDS = (0.0, 0.001, 0.005)
_BATCH_SIZES = (1, 16, 64)
_APPEND_COUNT = 200
_COMMAND = bytes(200)

AppendEntries = Callable[[list[Entry]], None]


def make_file_append(folder: Path, delay: float) -> AppendEntries:
    """Returns a function that appends entries to a `FileLog`.

    Args:
        folder: the folder of the log.
        delay: seconds added to each sync.
    """

    def sync(number: int) -> None:
        os.fdatasync(number)
        time.sleep(delay)

    FileLog(folder).initialize("a.0", make_initial_snapshot(("a.0",), b""))
    log = FileLog(folder, sync=sync)
    log.load()
    return lambda entries: log.append(None, entries)


def make_sqlite_append(folder: Path, delay: float) -> AppendEntries:
    """Returns a function that appends entries to an SQLite database.

    The database is in WAL mode and syncs at each commit.

    Args:
        folder: the folder of the database.
        delay: seconds added to each commit.
    """
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


def measure(append: AppendEntries, batch: int) -> float:
    """Measures appends of batches.

    Args:
        append: the function that appends entries.
        batch: entries per append.

    Returns:
        Entries per second.
    """
    index = 0
    began = time.perf_counter()
    for _ in range(_APPEND_COUNT):
        entries = [Entry(index + n + 1, 1, _COMMAND) for n in range(batch)]
        index += batch
        append(entries)
    return _APPEND_COUNT * batch / (time.perf_counter() - began)


def measure_restart(count: int) -> float:
    """Returns the seconds to open a log file.

    Args:
        count: the number of entries in the log.
    """
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        append = make_file_append(folder, 0.0)
        append([Entry(n + 1, 1, _COMMAND) for n in range(count)])
        log = FileLog(folder)
        began = time.perf_counter()
        stored = log.load()
        took = time.perf_counter() - began
        assert len(stored.entries) == count
        assert stored.hard_state == HardState()
        return took


def main() -> int:
    """Prints the rates of both logs and the time to open a log file."""
    makers = {"file": make_file_append, "sqlite": make_sqlite_append}
    rates: dict[tuple[str, float, int], float] = {}
    for delay in _SYNC_DELAYS_SECONDS:
        for batch in _BATCH_SIZES:
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
