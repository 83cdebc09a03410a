"""Logs and counts what upstreams say and nothing here reads."""

from collections.abc import Callable, Collection

from eliot import log_message

from ridgesill.core.recent_keys import RecentKeys
from ridgesill.ports.telemetry import Telemetry

# Words remembered as logged; a new start of an upstream says them anew.
_KEPT_MOST = 10_000


class UnknownWords:
    """Takes words that nothing here reads.

    Args:
        telemetry: returns what counts words.
    """

    def __init__(self, telemetry: Callable[[], Telemetry]) -> None:
        self._telemetry = telemetry
        self._logged = RecentKeys(_KEPT_MOST)

    def note(
        self, upstream: str, peer: str, step: str, words: Collection[str]
    ) -> None:
        """Logs each word of one start of an upstream once.

        Args:
            upstream: name of its start.
            peer: its address.
            step: in what it said them.
            words: that nothing reads.
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
