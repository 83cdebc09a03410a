"""Streams that end with their connection, when a process ends before them."""

import asyncio
import signal
from collections.abc import AsyncIterator
from pathlib import Path

import attrs
import pytest

from testing.platform_world import (
    ROUTE_HOST,
    PlainUpstream,
    PlatformDeployment,
    make_proof_lines,
)
from testing.readers_world import make_document

pytestmark = pytest.mark.process

_CLIENTS = 4
_EVENTS = 20
_EVENT_SECONDS = 0.1
_EVENT = b"data: x\n\n"
_TIMEOUT_SECONDS = 10.0


class UnframedUpstream(PlainUpstream):
    """Streams events without a length or chunks.

    Attributes:
        events: number of events of each stream.
    """

    events = _EVENTS

    def __init__(self, controls: list[str]) -> None:
        super().__init__(controls)
        self._writers: set[asyncio.StreamWriter] = set()
        # Streams that have to be asked for before any begins; None if each
        # begins at once, without the word that the upstream leaves.
        self._departure: asyncio.Barrier | None = None

    def leave_after(self, streams: int) -> None:
        """Announces in the next streams that it leaves.

        Fronts send an upstream that leaves no more requests, so the heads are
        held back until all of the streams have been asked for.

        Args:
            streams: number of these streams.
        """
        self._departure = asyncio.Barrier(streams)

    def end(self) -> None:
        """Ends as its process does: the listener closes, then each stream."""
        self.stop()
        for writer in self._writers:
            writer.close()

    async def _make_head(self) -> bytes:
        """Returns the first lines of a stream, once they may be sent."""
        head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        if self._departure is not None:
            await self._departure.wait()
            head += b"Server-Leaving: 1\r\n"
        return head

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await super()._serve(reader, writer)
        finally:
            self._writers.discard(writer)

    async def _answer(
        self,
        head: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        writer.write(await self._make_head() + make_proof_lines(head) + b"\r\n")
        for _ in range(self.events):
            writer.write(_EVENT)
            await writer.drain()
            await asyncio.sleep(_EVENT_SECONDS)
        writer.close()


@attrs.define
class Stream:
    """A stream as its client got it.

    Attributes:
        body: the events.
        was_reset: whether its connection was reset, not closed in order.
    """

    body: bytes = b""
    was_reset: bool = False

    @property
    def is_whole(self) -> bool:
        """Whether all events came, and an end."""
        return not self.was_reset and self.body == _EVENT * _EVENTS


class StreamsWorld:
    """Two fronts, a control node and an upstream of unframed streams.

    The first front reaches the upstream through the second one only.
    """

    def __init__(self, folder: Path) -> None:
        self.deployment = PlatformDeployment(folder, 1, 2)
        self.linked, self.direct = self.deployment.fronts
        # Nothing listens at this host.
        host = self.linked.ip.rpartition(".")[0] + ".99"
        self.linked.environment["RIDGESILL_UPSTREAM_HOST"] = host
        self.upstream = UnframedUpstream(
            [self.deployment.control_address(self.deployment.controls[0])]
        )
        self.deployment.upstream = self.upstream
        self._begun = asyncio.Semaphore(0)

    async def start(self) -> None:
        """Starts all processes and waits until both fronts serve."""
        await self.deployment.start()
        await self.deployment.put_configuration(make_document())
        for name in ("linked", "direct"):
            await self.deployment.poll(lambda name=name: self._probe(name))

    async def _probe(self, name: str) -> Stream | None:
        stream = await self.read(name)
        self._begun = asyncio.Semaphore(0)
        return stream if stream.is_whole else None

    async def read(self, name: str) -> Stream:
        """Reads a stream from the front `linked` or `direct`."""
        stream = Stream()
        front = getattr(self, name)
        address = self.deployment.client_address(front)
        host, _, port = address.rpartition(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                f"GET /fast/1 HTTP/1.1\r\nHost: {ROUTE_HOST}\r\n"
                "Request-Id: r1\r\nRequest-Deadline: 9000\r\n\r\n".encode()
            )
            await reader.readuntil(b"\r\n\r\n")
            self._begun.release()
            while data := await reader.read(4096):
                stream.body += data
            writer.close()
        except (ConnectionError, asyncio.IncompleteReadError):
            stream.was_reset = True
        return stream

    async def begin(self, *names: str) -> list[asyncio.Task[Stream]]:
        """Has several clients read; returns once all streams have begun.

        Args:
            names: of the fronts; each gets as many clients.
        """
        tasks = [
            asyncio.create_task(self.read(name))
            for name in names
            for _ in range(_CLIENTS)
        ]
        async with asyncio.timeout(_TIMEOUT_SECONDS):
            for _ in tasks:
                await self._begun.acquire()
        await asyncio.sleep(3 * _EVENT_SECONDS)
        return tasks


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[StreamsWorld]:
    """Yields a deployment that serves."""
    made = StreamsWorld(tmp_path)
    try:
        await made.start()
        yield made
    finally:
        made.deployment.stop()


class TestKilledFront:
    async def test_its_streams_do_not_look_complete(
        self, world: StreamsWorld
    ) -> None:
        tasks = await world.begin("direct")
        world.direct.kill()
        streams = await asyncio.gather(*tasks)
        assert all(stream.body for stream in streams)
        assert [s.was_reset for s in streams] == [True] * _CLIENTS

    async def test_streams_through_it_do_not_look_complete(
        self, world: StreamsWorld
    ) -> None:
        tasks = await world.begin("linked")
        world.direct.kill()
        streams = await asyncio.gather(*tasks)
        assert all(stream.body for stream in streams)
        assert [s.was_reset for s in streams] == [True] * _CLIENTS


class TestStoppedFront:
    @pytest.mark.parametrize("name", ["direct", "linked"])
    async def test_streams_in_progress_are_whole(
        self, world: StreamsWorld, name: str
    ) -> None:
        """Guards against resets of streams that have all their events."""
        tasks = await world.begin(name)
        world.direct.signal(signal.SIGTERM)
        streams = await asyncio.gather(*tasks)
        assert [stream.is_whole for stream in streams] == [True] * _CLIENTS

    async def test_streams_that_outlast_the_grace_do_not_look_complete(
        self, world: StreamsWorld
    ) -> None:
        world.upstream.events = 10 * _EVENTS
        tasks = await world.begin("direct")
        world.direct.signal(signal.SIGTERM)
        streams = await asyncio.gather(*tasks)
        assert all(stream.body for stream in streams)
        assert [s.was_reset for s in streams] == [True] * _CLIENTS


class TestLeavingUpstream:
    async def test_its_streams_do_not_look_complete(
        self, world: StreamsWorld
    ) -> None:
        """Guards against the word of a departure taken for whole answers."""
        count = 2 * _CLIENTS
        world.upstream.leave_after(count)
        tasks = await world.begin("direct", "linked")
        world.upstream.end()
        streams = await asyncio.gather(*tasks)
        assert all(stream.body for stream in streams)
        assert [s.was_reset for s in streams] == [True] * count
