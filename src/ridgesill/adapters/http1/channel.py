"""One channel to an upstream: HTTP/1.1 on the event loop."""

import asyncio

import h11

from ridgesill.ports.http import HttpRequest, ResponseHead, find_header

# Taken off what an upstream's Keep-Alive promises, for the way there.
_KEEP_ALIVE_MARGIN_SECONDS = 0.5
# How long a channel rests when its upstream says nothing, in seconds.
_REST_SECONDS = 4.0
REQUEST_ID = b"request-id"


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
        self.rested_at = 0.0
        self.rest_seconds = _REST_SECONDS
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._http = _new_http()
        self._waiter: asyncio.Future[None] | None = None
        self._lost: str = ""
        self._request_id = b""
        self._busy = False
        self._skipping = False

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
            self._http.receive_data(data)
        except h11.RemoteProtocolError as error:
            self.close(str(error))
        self._wake()

    def eof_received(self) -> bool:
        """Notes the end of what the upstream sends."""
        if not self._lost:
            try:
                self._http.receive_data(b"")
            except h11.RemoteProtocolError as error:
                self.close(str(error))
        self._lost = self._lost or "the upstream closed the channel"
        self._wake()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Notes that the channel is gone."""
        if exc is not None and not self._lost:
            # The parser isn't told of an end, so that what a reset cut off
            # can't pass for a whole answer; what came before it still counts.
            self._lost = f"reset: {exc}"
        self._lost = self._lost or "the upstream closed the channel"
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
            not self._lost
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
        data = self._http.send(head) or b""
        if request.body:
            data += self._http.send(h11.Data(data=request.body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
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
                if not self._is_surplus(head):
                    return head
                await self._skip_surplus()

    def _is_surplus(self, head: ResponseHead) -> bool:
        """Whether an answer names another request than this one.

        An upstream may send a second answer to the request before; it then
        stands where this one's is due.
        """
        named = find_header(head.headers, REQUEST_ID).encode()
        return bool(self._request_id and named and named != self._request_id)

    async def _skip_surplus(self) -> None:
        while not isinstance(await self._next_event(), h11.EndOfMessage):
            pass
        rest, _ = self._http.trailing_data
        # A fresh parser, as if the request had been sent on it: the answer
        # that follows on the same channel is the one that is due.
        self._http = _new_http()
        host = [("host", "skipped")]
        self._http.send(h11.Request(method="GET", target="/", headers=host))
        self._http.send(h11.EndOfMessage())
        self._skipping = True
        if rest:
            self._http.receive_data(rest)

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
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                reason = self._lost or str(error)
                self.close(reason)
                raise ChannelBrokenError(reason) from error
            if isinstance(event, h11.ConnectionClosed):
                raise ChannelBrokenError(self._lost or "closed")
            if event is not h11.NEED_DATA and event is not h11.PAUSED:
                return event  # type: ignore[return-value]
            if self._lost:
                raise ChannelBrokenError(self._lost)
            self._waiter = self._loop.create_future()
            await self._waiter

    def finish(self, head: ResponseHead) -> bool:
        """Makes the channel ready for another request.

        Returns:
            Whether it can be kept.
        """
        http = self._http
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
            and not self._skipping
        )
        if not reusable:
            self.close("not to be kept")
            return False
        http.start_next_cycle()
        self._busy = False
        self.rested_at = self._loop.time()
        self.rest_seconds = _rest_seconds(head)
        return True

    def close(self, reason: str) -> None:
        """Closes the channel at once, which makes the upstream stop."""
        self._lost = self._lost or reason
        if self._transport is not None:
            self._transport.abort()


def _rest_seconds(head: ResponseHead) -> float:
    """Returns for how long an upstream lets a channel rest."""
    for part in find_header(head.headers, b"keep-alive").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return max(float(value) - _KEEP_ALIVE_MARGIN_SECONDS, 0.0)
    return _REST_SECONDS
