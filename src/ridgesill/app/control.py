"""A node's part in the control plane: follows, leads and proposes."""

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
from ridgesill.core.catch_up import (
    KeptContent,
    KeptContents,
    PartSize,
    ReceivedContents,
    drop_superseded,
    measure,
)
from ridgesill.core.commands import Node
from ridgesill.core.following import (
    AskLatest,
    Beat,
    Follow,
    FollowContent,
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
from ridgesill.core.voter_changes import (
    VoterPolicy,
    decide_change,
    node_name_of,
)
from ridgesill.core.voter_choice import VoterChoice
from ridgesill.ports.peers import PeerError, Peers

# How long a voter waits for its own replica to apply the index that a reply
# names, in seconds.
_APPLY_WAIT_SECONDS = 0.5
# How long a reply to a `Follow` message may take beyond its wait, in seconds.
# Two messages lost in a row must not cost the lease, as they would with a fixed
# timeout of 2 s.
_FOLLOW_MARGIN_SECONDS = 0.5
# How long one attempt to propose a command to another node may take, in
# seconds.
_PROPOSE_ATTEMPT_SECONDS = 2.0
# Pause before a failed message is sent again, in seconds.
_RETRY_SECONDS = 0.1
# How often a leader checks whether nodes or voters have to change, in seconds.
_LEAD_TICK_SECONDS = 0.25
# A sleep that lasts longer than planned by this much, in seconds, means that
# this VM was suspended or could not run.
_SUSPENDED_SECONDS = 1.0
# Log entries in one reply to a follower, at the most.
_MAX_ENTRIES = 256
# Shortest time from a `Follow` message to its reply, in seconds. Entries that
# are committed meanwhile go into the same reply. Without it, 200 nodes that
# join cause 40,000 replies: one for each node and each node that joins.
_MIN_FOLLOW_SECONDS = 0.1
# Interval at which a voter relays the beats that it receives to the leader, in
# seconds per node, and its limit as a share of the silence after which nodes
# count as gone. Three times a second, the names of 195 nodes would take 50 KB a
# second of the traffic to other data centres.
_BEATS_INTERVAL_SECONDS_PER_NODE = 0.005
_MAX_BEATS_INTERVAL_SHARE = 0.25
# How often a voter that stops checks whether it is replaced, in seconds.
_HANDOVER_POLL_SECONDS = 0.05
# How long a leader tries to confirm that it still leads, and how often it
# checks, in seconds; a heartbeat round takes 0.3 s.
_CONFIRM_LATEST_SECONDS = 0.8
_CONFIRM_LATEST_POLL_SECONDS = 0.02


class UnavailableError(Exception):
    """Raised if no leader answered; the message names the failed step."""


@attrs.frozen
class ControlSettings:
    """Settings of the control plane on one node.

    Attributes:
        seeds: addresses of the voters by node name.
        lease: seconds for which a node may rely on its copy of the state.
        silence_timeout: seconds of silence after which a node counts as gone.
        follow_wait: seconds after which a voter replies without new entries.
        voter_policy: how many voters there should be, and how soon a lost one
            is replaced.
        names_are_addresses: whether nodes are named by their addresses.
    """

    seeds: dict[str, str]
    lease: float = 4.0
    silence_timeout: float = 4.0
    follow_wait: float = 0.5
    voter_policy: VoterPolicy = VoterPolicy()
    names_are_addresses: bool = False


class Control:
    """Keeps this node's copy of the replicated state up to date.

    A node with a disk has a log driver and may vote and lead. Any other node
    follows a voter.

    Args:
        node: this node.
        settings: seeds and time limits.
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
        self._listeners: list[Callable[[], None]] = []
        self._voter_choice = VoterChoice(node.name, node.data_centre)
        self._kept_contents = KeptContents()
        self._received_contents = ReceivedContents()
        self._part_size = PartSize()
        # The newest routing document that a voter was known to have, and since
        # when this node has had an older one.
        self._known_routes_version = 0
        self._behind_since = float("inf")
        self._beats_relayed_at = float("-inf")

    @property
    def state(self) -> State:
        """The state up to the last log entry that this node has applied."""
        return self.driver.state if self.driver else self._followed

    @property
    def peers(self) -> Peers:
        """Sends messages to other nodes."""
        return self._peers

    @property
    def is_leader(self) -> bool:
        """Whether this node leads the log."""
        return self.driver is not None and self.driver.is_leader

    def is_fresh(self) -> bool:
        """Whether this node's state is recent enough to rely on."""
        now = self._loop.time()
        if self.is_leader and self.driver:
            replica = self.driver.replica
            if self.state.index >= replica.commit_index:
                confirmed = replica.quorum_confirmed_at(now)
                self.freshness.as_of = max(self.freshness.as_of, confirmed)
        return self.freshness.is_valid(now)

    def seconds_behind(self) -> float:
        """Returns for how long a voter has had newer routes than this node.

        0 if none is known to. A node that no voter answers knows of none.
        """
        if self.state.routes_version >= self._known_routes_version:
            return 0.0
        return max(self._loop.time() - self._behind_since, 0.0)

    def live_beats(self) -> list[Beat]:
        """Returns the beats of the nodes that count as alive here."""
        return self._membership.live_beats(self._loop.time())

    def leader_name(self) -> str:
        """Returns the name of the leader; empty if it is unknown."""
        if self.is_leader:
            return self.node.name
        return self._known_leader()

    def leader_address(self) -> str:
        """Returns the address of the leader; empty if it is unknown."""
        name = self.leader_name()
        return self.address_of(name) if name else ""

    async def wait_for_version(self, version: int, timeout: float) -> None:
        """Waits until a configuration version or a later one is applied.

        Returns after `timeout` seconds at the latest.
        """
        deadline = self._loop.time() + timeout
        while self.state.version < version:
            remaining = deadline - self._loop.time()
            if remaining <= 0 or not await self._applied.wait(remaining):
                return

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Registers a function to call whenever the state has changed."""
        self._listeners.append(listener)

    def notify_applied(self) -> None:
        """Wakes waiting tasks and calls listeners after a state change."""
        self._applied.notify()
        for listener in self._listeners:
            listener()

    def send_to_replica(self, identity: str, message: ReplicaMessage) -> None:
        """Sends a replica's message to the node of a voting identity.

        Drops the message if the address of that node is unknown.
        """
        address = self.address_of(node_name_of(identity))
        if address:
            self._peers.send(address, message)

    def address_of(self, name: str) -> str:
        """Returns a node's address; empty if it is unknown."""
        node = self.state.nodes.get(name)
        if node is not None:
            return node.address
        if self.settings.names_are_addresses:
            return name
        return self.settings.seeds.get(name, "")

    def is_far(self, name: str) -> bool:
        """Whether a node is known to be in another data centre.

        Args:
            name: a node's name, or its name and incarnation joined by `#`.
        """
        node = self.state.nodes.get(name.partition("#")[0])
        return node is not None and node.data_centre != self.node.data_centre

    # -- following -----------------------------------------------------

    async def follow(self) -> None:
        """Follows the log while this node does not lead, until cancelled."""
        failures = 0
        while True:
            if self.is_leader:
                await asyncio.sleep(_RETRY_SECONDS)
                continue
            name = self._choose_voter(failures)
            address = self.address_of(name) if name else ""
            if address and await self._follow_once(name, address):
                self._voter_choice.record_answer()
                # With no failures, a voter follows the leader next.
                failures = 0
            else:
                self._voter_choice.record_failure(name, self._loop.time())
                failures += 1
                await asyncio.sleep(_RETRY_SECONDS)

    def _choose_voter(self, failures: int) -> str:
        """Returns the voter to follow; a different one after each failure."""
        known_leader = self._known_leader()
        voters = self._voter_names()
        others = [name for name in voters if name != self.node.name]
        if self.driver:
            if known_leader and self._may_answer(known_leader):
                return known_leader
            reachable = [name for name in others if self._may_answer(name)]
            ranked = rank(self.node.name, reachable or others)
            return ranked[failures % len(ranked)] if ranked else ""
        if len(others) > 1:
            # The leader has to serve the other voters, so nodes without a disk
            # follow one of those instead.
            others = [name for name in others if name != known_leader]
        now = self._loop.time()
        return self._voter_choice.choose(others, self.state.nodes, now)

    def _may_answer(self, name: str) -> bool:
        """Whether a node's address is known and it isn't known to be silent.

        Each attempt at a lost node delays the beats by which a new leader
        learns of this one. A leader that the replica hears again is reachable.
        """
        if not self.address_of(name):
            return False
        heard_at = NEVER
        if self.driver and node_name_of(self.driver.replica.leader) == name:
            heard_at = self.driver.replica.leader_heard_at
        return self._voter_choice.may_answer(name, heard_at, self._loop.time())

    def _voter_names(self) -> list[str]:
        state_voters = [n.name for n in self.state.nodes.values() if n.voter]
        return sorted(set(state_voters) | set(self.settings.seeds))

    def _known_leader(self) -> str:
        if self.driver and self.driver.replica.leader:
            return node_name_of(self.driver.replica.leader)
        return "" if self.leader == self.node.name else self.leader

    async def _follow_once(self, name: str, address: str) -> bool:
        now = self._loop.time()
        new, alive = self._relay.split_new(self._beats_to_relay(now), address)
        content, offset = self._received_contents.find_next(name)
        request = Follow(
            self._make_beat(),
            self.settings.follow_wait,
            new,
            alive,
            self._part_size.bytes,
            content,
            offset,
        )
        try:
            reply = await self._peers.call(
                address,
                request,
                self.settings.follow_wait + _FOLLOW_MARGIN_SECONDS,
            )
        except PeerError:
            self._voter_choice.record_silence(name, self._loop.time())
            self._part_size.record_loss()
            return False
        self._voter_choice.record_reply(name)
        self._relay.record_received(new, reply.unknown)
        self.leader = reply.leader
        whole = self._join_parts(name, reply)
        if whole is not None:
            await self._apply_reply(whole, requested_at=now)
        self._record_known_routes(reply.routes_version)
        # A voter whose own state is stale does not count as followed.
        return bool(reply.age < self.settings.lease)

    def _join_parts(self, name: str, reply: FollowReply) -> FollowReply | None:
        """Returns a reply with its whole content; None while parts are missing.

        Args:
            name: the voter that sent the reply.
            reply: a reply with all of its content or with a part of it.
        """
        if reply.part is None:
            self._received_contents.discard(name)
            return reply
        self._part_size.record_part(len(reply.part.data))
        try:
            content = self._received_contents.add(name, reply.part)
        except codec.DecodeError as error:
            log_message("log:content_unreadable", peer=name, detail=str(error))
            return None
        if content is None:
            return None
        log_message(
            "log:caught_up", peer=name, bytes=reply.part.total, upto=reply.upto
        )
        return attrs.evolve(
            reply,
            age=reply.part.age,
            entries=content.entries,
            snapshot=content.snapshot,
        )

    def _record_known_routes(self, version: int) -> None:
        """Records the version of the routes that a voter has."""
        if self.state.routes_version >= self._known_routes_version:
            self._behind_since = self._loop.time()
        self._known_routes_version = max(self._known_routes_version, version)

    def _beats_to_relay(self, now: float) -> tuple[HeardBeat, ...]:
        """Returns the beats to relay to the leader; empty if none are due."""
        interval = _BEATS_INTERVAL_SECONDS_PER_NODE * len(self.state.nodes)
        pause = min(
            interval, _MAX_BEATS_INTERVAL_SHARE * self.settings.silence_timeout
        )
        if self.driver is None or now < self._beats_relayed_at + pause:
            return ()
        self._beats_relayed_at = now
        return self._membership.recent_beats(now)

    def _make_beat(self) -> Beat:
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

    async def _apply_reply(
        self, reply: FollowReply, requested_at: float
    ) -> None:
        if self.driver is None:
            self._apply_followed(reply)
        else:
            await self._wait_applied(reply.upto)
        if self.state.index >= reply.upto:
            self.freshness.confirm(requested_at, reply.age)

    def _apply_followed(self, reply: FollowReply) -> None:
        previous_index = self._followed.index
        if reply.snapshot:
            snapshot = State.load(reply.snapshot)
            # A reply that was delayed must not take the state back.
            if snapshot.index > previous_index:
                self._followed = snapshot
        for entry in reply.entries:
            self._followed.apply(entry)
        self._followed.skip_to(reply.upto)
        if self._followed.index > previous_index:
            self.notify_applied()

    async def _wait_applied(self, index: int) -> None:
        deadline = self._loop.time() + _APPLY_WAIT_SECONDS
        while self.state.index < index:
            remaining = deadline - self._loop.time()
            if remaining <= 0 or not await self._applied.wait(remaining):
                return

    # -- serving followers ---------------------------------------------

    async def handle_follow(self, request: Follow) -> FollowReply:
        """Replies to a follower, once there are new entries or in due time."""
        now = self._loop.time()
        self._membership.record_beat(request.beat, now)
        self._membership.record_relayed_beats(request.heard, now)
        unknown = self._membership.record_alive(request.alive, now)
        kept = self._kept_contents.find(request.content, now)
        if kept is not None:
            reply = self._make_part_reply(request, kept)
            return attrs.evolve(reply, unknown=unknown)
        deadline = now + request.wait
        while self.state.index <= request.beat.applied:
            remaining = deadline - self._loop.time()
            if remaining <= 0 or not await self._applied.wait(remaining):
                break
        # A follower without any state yet is answered at once, because its
        # clients are waiting.
        if request.beat.applied and not request.beat.node.voter:
            spacing = now + _MIN_FOLLOW_SECONDS - self._loop.time()
            await asyncio.sleep(max(spacing, 0.0))
        return attrs.evolve(self._make_reply(request), unknown=unknown)

    def _make_reply(self, request: Follow) -> FollowReply:
        self.is_fresh()
        beat = request.beat
        if self.driver is None:
            return FollowReply(-NEVER, beat.applied, (), b"", self.leader)
        now = self._loop.time()
        as_of = self.freshness.as_of
        if beat.node.voter:
            # A voter receives entries from the leader and only needs the index.
            content = FollowContent(self.state.index)
            return self._make_whole_reply(content, as_of)
        kept = self._find_kept(request)
        if kept is not None:
            return self._make_part_reply(request, kept)
        content = self._make_content(beat.applied)
        if content.upto < self.state.index:
            as_of = NEVER
        if not request.max_bytes or measure(content) <= request.max_bytes:
            return self._make_whole_reply(content, as_of)
        kept = self._kept_contents.add(content, as_of, now)
        return self._make_part_reply(request, kept)

    def _find_kept(self, request: Follow) -> KeptContent | None:
        """Returns a content that is kept for another follower, if it fits."""
        assert self.driver is not None
        oldest = self.driver.replica.log.snapshot.index
        applied = request.beat.applied
        if not request.max_bytes or applied >= oldest:
            return None
        return self._kept_contents.find_snapshot(oldest, self._loop.time())

    def _make_content(self, applied: int) -> FollowContent:
        """Returns what a node without a disk lacks that has applied an index.

        It is bounded by the state and the number of entries, not by the number
        of changed routing documents, of which only the last one counts.
        """
        assert self.driver is not None
        log = self.driver.replica.log
        if applied < log.snapshot.index:
            snapshot = self.state.dump(with_once=False)
            return FollowContent(self.state.index, snapshot=snapshot)
        upto = min(self.state.index, applied + _MAX_ENTRIES)
        entries = tuple(
            entry
            for entry in log.slice(applied, upto)
            if is_needed_without_disk(entry.command)
        )
        return FollowContent(upto, drop_superseded(entries))

    def _make_whole_reply(
        self, content: FollowContent, as_of: float
    ) -> FollowReply:
        return FollowReply(
            self._loop.time() - as_of,
            content.upto,
            content.entries,
            content.snapshot,
            self._leader_for_followers(),
            routes_version=self.state.routes_version,
        )

    def _make_part_reply(
        self, request: Follow, kept: KeptContent
    ) -> FollowReply:
        """Returns the next part of a content that the follower lacks."""
        self.is_fresh()
        now = self._loop.time()
        offset = request.offset if request.content == kept.name else 0
        return FollowReply(
            self.freshness.age(now),
            kept.upto,
            (),
            b"",
            self._leader_for_followers(),
            part=kept.cut_part(offset, request.max_bytes, now),
            routes_version=self.state.routes_version,
        )

    def _leader_for_followers(self) -> str:
        assert self.driver is not None
        return node_name_of(self.driver.replica.leader) or self.leader

    # -- leaving -------------------------------------------------------

    async def hand_over_vote(self, timeout: float) -> None:
        """Announces that this node stops, and waits until it is replaced.

        Returns at once if no learner waits, and after `timeout` seconds at the
        latest. Without this, the successor in a planned replacement gets its
        vote only after this node has been silent for some time.
        """
        self.draining = True
        if self.driver is None or self._is_learner():
            return
        if not self.driver.replica.voters.learners:
            return
        deadline = self._loop.time() + timeout
        await self._announce_stop()
        while self.is_leader or not self._is_learner():
            if self._loop.time() > deadline:
                log_message("log:vote_not_handed_over", seconds=timeout)
                return
            await asyncio.sleep(_HANDOVER_POLL_SECONDS)

    async def _announce_stop(self) -> None:
        """Sends the leader this node's last beat without waiting for entries.

        The beat in the current `Follow` message doesn't say that it stops, and
        the next one may be sent only after this node has ended.
        """
        address = "" if self.is_leader else self.leader_address()
        if not address:
            return
        try:
            await self._peers.call(
                address, Follow(self._make_beat(), 0), _FOLLOW_MARGIN_SECONDS
            )
        except PeerError as error:
            log_message("log:stop_not_announced", detail=str(error))

    # -- leading -------------------------------------------------------

    async def lead(self) -> None:
        """Proposes changes that the live nodes require, while leading."""
        while True:
            slept_at = self._loop.time()
            await asyncio.sleep(_LEAD_TICK_SECONDS)
            now = self._loop.time()
            if now - slept_at > _LEAD_TICK_SECONDS + _SUSPENDED_SECONDS:
                # No message could be received meanwhile. Without this restart,
                # a leader would remove all nodes before it reads the beats that
                # they have sent.
                log_message("log:suspended", seconds=round(now - slept_at, 3))
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
        self._membership.record_beat(self._make_beat(), now)
        try:
            for command in self._membership.decide_commands(driver.state, now):
                await driver.propose(command)
            await self._change_voters(driver)
        except (NotLeaderError, LostLeadershipError):
            return

    async def _change_voters(self, driver: LogDriver) -> None:
        """Makes all changes of voters that are due, one after the other.

        Raises:
            NotLeaderError: this node doesn't lead, or can't change voters yet.
            LostLeadershipError: this node has stopped leading meanwhile.
        """
        while True:
            now = self._loop.time()
            change = decide_change(
                driver.replica,
                self._membership.recent_beats(now),
                now,
                self.settings.voter_policy,
            )
            if change is None:
                return
            await driver.propose(change)
            log_message(
                "log:voters_changed",
                voters=change.voters.voters,
                learners=change.voters.learners,
            )

    # -- linearizable reads --------------------------------------------

    async def confirm_latest(self, timeout: float) -> None:
        """Waits until all entries committed before the call are applied here.

        Raises:
            UnavailableError: no quorum confirmed the newest index, or it wasn't
                applied, within `timeout` seconds.
        """
        deadline = self._loop.time() + timeout
        index = await self._ask_latest(deadline)
        while index >= 0 and self.state.index < index:
            remaining = deadline - self._loop.time()
            if remaining <= 0 or not await self._applied.wait(remaining):
                index = -1
        if index < 0:
            raise UnavailableError(
                f"reading the newest: no quorum confirmed it in {timeout} s"
            )

    async def _ask_latest(self, deadline: float) -> int:
        while True:
            remaining = deadline - self._loop.time()
            if remaining <= 0:
                return -1
            if self.is_leader:
                return (await self.handle_ask_latest(remaining)).index
            name = self._known_leader()
            address = self.address_of(name) if name else ""
            if address:
                try:
                    reply = await self._peers.call(
                        address, AskLatest(), remaining
                    )
                except PeerError as error:
                    log_message("log:latest_unknown", detail=str(error))
                else:
                    if reply.index >= 0:
                        return int(reply.index)
            await asyncio.sleep(_RETRY_SECONDS)

    async def handle_ask_latest(
        self, timeout: float = _CONFIRM_LATEST_SECONDS
    ) -> Latest:
        """Returns the committed index once a quorum confirms this leader.

        Only a confirmation from after the call counts. The index is -1 if there
        is none within `timeout` seconds or this node doesn't lead.
        """
        requested_at = self._loop.time()
        while self.driver is not None and self.is_leader:
            now = self._loop.time()
            if self.driver.replica.quorum_confirmed_at(now) >= requested_at:
                return Latest(self.driver.replica.commit_index)
            if now - requested_at > timeout:
                break
            await asyncio.sleep(_CONFIRM_LATEST_POLL_SECONDS)
        return Latest(-1)

    # -- proposing -----------------------------------------------------

    async def handle_propose(self, request: Propose) -> ProposeReply:
        """Proposes another node's command, if this node leads."""
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
        """Proposes a command to the leader, here or elsewhere.

        Commands are idempotent, so a command is proposed again until there is
        an answer, also if an earlier attempt may have been committed.

        Returns:
            The state's answer to the command.

        Raises:
            UnavailableError: there was no answer within `timeout` seconds.
        """
        encoded = codec.encode(command)
        deadline = self._loop.time() + timeout
        attempts = 0
        while self._loop.time() < deadline:
            answer = await self._propose_once(encoded, attempts)
            try:
                if answer:
                    return codec.decode(answer)
            except codec.DecodeError as error:
                # From a leader of another release; commands are idempotent.
                log_message("log:answer_unreadable", detail=str(error))
            attempts += 1
            await asyncio.sleep(_RETRY_SECONDS)
        step = type(command).__name__
        raise UnavailableError(f"{step}: no leader answered in {timeout} s")

    async def _propose_once(self, encoded: bytes, attempts: int) -> bytes:
        request = Propose(encoded)
        if self.is_leader:
            return (await self.handle_propose(request)).answer
        name = self._known_leader()
        if not name or attempts % 2:
            names = [n for n in self._voter_names() if n != self.node.name]
            name = names[(attempts // 2) % len(names)] if names else ""
        address = self.address_of(name) if name else ""
        if not address:
            return b""
        try:
            reply = await self._peers.call(
                address, request, _PROPOSE_ATTEMPT_SECONDS
            )
        except PeerError:
            return b""
        self.leader = reply.leader or self.leader
        return bytes(reply.answer)
