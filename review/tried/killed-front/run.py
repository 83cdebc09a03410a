"""A front is killed while it passes on answers that have no length.

The stand-in for the runners answers a stream without a length: the answer
finishes when its channel does, as the pages allow. It sends an event every
100 ms. The clients note how each answer ended.
"""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "common"))

import deployment as d  # noqa: E402

EVENTS = 20
EVENT_SECONDS = 0.1
CLIENTS = 8
# The kill comes this long after the requests were sent.
KILL_AFTER_SECONDS = 1.0


class UnframedServer(d.PlainServer):
    """A sound server whose streams have neither a length nor chunks."""

    def __init__(self, *arguments, **options) -> None:
        super().__init__(*arguments, **options)
        # Whole bodies by request id, and whether the last event was written.
        self.bodies: dict[str, bytes] = {}
        self.finished: set[str] = set()

    async def _serve(self, reader, writer) -> None:
        try:
            first, headers, _ = await d.read_message(reader)
            identifier = headers.get("request-id", "")
            if first.startswith("GET "):
                writer.write(
                    b"HTTP/1.1 200 OK\r\nInstance-Id: "
                    + self.name.encode()
                    + b"\r\nContent-Length: 0\r\n\r\n"
                )
                await writer.drain()
                return
            if headers.get("expect-instance", self.name) != self.name:
                writer.write(
                    b"HTTP/1.1 421 Misdirected Request\r\nNot-Run: 1\r\n"
                    b"Request-Id: " + identifier.encode()
                    + b"\r\nContent-Length: 0\r\n\r\n"
                )
                await writer.drain()
                return
            self.arrivals.append((time.monotonic(), identifier, True))
            events = [
                f"id: {n}\ndata: {identifier} {n}\n\n".encode()
                for n in range(1, EVENTS + 1)
            ]
            self.bodies[identifier] = b"".join(events)
            self._record(f"server {self.name}: {first} {identifier}: runs")
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                b"Connection: close\r\nRequest-Id: " + identifier.encode()
                + b"\r\nServer-Stamp: " + f"{self.name}.{identifier}".encode()
                + b"\r\n\r\n"
            )
            for number, event in enumerate(events, 1):
                writer.write(event)
                await writer.drain()
                if number < EVENTS:
                    await asyncio.sleep(EVENT_SECONDS)
            self.finished.add(identifier)
            self._record(f"server {self.name}: {identifier}: all events sent")
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


async def ask(front: d.Machine, identifier: str) -> dict:
    """Sends one request; returns its status, headers, body and its end."""
    answer = {"id": identifier, "status": 0, "headers": {}, "body": b"",
              "end": "no answer"}
    writer = None
    try:
        reader, writer = await asyncio.open_connection(front.ip, d.FRONT_PORT)
        writer.write(
            b"POST /ask/1 HTTP/1.1\r\nHost: book.example\r\n"
            b"Request-Id: " + identifier.encode()
            + b"\r\nRequest-Deadline: 6000\r\nContent-Length: 0\r\n\r\n"
        )
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head[:-4].decode("latin-1").split("\r\n")
        answer["status"] = int(first.split()[1])
        for line in lines:
            name, _, value = line.partition(":")
            answer["headers"][name.strip().lower()] = value.strip()
        answer["end"] = "open"
        while data := await reader.read(65536):
            answer["body"] += data
        answer["end"] = "closed"
    except asyncio.IncompleteReadError:
        pass
    except OSError as error:
        answer["end"] = f"reset ({error.errno})"
    finally:
        if writer is not None:
            writer.close()
    return answer


def looks_whole(answer: dict) -> bool:
    """Whether nothing tells the client that its answer was broken off."""
    if answer["status"] != 200 or answer["end"] != "closed":
        return False
    headers = answer["headers"]
    if "content-length" in headers:
        return len(answer["body"]) == int(headers["content-length"])
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return answer["body"].endswith(b"0\r\n\r\n")
    return True


async def play(deployment: d.Deployment, trouble: bool) -> list[str]:
    servers = [
        UnframedServer(deployment, f"i-{n}", "msaidizi",
                       f"{deployment.subnet}.3.{n}", d.ZONES[n - 1])
        for n in (1, 2, 3)
    ]
    for machine in deployment.machines:
        deployment.start(machine, bootstrap=True)
    for server in servers:
        await server.start()
    route = d.make_route("r-ask", "book.example", "/ask/", "msaidizi",
                         kind="stream", attempts=1)
    route.update(timeout_ms=6000, goal_ms=600, resumable=False,
                 session_affinity=False, gap_target_ms=400)
    document = d.make_document(1, [route], ["msaidizi"])
    if await deployment.put_configuration(document, 20) is None:
        raise d.CannotRun("the configuration wasn't taken")
    await deployment.wait_until_ready()
    await asyncio.sleep(4)
    answers = []
    for front in deployment.fronts:
        tasks = [
            asyncio.create_task(ask(front, f"{front.name}-{n}"))
            for n in range(CLIENTS)
        ]
        await asyncio.sleep(KILL_AFTER_SECONDS)
        if trouble:
            deployment.kill(front)
        for answer in await asyncio.gather(*tasks):
            answers.append(answer)
            deployment.record(
                f"client: {answer['id']}: {answer['status']} "
                f"headers={sorted(answer['headers'])} "
                f"bytes={len(answer['body'])} end={answer['end']}"
            )
        if trouble:
            # A process that is killed is started again after a short delay.
            front.process.wait()
            deployment.start(front, bootstrap=False)
            await deployment.wait_until_ready()
    bodies = {k: v for s in servers for k, v in s.bodies.items()}
    for server in servers:
        await server.stop()
    if not trouble:
        served = [a for a in answers if looks_whole(a)]
        if len(served) < len(answers):
            raise d.CannotRun("not all answers came without trouble")
    breaches = []
    for answer in answers:
        body = answer["body"]
        whole = bodies.get(answer["id"], b"")
        chunked = answer["headers"].get("transfer-encoding") == "chunked"
        if looks_whole(answer) and not chunked and body != whole:
            breaches.append(
                f"MIXED: {answer['id']} got {len(body)} of {len(whole)} bytes "
                "with status 200 and the stamp of its server, and its channel "
                "closed without a reset, as after a whole answer"
            )
    return breaches


if __name__ == "__main__":
    sys.exit(d.run_case(Path(__file__).parent, play, controls=3, fronts=2))
