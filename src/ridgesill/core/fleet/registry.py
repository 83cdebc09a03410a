"""State of the upstreams, published as numbered changes.

The owner keeps a `Registry` and answers questions with the changes since a
number. Fronts and relays apply these changes to their `FleetView`.
"""

import collections
from collections.abc import Iterable

import attrs

from ridgesill.core.fleet.brittle_bounds import BrittleBounds
from ridgesill.core.fleet.messages import (
    DRAINING,
    READY,
    FleetNews,
    FrontRoom,
    Heartbeat,
    ServiceNews,
    Upstream,
    UpstreamChange,
    WatchFleet,
)
from ridgesill.core.fleet.sent_orders import UNANSWERED_SECONDS
from ridgesill.core.serving.limits import NamedLimit
from ridgesill.core.serving.rates import RateState

# Changes kept for incremental news; an asker further behind gets the full
# state.
_MAX_KEPT_CHANGES = 4096
# How long the name, sequence number and start of a removed upstream are kept,
# in seconds, so that a delayed heartbeat can't bring it back.
_REMOVED_NAME_KEPT_SECONDS = 30.0
# An incarnation that has sent a heartbeat within this share of the patience is
# likely alive; the patience is four heartbeat intervals.
_LIKELY_ALIVE_SHARE = 0.3


@attrs.define
class _LastHeartbeat:
    """Sequence number and arrival time of an upstream's last heartbeat.

    Attributes:
        sequence: sequence number; -1 if an earlier owner received it.
        at: clock time of its arrival, in seconds.
    """

    sequence: int
    at: float


@attrs.frozen
class _InstanceStart:
    """The latest known start of an instance.

    Attributes:
        start: start number; 0 if the instance doesn't send one.
        at: clock time of this record, in seconds.
        has_left: whether the instance announced its departure before the
            registry knew it.
    """

    start: int
    at: float
    has_left: bool = False


class _NameIndex:
    """Index of upstream names by a key that several upstreams may share.

    Each heartbeat looks up the upstreams with its address and those with its
    instance, several hundred times a second. A scan over 1,000 upstreams takes
    64 us each time.
    """

    def __init__(self) -> None:
        # Inner dicts serve as sets that keep insertion order.
        self._names: dict[str, dict[str, None]] = {}

    def add(self, key: str, name: str) -> None:
        """Adds a name under a key."""
        self._names.setdefault(key, {})[name] = None

    def remove(self, key: str, name: str) -> None:
        """Removes a name from a key; does nothing if it isn't there."""
        names = self._names.get(key)
        if names is not None:
            names.pop(name, None)
            if not names:
                del self._names[key]

    def find(self, key: str) -> tuple[str, ...]:
        """Returns the names under a key in insertion order."""
        return tuple(self._names.get(key, ()))


class Registry:
    """The owner's record of all upstreams, with a log of changes.

    Args:
        epoch: epoch of the owner that numbers the changes.
        patience: seconds without a heartbeat after which an upstream is
            removed.
    """

    def __init__(self, epoch: int, patience: float) -> None:
        self.epoch = epoch
        self.number = 0
        self.upstreams: dict[str, Upstream] = {}
        self.brittle_bounds = BrittleBounds()
        self._names_by_address = _NameIndex()
        self._names_by_instance = _NameIndex()
        self._patience = patience
        self._settles_at = float("-inf")
        self._last_heartbeats: dict[str, _LastHeartbeat] = {}
        self._departed_at: dict[str, float] = {}
        self._latest_starts: dict[str, _InstanceStart] = {}
        # Time of the first heartbeat of each start that followed an earlier
        # one, by upstream name.
        self._restarted_at: dict[str, float] = {}
        # Time of the last heartbeat of each unknown incarnation that uses the
        # address of an upstream that seems alive, by upstream name.
        self._unverified_at: dict[str, float] = {}
        self._changes: collections.deque[tuple[int, UpstreamChange]] = (
            collections.deque(maxlen=_MAX_KEPT_CHANGES)
        )

    def adopt(self, upstreams: Iterable[Upstream], now: float) -> None:
        """Takes over the upstreams of an earlier owner.

        Each counts as if its heartbeat had arrived now.
        """
        upstreams = list(upstreams)
        self.brittle_bounds.adopt(upstreams)
        for upstream in upstreams:
            if not upstream.instance:
                upstream = attrs.evolve(upstream, instance=upstream.name)
            self._store(upstream)
            self._last_heartbeats[upstream.name] = _LastHeartbeat(-1, now)
            if upstream.has_strays:
                self._restarted_at[upstream.name] = now
            self._latest_starts[upstream.instance] = _InstanceStart(
                upstream.start, now
            )
            self._append_change(UpstreamChange(upstream.name, upstream))

    def _store(self, upstream: Upstream) -> None:
        """Stores an upstream, replacing its earlier record if there is one."""
        name = upstream.name
        known = self.upstreams.get(name)
        if known is not None:
            self._remove_from_indexes(known)
        self.upstreams[name] = upstream
        self._names_by_address.add(upstream.address, name)
        self._names_by_instance.add(upstream.instance, name)

    def _discard(self, name: str) -> bool:
        """Removes an upstream's record; returns whether it was known."""
        known = self.upstreams.pop(name, None)
        if known is None:
            return False
        self._remove_from_indexes(known)
        return True

    def _remove_from_indexes(self, known: Upstream) -> None:
        self._names_by_address.remove(known.address, known.name)
        self._names_by_instance.remove(known.instance, known.name)

    def begin_settling(self, now: float) -> None:
        """Marks the registry as incomplete until the patience has passed.

        A new owner without an earlier owner's state calls this: upstreams may
        be running whose heartbeats haven't arrived yet.
        """
        self._settles_at = now + self._patience

    # -- heartbeats and departures -------------------------------------

    def handle_heartbeat(self, heartbeat: Heartbeat, now: float) -> bool:
        """Applies a heartbeat; returns False if it is stale and ignored."""
        name = heartbeat.name
        last_heartbeat = self._last_heartbeats.get(name)
        if name in self._departed_at or self._is_of_earlier_start(heartbeat):
            return False
        if (
            last_heartbeat is not None
            and heartbeat.sequence <= last_heartbeat.sequence
        ):
            return False
        if name not in self.upstreams and self._is_possibly_stale(
            heartbeat, now
        ):
            self._unverified_at[name] = now
            return False
        self._unverified_at.pop(name, None)
        self._last_heartbeats[name] = _LastHeartbeat(heartbeat.sequence, now)
        instance = heartbeat.identity
        previous = self._latest_starts.get(instance)
        if previous is not None and previous.start != heartbeat.start:
            self._restarted_at[name] = now
        self._latest_starts[instance] = _InstanceStart(heartbeat.start, now)
        self._remove_predecessors(heartbeat, now)
        known = self.upstreams.get(name)
        state = DRAINING if heartbeat.draining else READY
        if known is not None and known.state == DRAINING:
            # Draining is final for a start.
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
            name in self._restarted_at,
            known.pace if known else 1.0,
            known.is_ejected if known else False,
            heartbeat.software,
            self.brittle_bounds.find(name, heartbeat.service),
        )
        if record != known:
            self._store(record)
            self._append_change(UpstreamChange(name, record))
        return True

    def _is_of_earlier_start(self, heartbeat: Heartbeat) -> bool:
        """Whether a heartbeat comes, or may come, from an earlier start.

        Sequence numbers restart with each start, so only the start number
        tells starts apart. A heartbeat without a start number is rejected if
        the instance has sent one before.
        """
        known = self._latest_starts.get(heartbeat.identity)
        if known is None or heartbeat.start > known.start > 0:
            return False
        return known.has_left or heartbeat.start < known.start

    def _is_possibly_stale(self, heartbeat: Heartbeat, now: float) -> bool:
        """Whether this may be an earlier incarnation's delayed heartbeat.

        A network partition can delay a heartbeat until its sender has crashed
        and a new incarnation has started at the same address. An owner that
        never knew the earlier incarnation would take it for the newer one, and
        would reject the running one for as long as removed names are kept. The
        next heartbeat of either shows which one is alive.
        """
        for name in self._names_by_address.find(heartbeat.address):
            other = self.upstreams[name]
            if other.state == DRAINING:
                continue
            if other.instance == heartbeat.identity:
                # The start numbers tell which of the two is later.
                continue
            other_heard_at = self._last_heartbeats[other.name].at
            unverified_at = self._unverified_at.get(heartbeat.name)
            if unverified_at is not None and other_heard_at < unverified_at:
                # Only this one has sent a heartbeat since.
                continue
            if now - other_heard_at <= self._patience * _LIKELY_ALIVE_SHARE:
                return True
        return False

    def _remove_predecessors(self, heartbeat: Heartbeat, now: float) -> None:
        """Removes other upstreams with this address or instance.

        They have ended, since only one runs at an address or as an instance.
        """
        at_address = self._names_by_address.find(heartbeat.address)
        of_instance = self._names_by_instance.find(heartbeat.identity)
        for name in (*at_address, *of_instance):
            if name != heartbeat.name:
                self.remove(name, now)

    def list_software(self, service: str) -> tuple[str, ...]:
        """Returns the software versions of a service's upstreams, sorted."""
        return tuple(
            sorted(
                {
                    upstream.software
                    for upstream in self.upstreams.values()
                    if upstream.service == service
                }
            )
        )

    def find(self, instance: str) -> Upstream | None:
        """Returns the upstream that is the known start of an instance."""
        names = self._names_by_instance.find(instance)
        return self.upstreams[names[0]] if names else None

    def handle_leave(self, instance: str, start: int, now: float) -> str:
        """Handles the announcement that a start of an instance is leaving.

        Args:
            instance: the instance's name for itself.
            start: start number; 0 if the announcement has none.
            now: clock time, in seconds.

        Returns:
            The upstream name of the start that leaves; empty if it is unknown
            or the announcement is stale.
        """
        known = self.find(instance)
        if known is None:
            previous = self._latest_starts.get(instance)
            last = previous.start if previous else 0
            self._latest_starts[instance] = _InstanceStart(
                start or last, now, has_left=True
            )
            return ""
        if start and start < known.start:
            # Delayed announcement of an earlier start.
            return ""
        self.mark_draining(known.name, now)
        return known.name

    def mark_draining(self, name: str, now: float) -> None:
        """Marks an upstream as draining for good.

        An unknown name counts as departed, and its heartbeats are ignored.
        """
        known = self.upstreams.get(name)
        if known is None:
            self._departed_at[name] = now
        elif known.state != DRAINING:
            record = attrs.evolve(known, state=DRAINING)
            self.upstreams[name] = record
            self._append_change(UpstreamChange(name, record))

    def remove(self, name: str, now: float) -> None:
        """Removes an upstream that is gone; its heartbeats are then ignored."""
        if self._discard(name):
            self._departed_at[name] = now
            self._append_change(UpstreamChange(name, gone=True))

    def expire(self, now: float) -> list[str]:
        """Removes silent upstreams and prunes old records.

        Returns:
            The names of the upstreams without a heartbeat for longer than the
            patience.
        """
        silent = [
            name
            for name in self.upstreams
            if now - self._last_heartbeats[name].at > self._patience
        ]
        for name in silent:
            self._discard(name)
            # Not added to the departed ones: a silent upstream may return.
            self._append_change(UpstreamChange(name, gone=True))
        self.brittle_bounds.discard_except(self.upstreams)
        for name, at in list(self._departed_at.items()):
            if now - at > _REMOVED_NAME_KEPT_SECONDS:
                del self._departed_at[name]
                self._last_heartbeats.pop(name, None)
        self._clear_strays(now)
        known_instances = {u.instance for u in self.upstreams.values()}
        for instance, noted in list(self._latest_starts.items()):
            is_old = now - noted.at > _REMOVED_NAME_KEPT_SECONDS
            if is_old and instance not in known_instances:
                del self._latest_starts[instance]
        for name, at in list(self._unverified_at.items()):
            if now - at > self._patience:
                del self._unverified_at[name]
        return silent

    def _clear_strays(self, now: float) -> None:
        """Clears `has_strays` where orders of earlier starts can't run now."""
        for name, at in list(self._restarted_at.items()):
            if now - at <= UNANSWERED_SECONDS:
                continue
            del self._restarted_at[name]
            known = self.upstreams.get(name)
            if known is not None:
                record = attrs.evolve(known, has_strays=False)
                self.upstreams[name] = record
                self._append_change(UpstreamChange(name, record))

    def seconds_since_heartbeat(self, name: str, now: float) -> float:
        """Returns the seconds since the last heartbeat; infinity if none."""
        last_heartbeat = self._last_heartbeats.get(name)
        return now - last_heartbeat.at if last_heartbeat else float("inf")

    # -- artifacts -----------------------------------------------------

    def set_resident(self, name: str, resident: dict[str, int]) -> None:
        """Replaces the versions of the artifacts that an upstream holds."""
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
        self._append_change(UpstreamChange(name, added=added, removed=removed))

    def set_load_state(self, name: str, pace: float, is_ejected: bool) -> None:
        """Sets an upstream's pace and whether it is ejected.

        Args:
            name: name of the upstream; nothing happens if it is unknown.
            pace: see `Upstream.pace`. Callers round it, since each change is
                sent to all fronts.
            is_ejected: see `Upstream.is_ejected`.
        """
        known = self.upstreams.get(name)
        if known is None:
            return
        if (known.pace, known.is_ejected) == (pace, is_ejected):
            return
        self.upstreams[name] = attrs.evolve(
            known, pace=pace, is_ejected=is_ejected
        )
        self._append_change(
            UpstreamChange(name, pace=pace, is_ejected=is_ejected)
        )

    def record_brittle(
        self, name: str, bound: float, sent_at: float
    ) -> list[Upstream]:
        """Records what an upstream states about being brittle.

        Args:
            name: name of the upstream; nothing happens if it is unknown.
            bound: rejections per second that it bears; `NOT_BRITTLE` if it
                states nothing.
            sent_at: when the answered request was sent, in seconds.

        Returns:
            The upstreams whose bounds have changed, as they are now.
        """
        known = self.upstreams.get(name)
        if known is None:
            return []
        self.brittle_bounds.record(known, bound, sent_at)
        changed = []
        for upstream in list(self.upstreams.values()):
            if upstream.service != known.service:
                continue
            current = self.brittle_bounds.find(upstream.name, upstream.service)
            if current != upstream.brittle:
                record = attrs.evolve(upstream, brittle=current)
                self.upstreams[upstream.name] = record
                self._append_change(
                    UpstreamChange(upstream.name, brittle=current)
                )
                changed.append(record)
        return changed

    # -- changes -------------------------------------------------------

    def _append_change(self, change: UpstreamChange) -> None:
        self.number += 1
        self._changes.append((self.number, change))

    def has_news(self, epoch: int, number: int) -> bool:
        """Whether there are changes after a change number of an epoch."""
        return epoch != self.epoch or number < self.number

    def make_news(
        self,
        question: WatchFleet,
        fronts: int,
        busy: dict[str, int],
        now: float,
    ) -> FleetNews:
        """Answers a question with the changes since its number.

        The answer holds the full state if the question is from another epoch
        or further behind than the kept changes.

        Args:
            question: names the epoch and the last change that the asker has.
            fronts: number of fronts that report.
            busy: requests in progress by upstream, over all fronts.
            now: clock time, in seconds.
        """
        epoch, number = question.epoch, question.number
        if (
            epoch == self.epoch
            and number > 0
            and number >= self._oldest_number()
        ):
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
            now >= self._settles_at,
        )

    def _oldest_number(self) -> int:
        """Returns the lowest number after which every change is kept."""
        return self._changes[0][0] - 1 if self._changes else self.number


@attrs.define
class FleetView:
    """A node's copy of the owner's state, which may be out of date.

    Attributes:
        epoch: epoch of the owner that sent the last news; 0 before any news.
        number: number of the last change applied.
        fronts: number of fronts that report to the owner, at least 1.
        updated_at: when the owner's last news arrived here, or at the relay
            that passed them on; seconds on the runtime's clock.
        asked_at: the same for when those news were asked for. What the owner
            knew then is known here, however long the news were under way.
        upstreams: upstreams by name.
        busy: requests in progress by upstream, over all fronts.
        quotas: rate states of the customers near their limits.
        limits: rate limits that upstreams had named at `updated_at`.
        sends: rate states of the named limits, by upstream.
        knows_uses: whether the owner knows how much customers use.
        services: load of the services that the owner limits.
        rooms: room of the fronts, of the data centres where one is full.
        records: changes of `upstreams` applied here, not counting those of what
            upstreams hold and of their load.
    """

    epoch: int = 0
    number: int = 0
    records: int = 0
    fronts: int = 1
    updated_at: float = float("-inf")
    asked_at: float = float("-inf")
    upstreams: dict[str, Upstream] = attrs.Factory(dict)
    busy: dict[str, int] = attrs.Factory(dict)
    quotas: dict[str, RateState] = attrs.Factory(dict)
    limits: dict[str, NamedLimit] = attrs.Factory(dict)
    sends: dict[str, RateState] = attrs.Factory(dict)
    knows_uses: bool = True
    services: dict[str, ServiceNews] = attrs.Factory(dict)
    rooms: dict[str, FrontRoom] = attrs.Factory(dict)
    _unconfirmed: set[str] = attrs.Factory(set)

    def apply_news(
        self, news: FleetNews, now: float, asked_at: float | None = None
    ) -> None:
        """Applies the owner's news; ignores news of an earlier epoch.

        Args:
            news: the news.
            now: the current time, in seconds.
            asked_at: when they were asked for, in seconds; now by default.
        """
        if news.epoch < self.epoch:
            return
        if news.whole:
            # Upstreams that a new owner doesn't list yet stay until it has had
            # the time to receive their heartbeats.
            self._unconfirmed = set(self.upstreams)
        for change in news.changes:
            self._unconfirmed.discard(change.name)
            self._apply_change(change)
        if news.settled:
            self._remove_unconfirmed()
        self.epoch = news.epoch
        self.number = news.number
        self.fronts = max(news.fronts, 1)
        self.busy = news.busy
        self.quotas = news.quotas
        self.limits = news.limits
        self.sends = news.sends
        self.knows_uses = news.knows_uses
        self.services = news.services
        self.rooms = news.rooms
        self.updated_at = now - news.age
        self.asked_at = (now if asked_at is None else asked_at) - news.age

    def _remove_unconfirmed(self) -> None:
        for name in self._unconfirmed:
            self.upstreams.pop(name, None)
            self.records += 1
        self._unconfirmed.clear()

    def confirmed_upstreams(self) -> list[Upstream]:
        """Returns the upstreams that the owner of this epoch has listed."""
        return [
            upstream
            for upstream in self.upstreams.values()
            if upstream.name not in self._unconfirmed
        ]

    def make_bootstrap_news(self, question: WatchFleet) -> FleetNews:
        """Answers a new front with this view's state while no owner is known.

        Returns:
            The full state; news of epoch 0 if the front has news already or
            this view has none.
        """
        if question.epoch or not self.epoch:
            return FleetNews(0)
        changes = tuple(
            UpstreamChange(name, upstream)
            for name, upstream in self.upstreams.items()
        )
        # Number 0 makes the front ask the next owner for the full state.
        return FleetNews(self.epoch, 0, True, changes, self.fronts)

    def _apply_change(self, change: UpstreamChange) -> None:
        if change.gone:
            self.upstreams.pop(change.name, None)
            self.records += 1
            return
        if change.record is not None:
            self.records += 1
            # Copied, since `resident` is changed in place below.
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
        if change.pace is not None and change.is_ejected is not None:
            self.upstreams[change.name] = attrs.evolve(
                known, pace=change.pace, is_ejected=change.is_ejected
            )
        if change.brittle is not None:
            self.upstreams[change.name] = attrs.evolve(
                self.upstreams[change.name], brittle=change.brittle
            )

    def ready_upstreams(self, service: str) -> list[Upstream]:
        """Returns the upstreams of a service that accept new requests."""
        return [
            upstream
            for upstream in self.upstreams.values()
            if upstream.service == service and upstream.state == READY
        ]

    def holders(
        self, service: str, artifact: str, version: int = 0
    ) -> list[Upstream]:
        """Returns the ready upstreams that hold an artifact.

        Args:
            service: service of the upstreams.
            artifact: `model` or `model/adapter`.
            version: lowest version that will do.
        """
        return [
            upstream
            for upstream in self.ready_upstreams(service)
            if upstream.resident.get(artifact, -1) >= version
        ]
