"""Tests of a front's readiness and of how it stops."""

import asyncio
import types
from collections.abc import AsyncIterator

import pytest

from ridgesill.adapters.http1.server import HttpListener
from ridgesill.app import front_process
from ridgesill.app.front_process import FrontProcess
from ridgesill.core.commands import Node
from ridgesill.core.fleet.messages import FrontRoom, Upstream
from ridgesill.core.fleet.registry import FleetView
from ridgesill.core.serving.choice import Chooser
from ridgesill.core.serving.front_load import FrontLoad, LoadSample, VmLimits
from ridgesill.core.serving.outcomes import Outcomes
from ridgesill.core.serving.routes import RouteTable
from ridgesill.platform.settings import Bounds
from ridgesill.ports.http import HttpRequest, Responder
from testing.processes import free_address


async def answer_late(_request: HttpRequest, responder: Responder) -> None:
    """Answers after 0.2 s, like a request that is forwarded."""
    await asyncio.sleep(0.2)
    responder.send_head(200, ((b"content-length", b"0"),))
    responder.finish()


class TestReadiness:
    def make_front(self, news_at: float) -> FrontProcess:
        """Returns a front that had its last news at a time."""
        front = object.__new__(FrontProcess)
        front._loop = asyncio.get_running_loop()
        front._draining = False
        view = FleetView(epoch=3, updated_at=news_at)
        front.fleet = types.SimpleNamespace(view=view)  # type: ignore[assignment]
        table = RouteTable(7)
        chooser = Chooser("a", view, Outcomes())
        front.front = types.SimpleNamespace(  # type: ignore[assignment]
            table=table, load=None, chooser=chooser
        )
        front.control = types.SimpleNamespace(  # type: ignore[assignment]
            seconds_behind=lambda: 0.0
        )
        front._settings = types.SimpleNamespace(  # type: ignore[assignment]
            data_centre="a", bounds=Bounds(configuration_seconds=2.0)
        )
        return front

    @pytest.mark.parametrize(
        ("seconds", "is_ready"), [(1.9, True), (2.1, False)]
    )
    async def test_a_front_that_others_are_long_ahead_of_is_not_ready(
        self, seconds: float, is_ready: bool
    ) -> None:
        """Guards against clients of a front that can't get a configuration."""
        now = asyncio.get_running_loop().time()
        front = self.make_front(now - 0.3)
        front.control.seconds_behind = lambda: seconds  # type: ignore[method-assign]
        assert front.is_ready() == is_ready

    async def test_a_front_that_reaches_no_upstream_is_not_ready(self) -> None:
        now = asyncio.get_running_loop().time()
        front = self.make_front(now - 0.3)
        chooser = front.front.chooser
        chooser.view.upstreams["u1"] = Upstream("u1", "plain", "u:1", "a", 4)
        assert front.is_ready()
        chooser.reachability.record_unreachable("u1")
        assert not front.is_ready()

    async def test_a_front_with_recent_news_is_ready(self) -> None:
        now = asyncio.get_running_loop().time()
        assert self.make_front(now - 0.7).is_ready()

    async def test_a_partitioned_front_is_not_ready(self) -> None:
        # When two fifths of the fronts were partitioned from the control nodes
        # for 7 s, the balancer kept sending them clients, and a tenth of their
        # requests was refused because adapters couldn't be loaded.
        now = asyncio.get_running_loop().time()
        assert not self.make_front(now - 2.0).is_ready()

    @pytest.mark.parametrize(
        ("rooms", "is_ready"),
        [
            ({}, True),
            ({"a": FrontRoom(9, 5)}, True),
            ({"b": FrontRoom(9, 9)}, True),
            ({"a": FrontRoom(9, 6)}, False),
        ],
    )
    async def test_a_full_front_is_not_ready_while_others_have_room(
        self, rooms: dict[str, FrontRoom], is_ready: bool
    ) -> None:
        now = asyncio.get_running_loop().time()
        front = self.make_front(now - 0.3)
        front.fleet.view.rooms = rooms
        load = front.front.load = FrontLoad(VmLimits(0.0, 1e6))
        for age in range(100, -1, -1):
            load.record(LoadSample(now - age / 10, memory_bytes=1e6))
        assert front.is_ready() == is_ready


class TestLimits:
    @pytest.mark.parametrize(
        ("shares", "may_refuse", "is_enabled"),
        [
            ((0.4, 0.5, 0.0), True, True),
            ((0.4, 0.49, 0.0), True, False),
            ((0.4, 0.5, 0.0), False, False),
        ],
    )
    def test_limits_apply_where_sizes_differ_by_a_quarter(
        self, shares: tuple[float, ...], *, may_refuse: bool, is_enabled: bool
    ) -> None:
        # On fronts of one size refusals would find no front with more room.
        front = object.__new__(FrontProcess)
        front._settings = types.SimpleNamespace(  # type: ignore[assignment]
            refuses_when_full=may_refuse,
            has_slow_peers=False,
            limits=VmLimits(0.4),
        )
        front.front = types.SimpleNamespace(table=RouteTable(7))  # type: ignore[assignment]
        load = FrontLoad()
        voter = Node("v", "1", "v", "a", "v.0", 9.0)
        fronts = [
            Node(str(number), "1", "", "a", "", share)
            for number, share in enumerate(shares)
        ]
        front._apply_limits(load, [*fronts, voter])
        assert load.is_enabled == is_enabled


class TestStop:
    @pytest.fixture
    async def listener(self) -> AsyncIterator[HttpListener]:
        """Yields a listener that accepts connections."""
        started = HttpListener("127.0.0.1:0", answer_late)
        await started.start()
        yield started
        await started.stop()

    def make_front(self, listener: HttpListener) -> FrontProcess:
        """Returns a front that has only what it needs to stop."""
        front = object.__new__(FrontProcess)
        bounds = types.SimpleNamespace(grace_seconds=8.0)
        front._settings = types.SimpleNamespace(bounds=bounds)  # type: ignore[assignment]
        front._loop = asyncio.get_running_loop()
        front._client_listener = listener
        front._front_listener = HttpListener(free_address(), answer_late)
        front.front = types.SimpleNamespace(  # type: ignore[assignment]
            begin_stop=lambda _refuses_from, _stops_at: None
        )
        front._stopping = asyncio.Event()
        return front

    async def test_a_client_that_connects_late_in_a_stop_is_served_or_refused(
        self, listener: HttpListener, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # 4.9 s after SIGTERM a front saw that no channel was open, and ended. A
        # client had connected before the listener was closed: its request was
        # read, run by an upstream and cut 2 ms after the upstream had answered.
        monkeypatch.setattr(front_process, "_NOTICE_SECONDS", 0.0)
        assert listener._server is not None
        host, port = listener._server.sockets[0].getsockname()
        front = self.make_front(listener)
        await front._finish_requests()
        assert front._stopping.is_set()
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(host, port)

    async def test_a_client_accepted_just_before_the_stop_is_answered(
        self, listener: HttpListener, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(front_process, "_NOTICE_SECONDS", 0.1)
        assert listener._server is not None
        host, port = listener._server.sockets[0].getsockname()
        stopping = asyncio.create_task(
            self.make_front(listener)._finish_requests()
        )
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
        assert b"200" in await asyncio.wait_for(reader.readline(), 5.0)
        writer.close()
        await asyncio.wait_for(stopping, 5.0)

    @pytest.mark.parametrize(
        "part",
        [
            b"GET /x HTTP/1.1\r\nHo",
            b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nhalf",
        ],
    )
    async def test_a_half_sent_request_is_refused_at_the_end_of_the_grace(
        self,
        listener: HttpListener,
        monkeypatch: pytest.MonkeyPatch,
        part: bytes,
    ) -> None:
        """Guards against a request that is cut with no answer."""
        monkeypatch.setattr(front_process, "_NOTICE_SECONDS", 0.1)
        monkeypatch.setattr(front_process, "_GRACE_MARGIN_SECONDS", 7.6)
        assert listener._server is not None
        host, port = listener._server.sockets[0].getsockname()
        stopping = asyncio.create_task(
            self.make_front(listener)._finish_requests()
        )
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(part)
        await asyncio.wait_for(stopping, 5.0)
        await listener.stop()
        head = await asyncio.wait_for(reader.read(), 5.0)
        assert head.startswith(b"HTTP/1.1 503 ")
        assert b"retry-after: " in head
        writer.close()
