"""Plots the worth over time and the differences between variants."""

from collections.abc import Sequence
from pathlib import Path
from typing import Any

from ridgesill.standin.experiment.figures import compare_paired
from ridgesill.standin.experiment.plan import Plan
from ridgesill.standin.experiment.report import figure_values
from ridgesill.standin.experiment.runs import Run

_DOTS_PER_INCH = 110


def draw_plots(folder: Path, plan: Plan, runs: Sequence[Run]) -> list[Path]:
    """Writes a PNG file for each scenario and returns their paths.

    Args:
        folder: existing folder to write to.
        plan: plan of the experiment.
        runs: all runs of the plan.
    """
    # Optional dependency, slow to import and used by experiments only.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    paths = []
    for scenario in plan.scenarios:
        of_scenario = [run for run in runs if run.scenario == scenario.name]
        figure, (over_time, effects) = pyplot.subplots(
            1, 2, figsize=(12, 4.5), layout="constrained"
        )
        _draw_worth_over_time(over_time, plan, of_scenario)
        _draw_effects(effects, plan, of_scenario)
        figure.suptitle(f"{scenario.name}, {plan.seeds} seeds")
        path = folder / f"{scenario.name}.png"
        figure.savefig(path, dpi=_DOTS_PER_INCH)
        pyplot.close(figure)
        paths.append(path)
    return paths


def _draw_worth_over_time(axes: Any, plan: Plan, runs: Sequence[Run]) -> None:
    for variant in plan.variants:
        variant_windows = [
            run.windows for run in runs if run.variant == variant.name
        ]
        starts = sorted(
            {start for windows in variant_windows for start in windows}
        )
        means = []
        for start in starts:
            shares = [w[start] for w in variant_windows if start in w]
            means.append(sum(shares) / len(shares))
        axes.plot(starts, means, label=variant.name, linewidth=1.5)
    axes.set_xlabel("seconds from the first request")
    axes.set_ylabel("share of the worth")
    axes.set_ylim(0, 1.02)
    axes.legend(fontsize=8)


def _draw_effects(axes: Any, plan: Plan, runs: Sequence[Run]) -> None:
    first = plan.variants[0].name
    base = figure_values(runs, first, "worth")
    names = [variant.name for variant in plan.variants[1:]]
    differences = [
        compare_paired(base, figure_values(runs, name, "worth"))
        for name in names
    ]
    axes.barh(
        names,
        [item.difference for item in differences],
        xerr=[item.half_width for item in differences],
        color="tab:gray",
        capsize=3,
    )
    axes.axvline(0.0, color="black", linewidth=0.8)
    axes.invert_yaxis()
    axes.set_xlabel(f"difference in worth from '{first}', paired seeds, 95 %")
