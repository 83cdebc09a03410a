"""Drives a voter's replica: syncs its output, sends, then applies."""

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

_TICK = 0.1
_COMPACT_ENTRIES = 1000
# Bytes of applied commands after which a snapshot is made: a routing document
# can be a hundred times a usual command.
_COMPACT_BYTES = 2 * 2**20
# How often a write that the disk refuses is tried again, in seconds.
_RETRY_STORE = 0.2


@codec.register
@attrs.frozen
class ReplicaMessage:
    """A message between replicas, under their voting identities."""

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
    """A proposal that was certainly not appended here."""


class LostLeadershipError(Exception):
    """A proposal that may or may not come to be committed."""


class LogDriver:
    """Owns a replica, its storage and the state made from its log.

    Args:
        storage: the replica's disk.
        send: sends a `ReplicaMessage` towards an identity.
        on_applied: called after entries were applied.
        timing: intervals of the log.
        compact_entries: applied entries after which a snapshot is made.
        run_blocking: runs a storage call; by default on another thread.
        rng: the source of election delays.
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
        self._waiting: dict[int, tuple[int, asyncio.Future[Any]]] = {}
        self._applied_bytes = 0

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads, as far as it knows."""
        return self.replica.role == LEADER

    def receive(self, envelope: ReplicaMessage) -> None:
        """Takes a message for this replica; others are passed over."""
        if envelope.to != self.replica.identity:
            return
        message = codec.decode(envelope.body)
        self._inbox.put_nowait(_Received(envelope.sender, message))

    async def propose(self, command: Any) -> Any:
        """Returns the answer of a command once it is committed and applied.

        Raises:
            NotLeaderError: another replica leads; nothing was appended.
            LostLeadershipError: its fate is unknown; propose it again.
        """
        answer: asyncio.Future[Any] = self._loop.create_future()
        self._inbox.put_nowait(_Proposal(command, answer))
        return await answer

    async def run(self) -> None:
        """Steps the replica until cancelled."""
        while True:
            for item in await self._next_inputs():
                self._step(item)
            self.replica.tick(self._loop.time())
            await self._carry_out(self.replica.take_output())
            self._fail_lost()

    async def _next_inputs(self) -> list[_Proposal | _Received]:
        """Waits for an input or a tick; takes all that has queued up.

        What queues up while a sync runs shares the next one (group commit).
        """
        try:
            first = await asyncio.wait_for(self._inbox.get(), _TICK)
        except TimeoutError:
            return []
        items = [first]
        while not self._inbox.empty():
            items.append(self._inbox.get_nowait())
        return items

    def _step(self, item: _Proposal | _Received) -> None:
        now = self._loop.time()
        if isinstance(item, _Received):
            self.replica.receive(item.message, item.sender, now)
            return
        index = self.replica.propose(item.command, now)
        if index is None:
            if not item.answer.done():
                item.answer.set_exception(NotLeaderError())
            return
        self._waiting[index] = (self.replica.term, item.answer)

    async def _carry_out(self, output: Output) -> None:
        await self._store(output)
        for send in output.messages:
            body = codec.encode(send.message)
            message = ReplicaMessage(self.replica.identity, send.to, body)
            self._send(send.to, message)
        for entry in output.committed:
            self._applied_bytes += len(entry.command)
            answer = self.state.apply(entry)
            self._answer(entry.index, entry.term, answer)
        if output.committed or output.snapshot:
            self._on_applied()
            await self._compact()

    async def _store(self, output: Output) -> None:
        if output.snapshot is not None:
            snapshot = output.snapshot
            await self._insist(self._replace_stored)
            self.state = _restore(snapshot.data, snapshot.index)
            log_message("log:snapshot_received", index=snapshot.index)
        elif output.entries or output.hard_state:
            append = functools.partial(
                self._storage.append, output.hard_state, output.entries
            )
            await self._insist(append)

    async def _insist(self, call: Callable[[], None]) -> None:
        """Has the disk take something, however long it refuses.

        Until then this replica says nothing, so a leader among them is soon
        replaced, and nothing is acknowledged that is not stored.
        """
        failing = False
        while True:
            try:
                await self._run_blocking(call)
            except OSError as error:
                if not failing:
                    log_message(
                        "log:disk_refuses", step="write", detail=str(error)
                    )
                failing = True
                await asyncio.sleep(_RETRY_STORE)
            else:
                if failing:
                    log_message("log:disk_regained", step="write")
                return

    def _replace_stored(self) -> None:
        log = self.replica.log
        self._storage.replace(
            log.snapshot,
            HardState(self.replica.term, self.replica.voted_for),
            log.slice(log.snapshot.index, log.last_index),
        )

    async def _compact(self) -> None:
        log = self.replica.log
        many = self.state.index - log.snapshot.index >= self._compact_entries
        if not many and self._applied_bytes < _COMPACT_BYTES:
            return
        self._applied_bytes = 0
        self.replica.compact(self.state.dump(), self.state.index)
        await self._insist(self._replace_stored)
        log_message("log:compacted", index=self.state.index)

    def _answer(self, index: int, term: int, answer: Any) -> None:
        proposed_term, future = self._waiting.pop(index, (0, None))
        if future is None or future.done():
            return
        if proposed_term == term:
            future.set_result(answer)
        else:
            future.set_exception(LostLeadershipError())

    def _fail_lost(self) -> None:
        if self.is_leader or not self._waiting:
            return
        for _, future in self._waiting.values():
            if not future.done():
                future.set_exception(LostLeadershipError())
        self._waiting.clear()


async def _run_in_thread(call: Callable[[], None]) -> None:
    await asyncio.get_running_loop().run_in_executor(None, call)


def _restore(data: bytes, index: int) -> State:
    state = State.load(data) if data else State()
    state.skip_to(index)
    return state
