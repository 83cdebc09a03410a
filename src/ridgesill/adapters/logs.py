"""Log lines as JSON, by eliot."""

import asyncio
import collections
import os
import sys
from typing import Any

import eliot
import msgspec

# Lines a second that a process may write, on average; failures and changes of
# state are some ten a second on a bad day, ends of requests the rest.
_LINES_PER_SECOND = 400.0
# Lines that may come at once on top of that.
_LINES_BURST = 2000.0
# Lines that wait for a slow reader before they are dropped.
_LINES_WAITING = 5000
_FLUSH_SECONDS = 0.1
_STDOUT = 1
# Bytes handed to the system at once: what a pipe takes as a whole (PIPE_BUF).
# A reader that takes 8 KB of each write lost up to a third of an owner's lines
# on a busy day.
_CHUNK_BYTES = 4096
# Fields of eliot's that say nothing on lines which stand by themselves.
_LEFT_OUT = frozenset(("task_uuid", "task_level"))


def open_log(path: str) -> None:
    """Sends log lines to a file, or to standard error."""
    target = open(path, "a", buffering=1) if path else sys.stderr  # noqa: SIM115
    eliot.to_file(target)


class BoundedLog:
    """Writes lines to standard output, never waiting for its reader.

    Ends of requests that went well are left out first when there are too
    many; a line says how many were.

    Args:
        vm: stands on each line.
        descriptor: to write to.
    """

    def __init__(self, vm: str, descriptor: int = _STDOUT) -> None:
        self._vm = vm
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._dropped = 0
        self._tokens = _LINES_BURST
        self._loop = asyncio.get_running_loop()
        self._refilled_at = self._loop.time()
        self._rest = b""
        self._task = self._loop.create_task(self._run())

    def __call__(self, message: dict[str, Any]) -> None:
        """Takes a message from eliot."""
        if not self._may_write(message):
            self._dropped += 1
            return
        line = {"vm": self._vm}
        for name, value in message.items():
            if name not in _LEFT_OUT:
                line[name] = value
        self._lines.append(msgspec.json.encode(line, enc_hook=str) + b"\n")

    def _may_write(self, message: dict[str, Any]) -> bool:
        if len(self._lines) >= _LINES_WAITING:
            return False
        now = self._loop.time()
        gained = (now - self._refilled_at) * _LINES_PER_SECOND
        self._tokens = min(self._tokens + gained, _LINES_BURST)
        self._refilled_at = now
        is_plain = message.get("outcome") == "served"
        if self._tokens < (_LINES_BURST / 2 if is_plain else 1.0):
            return False
        self._tokens -= 1.0
        return True

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(_FLUSH_SECONDS)
            self.flush()

    def flush(self) -> None:
        """Writes what the reader takes now."""
        if self._dropped and len(self._lines) < _LINES_WAITING:
            said = {"vm": self._vm, "message_type": "log:dropped"}
            line = msgspec.json.encode({**said, "lines": self._dropped})
            self._lines.append(line + b"\n")
            self._dropped = 0
        while self._rest or self._lines:
            if not self._rest:
                self._rest = self._take_chunk()
            try:
                written = os.write(self._descriptor, self._rest)
            except BlockingIOError:
                return
            except OSError:
                # No reader is left; nobody could be told.
                self._rest = b""
                self._lines.clear()
                return
            self._rest = self._rest[written:]

    def _take_chunk(self) -> bytes:
        taken: list[bytes] = []
        size = 0
        while self._lines:
            size += len(self._lines[0])
            if taken and size > _CHUNK_BYTES:
                break
            taken.append(self._lines.popleft())
        return b"".join(taken)

    def close(self) -> None:
        """Writes what is left and stops."""
        self._task.cancel()
        self.flush()


def open_bounded_log(vm: str) -> BoundedLog:
    """Sends log lines to standard output without ever waiting for it."""
    os.set_blocking(_STDOUT, False)
    log = BoundedLog(vm)
    eliot.add_destinations(log)
    return log
