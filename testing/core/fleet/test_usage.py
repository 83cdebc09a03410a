"""Tests of the sums of the usage that fronts report."""

from ridgesill.core.fleet.messages import FrontRoom
from ridgesill.core.fleet.usage import Usage, UsageReport


def report(
    busy: dict[str, dict[str, int]], fronts: int = 1, age: float = 0.0
) -> UsageReport:
    """Returns the report of a front or a relay."""
    return UsageReport({}, busy, fronts, age)


class TestUsage:
    def test_reports_of_fronts_are_summed(self) -> None:
        usage = Usage()
        usage.record_report("f1", report({"u1": {"m/a1": 2, "m/a2": 1}}), 0.0)
        usage.record_report(
            "f2", report({"u1": {"m/a1": 1}, "u2": {"": 4}}), 0.0
        )
        assert usage.requests_by_upstream() == {"u1": 4, "u2": 4}
        assert usage.artifacts_in_use("u1") == {"m/a1", "m/a2"}

    def test_latest_report_replaces_the_earlier(self) -> None:
        usage = Usage()
        usage.record_report("f1", report({"u1": {"m/a1": 2}}), 0.0)
        usage.record_report("f1", report({}), 1.0)
        assert usage.requests_by_upstream() == {}

    def test_silent_front_is_pruned(self) -> None:
        usage = Usage()
        usage.record_report("f1", report({"u1": {"m/a1": 2}}), 0.0)
        usage.prune_silent(5.0)
        assert (usage.fronts, usage.requests_by_upstream()) == (0, {})

    def test_sums_are_right_after_any_order_of_reports(self) -> None:
        usage = Usage()
        usage.record_report(
            "f1", report({"u1": {"m/a1": 2}, "u2": {"": 1}}), 0.0
        )
        usage.record_report("f2", report({"u1": {"m/a1": 1}}), 0.0)
        usage.record_report("f1", report({"u2": {"": 3}}), 0.1)
        assert usage.requests_by_upstream() == {"u1": 1, "u2": 3}
        usage.record_report("f2", report({}), 0.2)
        assert usage.requests_by_upstream() == {"u2": 3}
        assert usage.artifacts_in_use("u1") == set()


class TestRelays:
    def test_a_relay_counts_as_its_fronts(self) -> None:
        usage = Usage()
        usage.record_report("f1", report({"u1": {"m/a1": 2}}), 0.0)
        usage.record_report("r1", report({"u1": {"m/a1": 5}}, fronts=40), 0.0)
        assert (usage.fronts, usage.reporter_count) == (41, 2)
        assert usage.requests_by_upstream() == {"u1": 7}

    def test_relay_without_fronts_is_removed(self) -> None:
        usage = Usage()
        usage.record_report("r1", report({"u1": {"m/a1": 5}}, fronts=40), 0.0)
        usage.record_report("r1", report({}, fronts=0), 0.1)
        assert (
            usage.fronts,
            usage.reporter_count,
            usage.requests_by_upstream(),
        ) == (0, 0, {})

    def test_relay_report_is_as_old_as_its_oldest_front_report(self) -> None:
        usage = Usage()
        usage.record_report("r1", report({}, fronts=40, age=0.4), 10.0)
        assert not usage.has_reports_since(9.7)
        assert usage.has_reports_since(9.5)

    def test_slow_front_does_not_get_its_relay_pruned(self) -> None:
        usage = Usage()
        usage.record_report("r1", report({}, fronts=40, age=1.9), 10.0)
        usage.prune_silent(10.5)
        assert usage.fronts == 40

    def test_relay_report_sums_its_fronts(self) -> None:
        relay = Usage()
        relay.record_report("f1", report({"u1": {"m/a1": 2}}), 1.0)
        relay.record_report(
            "f2", report({"u1": {"m/a1": 1}, "u2": {"": 4}}), 1.2
        )
        summed = relay.make_report({"m/a1": 3}, {}, 1.5)
        assert summed.used == {"m/a1": 3}
        assert summed.busy == {"u1": {"m/a1": 3}, "u2": {"": 4}}
        assert summed.fronts == 2
        assert abs(summed.age - 0.5) < 1e-9

    def test_relay_report_without_fronts_is_empty(self) -> None:
        summed = Usage().make_report({}, {}, 1.5)
        assert (summed.fronts, summed.busy, summed.age) == (0, {}, 0.0)


class TestRooms:
    def test_fronts_with_room_are_counted_by_data_centre(self) -> None:
        usage, owner = Usage(), Usage()
        for name, data_centre, with_room in (
            ("f1", "a", 1),
            ("f2", "a", 0),
            ("f3", "b", 1),
        ):
            room = FrontRoom(1, with_room)
            report = UsageReport(rooms={data_centre: room})
            usage.record_report(name, report, 0.0)
        owner.record_report("relay", usage.make_report({}, {}, 0.0), 0.0)
        assert owner.find_scarce_rooms() == {"a": FrontRoom(2, 1)}
        usage.prune_silent(5.0)
        assert not usage.sum_rooms()


class TestResting:
    def test_upstream_resting_for_half_of_the_fronts_is_found(self) -> None:
        usage = Usage()
        for front in ("f1", "f2", "f3"):
            usage.record_report(front, UsageReport(), 0.0)
        usage.record_report("f1", UsageReport(resting={"e1": 1}), 0.0)
        assert not usage.is_resting_for_most("e1")
        usage.record_report("f2", UsageReport(resting={"e1": 1}), 0.0)
        assert usage.is_resting_for_most("e1")
        assert usage.make_report({}, {}, 0.0).resting == {"e1": 2}
        usage.record_report("f1", UsageReport(), 0.1)
        assert not usage.is_resting_for_most("e1")
        assert not usage.is_resting_for_most("e2")
