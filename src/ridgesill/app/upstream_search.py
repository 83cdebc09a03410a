"""Finds the upstream for a request, with the owner's help if necessary."""

import asyncio
import math
from collections.abc import Callable, Collection

import attrs
from eliot import log_message

from ridgesill.app.front import Front
from ridgesill.app.slot_client import Slot, SlotEnd
from ridgesill.app.upstream_connections import list_connected
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

# A request that waits for an artifact keeps this much of its time for the
# answer.
_ANSWER_RESERVE_SECONDS = 0.3
# Retry delay for clients that are refused for overload. Most bursts, and most
# losses of upstreams, are over after a few seconds.
_OVERLOAD_RETRY_SECONDS = 1.0
# After a start of this front or of the fleet's owner, the routes and upstreams
# become known soon: upstreams send heartbeats at least each 1.2 s. A request
# waits for that up to this time, and up to this share of the client's patience:
# after a longer wait, most refused clients have no time for another attempt.
_DISCOVERY_SECONDS = 1.0
_DISCOVERY_SHARE = 0.3
# A request waits up to this long for an artifact to be loaded: the least
# patient clients abandon a stream after two seconds without an event.
_MAX_LOAD_WAIT_SECONDS = 1.8
# It also waits only up to this share of its time: a refused client retries
# once, and should know before half of its time has passed that both failed.
_LOAD_WAIT_SHARE = 0.22
# A refused client waits for at most this share of its time before its retry.
_RETRY_SHARE = 1 / 3
# Reason of refusals if no slot of a brittle upstream is free.
NO_SLOT = "no_slot"
# Shortest and longest retry delay after such a refusal, in seconds.
_SLOT_RETRY_SECONDS = (0.25, 1.0)
# Loads that the owner is asked for on behalf of one request.
_MAX_WANTS = 3


@attrs.frozen
class Refusal:
    """Why a request is refused without having run.

    Attributes:
        reason: for logs and metrics.
        retry_after: seconds after which the client may retry; 0 to name none,
            None if there is no particular delay.
        status: HTTP status of the answer.
    """

    reason: str
    retry_after: float | None = None
    status: int = 503


@attrs.frozen
class SearchTerms:
    """Constraints on the search, from the route and the client.

    Attributes:
        service: the service that the request goes to.
        goal: seconds from the arrival until the answer is late.
        arrived_at: when the request arrived, on the loop's clock.
        patience: seconds that the request may take in total.
        deadline: when the request times out, on the loop's clock.
        priority: 0 goes first.
        is_repeatable: whether the request may run twice.
        customer: the customer that sent it; empty if callers need no keys.
    """

    service: str
    goal: float
    arrived_at: float
    patience: float
    deadline: float
    priority: int = 0
    is_repeatable: bool = False
    customer: str = ""


class UpstreamSearch:
    """Finds upstreams for one request, and reports its prompt to the owner.

    The owner of the fleet assigns prompts to engines and has artifacts loaded.

    Args:
        front: the state that all requests of the front share.
        facts: what the client states about the request.
    """

    def __init__(self, front: Front, facts: RequestFacts) -> None:
        self.waited_seconds = 0.0
        # Seconds until the first event, as the owner last predicted; 0 without
        # a prediction.
        self.predicted_first_seconds = 0.0
        # Who chose the upstream that was found last, for the log: "front" or
        # "owner".
        self.chosen_by = ""
        self.limit_draws = LimitDraws(front.limits)
        # The software version at which the stream must go on; None for any.
        self.software: str | None = None
        # The slot that the request holds; None where it needs none.
        self._slot: Slot | None = None
        self._front = front
        self._facts = facts
        self._terms = SearchTerms("", 0.0, 0.0, 0.0, 0.0)
        self._loop = asyncio.get_running_loop()
        self._tried: Collection[str] = ()
        self._want_count = 0
        # Whether a call to the owner is outstanding; the owner may count the
        # prompt already.
        self._is_call_pending = False
        # The engine at which the owner counts this prompt as not yet
        # prefilled, and the owner's estimate of the prefill, in seconds.
        self._assigned_engine = ""
        self._prefill_seconds = 0.0

    def set_terms(self, terms: SearchTerms) -> None:
        """Sets the constraints, once the request's route is known."""
        self._terms = terms
        self.limit_draws.weight = weigh_priority(terms.priority)

    def requirements(self) -> Requirements:
        """Returns what the request requires of its upstream."""
        name = self._terms.service
        service = self._front.table.services.get(name)
        if service is None or service.engine is None:
            return Requirements(name, software=self.software)
        artifact = self._facts.artifact
        version = self._front.versions.get(artifact, 0)
        return Requirements(name, artifact, version, self.software)

    async def find(
        self, tried: Collection[str], *, is_new: bool
    ) -> Upstream | Refusal:
        """Returns the next upstream for the request, or why there is none.

        Args:
            tried: upstreams that the request has been sent to.
            is_new: whether no part of the answer has been sent to the client.
        """
        self._tried = tried
        for _ in range(_MAX_WANTS):
            found = await self._find_candidate(is_new=is_new)
            if isinstance(found, Refusal):
                return found
            if self.accepts_requests(found.name):
                return await self._acquire_slot(found)
            # The upstream stated meanwhile that it accepts no requests; that
            # overrides the owner's choice and this front's earlier one.
        return self._refuse_if_unavailable() or Refusal("no_upstream")

    def accepts_requests(self, upstream: str) -> bool:
        """Whether an upstream's pauses and limits allow this request."""
        now = self._loop.time()
        if not self._front.chooser.accepts_requests(upstream, now):
            return False
        return self.limit_draws.is_allowed(upstream, now)

    # -- slots of brittle upstreams ------------------------------------

    async def _acquire_slot(self, found: Upstream) -> Upstream | Refusal:
        """Returns the upstream at which the request has a slot."""
        slots = self._front.slots
        if not slots.needs_permit(self._terms.service):
            return found
        upstreams = self._list_alternatives(found)
        self._slot = await slots.acquire(
            upstreams,
            self._terms.priority,
            self._seconds_left(),
            list_connected(
                self._front,
                upstreams,
                is_repeatable=self._terms.is_repeatable,
            ),
        )
        if self._slot is None:
            self.report_reading_ended(was_read=False)
            return Refusal(NO_SLOT, self._slot_retry_seconds())
        return self._slot.upstream

    def _slot_retry_seconds(self) -> float | None:
        """Returns a random retry delay, unless the service has a calendar.

        Callers that are refused together would otherwise return together.
        """
        if self._front.service_admission.is_controlled(self._terms.service):
            return None
        return self._front.rng.uniform(*_SLOT_RETRY_SECONDS)

    def _list_alternatives(self, found: Upstream) -> list[Upstream]:
        """Returns the upstreams that may get the request, the best first."""
        required = self.requirements()
        if required.artifact:
            return [found]
        chooser = self._front.chooser
        now = self._loop.time()
        return [
            found,
            *(
                upstream
                for upstream in chooser.candidates(required)
                if upstream.name != found.name
                and upstream.name not in self._tried
                and not upstream.is_ejected
                and not chooser.outcomes.is_ejected(upstream.name, now)
                and not chooser.reachability.is_unreachable(upstream.name)
                and self.accepts_requests(upstream.name)
            ),
        ]

    @property
    def has_permit(self) -> bool:
        """Whether the owner has granted the slot of the last attempt."""
        return self._slot is not None and self._slot.number > 0

    def end_slot(self, end: SlotEnd) -> None:
        """Gives the slot of the last attempt back, if there is one."""
        slot, self._slot = self._slot, None
        if slot is not None:
            self._front.slots.end(slot, end)

    # -- refusals ------------------------------------------------------

    def _refuse_if_unavailable(self) -> Refusal | None:
        """Returns a refusal if all upstreams rest or deny the request."""
        if resting_refusal := self._refuse_if_resting():
            return resting_refusal
        denied = self.limit_draws.list_denied()
        if not denied:
            return None
        now = self._loop.time()
        limits = self._front.limits
        log_message(
            "request:limited",
            request=self._facts.request,
            limits={name: limits.allowed_rate(name, now) for name in denied},
            **limits.rates.describe_decision(denied[0], now),
        )
        return Refusal("limited", limits.rates.retry_after_seconds())

    def _refuse_if_limited(self) -> Refusal | None:
        """Returns a refusal if the limits of all upstreams are used up."""
        if not self._front.limits.known:
            return None
        now = self._loop.time()
        available = [
            upstream
            for upstream in self._front.chooser.ready_upstreams(
                self.requirements()
            )
            if self._front.chooser.accepts_requests(upstream.name, now)
        ]
        if not self.limit_draws.are_all_denied(available, now):
            return None
        return self._refuse_if_unavailable()

    def _choose(self, required: Requirements) -> Upstream | None:
        now = self._loop.time()
        return self._front.chooser.choose(
            required,
            self._tried,
            now,
            self.limit_draws,
            is_repeatable=self._terms.is_repeatable,
        )

    def _refuse_if_resting(self) -> Refusal | None:
        """Returns a refusal if all upstreams of the service rest.

        Its retry delay is the time until the first one accepts requests again.
        """
        now = self._loop.time()
        seconds = self._front.chooser.seconds_until_available(
            self.requirements(), now
        )
        if not seconds:
            return None
        # The retry delay is sent with two decimals. It is rounded up so that no
        # client retries too early.
        return Refusal("resting", math.ceil(100 * seconds) / 100)

    async def _find_candidate(self, *, is_new: bool) -> Upstream | Refusal:
        self.chosen_by = "front"
        tried = self._tried
        required = self.requirements()
        if not tried and not self._are_upstreams_known():
            await self.wait_until_known(self._are_upstreams_known)
        if self._is_version_gone():
            return Refusal("version_gone", self._seconds_left())
        if required.artifact and is_new and self._is_refused_for_overload():
            return Refusal("overload", _OVERLOAD_RETRY_SECONDS)
        if limited_refusal := self._refuse_if_limited():
            return limited_refusal
        chosen = self._choose(required)
        if chosen is None and (resting_refusal := self._refuse_if_resting()):
            return resting_refusal
        if not required.artifact:
            return (
                chosen
                or self._refuse_if_unavailable()
                or Refusal("no_upstream")
            )
        if chosen is None:
            return await self._request_load(required)
        answer = await self._ask_assignment(required)
        if answer is None:
            return chosen
        if answer.reason == COPY_IS_SOONER and self._load_wait_seconds() > 0:
            return await self._request_load(required)
        return self._apply_answer(required, answer) or chosen

    async def wait_until_known(self, is_known: Callable[[], bool]) -> None:
        """Waits for a limited time until a predicate holds.

        Args:
            is_known: tested at first and after each change of what is known.
        """
        started_at = self._loop.time()
        seconds = _DISCOVERY_SECONDS
        if self._facts.patience:
            seconds = min(seconds, self._facts.patience * _DISCOVERY_SHARE)
        while not is_known():
            left = started_at + seconds - self._loop.time()
            if left <= 0 or not await self._front.discovery_signal.wait(left):
                break
        log_message(
            "request:learned",
            request=self._facts.request,
            known=is_known(),
            version=self._front.table.version,
            upstreams=len(self._front.fleet.view.upstreams),
            seconds=round(self._loop.time() - started_at, 4),
        )

    def _is_version_gone(self) -> bool:
        """Whether no upstream runs the software that the stream requires."""
        return self.software is not None and not (
            self._front.chooser.ready_upstreams(self.requirements())
        )

    def _seconds_left(self) -> float:
        return max(self._terms.deadline - self._loop.time(), 0.0)

    def _are_upstreams_known(self) -> bool:
        view = self._front.chooser.view
        return bool(view.ready_upstreams(self._terms.service))

    def _is_refused_for_overload(self) -> bool:
        """Whether admission control refuses this request for overload.

        A request that was sent to an upstream before is always admitted.
        """
        if self._tried:
            return False
        front = self._front
        service = self._terms.service
        share = front.admission_control(service).refused_share(
            front.chooser.load(service), self._terms.goal, self._loop.time()
        )
        return front.rng.random() < share

    # -- calls to the owner --------------------------------------------

    def _make_want(
        self, required: Requirements, patience: float, *, is_held: bool
    ) -> WantArtifact:
        now = self._loop.time()
        chooser = self._front.chooser
        unusable = {
            *self._tried,
            *chooser.list_unusable(self._terms.service, now),
            *self.limit_draws.list_denied(),
        }
        return WantArtifact(
            required.service,
            required.artifact,
            required.version,
            tuple(unusable),
            patience,
            chooser.data_centre,
            self._goal_deadline() - now,
            self._facts.request,
            self._facts.prompt_tokens,
            self._facts.answer_tokens,
            is_held,
            self._terms.priority,
            self._terms.customer,
            required.software,
        )

    def _goal_deadline(self) -> float:
        return self._terms.arrived_at + self._terms.goal

    async def _ask_assignment(
        self, required: Requirements
    ) -> ArtifactReady | None:
        """Returns the holder that the owner assigns; None without an answer."""
        want = self._make_want(required, 0.0, is_held=True)
        self._is_call_pending = True
        answer = await self._front.fleet.request_holder(want)
        self._is_call_pending = False
        return answer

    def _apply_answer(
        self, required: Requirements, answer: ArtifactReady
    ) -> Upstream | None:
        """Returns the upstream that the owner named, if it can be used."""
        view = self._front.chooser.view
        upstream = view.upstreams.get(answer.upstream)
        if upstream is None or upstream.state != READY:
            return None
        if not required.filter([upstream]):
            # An owner of the previous release doesn't know this requirement.
            return None
        if not self.accepts_requests(upstream.name):
            return None
        upstream.resident[required.artifact] = answer.version
        self._prefill_seconds = answer.read_seconds
        self.predicted_first_seconds = answer.first_seconds
        self._assigned_engine = upstream.name
        self.chosen_by = "owner"
        return upstream

    async def _request_load(self, required: Requirements) -> Upstream | Refusal:
        """Asks the owner to have the artifact loaded, and waits for it."""
        while self._want_count < _MAX_WANTS:
            self._want_count += 1
            patience = self._load_wait_seconds()
            if patience <= 0:
                return Refusal("no_time_to_load")
            answer = await self._request_load_once(required, patience)
            upstream = self._apply_answer(required, answer)
            if upstream is not None:
                return upstream
            chosen = self._choose(required)
            if chosen is not None:
                return chosen
            if not answer.upstream:
                after = self._limit_retry_seconds(answer.after)
                return Refusal(answer.reason or "not_loaded", after)
        return Refusal("not_loaded")

    def _limit_retry_seconds(self, seconds: float) -> float:
        """Returns a retry delay that the client honours.

        Without customers it stays as the owner named it.
        """
        if self._front.table.customers is None:
            return seconds
        left = self._terms.deadline - self._loop.time()
        return min(seconds, max(left, 0.0) * _RETRY_SHARE)

    def _load_wait_seconds(self) -> float:
        """Returns the seconds for which the request may wait for a load."""
        terms = self._terms
        left = terms.deadline - self._loop.time() - _ANSWER_RESERVE_SECONDS
        max_wait = min(
            terms.patience * _LOAD_WAIT_SHARE, _MAX_LOAD_WAIT_SECONDS
        )
        return min(left, max_wait - self.waited_seconds)

    async def _request_load_once(
        self, required: Requirements, patience: float
    ) -> ArtifactReady:
        started_at = self._loop.time()
        self._is_call_pending = True
        answer = await self._front.fleet.request_artifact(
            self._make_want(required, patience, is_held=False)
        )
        self._is_call_pending = False
        seconds = self._loop.time() - started_at
        self.waited_seconds += seconds
        log_message(
            "request:want",
            request=self._facts.request,
            artifact=required.artifact,
            version=required.version,
            upstream=answer.upstream,
            reason=answer.reason,
            seconds=round(seconds, 4),
        )
        return answer

    # -- reports on the prompt -----------------------------------------

    def rank(self, now: float) -> int:
        """Returns the request's priority among those queued at an engine.

        Args:
            now: the loop's clock, in seconds.
        """
        if not self._facts.artifact:
            return NORMAL_PRIORITY
        prefill_rate = self._front.prefill_rate(self._terms.service)
        seconds = self._prefill_seconds
        if not self._assigned_engine or not seconds:
            seconds = prefill_rate.estimate_seconds(self._facts.prompt_tokens)
        return rank_request(seconds, self._goal_deadline() - now)

    def report_reading_ended(
        self,
        *,
        was_read: bool,
        failed: bool = False,
        unreachable: bool = False,
    ) -> None:
        """Reports to the owner, once, how the prefill at an engine ended.

        Args:
            was_read: whether the first event has arrived.
            failed: whether the engine failed the request.
            unreachable: whether it failed before anything was sent.
        """
        if self._assigned_engine:
            upstream, self._assigned_engine = self._assigned_engine, ""
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
        """Reports the request's end if a call to the owner is outstanding."""
        if self._is_call_pending:
            self._is_call_pending = False
            ended = ReadingEnded(self._facts.request, "", False)
            self._front.fleet.report_reading_ended(ended)
