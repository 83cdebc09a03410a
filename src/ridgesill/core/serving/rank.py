"""The order in which an engine should begin requests that wait there.

Load pattern: more prompts than engines can read in time. Served in order of
arrival, one long prompt makes all behind it late, and once all are late none is
in time again. So what can't be in time any more goes behind what can, and among
these the short ones first: they cost the others least.
"""

# Ranks by seconds of reading: each bound leaves room for those before it. Long
# prompts are told apart too: the largest tenth takes over a second.
_BOUNDS = ((0.1, 2), (0.25, 3), (0.45, 4))
_LONGEST = 5
# Behind all that can be in time; a little before it the short ones, which are
# served late at nearly no cost.
_LATE = 8
# What is left of a goal that surely suffices beside the reading, in seconds: a
# step of the batch and the way back.
_MARGIN = 0.01


def rank_request(read_seconds: float, left: float) -> int:
    """Returns a request's rank at an engine; 0 goes first.

    Args:
        read_seconds: that its prompt takes to read.
        left: seconds until its first event is late.
    """
    if left - read_seconds < _MARGIN:
        return _LATE
    for bound, rank in _BOUNDS:
        if read_seconds < bound:
            return rank
    return _LONGEST
