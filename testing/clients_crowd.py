"""Clients that send without regard to any limit and read no answer."""

import asyncio
import socket

from ridgesill.core.addresses import split_address

# Pause before a client whose connection was closed comes back, in seconds.
_RETURN_SECONDS = 0.05
# As small as the kernel allows, so that answers soon wait at the server.
_RECEIVE_BYTES = 2048
_PIECE_BYTES = 64 * 1024


def repeat(unit: bytes) -> bytes:
    """Returns a piece of about 64 KiB that repeats a unit."""
    return unit * (_PIECE_BYTES // len(unit) + 1)


class Crowd:
    """Clients that each send a beginning once and a piece for ever.

    A client whose connection is closed connects again and begins anew.

    Args:
        address: `host:port` that they connect to.
        beginning: first bytes on each connection.
        piece: bytes that follow it; empty to send nothing more.
        pause_seconds: pause after each piece.
    """

    def __init__(
        self,
        address: str,
        beginning: bytes,
        piece: bytes,
        pause_seconds: float = 0.0,
    ) -> None:
        self._address = split_address(address)
        self._beginning = beginning
        self._piece = piece
        self._pause_seconds = pause_seconds
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, clients: int) -> None:
        """Starts the clients."""
        self._tasks = [
            asyncio.create_task(self._press()) for _ in range(clients)
        ]

    async def stop(self) -> None:
        """Disconnects all clients."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _press(self) -> None:
        while True:
            client = socket.socket()
            client.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BYTES
            )
            client.setblocking(False)
            try:
                await self._send_for_ever(client)
            except OSError:
                await asyncio.sleep(_RETURN_SECONDS)
            finally:
                client.close()

    async def _send_for_ever(self, client: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        await loop.sock_connect(client, self._address)
        await loop.sock_sendall(client, self._beginning)
        while self._piece:
            await loop.sock_sendall(client, self._piece)
            if self._pause_seconds:
                await asyncio.sleep(self._pause_seconds)
        await asyncio.Event().wait()
