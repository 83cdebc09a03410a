"""A pool of client connections to upstreams, and exchanges on them."""

import asyncio
import collections
import enum
import errno
import socket

from eliot import log_message

from ridgesill.adapters.http1.bodies import BodyReader
from ridgesill.adapters.http1.channel import (
    REQUEST_ID_HEADER,
    ChannelBrokenError,
    UpstreamChannel,
)
from ridgesill.adapters.http1.connection_memory import ConnectionMemory
from ridgesill.adapters.http1.receive_buffer import make_receive_buffer
from ridgesill.core.addresses import split_address
from ridgesill.ports.http import (
    ChannelError,
    HttpRequest,
    ResponseHead,
    find_header,
)

# The kernel drops a connection when sent data stays unacknowledged for this
# long. By default, a connection to a VM without power hangs for minutes.
_USER_TIMEOUT_MS = 800
# The same while a request is sent that may run only once: a sound upstream may
# be silent for a second or so, and such a request would be lost.
_PATIENT_USER_TIMEOUT_MS = 1800
# Keepalive probes start after this idle time and repeat at this interval. They
# detect a connection that goes silent without a reset while a response is
# awaited. The kernel drops it at the second probe without an acknowledgement,
# 2 s after the last byte; clients abandon a stream after at least 2 s of
# silence.
_PROBE_INTERVAL_SECONDS = 1


class Connectivity(enum.Enum):
    """What became of an attempt to open a connection.

    Attributes:
        REACHABLE: It came up.
        REFUSED: The host answered that it accepts none.
        SILENT: Nothing came back in time.
        UNKNOWN: It failed for a reason of this process.
    """

    REACHABLE = "reachable"
    REFUSED = "refused"
    SILENT = "silent"
    UNKNOWN = "unknown"

    @property
    def may_accept(self) -> bool:
        """Whether connections come up, as far as is known."""
        return self in (Connectivity.REACHABLE, Connectivity.UNKNOWN)


# Errors of connecting that say something about the way to the upstream.
_CONNECTIVITY_BY_ERRNO = {
    errno.ECONNREFUSED: Connectivity.REFUSED,
    errno.ECONNRESET: Connectivity.REFUSED,
    errno.EHOSTUNREACH: Connectivity.SILENT,
    errno.ENETUNREACH: Connectivity.SILENT,
    errno.ETIMEDOUT: Connectivity.SILENT,
}


class UnreachableError(ChannelError):
    """No channel to an upstream could be opened; nothing was sent.

    Attributes:
        connectivity: what became of the attempt.
    """

    def __init__(
        self, peer: str, detail: str, connectivity: Connectivity
    ) -> None:
        super().__init__("connect", peer, detail, False)
        self.connectivity = connectivity


def _classify(error: OSError) -> Connectivity:
    """Returns what a failed attempt to connect says about the way."""
    if isinstance(error, TimeoutError):
        return Connectivity.SILENT
    return _CONNECTIVITY_BY_ERRNO.get(error.errno or 0, Connectivity.UNKNOWN)


class Exchange(BodyReader):
    """A request that was sent on a channel, and its response.

    Implements `connection_memory.Holder`.

    Args:
        channels: the pool that the channel comes from.
        channel: the channel that the request was sent on.
        is_held: whether the caller goes on using the channel after the
            response.

    Attributes:
        head: the response head; None until it has been read.
    """

    def __init__(
        self,
        channels: "UpstreamChannels",
        channel: UpstreamChannel,
        *,
        is_held: bool = False,
    ) -> None:
        self._channels = channels
        self._channel = channel
        self._is_held = is_held
        self._ended = False
        self._is_shed = False
        self.head: ResponseHead | None = None

    @property
    def name(self) -> str:
        """Address of the upstream."""
        return self._channel.address

    def _record_held(self, count: int) -> None:
        if self._is_shed:
            # It is broken off once what had been received is read.
            return
        self._channels.memory.record(self, count)

    def shed(self) -> None:
        """Breaks the response off, since too much is held of all of them."""
        self._is_shed = True
        self._channel.close("no memory is left for its response")

    async def read_head(self) -> ResponseHead:
        """Returns the response head.

        Raises:
            ChannelError: the connection ended before the head arrived.
        """
        try:
            self.head = await self._channel.read_head()
        except ChannelBrokenError as error:
            raise self._to_channel_error("head", str(error)) from error
        return self.head

    async def read_data(self) -> bytes:
        """Returns the next bytes of the body; empty once it is complete.

        Raises:
            ChannelError: the connection ended before the body did.
        """
        try:
            data = await self._channel.read_data()
        except ChannelBrokenError as error:
            raise self._to_channel_error("body", str(error)) from error
        if not data:
            self._finish()
        return data

    def _to_channel_error(self, step: str, detail: str) -> ChannelError:
        self.cancel()
        return ChannelError(step, self._channel.address, detail, True)

    def _end(self) -> None:
        self._ended = True
        self._channels.memory.discard(self)

    def _finish(self) -> None:
        assert self.head is not None
        if self._ended:
            return
        self._end()
        if self._is_held:
            self._channel.finish(self.head)
        else:
            self._channels.release(self._channel, self.head)

    def cancel(self) -> None:
        """Closes the channel unless the response was read completely."""
        if not self._ended:
            self._end()
            self._channels.discard(self._channel)


class UpstreamChannels:
    """A pool of connections to upstreams that reuses idle ones.

    Args:
        connect_seconds: timeout for opening a connection.
        host: host to connect to instead of each upstream's own, as behind a
            proxy on the same ports; empty for none.
        memory: bounds what is held of all responses that are read whole; of its
            own if omitted.
        requires_ids: whether a response without an id belongs to no request
            that has one.
        keeps_spares: whether a new channel is opened ahead for the next request
            without an id to the same upstream.
    """

    def __init__(
        self,
        connect_seconds: float,
        host: str = "",
        memory: ConnectionMemory | None = None,
        *,
        requires_ids: bool = True,
        keeps_spares: bool = False,
    ) -> None:
        self._keeps_spares = keeps_spares
        self.memory = memory or ConnectionMemory()
        self._requires_ids = requires_ids
        self._connect_seconds = connect_seconds
        self._host = host
        self._idle: dict[str, list[UpstreamChannel]] = {}
        self._open_channels: dict[str, set[UpstreamChannel]] = {}
        self._opening: collections.Counter[str] = collections.Counter()
        # Channels on which nothing has been sent, for requests without an id.
        self._spares: dict[str, UpstreamChannel] = {}
        self._spare_tasks: set[asyncio.Task[None]] = set()
        self._receive_buffer = make_receive_buffer()
        self._loop = asyncio.get_running_loop()

    async def send(
        self,
        address: str,
        request: HttpRequest,
        *,
        max_idle_seconds: float = 60.0,
        max_open: int = 0,
    ) -> Exchange:
        """Sends a request on an idle or a new channel.

        A request without an id is sent on a new channel.

        Args:
            address: the upstream's `host:port`.
            request: the complete request.
            max_idle_seconds: how long a kept channel may have been idle.
            max_open: limit on open channels to this upstream; 0 for none.

        Raises:
            ChannelError: no channel could be opened; nothing was sent.
        """
        channel = await self.acquire(
            address,
            max_idle_seconds=max_idle_seconds,
            max_open=max_open,
            is_new=not find_header(request.headers, REQUEST_ID_HEADER),
        )
        return self.start_exchange(channel, request)

    async def acquire(
        self,
        address: str,
        *,
        max_idle_seconds: float = 60.0,
        max_open: int = 0,
        is_patient: bool = False,
        is_new: bool = False,
    ) -> UpstreamChannel:
        """Returns an idle or a new channel for one request.

        Args:
            address: the upstream's `host:port`.
            max_idle_seconds: how long a kept channel may have been idle.
            max_open: limit on open channels to this upstream; 0 for none.
            is_patient: whether the upstream may be silent for a second or so,
                because the request may run only once.
            is_new: whether the channel must be new. A request without an id
                needs that: it can't tell its response from a surplus one.

        Raises:
            ChannelError: no channel could be opened; nothing was sent.
        """
        if is_new:
            channel = self._take_spare(address)
        else:
            channel = self._acquire_idle(address, max_idle_seconds)
        if channel is None:
            self._enforce_limit(address, max_open)
            channel = await self._open(address)
        channel.set_user_timeout(
            _PATIENT_USER_TIMEOUT_MS if is_patient else _USER_TIMEOUT_MS
        )
        return channel

    def has_idle(self, address: str, max_idle_seconds: float) -> bool:
        """Whether a channel is idle that `acquire` would return."""
        now = self._loop.time()
        for channel in reversed(self._idle.get(address, [])):
            idle_seconds = now - channel.idle_since
            if channel.is_open and idle_seconds < channel.idle_timeout_seconds:
                return idle_seconds < max_idle_seconds
        return False

    def has_open(self, address: str) -> bool:
        """Whether a channel to an upstream is known to be open.

        It may be in use or idle. One whose reader is slow doesn't count: it may
        have ended.
        """
        channels = self._open_channels.get(address, ())
        return any(channel.is_watched for channel in channels)

    def release_unused(self, channel: UpstreamChannel) -> None:
        """Returns an acquired channel to the pool; nothing was sent on it."""
        channel.idle_since = self._loop.time()
        self._idle.setdefault(channel.address, []).append(channel)

    def start_exchange(
        self,
        channel: UpstreamChannel,
        request: HttpRequest,
        *,
        is_held: bool = False,
    ) -> Exchange:
        """Sends a request on a channel that was acquired.

        Args:
            channel: the channel.
            request: the complete request.
            is_held: whether the caller goes on using the channel after the
                response, and returns it. Otherwise it goes back to the pool.
        """
        channel.send(request)
        return Exchange(self, channel, is_held=is_held)

    def _acquire_idle(
        self, address: str, max_idle_seconds: float
    ) -> UpstreamChannel | None:
        idle = self._idle.get(address, [])
        now = self._loop.time()
        while idle:
            channel = idle.pop()
            idle_seconds = now - channel.idle_since
            if channel.is_open and idle_seconds < channel.idle_timeout_seconds:
                if idle_seconds < max_idle_seconds:
                    return channel
                idle.append(channel)
                return None
            self.discard(channel)
        return None

    def _take_spare(self, address: str) -> UpstreamChannel | None:
        """Returns an open channel on which nothing has been sent, if any."""
        channel = self._spares.pop(address, None)
        if channel is None:
            return None
        idle_seconds = self._loop.time() - channel.opened_at
        if channel.is_open and idle_seconds < channel.idle_timeout_seconds:
            return channel
        self.discard(channel)
        return None

    def _start_spare(self, used: UpstreamChannel) -> None:
        """Opens a channel for the next request without an id.

        Such a request needs a new channel, and shouldn't wait for it.

        Args:
            used: the channel of the request before.
        """
        task = self._loop.create_task(
            self._open_spare(used.address, used.idle_timeout_seconds)
        )
        self._spare_tasks.add(task)
        task.add_done_callback(self._spare_tasks.discard)

    async def _open_spare(self, address: str, idle_seconds: float) -> None:
        try:
            channel = await self._open(address)
        except ChannelError as error:
            # The next request opens its own channel.
            log_message("upstream:no_spare", peer=address, detail=str(error))
            return
        channel.idle_timeout_seconds = idle_seconds
        self._discard_spare(address)
        self._spares[address] = channel

    def _discard_spare(self, address: str) -> None:
        spare = self._spares.pop(address, None)
        if spare is not None:
            self.discard(spare)

    def _enforce_limit(self, address: str, max_open: int) -> None:
        """Ensures that a new channel stays within the limit.

        Closes the oldest idle channel if the limit is reached.

        An upstream limits its connections over all callers and resets those
        above the limit. Whether a request on one of them ran is then unknown.

        Raises:
            ChannelError: all channels of this process's share are in use.
        """
        open_channels = self._open_channels.setdefault(address, set())
        open_channels.difference_update(
            [c for c in open_channels if not c.is_open]
        )
        if (
            not max_open
            or len(open_channels) + self._opening[address] < max_open
        ):
            return
        idle = self._idle.get(address)
        if not idle:
            detail = (
                f"all {max_open} channels of this process's share are in use"
            )
            raise ChannelError("connect", address, detail, False)
        self.discard(idle.pop(0))

    async def _open(self, address: str) -> UpstreamChannel:
        host, port = split_address(address)
        attempt = self._loop.create_connection(
            lambda: UpstreamChannel(
                address, self._receive_buffer, requires_ids=self._requires_ids
            ),
            self._host or host,
            port,
        )
        self._opening[address] += 1
        try:
            transport, channel = await asyncio.wait_for(
                attempt, self._connect_seconds
            )
        except OSError as error:
            detail = str(error) or "no channel came up in time"
            raise UnreachableError(address, detail, _classify(error)) from error
        finally:
            self._opening[address] -= 1
        _enable_keepalive_probes(transport)
        self._open_channels.setdefault(address, set()).add(channel)
        return channel

    async def is_refused(self, address: str) -> bool:
        """Whether an address refuses a test connection.

        False if the upstream is overloaded or unreachable: it then accepts
        the connection or doesn't respond.
        """
        return await self.test(address) is Connectivity.REFUSED

    async def test(self, address: str) -> Connectivity:
        """Opens and closes a test connection to an address."""
        host, port = split_address(address)
        attempt = self._loop.create_connection(
            asyncio.Protocol, self._host or host, port
        )
        try:
            transport, _ = await asyncio.wait_for(
                attempt, self._connect_seconds
            )
        except OSError as error:
            return _classify(error)
        transport.abort()
        return Connectivity.REACHABLE

    def release(self, channel: UpstreamChannel, head: ResponseHead) -> None:
        """Returns a channel to the pool after its response, if reusable.

        It isn't after a request without an id: a second response to that could
        be taken for the response to the next such request.
        """
        is_reusable = channel.finish(head)
        if not channel.has_request_id:
            self.discard(channel)
            if self._keeps_spares:
                self._start_spare(channel)
        elif is_reusable:
            self._idle.setdefault(channel.address, []).append(channel)

    def discard(self, channel: UpstreamChannel) -> None:
        """Closes a channel that is in use or was removed from the idle ones."""
        channel.close("closed by the pool")

    def discard_idle(self, address: str) -> None:
        """Closes the idle channels to an upstream."""
        for channel in self._idle.pop(address, []):
            self.discard(channel)
        self._discard_spare(address)

    def prune(self) -> None:
        """Closes channels that reached their idle timeout."""
        now = self._loop.time()
        for address, idle in list(self._idle.items()):
            for channel in list(idle):
                idle_seconds = now - channel.idle_since
                if (
                    not channel.is_open
                    or idle_seconds >= channel.idle_timeout_seconds
                ):
                    idle.remove(channel)
                    self.discard(channel)
            if not idle:
                del self._idle[address]
        for address, spare in list(self._spares.items()):
            if now - spare.opened_at >= spare.idle_timeout_seconds:
                self._discard_spare(address)
        for address, open_channels in list(self._open_channels.items()):
            if not any(channel.is_open for channel in open_channels):
                del self._open_channels[address]
        self._opening = +self._opening

    def close(self) -> None:
        """Closes all idle channels."""
        for idle in self._idle.values():
            while idle:
                self.discard(idle.pop())
        for address in list(self._spares):
            self._discard_spare(address)


def _enable_keepalive_probes(transport: asyncio.BaseTransport) -> None:
    """Makes the kernel drop a connection whose peer doesn't acknowledge."""
    tcp_socket = transport.get_extra_info("socket")
    if tcp_socket is None:
        return
    tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option in (socket.TCP_KEEPIDLE, socket.TCP_KEEPINTVL):
        tcp_socket.setsockopt(
            socket.IPPROTO_TCP, option, _PROBE_INTERVAL_SECONDS
        )
