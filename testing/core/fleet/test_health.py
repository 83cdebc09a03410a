"""Tests of which engines are out of use, by what fronts tell."""

import random

import pytest

from ridgesill.core.fleet.health import EngineHealth

_ENGINES = [f"u{number}" for number in range(37)]
_FRONTS = 195


def fail(
    health: EngineHealth, engine: str, count: int, *, unreachable: bool = False
) -> None:
    """Has several fronts tell of a failure each, in a tenth of a second."""
    for number in range(count):
        now = number * 0.1 / count
        front = f"f{number}"
        health.record_failed(engine, front, now, unreachable=unreachable)


class TestEngineHealth:
    def test_two_channels_that_do_not_come_up_are_enough(self) -> None:
        health = EngineHealth()
        fail(health, "u1", 1, unreachable=True)
        assert not health.is_ejected("u1", 0.1)
        fail(health, "u1", 2, unreachable=True)
        assert health.is_ejected("u1", 0.1)

    def test_three_failures_in_a_row_are_enough(self) -> None:
        health = EngineHealth()
        fail(health, "u1", 2)
        assert not health.is_ejected("u1", 0.1)
        fail(health, "u1", 3)
        assert health.is_ejected("u1", 0.1)

    def test_a_front_that_is_cut_off_takes_nothing_out(self) -> None:
        health = EngineHealth()
        for _ in range(9):
            for engine in _ENGINES:
                health.record_failed(engine, "f1", 0.0, unreachable=True)
        assert not health.find_ejected(_ENGINES, _FRONTS, 0.1)

    def test_an_engine_that_fails_half_is_found(self) -> None:
        # 45 in 100 of what it gets, six requests a second from all fronts.
        rng = random.Random(1)
        health = EngineHealth()
        sent = 0
        now = 0.0
        while now < 6.0:
            now += 1 / 6
            if health.is_ejected("u1", now):
                continue
            sent += 1
            health.record_assigned("u1", now)
            if rng.random() < 0.45:
                health.record_failed("u1", f"f{sent}", now, unreachable=False)
            else:
                health.record_served("u1", now)
        assert sent < 0.6 * 36

    def test_one_that_seldom_fails_stays_in_use(self) -> None:
        # 6 in 100 of the answers are lost.
        rng = random.Random(2)
        health = EngineHealth()
        out = 0
        for number in range(6000):
            now = number / 6
            out += health.is_ejected("u1", now)
            if rng.random() < 0.06:
                health.record_failed("u1", f"f{number}", now, unreachable=False)
            else:
                health.record_served("u1", now)
        assert out <= 60

    def test_after_its_time_it_gets_one_request_at_a_time(self) -> None:
        health = EngineHealth()
        fail(health, "u1", 3, unreachable=True)
        assert health.is_ejected("u1", 1.5)
        assert not health.is_ejected("u1", 1.7)
        health.record_assigned("u1", 1.7)
        assert health.is_ejected("u1", 1.8)
        health.record_served("u1", 1.9)
        assert not health.is_ejected("u1", 1.9)

    def test_one_that_is_still_dark_is_out_for_longer(self) -> None:
        health = EngineHealth()
        fail(health, "u1", 2, unreachable=True)
        health.record_failed("u1", "f9", 2.0, unreachable=True)
        assert health.is_ejected("u1", 4.9)
        assert not health.is_ejected("u1", 5.1)

    def test_at_most_half_are_out(self) -> None:
        health = EngineHealth()
        engines = _ENGINES[:3]
        health.discard_except(engines)
        for engine in engines[:2]:
            fail(health, engine, 9, unreachable=True)
        assert len(health.find_ejected(engines, _FRONTS, 0.1)) == 1

    @pytest.mark.parametrize(("share", "rate"), [(1.0, 0.45), (0.6, 0.4)])
    def test_what_fails_at_most_engines_takes_hardly_any_out(
        self, share: float, rate: float
    ) -> None:
        # Load pattern: all engines fail 45 in 100, or three fifths of them lose
        # 40 in 100 of their answers, for 4 s. With half of the engines out,
        # what they held was loaded elsewhere, and callers waited for that.
        rng = random.Random(3)
        health = EngineHealth()
        health.discard_except(_ENGINES)
        failing = _ENGINES[: int(share * len(_ENGINES))]
        looks, out = 0, 0
        for number in range(4 * 228):
            now = number / 228
            engine = rng.choice(_ENGINES)
            looks += 1
            out += len(health.find_ejected(_ENGINES, _FRONTS, now))
            if health.is_ejected(engine, now):
                continue
            health.record_assigned(engine, now)
            if engine in failing and rng.random() < rate:
                front = f"f{rng.randint(1, 195)}"
                health.record_failed(engine, front, now, unreachable=False)
            else:
                health.record_served(engine, now)
        assert out / looks < 0.1 * len(_ENGINES)

    def test_one_in_seven_that_fail_half_are_found(self) -> None:
        rng = random.Random(4)
        health = EngineHealth()
        health.discard_except(_ENGINES)
        failing = _ENGINES[:5]
        sent = 0
        for number in range(6 * 228):
            now = number / 228
            engine = rng.choice(_ENGINES)
            if health.is_ejected(engine, now):
                continue
            health.record_assigned(engine, now)
            if engine in failing:
                sent += 1
            if engine in failing and rng.random() < 0.45:
                front = f"f{rng.randint(1, 195)}"
                health.record_failed(engine, front, now, unreachable=False)
            else:
                health.record_served(engine, now)
        assert sent < 0.6 * 6 * 228 * 5 / 37

    def test_few_fronts_judge_by_themselves(self) -> None:
        # Load pattern: six fronts, and engines that reset channels since they
        # are full. Without them the others are full as well.
        health = EngineHealth()
        fail(health, "u1", 6)
        assert "u1" in health.find_ejected(_ENGINES, _FRONTS, 0.1)
        assert not health.find_ejected(_ENGINES, 6, 0.1)

    def test_those_that_are_gone_are_forgotten(self) -> None:
        health = EngineHealth()
        fail(health, "u1", 3)
        health.discard_except({"u2"})
        assert not health.is_ejected("u1", 0.1)
