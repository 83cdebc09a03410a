"""The commands that the replicated log carries, and their answers."""

import attrs

from ridgesill.core.codec import register
from ridgesill.core.configuration import Change
from ridgesill.core.serving.fingerprints import Fingerprint


@register
@attrs.frozen
class Node:
    """A node's process, as announced to the voters.

    Attributes:
        name: its name in its settings.
        incarnation: drawn anew at each start.
        address: `host:port` at which its peers reach it.
        data_centre: where it stands.
        voter: the identity it votes under; empty for a node without disk.
    """

    name: str
    incarnation: str
    address: str
    data_centre: str
    voter: str = ""

    @property
    def identity(self) -> str:
        """Its name and incarnation, under which it sends messages."""
        return f"{self.name}#{self.incarnation}"


@register
@attrs.frozen
class Configure:
    """Puts a configuration in force if the base version still is.

    Attributes:
        operation: the operator's id of this attempt; a resend has the same.
        base: the version the change was computed from.
        version: the version the file declares.
        digest: of the file's text.
        change: the difference to the base version.
    """

    operation: str
    base: int
    version: int
    digest: str
    change: Change


@register
@attrs.frozen
class JoinNode:
    """Makes a node known; replaces an earlier incarnation of its name."""

    node: Node


@register
@attrs.frozen
class RemoveNode:
    """Forgets a node that is gone, unless it has restarted since."""

    name: str
    incarnation: str


@register
@attrs.frozen
class GrantPool:
    """Makes a node the owner of a pool; the entry's index is the epoch."""

    pool: str
    node: str
    incarnation: str


@register
@attrs.frozen
class ReleasePool:
    """Gives up a pool; its next owner need not wait for a lease to end."""

    pool: str
    epoch: int


@register
@attrs.frozen
class BeginOnce:
    """Records a request that is not repeatable before it runs.

    Attributes:
        digest: of the request; a key reused for another request is refused.
        node: the incarnation of the entry node that will run it.
        request: the id of this attempt; proposing it twice changes nothing.
        at: wall-clock seconds, to expire records by.
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
    """Records what became of a request begun by `BeginOnce`.

    An outcome of `not-run` frees the key for another attempt.
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
    """Puts a routing document in force, unless a later version is.

    Attributes:
        version: the document's; the highest one holds.
        document: as the operator sent it, compressed.
    """

    version: int
    document: bytes


@register
@attrs.frozen
class PutArtifactVersion:
    """Makes a version of an artifact the oldest that may still serve.

    Attributes:
        artifact: `model` or `model/adapter`.
    """

    artifact: str
    version: int


@register
@attrs.frozen
class PutFingerprintKey:
    """Sets the key of all requests' fingerprints, unless there is one."""

    key: bytes


@register
@attrs.frozen
class NoteUpstreamEnd:
    """Counts the end of an upstream with the requests that it was serving.

    Attributes:
        upstream: its name, which is of this start.
        aboard: requests that were cut by it.
    """

    upstream: str
    aboard: tuple[Fingerprint, ...]


@register
@attrs.frozen
class ClearSuspects:
    """Takes back what is held against requests that had a whole answer."""

    served: tuple[Fingerprint, ...]


@register
@attrs.frozen
class LiftQuarantine:
    """Takes back what is held against a request, on an operator's word.

    Attributes:
        content: the hash of its content.
    """

    content: str


# -- answers -----------------------------------------------------------

ACCEPTED = "accepted"
CONFLICT = "conflict"


@register
@attrs.frozen
class ConfigureAnswer:
    """What became of a `Configure`.

    Attributes:
        verdict: `accepted`, or `conflict` when another version is in force.
        version: the version in force afterwards.
        digest: the digest in force afterwards.
        index: the log index at which that version was accepted.
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
    """The record of a request that is not repeatable."""

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
    """Whether a `BeginOnce` may run now, and the record if not."""

    begun: bool
    record: OnceRecord


@register
@attrs.frozen
class Done:
    """The answer of commands that have nothing else to say."""

    index: int
