"""Tests of the owner's model of an engine."""

import attrs
import pytest

from ridgesill.core.fleet.engines import (
    Engine,
    HeldArtifact,
    PendingLoad,
    PendingUnload,
    UnansweredLoad,
)
from ridgesill.core.fleet.orders import EngineReport
from ridgesill.core.serving.routes import EngineSpec, Model

MODEL = "base"
SPEC = EngineSpec(
    slots=8,
    weights_mb=1100.0,
    adapter_slots=2,
    loads_per_second=4.0,
    models=(Model(MODEL, 1000.0, 1.0, 100, 10.0),),
)


@pytest.fixture
def engine() -> Engine:
    """Returns an engine that holds the base model and one adapter."""
    made = Engine("i-1", "10.0.0.1:80", "a", SPEC)
    made.apply_resident({MODEL: 1, "base/a1": 1})
    return made


class TestAdapterSlots:
    def test_loads_and_unloads_in_progress_take_slots(
        self, engine: Engine
    ) -> None:
        assert engine.free_adapter_slots() == 1
        engine.loading["base/a2"] = PendingLoad()
        assert engine.free_adapter_slots() == 0
        engine.unloading["base/a3"] = PendingUnload(100.0, 1)
        assert engine.free_adapter_slots() == -1

    def test_an_order_without_an_answer_takes_a_slot_until_a_report(
        self, engine: Engine
    ) -> None:
        engine.unanswered["base/a2"] = UnansweredLoad(113.0)
        report = EngineReport(3, False, {MODEL: 1, "base/a1": 1}, {})
        engine.apply_report(report, 112.0)
        assert engine.free_adapter_slots() == 0
        engine.apply_report(report, 114.0)
        assert engine.free_adapter_slots() == 1


class TestMemory:
    def test_a_free_slot_without_memory_is_not_enough(
        self, engine: Engine
    ) -> None:
        assert engine.fits_adapter("base/a2")
        engine.spec = attrs.evolve(SPEC, weights_mb=1015.0)
        assert engine.free_adapter_slots() == 1
        assert not engine.fits_adapter("base/a2")
        assert engine.fits_adapter("base/a2", without="base/a1")

    def test_an_unload_must_free_enough_memory(self, engine: Engine) -> None:
        engine.spec = attrs.evolve(SPEC, weights_mb=1005.0)
        assert not engine.fits_adapter("base/a2", without="base/a1")


class TestBusyReports:
    def test_a_busy_report_without_a_known_order_is_not_applied(
        self, engine: Engine
    ) -> None:
        # The engine may be loading a base model, which reports do not list.
        engine.unanswered["base"] = UnansweredLoad(113.0, 2)
        engine.apply_report(EngineReport(3, True, {}, {}), 105.0)
        assert engine.revision is None
        assert engine.needs_report(105.0)
        assert engine.possible_artifacts() == {MODEL, "base/a1"}

    def test_a_busy_report_with_a_known_order_is_applied(
        self, engine: Engine
    ) -> None:
        engine.blocking_artifact = "base/a1"
        held = {MODEL: 1, "base/a1": 1}
        engine.apply_report(EngineReport(3, True, held, {}), 105.0)
        assert engine.revision == 3


class TestHeartbeats:
    def test_a_heartbeat_from_before_an_unload_is_ignored(
        self, engine: Engine
    ) -> None:
        del engine.held["base/a1"]
        engine.record_unloaded("base/a1", 200.0)
        engine.reconcile({MODEL: 1, "base/a1": 1}, 200.5)
        assert "base/a1" not in engine.held

    def test_a_heartbeat_long_after_an_unload_is_applied(
        self, engine: Engine
    ) -> None:
        del engine.held["base/a1"]
        engine.record_unloaded("base/a1", 200.0)
        engine.reconcile({MODEL: 1, "base/a1": 1}, 206.0)
        assert "base/a1" in engine.held

    def test_heartbeats_from_before_a_load_do_not_remove_it(
        self, engine: Engine
    ) -> None:
        engine.held["base/a2"] = HeldArtifact(1, 200.0, 200.0)
        for at in (201.0, 202.0, 203.0):
            engine.reconcile({MODEL: 1, "base/a1": 1}, at)
        assert "base/a2" in engine.held

    def test_an_artifact_that_several_heartbeats_lack_is_removed(
        self, engine: Engine
    ) -> None:
        for at in (201.0, 202.0, 203.0):
            engine.reconcile({MODEL: 1}, at)
        assert "base/a1" not in engine.held


class TestUnloadsWithoutAnswer:
    def test_an_artifact_still_listed_long_after_is_held_again(
        self, engine: Engine
    ) -> None:
        del engine.held["base/a1"]
        engine.unloading["base/a1"] = PendingUnload(200.0, 1)
        engine.reconcile({MODEL: 1, "base/a1": 1}, 203.0)
        assert "base/a1" not in engine.held
        engine.reconcile({MODEL: 1, "base/a1": 1}, 205.0)
        assert "base/a1" in engine.held
        assert not engine.unloading

    def test_a_report_resolves_it_sooner(self, engine: Engine) -> None:
        del engine.held["base/a1"]
        engine.unloading["base/a1"] = PendingUnload(200.0, 1)
        report = EngineReport(7, False, {MODEL: 1, "base/a1": 1}, {})
        engine.apply_report(report, 201.5)
        assert "base/a1" in engine.held

    def test_an_unload_that_waits_for_requests_stays_pending(
        self, engine: Engine
    ) -> None:
        del engine.held["base/a1"]
        engine.unloading["base/a1"] = PendingUnload(200.0, 1)
        engine.blocking_artifact = "base/a1"
        engine.reconcile({MODEL: 1, "base/a1": 1}, 205.0)
        assert "base/a1" not in engine.held


class TestReports:
    def test_an_artifact_unloaded_just_before_is_not_held(
        self, engine: Engine
    ) -> None:
        del engine.held["base/a1"]
        engine.record_unloaded("base/a1", 200.0)
        report = EngineReport(7, False, {MODEL: 1, "base/a1": 1}, {})
        engine.apply_report(report, 200.3)
        assert engine.revision == 7
        assert "base/a1" not in engine.held

    def test_an_artifact_that_an_earlier_owner_unloaded_is_discarded(
        self, engine: Engine
    ) -> None:
        engine.apply_report(EngineReport(7, False, {MODEL: 1}, {}), 200.0)
        assert set(engine.held) == {MODEL}

    def test_an_artifact_loaded_just_before_is_kept(
        self, engine: Engine
    ) -> None:
        engine.held["base/a2"] = HeldArtifact(1, 199.5, 199.5)
        engine.apply_report(EngineReport(7, False, {MODEL: 1}, {}), 200.0)
        assert set(engine.held) == {MODEL, "base/a2"}


class TestOrdersWithoutAnswer:
    @pytest.mark.parametrize(
        ("revision", "free_slots"),
        [
            # The report names the order count of the load, so the engine had
            # not carried it out and may still do so.
            (3, 0),
            # The report names a later order count, and the engine does not hold
            # the adapter.
            (4, 1),
        ],
    )
    def test_a_report_resolves_a_load(
        self, engine: Engine, revision: int, free_slots: int
    ) -> None:
        engine.unanswered["base/a2"] = UnansweredLoad(113.0, 3)
        held = {MODEL: 1, "base/a1": 1}
        engine.apply_report(EngineReport(revision, False, held, {}), 105.0)
        assert engine.free_adapter_slots() == free_slots

    def test_a_later_order_at_the_same_count_resolves_a_load(
        self, engine: Engine
    ) -> None:
        engine.revision = 3
        engine.unanswered["base/a2"] = UnansweredLoad(113.0, 3)
        engine.record_accepted_order(3, 105.0)
        assert (engine.revision, engine.free_adapter_slots()) == (4, 1)
