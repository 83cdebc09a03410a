"""Tests of the decisions of a pool owner."""

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


class OwnerHarness:
    """A pool owner with a simulated permit allocator and simulated runners.

    Attributes:
        grants_permits: whether the allocator grants every permit at once.
        confirms_orders: whether runners confirm every order at once.
    """

    def __init__(
        self, limits: PoolLimits | None = None, starts_at: float = 0.0
    ) -> None:
        self.now = 0.0
        self.owner = PoolOwner("east/s", "s", 7, starts_at, limits)
        self.granted: dict[str, Granted] = {}
        self.refused: dict[str, Refused] = {}
        self.orders: list[Order] = []
        self.grants_permits = True
        self.confirms_orders = True
        self.sequence = 0

    def announce_runner(self, name: str = "r1", **fields: Any) -> Announcement:
        """Delivers an announcement of a runner and returns it."""
        self.sequence += 1
        defaults = {"slots": 2, "capacity": 4, "sequence": self.sequence}
        announcement = Announcement(
            name, "i1", "s", "east", f"{name}:1", **{**defaults, **fields}
        )
        self.deliver(announcement)
        return announcement

    def deliver(self, message: Any) -> None:
        """Delivers a message to the owner and processes its outputs."""
        self.owner.receive(message, self.now)
        self.process_outputs()

    def tick(self, seconds: float) -> None:
        """Advances the clock and runs the periodic work of the owner."""
        self.now += seconds
        self.owner.tick(self.now)
        self.process_outputs()

    def process_outputs(self) -> None:
        """Processes the outputs of the owner until there are none."""
        while output := self.owner.take_output():
            for item in output:
                self._carry_out(item)

    def _carry_out(self, item: Any) -> None:
        if isinstance(item, Reply):
            answers = self.granted
            if isinstance(item.message, Refused):
                answers = self.refused  # type: ignore[assignment]
            answers[item.message.request] = item.message
        elif isinstance(item, ToAllocator):
            if isinstance(item.message, AskPermit) and self.grants_permits:
                grant = GrantPermit(item.message.permit, "east/s")
                self.owner.receive(grant, self.now)
        elif isinstance(item, SendOrder):
            self.orders.append(item.order)
            if self.confirms_orders:
                self.owner.handle_order_result(item.order, "done", self.now)

    def admit(self, request: str, adapter: str = "a@1", **fields: Any) -> None:
        """Delivers a request for admission."""
        defaults = {"team": "t", "priority": 1, "patience": 10.0, "node": "n"}
        values = {**defaults, **fields}
        self.deliver(
            Admit(request=request, pool="east/s", adapter=adapter, **values)
        )

    def finish(self, request: str, verdict: str = "fine") -> None:
        """Reports the end of a request to the owner."""
        self.deliver(Finished(request, "east/s", verdict))

    def list_actions(self) -> list[tuple[str, str]]:
        """Returns the action and the adapter of each order so far."""
        return [(order.action, order.adapter) for order in self.orders]


class TestAdmit:
    def test_a_missing_adapter_is_loaded_and_granted(self) -> None:
        harness = OwnerHarness()
        harness.announce_runner()
        harness.admit("q1")
        assert harness.list_actions() == [("load", "a@1")]
        assert harness.granted["q1"].runner == "r1"

    def test_a_resident_adapter_needs_no_order(self) -> None:
        harness = OwnerHarness()
        harness.announce_runner(resident=("a@1",))
        harness.admit("q1")
        assert harness.orders == []
        assert "q1" in harness.granted

    def test_another_version_is_another_adapter(self) -> None:
        harness = OwnerHarness()
        harness.announce_runner(resident=("a@1",))
        harness.admit("q1", "a@2")
        assert harness.list_actions() == [("load", "a@2")]

    def test_a_request_without_a_runner_is_refused_at_once(self) -> None:
        harness = OwnerHarness()
        harness.admit("q1")
        assert harness.refused["q1"].reason == NO_RUNNER
        assert harness.refused["q1"].retry_after > 0

    def test_a_runner_is_never_overfilled(self) -> None:
        harness = OwnerHarness()
        harness.announce_runner(capacity=3, resident=("a@1",))
        for number in range(5):
            harness.admit(f"q{number}")
        assert len(harness.granted) == 3
        harness.finish("q0")
        assert len(harness.granted) == 4

    def test_a_request_that_cannot_start_in_time_is_refused_at_once(
        self,
    ) -> None:
        harness = OwnerHarness()
        harness.announce_runner(capacity=1, resident=("a@1",))
        harness.admit("q1")
        harness.admit("q2", patience=0.1)
        assert harness.refused["q2"].reason == TOO_LATE

    def test_a_request_that_waits_too_long_is_refused(self) -> None:
        harness = OwnerHarness()
        harness.announce_runner(capacity=1, resident=("a@1",))
        harness.admit("q1")
        harness.admit("q2", patience=5.0)
        harness.tick(5.1)
        assert harness.refused["q2"].reason == TOO_LATE

    def test_nothing_starts_before_the_previous_lease_has_ended(self) -> None:
        harness = OwnerHarness(starts_at=4.0)
        harness.announce_runner(resident=("a@1",))
        harness.admit("q1")
        harness.admit("q2", "b@1")
        harness.tick(3.9)
        assert not harness.granted
        assert not harness.orders
        harness.announce_runner(resident=("a@1",))
        harness.tick(0.2)
        assert set(harness.granted) == {"q1", "q2"}


class TestQueue:
    def test_more_important_requests_go_first(self) -> None:
        harness = OwnerHarness()
        harness.announce_runner(capacity=1, resident=("a@1",))
        harness.admit("q0")
        harness.admit("low", priority=3)
        harness.admit("high", priority=0)
        harness.finish("q0")
        assert "high" in harness.granted
        assert "low" not in harness.granted

    def test_a_burst_of_one_team_does_not_starve_another(self) -> None:
        harness = OwnerHarness()
        harness.announce_runner(capacity=1, resident=("a@1",))
        harness.admit("q0")
        for number in range(50):
            harness.admit(f"burst{number}", team="loud", patience=100.0)
        harness.admit("quiet", team="calm", patience=100.0)
        harness.finish("q0")
        harness.finish("burst0")
        assert "quiet" in harness.granted

    def test_weights_share_a_contended_runner(self) -> None:
        harness = OwnerHarness()
        harness.announce_runner(capacity=1, resident=("a@1",))
        harness.admit("q0")
        for number in range(40):
            options = {"patience": 1000.0}
            harness.admit(f"x{number}", team="x", weight=3.0, **options)
            harness.admit(f"y{number}", team="y", weight=1.0, **options)
        ended = "q0"
        order = []
        for _ in range(20):
            before = set(harness.granted)
            harness.finish(ended)
            (ended,) = set(harness.granted) - before
            order.append(ended[0])
        assert order.count("x") == 15

    def test_a_full_queue_sheds_the_least_important(self) -> None:
        harness = OwnerHarness(PoolLimits(queue=2))
        harness.announce_runner(capacity=1, resident=("a@1",))
        harness.admit("q0")
        harness.admit("low", priority=3)
        harness.admit("mid", priority=2)
        harness.admit("high", priority=0)
        assert harness.refused["low"].reason == SHED
        harness.admit("lowest", priority=3)
        assert harness.refused["lowest"].reason == QUEUE_FULL
        assert harness.refused["lowest"].retry_after >= 0.5


class TestPins:
    def test_an_adapter_in_use_is_never_unloaded(self) -> None:
        harness = OwnerHarness()
        harness.announce_runner(slots=1)
        harness.admit("q1", "a@1")
        harness.admit("q2", "b@1")
        assert ("unload", "a@1") not in harness.list_actions()
        harness.finish("q1")
        harness.tick(0.1)
        assert ("unload", "a@1") in harness.list_actions()
        assert "q2" in harness.granted

    def test_a_pin_of_a_lost_entry_node_ends_with_the_runners_report(
        self,
    ) -> None:
        harness = OwnerHarness()
        harness.announce_runner(slots=1)
        harness.admit("q1", "a@1", node="gone")
        harness.owner.handle_lost_node("gone")
        harness.admit("q2", "b@1", node="n", patience=100.0)
        harness.now = 5.0
        harness.announce_runner(slots=1, resident=("a@1",), active={"a@1": 1})
        harness.tick(0.1)
        assert ("unload", "a@1") not in harness.list_actions()
        harness.now = 9.0
        harness.announce_runner(slots=1, resident=("a@1",))
        harness.tick(0.1)
        assert ("unload", "a@1") in harness.list_actions()

    def test_a_new_owner_learns_pins_from_entry_nodes(self) -> None:
        harness = OwnerHarness()
        harness.announce_runner(slots=1, resident=("a@1",))
        pin = Pin("old", "r1", "i1", "a@1", "t")
        harness.deliver(Holding("n", "east/s", (pin,)))
        harness.admit("q2", "b@1", patience=100.0)
        assert ("unload", "a@1") not in harness.list_actions()
        harness.finish("old")
        harness.tick(0.1)
        assert ("unload", "a@1") in harness.list_actions()

    def test_a_new_owner_respects_the_requests_that_a_runner_reports(
        self,
    ) -> None:
        harness = OwnerHarness()
        harness.announce_runner(slots=1, resident=("a@1",), active={"a@1": 2})
        harness.admit("q2", "b@1", patience=100.0)
        assert harness.list_actions() == []

    def test_a_pin_that_its_node_no_longer_lists_ends(self) -> None:
        harness = OwnerHarness()
        harness.announce_runner(slots=1)
        harness.admit("q1", "a@1")
        harness.now = 5.0
        harness.deliver(Holding("n", "east/s", ()))
        assert harness.owner.is_idle()

    def test_a_recent_grant_keeps_its_pin(self) -> None:
        harness = OwnerHarness()
        harness.announce_runner(slots=1)
        harness.admit("q1", "a@1")
        harness.deliver(Holding("n", "east/s", ()))
        assert not harness.owner.is_idle()


class TestLoads:
    def test_the_least_popular_adapter_is_evicted(self) -> None:
        harness = OwnerHarness()
        harness.announce_runner(slots=2)
        for number in range(5):
            harness.admit(f"a{number}", "a@1")
            harness.finish(f"a{number}")
        harness.admit("b", "b@1")
        harness.finish("b")
        harness.admit("c", "c@1")
        assert ("unload", "b@1") in harness.list_actions()
        assert ("unload", "a@1") not in harness.list_actions()

    def test_without_a_permit_nothing_is_loaded(self) -> None:
        harness = OwnerHarness()
        harness.grants_permits = False
        harness.announce_runner()
        harness.admit("q1")
        assert harness.orders == []

    def test_a_failed_load_is_retried_on_another_runner(self) -> None:
        harness = OwnerHarness()
        harness.confirms_orders = False
        harness.announce_runner("r1")
        harness.announce_runner("r2")
        harness.admit("q1", patience=100.0)
        first = harness.orders[0]
        harness.owner.handle_order_result(first, "failed", harness.now)
        harness.process_outputs()
        assert [o.runner for o in harness.orders] == ["r1", "r2"]

    def test_repeated_load_failures_refuse_waiting_requests(self) -> None:
        harness = OwnerHarness()
        harness.confirms_orders = False
        harness.announce_runner("r1")
        harness.admit("q1", patience=100.0)
        for _ in range(3):
            harness.owner.handle_order_result(
                harness.orders[-1], "failed", harness.now
            )
            harness.process_outputs()
            harness.now += 20.0
            harness.announce_runner("r1")
            harness.tick(0.1)
        assert harness.refused["q1"].reason == LOAD_FAILED

    def test_a_copy_of_a_hot_adapter_is_loaded(self) -> None:
        harness = OwnerHarness()
        harness.announce_runner("r1", capacity=2)
        harness.announce_runner("r2", capacity=2)
        for number in range(4):
            harness.admit(f"q{number}", "hot@1")
        assert {g.runner for g in harness.granted.values()} == {"r1", "r2"}

    def test_waiting_requests_of_one_adapter_need_one_load(self) -> None:
        harness = OwnerHarness()
        harness.grants_permits = False
        harness.announce_runner(capacity=8)
        for number in range(6):
            harness.admit(f"q{number}")
        harness.grants_permits = True
        harness.tick(6.0)
        harness.announce_runner(capacity=8)
        assert harness.list_actions() == [("load", "a@1")]
        assert len(harness.granted) == 6

    def test_an_unneeded_permit_is_returned(self) -> None:
        harness = OwnerHarness()
        harness.grants_permits = False
        harness.announce_runner()
        harness.admit("q1")
        harness.finish("q1")
        harness.owner.receive(GrantPermit("east/s#7#0", "east/s"), harness.now)
        output = harness.owner.take_output()
        assert any(
            isinstance(item, ToAllocator)
            and isinstance(item.message, ReturnPermit)
            for item in output
        )
        assert harness.orders == []


class TestRunners:
    def test_a_restarted_runner_holds_no_adapters(self) -> None:
        harness = OwnerHarness()
        harness.announce_runner(resident=("a@1",))
        harness.admit("q1")
        harness.deliver(Announcement("r1", "i2", "s", "east", "r1:1", 2, 4))
        harness.admit("q2")
        assert harness.list_actions() == [("load", "a@1")]

    def test_a_leaving_runner_gets_no_new_work(self) -> None:
        harness = OwnerHarness()
        harness.announce_runner("r1", resident=("a@1",))
        harness.announce_runner("r1", resident=("a@1",), leaving=True)
        harness.admit("q1")
        assert harness.refused["q1"].reason == NO_RUNNER

    def test_a_silent_runner_gets_no_new_work(self) -> None:
        harness = OwnerHarness()
        harness.announce_runner(resident=("a@1",))
        harness.now = 3.5
        harness.admit("q1")
        assert "q1" not in harness.granted

    def test_an_ejected_runner_is_probed_with_one_request(self) -> None:
        harness = OwnerHarness()
        harness.announce_runner("bad", resident=("a@1",), capacity=8)
        for number in range(3):
            harness.admit(f"q{number}")
            harness.finish(f"q{number}", FAILED)
        harness.admit("wait", patience=60.0)
        assert "wait" not in harness.granted
        harness.now += 2.1
        harness.announce_runner("bad", resident=("a@1",), capacity=8)
        harness.admit("next", patience=60.0)
        assert "wait" in harness.granted
        assert "next" not in harness.granted
        harness.finish("wait")
        assert "next" in harness.granted

    def test_an_adapter_missing_on_a_runner_is_loaded_again(self) -> None:
        harness = OwnerHarness()
        harness.announce_runner(resident=("a@1",))
        harness.admit("q1")
        harness.finish("q1", ABSENT)
        harness.admit("q2")
        assert harness.list_actions() == [("load", "a@1")]

    def test_a_late_report_does_not_undo_a_fresh_load(self) -> None:
        harness = OwnerHarness()
        announcement = harness.announce_runner()
        harness.admit("q1")
        harness.finish("q1")
        harness.now = 1.0
        harness.deliver(attrs.evolve(announcement, sequence=99))
        harness.admit("q2")
        assert harness.list_actions() == [("load", "a@1")]

    def test_a_late_report_does_not_restore_an_unloaded_adapter(self) -> None:
        harness = OwnerHarness()
        announcement = harness.announce_runner(slots=1, resident=("a@1",))
        harness.admit("q1", "b@1")
        harness.finish("q1")
        assert ("unload", "a@1") in harness.list_actions()
        harness.now = 0.2
        harness.deliver(attrs.evolve(announcement, sequence=99))
        harness.orders.clear()
        harness.admit("q2", "a@1")
        assert ("load", "a@1") in harness.list_actions()

    def test_a_report_resolves_an_unload_with_unknown_result(self) -> None:
        harness = OwnerHarness()
        harness.confirms_orders = False
        harness.announce_runner(slots=1, resident=("a@1",))
        harness.admit("q1", "b@1", patience=100.0)
        unload = harness.orders[0]
        assert unload.action == "unload"
        harness.owner.handle_order_result(unload, "unknown", 0.0)
        harness.admit("q2", "a@1", patience=100.0)
        assert "q2" not in harness.granted
        harness.now = 3.0
        harness.announce_runner(slots=1, resident=("a@1",))
        assert "q2" in harness.granted


class TestPlainService:
    def test_a_plain_service_needs_no_adapter(self) -> None:
        harness = OwnerHarness()
        harness.announce_runner(slots=0, capacity=1)
        harness.admit("q1", "")
        harness.admit("q2", "")
        assert set(harness.granted) == {"q1"}
        harness.finish("q1")
        assert set(harness.granted) == {"q1", "q2"}
        assert harness.orders == []
