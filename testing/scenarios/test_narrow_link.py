"""A front whose link becomes narrow, on real processes."""

import asyncio
import time
from collections.abc import AsyncIterator, Callable
from pathlib import Path

import pytest

from testing.app.front_world import Client
from testing.platform_world import ROUTE_HOST
from testing.processes import free_address
from testing.readers_world import ReadersWorld, make_document
from testing.soak.proxy import FaultyProxy, NarrowLink

pytestmark = pytest.mark.process

# Bandwidth that the settings state, and what is left of it, in Mbit/s.
_STATED_MBPS = 5.0
_NARROW_BYTES_PER_SECOND = 4e6 / 8
# Clients of long answers, which ask for 200 KB a second each.
_CLIENTS = 20
_DETECTED_SECONDS = 0.5
_ENDED_SECONDS = 1.0
# Until a configuration is in force at a front, in seconds.
_CONFIGURED_SECONDS = 2.0
_PROBES = 20


class NarrowWorld:
    """A front whose clients and control node are behind one link.

    Args:
        folder: folder for settings, disks and logs.
    """

    def __init__(self, folder: Path) -> None:
        self.readers = ReadersWorld(folder, _STATED_MBPS)
        self.deployment = self.readers.deployment
        self.link = NarrowLink()
        control = self.deployment.controls[0]
        peers = f"{control.ip}:{self.deployment.peers_port}"
        behind = f"{control.ip}:{free_address().rpartition(':')[2]}"
        control.environment["RIDGESILL_PEERS_LISTEN"] = behind
        front = self.deployment.client_address(self.readers.front)
        self._client_side = FaultyProxy(
            free_address(), front, answer_link=self.link
        )
        self._control_side = FaultyProxy(peers, behind, request_link=self.link)
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Starts all processes, and the clients once the front serves."""
        await self._control_side.start()
        await self._client_side.start()
        await self.readers.start()
        self._tasks = [
            asyncio.create_task(self._ask_repeatedly()) for _ in range(_CLIENTS)
        ]

    def stop(self) -> None:
        """Stops everything."""
        for task in self._tasks:
            task.cancel()
        self.readers.stop()
        self._client_side.stop()
        self._control_side.stop()

    async def _ask_repeatedly(self) -> None:
        while True:
            try:
                await self.ask("{}:{}".format(*self._client_side.address))
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.1)

    async def ask(self, address: str = "", path: str = "/slow/1") -> int:
        """Returns the status of an answer, once it has been read.

        Args:
            address: where to send the request; the front itself if empty.
            path: of the request.
        """
        address = address or self.deployment.client_address(self.readers.front)
        host, _, port = address.rpartition(":")
        client = Client(*await asyncio.open_connection(host, int(port)))
        try:
            answer = await client.ask(
                path, host=ROUTE_HOST, request_deadline="60000"
            )
        finally:
            client.close()
        return answer.status

    def read_log(self) -> str:
        """Returns the front's log."""
        path = self.readers.front.settings_file.with_suffix(".log")
        return path.read_text()

    async def wait_for_line(self, kind: str, seconds: float) -> None:
        """Waits for one more line of a kind in the front's log."""
        count = self.read_log().count(kind)
        await _wait_until(lambda: self.read_log().count(kind) > count, seconds)


async def _wait_until(condition: Callable[[], bool], seconds: float) -> None:
    deadline = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < deadline, f"not within {seconds} s"
        await asyncio.sleep(0.02)


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[NarrowWorld]:
    """Yields a front under load behind a link that isn't narrow yet."""
    made = NarrowWorld(tmp_path)
    try:
        await made.start()
        # A front refuses nothing in its first seconds.
        await asyncio.sleep(2.5)
        yield made
    finally:
        made.stop()


async def test_a_narrow_link_refuses_new_requests_only(
    world: NarrowWorld,
) -> None:
    """Guards against answers that all get late at a front with a slow link."""
    assert "front:full" not in world.read_log()
    world.link.bytes_per_second = _NARROW_BYTES_PER_SECOND
    await world.wait_for_line('"front:full"', _DETECTED_SECONDS)
    statuses = await asyncio.gather(
        *(world.ask(path="/fast/1") for _ in range(_PROBES))
    )
    assert statuses.count(503) >= _PROBES / 4
    await world.deployment.put_configuration(make_document(2))
    await world.wait_for_line('"front:configuration"', _CONFIGURED_SECONDS)
    assert "fleet:owner_lost" not in world.read_log()
    assert "front:has_room" not in world.read_log()
    world.link.bytes_per_second = float("inf")
    await world.wait_for_line('"front:has_room"', _ENDED_SECONDS)
