"""Stand-ins for the servers (runners) behind the system."""

import asyncio
import contextlib
import json
import time

from world import ask, free_port, read_body, read_head


class Runner:
    """A sound server of one service, and its status reports.

    Args:
        record: takes what it gets and runs.
        controls: addresses to which it reports, as (host, port).
        service: the name of its service.
        name: its identifier.
        version: of its software.
        slots: requests that it works on at once.
        models: what it holds, as in its reports; None for a plain service.
    """

    def __init__(self, record, controls, service, name, version="v1",
                 slots=64, models=None):
        self.record, self.controls = record, list(controls)
        self.service, self.name, self.version = service, name, version
        self.slots, self.models = slots, models
        self.address = f"127.0.0.1:{free_port()}"
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.ran = {}
        self._sequence = 0
        self._stamp = 0
        self._running = 0
        self._server = self._beats = None
        self._writers = set()

    async def start(self):
        """Starts to serve and to report."""
        host, port = self.address.split(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        self._beats = asyncio.create_task(self._report_regularly())

    def stop(self):
        """Ends at once."""
        if self._server is not None:
            self._server.close()
            self._beats.cancel()
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()

    async def restart(self, version, report_delay):
        """Starts again under its identifier, at its address, after `stop`.

        Args:
            version: of the software that it has then.
            report_delay: how late its first status report comes, in seconds.
        """
        self.version, self._sequence = version, 0
        self.born = int(time.time() * 1000)
        host, port = self.address.split(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        self._beats = asyncio.create_task(
            self._report_regularly(report_delay))

    # -- status reports ------------------------------------------------

    def describe(self):
        """Returns what it says of itself."""
        said = {
            "service": self.service, "address": self.address, "zone": "njiro",
            "version": self.version, "slots": self.slots, "state": self.state,
            "cold_remaining_ms": 0, "sequence": self._sequence,
            "born": self.born,
        }
        if self.models is not None:
            said |= {"stage": "both", "models": self.models}
        return said

    async def report_once(self):
        """Sends one status report; returns whether it was acknowledged."""
        self._sequence += 1
        body = json.dumps(self.describe()).encode()
        for _ in range(len(self.controls)):
            answer = await ask(
                *self.controls[0], "POST",
                f"/ridgesill/Instances.Heartbeat/{self.name}", body,
                {"Content-Type": "application/json"}, 1.0)
            if answer and 200 <= answer.status < 300:
                return True
            self.controls.append(self.controls.pop(0))
        return False

    async def _report_regularly(self, delay=0.0):
        await asyncio.sleep(delay)
        while True:
            await self.report_once()
            await asyncio.sleep(1.2)

    # -- requests ------------------------------------------------------

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, ValueError
        ):
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers, False)
                method, path, _ = first.split(" ")
                await self.handle(method, path, headers, body, writer)
                await writer.drain()
        self._writers.discard(writer)
        writer.transport.abort()

    async def handle(self, method, path, headers, body, writer):
        """Answers one request; a channel has one at a time."""
        expected = headers.get("expect-instance")
        if expected not in (None, self.name):
            write(writer, 421, {"Instance-Id": self.name}, b"")
        elif path == "/ridgesill/report":
            await asyncio.sleep(0.04)
            write(writer, 200, {"Content-Type": "application/json"},
                  json.dumps(self.report()).encode())
        elif path == "/ridgesill/order":
            write(writer, 409, {}, b"")
        elif path == "/health":
            write(writer, 200, {"Instance-Id": self.name}, b"")
        else:
            await self.run_request(path, headers, writer)

    def report(self):
        """Returns the answer to a question for its state."""
        return {
            "stage": "both", "models": self.models or [], "busy_slots": False,
            "sequence": 0, "queued_requests": 0,
            "running_requests": self._running, "kv_cache_used": 0,
            "kv_cache_total": 232000, "handle_count": 0, "born": self.born,
        }

    def make_stamp(self):
        """Returns the stamp of the next answer."""
        self._stamp += 1
        return f"{self.name}.{self._stamp}"

    async def run_request(self, path, headers, writer):
        """Runs a request and writes its answer."""
        number = headers.get("request-id", "")
        self.ran[number] = self.ran.get(number, 0) + 1
        self.record.add(f"{self.name} runs {number}")
        self._running += 1
        try:
            await self.write_answer(path, headers, writer)
        finally:
            self._running -= 1

    async def write_answer(self, path, headers, writer):
        """Writes a whole answer of a plain service."""
        number = headers.get("request-id", "")
        await asyncio.sleep(0.045)
        write(writer, 200, {"Request-Id": number,
                            "Server-Stamp": self.make_stamp()},
              f"{self.service} {path} {number}".encode())


class StreamRunner(Runner):
    """A model server: it answers with a stream of events."""

    events, pause = 14, 0.02

    def make_event(self, number, event):
        """Returns an event of a stream."""
        return f"id: {event}\ndata: {number} {event}\n\n".encode()

    async def write_answer(self, path, headers, writer):
        """Writes a stream in chunks; goes on after `Last-Event-Id`."""
        number = headers.get("request-id", "")
        last = int(headers.get("last-event-id") or 0)
        stamp = self.make_stamp()
        writer.write(head(200, {
            "Request-Id": number, "Server-Stamp": stamp,
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked"}))
        for event in range(last + 1, self.events + 1):
            await asyncio.sleep(self.pause)
            if writer.is_closing():
                raise ConnectionResetError("the caller has left")
            data = self.make_event(number, event)
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
        writer.write(b"0\r\n\r\n")


def expected_stream(number, events=StreamRunner.events):
    """Returns the whole body of a stream."""
    return "".join(
        f"id: {event}\ndata: {number} {event}\n\n"
        for event in range(1, events + 1)
    ).encode()


def head(status, headers):
    """Returns the head of an answer."""
    lines = [f"HTTP/1.1 {status} {'OK' if status == 200 else 'Other'}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def write(writer, status, headers, body):
    """Writes an answer with a length."""
    writer.write(
        head(status, headers | {"Content-Length": len(body)}) + body)
