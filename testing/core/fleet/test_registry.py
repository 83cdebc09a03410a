"""Tests of the registry of upstreams and of the news made from it."""

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
    given_fields = {
        "service": "s",
        "address": f"10.0.0.{name[-1]}:80",
        "data_centre": "a",
        "slots": 4,
        "draining": False,
        **fields,
    }
    return Heartbeat(name=name, sequence=sequence, **given_fields)  # type: ignore[arg-type]


def update_view(registry: Registry, view: FleetView, now: float = 0.0) -> None:
    """Applies a registry's news to a view."""
    news = registry.make_news(
        WatchFleet(view.epoch, view.number, 0.5), 1, {}, now
    )
    view.apply_news(news, now)


class TestHeartbeats:
    def test_out_of_order_heartbeat_is_ignored(self) -> None:
        registry = Registry(1, _PATIENCE)
        assert registry.handle_heartbeat(heartbeat("u1", 5), 0.0)
        assert not registry.handle_heartbeat(
            heartbeat("u1", 4, draining=True), 0.1
        )
        assert registry.upstreams["u1"].state == READY

    def test_draining_upstream_stays_draining(self) -> None:
        registry = Registry(1, _PATIENCE)
        registry.handle_heartbeat(heartbeat("u1", 1), 0.0)
        registry.mark_draining("u1", 1.0)
        registry.handle_heartbeat(heartbeat("u1", 2), 1.1)
        assert registry.upstreams["u1"].state == DRAINING

    def test_late_heartbeat_does_not_restore_a_removed_upstream(self) -> None:
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

    def test_delayed_heartbeat_does_not_replace_the_running_incarnation(
        self,
    ) -> None:
        # The owner is new: it never knew the earlier incarnation.
        registry = Registry(2, _PATIENCE)
        registry.handle_heartbeat(heartbeat("u1", 7), 0.0)
        delayed = heartbeat("v9", 40, address="10.0.0.1:80")
        assert not registry.handle_heartbeat(delayed, 0.5)
        assert registry.handle_heartbeat(heartbeat("u1", 8), 1.2)
        assert not registry.handle_heartbeat(
            attrs.evolve(delayed, sequence=41), 1.3
        )
        assert registry.handle_heartbeat(heartbeat("u1", 9), 2.4)
        assert set(registry.upstreams) == {"u1"}

    def test_second_heartbeat_replaces_a_silent_incarnation(self) -> None:
        registry = Registry(2, _PATIENCE)
        registry.handle_heartbeat(heartbeat("u1", 7), 0.0)
        later = heartbeat("v9", 1, address="10.0.0.1:80")
        assert not registry.handle_heartbeat(later, 0.2)
        assert registry.handle_heartbeat(attrs.evolve(later, sequence=2), 1.4)
        assert set(registry.upstreams) == {"v9"}

    def test_draining_upstream_is_replaced_at_its_address_at_once(self) -> None:
        registry = Registry(2, _PATIENCE)
        registry.handle_heartbeat(heartbeat("u1", 7, draining=True), 0.0)
        assert registry.handle_heartbeat(
            heartbeat("v9", 1, address="10.0.0.1:80"), 0.2
        )
        assert set(registry.upstreams) == {"v9"}

    def test_silent_upstream_is_removed_and_may_return(self) -> None:
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
        update_view(registry, view)
        registry.set_resident("u1", {"m": 1, "m/a1": 2})
        registry.mark_draining("u1", 1.0)
        update_view(registry, view)
        assert view.upstreams["u1"].resident == {"m": 1, "m/a1": 2}
        assert view.holders("s", "m/a1") == []
        registry.remove("u1", 2.0)
        update_view(registry, view)
        assert view.upstreams == {}

    def test_new_owner_sends_the_full_state(self) -> None:
        view = FleetView()
        first = Registry(1, _PATIENCE)
        first.handle_heartbeat(heartbeat("u1", 1), 0.0)
        update_view(first, view)
        second = Registry(7, _PATIENCE)
        second.handle_heartbeat(heartbeat("u2", 1), 0.0)
        update_view(second, view)
        assert set(view.upstreams) == {"u2"}

    def test_restarted_owner_removes_nothing_until_it_settles(self) -> None:
        view = FleetView()
        first = Registry(1, _PATIENCE)
        first.handle_heartbeat(heartbeat("u1", 1), 0.0)
        first.handle_heartbeat(heartbeat("u2", 1), 0.0)
        update_view(first, view)
        second = Registry(7, _PATIENCE)
        second.begin_settling(1.0)
        update_view(second, view, 1.0)
        assert set(view.upstreams) == {"u1", "u2"}
        second.handle_heartbeat(heartbeat("u2", 2), 2.0)
        update_view(second, view, 2.0)
        assert set(view.upstreams) == {"u1", "u2"}
        # The patience is over, so `u1` would have sent a heartbeat by now.
        update_view(second, view, 1.0 + _PATIENCE)
        assert set(view.upstreams) == {"u2"}

    def test_news_of_an_earlier_epoch_is_ignored(self) -> None:
        view = FleetView()
        second = Registry(7, _PATIENCE)
        second.handle_heartbeat(heartbeat("u2", 1), 0.0)
        update_view(second, view)
        first = Registry(1, _PATIENCE)
        view.apply_news(first.make_news(WatchFleet(0, 0, 0.5), 1, {}, 0.0), 0.0)
        assert set(view.upstreams) == {"u2"}

    def test_asker_far_behind_gets_the_full_state(self) -> None:
        registry = Registry(1, _PATIENCE)
        registry.handle_heartbeat(heartbeat("u1", 1), 0.0)
        for number in range(5000):
            registry.set_resident("u1", {"m": number})
        assert registry.make_news(WatchFleet(1, 1, 0.5), 1, {}, 0.0).whole
        assert not registry.make_news(
            WatchFleet(1, registry.number - 5, 0.5), 1, {}, 0.0
        ).whole

    def test_new_front_gets_a_view_without_an_owner(self) -> None:
        registry = Registry(3, _PATIENCE)
        registry.handle_heartbeat(heartbeat("u1", 1), 0.0)
        view = FleetView()
        assert not view.make_bootstrap_news(WatchFleet(0, 0, 0.5)).epoch
        update_view(registry, view)
        news = view.make_bootstrap_news(WatchFleet(0, 0, 0.5))
        assert (news.epoch, news.number, news.whole) == (3, 0, True)
        assert [change.name for change in news.changes] == ["u1"]
        assert not view.make_bootstrap_news(WatchFleet(2, 9, 0.5)).epoch


class ScanCountingUpstreams(dict[str, Upstream]):
    """Dict of upstreams that counts iterations over all of them."""

    scans = 0

    def __iter__(self) -> Iterator[str]:
        self.scans += 1
        return super().__iter__()

    def values(self) -> Any:
        self.scans += 1
        return super().values()

    def items(self) -> Any:
        self.scans += 1
        return super().items()


class TestManyUpstreams:
    def test_heartbeat_does_not_scan_all_upstreams(self) -> None:
        # Load pattern: all control nodes were killed, and the first heartbeats
        # of all 670 upstreams reach the new owner within 1.2 s.
        registry = Registry(1, _PATIENCE)
        counted = ScanCountingUpstreams()
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
        assert counted.scans == 0

    def test_later_upstream_at_an_address_replaces_the_earlier(self) -> None:
        registry = Registry(1, _PATIENCE)
        registry.handle_heartbeat(
            heartbeat("u1", 1, address="10.0.0.1:80"), 0.0
        )
        registry.handle_heartbeat(
            heartbeat("u2", 1, address="10.0.0.1:80"), 9.0
        )
        assert set(registry.upstreams) == {"u2"}
        assert registry.find("u1") is None

    def test_moved_upstream_frees_its_old_address(self) -> None:
        registry = Registry(1, _PATIENCE)
        registry.handle_heartbeat(
            heartbeat("u1", 1, address="10.0.0.1:80"), 0.0
        )
        registry.handle_heartbeat(
            heartbeat("u1", 2, address="10.0.0.2:80"), 0.1
        )
        # The first address is free now, so `u1` must stay.
        registry.handle_heartbeat(
            heartbeat("u2", 1, address="10.0.0.1:80"), 0.2
        )
        assert set(registry.upstreams) == {"u1", "u2"}


class TestStarts:
    def test_later_start_replaces_the_draining_one_on_fronts(self) -> None:
        registry = Registry(1, _PATIENCE)
        view = FleetView()
        first = {"instance": "u1", "start": 1, "address": "10.0.0.1:80"}
        registry.handle_heartbeat(
            heartbeat("u1#1", 90, resident={"m": 1}, **first), 0.0
        )
        registry.mark_draining("u1#1", 0.5)
        update_view(registry, view)
        later = {**first, "start": 2}
        assert registry.handle_heartbeat(
            heartbeat("u1#2", 0, resident={}, **later), 1.0
        )
        update_view(registry, view)
        assert list(view.upstreams) == ["u1#2"]
        assert view.upstreams["u1#2"].state == READY
        assert view.upstreams["u1#2"].resident == {}

    def test_messages_of_an_earlier_start_change_nothing(self) -> None:
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

    def test_departure_before_any_heartbeat_applies_to_its_start(self) -> None:
        registry = Registry(1, _PATIENCE)
        registry.handle_leave("u1", 1, 0.0)
        given_fields = {"instance": "u1", "address": "10.0.0.1:80"}
        assert not registry.handle_heartbeat(
            heartbeat("u1#1", 9, start=1, **given_fields), 0.1
        )
        assert registry.handle_heartbeat(
            heartbeat("u1#2", 0, start=2, **given_fields), 0.2
        )

    def test_departure_without_start_applies_to_the_latest(self) -> None:
        registry = Registry(1, _PATIENCE)
        given_fields = {"instance": "u1", "address": "10.0.0.1:80"}
        registry.handle_heartbeat(
            heartbeat("u1#1", 9, start=1, **given_fields), 0.0
        )
        registry.expire(6.0)
        registry.handle_leave("u1", 0, 6.1)
        assert not registry.handle_heartbeat(
            heartbeat("u1#1", 10, start=1, **given_fields), 6.2
        )
        assert registry.handle_heartbeat(
            heartbeat("u1#2", 0, start=2, **given_fields), 6.3
        )

    def test_record_tells_where_stray_orders_may_run(self) -> None:
        registry = Registry(1, _PATIENCE)
        given_fields = {"instance": "u1", "address": "10.0.0.1:80"}
        registry.handle_heartbeat(
            heartbeat("u1#1", 9, start=1, **given_fields), 0.0
        )
        assert not registry.upstreams["u1#1"].has_strays
        registry.handle_heartbeat(
            heartbeat("u1#2", 0, start=2, **given_fields), 1.0
        )
        assert registry.upstreams["u1#2"].has_strays
        registry.handle_heartbeat(
            heartbeat("u1#2", 1, start=2, **given_fields), 13.0
        )
        registry.expire(14.5)
        assert not registry.upstreams["u1#2"].has_strays


class TestLoadStates:
    def test_views_and_the_next_owner_keep_paces_and_ejections(self) -> None:
        """Guards against upstreams that start as average with each owner."""
        registry = Registry(1, _PATIENCE)
        registry.handle_heartbeat(heartbeat("u1", 1), 0.0)
        view = FleetView()
        update_view(registry, view)
        registry.set_load_state("u1", 1.8, True)
        update_view(registry, view)
        registry.handle_heartbeat(heartbeat("u1", 2, slots=5), 1.0)
        update_view(registry, view)
        successor = Registry(2, _PATIENCE)
        successor.adopt(view.upstreams.values(), 2.0)
        kept = successor.upstreams["u1"]
        assert (kept.pace, kept.is_ejected, kept.slots) == (1.8, True, 5)

    def test_an_unchanged_state_is_no_news(self) -> None:
        registry = Registry(1, _PATIENCE)
        registry.handle_heartbeat(heartbeat("u1", 1), 0.0)
        registry.set_load_state("u1", 1.0, False)
        registry.set_load_state("u2", 2.0, True)
        assert not registry.has_news(1, 1)
