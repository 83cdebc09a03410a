"""Upstreams that answer nothing to this front.

Connections may come up and yet no request get a byte, while other fronts are
answered. Then another front serves the requests; one of them goes to an
upstream now and then, to find out when it answers again. Upstreams that answer
nobody are left to ejection: other fronts are of no help then.
"""

from collections.abc import Collection

import attrs

from ridgesill.core.serving.outcomes import Outcomes

# The scope of all services together. A front with few requests learns sooner
# from all of its upstreams than from those of one service.
ALL_SERVICES = ""
# How long upstreams have sent nothing, and none of the scope has, from when on
# they count as silent, in seconds.
_SILENT_SECONDS = 1.0
# Upstreams that must be silent, unless the scope has fewer.
_MIN_SILENT = 2
# How often a request goes to a silent upstream, in seconds: one that may be
# repeated elsewhere, and any other if there are none of these.
_PROBE_SECONDS = 1.0
_COSTLY_PROBE_SECONDS = 8.0
# How long no other front is asked after some in a row have not helped, in
# seconds, and from what time to the head of an answer on that is so: others may
# be answered as little.
_REST_SECONDS = 2.0
_MAX_HELP_SECONDS = 1.0
_MAX_UNHELPFUL_IN_A_ROW = 4


@attrs.define
class _Scope:
    """What is known of one scope; all times are in seconds.

    Attributes:
        probed_at: when a request last went to a silent upstream.
        rests_until: until when other fronts aren't asked.
        unhelpful_in_a_row: requests that other fronts couldn't serve in time
            since one last did.
    """

    probed_at: float = float("-inf")
    rests_until: float = float("-inf")
    unhelpful_in_a_row: int = 0


class Silence:
    """Decides which requests go to another front because of silence.

    Args:
        outcomes: when upstreams were sent requests and when they answered.

    Attributes:
        is_suspected: whether any upstream has left requests unanswered.
    """

    def __init__(self, outcomes: Outcomes) -> None:
        self._outcomes = outcomes
        self._scopes: dict[str, _Scope] = {}
        self.is_suspected = False

    def update(self, now: float) -> None:
        """Looks for upstreams that have left requests unanswered."""
        self.is_suspected = self._outcomes.has_unanswered(now, _SILENT_SECONDS)

    def is_silent(
        self, scope: str, upstreams: Collection[str], now: float
    ) -> bool:
        """Whether other fronts should be asked to serve a request.

        Args:
            scope: name of a service, or `ALL_SERVICES`.
            upstreams: names of its upstreams.
            now: the current time.
        """
        if not self.is_suspected:
            return False
        known = self._scopes.get(scope)
        if known is not None and now < known.rests_until:
            return False
        if self._outcomes.answered_at(upstreams) > now - _SILENT_SECONDS:
            return False
        silent = self._outcomes.count_unanswered(
            upstreams, now, _SILENT_SECONDS
        )
        return silent >= min(_MIN_SILENT, len(upstreams))

    def takes_probe(
        self, scope: str, now: float, *, is_repeatable: bool
    ) -> bool:
        """Whether a request goes to a silent upstream all the same.

        Args:
            scope: name of a service, or `ALL_SERVICES`.
            now: the current time.
            is_repeatable: whether it may be sent to another front afterwards.
        """
        known = self._scopes.setdefault(scope, _Scope(now))
        pause = _PROBE_SECONDS if is_repeatable else _COSTLY_PROBE_SECONDS
        if now - known.probed_at < pause:
            return False
        known.probed_at = now
        return True

    def record_help(
        self, scope: str, seconds: float | None, now: float
    ) -> None:
        """Records whether another front could serve a request.

        Args:
            scope: name of a service, or `ALL_SERVICES`.
            seconds: time to the head of its answer; None if nobody helped.
            now: the current time.
        """
        known = self._scopes.setdefault(scope, _Scope(now))
        if seconds is not None and seconds <= _MAX_HELP_SECONDS:
            known.unhelpful_in_a_row = 0
            return
        known.unhelpful_in_a_row += 1
        if known.unhelpful_in_a_row >= _MAX_UNHELPFUL_IN_A_ROW:
            known.unhelpful_in_a_row = 0
            known.rests_until = now + _REST_SECONDS
