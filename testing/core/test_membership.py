"""Tests of the leader's view of live nodes and pool owners."""

import attrs

from ridgesill.core.commands import GrantPool, JoinNode, Node, RemoveNode
from ridgesill.core.following import Beat, HeardBeat
from ridgesill.core.membership import BeatRelay, Membership, pool_parts
from ridgesill.core.state import Owner, State

_SILENCE_SECONDS = 4.0
_POOL = "east/assist"


def beat(name: str, place: str = "east", **fields: object) -> Beat:
    """Returns the beat of a node in a data centre."""
    node = Node(name, f"{name}-1", f"{name}:1", place)
    return attrs.evolve(Beat(node, 1, 1), **fields)


def make_membership(*beats: Beat, now: float = 10.0) -> Membership:
    """Returns a view whose wait before removals is over."""
    membership = Membership(_SILENCE_SECONDS, now - _SILENCE_SECONDS - 1)
    for item in beats:
        membership.record_beat(item, now)
    return membership


def make_state(*beats: Beat) -> State:
    """Returns a state in which the senders of these beats have joined."""
    state = State()
    state.nodes = {item.node.name: item.node for item in beats}
    return state


class TestDecideCommands:
    def test_a_new_node_joins(self) -> None:
        membership = make_membership(beat("a"))
        decided = membership.decide_commands(State(), 10.0)
        assert decided == [JoinNode(beat("a").node)]

    def test_a_silent_node_is_removed(self) -> None:
        membership = make_membership(beat("a"))
        state = make_state(beat("a"), beat("b"))
        assert membership.decide_commands(state, 10.0) == [
            RemoveNode("b", "b-1")
        ]

    def test_a_new_leader_does_not_remove_silent_nodes_at_first(self) -> None:
        membership = Membership(_SILENCE_SECONDS, 10.0)
        membership.record_beat(beat("a"), 10.0)
        state = make_state(beat("a"), beat("b"))
        assert membership.decide_commands(state, 10.5) == []

    def test_a_pool_gets_an_owner_in_its_data_centre(self) -> None:
        beats = [beat("a", "west"), beat("b", pools=(_POOL,))]
        membership = make_membership(*beats)
        decided = membership.decide_commands(make_state(*beats), 10.0)
        assert decided == [GrantPool(_POOL, "b", "b-1")]

    def test_a_live_owner_keeps_its_pool(self) -> None:
        beats = [beat("a", pools=(_POOL,)), beat("b", pools=(_POOL,))]
        state = make_state(*beats)
        state.owners[_POOL] = Owner("a", "a-1", 1)
        assert make_membership(*beats).decide_commands(state, 10.0) == []

    def test_a_restarted_owner_gets_a_new_grant(self) -> None:
        beats = [beat("a", pools=(_POOL,))]
        state = make_state(*beats)
        state.owners[_POOL] = Owner("a", "a-0", 1)
        decided = make_membership(*beats).decide_commands(state, 10.0)
        assert decided == [GrantPool(_POOL, "a", "a-1")]

    def test_a_draining_node_gets_no_pool(self) -> None:
        beats = [beat("a", pools=(_POOL,), draining=True), beat("b", "west")]
        decided = make_membership(*beats).decide_commands(
            make_state(*beats), 10.0
        )
        assert decided == [GrantPool(_POOL, "b", "b-1")]


class TestBeatRelay:
    def test_a_beat_is_relayed_once(self) -> None:
        relay = BeatRelay()
        heard = (HeardBeat(beat("a"), 0.5),)
        new, alive = relay.split_new(heard, "leader")
        assert (new, alive) == (heard, {})
        relay.record_received(new, ())
        assert relay.split_new(heard, "leader") == ((), {"a": 0.5})

    def test_a_changed_beat_is_relayed_again(self) -> None:
        relay = BeatRelay()
        relay.record_received((HeardBeat(beat("a"), 0.5),), ())
        relay.split_new((), "leader")
        changed = (HeardBeat(beat("a", applied=2), 0.1),)
        assert relay.split_new(changed, "leader")[0] == changed

    def test_another_receiver_gets_every_beat(self) -> None:
        relay = BeatRelay()
        heard = (HeardBeat(beat("a"), 0.5),)
        relay.split_new(heard, "one")
        relay.record_received(heard, ())
        assert relay.split_new(heard, "two")[0] == heard

    def test_a_beat_unknown_to_the_receiver_is_relayed_again(self) -> None:
        relay = BeatRelay()
        heard = (HeardBeat(beat("a"), 0.5),)
        relay.split_new(heard, "leader")
        relay.record_received(heard, ())
        unknown = Membership(_SILENCE_SECONDS, 0.0).record_alive(
            {"a": 0.5}, 10.0
        )
        relay.record_received((), unknown)
        assert relay.split_new(heard, "leader")[0] == heard

    def test_relayed_ages_keep_a_node_alive(self) -> None:
        membership = make_membership(beat("a"))
        for second in range(1, 20):
            assert membership.record_alive({"a": 0.5}, 10.0 + second) == ()
        assert [b.node.name for b in membership.live_beats(29.0)] == ["a"]


class TestPoolParts:
    def test_a_pool_name_is_split(self) -> None:
        assert pool_parts(_POOL) == ("east", "assist")
