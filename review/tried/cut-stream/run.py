"""A stream that a killed front cut short looks complete to its client."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "common"))

import deployment as d

HOST = "ficu95.example"
SERVICE = "msaidizi"
EVENTS = 14
EVENT_SECONDS = 0.2
SERVERS = 6
CLIENTS = 360
# The dose of `garble` with `unframed` in the site file: this share of the
# servers give no length to one in this many of their answers (0.05).
GARBLED_SHARE = 0.5
UNFRAMED_EVERY = 20
# The dose of `herd_kill` in the site file: this share of the fronts is killed.
KILLED_SHARE = 0.55


class StreamServer(d.PlainServer):
    """A sound server that answers with streams of events.

    With `garbles`, some of its streams lack a length and end with their
    channel, as RULES.md allows.
    """

    garbles = False

    async def _serve(self, reader, writer) -> None:
        identifier = ""
        try:
            while True:
                first, headers, _ = await d.read_message(reader)
                identifier = headers.get("request-id", "")
                number = len(self.arrivals)
                self.arrivals.append((time.monotonic(), identifier, True))
                unframed = self.garbles and number % UNFRAMED_EVERY == 0
                await self._answer(identifier, writer, unframed)
                self._record(
                    f"server {self.name}: {first} {identifier}: 200, "
                    f"{'no length' if unframed else 'chunks'}, all {EVENTS} "
                    "events sent"
                )
                identifier = ""
                if unframed:
                    return
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            if identifier:
                self._record(
                    f"server {self.name}: {identifier}: its channel was closed"
                )
        finally:
            writer.close()

    async def _answer(self, identifier, writer, unframed) -> None:
        framing = "Connection: close" if unframed else (
            "Transfer-Encoding: chunked"
        )
        writer.write(
            (
                f"HTTP/1.1 200 OK\r\nRequest-Id: {identifier}\r\n"
                f"Server-Stamp: {self.name}.{identifier}\r\n"
                f"Content-Type: text/event-stream\r\n{framing}\r\n\r\n"
            ).encode()
        )
        for number in range(1, EVENTS + 1):
            await asyncio.sleep(EVENT_SECONDS)
            event = make_event(identifier, number)
            if not unframed:
                event = b"%x\r\n%s\r\n" % (len(event), event)
            writer.write(event)
            await writer.drain()
        if not unframed:
            writer.write(b"0\r\n\r\n")
            await writer.drain()


def make_event(identifier: str, number: int) -> bytes:
    return f"id: {number}\ndata: {identifier} {number}\n\n".encode()


async def read_stream(record, number, front) -> str | None:
    """Sends one request and reads its answer; returns a breach, or None."""
    identifier = f"q{number:06d}"
    wanted = b"".join(make_event(identifier, n + 1) for n in range(EVENTS))
    try:
        async with asyncio.timeout(8.0):
            reader, writer = await asyncio.open_connection(
                front.ip, d.FRONT_PORT
            )
            writer.write(
                (
                    f"POST /ask/x HTTP/1.1\r\nHost: {HOST}\r\n"
                    f"Request-Id: {identifier}\r\nRequest-Deadline: 6000\r\n"
                    "Content-Length: 2\r\n\r\n{}"
                ).encode()
            )
            head = await reader.readuntil(b"\r\n\r\n")
            lines = head[:-4].decode("latin-1").lower().split("\r\n")
            status = int(lines[0].split()[1])
            headers = dict(line.split(": ", 1) for line in lines[1:])
            body, end = await read_body(reader, headers)
            writer.close()
    except (OSError, asyncio.IncompleteReadError, TimeoutError,
            ValueError) as error:
        record(f"client: {identifier} to {front.name}: no head: {error!r}")
        return None
    framing = (
        "chunks" if "transfer-encoding" in headers
        else "a length" if "content-length" in headers
        else "its channel"
    )
    events = body.count(b"\n\n")
    record(
        f"client: {identifier} to {front.name}: {status}, ended by {framing}, "
        f"{events} of {EVENTS} events, {end}"
    )
    if status == 200 and end == "complete" and body != wanted:
        return (
            f"MIXED: {identifier} to {front.name} got 200 and an answer that "
            f"looks complete, with {events} of {EVENTS} events"
        )
    return None


async def read_body(reader, headers) -> tuple[bytes, str]:
    """Returns a body and whether it looks complete (RFC 9112, section 8)."""
    body = b""
    try:
        if headers.get("transfer-encoding") == "chunked":
            while True:
                size = int(await reader.readuntil(b"\r\n"), 16)
                chunk = await reader.readexactly(size + 2)
                if not size:
                    return body, "complete"
                body += chunk[:-2]
        if "content-length" in headers:
            left = int(headers["content-length"])
            while left:
                data = await reader.read(left)
                if not data:
                    return body, "cut short"
                body += data
                left -= len(data)
            return body, "complete"
        while data := await reader.read(65536):
            body += data
        # The channel was closed in order, without a reset.
        return body, "complete"
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        return body, f"cut short: {error!r}"


async def play(world: d.Deployment, trouble: bool) -> list[str]:
    record = world.record
    for machine in world.machines:
        world.start(machine, bootstrap=True)
    # Like `slot-ask` of the site.
    route = {
        **d.make_route("ask", HOST, "/ask/", SERVICE, "stream", 1),
        "timeout_ms": 6000, "goal_ms": 600, "resumable": False,
        "gap_target_ms": 400,
    }
    document = d.make_document(3, [route], [SERVICE])
    if await world.put_configuration(document, 30.0) is None:
        raise d.CannotRun("no configuration was acknowledged at the start")
    servers = [
        StreamServer(world, f"i-{n}", SERVICE, f"{world.subnet}.3.{n + 1}",
                     d.ZONES[n % 3], slots=64)
        for n in range(SERVERS)
    ]
    # The site's servers take up to 360 channels, and 64 requests at once.
    for server in servers[: round(GARBLED_SHARE * SERVERS)]:
        server.garbles = True
    for server in servers:
        await server.start()
    await world.wait_until_ready()
    await asyncio.sleep(1.5)
    # All streams run for 2.8 s; the disruption comes in their middle.
    tasks = [
        asyncio.create_task(
            read_stream(record, n, world.fronts[n % len(world.fronts)])
        )
        for n in range(CLIENTS)
    ]
    await asyncio.sleep(EVENTS * EVENT_SECONDS / 2)
    if trouble:
        for front in world.fronts[: int(KILLED_SHARE * len(world.fronts))]:
            world.kill(front)
    breaches = [breach for breach in await asyncio.gather(*tasks) if breach]
    begun = sum(len(server.arrivals) for server in servers)
    record(f"check: {begun} of {CLIENTS} streams begun, {len(breaches)} wrong")
    for server in servers:
        await server.stop()
    if begun < CLIENTS / 2:
        raise d.CannotRun(f"only {begun} streams were begun")
    return breaches


if __name__ == "__main__":
    sys.exit(d.run_case(Path(__file__).resolve().parent, play))
