"""Messages between nodes over gRPC, on one stream to each peer."""

import asyncio
import itertools
import ssl
import zlib
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
from eliot import log_message
from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Server, Stream

from ridgesill.adapters.wire.peer_grpc import PeerBase, PeerStub
from ridgesill.adapters.wire.peer_pb2 import Envelope
from ridgesill.core import codec
from ridgesill.core.addresses import split_address
from ridgesill.ports.peers import PeerError

# Takes the sender's identity and a message; returns the reply, or None if there
# is none.
Handler = Callable[[str, Any], Awaitable[Any]]

_MAX_QUEUED_MESSAGES = 1024
_RECONNECT_DELAY_SECONDS = 0.1
# Timeout for opening a stream. A VM without power doesn't refuse connections,
# and the kernel alone would keep trying for minutes.
_CONNECT_SECONDS = 0.6
# A stream on which messages were sent is pinged at this interval, and closed if
# the ping isn't answered in time. Otherwise a stream interrupted by a network
# partition would hang until TCP retransmits, at ever longer intervals.
_PING_INTERVAL_SECONDS = 0.4
_PING_TIMEOUT_SECONDS = 0.7
# Bodies of at least this size are compressed, to reduce traffic between data
# centres: updates to fronts repeat the names of fields and upstreams.
_COMPRESS_MIN_BYTES = 400
_COMPRESS_LEVEL = 1
# First byte of a zlib stream. An uncompressed body starts differently: it is a
# MessagePack array of two elements.
_ZLIB_FIRST_BYTE = b"\x78"
# Size up to which a compressed body is decompressed. The largest messages are
# snapshots of the log, of some megabytes; without a bound, a damaged or hostile
# body of a few kilobytes could fill a node's memory.
_MAX_BODY_BYTES = 64 * 2**20
_CONNECTION_ERRORS = (
    OSError,
    GRPCError,
    StreamTerminatedError,
    asyncio.TimeoutError,
)


def encode_body(message: Any) -> bytes:
    """Encodes a message as the body of an envelope."""
    body = codec.encode(message)
    if len(body) < _COMPRESS_MIN_BYTES:
        return body
    return zlib.compress(body, _COMPRESS_LEVEL)


def decode_body(body: bytes) -> Any:
    """Decodes the message in the body of an envelope.

    Raises:
        codec.DecodeError: the body is damaged or holds no known message.
    """
    if body.startswith(_ZLIB_FIRST_BYTE):
        body = _decompress(body)
    return codec.decode(body)


def sign(envelope: Envelope) -> None:
    """Sets the checksum of a complete envelope."""
    envelope.checksum = _compute_checksum(envelope)


def check(envelope: Envelope, *, needs_checksum: bool) -> None:
    """Checks that an envelope arrived as it was sent.

    A flipped bit often leaves a readable message, such as one with a higher
    term of the log, and TCP's own checksum misses some of them.

    Args:
        envelope: the received envelope.
        needs_checksum: whether earlier ones on this stream had a checksum.
            Nodes of the previous release send none.

    Raises:
        codec.DecodeError: the checksum is missing or doesn't match the other
            fields.
    """
    if not envelope.checksum and not needs_checksum:
        return
    if envelope.checksum != _compute_checksum(envelope):
        raise codec.DecodeError("damaged envelope: its checksum doesn't match")


def _compute_checksum(envelope: Envelope) -> int:
    head = (envelope.call, envelope.reply, envelope.sender, envelope.error)
    # 0 stands for no checksum.
    return zlib.crc32(envelope.body, zlib.crc32(repr(head).encode())) or 1


def _decompress(body: bytes) -> bytes:
    """Decompresses a body.

    Raises:
        codec.DecodeError: the body is damaged, cut off or too large.
    """
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(body, _MAX_BODY_BYTES)
    except zlib.error as error:
        raise codec.DecodeError(f"damaged body: {error}") from error
    if decompressor.eof:
        return data
    if len(data) >= _MAX_BODY_BYTES:
        raise codec.DecodeError(
            f"the body has more than {_MAX_BODY_BYTES} bytes decompressed"
        )
    raise codec.DecodeError("damaged body: it is cut off")


@attrs.define
class KindTraffic:
    """Number and size of the messages of one kind that were sent.

    Attributes:
        messages: number of messages.
        bytes: total size of their envelopes.
        far_bytes: the part of `bytes` sent to other data centres.
    """

    messages: int = 0
    bytes: int = 0
    far_bytes: int = 0


@attrs.define
class Traffic:
    """Counts the messages and bytes of a process, without HTTP/2 overhead.

    Attributes:
        kinds: sent traffic by class name of the message. A reply counts under
            its own class.
        is_far: tells whether a peer, given by address or identity, is in
            another data centre.
        damaged: number of received messages and streams that couldn't be read.
    """

    messages_sent: int = 0
    messages_received: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0
    kinds: dict[str, KindTraffic] = attrs.Factory(dict)
    is_far: Callable[[str], bool] = lambda _peer: False
    damaged: int = 0

    def record_damaged(self, step: str, peer: str, error: Exception) -> None:
        """Counts and logs a message that can't be read.

        Args:
            step: what was being read, such as the reply to a kind of message.
            peer: address or identity of the sender.
            error: why the message can't be read.
        """
        self.damaged += 1
        log_message(
            "peer:damaged", step=step, peer=peer, reason=repr(error)[:200]
        )

    def record_sent(self, envelope: Envelope) -> None:
        """Counts a sent envelope."""
        self.messages_sent += 1
        self.bytes_sent += envelope.ByteSize()

    def record_received(self, envelope: Envelope) -> None:
        """Counts a received envelope."""
        self.messages_received += 1
        self.bytes_received += envelope.ByteSize()

    def record_kind(self, message: Any, envelope: Envelope, peer: str) -> None:
        """Counts a sent message under its class name."""
        name = type(message).__name__
        kind = self.kinds.get(name)
        if kind is None:
            kind = self.kinds[name] = KindTraffic()
        size = envelope.ByteSize()
        kind.messages += 1
        kind.bytes += size
        if self.is_far(peer):
            kind.far_bytes += size


@attrs.define
class _Inbound:
    """The stream of a peer that this node serves.

    Attributes:
        stream: carries the messages and their replies.
        sender: who sent the first message; `unknown` before it.
        has_checksums: whether an envelope with a checksum has arrived.
        sending: held while a reply is written to the stream. A message that
            has to wait for the peer's flow control is written in parts, and
            parts of different messages must not mix.
    """

    stream: Stream[Envelope, Envelope]
    sender: str = "unknown"
    has_checksums: bool = False
    sending: asyncio.Lock = attrs.Factory(asyncio.Lock)


class PeerServer(PeerBase):
    """Receives messages from peers and passes them to a handler.

    Args:
        handler: called for each message; returns the reply, if any.
        identity: this node, as name#incarnation.
        traffic: counts messages; a new counter if None.
    """

    def __init__(
        self, handler: Handler, identity: str, traffic: Traffic | None = None
    ) -> None:
        self._traffic = traffic or Traffic()
        self._handler = handler
        self._identity = identity
        self._server = Server([self])

    async def start(
        self, address: str, context: ssl.SSLContext | None = None
    ) -> None:
        """Listens on an address.

        Args:
            address: `host:port`.
            context: the TLS context; None for plain TCP.
        """
        host, port = split_address(address)
        await self._server.start(host, port, ssl=context)

    async def stop(self) -> None:
        """Closes the listening socket and all streams."""
        self._server.close()
        await self._server.wait_closed()

    async def Exchange(  # noqa: N802 - named by the generated base class
        self, stream: Stream[Envelope, Envelope]
    ) -> None:
        """Serves the stream of a peer until it ends."""
        tasks: set[asyncio.Task[None]] = set()
        inbound = _Inbound(stream)
        try:
            async for envelope in stream:
                self._traffic.record_received(envelope)
                if not inbound.has_checksums:
                    inbound.sender = envelope.sender or inbound.sender
                    inbound.has_checksums = bool(envelope.checksum)
                task = asyncio.create_task(self._handle(inbound, envelope))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
        except _CONNECTION_ERRORS:
            raise
        except Exception as error:
            # The bytes of the stream are no gRPC messages.
            self._traffic.record_damaged("stream", inbound.sender, error)
            raise GRPCError(Status.DATA_LOSS, "damaged stream") from error
        finally:
            for task in tasks:
                task.cancel()

    async def _handle(self, inbound: _Inbound, envelope: Envelope) -> None:
        """Handles a message and sends the reply."""
        reply = Envelope(call=envelope.call, reply=True, sender=self._identity)
        await self._fill_reply(inbound, envelope, reply)
        if not envelope.call:
            return
        sign(reply)
        try:
            async with inbound.sending:
                self._traffic.record_sent(reply)
                await inbound.stream.send_message(reply)
        except _CONNECTION_ERRORS as error:
            log_message(
                "peer:reply_lost", peer=envelope.sender, reason=str(error)
            )

    async def _fill_reply(
        self, inbound: _Inbound, envelope: Envelope, reply: Envelope
    ) -> None:
        """Handles a message and puts the answer or the error into the reply."""
        step = "request"
        try:
            check(envelope, needs_checksum=inbound.has_checksums)
            if not envelope.body:
                # A ping, which only tests the stream.
                return
            message = decode_body(envelope.body)
            step = type(message).__name__
            answer = await self._handler(envelope.sender, message)
            if answer is not None:
                reply.body = encode_body(answer)
                self._traffic.record_kind(answer, reply, envelope.sender)
        except PeerError as error:
            reply.error = str(error)
        except Exception as error:  # noqa: BLE001 - costs this message only
            self._traffic.record_damaged(step, inbound.sender, error)
            reply.error = str(error) or repr(error)


@attrs.define
class _Link:
    """The stream to a peer, which one task opens and reopens.

    Attributes:
        outbox: envelopes to send.
        calls: futures of the replies, by call id.
        sent: number of envelopes sent.
        has_answered: whether the peer has sent anything on the open stream.
        has_checksums: whether that had a checksum.
        sending: held while an envelope is written to the stream, since parts of
            different envelopes must not mix.
    """

    address: str
    outbox: asyncio.Queue[Envelope]
    calls: dict[int, asyncio.Future[Envelope]] = attrs.Factory(dict)
    task: asyncio.Task[None] | None = None
    sent: int = 0
    has_answered: bool = False
    has_checksums: bool = False
    sending: asyncio.Lock = attrs.Factory(asyncio.Lock)


class PeerLinks:
    """Implements `ports.peers.Peers`.

    Args:
        identity: this node, as name#incarnation.
        context: returns the TLS context for new streams; None for plain TCP.
        own_address: this node's address; messages to it go to `handler`
            without a stream.
        handler: handles this node's messages to itself.

    Attributes:
        traffic: counts the messages sent to and received from peers.
    """

    def __init__(
        self,
        identity: str,
        context: Callable[[], ssl.SSLContext | None] = lambda: None,
        own_address: str = "",
        handler: Handler | None = None,
    ) -> None:
        self.traffic = Traffic()
        self._identity = identity
        self._own_address = own_address
        self._handler = handler
        self._own_tasks: set[asyncio.Task[Any]] = set()
        self._context = context
        self._links: dict[str, _Link] = {}
        self._call_ids = itertools.count(1)

    def send(self, address: str, message: Any) -> None:
        """Queues a message without waiting; drops it if the queue is full.

        Args:
            address: the peer's `host:port`.
            message: a registered message.
        """
        if self._handler and address == self._own_address:
            task = asyncio.ensure_future(self._handler(self._identity, message))
            self._own_tasks.add(task)
            task.add_done_callback(self._own_tasks.discard)
            return
        envelope = Envelope(sender=self._identity, body=encode_body(message))
        sign(envelope)
        self.traffic.record_kind(message, envelope, address)
        self._enqueue(address, envelope)

    async def call(self, address: str, message: Any, timeout: float) -> Any:
        """Sends a message and returns the reply.

        Args:
            address: the peer's `host:port`.
            message: a registered message.
            timeout: seconds to wait for the reply.

        Raises:
            PeerError: the peer failed, did not reply in time, or its reply is
                damaged.
        """
        step = type(message).__name__
        if self._handler and address == self._own_address:
            return await self._call_self(step, message, timeout)
        call_id = next(self._call_ids)
        envelope = Envelope(
            call=call_id, sender=self._identity, body=encode_body(message)
        )
        sign(envelope)
        self.traffic.record_kind(message, envelope, address)
        link = self._get_link(address)
        future = asyncio.get_running_loop().create_future()
        link.calls[call_id] = future
        try:
            self._enqueue(address, envelope)
            reply = await asyncio.wait_for(future, timeout)
        except TimeoutError as error:
            raise PeerError(step, address, "no answer in time") from error
        except ConnectionError as error:
            raise PeerError(step, address, str(error)) from error
        finally:
            link.calls.pop(call_id, None)
        if reply.error or not reply.body:
            raise PeerError(step, address, reply.error or "empty answer")
        try:
            return decode_body(reply.body)
        except codec.DecodeError as error:
            self.traffic.record_damaged(f"reply to {step}", address, error)
            raise PeerError(step, address, str(error)) from error

    async def _call_self(self, step: str, message: Any, timeout: float) -> Any:
        assert self._handler is not None
        answer = self._handler(self._identity, message)
        try:
            return await asyncio.wait_for(answer, timeout)
        except TimeoutError as error:
            own = self._own_address
            raise PeerError(step, own, "no answer in time") from error

    async def close(self) -> None:
        """Closes all streams."""
        tasks = [link.task for link in self._links.values() if link.task]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def reopen(self) -> None:
        """Opens new streams, under the current TLS context, for later messages.

        Existing streams keep the old context until they end.
        """
        self._links = {}

    def _get_link(self, address: str) -> _Link:
        link = self._links.get(address)
        if link is None:
            link = _Link(address, asyncio.Queue(_MAX_QUEUED_MESSAGES))
            link.task = asyncio.create_task(self._run(link))
            self._links[address] = link
        return link

    def _enqueue(self, address: str, envelope: Envelope) -> None:
        try:
            self._get_link(address).outbox.put_nowait(envelope)
        except asyncio.QueueFull:
            log_message("peer:queue_full", peer=address)

    async def _run(self, link: _Link) -> None:
        while True:
            try:
                await self._run_stream(link)
            except _CONNECTION_ERRORS as error:
                reason = str(error) or "no answer of any kind in time"
                if link.has_answered:
                    log_message(
                        "peer:stream_lost",
                        step="stream",
                        peer=link.address,
                        reason=reason,
                    )
                self._fail_calls(link, reason)
            except Exception as error:  # noqa: BLE001 - the link must go on
                # The bytes of the stream are no gRPC messages.
                self.traffic.record_damaged("stream", link.address, error)
                self._fail_calls(link, f"damaged stream: {error!r}")
            else:
                self._fail_calls(link, "stream ended")
            await asyncio.sleep(_RECONNECT_DELAY_SECONDS)

    async def _run_stream(self, link: _Link) -> None:
        first = await link.outbox.get()
        link.has_answered = link.has_checksums = False
        host, port = split_address(link.address)
        channel = Channel(host, port, ssl=self._context())
        try:
            async with PeerStub(channel).Exchange.open() as stream:
                async with asyncio.timeout(_CONNECT_SECONDS):
                    await self._send(link, stream, first)
                reader = asyncio.create_task(self._read(link, stream))
                writer = asyncio.create_task(self._write(link, stream))
                checker = asyncio.create_task(
                    self._check_liveness(link, stream)
                )
                await _wait_for_first(reader, writer, checker)
        finally:
            channel.close()

    async def _send(self, link: _Link, stream: Any, envelope: Envelope) -> None:
        async with link.sending:
            self.traffic.record_sent(envelope)
            link.sent += 1
            await stream.send_message(envelope)

    async def _write(self, link: _Link, stream: Any) -> None:
        while True:
            await self._send(link, stream, await link.outbox.get())

    async def _read(self, link: _Link, stream: Any) -> None:
        async for envelope in stream:
            self.traffic.record_received(envelope)
            link.has_answered = True
            link.has_checksums |= bool(envelope.checksum)
            future = link.calls.get(envelope.call)
            try:
                check(envelope, needs_checksum=link.has_checksums)
            except codec.DecodeError as error:
                self.traffic.record_damaged("reply", link.address, error)
                if future and not future.done():
                    future.set_exception(ConnectionError(str(error)))
                continue
            if future and not future.done():
                future.set_result(envelope)

    async def _check_liveness(self, link: _Link, stream: Any) -> None:
        """Pings the peer after messages were sent; raises if it doesn't reply.

        Raises:
            TimeoutError: a ping was not answered in time.
        """
        sent_before = 0
        while True:
            await asyncio.sleep(_PING_INTERVAL_SECONDS)
            if link.sent == sent_before:
                continue
            async with asyncio.timeout(_PING_TIMEOUT_SECONDS):
                await self._ping(link, stream)
            sent_before = link.sent

    async def _ping(self, link: _Link, stream: Any) -> None:
        call_id = next(self._call_ids)
        future = asyncio.get_running_loop().create_future()
        link.calls[call_id] = future
        ping = Envelope(call=call_id, sender=self._identity)
        sign(ping)
        try:
            await self._send(link, stream, ping)
            await future
        finally:
            link.calls.pop(call_id, None)

    def _fail_calls(self, link: _Link, reason: str) -> None:
        for future in link.calls.values():
            if not future.done():
                future.set_exception(ConnectionError(reason))
        while not link.outbox.empty():
            link.outbox.get_nowait()


async def _wait_for_first(*tasks: asyncio.Task[None]) -> None:
    """Waits until one task ends, cancels the others and raises its error."""
    try:
        done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    for task in done:
        if not task.cancelled() and task.exception():
            raise task.exception()  # type: ignore[misc]
