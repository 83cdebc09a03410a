"""What permits for slots of brittle upstreams cost at the sizes of the fleet.

Run with `make bench-slots`.
"""

import statistics

from ridgesill.standin.emulator.brittle_service import (
    BrittlePlan,
    play_brittle_service,
)

_FRONTS = (6, 71, 330)
_SHARES = (0.3, 0.7, 1.3, 3.0)
_LOST = (8.0, 10.0)


def main() -> None:
    """Prints a table."""
    print(
        "fronts  load  owner lost  falls  rejected  used  wait ms  "
        "refused within s  messages/s  owner's core %"
    )
    for fronts in _FRONTS:
        for share in _SHARES:
            for lost in (None, _LOST):
                print_run(fronts, share, lost)


def print_run(
    fronts: int, share: float, lost: tuple[float, float] | None
) -> None:
    """Plays and prints one run."""
    plan = BrittlePlan(fronts, share, owner_lost=lost or (1e9, 1e9))
    figures = play_brittle_service(plan)
    fits = min(1.0, 1.0 / share) * figures.sent
    seconds = plan.seconds - 1.0
    print(
        f"{fronts:6}  {share:4}  {'2 s' if lost else '-':>10}  "
        f"{figures.falls:5}  {figures.rejected:8}  "
        f"{figures.served / fits:4.2f}  "
        f"{1000 * statistics.fmean(figures.waits):7.1f}  "
        f"{max(figures.refusal_seconds, default=0.0):16.3f}  "
        f"{figures.messages / seconds:10.0f}  "
        f"{100 * figures.owner_seconds / seconds:14.2f}"
    )


if __name__ == "__main__":
    main()
