"""Tests of creating a process's metrics instruments on demand."""

import importlib
import threading
from typing import Any

import pytest

from ridgesill.app import telemetry
from ridgesill.app.telemetry import Instruments
from ridgesill.ports.telemetry import BufferedTelemetry, RequestEnd, Telemetry

END = RequestEnd("stream", 0, "served", "", 0.5, 0.1, 0.0, 1)


class FakeProcess:
    """A process that keeps observations until instruments replace them."""

    def __init__(self) -> None:
        self.telemetry: Telemetry = BufferedTelemetry()

    def swap(self, instruments: Telemetry) -> Telemetry:
        """Installs the instruments and returns the telemetry before them."""
        previous, self.telemetry = self.telemetry, instruments
        return previous


class TestInstruments:
    async def test_observations_before_creation_are_included(
        self,
    ) -> None:
        process = FakeProcess()
        instruments = Instruments(
            {"ridgesill_answer": lambda: 42.0}, process.swap
        )
        process.telemetry.record_request_end(END)
        process.telemetry.record_load_seconds(0.3)
        process.telemetry.record_order("load", "taken")
        text = (await instruments.render()).decode()
        assert "ridgesill_answer 42.0" in text
        assert 'outcome="served"' in text
        assert "ridgesill_adapter_load_seconds_count 1.0" in text
        assert 'verdict="taken"' in text

    async def test_each_observation_is_counted_once(self) -> None:
        process = FakeProcess()
        instruments = Instruments({}, process.swap)
        process.telemetry.record_load_seconds(0.3)
        await instruments.render()
        process.telemetry.record_load_seconds(0.4)
        text = (await instruments.render()).decode()
        assert "ridgesill_adapter_load_seconds_count 2.0" in text

    async def test_libraries_are_imported_on_the_main_thread(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Importing them on another thread can crash a front with an illegal
        # instruction in the C library: seen 3 s after its start, beside 200
        # other processes.
        threads: list[threading.Thread] = []

        def record_thread(name: str) -> Any:
            threads.append(threading.current_thread())
            return importlib.__import__(name, fromlist=["x"])

        monkeypatch.setattr(telemetry.importlib, "import_module", record_thread)
        process = FakeProcess()
        instruments = Instruments({}, process.swap)
        assert threads == []
        await instruments.render()
        assert set(threads) == {threading.main_thread()}

    def test_only_the_latest_1000_observations_are_kept(self) -> None:
        kept, receiver = BufferedTelemetry(), BufferedTelemetry()
        for _ in range(5000):
            kept.record_load_seconds(0.1)
        kept.replay_into(receiver)
        assert len(receiver._records) == 1000
