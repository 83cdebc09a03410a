"""Channels to upstreams, kept for reuse, and exchanges on them."""

import asyncio
import collections
import socket

from ridgesill.adapters.http1.channel import (
    REQUEST_ID,
    ChannelBrokenError,
    UpstreamChannel,
)
from ridgesill.core.addresses import split_address
from ridgesill.ports.http import (
    ChannelError,
    HttpRequest,
    ResponseHead,
    find_header,
)

# After this long without an acknowledgement the kernel gives a channel up;
# without it, a channel to a VM without power hangs for minutes.
_USER_TIMEOUT_MS = 800
# A channel on which nothing is sent is probed after this many seconds of rest:
# one may go silent for good, without a reset, while its answer is awaited. The
# next probe without an acknowledgement in time gives it up, 2 s after the last
# byte; clients give a stream up after two seconds of silence at the least.
_PROBE_AFTER_SECONDS = 1


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

    async def read_rest(self) -> bytes:
        """Returns what is left of the body, up to its whole end."""
        parts = []
        while data := await self.read_data():
            parts.append(data)
        return b"".join(parts)

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
    """

    def __init__(self, connect_seconds: float) -> None:
        self._connect_seconds = connect_seconds
        self._resting: dict[str, list[UpstreamChannel]] = {}
        self._opened: dict[str, set[UpstreamChannel]] = {}
        self._opening: collections.Counter[str] = collections.Counter()
        self._loop = asyncio.get_running_loop()

    async def send(
        self,
        address: str,
        request: HttpRequest,
        *,
        fresh_within: float = 60.0,
        most: int = 0,
    ) -> Exchange:
        """Sends a request.

        Args:
            address: the upstream's.
            request: the request, whole.
            fresh_within: seconds that a kept channel may have rested.
            most: channels that may be open to this upstream; 0 for no bound.

        Raises:
            ChannelError: no channel came up; nothing was sent.
        """
        channel = await self.take(address, fresh_within=fresh_within, most=most)
        return self.begin(channel, request)

    async def take(
        self, address: str, *, fresh_within: float = 60.0, most: int = 0
    ) -> UpstreamChannel:
        """Returns a channel on which a request can begin.

        Args:
            address: the upstream's.
            fresh_within: seconds that a kept channel may have rested.
            most: channels that may be open to this upstream; 0 for no bound.

        Raises:
            ChannelError: no channel came up; nothing was sent.
        """
        channel = self._take_resting(address, fresh_within)
        if channel is None:
            self._make_room(address, most)
            channel = await self._open(address)
        return channel

    def put_back(self, channel: UpstreamChannel) -> None:
        """Keeps a channel that was taken and on which nothing was sent."""
        channel.rested_at = self._loop.time()
        self._resting.setdefault(channel.address, []).append(channel)

    def begin(self, channel: UpstreamChannel, request: HttpRequest) -> Exchange:
        """Sends a request on a channel that was taken."""
        request_id = find_header(request.headers, REQUEST_ID).encode()
        channel.send(request, request_id)
        return Exchange(self, channel)

    def _take_resting(
        self, address: str, fresh_within: float
    ) -> UpstreamChannel | None:
        resting = self._resting.get(address, [])
        now = self._loop.time()
        while resting:
            channel = resting.pop()
            rested = now - channel.rested_at
            if channel.is_open and rested < channel.rest_seconds:
                if rested < fresh_within:
                    return channel
                resting.append(channel)
                return None
            self.discard(channel)
        return None

    def _make_room(self, address: str, most: int) -> None:
        """Keeps within the share of an upstream's channels.

        An upstream resets what goes beyond its limit over all callers, and
        then nobody knows whether the request has run.
        """
        opened = self._opened.setdefault(address, set())
        opened.difference_update([c for c in opened if not c.is_open])
        if not most or len(opened) + self._opening[address] < most:
            return
        resting = self._resting.get(address)
        if not resting:
            detail = f"all {most} channels of this process's share are in use"
            raise ChannelError("connect", address, detail, False)
        self.discard(resting.pop(0))

    async def _open(self, address: str) -> UpstreamChannel:
        host, port = split_address(address)
        connecting = self._loop.create_connection(
            lambda: UpstreamChannel(address), host, port
        )
        self._opening[address] += 1
        try:
            transport, channel = await asyncio.wait_for(
                connecting, self._connect_seconds
            )
        except (OSError, TimeoutError) as error:
            detail = str(error) or "no channel came up in time"
            raise ChannelError("connect", address, detail, False) from error
        finally:
            self._opening[address] -= 1
        _detect_silence(transport)
        self._opened.setdefault(address, set()).add(channel)
        return channel

    async def is_refused(self, address: str) -> bool:
        """Whether nothing takes channels at an address, by a try.

        One that is full or cut off takes it, or says nothing.
        """
        host, port = split_address(address)
        opening = self._loop.create_connection(asyncio.Protocol, host, port)
        try:
            transport, _ = await asyncio.wait_for(
                opening, self._connect_seconds
            )
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError):
            return False
        transport.abort()
        return False

    def give_back(self, channel: UpstreamChannel, head: ResponseHead) -> None:
        """Keeps a channel whose answer was read whole, if it can be."""
        if channel.finish(head):
            self._resting.setdefault(channel.address, []).append(channel)

    def discard(self, channel: UpstreamChannel) -> None:
        """Closes a channel that is in use or was taken from those at rest."""
        channel.close("given up")

    def sweep(self) -> None:
        """Closes channels that have rested for too long."""
        now = self._loop.time()
        for address, resting in list(self._resting.items()):
            for channel in list(resting):
                rested = now - channel.rested_at
                if not channel.is_open or rested >= channel.rest_seconds:
                    resting.remove(channel)
                    self.discard(channel)
            if not resting:
                del self._resting[address]
        for address, opened in list(self._opened.items()):
            if not any(channel.is_open for channel in opened):
                del self._opened[address]
        self._opening = +self._opening

    def close(self) -> None:
        """Closes all channels at rest."""
        for resting in self._resting.values():
            while resting:
                self.discard(resting.pop())


def _detect_silence(transport: asyncio.BaseTransport) -> None:
    """Has the kernel end a channel whose other side says nothing."""
    opened = transport.get_extra_info("socket")
    if opened is None:
        return
    opened.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS
    )
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option in (socket.TCP_KEEPIDLE, socket.TCP_KEEPINTVL):
        opened.setsockopt(socket.IPPROTO_TCP, option, _PROBE_AFTER_SECONDS)
