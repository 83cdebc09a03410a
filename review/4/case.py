"""A front that misses many changes of a large configuration stays behind."""

import asyncio
import random
import signal
import string
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

from documents import document, route, service  # noqa: E402
from links import Link, LinkProxy  # noqa: E402
from runners import Runner  # noqa: E402
from world import HOST, CannotRunError, Deployment, ask, run_case  # noqa: E402

# The link of a front of tanuru-book-grown: 5 Mbit/s.
LINK_BYTES_PER_SECOND = 5e6 / 8
# Bounds of tanuru-book-grown, in seconds.
CONTACT_SECONDS, CONFIG_SECONDS = 4.0, 2.5
# node_freeze: one front, for 5 s.
FREEZE_SECONDS = 5.0
# Two config_storms: a change each 0.06 s for 1.5 s, and each 0.33 s for 4 s.
STORMS = ((0.06, 1.5), (0.33, 4.0))
# 40 routes that nobody asks for, and a big_config of 1400 more.
ROUTES = 1440
PROBE_SECONDS = 15.0
PEERS_OFFSET = 5


def make_routes(rng):
    """Returns routes with names like those of the platform."""

    def pick(count, letters=string.ascii_lowercase + string.digits):
        return "".join(rng.choice(letters) for _ in range(count))

    def word():
        return "".join(
            pick(1, "bcdfghjklmnpqrstvwxz") + pick(1, "aeiou") for _ in range(2)
        ) + pick(3, string.digits)

    prefixes = set()
    while len(prefixes) < ROUTES:
        prefixes.add(f"/{word()}/")
    return [
        route(f"r-{pick(7)}", prefix, "wuno96b") for prefix in sorted(prefixes)
    ]


async def probe(world, front, path, number):
    """Returns the status that a front answers for a path, or None."""
    answer = await ask(
        *world.address(front, "front"), "GET", path, b"",
        {"Request-Id": f"{number:016x}", "Request-Deadline": "1000"}, 1.5,
        host=HOST)
    return answer.status if answer else None


class Operator:
    """Sends changes, each with a version of its own."""

    def __init__(self, world, routes):
        self._world, self._routes = world, routes
        self._services = [service("wuno96b", connections=490)]
        self.version = 0

    async def change(self, *further):
        """Changes a route that nobody asks for; adds `further`."""
        self.version += 1
        idle = self._routes[self.version % 40]
        idle["timeout_ms"] = 1000 + self.version
        self._routes += further
        sent = document(self.version, list(self._routes), self._services)
        return await self._world.put(sent)

    async def storm(self, gap, seconds):
        """Sends a change each `gap` for some seconds.

        Four calls are under way at most, so eight of both storms.
        """
        tasks, began, due = [], time.monotonic(), time.monotonic()
        while time.monotonic() - began < seconds:
            tasks = [task for task in tasks if not task.done()]
            if len(tasks) < 4:
                tasks.append(asyncio.create_task(self.change()))
                due += gap
            await asyncio.sleep(max(due - time.monotonic(), 0.005))
        await asyncio.gather(*tasks)


async def case(record, has_trouble):
    world = Deployment(
        record,
        bounds={"contact_ms": 4000, "acknowledge_ms": 5000, "catch_up_s": 6,
                "drain_ms": 2500, "config_ms": 2500, "stretch_limit_ms": 6000,
                "budget_slack": 182, "recovery_s": 15, "pass_ms": 200},
        limits={"front": {"link_mbps": 5.0, "memory_mb": 200,
                          "cpu_share": 0.258}})
    peers = world.ports["peers"]
    links = {
        f"{front.ip}:{peers}": (
            Link(LINK_BYTES_PER_SECOND), Link(LINK_BYTES_PER_SECOND))
        for front in world.fronts
    }
    proxies, runner = [], None
    try:
        for core in world.controls:
            listens = f"{core.ip}:{peers + PEERS_OFFSET}"
            core.environment["RIDGESILL_PEERS_LISTEN"] = listens
            proxies.append(LinkProxy(
                (core.ip, peers), (core.ip, peers + PEERS_OFFSET), links))
            await proxies[-1].start()
        world.start()
        routes = make_routes(random.Random(80))
        base = routes[-1]["prefix"]
        operator = Operator(world, routes)
        if await operator.change() is None:
            raise CannotRunError("the configuration wasn't acknowledged")
        runner = Runner(
            record, [world.address(c, "control") for c in world.controls],
            "wuno96b", "i-0", slots=6)
        await runner.start()
        await world.wait_ready()
        await asyncio.sleep(2.0)
        behind, other = world.fronts
        for front in world.fronts:
            if await probe(world, front, base + "x", 1) != 200:
                raise CannotRunError(f"{front.name} doesn't serve {base}")
        if has_trouble:
            behind.signal(signal.SIGSTOP)
            record.say(f"{behind.name} freezes")
        began = time.monotonic()
        await asyncio.gather(*(operator.storm(*storm) for storm in STORMS))
        added = "/nuvo777/"
        confirmed = await operator.change(route("r-added01", added, "wuno96b"))
        if confirmed is None:
            raise CannotRunError("a change wasn't acknowledged")
        record.say(f"version {operator.version} has {added}: acknowledged")
        await asyncio.sleep(
            max(began + FREEZE_SECONDS - time.monotonic(), 0.0))
        behind.signal(signal.SIGCONT)
        thawed = time.monotonic()
        record.say(f"{behind.name} goes on; it was still for"
                   f" {thawed - began:.1f} s")
        # From here on it is in touch, and the version has to be in force.
        due = max(thawed + CONTACT_SECONDS, confirmed + CONFIG_SECONDS)
        await asyncio.sleep(due - time.monotonic())
        number, held = 100, True
        while time.monotonic() < due + PROBE_SECONDS:
            number += 1
            statuses = {
                front.name: await probe(world, front, added + "x", number)
                for front in (behind, other)
            }
            ready = await world.is_ready(behind)
            carried = links[f"{behind.ip}:{peers}"][True].carried
            record.add(f"{time.monotonic() - due:.1f} s after it is due:"
                       f" {statuses}; {behind.name} ready: {ready};"
                       f" {carried} bytes went to it")
            if statuses[behind.name] == 404:
                held = False
            await asyncio.sleep(0.5)
        record.say(f"at the end: {statuses}; {behind.name} says that it is"
                   f" {'ready' if ready else 'not ready'}")
        return held
    finally:
        if runner is not None:
            runner.stop()
        for proxy in proxies:
            proxy.stop()
        world.close()


if __name__ == "__main__":
    run_case(FOLDER, case)
