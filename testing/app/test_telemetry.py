"""Tests of when a process's instruments are made, and what they know."""

import importlib
import threading
from typing import Any

import pytest

from ridgesill.app import telemetry
from ridgesill.app.telemetry import Instruments
from ridgesill.ports.telemetry import BufferedTelemetry, RequestEnd, Telemetry

END = RequestEnd("stream", 0, "served", "", 0.5, 0.1, 0.0, 1)


class Counting:
    """A process that counts."""

    def __init__(self) -> None:
        self.telemetry: Telemetry = BufferedTelemetry()

    def swap(self, instruments: Telemetry) -> Telemetry:
        """Takes the instruments."""
        before, self.telemetry = self.telemetry, instruments
        return before


class TestInstruments:
    async def test_what_was_counted_before_they_were_there_is_told(
        self,
    ) -> None:
        counting = Counting()
        instruments = Instruments(
            {"ridgesill_answer": lambda: 42.0}, counting.swap
        )
        counting.telemetry.record_request_end(END)
        counting.telemetry.record_load_seconds(0.3)
        counting.telemetry.record_order("load", "taken")
        text = (await instruments.render()).decode()
        assert "ridgesill_answer 42.0" in text
        assert 'outcome="served"' in text
        assert "ridgesill_adapter_load_seconds_count 1.0" in text
        assert 'verdict="taken"' in text

    async def test_each_is_counted_once(self) -> None:
        counting = Counting()
        instruments = Instruments({}, counting.swap)
        counting.telemetry.record_load_seconds(0.3)
        await instruments.render()
        counting.telemetry.record_load_seconds(0.4)
        text = (await instruments.render()).decode()
        assert "ridgesill_adapter_load_seconds_count 2.0" in text

    async def test_no_other_thread_imports_them(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # A front beside 200 processes ended with an illegal instruction in the
        # C library 3 s after its start, on the thread that imported them.
        threads: list[threading.Thread] = []

        def note_thread(name: str) -> Any:
            threads.append(threading.current_thread())
            return importlib.__import__(name, fromlist=["x"])

        monkeypatch.setattr(telemetry.importlib, "import_module", note_thread)
        counting = Counting()
        instruments = Instruments({}, counting.swap)
        assert threads == []
        await instruments.render()
        assert set(threads) == {threading.main_thread()}

    def test_only_the_latest_are_kept(self) -> None:
        kept, taken = BufferedTelemetry(), BufferedTelemetry()
        for _ in range(5000):
            kept.record_load_seconds(0.1)
        kept.replay_into(taken)
        assert len(taken._records) == 1000
