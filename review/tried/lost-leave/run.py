"""Two servers leave; the machine that acknowledged it is killed soon after.

Both servers send `Instances.Leave` to the address that they were told for
their status reports, and get a 200. They serve on for some seconds, as the
pages allow, and send no more status reports. ONE=1 has one server leave, and
DELAY=SECONDS sets when the kill follows the last acknowledgement.
"""

import asyncio
import itertools
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "common"))

import deployment as d  # noqa: E402

DRAIN_SECONDS = d.BOUNDS["drain_ms"] / 1000
CONTACT_SECONDS = d.BOUNDS["contact_ms"] / 1000
# A killed process is started again after a short delay.
RESTART_SECONDS = 0.5
# Between the two servers' calls.
APART_SECONDS = 0.03
# Between the last acknowledgement and the kill, in seconds.
KILL_AFTER = "0.004"
# How long a server serves on after its call was acknowledged.
SERVES_ON_SECONDS = 9.0
REQUEST_SECONDS = 0.04


class LeavingServer(d.PlainServer):
    """A server that never says `draining` and sends its leave first."""

    acked_at = 0.0

    async def leave(self) -> None:
        """Stops the status reports, and sends the leave until a 2xx."""
        self._task.cancel()
        until = time.monotonic() + 3
        while time.monotonic() < until:
            answer, address = await self._call_control(
                f"/ridgesill/Instances.Leave/{self.name}", b""
            )
            if answer is not None:
                self.acked_at = time.monotonic()
                self.acked_by = address.partition(":")[0]
                self._record(
                    f"server {self.name}: Leave: {answer[0]} by {address}"
                )
                return
        raise d.CannotRun("a leave wasn't acknowledged")


async def send_requests(deployment, front, sent: dict[str, float]) -> None:
    """Sends requests to a front, each on a new channel, until cancelled."""
    for number in itertools.count():
        identifier = f"{front.name}-{number}"
        sent[identifier] = time.monotonic()
        try:
            async with asyncio.timeout(1.5):
                reader, writer = await asyncio.open_connection(
                    front.ip, d.FRONT_PORT
                )
                writer.write(
                    b"GET /status/1 HTTP/1.1\r\nHost: book.example\r\n"
                    b"Request-Id: " + identifier.encode()
                    + b"\r\nRequest-Deadline: 1000\r\n\r\n"
                )
                first, headers, _ = await d.read_message(reader)
            deployment.record(
                f"client: {identifier}: {first.split()[1]} "
                f"{headers.get('server-stamp', '')}"
            )
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            deployment.record(f"client: {identifier}: {error!r}")
        finally:
            writer.close()
        await asyncio.sleep(REQUEST_SECONDS)


async def play(deployment: d.Deployment, trouble: bool) -> list[str]:
    servers = [
        LeavingServer(deployment, f"i-{n}", "hifadhi-api",
                      f"{deployment.subnet}.3.{n}", d.ZONES[n % 3])
        for n in (1, 2, 3, 4)
    ]
    for machine in deployment.machines:
        deployment.start(machine, bootstrap=True)
    for server in servers:
        await server.start()
    route = d.make_route("r-status", "book.example", "/status/", "hifadhi-api")
    document = d.make_document(1, [route], ["hifadhi-api"])
    if await deployment.put_configuration(document, 20) is None:
        raise d.CannotRun("the configuration wasn't taken")
    await deployment.wait_until_ready()
    await asyncio.sleep(6)
    sent: dict[str, float] = {}
    clients = [
        asyncio.create_task(send_requests(deployment, front, sent))
        for front in deployment.fronts
    ]
    await asyncio.sleep(2)
    leaving = servers[2:]
    if not os.environ.get("ONE"):
        await leaving[0].leave()
        await asyncio.sleep(APART_SECONDS)
    await leaving[1].leave()
    acked_by = [
        m for m in deployment.controls if m.ip == leaving[1].acked_by
    ][0]
    in_touch_from = leaving[1].acked_at
    if trouble:
        await asyncio.sleep(float(os.environ.get("DELAY", KILL_AFTER)))
        deployment.kill(acked_by)
        acked_by.process.wait()
        await asyncio.sleep(RESTART_SECONDS)
        deployment.start(acked_by, bootstrap=False)
        in_touch_from = time.monotonic() + CONTACT_SECONDS
    await asyncio.sleep(
        max(leaving[1].acked_at + SERVES_ON_SECONDS - time.monotonic(), 0)
    )
    for client in clients:
        client.cancel()
    await asyncio.gather(*clients, return_exceptions=True)
    breaches = []
    for server in leaving:
        if not server.acked_at:
            continue
        late = [
            (at, identifier)
            for at, identifier, was_run in server.arrivals
            if was_run
            and at > server.acked_at + DRAIN_SECONDS
            and sent.get(identifier, 0.0) > in_touch_from
        ]
        if late:
            breaches.append(
                f"DRAIN: {len(late)} requests that fronts in touch took from "
                f"clients reached {server.name} {late[0][0] - server.acked_at:.2f} to "
                f"{late[-1][0] - server.acked_at:.2f} s after its leave was "
                f"acknowledged; drain_ms is {DRAIN_SECONDS * 1000:.0f}"
            )
    for server in servers:
        await server.stop()
    return breaches


if __name__ == "__main__":
    sys.exit(d.run_case(Path(__file__).parent, play, controls=5, fronts=3))
