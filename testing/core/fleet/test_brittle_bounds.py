"""Tests of which upstreams the owner takes for brittle.

Only the front that had an answer knew, and no front knew of a start that was
back: it fell again within half a second.
"""

import attrs
import pytest

from ridgesill.core.fleet.messages import NOT_BRITTLE, Heartbeat, WatchFleet
from ridgesill.core.fleet.registry import FleetView, Registry


def beat(name: str, service: str = "plain") -> Heartbeat:
    return Heartbeat(name, service, f"{name}:1", "a", 6, False, 1)


@pytest.fixture
def registry() -> Registry:
    """Returns a registry with two upstreams of a service."""
    made = Registry(1, 10.0)
    made.handle_heartbeat(beat("u1"), 0.0)
    made.handle_heartbeat(beat("u2"), 0.0)
    return made


def bounds(registry: Registry) -> dict[str, float]:
    return {u.name: u.brittle for u in registry.upstreams.values()}


class TestBounds:
    def test_all_upstreams_of_a_service_count_from_the_first_word_on(
        self, registry: Registry
    ) -> None:
        registry.handle_heartbeat(beat("u3", "other"), 0.0)
        changed = registry.record_brittle("u1", 3.0, 1.0)
        assert {upstream.name for upstream in changed} == {"u1", "u2"}
        assert bounds(registry) == {"u1": 3.0, "u2": 3.0, "u3": NOT_BRITTLE}

    def test_a_start_that_is_back_is_as_brittle_as_before(
        self, registry: Registry
    ) -> None:
        registry.record_brittle("u1", 3.0, 1.0)
        registry.record_brittle("u2", 3.0, 1.0)
        for name in ("u1", "u2"):
            registry.remove(name, 2.0)
        registry.expire(2.0)
        registry.handle_heartbeat(beat("u4"), 3.0)
        assert bounds(registry) == {"u4": 3.0}

    def test_it_ends_once_no_upstream_says_it_any_more(
        self, registry: Registry
    ) -> None:
        registry.record_brittle("u1", 3.0, 1.0)
        registry.record_brittle("u2", 5.0, 1.0)
        registry.record_brittle("u1", NOT_BRITTLE, 2.0)
        assert bounds(registry) == {"u1": NOT_BRITTLE, "u2": 5.0}
        registry.record_brittle("u2", NOT_BRITTLE, 2.0)
        assert set(bounds(registry).values()) == {NOT_BRITTLE}

    def test_an_answer_to_an_earlier_request_changes_nothing(
        self, registry: Registry
    ) -> None:
        registry.record_brittle("u1", 3.0, 2.0)
        assert registry.record_brittle("u1", NOT_BRITTLE, 1.0) == []
        assert bounds(registry)["u1"] == 3.0

    def test_another_front_hears_of_it_in_the_news(
        self, registry: Registry
    ) -> None:
        view = FleetView()
        for word in (3.0, NOT_BRITTLE):
            at = 1.0 if word == 3.0 else 2.0
            registry.record_brittle("u1", word, at)
            question = WatchFleet(view.epoch, view.number, 0.0)
            view.apply_news(registry.make_news(question, 1, {}, at), at)
            assert view.upstreams["u1"].brittle == word

    def test_the_next_owner_knows_of_it(self, registry: Registry) -> None:
        registry.record_brittle("u1", 3.0, 1.0)
        successor = Registry(2, 10.0)
        successor.adopt(registry.upstreams.values(), 2.0)
        successor.handle_heartbeat(beat("u5"), 3.0)
        assert successor.upstreams["u5"].brittle == 3.0
        known = attrs.evolve(registry.upstreams["u1"], instance="u1")
        assert successor.upstreams["u1"] == known
