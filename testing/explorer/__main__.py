"""Plays schedules by hand: `python -m testing.explorer --schedules 50000`."""

import concurrent.futures
import os
import sys
import time
from typing import Any

import fire

from testing.explorer.mutants import take_out
from testing.explorer.schedules import draw_schedule, play, shrink

# Schedules that a worker plays between two words.
_BATCH = 25


def _play_batch(
    first: int, count: int, without: str, wide: bool
) -> dict[int, list[str]]:
    failed = {}
    with take_out(without):
        for seed in range(first, first + count):
            found, _ = play(draw_schedule(seed, wide=wide))
            if found:
                failed[seed] = found
    return failed


def explore(
    schedules: int = 1000,
    first: int = 0,
    without: str = "",
    jobs: int = 0,
    enough: int = 0,
    wide: bool = False,
) -> dict[int, list[str]]:
    """Plays schedules on several processes.

    Args:
        schedules: how many.
        first: the seed of the first.
        without: a mend that is taken out.
        jobs: processes; as many as there are processors when 0.
        enough: failures after which no more are played; all when 0.
        wide: whether more kinds of faults are drawn.

    Returns:
        What didn't hold, by seed.
    """
    failed: dict[int, list[str]] = {}
    workers = jobs or os.cpu_count() or 1
    with concurrent.futures.ProcessPoolExecutor(workers) as pool:
        batches = [
            pool.submit(
                _play_batch,
                seed,
                min(_BATCH, first + schedules - seed),
                without,
                wide,
            )
            for seed in range(first, first + schedules, _BATCH)
        ]
        for batch in batches:
            failed.update(batch.result())
            if enough and len(failed) >= enough:
                pool.shutdown(wait=True, cancel_futures=True)
                break
    return failed


def main(schedules: int = 1000, **options: Any) -> None:
    """Plays schedules and says what didn't hold; options as of `explore`."""
    began = time.monotonic()
    failed = explore(schedules, **options)
    for seed, found in sorted(failed.items()):
        print(f"seed {seed}: {'; '.join(found)}")
    seconds = time.monotonic() - began
    print(f"{schedules} schedules, {len(failed)} failed, {seconds:.0f} s")
    sys.exit(1 if failed else 0)


def show(
    seed: int, without: str = "", lines: int = 40, wide: bool = False
) -> None:
    """Shrinks a schedule that fails, and prints it and its orders."""
    with take_out(without):
        schedule = shrink(
            draw_schedule(seed, wide=wide), lambda tried: bool(play(tried)[0])
        )
        found, world = play(schedule)
    print(schedule)
    for line in world.log[-lines:]:
        print(line)
    print("; ".join(found) or "holds")


if __name__ == "__main__":
    fire.Fire({"play": main, "show": show})
