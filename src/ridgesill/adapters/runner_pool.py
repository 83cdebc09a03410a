"""Pools of connections to runners, which refuse heads that were cut short."""

import http.client
import io
import socket

import urllib3
from urllib3.connection import HTTPConnection

# Bounds the lines in a row that hold no part of a body: a head with the interim
# responses before it, or trailers. `http.client` bounds each line only.
_MAX_LINES_BYTES = 65536


class _LinesTooLongError(http.client.HTTPException):
    """A head, interim responses or trailers have no end in sight."""


class _CutHeadError(http.client.HTTPException):
    """The connection ended inside a line, or before the end of a head."""


class _LineReader(io.BufferedReader):
    """Reads an answer; refuses a line that the end of the connection cut.

    `http.client` takes such a line, of a head or of a chunk, as a whole one.
    """

    last_line = b""
    _lines_bytes = 0

    def readline(self, size: int | None = -1, /) -> bytes:
        """Returns the next line, or nothing at the end of the connection.

        Raises:
            _CutHeadError: the connection ended inside the line.
            _LinesTooLongError: too many bytes came in lines.
        """
        line = super().readline(size)
        if line and not line.endswith(b"\n") and len(line) != size:
            raise _CutHeadError(f"the connection ended inside {line[:64]!r}")
        self.last_line = line
        self._lines_bytes += len(line)
        if self._lines_bytes > _MAX_LINES_BYTES:
            raise _LinesTooLongError(
                f"more than {_MAX_LINES_BYTES} bytes of headers or trailers"
            )
        return line

    def read(self, size: int | None = -1, /) -> bytes:
        """Returns a part of a body, after which lines are counted anew."""
        self._lines_bytes = 0
        return super().read(size)


class _Response(http.client.HTTPResponse):
    """An answer whose head is refused unless its blank line came.

    `http.client` takes the end of the connection for the end of the headers,
    so that a header, cut or whole, could claim a length that the head, had it
    arrived, wouldn't have had.
    """

    def __init__(
        self,
        sock: socket.socket,
        debuglevel: int = 0,
        method: str | None = None,
        url: str | None = None,
    ) -> None:
        super().__init__(sock, debuglevel, method, url)
        self._lines = _LineReader(self.fp.detach())
        self.fp = self._lines

    def begin(self) -> None:
        """Reads the head.

        Raises:
            _CutHeadError: the connection ended before the head did.
            _LinesTooLongError: the head is too long.
        """
        super().begin()
        if self._lines.last_line not in (b"\r\n", b"\n"):
            raise _CutHeadError("the connection ended inside the headers")


class _Connection(HTTPConnection):
    response_class = _Response


class _Pool(urllib3.HTTPConnectionPool):
    ConnectionCls = _Connection


def make_pool_manager(
    hosts: int, timeout: urllib3.Timeout, connections: int = 1
) -> urllib3.PoolManager:
    """Returns a pool manager that retries nothing.

    Args:
        hosts: for how many hosts connections are kept.
        timeout: for connecting and for each read.
        connections: how many are kept for a host.
    """
    manager = urllib3.PoolManager(
        num_pools=hosts, maxsize=connections, retries=False, timeout=timeout
    )
    manager.pool_classes_by_scheme = {"http": _Pool}
    return manager
