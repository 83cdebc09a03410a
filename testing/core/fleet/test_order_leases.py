"""Tests of which VM delivers orders to an engine, and when that may change."""

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

LEASE_SECONDS = 3.0
E1 = "10.0.1.1:80"
E2 = "10.0.1.2:80"
# Time from the last stamp of a holder until another VM may order: the lifetime
# of the stamp, the lease, and the transit of an order.
REASSIGN_AFTER_SECONDS = STAMP_LIFETIME_SECONDS + LEASE_SECONDS + 0.15


def make_owners(**nodes: str) -> dict[str, Owner]:
    """Returns the holders of order leases by pool name.

    Args:
        nodes: the name of the node by the name of the engine, `e1` or `e2`.
    """
    addresses = {"e1": E1, "e2": E2}
    return {
        ORDER_POOL_PREFIX + addresses[engine]: Owner(node, "", epoch)
        for epoch, (engine, node) in enumerate(nodes.items(), 10)
    }


def start_leadership(*names: str, at: float = 100.0) -> OrderLeases:
    """Returns the view of a leader that has just received stamps.

    Args:
        names: the VMs from which it received them.
        at: when they arrived, in seconds.
    """
    leases = OrderLeases(LEASE_SECONDS)
    leases.begin(at - 1.0, at - 2.0)
    for name in names:
        leases.record_stamp(name, 7.0, "a", at)
    return leases


class TestFindHolder:
    def test_the_reachable_node_with_the_lease_is_the_holder(self) -> None:
        holder = start_leadership("a", "b").find_holder(
            E1, make_owners(e1="b"), 100.1
        )
        assert holder is not None
        assert (holder.name, holder.token, holder.stamp) == ("b", 10, 7.0)

    def test_there_is_no_holder_while_it_is_silent(self) -> None:
        assert (
            start_leadership("a").find_holder(E1, make_owners(e1="b"), 100.1)
            is None
        )
        assert (
            start_leadership("b").find_holder(E1, make_owners(e1="b"), 100.4)
            is None
        )

    def test_a_late_grant_waits_for_the_previous_holder(self) -> None:
        leases = start_leadership("a", "b")
        leases.record_use(E1, "a", 100.0)
        granted = make_owners(e1="b")
        later = 100.0 + REASSIGN_AFTER_SECONDS
        leases.record_stamp("b", 8.0, "a", later - 0.1)
        assert leases.find_holder(E1, granted, later - 0.1) is None
        assert leases.find_holder(E1, granted, later) is not None


class TestGrants:
    def test_leases_are_spread_over_nodes_that_do_not_lead(self) -> None:
        locations = [EngineLocation(E1, "a"), EngineLocation(E2, "a")]
        grants = start_leadership("a", "b", "lead").choose_grants(
            locations, {}, "lead", 100.0
        )
        assert {grant.node for grant in grants} == {"a", "b"}

    def test_the_leader_gets_leases_if_no_other_node_can(self) -> None:
        grants = start_leadership("lead").choose_grants(
            [EngineLocation(E1, "a")], {}, "lead", 100.0
        )
        assert grants == [LeaseGrant(E1, "lead")]

    def test_a_holder_near_the_engine_is_preferred(self) -> None:
        leases = start_leadership("a")
        leases.record_stamp("b", 7.0, "far", 100.0)
        grants = leases.choose_grants(
            [EngineLocation(E1, "far")], {}, "", 100.0
        )
        assert grants == [LeaseGrant(E1, "b")]

    def test_nothing_is_granted_before_stamps_were_collected(self) -> None:
        leases = OrderLeases(LEASE_SECONDS)
        leases.begin(100.0, 99.0)
        leases.record_stamp("a", 7.0, "a", 100.1)
        assert not leases.choose_grants(
            [EngineLocation(E1, "a")], {}, "", 100.2
        )

    def test_the_lease_of_a_silent_holder_must_expire(self) -> None:
        leases = start_leadership("a", "b")
        granted = make_owners(e1="b")
        locations = [EngineLocation(E1, "a")]
        leases.record_stamp(
            "a", 9.0, "a", 100.0 + REASSIGN_AFTER_SECONDS - 0.05
        )
        before = 100.0 + REASSIGN_AFTER_SECONDS - 0.01
        assert not leases.choose_grants(locations, granted, "", before)
        after = 100.0 + REASSIGN_AFTER_SECONDS
        grants = leases.choose_grants(locations, granted, "", after)
        assert grants == [LeaseGrant(E1, "a")]

    def test_so_must_that_of_a_holder_only_an_earlier_leader_knew(self) -> None:
        leases = start_leadership("a")
        # The earlier leader may have sent orders until 98.0.
        assert leases.reassignable_from("b") == pytest.approx(
            98.0 + REASSIGN_AFTER_SECONDS
        )

    def test_an_earlier_leader_may_still_use_a_reachable_holder(self) -> None:
        leases = OrderLeases(LEASE_SECONDS)
        # The earlier leader stops 0.4 s after this one has begun.
        leases.begin(100.0, 100.4)
        leases.record_stamp("b", 7.0, "a", 100.1)
        assert leases.reassignable_from("b") == pytest.approx(
            100.4 + REASSIGN_AFTER_SECONDS
        )


class TestOrdersPossibleFrom:
    def test_at_once_if_any_holder_is_reachable(self) -> None:
        leases = start_leadership("b")
        granted = make_owners(e1="b", e2="gone")
        assert leases.orders_possible_from([E1, E2], granted, 100.1) < 0

    def test_otherwise_when_the_first_lease_expires(self) -> None:
        found = start_leadership().orders_possible_from(
            [E1], make_owners(e1="gone"), 100.1
        )
        assert found == pytest.approx(98.0 + REASSIGN_AFTER_SECONDS)


class TestOrderGate:
    @pytest.mark.parametrize(
        ("holder", "stamp", "may"),
        [
            ("a", 100.0, True),
            ("a", 100.0 - STAMP_LIFETIME_SECONDS - 0.01, False),
            # The stamp was made before the VM's machine was restarted.
            ("a", 5000.0, False),
            ("b", 100.0, False),
        ],
    )
    def test_only_fresh_orders_for_this_holder_are_delivered(
        self, holder: str, stamp: float, may: bool
    ) -> None:
        gate = OrderGate("a", lambda: 100.0)
        assert gate.may_deliver(holder, stamp, 1) is may

    def test_orders_of_an_earlier_leader_are_rejected(self) -> None:
        gate = OrderGate("a", lambda: 100.0)
        assert gate.may_deliver("a", 100.0, 4)
        assert not gate.may_deliver("a", 100.0, 3)
