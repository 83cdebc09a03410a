"""After a replacement beside an outage, the loss of two disks is final."""

import asyncio
import json
import shutil
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "common"))

import deployment as d

HOST = "ficu95.example"
SERVICE = "hifadhi-api"
# How long one machine of the core is without power, in seconds.
DARK_SECONDS = 7.0
# When a new machine starts, and when the one that it replaces gets SIGTERM, in
# seconds from the beginning of the outage. At no time are more machines lost
# than `tolerance` says: first the dark and the new one, each for `catch_up_s`
# (4 s) longer than it is away, then the old one.
NEW_AT_SECONDS = 3.5
OLD_ENDS_AT_SECONDS = 12.0
# How long machines stay down that lose their disks.
DOWN_SECONDS = 1.4
# How long the operator reads at the end. `recovery_s` is 12.
READ_SECONDS = 40.0


def make_document(version: int) -> dict:
    routes = [d.make_route("status", HOST, "/status/", SERVICE)]
    return d.make_document(version, routes, [SERVICE])


async def find_leader(world, server) -> d.Machine:
    """Returns the machine that servers are told to send heartbeats to."""
    for _ in range(50):
        await server.send_beat()
        if server.beat_address:
            ip = server.beat_address.rpartition(":")[0]
            return next(m for m in world.controls if m.ip == ip)
        await asyncio.sleep(0.2)
    raise d.CannotRun("no heartbeat was told an address")


async def read_back(world, seconds: float):
    """Reads the configuration at all machines in turn; returns its version."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        for machine in world.controls:
            if not world.is_running(machine):
                continue
            answer = await d.call(
                machine.ip, d.CONTROL_PORT, "GET",
                "/ridgesill/Configuration.Get",
            )
            status = answer[0] if answer else "no answer"
            world.record(
                f"operator: Configuration.Get at {machine.name}: {status}"
            )
            if status == 200:
                return json.loads(answer[1])["version"]
        await asyncio.sleep(0.5)
    return None


async def play(world: d.Deployment, trouble: bool) -> list[str]:
    record = world.record
    spare = world.add_control()
    first = [m for m in world.controls if m is not spare]
    for machine in (*first, *world.fronts):
        world.start(machine, bootstrap=True)
    if await world.put_configuration(make_document(3), 30.0) is None:
        raise d.CannotRun("no configuration was acknowledged at the start")
    server = d.PlainServer(world, "i-0", SERVICE, f"{world.subnet}.3.1",
                           d.ZONES[0])
    await server.start()
    await world.wait_until_ready()
    await asyncio.sleep(3.0)
    leader = await find_leader(world, server)
    followers = [m for m in first if m is not leader]
    dark, old = followers[0], followers[1]
    record(f"case: leader {leader.name}, dark {dark.name}, old {old.name}")

    # The disruption: a machine of the core is without power for some seconds.
    began = time.monotonic()
    if trouble:
        world.kill(dark)
        dark.process.wait()
    # Planned work: another machine of the core is replaced by an empty one, the
    # new one first.
    await asyncio.sleep(began + NEW_AT_SECONDS - time.monotonic())
    world.start(spare, bootstrap=False)
    await asyncio.sleep(began + DARK_SECONDS - time.monotonic())
    if trouble:
        world.start(dark, bootstrap=False)
    await asyncio.sleep(began + OLD_ENDS_AT_SECONDS - time.monotonic())
    stop_at = time.monotonic()
    old.process.send_signal(signal.SIGTERM)
    record(f"platform: SIGTERM {old.name}, which is taken away for good")
    # SIGKILL after `grace_s`, as PROTOCOL.md says.
    while world.is_running(old):
        if time.monotonic() > stop_at + d.GRACE_SECONDS:
            world.kill(old)
            old.process.wait()
        await asyncio.sleep(0.05)
    record(f"platform: {old.name} has ended")
    # Everything is calm for longer than `catch_up_s` and `contact_ms`.
    await asyncio.sleep(10.0)
    core = [m for m in world.controls if m is not old]
    running = [m.name for m in core if world.is_running(m)]
    if len(running) != 5 or world.is_running(old):
        raise d.CannotRun(f"these run: {running}")
    record(f"check: all five machines of the core run: {running}")

    # A configuration is acknowledged, and as many machines as `tolerance`
    # allows lose their disks right after it. They come back at once.
    if await world.put_configuration(make_document(7), 10.0) is None:
        raise d.CannotRun("version 7 was not acknowledged")
    lost = [m for m in core if m not in (dark, spare)][:2]
    for machine in lost:
        world.kill(machine)
    for machine in lost:
        machine.process.wait()
        shutil.rmtree(world.folder / f"disk-{machine.name}")
        record(f"platform: the disk of {machine.name} is lost")
    await asyncio.sleep(DOWN_SECONDS)
    for machine in lost:
        world.start(machine, bootstrap=False)
    back_at = time.monotonic()
    version = await read_back(world, READ_SECONDS)
    seconds = time.monotonic() - back_at
    acknowledged = await world.put_configuration(make_document(9), 5.0)
    running = [m.name for m in core if world.is_running(m)]
    record(
        f"check: {running} run; read back: {version} after {seconds:.1f} s; "
        f"version 9 acknowledged: {acknowledged is not None}"
    )
    await server.stop()
    if len(running) != 5:
        raise d.CannotRun("a process ended by itself")
    if version is not None and version >= 7:
        return []
    return [
        f"CONFIG: version 7 was acknowledged; with all five machines of the core "
        f"running for {seconds:.0f} s, reading it back gave "
        f"{'nothing' if version is None else version}; version 9 "
        f"acknowledged: {acknowledged is not None}"
    ]


if __name__ == "__main__":
    sys.exit(d.run_case(Path(__file__).resolve().parent, play))
