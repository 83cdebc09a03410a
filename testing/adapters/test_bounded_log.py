"""Tests of the log that never blocks on its reader."""

import os
import select

import msgspec
import pytest

from ridgesill.adapters import logs
from ridgesill.adapters.logs import BoundedLog


def read_lines(descriptor: int) -> list[dict[str, object]]:
    """Returns the lines that can be read without blocking."""
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

    async def test_writer_does_not_block_on_a_stalled_reader(self) -> None:
        reader, writer = os.pipe()
        os.set_blocking(writer, False)
        log = BoundedLog("vm-1", writer)
        for number in range(3000):
            log({"message_type": "refused", "text": "x" * 100, "n": number})
            log.flush()
        assert read_lines(reader)
        log.flush()
        log.close()

    async def test_lines_of_successful_requests_are_dropped_first(self) -> None:
        reader, writer = os.pipe()
        os.set_blocking(writer, False)
        log = BoundedLog("vm-1", writer)
        burst = int(logs._BURST_LINES)
        for _ in range(burst):
            log({"message_type": "request:end", "outcome": "served"})
        log({"message_type": "request:end", "outcome": "refused"})
        kept = [msgspec.json.decode(text) for text in log._queue]
        served = [k for k in kept if k.get("outcome") == "served"]
        assert len(served) < burst
        assert kept[-1]["outcome"] == "refused"
        assert log._dropped > 0
        read_lines(reader)
        log.close()

    async def test_no_write_is_larger_than_pipe_buf(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # With writes of up to 32 KB, a reader that took only the first 8,192
        # bytes of each lost up to a third of an owner's lines while an engine
        # failed, among them the line with the last order.
        write_sizes: list[int] = []

        def record_write(_descriptor: int, data: bytes) -> int:
            write_sizes.append(len(data))
            return len(data)

        monkeypatch.setattr(os, "write", record_write)
        log = BoundedLog("vm-1", 1)
        for number in range(200):
            log({"message_type": "fleet:order", "text": "x" * 250, "n": number})
        log.close()
        assert sum(write_sizes) > 50_000
        assert max(write_sizes) <= select.PIPE_BUF
