"""Log output as JSON lines, based on eliot."""

import asyncio
import collections
import os
import sys
from typing import Any

import eliot
import msgspec

# Average rate limit of a process. Failures and state changes make up about ten
# lines a second during an incident; the rest are completed requests.
_LINES_PER_SECOND = 400.0
# Lines that may exceed the average rate in a burst.
_BURST_LINES = 2000.0
# Lines queued for a slow reader; more are dropped.
_MAX_QUEUED_LINES = 5000
_FLUSH_INTERVAL_SECONDS = 0.1
_STDOUT_DESCRIPTOR = 1
# Maximum size of one write: a pipe writes up to PIPE_BUF bytes atomically. With
# larger writes, a reader that takes only the first 8 KB of each lost up to a
# third of an owner's lines under load.
_CHUNK_BYTES = 4096
# Fields added by eliot that only matter for nested actions.
_OMITTED_FIELDS = frozenset(("task_uuid", "task_level"))


def open_log(path: str) -> None:
    """Writes log lines to a file, or to standard error if `path` is empty."""
    target = open(path, "a", buffering=1) if path else sys.stderr  # noqa: SIM115
    eliot.to_file(target)


class BoundedLog:
    """Writes log lines without blocking on a slow reader.

    Limits the rate of lines. Above the limit, lines of successful requests
    are dropped first, and a `log:dropped` line gives the number dropped.

    Args:
        vm: name of the VM, added to each line.
        descriptor: file descriptor to write to; must be non-blocking.
    """

    def __init__(self, vm: str, descriptor: int = _STDOUT_DESCRIPTOR) -> None:
        self._vm = vm
        self._descriptor = descriptor
        self._queue: collections.deque[bytes] = collections.deque()
        self._dropped = 0
        self._tokens = _BURST_LINES
        self._loop = asyncio.get_running_loop()
        self._refilled_at = self._loop.time()
        self._unwritten = b""
        self._task = self._loop.create_task(self._run())

    def __call__(self, message: dict[str, Any]) -> None:
        """Queues a message from eliot, or drops it above the rate limit."""
        if not self._reserve_line(message):
            self._dropped += 1
            return
        line = {"vm": self._vm}
        for name, value in message.items():
            if name not in _OMITTED_FIELDS:
                line[name] = value
        self._queue.append(msgspec.json.encode(line, enc_hook=str) + b"\n")

    def _reserve_line(self, message: dict[str, Any]) -> bool:
        if len(self._queue) >= _MAX_QUEUED_LINES:
            return False
        now = self._loop.time()
        refilled = (now - self._refilled_at) * _LINES_PER_SECOND
        self._tokens = min(self._tokens + refilled, _BURST_LINES)
        self._refilled_at = now
        is_success = message.get("outcome") == "served"
        if self._tokens < (_BURST_LINES / 2 if is_success else 1.0):
            return False
        self._tokens -= 1.0
        return True

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(_FLUSH_INTERVAL_SECONDS)
            self.flush()

    def flush(self) -> None:
        """Writes queued lines until the descriptor would block."""
        if self._dropped and len(self._queue) < _MAX_QUEUED_LINES:
            notice = {"vm": self._vm, "message_type": "log:dropped"}
            line = msgspec.json.encode({**notice, "lines": self._dropped})
            self._queue.append(line + b"\n")
            self._dropped = 0
        while self._unwritten or self._queue:
            if not self._unwritten:
                self._unwritten = self._take_chunk()
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe: the lines can't be delivered.
                self._unwritten = b""
                self._queue.clear()
                return
            self._unwritten = self._unwritten[written:]

    def _take_chunk(self) -> bytes:
        chunk: list[bytes] = []
        size = 0
        while self._queue:
            size += len(self._queue[0])
            if chunk and size > _CHUNK_BYTES:
                break
            chunk.append(self._queue.popleft())
        return b"".join(chunk)

    def close(self) -> None:
        """Writes queued lines and stops the periodic flush."""
        self._task.cancel()
        self.flush()


def open_bounded_log(vm: str) -> BoundedLog:
    """Writes log lines to standard output without blocking."""
    os.set_blocking(_STDOUT_DESCRIPTOR, False)
    log = BoundedLog(vm)
    eliot.add_destinations(log)
    return log
