"""Client of the fleet's owner: follows its news and requests artifacts."""

import asyncio
from collections.abc import Callable, Sequence

import attrs
from eliot import log_message

from ridgesill.core.fleet.brittle_bounds import HeardBrittle
from ridgesill.core.fleet.messages import (
    ArtifactReady,
    FleetNews,
    HeardLeave,
    ReadingEnded,
    WantArtifact,
    WatchFleet,
)
from ridgesill.core.fleet.registry import FleetView
from ridgesill.core.fleet.slot_permits import (
    HeldSlots,
    RequestSlot,
    SlotAnswer,
)
from ridgesill.core.fleet.usage import UsageReport
from ridgesill.core.fleet.use_reports import OutgoingReports
from ridgesill.ports.peers import PeerError, Peers

# How long the owner may delay its answer to a `WatchFleet` message while it has
# no news, in seconds.
_WATCH_SECONDS = 0.5
# How long after that an unanswered `WatchFleet` message counts as lost, in
# seconds.
_ANSWER_MARGIN_SECONDS = 0.6
# The same for a relay, in seconds. It is shorter because the relay is in the
# same data centre, and a front should notice within a second that its relay has
# stopped responding.
_RELAY_ANSWER_MARGIN_SECONDS = 0.3
# How long the client asks the owner itself after a relay failed to answer with
# news, in seconds: the first pause and the longest one. The pause doubles with
# each failure in a row.
_RELAY_PAUSE_SECONDS = 1.0
_MAX_RELAY_PAUSE_SECONDS = 8.0
# Pause before a message is sent to an owner or relay again, in seconds.
_RETRY_SECONDS = 0.05
# How long a request for an artifact waits for an owner to be known, and after
# how long a caller may retry once that failed, both in seconds. An election
# takes a second, and the new owner then waits for its predecessor's lease to
# expire.
_OWNER_SEARCH_SECONDS = 0.6
_NO_OWNER_RETRY_AFTER_SECONDS = 1.5
# How long the owner may take to choose an engine for a request for which this
# node could choose one by itself, in seconds. The answer usually takes a few
# milliseconds, and a request to an engine has to start within a few hundred.
_ASSIGN_SECONDS = 0.08
# How long the owner isn't asked to choose after it failed to answer in time, in
# seconds. An election takes a second, and each unanswered message delays a
# request.
_ASSIGN_PAUSE_SECONDS = 0.5
# How long the owner may take to answer a request for a slot beyond the patience
# of the request, and how long it isn't asked after it failed to, in seconds.
_SLOT_MARGIN_SECONDS = 0.1
_SLOT_PAUSE_SECONDS = 0.3
# How long the owner may take to confirm a report of held slots, in seconds.
_SLOT_REPORT_SECONDS = 0.4
# Network round trip that is added to the patience of a `WantArtifact` message,
# in seconds.
_WANT_MARGIN_SECONDS = 0.2
# How long the client tries to report to the owner that an upstream is leaving
# (the upstream has ended by then), how long the owner may take to answer, and
# the pause between two attempts, all in seconds.
_LEAVE_SECONDS = 30.0
_LEAVE_ANSWER_SECONDS = 0.5
_LEAVE_RETRY_SECONDS = 0.1
# Reasons of refusals after which the request goes to the next owner.
_OWNER_CHANGED_REASONS = frozenset(("not_owner", "owner_changed", "owner_lost"))


class FleetClient:
    """Keeps a local view of the fleet up to date with the owner's news.

    Args:
        peers: sends messages to other nodes.
        owner: returns the address of the owner; empty if it is unknown.
        own_address: address of this node, which sends no messages to itself
            while it owns the fleet.
        usage: returns the usage report to send with each `WatchFleet` message;
            None for a node that reports on behalf of no fronts.
        others: addresses of nodes to ask at startup, while no news from an
            owner has arrived.
        relay: returns the address of a node that relays the owner's news;
            empty where the owner itself is to be asked.
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
        # Reports of rate-limited use that no node has accepted yet.
        self.pending_reports = OutgoingReports()
        self._relay_allowed_from = float("-inf")
        self._relay_pause = _RELAY_PAUSE_SECONDS
        self._loop = asyncio.get_running_loop()
        self._is_connected = False
        # Address of the node that received the last usage report.
        self._reported_to = ""
        self._assign_allowed_from = float("-inf")
        self._slots_allowed_from = float("-inf")
        self._listeners: list[Callable[[], None]] = []
        self._news_listeners: list[Callable[[FleetNews], None]] = []

    def add_news_listener(self, listener: Callable[[FleetNews], None]) -> None:
        """Registers a function to call with the news that were applied."""
        self._news_listeners.append(listener)

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Registers a function to call after news were applied."""
        self._listeners.append(listener)

    async def run(self) -> None:
        """Requests news in a loop until cancelled."""
        while True:
            if await self._request_news_from_relay():
                continue
            owner = self._owner()
            if (
                owner
                and owner != self._own_address
                and await self._request_news(owner)
            ):
                continue
            if not self.view.epoch:
                await self._request_news_from_others(owner)
            await asyncio.sleep(_RETRY_SECONDS)

    async def _request_news_from_relay(self) -> bool:
        """Requests news from the relay; returns whether it sent any."""
        relay = self._relay()
        if not relay or self._loop.time() < self._relay_allowed_from:
            return False
        if await self._request_news(relay, _RELAY_ANSWER_MARGIN_SECONDS):
            self._relay_pause = _RELAY_PAUSE_SECONDS
            return True
        self._relay_allowed_from = self._loop.time() + self._relay_pause
        self._relay_pause = min(2 * self._relay_pause, _MAX_RELAY_PAUSE_SECONDS)
        return False

    async def _request_news_from_others(self, owner: str) -> None:
        """Requests news from nodes that may still have an earlier owner's."""
        for address in self._others:
            if address in (owner, self._own_address):
                continue
            if await self._request_news(address):
                return

    async def _request_news(
        self, address: str, margin: float = _ANSWER_MARGIN_SECONDS
    ) -> bool:
        usage = self._usage() if self._usage else UsageReport(fronts=0)
        self.pending_reports.add(usage.sent)
        reports = self.pending_reports.make_reports(address, self._loop.time())
        watch = WatchFleet(
            self.view.epoch,
            self.view.number,
            _WATCH_SECONDS,
            bool(usage.fronts),
            usage.used,
            usage.busy,
            usage.fronts,
            usage.age,
            usage.resting,
            reports,
            usage.limits,
            usage.is_relayed,
            usage.rooms,
        )
        asked_at = self._loop.time()
        try:
            news: FleetNews = await self._peers.call(
                address, watch, _WATCH_SECONDS + margin
            )
        except PeerError as error:
            self._record_connection(False, address, str(error))
            return False
        self.pending_reports.handle_answer(address, reports, news.taken)
        if not news.epoch:
            self._record_connection(
                False, address, "the node does not own the fleet"
            )
            return False
        self._record_connection(True, address, "")
        self._withdraw_previous_report(address)
        self.view.apply_news(news, self._loop.time(), asked_at)
        for news_listener in self._news_listeners:
            news_listener(news)
        for listener in self._listeners:
            listener()
        return True

    def _withdraw_previous_report(self, address: str) -> None:
        """Replaces the report held by the previous receiver by an empty one.

        Otherwise the requests in progress here would be counted twice for two
        seconds.
        """
        previous, self._reported_to = self._reported_to, address
        if self._usage and previous and previous != address:
            empty_report = WatchFleet(
                self.view.epoch, self.view.number, 0.0, False
            )
            self._peers.send(previous, empty_report)

    def _record_connection(
        self, is_connected: bool, peer: str, detail: str
    ) -> None:
        if is_connected == self._is_connected:
            return
        self._is_connected = is_connected
        log_message(
            "fleet:owner_regained" if is_connected else "fleet:owner_lost",
            step="WatchFleet",
            peer=peer,
            epoch=self.view.epoch,
            number=self.view.number,
            detail=detail,
        )

    async def request_artifact(self, want: WantArtifact) -> ArtifactReady:
        """Has the owner provide an artifact on an engine; returns its answer.

        Retries for a short time while no owner is known or the owner changes.
        The wait ends with an answer without an upstream once the request's
        patience or the time for finding an owner is used up.
        """
        started_at = self._loop.time()
        deadline = started_at + want.patience
        reason = "no_owner"
        while (remaining := deadline - self._loop.time()) > 0:
            owner = self._owner()
            if owner:
                answer = await self._request_artifact_once(
                    owner, want, remaining
                )
                if answer.reason not in _OWNER_CHANGED_REASONS:
                    return answer
                reason = answer.reason
            if self._loop.time() - started_at > _OWNER_SEARCH_SECONDS:
                break
            await asyncio.sleep(_RETRY_SECONDS)
        return ArtifactReady(
            "", reason=reason, after=_NO_OWNER_RETRY_AFTER_SECONDS
        )

    async def request_holder(self, want: WantArtifact) -> ArtifactReady | None:
        """Asks the owner which engine that holds the artifact to use.

        Returns:
            The owner's answer; None if it didn't answer in time or is unknown.
        """
        owner = self._owner()
        if not owner or self._loop.time() < self._assign_allowed_from:
            return None
        try:
            answer: ArtifactReady = await self._peers.call(
                owner, want, _ASSIGN_SECONDS
            )
        except PeerError as error:
            self._assign_allowed_from = (
                self._loop.time() + _ASSIGN_PAUSE_SECONDS
            )
            # The owner may have added the prompt to an engine's backlog and
            # answered too late, so this takes the prompt out again.
            self._peers.send(owner, ReadingEnded(want.request, "", False))
            log_message("fleet:no_answer", step=error.step, peer=error.peer)
            return None
        return answer

    async def request_slot(self, request: RequestSlot) -> SlotAnswer | None:
        """Asks the owner for a slot of a brittle upstream.

        Returns:
            The owner's answer; None if it didn't answer in time or is unknown.
        """
        owner = self._owner()
        if not owner or self._loop.time() < self._slots_allowed_from:
            return None
        seconds = request.patience + _SLOT_MARGIN_SECONDS
        try:
            answer: SlotAnswer = await self._peers.call(owner, request, seconds)
        except PeerError as error:
            self._slots_allowed_from = self._loop.time() + _SLOT_PAUSE_SECONDS
            log_message(
                "fleet:no_slot_answer",
                step=error.step,
                peer=error.peer,
                detail=str(error),
            )
            return None
        return answer

    async def report_slots(self, held: HeldSlots) -> str:
        """Reports held slots to the owner.

        Returns:
            The address of the owner; empty if it hasn't confirmed the report.
        """
        owner = self._owner()
        if not owner:
            return ""
        try:
            await self._peers.call(owner, held, _SLOT_REPORT_SECONDS)
        except PeerError as error:
            log_message(
                "fleet:slots_not_reported",
                step=error.step,
                peer=error.peer,
                detail=str(error),
            )
            return ""
        return owner

    def send_slots(self, held: HeldSlots) -> None:
        """Reports held slots to the owner without waiting for an answer."""
        owner = self._owner()
        if owner:
            self._peers.send(owner, held)

    def report_brittle(self, heard: HeardBrittle) -> None:
        """Reports to the owner what an upstream states about being brittle."""
        owner = self._owner()
        if owner:
            self._peers.send(owner, heard)

    def owner_address(self) -> str:
        """Returns the address of the owner; empty if it is unknown."""
        return self._owner()

    async def report_leave(self, leave: HeardLeave) -> None:
        """Reports a leaving upstream to the owner until it acknowledges."""
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
            await asyncio.sleep(_LEAVE_RETRY_SECONDS)

    def report_reading_ended(self, ended: ReadingEnded) -> None:
        """Reports to the owner that a prompt was read or never will be."""
        owner = self._owner()
        if owner:
            self._peers.send(owner, ended)

    async def _request_artifact_once(
        self, owner: str, want: WantArtifact, patience: float
    ) -> ArtifactReady:
        request = attrs.evolve(want, patience=patience)
        try:
            answer: ArtifactReady = await self._peers.call(
                owner, request, patience + _WANT_MARGIN_SECONDS
            )
        except PeerError as error:
            log_message("fleet:want_lost", step=error.step, peer=error.peer)
            return ArtifactReady("", reason="owner_lost")
        return answer
