"""Streams to callers of nodes that end before them."""

import signal
import socket

import pytest

from testing.clients import CHAT_PATH, chat_body
from testing.processes import Deployment, NodeHandle

pytestmark = pytest.mark.process

_TIMEOUT_SECONDS = 20.0
_LAST_CHUNK = b"0\r\n\r\n"


def begin_stream(
    node: NodeHandle, version: str, max_tokens: int
) -> tuple[socket.socket, bytes]:
    """Requests a streamed completion; returns once its first event came."""
    body = chat_body("a1", stream=True, max_tokens=max_tokens)
    head = (
        f"POST {CHAT_PATH} HTTP/{version}\r\nHost: x\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    host, _, port = node.callers.rpartition(":")
    client = socket.create_connection((host, int(port)), _TIMEOUT_SECONDS)
    client.sendall(head.encode() + body)
    received = b""
    while b"data: {" not in received:
        data = client.recv(65536)
        assert data, received
        received += data
    assert b" 200 " in received.split(b"\r\n")[0]
    return client, received


def read_to_end(client: socket.socket) -> tuple[bytes, bool]:
    """Returns the rest of a stream and whether its connection was reset."""
    received = b""
    with client:
        try:
            while data := client.recv(65536):
                received += data
        except ConnectionResetError:
            return received, True
    return received, False


class TestKilledNode:
    def test_a_stream_to_http_1_0_does_not_look_complete(
        self, small: Deployment
    ) -> None:
        node = small.nodes["n1"]
        assert node.running is not None
        client, _ = begin_stream(node, "1.0", 100_000)
        node.running.kill()
        _, was_reset = read_to_end(client)
        assert was_reset

    def test_a_stream_in_chunks_does_not_look_complete(
        self, small: Deployment
    ) -> None:
        node = small.nodes["n1"]
        assert node.running is not None
        client, received = begin_stream(node, "1.1", 100_000)
        node.running.kill()
        rest, _ = read_to_end(client)
        assert not (received + rest).endswith(_LAST_CHUNK)


class TestStoppedNode:
    def test_a_stream_to_http_1_0_is_whole(self, small: Deployment) -> None:
        """Guards against resets of streams that have all their events."""
        node = small.nodes["n1"]
        assert node.running is not None
        client, received = begin_stream(node, "1.0", 100)
        node.running.signal(signal.SIGTERM)
        rest, was_reset = read_to_end(client)
        assert not was_reset
        assert (received + rest).count(b"data: {") == 100
        assert rest.rstrip().endswith(b"data: [DONE]")
