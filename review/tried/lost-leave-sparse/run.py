"""Servers with little traffic leave; the acknowledging machine is killed.

As `tried/lost-leave`, but the servers say `Server-Leaving: 1` in all answers
from their leave on, and each gets a request only every six seconds or so.
Eight services of two servers each; one server of each leaves.
"""

import asyncio
import itertools
import os
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "common"))

import deployment as d  # noqa: E402

DRAIN_SECONDS = d.BOUNDS["drain_ms"] / 1000
CONTACT_SECONDS = d.BOUNDS["contact_ms"] / 1000
RESTART_SECONDS = 0.5
KILL_AFTER = "0.004"
SERVES_ON_SECONDS = 9.0
REQUEST_SECONDS = 1.2
SERVICES = [f"service-{n}" for n in range(8)]


class LeavingServer(d.PlainServer):
    """A server that sends its leave first and then says so in its answers."""

    acked_at = 0.0
    acked_by = ""
    leaves = False

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                first, headers, _ = await d.read_message(reader)
                identifier = headers.get("request-id", "")
                self.arrivals.append((time.monotonic(), identifier, True))
                await asyncio.sleep(self.work_seconds)
                leaving = "Server-Leaving: 1\r\n" if self.leaves else ""
                body = f"{self.name} {identifier}".encode()
                writer.write(
                    (
                        f"HTTP/1.1 200 OK\r\nRequest-Id: {identifier}\r\n"
                        f"Server-Stamp: {self.name}.{identifier}\r\n{leaving}"
                        f"Content-Length: {len(body)}\r\n\r\n"
                    ).encode()
                    + body
                )
                await writer.drain()
                self._record(
                    f"server {self.name}: {first} {identifier}: 200"
                    + (" leaving" if leaving else "")
                )
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def leave(self) -> None:
        """Stops the status reports, and sends the leave until a 2xx."""
        self._task.cancel()
        self.leaves = True
        until = time.monotonic() + 3
        while time.monotonic() < until:
            answer, address = await self._call_control(
                f"/ridgesill/Instances.Leave/{self.name}", b""
            )
            if answer is not None:
                self.acked_at = time.monotonic()
                self.acked_by = address.partition(":")[0]
                self._record(f"server {self.name}: Leave: 200 by {address}")
                return
        raise d.CannotRun("a leave wasn't acknowledged")


async def send_requests(deployment, front, sent: dict[str, float]) -> None:
    """Sends requests to a front, each on a new channel, until cancelled."""
    for number in itertools.count():
        identifier = f"{front.name}-{number}"
        service = random.randrange(len(SERVICES))
        sent[identifier] = time.monotonic()
        writer = None
        try:
            async with asyncio.timeout(1.5):
                reader, writer = await asyncio.open_connection(
                    front.ip, d.FRONT_PORT
                )
                writer.write(
                    f"GET /s{service}/1 HTTP/1.1\r\nHost: book.example\r\n"
                    f"Request-Id: {identifier}\r\n"
                    "Request-Deadline: 1000\r\n\r\n".encode()
                )
                first, headers, _ = await d.read_message(reader)
            deployment.record(
                f"client: {identifier}: {first.split()[1]} "
                f"{headers.get('server-stamp', '')}"
            )
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            deployment.record(f"client: {identifier}: {error!r}")
        finally:
            if writer is not None:
                writer.close()
        await asyncio.sleep(REQUEST_SECONDS * random.uniform(0.5, 1.5))


async def play(deployment: d.Deployment, trouble: bool) -> list[str]:
    servers = [
        LeavingServer(deployment, f"i-{n}-{k}", service,
                      f"{deployment.subnet}.3.{2 * n + k + 1}", d.ZONES[n % 3])
        for n, service in enumerate(SERVICES)
        for k in (0, 1)
    ]
    for machine in deployment.machines:
        deployment.start(machine, bootstrap=True)
    for server in servers:
        await server.start()
    routes = [
        d.make_route(f"r-{n}", "book.example", f"/s{n}/", service)
        for n, service in enumerate(SERVICES)
    ]
    document = d.make_document(1, routes, SERVICES)
    if await deployment.put_configuration(document, 20) is None:
        raise d.CannotRun("the configuration wasn't taken")
    await deployment.wait_until_ready()
    await asyncio.sleep(6)
    sent: dict[str, float] = {}
    clients = [
        asyncio.create_task(send_requests(deployment, front, sent))
        for front in deployment.fronts
    ]
    await asyncio.sleep(4)
    leaving = servers[1::2]
    await asyncio.gather(*[server.leave() for server in leaving])
    acked_at = max(server.acked_at for server in leaving)
    acked_by = [m for m in deployment.controls if m.ip == leaving[0].acked_by][0]
    in_touch_from = acked_at
    if trouble:
        await asyncio.sleep(float(os.environ.get("DELAY", KILL_AFTER)))
        deployment.kill(acked_by)
        acked_by.process.wait()
        await asyncio.sleep(RESTART_SECONDS)
        deployment.start(acked_by, bootstrap=False)
        in_touch_from = time.monotonic() + CONTACT_SECONDS
    await asyncio.sleep(
        max(acked_at + SERVES_ON_SECONDS - time.monotonic(), 0)
    )
    for client in clients:
        client.cancel()
    await asyncio.gather(*clients, return_exceptions=True)
    breaches = []
    for server in leaving:
        late = [
            at - server.acked_at
            for at, identifier, _ in server.arrivals
            if at > server.acked_at + DRAIN_SECONDS
            and sent.get(identifier, 0.0) > in_touch_from
        ]
        if late:
            breaches.append(
                f"DRAIN: {len(late)} requests that fronts in touch took from "
                f"clients reached {server.name} {late[0]:.2f} to "
                f"{late[-1]:.2f} s after its leave was acknowledged"
            )
    for server in servers:
        await server.stop()
    return breaches


if __name__ == "__main__":
    sys.exit(d.run_case(Path(__file__).parent, play, controls=5, fronts=3))
