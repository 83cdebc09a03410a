"""A front's part in finding the requests that end their upstreams."""

import asyncio
import collections
import random
import secrets
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
from eliot import log_message

from ridgesill.app.control import UnavailableError
from ridgesill.core.commands import (
    ClearSuspects,
    Done,
    NoteUpstreamEnd,
    PutFingerprintKey,
)
from ridgesill.core.fleet.messages import Upstream
from ridgesill.core.serving.fingerprints import (
    Fingerprint,
    Fingerprinter,
    Identity,
)
from ridgesill.core.serving.recent_answers import RecentAnswers
from ridgesill.core.state import State
from ridgesill.core.suspects import MIN_ENDS_FOR_QUARANTINE, Suspects

Propose = Callable[[Any, float], Awaitable[Any]]
IsRefused = Callable[[str], Awaitable[bool]]

# After the first request that an upstream cut, until it is looked at: all
# channels to one that ends close within a few milliseconds. Seconds.
_GATHER_SECONDS = 0.03
# How long a proposal looks for a leader before that is logged, in seconds.
_PROPOSE_SECONDS = 2.0
_KEY_BYTES = 16
# Up to how long a front that follows the log waits for another one to draw the
# key, in seconds: all fronts of a new fleet start at once.
_DRAW_SECONDS = 3.0
# What this front has to say and nobody has heard yet; more isn't kept.
_UNTOLD_MOST = 512


@attrs.define(eq=False)
class _End:
    """An upstream that ended, as this front saw it.

    Attributes:
        index: in the log, once it is there.
    """

    upstream: str
    aboard: set[Fingerprint] = attrs.Factory(set)
    index: int = 0


class Quarantine:
    """Refuses requests that were aboard of several upstreams that ended.

    What this front has seen counts here at once, and everywhere once the log
    has it; so it counts while nobody leads, and outlasts every process.

    Args:
        is_refused: returns whether an upstream's address refuses channels.
    """

    def __init__(self, is_refused: IsRefused) -> None:
        self._is_refused = is_refused
        self._fingerprints = Fingerprinter()
        self._answered = RecentAnswers()
        self._loop = asyncio.get_running_loop()
        self._suspects = Suspects()
        self._index = 0
        # Upstreams that cut requests and haven't been looked at yet, by name.
        self._doubted: dict[str, _End] = {}
        # Ends that the state here doesn't have yet.
        self._own: collections.deque[_End] = collections.deque(
            maxlen=_UNTOLD_MOST
        )
        self._served: set[Fingerprint] = set()
        self._untold = asyncio.Event()
        # Whether the log is followed, so that a leader is known.
        self._follows = asyncio.Event()
        self._checks: set[asyncio.Task[None]] = set()

    def apply_state(self, state: State) -> None:
        """Takes what the log says."""
        self._suspects = state.suspects
        self._index = state.index
        if state.index:
            self._follows.set()
        if self._fingerprints.key != state.fingerprint_key:
            self._fingerprints = Fingerprinter(state.fingerprint_key)
        self._drop_told()

    def _drop_told(self) -> None:
        """Forgets ends of this front's own that the state has by now."""
        for end in list(self._own):
            if end.index and end.index <= self._index:
                self._own.remove(end)

    # -- what is refused -----------------------------------------------

    def has_suspects(self) -> bool:
        """Whether anything is held against any request."""
        return bool(self._suspects) or bool(self._own)

    def find_suspect(self, identity: Identity) -> Fingerprint | None:
        """Returns a request's fingerprint if anything is held against it.

        The hash of a whole request, which costs time on the data path, is
        taken only where one with the same path is a suspect.
        """
        target = self._fingerprints.hash_target(identity.target)
        if not self._suspects.has_target(target) and not self._own:
            return None
        fingerprint = self._fingerprints.compute(identity)
        return fingerprint if self.ended_upstreams(fingerprint) else None

    def ended_upstreams(self, fingerprint: Fingerprint) -> set[str]:
        """Returns the upstreams that ended with a request aboard."""
        own = {
            end.upstream
            for end in self._own
            if any(f.content == fingerprint.content for f in end.aboard)
        }
        return own.union(self._suspects.ended_upstreams(fingerprint))

    def is_quarantined(self, fingerprint: Fingerprint) -> bool:
        """Whether a request gets no upstream."""
        return len(self.ended_upstreams(fingerprint)) >= MIN_ENDS_FOR_QUARANTINE

    def count(self) -> int:
        """Returns how many requests get no upstream."""
        return len(self._suspects.quarantined())

    # -- what requests tell --------------------------------------------

    def record_cut(self, upstream: Upstream, identity: Identity) -> None:
        """Notes a request whose answer its upstream broke off."""
        if not self._fingerprints.key:
            return
        if self._answered.is_answered(identity.local_hash(), self._loop.time()):
            return
        fingerprint = self._fingerprints.compute(identity)
        end = self._doubted.get(upstream.name)
        if end is None:
            end = self._doubted[upstream.name] = _End(upstream.name)
            check = asyncio.create_task(self._check(upstream, end))
            self._checks.add(check)
            check.add_done_callback(self._checks.discard)
        end.aboard.add(fingerprint)

    async def _check(self, upstream: Upstream, end: _End) -> None:
        """Counts an end if the upstream is gone as a whole.

        One that only broke an answer off, or was cut off itself, still takes
        channels, or says nothing.
        """
        await asyncio.sleep(_GATHER_SECONDS)
        is_gone = await self._is_refused(upstream.address)
        del self._doubted[upstream.name]
        log_message(
            "upstream:cut_requests",
            upstream=upstream.name,
            peer=upstream.address,
            is_gone=is_gone,
            requests=sorted(f.content for f in end.aboard),
        )
        if is_gone:
            self._own.append(end)
            self._untold.set()

    def record_answered(self, local_hash: int) -> None:
        """Notes a whole answer, which speaks for a request for a while.

        Args:
            local_hash: of the request, as `Identity` takes it.
        """
        self._answered.record(local_hash, self._loop.time())

    def clear_suspect(self, fingerprint: Fingerprint) -> None:
        """Takes back what is held against a request with a whole answer."""
        for end in self._own:
            end.aboard.discard(fingerprint)
        self._served.add(fingerprint)
        self._untold.set()

    # -- telling the log -----------------------------------------------

    async def run(self, propose: Propose) -> None:
        """Tells the log what this front has seen, until cancelled."""
        await self._follows.wait()
        await asyncio.sleep(random.uniform(0.0, _DRAW_SECONDS))
        if not self._fingerprints.key:
            key = secrets.token_bytes(_KEY_BYTES)
            await self._tell(propose, PutFingerprintKey(key))
        while True:
            await self._untold.wait()
            self._untold.clear()
            for end in [end for end in self._own if not end.index]:
                noted = NoteUpstreamEnd(end.upstream, tuple(end.aboard))
                end.index = await self._tell(propose, noted)
                self._drop_told()
            served, self._served = self._served, set()
            if served:
                cleared = ClearSuspects(tuple(served))
                await self._tell(propose, cleared)

    async def _tell(self, propose: Propose, command: Any) -> int:
        """Returns the index in the log, however long that takes."""
        while True:
            try:
                done: Done = await propose(command, _PROPOSE_SECONDS)
            except UnavailableError as error:
                log_message("quarantine:not_told", detail=str(error))
            else:
                return done.index
