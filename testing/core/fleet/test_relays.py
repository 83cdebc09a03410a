"""Tests of the choice of relays for a front."""

import pytest

from ridgesill.core.commands import Node
from ridgesill.core.fleet.relays import find_relays


def front(number: int, data_centre: str = "a") -> Node:
    """Returns a front."""
    name = f"10.0.{number}.1:70"
    return Node(name, "1", name, data_centre)


def voter(number: int, data_centre: str) -> Node:
    """Returns a voter."""
    name = f"10.9.{number}.1:70"
    return Node(name, "1", name, data_centre, f"{name}.0")


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
