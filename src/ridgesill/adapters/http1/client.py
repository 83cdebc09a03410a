"""Channels to upstreams: HTTP/1.1 on the event loop, kept for reuse."""

import asyncio
import collections
import socket
from collections.abc import Callable

import attrs
import h11

from ridgesill.ports.http import (
    ChannelError,
    Headers,
    HttpRequest,
    ResponseHead,
    find_header,
)

# After this long without an acknowledgement the kernel gives a channel up;
# without it, a channel to a VM without power hangs for minutes.
_USER_TIMEOUT_MS = 800
# Taken off what an upstream's Keep-Alive promises, for the way there.
_KEEP_ALIVE_MARGIN_SECONDS = 0.5
# How long a channel rests when its upstream says nothing, in seconds.
_REST_SECONDS = 4.0
_REQUEST_ID = b"request-id"
# Bytes of an answer that wait for their reader before the socket is left
# unread.
_READ_AHEAD_BYTES = 1 << 20


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
        named = find_header(head.headers, _REQUEST_ID).encode()
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


@attrs.define
class _AddressChannels:
    """The channels to one address."""

    resting: collections.deque[UpstreamChannel] = attrs.Factory(
        collections.deque
    )
    open: int = 0


class Exchange:
    """One request and its answer on a channel."""

    def __init__(
        self, channels: "UpstreamChannels", channel: UpstreamChannel
    ) -> None:
        self._channels = channels
        self._channel = channel
        self._ended = False
        self.head: ResponseHead | None = None

    async def read_head(self) -> ResponseHead:
        """Returns the head of the answer, or raises `ChannelError`."""
        try:
            self.head = await self._channel.read_head()
        except ChannelBrokenError as error:
            raise self._error("head", error) from error
        return self.head

    async def read_data(self) -> bytes:
        """Returns the next part of the body, empty at its whole end."""
        try:
            data = await self._channel.read_data()
        except ChannelBrokenError as error:
            raise self._error("body", error) from error
        if not data:
            self._finish()
        return data

    def _error(self, step: str, error: Exception) -> ChannelError:
        self.cancel()
        return ChannelError(step, self._channel.address, str(error), True)

    def _finish(self) -> None:
        assert self.head is not None
        if not self._ended:
            self._ended = True
            self._channels.give_back(self._channel, self.head)

    def cancel(self) -> None:
        """Closes the channel unless the answer was read whole."""
        if not self._ended:
            self._ended = True
            self._channels.discard(self._channel)


class UpstreamChannels:
    """Opens channels to upstreams and keeps those that can be used again.

    Args:
        connect_seconds: within which a channel must come up.
        on_open: called with the address for each channel that is opened.
    """

    def __init__(
        self,
        connect_seconds: float,
        on_open: Callable[[str], None] = lambda _: None,
    ) -> None:
        self._connect_seconds = connect_seconds
        self._on_open = on_open
        self._addresses: dict[str, _AddressChannels] = {}
        self._loop = asyncio.get_running_loop()

    def open_count(self, address: str) -> int:
        """Returns how many channels to an address are open."""
        known = self._addresses.get(address)
        return known.open if known else 0

    async def send(
        self, address: str, request: HttpRequest, *, fresh_within: float = 60.0
    ) -> Exchange:
        """Sends a request.

        Args:
            address: the upstream's.
            request: the request, whole.
            fresh_within: seconds that a kept channel may have rested.

        Raises:
            ChannelError: no channel came up; nothing was sent.
        """
        channel = self._take_resting(address, fresh_within)
        if channel is None:
            channel = await self._open(address)
        request_id = find_header(request.headers, _REQUEST_ID).encode()
        channel.send(request, request_id)
        return Exchange(self, channel)

    def _take_resting(
        self, address: str, fresh_within: float
    ) -> UpstreamChannel | None:
        known = self._addresses.get(address)
        if known is None:
            return None
        now = self._loop.time()
        while known.resting:
            channel = known.resting.pop()
            rested = now - channel.rested_at
            if channel.is_open and rested < channel.rest_seconds:
                if rested < fresh_within:
                    return channel
                known.resting.append(channel)
                return None
            self.discard(channel)
        return None

    async def _open(self, address: str) -> UpstreamChannel:
        host, _, port = address.rpartition(":")
        known = self._addresses.setdefault(address, _AddressChannels())
        known.open += 1
        try:
            connecting = self._loop.create_connection(
                lambda: UpstreamChannel(address), host, int(port)
            )
            transport, channel = await asyncio.wait_for(
                connecting, self._connect_seconds
            )
        except (OSError, TimeoutError) as error:
            self._count_closed(address)
            detail = str(error) or "no channel came up in time"
            raise ChannelError("connect", address, detail, False) from error
        except asyncio.CancelledError:
            self._count_closed(address)
            raise
        _set_user_timeout(transport)
        self._on_open(address)
        return channel

    def give_back(self, channel: UpstreamChannel, head: ResponseHead) -> None:
        """Keeps a channel whose answer was read whole, if it can be."""
        if channel.finish(head):
            self._addresses[channel.address].resting.append(channel)
        else:
            self._count_closed(channel.address)

    def discard(self, channel: UpstreamChannel) -> None:
        """Closes a channel that is in use or was taken from those at rest."""
        channel.close("given up")
        self._count_closed(channel.address)

    def _count_closed(self, address: str) -> None:
        known = self._addresses.get(address)
        if known is None:
            return
        known.open -= 1
        if known.open <= 0:
            del self._addresses[address]

    def sweep(self) -> None:
        """Closes channels that have rested for too long."""
        now = self._loop.time()
        for known in list(self._addresses.values()):
            for channel in list(known.resting):
                rested = now - channel.rested_at
                if not channel.is_open or rested >= channel.rest_seconds:
                    known.resting.remove(channel)
                    self.discard(channel)

    def close(self) -> None:
        """Closes all channels at rest."""
        for known in list(self._addresses.values()):
            while known.resting:
                self.discard(known.resting.pop())


def _set_user_timeout(transport: asyncio.BaseTransport) -> None:
    opened = transport.get_extra_info("socket")
    if opened is not None:
        opened.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS
        )


def without_channel_headers(headers: Headers) -> Headers:
    """Returns the headers that travel beyond one channel."""
    named = find_header(headers, b"connection").lower().encode()
    listed = {name.strip() for name in named.split(b",")}
    return tuple(
        (name, value)
        for name, value in headers
        if name not in _CHANNEL_HEADERS and name not in listed
    )


_CHANNEL_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
