"""A front whose upstream sends answers without end to many requests at once.

Each answer was bounded, and nothing counted all of them together: a front took
many times the memory of its VM, and the requests of other clients ended with
it.
"""

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from testing.clients_crowd import repeat
from testing.platform_world import (
    ROUTE_HOST,
    PlainUpstream,
    PlatformDeployment,
    make_document,
)
from testing.scenarios.test_unbounded_clients import check_process

pytestmark = pytest.mark.process

_CLIENTS = 40
_PRESSED_SECONDS = 8.0
_MEMORY_MB = 80
_REQUEST = (
    b"GET /first/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: r9\r\n"
    b"Request-Deadline: 1900\r\n\r\n"
) % ROUTE_HOST.encode()
_PIECE = repeat(b"x")
_CHUNK = b"%x\r\n%s\r\n" % (len(_PIECE), _PIECE)
_PROOF = b"Request-Id: r9\r\nServer-Stamp: s\r\n"
_JSON = b"HTTP/1.1 200 OK\r\n%sContent-Type: application/json\r\n" % _PROOF
# What the upstream sends once, and then again and again.
_ANSWERS = {
    "unframed": (_JSON + b"Connection: close\r\n\r\n", _PIECE),
    "chunked": (_JSON + b"Transfer-Encoding: chunked\r\n\r\n", _CHUNK),
    "announced": (_JSON + b"Content-Length: 524288000\r\n\r\n", _PIECE),
    "failed": (
        b"HTTP/1.1 500 X\r\nConnection: close\r\n%s\r\n" % _PROOF,
        _PIECE,
    ),
    "inside_a_header": (_JSON + b"X-Endless: ", _PIECE),
    "interim": (b"", b"HTTP/1.1 103 X\r\n\r\n" * 1000),
}


class EndlessUpstream(PlainUpstream):
    """Sends answers without end while it is faulty.

    Attributes:
        answer: beginning of each answer, and the piece that follows without
            end; None while it is sound.
    """

    answer: tuple[bytes, bytes] | None = None

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            if self.answer is None:
                await super()._serve(reader, writer)
                return
            beginning, piece = self.answer
            await reader.readuntil(b"\r\n\r\n")
            writer.write(beginning)
            while True:
                writer.write(piece)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.transport.abort()


@pytest.fixture
async def deployment(tmp_path: Path) -> AsyncIterator[PlatformDeployment]:
    """Yields a front on a VM with little memory, and an upstream."""
    settings = {"limits": {"memory_mb": _MEMORY_MB, "file_descriptors": 400}}
    made = PlatformDeployment(tmp_path, 1, 1, settings, settings)
    made.upstream = EndlessUpstream(
        [made.control_address(vm) for vm in made.controls]
    )
    try:
        await made.start()
        await made.put_configuration(make_document(1, "/first/"))
        await made.wait_until_served(made.fronts[0], "/first/x")
        yield made
    finally:
        made.stop()


async def ask_for_ever(address: str) -> None:
    """Sends one request after the other and reads the answers."""
    host, _, port = address.rpartition(":")
    while True:
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(_REQUEST)
            await reader.read()
        except ConnectionError:
            pass
        finally:
            writer.transport.abort()


@pytest.mark.parametrize("kind", _ANSWERS)
async def test_a_front_outlives_answers_without_end(
    deployment: PlatformDeployment, kind: str
) -> None:
    front = deployment.fronts[0]
    upstream = deployment.upstream
    assert isinstance(upstream, EndlessUpstream)
    upstream.answer = _ANSWERS[kind]
    address = deployment.client_address(front)
    clients = [
        asyncio.create_task(ask_for_ever(address)) for _ in range(_CLIENTS)
    ]
    await asyncio.sleep(_PRESSED_SECONDS)
    for client in clients:
        client.cancel()
    await asyncio.gather(*clients, return_exceptions=True)
    check_process(front)
    upstream.answer = None
    await deployment.wait_until_served(front, "/first/x")
