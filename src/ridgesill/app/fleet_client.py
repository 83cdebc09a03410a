"""A node's link to the owner of the fleet: news, and wants."""

import asyncio
from collections.abc import Callable, Sequence

import attrs
from eliot import log_message

from ridgesill.core.fleet.messages import (
    ArtifactReady,
    FleetNews,
    ReadingEnded,
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
# How long a want looks for an owner, and when a refused one may come back: an
# election takes a second, and then the earlier owner's lease is waited out.
_NO_OWNER_SECONDS = 0.6
_NO_OWNER_AFTER = 1.5
# Within which the owner says where a request goes that this node could place
# by itself, in seconds: its answer takes some milliseconds, and a request of an
# engine has some hundred.
_ASSIGN_SECONDS = 0.08
# How long it isn't asked after it didn't answer so soon, in seconds; an
# election takes a second, and each question in vain costs the request time.
_ASSIGN_PAUSE = 0.5
# Above a want's patience, for the way there and back.
_WANT_MARGIN = 0.2
# Answers after which another owner may know more.
_OWNER_LOST = frozenset(("not_owner", "owner_changed", "owner_lost"))


@attrs.frozen
class UsageReport:
    """What a front tells the owner with each question."""

    used: dict[str, int] = attrs.Factory(dict)
    busy: dict[str, dict[str, int]] = attrs.Factory(dict)


class FleetClient:
    """Keeps a view of the fleet in line with its owner's.

    Args:
        peers: sends messages to other nodes.
        owner: returns the address of the owner, as far as is known.
        own_address: this node's, which asks nobody while it owns the fleet.
        usage: returns what to tell; None for a node that isn't a front.
        others: nodes to ask at the start, while no owner is known.
    """

    def __init__(
        self,
        peers: Peers,
        owner: Callable[[], str],
        own_address: str,
        usage: Callable[[], UsageReport] | None = None,
        others: Sequence[str] = (),
    ) -> None:
        self.view = FleetView()
        self._peers = peers
        self._owner = owner
        self._own_address = own_address
        self._usage = usage
        self._others = tuple(others)
        self._loop = asyncio.get_running_loop()
        self._in_touch = False
        self._assigns_from = float("-inf")
        self._watchers: list[Callable[[], None]] = []

    def watch(self, watcher: Callable[[], None]) -> None:
        """Has a function called whenever news have been taken."""
        self._watchers.append(watcher)

    async def run(self) -> None:
        """Asks for news until cancelled."""
        while True:
            owner = self._owner()
            if owner and owner != self._own_address and await self._ask(owner):
                continue
            if not self.view.epoch:
                await self._ask_another(owner)
            await asyncio.sleep(_RETRY)

    async def _ask_another(self, owner: str) -> None:
        """Asks nodes that may remember what an earlier owner said."""
        for address in self._others:
            if address in (owner, self._own_address):
                continue
            if await self._ask(address):
                return

    async def _ask(self, owner: str) -> bool:
        usage = self._usage() if self._usage else UsageReport()
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
        for watcher in self._watchers:
            watcher()
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
        """Returns the owner's answer to a want.

        While no owner answers, another is looked for, but not for long.
        """
        began = self._loop.time()
        deadline = began + want.patience
        reason = "no_owner"
        while (left := deadline - self._loop.time()) > 0:
            owner = self._owner()
            if owner:
                answer = await self._want_once(owner, want, left)
                if answer.reason not in _OWNER_LOST:
                    return answer
                reason = answer.reason
            if self._loop.time() - began > _NO_OWNER_SECONDS:
                break
            await asyncio.sleep(_RETRY)
        return ArtifactReady("", reason=reason, after=_NO_OWNER_AFTER)

    async def assign(self, want: WantArtifact) -> ArtifactReady | None:
        """Returns what the owner says of the holders; None if nothing."""
        owner = self._owner()
        if not owner or self._loop.time() < self._assigns_from:
            return None
        try:
            answer: ArtifactReady = await self._peers.call(
                owner, want, _ASSIGN_SECONDS
            )
        except PeerError as error:
            self._assigns_from = self._loop.time() + _ASSIGN_PAUSE
            # It may have counted the prompt, and answered too late.
            self._peers.send(owner, ReadingEnded(want.request, "", False))
            log_message("fleet:no_answer", step=error.step, peer=error.peer)
            return None
        return answer

    def tell_reading_ended(self, ended: ReadingEnded) -> None:
        """Tells the owner that a prompt was read, or never will be."""
        owner = self._owner()
        if owner:
            self._peers.send(owner, ended)

    async def _want_once(
        self, owner: str, want: WantArtifact, patience: float
    ) -> ArtifactReady:
        asked = attrs.evolve(want, patience=patience)
        try:
            answer: ArtifactReady = await self._peers.call(
                owner, asked, patience + _WANT_MARGIN
            )
        except PeerError as error:
            log_message("fleet:want_lost", step=error.step, peer=error.peer)
            return ArtifactReady("", reason="owner_lost")
        return answer
