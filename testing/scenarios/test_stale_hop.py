"""One of two fronts freezes that serve requests for each other."""

import asyncio
import signal
from collections.abc import AsyncIterator
from pathlib import Path

import attrs
import msgspec
import pytest

from testing.platform_world import ROUTE_HOST, PlatformDeployment, Vm

pytestmark = pytest.mark.process

_CLIENTS = 8
# Long enough for the frozen front's calls to control nodes to time out.
_FROZEN_SECONDS = 3.5
_THAWED_SECONDS = 2.0
_DEADLINE_SECONDS = 6.0
_PAUSE_SECONDS = 0.02
OLD = "/old/"
NEW = "/new/"


def make_document(version: int, prefix: str) -> bytes:
    """Returns a configuration with one route to the upstream."""
    route = {
        "name": "r",
        "host": ROUTE_HOST,
        "prefix": prefix,
        "kind": "safe",
        "timeout_ms": 1000 * _DEADLINE_SECONDS,
        "goal_ms": 200,
        "priority": 0,
        "service": "plain",
        "attempts": 2,
    }
    service = {
        "name": "plain",
        "health_path": "/health",
        "connection_limit": 50,
    }
    document = {"version": version, "routes": [route], "services": [service]}
    return msgspec.json.encode(document)


@attrs.frozen
class Answer:
    """An answer that a client got.

    Attributes:
        path: of the request.
        status: of the answer.
        sent_at: when the request was sent, on the loop's clock.
        answered_at: when its answer was there.
    """

    path: str
    status: int
    sent_at: float
    answered_at: float

    @property
    def version(self) -> int:
        """The configuration that the answer shows; 0 if it shows none."""
        if self.status not in (200, 404):
            return 0
        return 1 if (self.path == OLD) == (self.status == 200) else 2


def find_returns(answers: list[Answer]) -> list[Answer]:
    """Returns answers by version 1 to requests sent after one by version 2."""
    seen_at = min(
        (answer.answered_at for answer in answers if answer.version == 2),
        default=float("inf"),
    )
    return [a for a in answers if a.version == 1 and a.sent_at > seen_at]


class StaleHopWorld:
    """Two fronts, of which the first reaches its upstream by the second one.

    Args:
        folder: folder for settings, disks and logs.
    """

    def __init__(self, folder: Path) -> None:
        self.deployment = PlatformDeployment(folder, 1, 2)
        self.linked, self.direct = self.deployment.fronts
        # Nothing listens at this host.
        host = self.linked.ip.rpartition(".")[0] + ".99"
        self.linked.environment["RIDGESILL_UPSTREAM_HOST"] = host
        self.answers: list[Answer] = []
        self._loop = asyncio.get_running_loop()

    async def start(self) -> None:
        """Starts all processes and waits until both fronts serve."""
        await self.deployment.start()
        await self.deployment.put_configuration(make_document(1, OLD))
        for front in self.deployment.fronts:
            await self.deployment.wait_until_served(front, OLD)

    async def _ask(self, path: str) -> None:
        """Sends a request to the linked front on a connection of its own."""
        address = self.deployment.client_address(self.linked)
        host, _, port = address.rpartition(":")
        sent_at = self._loop.time()
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(
                f"GET {path}x HTTP/1.1\r\nHost: {ROUTE_HOST}\r\n"
                "Request-Id: r1\r\n"
                f"Request-Deadline: {1000 * _DEADLINE_SECONDS:.0f}\r\n"
                "\r\n".encode()
            )
            line = await reader.readline()
        finally:
            writer.close()
        status = int(line.split()[1])
        now = self._loop.time()
        self.answers.append(Answer(path, status, sent_at, now))

    async def _ask_until(self, ended: asyncio.Event, number: int) -> None:
        while not ended.is_set():
            await self._ask((OLD, NEW)[number % 2])
            number += 1
            await asyncio.sleep(_PAUSE_SECONDS)

    async def move_route_while_frozen(self, frozen: Vm) -> None:
        """Moves the route while a front is frozen and clients wait for it."""
        ended = asyncio.Event()
        frozen.signal(signal.SIGSTOP)
        try:
            began_at = self._loop.time()
            await self.deployment.put_configuration(make_document(2, NEW))
            async with asyncio.TaskGroup() as group:
                for number in range(_CLIENTS):
                    group.create_task(self._ask_until(ended, number))
                left = began_at + _FROZEN_SECONDS - self._loop.time()
                await asyncio.sleep(max(left, 1.0))
                frozen.signal(signal.SIGCONT)
                await asyncio.sleep(_THAWED_SECONDS)
                ended.set()
        finally:
            frozen.signal(signal.SIGCONT)


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[StaleHopWorld]:
    """Yields a deployment that serves by version 1."""
    made = StaleHopWorld(tmp_path)
    try:
        await made.start()
        yield made
    finally:
        made.deployment.stop()


class TestFrozenFront:
    @pytest.mark.parametrize("name", ["direct", "linked"])
    async def test_no_older_version_is_shown_through_another_front(
        self, world: StaleHopWorld, name: str
    ) -> None:
        """Guards against a front that thaws and decides by what it had."""
        await world.move_route_while_frozen(getattr(world, name))
        assert find_returns(world.answers) == []
        assert any(answer.version == 2 for answer in world.answers)
        for front in world.deployment.fronts:
            await world.deployment.wait_until_served(front, NEW)
