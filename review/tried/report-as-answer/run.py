"""A client gets a server's report as the answer to its request."""

import asyncio
import json
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "common"))

import deployment as d

HOST = "ficu95.example"
SERVICE = "msaidizi"
SEED = 1
# The dose of `garble` with `extra late` in the site file: this share of the
# servers also send a second answer to this share of their requests, for 5 s.
# Here each round is such a time, of about a second.
GARBLED_SHARE = 0.6
GARBLED_ANSWERS = 0.03
SERVERS = 5
ROUNDS = 8
REQUESTS_PER_ROUND = 80
EVENTS = 3
# Time that a server takes for a report, for which the pages name none, and for
# an event of a stream.
REPORT_SECONDS = 0.005
EVENT_SECONDS = 0.01


class StreamServer(d.PlainServer):
    """A sound server that answers with streams of events.

    With `garbles` it is faulty as PROTOCOL.md allows: some of its answers are
    sent a second time, late, in the place where the next one is due.
    """

    def __init__(self, world, name, service, ip, zone, version, rng):
        super().__init__(world, name, service, ip, zone, slots=64)
        self.version = version
        self.born = int(time.time() * 1000)
        self.garbles = False
        self._rng = rng
        self.surplus = 0

    def beat_body(self) -> dict:
        return {**super().beat_body(), "version": self.version,
                "born": self.born}

    async def _serve(self, reader, writer) -> None:
        surplus = b""
        try:
            while True:
                first, headers, _ = await d.read_message(reader)
                identifier = headers.get("request-id", "")
                if surplus:
                    writer.write(surplus)
                    await writer.drain()
                    surplus = b""
                    self._record(
                        f"server {self.name}: sent a second answer late, "
                        f"before the answer to: {first} {identifier}"
                    )
                path = first.split()[1]
                if path == "/ridgesill/report":
                    await asyncio.sleep(REPORT_SECONDS)
                    body = json.dumps({
                        "stage": "both", "models": [], "busy_slots": False,
                        "sequence": 0, "queued_requests": 0,
                        "running_requests": 0, "kv_cache_used": 0,
                        "kv_cache_total": 90000, "handle_count": 0,
                        "born": self.born,
                    }).encode()
                    writer.write(
                        b"HTTP/1.1 200 OK\r\nContent-Type: application/json"
                        b"\r\nContent-Length: %d\r\n\r\n" % len(body) + body
                    )
                    await writer.drain()
                    self._record(f"server {self.name}: {first}: 200")
                    continue
                answer = await self._answer(identifier, writer)
                self.arrivals.append((time.monotonic(), identifier, True))
                self._record(f"server {self.name}: {first} {identifier}: 200")
                if self.garbles and self._rng.random() < GARBLED_ANSWERS:
                    surplus = answer
                    self.surplus += 1
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, identifier: str, writer) -> bytes:
        """Sends a stream; returns all of it."""
        parts = [
            (
                f"HTTP/1.1 200 OK\r\nRequest-Id: {identifier}\r\n"
                f"Server-Stamp: {self.name}.{identifier}\r\n"
                "Content-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n\r\n"
            ).encode()
        ]
        for number in range(1, EVENTS + 1):
            event = f"id: {number}\ndata: {identifier} {number}\n\n".encode()
            parts.append(b"%x\r\n%s\r\n" % (len(event), event))
        parts.append(b"0\r\n\r\n")
        writer.write(parts[0])
        for part in parts[1:]:
            await asyncio.sleep(EVENT_SECONDS)
            writer.write(part)
            await writer.drain()
        return b"".join(parts)


async def send(world, record, number, path, kept):
    """Sends one request; returns a breach, or None."""
    identifier = f"q{number:06d}"
    front = world.fronts[number % len(world.fronts)]
    reader = writer = None
    try:
        async with asyncio.timeout(5.0):
            if kept[number % len(kept)] is not None:
                reader, writer = kept[number % len(kept)]
            else:
                reader, writer = await asyncio.open_connection(
                    front.ip, d.FRONT_PORT
                )
            kept[number % len(kept)] = None
            writer.write(
                (
                    f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\n"
                    f"Request-Id: {identifier}\r\nRequest-Deadline: 5000\r\n"
                    "Content-Length: 2\r\n\r\n{}"
                ).encode()
            )
            first, headers, body = await d.read_message(reader)
    except (OSError, asyncio.IncompleteReadError, TimeoutError,
            ValueError) as error:
        record(f"client: POST {path} {identifier}: {error!r}")
        if writer is not None:
            writer.close()
        return None
    if headers.get("connection", "").lower() == "close":
        writer.close()
    else:
        kept[number % len(kept)] = (reader, writer)
    status = int(first.split()[1])
    record(
        f"client: POST {path} {identifier} to {front.name}: {status} "
        f"stamp={headers.get('server-stamp', 'none')} "
        f"body={body[:60]!r}"
    )
    if not 200 <= status < 300:
        return None
    wanted = "".join(
        f"id: {n}\ndata: {identifier} {n}\n\n" for n in range(1, EVENTS + 1)
    ).encode()
    stamp = headers.get("server-stamp", "")
    if body == wanted and stamp.endswith(f".{identifier}"):
        return None
    return (
        f"MIXED: {identifier} to {front.name} got {status} with the stamp "
        f"{stamp or 'none'!r} and the body {body[:80]!r}"
    )


async def play(world: d.Deployment, trouble: bool) -> list[str]:
    record = world.record
    rng = random.Random(SEED)
    for machine in world.machines:
        world.start(machine, bootstrap=True)
    routes = [
        # Like `slot-ask` and `slot-queue` of the site.
        {**d.make_route("ask", HOST, "/ask/", SERVICE, "stream", 1),
         "timeout_ms": 6000, "goal_ms": 600, "resumable": False,
         "gap_target_ms": 400},
        {**d.make_route("queue", HOST, "/queue/", SERVICE, "stream", 2),
         "timeout_ms": 12000, "goal_ms": 1000, "resumable": True,
         "gap_target_ms": 400},
    ]
    document = d.make_document(3, routes, [SERVICE])
    if await world.put_configuration(document, 30.0) is None:
        raise d.CannotRun("no configuration was acknowledged at the start")
    # A release is under way: servers run two versions of their software.
    servers = [
        StreamServer(world, f"i-{n}", SERVICE, f"{world.subnet}.3.{n + 1}",
                     d.ZONES[n % 3], "v1" if n % 2 else "v2", rng)
        for n in range(SERVERS)
    ]
    for server in servers:
        await server.start()
    await world.wait_until_ready()
    await asyncio.sleep(1.5)
    faulty = servers[: round(GARBLED_SHARE * SERVERS)] if trouble else []
    kept = [None] * REQUESTS_PER_ROUND
    number = 0
    breaches = []
    served = 0
    for _ in range(ROUNDS):
        for server in faulty:
            server.garbles = True
        for path in ("/ask/x", "/queue/x"):
            tasks = []
            for _ in range(REQUESTS_PER_ROUND):
                tasks.append(send(world, record, number, path, kept))
                number += 1
            found = await asyncio.gather(*tasks)
            breaches += [breach for breach in found if breach]
            await asyncio.sleep(0.1)
        for server in faulty:
            server.garbles = False
        # Idle channels to servers are closed after some seconds.
        await asyncio.sleep(4.5)
    served = sum(len(server.arrivals) for server in servers)
    surplus = sum(server.surplus for server in servers)
    record(
        f"check: {number} requests sent, {served} run, {surplus} second "
        f"answers, {len(breaches)} wrong answers"
    )
    for server in servers:
        await server.stop()
    if served < number / 2:
        raise d.CannotRun(f"only {served} of {number} requests ran")
    return breaches


if __name__ == "__main__":
    sys.exit(d.run_case(Path(__file__).resolve().parent, play))
