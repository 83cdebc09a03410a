"""A loopback proxy that injects network faults in front of one address."""

import asyncio
import enum
import struct
from collections.abc import Callable
from socket import SO_LINGER, SO_RCVBUF, SO_REUSEADDR, SOL_SOCKET, socket

from ridgesill.core.addresses import split_address

_CHUNK_BYTES = 65536
# The same, and the bytes that a connection may hold, behind a narrow link: all
# other bytes wait at the sender.
_NARROW_CHUNK_BYTES = 4096
_BUFFER_BYTES = 4096
# SO_LINGER enabled with a timeout of 0 s, so that a close sends RST.
_LINGER_RESET = struct.pack("ii", 1, 0)


class Mode(enum.Enum):
    """What a proxy does with the bytes that it receives.

    Attributes:
        OPEN: Forwards them.
        DELAYED: Forwards them after a delay.
        SILENT: Discards them in both directions.
        NO_ANSWERS: Forwards requests and discards answers.
    """

    OPEN = "open"
    DELAYED = "delayed"
    SILENT = "silent"
    NO_ANSWERS = "no_answers"


class NarrowLink:
    """A bandwidth that the connections of several proxies share in turn.

    Attributes:
        bytes_per_second: Its bandwidth; infinite while it isn't narrow.
    """

    def __init__(self) -> None:
        self.bytes_per_second = float("inf")
        self._free_at = 0.0

    async def carry(self, size: int) -> None:
        """Waits until this many bytes have passed."""
        now = asyncio.get_running_loop().time()
        seconds = size / self.bytes_per_second
        self._free_at = max(now, self._free_at) + seconds
        await asyncio.sleep(self._free_at - now)


class FaultyProxy:
    """Forwards connections, and can delay, discard or reset their bytes.

    Args:
        listen: Address to listen on.
        target: Address to forward connections to.
        answer_link: The link that answers pass through, if any.
        request_link: The link that requests pass through, if any.
        source: Host from which it connects to the target; any if empty.

    Attributes:
        listen: Address that it listens on.
        mode: What it does with the bytes that it receives.
        delay: Delay of each chunk in mode DELAYED, in seconds.
        damage: Returns what is forwarded instead of a chunk.
    """

    def __init__(
        self,
        listen: str,
        target: str,
        answer_link: NarrowLink | None = None,
        request_link: NarrowLink | None = None,
        source: str = "",
    ) -> None:
        self._source = source
        self._links = {True: answer_link, False: request_link}
        self.mode = Mode.OPEN
        self.delay = 0.0
        self.damage: Callable[[bytes], bytes] = bytes
        self.listen = listen
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        # Damages to the next chunk, by whether it is an answer.
        self._damages: dict[bool, Callable[[bytes], bytes]] = {}

    async def start(self) -> None:
        """Starts to accept connections."""
        host, port = split_address(self.listen)
        listening = _make_socket(self._links[False])
        listening.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
        listening.bind((host, port))
        self._server = await asyncio.start_server(self._serve, sock=listening)

    @property
    def address(self) -> tuple[str, int]:
        """The host and port that it listens on; only after `start`."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()[:2]
        return host, port

    @property
    def is_listening(self) -> bool:
        """Whether it accepts connections."""
        return self._server is not None and self._server.is_serving()

    def close_listener(self) -> None:
        """Stops listening; open connections live on."""
        if self._server is not None:
            self._server.close()

    def stop(self) -> None:
        """Stops listening and resets all open connections."""
        self.close_listener()
        self.reset()

    def reset(self) -> None:
        """Resets all open connections, so that peers see ECONNRESET."""
        for writer in list(self._writers):
            _reset(writer)

    def damage_next(
        self, damage: Callable[[bytes], bytes], *, is_answer: bool
    ) -> None:
        """Changes the next chunk in one direction.

        Args:
            damage: Returns what is forwarded instead of the chunk.
            is_answer: The direction, from the target or to it.
        """
        self._damages[is_answer] = damage

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Connects to the target and forwards both directions."""
        self._writers.add(writer)
        try:
            target_socket = _make_socket(self._links[True])
            target_socket.setblocking(False)
            if self._source:
                target_socket.bind((self._source, 0))
            loop = asyncio.get_running_loop()
            await loop.sock_connect(target_socket, split_address(self._target))
            target_reader, target_writer = await asyncio.open_connection(
                sock=target_socket, limit=_BUFFER_BYTES
            )
        except OSError:
            target_socket.close()
            writer.transport.abort()
            self._writers.discard(writer)
            return
        self._writers.add(target_writer)
        directions = (
            self._forward(reader, target_writer, is_answer=False),
            self._forward(target_reader, writer, is_answer=True),
        )
        try:
            await asyncio.gather(*directions)
        finally:
            for end in (writer, target_writer):
                self._writers.discard(end)
                end.transport.abort()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_answer: bool,
    ) -> None:
        """Forwards one direction of a connection until it ends.

        TCP delivers in order, so a direction that has lost bytes can't end in
        order: it is reset.
        """
        has_discarded = False
        link = self._links[is_answer]
        chunk_bytes = _NARROW_CHUNK_BYTES if link else _CHUNK_BYTES
        try:
            while data := await reader.read(chunk_bytes):
                if link is not None:
                    await link.carry(len(data))
                if self._discards(is_answer=is_answer):
                    has_discarded = True
                    continue
                if self.mode is Mode.DELAYED:
                    await asyncio.sleep(self.delay)
                damage = self._damages.pop(is_answer, self.damage)
                writer.write(damage(data))
                await writer.drain()
        except ConnectionError:
            pass
        if has_discarded:
            _reset(writer)
        writer.close()

    def _discards(self, *, is_answer: bool) -> bool:
        if self.mode is Mode.SILENT:
            return True
        return self.mode is Mode.NO_ANSWERS and is_answer


def _reset(writer: asyncio.StreamWriter) -> None:
    """Resets a connection that is open, and discards what it has to send."""
    if not writer.is_closing():
        connection = writer.get_extra_info("socket")
        connection.setsockopt(SOL_SOCKET, SO_LINGER, _LINGER_RESET)
    writer.transport.abort()


def _make_socket(link: NarrowLink | None) -> socket:
    """Returns a socket that buffers little behind a link."""
    made = socket()
    if link is not None:
        made.setsockopt(SOL_SOCKET, SO_RCVBUF, _BUFFER_BYTES)
    return made
