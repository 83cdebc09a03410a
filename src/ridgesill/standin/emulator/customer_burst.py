"""A customer's burst of rare adapters, on emulated engines.

Load pattern: 380 streams a second from 16 customers for 10,000 adapters, on 30
engines with 10 adapter slots each. One customer sends 4 to 7.5 times the usual
load for 5 s, with adapters that are requested only once.
"""

from collections.abc import Iterable

import attrs

from ridgesill.standin.emulator.batch import EngineShape
from ridgesill.standin.emulator.demand import (
    CustomerBurst,
    Popularity,
    RequestKind,
    Size,
)
from ridgesill.standin.emulator.scenario import Scenario
from ridgesill.standin.emulator.worth import Outcome

CUSTOMERS = 16
LOADS_PER_SECOND = 24.0
BURST_AT_SECONDS = 2.0
BURST_SECONDS = 5.0
# Time after the burst in which its queues and evictions still cost others.
_AFTER_SECONDS = 2.0
# Streams of each of the three priorities, a second.
_STREAMS_PER_SECOND = (130.0, 130.0, 120.0)
_GOALS_SECONDS = (0.815, 1.015, 2.035)
# Mean number of events of an answer; answers take 0.4 to 1.1 s.
_EVENTS = (20, 30, 50)
# Callers wait ten times as long as until their goal.
_PATIENCE_GOALS = 10.0
# With this exponent of Zipf's law, calm demand takes nearly the whole rate of
# the store.
_POPULARITY_EXPONENT = 1.5


def make_scenario(factor: float) -> Scenario:
    """Returns the scenario; without a burst if the factor is 1.

    Args:
        factor: the customer's load in the burst, as a multiple of an average
            customer's load.
    """
    burst = CustomerBurst(BURST_AT_SECONDS, BURST_SECONDS, factor)
    return Scenario(
        "customer burst",
        seconds=BURST_AT_SECONDS + BURST_SECONDS + _AFTER_SECONDS,
        fronts=8,
        engines=30,
        shapes=(EngineShape(slots=24),),
        places=10,
        kept=0,
        load_seconds=0.288,
        fast_loads=7,
        kinds=tuple(map(_make_kind, range(3))),
        popularity=Popularity(10_000, _POPULARITY_EXPONENT, 1.0),
        customers=CUSTOMERS,
        customer_burst=burst if factor > 1 else None,
        loads_per_second=LOADS_PER_SECOND,
        is_warm=True,
    )


def _make_kind(priority: int) -> RequestKind:
    goal = _GOALS_SECONDS[priority]
    events = _EVENTS[priority]
    return RequestKind(
        f"kind{priority}",
        _STREAMS_PER_SECOND[priority],
        goal,
        0.6,
        _PATIENCE_GOALS * goal,
        1.0,
        0.3,
        Size(400, 0.6, 2000),
        Size(events, 0.5, 4 * events),
        priority=priority,
    )


@attrs.frozen
class BurstFigures:
    """What became of the streams from the start of the burst.

    Attributes:
        others: share in time of the customers without a burst.
        by_priority: the same by priority.
        rare_served: number of complete answers with adapters of the burst.
        rare_in_time: number of those in time.
    """

    others: float
    by_priority: tuple[float, ...]
    rare_served: int
    rare_in_time: int


def compute_burst_figures(outcomes: Iterable[Outcome]) -> BurstFigures:
    """Returns the figures of a run."""
    counted = [o for o in outcomes if o.arrival.at >= BURST_AT_SECONDS]
    hot = CustomerBurst(0.0, 0.0, 1.0).customer
    others = [o for o in counted if o.arrival.customer != hot]
    rare = [o for o in counted if o.arrival.is_burst]
    return BurstFigures(
        _share_in_time(others),
        tuple(
            _share_in_time(o for o in others if o.arrival.kind.priority == p)
            for p in range(3)
        ),
        sum(o.complete for o in rare),
        sum(o.is_in_time for o in rare),
    )


def _share_in_time(outcomes: Iterable[Outcome]) -> float:
    in_time = [outcome.is_in_time for outcome in outcomes]
    return sum(in_time) / len(in_time)
