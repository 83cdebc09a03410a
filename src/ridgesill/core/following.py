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
        max_bytes: the most bytes of a content in the reply; 0 for any number,
            as nodes of the previous release expect.
        content: name of the content of which the sender has received parts from
            this voter; empty for none.
        offset: number of bytes of it that the sender has.
    """

    beat: Beat
    wait: float
    heard: tuple[HeardBeat, ...] = ()
    alive: dict[str, float] = attrs.Factory(dict)
    max_bytes: int = 0
    content: str = ""
    offset: int = 0


@register
@attrs.frozen
class FollowContent:
    """What brings a follower up to an index.

    Attributes:
        upto: the index that the follower reaches.
        entries: the entries to apply, without those that a node without a disk
            doesn't need.
        snapshot: the whole state instead; empty if there are entries.
    """

    upto: int
    entries: tuple[Entry, ...] = ()
    snapshot: bytes = b""


@register
@attrs.frozen
class ReplyPart:
    """A part of an encoded and compressed `FollowContent`.

    Attributes:
        content: the name of the content.
        offset: where the part begins.
        total: the size of the content, in bytes.
        data: the bytes of the part.
        age: seconds since the voter last knew everything committed that the
            content holds.
    """

    content: str
    offset: int
    total: int
    data: bytes
    age: float


@register
@attrs.frozen
class FollowReply:
    """Answers a `Follow`.

    Attributes:
        age: seconds since the voter last knew everything committed; the
            reply holds everything committed before that, unless it has a part.
        upto: the index that the follower reaches by applying this reply.
        entries: the entries to apply; those that a node without a disk does
            not need are left out.
        snapshot: the whole state instead, for a follower whose next entries
            are compacted.
        leader: the node that leads, or empty.
        unknown: names in `Follow.alive` whose beats the voter lacks.
        part: a part of a content that is too large for one reply, in place of
            `entries` and `snapshot`; `upto` is reached with its last part.
        routes_version: the version of the routing document that the voter has;
            0 if it doesn't say.
    """

    age: float
    upto: int
    entries: tuple[Entry, ...]
    snapshot: bytes
    leader: str
    unknown: tuple[str, ...] = ()
    part: ReplyPart | None = None
    routes_version: int = 0


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
