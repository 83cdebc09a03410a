"""Policies to compare against: each runner decides for itself, by recency."""

import asyncio
import random
from collections import Counter, OrderedDict
from collections.abc import Callable

from ridgesill.core.rendezvous import rank
from ridgesill.standin.engine import Engine


class Store:
    """The weight store's limits, first come, first served."""

    def __init__(self, rate: float, concurrency: int) -> None:
        self._spacing = 1.0 / rate
        self._free = asyncio.Semaphore(concurrency)
        self._next = 0.0

    async def __aenter__(self) -> None:
        await self._free.acquire()

    async def pace(self) -> None:
        """Waits until the rate allows one more load to begin."""
        loop = asyncio.get_running_loop()
        start = max(self._next, loop.time())
        self._next = start + self._spacing
        await asyncio.sleep(start - loop.time())

    async def __aexit__(self, *_: object) -> None:
        self._free.release()


class RecencyRunner:
    """A runner that loads on demand and drops the least recently used."""

    def __init__(self, engine: Engine, capacity: int, store: Store) -> None:
        self.engine = engine
        self.in_flight = 0
        self._room = asyncio.Semaphore(capacity)
        self._store = store
        self._used: OrderedDict[str, int] = OrderedDict()
        self._loading: dict[str, asyncio.Future[None]] = {}
        self._begun = 0
        self._wanted: Counter[str] = Counter()
        self._changed = asyncio.Event()

    async def acquire(self, adapter: str) -> bool:
        """Waits until an adapter may be used; returns whether it stalled."""
        self.in_flight += 1
        try:
            stalled = await self._hold(adapter)
        except asyncio.CancelledError:
            self.in_flight -= 1
            raise
        try:
            await self._room.acquire()
        except asyncio.CancelledError:
            self._leave(adapter)
            raise
        return stalled

    def release(self, adapter: str) -> None:
        """Ends a use."""
        self._room.release()
        self._leave(adapter)

    def _leave(self, adapter: str) -> None:
        self.in_flight -= 1
        self._used[adapter] -= 1
        self._changed.set()

    async def _hold(self, adapter: str) -> bool:
        stalled = False
        while adapter not in self.engine.resident:
            stalled = True
            if adapter not in self._loading:
                # A load goes on when the request that began it gives up.
                work = self._load(adapter)
                self._loading[adapter] = asyncio.ensure_future(work)
            self._wanted[adapter] += 1
            try:
                await asyncio.shield(self._loading[adapter])
            finally:
                self._wanted[adapter] -= 1
        self._used[adapter] = self._used.get(adapter, 0) + 1
        self._used.move_to_end(adapter)
        return stalled

    async def _load(self, adapter: str) -> None:
        try:
            async with self._store:
                await self._load_if_wanted(adapter)
        finally:
            del self._loading[adapter]
            self._changed.set()

    async def _load_if_wanted(self, adapter: str) -> None:
        """Loads unless all who waited have given up meanwhile."""
        if not self._wanted[adapter]:
            return
        await self._make_room()
        try:
            if self._wanted[adapter]:
                await self._store.pace()
                await self.engine.load(adapter, 0)
                self._used[adapter] = 0
        finally:
            self._begun -= 1

    async def _make_room(self) -> None:
        while self._held() >= self.engine.model.slots:
            victim = next((a for a, n in self._used.items() if not n), None)
            if victim is not None:
                del self._used[victim]
                self.engine.unload(victim, 0)
                break
            self._changed.clear()
            await self._changed.wait()
        self._begun += 1

    def _held(self) -> int:
        return len(self._used) + self._begun


Choose = Callable[[str, list[RecencyRunner]], RecencyRunner]


def choose_random(rng: random.Random) -> Choose:
    """Returns a policy that takes any runner."""
    return lambda _adapter, runners: rng.choice(runners)


def choose_least_in_flight(rng: random.Random) -> Choose:
    """Returns a policy that takes the runner with the fewest requests."""

    def choose(adapter: str, runners: list[RecencyRunner]) -> RecencyRunner:
        return min(runners, key=lambda r: (r.in_flight, rng.random()))

    return choose


def choose_by_hash(rng: random.Random) -> Choose:
    """Returns a policy that takes an adapter's own runner."""
    homes: dict[str, int] = {}

    def choose(adapter: str, runners: list[RecencyRunner]) -> RecencyRunner:
        if adapter not in homes:
            names = [str(number) for number in range(len(runners))]
            homes[adapter] = int(rank(adapter, names)[0])
        return runners[homes[adapter]]

    return choose


BASELINES: dict[str, Callable[[random.Random], Choose]] = {
    "random": choose_random,
    "least-in-flight": choose_least_in_flight,
    "hash": choose_by_hash,
}
