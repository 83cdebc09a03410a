"""Measures the time to recover from disasters, on real processes.

Each run plays one disaster on five control nodes, three fronts, two plain
services and two engines under continuous requests. It measures the time from
the disaster until a request is served, a configuration is acknowledged and an
engine receives an order. Prints a line for each disaster and a summary line.
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

_CONTROL_COUNT = 5
_FRONT_COUNT = 3
_TRAFFIC_BEFORE_SECONDS = 2.0
_FREEZE_SECONDS = 4.0
_TIMEOUT_SECONDS = 20.0
_POLL_SECONDS = 0.02
_DISASTERS = ("kill_controls", "kill_all", "wipe_two", "freeze_leader")


@attrs.frozen
class RecoveryResult:
    """The result of one run, with times in seconds from the disaster.

    Attributes:
        disaster: the name of the disaster.
        serve_seconds: until a request that began after it was served.
        acknowledge_seconds: until a configuration was acknowledged.
        order_seconds: until an engine received an order.
        lost: 1 if an acknowledged configuration was lost, else 0.
        reverted: the number of reversions to an earlier configuration.
    """

    disaster: str
    serve_seconds: float
    acknowledge_seconds: float
    order_seconds: float
    lost: int
    reverted: int


class DisasterPlayer:
    """Plays a disaster on a running deployment.

    Args:
        world: a deployment that serves requests.
    """

    def __init__(self, world: SoakWorld) -> None:
        self._world = world

    async def play(self, name: str) -> None:
        """Plays a disaster and starts what must run again.

        Returns without waiting until the restarted nodes are ready or a frozen
        leader continues.

        Args:
            name: the name of the disaster.

        Raises:
            KeyError: there is no disaster of that name.
        """
        await {
            "kill_controls": self._kill_controls,
            "kill_all": self._kill_all,
            "wipe_two": self._wipe_two,
            "freeze_leader": self._freeze_leader,
        }[name]()

    async def _kill_controls(self) -> None:
        self._kill_and_restart(self._world.controls)

    async def _kill_all(self) -> None:
        self._kill_and_restart(self._world.vms)

    def _kill_and_restart(self, vms: list) -> None:
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
        last_orders = [
            orders[-1] for orders in self._world.ledger.orders.values()
        ]
        holder = max(last_orders, key=lambda order: order[2])[0]
        leader = next(
            vm for vm in self._world.controls if holder.startswith(f"{vm.ip}:")
        )
        leader.signal(signal.SIGSTOP)
        asyncio.get_running_loop().call_later(
            _FREEZE_SECONDS, leader.signal, signal.SIGCONT
        )


async def _measure(folder: Path, name: str, seed: int) -> RecoveryResult:
    world = SoakWorld(folder, seed, _CONTROL_COUNT, _FRONT_COUNT)
    loop = asyncio.get_running_loop()
    try:
        await world.start()
        await asyncio.sleep(_TRAFFIC_BEFORE_SECONDS)
        answers_before, acknowledged = len(world.outcomes), world.acknowledged
        orders_before = _count_orders(world)
        began = loop.time()
        await DisasterPlayer(world).play(name)
        times = await asyncio.gather(
            _wait_until(lambda: _has_served(world, answers_before, began)),
            _wait_until(lambda: world.acknowledged > acknowledged),
            _wait_until(lambda: _count_orders(world) > orders_before),
        )
        await asyncio.sleep(_FREEZE_SECONDS)
        await world.end_traffic()
        verdict = judge(seed, world, [])
        version = await world.poll(world.read_back)
        serve_seconds, acknowledge_seconds, order_seconds = (
            at - began for at in times
        )
        return RecoveryResult(
            name,
            serve_seconds,
            acknowledge_seconds,
            order_seconds,
            int(version < world.acknowledged),
            verdict.count("reverted"),
        )
    finally:
        world.stop()
        await asyncio.sleep(_POLL_SECONDS)


def _has_served(world: SoakWorld, answers_before: int, began: float) -> bool:
    return any(
        entry.status == 200 and entry.began > began
        for entry in world.outcomes[answers_before:]
    )


def _count_orders(world: SoakWorld) -> int:
    return sum(map(len, world.ledger.orders.values()))


async def _wait_until(condition: object) -> float:
    """Waits for a condition or the timeout.

    Returns:
        The time of the event loop at the end of the wait, in seconds.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + _TIMEOUT_SECONDS
    while not condition() and loop.time() < deadline:  # type: ignore[operator]
        await asyncio.sleep(_POLL_SECONDS)
    return loop.time()


def run_one(name: str, seed: int) -> RecoveryResult:
    """Plays one disaster on a deployment of its own.

    Args:
        name: the name of the disaster.
        seed: the seed of the deployment's random choices.
    """
    with tempfile.TemporaryDirectory(prefix="recovery") as folder:
        return asyncio.run(_measure(Path(folder), name, seed))


def main() -> int:
    """Plays all runs; returns 0 if nothing was lost or reverted."""
    parser = argparse.ArgumentParser(prog="bench.recovery")
    parser.add_argument("--runs", type=int, default=20)
    parser.add_argument("--jobs", type=int, default=2)
    options = parser.parse_args()
    with concurrent.futures.ProcessPoolExecutor(options.jobs) as pool:
        plays = [
            pool.submit(run_one, _DISASTERS[seed % len(_DISASTERS)], seed)
            for seed in range(options.runs)
        ]
        results = [play.result() for play in plays]
    for name in _DISASTERS:
        print(_format_line(name, [r for r in results if r.disaster == name]))
    lost = sum(r.lost for r in results)
    reverted = sum(r.reverted for r in results)
    print(
        f"recovery: runs={len(results)} lost={lost} reverted={reverted}"
        f" serve_worst_s={max(r.serve_seconds for r in results):.2f}"
        f" ack_worst_s={max(r.acknowledge_seconds for r in results):.2f}"
        f" order_worst_s={max(r.order_seconds for r in results):.2f}"
    )
    return 1 if lost or reverted else 0


def _format_line(name: str, runs: list[RecoveryResult]) -> str:
    if not runs:
        return f"{name}: not played"
    serve_seconds = statistics.median(r.serve_seconds for r in runs)
    acknowledge_seconds = statistics.median(r.acknowledge_seconds for r in runs)
    order_seconds = statistics.median(r.order_seconds for r in runs)
    return (
        f"{name}: runs={len(runs)} serve_p50_s={serve_seconds:.2f}"
        f" ack_p50_s={acknowledge_seconds:.2f} order_p50_s={order_seconds:.2f}"
    )


if __name__ == "__main__":
    sys.exit(main())
