"""Tests of the log in files."""

import os
from pathlib import Path

import pytest

from ridgesill.adapters.file_log import FileLog, StorageError
from ridgesill.core.log.messages import Entry, HardState, Snapshot, Voters
from ridgesill.core.log.replica import make_initial_snapshot


def founded(folder: Path) -> FileLog:
    """Returns a founded log, open for appending."""
    log = FileLog(folder)
    log.initialize("a.0", make_initial_snapshot(("a.0",), b""))
    log.load()
    return log


def entries(first: int, last: int, term: int = 1) -> list[Entry]:
    """Returns entries of a term."""
    return [Entry(i, term, b"c%d" % i) for i in range(first, last + 1)]


def reopened(folder: Path) -> FileLog:
    """Returns the log as a restarted process opens it."""
    return FileLog(folder)


class FullDisk:
    """Refuses to sync while it is full."""

    def __init__(self) -> None:
        self.is_full = False

    def sync(self, descriptor: int) -> None:
        if self.is_full:
            raise OSError(28, "No space left on device")
        os.fdatasync(descriptor)


class TestPrivacy:
    def test_others_can_read_no_file(self, tmp_path: Path) -> None:
        # The log holds the configuration, with callers' keys.
        log = founded(tmp_path)
        log.append(HardState(1, ""), entries(1, 3))
        log.replace(Snapshot(3, 1, Voters(("a.0",)), b""), HardState(1, ""), ())
        modes = {path.stat().st_mode & 0o077 for path in tmp_path.iterdir()}
        assert modes == {0}


class TestFullDisk:
    def test_a_refused_append_leaves_nothing_behind(
        self, tmp_path: Path
    ) -> None:
        disk = FullDisk()
        log = FileLog(tmp_path, disk.sync)
        log.initialize("a.0", make_initial_snapshot(("a.0",), b""))
        log.load()
        log.append(None, entries(1, 2))
        disk.is_full = True
        with pytest.raises(OSError):
            log.append(None, entries(3, 4))
        disk.is_full = False
        log.append(None, entries(3, 3))
        assert list(reopened(tmp_path).load().entries) == entries(1, 3)


class TestAppend:
    def test_what_was_appended_is_found(self, tmp_path: Path) -> None:
        log = founded(tmp_path)
        log.append(HardState(3, "a.0"), entries(1, 5))
        stored = reopened(tmp_path).load()
        assert stored.hard_state == HardState(3, "a.0")
        assert list(stored.entries) == entries(1, 5)

    def test_an_entry_at_a_stored_index_cuts_the_tail(
        self, tmp_path: Path
    ) -> None:
        log = founded(tmp_path)
        log.append(None, entries(1, 5))
        log.append(None, entries(3, 3, term=2))
        stored = reopened(tmp_path).load()
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
        log.append(None, entries(1, 1))
        log.append(HardState(1, ""), [])
        assert len(synced) == 2


class TestTornTail:
    @pytest.mark.parametrize("cut", range(1, 30))
    def test_a_short_last_record_is_cut_off(
        self, tmp_path: Path, cut: int
    ) -> None:
        log = founded(tmp_path)
        log.append(None, entries(1, 3))
        whole = (tmp_path / "log").read_bytes()
        log.append(None, entries(4, 4))
        data = (tmp_path / "log").read_bytes()
        cut_at = max(len(data) - cut, len(whole))
        (tmp_path / "log").write_bytes(data[:cut_at])
        log = reopened(tmp_path)
        assert list(log.load().entries) == entries(1, 3)
        log.append(None, entries(4, 4, term=2))
        stored = reopened(tmp_path).load()
        assert list(stored.entries) == entries(1, 3) + entries(4, 4, term=2)

    def test_space_that_was_never_written_is_cut_off(
        self, tmp_path: Path
    ) -> None:
        founded(tmp_path).append(None, entries(1, 3))
        with (tmp_path / "log").open("ab") as file:
            file.write(bytes(512))
        assert list(reopened(tmp_path).load().entries) == entries(1, 3)


class TestCorruption:
    def test_any_changed_byte_of_the_log_is_named(self, tmp_path: Path) -> None:
        founded(tmp_path).append(HardState(1, "a.0"), entries(1, 3))
        path = tmp_path / "log"
        data = path.read_bytes()
        for offset in range(len(data)):
            changed = bytearray(data)
            changed[offset] ^= 0x41
            path.write_bytes(bytes(changed))
            with pytest.raises(StorageError) as error:
                reopened(tmp_path).load()
            assert str(path) in str(error.value)
            assert error.value.offset <= offset

    def test_a_changed_byte_of_the_snapshot_is_named(
        self, tmp_path: Path
    ) -> None:
        founded(tmp_path)
        path = tmp_path / "snapshot"
        data = bytearray(path.read_bytes())
        data[-1] ^= 0x41
        path.write_bytes(bytes(data))
        with pytest.raises(StorageError, match="snapshot"):
            reopened(tmp_path).load()


class TestReplace:
    def test_a_snapshot_drops_what_it_covers(self, tmp_path: Path) -> None:
        log = founded(tmp_path)
        log.append(HardState(2, "a.0"), entries(1, 9))
        before = (tmp_path / "log").stat().st_size
        snapshot = Snapshot(8, 1, Voters(("a.0",)), b"state")
        log.replace(snapshot, HardState(2, "a.0"), tuple(entries(9, 9)))
        log.append(None, entries(10, 10))
        stored = reopened(tmp_path).load()
        assert stored.snapshot == snapshot
        assert stored.hard_state == HardState(2, "a.0")
        assert list(stored.entries) == entries(9, 10)
        assert (tmp_path / "log").stat().st_size < before

    def test_a_kill_between_snapshot_and_log_loses_nothing(
        self, tmp_path: Path
    ) -> None:
        log = founded(tmp_path)
        log.append(HardState(2, "a.0"), entries(1, 9))
        old_log = (tmp_path / "log").read_bytes()
        snapshot = Snapshot(8, 1, Voters(("a.0",)), b"state")
        log.replace(snapshot, HardState(2, "a.0"), tuple(entries(9, 9)))
        (tmp_path / "log").write_bytes(old_log)
        stored = reopened(tmp_path).load()
        assert stored.snapshot == snapshot
        assert list(stored.entries) == entries(9, 9)


class TestIdentity:
    def test_a_founded_folder_is_not_founded_again(
        self, tmp_path: Path
    ) -> None:
        log = founded(tmp_path)
        with pytest.raises(StorageError, match="founded here before"):
            log.initialize("a.0", make_initial_snapshot(("a.0",), b""))

    def test_a_lost_disk_gets_an_identity_of_its_own(
        self, tmp_path: Path
    ) -> None:
        first = FileLog(tmp_path / "one")
        first.initialize_with_new_identity("a")
        second = FileLog(tmp_path / "two")
        second.initialize_with_new_identity("a")
        assert first.identity != second.identity
        assert first.identity.startswith("a.")
        assert "a.0" not in (first.identity, second.identity)

    def test_it_is_kept(self, tmp_path: Path) -> None:
        log = FileLog(tmp_path)
        log.initialize_with_new_identity("a")
        assert reopened(tmp_path).identity == log.identity
