"""Callers that send at random times, each request on a new connection."""

import asyncio
import itertools
import random
from typing import TYPE_CHECKING

from testing.app.front_world import Client
from testing.platform_world import ROUTE_HOST

if TYPE_CHECKING:
    from testing.soak.world import SoakWorld

_TIMEOUT_SECONDS = 3.0


class RandomLoad:
    """Sends requests of a service at random times to random fronts.

    Args:
        world: The deployment.
        rate: Requests per second.
        rng: Random generator for times, fronts and subclasses.
    """

    def __init__(
        self, world: "SoakWorld", rate: float, rng: random.Random
    ) -> None:
        self.world = world
        self.rng = rng
        self._rate = rate
        self._ids = itertools.count(1)
        self._calls: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Sends requests until cancelled."""
        try:
            while True:
                await asyncio.sleep(self.rng.expovariate(self._rate))
                call = asyncio.create_task(self.call())
                self._calls.add(call)
                call.add_done_callback(self._calls.discard)
        finally:
            for call in self._calls:
                call.cancel()

    async def call(self) -> None:
        """Sends one request."""
        raise NotImplementedError

    async def send(
        self, path: str, name: str, deadline: int, prompt: str = ""
    ) -> None:
        """Sends one request and reads its answer, whatever it is.

        Args:
            path: Path of the request.
            name: Prefix of its id.
            deadline: Time in milliseconds that the caller waits for.
            prompt: Parts of its prompt, in which `{id}` is replaced by a number
                of the request's own; empty for none.
        """
        number = next(self._ids)
        headers = {"prompt_prefix": prompt.format(id=number)} if prompt else {}
        vm = self.rng.choice(self.world.fronts)
        host, _, port = self.world.client_address(vm).rpartition(":")
        client: Client | None = None
        try:
            async with asyncio.timeout(_TIMEOUT_SECONDS):
                client = Client(*await asyncio.open_connection(host, int(port)))
                await client.ask(
                    path,
                    b"%d" % number if prompt else b"",
                    request_id=f"{name}-{number}",
                    host=ROUTE_HOST,
                    request_deadline=str(deadline),
                    credential=self.world.choose_steady_key(),
                    **headers,
                )
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            if client is not None:
                client.close()
