"""A node's link to the owner of the fleet: news, and wants."""

import asyncio
from collections.abc import Callable, Sequence

import attrs
from eliot import log_message

from ridgesill.core.fleet.messages import (
    ArtifactReady,
    FleetNews,
    HeardLeave,
    ReadingEnded,
    WantArtifact,
    WatchFleet,
)
from ridgesill.core.fleet.registry import FleetView
from ridgesill.core.fleet.usage import UsageReport
from ridgesill.core.fleet.use_reports import OutgoingReports
from ridgesill.ports.peers import PeerError, Peers

# How long the owner holds a question without news, in seconds.
_WAIT = 0.5
# Above that, until a question counts as lost.
_MARGIN = 0.6
# The same for a relay, which is in the same data centre: fronts that learn
# nothing from a frozen one should know it within a second.
_RELAY_MARGIN = 0.3
# How long the owner itself is asked after a relay had nothing to tell, in
# seconds, at first and at the most; twice as long after each time in a row.
_RELAY_PAUSE = 1.0
_RELAY_PAUSE_MOST = 8.0
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
# How long the owner is told that an upstream leaves, which is gone by then, how
# long it may take to answer, and the pause between two tries, in seconds.
_LEAVE_SECONDS = 30.0
_LEAVE_ANSWER_SECONDS = 0.5
_LEAVE_PAUSE = 0.1
# Answers after which another owner may know more.
_OWNER_LOST = frozenset(("not_owner", "owner_changed", "owner_lost"))


class FleetClient:
    """Keeps a view of the fleet in line with its owner's.

    Args:
        peers: sends messages to other nodes.
        owner: returns the address of the owner, as far as is known.
        own_address: this node's, which asks nobody while it owns the fleet.
        usage: returns what to tell; None for a node that speaks for no fronts.
        others: nodes to ask at the start, while no owner is known.
        relay: returns the address of a node that passes the owner's news on,
            or nothing where the owner itself is to be asked.
    """

    def __init__(
        self,
        peers: Peers,
        owner: Callable[[], str],
        own_address: str,
        usage: Callable[[], UsageReport] | None = None,
        others: Sequence[str] = (),
        relay: Callable[[], str] = lambda: "",
    ) -> None:
        self.view = FleetView()
        self._peers = peers
        self._owner = owner
        self._own_address = own_address
        self._usage = usage
        self._others = tuple(others)
        self._relay = relay
        # What was sent under rates and no node has taken yet.
        self.pending_reports = OutgoingReports()
        self._relay_from = float("-inf")
        self._relay_pause = _RELAY_PAUSE
        self._loop = asyncio.get_running_loop()
        self._in_touch = False
        # Who has this node's last report.
        self._reported_to = ""
        self._assigns_from = float("-inf")
        self._watchers: list[Callable[[], None]] = []
        self._news_watchers: list[Callable[[FleetNews], None]] = []

    def add_news_listener(self, watcher: Callable[[FleetNews], None]) -> None:
        """Has a function called with all news that have been taken."""
        self._news_watchers.append(watcher)

    def add_listener(self, watcher: Callable[[], None]) -> None:
        """Has a function called whenever news have been taken."""
        self._watchers.append(watcher)

    async def run(self) -> None:
        """Asks for news until cancelled."""
        while True:
            if await self._ask_relay():
                continue
            owner = self._owner()
            if owner and owner != self._own_address and await self._ask(owner):
                continue
            if not self.view.epoch:
                await self._ask_another(owner)
            await asyncio.sleep(_RETRY)

    async def _ask_relay(self) -> bool:
        """Asks the relay for news; returns whether it had any to tell."""
        relay = self._relay()
        if not relay or self._loop.time() < self._relay_from:
            return False
        if await self._ask(relay, _RELAY_MARGIN):
            self._relay_pause = _RELAY_PAUSE
            return True
        self._relay_from = self._loop.time() + self._relay_pause
        self._relay_pause = min(2 * self._relay_pause, _RELAY_PAUSE_MOST)
        return False

    async def _ask_another(self, owner: str) -> None:
        """Asks nodes that may remember what an earlier owner said."""
        for address in self._others:
            if address in (owner, self._own_address):
                continue
            if await self._ask(address):
                return

    async def _ask(self, address: str, margin: float = _MARGIN) -> bool:
        usage = self._usage() if self._usage else UsageReport(fronts=0)
        self.pending_reports.add(usage.sent)
        reports = self.pending_reports.make_reports(address, self._loop.time())
        question = WatchFleet(
            self.view.epoch,
            self.view.number,
            _WAIT,
            bool(usage.fronts),
            usage.used,
            usage.busy,
            usage.fronts,
            usage.age,
            usage.resting,
            reports,
            usage.limits,
            usage.is_relayed,
        )
        try:
            news: FleetNews = await self._peers.call(
                address, question, _WAIT + margin
            )
        except PeerError as error:
            self._note_touch(False, address, str(error))
            return False
        self.pending_reports.handle_answer(address, reports, news.taken)
        if not news.epoch:
            self._note_touch(False, address, "it does not own the fleet")
            return False
        self._note_touch(True, address, "")
        self._note_reported(address)
        self.view.apply_news(news, self._loop.time())
        for news_watcher in self._news_watchers:
            news_watcher(news)
        for watcher in self._watchers:
            watcher()
        return True

    def _note_reported(self, address: str) -> None:
        """Takes back the report that another node has.

        What is in progress here would be counted twice for two seconds.
        """
        before, self._reported_to = self._reported_to, address
        if self._usage and before and before != address:
            nothing = WatchFleet(self.view.epoch, self.view.number, 0.0, False)
            self._peers.send(before, nothing)

    def _note_touch(self, in_touch: bool, peer: str, detail: str) -> None:
        if in_touch == self._in_touch:
            return
        self._in_touch = in_touch
        log_message(
            "fleet:owner_regained" if in_touch else "fleet:owner_lost",
            step="WatchFleet",
            peer=peer,
            epoch=self.view.epoch,
            number=self.view.number,
            detail=detail,
        )

    async def request_artifact(self, want: WantArtifact) -> ArtifactReady:
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

    async def request_holder(self, want: WantArtifact) -> ArtifactReady | None:
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

    async def report_leave(self, leave: HeardLeave) -> None:
        """Tells the owner that an upstream leaves, until it has taken that."""
        deadline = self._loop.time() + _LEAVE_SECONDS
        while self._loop.time() < deadline:
            owner = self._owner()
            try:
                if owner:
                    await self._peers.call(owner, leave, _LEAVE_ANSWER_SECONDS)
                    return
            except PeerError as error:
                log_message(
                    "fleet:leave_not_taken",
                    upstream=leave.name,
                    peer=error.peer,
                    detail=str(error),
                )
            await asyncio.sleep(_LEAVE_PAUSE)

    def report_reading_ended(self, ended: ReadingEnded) -> None:
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
