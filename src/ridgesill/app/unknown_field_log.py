"""Logs and counts header and field names that ridgesill doesn't read."""

from collections.abc import Callable, Collection

from eliot import log_message

from ridgesill.core.recent_keys import RecentKeys
from ridgesill.ports.telemetry import Telemetry

# Logged names that are remembered. Nothing else bounds their number, since each
# incarnation of an upstream is logged anew.
_MAX_LOGGED = 10_000


class UnknownFieldLog:
    """Logs unknown names in upstreams' messages once, and counts each use.

    Args:
        telemetry: returns the telemetry in use at the time of the call.
    """

    def __init__(self, telemetry: Callable[[], Telemetry]) -> None:
        self._telemetry = telemetry
        self._logged = RecentKeys(_MAX_LOGGED)

    def record(
        self, upstream: str, peer: str, step: str, words: Collection[str]
    ) -> None:
        """Counts unknown names and logs those that weren't logged before.

        Args:
            upstream: name of the upstream's incarnation.
            peer: address of the upstream.
            step: kind of the message, such as "answer".
            words: the unknown names.
        """
        for word in words:
            self._telemetry().record_unknown_field(word)
            if not self._logged.add((upstream, word)):
                continue
            log_message(
                "upstream:unknown_word",
                upstream=upstream,
                peer=peer,
                step=step,
                word=word,
            )
