"""Tests of the streams that long prompts make late by pauses.

Load pattern: see `core/fleet/pauses.py`. `slow` takes 0.4 s between two events
of a stream while it reads a long prompt, the others 0.2 s.
"""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ridgesill.core.fleet.assignment import choose_holder
from ridgesill.core.fleet.backlog import Backlogs
from ridgesill.core.fleet.copy_benefit import is_copy_sooner
from ridgesill.core.fleet.engine_pace import EnginePaces
from ridgesill.core.fleet.engines import Engine
from ridgesill.core.fleet.lateness import expected_late_count
from ridgesill.core.fleet.messages import WantArtifact
from ridgesill.core.fleet.pauses import PauseCosts, make_pause_costs
from ridgesill.core.fleet.placement import Demand, PlacementSnapshot
from ridgesill.core.fleet.wants import ArtifactWaiters, Waiter
from ridgesill.core.pool.popularity import Popularity
from testing.core.fleet.test_assignment import make_engine, make_want
from testing.core.fleet.test_engine_pace import make_calls

GOAL = 0.3
LONG, SHORT = 9190, 646
GAPS = {"slow": 0.09, "fast": 0.045, "other": 0.045}
BUSY = {"slow": 4, "fast": 9, "other": 9}


def make_backlogs(*, equal: bool = False) -> Backlogs:
    """Returns backlogs of engines whose paces are known."""
    paces = EnginePaces()
    for step in range(40):
        for name, gap in GAPS.items():
            calls = make_calls(0.06 if equal else gap, ratio=4.5)
            paces.record_calls("s", name, calls, 99.0, step / 8)
        paces.update({"s": list(GAPS)}, step / 8)
    return Backlogs(paces)


def make_costs(backlogs: Backlogs, goal: float = GOAL) -> PauseCosts:
    """Returns the costs on the three engines."""
    engines = [make_engine(name) for name in GAPS]
    return make_pause_costs(goal, engines, backlogs, BUSY)


class TestPauseCosts:
    def test_a_long_prompt_costs_the_streams_of_a_slow_engine(self) -> None:
        costs = make_costs(make_backlogs())
        assert costs.late_streams("slow", LONG) == 4
        assert costs.late_streams("fast", LONG) == 0
        assert costs.late_streams("slow", SHORT) == 0

    def test_without_a_goal_or_reports_nothing_is_costly(self) -> None:
        assert make_costs(make_backlogs(), 0.0).late_streams("slow", LONG) == 0
        assert make_costs(Backlogs()).late_streams("slow", LONG) == 0

    def test_where_all_engines_pause_too_long_none_is_costly(self) -> None:
        # Guards against late prompts that spare no stream a pause.
        assert make_costs(make_backlogs(), 0.1).late_streams("slow", LONG) == 0


class TestChooseHolder:
    def choose(self, tokens: int, *names: str) -> str:
        """Returns the holder for a prompt; `fast` has a backlog of 0.4 s."""
        backlogs = make_backlogs()
        backlogs.record_sent("fast", "r1", 18_000, 3, 0.0)
        engines = [make_engine(name) for name in names]
        costs = make_costs(backlogs)
        best = choose_holder(
            make_want(tokens), engines, backlogs, 0.0, {}, costs
        )
        assert best is not None
        return best.name

    def test_a_long_prompt_goes_where_streams_do_not_pause(self) -> None:
        assert self.choose(LONG, "slow", "fast") == "fast"

    def test_a_short_prompt_goes_where_it_is_soonest(self) -> None:
        assert self.choose(SHORT, "slow", "fast") == "slow"

    def test_the_only_holder_is_chosen(self) -> None:
        assert self.choose(LONG, "slow") == "slow"

    @pytest.mark.parametrize(("streams", "best"), [(4, "fast"), (1, "slow")])
    def test_a_late_prompt_costs_as_much_as_one_late_stream(
        self, streams: int, best: str
    ) -> None:
        backlogs = make_backlogs()
        for n in range(4):
            backlogs.record_sent("fast", f"r{n}", 18_000, 3, 0.0)
        engines = [make_engine("slow"), make_engine("fast")]
        costs = make_pause_costs(GOAL, engines, backlogs, {"slow": streams})
        chosen = choose_holder(
            make_want(LONG), engines, backlogs, 0.0, {}, costs
        )
        assert chosen is not None
        assert chosen.name == best

    def test_a_near_engine_stays_the_choice_when_it_is_a_bit_late(self) -> None:
        # Guards against more traffic between data centres where no stream
        # pauses too long.
        backlogs = make_backlogs(equal=True)
        backlogs.record_sent("other", "r1", 300, 3, 0.0)
        engines = [make_engine("fast", "b"), make_engine("other", "a")]
        costs = make_pause_costs(GOAL, engines, backlogs, BUSY)
        want = make_want(LONG, goal=0.33)
        chosen = choose_holder(want, engines, backlogs, 0.0, {}, costs)
        assert chosen is engines[1]

    @settings(deadline=None)
    @given(
        st.lists(
            st.tuples(st.sampled_from(sorted(GAPS)), st.integers(100, 40_000)),
            max_size=12,
        ),
        st.integers(100, 40_000),
        st.floats(0.05, 3.0),
        st.dictionaries(st.sampled_from(sorted(GAPS)), st.integers(0, 70)),
    )
    def test_choices_are_as_before_where_no_pause_is_too_long(
        self,
        sent: list[tuple[str, int]],
        tokens: int,
        goal: float,
        busy: dict[str, int],
    ) -> None:
        # Guards against changes of deployments whose engines are equal.
        measured, unmeasured = make_backlogs(equal=True), Backlogs()
        for number, (name, size) in enumerate(sent):
            for backlogs in (measured, unmeasured):
                backlogs.record_sent(name, f"r{number}", size, 3, 0.0)
        far = {"slow": "a", "fast": "b", "other": "a"}
        engines = [make_engine(name, far[name]) for name in GAPS]
        want = make_want(tokens, goal=goal)
        costs = make_pause_costs(GOAL, engines, measured, busy)
        now = choose_holder(want, engines, measured, 0.1, busy, costs)
        before = choose_holder(want, engines, unmeasured, 0.1, busy)
        assert now is before


class TestCopies:
    def wants_copy(self, tokens: int, goal: float = 0.85) -> bool:
        """Whether a prompt waits for a copy while only `slow` holds it."""
        backlogs = make_backlogs()
        engines = [make_engine(name) for name in GAPS]
        for engine in engines[1:]:
            del engine.held["base/a1"]
        demand = Demand(BUSY, lambda _name: set(), lambda _at: True)
        snapshot = PlacementSnapshot(Popularity(60.0), engines, demand, 0.0)
        want = WantArtifact(
            "s", "base/a1", 0, goal=goal, request="r", tokens=tokens
        )
        costs = make_costs(backlogs)
        return is_copy_sooner(
            want, engines[0], backlogs, 0.0, lambda: snapshot, costs
        )

    def test_a_copy_spares_the_streams_of_a_slow_holder(self) -> None:
        assert self.wants_copy(LONG)
        assert not self.wants_copy(SHORT)

    def test_no_copy_is_loaded_that_would_be_late(self) -> None:
        assert not self.wants_copy(LONG, goal=0.4)


class TestMissingAdapters:
    def late_count(self, engine: Engine, *tokens: int) -> float:
        """Returns the late requests if an engine loads for these prompts."""
        waiters = [Waiter(9.0, 0.3, f"r{n}", t) for n, t in enumerate(tokens)]
        waiting = ArtifactWaiters(WantArtifact("s", "m/a", 0), 0.0, waiters)
        backlogs = make_backlogs()
        costs = make_costs(backlogs)
        return expected_late_count(waiting, engine, backlogs, 0.0, costs)

    def test_streams_count_once_for_all_long_prompts(self) -> None:
        slow, fast = make_engine("slow"), make_engine("fast")
        late = self.late_count(slow, LONG, SHORT, LONG)
        assert round(late - self.late_count(fast, LONG, SHORT, LONG)) == 4
        assert round(self.late_count(slow, SHORT)) == 0
