"""Tests of responses that arrive in the place of another one."""

import asyncio
import re
from collections.abc import AsyncIterator, Sequence

import attrs
import pytest

from ridgesill.adapters.http1.client import Exchange, UpstreamChannels
from ridgesill.ports.http import ChannelError, HttpRequest

_TIMEOUT_SECONDS = 5.0
OWN_ID = b"*"
_ID_LINE = re.compile(rb"request-id: (.*)\r\n")


@attrs.define
class SurplusUpstream:
    """Writes some responses to each request.

    Attributes:
        responses: status, `Request-Id` and body of each response, by the number
            of the request on its connection; OWN_ID for that of the request.
        connections: number of accepted connections.
        address: its `host:port`.
    """

    responses: Sequence[Sequence[tuple[int, bytes, bytes]]] = ()
    connections: int = 0
    address: str = ""
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = attrs.Factory(set)

    async def start(self) -> None:
        """Starts to listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1")
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self._writers.add(writer)
        try:
            for responses in self.responses:
                head = await reader.readuntil(b"\r\n\r\n")
                own = _ID_LINE.search(head)
                for status, request_id, body in responses:
                    if request_id == OWN_ID:
                        request_id = own[1] if own else b""
                    writer.write(_make_response(status, request_id, body))
            await reader.read()
        except (
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
            ConnectionError,
        ):
            pass
        finally:
            writer.close()

    def abort_connections(self) -> None:
        """Ends all connections."""
        for writer in self._writers:
            writer.transport.abort()

    def stop(self) -> None:
        """Accepts no more connections."""
        if self._server is not None:
            self._server.close()


def _make_response(status: int, request_id: bytes, body: bytes) -> bytes:
    id_line = b"Request-Id: %s\r\n" % request_id if request_id else b""
    head = b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n" % (status, len(body))
    return head + id_line + b"\r\n" + body


def _make_request(request_id: bytes) -> HttpRequest:
    headers: tuple[tuple[bytes, bytes], ...] = ((b"host", b"upstream"),)
    if request_id:
        headers = (*headers, (b"request-id", request_id))
    return HttpRequest(b"GET", b"/", headers)


async def _read(exchange: Exchange) -> tuple[int, bytes]:
    """Returns the status and the body of a response."""
    async with asyncio.timeout(_TIMEOUT_SECONDS):
        head = await exchange.read_head()
        return head.status, await exchange.read_rest()


async def _ask(
    channels: UpstreamChannels, upstream: SurplusUpstream, request_id: bytes
) -> tuple[int, bytes]:
    exchange = await channels.send(upstream.address, _make_request(request_id))
    return await _read(exchange)


@pytest.fixture
async def upstream() -> AsyncIterator[SurplusUpstream]:
    """Yields an upstream that listens."""
    made = SurplusUpstream()
    await made.start()
    yield made
    made.stop()


class TestSurplusResponse:
    @pytest.mark.parametrize("status", [200, 404, 500, 503])
    async def test_one_without_id_is_not_taken_for_that_of_a_request_with_one(
        self, upstream: SurplusUpstream, status: int
    ) -> None:
        """Guards against a late report that a client gets as its answer."""
        upstream.responses = (
            [(200, b"a", b"first")],
            [(status, b"", b"report"), (200, b"b", b"second")],
        )
        channels = UpstreamChannels(1.0)
        assert await _ask(channels, upstream, b"a") == (200, b"first")
        assert await _ask(channels, upstream, b"b") == (200, b"second")
        assert upstream.connections == 1

    async def test_one_with_an_id_is_not_taken_for_that_of_a_call_without(
        self, upstream: SurplusUpstream
    ) -> None:
        """Guards against a client's answer that is read as a report."""
        upstream.responses = (
            [(200, b"a", b"first")],
            [(200, b"a", b"again"), (200, b"", b"report")],
        )
        channels = UpstreamChannels(1.0)
        assert await _ask(channels, upstream, b"a") == (200, b"first")
        channel = await channels.acquire(upstream.address)
        exchange = channels.start_exchange(
            channel, _make_request(b""), is_held=True
        )
        assert await _read(exchange) == (200, b"report")
        assert upstream.connections == 1

    async def test_one_to_a_call_without_id_is_not_taken_for_the_next_such(
        self, upstream: SurplusUpstream
    ) -> None:
        """Guards against an order that seems done by the one before it."""
        upstream.responses = (
            [(202, b"", b"first order")],
            [(202, b"", b"first order again"), (409, b"", b"second order")],
        )
        channels = UpstreamChannels(1.0)
        for _ in range(2):
            assert await _ask(channels, upstream, b"") == (202, b"first order")
        assert upstream.connections == 2

    async def test_one_to_a_request_is_not_taken_for_that_of_one_without_id(
        self, upstream: SurplusUpstream
    ) -> None:
        """Guards against a late report for a client that sends no id."""
        upstream.responses = (
            [(200, OWN_ID, b"own")],
            [(200, b"", b"report")],
        )
        channels = UpstreamChannels(1.0)
        assert await _ask(channels, upstream, b"a") == (200, b"own")
        assert await _ask(channels, upstream, b"") == (200, b"own")

    async def test_another_front_s_answer_may_lack_the_id(
        self, upstream: SurplusUpstream
    ) -> None:
        """Guards against waiting for ever for a front of an older release."""
        upstream.responses = ([(503, b"", b"refused")],)
        channels = UpstreamChannels(1.0, requires_ids=False)
        assert await _ask(channels, upstream, b"a") == (503, b"refused")

    async def test_a_call_without_id_does_not_wait_for_its_new_channel(
        self, upstream: SurplusUpstream
    ) -> None:
        """Guards against orders that take twice the way to an engine."""
        upstream.responses = (
            [(202, b"", b"first")],
            [(202, b"", b"first again"), (409, b"", b"second")],
        )
        channels = UpstreamChannels(1.0, keeps_spares=True)
        for number in range(1, 4):
            assert await _ask(channels, upstream, b"") == (202, b"first")
            async with asyncio.timeout(_TIMEOUT_SECONDS):
                while upstream.connections <= number:
                    await asyncio.sleep(0.01)
        assert upstream.connections == 4
        channels.close()

    async def test_a_spare_channel_that_ended_is_not_used(
        self, upstream: SurplusUpstream
    ) -> None:
        """Guards against an order that is lost on an idle connection."""
        upstream.responses = ([(202, b"", b"first")],)
        channels = UpstreamChannels(1.0, keeps_spares=True)
        assert await _ask(channels, upstream, b"") == (202, b"first")
        await asyncio.sleep(0.1)
        upstream.abort_connections()
        await asyncio.sleep(0.1)
        assert await _ask(channels, upstream, b"") == (202, b"first")
        assert upstream.connections == 3
        channels.discard_idle(upstream.address)
        channels.close()

    async def test_an_upstream_that_sends_no_id_gives_no_answer(
        self, upstream: SurplusUpstream
    ) -> None:
        """Guards against an answer that may belong to any request."""
        upstream.responses = ([(503, b"", b"")],)
        channels = UpstreamChannels(1.0)
        exchange = await channels.send(upstream.address, _make_request(b"a"))
        asyncio.get_running_loop().call_later(0.1, exchange.cancel)
        with pytest.raises(ChannelError) as raised:
            await _read(exchange)
        assert raised.value.sent
