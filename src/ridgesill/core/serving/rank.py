"""The order in which an engine should start the requests in its queue.

Load pattern: more prompts than engines can read in time. In order of arrival,
one long prompt makes all requests behind it late, and once all are late, none
is in time again. So requests that can't be in time go behind those that can,
and short prompts go before long ones, which they hardly delay. Long prompts
stay in order of arrival: sorted by length, the longest 10% would always be
last (they earn 0.36 of their full value by length and 0.38 by arrival; the
others earn the same).
"""

# Prompts that take less time to read are short: they delay a long prompt by a
# tenth of the usual goals.
_SHORT_SECONDS = 0.1
_SHORT_RANK = 2
_LONG_RANK = 3
# Ranks behind all requests that can be in time.
_LATE_SHORT_RANK = 8
_LATE_LONG_RANK = 9
# Time that a request needs beside the reading of its prompt to be in time: one
# batch step and the way back.
_MARGIN_SECONDS = 0.01


def rank_request(read_seconds: float, seconds_left: float) -> int:
    """Returns the rank of a request in an engine's queue; 0 goes first.

    Args:
        read_seconds: seconds that the engine takes to read its prompt.
        seconds_left: seconds until its first event is late.
    """
    is_short = read_seconds < _SHORT_SECONDS
    if seconds_left - read_seconds < _MARGIN_SECONDS:
        return _LATE_SHORT_RANK if is_short else _LATE_LONG_RANK
    return _SHORT_RANK if is_short else _LONG_RANK
