"""Detects and refuses requests that end the upstreams that serve them.

All fronts share their observations through the replicated log.
"""

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
HasEnded = Callable[[str], Awaitable[bool]]

# Time from the first request that an upstream cut until the upstream is probed.
# All channels to an upstream that ends close within a few milliseconds.
_PROBE_DELAY_SECONDS = 0.03
# How long a proposal waits for a leader before that is logged and retried.
_PROPOSE_TIMEOUT_SECONDS = 2.0
_KEY_BYTES = 16
# A front waits a random time, up to this, for another front to generate the
# key: all fronts of a new fleet start at once.
_MAX_KEY_DELAY_SECONDS = 3.0
# Ends kept until they are in the log; the oldest are dropped beyond this.
_MAX_UNREPORTED = 512


@attrs.define(eq=False)
class _UpstreamEnd:
    """An upstream that ended, as this front observed it.

    Attributes:
        upstream: name of the upstream.
        aboard: the requests that it served when it ended.
        parts: hashes of prompt parts, with the number of these requests that
            had brought no event yet and contain them.
        index: of the report in the log; 0 until it is there.
    """

    upstream: str
    aboard: set[Fingerprint] = attrs.Factory(set)
    parts: collections.Counter[str] = attrs.Factory(collections.Counter)
    index: int = 0


class Quarantine:
    """Refuses requests that several upstreams served when they ended.

    An end that this front observes counts here at once, so also while the log
    has no leader. It counts at all fronts, and survives restarts, once it is in
    the log.

    Args:
        has_ended: returns whether the upstream at an address has ended.
    """

    def __init__(self, has_ended: HasEnded) -> None:
        self._has_ended = has_ended
        self._fingerprints = Fingerprinter()
        self._recent_answers = RecentAnswers()
        self._loop = asyncio.get_running_loop()
        self._suspects = Suspects()
        self._index = 0
        # Upstreams that cut requests and haven't been probed yet, by name.
        self._unprobed_ends: dict[str, _UpstreamEnd] = {}
        # Ends observed here that aren't in the replicated state yet.
        self._unreported_ends: collections.deque[_UpstreamEnd] = (
            collections.deque(maxlen=_MAX_UNREPORTED)
        )
        self._cleared: set[Fingerprint] = set()
        self._reports_pending = asyncio.Event()
        # Set once this front follows the log, so that a leader is known.
        self._following = asyncio.Event()
        self._probes: set[asyncio.Task[None]] = set()

    def apply_state(self, state: State) -> None:
        """Applies the suspects and the fingerprint key of the state."""
        self._suspects = state.suspects
        self._index = state.index
        if state.index:
            self._following.set()
        if self._fingerprints.key != state.fingerprint_key:
            self._fingerprints = Fingerprinter(state.fingerprint_key)
        self._discard_reported()

    def _discard_reported(self) -> None:
        """Discards the ends observed here that are now in the state."""
        for end in list(self._unreported_ends):
            if end.index and end.index <= self._index:
                self._unreported_ends.remove(end)

    # -- checks --------------------------------------------------------

    def has_suspects(self) -> bool:
        """Whether any request is suspected."""
        return bool(self._suspects) or bool(self._unreported_ends)

    def find_suspect(self, identity: Identity) -> Fingerprint | None:
        """Returns a request's fingerprint if the request is a suspect.

        The hash of a whole request, which costs time on the data path, is
        computed only if a request with the same target is a suspect, or if
        ends observed here aren't in the log yet.
        """
        target = self._fingerprints.hash_target(identity.target)
        if not self._suspects.has_target(target) and not self._unreported_ends:
            return None
        fingerprint = self._fingerprints.compute(identity)
        return fingerprint if self.ended_upstreams(fingerprint) else None

    def ended_upstreams(self, fingerprint: Fingerprint) -> set[str]:
        """Returns the upstreams that ended while they served a request."""
        observed = {
            end.upstream
            for end in self._unreported_ends
            if any(f.content == fingerprint.content for f in end.aboard)
        }
        return observed.union(self._suspects.ended_upstreams(fingerprint))

    def is_quarantined(self, fingerprint: Fingerprint) -> bool:
        """Whether a request is refused because too many upstreams ended."""
        return len(self.ended_upstreams(fingerprint)) >= MIN_ENDS_FOR_QUARANTINE

    def count(self) -> int:
        """Returns the number of requests in quarantine."""
        return len(self._suspects.quarantined())

    # -- observations --------------------------------------------------

    def record_cut(
        self, upstream: Upstream, identity: Identity, *, has_begun: bool
    ) -> None:
        """Records a request whose channel ended before its answer did.

        Args:
            upstream: that served the request.
            identity: of the request.
            has_begun: whether the upstream had sent an event.
        """
        if not self._fingerprints.key:
            return
        end = self._find_end(upstream)
        if not has_begun:
            end.parts.update(map(self._fingerprints.hash_part, identity.parts))
        if self._recent_answers.is_answered(
            identity.local_hash(), self._loop.time()
        ):
            return
        end.aboard.add(self._fingerprints.compute(identity))

    def _find_end(self, upstream: Upstream) -> _UpstreamEnd:
        """Returns the possible end of an upstream, which is then probed."""
        end = self._unprobed_ends.get(upstream.name)
        if end is None:
            end = self._unprobed_ends[upstream.name] = _UpstreamEnd(
                upstream.name
            )
            probe = asyncio.create_task(self._probe(upstream, end))
            self._probes.add(probe)
            probe.add_done_callback(self._probes.discard)
        return end

    async def is_gone(self, upstream: Upstream) -> bool:
        """Whether an upstream that has just closed a channel has ended."""
        await asyncio.sleep(_PROBE_DELAY_SECONDS)
        return await self._has_ended(upstream.address)

    async def _probe(self, upstream: Upstream, end: _UpstreamEnd) -> None:
        """Counts an end if the upstream's address refuses connections.

        An upstream that only cut an answer still accepts connections, and one
        that is partitioned from this front doesn't respond at all.
        """
        is_gone = await self.is_gone(upstream)
        del self._unprobed_ends[upstream.name]
        log_message(
            "upstream:cut_requests",
            upstream=upstream.name,
            peer=upstream.address,
            is_gone=is_gone,
            requests=sorted(f.content for f in end.aboard),
            parts=end.parts,
        )
        if is_gone and end.aboard:
            self._unreported_ends.append(end)
            self._reports_pending.set()

    def record_answered(self, local_hash: int) -> None:
        """Records a complete answer.

        For a while, its request isn't suspected when an upstream ends.

        Args:
            local_hash: of the request, as `Identity.local_hash` returns it.
        """
        self._recent_answers.record(local_hash, self._loop.time())

    def clear_suspect(self, fingerprint: Fingerprint) -> None:
        """Clears a request of suspicion because it has a complete answer."""
        for end in self._unreported_ends:
            end.aboard.discard(fingerprint)
        self._cleared.add(fingerprint)
        self._reports_pending.set()

    # -- reports to the log --------------------------------------------

    async def run(self, propose: Propose) -> None:
        """Reports this front's observations to the log, until cancelled.

        Args:
            propose: proposes a command within a time-out, in seconds.
        """
        await self._following.wait()
        await asyncio.sleep(random.uniform(0.0, _MAX_KEY_DELAY_SECONDS))
        if not self._fingerprints.key:
            key = secrets.token_bytes(_KEY_BYTES)
            await self._report(propose, PutFingerprintKey(key))
        while True:
            await self._reports_pending.wait()
            self._reports_pending.clear()
            for end in [end for end in self._unreported_ends if not end.index]:
                note_end = NoteUpstreamEnd(end.upstream, tuple(end.aboard))
                end.index = await self._report(propose, note_end)
                self._discard_reported()
            cleared, self._cleared = self._cleared, set()
            if cleared:
                clear = ClearSuspects(tuple(cleared))
                await self._report(propose, clear)

    async def _report(self, propose: Propose, command: Any) -> int:
        """Proposes a command until it is in the log, and returns its index."""
        while True:
            try:
                done: Done = await propose(command, _PROPOSE_TIMEOUT_SECONDS)
            except UnavailableError as error:
                log_message("quarantine:not_told", detail=str(error))
            else:
                return done.index
