"""A node's link to the owner of the fleet: news, and wants."""

import asyncio
from collections.abc import Callable
from typing import Any

import attrs
from eliot import log_message

from ridgesill.core.fleet.messages import (
    ArtifactReady,
    FleetNews,
    WantArtifact,
    WatchFleet,
)
from ridgesill.core.fleet.registry import FleetView
from ridgesill.ports.peers import PeerError, Peers

# How long the owner holds a question without news, in seconds.
_WAIT = 0.5
# Above that, until a question counts as lost.
_MARGIN = 0.6
_RETRY = 0.05
# Above a want's patience, for the way there and back.
_WANT_MARGIN = 0.2


@attrs.frozen
class Usage:
    """What a front tells the owner with each question."""

    used: dict[str, int] = attrs.Factory(dict)
    busy: dict[str, int] = attrs.Factory(dict)


class FleetClient:
    """Keeps a view of the fleet in line with its owner's.

    Args:
        peers: sends messages to other nodes.
        owner: returns the address of the owner, as far as is known.
        own_address: this node's, which asks nobody while it owns the fleet.
        usage: returns what to tell; None for a node that isn't a front.
    """

    def __init__(
        self,
        peers: Peers,
        owner: Callable[[], str],
        own_address: str,
        usage: Callable[[], Usage] | None = None,
    ) -> None:
        self.view = FleetView()
        self._peers = peers
        self._owner = owner
        self._own_address = own_address
        self._usage = usage
        self._loop = asyncio.get_running_loop()
        self._in_touch = False

    async def run(self) -> None:
        """Asks for news until cancelled."""
        while True:
            owner = self._owner()
            if (
                not owner
                or owner == self._own_address
                or not await self._ask(owner)
            ):
                await asyncio.sleep(_RETRY)

    async def _ask(self, owner: str) -> bool:
        usage = self._usage() if self._usage else Usage()
        question = WatchFleet(
            self.view.epoch,
            self.view.number,
            _WAIT,
            self._usage is not None,
            usage.used,
            usage.busy,
        )
        try:
            news: FleetNews = await self._peers.call(
                owner, question, _WAIT + _MARGIN
            )
        except PeerError as error:
            self._note_touch(False, owner, str(error))
            return False
        if not news.epoch:
            self._note_touch(False, owner, "it does not own the fleet")
            return False
        self._note_touch(True, owner, "")
        self.view.take(news, self._loop.time())
        return True

    def _note_touch(self, in_touch: bool, owner: str, detail: str) -> None:
        if in_touch == self._in_touch:
            return
        self._in_touch = in_touch
        log_message(
            "fleet:owner_regained" if in_touch else "fleet:owner_lost",
            step="WatchFleet",
            peer=owner,
            epoch=self.view.epoch,
            number=self.view.number,
            detail=detail,
        )

    async def want(self, want: WantArtifact) -> ArtifactReady:
        """Returns the owner's answer to a want; never raises for its loss."""
        owner = self._owner()
        if not owner:
            return ArtifactReady("", reason="no owner is known", after=1.0)
        try:
            answer: Any = await self._peers.call(
                owner, want, want.patience + _WANT_MARGIN
            )
        except PeerError as error:
            return ArtifactReady("", reason=str(error), after=1.0)
        return answer  # type: ignore[no-any-return]
