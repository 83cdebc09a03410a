"""An HTTP/1.1 server on the event loop; each request runs as a task.

The client's socket is read while its request is served. When the client
disconnects, the task that serves its request is cancelled, which also cancels
the request to the upstream.
"""

import asyncio
import fcntl
import struct
import termios
from collections.abc import Awaitable, Callable
from typing import Any

import h11
from eliot import log_message, write_traceback

from ridgesill.adapters.http1.connection_limit import ConnectionLimit
from ridgesill.adapters.http1.connection_memory import ConnectionMemory
from ridgesill.adapters.http1.parse_queue import (
    MAX_EVENTS_AT_ONCE,
    ParseQueue,
)
from ridgesill.adapters.http1.receive_buffer import make_receive_buffer
from ridgesill.adapters.http1.slow_readers import SlowReaders
from ridgesill.adapters.socket_closing import set_reset_on_close
from ridgesill.core.addresses import split_address
from ridgesill.core.serving.routes import ClientLimits
from ridgesill.ports.http import (
    Headers,
    HttpRequest,
    Responder,
    find_header,
)

Handler = Callable[[HttpRequest, Responder], Awaitable[None]]

# Response bytes buffered for a slow client before the handler has to wait.
_WRITE_BUFFER_BYTES = 256 * 1024
_BACKLOG_CONNECTIONS = 1024
# Connections accepted in one turn of the event loop. Those of a few turns come
# on top of the limit on connections.
_MAX_ACCEPTED_AT_ONCE = 16
# Interval at which connections are checked for timeouts.
_TIMEOUT_CHECK_SECONDS = 0.5
# A body is kept in blocks of this size, and up to one more read.
_BLOCK_BYTES = 16 * 1024
# A header is held as a tuple and up to three byte strings, which take far more
# memory than its text.
_HEADER_OBJECT_BYTES = 200
# Bytes that a connection keeps of what its client sends before the current
# response is complete. A client that sends more waits.
_MAX_AHEAD_BYTES = 16 * 1024
# A longer head waits for its turn to be parsed: one of 2300 headers takes 7 ms.
_LONG_HEAD_BYTES = 4 * 1024
_HEAD_END = b"\r\n\r\n"
# Bytes that are read and dropped after a refusal, so that its client can read
# it. Closing with unread bytes would reset the connection.
_MAX_DROPPED_BYTES = 256 * 1024
# When a client may come back whose request was refused before its end arrived,
# in seconds.
_UNREAD_RETRY_SECONDS = 1
_NO_MEMORY = "no memory is left for it"
# Newest version of HTTP whose clients know no chunks.
_UNCHUNKED_VERSION = b"1.0"
# How long a client may take to close a connection whose end completed a
# response.
_HALF_CLOSED_SECONDS = 1.0


class _BodyTooLargeError(Exception):
    """A request body is larger than the limit."""


class _NoMemoryError(Exception):
    """A request takes more memory than is left for all connections."""


class ServerConnection(asyncio.BufferedProtocol):
    """A connection from a client.

    Args:
        listener: the listener that accepted the connection.

    Attributes:
        name: address of the client.
        customer: the customer of the latest request; empty if unknown.
        written: bytes written to the connection so far.
    """

    def __init__(self, listener: "HttpListener") -> None:
        self._listener = listener
        self._loop = asyncio.get_running_loop()
        self._http = _make_parser(listener.limits)
        self._transport: asyncio.Transport | None = None
        self.name = ""
        self.customer = ""
        self.written = 0
        self._head: h11.Request | None = None
        self._head_received_at = 0.0
        # Memory that the current head takes, about.
        self._head_bytes = 0
        # Blocks of one size: a buffer that grows would leave holes in the heap.
        self._body: list[bytearray] = []
        self._body_bytes = 0
        # Bytes that the client sent before the current response was complete.
        self._ahead = bytearray()
        # Bytes that the parser holds, at most.
        self._unparsed_bytes = 0
        self._dropped_bytes = 0
        # Whether received bytes wait for their turn to be parsed.
        self._is_queued = False
        # Whether the next request waits until the client has taken the last
        # response.
        self._awaits_flush = False
        self._task: asyncio.Task[None] | None = None
        self._writable: asyncio.Future[None] | None = None
        # When the current request or the current idle time began.
        self._period_started_at = self._loop.time()
        self._receiving = False
        self._is_closed = False
        # Whether the end of the connection completes the current response.
        self._ends_response = False
        # Whether the current response is complete, so that the connection waits
        # only until its client has all of it and closes.
        self._is_half_closed = False
        # Whether the client has been refused and its connection is to end.
        self._is_refused = False

    # -- asyncio.Protocol callbacks ------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport and registers with the listener."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=_WRITE_BUFFER_BYTES)
        peer = transport.get_extra_info("peername")
        self.name = f"{peer[0]}:{peer[1]}" if peer else ""
        self._listener.connections.add(self)
        self._listener.connection_limit.add(self, self._loop.time())

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the request in progress: its client has disconnected."""
        self._is_closed = True
        self._listener.connections.discard(self)
        self._listener.connection_limit.discard(self)
        self._listener.memory.discard(self)
        # The task that serves the request may not have begun.
        self._listener.memory.end_request(self)
        self._wake_writer()
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool:
        """Closes the connection: half-closed clients count as disconnected."""
        return False

    def pause_writing(self) -> None:
        """Makes `drain` wait: the write buffer is full."""
        self._writable = self._loop.create_future()

    def resume_writing(self) -> None:
        """Lets `drain` return: the write buffer has room again."""
        self._wake_writer()
        if self._is_half_closed:
            self._send_end()
        elif self._awaits_flush:
            self._end_flush()

    def _wake_writer(self) -> None:
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer into which the next bytes are received."""
        return self._listener.receive_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parses bytes of a request, or keeps those sent ahead."""
        if self._is_half_closed:
            self._drop(nbytes)
            return
        data = self._listener.receive_buffer[:nbytes]
        if self._is_busy:
            self._ahead += data
            if len(self._ahead) > _MAX_AHEAD_BYTES:
                self._pause_reading()
            self._count_held()
            return
        if not self._receiving:
            self._period_started_at = self._loop.time()
            self._receiving = True
        self._process(bytes(data))

    @property
    def _is_busy(self) -> bool:
        """Whether received bytes can't be parsed yet."""
        return self._task is not None or self._is_queued or self._awaits_flush

    def _drop(self, count: int) -> None:
        """Counts bytes that arrived after a refusal."""
        self._dropped_bytes += count
        if self._dropped_bytes > _MAX_DROPPED_BYTES:
            self._pause_reading()

    def _pause_reading(self) -> None:
        if self._transport is not None:
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        if self._transport is not None:
            self._transport.resume_reading()

    def _process(self, data: bytes = b"", *, has_turn: bool = False) -> None:
        """Parses received bytes; rejects malformed or oversized requests.

        Args:
            data: bytes that were received just now.
            has_turn: whether this connection has waited for its turn.
        """
        try:
            if data:
                self._feed(data)
            self._process_events(has_turn=has_turn)
            self._count_held()
        except h11.RemoteProtocolError as error:
            self._reject(error.error_status_hint, str(error))
        except _BodyTooLargeError:
            self._reject(413, "the body is over the limit")
        except _NoMemoryError:
            self._refuse_unread(_NO_MEMORY)

    def _process_events(self, *, has_turn: bool) -> None:
        for _ in range(MAX_EVENTS_AT_ONCE):
            if self._task is not None or self._is_closed:
                return
            if self._holds_long_head and not has_turn:
                break
            event = self._http.next_event()
            if event is h11.NEED_DATA and self._ahead:
                self._parse_ahead()
                continue
            if event is h11.NEED_DATA:
                self._receive_more()
                return
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                return
            self._process_event(event)
        if self._task is None:
            self._is_queued = True
            self._pause_reading()
            self._listener.parse_queue.add(self)

    @property
    def _holds_long_head(self) -> bool:
        """Whether a head that isn't parsed yet is long, as far as received."""
        if self._head is not None or self._unparsed_bytes <= _LONG_HEAD_BYTES:
            return False
        unparsed = self._http.trailing_data[0]
        return _HEAD_END not in unparsed[:_LONG_HEAD_BYTES]

    def parse_more(self) -> None:
        """Goes on with received bytes, of which there were many to parse."""
        self._is_queued = False
        if not self._is_closed and not self._is_half_closed:
            self._process(has_turn=True)

    def _feed(self, data: bytes) -> None:
        self._unparsed_bytes += len(data)
        self._http.receive_data(data)

    def _parse_ahead(self) -> None:
        """Hands the bytes that were sent ahead to the parser."""
        ahead = bytes(self._ahead)
        self._ahead.clear()
        self._unparsed_bytes = 0
        self._feed(ahead)

    def _receive_more(self) -> None:
        """Receives more bytes, since the parser has none left to parse."""
        if self._head is not None:
            self._unparsed_bytes = 0
        self._resume_reading()
        self._send_continue()

    # -- memory --------------------------------------------------------

    def _count_held(self) -> None:
        """Counts what is held of requests, and of responses if nobody does."""
        held = self._head_bytes + self._body_bytes
        held += len(self._ahead) + self._unparsed_bytes
        if self._listener.slow_readers is None:
            held += self._count_buffered()
        self._listener.memory.record(self, held)

    def shed(self) -> None:
        """Refuses the request that is received, or ends the connection."""
        if self._task is not None or self._awaits_flush or self._is_half_closed:
            self.abort()
            return
        self._refuse_unread(_NO_MEMORY)

    def make_room(self) -> None:
        """Ends the connection; refuses a request that is being received."""
        if self._awaits_flush or self._is_half_closed:
            self.abort()
            return
        if self._receiving:
            self._refuse_unread("too many connections are open")
        self._close()

    def _refuse_unread(self, detail: str) -> None:
        """Refuses the request that is received; another front may serve it."""
        retry_after = ("retry-after", str(_UNREAD_RETRY_SECONDS))
        self._reject(503, detail, retry_after)

    def _send_continue(self) -> None:
        if self._http.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            self._write(self._http.send(interim))

    def _process_event(self, event: Any) -> None:
        if isinstance(event, h11.Request):
            self._head = event
            self._head_bytes = _measure_head(event)
            self._head_received_at = self._loop.time()
            length = find_header(tuple(event.headers), b"content-length")
            self._check_body(int(length or 0))
        elif isinstance(event, h11.Data):
            self._body_bytes += len(event.data)
            self._check_body(self._body_bytes)
            if not self._body or len(self._body[-1]) >= _BLOCK_BYTES:
                self._body.append(bytearray())
            self._body[-1] += event.data
        elif isinstance(event, h11.EndOfMessage):
            self._start_request()

    def _discard_request(self) -> None:
        self._head = None
        self._head_bytes = 0
        self._body.clear()
        self._body_bytes = 0

    def _check_body(self, length: int) -> None:
        if length > self._listener.limits.body_bytes:
            raise _BodyTooLargeError

    # -- serving -------------------------------------------------------

    def _start_request(self) -> None:
        head = self._head
        assert head is not None
        held = self._head_bytes + self._body_bytes
        self._begin_in_memory(held)
        self._receiving = False
        request = HttpRequest(
            head.method,
            head.target,
            tuple(head.headers),
            b"".join(self._body),
            self._head_received_at,
            self.name,
        )
        self._discard_request()
        # What the parser still holds was sent ahead.
        self._unparsed_bytes = len(self._http.trailing_data[0])
        self._listener.connection_limit.begin_request(self)
        self._task = self._loop.create_task(self._serve(request))
        if len(self._ahead) + self._unparsed_bytes <= _MAX_AHEAD_BYTES:
            # It may have waited for its turn. Without receiving, the end of the
            # connection would go unnoticed.
            self._resume_reading()

    def _begin_in_memory(self, held: int) -> None:
        """Counts the request that begins.

        Args:
            held: bytes that its head and body take.

        Raises:
            _NoMemoryError: it takes more memory than is left.
        """
        memory = self._listener.memory
        # It has been counted as one that is received.
        memory.discard(self)
        if not memory.admits(held):
            raise _NoMemoryError
        memory.begin_request(self, held)

    async def _serve(self, request: HttpRequest) -> None:
        responder = _ConnectionResponder(self, request)
        try:
            await self._listener.handler(request, responder)
        except asyncio.CancelledError:
            if not self._is_closed:
                self._close()
            raise
        except Exception:  # noqa: BLE001 - an error must not end the process
            write_traceback()
            self._send_failure(responder)
        finally:
            self._listener.memory.end_request(self)
            self._task = None
            self._period_started_at = self._loop.time()
            self._listener.connection_limit.end_request(self)
        if not self._is_closed:
            self._begin_flush()

    def _begin_flush(self) -> None:
        """Goes on once the client has taken the response.

        Otherwise the responses to requests that are sent ahead would pile up.
        """
        transport = self._transport
        if transport is None or not self._count_buffered():
            self._start_next_cycle()
            return
        self._awaits_flush = True
        # `resume_writing` is called once the buffer is empty.
        transport.set_write_buffer_limits(high=0)

    def _end_flush(self) -> None:
        self._awaits_flush = False
        if self._transport is None or self._transport.is_closing():
            return
        self._transport.set_write_buffer_limits(high=_WRITE_BUFFER_BYTES)
        self._period_started_at = self._loop.time()
        self._start_next_cycle()

    def _send_failure(self, responder: Responder) -> None:
        if self._is_closed:
            return
        if responder.started:
            responder.abort()
            return
        responder.send_head(502, ((b"content-length", b"0"),))
        responder.finish()

    def _start_next_cycle(self) -> None:
        http = self._http
        reusable = http.our_state is h11.DONE and http.their_state is h11.DONE
        if self._ends_response and http.our_state is h11.MUST_CLOSE:
            self._half_close()
            return
        if not reusable or self._must_close():
            self._close()
            return
        http.start_next_cycle()
        if self._has_more:
            self._receiving = True
        self._process()

    @property
    def _has_more(self) -> bool:
        """Whether more has been received than the current request."""
        return bool(self._ahead or self._http.trailing_data[0])

    def _must_close(self) -> bool:
        """Whether to close a connection after its response while draining.

        The response may have started before draining, without asking the
        client to close, and the client would send more requests until the
        process exits. A request that has already arrived is still served:
        closing with unread data would reset the connection and could truncate
        the last response.
        """
        return self.draining and not self._has_more

    def _reject(
        self, status: int, detail: str, *headers: tuple[str, str]
    ) -> None:
        """Refuses what is received, and reads no more than lets that arrive."""
        log_message(
            "channel:rejected", peer=self.name, status=status, detail=detail
        )
        self._is_refused = True
        self._period_started_at = self._loop.time()
        self._discard_request()
        self._ahead.clear()
        self._listener.memory.discard(self)
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self._close()
            return
        head = h11.Response(
            status_code=status,
            headers=[
                ("content-length", "0"),
                ("connection", "close"),
                *headers,
            ],
        )
        self._write(self._http.send(head))
        self._http = _make_parser(self._listener.limits)
        self._unparsed_bytes = 0
        self._resume_reading()
        self._half_close()

    # -- used by the responder -----------------------------------------

    @property
    def draining(self) -> bool:
        """Whether responses should ask the client to close the connection."""
        listener = self._listener
        return (
            listener.draining
            or listener.is_crowded
            or listener.sends_clients_away()
        )

    def send_head(self, head: h11.Response, *, is_framed: bool) -> None:
        """Writes the head of a response.

        Args:
            head: the head.
            is_framed: whether a length or chunks mark the end of the body.
        """
        if not is_framed:
            # h11 adds chunks for each client that speaks HTTP/1.1. For an older
            # one it leaves the body unframed and closes the connection.
            self._http.their_http_version = _UNCHUNKED_VERSION
        self._ends_response = not _has_length(head) and (
            (self._http.their_http_version or b"") <= _UNCHUNKED_VERSION
        )
        if self._ends_response and self._transport is not None:
            # Should this process end, its kernel closes the connection. Without
            # a reset, that would complete the response.
            _set_reset_on_close(self._transport, True)
        self.send(head)

    def send(self, event: h11.Event) -> None:
        """Writes a part of the response, unless the client disconnected."""
        if not self._is_closed:
            self._write(self._http.send(event))

    async def drain(self) -> None:
        """Waits until the write buffer has room.

        Returns at once where slow readers are bounded in total instead: their
        answers must be read on, or engines abort them.
        """
        if self._writable is None:
            return
        if self._listener.slow_readers is not None:
            self._listener.slow_readers.record(self)
            return
        await self._writable

    def measure_unsent(self) -> int:
        """Returns the bytes that the client hasn't acknowledged."""
        transport = self._transport
        if transport is None:
            return 0
        buffered = transport.get_write_buffer_size()
        if transport.is_closing() and not buffered:
            return 0
        return buffered + _count_kernel_bytes(transport)

    def abort(self) -> None:
        """Closes the connection at once and drops unsent response bytes."""
        if self._transport is not None:
            self._transport.abort()

    def _count_buffered(self) -> int:
        """Returns the response bytes that the kernel hasn't taken."""
        transport = self._transport
        return transport.get_write_buffer_size() if transport else 0

    def _write(self, data: bytes | None) -> None:
        if data and self._transport is not None:
            self.written += len(data)
            self._transport.write(data)
            if self._count_buffered():
                self._count_held()

    def _half_close(self) -> None:
        """Ends the response, and discards requests that cross its end.

        Closing with unread requests would reset the connection, which makes a
        response that the connection ends look broken off.
        """
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        self._is_half_closed = True
        # `resume_writing` is called once the buffer is empty.
        transport.set_write_buffer_limits(high=0)
        if not transport.get_write_buffer_size():
            self._send_end()

    def _send_end(self) -> None:
        """Ends a response of which the kernel has every byte."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        self._period_started_at = self._loop.time()
        _set_reset_on_close(transport, False)
        transport.write_eof()

    def _close(self) -> None:
        if self._transport is not None:
            self._transport.close()

    # -- timeouts ------------------------------------------------------

    def check_timeouts(self, now: float) -> None:
        """Closes the connection if its client is idle or too slow.

        Args:
            now: event loop time in seconds.
        """
        if self._is_busy:
            # The client isn't late while its bytes wait for their turn.
            return
        limits = self._listener.limits
        elapsed_seconds = now - self._period_started_at
        if self._is_refused and elapsed_seconds > limits.idle_seconds:
            self.abort()
            return
        if self._is_half_closed:
            is_sent = not self._count_buffered()
            if is_sent and elapsed_seconds > _HALF_CLOSED_SECONDS:
                self._close()
            return
        if self._receiving and self._head is None:
            if elapsed_seconds > limits.header_seconds:
                self._reject(408, "the head did not arrive in time")
        elif elapsed_seconds > limits.idle_seconds:
            self._close()

    def refuse_if_unfinished(self) -> None:
        """Refuses a request of which the end hasn't arrived: it can't run."""
        if self._receiving and not self._is_half_closed:
            self._refuse_unread("the process stops")

    def close_if_idle(self) -> None:
        """Closes the connection unless a request is in progress."""
        if (
            not self._is_busy
            and not self._receiving
            and not self._is_half_closed
        ):
            self._close()


class _ConnectionResponder:
    """Implements `ports.http.Responder` for one request."""

    def __init__(
        self, connection: ServerConnection, request: HttpRequest
    ) -> None:
        self._connection = connection
        self._request = request
        self.started = False

    def send_head(
        self,
        status: int,
        headers: Headers,
        reason: bytes = b"",
        *,
        is_framed: bool = True,
    ) -> None:
        self.started = True
        sent_headers = list(headers)
        if self._connection.draining:
            sent_headers.append((b"connection", b"close"))
        head = h11.Response(
            status_code=status, headers=sent_headers, reason=reason
        )
        self._connection.send_head(head, is_framed=is_framed)

    def send_data(self, data: bytes) -> None:
        self._connection.send(h11.Data(data=data))

    def set_customer(self, customer: str) -> None:
        self._connection.customer = customer

    async def drain(self) -> None:
        await self._connection.drain()

    def finish(self) -> None:
        self._connection.send(h11.EndOfMessage())

    def abort(self) -> None:
        self._connection.abort()


def _make_parser(limits: ClientLimits) -> h11.Connection:
    return h11.Connection(
        h11.SERVER, max_incomplete_event_size=limits.header_bytes
    )


def _measure_head(head: h11.Request) -> int:
    """Returns about how many bytes of memory a head takes."""
    return len(head.target) + sum(
        len(name) + len(value) + _HEADER_OBJECT_BYTES
        for name, value in head.headers
    )


def _has_length(head: h11.Response) -> bool:
    return any(name == b"content-length" for name, _ in head.headers)


def _set_reset_on_close(transport: asyncio.Transport, resets: bool) -> None:
    """Sets whether closing the connection resets it."""
    connected = transport.get_extra_info("socket")
    if connected is not None and connected.fileno() >= 0:
        set_reset_on_close(connected, resets)


def _count_kernel_bytes(transport: asyncio.Transport) -> int:
    """Returns the bytes in a socket that its peer hasn't acknowledged."""
    connected = transport.get_extra_info("socket")
    if connected is None or connected.fileno() < 0:
        return 0
    answer = fcntl.ioctl(connected.fileno(), termios.TIOCOUTQ, bytes(4))
    return int(struct.unpack("i", answer)[0])


class HttpListener:
    """Listens on an address and serves the connections it accepts.

    Args:
        address: `host:port`.
        handler: serves each request.
        limits: limits of each connection; may be replaced at runtime.
        memory: bounds what the connections of this process hold together; of
            its own if omitted.
        connection_limit: bounds the number of connections of this process; of
            its own if omitted.

    Attributes:
        connections: all open connections.
        draining: whether connections close after their next response.
        is_crowded: the same while descriptors are short; connections are still
            accepted.
        sends_clients_away: returns whether to do the same for another reason.
        slow_readers: bounds what is held for slow clients in total; None makes
            handlers wait for each slow client instead.
        receive_buffer: receives the bytes of all connections.
        parse_queue: shares the time for parsing among them.
    """

    def __init__(
        self,
        address: str,
        handler: Handler,
        limits: ClientLimits | None = None,
        memory: ConnectionMemory | None = None,
        connection_limit: ConnectionLimit | None = None,
    ) -> None:
        self.handler = handler
        self._address = address
        self.memory = memory or ConnectionMemory()
        self.connection_limit = connection_limit or ConnectionLimit()
        self.receive_buffer = make_receive_buffer()
        self.parse_queue = ParseQueue()
        self.limits = limits or ClientLimits()
        self.connections: set[ServerConnection] = set()
        self.draining = False
        self.is_crowded = False
        self.sends_clients_away: Callable[[], bool] = lambda: False
        self.slow_readers: SlowReaders | None = None
        self._server: asyncio.Server | None = None
        self._timeout_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts to accept connections."""
        host, port = split_address(self._address)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self),
            host,
            port,
            backlog=_MAX_ACCEPTED_AT_ONCE,
            reuse_address=True,
        )
        for listening in self._server.sockets:
            # asyncio accepts as many connections at once as its backlog names.
            with listening.dup() as same:
                same.listen(_BACKLOG_CONNECTIONS)
        self._timeout_task = loop.create_task(self._check_timeouts())

    async def _check_timeouts(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_TIMEOUT_CHECK_SECONDS)
            now = loop.time()
            for connection in list(self.connections):
                connection.check_timeouts(now)

    def close(self) -> None:
        """Stops accepting connections; open ones continue."""
        if self._server is not None:
            self._server.close()

    def drain(self) -> None:
        """Makes clients close their connections after the next response."""
        self.draining = True

    async def stop(self) -> None:
        """Stops accepting connections and aborts open ones."""
        if self._server is not None:
            self._server.close()
        if self._timeout_task is not None:
            self._timeout_task.cancel()
        for connection in list(self.connections):
            connection.abort()
