"""A core machine is replaced; then two others lose their disks at once.

The lost machines are within the deployment's tolerance: the replaced machine
has stopped counting, since its successor has run for `catch_up_s`. With
REPLACE=0 the machine isn't replaced, and only the two disks are lost.
"""

import asyncio
import json
import os
import shutil
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "common"))

import deployment as d  # noqa: E402

# Between the loss of the machine and the start of its successor: `x` of
# `replace_core`, which is 1 s unless a day names another.
SUCCESSOR_SECONDS = 1.0
CATCH_UP_SECONDS = float(d.BOUNDS["catch_up_s"])
# What is added to `catch_up_s`, so that the loss is certainly inside the limit.
MARGIN_SECONDS = 0.3
# How long the two machines are without a process: `for_s`.
DOWN_SECONDS = 1.0
RECOVERY_SECONDS = float(d.BOUNDS["recovery_s"])
# How long the operator reads after that; the pages name `contact_ms` at least.
READ_SECONDS = 15.0


async def listens(machine: d.Machine) -> bool:
    """Whether a machine's control address takes connections."""
    try:
        _, writer = await asyncio.open_connection(machine.ip, d.CONTROL_PORT)
    except OSError:
        return False
    writer.close()
    return True


async def wait_listening(machine: d.Machine) -> float:
    until = time.monotonic() + 10
    while time.monotonic() < until:
        if await listens(machine):
            return time.monotonic()
        await asyncio.sleep(0.02)
    raise d.CannotRun(f"{machine.name} doesn't listen")


async def put(deployment, machines, version, service, seconds) -> str:
    """Sends a configuration until a 200; returns who acknowledged it."""
    route = d.make_route("r-1", "book.example", "/slots/", service)
    body = json.dumps(d.make_document(version, [route], [service])).encode()
    until = time.monotonic() + seconds
    number = 0
    while time.monotonic() < until:
        machine = machines[number % len(machines)]
        number += 1
        answer = await d.call(
            machine.ip, d.CONTROL_PORT, "POST", "/ridgesill/Configuration.Put",
            body,
        )
        status = answer[0] if answer else "no answer"
        deployment.record(
            f"operator: Configuration.Put version={version} at "
            f"{machine.name}: {status}"
        )
        if status == 200:
            return machine.name
        await asyncio.sleep(0.2)
    return ""


async def read_back(deployment, machines, version, seconds) -> bool:
    """Reads the configuration at all machines until one answers with it."""
    until = time.monotonic() + seconds
    number = 0
    while time.monotonic() < until:
        machine = machines[number % len(machines)]
        number += 1
        answer = await d.call(
            machine.ip, d.CONTROL_PORT, "GET", "/ridgesill/Configuration.Get"
        )
        held = None
        if answer is not None and answer[0] == 200:
            held = json.loads(answer[1]).get("version")
        status = answer[0] if answer else "no answer"
        deployment.record(
            f"operator: Configuration.Get at {machine.name}: {status} "
            f"version={held}"
        )
        if held is not None and held >= version:
            return True
        await asyncio.sleep(0.3)
    return False


async def play(deployment: d.Deployment, trouble: bool) -> list[str]:
    replaces = os.environ.get("REPLACE", "1") != "0"
    server = d.PlainServer(
        deployment, "i-1", "hifadhi-api", f"{deployment.subnet}.3.1", "njiro"
    )
    for machine in deployment.machines:
        deployment.start(machine, bootstrap=True)
    first = list(deployment.controls)
    for machine in first:
        await wait_listening(machine)
    await server.start()
    if not await put(deployment, first, 1, "hifadhi-api", 20):
        raise d.CannotRun("the first configuration wasn't taken")
    await deployment.wait_until_ready()
    # The address that servers are told leads to the machine that leads.
    until = time.monotonic() + 10
    while not server.beat_address and time.monotonic() < until:
        await asyncio.sleep(0.1)
    told = server.beat_address.partition(":")[0]
    leaders = [m for m in first if m.ip == told]
    if not leaders:
        raise d.CannotRun("no server was told where to send status reports")
    await asyncio.sleep(8)
    machines = list(first)
    if trouble and replaces:
        gone = leaders[0]
        deployment.kill(gone)
        deployment.record(f"platform: {gone.name} is taken away for good")
        await asyncio.sleep(SUCCESSOR_SECONDS)
        successor = deployment.add_control()
        deployment.start(successor, bootstrap=False)
        machines = [m for m in first if m is not gone] + [successor]
        since = await wait_listening(successor)
        deployment.record(f"platform: {successor.name} listens")
        await asyncio.sleep(
            max(since + CATCH_UP_SECONDS + MARGIN_SECONDS - time.monotonic(), 0)
        )
    else:
        await asyncio.sleep(
            SUCCESSOR_SECONDS + CATCH_UP_SECONDS + MARGIN_SECONDS
        )
    acked = await put(deployment, machines, 2, "hifadhi-api", 10)
    if not acked:
        raise d.CannotRun("the second configuration wasn't taken")
    if trouble:
        # The one that acknowledged it, and another; not the successor.
        old = [m for m in machines if m in first]
        lost = [m for m in old if m.name == acked]
        lost += [m for m in old if m not in lost]
        lost = lost[:2]
        for machine in lost:
            deployment.kill(machine)
        for machine in lost:
            machine.process.wait()
            # Its next life gets a new, empty folder.
            shutil.rmtree(deployment.folder / f"disk-{machine.name}")
            deployment.record(f"platform: {machine.name} loses its disk")
        await asyncio.sleep(DOWN_SECONDS)
        for machine in lost:
            deployment.start(machine, bootstrap=False)
        for machine in lost:
            await wait_listening(machine)
        deployment.record("platform: all machines run")
        await asyncio.sleep(RECOVERY_SECONDS)
    came = await read_back(deployment, machines, 2, READ_SECONDS)
    taken = await put(deployment, machines, 3, "hifadhi-api", 10)
    await server.stop()
    breaches = []
    for machine in machines:
        if not deployment.is_running(machine):
            breaches.append(f"{machine.name} has ended by itself")
    if not came:
        breaches.append(
            "CONFIG: configuration 2 was acknowledged, and no machine "
            f"answered with it for {READ_SECONDS:.0f} s from "
            f"{RECOVERY_SECONDS:.0f} s after all machines were back"
        )
    if not taken:
        deployment.record("seen: configuration 3 wasn't taken either in 10 s")
    return breaches


if __name__ == "__main__":
    sys.exit(d.run_case(Path(__file__).parent, play, controls=5, fronts=2))
