"""Chooses the front that serves requests whose upstreams can't be reached here.

Requests go to a front of the same data centre if one can help, else to one of
the same region: farther away, a request's data may not be allowed.
"""

import random
from collections.abc import Collection, Iterable, Mapping

import attrs

from ridgesill.core.commands import Node

# How long a front that has refused to help, or could not be reached, is not
# asked again, in seconds.
REST_SECONDS = 0.8
# After this many refusals, a request goes on to the region: the whole data
# centre may be cut off.
_MAX_REFUSALS_BY_GROUP = 2
# After this many refusals in a row, from any requests, all go there for as long
# as a front rests.
_MAX_REFUSALS_IN_A_ROW = 4


@attrs.define
class _Group:
    """Fronts that are equally near.

    Attributes:
        fronts: the fronts.
        refusals_in_a_row: refusals since a front last helped.
        is_helpful: whether the last front that was asked helped.
        rests_until: time until which the group isn't asked if another one is
            left, in seconds.
    """

    fronts: list[Node] = attrs.Factory(list)
    refusals_in_a_row: int = 0
    is_helpful: bool = False
    rests_until: float = 0.0

    def record_refusal(self, now: float) -> None:
        """Records that a front of the group can't help."""
        self.refusals_in_a_row += 1
        self.is_helpful = False
        if self.refusals_in_a_row >= _MAX_REFUSALS_IN_A_ROW:
            self.rests_until = now + REST_SECONDS


class PeerFronts:
    """Chooses among the other fronts of the region.

    Args:
        own_name: name of this front's node.
        data_centre: data centre of this front.
        regions: region of each data centre; a data centre that isn't listed is
            a region of its own.
        rng: source of random numbers.
    """

    def __init__(
        self,
        own_name: str,
        data_centre: str,
        regions: Mapping[str, str],
        rng: random.Random,
    ) -> None:
        self._own_name = own_name
        self._data_centre = data_centre
        self._regions = regions
        self._rng = rng
        # Fronts of the data centre, and others of the region.
        self._local = _Group()
        self._region = _Group()
        self._rests_until: dict[str, float] = {}
        self._in_progress: dict[str, int] = {}

    def set_nodes(self, nodes: Iterable[Node]) -> None:
        """Sets the nodes of the deployment."""
        fronts = [
            node
            for node in nodes
            if not node.voter and node.name != self._own_name
        ]
        own = self._data_centre
        self._local.fronts = [n for n in fronts if n.data_centre == own]
        self._region.fronts = [
            n for n in fronts if self._is_near(n.data_centre)
        ]
        names = {node.name for node in fronts}
        self._rests_until = {
            name: until
            for name, until in self._rests_until.items()
            if name in names
        }

    def _is_near(self, data_centre: str) -> bool:
        own = self._data_centre
        region = self._regions.get(own)
        return (
            data_centre != own
            and region is not None
            and self._regions.get(data_centre) == region
        )

    def choose(self, avoid: Collection[str], now: float) -> Node | None:
        """Returns the front to ask, or None if nobody can help.

        Of two random fronts it is the one with fewer requests from here, so
        that several fronts that are cut off don't choose the same one.

        Args:
            avoid: names of fronts that were asked before.
            now: the current time, in seconds.
        """
        if not self._is_skipped(avoid, now):
            chosen = self._draw(self._local, avoid, now)
            if chosen is not None:
                return chosen
        return self._draw(self._region, avoid, now)

    def has_local_help(self) -> bool:
        """Whether the last front of the data centre that was asked helped.

        Clients that connect anew mostly reach such a front.
        """
        return self._local.is_helpful

    def _is_skipped(self, avoid: Collection[str], now: float) -> bool:
        """Whether a request goes past the fronts of the data centre."""
        if not self._region.fronts:
            return False
        refused = sum(node.name in avoid for node in self._local.fronts)
        return (
            refused >= _MAX_REFUSALS_BY_GROUP or now < self._local.rests_until
        )

    def _draw(
        self, group: _Group, avoid: Collection[str], now: float
    ) -> Node | None:
        fronts = [
            node
            for node in group.fronts
            if node.name not in avoid
            and now >= self._rests_until.get(node.name, 0.0)
        ]
        if not fronts:
            return None
        drawn = self._rng.sample(fronts, min(2, len(fronts)))
        return min(drawn, key=self._count_in_progress)

    def _count_in_progress(self, node: Node) -> int:
        return self._in_progress.get(node.name, 0)

    def record_help(self, front: Node) -> None:
        """Records that a front serves a request."""
        group = self._find_group(front)
        group.refusals_in_a_row = 0
        group.is_helpful = True

    def _find_group(self, front: Node) -> _Group:
        is_local = front.data_centre == self._data_centre
        return self._local if is_local else self._region

    def record_start(self, name: str) -> None:
        """Counts a request as in progress at a front."""
        self._in_progress[name] = self._in_progress.get(name, 0) + 1

    def record_end(self, name: str) -> None:
        """Counts a request at a front as ended."""
        left = self._in_progress.pop(name, 1) - 1
        if left:
            self._in_progress[name] = left

    def record_refusal(self, front: Node, now: float) -> None:
        """Records that a front can't help now."""
        self._rests_until[front.name] = now + REST_SECONDS
        self._find_group(front).record_refusal(now)
