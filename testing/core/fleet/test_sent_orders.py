"""Tests of orders without an answer, and of loads that they may cause later."""

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


def make_order(artifact: str, revision: int) -> FleetOrder:
    """Returns an order to load an artifact."""
    return FleetOrder(
        Action.LOAD, "i-1", "10.0.0.1:80", artifact, 0, "vm", 7, revision
    )


def make_late_order(
    revision: int, artifact: str = "", expires_at: float = 99.0
) -> SentOrder:
    """Returns an order to an earlier start, an unload if it has no artifact."""
    action = Action.LOAD if artifact else Action.UNLOAD
    return SentOrder(action, artifact, 1, revision, expires_at)


class TestSentOrders:
    def test_an_order_without_an_answer_may_run_on_a_later_start(self) -> None:
        sent = SentOrders()
        sent.record("i", 1, make_order("base/a1", 5), 10.0)
        assert sent.late_orders("i", 1, 11.0) == []
        assert [s.artifact for s in sent.late_orders("i", 2, 11.0)] == [
            "base/a1"
        ]
        assert sent.late_orders("j", 2, 11.0) == []

    def test_an_answered_order_is_discarded(self) -> None:
        sent = SentOrders()
        sent.discard("i", sent.record("i", 1, make_order("base/a1", 5), 10.0))
        assert sent.late_orders("i", 2, 11.0) == []

    def test_an_expired_order_is_discarded(self) -> None:
        sent = SentOrders()
        sent.record("i", 1, make_order("base/a1", 5), 10.0)
        after = 10.0 + UNANSWERED_SECONDS
        assert sent.late_orders("i", 2, after) == []
        sent.prune_expired(after)
        assert sent._sent == {}

    def test_the_number_of_remembered_orders_is_bounded(self) -> None:
        sent = SentOrders()
        for number in range(5000):
            sent.record("i", 1, make_order("base/a1", number), 10.0)
        assert len(sent.late_orders("i", 2, 11.0)) <= 1024


class TestLoadChains:
    @pytest.mark.parametrize(
        ("late_orders_sent", "chain"),
        [
            ([], []),
            # The order names the engine's order count.
            ([make_late_order(4, "a")], [{"a"}]),
            # No order names count 4, so the engine does not reach count 5.
            ([make_late_order(5, "a")], []),
            (
                [
                    make_late_order(4, "a"),
                    make_late_order(5, "b"),
                    make_late_order(7, "c"),
                ],
                [{"a"}, {"b"}],
            ),
            # An unload raises the order count as well.
            ([make_late_order(4), make_late_order(5, "b")], [set(), {"b"}]),
            # Only one of two orders at the same count is carried out, and it is
            # unknown which.
            ([make_late_order(4, "a"), make_late_order(4, "b")], [{"a", "b"}]),
            ([make_late_order(4, "a", expires_at=9.0)], []),
        ],
    )
    def test_orders_at_consecutive_counts_form_a_chain(
        self, late_orders_sent: list[SentOrder], chain: list[set[str]]
    ) -> None:
        assert find_load_chain(late_orders_sent, 4, 10.0) == chain

    def test_an_order_to_be_sent_can_close_a_gap_in_a_chain(self) -> None:
        sent = SentOrders()
        sent.record("i", 1, make_order("a", 0), 10.0)
        sent.record("i", 1, make_order("c", 2), 10.0)
        unload = attrs.evolve(make_order("b", 1), action=Action.UNLOAD)
        assert sent.possible_loads_after("i", unload, 11.0) == [
            {"a"},
            set(),
            {"c"},
        ]
        after = 10.0 + UNANSWERED_SECONDS
        assert sent.possible_loads_after("i", unload, after) == []


class TestOrdersBesideLateOrders:
    @pytest.fixture
    def engine(self) -> Engine:
        """Returns an engine with one of two slots in use, at order count 3."""
        made = Engine("i-1", "10.0.0.1:80", "a", SPEC, revision=3)
        made.apply_resident({MODEL: 1, "base/a1": 1})
        return made

    def test_a_load_that_leaves_no_slot_for_a_late_order_is_unsafe(
        self, engine: Engine
    ) -> None:
        assert engine.is_order_safe(Action.LOAD, "base/a2", 3, 10.0)
        engine.late_orders = [make_late_order(4, "base/a9")]
        assert not engine.is_order_safe(Action.LOAD, "base/a2", 3, 10.0)
        assert engine.is_order_safe(Action.LOAD, "base/a2", 3, 100.0)

    def test_an_unload_that_may_wait_for_requests_keeps_its_slot(
        self, engine: Engine
    ) -> None:
        engine.apply_resident({"base/a2": 1})
        assert engine.is_order_safe(Action.UNLOAD, "base/a2", 3, 10.0)
        engine.late_orders = [make_late_order(4, "base/a9")]
        assert not engine.is_order_safe(Action.UNLOAD, "base/a2", 3, 10.0)


class TestPossibleArtifacts:
    @pytest.fixture
    def engine(self) -> Engine:
        """Returns an engine that holds only its base model."""
        made = Engine("i-1", "10.0.0.1:80", "a", SPEC, revision=3)
        made.apply_resident({MODEL: 1})
        return made

    def test_a_load_without_an_answer_counts_in_megabytes(
        self, engine: Engine
    ) -> None:
        engine.unanswered["base/a2"] = UnansweredLoad(113.0, 3)
        assert engine.used_weights_mb() == 1010.0

    def test_heartbeats_free_no_slot_before_a_report_does(
        self, engine: Engine
    ) -> None:
        # Heartbeats may be seconds old and do not name an order count.
        engine.apply_resident({"base/a1": 1, "base/a2": 1})
        for at in (201.0, 202.0, 203.0):
            engine.reconcile({MODEL: 1, "base/a1": 1}, at)
        assert "base/a2" not in engine.held
        assert not engine.is_order_safe(Action.LOAD, "base/a3", 3, 203.0)
        assert engine.needs_report(203.0)
        held = {MODEL: 1, "base/a1": 1}
        engine.apply_report(EngineReport(3, False, held, {}), 203.5)
        assert engine.is_order_safe(Action.LOAD, "base/a3", 3, 203.5)

    def test_a_load_that_was_not_sent_blocks_no_other_load(
        self, engine: Engine
    ) -> None:
        engine.loading = {
            "base/a1": PendingLoad(),
            "base/a2": PendingLoad(accepted=True),
        }
        assert engine.is_order_safe(Action.LOAD, "base/a1", 3, 10.0)
        engine.loading["base/a1"].accepted = True
        assert not engine.is_order_safe(Action.LOAD, "base/a3", 3, 10.0)
