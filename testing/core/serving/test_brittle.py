"""Tests of what a front does at brittle upstreams without the owner."""

import random

import attrs

from ridgesill.core.fleet.messages import Upstream
from ridgesill.core.fleet.registry import FleetView
from ridgesill.core.serving.brittle import BrittleUpstreams

U1 = Upstream("u1", "plain", "h:1", "a", 6)
U2 = Upstream("u2", "plain", "h:2", "a", 6)


def make_brittle(seed: int = 1) -> BrittleUpstreams:
    return BrittleUpstreams(random.Random(seed))


def make_view(*upstreams: Upstream) -> FleetView:
    return FleetView(upstreams={u.name: u for u in upstreams})


class TestKnowledge:
    def test_the_whole_service_is_brittle_from_the_first_word_on(self) -> None:
        brittle = make_brittle()
        assert not brittle
        assert brittle.record(U1, 5.0, 1.0)
        assert brittle.is_service_brittle("plain")
        assert not brittle.is_service_brittle("other")

    def test_a_later_answer_without_the_word_ends_it(self) -> None:
        brittle = make_brittle()
        brittle.record(U1, 5.0, 2.0)
        assert not brittle.record(U1, None, 1.0)
        assert brittle.is_service_brittle("plain")
        assert brittle.record(U1, None, 3.0)
        assert not brittle

    def test_the_word_of_another_front_counts(self) -> None:
        brittle = make_brittle()
        brittle.apply_view(make_view(attrs.evolve(U1, brittle=3.0), U2))
        assert brittle.is_service_brittle("plain")
        assert brittle.list_upstreams() == {"u1"}
        brittle.apply_view(make_view(U1, U2))
        assert not brittle

    def test_a_service_stays_brittle_while_all_its_upstreams_are_away(
        self,
    ) -> None:
        brittle = make_brittle()
        brittle.apply_view(make_view(attrs.evolve(U1, brittle=3.0)))
        brittle.apply_view(make_view())
        assert brittle.is_service_brittle("plain")


class TestWithoutTheOwner:
    def count_sends(self, fronts: int, seconds: float) -> list[float]:
        """Returns when fronts that always have a request send one."""
        brittle = [make_brittle(seed) for seed in range(fronts)]
        for one in brittle:
            one.record(U1, 3.0, 0.0)
        return [
            step / 100
            for step in range(int(seconds * 100))
            for one in brittle
            if one.may_use_alone(U1, 0, fronts, 1.0, step / 100)
        ]

    def test_all_fronts_together_stay_within_the_bound(self) -> None:
        for fronts in (6, 71, 330):
            times = self.count_sends(fronts, 60.0)
            assert 20 <= len(times) <= 70
            busiest = max(
                sum(at <= other < at + 1.0 for other in times) for at in times
            )
            assert busiest <= 3 + 1

    def test_a_bound_of_zero_allows_nothing(self) -> None:
        brittle = make_brittle()
        brittle.record(U1, 0.0, 0.0)
        assert not any(
            brittle.may_use_alone(U1, 0, 6, 1.0, at / 10) for at in range(600)
        )

    def test_each_front_uses_its_part_of_the_slots_once_permits_are_gone(
        self,
    ) -> None:
        brittle = make_brittle()
        brittle.record(U1, 3.0, 0.0)
        assert brittle.may_use_alone(U1, 1, 3, 3.0, 1.0)
        assert not brittle.may_use_alone(U1, 2, 3, 3.0, 1.0)

    def test_a_front_that_is_turned_away_pauses(self) -> None:
        brittle = make_brittle()
        brittle.record(U1, 3.0, 0.0)
        brittle.record_rejected(U1, 3, 1.0)
        assert not brittle.may_use_alone(U1, 0, 3, 3.0, 1.9)
        assert brittle.may_use_alone(U1, 0, 3, 3.0, 2.1)
