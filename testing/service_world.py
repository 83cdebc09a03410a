"""A deployment before one service, and callers that send at random times."""

import asyncio
import contextlib
import itertools
import random
from collections.abc import AsyncIterator, Sequence
from pathlib import Path
from typing import Any, TypeVar

import attrs
import msgspec

from testing.app.front_world import Client
from testing.platform_world import ROUTE_HOST, PlatformDeployment, Vm
from testing.soak.upstreams import SoakUpstream

SERVICE = "plain"
_TIMEOUT_SECONDS = 3.0


def make_document(kind: str) -> bytes:
    """Returns a configuration with one route of a kind."""
    route = {
        "name": "r",
        "host": ROUTE_HOST,
        "prefix": "/p/",
        "kind": kind,
        "timeout_ms": 2000,
        "goal_ms": 200,
        "priority": 0,
        "service": SERVICE,
        "attempts": 2 if kind == "safe" else 1,
    }
    service = {
        "name": SERVICE,
        "health_path": "/health",
        "connection_limit": 50,
    }
    return msgspec.json.encode(
        {"version": 1, "routes": [route], "services": [service]}
    )


@attrs.define
class Sent:
    """A request as its caller saw it.

    Attributes:
        began: loop time at which it was sent, in seconds.
        label: what kind of request it is.
        seconds: until its outcome was known.
        status: of the answer; 0 without one.
        retry_after: seconds of its Retry-After; 0 without one.
        is_whole: whether the whole answer arrived.
    """

    began: float
    label: str = ""
    seconds: float = 0.0
    status: int = 0
    retry_after: float = 0.0
    is_whole: bool = False


class ServiceWorld(PlatformDeployment):
    """Fronts before one service, and its callers.

    Args:
        folder: directory for settings, disks and logs.
        fronts: number of fronts.
        kind: kind of the route.
        seed: of the callers' random choices.
        front_settings: further settings of the fronts.

    Attributes:
        upstreams: of the service; set before `start`.
        sent: all requests of callers.
    """

    def __init__(
        self,
        folder: Path,
        fronts: int,
        kind: str = "safe",
        seed: int = 1,
        front_settings: dict[str, Any] | None = None,
    ) -> None:
        settings = {"contracts": ["pressure"], **(front_settings or {})}
        super().__init__(folder, 3, fronts, settings)
        self.upstreams: Sequence[SoakUpstream] = ()
        self.sent: list[Sent] = []
        self._kind = kind
        self._rng = random.Random(seed)
        self._ids = itertools.count(1)
        self._idle: dict[str, list[Client]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def control_addresses(self) -> list[str]:
        """Where control nodes take heartbeats."""
        return [self.control_address(vm) for vm in self.controls]

    async def start(self) -> None:
        """Starts everything and waits until each front serves requests."""
        for vm in self.vms:
            vm.start()
        for upstream in self.upstreams:
            await upstream.start()
        await self.put_configuration(make_document(self._kind))
        for vm in self.fronts:
            await self.poll(lambda vm=vm: self._serves(vm))
        self.sent.clear()

    async def _serves(self, vm: Vm) -> bool | None:
        sent = Sent(asyncio.get_running_loop().time())
        await self._ask(vm, sent, {})
        return sent.status == 200 or None

    async def load(
        self,
        rate: float,
        seconds: float,
        label: str = "",
        headers: dict[str, str] | None = None,
    ) -> None:
        """Sends requests at random times to random fronts.

        Args:
            rate: requests a second.
            seconds: how long; returns once all have an outcome.
            label: what kind of requests they are.
            headers: further headers, in which `{id}` is replaced by a number
                of the request's own.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        at = loop.time()
        tasks: set[asyncio.Task[None]] = set()
        while (at := at + self._rng.expovariate(rate)) < end:
            await asyncio.sleep(max(at - loop.time(), 0.0))
            sent = Sent(loop.time(), label)
            self.sent.append(sent)
            front = self._rng.choice(self.fronts)
            task = loop.create_task(self._ask(front, sent, headers or {}))
            for group in (tasks, self._tasks):
                group.add(task)
                task.add_done_callback(group.discard)
        await asyncio.gather(*tasks)

    async def _ask(self, vm: Vm, sent: Sent, headers: dict[str, str]) -> None:
        loop = asyncio.get_running_loop()
        idle = self._idle.setdefault(vm.name, [])
        client: Client | None = None
        number = next(self._ids)
        try:
            async with asyncio.timeout(_TIMEOUT_SECONDS):
                client = idle.pop() if idle else await self._connect(vm)
                answer = await client.ask(
                    "/p/x",
                    b"%d" % number,
                    request_id=f"q{number}",
                    host=ROUTE_HOST,
                    request_deadline="2000",
                    **{k: v.format(id=number) for k, v in headers.items()},
                )
            sent.status = answer.status
            sent.is_whole = answer.complete
            sent.retry_after = float(answer.headers.get("retry-after", 0.0))
            if answer.complete and answer.headers.get("connection") != "close":
                idle.append(client)
                client = None
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            sent.seconds = loop.time() - sent.began
            if client is not None:
                client.close()

    async def _connect(self, vm: Vm) -> Client:
        host, _, port = self.client_address(vm).rpartition(":")
        return Client(*await asyncio.open_connection(host, int(port)))

    def kill_owner(self) -> None:
        """Kills the control node that owns the fleet."""
        for vm in self.controls:
            log = vm.settings_file.with_suffix(".log").read_text()
            if log.rfind("fleet:owned") > log.rfind("fleet:given_up"):
                vm.kill()

    def restart_all(self) -> None:
        """Kills all processes and starts them again."""
        for vm in self.vms:
            vm.kill()
        for vm in self.vms:
            self.restart(vm)

    def served_between(
        self, began: float, ended: float = float("inf"), label: str = ""
    ) -> float:
        """Returns the share of requests sent between two times and served."""
        sent = [
            sent
            for sent in self.sent
            if began <= sent.began < ended and sent.label == label
        ]
        served = sum(each.status == 200 and each.is_whole for each in sent)
        return served / len(sent)

    def stop(self) -> None:
        """Ends every process and socket that this world started."""
        for task in self._tasks:
            task.cancel()
        super().stop()
        for upstream in self.upstreams:
            upstream.crash()


W = TypeVar("W", bound=ServiceWorld)


@contextlib.asynccontextmanager
async def running(world: W) -> AsyncIterator[W]:
    """Starts a world, and stops it in the end."""
    try:
        await world.start()
        yield world
    finally:
        world.stop()
