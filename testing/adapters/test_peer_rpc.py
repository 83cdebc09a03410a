"""Tests of streams between nodes, through a proxy that can drop data."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import pytest

from ridgesill.adapters.peer_rpc import (
    PeerLinks,
    PeerServer,
    decode_body,
    encode_body,
)
from ridgesill.core import codec
from ridgesill.core.addresses import split_address
from ridgesill.core.fleet.messages import WatchFleet
from ridgesill.core.following import AskLatest, Latest
from ridgesill.ports.peers import PeerError
from testing.processes import free_address


class DroppingProxy:
    """A TCP proxy that can drop all data of its open connections."""

    def __init__(self, target: str) -> None:
        self.address = free_address()
        self._target = split_address(target)
        self._accepted = 0
        self._dropped_before = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Starts to listen."""
        host, port = split_address(self.address)
        self._server = await asyncio.start_server(self._serve, host, port)

    def drop_open_connections(self) -> None:
        """Drops all further data on the connections that are open now."""
        self._dropped_before = self._accepted

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        number = self._accepted
        self._accepted += 1
        upstream_streams = await asyncio.open_connection(*self._target)
        await asyncio.gather(
            self._forward(number, reader, upstream_streams[1]),
            self._forward(number, upstream_streams[0], writer),
        )

    async def _forward(
        self,
        number: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            while data := await reader.read(65536):
                if number >= self._dropped_before:
                    writer.write(data)
                    await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    def stop(self) -> None:
        """Stops listening."""
        if self._server is not None:
            self._server.close()


async def reply_to_ask_latest(_sender: str, message: Any) -> Any:
    """Replies to `AskLatest` only."""
    return Latest(7) if isinstance(message, AskLatest) else None


@pytest.fixture
async def proxy() -> AsyncIterator[DroppingProxy]:
    """Yields a proxy in front of a node."""
    address = free_address()
    server = PeerServer(reply_to_ask_latest, "b#1")
    await server.start(address)
    started = DroppingProxy(address)
    await started.start()
    yield started
    started.stop()
    await server.stop()


class TestUnresponsiveStreams:
    async def test_a_stream_without_replies_is_reopened(
        self, proxy: DroppingProxy
    ) -> None:
        links = PeerLinks("a#1")
        assert await links.call(proxy.address, AskLatest(), 1.0) == Latest(7)
        proxy.drop_open_connections()
        with pytest.raises(PeerError):
            await links.call(proxy.address, AskLatest(), 3.0)
        assert await links.call(proxy.address, AskLatest(), 2.0) == Latest(7)
        await links.close()

    async def test_an_idle_stream_is_not_reopened(
        self, proxy: DroppingProxy
    ) -> None:
        links = PeerLinks("a#1")
        await links.call(proxy.address, AskLatest(), 1.0)
        await asyncio.sleep(1.5)
        assert proxy._accepted == 1
        await links.close()


class TestBodies:
    @pytest.mark.parametrize("count", [1, 100])
    def test_encoded_body_decodes_to_the_same_message(self, count: int) -> None:
        usage = {f"base/a{number}": 1 for number in range(count)}
        message_sent = WatchFleet(3, 4, 0.5, used=usage)
        assert decode_body(encode_body(message_sent)) == message_sent

    def test_a_large_body_is_compressed(self) -> None:
        usage = {f"base/a{number}": 1 for number in range(100)}
        message_sent = WatchFleet(3, 4, 0.5, used=usage)
        assert (
            len(encode_body(message_sent)) < len(codec.encode(message_sent)) / 2
        )

    def test_a_damaged_body_is_an_error(self) -> None:
        with pytest.raises(codec.DecodeError, match="damaged"):
            decode_body(b"\x78\x01rubbish")


class TestTraffic:
    async def test_sent_messages_are_counted_by_kind(self) -> None:
        near_address, far_address = free_address(), free_address()
        servers = [
            PeerServer(reply_to_ask_latest, "b#1"),
            PeerServer(reply_to_ask_latest, "c#1"),
        ]
        for server, address in zip(
            servers, (near_address, far_address), strict=True
        ):
            await server.start(address)
        links = PeerLinks("a#1")
        links.traffic.is_far = lambda peer: peer == far_address
        await links.call(near_address, AskLatest(), 1.0)
        await links.call(far_address, AskLatest(), 1.0)
        sent_calls = links.traffic.kinds["AskLatest"]
        assert sent_calls.messages == 2
        assert 0 < sent_calls.far_bytes < sent_calls.bytes
        sent_replies = servers[0]._traffic.kinds["Latest"]
        assert (sent_replies.messages, sent_replies.far_bytes) == (1, 0)
        await links.close()
        for server in servers:
            await server.stop()
