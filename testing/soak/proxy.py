"""A loopback proxy that misbehaves on demand, in front of one address."""

import asyncio
import enum
import struct
from socket import SO_LINGER, SOL_SOCKET

from ridgesill.core.addresses import split_address

_CHUNK = 65536
_LINGER_RESET = struct.pack("ii", 1, 0)


class Mode(enum.Enum):
    """What a proxy does with the bytes that it is given."""

    OPEN = "open"
    DELAYED = "delayed"
    SILENT = "silent"
    NO_ANSWERS = "no_answers"


class FaultyProxy:
    """Forwards connections, or delays, swallows or resets them.

    Args:
        listen: where it is reached.
        target: what it stands in front of.
    """

    def __init__(self, listen: str, target: str) -> None:
        self.mode = Mode.OPEN
        self.delay = 0.0
        self._listen = listen
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Begins to accept."""
        host, port = split_address(self._listen)
        self._server = await asyncio.start_server(self._serve, host, port)

    @property
    def address(self) -> tuple[str, int]:
        """Where it listens, once it does."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()[:2]
        return host, port

    def stop(self) -> None:
        """Closes everything."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self) -> None:
        """Resets all connections that are open."""
        for writer in list(self._writers):
            if not writer.is_closing():
                opened = writer.get_extra_info("socket")
                opened.setsockopt(SOL_SOCKET, SO_LINGER, _LINGER_RESET)
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
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
        try:
            while data := await reader.read(_CHUNK):
                if self._discards(is_answer=is_answer):
                    continue
                if self.mode is Mode.DELAYED:
                    await asyncio.sleep(self.delay)
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        writer.close()

    def _discards(self, *, is_answer: bool) -> bool:
        if self.mode is Mode.SILENT:
            return True
        return self.mode is Mode.NO_ANSWERS and is_answer
