"""A loopback proxy that injects network faults in front of one address."""

import asyncio
import enum
import struct
from collections.abc import Callable
from socket import SO_LINGER, SOL_SOCKET

from ridgesill.core.addresses import split_address

_CHUNK_BYTES = 65536
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


class FaultyProxy:
    """Forwards connections, and can delay, discard or reset their bytes.

    Args:
        listen: Address to listen on.
        target: Address to forward connections to.

    Attributes:
        mode: What it does with the bytes that it receives.
        delay: Delay of each chunk in mode DELAYED, in seconds.
    """

    def __init__(self, listen: str, target: str) -> None:
        self.mode = Mode.OPEN
        self.delay = 0.0
        self._listen = listen
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        # Damages to the next chunk, by whether it is an answer.
        self._damages: dict[bool, Callable[[bytes], bytes]] = {}

    async def start(self) -> None:
        """Starts to accept connections."""
        host, port = split_address(self._listen)
        self._server = await asyncio.start_server(self._serve, host, port)

    @property
    def address(self) -> tuple[str, int]:
        """The host and port that it listens on; only after `start`."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()[:2]
        return host, port

    def stop(self) -> None:
        """Stops listening and resets all open connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self) -> None:
        """Resets all open connections, so that peers see ECONNRESET."""
        for writer in list(self._writers):
            if not writer.is_closing():
                connection = writer.get_extra_info("socket")
                connection.setsockopt(SOL_SOCKET, SO_LINGER, _LINGER_RESET)
            writer.transport.abort()

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
            host, port = split_address(self._target)
            target_reader, target_writer = await asyncio.open_connection(
                host, port
            )
        except OSError:
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
        """Forwards one direction of a connection until it ends."""
        try:
            while data := await reader.read(_CHUNK_BYTES):
                if self._discards(is_answer=is_answer):
                    continue
                if self.mode is Mode.DELAYED:
                    await asyncio.sleep(self.delay)
                damage = self._damages.pop(is_answer, bytes)
                writer.write(damage(data))
                await writer.drain()
        except ConnectionError:
            pass
        writer.close()

    def _discards(self, *, is_answer: bool) -> bool:
        if self.mode is Mode.SILENT:
            return True
        return self.mode is Mode.NO_ANSWERS and is_answer
