"""Tests of the owner's overload control."""

import pytest

from ridgesill.core.fleet.messages import Upstream
from ridgesill.core.fleet.overload import OverloadControl
from ridgesill.core.fleet.use_reports import Sent
from ridgesill.core.serving.load_reports import RequestClass, UpstreamCalls
from ridgesill.core.serving.rates import RateUse
from testing.core.fleet.overload_world import GOAL, OverloadWorld

_ONE = RequestClass("s")
_UPSTREAMS = [Upstream(f"u{n}", "s", f"h{n}", "a", 6) for n in range(4)]
_BUSY = {u.name: 20 for u in _UPSTREAMS}


def play(world: OverloadWorld, load: float, seconds: float) -> dict[str, int]:
    """Plays some load; returns what became of the calls."""
    world.load = {_ONE: load}
    before = world.outcomes.copy()
    world.run(seconds)
    return world.outcomes - before


def overload(
    control: OverloadControl, fronts: int = 59, begin: float = 0.0
) -> None:
    """Plays 2 s of 500 calls a second for four upstreams that serve 350."""
    for step in range(20):
        now = begin + 0.1 * step
        calls = {u.name: UpstreamCalls(9, 9 * 0.229) for u in _UPSTREAMS}
        offers = {_ONE.key: RateUse(35, 50)}
        control.record(Sent(offers=offers, calls=calls), 0.2, now)
        control.update(_UPSTREAMS, _BUSY, fronts, now)


def make_control(started_at: float = -10.0) -> OverloadControl:
    """Returns the control of one service."""
    control = OverloadControl(started_at)
    control.set_services({"s": GOAL}, {})
    return control


class TestReplay:
    @pytest.mark.parametrize("seed", range(3))
    @pytest.mark.parametrize("fronts", [20, 74, 330])
    def test_a_burst_gets_what_fits_in_time(
        self, fronts: int, seed: int
    ) -> None:
        # 203 calls a second, then 2.5 times as many; 350 fit.
        world = OverloadWorld(fronts, seed=seed)
        play(world, 203.0, 3.0)
        counts = play(world, 507.0, 6.0)
        assert counts["in_time"] >= 0.9 * 350 * 6
        assert counts.get("late", 0) <= 0.03 * counts["in_time"]
        counts = play(world, 203.0, 3.0)
        assert counts["in_time"] >= 0.95 * counts["offered "]

    def test_a_calm_day_refuses_nothing(self) -> None:
        counts = play(OverloadWorld(), 203.0, 10.0)
        assert not counts.get("refused", 0)

    def test_two_of_four_upstreams_lost_for_good(self) -> None:
        # 200 calls a second where 175 fit.
        world = OverloadWorld()
        play(world, 200.0, 3.0)
        for name in ("u1", "u2"):
            world.upstreams[name].mode = "resets"
            play(world, 200.0, 2.0)
        counts = play(world, 200.0, 6.0)
        assert counts["in_time"] >= 0.9 * 175 * 6
        assert counts.get("late", 0) <= 0.03 * counts["in_time"]

    def test_a_resetting_upstream_loses_few_calls(self) -> None:
        world = OverloadWorld()
        play(world, 203.0, 3.0)
        world.upstreams["u1"].mode = "resets"
        play(world, 203.0, 1.0)
        counts = play(world, 203.0, 10.0)
        assert counts["failed"] <= 3 * 10

    def test_late_reports_do_not_make_it_refuse_all(self) -> None:
        # Reports that are 0.5 s old make the requests in progress swing.
        world = OverloadWorld()
        world.report_delay = 0.5
        play(world, 203.0, 3.0)
        counts = play(world, 507.0, 6.0)
        assert counts["in_time"] + counts.get("late", 0) >= 0.8 * 350 * 6

    def test_a_flooding_customer_takes_nothing_from_others(self) -> None:
        # One of 16 customers sends ten times its load.
        world = OverloadWorld()
        names = [f"c{n}" for n in range(16)]
        usual = {RequestClass("s", 0, n): 203 / 16 for n in names}
        world.load = usual
        world.run(3.0)
        world.load = {**usual, RequestClass("s", 0, "c0"): 10 * 203 / 16}
        world.run(1.0)
        before = world.outcomes.copy()
        world.run(5.0)
        counts = world.outcomes - before
        served = sum(counts[f"in_time {n}"] for n in names[1:])
        offered = sum(counts[f"offered {n}"] for n in names[1:])
        assert served >= 0.97 * offered


class TestShares:
    def test_restrict_overloaded_services_only(self) -> None:
        control = make_control()
        overload(control)
        news = control.make_news(2.0)["s"]
        assert news.capacity == pytest.approx(350, rel=0.05)
        assert 0.4 < news.shares[_ONE.key].share < 0.8
        assert news.returns_over > 0
        # Nothing waits any more, so there is room at once.
        control.update(_UPSTREAMS, dict.fromkeys(_BUSY, 2), 59, 2.1)
        assert not control.make_news(2.1)["s"].shares
        assert not control.is_restricting

    def test_unrestricted_classes_are_not_listed(self) -> None:
        # A small customer offers less than its fair share.
        control = make_control()
        small = RequestClass("s", 0, "small")
        for step in range(20):
            offers = {small.key: RateUse(1, 1)}
            control.record(Sent(offers=offers), 0.1, 0.1 * step)
        overload(control)
        assert list(control.make_news(2.0)["s"].shares) == [_ONE.key]

    @pytest.mark.parametrize("fronts", [6, 19])
    def test_few_fronts_decide_by_themselves(self, fronts: int) -> None:
        control = make_control()
        overload(control, fronts)
        assert not control.make_news(2.0)
        assert not control.load_states()

    def test_a_new_owner_restricts_nothing_until_it_has_learned(self) -> None:
        control = make_control(started_at=1.5)
        overload(control)
        assert not control.make_news(2.0)["s"].shares
        overload(control, begin=2.0)
        assert control.make_news(4.0)["s"].shares

    def test_removed_services_are_not_restricted(self) -> None:
        control = make_control()
        overload(control)
        control.set_services({}, {})
        assert not control.make_news(2.0)


class TestImplausibleOffers:
    @pytest.mark.parametrize("count", [10**12, -(10**12)])
    def test_are_bounded(self, count: int) -> None:
        # Guards against one report that has all requests refused.
        control, other = make_control(), make_control()
        overload(control)
        overload(other)
        offers = {_ONE.key: RateUse(count, count)}
        assert control.record(Sent(offers=offers), 0.1, 2.0) == [_ONE.key]
        overload(control, begin=2.1)
        overload(other, begin=2.1)
        share = control.make_news(4.1)["s"].shares[_ONE.key].share
        expected = other.make_news(4.1)["s"].shares[_ONE.key].share
        assert share == pytest.approx(expected, rel=0.25)

    def test_malformed_classes_are_ignored(self) -> None:
        control = make_control()
        offers = {"s": RateUse(1, 1), "other\n0\nnew\n": RateUse(1, 1)}
        assert control.record(Sent(offers=offers), 0.1, 0.0) == ["s"]

    def test_the_number_of_classes_is_bounded(self) -> None:
        control = make_control()
        for number in range(9):
            keys = (f"s\n0\nnew\n{number}-{n}" for n in range(512))
            offers = dict.fromkeys(keys, RateUse(1, 1))
            control.record(Sent(offers=offers), 0.1, 0.0)
        control.update(_UPSTREAMS, {}, 59, 0.0)
        assert len(control._classes) == 4096
