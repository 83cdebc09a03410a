"""A core machine that was off for 7 s is left without a vote for good.

A successor of another machine waits meanwhile, as in a planned replacement, and
gets the vote. When the old machine has gone and two others lose their disks,
two of five voters are left.
"""

import asyncio
import json
import os
import shutil
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

import deployment as d  # noqa: E402

CATCH_UP_SECONDS = float(d.BOUNDS["catch_up_s"])
OFF_SECONDS = 7.0
DOWN_SECONDS = 1.0
# Between the end of the replacement and the loss of two disks.
CALM_SECONDS = float(os.environ.get("CALM", "20"))
RECOVERY_SECONDS = float(d.BOUNDS["recovery_s"])
READ_SECONDS = 12.0


async def wait_listening(machine: d.Machine) -> float:
    """Waits until a machine's control address takes connections."""
    until = time.monotonic() + 10
    while time.monotonic() < until:
        try:
            _, writer = await asyncio.open_connection(
                machine.ip, d.CONTROL_PORT
            )
        except OSError:
            await asyncio.sleep(0.02)
            continue
        writer.close()
        return time.monotonic()
    raise d.CannotRun(f"{machine.name} doesn't listen")


async def wait_ended(deployment, machine: d.Machine) -> None:
    """Waits until a stopped process ends; kills it after `grace_s`."""
    until = time.monotonic() + d.GRACE_SECONDS
    while deployment.is_running(machine):
        if time.monotonic() > until:
            deployment.kill(machine)
            machine.process.wait()
        await asyncio.sleep(0.05)


async def put(deployment, machines, version, seconds) -> str:
    """Sends a configuration until a 200; returns who acknowledged it."""
    route = d.make_route("r-1", "book.example", "/slots/", "hifadhi-api")
    document = d.make_document(version, [route], ["hifadhi-api"])
    body = json.dumps(document).encode()
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
    for machine in deployment.machines:
        deployment.start(machine, bootstrap=True)
    first = list(deployment.controls)
    for machine in first:
        await wait_listening(machine)
    if not await put(deployment, first, 1, 20):
        raise d.CannotRun("the first configuration wasn't taken")
    await deployment.wait_until_ready()
    await asyncio.sleep(4)
    old, off, *others = first
    if os.environ.get("OFF") == "0":
        off = None
    machines = list(first)
    if trouble:
        successor = deployment.add_control()
        deployment.start(successor, bootstrap=False)
        await wait_listening(successor)
        await asyncio.sleep(1)
        if off is not None:
            deployment.kill(off)
            off.process.wait()
        await asyncio.sleep(OFF_SECONDS)
        if off is not None:
            deployment.start(off, bootstrap=False)
            await wait_listening(off)
        await asyncio.sleep(CATCH_UP_SECONDS + 0.5)
        old.process.terminate()
        deployment.record(f"platform: SIGTERM {old.name}, gone for good")
        await wait_ended(deployment, old)
        machines = [m for m in first if m is not old] + [successor]
        await asyncio.sleep(CALM_SECONDS)
    acked = await put(deployment, machines, 2, 10)
    if not acked:
        raise d.CannotRun("the second configuration wasn't taken")
    if trouble:
        lost = sorted(others, key=lambda m: m.name != acked)[:2]
        for machine in lost:
            deployment.kill(machine)
        for machine in lost:
            machine.process.wait()
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
    taken = await put(deployment, machines, 3, 8)
    if not taken:
        deployment.record("seen: configuration 3 wasn't taken either in 8 s")
    breaches = [
        f"{machine.name} has ended by itself"
        for machine in machines
        if not deployment.is_running(machine)
    ]
    if not came:
        breaches.append(
            "CONFIG: configuration 2 was acknowledged, and no machine "
            f"answered with it for {READ_SECONDS:.0f} s from "
            f"{RECOVERY_SECONDS:.0f} s after all machines were back"
        )
    return breaches


if __name__ == "__main__":
    sys.exit(d.run_case(Path(__file__).parent, play, controls=5, fronts=2))
