"""Tests of the replica log stored in files."""

import io
import os
import tempfile
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ridgesill.adapters.file_log import (
    FileLog,
    StorageError,
    _encode_mark,
    _find_marks,
)
from ridgesill.core.log.messages import Entry, HardState, Snapshot, Voters
from ridgesill.core.log.replica import make_initial_snapshot


def make_initialized_log(folder: Path) -> FileLog:
    """Returns an initialized log, open for appending."""
    log = FileLog(folder)
    log.initialize("a.0", make_initial_snapshot(("a.0",), b""))
    log.load()
    return log


def make_entries(first: int, last: int, term: int = 1) -> list[Entry]:
    """Returns entries with the indexes `first` to `last`."""
    return [Entry(i, term, b"c%d" % i) for i in range(first, last + 1)]


def reopen_log(folder: Path) -> FileLog:
    """Returns the log as opened by a restarted process."""
    return FileLog(folder)


def check_kept_and_appendable(folder: Path) -> None:
    """Checks that a log has entries 1 to 3, and that more can be appended."""
    log = reopen_log(folder)
    stored = log.load()
    assert list(stored.entries)[:3] == make_entries(1, 3)
    log.append(None, make_entries(4, 4, term=9))
    again = reopen_log(folder).load()
    assert list(again.entries) == make_entries(1, 3) + make_entries(
        4, 4, term=9
    )


def _last_mark(data: bytes) -> int:
    """Returns the offset of the last mark of a log."""
    return _find_marks(data)[-1]


def _without_marks(data: bytes) -> bytes:
    """Returns a log as releases without marks wrote it."""
    for offset in _find_marks(data):
        data = data.replace(_encode_mark(offset), b"")
    return data


class FullDisk:
    """A disk whose sync fails while it is full."""

    def __init__(self) -> None:
        self.is_full = False

    def sync(self, descriptor: int) -> None:
        if self.is_full:
            raise OSError(28, "No space left on device")
        os.fdatasync(descriptor)


class FullFile(io.FileIO):
    """A file on a disk with little room.

    Attributes:
        room: how many more bytes can be written.
    """

    room = 0

    def write(self, data: Any) -> int:
        part = bytes(data)[: self.room]
        if not part:
            raise OSError(28, "No space left on device")
        self.room -= len(part)
        return super().write(part)


class TestPrivacy:
    def test_files_are_readable_by_the_owner_only(self, tmp_path: Path) -> None:
        # The log contains the configuration, with callers' keys.
        log = make_initialized_log(tmp_path)
        log.append(HardState(1, ""), make_entries(1, 3))
        log.replace(Snapshot(3, 1, Voters(("a.0",)), b""), HardState(1, ""), ())
        modes = {path.stat().st_mode & 0o077 for path in tmp_path.iterdir()}
        assert modes == {0}


class TestFullDisk:
    def test_failed_append_leaves_no_partial_record(
        self, tmp_path: Path
    ) -> None:
        disk = FullDisk()
        log = FileLog(tmp_path, disk.sync)
        log.initialize("a.0", make_initial_snapshot(("a.0",), b""))
        log.load()
        log.append(None, make_entries(1, 2))
        disk.is_full = True
        with pytest.raises(OSError):
            log.append(None, make_entries(3, 4))
        disk.is_full = False
        log.append(None, make_entries(3, 3))
        assert list(reopen_log(tmp_path).load().entries) == make_entries(1, 3)

    def test_a_mark_that_finds_no_room_fails_no_append(
        self, tmp_path: Path
    ) -> None:
        log = make_initialized_log(tmp_path)
        before = (tmp_path / "log").stat().st_size
        log.append(None, make_entries(1, 1))
        mark = _last_mark((tmp_path / "log").read_bytes())
        file = FullFile(tmp_path / "log", "ab")
        file.room = mark - before + 5
        log._file = file
        log.append(None, make_entries(2, 2))
        file.room = 1000
        log.append(None, make_entries(3, 3))
        assert list(reopen_log(tmp_path).load().entries) == make_entries(1, 3)


class TestAppend:
    def test_appended_records_are_loaded(self, tmp_path: Path) -> None:
        log = make_initialized_log(tmp_path)
        log.append(HardState(3, "a.0"), make_entries(1, 5))
        stored = reopen_log(tmp_path).load()
        assert stored.hard_state == HardState(3, "a.0")
        assert list(stored.entries) == make_entries(1, 5)

    def test_entry_at_a_stored_index_truncates_the_log(
        self, tmp_path: Path
    ) -> None:
        log = make_initialized_log(tmp_path)
        log.append(None, make_entries(1, 5))
        log.append(None, make_entries(3, 3, term=2))
        stored = reopen_log(tmp_path).load()
        assert [(e.index, e.term) for e in stored.entries] == [
            (1, 1),
            (2, 1),
            (3, 2),
        ]

    def test_every_append_is_synced(self, tmp_path: Path) -> None:
        synced: list[int] = []
        FileLog(tmp_path).initialize(
            "a.0", make_initial_snapshot(("a.0",), b"")
        )
        log = FileLog(tmp_path, sync=synced.append)
        log.load()
        synced.clear()
        log.append(None, make_entries(1, 1))
        log.append(HardState(1, ""), [])
        assert len(synced) == 2


class TestTornTail:
    @pytest.mark.parametrize("cut", range(1, 30))
    def test_incomplete_last_record_is_truncated(
        self, tmp_path: Path, cut: int
    ) -> None:
        log = make_initialized_log(tmp_path)
        log.append(None, make_entries(1, 3))
        complete = (tmp_path / "log").read_bytes()
        log.append(None, make_entries(4, 4))
        # The mark is written after the sync of what it follows.
        data = (tmp_path / "log").read_bytes()
        data = data[: _last_mark(data)]
        end = max(len(data) - cut, len(complete))
        (tmp_path / "log").write_bytes(data[:end])
        log = reopen_log(tmp_path)
        assert list(log.load().entries) == make_entries(1, 3)
        log.append(None, make_entries(4, 4, term=2))
        stored = reopen_log(tmp_path).load()
        assert list(stored.entries) == make_entries(1, 3) + make_entries(
            4, 4, term=2
        )

    def test_write_that_no_sync_covered_is_cut_off_where_it_is_torn(
        self, tmp_path: Path
    ) -> None:
        """Guards against a node that ends at each start after a power loss."""
        log = make_initialized_log(tmp_path)
        log.append(None, make_entries(1, 3))
        synced = (tmp_path / "log").stat().st_size
        log.append(None, make_entries(4, 4))
        data = (tmp_path / "log").read_bytes()
        unsynced = data[synced : _last_mark(data)]
        for first in range(len(unsynced)):
            for last in range(first + 1, len(unsynced) + 1):
                torn = bytearray(unsynced)
                torn[first:last] = bytes(last - first)
                (tmp_path / "log").write_bytes(data[:synced] + torn)
                check_kept_and_appendable(tmp_path)

    @given(
        kept=st.lists(st.booleans(), min_size=6, max_size=6),
        length=st.integers(min_value=0),
    )
    def test_lost_sectors_of_two_unsynced_writes_cost_no_synced_entry(
        self, kept: list[bool], length: int
    ) -> None:
        """The mark of the write before is lost with the write after it."""
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            log = make_initialized_log(folder)
            log.append(None, make_entries(1, 3))
            data = (folder / "log").read_bytes()
            synced = _last_mark(data)
            entries = [Entry(i, 1, b"c%d" % i * 300) for i in (4, 5)]
            log.append(HardState(2, "a.0"), entries)
            data = (folder / "log").read_bytes()
            torn = bytearray(data[: _last_mark(data)])
            for number, is_kept in enumerate(kept):
                start = max(synced, number * 512)
                end = min(len(torn), number * 512 + 512)
                if not is_kept and start < end:
                    torn[start:end] = bytes(end - start)
            end = synced + length % (len(torn) - synced + 1)
            (folder / "log").write_bytes(torn[:end])
            check_kept_and_appendable(folder)

    def test_records_that_are_read_are_synced(self, tmp_path: Path) -> None:
        """Guards against acting on entries that a power loss still takes."""
        make_initialized_log(tmp_path).append(None, make_entries(1, 3))
        synced: list[int] = []
        FileLog(tmp_path, sync=synced.append).load()
        assert len(synced) == 1

    def test_a_log_without_marks_gets_one(self, tmp_path: Path) -> None:
        log = make_initialized_log(tmp_path)
        log.append(None, make_entries(1, 3))
        path = tmp_path / "log"
        path.write_bytes(_without_marks(path.read_bytes()))
        assert list(reopen_log(tmp_path).load().entries) == make_entries(1, 3)
        data = path.read_bytes()
        assert _find_marks(data) == [_last_mark(data)]
        path.write_bytes(data + b"torn")
        assert list(reopen_log(tmp_path).load().entries) == make_entries(1, 3)

    def test_unwritten_allocated_space_is_truncated(
        self, tmp_path: Path
    ) -> None:
        make_initialized_log(tmp_path).append(None, make_entries(1, 3))
        with (tmp_path / "log").open("ab") as file:
            file.write(bytes(512))
        assert list(reopen_log(tmp_path).load().entries) == make_entries(1, 3)


class TestCorruption:
    def test_error_gives_file_and_offset_of_a_changed_log_byte(
        self, tmp_path: Path
    ) -> None:
        make_initialized_log(tmp_path).append(
            HardState(1, "a.0"), make_entries(1, 3)
        )
        path = tmp_path / "log"
        data = path.read_bytes()
        for offset in range(_last_mark(data)):
            changed = bytearray(data)
            changed[offset] ^= 0x41
            path.write_bytes(bytes(changed))
            with pytest.raises(StorageError) as error:
                reopen_log(tmp_path).load()
            assert str(path) in str(error.value)
            assert error.value.offset <= offset

    def test_a_changed_byte_of_the_last_mark_costs_nothing(
        self, tmp_path: Path
    ) -> None:
        make_initialized_log(tmp_path).append(None, make_entries(1, 3))
        path = tmp_path / "log"
        data = path.read_bytes()
        for offset in range(_last_mark(data), len(data)):
            changed = bytearray(data)
            changed[offset] ^= 0x41
            path.write_bytes(bytes(changed))
            stored = reopen_log(tmp_path).load()
            assert list(stored.entries) == make_entries(1, 3)

    def test_changed_byte_of_a_log_without_marks_is_an_error(
        self, tmp_path: Path
    ) -> None:
        """Guards against entries of an earlier release that are cut off."""
        make_initialized_log(tmp_path).append(None, make_entries(1, 3))
        path = tmp_path / "log"
        data = _without_marks(path.read_bytes())
        for offset in range(len(data)):
            changed = bytearray(data)
            changed[offset] ^= 0x41
            path.write_bytes(bytes(changed))
            with pytest.raises(StorageError):
                reopen_log(tmp_path).load()

    def test_changed_byte_of_the_snapshot_is_an_error(
        self, tmp_path: Path
    ) -> None:
        make_initialized_log(tmp_path)
        path = tmp_path / "snapshot"
        data = bytearray(path.read_bytes())
        data[-1] ^= 0x41
        path.write_bytes(bytes(data))
        with pytest.raises(StorageError, match="snapshot"):
            reopen_log(tmp_path).load()


class TestReplace:
    def test_log_keeps_only_entries_after_the_snapshot(
        self, tmp_path: Path
    ) -> None:
        log = make_initialized_log(tmp_path)
        log.append(HardState(2, "a.0"), make_entries(1, 9))
        before = (tmp_path / "log").stat().st_size
        snapshot = Snapshot(8, 1, Voters(("a.0",)), b"state")
        log.replace(snapshot, HardState(2, "a.0"), tuple(make_entries(9, 9)))
        log.append(None, make_entries(10, 10))
        stored = reopen_log(tmp_path).load()
        assert stored.snapshot == snapshot
        assert stored.hard_state == HardState(2, "a.0")
        assert list(stored.entries) == make_entries(9, 10)
        assert (tmp_path / "log").stat().st_size < before

    def test_a_kill_between_snapshot_and_log_loses_nothing(
        self, tmp_path: Path
    ) -> None:
        log = make_initialized_log(tmp_path)
        log.append(HardState(2, "a.0"), make_entries(1, 9))
        old_log = (tmp_path / "log").read_bytes()
        snapshot = Snapshot(8, 1, Voters(("a.0",)), b"state")
        log.replace(snapshot, HardState(2, "a.0"), tuple(make_entries(9, 9)))
        (tmp_path / "log").write_bytes(old_log)
        stored = reopen_log(tmp_path).load()
        assert stored.snapshot == snapshot
        assert list(stored.entries) == make_entries(9, 9)


class TestIdentity:
    def test_an_initialized_folder_is_not_initialized_again(
        self, tmp_path: Path
    ) -> None:
        log = make_initialized_log(tmp_path)
        with pytest.raises(StorageError, match="already holds a log"):
            log.initialize("a.0", make_initial_snapshot(("a.0",), b""))

    def test_every_new_folder_gets_its_own_identity(
        self, tmp_path: Path
    ) -> None:
        first = FileLog(tmp_path / "one")
        first.initialize_with_new_identity("a")
        second = FileLog(tmp_path / "two")
        second.initialize_with_new_identity("a")
        assert first.identity != second.identity
        assert first.identity.startswith("a.")
        assert "a.0" not in (first.identity, second.identity)

    def test_identity_survives_a_restart(self, tmp_path: Path) -> None:
        log = FileLog(tmp_path)
        log.initialize_with_new_identity("a")
        assert reopen_log(tmp_path).identity == log.identity
