"""Compares placement by pace with placement by reading times only.

`make bench-uneven`. Replays long prompts among short ones on 45 engines of two
speeds, with the same requests for both ways. Prints for each number of fronts
and way: the share of streams with a pause beyond 0.3 s and of late first
events, the adapters that were loaded for copies, the processor time of a
decision in microseconds, the owner's processor time for learning the paces as a
share of a core, the bytes a second that a front reports, and the bytes a second
of changed paces that each front is sent.
"""

from ridgesill.core import codec
from ridgesill.core.fleet.messages import UpstreamChange
from ridgesill.core.fleet.use_reports import UseReport
from ridgesill.standin.emulator.uneven import Plan, Replay, Result, make_plan

_FRONT_COUNTS = (6, 74, 85, 195, 330)
_ENGINES = 45
_SECONDS = 30.0
_WAYS = (("reading times", False), ("pace", True))
_COLUMNS = (
    "| {:>6} | {:<13} | {:>6} | {:>6} | {:>6} | {:>8} | {:>6} | {:>8} | {:>6} |"
)


def _reported_bytes(result: Result, fronts: int) -> float:
    """Returns the bytes a second of reports of gaps, for each front."""
    sizes = (
        len(codec.encode(UseReport(999, span=0.123, calls=report)))
        for report in result.reports
    )
    return sum(sizes) / fronts / _SECONDS


def _told_bytes(result: Result) -> float:
    """Returns the bytes a second of changed paces, to each front."""
    change = UpstreamChange("e123", pace=1.7, is_ejected=False)
    return result.changes * len(codec.encode(change)) / _SECONDS


def _print_row(plan: Plan, way: str, *, by_pace: bool) -> None:
    result = Replay(plan, by_pace=by_pace).run()
    print(
        _COLUMNS.format(
            plan.fronts,
            way,
            f"{result.paused / result.streams:.4f}",
            f"{result.late / result.streams:.4f}",
            result.copies,
            f"{1e6 * result.decision_seconds / result.decisions:.0f}",
            f"{result.processor_seconds / _SECONDS:.4f}",
            f"{_reported_bytes(result, plan.fronts) if by_pace else 0.0:.0f}",
            f"{_told_bytes(result):.0f}",
        )
    )


def main() -> None:
    """Prints the comparison."""
    print(
        _COLUMNS.format(
            "fronts",
            "placed by",
            "paused",
            "late",
            "copies",
            "decision",
            "owner",
            "reported",
            "told",
        )
    )
    for fronts in _FRONT_COUNTS:
        plan = make_plan(1, _ENGINES, _SECONDS, fronts)
        for way, by_pace in _WAYS:
            _print_row(plan, way, by_pace=by_pace)


if __name__ == "__main__":
    main()
