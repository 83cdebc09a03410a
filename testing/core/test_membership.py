"""Tests of the leader's view of nodes and pools."""

import attrs

from ridgesill.core.commands import GrantPool, JoinNode, Node, RemoveNode
from ridgesill.core.following import Beat, HeardBeat
from ridgesill.core.membership import BeatRelay, Membership, pool_parts
from ridgesill.core.state import Owner, State

_PATIENCE = 4.0
_POOL = "east/assist"


def beat(name: str, place: str = "east", **fields: object) -> Beat:
    """Returns a beat of a node."""
    node = Node(name, f"{name}-1", f"{name}:1", place)
    return attrs.evolve(Beat(node, 1, 1), **fields)


def listening(*beats: Beat, now: float = 10.0) -> Membership:
    """Returns a view that has listened long enough."""
    membership = Membership(_PATIENCE, now - _PATIENCE - 1)
    for item in beats:
        membership.record_beat(item, now)
    return membership


def knowing(*beats: Beat) -> State:
    """Returns a state that knows some nodes."""
    state = State()
    state.nodes = {item.node.name: item.node for item in beats}
    return state


class TestDecide:
    def test_a_new_node_joins(self) -> None:
        membership = listening(beat("a"))
        decided = membership.decide_commands(State(), 10.0)
        assert decided == [JoinNode(beat("a").node)]

    def test_a_silent_node_is_removed(self) -> None:
        membership = listening(beat("a"))
        state = knowing(beat("a"), beat("b"))
        assert membership.decide_commands(state, 10.0) == [
            RemoveNode("b", "b-1")
        ]

    def test_a_new_leader_listens_before_it_removes(self) -> None:
        membership = Membership(_PATIENCE, 10.0)
        membership.record_beat(beat("a"), 10.0)
        state = knowing(beat("a"), beat("b"))
        assert membership.decide_commands(state, 10.5) == []

    def test_a_pool_gets_an_owner_in_its_data_centre(self) -> None:
        beats = [beat("a", "west"), beat("b", pools=(_POOL,))]
        membership = listening(*beats)
        decided = membership.decide_commands(knowing(*beats), 10.0)
        assert decided == [GrantPool(_POOL, "b", "b-1")]

    def test_a_live_owner_keeps_its_pool(self) -> None:
        beats = [beat("a", pools=(_POOL,)), beat("b", pools=(_POOL,))]
        state = knowing(*beats)
        state.owners[_POOL] = Owner("a", "a-1", 1)
        assert listening(*beats).decide_commands(state, 10.0) == []

    def test_a_restarted_owner_has_lost_its_pool(self) -> None:
        beats = [beat("a", pools=(_POOL,))]
        state = knowing(*beats)
        state.owners[_POOL] = Owner("a", "a-0", 1)
        decided = listening(*beats).decide_commands(state, 10.0)
        assert decided == [GrantPool(_POOL, "a", "a-1")]

    def test_a_draining_node_gets_no_pool(self) -> None:
        beats = [beat("a", pools=(_POOL,), draining=True), beat("b", "west")]
        decided = listening(*beats).decide_commands(knowing(*beats), 10.0)
        assert decided == [GrantPool(_POOL, "b", "b-1")]


class TestRelay:
    def test_a_beat_is_passed_on_once(self) -> None:
        relay = BeatRelay()
        heard = (HeardBeat(beat("a"), 0.5),)
        new, alive = relay.split_new(heard, "leader")
        assert (new, alive) == (heard, {})
        relay.record_received(new, ())
        assert relay.split_new(heard, "leader") == ((), {"a": 0.5})

    def test_a_changed_beat_is_passed_on_again(self) -> None:
        relay = BeatRelay()
        relay.record_received((HeardBeat(beat("a"), 0.5),), ())
        relay.split_new((), "leader")
        changed = (HeardBeat(beat("a", applied=2), 0.1),)
        assert relay.split_new(changed, "leader")[0] == changed

    def test_another_receiver_gets_all(self) -> None:
        relay = BeatRelay()
        heard = (HeardBeat(beat("a"), 0.5),)
        relay.split_new(heard, "one")
        relay.record_received(heard, ())
        assert relay.split_new(heard, "two")[0] == heard

    def test_what_the_receiver_lacks_is_passed_on_again(self) -> None:
        relay = BeatRelay()
        heard = (HeardBeat(beat("a"), 0.5),)
        relay.split_new(heard, "leader")
        relay.record_received(heard, ())
        unknown = Membership(_PATIENCE, 0.0).record_alive({"a": 0.5}, 10.0)
        relay.record_received((), unknown)
        assert relay.split_new(heard, "leader")[0] == heard

    def test_it_keeps_a_node_alive(self) -> None:
        membership = listening(beat("a"))
        for second in range(1, 20):
            assert membership.record_alive({"a": 0.5}, 10.0 + second) == ()
        assert [b.node.name for b in membership.live_beats(29.0)] == ["a"]


class TestPoolParts:
    def test_it_takes_a_pools_name_apart(self) -> None:
        assert pool_parts(_POOL) == ("east", "assist")
