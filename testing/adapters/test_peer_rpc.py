"""Tests of streams between nodes, through a proxy that can fall silent."""

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


class SilentProxy:
    """Passes bytes on until it is told to swallow those of open channels."""

    def __init__(self, target: str) -> None:
        self.address = free_address()
        self._target = split_address(target)
        self._opened = 0
        self._silent_before = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Begins to listen."""
        host, port = split_address(self.address)
        self._server = await asyncio.start_server(self._serve, host, port)

    def fall_silent(self) -> None:
        """Swallows everything on the channels that are open now."""
        self._silent_before = self._opened

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        number = self._opened
        self._opened += 1
        there = await asyncio.open_connection(*self._target)
        await asyncio.gather(
            self._pass(number, reader, there[1]),
            self._pass(number, there[0], writer),
        )

    async def _pass(
        self,
        number: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            while data := await reader.read(65536):
                if number >= self._silent_before:
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


async def answer(_sender: str, message: Any) -> Any:
    """Answers a question; others get no answer."""
    return Latest(7) if isinstance(message, AskLatest) else None


@pytest.fixture
async def proxy() -> AsyncIterator[SilentProxy]:
    """Returns a proxy before a node that answers."""
    address = free_address()
    server = PeerServer(answer, "b#1")
    await server.start(address)
    made = SilentProxy(address)
    await made.start()
    yield made
    made.stop()
    await server.stop()


class TestSilence:
    async def test_a_stream_that_hangs_is_opened_anew(
        self, proxy: SilentProxy
    ) -> None:
        links = PeerLinks("a#1")
        assert await links.call(proxy.address, AskLatest(), 1.0) == Latest(7)
        proxy.fall_silent()
        with pytest.raises(PeerError):
            await links.call(proxy.address, AskLatest(), 3.0)
        assert await links.call(proxy.address, AskLatest(), 2.0) == Latest(7)
        await links.close()

    async def test_a_stream_at_rest_is_left_alone(
        self, proxy: SilentProxy
    ) -> None:
        links = PeerLinks("a#1")
        await links.call(proxy.address, AskLatest(), 1.0)
        await asyncio.sleep(1.5)
        assert proxy._opened == 1
        await links.close()


class TestBodies:
    @pytest.mark.parametrize("count", [1, 100])
    def test_a_body_comes_back_as_it_was(self, count: int) -> None:
        named = {f"base/a{number}": 1 for number in range(count)}
        question = WatchFleet(3, 4, 0.5, used=named)
        assert decode_body(encode_body(question)) == question

    def test_a_large_body_is_compressed(self) -> None:
        named = {f"base/a{number}": 1 for number in range(100)}
        question = WatchFleet(3, 4, 0.5, used=named)
        assert len(encode_body(question)) < len(codec.encode(question)) / 2

    def test_a_damaged_body_is_an_error(self) -> None:
        with pytest.raises(codec.DecodeError, match="damaged"):
            decode_body(b"\x78\x01rubbish")


class TestTraffic:
    async def test_what_is_sent_counts_by_its_kind(self) -> None:
        near, far = free_address(), free_address()
        servers = [PeerServer(answer, "b#1"), PeerServer(answer, "c#1")]
        for server, address in zip(servers, (near, far), strict=True):
            await server.start(address)
        links = PeerLinks("a#1")
        links.traffic.is_far = lambda peer: peer == far
        await links.call(near, AskLatest(), 1.0)
        await links.call(far, AskLatest(), 1.0)
        asked = links.traffic.kinds["AskLatest"]
        assert asked.messages == 2
        assert 0 < asked.far_bytes < asked.bytes
        told = servers[0]._traffic.kinds["Latest"]
        assert (told.messages, told.far_bytes) == (1, 0)
        await links.close()
        for server in servers:
            await server.stop()
