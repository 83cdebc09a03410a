"""Runs many schedules: `python -m testing.explorer play --schedules 50000`."""

import concurrent.futures
import os
import sys
import time
from typing import Any

import fire

from testing.explorer.mutants import apply_mutant
from testing.explorer.schedules import generate_schedule, run_schedule, shrink

# Schedules that a worker process runs per task.
_BATCH_SIZE = 25


def _run_batch(
    first: int, count: int, without: str, wide: bool
) -> dict[int, list[str]]:
    failed = {}
    with apply_mutant(without):
        for seed in range(first, first + count):
            violations, _ = run_schedule(generate_schedule(seed, wide=wide))
            if violations:
                failed[seed] = violations
    return failed


def explore(
    schedules: int = 1000,
    first: int = 0,
    without: str = "",
    jobs: int = 0,
    enough: int = 0,
    wide: bool = False,
) -> dict[int, list[str]]:
    """Runs schedules on several processes.

    Args:
        schedules: number of schedules.
        first: seed of the first schedule; each further one adds 1.
        without: name of the mutant to apply; empty for none.
        jobs: number of processes; 0 for one per processor.
        enough: number of failures after which no more schedules are started;
            0 to run all.
        wide: whether schedules contain more kinds of faults.

    Returns:
        The violated invariants by seed.
    """
    failed: dict[int, list[str]] = {}
    workers = jobs or os.cpu_count() or 1
    with concurrent.futures.ProcessPoolExecutor(workers) as pool:
        batches = [
            pool.submit(
                _run_batch,
                seed,
                min(_BATCH_SIZE, first + schedules - seed),
                without,
                wide,
            )
            for seed in range(first, first + schedules, _BATCH_SIZE)
        ]
        for batch in batches:
            failed.update(batch.result())
            if enough and len(failed) >= enough:
                pool.shutdown(wait=True, cancel_futures=True)
                break
    return failed


def main(schedules: int = 1000, **options: Any) -> None:
    """Runs schedules and prints violations; takes the options of `explore`."""
    began = time.monotonic()
    failed = explore(schedules, **options)
    for seed, violations in sorted(failed.items()):
        print(f"seed {seed}: {'; '.join(violations)}")
    seconds = time.monotonic() - began
    print(f"{schedules} schedules, {len(failed)} failed, {seconds:.0f} s")
    sys.exit(1 if failed else 0)


def show(
    seed: int, without: str = "", lines: int = 40, wide: bool = False
) -> None:
    """Shrinks a failing schedule and prints it with its last log lines."""
    with apply_mutant(without):
        schedule = shrink(
            generate_schedule(seed, wide=wide),
            lambda candidate: bool(run_schedule(candidate)[0]),
        )
        violations, world = run_schedule(schedule)
    print(schedule)
    for line in world.log[-lines:]:
        print(line)
    print("; ".join(violations) or "holds")


if __name__ == "__main__":
    fire.Fire({"play": main, "show": show})
