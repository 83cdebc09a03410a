"""The commands of the replicated log and their answers."""

import attrs

from ridgesill.core.codec import register
from ridgesill.core.configuration import Change
from ridgesill.core.harmful_parts import PartSighting
from ridgesill.core.serving.fingerprints import Fingerprint


@register
@attrs.frozen
class Node:
    """A running node, as announced to the voters.

    Attributes:
        name: the name in the node's settings.
        incarnation: a random id, drawn at each start.
        address: `host:port` at which its peers reach it.
        data_centre: the data centre it runs in.
        voter: its voting identity; empty for a node without a disk.
        processor_share: processor seconds per second that its VM has; 0 if
            unknown or unlimited.
    """

    name: str
    incarnation: str
    address: str
    data_centre: str
    voter: str = ""
    processor_share: float = 0.0

    @property
    def identity(self) -> str:
        """The sender id of its messages, from its name and incarnation."""
        return f"{self.name}#{self.incarnation}"


@register
@attrs.frozen
class Configure:
    """Puts a configuration in force if `base` is the version in force.

    Attributes:
        operation: the operator's id of this attempt; a resend repeats it.
        base: the version that the change was computed from.
        version: the version that the file declares.
        digest: the digest of the file's text.
        change: the difference from the base version.
    """

    operation: str
    base: int
    version: int
    digest: str
    change: Change


@register
@attrs.frozen
class JoinNode:
    """Adds a node; replaces an earlier incarnation of the same name."""

    node: Node


@register
@attrs.frozen
class RemoveNode:
    """Removes a node, unless it has restarted under another incarnation."""

    name: str
    incarnation: str


@register
@attrs.frozen
class GrantPool:
    """Makes a node the owner of a pool, with the entry's index as its epoch."""

    pool: str
    node: str
    incarnation: str


@register
@attrs.frozen
class ReleasePool:
    """Releases a pool, so that its next owner need not wait for the lease."""

    pool: str
    epoch: int


@register
@attrs.frozen
class BeginOnce:
    """Records a non-repeatable request before it runs.

    Attributes:
        team: the caller's team.
        key: the caller's idempotency key, unique within the team.
        digest: the digest of the request; a key that is reused for another
            request is refused.
        node: the incarnation of the entry node that will run it.
        request: the id of this attempt; proposing it twice is idempotent.
        at: wall-clock time in seconds, by which records expire.
    """

    team: str
    key: str
    digest: str
    node: str
    request: str
    at: float


@register
@attrs.frozen
class FinishOnce:
    """Records the outcome of a request begun by `BeginOnce`.

    The outcome `not-run` frees the key for another attempt.

    Attributes:
        team: the caller's team.
        key: the caller's idempotency key.
        request: the id of the attempt.
        outcome: `completed`, `not-run` or `unknown`.
        status: the HTTP status of the answer.
        content_type: the content type of the answer.
        body: the body of the answer.
    """

    team: str
    key: str
    request: str
    outcome: str
    status: int = 0
    content_type: str = ""
    body: bytes = b""


@register
@attrs.frozen
class PutRoutes:
    """Puts a routing document in force, unless a later version already is.

    Attributes:
        version: the version of the document; the highest is in force.
        document: the operator's document, compressed.
    """

    version: int
    document: bytes


@register
@attrs.frozen
class PutArtifactVersion:
    """Sets the oldest version of an artifact that may still serve.

    Attributes:
        artifact: `model` or `model/adapter`.
        version: the oldest version; a lower one than before has no effect.
    """

    artifact: str
    version: int


@register
@attrs.frozen
class PutFingerprintKey:
    """Sets the key for hashing request fingerprints, if none is set yet."""

    key: bytes


@register
@attrs.frozen
class NoteUpstreamEnd:
    """Counts the end of an upstream against the requests it was serving.

    Attributes:
        upstream: the name of the upstream, which differs at each start.
        aboard: the requests that were in flight and got no whole answer.
        sightings: prompt parts of the requests that it had not begun to
            answer.
    """

    upstream: str
    aboard: tuple[Fingerprint, ...]
    sightings: tuple[PartSighting, ...] = ()


@register
@attrs.frozen
class ClearSuspects:
    """Clears the counted ends of requests that got a whole answer."""

    served: tuple[Fingerprint, ...]


@register
@attrs.frozen
class ClearParts:
    """Clears prompt parts that upstreams have answered on.

    Attributes:
        parts: keyed hashes of their ids.
    """

    parts: tuple[str, ...]


@register
@attrs.frozen
class BeginTrial:
    """Asks for leave to send one request in spite of a quarantine.

    Attributes:
        key: keyed hash of the request's content, or of the id of a part of its
            prompt.
        number: of the trial, from 1.
    """

    key: str
    number: int


@register
@attrs.frozen
class LiftQuarantine:
    """Lifts the quarantine of a request or part, as an operator ordered.

    Attributes:
        content: the hash of the request's content, or of the part's id.
    """

    content: str


# -- answers -----------------------------------------------------------

ACCEPTED = "accepted"
CONFLICT = "conflict"


@register
@attrs.frozen
class ConfigureAnswer:
    """Answers a `Configure`.

    Attributes:
        verdict: `accepted`, or `conflict` when another version is in force.
        version: the version in force afterwards.
        digest: the digest in force afterwards.
        index: the log index at which the version in force was accepted.
    """

    verdict: str
    version: int
    digest: str
    index: int


RUNNING = "running"
COMPLETED = "completed"
NOT_RUN = "not-run"
UNKNOWN = "unknown"
FULL = "full"


@register
@attrs.frozen
class OnceRecord:
    """The stored record of a non-repeatable request.

    The fields are those of `BeginOnce` and `FinishOnce`; `outcome` may also be
    `running`, or `full` in an answer that refuses a new key.
    """

    digest: str
    node: str
    request: str
    at: float
    outcome: str = RUNNING
    status: int = 0
    content_type: str = ""
    body: bytes = b""


@register
@attrs.frozen
class OnceAnswer:
    """Answers a `BeginOnce`.

    Attributes:
        begun: whether the request may run now.
        record: the record under its key; of an earlier attempt if not `begun`.
    """

    begun: bool
    record: OnceRecord


@register
@attrs.frozen
class TrialAnswer:
    """Answers a `BeginTrial`.

    Attributes:
        granted: whether the asker, and nobody else, may make the trial.
    """

    granted: bool


@register
@attrs.frozen
class Done:
    """Answers commands that have no result.

    Attributes:
        index: the log index of the command.
    """

    index: int
