"""Tests of what the owner believes of an engine."""

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


class TestPlaces:
    def test_loads_and_unloads_under_way_take_places(
        self, engine: Engine
    ) -> None:
        assert engine.free_adapter_slots() == 1
        engine.loading["base/a2"] = PendingLoad()
        assert engine.free_adapter_slots() == 0
        engine.unloading["base/a3"] = PendingUnload(100.0, 1)
        assert engine.free_adapter_slots() == -1

    def test_an_order_without_an_answer_takes_a_place_until_a_report(
        self, engine: Engine
    ) -> None:
        engine.unanswered["base/a2"] = UnansweredLoad(113.0)
        report = EngineReport(3, False, {MODEL: 1, "base/a1": 1}, {})
        engine.apply_report(report, 112.0)
        assert engine.free_adapter_slots() == 0
        engine.apply_report(report, 114.0)
        assert engine.free_adapter_slots() == 1


class TestRoom:
    def test_a_free_place_without_megabytes_is_none(
        self, engine: Engine
    ) -> None:
        assert engine.fits_adapter("base/a2")
        engine.spec = attrs.evolve(SPEC, weights_mb=1015.0)
        assert engine.free_adapter_slots() == 1
        assert not engine.fits_adapter("base/a2")
        assert engine.fits_adapter("base/a2", without="base/a1")

    def test_what_gives_way_must_leave_enough(self, engine: Engine) -> None:
        engine.spec = attrs.evolve(SPEC, weights_mb=1005.0)
        assert not engine.fits_adapter("base/a2", without="base/a1")


class TestBusyReports:
    def test_one_of_an_unknown_order_settles_nothing(
        self, engine: Engine
    ) -> None:
        # What is on its way may be a base model, which reports don't list.
        engine.unanswered["base"] = UnansweredLoad(113.0, 2)
        engine.apply_report(EngineReport(3, True, {}, {}), 105.0)
        assert engine.revision is None
        assert engine.needs_report(105.0)
        assert engine.possible_artifacts() == {MODEL, "base/a1"}

    def test_one_of_a_known_order_is_believed(self, engine: Engine) -> None:
        engine.blocking_artifact = "base/a1"
        held = {MODEL: 1, "base/a1": 1}
        engine.apply_report(EngineReport(3, True, held, {}), 105.0)
        assert engine.revision == 3


class TestHeartbeats:
    def test_one_made_before_an_unload_does_not_bring_it_back(
        self, engine: Engine
    ) -> None:
        del engine.held["base/a1"]
        engine.record_unloaded("base/a1", 200.0)
        engine.reconcile({MODEL: 1, "base/a1": 1}, 200.5)
        assert "base/a1" not in engine.held

    def test_a_later_one_does(self, engine: Engine) -> None:
        del engine.held["base/a1"]
        engine.record_unloaded("base/a1", 200.0)
        engine.reconcile({MODEL: 1, "base/a1": 1}, 206.0)
        assert "base/a1" in engine.held

    def test_one_made_before_a_load_does_not_take_it_away(
        self, engine: Engine
    ) -> None:
        engine.held["base/a2"] = HeldArtifact(1, 200.0, 200.0)
        for at in (201.0, 202.0, 203.0):
            engine.reconcile({MODEL: 1, "base/a1": 1}, at)
        assert "base/a2" in engine.held

    def test_what_several_lack_is_gone(self, engine: Engine) -> None:
        for at in (201.0, 202.0, 203.0):
            engine.reconcile({MODEL: 1}, at)
        assert "base/a1" not in engine.held


class TestUnloadsWithoutAnswer:
    def test_what_is_still_there_long_after_is_held_again(
        self, engine: Engine
    ) -> None:
        del engine.held["base/a1"]
        engine.unloading["base/a1"] = PendingUnload(200.0, 1)
        engine.reconcile({MODEL: 1, "base/a1": 1}, 203.0)
        assert "base/a1" not in engine.held
        engine.reconcile({MODEL: 1, "base/a1": 1}, 205.0)
        assert "base/a1" in engine.held
        assert not engine.unloading

    def test_a_report_tells_sooner(self, engine: Engine) -> None:
        del engine.held["base/a1"]
        engine.unloading["base/a1"] = PendingUnload(200.0, 1)
        report = EngineReport(7, False, {MODEL: 1, "base/a1": 1}, {})
        engine.apply_report(report, 201.5)
        assert "base/a1" in engine.held

    def test_one_that_waits_for_its_runs_goes_on(self, engine: Engine) -> None:
        del engine.held["base/a1"]
        engine.unloading["base/a1"] = PendingUnload(200.0, 1)
        engine.blocking_artifact = "base/a1"
        engine.reconcile({MODEL: 1, "base/a1": 1}, 205.0)
        assert "base/a1" not in engine.held


class TestReports:
    def test_what_was_unloaded_just_before_is_not_believed(
        self, engine: Engine
    ) -> None:
        del engine.held["base/a1"]
        engine.record_unloaded("base/a1", 200.0)
        report = EngineReport(7, False, {MODEL: 1, "base/a1": 1}, {})
        engine.apply_report(report, 200.3)
        assert engine.revision == 7
        assert "base/a1" not in engine.held

    def test_what_an_earlier_owner_unloaded_is_held_no_more(
        self, engine: Engine
    ) -> None:
        engine.apply_report(EngineReport(7, False, {MODEL: 1}, {}), 200.0)
        assert set(engine.held) == {MODEL}

    def test_what_was_loaded_just_before_stays(self, engine: Engine) -> None:
        engine.held["base/a2"] = HeldArtifact(1, 199.5, 199.5)
        engine.apply_report(EngineReport(7, False, {MODEL: 1}, {}), 200.0)
        assert set(engine.held) == {MODEL, "base/a2"}


class TestOrdersWithoutAnswer:
    @pytest.mark.parametrize(
        ("revision", "places"),
        [
            # The engine had not carried it out when it reported.
            (3, 0),
            # It took an order at that count, and doesn't hold the adapter.
            (4, 1),
        ],
    )
    def test_a_report_tells_what_became_of_a_load(
        self, engine: Engine, revision: int, places: int
    ) -> None:
        engine.unanswered["base/a2"] = UnansweredLoad(113.0, 3)
        held = {MODEL: 1, "base/a1": 1}
        engine.apply_report(EngineReport(revision, False, held, {}), 105.0)
        assert engine.free_adapter_slots() == places

    def test_a_later_order_at_the_same_count_settles_a_load(
        self, engine: Engine
    ) -> None:
        engine.revision = 3
        engine.unanswered["base/a2"] = UnansweredLoad(113.0, 3)
        engine.record_accepted_order(3, 105.0)
        assert (engine.revision, engine.free_adapter_slots()) == (4, 1)
