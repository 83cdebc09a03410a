"""Time until service after disasters, on real processes; one line.

Each run plays one disaster on five control nodes, three fronts, two plain
services and two engines, with callers that keep asking, and measures from the
moment of the disaster until a request was served, a configuration acknowledged
and an order given.
"""

import argparse
import asyncio
import concurrent.futures
import signal
import statistics
import sys
import tempfile
from pathlib import Path

import attrs

from testing.soak.checks import judge
from testing.soak.world import SoakWorld

_CONTROLS = 5
_FRONTS = 3
# Traffic before the disaster, in seconds.
_CALM_SECONDS = 2.0
_FROZEN_SECONDS = 4.0
_GIVEN_UP_SECONDS = 20.0
_POLL_SECONDS = 0.02
_DISASTERS = ("kill_controls", "kill_all", "wipe_two", "freeze_leader")


@attrs.frozen
class Recovery:
    """What one run showed; times in seconds from the disaster."""

    disaster: str
    serve: float
    acknowledge: float
    order: float
    lost: int
    reverted: int


class Disaster:
    """Plays one disaster.

    Args:
        world: a deployment that serves.
    """

    def __init__(self, world: SoakWorld) -> None:
        self._world = world

    async def play(self, name: str) -> None:
        """Returns once everything runs again, or is on its way."""
        await {
            "kill_controls": self._kill_controls,
            "kill_all": self._kill_all,
            "wipe_two": self._wipe_two,
            "freeze_leader": self._freeze_leader,
        }[name]()

    async def _kill_controls(self) -> None:
        self._kill(self._world.controls)

    async def _kill_all(self) -> None:
        self._kill(self._world.vms)

    def _kill(self, vms: list) -> None:
        for vm in vms:
            vm.kill()
        for vm in vms:
            self._world.restart(vm)

    async def _wipe_two(self) -> None:
        vms = self._world.rng.sample(self._world.controls, 2)
        for vm in vms:
            vm.kill()
            vm.wipe()
        for vm in vms:
            self._world.restart(vm)

    async def _freeze_leader(self) -> None:
        holders = [orders[-1] for orders in self._world.ledger.orders.values()]
        holder = max(holders, key=lambda order: order[2])[0]
        leader = next(
            vm for vm in self._world.controls if holder.startswith(f"{vm.ip}:")
        )
        leader.signal(signal.SIGSTOP)
        asyncio.get_running_loop().call_later(
            _FROZEN_SECONDS, leader.signal, signal.SIGCONT
        )


async def _measure(folder: Path, name: str, seed: int) -> Recovery:
    world = SoakWorld(folder, seed, _CONTROLS, _FRONTS)
    loop = asyncio.get_running_loop()
    try:
        await world.start()
        await asyncio.sleep(_CALM_SECONDS)
        told, acknowledged = len(world.outcomes), world.acknowledged
        ordered = _orders(world)
        began = loop.time()
        await Disaster(world).play(name)
        times = await asyncio.gather(
            _until(lambda: _served(world, told, began)),
            _until(lambda: world.acknowledged > acknowledged),
            _until(lambda: _orders(world) > ordered),
        )
        await asyncio.sleep(_FROZEN_SECONDS)
        await world.end_traffic()
        verdict = judge(seed, world, [])
        version = await world.poll(world.read_back)
        serve, acknowledge, order = (at - began for at in times)
        return Recovery(
            name,
            serve,
            acknowledge,
            order,
            int(version < world.acknowledged),
            verdict.count("reverted"),
        )
    finally:
        world.stop()
        await asyncio.sleep(_POLL_SECONDS)


def _served(world: SoakWorld, told: int, began: float) -> bool:
    return any(
        entry.status == 200 and entry.began > began
        for entry in world.outcomes[told:]
    )


def _orders(world: SoakWorld) -> int:
    return sum(map(len, world.ledger.orders.values()))


async def _until(condition: object) -> float:
    """Returns when a condition was first true, or gives up."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + _GIVEN_UP_SECONDS
    while not condition() and loop.time() < deadline:  # type: ignore[operator]
        await asyncio.sleep(_POLL_SECONDS)
    return loop.time()


def run_one(name: str, seed: int) -> Recovery:
    """Plays one disaster with its own processes."""
    with tempfile.TemporaryDirectory(prefix="recovery") as folder:
        return asyncio.run(_measure(Path(folder), name, seed))


def main() -> int:
    """Plays the runs and prints one line for each disaster, and one for all."""
    parser = argparse.ArgumentParser(prog="bench.recovery")
    parser.add_argument("--runs", type=int, default=20)
    parser.add_argument("--jobs", type=int, default=2)
    given = parser.parse_args()
    with concurrent.futures.ProcessPoolExecutor(given.jobs) as pool:
        plays = [
            pool.submit(run_one, _DISASTERS[seed % len(_DISASTERS)], seed)
            for seed in range(given.runs)
        ]
        done = [play.result() for play in plays]
    for name in _DISASTERS:
        print(_describe(name, [r for r in done if r.disaster == name]))
    lost = sum(r.lost for r in done)
    reverted = sum(r.reverted for r in done)
    print(
        f"recovery: runs={len(done)} lost={lost} reverted={reverted}"
        f" serve_worst_s={max(r.serve for r in done):.2f}"
        f" ack_worst_s={max(r.acknowledge for r in done):.2f}"
        f" order_worst_s={max(r.order for r in done):.2f}"
    )
    return 1 if lost or reverted else 0


def _describe(name: str, runs: list[Recovery]) -> str:
    if not runs:
        return f"{name}: not played"
    serve = statistics.median(r.serve for r in runs)
    acknowledge = statistics.median(r.acknowledge for r in runs)
    order = statistics.median(r.order for r in runs)
    return (
        f"{name}: runs={len(runs)} serve_p50_s={serve:.2f}"
        f" ack_p50_s={acknowledge:.2f} order_p50_s={order:.2f}"
    )


if __name__ == "__main__":
    sys.exit(main())
