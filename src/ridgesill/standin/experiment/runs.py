"""Plays scenarios with variants and seeds in parallel processes."""

import itertools
import os
from collections.abc import Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed

import attrs

from ridgesill.standin.emulator.clock import run_virtually
from ridgesill.standin.emulator.scenario import Scenario
from ridgesill.standin.emulator.world import Day, World
from ridgesill.standin.experiment.constants import with_constants
from ridgesill.standin.experiment.figures import measure_day, share_by_window
from ridgesill.standin.experiment.plan import Plan, Variant

# Processors left to others.
_SPARE = 1


@attrs.frozen
class Run:
    """One played day.

    Attributes:
        windows: share of worth by the start of each window, in seconds.
    """

    scenario: str
    variant: str
    seed: int
    figures: dict[str, float]
    windows: dict[float, float]


def play_day(scenario: Scenario, seed: int) -> Day:
    """Returns what was seen of a scenario's day."""

    async def play() -> Day:
        return await World(scenario, seed).play()

    return run_virtually(play())


def _run(scenario: Scenario, variant: Variant, seed: int) -> Run:
    with with_constants(variant.constants):
        day = play_day(scenario, seed)
    return Run(
        scenario.name,
        variant.name,
        seed,
        measure_day(day),
        share_by_window(day.outcomes),
    )


def play_plan(plan: Plan, jobs: int = 0) -> Iterator[Run]:
    """Yields runs as they end.

    Args:
        plan: what to play.
        jobs: processes; 0 for all processors but one.
    """
    workers = jobs or max((os.cpu_count() or 2) - _SPARE, 1)
    seeds: Iterable[int] = range(1, plan.seeds + 1)
    with ProcessPoolExecutor(workers) as pool:
        futures = [
            pool.submit(_run, scenario, variant, seed)
            for scenario, variant, seed in itertools.product(
                plan.scenarios, plan.variants, seeds
            )
        ]
        for future in as_completed(futures):
            yield future.result()
