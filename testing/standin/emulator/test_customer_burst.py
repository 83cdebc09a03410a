"""Tests of slots and loads between customers, on replays of a burst.

Load pattern: one of 16 customers sends 4 to 7.5 times its usual load for 5 s
with adapters that are requested only once, while the others need nearly the
whole rate of the store. Quotas, which would refuse a part of it, are absent.
"""

import attrs
import pytest

from ridgesill.app.upstream_search import UpstreamSearch
from ridgesill.standin.emulator.customer_burst import (
    BURST_SECONDS,
    CUSTOMERS,
    LOADS_PER_SECOND,
    BurstFigures,
    compute_burst_figures,
    make_scenario,
)
from ridgesill.standin.experiment.figures import compute_figures
from ridgesill.standin.experiment.runs import run_scenario


def play(factor: float, seed: int) -> BurstFigures:
    """Returns the figures of a replay."""
    return compute_burst_figures(
        run_scenario(make_scenario(factor), seed).outcomes
    )


@pytest.mark.parametrize(("seed", "factor"), [(1, 7.5), (2, 4.0)])
def test_a_burst_of_rare_adapters_costs_others_little(
    seed: int, factor: float
) -> None:
    # Guards against slots and loads that go to whoever requests most adapters.
    calm = play(1.0, seed)
    burst = play(factor, seed)
    assert burst.others >= calm.others - 0.03
    fair_loads = LOADS_PER_SECOND / CUSTOMERS * BURST_SECONDS
    assert burst.rare_in_time >= fair_loads


def test_without_customers_nothing_changes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against an order by priority where no customers are configured.
    scenario = attrs.evolve(
        make_scenario(1.0), customers=0, seconds=2.0, is_warm=False
    )
    figures = compute_figures(run_scenario(scenario, 1))
    make_want = UpstreamSearch._make_want

    def make_old_want(*args: object, **options: object) -> object:
        want = make_want(*args, **options)  # type: ignore[arg-type]
        return attrs.evolve(want, priority=2, customer="")

    monkeypatch.setattr(UpstreamSearch, "_make_want", make_old_want)
    assert compute_figures(run_scenario(scenario, 1)) == figures
