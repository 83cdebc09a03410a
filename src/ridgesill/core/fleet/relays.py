"""Choice of the relays that pass the fleet owner's news on to a front."""

from collections.abc import Iterable

from ridgesill.core.commands import Node
from ridgesill.core.rendezvous import rank

# Lowest number of fronts at which they ask relays. With fewer, the owner
# answers each itself: a relay makes a front's view up to 0.1 s older, and the
# load it takes off the owner grows with the number of fronts.
_MIN_FRONTS = 20


def find_relays(front: Node, nodes: Iterable[Node]) -> list[Node]:
    """Returns the nodes that may relay news to a front, best first.

    Only voters of the front's own data centre qualify: news then crosses
    between data centres once for all fronts there. The list is empty if the
    front should ask the owner itself.
    """
    all_nodes = list(nodes)
    fronts = sum(not node.voter for node in all_nodes)
    if fronts < _MIN_FRONTS:
        return []
    relays = {
        node.name: node
        for node in all_nodes
        if node.voter and node.data_centre == front.data_centre
    }
    return [relays[name] for name in rank(front.name, relays)]
