"""Messages by which nodes follow the log and are known to be alive."""

import attrs

from ridgesill.core.codec import register
from ridgesill.core.commands import Node
from ridgesill.core.log.messages import Entry


@register
@attrs.frozen
class Beat:
    """What a node says of itself.

    Attributes:
        applied: the last log index it has applied.
        version: the configuration version it has in force.
        draining: whether it takes no new work.
        pools: pools whose runners announce themselves to it.
        learner: whether it has a disk but does not vote yet.
    """

    node: Node
    applied: int
    version: int
    draining: bool = False
    pools: tuple[str, ...] = ()
    learner: bool = False


@register
@attrs.frozen
class HeardBeat:
    """A beat, and the seconds since a voter heard it."""

    beat: Beat
    age: float


@register
@attrs.frozen
class Follow:
    """Asks a voter for what came after `beat.applied`.

    The voter answers at once when it has something, and otherwise after
    `wait` seconds. A sender that is a voter itself passes on the beats that
    it hears: `heard` those that are new to the receiver, and `alive` the
    seconds since it heard each of those that are not.
    """

    beat: Beat
    wait: float
    heard: tuple[HeardBeat, ...] = ()
    alive: dict[str, float] = attrs.Factory(dict)


@register
@attrs.frozen
class FollowReply:
    """Answers a `Follow`.

    Attributes:
        age: seconds since the voter knew all that was committed; the reply
            holds everything committed before that.
        upto: the index that the follower has reached with this reply.
        entries: what to apply; entries of no interest are left out.
        snapshot: the whole state instead, for one too far behind.
        leader: the node that leads, or empty.
        unknown: names in `Follow.alive` whose beats the voter lacks.
    """

    age: float
    upto: int
    entries: tuple[Entry, ...]
    snapshot: bytes
    leader: str
    unknown: tuple[str, ...] = ()


@register
@attrs.frozen
class Propose:
    """Asks the leader to append a command (encoded)."""

    command: bytes


@register
@attrs.frozen
class ProposeReply:
    """The command's encoded answer, or where the leader is.

    Attributes:
        answer: empty when the command was not appended here.
        leader: the node to ask instead.
        appended: whether the command may have been appended; when false it
            certainly was not.
    """

    answer: bytes
    leader: str
    appended: bool


@register
@attrs.frozen
class AskLatest:
    """Asks the leader what is committed at the least."""


@register
@attrs.frozen
class Latest:
    """Answers an `AskLatest`.

    Attributes:
        index: everything committed before the question is at or below it;
            -1 from a node that can't be sure.
    """

    index: int
