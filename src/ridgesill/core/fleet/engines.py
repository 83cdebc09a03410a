"""What the owner believes of each engine's memory."""

import attrs

from ridgesill.core.fleet.engine_capacity import (
    count_adapters,
    fits,
    is_adapter,
    total_weights_mb,
)
from ridgesill.core.fleet.orders import Action, EngineReport
from ridgesill.core.fleet.sent_orders import SentOrder, find_load_chain
from ridgesill.core.serving.routes import EngineSpec

# Adapters that may be on their way to one engine at once (the platform's
# protocol).
MAX_CONCURRENT_LOADS = 4
# How long an adapter that a report names as on its way still takes, in
# seconds: a quarter of a second from the store, more while many are loaded.
_INCOMING_SECONDS = 1.0
# Reports and heartbeats may be this old, in seconds; what was ordered later
# than that isn't judged by them.
_REPORT_LAG = 4.0
# A report that was asked for is at most this old, in seconds.
_ASKED_REPORT_LAG = 0.8
# Heartbeats that must lack an artifact before it counts as gone.
_MISSED_MOST = 3
# Adapters that an engine had before and loads again without the store.
_LATELY_KEPT = 96


@attrs.define
class HeldArtifact:
    """Something that an engine holds.

    Attributes:
        since: when a load ordered here was done; minus infinity when it was
            learned from others.
        assigned_at: when a front was last told to send a request to it.
    """

    version: int
    loaded_at: float
    assigned_at: float


@attrs.frozen
class PendingUnload:
    """Something whose unload was ordered.

    Attributes:
        at: when fronts were first told to send no more requests to it.
        version: that was held, and still is if the order is refused.
    """

    started_at: float
    version: int


@attrs.frozen
class UnansweredLoad:
    """An order to load without an answer, which may be carried out late.

    Attributes:
        until: when it can't be carried out any more.
        revision: the count of orders at which alone it is carried out; None
            when the order named none, or is known to be under way.
    """

    expires_at: float
    revision: int | None = None


@attrs.define
class PendingLoad:
    """A load that is about to be ordered, or was.

    Attributes:
        victim: what is unloaded first; empty when a place is free.
        taken: whether the engine has taken the order.
    """

    victim: str = ""
    accepted: bool = False


@attrs.define
class Engine:
    """One engine.

    Attributes:
        instance: what it calls itself, at each of its starts.
        start: tells its starts apart; 0 when it doesn't tell.
        revision: orders that it has taken; None when that isn't known.
        leaving: artifacts whose unload was ordered and is not yet done.
        unanswered: artifacts of loads without an answer, until a report or a
            later order tells what became of them.
        unsure: what heartbeats lack, which may be old; it keeps its place until
            a report tells.
        strays: orders of its earlier starts that may be carried out on this
            one.
        has_ended: whether a later start is known; it gets no orders then.
        waits_for: the artifact whose runs an order waits for; meanwhile the
            engine takes no other order.
        ordered_at: when it last took an order, or refused one for its count.
        asked_at: when it was last asked for a report.
        suspended_until: until when it gets no orders, after failures.
        has_holder: whether a VM can deliver orders to it now.
    """

    name: str
    address: str
    data_centre: str
    spec: EngineSpec
    revision: int | None = None
    held: dict[str, HeldArtifact] = attrs.Factory(dict)
    loading: dict[str, PendingLoad] = attrs.Factory(dict)
    unloading: dict[str, PendingUnload] = attrs.Factory(dict)
    unanswered: dict[str, UnansweredLoad] = attrs.Factory(dict)
    unconfirmed: set[str] = attrs.Factory(set)
    late_orders: list[SentOrder] = attrs.Factory(list)
    instance: str = ""
    start: int = 0
    is_superseded: bool = False
    blocking_artifact: str = ""
    last_order_at: float = float("-inf")
    report_requested_at: float = float("-inf")
    suspended_until: float = 0.0
    has_holder: bool = True
    draining: bool = False
    _left_at: dict[str, float] = attrs.Factory(dict)
    _missed: dict[str, int] = attrs.Factory(dict)

    def used_adapter_slots(self) -> int:
        """Returns the places for adapters that are or may be taken.

        A load and what is unloaded for it share a place.
        """
        return count_adapters(self._promised())

    def _promised(self) -> set[str]:
        """Returns what it holds or may hold once loads here have ended."""
        replaced = {pending.victim for pending in self.loading.values()}
        taken = {*self.held, *self.loading, *self.unanswered, *self.unconfirmed}
        taken.update(a for a in self.unloading if a not in replaced)
        return taken

    def possible_artifacts(self) -> set[str]:
        """Returns all that it may hold at its count of orders.

        Orders that are still to leave don't count.
        """
        ordered = (a for a, pending in self.loading.items() if pending.accepted)
        return {
            *self.held,
            *self.unloading,
            *self.unanswered,
            *self.unconfirmed,
            *ordered,
        }

    def free_adapter_slots(self) -> int:
        """Returns the places for adapters that are certainly free."""
        return self.spec.adapter_slots - self.used_adapter_slots()

    def fits_adapter(self, adapter: str, without: str = "") -> bool:
        """Whether an adapter fits in, by places and by megabytes.

        An engine whose memory is full may have places left: nothing could be
        ordered there, and no adapter would ever give way.

        Args:
            adapter: that isn't there.
            without: what gives way first; empty when nothing does.
        """
        return fits(self.spec, (self._promised() - {without}) | {adapter})

    def is_order_safe(
        self, action: Action, artifact: str, revision: int, now: float
    ) -> bool:
        """Whether an order can't take it over its places or room.

        Neither by itself nor by what may be carried out after it: an order
        moves the count by one, from where orders of an earlier start may run.
        """
        after = set().union(
            *find_load_chain(self.late_orders, revision + 1, now)
        )
        if action is Action.UNLOAD and not after:
            # It makes room, however much is believed to be there.
            return True
        return fits(self.spec, self.possible_artifacts() | after | {artifact})

    def needs_report(self, now: float) -> bool:
        """Whether a report must tell how many orders it took, or what it holds.

        Until then what is doubtful keeps its place; orders may go on.
        """
        overdue = any(
            load.expires_at <= now for load in self.unanswered.values()
        )
        return self.revision is None or overdue or bool(self.unconfirmed)

    def used_weights_mb(self) -> float:
        """Returns the megabytes that models and adapters may take."""
        return total_weights_mb(
            self.spec, self.possible_artifacts() | self.loading.keys()
        )

    def fits_model(self, model: str) -> bool:
        """Whether a base model fits beside what is there."""
        spec = self.spec.model(model)
        if spec is None:
            return False
        return self.used_weights_mb() + spec.weights_mb <= self.spec.weights_mb

    def is_busy(self) -> bool:
        """Whether it would refuse an order for something else."""
        taken = sum(pending.accepted for pending in self.loading.values())
        return bool(self.blocking_artifact) or taken >= MAX_CONCURRENT_LOADS

    def record_accepted_order(self, revision: int, now: float) -> None:
        """Notes that an order was taken at the revision that it named."""
        for artifact, load in list(self.unanswered.items()):
            if load.revision is not None and load.revision <= revision:
                # It expects a count that is past, and wasn't carried out when
                # that count was learned.
                del self.unanswered[artifact]
        self.revision = revision + 1
        self.last_order_at = now

    def record_load_in_progress(self, artifact: str, now: float) -> None:
        """Notes a load that was taken, and that nobody here waits for."""
        self.unanswered[artifact] = UnansweredLoad(now + _INCOMING_SECONDS)

    def record_unloaded(self, artifact: str, now: float) -> None:
        """Notes that an adapter was unloaded; a copy stays near for a while."""
        self._left_at.pop(artifact, None)
        self._left_at[artifact] = now
        if len(self._left_at) > _LATELY_KEPT:
            del self._left_at[next(iter(self._left_at))]

    def is_cached_locally(self, artifact: str) -> bool:
        """Whether it would load an adapter without the store."""
        return artifact in self._left_at

    def _may_be_old(self, artifact: str, now: float, lag: float) -> bool:
        """Whether word that it is held may be from before it was unloaded."""
        return now - self._left_at.get(artifact, float("-inf")) < lag

    def has_model(self, model: str) -> bool:
        """Whether the base model is there."""
        return model in self.held

    def accepts_orders(self, now: float) -> bool:
        """Whether it takes orders now, as far as is known."""
        if self.draining or self.is_superseded or not self.has_holder:
            return False
        return now >= self.suspended_until

    def resident(self) -> dict[str, int]:
        """Returns the versions of what it holds."""
        return {artifact: held.version for artifact, held in self.held.items()}

    # -- what it says --------------------------------------------------

    def apply_resident(
        self, resident: dict[str, int], assigned_at: float = float("-inf")
    ) -> None:
        """Takes what it holds as given, from a heartbeat or a predecessor.

        Args:
            resident: versions by artifact.
            assigned_at: until when a predecessor may have sent requests there.
        """
        for artifact, version in resident.items():
            self.held[artifact] = HeldArtifact(
                version, float("-inf"), assigned_at
            )

    def reconcile(self, resident: dict[str, int], now: float) -> list[str]:
        """Brings what is believed in line with a heartbeat, which may lag.

        Returns:
            What it holds and nobody here waited for.
        """
        appeared = []
        for artifact, version in resident.items():
            if artifact in self.unloading or artifact in self.loading:
                continue
            held = self.held.get(artifact)
            if held is None and self._may_be_old(artifact, now, _REPORT_LAG):
                continue
            if held is None:
                # Not ordered here, or an order without an answer came true.
                self.held[artifact] = _learned(version)
                self.unanswered.pop(artifact, None)
                self.unconfirmed.discard(artifact)
                appeared.append(artifact)
            elif version > held.version:
                held.version = version
        self._settle_leaving(resident, now, _REPORT_LAG)
        self._drop_missing(resident, now)
        return appeared

    def _settle_leaving(
        self, resident: dict[str, int], now: float, lag: float
    ) -> None:
        """Decides unloads whose fate was unknown.

        What is still there long after was not unloaded: its order was lost.
        Without this it would keep its place, and serve nobody, for good.
        """
        replaced = {pending.victim for pending in self.loading.values()}
        for artifact, leaving in list(self.unloading.items()):
            if now - leaving.started_at <= lag or artifact in replaced:
                continue
            if artifact not in resident:
                del self.unloading[artifact]
                self.unconfirmed.add(artifact)
            elif artifact != self.blocking_artifact:
                del self.unloading[artifact]
                self.held[artifact] = _learned(resident[artifact])

    def _drop_missing(self, resident: dict[str, int], now: float) -> None:
        for artifact, held in list(self.held.items()):
            if artifact in resident or now - held.loaded_at < _REPORT_LAG:
                self._missed.pop(artifact, None)
                continue
            missed = self._missed.get(artifact, 0) + 1
            self._missed[artifact] = missed
            if missed >= _MISSED_MOST:
                del self.held[artifact]
                del self._missed[artifact]
                self.unconfirmed.add(artifact)

    def apply_report(self, report: EngineReport, now: float) -> None:
        """Takes a report that was asked for after a quiet moment."""
        if report.busy and not self._is_busy_explained():
            # It doesn't tell which base model is on its way, and takes no
            # other order: once it is there, another report shows it.
            self.revision = None
            return
        self.revision = report.revision
        self._drop_unreported(report, now)
        self._settle_leaving(report.resident, now, _ASKED_REPORT_LAG)
        # Only what it says at a known count takes from what it may hold.
        self.unconfirmed.clear()
        self.late_orders = [
            sent for sent in self.late_orders if sent.expires_at > now
        ]
        for artifact, load in list(self.unanswered.items()):
            if load.expires_at <= now or _is_past(load, report.revision):
                del self.unanswered[artifact]
        for artifact in report.incoming:
            if artifact not in self.loading and artifact not in self.held:
                self.record_load_in_progress(artifact, now)
        for artifact, version in report.resident.items():
            if artifact in self.held or artifact in self.unloading:
                continue
            if not self._may_be_old(artifact, now, _ASKED_REPORT_LAG):
                self.held[artifact] = _learned(version)

    def _is_busy_explained(self) -> bool:
        """Whether an order is known that makes it take no other one."""
        loading = (a for a, p in self.loading.items() if p.accepted)
        return bool(self.blocking_artifact) or not all(map(is_adapter, loading))

    def _drop_unreported(self, report: EngineReport, now: float) -> None:
        """Drops what an earlier owner unloaded without this one's knowledge.

        To unload it once more is answered alike but doesn't count as an order,
        after which the engine would refuse every order for its wrong count.
        """
        for artifact, held in list(self.held.items()):
            is_newer = now - held.loaded_at < _ASKED_REPORT_LAG
            if artifact not in report.resident and not is_newer:
                del self.held[artifact]


def _learned(version: int) -> HeldArtifact:
    """Returns something that was loaded by others, or nobody knows when."""
    return HeldArtifact(version, float("-inf"), float("-inf"))


def _is_past(load: UnansweredLoad, revision: int) -> bool:
    """Whether a report made at a revision tells what became of an order."""
    return load.revision is not None and load.revision < revision
