"""Tests of which voter a node without a disk follows."""

from ridgesill.core.commands import Node
from ridgesill.core.voter_choice import VoterChoice

_VOTERS = ("v1", "v2", "v3", "v4")


def known(**places: str) -> dict[str, Node]:
    """Returns voters by name, with where they stand."""
    return {
        name: Node(name, "1", f"{name}:70", place, f"{name}.0")
        for name, place in places.items()
    }


class TestVoterChoice:
    def test_a_near_one_goes_first(self) -> None:
        nodes = known(v1="b", v2="b", v3="a", v4="b")
        for number in range(20):
            choice = VoterChoice(f"n{number}", "a")
            assert choice.choose(_VOTERS, nodes, 0.0) == "v3"

    def test_without_one_near_nodes_are_spread(self) -> None:
        nodes = known(v1="b", v2="b", v3="b", v4="b")
        chosen = [
            VoterChoice(f"n{number}", "a").choose(_VOTERS, nodes, 0.0)
            for number in range(200)
        ]
        assert min(chosen.count(voter) for voter in _VOTERS) >= 25

    def test_one_that_failed_is_left_for_a_while(self) -> None:
        nodes = known(v1="b", v2="b", v3="a", v4="b")
        choice = VoterChoice("n1", "a")
        choice.record_answer()
        choice.record_failure("v3", 100.0)
        assert choice.choose(_VOTERS, nodes, 101.0) != "v3"
        assert choice.choose(_VOTERS, nodes, 109.0) != "v3"
        assert choice.choose(_VOTERS, nodes, 111.0) == "v3"

    def test_when_all_failed_the_first_that_did_is_tried(self) -> None:
        choice = VoterChoice("n1", "a")
        choice.record_answer()
        for number, voter in enumerate(_VOTERS):
            choice.record_failure(voter, 100.0 + number)
        assert choice.choose(_VOTERS, {}, 104.0) == "v1"

    def test_failures_before_there_was_a_log_are_forgotten(self) -> None:
        nodes = known(v1="b", v2="b", v3="a", v4="b")
        choice = VoterChoice("n1", "a")
        choice.record_failure("v3", 100.0)
        choice.record_answer()
        assert choice.choose(_VOTERS, nodes, 100.5) == "v3"

    def test_without_voters_there_is_none(self) -> None:
        assert VoterChoice("n1", "a").choose((), {}, 0.0) == ""
