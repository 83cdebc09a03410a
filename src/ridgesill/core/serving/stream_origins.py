"""Where streams began, and at which software version they may go on.

What two software versions of an upstream write doesn't fit together, and the
upstreams don't check it. So a stream goes on only at the version that brought
its first event, in one answer and over its client's tries.
"""

import collections
from collections.abc import Iterable

import attrs
import xxhash

from ridgesill.core.codec import register
from ridgesill.core.fleet.messages import Upstream

# For how long a stream may be taken up, as a multiple of its route's time-out:
# one try may end then, and another one begins.
TAKE_UP_FACTOR = 2.0
# The shortest time for which an origin is kept, in seconds.
_MIN_KEPT_SECONDS = 10.0
# Origins that a front keeps; the oldest give way.
_MAX_ORIGINS = 50_000
# An upstream that starts again may serve for this long before its first
# heartbeat is known here, in seconds. Nothing tells its new start apart from
# the old one until then.
_RESTART_SECONDS = 3.0


def make_stream_key(customer: str, request: str) -> bytes:
    """Returns the key of the stream that a request began, 16 bytes.

    The customer is a part of it, so that none finds another's streams.

    Args:
        customer: the customer that sent the request; empty without customers.
        request: id of the request, as the client sent it.
    """
    data = f"{len(customer)}:{customer}:{request}".encode(
        "utf-8", "surrogateescape"
    )
    return xxhash.xxh3_128_digest(data)


def kept_seconds(timeout: float) -> float:
    """Returns for how long a stream's origin is kept, in seconds.

    Args:
        timeout: of the stream's route, or the longest that its client waits.
    """
    return max(TAKE_UP_FACTOR * timeout, _MIN_KEPT_SECONDS)


@register
@attrs.frozen
class StreamOrigin:
    """Where a stream began, or will have begun if its first event comes.

    Attributes:
        key: see `make_stream_key`.
        service: service of the upstream.
        software: version of the upstream's software.
        instance: the upstream's name for itself, the same over restarts.
        front: name of the front that serves the request.
        attempt: number of the attempt at that front; a later one replaces it.
        seconds: for how long the stream may still be taken up.
        is_ambiguous: whether it is unknown which version began the stream.
    """

    key: bytes
    service: str
    software: str
    instance: str = ""
    front: str = ""
    attempt: int = 1
    seconds: float = _MIN_KEPT_SECONDS
    is_ambiguous: bool = False

    def has_same_version(self, other: "StreamOrigin") -> bool:
        """Whether both name the same version of the same service."""
        mine = (self.service, self.software, self.is_ambiguous)
        return mine == (other.service, other.software, other.is_ambiguous)

    def merge(self, other: "StreamOrigin") -> "StreamOrigin":
        """Returns what two records of one stream say together."""
        if self.has_same_version(other):
            return max(self, other, key=lambda origin: origin.seconds)
        if self.front == other.front and self.attempt != other.attempt:
            return max(self, other, key=lambda origin: origin.attempt)
        # Two requests had the same id.
        return attrs.evolve(other, is_ambiguous=True)


class StreamOrigins:
    """The origins that a front keeps: of its own streams and of others'."""

    def __init__(self) -> None:
        # Each with the time until which it is kept, in seconds.
        self._kept: collections.OrderedDict[
            bytes, tuple[StreamOrigin, float]
        ] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._kept)

    def record(self, origin: StreamOrigin, now: float) -> StreamOrigin:
        """Records an origin; returns what is known of the stream then."""
        known = self.find(origin.key, now)
        if known is not None:
            origin = known.merge(origin)
        self._kept[origin.key] = (origin, now + origin.seconds)
        if len(self._kept) > _MAX_ORIGINS:
            self._kept.popitem(last=False)
        return origin

    def find(self, key: bytes, now: float) -> StreamOrigin | None:
        """Returns the origin of a stream; None if it isn't known."""
        origin, until = self._kept.get(key, (None, 0.0))
        if origin is None or until < now:
            return None
        return attrs.evolve(origin, seconds=until - now)

    def discard_expired(self, now: float) -> None:
        """Forgets the streams that can't be taken up any more."""
        expired = [key for key, kept in self._kept.items() if kept[1] < now]
        for key in expired:
            del self._kept[key]


@attrs.define
class _Versions:
    """Software versions of a service.

    Attributes:
        present: those of the upstreams that are known now.
        gone_at: when others were last known, in seconds.
    """

    present: set[str] = attrs.Factory(set)
    gone_at: dict[str, float] = attrs.Factory(dict)


class SoftwareHistory:
    """Which software versions of each service were known lately.

    Args:
        since: from when on it is complete, on the caller's clock in seconds;
            minus infinity if there was nothing before.
    """

    def __init__(self, since: float) -> None:
        self._since = since
        self._services: dict[str, _Versions] = {}

    def update(self, upstreams: Iterable[Upstream], now: float) -> None:
        """Records the upstreams that are known now."""
        present: dict[str, set[str]] = {}
        for upstream in upstreams:
            present.setdefault(upstream.service, set()).add(upstream.software)
        for service in present.keys() | self._services.keys():
            versions = self._services.setdefault(service, _Versions())
            current = present.get(service, set())
            gone = versions.present - current
            versions.gone_at.update(dict.fromkeys(gone, now))
            versions.present = current

    def find_sole(self, service: str, now: float, seconds: float) -> str | None:
        """Returns the only version of a service that was known lately.

        Args:
            service: name of the service.
            now: the time, in seconds.
            seconds: how far back no other version may have been known.

        Returns:
            None if there were several, or if there may have been.
        """
        if self._since > now - seconds:
            return None
        lately = self.list_lately(service, now, seconds)
        return lately.pop() if len(lately) == 1 else None

    def list_lately(self, service: str, now: float, seconds: float) -> set[str]:
        """Returns the versions of a service that were known lately.

        Args:
            service: name of the service.
            now: the time, in seconds.
            seconds: how far back, at most; less if this history is shorter.
        """
        versions = self._services.get(service)
        if versions is None:
            return set()
        gone = {v for v, at in versions.gone_at.items() if at > now - seconds}
        return versions.present | gone


def is_possibly_restarted(
    origin: StreamOrigin, age: float, upstreams: Iterable[Upstream]
) -> bool:
    """Whether a stream may have begun at a later start of its upstream.

    Args:
        origin: of the stream.
        age: seconds since its request was sent to the upstream.
        upstreams: those that have started again with other software.
    """
    return age <= _RESTART_SECONDS and any(
        upstream.instance == origin.instance for upstream in upstreams
    )
