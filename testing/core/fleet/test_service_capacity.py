"""Tests of the capacity and pace of plain upstreams, from reports."""

import math

import attrs
import pytest

from ridgesill.core.fleet.messages import DRAINING, Upstream
from ridgesill.core.fleet.service_capacity import ServiceCapacity
from ridgesill.core.serving.load_reports import RequestClass, UpstreamCalls
from testing.core.fleet.overload_world import OverloadWorld

_UPSTREAMS = [Upstream(f"u{n}", "s", f"h{n}", "a", 6) for n in range(4)]
_CALM = {RequestClass("s"): 203.0}
_BURST = {RequestClass("s"): 507.0}
# Calls a second that one of the replayed upstreams serves.
_ONE = 6 / 0.0686


def learn(seconds: float = 0.06, busy: int = 5) -> ServiceCapacity:
    """Returns the capacity after a second of answers from each upstream."""
    capacity = ServiceCapacity()
    in_progress = {u.name: busy for u in _UPSTREAMS}
    for step in range(11):
        capacity.update(_UPSTREAMS, in_progress, 0.1 * step)
        for upstream in _UPSTREAMS:
            calls = UpstreamCalls(9, 9 * seconds)
            assert capacity.record(upstream.name, calls, 0.2)
    return capacity


class TestCapacity:
    def test_is_slots_by_service_time_while_slots_are_free(self) -> None:
        assert learn(0.06, 5).capacity == pytest.approx(400)

    def test_is_requests_in_progress_by_time_while_some_wait(self) -> None:
        assert learn(0.3, 30).capacity == pytest.approx(400)

    def test_draining_upstreams_count_as_zero(self) -> None:
        capacity = learn()
        draining = attrs.evolve(_UPSTREAMS[0], state=DRAINING)
        capacity.update([draining, *_UPSTREAMS[1:]], {"u0": 5, "u1": 5}, 1.1)
        assert capacity.capacity == pytest.approx(300)
        assert capacity.in_progress == 5

    def test_a_new_upstream_counts_as_a_mean_one(self) -> None:
        capacity = learn()
        new = Upstream("u9", "s", "h9", "a", 6)
        capacity.update([*_UPSTREAMS, new], {}, 1.1)
        assert capacity.capacity == pytest.approx(500)

    def test_is_unknown_without_answers(self) -> None:
        capacity = ServiceCapacity()
        capacity.update(_UPSTREAMS, {"u1": 3}, 0.0)
        assert capacity.capacity == 0


class TestFollowing:
    @pytest.mark.parametrize("load", [_CALM, _BURST])
    @pytest.mark.parametrize("mode", ["resets", "hangs"])
    def test_loss_and_return_show_within_a_second(
        self, mode: str, load: dict[RequestClass, float]
    ) -> None:
        world = OverloadWorld()
        world.load = load
        world.run(3.0)
        assert world.capacity == pytest.approx(4 * _ONE, rel=0.1)
        world.upstreams["u1"].mode = mode
        world.run(1.0)
        assert world.capacity == pytest.approx(3 * _ONE, rel=0.1)
        world.run(2.0)
        world.restart("u1")
        world.run(1.0)
        assert world.capacity == pytest.approx(4 * _ONE, rel=0.1)

    def test_an_upstream_that_answers_probes_returns_within_a_second(
        self,
    ) -> None:
        world = OverloadWorld()
        world.run(2.0)
        world.upstreams["u1"].mode = "resets"
        world.run(3.0)
        world.upstreams["u1"].mode = "ok"
        world.run(1.0)
        assert world.capacity == pytest.approx(4 * _ONE, rel=0.1)

    @pytest.mark.parametrize("seed", range(5))
    def test_a_slow_period_shows_within_half_a_second(self, seed: int) -> None:
        # For 0.6 s one of four upstreams takes 2.5 times as long, which costs
        # 0.6 of its capacity. At least half of that shows.
        world = OverloadWorld(seed=seed)
        world.load = _CALM
        world.run(3.0)
        world.upstreams["u1"].factor = 2.5
        world.run(0.5)
        assert world.capacity < (4 - 0.3) * _ONE
        world.run(0.1)
        world.upstreams["u1"].factor = 1.0
        world.run(1.0)
        assert world.capacity == pytest.approx(4 * _ONE, rel=0.1)

    @pytest.mark.parametrize("seed", range(5))
    def test_a_slow_upstream_with_a_queue_shows_within_a_second(
        self, seed: int
    ) -> None:
        # Its first slow answers come only after the queue that they met.
        world = OverloadWorld(seed=seed)
        world.load = _BURST
        world.run(3.0)
        world.upstreams["u1"].factor = 2.5
        world.run(1.0)
        assert world.capacity == pytest.approx((4 - 0.6) * _ONE, rel=0.1)

    def test_a_growing_queue_is_not_capacity(self) -> None:
        # Guards against dividing the requests in progress now by the time of
        # answers that met a shorter queue.
        world = OverloadWorld()
        world.load = _CALM
        world.run(3.0)
        world.load = _BURST
        for _ in range(20):
            world.run(0.1)
            assert world.capacity < 1.15 * 4 * _ONE

    def test_lost_reports_are_no_lost_upstreams(self) -> None:
        world = OverloadWorld()
        world.run(3.0)
        world.loses_reports = True
        world.run(1.5)
        assert world.capacity == pytest.approx(4 * _ONE, rel=0.1)


class TestImplausibleReports:
    @pytest.mark.parametrize(
        "calls",
        [
            UpstreamCalls(10**9, 1.0),
            UpstreamCalls(9, 1e12),
            UpstreamCalls(9, math.nan),
            UpstreamCalls(9, -5.0),
            UpstreamCalls(-9, 1.0),
        ],
    )
    def test_are_bounded(self, calls: UpstreamCalls) -> None:
        capacity = learn()
        assert not capacity.record("u1", calls, 0.1)
        capacity.update(_UPSTREAMS, {}, 1.1)
        # Three upstreams are as before; one counts as four at most.
        assert 300 <= capacity.capacity <= 700

    def test_absurd_failures_eject_only_one(self) -> None:
        capacity = learn()
        assert not capacity.record("u1", UpstreamCalls(failed=-3), 0.1)
        capacity.record("u1", UpstreamCalls(failed=10**9), 0.1)
        capacity.update(_UPSTREAMS, {}, 1.1)
        assert capacity.ejections.ejected == {"u1"}

    def test_a_full_upstream_does_not_fail(self) -> None:
        capacity = learn()
        capacity.record("u1", UpstreamCalls(rejected=500), 0.1)
        capacity.update(_UPSTREAMS, {}, 1.1)
        assert not capacity.ejections.ejected

    def test_a_late_report_counts_in_part(self) -> None:
        late, current = learn(), learn()
        calls = UpstreamCalls(30, 6.0)
        late.record("u1", calls, 5.0)
        current.record("u1", calls, 0.2)
        for capacity in (late, current):
            capacity.update(_UPSTREAMS, {}, 1.1)
        assert current.capacity < late.capacity < 400


class TestPace:
    def test_is_the_service_time_by_its_mean(self) -> None:
        world = OverloadWorld()
        world.upstreams["u1"].factor = 3.0
        world.run(3.0)
        states = world.control.load_states()
        # 3 times the time of the others is 2 times the mean.
        assert states["u1"].pace == pytest.approx(2.0, abs=0.2)
        assert states["u0"].pace == pytest.approx(0.67, abs=0.2)

    def test_changes_seldom_without_cause(self) -> None:
        # Each change is sent to all fronts.
        world = OverloadWorld()
        world.load = _BURST
        changes, paces = 0, [1.0] * 4
        for _ in range(100):
            world.run(0.1)
            before = paces
            paces = [s.pace for s in world.control.load_states().values()]
            changes += sum(a != b for a, b in zip(before, paces, strict=True))
        assert changes <= 10

    def test_is_kept_from_an_earlier_owner_until_learned(self) -> None:
        capacity = ServiceCapacity()
        slow = attrs.evolve(_UPSTREAMS[1], pace=1.6)
        capacity.update([slow], {}, 0.0)
        assert capacity.load_states()["u1"].pace == 1.6
