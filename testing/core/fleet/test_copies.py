"""Tests of which adapters get another copy."""

from ridgesill.core.fleet.copies import choose_copies
from ridgesill.core.fleet.engines import Engine
from ridgesill.core.fleet.placement import Demand, Placement
from ridgesill.core.serving.routes import EngineSpec, Model

SPEC = EngineSpec(64, 9e9, 9, 1.0, (Model("base", 1000.0, 1.0, 99, 1.0),))
HOT = "base/hot"


class CopyWorld:
    """Two engines of one data centre; one holds what is much wanted."""

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

    def copies(self) -> list[tuple[str, str]]:
        """Returns adapters and the engines that get them."""
        demand = Demand(
            self.busy,
            lambda _engine: set(),
            lambda _at: True,
            lambda engine: self.backlog.get(engine, 0.0),
        )
        engines = [self.holder, self.other]
        placement_snapshot = self.placement.take_snapshot(engines, demand, 0.0)
        chosen = choose_copies(self.placement.popularity, placement_snapshot)
        return [(artifact, choice.engine.name) for artifact, choice in chosen]


class TestCopies:
    def test_prompts_that_wait_at_all_holders_are_a_reason(self) -> None:
        world = CopyWorld()
        world.backlog = {"e0": 0.6, "e1": 0.0}
        assert world.copies() == [(HOT, "e1")]

    def test_what_only_a_leaving_engine_holds_is_brought_elsewhere(
        self,
    ) -> None:
        world = CopyWorld()
        assert world.copies() == []
        world.holder.draining = True
        assert world.copies() == [(HOT, "e1")]

    def test_long_answers_in_progress_are_none(self) -> None:
        # A third of the batch makes tokens for seconds; nobody waits.
        world = CopyWorld()
        world.busy = {"e0": 20, "e1": 2}
        assert world.copies() == []

    def test_a_batch_that_fills_up_is(self) -> None:
        world = CopyWorld()
        world.busy = {"e0": 40, "e1": 5}
        assert world.copies() == [(HOT, "e1")]

    def test_an_engine_as_far_behind_gets_none(self) -> None:
        world = CopyWorld()
        world.backlog = {"e0": 0.6, "e1": 0.5}
        assert world.copies() == []
