"""Tests of what is known of the upstreams, and how it is told."""

from collections.abc import Iterator
from typing import Any

import attrs

from ridgesill.core.fleet.messages import (
    DRAINING,
    READY,
    Heartbeat,
    Upstream,
    WatchFleet,
)
from ridgesill.core.fleet.registry import FleetView, Registry

_PATIENCE = 5.0


def heartbeat(name: str, sequence: int, **fields: object) -> Heartbeat:
    """Returns a heartbeat of an upstream of service `s`."""
    given = {
        "service": "s",
        "address": f"10.0.0.{name[-1]}:80",
        "data_centre": "a",
        "slots": 4,
        "draining": False,
        **fields,
    }
    return Heartbeat(name=name, sequence=sequence, **given)  # type: ignore[arg-type]


def follow(registry: Registry, view: FleetView, now: float = 0.0) -> None:
    """Brings a view in line with a registry."""
    news = registry.make_news(
        WatchFleet(view.epoch, view.number, 0.5), 1, {}, now
    )
    view.apply_news(news, now)


class TestHeartbeats:
    def test_one_out_of_order_is_passed_over(self) -> None:
        registry = Registry(1, _PATIENCE)
        assert registry.handle_heartbeat(heartbeat("u1", 5), 0.0)
        assert not registry.handle_heartbeat(
            heartbeat("u1", 4, draining=True), 0.1
        )
        assert registry.upstreams["u1"].state == READY

    def test_one_that_leaves_does_not_come_back(self) -> None:
        registry = Registry(1, _PATIENCE)
        registry.handle_heartbeat(heartbeat("u1", 1), 0.0)
        registry.mark_draining("u1", 1.0)
        registry.handle_heartbeat(heartbeat("u1", 2), 1.1)
        assert registry.upstreams["u1"].state == DRAINING

    def test_a_late_heartbeat_does_not_bring_back_one_that_is_gone(
        self,
    ) -> None:
        registry = Registry(1, _PATIENCE)
        registry.handle_heartbeat(heartbeat("u1", 1), 0.0)
        registry.remove("u1", 1.0)
        assert not registry.handle_heartbeat(heartbeat("u1", 2), 2.0)

    def test_a_new_process_at_an_address_replaces_the_old_one(self) -> None:
        registry = Registry(1, _PATIENCE)
        registry.handle_heartbeat(heartbeat("u1", 1), 0.0)
        later = heartbeat("v9", 1, address="10.0.0.1:80")
        registry.handle_heartbeat(later, 3.0)
        assert set(registry.upstreams) == {"v9"}

    def test_one_held_back_by_a_cut_does_not_replace_its_successor(
        self,
    ) -> None:
        # The owner is new: it never knew the earlier incarnation.
        registry = Registry(2, _PATIENCE)
        registry.handle_heartbeat(heartbeat("u1", 7), 0.0)
        ghost = heartbeat("v9", 40, address="10.0.0.1:80")
        assert not registry.handle_heartbeat(ghost, 0.5)
        assert registry.handle_heartbeat(heartbeat("u1", 8), 1.2)
        assert not registry.handle_heartbeat(
            attrs.evolve(ghost, sequence=41), 1.3
        )
        assert registry.handle_heartbeat(heartbeat("u1", 9), 2.4)
        assert set(registry.upstreams) == {"u1"}

    def test_the_one_that_is_heard_again_replaces_a_silent_one(self) -> None:
        registry = Registry(2, _PATIENCE)
        registry.handle_heartbeat(heartbeat("u1", 7), 0.0)
        later = heartbeat("v9", 1, address="10.0.0.1:80")
        assert not registry.handle_heartbeat(later, 0.2)
        assert registry.handle_heartbeat(attrs.evolve(later, sequence=2), 1.4)
        assert set(registry.upstreams) == {"v9"}

    def test_one_that_drains_gives_its_address_up_at_once(self) -> None:
        registry = Registry(2, _PATIENCE)
        registry.handle_heartbeat(heartbeat("u1", 7, draining=True), 0.0)
        assert registry.handle_heartbeat(
            heartbeat("v9", 1, address="10.0.0.1:80"), 0.2
        )
        assert set(registry.upstreams) == {"v9"}

    def test_a_silent_one_is_forgotten_and_may_come_back(self) -> None:
        registry = Registry(1, _PATIENCE)
        registry.handle_heartbeat(heartbeat("u1", 1), 0.0)
        assert registry.expire(_PATIENCE + 0.1) == ["u1"]
        assert registry.handle_heartbeat(heartbeat("u1", 2), 6.0)
        assert "u1" in registry.upstreams


class TestNews:
    def test_a_view_follows_changes(self) -> None:
        registry = Registry(1, _PATIENCE)
        view = FleetView()
        registry.handle_heartbeat(heartbeat("u1", 1, resident={"m": 1}), 0.0)
        follow(registry, view)
        registry.set_resident("u1", {"m": 1, "m/a1": 2})
        registry.mark_draining("u1", 1.0)
        follow(registry, view)
        assert view.upstreams["u1"].resident == {"m": 1, "m/a1": 2}
        assert view.holders("s", "m/a1") == []
        registry.remove("u1", 2.0)
        follow(registry, view)
        assert view.upstreams == {}

    def test_another_owner_tells_everything(self) -> None:
        view = FleetView()
        first = Registry(1, _PATIENCE)
        first.handle_heartbeat(heartbeat("u1", 1), 0.0)
        follow(first, view)
        second = Registry(7, _PATIENCE)
        second.handle_heartbeat(heartbeat("u2", 1), 0.0)
        follow(second, view)
        assert set(view.upstreams) == {"u2"}

    def test_an_owner_that_was_restarted_takes_nothing_away(self) -> None:
        view = FleetView()
        first = Registry(1, _PATIENCE)
        first.handle_heartbeat(heartbeat("u1", 1), 0.0)
        first.handle_heartbeat(heartbeat("u2", 1), 0.0)
        follow(first, view)
        second = Registry(7, _PATIENCE)
        second.begin_settling(1.0)
        follow(second, view, 1.0)
        assert set(view.upstreams) == {"u1", "u2"}
        second.handle_heartbeat(heartbeat("u2", 2), 2.0)
        follow(second, view, 2.0)
        assert set(view.upstreams) == {"u1", "u2"}
        # By now it would have heard the other one if it were there.
        follow(second, view, 1.0 + _PATIENCE)
        assert set(view.upstreams) == {"u2"}

    def test_an_earlier_owner_is_not_believed(self) -> None:
        view = FleetView()
        second = Registry(7, _PATIENCE)
        second.handle_heartbeat(heartbeat("u2", 1), 0.0)
        follow(second, view)
        first = Registry(1, _PATIENCE)
        view.apply_news(first.make_news(WatchFleet(0, 0, 0.5), 1, {}, 0.0), 0.0)
        assert set(view.upstreams) == {"u2"}

    def test_one_who_is_far_behind_gets_everything(self) -> None:
        registry = Registry(1, _PATIENCE)
        registry.handle_heartbeat(heartbeat("u1", 1), 0.0)
        for number in range(5000):
            registry.set_resident("u1", {"m": number})
        assert registry.make_news(WatchFleet(1, 1, 0.5), 1, {}, 0.0).whole
        assert not registry.make_news(
            WatchFleet(1, registry.number - 5, 0.5), 1, {}, 0.0
        ).whole

    def test_a_newcomer_is_told_what_is_remembered(self) -> None:
        registry = Registry(3, _PATIENCE)
        registry.handle_heartbeat(heartbeat("u1", 1), 0.0)
        view = FleetView()
        assert not view.make_bootstrap_news(WatchFleet(0, 0, 0.5)).epoch
        follow(registry, view)
        news = view.make_bootstrap_news(WatchFleet(0, 0, 0.5))
        assert (news.epoch, news.number, news.whole) == (3, 0, True)
        assert [change.name for change in news.changes] == ["u1"]
        assert not view.make_bootstrap_news(WatchFleet(2, 9, 0.5)).epoch


class CountedUpstreams(dict[str, Upstream]):
    """Upstreams that count how often somebody looks at all of them."""

    looks = 0

    def __iter__(self) -> Iterator[str]:
        self.looks += 1
        return super().__iter__()

    def values(self) -> Any:
        self.looks += 1
        return super().values()

    def items(self) -> Any:
        self.looks += 1
        return super().items()


class TestManyUpstreams:
    def test_a_heartbeat_looks_at_its_own_only(self) -> None:
        # Load pattern: all 670 upstreams are heard anew within 1.2 s after all
        # control nodes were killed.
        registry = Registry(1, _PATIENCE)
        counted = CountedUpstreams()
        registry.upstreams = counted
        for sequence in (1, 2):
            for number in range(670):
                fields = {
                    "address": f"10.0.{number // 250}.{number % 250}:80",
                    "instance": f"i{number}",
                }
                name = f"u{number}"
                assert registry.handle_heartbeat(
                    heartbeat(name, sequence, **fields), 0.1
                )
                assert registry.find(f"i{number}") is not None
        assert len(registry.upstreams) == 670
        assert counted.looks == 0

    def test_who_comes_at_an_address_replaces_who_was_there(self) -> None:
        registry = Registry(1, _PATIENCE)
        registry.handle_heartbeat(
            heartbeat("u1", 1, address="10.0.0.1:80"), 0.0
        )
        registry.handle_heartbeat(
            heartbeat("u2", 1, address="10.0.0.1:80"), 9.0
        )
        assert set(registry.upstreams) == {"u2"}
        assert registry.find("u1") is None

    def test_one_that_moves_is_found_where_it_is_now(self) -> None:
        registry = Registry(1, _PATIENCE)
        registry.handle_heartbeat(
            heartbeat("u1", 1, address="10.0.0.1:80"), 0.0
        )
        registry.handle_heartbeat(
            heartbeat("u1", 2, address="10.0.0.2:80"), 0.1
        )
        # Nobody is at the first address any more.
        registry.handle_heartbeat(
            heartbeat("u2", 1, address="10.0.0.1:80"), 0.2
        )
        assert set(registry.upstreams) == {"u1", "u2"}


class TestStarts:
    def test_a_later_start_under_one_name_begins_anew_on_fronts(self) -> None:
        registry = Registry(1, _PATIENCE)
        view = FleetView()
        first = {"instance": "u1", "start": 1, "address": "10.0.0.1:80"}
        registry.handle_heartbeat(
            heartbeat("u1#1", 90, resident={"m": 1}, **first), 0.0
        )
        registry.mark_draining("u1#1", 0.5)
        follow(registry, view)
        later = {**first, "start": 2}
        assert registry.handle_heartbeat(
            heartbeat("u1#2", 0, resident={}, **later), 1.0
        )
        follow(registry, view)
        assert list(view.upstreams) == ["u1#2"]
        assert view.upstreams["u1#2"].state == READY
        assert view.upstreams["u1#2"].resident == {}

    def test_a_word_of_an_earlier_start_changes_nothing(self) -> None:
        registry = Registry(1, _PATIENCE)
        later = {"instance": "u1", "start": 2, "address": "10.0.0.1:80"}
        registry.handle_heartbeat(heartbeat("u1#2", 0, **later), 1.0)
        number = registry.number
        for start in (1, 0):
            late = {**later, "start": start}
            assert not registry.handle_heartbeat(
                heartbeat(f"u1#{start}", 95, **late), 1.1
            )
        assert registry.handle_leave("u1", 1, 1.2) == ""
        assert registry.number == number

    def test_a_departure_before_any_heartbeat_holds_for_its_start(self) -> None:
        registry = Registry(1, _PATIENCE)
        registry.handle_leave("u1", 1, 0.0)
        given = {"instance": "u1", "address": "10.0.0.1:80"}
        assert not registry.handle_heartbeat(
            heartbeat("u1#1", 9, start=1, **given), 0.1
        )
        assert registry.handle_heartbeat(
            heartbeat("u1#2", 0, start=2, **given), 0.2
        )

    def test_a_departure_that_tells_no_start_is_of_the_last_one(self) -> None:
        registry = Registry(1, _PATIENCE)
        given = {"instance": "u1", "address": "10.0.0.1:80"}
        registry.handle_heartbeat(heartbeat("u1#1", 9, start=1, **given), 0.0)
        registry.expire(6.0)
        registry.handle_leave("u1", 0, 6.1)
        assert not registry.handle_heartbeat(
            heartbeat("u1#1", 10, start=1, **given), 6.2
        )
        assert registry.handle_heartbeat(
            heartbeat("u1#2", 0, start=2, **given), 6.3
        )

    def test_a_successor_learns_where_strays_may_run(self) -> None:
        registry = Registry(1, _PATIENCE)
        given = {"instance": "u1", "address": "10.0.0.1:80"}
        registry.handle_heartbeat(heartbeat("u1#1", 9, start=1, **given), 0.0)
        assert not registry.upstreams["u1#1"].has_strays
        registry.handle_heartbeat(heartbeat("u1#2", 0, start=2, **given), 1.0)
        assert registry.upstreams["u1#2"].has_strays
        registry.handle_heartbeat(heartbeat("u1#2", 1, start=2, **given), 13.0)
        registry.expire(14.5)
        assert not registry.upstreams["u1#2"].has_strays
