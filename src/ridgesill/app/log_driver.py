"""Drives a voter's replica: stores its output, sends messages, applies."""

import asyncio
import functools
import random
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
from eliot import log_message

from ridgesill.core import codec
from ridgesill.core.log.messages import HardState, Output, Timing
from ridgesill.core.log.replica import LEADER, Replica
from ridgesill.core.state import State
from ridgesill.ports.storage import Storage

RunBlocking = Callable[[Callable[[], None]], Awaitable[None]]

# How long the driver waits for inputs before it checks the replica's timers, in
# seconds.
_TICK_SECONDS = 0.1
# Applied entries after which a snapshot is made.
_COMPACT_ENTRIES = 1000
# Bytes of applied commands after which a snapshot is made, since a routing
# document can be a hundred times as large as other commands.
_COMPACT_BYTES = 2 * 2**20
# How long to wait before a failed write is retried, in seconds.
_WRITE_RETRY_SECONDS = 0.2


@codec.register
@attrs.frozen
class ReplicaMessage:
    """A message between two replicas.

    Attributes:
        sender: voting identity of the sender.
        to: voting identity of the receiver.
        body: the encoded message.
    """

    sender: str
    to: str
    body: bytes


@attrs.frozen
class _Proposal:
    command: Any
    answer: asyncio.Future[Any]


@attrs.frozen
class _Received:
    sender: str
    message: Any


class NotLeaderError(Exception):
    """Raised if a proposal was certainly not appended here."""


class LostLeadershipError(Exception):
    """Raised if it is unknown whether a proposal will be committed."""


class LogDriver:
    """Owns a replica, its storage and the state machine built from its log.

    Args:
        storage: stores the replica's log and snapshot.
        send: sends a `ReplicaMessage` to a voting identity.
        on_applied: called after entries were applied.
        timing: heartbeat interval and election timeouts.
        compact_entries: applied entries after which a snapshot is made.
        run_blocking: runs a storage call; by default on another thread.
        rng: source of random election timeouts.
    """

    def __init__(
        self,
        storage: Storage,
        send: Callable[[str, ReplicaMessage], None],
        on_applied: Callable[[], None],
        timing: Timing | None = None,
        compact_entries: int = _COMPACT_ENTRIES,
        run_blocking: RunBlocking | None = None,
        rng: random.Random | None = None,
    ) -> None:
        stored = storage.load()
        loop = asyncio.get_running_loop()
        self.replica = Replica(
            storage.identity,
            stored,
            loop.time(),
            rng or random.Random(),
            timing,
        )
        self.state = _restore(stored.snapshot.data, stored.snapshot.index)
        self._storage = storage
        self._send = send
        self._on_applied = on_applied
        self._compact_entries = compact_entries
        self._loop = loop
        self._run_blocking = run_blocking or _run_in_thread
        self._inbox: asyncio.Queue[_Proposal | _Received] = asyncio.Queue()
        self._pending_proposals: dict[int, tuple[int, asyncio.Future[Any]]] = {}
        self._applied_bytes = 0

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads as far as it knows."""
        return self.replica.role == LEADER

    def receive(self, envelope: ReplicaMessage) -> None:
        """Queues a message for this replica; ignores those for others."""
        if envelope.to != self.replica.identity:
            return
        message = codec.decode(envelope.body)
        self._inbox.put_nowait(_Received(envelope.sender, message))

    async def propose(self, command: Any) -> Any:
        """Returns the answer to a command once it is committed and applied.

        Raises:
            NotLeaderError: another replica leads; nothing was appended.
            LostLeadershipError: the command may or may not be committed;
                propose it again.
        """
        answer: asyncio.Future[Any] = self._loop.create_future()
        self._inbox.put_nowait(_Proposal(command, answer))
        return await answer

    async def run(self) -> None:
        """Runs the replica until cancelled."""
        while True:
            for item in await self._next_inputs():
                self._process_input(item)
            self.replica.tick(self._loop.time())
            await self._process_output(self.replica.take_output())
            self._fail_pending_proposals()

    async def _next_inputs(self) -> list[_Proposal | _Received]:
        """Waits for inputs or a tick; returns all queued inputs.

        Inputs that arrive during a disk write share the next one (group
        commit).
        """
        try:
            first = await asyncio.wait_for(self._inbox.get(), _TICK_SECONDS)
        except TimeoutError:
            return []
        inputs = [first]
        while not self._inbox.empty():
            inputs.append(self._inbox.get_nowait())
        return inputs

    def _process_input(self, item: _Proposal | _Received) -> None:
        now = self._loop.time()
        if isinstance(item, _Received):
            self.replica.receive(item.message, item.sender, now)
            return
        index = self.replica.propose(item.command, now)
        if index is None:
            if not item.answer.done():
                item.answer.set_exception(NotLeaderError())
            return
        self._pending_proposals[index] = (self.replica.term, item.answer)

    async def _process_output(self, output: Output) -> None:
        await self._store_output(output)
        for send in output.messages:
            body = codec.encode(send.message)
            message = ReplicaMessage(self.replica.identity, send.to, body)
            self._send(send.to, message)
        for entry in output.committed:
            self._applied_bytes += len(entry.command)
            answer = self.state.apply(entry)
            self._resolve_proposal(entry.index, entry.term, answer)
        if output.committed or output.snapshot:
            self._on_applied()
            await self._compact_if_due()

    async def _store_output(self, output: Output) -> None:
        if output.snapshot is not None:
            snapshot = output.snapshot
            await self._write_with_retries(self._replace_stored)
            self.state = _restore(snapshot.data, snapshot.index)
            log_message("log:snapshot_received", index=snapshot.index)
        elif output.entries or output.hard_state:
            append = functools.partial(
                self._storage.append, output.hard_state, output.entries
            )
            await self._write_with_retries(append)

    async def _write_with_retries(self, call: Callable[[], None]) -> None:
        """Retries a disk write until it succeeds.

        The replica sends no messages meanwhile. Therefore a leader is soon
        replaced, and nothing is acknowledged that is not stored.
        """
        is_failing = False
        while True:
            try:
                await self._run_blocking(call)
            except OSError as error:
                if not is_failing:
                    log_message(
                        "log:disk_refuses", step="write", detail=str(error)
                    )
                is_failing = True
                await asyncio.sleep(_WRITE_RETRY_SECONDS)
            else:
                if is_failing:
                    log_message("log:disk_regained", step="write")
                return

    def _replace_stored(self) -> None:
        log = self.replica.log
        self._storage.replace(
            log.snapshot,
            HardState(self.replica.term, self.replica.voted_for),
            log.slice(log.snapshot.index, log.last_index),
        )

    async def _compact_if_due(self) -> None:
        log = self.replica.log
        has_many_entries = (
            self.state.index - log.snapshot.index >= self._compact_entries
        )
        if not has_many_entries and self._applied_bytes < _COMPACT_BYTES:
            return
        self._applied_bytes = 0
        self.replica.compact(self.state.dump(), self.state.index)
        await self._write_with_retries(self._replace_stored)
        log_message("log:compacted", index=self.state.index)

    def _resolve_proposal(self, index: int, term: int, answer: Any) -> None:
        proposed_term, future = self._pending_proposals.pop(index, (0, None))
        if future is None or future.done():
            return
        if proposed_term == term:
            future.set_result(answer)
        else:
            future.set_exception(LostLeadershipError())

    def _fail_pending_proposals(self) -> None:
        if self.is_leader or not self._pending_proposals:
            return
        for _, future in self._pending_proposals.values():
            if not future.done():
                future.set_exception(LostLeadershipError())
        self._pending_proposals.clear()


async def _run_in_thread(call: Callable[[], None]) -> None:
    await asyncio.get_running_loop().run_in_executor(None, call)


def _restore(data: bytes, index: int) -> State:
    state = State.load(data) if data else State()
    state.skip_to(index)
    return state
