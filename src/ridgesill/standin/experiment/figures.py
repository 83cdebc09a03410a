"""Figures of an emulated run, and their comparison over seeds."""

import statistics
from collections.abc import Callable, Sequence

import attrs

from ridgesill.standin.emulator.world import EmulationResult
from ridgesill.standin.emulator.worth import Outcome

_WINDOW_SECONDS = 2.0
_WORST_WINDOWS = 2
# The share of a kind's requests, by worth, that counts as its largest.
_LARGEST_SHARE = 0.1
# Confidence level of the intervals of differences.
_CONFIDENCE = 0.95


def compute_figures(result: EmulationResult) -> dict[str, float]:
    """Returns the figures of a run by name; times are in seconds."""
    outcomes = result.outcomes
    total_worth = sum(o.arrival.worth for o in outcomes) or 1.0
    figures = {
        "worth": _worth_share(outcomes),
        "cost": sum(o.cost for o in outcomes) / total_worth,
        "worst windows": _worst_windows(outcomes),
        "refused": _share_where(outcomes, lambda o: o.refusals > 0),
        "loads": float(result.loads),
        "reloads": float(result.reloads),
    }
    for name in sorted({o.arrival.kind.name for o in outcomes}):
        of_kind = [o for o in outcomes if o.arrival.kind.name == name]
        figures.update(_measure_kind(name, of_kind))
    return figures


def _measure_kind(name: str, outcomes: list[Outcome]) -> dict[str, float]:
    first_event_times = sorted(
        o.first_event_seconds
        for o in outcomes
        if o.complete and o.first_event_seconds
    )
    by_size = sorted(outcomes, key=lambda o: o.arrival.worth)
    largest = by_size[-max(int(len(by_size) * _LARGEST_SHARE), 1) :]
    return {
        f"{name} in time": _share_where(outcomes, lambda o: o.is_in_time),
        f"{name} served": _share_where(outcomes, lambda o: o.complete),
        f"{name} first p50": _quantile(first_event_times, 0.5),
        f"{name} first p90": _quantile(first_event_times, 0.9),
        f"{name} largest tenth": _worth_share(largest),
    }


def _worth_share(outcomes: Sequence[Outcome]) -> float:
    """Returns the worth of the answers as a share of the maximum worth."""
    total_worth = sum(o.arrival.worth for o in outcomes)
    return sum(o.worth for o in outcomes) / total_worth if total_worth else 0.0


def _share_where(
    outcomes: Sequence[Outcome], predicate: Callable[[Outcome], bool]
) -> float:
    return sum(map(predicate, outcomes)) / max(len(outcomes), 1)


def _quantile(values: Sequence[float], share: float) -> float:
    if not values:
        return 0.0
    return values[min(int(len(values) * share), len(values) - 1)]


def share_by_window(outcomes: Sequence[Outcome]) -> dict[float, float]:
    """Returns the share of worth in each window of 2 s, by its start."""
    windows: dict[float, list[Outcome]] = {}
    for outcome in outcomes:
        start = outcome.arrival.at // _WINDOW_SECONDS * _WINDOW_SECONDS
        windows.setdefault(start, []).append(outcome)
    return {start: _worth_share(windows[start]) for start in sorted(windows)}


def _worst_windows(outcomes: Sequence[Outcome]) -> float:
    shares = sorted(share_by_window(outcomes).values())
    return statistics.fmean(shares[:_WORST_WINDOWS]) if shares else 0.0


@attrs.frozen
class Difference:
    """A figure of a variant compared with the first variant's.

    Attributes:
        mean: mean of the figure over the seeds.
        difference: mean difference from the first variant, paired by seed.
        half_width: half of the width of the difference's confidence
            interval; infinite with fewer than two seeds.
    """

    mean: float
    difference: float
    half_width: float


def compare_paired(
    first: Sequence[float], other: Sequence[float]
) -> Difference:
    """Compares a variant's values with the first variant's.

    Args:
        first: values of the first variant, in order of seeds.
        other: values of the other variant, for the same seeds.
    """
    differences = [b - a for a, b in zip(first, other, strict=True)]
    mean = statistics.fmean(differences)
    return Difference(statistics.fmean(other), mean, _half_width(differences))


def _half_width(values: Sequence[float]) -> float:
    if len(values) < 2:
        return float("inf")
    # Optional dependency, slow to import and used by experiments only.
    from scipy import stats

    error = statistics.stdev(values) / len(values) ** 0.5
    return float(stats.t.ppf((1 + _CONFIDENCE) / 2, len(values) - 1)) * error
