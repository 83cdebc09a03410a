"""A node's part in the control plane: following, leading, proposing."""

import asyncio
from collections.abc import Callable
from typing import Any

import attrs
from eliot import log_message

from ridgesill.app.change_signal import ChangeSignal
from ridgesill.app.log_driver import (
    LogDriver,
    LostLeadershipError,
    NotLeaderError,
    ReplicaMessage,
)
from ridgesill.core import codec
from ridgesill.core.commands import Node
from ridgesill.core.following import (
    AskLatest,
    Beat,
    Follow,
    FollowReply,
    HeardBeat,
    Latest,
    Propose,
    ProposeReply,
)
from ridgesill.core.freshness import NEVER, Freshness
from ridgesill.core.membership import BeatRelay, Membership
from ridgesill.core.rendezvous import rank
from ridgesill.core.state import State, is_needed_without_disk
from ridgesill.core.voter_changes import decide_change, node_name_of
from ridgesill.core.voter_choice import VoterChoice
from ridgesill.ports.peers import PeerError, Peers

_APPLY_WAIT = 0.5
# Above what an answer takes. Two questions lost in a row must not cost the
# lease: with a fixed 2 s they did (control schedule 92, issue 4).
_FOLLOW_MARGIN = 0.5
_PROPOSE_TIMEOUT = 2.0
_RETRY = 0.1
_LEAD_TICK = 0.25
# A pause of this loop from which this VM was suspended, or as good as that.
_SUSPENDED_SECONDS = 1.0
_ENTRIES_MOST = 256
# Least time from a follower's question to its answer, in seconds: what is
# committed meanwhile is told at once. While 200 nodes joined, each of them was
# answered for each other one, 40,000 times.
_FOLLOW_SPACING = 0.1
# How often a voter tells the leader which nodes it hears, in seconds for each
# node, and at the most as a share of the patience after which they count as
# gone: 195 names, three times a second, were 50 KB a second to other data
# centres.
_BEATS_SECONDS_A_NODE = 0.005
_BEATS_SHARE = 0.25
# How long a leader tries to confirm that it still leads, and how often it
# looks, in seconds; a heartbeat round takes 0.3 s.
_LATEST_WAIT = 0.8
_LATEST_POLL = 0.02


class UnavailableError(Exception):
    """No leader could be reached; says what was being done."""


@attrs.frozen
class ControlSettings:
    """What the control plane needs from a node's settings.

    Attributes:
        seeds: addresses of the voters by node name.
        lease: seconds that knowledge of the log is relied on.
        patience: seconds of silence after which a node counts as gone.
        follow_wait: seconds after which a voter answers with nothing new.
        voters_most: how many voters there should be; 0 for no limit.
        names_are_addresses: whether nodes are named by their addresses.
    """

    seeds: dict[str, str]
    lease: float = 4.0
    silence_timeout: float = 4.0
    follow_wait: float = 0.5
    max_voters: int = 0
    names_are_addresses: bool = False


class Control:
    """Keeps this node's state in line with the log.

    Args:
        node: this node.
        settings: seeds and leases.
        peers: sends messages to other nodes.
        pools: returns the pools whose runners announce themselves here.
    """

    def __init__(
        self,
        node: Node,
        settings: ControlSettings,
        peers: Peers,
        pools: Callable[[], tuple[str, ...]],
    ) -> None:
        self.node = node
        self.settings = settings
        self.freshness = Freshness(settings.lease)
        self.leader = ""
        self.draining = False
        self.refusing_requests = False
        self.driver: LogDriver | None = None
        self._followed = State()
        self._peers = peers
        self._pools = pools
        self._loop = asyncio.get_running_loop()
        self._applied = ChangeSignal()
        self._membership = Membership(
            settings.silence_timeout, self._loop.time()
        )
        self._relay = BeatRelay()
        self._leading_term = 0
        self._watchers: list[Callable[[], None]] = []
        self._voter_choice = VoterChoice(node.name, node.data_centre)
        self._beats_told_at = float("-inf")

    @property
    def state(self) -> State:
        """The state as far as this node has applied the log."""
        return self.driver.state if self.driver else self._followed

    @property
    def peers(self) -> Peers:
        """The way to other nodes."""
        return self._peers

    @property
    def is_leader(self) -> bool:
        """Whether this node leads the log."""
        return self.driver is not None and self.driver.is_leader

    def is_fresh(self) -> bool:
        """Whether this node may rely on its state now."""
        now = self._loop.time()
        if self.is_leader and self.driver:
            replica = self.driver.replica
            if self.state.index >= replica.commit_index:
                confirmed = replica.quorum_confirmed_at(now)
                self.freshness.as_of = max(self.freshness.as_of, confirmed)
        return self.freshness.is_valid(now)

    def live_beats(self) -> list[Beat]:
        """Returns the nodes that the leader counts as alive."""
        return self._membership.live_beats(self._loop.time())

    def leader_name(self) -> str:
        """Returns the node that leads, as far as is known; or empty."""
        if self.is_leader:
            return self.node.name
        return self._known_leader()

    def leader_address(self) -> str:
        """Returns where the leader is reached; empty if it is not known."""
        name = self.leader_name()
        return self.address_of(name) if name else ""

    async def wait_for_version(self, version: int, timeout: float) -> None:
        """Waits until a configuration version, or a later one, is applied."""
        deadline = self._loop.time() + timeout
        while self.state.version < version:
            left = deadline - self._loop.time()
            if left <= 0 or not await self._applied.wait(left):
                return

    def add_listener(self, watcher: Callable[[], None]) -> None:
        """Has a function called whenever the state has changed."""
        self._watchers.append(watcher)

    def notify_applied(self) -> None:
        """Wakes everyone who waits for the state to change."""
        self._applied.notify()
        for watcher in self._watchers:
            watcher()

    def send_to_replica(self, identity: str, message: ReplicaMessage) -> None:
        """Sends a replica's message towards a voting identity."""
        address = self.address_of(node_name_of(identity))
        if address:
            self._peers.send(address, message)

    def address_of(self, name: str) -> str:
        """Returns a node's address; empty if it is not known."""
        node = self.state.nodes.get(name)
        if node is not None:
            return node.address
        if self.settings.names_are_addresses:
            return name
        return self.settings.seeds.get(name, "")

    def is_far(self, name: str) -> bool:
        """Whether a node is known to be in another data centre."""
        node = self.state.nodes.get(name.partition("#")[0])
        return node is not None and node.data_centre != self.node.data_centre

    # -- following -----------------------------------------------------

    async def follow(self) -> None:
        """Follows the log until cancelled."""
        failures = 0
        while True:
            if self.is_leader:
                await asyncio.sleep(_RETRY)
                continue
            name = self._upstream(failures)
            address = self.address_of(name) if name else ""
            if address and await self._follow_once(address):
                self._voter_choice.record_answer()
                # A voter goes back to the leader at once.
                failures = 0
            else:
                self._voter_choice.record_failure(name, self._loop.time())
                failures += 1
                await asyncio.sleep(_RETRY)

    def _upstream(self, failures: int) -> str:
        """Returns the voter to follow; another one after each failure."""
        known_leader = self._known_leader()
        voters = self._voter_names()
        others = [name for name in voters if name != self.node.name]
        if self.driver:
            if known_leader and failures % 2 == 0:
                return known_leader
            ranked = rank(self.node.name, others)
            return ranked[failures % len(ranked)] if ranked else ""
        if len(others) > 1:
            # The leader has the voters to serve; nodes leave it alone.
            others = [name for name in others if name != known_leader]
        now = self._loop.time()
        return self._voter_choice.choose(others, self.state.nodes, now)

    def _voter_names(self) -> list[str]:
        joined = [n.name for n in self.state.nodes.values() if n.voter]
        return sorted(set(joined) | set(self.settings.seeds))

    def _known_leader(self) -> str:
        if self.driver and self.driver.replica.leader:
            return node_name_of(self.driver.replica.leader)
        return "" if self.leader == self.node.name else self.leader

    async def _follow_once(self, address: str) -> bool:
        now = self._loop.time()
        new, alive = self._relay.split_new(self._beats_to_tell(now), address)
        request = Follow(self._beat(), self.settings.follow_wait, new, alive)
        try:
            reply = await self._peers.call(
                address, request, self.settings.follow_wait + _FOLLOW_MARGIN
            )
        except PeerError:
            return False
        self._relay.record_received(new, reply.unknown)
        self.leader = reply.leader
        await self._take(reply, asked_at=now)
        # A voter that is itself out of touch is no help; ask another.
        return bool(reply.age < self.settings.lease)

    def _beats_to_tell(self, now: float) -> tuple[HeardBeat, ...]:
        """Returns the beats heard here, when it is time to pass them on."""
        by_nodes = _BEATS_SECONDS_A_NODE * len(self.state.nodes)
        pause = min(by_nodes, _BEATS_SHARE * self.settings.silence_timeout)
        if self.driver is None or now < self._beats_told_at + pause:
            return ()
        self._beats_told_at = now
        return self._membership.recent_beats(now)

    def _beat(self) -> Beat:
        return Beat(
            self.node,
            self.state.index,
            self.state.version,
            self.draining,
            self._pools(),
            self._is_learner(),
        )

    def _is_learner(self) -> bool:
        if self.driver is None:
            return False
        replica = self.driver.replica
        return replica.identity not in replica.voters.voters

    async def _take(self, reply: FollowReply, asked_at: float) -> None:
        if self.driver is None:
            self._apply_followed(reply)
        else:
            await self._wait_applied(reply.upto)
        if self.state.index >= reply.upto:
            self.freshness.confirm(asked_at, reply.age)

    def _apply_followed(self, reply: FollowReply) -> None:
        before = self._followed.index
        if reply.snapshot:
            image = State.load(reply.snapshot)
            # Never back: an answer that was long on its way is passed over.
            if image.index > before:
                self._followed = image
        for entry in reply.entries:
            self._followed.apply(entry)
        self._followed.skip_to(reply.upto)
        if self._followed.index > before:
            self.notify_applied()

    async def _wait_applied(self, index: int) -> None:
        deadline = self._loop.time() + _APPLY_WAIT
        while self.state.index < index:
            left = deadline - self._loop.time()
            if left <= 0 or not await self._applied.wait(left):
                return

    # -- being followed ------------------------------------------------

    async def handle_follow(self, request: Follow) -> FollowReply:
        """Answers a node that follows the log here."""
        now = self._loop.time()
        self._membership.record_beat(request.beat, now)
        self._membership.record_relayed_beats(request.heard, now)
        unknown = self._membership.record_alive(request.alive, now)
        deadline = now + request.wait
        while self.state.index <= request.beat.applied:
            left = deadline - self._loop.time()
            if left <= 0 or not await self._applied.wait(left):
                break
        # One that knows nothing yet has clients waiting.
        if request.beat.applied and not request.beat.node.voter:
            spacing = now + _FOLLOW_SPACING - self._loop.time()
            await asyncio.sleep(max(spacing, 0.0))
        return attrs.evolve(self._reply(request.beat), unknown=unknown)

    def _reply(self, beat: Beat) -> FollowReply:
        self.is_fresh()
        age = self.freshness.age(self._loop.time())
        if self.driver is None:
            return FollowReply(-NEVER, beat.applied, (), b"", self.leader)
        leader = node_name_of(self.driver.replica.leader) or self.leader
        if beat.node.voter:
            # A voter gets its entries from the leader; it needs the index.
            return FollowReply(age, self.state.index, (), b"", leader)
        log = self.driver.replica.log
        if beat.applied < log.snapshot.index:
            image = self.state.dump(with_once=False)
            return FollowReply(age, self.state.index, (), image, leader)
        upto = min(self.state.index, beat.applied + _ENTRIES_MOST)
        if upto < self.state.index:
            age = -NEVER
        entries = tuple(
            entry
            for entry in log.slice(beat.applied, upto)
            if is_needed_without_disk(entry.command)
        )
        return FollowReply(age, upto, entries, b"", leader)

    # -- leading -------------------------------------------------------

    async def lead(self) -> None:
        """Proposes what the live nodes call for, while this node leads."""
        while True:
            slept_from = self._loop.time()
            await asyncio.sleep(_LEAD_TICK)
            now = self._loop.time()
            if now - slept_from > _LEAD_TICK + _SUSPENDED_SECONDS:
                # Nobody could be heard meanwhile; without this a leader would
                # remove all nodes before it reads what they have sent.
                log_message("log:suspended", seconds=round(now - slept_from, 3))
                self._membership.restart_silence_window(now)
            if self.is_leader and self.driver:
                self.is_fresh()
                await self._lead_once(self.driver)

    async def _lead_once(self, driver: LogDriver) -> None:
        now = self._loop.time()
        if driver.replica.term != self._leading_term:
            self._leading_term = driver.replica.term
            self._membership = Membership(self.settings.silence_timeout, now)
            self.leader = self.node.name
            log_message("log:leading", term=driver.replica.term)
        self._membership.record_beat(self._beat(), now)
        change = decide_change(
            driver.replica,
            self._membership.live_beats(now),
            now,
            self.settings.max_voters,
        )
        wanted = self._membership.decide_commands(driver.state, now)
        if change is not None:
            wanted.append(change)
        for command in wanted:
            try:
                await driver.propose(command)
            except (NotLeaderError, LostLeadershipError):
                return

    # -- reading the newest --------------------------------------------

    async def confirm_latest(self, timeout: float) -> None:
        """Waits until everything committed before the call is applied here.

        Raises:
            UnavailableError: that could not be made sure of in time.
        """
        deadline = self._loop.time() + timeout
        index = await self._ask_latest(deadline)
        while index >= 0 and self.state.index < index:
            left = deadline - self._loop.time()
            if left <= 0 or not await self._applied.wait(left):
                index = -1
        if index < 0:
            raise UnavailableError(
                f"reading the newest: no quorum confirmed it in {timeout} s"
            )

    async def _ask_latest(self, deadline: float) -> int:
        while True:
            left = deadline - self._loop.time()
            if left <= 0:
                return -1
            if self.is_leader:
                return (await self.handle_ask_latest(left)).index
            name = self._known_leader()
            address = self.address_of(name) if name else ""
            if address:
                try:
                    reply = await self._peers.call(address, AskLatest(), left)
                except PeerError as error:
                    log_message("log:latest_unknown", detail=str(error))
                else:
                    if reply.index >= 0:
                        return int(reply.index)
            await asyncio.sleep(_RETRY)

    async def handle_ask_latest(self, timeout: float = _LATEST_WAIT) -> Latest:
        """Answers once a quorum has followed this leader since the question."""
        asked_at = self._loop.time()
        while self.driver is not None and self.is_leader:
            now = self._loop.time()
            if self.driver.replica.quorum_confirmed_at(now) >= asked_at:
                return Latest(self.driver.replica.commit_index)
            if now - asked_at > timeout:
                break
            await asyncio.sleep(_LATEST_POLL)
        return Latest(-1)

    # -- proposing -----------------------------------------------------

    async def handle_propose(self, request: Propose) -> ProposeReply:
        """Appends another node's command, if this node leads."""
        if not self.is_leader or self.driver is None:
            return ProposeReply(b"", self._known_leader(), False)
        try:
            answer = await self.driver.propose(codec.decode(request.command))
        except NotLeaderError:
            return ProposeReply(b"", self._known_leader(), False)
        except LostLeadershipError:
            return ProposeReply(b"", self._known_leader(), True)
        return ProposeReply(codec.encode(answer), self.node.name, True)

    async def propose(self, command: Any, timeout: float) -> Any:
        """Returns the answer of a command, wherever the leader is.

        Commands are idempotent, so one whose fate is unknown is proposed
        again until it is answered.

        Raises:
            UnavailableError: there was no answer within `timeout` seconds.
        """
        encoded = codec.encode(command)
        deadline = self._loop.time() + timeout
        tries = 0
        while self._loop.time() < deadline:
            answer = await self._propose_once(encoded, tries)
            if answer:
                return codec.decode(answer)
            tries += 1
            await asyncio.sleep(_RETRY)
        step = type(command).__name__
        raise UnavailableError(f"{step}: no leader answered in {timeout} s")

    async def _propose_once(self, encoded: bytes, tries: int) -> bytes:
        request = Propose(encoded)
        if self.is_leader:
            return (await self.handle_propose(request)).answer
        name = self._known_leader()
        if not name or tries % 2:
            names = [n for n in self._voter_names() if n != self.node.name]
            name = names[(tries // 2) % len(names)] if names else ""
        address = self.address_of(name) if name else ""
        if not address:
            return b""
        try:
            reply = await self._peers.call(address, request, _PROPOSE_TIMEOUT)
        except PeerError:
            return b""
        self.leader = reply.leader or self.leader
        return bytes(reply.answer)
