"""Tests of which adapters get another copy, and where."""

from ridgesill.core.fleet.copies import choose_copies
from ridgesill.core.fleet.engines import Engine
from ridgesill.core.fleet.placement import Demand, Placement
from ridgesill.core.serving.routes import EngineSpec, Model

SPEC = EngineSpec(64, 9e9, 9, 1.0, (Model("base", 1000.0, 1.0, 99, 1.0),))
HOT = "base/hot"


class CopyWorld:
    """Two engines of one data centre, one of which holds a popular adapter."""

    def __init__(self) -> None:
        self.placement = Placement()
        self.holder = Engine("e0", "e0:80", "a", SPEC)
        self.other = Engine("e1", "e1:80", "a", SPEC)
        self.holder.apply_resident({"base": 1, HOT: 1})
        self.other.apply_resident({"base": 1})
        self.busy: dict[str, int] = {}
        self.backlog: dict[str, float] = {}
        for number in range(100):
            name = HOT if number % 4 == 0 else f"base/a{number}"
            self.placement.record_requests({name: 1}, 0.0)

    def chosen_copies(self) -> list[tuple[str, str]]:
        """Returns the adapters that get a copy, each with its engine."""
        demand = Demand(
            self.busy,
            lambda _engine: set(),
            lambda _at: True,
            lambda engine: self.backlog.get(engine, 0.0),
        )
        engines = [self.holder, self.other]
        placement_snapshot = self.placement.take_snapshot(engines, demand, 0.0)
        chosen = choose_copies(self.placement.popularity, placement_snapshot)
        return [(artifact, target.engine.name) for artifact, target in chosen]


class TestCopies:
    def test_waiting_prompts_at_all_holders_cause_a_copy(self) -> None:
        world = CopyWorld()
        world.backlog = {"e0": 0.6, "e1": 0.0}
        assert world.chosen_copies() == [(HOT, "e1")]

    def test_an_adapter_on_draining_engines_only_is_copied(
        self,
    ) -> None:
        world = CopyWorld()
        assert world.chosen_copies() == []
        world.holder.draining = True
        assert world.chosen_copies() == [(HOT, "e1")]

    def test_long_answers_in_progress_cause_no_copy(self) -> None:
        # A third of the batch slots generates tokens for seconds, but no prompt
        # waits.
        world = CopyWorld()
        world.busy = {"e0": 20, "e1": 2}
        assert world.chosen_copies() == []

    def test_a_full_batch_causes_a_copy(self) -> None:
        world = CopyWorld()
        world.busy = {"e0": 40, "e1": 5}
        assert world.chosen_copies() == [(HOT, "e1")]

    def test_an_engine_with_a_similar_backlog_gets_no_copy(self) -> None:
        world = CopyWorld()
        world.backlog = {"e0": 0.6, "e1": 0.5}
        assert world.chosen_copies() == []
