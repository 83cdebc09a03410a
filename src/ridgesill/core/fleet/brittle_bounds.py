"""What upstreams state about being brittle, as the owner knows it.

A brittle upstream states in all its answers how many requests a second it can
reject before it falls over. All upstreams of a service become brittle together,
so an upstream that has stated nothing yet, such as a new start, counts as
brittle as long as another one of its service does.
"""

from collections.abc import Collection, Iterable

import attrs

from ridgesill.core.codec import register
from ridgesill.core.fleet.messages import NOT_BRITTLE, Upstream

# Fronts report how long ago a request was sent, which doesn't include the
# transit time of the report. So of two statements only one whose request was
# sent later by more than this, in seconds, replaces the other.
_CLOCK_MARGIN_SECONDS = 0.05


@register
@attrs.frozen
class HeardBrittle:
    """Reports to the owner what an answer states.

    Attributes:
        upstream: name of the start that answered.
        bound: rejections per second that it bears; `NOT_BRITTLE` if the answer
            states nothing.
        sent_ago: seconds since the answered request was sent.
    """

    upstream: str
    bound: float
    sent_ago: float


@attrs.frozen
class _Statement:
    service: str
    bound: float
    sent_at: float


class BrittleBounds:
    """The bounds of upstreams and services."""

    def __init__(self) -> None:
        self._statements: dict[str, _Statement] = {}
        self._services: dict[str, float] = {}

    def __bool__(self) -> bool:
        """Whether any service is brittle."""
        return bool(self._services)

    def adopt(self, upstreams: Iterable[Upstream]) -> None:
        """Takes over the bounds that an earlier owner has published."""
        for upstream in upstreams:
            if upstream.brittle != NOT_BRITTLE:
                self._services[upstream.service] = upstream.brittle

    def record(self, upstream: Upstream, bound: float, sent_at: float) -> None:
        """Records what an upstream states.

        Args:
            upstream: that answered.
            bound: see `HeardBrittle.bound`.
            sent_at: when the answered request was sent, in seconds.
        """
        known = self._statements.get(upstream.name)
        if (
            known is not None
            and sent_at < known.sent_at + _CLOCK_MARGIN_SECONDS
        ):
            return
        service = upstream.service
        self._statements[upstream.name] = _Statement(service, bound, sent_at)
        if bound != NOT_BRITTLE:
            self._services[service] = bound
        elif not any(
            statement.service == service and statement.bound != NOT_BRITTLE
            for statement in self._statements.values()
        ):
            self._services.pop(service, None)

    def find(self, name: str, service: str) -> float:
        """Returns an upstream's bound; `NOT_BRITTLE` if it isn't brittle."""
        if service not in self._services:
            return NOT_BRITTLE
        known = self._statements.get(name)
        return self._services[service] if known is None else known.bound

    def discard_except(self, upstreams: Collection[str]) -> None:
        """Discards the statements of all but the given upstreams."""
        for name in list(self._statements):
            if name not in upstreams:
                del self._statements[name]
