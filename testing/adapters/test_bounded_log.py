"""Tests of a log that never waits for its reader."""

import os
import select

import msgspec
import pytest

from ridgesill.adapters import logs
from ridgesill.adapters.logs import BoundedLog


def read_lines(descriptor: int) -> list[dict[str, object]]:
    """Returns what can be read now."""
    os.set_blocking(descriptor, False)
    data = b""
    while True:
        try:
            data_read = os.read(descriptor, 65536)
        except BlockingIOError:
            break
        if not data_read:
            break
        data += data_read
    return [msgspec.json.decode(text) for text in data.splitlines()]


class TestBoundedLog:
    async def test_each_line_is_json_and_names_the_vm(self) -> None:
        reader, writer = os.pipe()
        log = BoundedLog("vm-1", writer)
        log({"message_type": "x", "task_uuid": "u", "number": 3})
        log.close()
        assert read_lines(reader) == [
            {"vm": "vm-1", "message_type": "x", "number": 3}
        ]

    async def test_a_reader_that_does_not_read_holds_nothing_up(self) -> None:
        reader, writer = os.pipe()
        os.set_blocking(writer, False)
        log = BoundedLog("vm-1", writer)
        for number in range(3000):
            log({"message_type": "refused", "text": "x" * 100, "n": number})
            log.flush()
        assert read_lines(reader)
        log.flush()
        log.close()

    async def test_failures_outlast_ends_that_went_well(self) -> None:
        reader, writer = os.pipe()
        os.set_blocking(writer, False)
        log = BoundedLog("vm-1", writer)
        most = int(logs._BURST_LINES)
        for _ in range(most):
            log({"message_type": "request:end", "outcome": "served"})
        log({"message_type": "request:end", "outcome": "refused"})
        kept = [msgspec.json.decode(text) for text in log._queue]
        served = [k for k in kept if k.get("outcome") == "served"]
        assert len(served) < most
        assert kept[-1]["outcome"] == "refused"
        assert log._dropped > 0
        read_lines(reader)
        log.close()

    async def test_each_write_is_what_a_pipe_takes_whole(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # On a day when an engine fell, up to a third of the lines that its
        # owner wrote around that moment were missing: each write was up to
        # 32 KB, and its reader took the first 8,192 bytes. So no line told
        # which order had been given last.
        writes: list[int] = []

        def note_write(_descriptor: int, data: bytes) -> int:
            writes.append(len(data))
            return len(data)

        monkeypatch.setattr(os, "write", note_write)
        log = BoundedLog("vm-1", 1)
        for number in range(200):
            log({"message_type": "fleet:order", "text": "x" * 250, "n": number})
        log.close()
        assert sum(writes) > 50_000
        assert max(writes) <= select.PIPE_BUF
