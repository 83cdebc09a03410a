"""Tests of the predicted lateness of waiting requests."""

import pytest

from ridgesill.core.fleet.backlog import Backlogs
from ridgesill.core.fleet.engines import Engine
from ridgesill.core.fleet.lateness import expected_late_count, late_probability
from ridgesill.core.fleet.messages import WantArtifact
from ridgesill.core.fleet.wants import ArtifactWaiters, Waiter
from ridgesill.core.serving.routes import EngineSpec, Model


def make_engine(name: str = "e1") -> Engine:
    """Returns an engine without artifacts."""
    models = (Model("m", 1.0, 1.0, 100, 1.0),)
    return Engine(name, "10.0.0.1:80", "dc", EngineSpec(8, 9.0, 4, 1.0, models))


def make_waiting(*tokens: int, goal_at: float = 0.8) -> ArtifactWaiters:
    """Returns requests that wait for one adapter, by their prompt tokens."""
    waiters = [Waiter(goal_at, 0.3, f"r{n}", t) for n, t in enumerate(tokens)]
    return ArtifactWaiters(WantArtifact("s", "m/a", 0), 0.0, waiters)


class TestLateProbability:
    def test_probability_is_half_without_slack(self) -> None:
        assert late_probability(0.0) == pytest.approx(0.5)

    @pytest.mark.parametrize("slack", [-1000.0, -0.5, 0.5, 1000.0])
    def test_probability_is_0_or_1_far_from_the_goal(
        self, slack: float
    ) -> None:
        assert late_probability(slack) == pytest.approx(
            float(slack < 0), abs=0.01
        )


class TestExpectedLateCount:
    def test_an_idle_engine_is_in_time(self) -> None:
        late = expected_late_count(
            make_waiting(9000), make_engine(), Backlogs(), 0.0
        )
        assert late < 0.2

    def test_engine_that_reads_another_prompt_is_late(self) -> None:
        backlogs = Backlogs()
        backlogs.record_sent("e1", "other", 15_000, 3, 0.0)
        late = expected_late_count(
            make_waiting(9000), make_engine(), backlogs, 0.0
        )
        assert late > 0.5

    def test_engine_with_a_reserved_prompt_is_late(self) -> None:
        backlogs = Backlogs()
        backlogs.reserve("e1", "other", 9000, 3, 0.3)
        late = expected_late_count(
            make_waiting(9000), make_engine(), backlogs, 0.0
        )
        assert late > 0.5

    def test_waiting_prompts_are_read_one_after_the_other(self) -> None:
        waiting = make_waiting(9000, 9000, 9000)
        late = expected_late_count(waiting, make_engine(), Backlogs(), 0.0)
        assert late > 1.5

    def test_recently_unloaded_adapter_loads_sooner(self) -> None:
        backlogs = Backlogs()
        backlogs.record_sent("e1", "other", 9000, 3, 0.0)
        engine = make_engine()
        before = expected_late_count(make_waiting(9000), engine, backlogs, 0.0)
        engine.record_unloaded("m/a", 0.0)
        late = expected_late_count(make_waiting(4000), engine, backlogs, 0.0)
        assert late < before
