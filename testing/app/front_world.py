"""Test fixtures: a front between loopback clients and scripted upstreams."""

import asyncio
import functools
import random
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import Any

import attrs

from ridgesill.adapters.http1.client import UpstreamChannels
from ridgesill.adapters.http1.server import HttpListener, ServerConnection
from ridgesill.adapters.peer_datagrams import PeerDatagrams
from ridgesill.app.fleet_client import FleetClient
from ridgesill.app.forwarding import serve_request
from ridgesill.app.front import Front, FrontLinks
from ridgesill.app.stream_keeping import StreamKeeping
from ridgesill.core.commands import Node
from ridgesill.core.fleet.messages import (
    ArtifactReady,
    FleetNews,
    HeardLeave,
    ReadingEnded,
    Upstream,
    UpstreamChange,
    WantArtifact,
)
from ridgesill.core.serving.choice import Chooser
from ridgesill.core.serving.outcomes import Outcomes
from ridgesill.core.serving.peer_fronts import PeerFronts
from ridgesill.core.serving.retries import RetryBounds
from ridgesill.core.serving.routes import (
    EngineSpec,
    Model,
    Route,
    RouteTable,
    Service,
    Target,
)
from ridgesill.core.serving.stream_origins import (
    SoftwareHistory,
    StreamOrigins,
)
from ridgesill.platform.requests import PlatformDialect
from ridgesill.ports.http import HttpRequest, Responder
from testing.processes import free_address

# Age from which the owner's news count as stale.
_MAX_NEWS_AGE_SECONDS = 1.0

Script = Callable[["Call"], Awaitable[None]]

ENGINE = EngineSpec(8, 1100.0, 4, 4.0, (Model("base", 1000.0, 1.0, 9, 1.0),))
ROUTES = (
    ("safe", "/safe/", "plain", 2, False),
    ("unsafe", "/unsafe/", "plain", 1, False),
    ("unsafe", "/twice/", "plain", 2, False),
    ("stream", "/stream/", "engine", 1, False),
    ("stream", "/resume/", "engine", 2, True),
)


@attrs.define
class Call:
    """A request as an upstream received it; sends the answer.

    Attributes:
        head: request line and headers.
        body: of the request.
        reader: reads from the front.
        writer: writes to the front.
        number: of earlier requests to the upstream.
        closed_at: when the front closed the channel, on the loop's clock; set
            by `wait_closed`.
    """

    head: str
    body: bytes
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    number: int
    closed_at: float = 0.0

    def header(self, name: str) -> str:
        """Returns the value of a header; empty if there is none."""
        for line in self.head.split("\r\n")[1:]:
            key, _, value = line.partition(":")
            if key.strip().lower() == name:
                return value.strip()
        return ""

    def id_line(self) -> str:
        """Returns the header line by which an answer names its request."""
        return f"Request-Id: {self.header('request-id')}"

    def proof_lines(self, status: int, headers: tuple[str, ...]) -> list[str]:
        """Returns the header lines of each answer, and those of this one.

        A success needs a stamp, unless its own headers have one.
        """
        lines = [self.id_line(), *headers]
        if status < 300 and not any(
            line.startswith("Server-Stamp:") for line in headers
        ):
            lines.append("Server-Stamp: s")
        return lines

    async def send_raw_answer(self, head: str, body: bytes = b"") -> None:
        """Sends a head, to which an id and a stamp are added, and bytes.

        Args:
            head: lines that end with CRLF each, without the blank line.
            body: sent as it is.
        """
        proof = "\r\n".join(self.proof_lines(200, ()))
        await self.send(f"{head}{proof}\r\n\r\n".encode() + body)

    async def answer(
        self, status: int, body: bytes = b"ok", *headers: str
    ) -> None:
        """Sends a complete answer, with further header lines."""
        lines = [
            f"HTTP/1.1 {status} X",
            f"Content-Length: {len(body)}",
            *self.proof_lines(status, headers),
        ]
        await self.send("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    async def send(self, data: bytes) -> None:
        """Sends bytes as they are."""
        self.writer.write(data)
        await self.writer.drain()

    async def begin_stream(self, *headers: str) -> None:
        """Sends the head of a stream."""
        lines = [
            "HTTP/1.1 200 OK",
            "Transfer-Encoding: chunked",
            "Content-Type: text/event-stream",
            *self.proof_lines(200, headers),
        ]
        await self.send("\r\n".join(lines).encode() + b"\r\n\r\n")

    async def send_event(self, number: int) -> None:
        """Sends the event with a number, as a chunk of a stream."""
        data = b"id: %d\ndata: x\n\n" % number
        await self.send(b"%x\r\n%s\r\n" % (len(data), data))

    async def begin_unframed(self, content_type: str, *headers: str) -> None:
        """Sends the head of an answer that ends with its connection."""
        lines = [
            "HTTP/1.1 200 OK",
            "Connection: close",
            f"Content-Type: {content_type}",
            *self.proof_lines(200, headers),
        ]
        await self.send("\r\n".join(lines).encode() + b"\r\n\r\n")

    async def end_stream(self) -> None:
        """Sends the last chunk, which completes a stream."""
        await self.send(b"0\r\n\r\n")

    def reset(self) -> None:
        """Resets the channel, by closing it with a linger time of zero."""
        sock = self.writer.get_extra_info("socket")
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.writer.transport.abort()

    async def wait_closed(self) -> None:
        """Waits until the front closes the channel."""
        try:
            while await self.reader.read(1024):
                pass
        except ConnectionError:
            pass
        self.closed_at = asyncio.get_running_loop().time()


class ScriptedUpstream:
    """An upstream that runs a script for each request.

    Args:
        name: of the upstream.
        script: called with each request; sends the answer.

    Attributes:
        connected: called when a connection has been accepted.
    """

    def __init__(self, name: str, script: Script) -> None:
        self.name = name
        self.script = script
        self.connected: Callable[[], None] = lambda: None
        self.calls: list[Call] = []
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> None:
        """Starts to listen, at a free port unless one is given."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connected()
        self._writers.add(writer)
        try:
            while not writer.is_closing():
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                call = Call(head, b"", reader, writer, len(self.calls))
                length = int(call.header("content-length") or 0)
                call.body = await reader.readexactly(length)
                self.calls.append(call)
                await self.script(call)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def abort_connections(self) -> None:
        """Ends all connections, also those that no request came on."""
        for writer in self._writers:
            if not writer.is_closing():
                writer.transport.abort()

    def stop(self) -> None:
        """Stops listening."""
        if self._server is not None:
            self._server.close()


class FakeOwnerClient(FleetClient):
    """Stands in for the connection to the owner; returns what a test sets."""

    def __init__(self, peers: Any) -> None:
        super().__init__(peers, lambda: "", "front")
        self.wants: list[WantArtifact] = []
        self.answer = ArtifactReady("", reason="none", after=0.7)
        # The holder that is assigned; None if the owner doesn't answer.
        self.assigned: ArtifactReady | None = None
        self.ended: list[ReadingEnded] = []
        self.leaves: list[HeardLeave] = []

    async def request_artifact(self, want: WantArtifact) -> ArtifactReady:
        """Returns the answer that the test has set."""
        self.wants.append(want)
        return self.answer

    async def request_holder(self, want: WantArtifact) -> ArtifactReady | None:
        """Returns the holder that the test has set."""
        return self.assigned

    async def report_leave(self, leave: HeardLeave) -> None:
        """Records the report."""
        self.leaves.append(leave)

    def report_reading_ended(self, ended: ReadingEnded) -> None:
        """Records the report."""
        self.ended.append(ended)


class FrontWorld:
    """A front with a listener for clients, and its upstreams."""

    def __init__(self) -> None:
        self.fleet = FakeOwnerClient(None)
        self.front_address = free_address()
        self.datagrams = PeerDatagrams()
        # Seconds since the owner's last news, as this front takes it.
        self.news_age = 0.0
        streams = StreamKeeping(
            self.front_address,
            self.fleet.view,
            self.datagrams,
            lambda: self.news_age < _MAX_NEWS_AGE_SECONDS,
        )
        self.front = Front(
            Chooser("a", self.fleet.view, Outcomes(), random.Random(1)),
            self.fleet,
            UpstreamChannels(0.5),
            PlatformDialect(),
            RetryBounds(),
            streams=streams,
        )
        self.front.table = make_table()
        streams.set_table(self.front.table)
        self.address = free_address()
        self._listener = HttpListener(
            self.address, functools.partial(serve_request, self.front)
        )
        self._front_listener = HttpListener(
            self.front_address, self._serve_front_request
        )
        self._upstreams: list[ScriptedUpstream] = []

    @property
    def connections(self) -> set[ServerConnection]:
        """The open connections of clients."""
        return self._listener.connections

    async def _serve_front_request(
        self, request: HttpRequest, responder: Responder
    ) -> None:
        request = PlatformDialect().read_front_request(request)
        await serve_request(self.front, request, responder)

    def set_table(self, table: RouteTable, index: int = 0) -> None:
        """Puts a configuration in force, as news from a voter do."""
        self.front.table = table
        self.front.applied_index = index
        self.front.streams.set_table(table)
        self.front.discovery_signal.notify()

    def link_to(self, *others: "FrontWorld") -> None:
        """Lets this front send requests on to others of its data centre."""
        self.link_to_address(*(other.front_address for other in others))
        self.front.streams.set_nodes(
            Node(world.front_address, "1", world.front_address, "a")
            for world in (self, *others)
        )

    def link_to_address(self, *addresses: str) -> None:
        """Lets this front send requests on to fronts at some addresses."""
        fronts = PeerFronts("own", "a", {}, random.Random(1))
        fronts.set_nodes(
            Node(f"f{number}", "1", address, "a")
            for number, address in enumerate(addresses)
        )
        self.front.links = FrontLinks(
            fronts, UpstreamChannels(0.4, requires_ids=False), PlatformDialect()
        )

    def share_upstreams(self, other: "FrontWorld", address: str = "") -> None:
        """Gives this front the view of another one.

        Args:
            other: has the upstreams.
            address: where this front finds them all; empty for their own.
        """
        changes = tuple(
            UpstreamChange(
                u.name, attrs.evolve(u, address=address or u.address)
            )
            for u in other.fleet.view.upstreams.values()
        )
        self._apply(*changes, whole=True)

    def restart_streams(self) -> None:
        """Forgets all streams and versions, as a front that was killed does."""
        streams = self.front.streams
        now = asyncio.get_running_loop().time()
        streams._history = SoftwareHistory(now)
        streams._history.update(self.fleet.view.upstreams.values(), now)
        streams._origins = StreamOrigins()

    async def start(self) -> None:
        """Starts to listen for clients and other fronts."""
        await self._listener.start()
        await self._front_listener.start()
        await self.datagrams.start(self.front_address)
        self._tasks = [
            asyncio.create_task(self.front.reachability_tests.run()),
            asyncio.create_task(self.front.streams.run()),
        ]

    async def stop(self) -> None:
        """Stops the upstreams and the front."""
        for task in self._tasks:
            task.cancel()
        self.datagrams.close()
        for upstream in self._upstreams:
            upstream.stop()
        self.front.channels.close()
        if self.front.links is not None:
            self.front.links.channels.close()
        await self._listener.stop()
        await self._front_listener.stop()

    async def add(
        self,
        name: str,
        script: Script,
        service: str = "plain",
        *,
        software: str = "",
        **held: int,
    ) -> ScriptedUpstream:
        """Starts an upstream and adds it to the front's view of the fleet.

        Args:
            name: of the upstream.
            script: called with each request.
            service: of the upstream.
            software: version of its software.
            **held: versions of the artifacts it holds, by name, with `__` for
                a slash.
        """
        upstream = ScriptedUpstream(name, script)
        await upstream.start()
        self._upstreams.append(upstream)
        record = Upstream(
            name,
            service,
            upstream.address,
            "a",
            4,
            resident={key.replace("__", "/"): v for key, v in held.items()},
            software=software,
        )
        view = self.fleet.view
        known = [UpstreamChange(u.name, u) for u in view.upstreams.values()]
        self._apply(*known, UpstreamChange(name, record), whole=True)
        self.front.limits.apply_news(view)
        return upstream

    def find_upstream(self, name: str) -> ScriptedUpstream:
        """Returns one of the upstreams that were added here."""
        return next(u for u in self._upstreams if u.name == name)

    def remove(self, name: str) -> None:
        """Removes an upstream from this front's view."""
        self._apply(UpstreamChange(name, gone=True))

    def change(self, name: str, **fields: Any) -> None:
        """Changes fields of an upstream in this front's view."""
        known = self.fleet.view.upstreams[name]
        self._apply(UpstreamChange(name, attrs.evolve(known, **fields)))

    def _apply(self, *changes: UpstreamChange, whole: bool = False) -> None:
        view = self.fleet.view
        news = FleetNews(1, view.number + 1, whole, changes)
        view.apply_news(news, 0.0, float("inf"))
        self.front.streams.handle_news()

    async def take_up(
        self, request: str, last_event: str, **headers: str
    ) -> "Answer":
        """Takes up a stream that an earlier request began."""
        client = await self.open()
        return await client.ask(
            "/resume/x",
            b"b",
            request_id="take",
            resumes=request,
            last_event_id=last_event,
            model="base/a1",
            token_counts="10,70",
            **headers,
        )

    async def open(self) -> "Client":
        """Connects a client to the front."""
        host, _, port = self.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        return Client(reader, writer)


def make_table(
    timeout: float = 3.0,
    goal: float = 0.5,
    version: int = 1,
    without: str = "",
) -> RouteTable:
    """Returns a table with a route of each kind.

    Args:
        timeout: of each route, in seconds.
        goal: seconds within which an answer is in time.
        version: of the configuration.
        without: prefix of a route that isn't there; empty for none.
    """
    routes = [
        Route(
            prefix.strip("/"),
            "a.example",
            prefix,
            kind,
            timeout,
            goal,
            0,
            (Target(service),),
            attempts=attempts,
            resumable=resumable,
        )
        for kind, prefix, service, attempts, resumable in ROUTES
        if prefix != without
    ]
    services = [
        Service("plain", "/health", 10),
        Service("engine", "/health", 10, ENGINE),
    ]
    return RouteTable(version, routes, services)


@attrs.define
class Answer:
    """An answer as the client received it.

    Attributes:
        status: HTTP status.
        headers: by name in lower case.
        body: as far as it arrived.
        complete: whether the whole body arrived, as framed by the head. An
            unframed body is complete unless the connection was reset.
        framed: whether the head says how the end of the body is marked.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool
    framed: bool = True


@attrs.define
class Client:
    """A client with a connection to the front."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def send(self, path: str, body: bytes = b"", **headers: str) -> None:
        """Sends a request; headers are keyword arguments with underscores."""
        given = {
            "host": "a.example",
            "request-id": "r1",
            "request-deadline": "2000",
            **{k.replace("_", "-"): v for k, v in headers.items()},
        }
        if body:
            given["content-length"] = str(len(body))
        method = "POST" if body else "GET"
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{key}: {value}" for key, value in given.items()]
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await self.writer.drain()

    async def read(self) -> Answer:
        """Reads and returns an answer."""
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = head.rstrip().split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in lines[1:])
        status = int(lines[0].split()[1])
        if "content-length" in headers:
            body = await self.reader.readexactly(int(headers["content-length"]))
            return Answer(status, headers, body, True)
        if "transfer-encoding" in headers:
            body, complete = await self._read_chunks()
            return Answer(status, headers, body, complete)
        body, complete = await self._read_until_closed()
        return Answer(status, headers, body, complete, framed=False)

    async def _read_until_closed(self) -> tuple[bytes, bool]:
        body = bytearray()
        try:
            while data := await self.reader.read(65536):
                body += data
        except ConnectionError:
            return bytes(body), False
        return bytes(body), True

    async def _read_chunks(self) -> tuple[bytes, bool]:
        body = bytearray()
        try:
            while True:
                size = int(await self.reader.readuntil(b"\r\n"), 16)
                data = await self.reader.readexactly(size + 2)
                if not size:
                    return bytes(body), True
                body += data[:-2]
        except (asyncio.IncompleteReadError, ConnectionError):
            return bytes(body), False

    async def ask(self, path: str, body: bytes = b"", **headers: str) -> Answer:
        """Sends a request and returns its answer."""
        await self.send(path, body, **headers)
        return await self.read()

    def close(self) -> None:
        """Closes the connection."""
        self.writer.close()
