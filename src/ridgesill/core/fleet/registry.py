"""What is known of the upstreams, as numbered changes."""

import collections
from collections.abc import Iterable

import attrs

from ridgesill.core.fleet.messages import (
    DRAINING,
    READY,
    FleetNews,
    Heartbeat,
    Upstream,
    UpstreamChange,
    WatchFleet,
)
from ridgesill.core.fleet.sent_orders import UNANSWERED_SECONDS
from ridgesill.core.serving.limits import NamedLimit
from ridgesill.core.serving.rates import RateState

# Changes kept for those who ask; who is further behind gets everything.
_CHANGES_KEPT = 4096
# How long a sequence number is remembered after its upstream is gone, so that
# a heartbeat that was long on its way can't bring it back; seconds.
_REMEMBERED_SECONDS = 30.0
# An incarnation heard within this share of the patience is likely alive; four
# intervals between heartbeats make the patience.
_ALIVE_SHARE = 0.3


@attrs.define
class _Heard:
    sequence: int
    at: float


@attrs.frozen
class _Start:
    """The latest start of an instance.

    Attributes:
        start: 0 when it doesn't tell.
        at: when this was noted.
        has_left: whether it said that it leaves, though nobody here knew it.
    """

    start: int
    at: float
    has_left: bool = False


class _Index:
    """Names of upstreams by something that several may share.

    A heartbeat looks for those at its address and of its instance. Looking at
    all upstreams for that took 64 us of 1,000 (timed alone), several hundred
    times a second.
    """

    def __init__(self) -> None:
        # Dicts keep the order in which names came.
        self._names: dict[str, dict[str, None]] = {}

    def add(self, key: str, name: str) -> None:
        """Takes a name."""
        self._names.setdefault(key, {})[name] = None

    def remove(self, key: str, name: str) -> None:
        """Forgets a name, if it is there."""
        names = self._names.get(key)
        if names is not None:
            names.pop(name, None)
            if not names:
                del self._names[key]

    def find(self, key: str) -> tuple[str, ...]:
        """Returns the names, the first that came at the start."""
        return tuple(self._names.get(key, ()))


class Registry:
    """The upstreams known to a node.

    Args:
        epoch: of the owner whose changes these are.
        patience: seconds of silence after which an upstream is forgotten.
    """

    def __init__(self, epoch: int, patience: float) -> None:
        self.epoch = epoch
        self.number = 0
        self.upstreams: dict[str, Upstream] = {}
        self._at_address = _Index()
        self._of_instance = _Index()
        self._patience = patience
        self._settled_at = float("-inf")
        self._heard: dict[str, _Heard] = {}
        self._left: dict[str, float] = {}
        self._starts: dict[str, _Start] = {}
        # When each start that followed an earlier one was first heard.
        self._anew_at: dict[str, float] = {}
        # Incarnations that nobody here knows, with when they were last heard,
        # at the address of one that seems alive.
        self._doubted: dict[str, float] = {}
        self._changes: collections.deque[tuple[int, UpstreamChange]] = (
            collections.deque(maxlen=_CHANGES_KEPT)
        )

    def adopt(self, upstreams: Iterable[Upstream], now: float) -> None:
        """Takes over what an earlier owner knew, as if just heard."""
        for upstream in upstreams:
            if not upstream.instance:
                upstream = attrs.evolve(upstream, instance=upstream.name)
            self._put(upstream)
            self._heard[upstream.name] = _Heard(-1, now)
            if upstream.has_strays:
                self._anew_at[upstream.name] = now
            self._starts[upstream.instance] = _Start(upstream.start, now)
            self._note(UpstreamChange(upstream.name, upstream))

    def _put(self, upstream: Upstream) -> None:
        """Takes an upstream, in the place of its earlier record if any."""
        name = upstream.name
        known = self.upstreams.get(name)
        if known is not None:
            self._take_from_indexes(known)
        self.upstreams[name] = upstream
        self._at_address.add(upstream.address, name)
        self._of_instance.add(upstream.instance, name)

    def _remove(self, name: str) -> bool:
        """Forgets an upstream; returns whether it was known."""
        known = self.upstreams.pop(name, None)
        if known is None:
            return False
        self._take_from_indexes(known)
        return True

    def _take_from_indexes(self, known: Upstream) -> None:
        self._at_address.remove(known.address, known.name)
        self._of_instance.remove(known.instance, known.name)

    def begin_settling(self, now: float) -> None:
        """Notes that upstreams are there which nobody here has heard yet."""
        self._settled_at = now + self._patience

    # -- what upstreams say --------------------------------------------

    def handle_heartbeat(self, heartbeat: Heartbeat, now: float) -> bool:
        """Takes a heartbeat; returns False for one that is out of date."""
        name = heartbeat.name
        heard = self._heard.get(name)
        if name in self._left or self._is_of_earlier_start(heartbeat):
            return False
        if heard is not None and heartbeat.sequence <= heard.sequence:
            return False
        if name not in self.upstreams and self._is_doubtful(heartbeat, now):
            self._doubted[name] = now
            return False
        self._doubted.pop(name, None)
        self._heard[name] = _Heard(heartbeat.sequence, now)
        instance = heartbeat.identity
        before = self._starts.get(instance)
        if before is not None and before.start != heartbeat.start:
            self._anew_at[name] = now
        self._starts[instance] = _Start(heartbeat.start, now)
        self._forget_predecessors(heartbeat, now)
        known = self.upstreams.get(name)
        state = DRAINING if heartbeat.draining else READY
        if known is not None and known.state == DRAINING:
            # One that has said it leaves does not come back.
            state = DRAINING
        record = Upstream(
            name,
            heartbeat.service,
            heartbeat.address,
            heartbeat.data_centre,
            heartbeat.slots,
            state,
            known.resident if known else dict(heartbeat.resident or {}),
            instance,
            heartbeat.start,
            name in self._anew_at,
        )
        if record != known:
            self._put(record)
            self._note(UpstreamChange(name, record))
        return True

    def _is_of_earlier_start(self, heartbeat: Heartbeat) -> bool:
        """Whether it is of an earlier start than one known, or may be.

        Counts of heartbeats begin anew with each start, so that only the start
        tells. One that doesn't tell it, where others did, isn't the upstream's
        own.
        """
        known = self._starts.get(heartbeat.identity)
        if known is None or heartbeat.start > known.start > 0:
            return False
        return known.has_left or heartbeat.start < known.start

    def _is_doubtful(self, heartbeat: Heartbeat, now: float) -> bool:
        """Whether this may be an earlier incarnation's word, long on its way.

        A cut may hold a heartbeat back until its sender has crashed and a new
        incarnation has begun at the same address. An owner that never knew the
        earlier one would take it for the newer, and drop the one that serves
        for as long as names are remembered. Which one is alive shows with the
        next heartbeat of either.
        """
        for name in self._at_address.find(heartbeat.address):
            other = self.upstreams[name]
            if other.state == DRAINING:
                continue
            if other.instance == heartbeat.identity:
                # Its starts tell which of the two is the later one.
                continue
            heard_at = self._heard[other.name].at
            doubted_at = self._doubted.get(heartbeat.name)
            if doubted_at is not None and heard_at < doubted_at:
                # Only this one has been heard since.
                continue
            if now - heard_at <= self._patience * _ALIVE_SHARE:
                return True
        return False

    def _forget_predecessors(self, heartbeat: Heartbeat, now: float) -> None:
        """Forgets who had this address or this instance: it has ended."""
        at_address = self._at_address.find(heartbeat.address)
        of_instance = self._of_instance.find(heartbeat.identity)
        for name in (*at_address, *of_instance):
            if name != heartbeat.name:
                self.remove(name, now)

    def find(self, instance: str) -> Upstream | None:
        """Returns the start of an instance that is known."""
        names = self._of_instance.find(instance)
        return self.upstreams[names[0]] if names else None

    def handle_leave(self, instance: str, start: int, now: float) -> str:
        """Notes that a start of an instance leaves.

        Args:
            instance: what it calls itself.
            start: which of its starts; 0 when it doesn't tell.
            now: the clock, in seconds.

        Returns:
            The name of the start that leaves; empty when it isn't known.
        """
        known = self.find(instance)
        if known is None:
            before = self._starts.get(instance)
            last = before.start if before else 0
            self._starts[instance] = _Start(start or last, now, has_left=True)
            return ""
        if start and start < known.start:
            # A word of an earlier start, long on its way.
            return ""
        self.mark_draining(known.name, now)
        return known.name

    def mark_draining(self, name: str, now: float) -> None:
        """Notes that an upstream leaves."""
        known = self.upstreams.get(name)
        if known is None:
            self._left[name] = now
        elif known.state != DRAINING:
            record = attrs.evolve(known, state=DRAINING)
            self.upstreams[name] = record
            self._note(UpstreamChange(name, record))

    def remove(self, name: str, now: float) -> None:
        """Forgets an upstream that is gone."""
        if self._remove(name):
            self._left[name] = now
            self._note(UpstreamChange(name, gone=True))

    def expire(self, now: float) -> list[str]:
        """Forgets upstreams that have been silent; returns their names."""
        silent = [
            name
            for name in self.upstreams
            if now - self._heard[name].at > self._patience
        ]
        for name in silent:
            self._remove(name)
            # It may be heard again: silence is no departure.
            self._note(UpstreamChange(name, gone=True))
        for name, at in list(self._left.items()):
            if now - at > _REMEMBERED_SECONDS:
                del self._left[name]
                self._heard.pop(name, None)
        self._settle_strays(now)
        known_instances = {u.instance for u in self.upstreams.values()}
        for instance, noted in list(self._starts.items()):
            is_old = now - noted.at > _REMEMBERED_SECONDS
            if is_old and instance not in known_instances:
                del self._starts[instance]
        for name, at in list(self._doubted.items()):
            if now - at > self._patience:
                del self._doubted[name]
        return silent

    def _settle_strays(self, now: float) -> None:
        """Notes which starts can't run orders of earlier ones any more."""
        for name, at in list(self._anew_at.items()):
            if now - at <= UNANSWERED_SECONDS:
                continue
            del self._anew_at[name]
            known = self.upstreams.get(name)
            if known is not None:
                record = attrs.evolve(known, has_strays=False)
                self.upstreams[name] = record
                self._note(UpstreamChange(name, record))

    def seconds_since_heartbeat(self, name: str, now: float) -> float:
        """Returns the seconds since an upstream was heard."""
        heard = self._heard.get(name)
        return now - heard.at if heard else float("inf")

    # -- what upstreams hold -------------------------------------------

    def set_resident(self, name: str, resident: dict[str, int]) -> None:
        """Replaces what is known to be held by an upstream."""
        known = self.upstreams.get(name)
        if known is None or known.resident == resident:
            return
        added = {
            artifact: version
            for artifact, version in resident.items()
            if known.resident.get(artifact) != version
        }
        removed = tuple(a for a in known.resident if a not in resident)
        self.upstreams[name] = attrs.evolve(known, resident=dict(resident))
        self._note(UpstreamChange(name, added=added, removed=removed))

    # -- changes -------------------------------------------------------

    def _note(self, change: UpstreamChange) -> None:
        self.number += 1
        self._changes.append((self.number, change))

    def has_news(self, epoch: int, number: int) -> bool:
        """Whether something has changed since a number."""
        return epoch != self.epoch or number < self.number

    def make_news(
        self,
        question: WatchFleet,
        fronts: int,
        busy: dict[str, int],
        now: float,
    ) -> FleetNews:
        """Returns what has changed since a question's number, or everything."""
        epoch, number = question.epoch, question.number
        if epoch == self.epoch and number > 0 and number >= self._oldest():
            changes = tuple(c for n, c in self._changes if n > number)
            whole = False
        else:
            changes = tuple(
                UpstreamChange(u.name, u) for u in self.upstreams.values()
            )
            whole = True
        return FleetNews(
            self.epoch,
            self.number,
            whole,
            changes,
            fronts,
            busy,
            now >= self._settled_at,
        )

    def _oldest(self) -> int:
        """Returns the lowest number from which all changes are kept."""
        return self._changes[0][0] - 1 if self._changes else self.number


@attrs.define
class FleetView:
    """What a front knows of the upstreams; it may be old.

    Attributes:
        holders: names of the upstreams that hold an artifact.
        known_at: when the owner's last news arrived, here or at the node that
            passed them on, on the runtime's clock.
        quotas: of the customers near their limits.
        limits: that upstreams had named at `known_at`.
        sends: what may be sent of what these limits allow, by upstream.
        knows_uses: whether the owner knows what customers use.
    """

    epoch: int = 0
    number: int = 0
    fronts: int = 1
    updated_at: float = float("-inf")
    upstreams: dict[str, Upstream] = attrs.Factory(dict)
    busy: dict[str, int] = attrs.Factory(dict)
    quotas: dict[str, RateState] = attrs.Factory(dict)
    limits: dict[str, NamedLimit] = attrs.Factory(dict)
    sends: dict[str, RateState] = attrs.Factory(dict)
    knows_uses: bool = True
    _unconfirmed: set[str] = attrs.Factory(set)

    def apply_news(self, news: FleetNews, now: float) -> None:
        """Takes what the owner answers."""
        if news.epoch < self.epoch:
            return
        if news.whole:
            # An owner that has just started must not take away what is there.
            self._unconfirmed = set(self.upstreams)
        for change in news.changes:
            self._unconfirmed.discard(change.name)
            self._apply(change)
        if news.settled:
            self._forget_unconfirmed()
        self.epoch = news.epoch
        self.number = news.number
        self.fronts = max(news.fronts, 1)
        self.busy = news.busy
        self.quotas = news.quotas
        self.limits = news.limits
        self.sends = news.sends
        self.knows_uses = news.knows_uses
        self.updated_at = now - news.age

    def _forget_unconfirmed(self) -> None:
        for name in self._unconfirmed:
            self.upstreams.pop(name, None)
        self._unconfirmed.clear()

    def confirmed_upstreams(self) -> list[Upstream]:
        """Returns the upstreams that the owner of this epoch has named."""
        return [
            upstream
            for upstream in self.upstreams.values()
            if upstream.name not in self._unconfirmed
        ]

    def make_bootstrap_news(self, question: WatchFleet) -> FleetNews:
        """Tells a front that knows nothing what an earlier owner said."""
        if question.epoch or not self.epoch:
            return FleetNews(0)
        changes = tuple(
            UpstreamChange(name, upstream)
            for name, upstream in self.upstreams.items()
        )
        # Number 0 makes it ask the next owner for everything.
        return FleetNews(self.epoch, 0, True, changes, self.fronts)

    def _apply(self, change: UpstreamChange) -> None:
        if change.gone:
            self.upstreams.pop(change.name, None)
            return
        if change.record is not None:
            # A copy: what is held changes in place below.
            self.upstreams[change.name] = attrs.evolve(
                change.record, resident=dict(change.record.resident)
            )
            return
        known = self.upstreams.get(change.name)
        if known is None:
            return
        known.resident.update(change.added)
        for artifact in change.removed:
            known.resident.pop(artifact, None)

    def ready_upstreams(self, service: str) -> list[Upstream]:
        """Returns the upstreams of a service that take new work."""
        return [
            upstream
            for upstream in self.upstreams.values()
            if upstream.service == service and upstream.state == READY
        ]

    def holders(
        self, service: str, artifact: str, version: int = 0
    ) -> list[Upstream]:
        """Returns those that hold an artifact in a version or a later one."""
        return [
            upstream
            for upstream in self.ready_upstreams(service)
            if upstream.resident.get(artifact, -1) >= version
        ]
