"""Detects and refuses requests that end the upstreams that serve them.

Either a request does so as a whole, or a part of its prompt. All fronts share
their observations through the replicated log.
"""

import asyncio
import collections
import random
import secrets
from collections.abc import Awaitable, Callable, Collection
from typing import Any

import attrs
from eliot import log_message

from ridgesill.app.control import UnavailableError
from ridgesill.app.quarantine_trials import Held, QuarantineTrials
from ridgesill.core.commands import (
    ClearParts,
    ClearSuspects,
    Done,
    NoteUpstreamEnd,
    PutFingerprintKey,
    TrialAnswer,
)
from ridgesill.core.fleet.messages import Upstream
from ridgesill.core.harmful_parts import (
    HarmfulParts,
    PartSighting,
    SuspectPart,
)
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
PROBE_DELAY_SECONDS = 0.03
# How long a proposal waits for a leader before that is logged and retried.
_PROPOSE_TIMEOUT_SECONDS = 2.0
_KEY_BYTES = 16
# A front waits a random time, up to this, for another front to generate the
# key: all fronts of a new fleet start at once.
_MAX_KEY_DELAY_SECONDS = 3.0
# Ends kept until they are in the log; the oldest are dropped beyond this.
_MAX_UNREPORTED = 512
# A front waits a random time, up to this, before it clears parts in the log:
# all fronts that have answered on a part learn at once that it is suspected.
_MAX_CLEAR_DELAY_SECONDS = 0.1
# Time in quarantine before the first trial of a part, and from it to the second
# one, in seconds.
_PART_TRIALS = (30.0, 300.0)
# The same for a request that shares all its ends with another one. A request
# with an end of its own is never tried.
_REQUEST_TRIALS = (0.5, 2.0)
# How long an answer counts as evidence that a request is harmless, in seconds.
# This is longer than a crashed upstream takes to return, and short enough that
# a request that crashes a newly deployed version isn't considered harmless.
_REQUEST_RETENTION_SECONDS = 10.0
# The same for a part of prompts. This is longer than upstreams take to return
# that one part has ended together.
_PART_RETENTION_SECONDS = 20.0
# How many answered requests and parts are remembered.
_MAX_ANSWERED_REQUESTS = 1024
_MAX_ANSWERED_PARTS = 4096
# Parts of a request that are counted, so that no request fills the log.
_MAX_PARTS = 64


@attrs.define(eq=False)
class _UpstreamEnd:
    """An upstream that ended, as this front observed it.

    Attributes:
        upstream: name of the upstream.
        aboard: the requests that it served when it ended.
        sightings: prompt parts of the requests that had brought no event.
        index: of the report in the log; 0 until it is there.
    """

    upstream: str
    aboard: set[Fingerprint] = attrs.Factory(set)
    sightings: set[PartSighting] = attrs.Factory(set)
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
        self._answered_requests: RecentAnswers[int] = RecentAnswers(
            _REQUEST_RETENTION_SECONDS, _MAX_ANSWERED_REQUESTS
        )
        self._answered_parts: RecentAnswers[str] = RecentAnswers(
            _PART_RETENTION_SECONDS, _MAX_ANSWERED_PARTS
        )
        self._loop = asyncio.get_running_loop()
        self._suspects = Suspects()
        self._held_requests: dict[str, Held] = {}
        self._parts_in_log = HarmfulParts()
        # The parts in the log, with what isn't reported yet.
        self._parts = HarmfulParts()
        self._cleared_parts: set[str] = set()
        # Suspected parts, with their ends, that were compared with the parts
        # answered on here.
        self._checked_parts: set[tuple[str, tuple[str, ...]]] = set()
        self._trials = QuarantineTrials()
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
        self._parts_in_log = state.harmful_parts
        self._judge_parts()
        self._clear_answered_parts()
        self._held_requests = self._hold_requests()
        held_parts = map(hold_part, self._parts.quarantined())
        self._trials.watch(
            (*held_parts, *self._held_requests.values()), self._loop.time()
        )

    def _hold_requests(self) -> dict[str, Held]:
        """Returns how requests are held that are in quarantine as a whole.

        Returns:
            By the hash of their content.
        """
        quarantined = self._suspects.quarantined()
        if not quarantined:
            return {}
        ambiguous = self._suspects.list_ambiguous()
        held = {}
        for suspect in quarantined:
            content = suspect.fingerprint.content
            after = _REQUEST_TRIALS if content in ambiguous else ()
            held[content] = Held(content, suspect.trials, after)
        return held

    def _judge_parts(self) -> None:
        """Combines the parts in the log with what isn't reported yet."""
        if not (self._parts_in_log or self._parts or self._unreported_ends):
            return
        self._parts = HarmfulParts(self._parts_in_log)
        for end in self._unreported_ends:
            if end.sightings:
                self._parts.record_end(end.upstream, end.sightings)
        self._parts.clear(self._cleared_parts)

    def _clear_answered_parts(self) -> None:
        """Clears the suspected parts that were answered on here recently.

        Hashing all recent parts takes milliseconds, so that is done only after
        an end has been counted against a part.
        """
        suspected = {(suspect.part, suspect.ends) for suspect in self._parts}
        if suspected <= self._checked_parts:
            self._checked_parts = suspected
            return
        self._checked_parts = suspected
        now = self._loop.time()
        for name in self._answered_parts.list_answered(now):
            part = self._fingerprints.hash_part(name)
            if self._parts.find(part) is not None:
                self._clear_part(part)

    def _clear_part(self, part: str) -> None:
        self._cleared_parts.add(part)
        self._parts.clear([part])
        for end in self._unreported_ends:
            end.sightings = {s for s in end.sightings if s.part != part}
        self._reports_pending.set()

    def _discard_reported(self) -> None:
        """Discards the ends observed here that are now in the state."""
        for end in list(self._unreported_ends):
            if end.index and end.index <= self._index:
                self._unreported_ends.remove(end)

    # -- checks --------------------------------------------------------

    def has_suspects(self) -> bool:
        """Whether any request is suspected as a whole."""
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

    def count_parts(self) -> int:
        """Returns the number of prompt parts in quarantine."""
        return len(self._parts.quarantined())

    def find_held_request(self, fingerprint: Fingerprint) -> Held:
        """Returns how a request is held that is in quarantine as a whole."""
        content = fingerprint.content
        # Others are held by ends that aren't in the log yet.
        return self._held_requests.get(content) or Held(content, 0, ())

    def find_harmful_part(self, parts: Collection[str]) -> SuspectPart | None:
        """Returns the first part in quarantine, or None.

        Args:
            parts: ids of the parts that a request shares with others.
        """
        if not self._parts:
            return None
        for name in parts:
            suspect = self._parts.find(self._fingerprints.hash_part(name))
            if suspect is not None and suspect.is_quarantined:
                return suspect
        return None

    def takes_trial(self, held: Held) -> bool:
        """Whether a request in quarantine is sent as a trial."""
        now = self._loop.time()
        is_taken = self._trials.take(held, now)
        if self._trials.wanted:
            self._reports_pending.set()
        return is_taken

    def return_trial(self, held: Held) -> None:
        """Lets another request be the trial, since this one showed nothing."""
        self._trials.grant(held.key, self._loop.time())

    def seconds_until_trial(self, held: Held) -> float:
        """Returns the seconds until what is in quarantine may be tried."""
        return self._trials.seconds_left(held, self._loop.time())

    # -- observations --------------------------------------------------

    def record_cut(
        self, upstream: Upstream, identity: Identity, *, has_begun: bool
    ) -> None:
        """Records a request whose channel ended before its answer did.

        Args:
            upstream: that served the request.
            identity: of the request.
            has_begun: whether the upstream had sent an event, so that the
                request isn't what ended it.
        """
        if not self._fingerprints.key:
            return
        end = self._find_end(upstream)
        if has_begun:
            return
        end.sightings |= self._list_sightings(identity)
        if self._answered_requests.is_answered(
            identity.local_hash(), self._loop.time()
        ):
            return
        end.aboard.add(self._fingerprints.compute(identity))

    def _list_sightings(self, identity: Identity) -> set[PartSighting]:
        """Returns the parts of a request that may have ended its upstream."""
        now = self._loop.time()
        parts = identity.parts[:_MAX_PARTS]
        unanswered = [
            part
            for part in parts
            if not self._answered_parts.is_answered(part, now)
        ]
        if not unanswered:
            return set()
        request = self._fingerprints.compute(identity).content
        return {
            PartSighting(self._fingerprints.hash_part(name), request)
            for name in unanswered
        }

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

    async def _probe(self, upstream: Upstream, end: _UpstreamEnd) -> None:
        """Counts an end if the upstream's address refuses connections.

        An upstream that only cut an answer still accepts connections, and one
        that is partitioned from this front doesn't respond at all.
        """
        await asyncio.sleep(PROBE_DELAY_SECONDS)
        is_gone = await self._has_ended(upstream.address)
        del self._unprobed_ends[upstream.name]
        log_message(
            "upstream:cut_requests",
            upstream=upstream.name,
            peer=upstream.address,
            is_gone=is_gone,
            requests=sorted(f.content for f in end.aboard),
            parts=sorted({s.part for s in end.sightings}),
        )
        if is_gone and (end.aboard or end.sightings):
            self._unreported_ends.append(end)
            self._judge_parts()
            self._reports_pending.set()

    def record_answered(self, local_hash: int) -> None:
        """Records a complete answer.

        For a while, its request isn't suspected when an upstream ends.

        Args:
            local_hash: of the request, as `Identity.local_hash` returns it.
        """
        self._answered_requests.record(local_hash, self._loop.time())

    def record_parts_answered(self, parts: Collection[str]) -> None:
        """Records that an upstream has begun to answer on parts.

        That clears those that are suspected, for a while and at all fronts.

        Args:
            parts: ids of the parts.
        """
        now = self._loop.time()
        for name in parts:
            self._answered_parts.record(name, now)
        if not self._parts:
            return
        for part in map(self._fingerprints.hash_part, parts):
            if self._parts.find(part) is not None:
                self._clear_part(part)

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
                note_end = NoteUpstreamEnd(
                    end.upstream, tuple(end.aboard), tuple(end.sightings)
                )
                end.index = await self._report(propose, note_end)
                self._discard_reported()
            cleared, self._cleared = self._cleared, set()
            if cleared:
                clear = ClearSuspects(tuple(cleared))
                await self._report(propose, clear)
            await self._report_cleared_parts(propose)
            await self._ask_for_trials(propose)

    async def _report_cleared_parts(self, propose: Propose) -> None:
        """Clears parts in the log, unless another front has meanwhile."""
        if not self._cleared_parts:
            return
        await asyncio.sleep(random.uniform(0.0, _MAX_CLEAR_DELAY_SECONDS))
        cleared = self._cleared_parts
        known = {p for p in cleared if self._parts_in_log.find(p) is not None}
        if known:
            log_message("quarantine:parts_cleared", parts=sorted(known))
            await self._report(propose, ClearParts(tuple(sorted(known))))
        cleared -= known
        self._cleared_parts = {
            part for part in cleared if self._is_unreported(part)
        }

    def _is_unreported(self, part: str) -> bool:
        """Whether an end that isn't in the log yet counts against a part."""
        return any(
            sighting.part == part
            for end in self._unreported_ends
            for sighting in end.sightings
        )

    async def _ask_for_trials(self, propose: Propose) -> None:
        wanted, self._trials.wanted = self._trials.wanted, set()
        for command in wanted:
            try:
                answer: TrialAnswer = await propose(
                    command, _PROPOSE_TIMEOUT_SECONDS
                )
            except UnavailableError as error:
                log_message("quarantine:not_told", detail=str(error))
                continue
            log_message(
                "quarantine:trial",
                fingerprint=command.key,
                number=command.number,
                granted=answer.granted,
            )
            if answer.granted:
                self._trials.grant(command.key, self._loop.time())

    async def _report(self, propose: Propose, command: Any) -> int:
        """Proposes a command until it is in the log, and returns its index."""
        while True:
            try:
                done: Done = await propose(command, _PROPOSE_TIMEOUT_SECONDS)
            except UnavailableError as error:
                log_message("quarantine:not_told", detail=str(error))
            else:
                return done.index


def hold_part(suspect: SuspectPart) -> Held:
    """Returns how a part in quarantine is held."""
    return Held(suspect.part, suspect.trials, _PART_TRIALS)
