"""Keeps, and passes on, what upstreams say of themselves in answers."""

import asyncio
from collections.abc import Iterable

import attrs
from eliot import log_message

from ridgesill.app.fleet_client import FleetClient
from ridgesill.core.fleet.messages import READY, HeardLeave, Upstream
from ridgesill.core.serving.front_limits import FrontLimits
from ridgesill.core.serving.unavailable import Unavailable
from ridgesill.ports.dialect import EMPTY_UPSTREAM_WORD, UpstreamWord

# From this status on an answer is no success.
_REDIRECT = 300


@attrs.frozen
class HeardIn:
    """In whose answer something was said.

    Attributes:
        request: its id.
        status: of the answer.
        chosen_by: who chose the upstream: the front or the owner.
        sent_at: when the request left, on the loop's clock.
    """

    request: str
    status: int
    chosen_by: str
    sent_at: float


class UpstreamWords:
    """Takes what upstreams say in the heads of answers.

    Args:
        unavailable: the upstreams that want no requests from here.
        limits: the upstreams that take only so many.
        fleet: the link to the owner, who learns of departures.
    """

    def __init__(
        self, unavailable: Unavailable, limits: FrontLimits, fleet: FleetClient
    ) -> None:
        self._unavailable = unavailable
        self._limits = limits
        self._fleet = fleet
        self._loop = asyncio.get_running_loop()
        self._telling: dict[str, asyncio.Task[None]] = {}

    def take(
        self, upstream: Upstream, word: UpstreamWord, heard_in: HeardIn
    ) -> None:
        """Takes what an upstream has said in an answer."""
        now = self._loop.time()
        is_news = self._take_limit(upstream, word, heard_in, now)
        if is_news or word != attrs.evolve(
            EMPTY_UPSTREAM_WORD, limit=word.limit
        ):
            self._log(upstream, word, heard_in)
        if word.rest:
            self._unavailable.record_rest(upstream.name, now + word.rest)
        # With its address, another one has all that is meant for it.
        is_replaced = word.instance not in ("", _instance(upstream))
        if not word.leaves and not is_replaced:
            return
        if self._unavailable.record_leaving(upstream.name, now):
            self._tell(upstream)

    def _take_limit(
        self,
        upstream: Upstream,
        word: UpstreamWord,
        heard_in: HeardIn,
        now: float,
    ) -> bool:
        """Takes a limit, or that none is named; returns whether it is news."""
        if word.limit is not None:
            return self._limits.record_limit(
                upstream.name, word.limit, heard_in.sent_at, now
            )
        is_success = heard_in.status < _REDIRECT and not word.unread_limit
        if is_success and self._limits.known:
            self._limits.known.record_unlimited(upstream.name, heard_in.sent_at)
        return False

    def _log(
        self, upstream: Upstream, word: UpstreamWord, heard_in: HeardIn
    ) -> None:
        log_message(
            "request:upstream_word",
            upstream=upstream.name,
            peer=upstream.address,
            request=heard_in.request,
            status=heard_in.status,
            chosen_by=heard_in.chosen_by,
            **attrs.asdict(word),
        )

    def remind(self, upstreams: Iterable[Upstream]) -> None:
        """Tells the owner again of what leaves and it still calls ready.

        An owner that has just started may not have heard it.
        """
        for upstream in upstreams:
            is_known = upstream.state != READY
            if not is_known and self._unavailable.is_leaving(upstream.name):
                self._tell(upstream)

    def _tell(self, upstream: Upstream) -> None:
        if upstream.name in self._telling:
            return
        leave = HeardLeave(_instance(upstream), upstream.start)
        telling = self._loop.create_task(self._fleet.report_leave(leave))
        self._telling[upstream.name] = telling
        telling.add_done_callback(lambda _: self._telling.pop(upstream.name))


def _instance(upstream: Upstream) -> str:
    """Returns what an upstream calls itself."""
    return upstream.instance or upstream.name
