"""Choice of the relays that pass the fleet owner's news on to a front."""

from collections.abc import Iterable

from ridgesill.core.commands import Node
from ridgesill.core.rendezvous import rank
from ridgesill.core.serving.front_load import UNEVEN_FACTOR

# Lowest number of fronts at which they ask relays. With fewer, the owner
# answers each itself: a relay makes a front's view up to 0.1 s older, and the
# load it takes off the owner grows with the number of fronts.
_MIN_FRONTS = 20


def find_relays(front: Node, nodes: Iterable[Node]) -> list[Node]:
    """Returns the nodes that may relay news to a front, best first.

    Only voters of the front's own data centre qualify: news then crosses
    between data centres once for all fronts there. Larger VMs go first where
    sizes differ, since a relay works on behalf of all its fronts. The list is
    empty if the front should ask the owner itself.

    The result depends only on the nodes and their limits, not on their load,
    so that a front changes its relay only when nodes join or are lost.
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
    ranked = [relays[name] for name in rank(front.name, relays)]
    return _larger_first(ranked)


def _larger_first(nodes: list[Node]) -> list[Node]:
    """Returns nodes of about the largest size, then the others, each in order.

    A node whose size is unknown counts as large: it may have no limit.
    """
    largest = max((node.processor_share for node in nodes), default=0.0)
    return sorted(
        nodes,
        key=lambda node: (
            node.processor_share > 0
            and node.processor_share * UNEVEN_FACTOR <= largest
        ),
    )
