"""How the cheroot-based server ends responses that only a close completes."""

import socket
import threading
from collections.abc import Callable, Iterator
from typing import Any

import attrs
import pytest

from ridgesill.adapters.http_server import (
    HttpServer,
    ServerLimits,
    StartResponse,
)
from testing.processes import free_address

_TIMEOUT_SECONDS = 1.0
_LAST_CHUNK = b"0\r\n\r\n"
_PART = b"data: x\n\n"
# More than the kernels of both ends take for a client that reads nothing.
_LONG_PART = b"x" * 2**25


@attrs.define
class Received:
    """A response as its client got it.

    Attributes:
        head: status line and headers.
        body: the bytes after them, with chunk sizes if there are any.
        was_reset: whether the connection was reset, not closed in order.
    """

    head: bytes = b""
    body: bytes = b""
    was_reset: bool = False


@pytest.fixture
def served() -> Iterator["Served"]:
    made = Served()
    made.server.start()
    yield made
    made.go_on.set()
    made.server.stop()


class Served:
    """A server of one application, whose body each test sets.

    Attributes:
        body: returns the parts of the body.
        status: status line of the response.
        headers: of the response.
        go_on: lets bodies that wait for it go on.
    """

    def __init__(self) -> None:
        self.address = free_address()
        limits = ServerLimits(2, 65536, 65536, _TIMEOUT_SECONDS)
        self.server = HttpServer(self.address, self._respond, limits)
        self.body: Callable[[], Iterator[bytes]] = lambda: iter(())
        self.status = "200 OK"
        self.headers: list[tuple[str, str]] = []
        self.go_on = threading.Event()

    def _respond(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterator[bytes]:
        start_response(self.status, self.headers)
        return self.body()

    def connect(self, version: str) -> socket.socket:
        """Sends a request of a version of HTTP."""
        host, _, port = self.address.rpartition(":")
        client = socket.create_connection((host, int(port)), 10.0)
        client.sendall(f"GET / HTTP/{version}\r\nHost: x\r\n\r\n".encode())
        return client


def read_to_end(client: socket.socket) -> Received:
    """Reads a response until its connection ends."""
    received = Received()
    parts = []
    with client:
        try:
            while data := client.recv(65536):
                parts.append(data)
        except ConnectionResetError:
            received.was_reset = True
    received.head, _, received.body = b"".join(parts).partition(b"\r\n\r\n")
    return received


def read_chunks(client: socket.socket) -> bytes:
    """Reads a response until its last chunk or the end of its connection."""
    received = b""
    while not received.endswith(_LAST_CHUNK):
        data = client.recv(65536)
        if not data:
            return received
        received += data
    return received


def break_off() -> Iterator[bytes]:
    """Yields a part of a body that then fails."""
    yield _PART
    raise ConnectionAbortedError


class TestBrokenOffResponse:
    def test_one_to_http_1_0_does_not_look_complete(
        self, served: Served
    ) -> None:
        served.body = break_off
        assert read_to_end(served.connect("1.0")).was_reset

    def test_one_of_status_413_does_not_look_complete(
        self, served: Served
    ) -> None:
        """Cheroot sends these without chunks to clients of HTTP/1.1 too."""
        served.status = "413 Payload Too Large"
        served.body = break_off
        assert read_to_end(served.connect("1.1")).was_reset

    def test_chunks_lack_the_last_one(self, served: Served) -> None:
        served.body = break_off
        received = read_to_end(served.connect("1.1"))
        assert received.body == b"9\r\n" + _PART + b"\r\n"
        assert not received.was_reset

    def test_one_to_a_client_that_reads_too_slowly_does_not_look_complete(
        self, served: Served
    ) -> None:
        ended = threading.Event()

        def send_long_part() -> Iterator[bytes]:
            try:
                yield _LONG_PART
            finally:
                ended.set()

        served.body = send_long_part
        client = served.connect("1.0")
        assert ended.wait(10 * _TIMEOUT_SECONDS)
        received = read_to_end(client)
        assert len(received.body) < len(_LONG_PART)
        assert received.was_reset

    def test_one_of_a_stopping_server_does_not_look_complete(
        self, served: Served
    ) -> None:
        def fail_once_the_server_stops() -> Iterator[bytes]:
            yield _PART
            served.go_on.wait()
            raise ConnectionAbortedError

        served.body = fail_once_the_server_stops
        client = served.connect("1.0")
        assert client.recv(1)
        stopping = threading.Thread(target=served.server.stop)
        stopping.start()
        # The server waits this long before it shuts connections down.
        stopping.join(1.5 * _TIMEOUT_SECONDS)
        served.go_on.set()
        stopping.join()
        assert read_to_end(client).was_reset


class TestCompleteResponse:
    @pytest.mark.parametrize("version", ["1.0", "1.1"])
    def test_an_unframed_one_ends_in_order(
        self, served: Served, version: str
    ) -> None:
        """Guards against resets of responses that have all their bytes."""
        served.status = "413 Payload Too Large"
        served.body = lambda: iter([_PART, _PART])
        received = read_to_end(served.connect(version))
        assert (received.body, received.was_reset) == (_PART * 2, False)

    def test_a_connection_is_reused_after_chunks(self, served: Served) -> None:
        served.body = lambda: iter([_PART])
        with served.connect("1.1") as client:
            assert read_chunks(client).endswith(_LAST_CHUNK)
            client.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
            assert read_chunks(client).endswith(_LAST_CHUNK)
