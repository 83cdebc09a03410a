"""Tests of which VM delivers orders to an engine, and from when."""

import pytest

from ridgesill.core.fleet.order_leases import (
    ORDER_POOL_PREFIX,
    STAMP_LIFETIME_SECONDS,
    EngineLocation,
    LeaseGrant,
    OrderGate,
    OrderLeases,
)
from ridgesill.core.state import Owner

LEASE = 3.0
E1 = "10.0.1.1:80"
E2 = "10.0.1.2:80"
# From the last stamp of a holder until another may order: the stamp's life, the
# lease, and an order on its way.
FREE_AFTER = STAMP_LIFETIME_SECONDS + LEASE + 0.15


def owners(**nodes: str) -> dict[str, Owner]:
    """Returns grants by the engines' names."""
    addresses = {"e1": E1, "e2": E2}
    return {
        ORDER_POOL_PREFIX + addresses[engine]: Owner(node, "", epoch)
        for epoch, (engine, node) in enumerate(nodes.items(), 10)
    }


def begun(*names: str, at: float = 100.0) -> OrderLeases:
    """Returns a leader's view in which some VMs were just heard."""
    leases = OrderLeases(LEASE)
    leases.begin(at - 1.0, at - 2.0)
    for name in names:
        leases.record_stamp(name, 7.0, "a", at)
    return leases


class TestHolder:
    def test_it_is_who_was_granted_the_lease_and_is_heard(self) -> None:
        holder = begun("a", "b").find_holder(E1, owners(e1="b"), 100.1)
        assert holder is not None
        assert (holder.name, holder.token, holder.stamp) == ("b", 10, 7.0)

    def test_nobody_while_it_is_silent(self) -> None:
        assert begun("a").find_holder(E1, owners(e1="b"), 100.1) is None
        assert begun("b").find_holder(E1, owners(e1="b"), 100.4) is None

    def test_a_grant_that_comes_late_waits_for_who_was_used(self) -> None:
        leases = begun("a", "b")
        leases.record_use(E1, "a", 100.0)
        granted = owners(e1="b")
        later = 100.0 + FREE_AFTER
        leases.record_stamp("b", 8.0, "a", later - 0.1)
        assert leases.find_holder(E1, granted, later - 0.1) is None
        assert leases.find_holder(E1, granted, later) is not None


class TestGrants:
    def test_leases_are_spread_over_those_that_do_not_lead(self) -> None:
        places = [EngineLocation(E1, "a"), EngineLocation(E2, "a")]
        grants = begun("a", "b", "lead").choose_grants(
            places, {}, "lead", 100.0
        )
        assert {grant.node for grant in grants} == {"a", "b"}

    def test_the_leader_holds_what_nobody_else_can(self) -> None:
        grants = begun("lead").choose_grants(
            [EngineLocation(E1, "a")], {}, "lead", 100.0
        )
        assert grants == [LeaseGrant(E1, "lead")]

    def test_a_holder_near_the_engine_is_preferred(self) -> None:
        leases = begun("a")
        leases.record_stamp("b", 7.0, "far", 100.0)
        grants = leases.choose_grants(
            [EngineLocation(E1, "far")], {}, "", 100.0
        )
        assert grants == [LeaseGrant(E1, "b")]

    def test_nothing_is_granted_before_holders_could_be_heard(self) -> None:
        leases = OrderLeases(LEASE)
        leases.begin(100.0, 99.0)
        leases.record_stamp("a", 7.0, "a", 100.1)
        assert not leases.choose_grants(
            [EngineLocation(E1, "a")], {}, "", 100.2
        )

    def test_a_silent_holder_s_lease_is_waited_out(self) -> None:
        leases = begun("a", "b")
        granted = owners(e1="b")
        places = [EngineLocation(E1, "a")]
        leases.record_stamp("a", 9.0, "a", 100.0 + FREE_AFTER - 0.05)
        before = 100.0 + FREE_AFTER - 0.01
        assert not leases.choose_grants(places, granted, "", before)
        after = 100.0 + FREE_AFTER
        grants = leases.choose_grants(places, granted, "", after)
        assert grants == [LeaseGrant(E1, "a")]

    def test_so_is_that_of_one_that_only_an_earlier_leader_heard(self) -> None:
        leases = begun("a")
        # Until 98.0 the leader before may have sent orders.
        assert leases.reassignable_from("b") == pytest.approx(98.0 + FREE_AFTER)

    def test_an_earlier_leader_may_use_one_that_was_heard(self) -> None:
        leases = OrderLeases(LEASE)
        # That leader stops 0.4 s after this one has begun.
        leases.begin(100.0, 100.4)
        leases.record_stamp("b", 7.0, "a", 100.1)
        assert leases.reassignable_from("b") == pytest.approx(
            100.4 + FREE_AFTER
        )


class TestUsableFrom:
    def test_at_once_where_any_holder_is_heard(self) -> None:
        leases = begun("b")
        granted = owners(e1="b", e2="gone")
        assert leases.orders_possible_from([E1, E2], granted, 100.1) < 0

    def test_else_when_the_first_lease_is_over(self) -> None:
        found = begun().orders_possible_from([E1], owners(e1="gone"), 100.1)
        assert found == pytest.approx(98.0 + FREE_AFTER)


class TestGate:
    @pytest.mark.parametrize(
        ("holder", "stamp", "may"),
        [
            ("a", 100.0, True),
            ("a", 100.0 - STAMP_LIFETIME_SECONDS - 0.01, False),
            # From before this machine was started anew.
            ("a", 5000.0, False),
            ("b", 100.0, False),
        ],
    )
    def test_only_a_fresh_word_to_this_vm(
        self, holder: str, stamp: float, may: bool
    ) -> None:
        gate = OrderGate("a", lambda: 100.0)
        assert gate.may_deliver(holder, stamp, 1) is may

    def test_an_earlier_leader_is_passed_over(self) -> None:
        gate = OrderGate("a", lambda: 100.0)
        assert gate.may_deliver("a", 100.0, 4)
        assert not gate.may_deliver("a", 100.0, 3)
