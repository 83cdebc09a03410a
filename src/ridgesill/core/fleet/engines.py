"""The owner's model of each engine: what it holds and what it is loading."""

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

# Adapters that one engine loads at the same time at most; it refuses further
# orders until one of the loads has ended.
MAX_CONCURRENT_LOADS = 4
# Upper bound for the rest of a load that a report lists as incoming, in
# seconds. A load from the store takes a quarter of a second, and longer while
# the engine loads several adapters.
_INCOMING_SECONDS = 1.0
# Greatest age of a heartbeat, in seconds. A heartbeat says nothing about an
# order that was sent within this time before it arrived.
_REPORT_LAG_SECONDS = 4.0
# Greatest age of a report that was requested, in seconds.
_REQUESTED_REPORT_LAG_SECONDS = 0.8
# An artifact that is missing from this many heartbeats in a row is no longer
# counted as held.
_MAX_MISSED_HEARTBEATS = 3
# Number of unloaded adapters that an engine keeps in its local cache, from
# which it loads them again without the store.
_MAX_CACHED_ADAPTERS = 96


@attrs.define
class HeldArtifact:
    """An artifact that an engine holds.

    Attributes:
        version: the version that the engine holds.
        loaded_at: when a load ordered by this owner ended, on the owner's clock
            in seconds; minus infinity if the artifact was learned from a
            heartbeat, a report or an earlier owner.
        assigned_at: when a front was last told to send a request for the
            artifact to this engine, in seconds.
    """

    version: int
    loaded_at: float
    assigned_at: float


@attrs.frozen
class PendingUnload:
    """An unload that was ordered and has not been confirmed.

    Attributes:
        started_at: when fronts were first told to send no more requests for the
            artifact to this engine, in seconds.
        version: the version that was held, and is still held if the engine
            refuses the order.
    """

    started_at: float
    version: int


@attrs.frozen
class UnansweredLoad:
    """A load order without an answer, which the engine may still carry out.

    Attributes:
        expires_at: when the engine can no longer carry it out, in seconds.
        revision: the order count at which alone the engine carries it out; None
            if the engine is known to have accepted the order.
    """

    expires_at: float
    revision: int | None = None


@attrs.define
class PendingLoad:
    """A load that will be ordered or has been ordered.

    Attributes:
        victim: the adapter that is unloaded first; empty if a slot is free.
        accepted: whether the engine has accepted the order.
    """

    victim: str = ""
    accepted: bool = False


@attrs.define
class Engine:
    """One start of an engine, as the owner knows it.

    Attributes:
        name: the name of this start of the engine.
        address: where the engine is reached, as host:port.
        data_centre: the data centre in which the engine runs.
        spec: the capacity of the engine.
        revision: the order count, which is how many orders the engine has
            accepted; None if it is unknown.
        held: the artifacts that the engine holds.
        loading: loads that are planned or in progress.
        unloading: unloads that were ordered and have not been confirmed.
        unanswered: load orders without an answer, kept until a report or a
            later order shows whether the engine carried them out.
        unconfirmed: artifacts that recent heartbeats lack. As heartbeats may be
            old, each keeps its slot until a report confirms that it is gone.
        late_orders: orders to earlier starts of the engine that this start may
            still carry out.
        instance: the name that the engine uses at each of its starts.
        start: a number that tells the starts of an instance apart and grows
            with each; 0 if the engine does not report one.
        is_superseded: whether a later start of the same instance is known. A
            superseded engine gets no more orders.
        blocking_artifact: the artifact of an order that waits until the
            requests in progress with that artifact have ended. Until then the
            engine accepts no other order. Empty if there is none.
        last_order_at: when the engine last accepted an order, or refused one
            because of its order count, in seconds.
        report_requested_at: when a report was last requested, in seconds.
        suspended_until: when the engine may get orders again after a failure,
            in seconds.
        has_holder: whether some VM can deliver orders to the engine now.
        draining: whether the engine is leaving and gets no new requests.
        software: version of its software; empty if it names none.
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
    software: str = ""
    _unloaded_at: dict[str, float] = attrs.Factory(dict)
    _missed_heartbeats: dict[str, int] = attrs.Factory(dict)

    def used_adapter_slots(self) -> int:
        """Returns the number of adapter slots that are or may be in use.

        A load and the unload that makes space for it share one slot.
        """
        return count_adapters(self._expected_artifacts())

    def _expected_artifacts(self) -> set[str]:
        """Returns what it may hold once all loads ordered here have ended."""
        replaced = {pending.victim for pending in self.loading.values()}
        expected = {
            *self.held,
            *self.loading,
            *self.unanswered,
            *self.unconfirmed,
        }
        expected.update(a for a in self.unloading if a not in replaced)
        return expected

    def possible_artifacts(self) -> set[str]:
        """Returns everything that the engine may hold at its order count.

        Loads that were planned but not yet sent are left out.
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
        """Returns the number of adapter slots that are certainly free.

        It is negative if more artifacts are expected than there are slots.
        """
        return self.spec.adapter_slots - self.used_adapter_slots()

    def fits_adapter(self, adapter: str, without: str = "") -> bool:
        """Returns whether an adapter fits, by slots and by memory.

        An engine can have free slots and full memory. Without the check for
        memory no load could be ordered on such an engine, and no adapter on it
        would ever be chosen to be unloaded.

        Args:
            adapter: an adapter that the engine does not hold.
            without: the adapter that is unloaded first; empty if there is none.
        """
        return fits(
            self.spec, (self._expected_artifacts() - {without}) | {adapter}
        )

    def is_order_safe(
        self, action: Action, artifact: str, revision: int, now: float
    ) -> bool:
        """Returns whether an order cannot exceed the engine's slots or memory.

        The order counts by itself and together with the late orders that it
        makes possible: each accepted order raises the order count by one, and
        orders to an earlier start may be waiting for the new count.

        Args:
            action: whether the artifact is loaded or unloaded.
            artifact: the artifact that the order names.
            revision: the order count that the order names.
            now: the owner's clock, in seconds.
        """
        after = set().union(
            *find_load_chain(self.late_orders, revision + 1, now)
        )
        if action is Action.UNLOAD and not after:
            # An unload frees memory whatever else the engine may hold.
            return True
        return fits(self.spec, self.possible_artifacts() | after | {artifact})

    def needs_report(self, now: float) -> bool:
        """Returns whether the order count or the held artifacts are uncertain.

        Until a report settles this, each uncertain artifact keeps its slot.
        Orders may be sent meanwhile if the order count is known.
        """
        is_overdue = any(
            load.expires_at <= now for load in self.unanswered.values()
        )
        return self.revision is None or is_overdue or bool(self.unconfirmed)

    def used_weights_mb(self) -> float:
        """Returns the memory that models and adapters may use, in megabytes."""
        return total_weights_mb(
            self.spec, self.possible_artifacts() | self.loading.keys()
        )

    def fits_model(self, model: str) -> bool:
        """Returns whether a base model fits beside what the engine may hold."""
        spec = self.spec.model(model)
        if spec is None:
            return False
        return self.used_weights_mb() + spec.weights_mb <= self.spec.weights_mb

    def is_busy(self) -> bool:
        """Returns whether the engine would refuse another load."""
        loads = sum(pending.accepted for pending in self.loading.values())
        return bool(self.blocking_artifact) or loads >= MAX_CONCURRENT_LOADS

    def record_accepted_order(self, revision: int, now: float) -> None:
        """Records that the engine accepted an order.

        Args:
            revision: the order count that the order named.
            now: the owner's clock, in seconds.
        """
        for artifact, load in list(self.unanswered.items()):
            if load.revision is not None and load.revision <= revision:
                # This load names an order count that has passed, so it can no
                # longer be carried out. It had not been carried out when the
                # current count was learned.
                del self.unanswered[artifact]
        self.revision = revision + 1
        self.last_order_at = now

    def record_load_in_progress(self, artifact: str, now: float) -> None:
        """Records an accepted load whose end nobody here waits for."""
        self.unanswered[artifact] = UnansweredLoad(now + _INCOMING_SECONDS)

    def record_unloaded(self, artifact: str, now: float) -> None:
        """Records that an adapter was unloaded and is in the local cache."""
        self._unloaded_at.pop(artifact, None)
        self._unloaded_at[artifact] = now
        if len(self._unloaded_at) > _MAX_CACHED_ADAPTERS:
            del self._unloaded_at[next(iter(self._unloaded_at))]

    def is_cached_locally(self, artifact: str) -> bool:
        """Returns whether the engine can load an adapter without the store."""
        return artifact in self._unloaded_at

    def _is_possibly_stale(self, artifact: str, now: float, lag: float) -> bool:
        """Returns whether a message may predate the unload of an artifact.

        Args:
            artifact: the artifact, which the message lists as held.
            now: the owner's clock, in seconds.
            lag: the greatest age of the message, in seconds.
        """
        return now - self._unloaded_at.get(artifact, float("-inf")) < lag

    def has_model(self, model: str) -> bool:
        """Returns whether the engine holds a base model."""
        return model in self.held

    def accepts_orders(self, now: float) -> bool:
        """Returns whether orders can be sent to the engine now."""
        if self.draining or self.is_superseded or not self.has_holder:
            return False
        return now >= self.suspended_until

    def resident(self) -> dict[str, int]:
        """Returns the versions of the held artifacts."""
        return {artifact: held.version for artifact, held in self.held.items()}

    # -- heartbeats and reports ---------------------------------------

    def apply_resident(
        self, resident: dict[str, int], assigned_at: float = float("-inf")
    ) -> None:
        """Adds artifacts that the engine is known to hold.

        Args:
            resident: the versions by artifact.
            assigned_at: until when an earlier owner may have assigned requests
                for them to this engine, in seconds.
        """
        for artifact, version in resident.items():
            self.held[artifact] = HeldArtifact(
                version, float("-inf"), assigned_at
            )

    def reconcile(self, resident: dict[str, int], now: float) -> list[str]:
        """Updates the held artifacts from a heartbeat, which may be old.

        Args:
            resident: the versions by artifact that the heartbeat lists.
            now: the owner's clock, in seconds.

        Returns:
            The artifacts that the engine holds although no load of them was
            pending here.
        """
        appeared = []
        for artifact, version in resident.items():
            if artifact in self.unloading or artifact in self.loading:
                continue
            held = self.held.get(artifact)
            if held is None and self._is_possibly_stale(
                artifact, now, _REPORT_LAG_SECONDS
            ):
                continue
            if held is None:
                # Another owner ordered the load, or the engine carried out an
                # order without an answer.
                self.held[artifact] = _make_reported_artifact(version)
                self.unanswered.pop(artifact, None)
                self.unconfirmed.discard(artifact)
                appeared.append(artifact)
            elif version > held.version:
                held.version = version
        self._resolve_unloads(resident, now, _REPORT_LAG_SECONDS)
        self._discard_missing(resident, now)
        return appeared

    def _resolve_unloads(
        self, resident: dict[str, int], now: float, lag: float
    ) -> None:
        """Decides whether unloads without an answer were carried out.

        If a message that is certainly newer than the order still lists the
        artifact, the order was lost and the artifact is held again. Otherwise
        the artifact would keep its slot forever without serving a request.

        Args:
            resident: the versions by artifact that the message lists.
            now: the owner's clock, in seconds.
            lag: the greatest age of the message, in seconds.
        """
        replaced = {pending.victim for pending in self.loading.values()}
        for artifact, pending in list(self.unloading.items()):
            if now - pending.started_at <= lag or artifact in replaced:
                continue
            if artifact not in resident:
                del self.unloading[artifact]
                self.unconfirmed.add(artifact)
            elif artifact != self.blocking_artifact:
                del self.unloading[artifact]
                self.held[artifact] = _make_reported_artifact(
                    resident[artifact]
                )

    def _discard_missing(self, resident: dict[str, int], now: float) -> None:
        """Marks artifacts that several heartbeats lack as unconfirmed."""
        for artifact, held in list(self.held.items()):
            if (
                artifact in resident
                or now - held.loaded_at < _REPORT_LAG_SECONDS
            ):
                self._missed_heartbeats.pop(artifact, None)
                continue
            missed = self._missed_heartbeats.get(artifact, 0) + 1
            self._missed_heartbeats[artifact] = missed
            if missed >= _MAX_MISSED_HEARTBEATS:
                del self.held[artifact]
                del self._missed_heartbeats[artifact]
                self.unconfirmed.add(artifact)

    def apply_report(self, report: EngineReport, now: float) -> None:
        """Updates the engine from a report that was requested.

        The caller requests it only when no order was accepted for a while, so
        that the report shows the effect of the last order.
        """
        if report.busy and not self._is_busy_explained():
            # The report does not tell which base model is being loaded, and the
            # engine accepts no other order meanwhile. A later report lists the
            # model.
            self.revision = None
            return
        self.revision = report.revision
        self._discard_unreported(report, now)
        self._resolve_unloads(
            report.resident, now, _REQUESTED_REPORT_LAG_SECONDS
        )
        # Only a report, which names the order count, may remove artifacts from
        # what the engine may hold.
        self.unconfirmed.clear()
        self.late_orders = [
            sent for sent in self.late_orders if sent.expires_at > now
        ]
        for artifact, load in list(self.unanswered.items()):
            if load.expires_at <= now or _is_resolved(load, report.revision):
                del self.unanswered[artifact]
        for artifact in report.incoming:
            if artifact not in self.loading and artifact not in self.held:
                self.record_load_in_progress(artifact, now)
        for artifact, version in report.resident.items():
            if artifact in self.held or artifact in self.unloading:
                continue
            if not self._is_possibly_stale(
                artifact, now, _REQUESTED_REPORT_LAG_SECONDS
            ):
                self.held[artifact] = _make_reported_artifact(version)

    def _is_busy_explained(self) -> bool:
        """Returns whether a known order explains that the engine is busy."""
        loading = (a for a, p in self.loading.items() if p.accepted)
        return bool(self.blocking_artifact) or not all(map(is_adapter, loading))

    def _discard_unreported(self, report: EngineReport, now: float) -> None:
        """Discards artifacts that an earlier owner unloaded.

        A second unload of such an artifact would get the same answer as the
        first but does not raise the order count. The engine would then refuse
        every later order for its wrong count.
        """
        for artifact, held in list(self.held.items()):
            is_newer = now - held.loaded_at < _REQUESTED_REPORT_LAG_SECONDS
            if artifact not in report.resident and not is_newer:
                del self.held[artifact]


def _make_reported_artifact(version: int) -> HeldArtifact:
    """Returns a held artifact whose load was not ordered by this owner."""
    return HeldArtifact(version, float("-inf"), float("-inf"))


def _is_resolved(load: UnansweredLoad, revision: int) -> bool:
    """Returns whether a report shows if an unanswered load was carried out.

    Args:
        load: the unanswered load.
        revision: the order count of the report.
    """
    return load.revision is not None and load.revision < revision
