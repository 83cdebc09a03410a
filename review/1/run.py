"""Three machines of the core are replaced, one after the other.

The machine that leads gets SIGTERM and never comes back; its successor starts
a second later, at a new address and with an empty disk. The next machine is
replaced once that successor has run for longer than `catch_up_s`.

TROUBLE=0 replaces none. TROUBLE=two replaces two machines, TROUBLE=slow three
with a longer pause; both are there to compare.
"""

import asyncio
import json
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common.deployment import (  # noqa: E402
    BOUNDS,
    CONTROL_PORT,
    CannotRun,
    PlainServer,
    call,
    make_document,
    make_route,
    run_case,
)

MODE = os.environ.get("TROUBLE", "1")
# Seconds from the end of a machine to the start of its successor, as for
# `replace_core` in the site file and its default.
SUCCESSOR_AFTER_SECONDS = 1.0
# How long a successor has run when the next machine is replaced.
RUN_SECONDS = BOUNDS["catch_up_s"] + (6.0 if MODE == "slow" else 0.5)
# For how long the operator reads at the end.
READ_SECONDS = 3 * BOUNDS["recovery_s"]


async def put(deployment, version, seconds):
    """Sends a configuration; returns whether it was acknowledged."""
    route = make_route("r1", "a.example", "/a/", "plain")
    document = make_document(version, [route], ["plain"])
    return await deployment.put_configuration(document, seconds) is not None


async def read_version(deployment, machine):
    """Returns the status and version with which a machine answers a read."""
    answer = await call(
        machine.ip, CONTROL_PORT, "GET", "/ridgesill/Configuration.Get"
    )
    status, version = "no answer", 0
    if answer is not None:
        status = answer[0]
        if status == 200:
            version = json.loads(answer[1]).get("version", 0)
    deployment.record(
        f"operator: Configuration.Get at {machine.name}: {status}"
        + (f" version={version}" if version else "")
    )
    return status, version


async def find_leader(deployment, server):
    """Returns the machine to which the server is told to send its reports."""
    for _ in range(50):
        ip = server.beat_address.partition(":")[0]
        for machine in deployment.controls:
            if machine.ip == ip:
                return machine
        await asyncio.sleep(0.1)
    raise CannotRun(f"no machine leads: {server.beat_address!r}")


async def replace(deployment, leaving):
    """Replaces a machine by one at another address with an empty disk."""
    deployment.record(f"platform: SIGTERM {leaving.name}, taken away for good")
    leaving.process.terminate()
    until = time.monotonic() + BOUNDS["grace_s"]
    while leaving.process.poll() is None:
        if time.monotonic() > until:
            deployment.kill(leaving)
        await asyncio.sleep(0.05)
    deployment.record(f"platform: {leaving.name} has ended")
    deployment.controls.remove(leaving)
    deployment.gone.append(leaving)
    await asyncio.sleep(SUCCESSOR_AFTER_SECONDS)
    deployment.start(deployment.spares.pop(0), bootstrap=False)


async def play(deployment, trouble):
    for machine in deployment.machines:
        deployment.start(machine, bootstrap=True)
    # Addresses of the machines that may be added.
    deployment.spares = [deployment.add_control() for _ in range(3)]
    del deployment.controls[-3:]
    deployment.gone = []
    if not await put(deployment, 1, 20):
        raise CannotRun("the first configuration was not taken")
    server = PlainServer(
        deployment, "i-1", "plain", f"{deployment.subnet}.3.1", "njiro"
    )
    await server.start()
    await deployment.wait_until_ready()
    await asyncio.sleep(6.0)

    count = {"0": 0, "two": 2}.get(MODE, 3)
    version = 1
    for number in range(count):
        version += 1
        if not await put(deployment, version, 20):
            raise CannotRun(f"version {version} was not taken")
        spare = deployment.spares[0]
        leader = await find_leader(deployment, server)
        await replace(deployment, leader)
        deployment.controls.append(spare)
        if number < count - 1:
            await asyncio.sleep(RUN_SECONDS)

    began_at = time.monotonic()
    newest, answered, asked = 0, 0, 0
    while time.monotonic() < began_at + READ_SECONDS and newest < version:
        for machine in deployment.controls:
            status, found = await read_version(deployment, machine)
            asked += 1
            answered += status == 200
            newest = max(newest, found)
        await asyncio.sleep(0.5)
    taken = await put(deployment, version + 1, 8)
    await server.stop()
    for machine in deployment.machines:
        is_running = deployment.is_running(machine)
        deployment.record(f"platform: {machine.name} running: {is_running}")
    if newest >= version:
        return []
    breaches = [
        f"CONFIG: version {version} was acknowledged and does not come: of "
        f"{asked} reads in {READ_SECONDS} s, {answered} got 200, the newest "
        f"version read is {newest}"
    ]
    if not taken:
        breaches.append("nor was a further change taken in 8 s")
    return breaches


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play, controls=5, fronts=2))
