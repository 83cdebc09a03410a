"""Logs and counts what upstreams say and nothing here reads."""

import collections
from collections.abc import Callable, Collection

from eliot import log_message

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
        self._logged: collections.OrderedDict[tuple[str, str], None] = (
            collections.OrderedDict()
        )

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
            self._telemetry().note_unknown_word(word)
            key = (upstream, word)
            if key in self._logged:
                continue
            self._logged[key] = None
            if len(self._logged) > _KEPT_MOST:
                self._logged.popitem(last=False)
            log_message(
                "upstream:unknown_word",
                upstream=upstream,
                peer=peer,
                step=step,
                word=word,
            )
