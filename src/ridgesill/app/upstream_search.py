"""How one request finds the upstream that it goes to."""

import asyncio
import math
from collections.abc import Callable, Collection

import attrs
from eliot import log_message

from ridgesill.app.front import Front
from ridgesill.core.fleet.messages import (
    COPY_IS_SOONER,
    READY,
    ArtifactReady,
    ReadingEnded,
    Upstream,
    WantArtifact,
)
from ridgesill.core.serving.choice import Requirements
from ridgesill.core.serving.front_limits import LimitDraws
from ridgesill.core.serving.rank import rank_request
from ridgesill.core.serving.rates import weigh_priority
from ridgesill.ports.dialect import NORMAL_PRIORITY, RequestFacts

# Seconds after which a refused client may come back, unless more is known.
_COME_BACK = 0.5
# A want for an artifact leaves this much of the time for the answer, seconds.
_ANSWER_SECONDS = 0.3
# Seconds after which a client that was refused for overload may come back; most
# bursts and losses are over after a few.
_OVERLOAD_AFTER = 1.0
# A front that has just started, or whose fleet's owner has, soon learns the
# routes and the upstreams: upstreams are heard at least each 1.2 s. A request
# waits for that no longer than this, in seconds, and no longer than this share
# of its time; most clients that are refused have no second attempt left then.
_LEARN_SECONDS = 1.0
_LEARN_SHARE = 0.3
# A request waits no longer than this for a load, in seconds: clients give a
# stream up after two seconds without an event at the least.
_LOAD_WAIT_MOST = 1.8
# Nor longer than this share of its time: a client that is refused comes back
# once, and should learn before half of its time is gone that it is in vain.
_LOAD_WAIT_SHARE = 0.22
_MOST_WANTS = 3


@attrs.frozen
class Refusal:
    """Why a request has not run and will not.

    Attributes:
        reason: for logs and metrics.
        after: seconds after which the client may come back.
    """

    reason: str
    after: float = _COME_BACK
    status: int = 503


@attrs.frozen
class SearchTerms:
    """What a request asks of its upstream, once its route is known.

    Attributes:
        goal: seconds from its arrival within which its answer is in time.
        arrived_at: when it arrived, on the loop's clock.
        patience: seconds that it may take in all.
        deadline: when its time is over, on the loop's clock.
        priority: 0 goes first.
    """

    service: str
    goal: float
    arrived_at: float
    patience: float
    deadline: float
    priority: int = 0


class UpstreamSearch:
    """Finds upstreams for one request, and tells the owner of its prompt.

    Args:
        front: what all requests share.
        facts: what the client says of the request.
    """

    def __init__(self, front: Front, facts: RequestFacts) -> None:
        self.waited = 0.0
        # Seconds until the first event that the owner foretold last; 0 without
        # its word.
        self.foretold = 0.0
        # Whose choice the upstream was that was found last, for the log.
        self.chosen_by = ""
        self.draws = LimitDraws(front.limits)
        self._front = front
        self._facts = facts
        self._terms = SearchTerms("", 0.0, 0.0, 0.0, 0.0)
        self._loop = asyncio.get_running_loop()
        self._tried: Collection[str] = ()
        self._wants = 0
        # Whether the owner is being asked; it may count the prompt already.
        self._is_asking = False
        # Where the owner counts this prompt as not yet read, and how long the
        # reading takes there as far as it knows.
        self._reading_at = ""
        self._read_seconds = 0.0

    def begin(self, terms: SearchTerms) -> None:
        """Takes what the request's route says."""
        self._terms = terms
        self.draws.weight = weigh_priority(terms.priority)

    def wanted(self) -> Requirements:
        """Returns what the upstream must hold."""
        name = self._terms.service
        service = self._front.table.services.get(name)
        if service is None or service.engine is None:
            return Requirements(name)
        artifact = self._facts.artifact
        return Requirements(
            name, artifact, self._front.versions.get(artifact, 0)
        )

    async def find(
        self, tried: Collection[str], *, is_new: bool
    ) -> Upstream | Refusal:
        """Returns the upstream that the request should go to next.

        Args:
            tried: upstreams that it has gone to.
            is_new: whether nothing of its answer has been sent.
        """
        self._tried = tried
        for _ in range(_MOST_WANTS):
            found = await self._find_once(is_new=is_new)
            if isinstance(found, Refusal) or self.takes_requests(found.name):
                return found
            # What it said while the owner was asked counts more than the
            # owner's word, or this front's own of before.
        return self._refuse_unavailable() or Refusal("no_upstream")

    def takes_requests(self, upstream: str) -> bool:
        """Whether an upstream wants this request, by its own word."""
        now = self._loop.time()
        if not self._front.chooser.accepts_requests(upstream, now):
            return False
        return self.draws.is_allowed(upstream, now)

    def _refuse_unavailable(self) -> Refusal | None:
        """Returns a refusal where upstreams say that they take no more."""
        if resting := self._refuse_resting():
            return resting
        closed = self.draws.list_denied()
        if not closed:
            return None
        now = self._loop.time()
        limits = self._front.limits
        log_message(
            "request:limited",
            request=self._facts.request,
            limits={name: limits.allowed_rate(name, now) for name in closed},
            **limits.rates.describe_decision(closed[0], now),
        )
        return Refusal("limited", limits.rates.retry_after_seconds())

    def _refuse_limited(self) -> Refusal | None:
        """Returns a refusal where the limits of all upstreams are used up."""
        if not self._front.limits.known:
            return None
        now = self._loop.time()
        staying = [
            upstream
            for upstream in self._front.chooser.view.ready_upstreams(
                self._terms.service
            )
            if self._front.chooser.accepts_requests(upstream.name, now)
        ]
        if not self.draws.are_all_denied(staying, now):
            return None
        return self._refuse_unavailable()

    def _choose(self, wanted: Requirements) -> Upstream | None:
        now = self._loop.time()
        return self._front.chooser.choose(wanted, self._tried, now, self.draws)

    def _refuse_resting(self) -> Refusal | None:
        """Returns a refusal until the first upstream is back that rests.

        None while one of the service takes requests.
        """
        now = self._loop.time()
        service = self._terms.service
        seconds = self._front.chooser.seconds_until_available(service, now)
        if not seconds:
            return None
        # Clients are told hundredths of seconds; none should be early.
        return Refusal("resting", math.ceil(100 * seconds) / 100)

    async def _find_once(self, *, is_new: bool) -> Upstream | Refusal:
        self.chosen_by = "front"
        tried = self._tried
        wanted = self.wanted()
        if not tried and not self._are_upstreams_known():
            await self.learn(self._are_upstreams_known)
        if wanted.artifact and is_new and self._is_refused():
            return Refusal("overload", _OVERLOAD_AFTER)
        if limited := self._refuse_limited():
            return limited
        chosen = self._choose(wanted)
        if chosen is None and (resting := self._refuse_resting()):
            return resting
        if not wanted.artifact:
            return (
                chosen or self._refuse_unavailable() or Refusal("no_upstream")
            )
        if chosen is None:
            return await self._want(wanted)
        answer = await self._ask_assignment(wanted)
        if answer is None:
            return chosen
        if answer.reason == COPY_IS_SOONER and self._load_patience() > 0:
            return await self._want(wanted)
        return self._take_answer(wanted, answer) or chosen

    async def learn(self, is_known: Callable[[], bool]) -> None:
        """Waits a little until something is known."""
        began = self._loop.time()
        seconds = _LEARN_SECONDS
        if self._facts.patience:
            seconds = min(seconds, self._facts.patience * _LEARN_SHARE)
        while not is_known():
            left = began + seconds - self._loop.time()
            if left <= 0 or not await self._front.learned.wait(left):
                break
        log_message(
            "request:learned",
            request=self._facts.request,
            known=is_known(),
            version=self._front.table.version,
            upstreams=len(self._front.fleet.view.upstreams),
            seconds=round(self._loop.time() - began, 4),
        )

    def _are_upstreams_known(self) -> bool:
        view = self._front.chooser.view
        return bool(view.ready_upstreams(self._terms.service))

    def _is_refused(self) -> bool:
        """Whether a request that no engine has seen is one too many."""
        if self._tried:
            return False
        front = self._front
        service = self._terms.service
        share = front.admission(service).refused_share(
            front.chooser.load(service), self._terms.goal, self._loop.time()
        )
        return front.rng.random() < share

    # -- the owner's word ----------------------------------------------

    def _make_want(
        self, wanted: Requirements, patience: float, *, is_held: bool
    ) -> WantArtifact:
        now = self._loop.time()
        chooser = self._front.chooser
        avoid = {
            *self._tried,
            *chooser.list_unusable(self._terms.service, now),
            *self.draws.list_denied(),
        }
        return WantArtifact(
            wanted.service,
            wanted.artifact,
            wanted.version,
            tuple(avoid),
            patience,
            chooser.data_centre,
            self._goal_at() - now,
            self._facts.request,
            self._facts.prompt_tokens,
            self._facts.answer_tokens,
            is_held,
        )

    def _goal_at(self) -> float:
        return self._terms.arrived_at + self._terms.goal

    async def _ask_assignment(
        self, wanted: Requirements
    ) -> ArtifactReady | None:
        """Returns what the owner says of the holders, if it does at once."""
        want = self._make_want(wanted, 0.0, is_held=True)
        self._is_asking = True
        answer = await self._front.fleet.request_holder(want)
        self._is_asking = False
        return answer

    def _take_answer(
        self, wanted: Requirements, answer: ArtifactReady
    ) -> Upstream | None:
        """Returns the upstream of an owner's answer, unless it has left."""
        view = self._front.chooser.view
        upstream = view.upstreams.get(answer.upstream)
        if upstream is None or upstream.state != READY:
            return None
        if not self.takes_requests(upstream.name):
            return None
        upstream.resident[wanted.artifact] = answer.version
        self._read_seconds = answer.read_seconds
        self.foretold = answer.first_seconds
        self._reading_at = upstream.name
        self.chosen_by = "owner"
        return upstream

    async def _want(self, wanted: Requirements) -> Upstream | Refusal:
        """Has the owner bring what the request needs, and waits for it."""
        while self._wants < _MOST_WANTS:
            self._wants += 1
            patience = self._load_patience()
            if patience <= 0:
                return Refusal("no_time_to_load")
            answer = await self._want_once(wanted, patience)
            upstream = self._take_answer(wanted, answer)
            if upstream is not None:
                return upstream
            chosen = self._choose(wanted)
            if chosen is not None:
                return chosen
            if not answer.upstream:
                return Refusal(answer.reason or "not_loaded", answer.after)
        return Refusal("not_loaded")

    def _load_patience(self) -> float:
        """Returns how much longer the request may wait for a load."""
        terms = self._terms
        left = terms.deadline - self._loop.time() - _ANSWER_SECONDS
        most = min(terms.patience * _LOAD_WAIT_SHARE, _LOAD_WAIT_MOST)
        return min(left, most - self.waited)

    async def _want_once(
        self, wanted: Requirements, patience: float
    ) -> ArtifactReady:
        asked_at = self._loop.time()
        self._is_asking = True
        answer = await self._front.fleet.request_artifact(
            self._make_want(wanted, patience, is_held=False)
        )
        self._is_asking = False
        took = self._loop.time() - asked_at
        self.waited += took
        log_message(
            "request:want",
            request=self._facts.request,
            artifact=wanted.artifact,
            version=wanted.version,
            upstream=answer.upstream,
            reason=answer.reason,
            seconds=round(took, 4),
        )
        return answer

    # -- the prompt at an engine ---------------------------------------

    def rank(self, now: float) -> int:
        """Returns the request's order among those that an engine has yet."""
        if not self._facts.artifact:
            return NORMAL_PRIORITY
        reading = self._front.reading(self._terms.service)
        seconds = self._read_seconds
        if not self._reading_at or not seconds:
            seconds = reading.estimate_seconds(self._facts.prompt_tokens)
        return rank_request(seconds, self._goal_at() - now)

    def note_reading_ended(
        self,
        *,
        was_read: bool,
        failed: bool = False,
        unreachable: bool = False,
    ) -> None:
        """Tells the owner, once, what became of the prompt at an engine.

        Args:
            was_read: whether its first event has come.
            failed: whether the engine failed it.
            unreachable: whether it failed before anything was sent.
        """
        if self._reading_at:
            upstream, self._reading_at = self._reading_at, ""
            self._front.fleet.report_reading_ended(
                ReadingEnded(
                    self._facts.request,
                    upstream,
                    was_read,
                    failed,
                    unreachable,
                )
            )

    def abandon(self) -> None:
        """Tells the owner, if it is being asked, not to count the prompt."""
        if self._is_asking:
            self._is_asking = False
            ended = ReadingEnded(self._facts.request, "", False)
            self._front.fleet.report_reading_ended(ended)
