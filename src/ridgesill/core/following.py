"""Messages for following the replicated log and for node liveness."""

import attrs

from ridgesill.core.codec import register
from ridgesill.core.commands import Node
from ridgesill.core.log.messages import Entry


@register
@attrs.frozen
class Beat:
    """A node's heartbeat to the voters.

    Attributes:
        node: the sender.
        applied: the last log index that it has applied.
        version: the configuration version that it has in force.
        draining: whether it accepts no new work.
        pools: the pools whose runners announce themselves to it.
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
    """A beat and its age in seconds, since a voter received it."""

    beat: Beat
    age: float


@register
@attrs.frozen
class Follow:
    """Asks a voter for the log entries after `beat.applied`.

    The voter answers as soon as it has entries, and otherwise after `wait`
    seconds. A sender that is a voter itself also relays the beats that it
    receives.

    Attributes:
        beat: the sender's own beat.
        wait: the longest time, in seconds, that the voter may hold the
            request.
        heard: relayed beats that are new to the receiver.
        alive: for nodes whose beat the receiver already has, the seconds
            since the sender last received that beat, by node name.
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
        age: seconds since the voter last knew everything committed; the
            reply holds everything committed before that.
        upto: the index that the follower reaches by applying this reply.
        entries: the entries to apply; those that a node without a disk does
            not need are left out.
        snapshot: the whole state instead, for a follower whose next entries
            are compacted.
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
    """Asks the leader to append an encoded command to the log."""

    command: bytes


@register
@attrs.frozen
class ProposeReply:
    """Answers a `Propose`.

    Attributes:
        answer: the command's encoded answer; empty if it was not appended
            here.
        leader: the node to ask instead.
        appended: whether the command may have been appended; if false, it
            certainly was not.
    """

    answer: bytes
    leader: str
    appended: bool


@register
@attrs.frozen
class AskLatest:
    """Asks the leader for an index that covers all committed entries."""


@register
@attrs.frozen
class Latest:
    """Answers an `AskLatest`.

    Attributes:
        index: everything committed before the request is at or below this
            index; -1 if the node can't confirm that it leads.
    """

    index: int
