"""HTTP clients for tests, over urllib3 or plain sockets."""

import asyncio
import socket
from collections.abc import Iterator
from typing import Any

import attrs
import msgspec
import urllib3

from ridgesill.core.addresses import split_address
from testing.processes import NodeHandle, send_request

CHAT_PATH = "/v1/chat/completions"


async def open_with_buffer(
    address: str, receive_bytes: int, limit: int = 2**16
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connects a client whose kernel takes few bytes that it hasn't read.

    Args:
        address: `host:port`.
        receive_bytes: size of its receive buffer; 0 for the kernel's choice.
        limit: bytes that its reader takes ahead.
    """
    client = socket.socket()
    if receive_bytes:
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    client.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(client, split_address(address))
    return await asyncio.open_connection(sock=client, limit=limit)


@attrs.frozen
class CallerAnswer:
    """A complete answer of a node."""

    status: int
    headers: Any
    data: bytes

    @property
    def outcome(self) -> str:
        """The request's outcome according to the X-Ridgesill-Outcome header."""
        return str(self.headers.get("X-Ridgesill-Outcome", ""))

    @property
    def error(self) -> Any:
        """The error object in the JSON body."""
        return msgspec.json.decode(self.data)["error"]

    @property
    def words(self) -> list[str]:
        """The words of the completion's content."""
        document = msgspec.json.decode(self.data)
        content: str = document["choices"][0]["message"]["content"]
        return content.split()


def request(
    node: NodeHandle,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout: float = 30.0,
) -> CallerAnswer:
    """Sends a request to a node's address for callers."""
    answer = send_request(
        method,
        f"http://{node.callers}{path}",
        body=body,
        headers=headers,
        timeout=timeout,
    )
    return CallerAnswer(answer.status, answer.headers, answer.data)


def chat_body(model: str, content: str = "hi", **fields: Any) -> bytes:
    """Returns the body of a chat completion request."""
    messages = [{"role": "user", "content": content}]
    return msgspec.json.encode({"model": model, "messages": messages, **fields})


def chat(
    node: NodeHandle,
    model: str,
    headers: dict[str, str] | None = None,
    **fields: Any,
) -> CallerAnswer:
    """Sends a chat completion request to a node."""
    body = chat_body(model, **fields)
    return request(node, "POST", CHAT_PATH, body, headers)


def open_stream(
    node: NodeHandle, model: str, **fields: Any
) -> tuple[urllib3.BaseHTTPResponse, Iterator[bytes]]:
    """Requests a streamed completion.

    Returns:
        The response, and an iterator over its unread body.
    """
    response = urllib3.PoolManager(retries=False, timeout=30).request(
        "POST",
        f"http://{node.callers}{CHAT_PATH}",
        body=chat_body(model, stream=True, **fields),
        preload_content=False,
    )
    return response, response.stream(65536)


def send_raw(node: NodeHandle, data: bytes, seconds: float = 10.0) -> bytes:
    """Sends bytes on a plain socket.

    Returns:
        All bytes that are received until the node closes the connection.
    """
    host, _, port = node.callers.rpartition(":")
    received = b""
    with socket.create_connection((host, int(port)), seconds) as connection:
        connection.settimeout(seconds)
        try:
            connection.sendall(data)
            while chunk := connection.recv(65536):
                received += chunk
        except ConnectionError:
            pass
    return received
