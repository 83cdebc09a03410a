"""Figures of a played day, and their comparison over seeds."""

import statistics
from collections.abc import Callable, Sequence

import attrs

from ridgesill.standin.emulator.world import Day
from ridgesill.standin.emulator.worth import Outcome

_WINDOW_SECONDS = 2.0
_WORST_WINDOWS = 2
# The share of a kind's requests that counts as its largest.
_LARGEST_SHARE = 0.1
# Probability that a difference lies within its interval.
_CONFIDENCE = 0.95


def measure_day(day: Day) -> dict[str, float]:
    """Returns the figures of a day; times in seconds."""
    outcomes = day.outcomes
    owed = sum(o.arrival.worth for o in outcomes) or 1.0
    figures = {
        "worth": _share(outcomes),
        "cost": sum(o.cost for o in outcomes) / owed,
        "worst windows": _worst_windows(outcomes),
        "refused": _mean(outcomes, lambda o: o.refused > 0),
        "loads": float(day.loads),
        "reloads": float(day.reloads),
    }
    for name in sorted({o.arrival.kind.name for o in outcomes}):
        of_kind = [o for o in outcomes if o.arrival.kind.name == name]
        figures.update(_measure_kind(name, of_kind))
    return figures


def _measure_kind(name: str, outcomes: list[Outcome]) -> dict[str, float]:
    firsts = sorted(o.first for o in outcomes if o.complete and o.first)
    by_size = sorted(outcomes, key=lambda o: o.arrival.worth)
    largest = by_size[-max(int(len(by_size) * _LARGEST_SHARE), 1) :]
    return {
        f"{name} in time": _mean(outcomes, lambda o: o.is_in_time),
        f"{name} served": _mean(outcomes, lambda o: o.complete),
        f"{name} first p50": _quantile(firsts, 0.5),
        f"{name} first p90": _quantile(firsts, 0.9),
        f"{name} largest tenth": _share(largest),
    }


def _share(outcomes: Sequence[Outcome]) -> float:
    """Returns the worth of answers beside that of all requests."""
    owed = sum(o.arrival.worth for o in outcomes)
    return sum(o.worth for o in outcomes) / owed if owed else 0.0


def _mean(
    outcomes: Sequence[Outcome], is_so: Callable[[Outcome], bool]
) -> float:
    return sum(map(is_so, outcomes)) / max(len(outcomes), 1)


def _quantile(values: Sequence[float], share: float) -> float:
    if not values:
        return 0.0
    return values[min(int(len(values) * share), len(values) - 1)]


def share_by_window(outcomes: Sequence[Outcome]) -> dict[float, float]:
    """Returns the share of worth of each two seconds, by their start."""
    windows: dict[float, list[Outcome]] = {}
    for outcome in outcomes:
        start = outcome.arrival.at // _WINDOW_SECONDS * _WINDOW_SECONDS
        windows.setdefault(start, []).append(outcome)
    return {start: _share(windows[start]) for start in sorted(windows)}


def _worst_windows(outcomes: Sequence[Outcome]) -> float:
    shares = sorted(share_by_window(outcomes).values())
    return statistics.fmean(shares[:_WORST_WINDOWS]) if shares else 0.0


@attrs.frozen
class Difference:
    """A figure of a variant beside the first one's, seed by seed.

    Attributes:
        half_width: of the interval of the mean difference.
    """

    mean: float
    difference: float
    half_width: float


def compare(first: Sequence[float], other: Sequence[float]) -> Difference:
    """Returns how much a variant differs, by paired seeds."""
    differences = [b - a for a, b in zip(first, other, strict=True)]
    mean = statistics.fmean(differences)
    return Difference(statistics.fmean(other), mean, _half_width(differences))


def _half_width(values: Sequence[float]) -> float:
    if len(values) < 2:
        return float("inf")
    from scipy import stats  # Heavy, and only the tool needs it.

    error = statistics.stdev(values) / len(values) ** 0.5
    return float(stats.t.ppf((1 + _CONFIDENCE) / 2, len(values) - 1)) * error
