"""Runs scenarios with all variants and seeds in parallel processes."""

import itertools
import os
from collections.abc import Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed

import attrs

from ridgesill.standin.emulator.clock import run_on_virtual_clock
from ridgesill.standin.emulator.scenario import Scenario
from ridgesill.standin.emulator.world import EmulatedDeployment, EmulationResult
from ridgesill.standin.experiment.constants import override_constants
from ridgesill.standin.experiment.figures import (
    compute_figures,
    share_by_window,
)
from ridgesill.standin.experiment.plan import Plan, Variant

# Processors left free for other programs.
_SPARE_PROCESSORS = 1


@attrs.frozen
class Run:
    """The results of one emulated run.

    Attributes:
        scenario: name of the scenario.
        variant: name of the variant.
        seed: seed of the run.
        figures: figures by name; times are in seconds.
        windows: share of worth by the start of each window, in seconds.
    """

    scenario: str
    variant: str
    seed: int
    figures: dict[str, float]
    windows: dict[float, float]


def run_scenario(scenario: Scenario, seed: int) -> EmulationResult:
    """Runs a scenario with a seed on a virtual clock."""

    async def run() -> EmulationResult:
        return await EmulatedDeployment(scenario, seed).run()

    return run_on_virtual_clock(run())


def _run_once(scenario: Scenario, variant: Variant, seed: int) -> Run:
    with override_constants(variant.constants):
        result = run_scenario(scenario, seed)
    return Run(
        scenario.name,
        variant.name,
        seed,
        compute_figures(result),
        share_by_window(result.outcomes),
    )


def run_plan(plan: Plan, jobs: int = 0) -> Iterator[Run]:
    """Runs a plan and yields the runs in the order in which they end.

    Args:
        plan: plan of the experiment.
        jobs: number of processes; 0 for all processors but one.
    """
    workers = jobs or max((os.cpu_count() or 2) - _SPARE_PROCESSORS, 1)
    seeds: Iterable[int] = range(1, plan.seeds + 1)
    with ProcessPoolExecutor(workers) as pool:
        futures = [
            pool.submit(_run_once, scenario, variant, seed)
            for scenario, variant, seed in itertools.product(
                plan.scenarios, plan.variants, seeds
            )
        ]
        for future in as_completed(futures):
            yield future.result()
