"""Messages about upstreams between nodes, the fleet owner and fronts.

Nodes that receive heartbeats pass them on to the owner. Fronts, and relays for
their fronts, ask the owner for news and report their usage with each question.
"""

import attrs

from ridgesill.core.codec import register
from ridgesill.core.fleet.use_reports import UseReport
from ridgesill.core.serving.limits import NamedLimit
from ridgesill.core.serving.rates import RateState

READY = "ready"
DRAINING = "draining"
# Value of `Upstream.brittle`.
NOT_BRITTLE = -1.0


@register
@attrs.frozen
class Heartbeat:
    """Periodic status report of an upstream.

    Attributes:
        name: unique name of this start of the upstream.
        service: service that the upstream belongs to.
        address: `host:port` for requests.
        data_centre: data centre of the upstream's VM.
        slots: number of requests that it processes at once.
        draining: whether it accepts no new requests.
        sequence: increases with each heartbeat; lower ones are ignored.
        resident: versions of the models (`model`) and adapters
            (`model/adapter`) that it holds; None for a plain service.
        gone_in: seconds until it shuts down; None if not announced.
        instance: the upstream's name for itself, the same over restarts; empty
            if that is `name`.
        start: increases with each restart; 0 if the upstream sends none.
        unknown: names of received fields that this version doesn't know.
        software: version of the upstream's software; empty if it names none.
    """

    name: str
    service: str
    address: str
    data_centre: str
    slots: int
    draining: bool
    sequence: int
    resident: dict[str, int] | None = None
    gone_in: float | None = None
    instance: str = ""
    start: int = 0
    unknown: tuple[str, ...] = ()
    software: str = ""

    @property
    def identity(self) -> str:
        """The instance name, the same over restarts."""
        return self.instance or self.name


@register
@attrs.frozen
class HeardHeartbeat:
    """Forwards a heartbeat to the owner."""

    heartbeat: Heartbeat


@register
@attrs.frozen
class HeardLeave:
    """Forwards an upstream's announcement that it is leaving to the owner.

    Attributes:
        name: instance name of the upstream.
        start: start number; 0 if the upstream sends none.
    """

    name: str
    start: int = 0


@register
@attrs.frozen
class Taken:
    """Confirms that the owner has applied a forwarded message."""


@register
@attrs.frozen
class Upstream:
    """Record of an upstream, sent to fronts.

    Attributes:
        name: unique name of this start of the upstream.
        service: service that the upstream belongs to.
        address: `host:port` for requests.
        data_centre: data centre of the upstream's VM.
        slots: number of requests that it processes at once.
        state: `READY` or `DRAINING`.
        resident: versions held, by `model` or `model/adapter`.
        instance: the upstream's name for itself, the same over restarts.
        start: increases with each restart; 0 if the upstream sends none.
        has_strays: whether orders to an earlier start may still run on this
            one. The next owner doesn't know orders that its predecessor sent.
        pace: time that it takes for the same work, as a multiple of the mean
            over the upstreams of its service.
        is_ejected: whether it fails so many requests, over all fronts, that it
            should get none but probes.
        software: version of its software; empty if it names none. What two
            versions write doesn't fit together, and versions have no order.
        brittle: rejections per second that it bears before it falls over;
            `NOT_BRITTLE` if it bears any.
    """

    name: str
    service: str
    address: str
    data_centre: str
    slots: int
    state: str = READY
    resident: dict[str, int] = attrs.Factory(dict)
    instance: str = ""
    start: int = 0
    has_strays: bool = False
    pace: float = 1.0
    is_ejected: bool = False
    software: str = ""
    brittle: float = NOT_BRITTLE


@register
@attrs.frozen
class ServiceNews:
    """Load of a service, as the owner tells fronts.

    Attributes:
        capacity: requests a second that its upstreams can serve in time, over
            all fronts; 0 if unknown.
        shares: rate states by key of the request class; classes that aren't
            listed are admitted without restriction.
        returns_in: seconds until there is room for callers that are refused
            now.
        returns_over: seconds over which these callers should spread their
            return.
        limit: requests in progress over all fronts that upstreams can answer
            in time; 0 if unknown.
    """

    capacity: float = 0.0
    shares: dict[str, RateState] = attrs.Factory(dict)
    returns_in: float = 0.0
    returns_over: float = 0.0
    limit: float = 0.0


@register
@attrs.frozen
class UpstreamChange:
    """One change of an upstream.

    Attributes:
        name: name of the upstream.
        record: the full record if the upstream is new or its own fields have
            changed; None otherwise.
        gone: whether the upstream is removed.
        added: new versions by artifact that it holds.
        removed: artifacts that it no longer holds.
        pace: the new `Upstream.pace`; None if it hasn't changed.
        is_ejected: the new `Upstream.is_ejected`; None if it hasn't changed.
        brittle: the new `Upstream.brittle`; None if it hasn't changed.
    """

    name: str
    record: Upstream | None = None
    gone: bool = False
    added: dict[str, int] = attrs.Factory(dict)
    removed: tuple[str, ...] = ()
    pace: float | None = None
    is_ejected: bool | None = None
    brittle: float | None = None


@register
@attrs.frozen
class FrontRoom:
    """How many fronts of a data centre have room.

    Attributes:
        fronts: number of fronts that have reported.
        with_room: number of these that refuse no requests because of their
            own load.
    """

    fronts: int = 0
    with_room: int = 0

    def plus(self, other: "FrontRoom") -> "FrontRoom":
        """Returns the sum of both."""
        return FrontRoom(
            self.fronts + other.fronts, self.with_room + other.with_room
        )


@register
@attrs.frozen
class WatchFleet:
    """Long-poll question to the owner or a relay, with a usage report.

    Attributes:
        epoch: epoch of the owner that counted `number`; 0 before any news.
        number: number of the last change that the asker has.
        wait: seconds after which an answer comes even without news.
        is_front: whether the asker reports for fronts.
        used: requests by artifact since the last question.
        busy: requests in progress from these fronts, by upstream and artifact.
        fronts: number of fronts that the asker reports for.
        reported_ago: age in seconds of the oldest of their reports.
        resting: number of these fronts that an upstream has asked to pause, by
            upstream.
        reports: uses of rates, each sent again until it is confirmed.
        limits: rate limits that upstreams have named to these fronts.
        is_relayed: whether a relay asks for its fronts. Only the owner accepts
            such reports: if nodes that ask each other passed them on, each
            would count them again.
        rooms: room of these fronts by data centre; empty where their VMs have
            no limits.
    """

    epoch: int
    number: int
    wait: float
    is_front: bool = True
    used: dict[str, int] = attrs.Factory(dict)
    busy: dict[str, dict[str, int]] = attrs.Factory(dict)
    fronts: int = 1
    reported_ago: float = 0.0
    resting: dict[str, int] = attrs.Factory(dict)
    reports: tuple[UseReport, ...] = ()
    limits: dict[str, NamedLimit] = attrs.Factory(dict)
    is_relayed: bool = False
    rooms: dict[str, FrontRoom] = attrs.Factory(dict)


@register
@attrs.frozen
class FleetNews:
    """Answer to a `WatchFleet`.

    Attributes:
        epoch: the owner's epoch; 0 from a node that can't answer for an owner.
        number: number of the last change included.
        whole: whether `changes` are the full state rather than a difference.
        changes: changes of upstreams, in order.
        fronts: number of fronts that report to the owner.
        busy: requests in progress by upstream, over all fronts.
        settled: whether the owner has had the time to receive a heartbeat from
            every upstream. One that has just started knows none, even if all
            of them run.
        age: seconds since the relay received this news from the owner; 0
            from the owner itself.
        quotas: rate states of the customers near their limits.
        limits: rate limits that upstreams have named.
        sends: rate states of these limits, by upstream.
        taken: numbers of the use reports that the node has accepted.
        knows_uses: whether the owner knows how much customers use. One that
            has just started without its predecessor's state would let
            everything pass.
        services: load of the services that the owner limits.
        rooms: room of the fronts, of the data centres where one is full.
    """

    epoch: int
    number: int = 0
    whole: bool = False
    changes: tuple[UpstreamChange, ...] = ()
    fronts: int = 1
    busy: dict[str, int] = attrs.Factory(dict)
    settled: bool = True
    age: float = 0.0
    quotas: dict[str, RateState] = attrs.Factory(dict)
    limits: dict[str, NamedLimit] = attrs.Factory(dict)
    sends: dict[str, RateState] = attrs.Factory(dict)
    taken: tuple[int, ...] = ()
    knows_uses: bool = True
    services: dict[str, ServiceNews] = attrs.Factory(dict)
    rooms: dict[str, FrontRoom] = attrs.Factory(dict)


# Priority of a want that names none: the lowest that deployments use, so that
# it delays no request whose priority is known.
LEAST_URGENT_PRIORITY = 2


@register
@attrs.frozen
class WantArtifact:
    """Asks the owner for an engine that holds an artifact, for one request.

    Attributes:
        service: service of the engines.
        artifact: `model` or `model/adapter`.
        version: lowest version that will do; 0 for any.
        avoid: names of the upstreams that the request must not go to, such as
            those that have just failed it.
        patience: seconds that the request can wait.
        data_centre: data centre where the request arrived.
        goal: seconds until the answer's first event is late; negative if it is
            late already.
        request: id of the request.
        tokens: number of tokens in the prompt.
        answer_tokens: maximum number of tokens in the answer.
        is_held: whether the asker knows an upstream that holds the artifact.
            It sends the request there itself unless the owner answers at once.
        priority: the customer's priority, or else the route's; 0 is the most
            urgent. Fronts of the previous release name none.
        customer: name of the customer; empty where callers have no keys, and
            from fronts of the previous release.
        software: version of the software that the engine must run; None for
            any.
    """

    service: str
    artifact: str
    version: int
    avoid: tuple[str, ...] = ()
    patience: float = 1.0
    data_centre: str = ""
    goal: float = 1.0
    request: str = ""
    tokens: int = 0
    answer_tokens: int = 0
    is_held: bool = False
    priority: int = LEAST_URGENT_PRIORITY
    customer: str = ""
    software: str | None = None

    @property
    def load_key(self) -> tuple[str, str, str | None]:
        """Requests with the same key can share a load."""
        return self.service, self.artifact, self.software

    def accepts_software(self, software: str) -> bool:
        """Whether an engine with this software version can serve it."""
        return self.software is None or self.software == software


@register
@attrs.frozen
class ReadingEnded:
    """Tells the owner that an engine has read a prompt, or never will.

    Reading a prompt (prefill) ends with the first event of the answer.

    Attributes:
        request: id of the request.
        upstream: name of the engine; empty if the request ended before the
            front knew which engine the owner had chosen.
        was_read: whether the first event of the answer has arrived.
        failed: whether the upstream failed the request: no answer, a broken
            one or an error.
        unreachable: whether the request failed before any of it was sent.
    """

    request: str
    upstream: str
    was_read: bool
    failed: bool = False
    unreachable: bool = False


# Value of `ArtifactReady.reason`: a holder exists, but the answer comes sooner,
# or can only come, from an engine that first loads another copy.
COPY_IS_SOONER = "copy_is_sooner"


@register
@attrs.frozen
class ArtifactReady:
    """Answer to a `WantArtifact`.

    Attributes:
        upstream: name of an engine that holds the artifact; empty if none will
            in time.
        version: version that the engine holds.
        after: seconds after which asking again may help.
        reason: why no engine is named.
        read_seconds: predicted time for the engine to read the prompt; 0 if
            unknown.
        first_seconds: predicted time until the first event of the answer; 0 if
            unknown.
    """

    upstream: str
    version: int = 0
    after: float = 0.0
    reason: str = ""
    read_seconds: float = 0.0
    first_seconds: float = 0.0
