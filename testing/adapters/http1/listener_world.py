"""A listener for tests of what connections hold, and of how they end."""

import asyncio

from ridgesill.adapters.http1.connection_memory import ConnectionMemory
from ridgesill.adapters.http1.server import HttpListener
from ridgesill.core.serving.routes import ClientLimits
from ridgesill.ports.http import HttpRequest, Responder
from testing.clients import open_with_buffer
from testing.processes import free_address

BODY_BYTES = 400_000
VM_BYTES = 8_000_000
# Far more than the kernel takes for a client that reads nothing.
LONG_BYTES = 4 * 2**20
TIMEOUT_SECONDS = 10.0


class ListenerWorld:
    """A listener that echoes bodies.

    Args:
        vm_bytes: memory of its VM.

    Attributes:
        released: lets requests to `/wait` end.
        started: set when such a request has begun.
        cancelled: set when one was cancelled.
        paths: paths of all requests so far, in order.
    """

    def __init__(self, vm_bytes: float = VM_BYTES) -> None:
        self.memory = ConnectionMemory(vm_bytes)
        self.address = free_address()
        self.listener = HttpListener(
            self.address,
            self.serve,
            ClientLimits(16_384, BODY_BYTES, 3.0, 5.0),
            self.memory,
        )
        self.released = asyncio.Event()
        self.started = asyncio.Event()
        self.cancelled = asyncio.Event()
        self.paths: list[str] = []

    @property
    def requests(self) -> int:
        """Number of requests so far."""
        return len(self.paths)

    async def serve(self, request: HttpRequest, responder: Responder) -> None:
        """Echoes the body; `/wait` waits, and `/long` sends 4 MiB."""
        self.paths.append(request.path)
        body = request.body
        if request.path == "/wait":
            await self._wait()
        if request.path == "/long":
            body = bytes(LONG_BYTES)
        length = (b"content-length", b"%d" % len(body))
        responder.send_head(200, ((b"path", request.path.encode()), length))
        responder.send_data(body)
        responder.finish()

    async def _wait(self) -> None:
        self.started.set()
        try:
            await self.released.wait()
        except asyncio.CancelledError:
            self.cancelled.set()
            raise

    async def open(
        self, receive_bytes: int = 0
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connects a client."""
        limit = receive_bytes or 2**16
        return await open_with_buffer(self.address, receive_bytes, limit)

    async def ask(self, data: bytes) -> bytes:
        """Sends bytes; returns the head of the answer."""
        reader, writer = await self.open()
        writer.write(data)
        head = await asyncio.wait_for(
            reader.readuntil(b"\r\n\r\n"), TIMEOUT_SECONDS
        )
        writer.close()
        return head
