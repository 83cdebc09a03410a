"""`python -m testing.soak`: plays seeds and prints one line of totals."""

import argparse
import asyncio
import concurrent.futures
import random
import sys
import tempfile
from pathlib import Path

from testing.soak.checks import Verdict, judge
from testing.soak.faults import Faults
from testing.soak.world import SoakWorld

# Within which everything must be served again after the last fault, seconds.
_RECOVERY_SECONDS = 12.0
# For connections to end before the event loop does, in seconds.
_CLOSE_SECONDS = 0.2
_VIOLATION_KINDS = (
    "lost",
    "doubled",
    "false_not_run",
    "reverted",
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
)


def run_seed(seed: int, seconds: float, controls: int, fronts: int) -> Verdict:
    """Plays one seed with its own processes."""
    with tempfile.TemporaryDirectory(prefix="soak") as folder:
        return asyncio.run(
            _run_seed(Path(folder), seed, seconds, controls, fronts)
        )


async def _run_seed(
    folder: Path, seed: int, seconds: float, controls: int, fronts: int
) -> Verdict:
    world = SoakWorld(folder, seed, controls, fronts)
    try:
        await world.start()
        world.start_repeating_callers()
        faults = Faults(world)
        await faults.run(seconds)
        problem = await _recover(world)
        await world.end_traffic()
        verdict = judge(seed, world, faults.injected)
        for name in faults.exits:
            verdict.record_violation("exit", name)
        if problem:
            verdict.record_violation("lost", problem)
        if verdict.violations:
            _keep_logs(world, seed, faults)
        return verdict
    finally:
        world.stop()
        await asyncio.sleep(_CLOSE_SECONDS)


async def _recover(world: SoakWorld) -> str:
    """Returns what did not come back after the faults, or nothing."""
    try:
        await world.until_served(_RECOVERY_SECONDS)
        await world.put_next(_RECOVERY_SECONDS)
        version = await world.poll(world.read_back, _RECOVERY_SECONDS)
    except AssertionError as error:
        return f"not served again: {str(error)[:200]}"
    if version < world.acknowledged:
        return f"read {version}, acknowledged {world.acknowledged}"
    return ""


def _keep_logs(world: SoakWorld, seed: int, faults: Faults) -> None:
    """Leaves the logs of a seed that failed under /tmp."""
    kept = Path(tempfile.gettempdir()) / f"soak-{seed}"
    kept.mkdir(exist_ok=True)
    for vm in world.vms:
        log = vm.settings_file.with_suffix(".log")
        (kept / log.name).write_bytes(log.read_bytes())
    lines = [str(fault) for fault in faults.injected]
    (kept / "faults.txt").write_text("\n".join(lines) + "\n")


def summarize(verdicts: list[Verdict]) -> str:
    """Returns the line of totals."""
    counts = " ".join(
        f"{kind}={sum(v.count(kind) for v in verdicts)}"
        for kind in _VIOLATION_KINDS
    )
    requests = sum(verdict.requests for verdict in verdicts)
    failed = sum(bool(verdict.violations) for verdict in verdicts)
    played = f"seeds={len(verdicts)} requests={requests}"
    return f"soak: {played} {counts} open={failed}"


def main() -> int:
    """Plays the seeds that the command line names."""
    parser = argparse.ArgumentParser(prog="testing.soak")
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--first", type=int, help="first seed; else by chance")
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--controls", type=int, default=3)
    parser.add_argument("--fronts", type=int, default=3)
    parser.add_argument("--jobs", type=int, default=3)
    given = parser.parse_args()
    first = given.first
    if first is None:
        first = random.SystemRandom().randrange(1_000, 1_000_000)
    verdicts = []
    with concurrent.futures.ProcessPoolExecutor(given.jobs) as pool:
        seed_runs = [
            pool.submit(
                run_seed, seed, given.seconds, given.controls, given.fronts
            )
            for seed in range(first, first + given.seeds)
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
