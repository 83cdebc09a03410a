"""Chooses the voter that a node follows.

Near voters are preferred to save traffic: with 195 nodes in five data centres
that each ask a random voter three times a second, four fifths of the requests
cross data centres, 0.2 MB a second.
"""

from collections.abc import Iterable, Mapping

from ridgesill.core.commands import Node
from ridgesill.core.freshness import NEVER
from ridgesill.core.rendezvous import rank

# Seconds for which a voter that failed is not asked again: it may still be
# partitioned, and each failed attempt makes the node's state one second staler.
# Afterwards the nearest voter is tried again.
_RETRY_AFTER_SECONDS = 10.0
# The same for a node that votes itself, and only for voters that didn't answer
# at all: an outdated voter still relays the node's beats.
_SILENT_RETRY_SECONDS = 2.0


class VoterChoice:
    """Chooses among voters: near ones first, recently failed ones last.

    Args:
        node: the name of the following node.
        data_centre: the data centre it runs in.
    """

    def __init__(self, node: str, data_centre: str) -> None:
        self._node = node
        self._data_centre = data_centre
        self._failed_at: dict[str, float] = {}
        self._silent_at: dict[str, float] = {}
        self._has_followed = False

    def record_answer(self) -> None:
        """Records an answer from the chosen voter."""
        if not self._has_followed:
            # Voters that failed before the first answer may only not have
            # had a log yet.
            self._has_followed = True
            self._failed_at.clear()

    def record_failure(self, voter: str, now: float) -> None:
        """Records that a voter gave no answer or an outdated one."""
        self._failed_at[voter] = now

    def record_reply(self, voter: str) -> None:
        """Records that a voter answered, with an up-to-date state or not."""
        self._silent_at.pop(voter, None)

    def record_silence(self, voter: str, now: float) -> None:
        """Records that a voter didn't answer at all."""
        self._silent_at[voter] = now

    def may_answer(self, voter: str, heard_at: float, now: float) -> bool:
        """Whether a voter wasn't silent lately, or was heard since.

        Args:
            voter: the name of the voter.
            heard_at: when it last sent anything else, in seconds.
            now: the current time, in seconds.
        """
        silent_at = self._silent_at.get(voter, NEVER)
        return now - silent_at > _SILENT_RETRY_SECONDS or heard_at > silent_at

    def choose(
        self, voters: Iterable[str], nodes: Mapping[str, Node], now: float
    ) -> str:
        """Returns the voter to follow; empty if there is none.

        Args:
            voters: the names of the voters that may be followed.
            nodes: the known nodes, by name.
            now: the current time, in seconds.
        """
        ranked = self._nearest_first(rank(self._node, voters), nodes)
        for name in ranked:
            if self._failed_at.get(name, NEVER) <= now - _RETRY_AFTER_SECONDS:
                return name
        return min(ranked, key=self._failed_at.__getitem__, default="")

    def _nearest_first(
        self, ranked: list[str], nodes: Mapping[str, Node]
    ) -> list[str]:
        near = [
            name
            for name in ranked
            if name in nodes and nodes[name].data_centre == self._data_centre
        ]
        return near + [name for name in ranked if name not in near]
