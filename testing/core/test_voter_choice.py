"""Tests of the choice of a voter by a node without a disk."""

from ridgesill.core.commands import Node
from ridgesill.core.voter_choice import VoterChoice

_VOTERS = ("v1", "v2", "v3", "v4")


def make_nodes(**places: str) -> dict[str, Node]:
    """Returns voters by name, each in a data centre."""
    return {
        name: Node(name, "1", f"{name}:70", place, f"{name}.0")
        for name, place in places.items()
    }


class TestVoterChoice:
    def test_a_voter_in_the_same_data_centre_is_chosen(self) -> None:
        nodes = make_nodes(v1="b", v2="b", v3="a", v4="b")
        for number in range(20):
            choice = VoterChoice(f"n{number}", "a")
            assert choice.choose(_VOTERS, nodes, 0.0) == "v3"

    def test_without_a_near_voter_nodes_are_spread(self) -> None:
        nodes = make_nodes(v1="b", v2="b", v3="b", v4="b")
        chosen = [
            VoterChoice(f"n{number}", "a").choose(_VOTERS, nodes, 0.0)
            for number in range(200)
        ]
        assert min(chosen.count(voter) for voter in _VOTERS) >= 25

    def test_a_failed_voter_is_avoided_for_ten_seconds(self) -> None:
        nodes = make_nodes(v1="b", v2="b", v3="a", v4="b")
        choice = VoterChoice("n1", "a")
        choice.record_answer()
        choice.record_failure("v3", 100.0)
        assert choice.choose(_VOTERS, nodes, 101.0) != "v3"
        assert choice.choose(_VOTERS, nodes, 109.0) != "v3"
        assert choice.choose(_VOTERS, nodes, 111.0) == "v3"

    def test_if_all_failed_the_one_that_failed_first_is_tried(self) -> None:
        choice = VoterChoice("n1", "a")
        choice.record_answer()
        for number, voter in enumerate(_VOTERS):
            choice.record_failure(voter, 100.0 + number)
        assert choice.choose(_VOTERS, {}, 104.0) == "v1"

    def test_the_first_answer_clears_earlier_failures(self) -> None:
        nodes = make_nodes(v1="b", v2="b", v3="a", v4="b")
        choice = VoterChoice("n1", "a")
        choice.record_failure("v3", 100.0)
        choice.record_answer()
        assert choice.choose(_VOTERS, nodes, 100.5) == "v3"

    def test_without_voters_none_is_chosen(self) -> None:
        assert VoterChoice("n1", "a").choose((), {}, 0.0) == ""
