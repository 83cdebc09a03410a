"""Handles what upstreams state about themselves in the heads of answers.

An upstream can ask for a pause in requests, limit their rate, or announce that
it is brittle or leaves.
"""

import asyncio
from collections.abc import Iterable

import attrs
from eliot import log_message

from ridgesill.app.fleet_client import FleetClient
from ridgesill.app.slot_client import SlotClient
from ridgesill.core.fleet.brittle_bounds import HeardBrittle
from ridgesill.core.fleet.messages import (
    NOT_BRITTLE,
    READY,
    HeardLeave,
    Upstream,
)
from ridgesill.core.serving.brittle import BrittleUpstreams
from ridgesill.core.serving.front_limits import FrontLimits
from ridgesill.core.serving.unavailable import Unavailable
from ridgesill.ports.dialect import EMPTY_UPSTREAM_WORD, UpstreamWord

# Lowest status that isn't a success.
_REDIRECT = 300
_UNAVAILABLE = 503
# Least time between two reports to the owner of what an upstream states about
# being brittle, in seconds.
_BRITTLE_REPORT_SECONDS = 0.2


@attrs.frozen
class AnswerContext:
    """The answer in which an upstream stated something.

    Attributes:
        request: id of the request that was answered.
        status: HTTP status of the answer.
        chosen_by: who chose the upstream: the front or the owner.
        sent_at: when the request was sent, on the loop's clock.
        own_requests: this front's requests in progress at the upstream,
            including this one.
        had_permit: whether the request had a permit for a slot.
    """

    request: str
    status: int
    chosen_by: str
    sent_at: float
    own_requests: int = 0
    had_permit: bool = False

    @property
    def is_success(self) -> bool:
        """Whether the answer is a success."""
        return self.status < _REDIRECT


class UpstreamWords:
    """Applies upstreams' statements and reports departures to the owner.

    Args:
        unavailable: keeps the upstreams that accept no requests now.
        limits: keeps the upstreams' rate limits.
        brittle: keeps the upstreams that are brittle.
        slots: reports what brittle upstreams reject.
        fleet: the connection to the owner.
    """

    def __init__(
        self,
        unavailable: Unavailable,
        limits: FrontLimits,
        brittle: BrittleUpstreams,
        slots: SlotClient,
        fleet: FleetClient,
    ) -> None:
        self._unavailable = unavailable
        self._limits = limits
        self._brittle = brittle
        self._slots = slots
        self._fleet = fleet
        self._loop = asyncio.get_running_loop()
        self._brittle_reported_at: dict[str, float] = {}
        self._reports: dict[str, asyncio.Task[None]] = {}

    def handle_word(
        self, upstream: Upstream, word: UpstreamWord, context: AnswerContext
    ) -> None:
        """Handles what an upstream stated in an answer.

        Args:
            upstream: that answered.
            word: what it stated.
            context: the answer.
        """
        now = self._loop.time()
        is_rejected = (
            word.brittle is not None
            and context.status == _UNAVAILABLE
            and not word.leaves
        )
        if is_rejected:
            self._log_turned_away(upstream, context)
        is_news = self._record_bounds(upstream, word, context)
        if is_rejected:
            self._slots.record_rejected(upstream, had_permit=context.had_permit)
        self._report_brittle(upstream, word, context)
        repeated = attrs.evolve(
            EMPTY_UPSTREAM_WORD, limit=word.limit, brittle=word.brittle
        )
        if is_news or word != repeated:
            self._log(upstream, word, context)
        if word.rest:
            self._unavailable.record_rest(upstream.name, now + word.rest)
        # Another instance has the upstream's address by now, so that it gets
        # the requests meant for the upstream.
        is_replaced = word.instance not in ("", _instance_name(upstream))
        if not word.leaves and not is_replaced:
            return
        if self._unavailable.record_leaving(upstream.name, now):
            self._report_leave(upstream)

    def _record_bounds(
        self, upstream: Upstream, word: UpstreamWord, context: AnswerContext
    ) -> bool:
        """Records a rate limit and brittleness, or that there is none.

        Returns:
            Whether either is news.
        """
        is_news = self._brittle.record(upstream, word.brittle, context.sent_at)
        if word.limit is not None:
            now = self._loop.time()
            is_news |= self._limits.record_limit(
                upstream.name, word.limit, context.sent_at, now
            )
        elif context.is_success and not word.unread_limit:
            self._limits.record_unlimited(upstream.name, context.sent_at)
        return is_news

    def _log_turned_away(
        self, upstream: Upstream, context: AnswerContext
    ) -> None:
        """Logs what was known of a brittle upstream that rejected a request."""
        view = self._fleet.view
        log_message(
            "request:turned_away",
            request=context.request,
            upstream=upstream.name,
            peer=upstream.address,
            was_known_brittle=self._brittle.is_brittle(upstream.name),
            slots=upstream.slots,
            own=context.own_requests,
            told=view.busy.get(upstream.name, 0),
            view_age=round(self._loop.time() - view.updated_at, 3),
        )

    def _report_brittle(
        self, upstream: Upstream, word: UpstreamWord, context: AnswerContext
    ) -> None:
        """Reports a statement that differs from what the owner tells.

        A report that gets lost is made up for by the next answer.
        """
        told = self._fleet.view.upstreams.get(upstream.name)
        bound = NOT_BRITTLE if word.brittle is None else word.brittle
        if told is None or told.brittle == bound:
            self._brittle_reported_at.pop(upstream.name, None)
            return
        now = self._loop.time()
        reported_at = self._brittle_reported_at.get(upstream.name, 0.0)
        if now - reported_at >= _BRITTLE_REPORT_SECONDS:
            self._brittle_reported_at[upstream.name] = now
            self._fleet.report_brittle(
                HeardBrittle(upstream.name, bound, now - context.sent_at)
            )

    def _log(
        self, upstream: Upstream, word: UpstreamWord, context: AnswerContext
    ) -> None:
        log_message(
            "request:upstream_word",
            upstream=upstream.name,
            peer=upstream.address,
            request=context.request,
            status=context.status,
            chosen_by=context.chosen_by,
            **attrs.asdict(word),
        )

    def resend_leaves(self, upstreams: Iterable[Upstream]) -> None:
        """Reports again the departures that the owner doesn't know.

        An owner that has just started may have missed the first report.

        Args:
            upstreams: as the owner's news describe them.
        """
        for upstream in upstreams:
            is_leaving_known = upstream.state != READY
            if not is_leaving_known and self._unavailable.is_leaving(
                upstream.name
            ):
                self._report_leave(upstream)

    def _report_leave(self, upstream: Upstream) -> None:
        if upstream.name in self._reports:
            return
        leave = HeardLeave(_instance_name(upstream), upstream.start)
        report = self._loop.create_task(self._fleet.report_leave(leave))
        self._reports[upstream.name] = report
        report.add_done_callback(lambda _: self._reports.pop(upstream.name))


def _instance_name(upstream: Upstream) -> str:
    """Returns an upstream's own name for itself."""
    return upstream.instance or upstream.name
