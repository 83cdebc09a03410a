"""A front that is in touch has a request handled by a configuration of before.

One front is cut off from the servers, so that other fronts serve its clients.
Another front freezes for some seconds, and the configuration moves the route to
another service meanwhile. What the first front sent on is handled by the second
one's old configuration when it wakes.

TROUBLE=0 doesn't freeze the second front.
"""

import asyncio
import signal
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "common"))

import deployment as d

HOST = "ficu95.example"
OLD_SERVICE, NEW_SERVICE = "hifadhi-api", "hifadhi-two"
# How long the second front is frozen (`node_freeze`: 3.5 s), and when the
# configuration is sent, from the start of the freeze, in seconds.
FROZEN_SECONDS = 3.5
CHANGE_AFTER_SECONDS = 0.1
REQUESTS_PER_SECOND = 100.0


class Link:
    """The way of one front to one server, which can be cut."""

    # A backlog of 0 still admits one connection.
    FILLERS = 3

    def __init__(self, host: str, target: tuple[str, int]) -> None:
        self._address = (host, target[1])
        self._target = target
        self._writers = set()
        self._silent = []

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, *self._address)

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            other_reader, other = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        self._writers.add(other)
        await asyncio.gather(
            self._pass_on(reader, other), self._pass_on(other_reader, writer)
        )

    async def _pass_on(self, reader, writer) -> None:
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.close()

    def cut(self) -> None:
        """Resets all channels; new ones get no answer."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind(self._address)
        listening.listen(0)
        self._silent = [listening]
        for _ in range(self.FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self._address)
            self._silent.append(filler)

    def close(self) -> None:
        for each in self._silent:
            each.close()


class Server(d.PlainServer):
    def __init__(self, world, name, service, ip, zone, port) -> None:
        super().__init__(world, name, service, ip, zone)
        self.port = port
        self.ran: dict[str, float] = {}

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                first, headers, _ = await d.read_message(reader)
                identifier = headers.get("request-id", "")
                self.ran.setdefault(identifier, time.monotonic())
                self._record(f"server {self.name}: {first} {identifier}")
                await asyncio.sleep(self.work_seconds)
                body = f"{self.name} {identifier}".encode()
                writer.write(
                    (
                        f"HTTP/1.1 200 OK\r\nRequest-Id: {identifier}\r\n"
                        f"Server-Stamp: {self.name}.{identifier}\r\n"
                        f"Content-Length: {len(body)}\r\n\r\n"
                    ).encode()
                    + body
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


async def send(world, front, number: int, sent: dict) -> None:
    identifier = f"q{number:06d}"
    sent[identifier] = time.monotonic()
    writer = None
    status = "none"
    try:
        async with asyncio.timeout(1.5):
            reader, writer = await asyncio.open_connection(
                front.ip, d.FRONT_PORT
            )
            writer.write(
                (
                    f"GET /status/x HTTP/1.1\r\nHost: {HOST}\r\n"
                    f"Request-Id: {identifier}\r\nRequest-Deadline: 1000\r\n"
                    "\r\n"
                ).encode()
            )
            first, _, body = await d.read_message(reader)
            status = f"{first.split()[1]} {body.decode()!r}"
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        pass
    finally:
        if writer is not None:
            writer.close()
    world.record(f"client: GET {identifier} to {front.name}: {status}")


async def send_regularly(world, front, sent) -> None:
    tasks = set()
    while True:
        task = asyncio.create_task(send(world, front, len(sent), sent))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1.0 / REQUESTS_PER_SECOND)


def make_document(version: int, service: str) -> dict:
    routes = [d.make_route("status", HOST, "/status/", service)]
    return d.make_document(version, routes, [OLD_SERVICE, NEW_SERVICE])


async def play(world: d.Deployment, trouble: bool) -> list[str]:
    record = world.record
    # Both are in one zone: a front first asks those of its own.
    cut_front, frozen_front = world.fronts[0], world.fronts[3]
    host = f"{world.subnet}.9.1"
    cut_front.environment["RIDGESILL_UPSTREAM_HOST"] = host
    for machine in world.machines:
        world.start(machine, bootstrap=True)
    servers = [
        Server(world, f"i-{n}", OLD_SERVICE if n < 2 else NEW_SERVICE,
               f"{world.subnet}.3.{n + 1}", d.ZONES[n % 3], 8080 + n)
        for n in range(4)
    ]
    links = [Link(host, (server.ip, server.port)) for server in servers]
    for link in links:
        await link.start()
    first = make_document(3, OLD_SERVICE)
    if await world.put_configuration(first, 30.0) is None:
        raise d.CannotRun("no configuration was acknowledged at the start")
    for server in servers:
        await server.start()
    await world.wait_until_ready()
    sent: dict[str, float] = {}
    sending = asyncio.create_task(send_regularly(world, cut_front, sent))
    await asyncio.sleep(4.0)
    for link in links:
        link.cut()
    record(f"platform: {cut_front.name} is cut off from the servers")
    await asyncio.sleep(4.0)
    if trouble:
        frozen_front.process.send_signal(signal.SIGSTOP)
        record(f"platform: SIGSTOP {frozen_front.name}")
    began_at = time.monotonic()
    await asyncio.sleep(CHANGE_AFTER_SECONDS)
    second = make_document(7, NEW_SERVICE)
    confirmed_at = await world.put_configuration(second, 3.0)
    if confirmed_at is None:
        raise d.CannotRun("the change was not acknowledged")
    await asyncio.sleep(began_at + FROZEN_SECONDS - time.monotonic())
    if trouble:
        frozen_front.process.send_signal(signal.SIGCONT)
        record(f"platform: SIGCONT {frozen_front.name}")
    await asyncio.sleep(3.0)
    sending.cancel()
    await asyncio.sleep(1.5)
    for server in servers:
        await server.stop()
    for link in links:
        link.close()
    late_from = confirmed_at + d.BOUNDS["config_ms"] / 1000
    old_runs = {
        identifier: server.name
        for server in servers[:2]
        for identifier in server.ran
        if sent[identifier] > late_from
    }
    new_runs = sum(
        sent[identifier] > late_from
        for server in servers[2:]
        for identifier in server.ran
    )
    record(
        f"check: of the requests sent later than config_ms after the "
        f"confirmation, {len(old_runs)} ran at the old service and {new_runs} "
        f"at the new one"
    )
    if not new_runs:
        raise d.CannotRun("the new service ran nothing")
    return [
        f"CONFIG: {identifier}, sent to {cut_front.name} "
        f"{sent[identifier] - confirmed_at:.2f} s after the confirmation, ran "
        f"at {name} of the old service"
        for identifier, name in old_runs.items()
    ]


if __name__ == "__main__":
    sys.exit(d.run_case(Path(__file__).resolve().parent, play))
