"""Tests of how an emulated engine reads prompts and makes tokens."""

import asyncio

import pytest

from ridgesill.standin.emulator.batch import Batch, EngineShape, Sequence
from ridgesill.standin.emulator.clock import run_virtually

SHAPE = EngineShape(event_tokens=1)


class Heard:
    """What came of sequences, with when."""

    def __init__(self) -> None:
        self.first: dict[str, float] = {}
        self.ended: dict[str, str] = {}

    def sequence(
        self, name: str, tokens: int, priority: int = 5, events: int = 3
    ) -> Sequence:
        """Returns a sequence that is noted here."""

        def on_event(_number: int) -> None:
            now = asyncio.get_running_loop().time()
            self.first.setdefault(name, now)

        def on_end(reason: str) -> None:
            self.ended[name] = reason

        parts = ((f"{name}.own", tokens),)
        return Sequence(name, "a1", parts, events, priority, on_event, on_end)


def play(*sequences: tuple[str, int, int], seconds: float = 5.0) -> Heard:
    """Returns what came of sequences that begin together."""
    heard = Heard()

    async def run() -> None:
        batch = Batch(SHAPE)
        for name, tokens, priority in sequences:
            batch.add(heard.sequence(name, tokens, priority))
        await asyncio.sleep(seconds)

    run_virtually(run())
    return heard


class TestReading:
    def test_a_prompt_takes_as_long_as_it_is(self) -> None:
        heard = play(("long", 9190, 5))
        # 0.24 s at 38.4 tokens a ms, 9 steps, and attention.
        assert heard.first["long"] == pytest.approx(0.31, abs=0.02)

    def test_prompts_are_read_one_after_the_other(self) -> None:
        heard = play(("first", 9000, 5), ("second", 9000, 5))
        assert heard.first["second"] > 1.9 * heard.first["first"]

    def test_of_those_that_wait_the_more_urgent_goes_first(self) -> None:
        heard = play(("a", 9000, 5), ("b", 9000, 8), ("c", 600, 2))
        assert heard.first["a"] < heard.first["c"] < heard.first["b"]

    def test_reading_slows_the_tokens_of_others(self) -> None:
        ended = {}
        for beside in (600, 30_000):
            heard = play(("s", 600, 2), ("l", beside, 5), seconds=9.0)
            ended[beside] = heard.first["l"]
        assert ended[30_000] > ended[600]

    def test_kept_parts_are_not_read_again(self) -> None:
        heard = Heard()

        async def run() -> Batch:
            batch = Batch(SHAPE)
            batch.add(heard.sequence("x", 9000))
            await asyncio.sleep(2.0)
            batch.add(heard.sequence("x", 9000))
            await asyncio.sleep(2.0)
            return batch

        batch = run_virtually(run())
        assert batch.tokens_found == pytest.approx(9000, abs=1)


class TestEnds:
    def test_a_cancelled_sequence_makes_nothing_more(self) -> None:
        heard = Heard()

        async def run() -> None:
            batch = Batch(SHAPE)
            batch.add(heard.sequence("x", 9000))
            batch.cancel("x")
            await asyncio.sleep(2.0)

        run_virtually(run())
        assert heard.first == {}

    def test_a_crash_cuts_everything(self) -> None:
        heard = Heard()

        async def run() -> None:
            batch = Batch(SHAPE)
            batch.add(heard.sequence("x", 9000))
            batch.add(heard.sequence("y", 9000))
            await asyncio.sleep(0.1)
            batch.end_all("gone")

        run_virtually(run())
        assert heard.ended == {"x": "gone", "y": "gone"}
