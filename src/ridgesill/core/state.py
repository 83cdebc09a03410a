"""The replicated state machine that the log's commands are applied to.

It is the same on every node, except that nodes without a disk do not hold the
records of non-repeatable requests.
"""

from collections import OrderedDict
from functools import singledispatchmethod
from typing import Any

import attrs

from ridgesill.core import codec, commands
from ridgesill.core.commands import (
    BeginOnce,
    BeginTrial,
    ClearParts,
    ClearSuspects,
    Configure,
    ConfigureAnswer,
    Done,
    FinishOnce,
    GrantPool,
    JoinNode,
    LiftQuarantine,
    Node,
    NoteUpstreamEnd,
    OnceAnswer,
    OnceRecord,
    PutArtifactVersion,
    PutFingerprintKey,
    PutRoutes,
    ReleasePool,
    RemoveNode,
    TrialAnswer,
)
from ridgesill.core.configuration import Change, Table
from ridgesill.core.harmful_parts import HarmfulParts, SuspectPart
from ridgesill.core.log.messages import Entry
from ridgesill.core.log.replica import ChangeVoters, NoOp
from ridgesill.core.suspects import Suspect, Suspects

_MAX_OPERATIONS = 1000
_MAX_ONCE_RECORDS = 50_000
ONCE_LIFETIME_SECONDS = 24 * 3600.0


@codec.register
@attrs.frozen
class Owner:
    """A pool's owner.

    Attributes:
        node: the name of the owning node.
        incarnation: the incarnation of that node.
        epoch: the fencing token of its orders.
        released: whether no earlier owner can still hold a lease.
    """

    node: str
    incarnation: str
    epoch: int
    released: bool = False


@codec.register
@attrs.frozen
class Operation:
    """The first answer to a `Configure`, kept for resends.

    Attributes:
        digest: the digest of the file's text.
        answer: that answer.
    """

    digest: str
    answer: ConfigureAnswer


@codec.register
@attrs.frozen
class StateImage:
    """The whole state, as stored in snapshots; see `State` for its fields."""

    index: int
    version: int
    digest: str
    accepted_at: int
    change: Change
    nodes: tuple[Node, ...]
    owners: dict[str, Owner]
    operations: dict[str, Operation]
    once: dict[str, OnceRecord]
    routes_version: int = 0
    routes_document: bytes = b""
    artifact_versions: dict[str, int] = attrs.Factory(dict)
    fingerprint_key: bytes = b""
    suspects: tuple[Suspect, ...] = ()
    harmful_parts: tuple[SuspectPart, ...] = ()


class State:
    """The replicated state machine.

    Attributes:
        index: the last applied log index.
        version: the version of the configuration in force; 0 for none.
        digest: the digest of that configuration's text.
        accepted_at: the log index at which it was accepted.
        table: that configuration.
        nodes: the known nodes, by name.
        owners: the owners, by pool.
        once: the records of non-repeatable requests, by `once_key`, the
            oldest first.
        routes_version: the version of the routing document in force; 0 for
            none.
        routes_document: that document, compressed.
        artifact_versions: the oldest versions that may serve, by artifact.
        fingerprint_key: the key for hashing request fingerprints; empty until
            it is set.
        suspects: requests that were in flight when their upstreams ended.
        harmful_parts: prompt parts that were aboard then.
    """

    def __init__(self) -> None:
        self.index = 0
        self.version = 0
        self.digest = ""
        self.accepted_at = 0
        self.table = Table()
        self.nodes: dict[str, Node] = {}
        self.owners: dict[str, Owner] = {}
        self.once: OrderedDict[str, OnceRecord] = OrderedDict()
        self.routes_version = 0
        self.routes_document = b""
        self.artifact_versions: dict[str, int] = {}
        self.fingerprint_key = b""
        self.suspects = Suspects()
        self.harmful_parts = HarmfulParts()
        self._operations: OrderedDict[str, Operation] = OrderedDict()

    def apply(self, entry: Entry) -> Any:
        """Applies a committed entry; idempotent for entries applied before.

        Returns:
            The command's answer.

        Raises:
            DecodeError: the entry holds no registered message.
            TypeError: the entry holds no log command.
        """
        if entry.index <= self.index:
            return Done(self.index)
        self.index = entry.index
        return self._apply(codec.decode(entry.command))

    def skip_to(self, index: int) -> None:
        """Marks entries up to an index as applied without their commands.

        For entries that this node does not need.
        """
        self.index = max(self.index, index)

    def find_earlier_answer(self, command: Configure) -> ConfigureAnswer | None:
        """Returns the first answer if the command is a resend, else None."""
        operation = self._operations.get(command.operation)
        if operation is not None and operation.digest == command.digest:
            return operation.answer
        return None

    @singledispatchmethod
    def _apply(self, command: Any) -> Any:
        raise TypeError(
            f"the state machine can't apply {type(command).__name__}"
        )

    @_apply.register
    def _(self, command: NoOp) -> Done:
        return Done(self.index)

    @_apply.register
    def _(self, command: ChangeVoters) -> Done:
        return Done(self.index)

    # -- configuration -------------------------------------------------

    @_apply.register
    def _(self, command: Configure) -> ConfigureAnswer:
        known = self.find_earlier_answer(command)
        if known is not None:
            return known
        if command.version == self.version and command.digest == self.digest:
            # The same file under another operation id: the first answer was
            # lost together with the id, or two operators sent the same text.
            return self._configure_answer(commands.ACCEPTED)
        if command.base != self.version or command.version <= self.version:
            return self._configure_answer(commands.CONFLICT)
        self.table.apply(command.change)
        self.version = command.version
        self.digest = command.digest
        self.accepted_at = self.index
        answer = self._configure_answer(commands.ACCEPTED)
        self._record_operation(command, answer)
        return answer

    def _configure_answer(self, verdict: str) -> ConfigureAnswer:
        return ConfigureAnswer(
            verdict, self.version, self.digest, self.accepted_at
        )

    def _record_operation(
        self, command: Configure, answer: ConfigureAnswer
    ) -> None:
        kept = Operation(command.digest, answer)
        self._operations[command.operation] = kept
        if len(self._operations) > _MAX_OPERATIONS:
            self._operations.popitem(last=False)

    # -- routes and versions -------------------------------------------

    @_apply.register
    def _(self, command: PutRoutes) -> Done:
        if command.version > self.routes_version:
            self.routes_version = command.version
            self.routes_document = command.document
        return Done(self.index)

    @_apply.register
    def _(self, command: PutArtifactVersion) -> Done:
        known = self.artifact_versions.get(command.artifact, 0)
        self.artifact_versions[command.artifact] = max(known, command.version)
        return Done(self.index)

    # -- quarantine ----------------------------------------------------

    @_apply.register
    def _(self, command: PutFingerprintKey) -> Done:
        self.fingerprint_key = self.fingerprint_key or command.key
        return Done(self.index)

    @_apply.register
    def _(self, command: NoteUpstreamEnd) -> Done:
        self.harmful_parts.record_end(command.upstream, command.sightings)
        self.suspects.record_end(command.upstream, command.aboard)
        for part in self.harmful_parts.quarantined():
            self.suspects.discard_explained(part.ends)
        for suspect in self.suspects.quarantined():
            self.harmful_parts.discard_explained(suspect.ends)
        return Done(self.index)

    @_apply.register
    def _(self, command: ClearParts) -> Done:
        self.harmful_parts.clear(command.parts)
        return Done(self.index)

    @_apply.register
    def _(self, command: BeginTrial) -> TrialAnswer:
        key, number = command.key, command.number
        return TrialAnswer(
            self.harmful_parts.begin_trial(key, number)
            or self.suspects.begin_trial(key, number)
        )

    @_apply.register
    def _(self, command: ClearSuspects) -> Done:
        self.suspects.clear(command.served)
        return Done(self.index)

    @_apply.register
    def _(self, command: LiftQuarantine) -> Done:
        self.suspects.lift(command.content)
        self.harmful_parts.clear([command.content])
        return Done(self.index)

    # -- nodes and owners ----------------------------------------------

    @_apply.register
    def _(self, command: JoinNode) -> Done:
        before = self.nodes.get(command.node.name)
        if before and before.incarnation != command.node.incarnation:
            self._mark_running_unknown(before)
        self.nodes[command.node.name] = command.node
        return Done(self.index)

    @_apply.register
    def _(self, command: RemoveNode) -> Done:
        node = self.nodes.get(command.name)
        if node and node.incarnation == command.incarnation:
            del self.nodes[command.name]
            self._mark_running_unknown(node)
        return Done(self.index)

    def _mark_running_unknown(self, node: Node) -> None:
        for key, record in self.once.items():
            is_running = record.outcome == commands.RUNNING
            if is_running and record.node == node.incarnation:
                ended = attrs.evolve(record, outcome=commands.UNKNOWN)
                self.once[key] = ended

    @_apply.register
    def _(self, command: GrantPool) -> Done:
        self.owners[command.pool] = Owner(
            command.node,
            command.incarnation,
            self.index,
            released=command.pool not in self.owners,
        )
        return Done(self.index)

    @_apply.register
    def _(self, command: ReleasePool) -> Done:
        owner = self.owners.get(command.pool)
        if owner and owner.epoch == command.epoch:
            del self.owners[command.pool]
        return Done(self.index)

    # -- non-repeatable requests ---------------------------------------

    @_apply.register
    def _(self, command: BeginOnce) -> OnceAnswer:
        self._expire_once(command.at)
        key = once_key(command.team, command.key)
        record = self.once.get(key)
        if record is not None and record.outcome != commands.NOT_RUN:
            is_same_attempt = record.request == command.request
            return OnceAnswer(is_same_attempt, record)
        if record is None and len(self.once) >= _MAX_ONCE_RECORDS:
            # Dropping an unexpired record could run its request twice.
            full = OnceRecord("", "", "", command.at, commands.FULL)
            return OnceAnswer(False, full)
        record = OnceRecord(
            command.digest, command.node, command.request, command.at
        )
        self.once[key] = record
        self.once.move_to_end(key)
        return OnceAnswer(True, record)

    @_apply.register
    def _(self, command: FinishOnce) -> Done:
        key = once_key(command.team, command.key)
        record = self.once.get(key)
        if record is not None and record.request == command.request:
            self.once[key] = attrs.evolve(
                record,
                outcome=command.outcome,
                status=command.status,
                content_type=command.content_type,
                body=command.body,
            )
        return Done(self.index)

    def _expire_once(self, at: float) -> None:
        while self.once:
            key, oldest = next(iter(self.once.items()))
            if oldest.at >= at - ONCE_LIFETIME_SECONDS:
                return
            del self.once[key]

    # -- snapshots -----------------------------------------------------

    def dump(self, *, with_once: bool = True) -> bytes:
        """Returns the encoded state.

        Args:
            with_once: whether to include the records of non-repeatable
                requests and the answers kept for resends.
        """
        return codec.encode(
            StateImage(
                self.index,
                self.version,
                self.digest,
                self.accepted_at,
                self.table.change_from_empty(),
                tuple(self.nodes.values()),
                dict(self.owners),
                dict(self._operations) if with_once else {},
                dict(self.once) if with_once else {},
                self.routes_version,
                self.routes_document,
                dict(self.artifact_versions),
                self.fingerprint_key,
                tuple(self.suspects),
                tuple(self.harmful_parts),
            )
        )

    @classmethod
    def load(cls, data: bytes) -> "State":
        """Returns the state encoded by `dump`.

        Raises:
            DecodeError: the data is malformed or no registered message.
        """
        image: StateImage = codec.decode(data)
        state = cls()
        state.index = image.index
        state.version = image.version
        state.digest = image.digest
        state.accepted_at = image.accepted_at
        state.table.apply(image.change)
        state.nodes = {node.name: node for node in image.nodes}
        state.owners = dict(image.owners)
        state.once = OrderedDict(image.once)
        state.routes_version = image.routes_version
        state.routes_document = image.routes_document
        state.artifact_versions = dict(image.artifact_versions)
        state.fingerprint_key = image.fingerprint_key
        state.suspects = Suspects(image.suspects)
        state.harmful_parts = HarmfulParts(image.harmful_parts)
        state._operations = OrderedDict(image.operations)
        return state


def once_key(team: str, key: str) -> str:
    """Returns the key of a record in `State.once`."""
    return f"{team}\0{key}"


def is_needed_without_disk(command: bytes) -> bool:
    """Returns whether nodes without a disk need an encoded command."""
    return b"Once" not in command[:16]
