"""The order in which an engine should begin requests that wait there.

Load pattern: more prompts than engines can read in time. Served in order of
arrival, one long prompt makes all behind it late, and once all are late none is
in time again. So what can't be in time any more goes behind what can, and short
prompts go before long ones, which they hardly delay. Among long ones the order
of arrival stays: by length, the largest tenth would always be the last (four
emulated seeds: 0.36 of its worth by length, 0.38 by arrival, else the same).
"""

# A prompt that takes no longer to read, in seconds, is short: it delays a long
# one by a tenth of the goals that the users have named.
_SHORT_SECONDS = 0.1
_SHORT = 2
_LONG = 3
# Behind all that can be in time.
_LATE_SHORT = 8
_LATE_LONG = 9
# What is left of a goal that surely suffices beside the reading, in seconds: a
# step of the batch and the way back.
_MARGIN = 0.01


def rank_request(read_seconds: float, left: float) -> int:
    """Returns a request's rank at an engine; 0 goes first.

    Args:
        read_seconds: that its prompt takes to read.
        left: seconds until its first event is late.
    """
    is_short = read_seconds < _SHORT_SECONDS
    if left - read_seconds < _MARGIN:
        return _LATE_SHORT if is_short else _LATE_LONG
    return _SHORT if is_short else _LONG
