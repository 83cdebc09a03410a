"""Attempts to serve a request that produced no answer to deliver."""

import attrs

from ridgesill.core.serving.load_reports import UpstreamCalls
from ridgesill.ports.http import ResponseHead

# Statuses that tell a client that its request has not run.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_SERVER_ERROR = 500
_UNAVAILABLE = 503


@attrs.frozen
class Failure:
    """An attempt that produced no answer to deliver.

    Attributes:
        reason: for logs and metrics.
        not_run: whether the request certainly did not run at the upstream.
        answer: the upstream's complete answer, if there was one.
        misdirected: whether the upstream lacks the artifact or version that
            the request needs.
        reached_upstream: whether the request reached the upstream.
        cut: whether the channel closed before the answer was complete.
        withheld: whether the request was not sent because the upstream accepts
            none now.
        asked_for_rest: whether the upstream asked for a pause in requests, or
            for fewer requests.
    """

    reason: str
    not_run: bool
    answer: tuple[ResponseHead, bytes] | None = None
    misdirected: bool = False
    reached_upstream: bool = True
    cut: bool = False
    withheld: bool = False
    asked_for_rest: bool = False

    @property
    def counts_against_health(self) -> bool:
        """Whether the failure shows that the upstream is unhealthy.

        An upstream that lacks an artifact, or that asks for fewer requests, is
        not ejected for that.
        """
        return not (self.misdirected or self.withheld or self.asked_for_rest)

    @property
    def calls(self) -> UpstreamCalls:
        """The failure as it is reported to the owner."""
        if self.withheld or self.misdirected:
            return UpstreamCalls()
        if self.not_run and self.reached_upstream:
            return UpstreamCalls(rejected=1)
        if self.answer is not None:
            status = self.answer[0].status
            if status < _SERVER_ERROR:
                return UpstreamCalls()
            if status == _UNAVAILABLE and self.asked_for_rest:
                return UpstreamCalls(rejected=1)
        return UpstreamCalls(failed=1)


def claims_not_run(head: ResponseHead) -> bool:
    """Whether a status tells the client that its request has not run.

    Such an answer must not be passed on once the request may have run.
    """
    return head.status in _NOT_RUN_STATUSES
