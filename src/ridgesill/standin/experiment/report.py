"""Writes an experiment's runs, tables and plots into a folder."""

from collections.abc import Sequence
from pathlib import Path

import msgspec

from ridgesill.standin.experiment.figures import compare
from ridgesill.standin.experiment.plan import Plan
from ridgesill.standin.experiment.runs import Run, play_plan

RUNS = "runs.jsonl"
REPORT = "report.md"
# Figures that tables of variants show, beside those of each kind in time.
_SHOWN = ("worth", "cost", "worst windows", "refused", "loads", "reloads")
# How far an emulated share may lie from a measured one; other figures by a
# tenth of the measured one.
_SHARE_TOLERANCE = 0.05
_OTHER_TOLERANCE = 0.1


def write_report(plan: Plan, folder: Path, jobs: int) -> str:
    """Plays an experiment, writes what it showed, and returns the tables."""
    from tqdm import tqdm  # Only the tool needs these two.

    from ridgesill.standin.experiment.plots import draw_plots

    folder.mkdir(parents=True, exist_ok=True)
    total = len(plan.scenarios) * len(plan.variants) * plan.seeds
    runs = list(tqdm(play_plan(plan, jobs), total=total, unit="run"))
    write_runs(folder, runs)
    report = make_report(plan, runs)
    paths = draw_plots(folder, plan, runs)
    links = "".join(f"\n![{path.stem}]({path.name})\n" for path in paths)
    (folder / REPORT).write_text(report + links)
    return f"{report}\n{folder / REPORT}"


def write_runs(folder: Path, runs: Sequence[Run]) -> None:
    """Writes one JSON line a run."""
    lines = (msgspec.json.encode(run) + b"\n" for run in runs)
    (folder / RUNS).write_bytes(b"".join(lines))


def make_report(plan: Plan, runs: Sequence[Run]) -> str:
    """Returns tables, in Markdown."""
    parts = []
    for scenario in plan.scenarios:
        of_scenario = [run for run in runs if run.scenario == scenario.name]
        parts.append(f"## {scenario.name}, {plan.seeds} seeds\n")
        measured = plan.measured.get(scenario.name)
        if measured:
            parts.append(_calibration(plan, of_scenario, measured))
        if len(plan.variants) > 1:
            parts.append(_comparison(plan, of_scenario))
    return "\n".join(parts)


def values_of(runs: Sequence[Run], variant: str, figure: str) -> list[float]:
    """Returns a figure of a variant's runs, in order of their seeds."""
    chosen = [run for run in runs if run.variant == variant]
    chosen.sort(key=lambda run: run.seed)
    return [run.figures.get(figure, 0.0) for run in chosen]


def _calibration(
    plan: Plan, runs: Sequence[Run], measured: dict[str, float]
) -> str:
    rows = ["| figure | measured | emulated | |", "|---|---|---|---|"]
    first = plan.variants[0].name
    for figure, value in measured.items():
        values = values_of(runs, first, figure)
        mean = sum(values) / len(values)
        verdict = "" if _is_close(figure, value, mean) else "differs"
        rows.append(f"| {figure} | {value:.3f} | {mean:.3f} | {verdict} |")
    return "\n".join(rows) + "\n"


def _is_close(figure: str, measured: float, emulated: float) -> bool:
    is_share = figure.endswith(("in time", "served")) or figure == "worth"
    if is_share:
        return abs(emulated - measured) <= _SHARE_TOLERANCE
    return abs(emulated - measured) <= _OTHER_TOLERANCE * abs(measured)


def _comparison(plan: Plan, runs: Sequence[Run]) -> str:
    names = sorted({f for run in runs for f in run.figures})
    shown = [*_SHOWN, *(f for f in names if f.endswith("in time"))]
    rows = [
        "| variant | " + " | ".join(shown) + " |",
        "|---|" + "---|" * len(shown),
    ]
    first = plan.variants[0].name
    for variant in plan.variants:
        cells = [_cell(runs, first, variant.name, figure) for figure in shown]
        rows.append(f"| {variant.name} | " + " | ".join(cells) + " |")
    return "\n".join(rows) + "\n"


def _cell(runs: Sequence[Run], first: str, variant: str, figure: str) -> str:
    base = values_of(runs, first, figure)
    if variant == first:
        return f"{sum(base) / len(base):.3f}"
    found = compare(base, values_of(runs, variant, figure))
    difference = f"{found.difference:+.3f} ± {found.half_width:.3f}"
    return f"{found.mean:.3f} ({difference})"
