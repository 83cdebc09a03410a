"""Streams that a long prompt would make late by a pause between two events.

Load pattern: engines read prompts in chunks between the tokens of running
streams. One engine in four runs at half the speed of the others: while it reads
a prompt of nine chunks, an event of seven tokens takes 0.4 s there, beyond the
0.3 s that a pause may last, so that all of its streams are late. On the others
it takes 0.2 s.
"""

from collections.abc import Collection, Mapping

import attrs

from ridgesill.core.fleet.backlog import Backlogs
from ridgesill.core.fleet.engines import Engine

# Share of the pause goal that a prompt must take to read to matter beside other
# streams. Short prompts take a tenth of the usual goals.
_MIN_READING_SHARE = 1 / 3
# Least difference between engines in the share of streams that pause too long
# beside a long prompt, from which on placement can avoid pauses.
_MIN_DIFFERENCE = 0.2


@attrs.frozen
class PauseCosts:
    """Numbers of streams that a prompt would make late, by engine.

    Attributes:
        backlogs: the paces of engines and their reading times.
        busy: the number of requests in progress by engine.
        pause_goal: the longest pause of a stream in time, in seconds; infinite
            if pauses don't count.
    """

    backlogs: Backlogs
    busy: Mapping[str, int]
    pause_goal: float = float("inf")

    def late_streams(self, engine: str, tokens: int) -> int:
        """Returns how many streams a prompt of some tokens makes late there.

        The number is rounded: fractions of a stream are within the error of the
        estimate, and must not decide against a near engine.
        """
        shortest = _MIN_READING_SHARE * self.pause_goal
        if self.backlogs.read_seconds(engine, tokens) < shortest:
            return 0
        paces = self.backlogs.paces
        share = paces.late_pause_share(engine, self.pause_goal)
        return round(share * self.busy.get(engine, 0))


def make_pause_costs(
    pause_goal: float,
    engines: Collection[Engine],
    backlogs: Backlogs,
    busy: Mapping[str, int],
) -> PauseCosts:
    """Returns what pauses cost on the engines of a service.

    Args:
        pause_goal: the shortest pause goal of the service's routes, in seconds;
            0 if they have none.
        engines: the engines of the service that may be chosen.
        backlogs: the prompts that engines have yet to read.
        busy: the number of requests in progress by engine.

    Returns:
        The costs; none where all engines pause alike, as then no choice avoids
        pauses.
    """
    paces = backlogs.paces
    if pause_goal > 0:
        shares = [
            paces.late_pause_share(engine.name, pause_goal)
            for engine in engines
        ]
        if shares and max(shares) - min(shares) >= _MIN_DIFFERENCE:
            return PauseCosts(backlogs, busy, pause_goal)
    return PauseCosts(backlogs, busy)
