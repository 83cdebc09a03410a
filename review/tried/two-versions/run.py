"""Streams go on at another software version than the one that began them.

The servers of a service are upgraded in place, one after another: each ends,
and starts again under its identifier and at its address with the next software
version. With trouble, the first status report of a new start comes late.
TROUBLE=0 does the same, and the reports come at once.
"""

import asyncio
import json
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1] / "common"))

import deployment as d  # noqa: E402

HOST = "ficu95.example"
SERVICE = "msaidizi"
SERVERS = 10
CLIENTS = 320
# The dose of `release` that `fleetbench kinds` names: this share of the
# servers, one at a time, with this pause.
UPGRADED_SHARE = 0.5
GAP_SECONDS = 1.0
# From the end of a server to its next start.
DOWN_SECONDS = 0.3
# PROTOCOL.md: "A status report may come seconds late."
LATE_SECONDS = 4.0
# Events of a stream, at least and at most; the request names how many.
EVENTS = (10, 50)
EVENT_SECONDS = 0.05
# RULES: more than this many streams of two versions break the rule.
ALLOWED = 2


class StreamServer(d.PlainServer):
    """A sound server that writes its software version into each event."""

    def __init__(self, world, name, ip, zone):
        super().__init__(world, name, SERVICE, ip, zone, slots=64)
        self.version = "v1"
        self.born = int(time.time() * 1000)
        self._writers = set()

    def beat_body(self) -> dict:
        return {**super().beat_body(), "version": self.version,
                "born": self.born}

    async def upgrade(self, version: str, late: float) -> None:
        """Ends, and starts again under the same name with other software."""
        self._task.cancel()
        self._listener.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self._record(f"server {self.name}: ended, had {self.version}")
        await asyncio.sleep(DOWN_SECONDS)
        self.version = version
        self.born = int(time.time() * 1000)
        self._sequence = 0
        self.beat_address = ""
        self._listener = await asyncio.start_server(
            self._serve, self.ip, self.port
        )
        self._record(f"server {self.name}: started with {version}")
        self._task = asyncio.create_task(self._report(late))

    async def _report(self, late: float) -> None:
        await asyncio.sleep(late)
        self._record(f"server {self.name}: first report of this start")
        await self._send_beats()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        version, born = self.version, self.born
        try:
            while True:
                first, headers, _ = await d.read_message(reader)
                identifier = headers.get("request-id", "")
                if headers.get("expect-instance", self.name) != self.name:
                    writer.write(
                        b"HTTP/1.1 421 Misdirected Request\r\n"
                        b"Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
                    )
                elif first.split()[1] == "/ridgesill/report":
                    body = json.dumps({
                        "stage": "both", "models": [], "busy_slots": False,
                        "sequence": 0, "queued_requests": 0,
                        "running_requests": 0, "kv_cache_used": 0,
                        "kv_cache_total": 90000, "handle_count": 0,
                        "born": born,
                    }).encode()
                    writer.write(
                        b"HTTP/1.1 200 OK\r\nContent-Type: application/json"
                        b"\r\nContent-Length: %d\r\n\r\n" % len(body) + body
                    )
                else:
                    last = int(headers.get("last-event-id") or 0)
                    events = int(first.split()[1].rpartition("/")[2])
                    self._record(
                        f"server {self.name} {version}: {identifier} from "
                        f"event {last + 1}"
                    )
                    await self._stream(
                        writer, identifier, range(last + 1, events + 1),
                        version,
                    )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _stream(self, writer, identifier, numbers, version) -> None:
        writer.write(
            (
                f"HTTP/1.1 200 OK\r\nRequest-Id: {identifier}\r\n"
                f"Server-Stamp: {self.name}.{identifier}\r\n"
                "Content-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n\r\n"
            ).encode()
        )
        for number in numbers:
            await asyncio.sleep(EVENT_SECONDS)
            event = f"id: {number}\ndata: {version}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


async def read_streams(world, name, streams, until, rng) -> None:
    """Reads one stream after another, each over one answer."""
    count = 0
    while time.monotonic() < until:
        count += 1
        identifier = f"{name}-{count}"
        front = world.fronts[(int(name[1:]) + count) % len(world.fronts)]
        writer = None
        data = b""
        events = rng.randint(*EVENTS)
        try:
            async with asyncio.timeout(9.0):
                reader, writer = await asyncio.open_connection(
                    front.ip, d.FRONT_PORT
                )
                writer.write(
                    (
                        f"POST /queue/{events} HTTP/1.1\r\nHost: {HOST}\r\n"
                        f"Request-Id: {identifier}\r\n"
                        "Request-Deadline: 8000\r\nConnection: close\r\n"
                        "Content-Length: 2\r\n\r\n{}"
                    ).encode()
                )
                while part := await reader.read(65536):
                    data += part
        except (OSError, TimeoutError):
            pass
        finally:
            if writer is not None:
                writer.close()
        versions = [
            line[6:].strip().decode()
            for line in data.split(b"\n") if line.startswith(b"data: ")
        ]
        streams.append(
            (identifier, front.name, versions, len(versions) == events)
        )
        world.record(
            f"client: {identifier} to {front.name}: "
            f"{data.split(b' ')[1:2]} {len(versions)} events of "
            f"{sorted(set(versions))}"
        )
        if not versions:
            await asyncio.sleep(0.3)


async def play(world: d.Deployment, trouble: bool) -> list[str]:
    for machine in world.machines:
        world.start(machine, bootstrap=True)
    route = {
        **d.make_route("queue", HOST, "/queue/", SERVICE, "stream", 2),
        "timeout_ms": 12000, "goal_ms": 1000, "resumable": True,
        "gap_target_ms": 400,
    }
    document = d.make_document(3, [route], [SERVICE])
    document["services"][0]["connection_limit"] = 360
    if await world.put_configuration(document, 30.0) is None:
        raise d.CannotRun("no configuration was acknowledged at the start")
    servers = [
        StreamServer(world, f"i-{n}", f"{world.subnet}.3.{n + 1}",
                     d.ZONES[n % 3])
        for n in range(SERVERS)
    ]
    for server in servers:
        await server.start()
    await world.wait_until_ready()
    await asyncio.sleep(2.0)
    streams = []
    until = time.monotonic() + 18.0
    clients = [
        asyncio.create_task(read_streams(
            world, f"c{n}", streams, until, random.Random(n)
        ))
        for n in range(CLIENTS)
    ]
    await asyncio.sleep(5.0)
    upgrades = []
    for server in servers[: round(UPGRADED_SHARE * SERVERS)]:
        upgrades.append(asyncio.create_task(
            server.upgrade("v2", LATE_SECONDS if trouble else 0.0)
        ))
        await asyncio.sleep(GAP_SECONDS)
    await asyncio.gather(*upgrades, *clients)
    for server in servers:
        await server.stop()
    mixed = [s for s in streams if len(set(s[2])) > 1]
    whole = sum(s[3] for s in streams)
    world.record(
        f"check: {len(streams)} streams, {whole} whole, {len(mixed)} of two "
        f"versions; {ALLOWED} are allowed"
    )
    print(f"{len(mixed)} of {len(streams)} streams have two versions")
    if whole < len(streams) / 2:
        raise d.CannotRun(f"only {whole} of {len(streams)} streams were whole")
    if len(mixed) <= ALLOWED:
        return []
    return [
        f"ORDER: {identifier} at {front}: {versions.count('v1')} events of v1 "
        f"and {versions.count('v2')} of v2 in one answer, the first of "
        f"{versions[0]}"
        for identifier, front, versions, _ in mixed
    ]


if __name__ == "__main__":
    sys.exit(d.run_case(FOLDER, play))
