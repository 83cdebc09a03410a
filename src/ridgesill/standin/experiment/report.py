"""Runs an experiment and writes its runs, tables and plots to a folder."""

from collections.abc import Sequence
from pathlib import Path

import msgspec

from ridgesill.standin.experiment.figures import compare_paired
from ridgesill.standin.experiment.plan import Plan
from ridgesill.standin.experiment.runs import Run, run_plan

RUNS = "runs.jsonl"
REPORT = "report.md"
# Figures in the tables of variants, besides each kind's share in time.
_VARIANT_FIGURES = (
    "worth",
    "cost",
    "worst windows",
    "refused",
    "loads",
    "reloads",
)
# How far an emulated figure may differ from the measured one without being
# marked: absolute for shares, relative to the measured value for others.
_SHARE_TOLERANCE = 0.05
_OTHER_TOLERANCE = 0.1


def write_report(plan: Plan, folder: Path, jobs: int) -> str:
    """Runs an experiment, writes the results and returns the tables.

    Args:
        plan: plan of the experiment.
        folder: folder to write to; created if missing.
        jobs: number of processes; 0 for all processors but one.

    Returns:
        The tables in Markdown and the path of the report.

    Raises:
        ImportError: a package for plots or progress is not installed.
        OSError: a file can't be written.
    """
    # Optional dependencies that only experiments use.
    from tqdm import tqdm

    from ridgesill.standin.experiment.plots import draw_plots

    folder.mkdir(parents=True, exist_ok=True)
    total = len(plan.scenarios) * len(plan.variants) * plan.seeds
    runs = list(tqdm(run_plan(plan, jobs), total=total, unit="run"))
    write_runs(folder, runs)
    report = make_report(plan, runs)
    paths = draw_plots(folder, plan, runs)
    links = "".join(f"\n![{path.stem}]({path.name})\n" for path in paths)
    (folder / REPORT).write_text(report + links)
    return f"{report}\n{folder / REPORT}"


def write_runs(folder: Path, runs: Sequence[Run]) -> None:
    """Writes the runs as JSON lines."""
    lines = (msgspec.json.encode(run) + b"\n" for run in runs)
    (folder / RUNS).write_bytes(b"".join(lines))


def make_report(plan: Plan, runs: Sequence[Run]) -> str:
    """Returns the tables of all scenarios, in Markdown."""
    parts = []
    for scenario in plan.scenarios:
        of_scenario = [run for run in runs if run.scenario == scenario.name]
        parts.append(f"## {scenario.name}, {plan.seeds} seeds\n")
        measured = plan.measured.get(scenario.name)
        if measured:
            parts.append(_format_calibration(plan, of_scenario, measured))
        if len(plan.variants) > 1:
            parts.append(_format_comparison(plan, of_scenario))
    return "\n".join(parts)


def figure_values(
    runs: Sequence[Run], variant: str, figure: str
) -> list[float]:
    """Returns a figure of a variant's runs, in order of their seeds.

    Args:
        runs: runs of one scenario.
        variant: name of the variant.
        figure: name of the figure; runs without it count as 0.
    """
    chosen = [run for run in runs if run.variant == variant]
    chosen.sort(key=lambda run: run.seed)
    return [run.figures.get(figure, 0.0) for run in chosen]


def _format_calibration(
    plan: Plan, runs: Sequence[Run], measured: dict[str, float]
) -> str:
    rows = ["| figure | measured | emulated | |", "|---|---|---|---|"]
    first = plan.variants[0].name
    for figure, value in measured.items():
        values = figure_values(runs, first, figure)
        mean = sum(values) / len(values)
        verdict = "" if _is_close(figure, value, mean) else "differs"
        rows.append(f"| {figure} | {value:.3f} | {mean:.3f} | {verdict} |")
    return "\n".join(rows) + "\n"


def _is_close(figure: str, measured: float, emulated: float) -> bool:
    is_share = figure.endswith(("in time", "served")) or figure == "worth"
    if is_share:
        return abs(emulated - measured) <= _SHARE_TOLERANCE
    return abs(emulated - measured) <= _OTHER_TOLERANCE * abs(measured)


def _format_comparison(plan: Plan, runs: Sequence[Run]) -> str:
    names = sorted({f for run in runs for f in run.figures})
    shown = [*_VARIANT_FIGURES, *(f for f in names if f.endswith("in time"))]
    rows = [
        "| variant | " + " | ".join(shown) + " |",
        "|---|" + "---|" * len(shown),
    ]
    first = plan.variants[0].name
    for variant in plan.variants:
        cells = [
            _format_cell(runs, first, variant.name, figure) for figure in shown
        ]
        rows.append(f"| {variant.name} | " + " | ".join(cells) + " |")
    return "\n".join(rows) + "\n"


def _format_cell(
    runs: Sequence[Run], first: str, variant: str, figure: str
) -> str:
    base = figure_values(runs, first, figure)
    if variant == first:
        return f"{sum(base) / len(base):.3f}"
    paired = compare_paired(base, figure_values(runs, variant, figure))
    difference = f"{paired.difference:+.3f} ± {paired.half_width:.3f}"
    return f"{paired.mean:.3f} ({difference})"
