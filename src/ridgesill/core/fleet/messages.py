"""Messages on upstreams between heartbeats' receivers, owner and fronts."""

import attrs

from ridgesill.core.codec import register
from ridgesill.core.fleet.use_reports import UseReport
from ridgesill.core.serving.limits import NamedLimit
from ridgesill.core.serving.rates import RateState

READY = "ready"
DRAINING = "draining"


@register
@attrs.frozen
class Heartbeat:
    """What an upstream says of itself.

    Attributes:
        name: of this start; another start has another.
        slots: requests that it works on at once.
        sequence: rises with each heartbeat; an older one is passed over.
        resident: versions of the models (`model`) and adapters
            (`model/adapter`) that it holds; None for a plain service.
        gone_in: seconds until it is gone; None when it doesn't say.
        instance: what it calls itself, at each of its starts; empty when that
            is its name.
        start: rises with each of its starts; 0 when it doesn't tell.
        unknown: fields that nothing here reads.
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

    @property
    def identity(self) -> str:
        """What it calls itself, at each of its starts."""
        return self.instance or self.name


@register
@attrs.frozen
class HeardHeartbeat:
    """A heartbeat that another node passes on to the owner."""

    heartbeat: Heartbeat


@register
@attrs.frozen
class HeardLeave:
    """An upstream's word that it is leaving, passed on to the owner.

    Attributes:
        name: what it calls itself.
        start: which of its starts; 0 when it doesn't tell.
    """

    name: str
    start: int = 0


@register
@attrs.frozen
class Taken:
    """The owner has taken what was passed on."""


@register
@attrs.frozen
class Upstream:
    """An upstream as the fronts know it.

    Attributes:
        resident: versions by `model` or `model/adapter`.
        instance: what it calls itself, at each of its starts.
        start: rises with each of its starts; 0 when it doesn't tell.
        has_strays: whether orders of an earlier start may run on this one,
            which a successor of the owner that gave them doesn't know.
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


@register
@attrs.frozen
class UpstreamChange:
    """One change of what is known.

    Attributes:
        record: the whole record, when the upstream itself is new or changed.
        gone: whether it is to be forgotten.
        added: versions that it holds now.
        removed: what it holds no more.
    """

    name: str
    record: Upstream | None = None
    gone: bool = False
    added: dict[str, int] = attrs.Factory(dict)
    removed: tuple[str, ...] = ()


@register
@attrs.frozen
class WatchFleet:
    """Asks the owner for what has changed.

    Attributes:
        epoch: of the owner that `number` is from; 0 at the start.
        number: of the last change known.
        wait: seconds after which the owner answers with nothing new.
        is_front: whether it speaks for fronts.
        used: requests by artifact since the last question.
        busy: requests in progress from these fronts, by upstream and artifact.
        fronts: how many fronts it speaks for.
        reported_ago: seconds since each of them has reported.
        resting: at how many of them an upstream wants no requests.
        reports: what was sent under rates, each until it is taken.
        limits: that these fronts have heard upstreams name.
        is_relayed: whether a relay asks for its fronts. Only the owner takes
            its report: passed on by nodes that ask each other, it would count
            again with each of them.
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


@register
@attrs.frozen
class FleetNews:
    """Answers a `WatchFleet`.

    Attributes:
        epoch: the owner's; 0 from a node that isn't the owner.
        whole: whether `changes` make up everything known.
        fronts: how many fronts ask.
        busy: requests in progress by upstream, from all fronts.
        settled: whether the owner has had the time to hear every upstream; one
            that has just started knows none, though all may be there.
        age: seconds since the owner said so, to the node that passes it on.
        quotas: of the customers near their limits.
        limits: that upstreams have named.
        sends: what may be sent of what these limits allow, by upstream.
        taken: numbers of the reports that the node has taken.
        knows_uses: whether the owner knows what customers use. One that has
            just begun without an earlier one's word would let all pass.
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


@register
@attrs.frozen
class WantArtifact:
    """Asks the owner to have an engine hold something.

    Attributes:
        artifact: `model` or `model/adapter`.
        version: at least this one; 0 for any.
        avoid: upstreams that have just failed this request.
        patience: seconds that the request can wait.
        data_centre: where the request came in.
        goal: seconds until the answer's first event is late; negative when it
            is late already.
        request: its id.
        tokens: of its prompt.
        answer_tokens: the most that its answer may have.
        is_held: whether the asker knows an upstream that holds it; it then
            goes there by itself unless it is answered at once.
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


@register
@attrs.frozen
class ReadingEnded:
    """Tells the owner that a prompt was read, or never will be.

    Attributes:
        upstream: where; empty from one that left before it was told.
        was_read: whether its first event has come.
        failed: whether the upstream failed it: no answer, a broken one, or one
            that says so.
        unreachable: whether it failed before anything was sent.
    """

    request: str
    upstream: str
    was_read: bool
    failed: bool = False
    unreachable: bool = False


# Reason why an owner names no holder at once although there is one: the answer
# comes sooner, or only then at all, once another engine has loaded a copy.
COPY_IS_SOONER = "copy_is_sooner"


@register
@attrs.frozen
class ArtifactReady:
    """An engine holds it; or, when `upstream` is empty, none will in time.

    Attributes:
        read_seconds: that the prompt takes to read there; 0 if not known.
        first_seconds: predicted until the first event; 0 if not known.
        after: seconds after which asking again may help.
        reason: why there is none.
    """

    upstream: str
    version: int = 0
    after: float = 0.0
    reason: str = ""
    read_seconds: float = 0.0
    first_seconds: float = 0.0
