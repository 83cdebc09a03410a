"""One channel to an upstream: HTTP/1.1 on the event loop."""

import asyncio

import h11

from ridgesill.ports.http import HttpRequest, ResponseHead, find_header

# Taken off what an upstream's Keep-Alive promises, for the way there.
_KEEP_ALIVE_MARGIN_SECONDS = 0.5
# How long a channel rests when its upstream says nothing, in seconds.
_DEFAULT_IDLE_SECONDS = 4.0
REQUEST_ID_HEADER = b"request-id"


class ChannelBrokenError(Exception):
    """What ended an answer before its end."""


def _new_http() -> h11.Connection:
    return h11.Connection(h11.CLIENT)


class UpstreamChannel(asyncio.Protocol):
    """One channel to an upstream; serves one request at a time.

    Args:
        address: the upstream's.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.requests = 0
        self.idle_since = 0.0
        self.idle_timeout_seconds = _DEFAULT_IDLE_SECONDS
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = _new_http()
        self._waiter: asyncio.Future[None] | None = None
        self._close_reason: str = ""
        self._request_id = b""
        self._busy = False
        self._skipped_response = False

    # -- the transport's calls -----------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Notes that the channel is open."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Takes bytes of an answer; any while at rest belong to none."""
        if not self._busy:
            self.close("bytes came that belong to no request")
            return
        try:
            self._parser.receive_data(data)
        except h11.RemoteProtocolError as error:
            self.close(str(error))
        self._wake()

    def eof_received(self) -> bool:
        """Notes the end of what the upstream sends."""
        if not self._close_reason:
            try:
                self._parser.receive_data(b"")
            except h11.RemoteProtocolError as error:
                self.close(str(error))
        self._close_reason = (
            self._close_reason or "the upstream closed the channel"
        )
        self._wake()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Notes that the channel is gone."""
        if exc is not None and not self._close_reason:
            # The parser isn't told of an end, so that what a reset cut off
            # can't pass for a whole answer; what came before it still counts.
            self._close_reason = f"reset: {exc}"
        self._close_reason = (
            self._close_reason or "the upstream closed the channel"
        )
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    # -- one exchange --------------------------------------------------

    @property
    def is_open(self) -> bool:
        """Whether a request can be sent."""
        transport = self._transport
        return (
            not self._close_reason
            and transport is not None
            and not transport.is_closing()
        )

    def send(self, request: HttpRequest, request_id: bytes) -> None:
        """Sends a whole request."""
        assert self._transport is not None
        self._busy = True
        self.requests += 1
        self._request_id = request_id
        head = h11.Request(
            method=request.method,
            target=request.target,
            headers=list(request.headers),
        )
        data = self._parser.send(head) or b""
        if request.body:
            data += self._parser.send(h11.Data(data=request.body)) or b""
        data += self._parser.send(h11.EndOfMessage()) or b""
        self._transport.write(data)

    async def read_head(self) -> ResponseHead:
        """Returns the head of the answer to the request that was sent.

        Raises:
            ChannelBrokenError: there was none.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                head = ResponseHead(
                    event.status_code, tuple(event.headers), event.reason
                )
                if not self._is_for_other_request(head):
                    return head
                await self._skip_response()

    def _is_for_other_request(self, head: ResponseHead) -> bool:
        """Whether an answer names another request than this one.

        An upstream may send a second answer to the request before; it then
        stands where this one's is due.
        """
        response_request_id = find_header(
            head.headers, REQUEST_ID_HEADER
        ).encode()
        return bool(
            self._request_id
            and response_request_id
            and response_request_id != self._request_id
        )

    async def _skip_response(self) -> None:
        while not isinstance(await self._next_event(), h11.EndOfMessage):
            pass
        remaining, _ = self._parser.trailing_data
        # A fresh parser, as if the request had been sent on it: the answer
        # that follows on the same channel is the one that is due.
        self._parser = _new_http()
        host = [("host", "skipped")]
        self._parser.send(h11.Request(method="GET", target="/", headers=host))
        self._parser.send(h11.EndOfMessage())
        self._skipped_response = True
        if remaining:
            self._parser.receive_data(remaining)

    async def read_data(self) -> bytes:
        """Returns the next part of the body; empty at its end.

        Raises:
            ChannelBrokenError: the answer ended before its end.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                return b""

    async def _next_event(self) -> h11.Event:
        while True:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                reason = self._close_reason or str(error)
                self.close(reason)
                raise ChannelBrokenError(reason) from error
            if isinstance(event, h11.ConnectionClosed):
                raise ChannelBrokenError(self._close_reason or "closed")
            if event is not h11.NEED_DATA and event is not h11.PAUSED:
                return event  # type: ignore[return-value]
            if self._close_reason:
                raise ChannelBrokenError(self._close_reason)
            self._waiter = self._loop.create_future()
            await self._waiter

    def finish(self, head: ResponseHead) -> bool:
        """Makes the channel ready for another request.

        Returns:
            Whether it can be kept.
        """
        http = self._parser
        transport = self._transport
        reusable = (
            self.is_open
            and transport is not None
            # An upstream may answer before it has read the whole request;
            # what is still to be written must go out in order.
            and transport.get_write_buffer_size() == 0
            and http.our_state is h11.DONE
            and http.their_state is h11.DONE
            and not http.trailing_data[0]
            and not self._skipped_response
        )
        if not reusable:
            self.close("not to be kept")
            return False
        http.start_next_cycle()
        self._busy = False
        self.idle_since = self._loop.time()
        self.idle_timeout_seconds = _parse_idle_timeout(head)
        return True

    def close(self, reason: str) -> None:
        """Closes the channel at once, which makes the upstream stop."""
        self._close_reason = self._close_reason or reason
        if self._transport is not None:
            self._transport.abort()


def _parse_idle_timeout(head: ResponseHead) -> float:
    """Returns for how long an upstream lets a channel rest."""
    for field in find_header(head.headers, b"keep-alive").split(","):
        name, _, value = field.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return max(float(value) - _KEEP_ALIVE_MARGIN_SECONDS, 0.0)
    return _DEFAULT_IDLE_SECONDS
