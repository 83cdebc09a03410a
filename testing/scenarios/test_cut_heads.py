"""A front whose upstream ends inside the head of its answer.

Clients of such systems got a 200 with an empty or short body, framed as whole.
"""

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from testing.platform_world import (
    ROUTE_HOST,
    PlainUpstream,
    PlatformDeployment,
    make_kinds_document,
)

pytestmark = pytest.mark.process

_KINDS = ("safe", "unsafe", "stream")
_TIMEOUT_SECONDS = 10.0
_STATUS = b"HTTP/1.1 200 OK\r\n"
# What the upstream sends before it closes the connection.
_HEADS = {
    "nothing": b"",
    "inside_the_status_line": b"HTTP/1.1 200",
    "after_the_status_line": _STATUS,
    "after_a_bodiless_status": b"HTTP/1.1 204 No Content\r\n",
    "inside_a_header": _STATUS + b"Content-Type: text/event-str",
    "inside_a_length": _STATUS + b"Content-Length: 1",
    "inside_an_encoding": _STATUS + b"Transfer-Encoding: chu",
    "before_the_blank_line": _STATUS + b"Content-Length: 0\r\n",
    "inside_the_blank_line": _STATUS + b"Content-Length: 0\r\n\r",
    "after_an_interim_response": b"HTTP/1.1 103 Early Hints\r\n\r\n",
}


class CutHeadUpstream(PlainUpstream):
    """Closes connections inside the heads of its answers while it is faulty.

    Attributes:
        head: what it sends of each answer; None while it is sound.
        reached: number of requests that were answered so.
    """

    head: bytes | None = None
    reached = 0

    async def _answer(
        self,
        head: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self.head is None:
            await super()._answer(head, reader, writer)
            return
        self.reached += 1
        writer.write(self.head)
        writer.close()


@pytest.fixture
async def deployment(tmp_path: Path) -> AsyncIterator[PlatformDeployment]:
    """Yields a control node, a front and an upstream."""
    made = PlatformDeployment(tmp_path, 1, 1)
    made.upstream = CutHeadUpstream([made.control_address(made.controls[0])])
    try:
        await made.start()
        await made.put_configuration(make_kinds_document(_KINDS))
        await made.wait_until_served(made.fronts[0], "/safe/x")
        yield made
    finally:
        made.stop()


async def ask(address: str, kind: str) -> bytes:
    """Returns all that a client gets on a connection that it wants closed."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        f"GET /{kind}/x HTTP/1.1\r\nHost: {ROUTE_HOST}\r\nRequest-Id: r9\r\n"
        "Request-Deadline: 1900\r\nConnection: close\r\n\r\n".encode()
    )
    async with asyncio.timeout(_TIMEOUT_SECONDS):
        answer = await reader.read()
    writer.close()
    return answer


@pytest.mark.parametrize("cut", _HEADS)
async def test_a_head_cut_short_is_no_answer(
    deployment: PlatformDeployment, cut: str
) -> None:
    """Guards against a head cut short that passes for a whole answer."""
    address = deployment.client_address(deployment.fronts[0])
    upstream = deployment.upstream
    assert isinstance(upstream, CutHeadUpstream)
    upstream.head = _HEADS[cut]
    for kind in _KINDS:
        upstream.reached = 0
        answer = await ask(address, kind)
        assert answer.startswith(b"HTTP/1.1 502 "), (kind, answer)
        assert upstream.reached > 0
        if kind == "unsafe":
            assert upstream.reached == 1
