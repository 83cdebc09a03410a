"""Tests of orders without an answer, and of what a later start may run."""

import attrs
import pytest

from ridgesill.core.fleet.engines import Engine, PendingLoad, UnansweredLoad
from ridgesill.core.fleet.orders import Action, EngineReport, FleetOrder
from ridgesill.core.fleet.sent_orders import (
    UNANSWERED_SECONDS,
    SentOrder,
    SentOrders,
    find_load_chain,
)
from ridgesill.core.serving.routes import EngineSpec, Model

MODEL = "base"
SPEC = EngineSpec(8, 1100.0, 2, 4.0, (Model(MODEL, 1000.0, 1.0, 100, 10.0),))


def order(artifact: str, revision: int) -> FleetOrder:
    """Returns an order to load."""
    return FleetOrder(
        Action.LOAD, "i-1", "10.0.0.1:80", artifact, 0, "vm", 7, revision
    )


def stray(revision: int, artifact: str = "", until: float = 99.0) -> SentOrder:
    """Returns an order of an earlier start; an unload without an artifact."""
    action = Action.LOAD if artifact else Action.UNLOAD
    return SentOrder(action, artifact, 1, revision, until)


class TestSentOrders:
    def test_one_without_an_answer_may_run_on_a_later_start(self) -> None:
        sent = SentOrders()
        sent.record("i", 1, order("base/a1", 5), 10.0)
        assert sent.late_orders("i", 1, 11.0) == []
        assert [s.artifact for s in sent.late_orders("i", 2, 11.0)] == [
            "base/a1"
        ]
        assert sent.late_orders("j", 2, 11.0) == []

    def test_one_that_was_answered_will_not(self) -> None:
        sent = SentOrders()
        sent.discard("i", sent.record("i", 1, order("base/a1", 5), 10.0))
        assert sent.late_orders("i", 2, 11.0) == []

    def test_it_is_forgotten_once_it_cannot_be_carried_out(self) -> None:
        sent = SentOrders()
        sent.record("i", 1, order("base/a1", 5), 10.0)
        after = 10.0 + UNANSWERED_SECONDS
        assert sent.late_orders("i", 2, after) == []
        sent.prune_expired(after)
        assert sent._sent == {}

    def test_what_is_remembered_is_bounded(self) -> None:
        sent = SentOrders()
        for number in range(5000):
            sent.record("i", 1, order("base/a1", number), 10.0)
        assert len(sent.late_orders("i", 2, 11.0)) <= 1024


class TestChains:
    @pytest.mark.parametrize(
        ("strays", "chain"),
        [
            ([], []),
            # At the count that the engine has.
            ([stray(4, "a")], [{"a"}]),
            # A count is missing between: nothing moves the count over it.
            ([stray(5, "a")], []),
            ([stray(4, "a"), stray(5, "b"), stray(7, "c")], [{"a"}, {"b"}]),
            # An unload moves the count as well.
            ([stray(4), stray(5, "b")], [set(), {"b"}]),
            # Of two at one count only one runs; which isn't known.
            ([stray(4, "a"), stray(4, "b")], [{"a", "b"}]),
            ([stray(4, "a", until=9.0)], []),
        ],
    )
    def test_what_may_run_one_after_another(
        self, strays: list[SentOrder], chain: list[set[str]]
    ) -> None:
        assert find_load_chain(strays, 4, 10.0) == chain

    def test_an_order_to_be_sent_may_close_a_gap_in_it(self) -> None:
        sent = SentOrders()
        sent.record("i", 1, order("a", 0), 10.0)
        sent.record("i", 1, order("c", 2), 10.0)
        unload = attrs.evolve(order("b", 1), action=Action.UNLOAD)
        assert sent.possible_loads_after("i", unload, 11.0) == [
            {"a"},
            set(),
            {"c"},
        ]
        after = 10.0 + UNANSWERED_SECONDS
        assert sent.possible_loads_after("i", unload, after) == []


class TestOrdersBesideStrays:
    @pytest.fixture
    def engine(self) -> Engine:
        """Returns an engine with one of two places taken, at count 3."""
        made = Engine("i-1", "10.0.0.1:80", "a", SPEC, revision=3)
        made.apply_resident({MODEL: 1, "base/a1": 1})
        return made

    def test_a_load_that_leaves_no_place_for_a_stray_waits(
        self, engine: Engine
    ) -> None:
        assert engine.is_order_safe(Action.LOAD, "base/a2", 3, 10.0)
        engine.late_orders = [stray(4, "base/a9")]
        assert not engine.is_order_safe(Action.LOAD, "base/a2", 3, 10.0)
        assert engine.is_order_safe(Action.LOAD, "base/a2", 3, 100.0)

    def test_an_unload_that_may_wait_for_its_runs_keeps_its_place(
        self, engine: Engine
    ) -> None:
        engine.apply_resident({"base/a2": 1})
        assert engine.is_order_safe(Action.UNLOAD, "base/a2", 3, 10.0)
        engine.late_orders = [stray(4, "base/a9")]
        assert not engine.is_order_safe(Action.UNLOAD, "base/a2", 3, 10.0)


class TestWhatAnEngineMayHold:
    @pytest.fixture
    def engine(self) -> Engine:
        """Returns an engine that holds its base model alone."""
        made = Engine("i-1", "10.0.0.1:80", "a", SPEC, revision=3)
        made.apply_resident({MODEL: 1})
        return made

    def test_a_load_without_an_answer_counts_in_megabytes(
        self, engine: Engine
    ) -> None:
        engine.unanswered["base/a2"] = UnansweredLoad(113.0, 3)
        assert engine.used_weights_mb() == 1010.0

    def test_heartbeats_take_nothing_from_it_before_a_report_does(
        self, engine: Engine
    ) -> None:
        # Heartbeats may be seconds old and name no count of orders.
        engine.apply_resident({"base/a1": 1, "base/a2": 1})
        for at in (201.0, 202.0, 203.0):
            engine.reconcile({MODEL: 1, "base/a1": 1}, at)
        assert "base/a2" not in engine.held
        assert not engine.is_order_safe(Action.LOAD, "base/a3", 3, 203.0)
        assert engine.needs_report(203.0)
        held = {MODEL: 1, "base/a1": 1}
        engine.apply_report(EngineReport(3, False, held, {}), 203.5)
        assert engine.is_order_safe(Action.LOAD, "base/a3", 3, 203.5)

    def test_a_load_that_has_not_left_keeps_no_other_from_leaving(
        self, engine: Engine
    ) -> None:
        engine.loading = {
            "base/a1": PendingLoad(),
            "base/a2": PendingLoad(accepted=True),
        }
        assert engine.is_order_safe(Action.LOAD, "base/a1", 3, 10.0)
        engine.loading["base/a1"].accepted = True
        assert not engine.is_order_safe(Action.LOAD, "base/a3", 3, 10.0)
