"""A replica's log, stored in files in the data folder.

The file `log` holds records, each with a header (length, checksum of the body,
checksum of the header) and a body. `snapshot` holds one such record, and
`identity` the voter's identity.

A loss of power may tear a write that no sync has covered: any of its bytes may
be missing or zero. So a mark follows each synced write in `log`. Damage before
a mark raises `StorageError`, which stops the process: a voter must not lose
entries that it has acknowledged. What is damaged after the last mark was never
acknowledged and is truncated. The mark itself isn't synced; where a loss of
power takes it, the records before it are whole.
"""

import io
import os
import secrets
import struct
import zlib
from pathlib import Path
from typing import Any

import attrs
from eliot import log_message

from ridgesill.core import codec
from ridgesill.core.log.memory import append_truncating
from ridgesill.core.log.messages import (
    Entry,
    HardState,
    Snapshot,
    StoredLog,
    Voters,
)

_HEADER = struct.Struct("<III")
_LOG = "log"
_SNAPSHOT = "snapshot"
_IDENTITY = "identity"


class StorageError(Exception):
    """The data folder is corrupt or already holds a log.

    Attributes:
        path: the file.
        offset: byte offset of the error in the file.
    """

    def __init__(self, path: Path, offset: int, detail: str) -> None:
        super().__init__(
            f"{path}: byte {offset}: {detail}. Move the data folder away and "
            "start the node again: it then joins as a new voter "
            "(docs/how-to/operate.md)"
        )
        self.path = path
        self.offset = offset


class _CutOffError(StorageError):
    """The end of the file cuts off a record."""


@codec.register
@attrs.frozen
class SyncMark:
    """Says that everything before it has been synced.

    Attributes:
        offset: its own byte offset, by which it is told from a copy.
    """

    offset: int


# How the body of a mark begins.
_MARK_START = codec.encode(SyncMark(0))[:10]


class FileLog:
    """Implements `ports.storage.Storage`.

    Args:
        folder: the data folder; created if missing.
        sync: flushes a file descriptor's data to disk; benchmarks replace it.

    Attributes:
        identity: the voter's identity; empty if the folder holds no log.
    """

    def __init__(self, folder: Path, sync: Any = os.fdatasync) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self._folder = folder
        self._sync = sync
        self._file: io.FileIO | None = None
        self._size_bytes = 0
        self.identity = self._read_identity()

    def initialize(self, identity: str, snapshot: Snapshot) -> None:
        """Creates a new log in an empty folder.

        Args:
            identity: the voter's identity.
            snapshot: the initial snapshot.

        Raises:
            StorageError: the folder already holds a log.
        """
        if self.identity:
            raise StorageError(
                self._folder / _IDENTITY, 0, "the folder already holds a log"
            )
        self._write_file(_SNAPSHOT, _encode_record(codec.encode(snapshot)))
        self._write_file(_LOG, _encode_mark(0))
        self._write_file(_IDENTITY, identity.encode())
        self.identity = identity

    def initialize_with_new_identity(self, name: str) -> None:
        """Creates an empty log under a new identity for a joining node.

        Args:
            name: the node's name, the first part of the identity.

        Raises:
            StorageError: the folder already holds a log.
        """
        identity = f"{name}.{secrets.token_hex(4)}"
        self.initialize(identity, Snapshot(0, 0, Voters(()), b""))

    def load(self) -> StoredLog:
        """Reads the stored log and opens it for appending.

        Raises:
            StorageError: a file is corrupt.
        """
        snapshot = self._load_snapshot()
        hard_state = HardState()
        entries: list[Entry] = []
        for value in self._read_log():
            if isinstance(value, HardState):
                hard_state = value
            elif isinstance(value, Entry):
                append_truncating(entries, value)
        self._open_log()
        self._append_mark()
        uncovered = tuple(e for e in entries if e.index > snapshot.index)
        return StoredLog(hard_state, uncovered, snapshot)

    def append(
        self, hard_state: HardState | None, entries: list[Entry]
    ) -> None:
        """Appends records and syncs them to disk.

        Does nothing before `load` has opened the log.

        Raises:
            OSError: the write failed; the file is truncated to its previous
                size.
        """
        encoded_records = [
            _encode_record(codec.encode(entry)) for entry in entries
        ]
        if hard_state is not None:
            encoded_records.insert(0, _encode_record(codec.encode(hard_state)))
        if not encoded_records or self._file is None:
            return
        data = b"".join(encoded_records)
        try:
            self._write_all(data)
            self._sync(self._file.fileno())
        except OSError:
            # A partly written record must not precede the next append.
            os.ftruncate(self._file.fileno(), self._size_bytes)
            raise
        self._size_bytes += len(data)
        self._append_mark()

    def _append_mark(self) -> None:
        """Marks the log as synced up to its end, if the disk has room."""
        assert self._file is not None
        mark = _encode_mark(self._size_bytes)
        try:
            self._write_all(mark)
        except OSError as error:
            os.ftruncate(self._file.fileno(), self._size_bytes)
            log_message("log:sync_not_marked", detail=str(error))
            return
        self._size_bytes += len(mark)

    def _write_all(self, data: bytes) -> None:
        assert self._file is not None
        unwritten = memoryview(data)
        while unwritten:
            unwritten = unwritten[self._file.write(unwritten) :]

    def replace(
        self,
        snapshot: Snapshot,
        hard_state: HardState,
        entries: tuple[Entry, ...],
    ) -> None:
        """Stores a snapshot, then a log that starts after it.

        If the process is killed between the two writes, the old log remains
        beside the new snapshot. `load` handles that: it skips the entries
        that the snapshot covers.
        """
        self._write_file(_SNAPSHOT, _encode_record(codec.encode(snapshot)))
        encoded_records = [_encode_record(codec.encode(hard_state))]
        encoded_records += [
            _encode_record(codec.encode(entry)) for entry in entries
        ]
        data = b"".join(encoded_records)
        self._write_file(_LOG, data + _encode_mark(len(data)))
        if self._file is not None:
            self._file.close()
        self._open_log()

    def _open_log(self) -> None:
        # Unbuffered, so that no data of a failed write is written later.
        self._file = (self._folder / _LOG).open("ab", buffering=0)
        self._size_bytes = (self._folder / _LOG).stat().st_size

    def close(self) -> None:
        """Closes the log file."""
        if self._file is not None:
            self._file.close()
            self._file = None

    def _read_identity(self) -> str:
        path = self._folder / _IDENTITY
        return path.read_text().strip() if path.exists() else ""

    def _load_snapshot(self) -> Snapshot:
        path = self._folder / _SNAPSHOT
        data = path.read_bytes()
        body = _read_body(path, data, 0)
        if _HEADER.size + len(body) != len(data):
            raise StorageError(path, 0, "expected one complete snapshot record")
        return _decode(path, 0, body)

    def _read_log(self) -> list[Any]:
        """Returns the records, and truncates what follows the last whole one.

        Afterwards all of them are synced: a process that was killed may not
        have come to it, and whoever reads them acts on them.
        """
        path = self._folder / _LOG
        data = path.read_bytes()
        records, end = _read_records(path, data)
        with path.open("r+b") as file:
            if end < len(data):
                log_message(
                    "log:torn_write_cut_off",
                    path=str(path),
                    offset=end,
                    bytes=len(data) - end,
                )
                file.truncate(end)
            self._sync(file.fileno())
        return records

    def _write_file(self, name: str, data: bytes) -> None:
        temporary = self._folder / f"{name}.new"
        with open(temporary, "wb", opener=_open_private) as file:
            file.write(data)
            file.flush()
            self._sync(file.fileno())
        temporary.replace(self._folder / name)
        folder = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)


def _open_private(path: str, flags: int) -> int:
    """Opens a file with access for its owner only."""
    return os.open(path, flags, 0o600)


def _encode_record(body: bytes) -> bytes:
    start = struct.pack("<II", len(body), zlib.crc32(body))
    return start + struct.pack("<I", zlib.crc32(start)) + body


def _encode_mark(offset: int) -> bytes:
    return _encode_record(codec.encode(SyncMark(offset)))


def _read_records(path: Path, data: bytes) -> tuple[list[Any], int]:
    """Returns all whole records of a log, and the offset after the last one.

    Raises:
        StorageError: something that had been synced is damaged.
    """
    records: list[Any] = []
    offset = 0
    while offset < len(data):
        try:
            body = _read_body(path, data, offset)
        except StorageError as error:
            if not _is_unsynced(data, error):
                raise
            break
        records.append(_decode(path, offset, body))
        offset += _HEADER.size + len(body)
    return records, offset


def _read_body(path: Path, data: bytes, offset: int) -> bytes:
    """Returns the body of the record at an offset.

    Raises:
        StorageError: the record is incomplete, or a checksum doesn't match.
    """
    start = offset + _HEADER.size
    if start > len(data):
        raise _CutOffError(path, offset, "a record's header is incomplete")
    length, checksum, header_checksum = _HEADER.unpack_from(data, offset)
    if zlib.crc32(data[offset : offset + 8]) != header_checksum:
        raise StorageError(path, offset, "a record's header is corrupt")
    if start + length > len(data):
        raise _CutOffError(path, offset, "a record's body is incomplete")
    body = data[start : start + length]
    if zlib.crc32(body) != checksum:
        raise StorageError(path, offset, "a record's body is corrupt")
    return body


def _is_unsynced(data: bytes, error: StorageError) -> bool:
    """Whether no sync that is known of covered a damaged record."""
    marks = _find_marks(data)
    if marks:
        return error.offset > marks[-1]
    # A log of a release without marks: only a record that the end of the file
    # cuts off, or space that was never written, can't have been synced.
    return isinstance(error, _CutOffError) or not any(data[error.offset :])


def _find_marks(data: bytes) -> list[int]:
    """Returns the offsets of all valid marks, also of those after damage."""
    marks = []
    found = data.find(_MARK_START)
    while found >= 0:
        offset = found - _HEADER.size
        mark = _encode_mark(offset) if offset >= 0 else b""
        if mark and data.startswith(mark, offset):
            marks.append(offset)
        found = data.find(_MARK_START, found + 1)
    return marks


def _decode(path: Path, offset: int, body: bytes) -> Any:
    try:
        return codec.decode(body)
    except codec.DecodeError as error:
        raise StorageError(path, offset, str(error)) from error
