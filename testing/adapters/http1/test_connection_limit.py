"""Tests of the bound on the connections of a process."""

import asyncio
from collections.abc import AsyncIterator

import attrs
import pytest

from ridgesill.adapters.http1.connection_limit import ConnectionLimit
from ridgesill.adapters.http1.server import HttpListener
from ridgesill.ports.http import HttpRequest, Responder
from testing.app.front_world import Client
from testing.processes import free_address

# A limit of three connections.
_DESCRIPTORS = 4


@attrs.define(eq=False)
class FakeConnection:
    """A connection that records that it was closed."""

    name: str
    is_closed: bool = False

    def make_room(self) -> None:
        """Records the call."""
        self.is_closed = True


class TestChoice:
    @pytest.fixture
    def limit(self) -> ConnectionLimit:
        """A limit of three connections."""
        return ConnectionLimit(_DESCRIPTORS)

    def add(self, limit: ConnectionLimit, *names: str) -> list[FakeConnection]:
        """Adds connections in this order."""
        added = [FakeConnection(name) for name in names]
        for connection in added:
            limit.add(connection, 0.0)
        return added

    def test_the_one_that_has_waited_longest_goes_first(
        self, limit: ConnectionLimit
    ) -> None:
        added = self.add(limit, *"abcde")
        assert [c.is_closed for c in added] == [True] * 2 + [False] * 3
        assert limit.count == 3

    def test_one_that_brought_a_request_outlasts_those_that_did_not(
        self, limit: ConnectionLimit
    ) -> None:
        (served,) = self.add(limit, "served")
        limit.begin_request(served)
        limit.end_request(served)
        self.add(limit, *"abcd")
        assert not served.is_closed

    def test_a_new_one_outlasts_those_that_wait(
        self, limit: ConnectionLimit
    ) -> None:
        """Guards against idle clients that keep all new ones out."""
        added = self.add(limit, *"abc")
        for connection in added:
            limit.begin_request(connection)
            limit.end_request(connection)
        (late,) = self.add(limit, "late")
        assert not late.is_closed
        assert [c.is_closed for c in added] == [True, False, False]
        assert limit.count == 3

    def test_nothing_is_cut_where_all_have_requests_in_progress(
        self, limit: ConnectionLimit
    ) -> None:
        """Guards against a probe of the readiness that a full front closes."""
        added = self.add(limit, *"abc")
        for connection in added:
            limit.begin_request(connection)
        (late,) = self.add(limit, "late")
        assert [c.is_closed for c in added] == [False] * 3
        assert not late.is_closed

    def test_ended_connections_take_no_room(
        self, limit: ConnectionLimit
    ) -> None:
        added = self.add(limit, *"abc")
        limit.discard(added[2])
        limit.end_request(added[2])
        self.add(limit, "d")
        assert not any(c.is_closed for c in added)


class TestListener:
    @pytest.fixture
    async def listener(self) -> AsyncIterator[HttpListener]:
        """Yields a listener for three connections."""

        async def answer(_request: HttpRequest, responder: Responder) -> None:
            responder.send_head(200, ((b"content-length", b"0"),))
            responder.finish()

        started = HttpListener(
            free_address(),
            answer,
            connection_limit=ConnectionLimit(_DESCRIPTORS),
        )
        await started.start()
        yield started
        await started.stop()

    async def connect(self, listener: HttpListener) -> Client:
        host, _, port = listener._address.rpartition(":")
        return Client(*await asyncio.open_connection(host, int(port)))

    async def test_a_caller_is_served_beside_clients_that_stay_idle(
        self, listener: HttpListener
    ) -> None:
        """Guards against clients that take all descriptors of a process."""
        idle = [await self.connect(listener) for _ in range(6)]
        caller = await self.connect(listener)
        assert (await caller.ask("/x")).status == 200
        assert await asyncio.wait_for(idle[0].reader.read(), 5.0) == b""
        assert len(listener.connections) == 3

    async def test_a_request_that_makes_room_is_refused_as_not_run(
        self, listener: HttpListener
    ) -> None:
        half = await self.connect(listener)
        half.writer.write(b"POST /x HTTP/1.1\r\nHost: a\r\n")
        await asyncio.sleep(0.1)
        others = [await self.connect(listener) for _ in range(3)]
        answer = await asyncio.wait_for(half.read(), 5.0)
        assert (answer.status, answer.headers["retry-after"]) == (503, "1")
        assert len(others) == 3

    async def test_a_caller_is_served_beside_clients_that_were_answered(
        self, listener: HttpListener
    ) -> None:
        """Guards against kept connections that keep all new callers out."""
        kept = [await self.connect(listener) for _ in range(3)]
        for client in kept:
            assert (await client.ask("/x")).status == 200
        caller = await self.connect(listener)
        assert (await caller.ask("/x")).status == 200
        assert await asyncio.wait_for(kept[0].reader.read(), 5.0) == b""
