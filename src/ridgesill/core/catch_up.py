"""Contents of replies that bring followers up to date, sent in bounded parts.

A reply that takes longer over its link than the follower waits is lost, and the
next one is as long. So no reply exceeds a size that the follower names, a
content that does is sent in parts, and a lost part doesn't cost the others.
"""

import hashlib
import zlib
from collections.abc import Iterable

import attrs

from ridgesill.core import codec
from ridgesill.core.commands import PutRoutes
from ridgesill.core.following import FollowContent, ReplyPart
from ridgesill.core.log.messages import Entry

# Size of a part, in bytes. The largest takes 0.1 s at 5 Mbit/s, the smallest as
# long at 0.3 Mbit/s.
MAX_PART_BYTES = 64 * 1024
FIRST_PART_BYTES = 16 * 1024
MIN_PART_BYTES = 4 * 1024
# Parts in a row after which a size that was lost is tried again.
_PARTS_BEFORE_RETRY = 32
# Size up to which a content is decompressed.
_MAX_CONTENT_BYTES = 64 * 2**20
_COMPRESS_LEVEL = 1
# How long a snapshot is given to further followers, in seconds.
_SHARED_SECONDS = 1.0
# How long a content is kept that nobody asks for, in seconds.
_KEPT_SECONDS = 10.0
# Bytes of contents that are kept, unless the newest alone has more.
_MAX_KEPT_BYTES = 8 * 2**20


def drop_superseded(entries: Iterable[Entry]) -> tuple[Entry, ...]:
    """Leaves out routing documents that another one of the entries replaces.

    The highest version is in force, so that the state after all of the entries
    is the same.
    """
    kept = list(entries)
    versions = {
        entry.index: codec.decode(entry.command).version
        for entry in kept
        if _puts_routes(entry.command)
    }
    if len(versions) < 2:
        return tuple(kept)
    newest = max(versions, key=lambda index: (versions[index], -index))
    return tuple(
        entry
        for entry in kept
        if entry.index == newest or entry.index not in versions
    )


def _puts_routes(command: bytes) -> bool:
    return PutRoutes.__name__.encode() in command[:16]


def measure(content: FollowContent) -> int:
    """Returns about how many bytes a content takes, without compression."""
    commands = sum(len(entry.command) for entry in content.entries)
    return commands + len(content.snapshot)


@attrs.define
class PartSize:
    """How much a follower asks for at once.

    The size is doubled when a part of that size arrives, and halved when a
    reply is lost. Then it stays for a while, since each loss costs the link as
    much as a part that arrives.

    Attributes:
        bytes: the most bytes of a content in one reply.
    """

    bytes: int = FIRST_PART_BYTES
    _limit: int = MAX_PART_BYTES
    _parts_in_row: int = 0

    def record_part(self, size: int) -> None:
        """Records that a part of some bytes arrived in time.

        A short one doesn't show that a longer one would have.
        """
        if size < self.bytes:
            return
        self._parts_in_row += 1
        if self._parts_in_row >= _PARTS_BEFORE_RETRY:
            self._limit = MAX_PART_BYTES
        self.bytes = min(self.bytes * 2, self._limit)

    def record_loss(self) -> None:
        """Records that no reply arrived in time."""
        self.bytes = max(self.bytes // 2, MIN_PART_BYTES)
        self._limit = self.bytes
        self._parts_in_row = 0


@attrs.define
class KeptContent:
    """A content that is sent in parts.

    Attributes:
        name: digest of `data`, by which followers ask for parts.
        data: the encoded and compressed content.
        is_snapshot: whether it holds the whole state.
        upto: the index that it leads to.
        as_of: when the sender last knew everything committed up to `upto`, in
            seconds on its own clock.
        made_at: when it was made.
        used_at: when a part was last asked for.
    """

    name: str
    data: bytes
    is_snapshot: bool
    upto: int
    as_of: float
    made_at: float
    used_at: float

    def cut_part(self, offset: int, max_bytes: int, now: float) -> ReplyPart:
        """Returns the part that begins at an offset."""
        data = self.data[offset : offset + max_bytes]
        age = now - self.as_of
        return ReplyPart(self.name, offset, len(self.data), data, age)


class KeptContents:
    """The contents that a voter sends to its followers in parts."""

    def __init__(self) -> None:
        self._contents: dict[str, KeptContent] = {}

    def add(
        self, content: FollowContent, as_of: float, now: float
    ) -> KeptContent:
        """Keeps a content until its followers have it.

        Args:
            content: the content.
            as_of: see `KeptContent`.
            now: the current time, in seconds.
        """
        data = zlib.compress(codec.encode(content), _COMPRESS_LEVEL)
        name = _name_content(data)
        kept = KeptContent(
            name, data, bool(content.snapshot), content.upto, as_of, now, now
        )
        self._contents.pop(name, None)
        self._contents[name] = kept
        self._prune(now)
        return kept

    def find(self, name: str, now: float) -> KeptContent | None:
        """Returns the content of a name, if it is kept."""
        self._prune(now)
        kept = self._contents.get(name)
        if kept is not None:
            kept.used_at = now
        return kept

    def find_snapshot(self, oldest: int, now: float) -> KeptContent | None:
        """Returns a recent snapshot, if one is kept.

        Nodes that start together share it.

        Args:
            oldest: the index that it has to cover.
            now: the current time, in seconds.
        """
        for kept in reversed(self._contents.values()):
            is_recent = now - kept.made_at < _SHARED_SECONDS
            if is_recent and kept.is_snapshot and kept.upto >= oldest:
                kept.used_at = now
                return kept
        return None

    def _prune(self, now: float) -> None:
        for name, kept in list(self._contents.items()):
            if now - kept.used_at > _KEPT_SECONDS:
                del self._contents[name]
        total = sum(len(kept.data) for kept in self._contents.values())
        while total > _MAX_KEPT_BYTES and len(self._contents) > 1:
            oldest = next(iter(self._contents))
            total -= len(self._contents.pop(oldest).data)


class ReceivedContents:
    """The parts of contents that a follower has.

    Voters that have applied the same entries make the same content, so that one
    of them can go on where another one ended.
    """

    def __init__(self) -> None:
        self._beginnings: dict[str, bytearray] = {}
        # The name of the content that each voter has last sent a part of.
        self._names: dict[str, str] = {}

    def find_next(self, voter: str) -> tuple[str, int]:
        """Returns the content to ask a voter for, and the next offset.

        That is the one that it has begun, or else the one of which most has
        arrived; the name is empty if there is none.
        """
        name = self._names.get(voter)
        if name is None:
            sizes = {n: len(data) for n, data in self._beginnings.items()}
            name = max(sizes, key=sizes.__getitem__, default="")
        return name, len(self._beginnings.get(name, b""))

    def add(self, voter: str, part: ReplyPart) -> FollowContent | None:
        """Adds a part; returns the content once it is whole.

        Raises:
            DecodeError: the parts don't form a content.
        """
        self._names[voter] = part.content
        beginning = self._beginnings.setdefault(part.content, bytearray())
        self._discard_unnamed()
        if part.offset != len(beginning):
            return None
        beginning += part.data
        if len(beginning) < part.total:
            return None
        self._beginnings.clear()
        self._names.clear()
        return _decode_content(part.content, bytes(beginning))

    def discard(self, voter: str) -> None:
        """Forgets the parts of a voter that sends something else."""
        if self._names.pop(voter, None) is not None:
            self._discard_unnamed()

    def _discard_unnamed(self) -> None:
        """Forgets contents that no voter sends any more."""
        names = set(self._names.values())
        for name in self._beginnings.keys() - names:
            del self._beginnings[name]


def _name_content(data: bytes) -> str:
    return hashlib.sha256(data).hexdigest()[:32]


def _decode_content(name: str, data: bytes) -> FollowContent:
    if _name_content(data) != name:
        raise codec.DecodeError(f"the parts of content {name} don't match it")
    decompressor = zlib.decompressobj()
    try:
        encoded = decompressor.decompress(data, _MAX_CONTENT_BYTES)
    except zlib.error as error:
        raise codec.DecodeError(f"damaged content: {error}") from error
    if not decompressor.eof:
        raise codec.DecodeError(
            f"content {name} is cut off or has more than {_MAX_CONTENT_BYTES} "
            f"bytes decompressed"
        )
    content = codec.decode(encoded)
    if not isinstance(content, FollowContent):
        raise codec.DecodeError(f"content {name} is no FollowContent")
    return content
