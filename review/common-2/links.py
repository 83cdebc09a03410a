"""A proxy that gives a machine's link its bandwidth."""

import asyncio
import contextlib

_CHUNK_BYTES = 4096
# How many bytes of a channel are looked at to tell who opened it.
_LOOKED_AT_BYTES = 65536


class Link:
    """The link of one machine, which its channels share in turn."""

    def __init__(self, bytes_per_second):
        self._bytes_per_second = bytes_per_second
        self._free_at = 0.0
        self.carried = 0

    async def carry(self, size):
        """Waits until this many bytes have passed."""
        now = asyncio.get_running_loop().time()
        seconds = size / self._bytes_per_second
        self._free_at = max(now, self._free_at) + seconds
        self.carried += size
        await asyncio.sleep(self._free_at - now)


class LinkProxy:
    """Stands before the internal port of a core machine.

    Args:
        listen: (host, port) at which others reach the machine.
        target: (host, port) at which its process listens.
        links: the link of each machine with a narrow one, by its address as
            it names itself in what it sends first.
    """

    def __init__(self, listen, target, links):
        self._listen, self._target, self._links = listen, target, links
        self._server = None
        self._writers = set()

    async def start(self):
        """Starts to accept channels."""
        self._server = await asyncio.start_server(
            self._serve, *self._listen, limit=2 * _CHUNK_BYTES)

    def stop(self):
        """Ends all channels."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(
                *self._target, limit=2 * _CHUNK_BYTES)
        except OSError:
            writer.transport.abort()
            return
        ends = {writer, far_writer}
        self._writers |= ends
        channel = {"seen": b"", "link": None}
        tasks = [
            asyncio.create_task(
                self._pass_on(reader, far_writer, channel, False)),
            asyncio.create_task(
                self._pass_on(far_reader, writer, channel, True)),
        ]
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()
        self._writers -= ends
        for end in ends:
            end.transport.abort()

    async def _pass_on(self, reader, writer, channel, is_answer):
        with contextlib.suppress(OSError):
            while data := await reader.read(_CHUNK_BYTES):
                if not is_answer and channel["link"] is None:
                    self._find_link(channel, data)
                if channel["link"] is not None:
                    await channel["link"][is_answer].carry(len(data))
                writer.write(data)
                await writer.drain()

    def _find_link(self, channel, data):
        if len(channel["seen"]) > _LOOKED_AT_BYTES:
            return
        channel["seen"] += data
        for name, link in self._links.items():
            if name.encode() in channel["seen"]:
                channel["link"] = link
