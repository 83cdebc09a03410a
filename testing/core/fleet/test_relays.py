"""Tests of the choice of relays for a front."""

import pytest

from ridgesill.core.commands import Node
from ridgesill.core.fleet.relays import find_relays


def front(number: int, data_centre: str = "a") -> Node:
    """Returns a front."""
    name = f"10.0.{number}.1:70"
    return Node(name, "1", name, data_centre)


def voter(number: int, data_centre: str, share: float = 0.0) -> Node:
    """Returns a voter."""
    name = f"10.9.{number}.1:70"
    return Node(name, "1", name, data_centre, f"{name}.0", share)


class TestFindRelays:
    def test_only_voters_of_the_front_s_data_centre_qualify(self) -> None:
        voters = [voter(1, "a"), voter(2, "b"), voter(3, "a")]
        nodes = [front(n) for n in range(75)] + voters
        found = find_relays(front(1), nodes)
        assert {node.name for node in found} == {"10.9.1.1:70", "10.9.3.1:70"}

    def test_fronts_are_spread_over_relays(self) -> None:
        voters = [voter(n, "a") for n in range(3)]
        fronts = [front(n) for n in range(195)]
        first = [find_relays(f, fronts + voters)[0].name for f in fronts]
        assert all(first.count(v.name) >= 195 / 6 for v in voters)

    @pytest.mark.parametrize("data_centre", ["b", "c"])
    def test_no_relay_without_a_voter_in_the_data_centre(
        self, data_centre: str
    ) -> None:
        nodes = [front(n, data_centre) for n in range(75)] + [voter(1, "a")]
        assert find_relays(nodes[0], nodes) == []

    def test_few_fronts_ask_the_owner(self) -> None:
        nodes = [front(n) for n in range(7)] + [voter(1, "a")]
        assert find_relays(nodes[0], nodes) == []


class TestSizes:
    FRONTS = [front(n) for n in range(66)]

    def find_first(self, voters: list[Node]) -> list[str]:
        """Returns the name of each front's first relay."""
        nodes = self.FRONTS + voters
        return [find_relays(each, nodes)[0].name for each in self.FRONTS]

    def test_larger_nodes_relay_and_share_the_fronts(self) -> None:
        # A node with 0.4 cores that relays news has little left for the rest.
        small = [voter(n, "a", 0.387) for n in range(3)]
        large = [voter(n, "a", 1.29) for n in (7, 8)]
        first = self.find_first(small + large)
        assert set(first) == {node.name for node in large}
        assert all(first.count(node.name) >= 66 / 4 for node in large)

    @pytest.mark.parametrize("share", [0.0, 1.1])
    def test_a_node_of_about_the_same_or_unknown_size_also_relays(
        self, share: float
    ) -> None:
        voters = [voter(1, "a", 1.29), voter(2, "a", share)]
        assert set(self.find_first(voters)) == {node.name for node in voters}

    def test_only_the_fronts_of_a_lost_relay_change(self) -> None:
        # Guards against flapping: each change of relay costs a front a question
        # to a node that doesn't know it.
        voters = [voter(n, "a", 1.29) for n in range(3)]
        voters.append(voter(9, "a", 0.387))
        before = self.find_first(voters)
        after = self.find_first(voters[1:])
        for old, new in zip(before, after, strict=True):
            assert new == old or old == voters[0].name

    def test_smaller_nodes_relay_once_all_larger_ones_are_lost(self) -> None:
        small = voter(9, "a", 0.387)
        voters = [voter(1, "a", 1.29), small]
        assert set(self.find_first(voters)) == {voters[0].name}
        assert set(self.find_first([small])) == {small.name}
