"""`python -m testing.soak`: runs seeds and prints one line of totals."""

import argparse
import asyncio
import concurrent.futures
import random
import sys
import tempfile
from pathlib import Path

from testing.soak.checks import Verdict, judge
from testing.soak.faults import Faults
from testing.soak.pressure import Pressure, PressureRecord
from testing.soak.world import SoakWorld

# Bound in seconds on each step of the recovery after the last fault.
_RECOVERY_SECONDS = 12.0
# Time in seconds for connections to close before the event loop does.
_CLOSE_SECONDS = 0.2
_VIOLATION_KINDS = (
    "lost",
    "doubled",
    "false_not_run",
    "reverted",
    "regressed",
    "cut",
    "harmful",
    "shut_out",
    "rest",
    "leaving",
    "customer",
    "revoked",
    "refused_key",
    "limit",
    "refused_within",
    "named_limit",
    "crowded",
    "mixed",
    "wrong",
    "fell",
    "part",
    "memory",
    "unlogged",
    "exit",
)


def run_seed(
    seed: int, seconds: float, controls: int, fronts: int, linked: int = 1
) -> Verdict:
    """Runs one seed with its own processes and checks the guarantees.

    Args:
        seed: The seed.
        seconds: For how long faults are injected.
        controls: Number of control nodes.
        fronts: Number of fronts.
        linked: Number of fronts that can be cut off from the upstreams.
    """
    with tempfile.TemporaryDirectory(prefix="soak") as folder:
        return asyncio.run(
            _run_seed(Path(folder), seed, seconds, controls, fronts, linked)
        )


async def _run_seed(
    folder: Path,
    seed: int,
    seconds: float,
    controls: int,
    fronts: int,
    linked: int,
) -> Verdict:
    world = SoakWorld(folder, seed, controls, fronts, linked)
    try:
        await world.start()
        world.start_repeating_callers()
        world.start_moving_callers()
        world.start_stream_clients()
        world.start_brittle_load()
        world.start_parts_load()
        faults = Faults(world)
        record = PressureRecord()
        pressure = Pressure(world, record)
        pressure.start()
        await faults.run(seconds)
        await pressure.stop()
        problem = await _recover(world)
        await world.end_traffic()
        verdict = judge(seed, world, faults.injected, record)
        for name in faults.exits:
            verdict.record_violation("exit", name)
        if problem:
            verdict.record_violation("lost", problem)
        if verdict.violations:
            _keep_logs(world, seed, faults, record)
        return verdict
    finally:
        world.stop()
        await asyncio.sleep(_CLOSE_SECONDS)


async def _recover(world: SoakWorld) -> str:
    """Waits until the deployment works again after the faults.

    Returns:
        What didn't recover; empty if everything did.
    """
    try:
        await world.until_served(_RECOVERY_SECONDS)
        await world.put_next(_RECOVERY_SECONDS)
        version = await world.poll(world.read_back, _RECOVERY_SECONDS)
    except AssertionError as error:
        return f"no recovery after the faults: {str(error)[:200]}"
    if version < world.acknowledged:
        return f"read version {version}, acknowledged {world.acknowledged}"
    return ""


def _keep_logs(
    world: SoakWorld, seed: int, faults: Faults, record: PressureRecord
) -> None:
    """Saves the logs and faults of a failed seed in /tmp/soak-SEED."""
    target = Path(tempfile.gettempdir()) / f"soak-{seed}"
    target.mkdir(exist_ok=True)
    for vm in world.vms:
        log = vm.settings_file.with_suffix(".log")
        (target / log.name).write_bytes(log.read_bytes())
    lines = [str(fault) for fault in (*faults.injected, record)]
    (target / "faults.txt").write_text("\n".join(lines) + "\n")


def summarize(verdicts: list[Verdict]) -> str:
    """Returns the line of totals over all seeds."""
    counts = " ".join(
        f"{kind}={sum(v.count(kind) for v in verdicts)}"
        for kind in _VIOLATION_KINDS
    )
    requests = sum(verdict.requests for verdict in verdicts)
    failed = sum(bool(verdict.violations) for verdict in verdicts)
    totals = f"seeds={len(verdicts)} requests={requests}"
    return f"soak: {totals} {counts} open={failed}"


def main() -> int:
    """Runs the seeds that the command line names.

    Returns:
        The exit status: 1 if a guarantee was violated, else 0.
    """
    parser = argparse.ArgumentParser(prog="testing.soak")
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument(
        "--first", type=int, help="first seed (default: random)"
    )
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--controls", type=int, default=3)
    parser.add_argument("--fronts", type=int, default=3)
    parser.add_argument("--linked", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=3)
    options = parser.parse_args()
    first = options.first
    if first is None:
        first = random.SystemRandom().randrange(1_000, 1_000_000)
    verdicts = []
    with concurrent.futures.ProcessPoolExecutor(options.jobs) as pool:
        seed_runs = [
            pool.submit(
                run_seed,
                seed,
                options.seconds,
                options.controls,
                options.fronts,
                options.linked,
            )
            for seed in range(first, first + options.seeds)
        ]
        for done in concurrent.futures.as_completed(seed_runs):
            verdict = done.result()
            verdicts.append(verdict)
            if verdict.violations:
                print(f"seed {verdict.seed}: {verdict.violations}", flush=True)
    print(summarize(verdicts))
    return 1 if any(verdict.violations for verdict in verdicts) else 0


if __name__ == "__main__":
    sys.exit(main())
