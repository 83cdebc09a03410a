"""Tests of how a front ends its work."""

import asyncio
import types
from collections.abc import AsyncIterator

import pytest

from ridgesill.adapters.http1.server import HttpListener
from ridgesill.app import front_process
from ridgesill.app.front_process import FrontProcess
from ridgesill.core.fleet.registry import FleetView
from ridgesill.core.serving.routes import RouteTable
from ridgesill.ports.http import HttpRequest, Responder


async def answer_late(_request: HttpRequest, responder: Responder) -> None:
    """Answers after a while, as an upstream's answer that is passed on."""
    await asyncio.sleep(0.2)
    responder.send_head(200, ((b"content-length", b"0"),))
    responder.finish()


class TestReadiness:
    def make_front(self, known_at: float) -> FrontProcess:
        """Returns a front that last had news at a moment."""
        made = object.__new__(FrontProcess)
        made._loop = asyncio.get_running_loop()
        made._draining = False
        view = FleetView(epoch=3, updated_at=known_at)
        made.fleet = types.SimpleNamespace(view=view)  # type: ignore[assignment]
        table = RouteTable(7)
        made.front = types.SimpleNamespace(table=table)  # type: ignore[assignment]
        return made

    async def test_one_with_news_is_ready(self) -> None:
        now = asyncio.get_running_loop().time()
        assert self.make_front(now - 0.7).is_ready()

    async def test_one_that_is_cut_off_sends_clients_to_others(self) -> None:
        # Load pattern: two fifths of the fronts are cut off from the control
        # nodes for 7 s. Clients kept coming, and each tenth request there was
        # refused since its adapter couldn't be loaded.
        now = asyncio.get_running_loop().time()
        assert not self.make_front(now - 2.0).is_ready()


class TestStop:
    @pytest.fixture
    async def listener(self) -> AsyncIterator[HttpListener]:
        """Returns a listener that accepts."""
        made = HttpListener("127.0.0.1:0", answer_late)
        await made.start()
        yield made
        await made.stop()

    def make_front(self, listener: HttpListener) -> FrontProcess:
        """Returns a front of which only its end is there."""
        made = object.__new__(FrontProcess)
        bounds = types.SimpleNamespace(grace_seconds=8.0)
        made._settings = types.SimpleNamespace(bounds=bounds)  # type: ignore[assignment]
        made._loop = asyncio.get_running_loop()
        made._callers = listener
        made.front = types.SimpleNamespace()  # type: ignore[assignment]
        made._stopping = asyncio.Event()
        return made

    async def test_a_client_that_comes_as_it_stops_is_served_or_not_accepted(
        self, listener: HttpListener, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # 4.9 s after SIGTERM a front saw that no channel was open, and ended.
        # Before its listener was closed a client came, whose request was read,
        # run by its upstream and cut 2 ms after the upstream had answered it:
        #
        #     13.871  sent to the front
        #     13.877  the upstream's run ends: 200
        #     13.879  the connection is closed with no answer
        monkeypatch.setattr(front_process, "_NOTICE_SECONDS", 0.0)
        assert listener._server is not None
        host, port = listener._server.sockets[0].getsockname()
        front = self.make_front(listener)
        await front._finish_work()
        assert front._stopping.is_set()
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(host, port)

    async def test_what_was_accepted_just_before_gets_its_answer(
        self, listener: HttpListener, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(front_process, "_NOTICE_SECONDS", 0.1)
        assert listener._server is not None
        host, port = listener._server.sockets[0].getsockname()
        ending = asyncio.create_task(self.make_front(listener)._finish_work())
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
        assert b"200" in await asyncio.wait_for(reader.readline(), 5.0)
        writer.close()
        await asyncio.wait_for(ending, 5.0)
