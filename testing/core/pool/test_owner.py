"""Tests of the decisions of a pool's owner."""

from typing import Any

import attrs

from ridgesill.core.pool.context import PoolLimits
from ridgesill.core.pool.messages import (
    ABSENT,
    FAILED,
    LOAD_FAILED,
    NO_RUNNER,
    QUEUE_FULL,
    SHED,
    TOO_LATE,
    Admit,
    AskPermit,
    Finished,
    Granted,
    GrantPermit,
    Holding,
    Pin,
    Refused,
    Reply,
    ReturnPermit,
    SendOrder,
    ToAllocator,
)
from ridgesill.core.pool.owner import PoolOwner
from ridgesill.core.runners import Announcement, Order


class Bench:
    """An owner with a store that always permits and obeying runners."""

    def __init__(
        self, limits: PoolLimits | None = None, starts_at: float = 0.0
    ) -> None:
        self.now = 0.0
        self.owner = PoolOwner("east/s", "s", 7, starts_at, limits)
        self.granted: dict[str, Granted] = {}
        self.refused: dict[str, Refused] = {}
        self.orders: list[Order] = []
        self.permits = True
        self.obeys = True
        self.sequence = 0

    def runner(self, name: str = "r1", **fields: Any) -> Announcement:
        """Announces a runner."""
        self.sequence += 1
        defaults = {"slots": 2, "capacity": 4, "sequence": self.sequence}
        said = Announcement(
            name, "i1", "s", "east", f"{name}:1", **{**defaults, **fields}
        )
        self.feed(said)
        return said

    def feed(self, message: Any) -> None:
        """Feeds a message and carries out what follows."""
        self.owner.receive(message, self.now)
        self.settle()

    def tick(self, seconds: float) -> None:
        """Advances the clock."""
        self.now += seconds
        self.owner.tick(self.now)
        self.settle()

    def settle(self) -> None:
        """Carries out all outputs."""
        while output := self.owner.take_output():
            for item in output:
                self._carry_out(item)

    def _carry_out(self, item: Any) -> None:
        if isinstance(item, Reply):
            kept = self.granted
            if isinstance(item.message, Refused):
                kept = self.refused  # type: ignore[assignment]
            kept[item.message.request] = item.message
        elif isinstance(item, ToAllocator):
            if isinstance(item.message, AskPermit) and self.permits:
                grant = GrantPermit(item.message.permit, "east/s")
                self.owner.receive(grant, self.now)
        elif isinstance(item, SendOrder):
            self.orders.append(item.order)
            if self.obeys:
                self.owner.handle_order_result(item.order, "done", self.now)

    def admit(self, request: str, adapter: str = "a@1", **fields: Any) -> None:
        """Asks for admission."""
        defaults = {"team": "t", "priority": 1, "patience": 10.0, "node": "n"}
        values = {**defaults, **fields}
        self.feed(
            Admit(request=request, pool="east/s", adapter=adapter, **values)
        )

    def finish(self, request: str, verdict: str = "fine") -> None:
        """Ends a request."""
        self.feed(Finished(request, "east/s", verdict))

    def actions(self) -> list[tuple[str, str]]:
        """Returns the orders so far."""
        return [(order.action, order.adapter) for order in self.orders]


class TestAdmit:
    def test_a_missing_adapter_is_loaded_and_granted(self) -> None:
        bench = Bench()
        bench.runner()
        bench.admit("q1")
        assert bench.actions() == [("load", "a@1")]
        assert bench.granted["q1"].runner == "r1"

    def test_a_resident_adapter_needs_no_order(self) -> None:
        bench = Bench()
        bench.runner(resident=("a@1",))
        bench.admit("q1")
        assert bench.orders == []
        assert "q1" in bench.granted

    def test_another_version_is_another_adapter(self) -> None:
        bench = Bench()
        bench.runner(resident=("a@1",))
        bench.admit("q1", "a@2")
        assert bench.actions() == [("load", "a@2")]

    def test_without_a_runner_it_is_refused_at_once(self) -> None:
        bench = Bench()
        bench.admit("q1")
        assert bench.refused["q1"].reason == NO_RUNNER
        assert bench.refused["q1"].retry_after > 0

    def test_a_runner_is_never_overfilled(self) -> None:
        bench = Bench()
        bench.runner(capacity=3, resident=("a@1",))
        for number in range(5):
            bench.admit(f"q{number}")
        assert len(bench.granted) == 3
        bench.finish("q0")
        assert len(bench.granted) == 4

    def test_what_cannot_begin_in_time_is_refused_at_once(self) -> None:
        bench = Bench()
        bench.runner(capacity=1, resident=("a@1",))
        bench.admit("q1")
        bench.admit("q2", patience=0.1)
        assert bench.refused["q2"].reason == TOO_LATE

    def test_who_waits_too_long_is_refused(self) -> None:
        bench = Bench()
        bench.runner(capacity=1, resident=("a@1",))
        bench.admit("q1")
        bench.admit("q2", patience=5.0)
        bench.tick(5.1)
        assert bench.refused["q2"].reason == TOO_LATE

    def test_nothing_begins_before_the_lease_before_has_ended(self) -> None:
        bench = Bench(starts_at=4.0)
        bench.runner(resident=("a@1",))
        bench.admit("q1")
        bench.admit("q2", "b@1")
        bench.tick(3.9)
        assert not bench.granted
        assert not bench.orders
        bench.runner(resident=("a@1",))
        bench.tick(0.2)
        assert set(bench.granted) == {"q1", "q2"}


class TestQueue:
    def test_the_more_important_goes_first(self) -> None:
        bench = Bench()
        bench.runner(capacity=1, resident=("a@1",))
        bench.admit("q0")
        bench.admit("low", priority=3)
        bench.admit("high", priority=0)
        bench.finish("q0")
        assert "high" in bench.granted
        assert "low" not in bench.granted

    def test_a_burst_of_one_team_does_not_starve_another(self) -> None:
        bench = Bench()
        bench.runner(capacity=1, resident=("a@1",))
        bench.admit("q0")
        for number in range(50):
            bench.admit(f"burst{number}", team="loud", patience=100.0)
        bench.admit("quiet", team="calm", patience=100.0)
        bench.finish("q0")
        bench.finish("burst0")
        assert "quiet" in bench.granted

    def test_weights_share_a_contended_runner(self) -> None:
        bench = Bench()
        bench.runner(capacity=1, resident=("a@1",))
        bench.admit("q0")
        for number in range(40):
            options = {"patience": 1000.0}
            bench.admit(f"x{number}", team="x", weight=3.0, **options)
            bench.admit(f"y{number}", team="y", weight=1.0, **options)
        ended = "q0"
        order = []
        for _ in range(20):
            before = set(bench.granted)
            bench.finish(ended)
            (ended,) = set(bench.granted) - before
            order.append(ended[0])
        assert order.count("x") == 15

    def test_a_full_queue_sheds_the_least_important(self) -> None:
        bench = Bench(PoolLimits(queue=2))
        bench.runner(capacity=1, resident=("a@1",))
        bench.admit("q0")
        bench.admit("low", priority=3)
        bench.admit("mid", priority=2)
        bench.admit("high", priority=0)
        assert bench.refused["low"].reason == SHED
        bench.admit("lowest", priority=3)
        assert bench.refused["lowest"].reason == QUEUE_FULL
        assert bench.refused["lowest"].retry_after >= 0.5


class TestPins:
    def test_an_adapter_in_use_is_never_unloaded(self) -> None:
        bench = Bench()
        bench.runner(slots=1)
        bench.admit("q1", "a@1")
        bench.admit("q2", "b@1")
        assert ("unload", "a@1") not in bench.actions()
        bench.finish("q1")
        bench.tick(0.1)
        assert ("unload", "a@1") in bench.actions()
        assert "q2" in bench.granted

    def test_a_lost_entry_node_leaves_the_pin_to_the_runner(self) -> None:
        bench = Bench()
        bench.runner(slots=1)
        bench.admit("q1", "a@1", node="gone")
        bench.owner.handle_lost_node("gone")
        bench.admit("q2", "b@1", node="n", patience=100.0)
        bench.now = 5.0
        bench.runner(slots=1, resident=("a@1",), active={"a@1": 1})
        bench.tick(0.1)
        assert ("unload", "a@1") not in bench.actions()
        bench.now = 9.0
        bench.runner(slots=1, resident=("a@1",))
        bench.tick(0.1)
        assert ("unload", "a@1") in bench.actions()

    def test_a_new_owner_learns_pins_from_entry_nodes(self) -> None:
        bench = Bench()
        bench.runner(slots=1, resident=("a@1",))
        pin = Pin("old", "r1", "i1", "a@1", "t")
        bench.feed(Holding("n", "east/s", (pin,)))
        bench.admit("q2", "b@1", patience=100.0)
        assert ("unload", "a@1") not in bench.actions()
        bench.finish("old")
        bench.tick(0.1)
        assert ("unload", "a@1") in bench.actions()

    def test_a_new_owner_believes_the_runners_own_report(self) -> None:
        bench = Bench()
        bench.runner(slots=1, resident=("a@1",), active={"a@1": 2})
        bench.admit("q2", "b@1", patience=100.0)
        assert bench.actions() == []

    def test_a_pin_that_its_node_no_longer_lists_ends(self) -> None:
        bench = Bench()
        bench.runner(slots=1)
        bench.admit("q1", "a@1")
        bench.now = 5.0
        bench.feed(Holding("n", "east/s", ()))
        assert bench.owner.is_idle()

    def test_a_grant_on_its_way_keeps_its_pin(self) -> None:
        bench = Bench()
        bench.runner(slots=1)
        bench.admit("q1", "a@1")
        bench.feed(Holding("n", "east/s", ()))
        assert not bench.owner.is_idle()


class TestLoads:
    def test_the_least_popular_adapter_leaves(self) -> None:
        bench = Bench()
        bench.runner(slots=2)
        for number in range(5):
            bench.admit(f"a{number}", "a@1")
            bench.finish(f"a{number}")
        bench.admit("b", "b@1")
        bench.finish("b")
        bench.admit("c", "c@1")
        assert ("unload", "b@1") in bench.actions()
        assert ("unload", "a@1") not in bench.actions()

    def test_without_a_permit_nothing_is_loaded(self) -> None:
        bench = Bench()
        bench.permits = False
        bench.runner()
        bench.admit("q1")
        assert bench.orders == []

    def test_a_failed_load_is_tried_elsewhere(self) -> None:
        bench = Bench()
        bench.obeys = False
        bench.runner("r1")
        bench.runner("r2")
        bench.admit("q1", patience=100.0)
        first = bench.orders[0]
        bench.owner.handle_order_result(first, "failed", bench.now)
        bench.settle()
        assert [o.runner for o in bench.orders] == ["r1", "r2"]

    def test_loads_that_keep_failing_refuse_who_waits(self) -> None:
        bench = Bench()
        bench.obeys = False
        bench.runner("r1")
        bench.admit("q1", patience=100.0)
        for _ in range(3):
            bench.owner.handle_order_result(
                bench.orders[-1], "failed", bench.now
            )
            bench.settle()
            bench.now += 20.0
            bench.runner("r1")
            bench.tick(0.1)
        assert bench.refused["q1"].reason == LOAD_FAILED

    def test_a_copy_of_a_hot_adapter_is_loaded(self) -> None:
        bench = Bench()
        bench.runner("r1", capacity=2)
        bench.runner("r2", capacity=2)
        for number in range(4):
            bench.admit(f"q{number}", "hot@1")
        assert {g.runner for g in bench.granted.values()} == {"r1", "r2"}

    def test_waiting_requests_of_one_adapter_need_one_load(self) -> None:
        bench = Bench()
        bench.permits = False
        bench.runner(capacity=8)
        for number in range(6):
            bench.admit(f"q{number}")
        bench.permits = True
        bench.tick(6.0)
        bench.runner(capacity=8)
        assert bench.actions() == [("load", "a@1")]
        assert len(bench.granted) == 6

    def test_an_unneeded_permit_is_given_back(self) -> None:
        bench = Bench()
        bench.permits = False
        bench.runner()
        bench.admit("q1")
        bench.finish("q1")
        bench.owner.receive(GrantPermit("east/s#7#0", "east/s"), bench.now)
        output = bench.owner.take_output()
        assert any(
            isinstance(item, ToAllocator)
            and isinstance(item.message, ReturnPermit)
            for item in output
        )
        assert bench.orders == []


class TestRunners:
    def test_a_runner_that_restarts_empty_holds_nothing(self) -> None:
        bench = Bench()
        bench.runner(resident=("a@1",))
        bench.admit("q1")
        bench.feed(Announcement("r1", "i2", "s", "east", "r1:1", 2, 4))
        bench.admit("q2")
        assert bench.actions() == [("load", "a@1")]

    def test_a_leaving_runner_gets_no_new_work(self) -> None:
        bench = Bench()
        bench.runner("r1", resident=("a@1",))
        bench.runner("r1", resident=("a@1",), leaving=True)
        bench.admit("q1")
        assert bench.refused["q1"].reason == NO_RUNNER

    def test_a_silent_runner_gets_no_new_work(self) -> None:
        bench = Bench()
        bench.runner(resident=("a@1",))
        bench.now = 3.5
        bench.admit("q1")
        assert "q1" not in bench.granted

    def test_failures_in_a_row_eject_and_one_request_probes(self) -> None:
        bench = Bench()
        bench.runner("bad", resident=("a@1",), capacity=8)
        for number in range(3):
            bench.admit(f"q{number}")
            bench.finish(f"q{number}", FAILED)
        bench.admit("wait", patience=60.0)
        assert "wait" not in bench.granted
        bench.now += 2.1
        bench.runner("bad", resident=("a@1",), capacity=8)
        bench.admit("next", patience=60.0)
        assert "wait" in bench.granted
        assert "next" not in bench.granted
        bench.finish("wait")
        assert "next" in bench.granted

    def test_a_runner_that_lacks_the_adapter_is_corrected(self) -> None:
        bench = Bench()
        bench.runner(resident=("a@1",))
        bench.admit("q1")
        bench.finish("q1", ABSENT)
        bench.admit("q2")
        assert bench.actions() == [("load", "a@1")]

    def test_a_late_report_does_not_undo_a_fresh_load(self) -> None:
        bench = Bench()
        said = bench.runner()
        bench.admit("q1")
        bench.finish("q1")
        bench.now = 1.0
        bench.feed(attrs.evolve(said, sequence=99))
        bench.admit("q2")
        assert bench.actions() == [("load", "a@1")]

    def test_a_late_report_does_not_bring_an_adapter_back(self) -> None:
        bench = Bench()
        said = bench.runner(slots=1, resident=("a@1",))
        bench.admit("q1", "b@1")
        bench.finish("q1")
        assert ("unload", "a@1") in bench.actions()
        bench.now = 0.2
        bench.feed(attrs.evolve(said, sequence=99))
        bench.orders.clear()
        bench.admit("q2", "a@1")
        assert ("load", "a@1") in bench.actions()

    def test_an_unload_of_unknown_fate_is_settled_by_the_report(self) -> None:
        bench = Bench()
        bench.obeys = False
        bench.runner(slots=1, resident=("a@1",))
        bench.admit("q1", "b@1", patience=100.0)
        unload = bench.orders[0]
        assert unload.action == "unload"
        bench.owner.handle_order_result(unload, "unknown", 0.0)
        bench.admit("q2", "a@1", patience=100.0)
        assert "q2" not in bench.granted
        bench.now = 3.0
        bench.runner(slots=1, resident=("a@1",))
        assert "q2" in bench.granted


class TestPlainService:
    def test_it_needs_no_adapter(self) -> None:
        bench = Bench()
        bench.runner(slots=0, capacity=1)
        bench.admit("q1", "")
        bench.admit("q2", "")
        assert set(bench.granted) == {"q1"}
        bench.finish("q1")
        assert set(bench.granted) == {"q1", "q2"}
        assert bench.orders == []
