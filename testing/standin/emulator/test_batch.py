"""Tests of the batch of an emulated engine."""

import asyncio

import pytest

from ridgesill.standin.emulator.batch import Batch, EngineShape, Sequence
from ridgesill.standin.emulator.clock import run_on_virtual_clock

SHAPE = EngineShape(event_tokens=1)


class SequenceRecorder:
    """Makes sequences and records their first events and their ends.

    Attributes:
        first: time of the first event by request, in seconds.
        ended: reason of the end by request; "" for a complete answer.
    """

    def __init__(self) -> None:
        self.first: dict[str, float] = {}
        self.ended: dict[str, str] = {}

    def sequence(
        self, name: str, tokens: int, priority: int = 5, events: int = 3
    ) -> Sequence:
        """Returns a sequence whose events are recorded here."""

        def on_event(_number: int) -> None:
            now = asyncio.get_running_loop().time()
            self.first.setdefault(name, now)

        def on_end(reason: str) -> None:
            self.ended[name] = reason

        parts = ((f"{name}.own", tokens),)
        return Sequence(name, "a1", parts, events, priority, on_event, on_end)


def play(
    *sequences: tuple[str, int, int], seconds: float = 5.0
) -> SequenceRecorder:
    """Runs sequences, as (name, tokens, priority), that start together."""
    recorder = SequenceRecorder()

    async def run() -> None:
        batch = Batch(SHAPE)
        for name, tokens, priority in sequences:
            batch.add(recorder.sequence(name, tokens, priority))
        await asyncio.sleep(seconds)

    run_on_virtual_clock(run())
    return recorder


class TestReading:
    def test_the_first_event_follows_the_prefill_time(self) -> None:
        recorder = play(("long", 9190, 5))
        # 0.24 s at 38.4 tokens per ms, plus 9 steps and attention.
        assert recorder.first["long"] == pytest.approx(0.31, abs=0.02)

    def test_prompts_are_read_one_after_the_other(self) -> None:
        recorder = play(("first", 9000, 5), ("second", 9000, 5))
        assert recorder.first["second"] > 1.9 * recorder.first["first"]

    def test_waiting_prompts_are_admitted_by_priority(self) -> None:
        recorder = play(("a", 9000, 5), ("b", 9000, 8), ("c", 600, 2))
        assert recorder.first["a"] < recorder.first["c"] < recorder.first["b"]

    def test_a_long_prompt_slows_other_sequences(self) -> None:
        first_event_at = {}
        for other_tokens in (600, 30_000):
            recorder = play(("s", 600, 2), ("l", other_tokens, 5), seconds=9.0)
            first_event_at[other_tokens] = recorder.first["l"]
        assert first_event_at[30_000] > first_event_at[600]

    def test_cached_parts_are_not_read_again(self) -> None:
        recorder = SequenceRecorder()

        async def run() -> Batch:
            batch = Batch(SHAPE)
            batch.add(recorder.sequence("x", 9000))
            await asyncio.sleep(2.0)
            batch.add(recorder.sequence("x", 9000))
            await asyncio.sleep(2.0)
            return batch

        batch = run_on_virtual_clock(run())
        assert batch.tokens_cached == pytest.approx(9000, abs=1)


class TestEnds:
    def test_a_cancelled_sequence_sends_no_events(self) -> None:
        recorder = SequenceRecorder()

        async def run() -> None:
            batch = Batch(SHAPE)
            batch.add(recorder.sequence("x", 9000))
            batch.cancel("x")
            await asyncio.sleep(2.0)

        run_on_virtual_clock(run())
        assert recorder.first == {}

    def test_abort_all_ends_all_sequences(self) -> None:
        recorder = SequenceRecorder()

        async def run() -> None:
            batch = Batch(SHAPE)
            batch.add(recorder.sequence("x", 9000))
            batch.add(recorder.sequence("y", 9000))
            await asyncio.sleep(0.1)
            batch.abort_all("gone")

        run_on_virtual_clock(run())
        assert recorder.ended == {"x": "gone", "y": "gone"}
