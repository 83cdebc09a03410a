"""Baseline routing policies, with runners that evict adapters by LRU.

Runners share no decisions: each loads adapters on demand.
"""

import asyncio
import random
from collections import Counter, OrderedDict
from collections.abc import Callable

from ridgesill.core.rendezvous import rank
from ridgesill.standin.engine import Engine


class WeightStoreLimiter:
    """Limits adapter loads as a weight store does, first come, first served.

    Entering the context takes one of the concurrent loads.

    Args:
        rate: loads that may start per second.
        concurrency: loads that may run at the same time.
    """

    def __init__(self, rate: float, concurrency: int) -> None:
        self._interval_seconds = 1.0 / rate
        self._load_permits = asyncio.Semaphore(concurrency)
        self._next_start = 0.0

    async def __aenter__(self) -> None:
        await self._load_permits.acquire()

    async def wait_for_rate(self) -> None:
        """Waits until the rate limit allows the next load to start."""
        loop = asyncio.get_running_loop()
        start = max(self._next_start, loop.time())
        self._next_start = start + self._interval_seconds
        await asyncio.sleep(start - loop.time())

    async def __aexit__(self, *_: object) -> None:
        self._load_permits.release()


class LruRunner:
    """Loads adapters on demand and evicts the least recently used idle one.

    Args:
        engine: the engine that holds the adapters.
        capacity: requests that may run at the same time.
        store: limits the adapter loads.
    """

    def __init__(
        self, engine: Engine, capacity: int, store: WeightStoreLimiter
    ) -> None:
        self.engine = engine
        self.in_flight = 0
        self._request_slots = asyncio.Semaphore(capacity)
        self._store = store
        self._use_counts: OrderedDict[str, int] = OrderedDict()
        self._loading: dict[str, asyncio.Future[None]] = {}
        self._reserved_slots = 0
        self._waiting_counts: Counter[str] = Counter()
        self._slot_may_be_free = asyncio.Event()

    async def acquire(self, adapter: str) -> bool:
        """Waits for an adapter and for a free request slot.

        Returns:
            Whether the request had to wait for the adapter to load.
        """
        self.in_flight += 1
        try:
            stalled = await self._acquire_adapter(adapter)
        except asyncio.CancelledError:
            self.in_flight -= 1
            raise
        try:
            await self._request_slots.acquire()
        except asyncio.CancelledError:
            self._release_adapter(adapter)
            raise
        return stalled

    def release(self, adapter: str) -> None:
        """Releases the request slot and the use of an adapter."""
        self._request_slots.release()
        self._release_adapter(adapter)

    def _release_adapter(self, adapter: str) -> None:
        self.in_flight -= 1
        self._use_counts[adapter] -= 1
        self._slot_may_be_free.set()

    async def _acquire_adapter(self, adapter: str) -> bool:
        stalled = False
        while adapter not in self.engine.resident:
            stalled = True
            if adapter not in self._loading:
                # The load continues if the request that started it is
                # cancelled.
                load = self._load(adapter)
                self._loading[adapter] = asyncio.ensure_future(load)
            self._waiting_counts[adapter] += 1
            try:
                await asyncio.shield(self._loading[adapter])
            finally:
                self._waiting_counts[adapter] -= 1
        self._use_counts[adapter] = self._use_counts.get(adapter, 0) + 1
        self._use_counts.move_to_end(adapter)
        return stalled

    async def _load(self, adapter: str) -> None:
        try:
            async with self._store:
                await self._load_if_wanted(adapter)
        finally:
            del self._loading[adapter]
            self._slot_may_be_free.set()

    async def _load_if_wanted(self, adapter: str) -> None:
        """Loads an adapter unless every waiting request was cancelled."""
        if not self._waiting_counts[adapter]:
            return
        await self._reserve_slot()
        try:
            if self._waiting_counts[adapter]:
                await self._store.wait_for_rate()
                await self.engine.load(adapter, 0)
                self._use_counts[adapter] = 0
        finally:
            self._reserved_slots -= 1

    async def _reserve_slot(self) -> None:
        while self._count_occupied_slots() >= self.engine.model.slots:
            victim = next(
                (a for a, n in self._use_counts.items() if not n), None
            )
            if victim is not None:
                del self._use_counts[victim]
                self.engine.unload(victim, 0)
                break
            self._slot_may_be_free.clear()
            await self._slot_may_be_free.wait()
        self._reserved_slots += 1

    def _count_occupied_slots(self) -> int:
        return len(self._use_counts) + self._reserved_slots


RunnerPolicy = Callable[[str, list[LruRunner]], LruRunner]


def make_random_policy(rng: random.Random) -> RunnerPolicy:
    """Returns a policy that chooses a runner at random."""
    return lambda _adapter, runners: rng.choice(runners)


def make_least_in_flight_policy(rng: random.Random) -> RunnerPolicy:
    """Returns a policy that chooses the runner with the fewest requests.

    Ties are broken at random.
    """

    def choose(adapter: str, runners: list[LruRunner]) -> LruRunner:
        return min(runners, key=lambda r: (r.in_flight, rng.random()))

    return choose


def make_hash_policy(rng: random.Random) -> RunnerPolicy:
    """Returns a policy that always sends an adapter to the same runner.

    The runner is the first in the adapter's rendezvous ranking.
    """
    home_runners: dict[str, int] = {}

    def choose(adapter: str, runners: list[LruRunner]) -> LruRunner:
        if adapter not in home_runners:
            names = [str(number) for number in range(len(runners))]
            home_runners[adapter] = int(rank(adapter, names)[0])
        return runners[home_runners[adapter]]

    return choose


BASELINES: dict[str, Callable[[random.Random], RunnerPolicy]] = {
    "random": make_random_policy,
    "least-in-flight": make_least_in_flight_policy,
    "hash": make_hash_policy,
}
