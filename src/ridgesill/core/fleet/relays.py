"""Which node passes the fleet owner's news on to a front."""

from collections.abc import Iterable

from ridgesill.core.commands import Node
from ridgesill.core.rendezvous import rank

# From this many fronts on they ask relays. Fewer are answered by the owner
# itself: a relay makes what they know up to 0.1 s older, and what it saves
# grows with their number.
_FRONTS_LEAST = 20


def find_relays(front: Node, nodes: Iterable[Node]) -> list[Node]:
    """Returns the nodes that may pass news on to a front, the best first.

    Only those of its own data centre: news then cross from one to another once
    for all fronts there.
    """
    known = list(nodes)
    fronts = sum(not node.voter for node in known)
    if fronts < _FRONTS_LEAST:
        return []
    near = {
        node.name: node
        for node in known
        if node.voter and node.data_centre == front.data_centre
    }
    return [near[name] for name in rank(front.name, near)]
