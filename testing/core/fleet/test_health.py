"""Tests of the ejection of engines by the outcomes that fronts report."""

import random

import pytest

from ridgesill.core.fleet.health import EngineHealth

_ENGINES = [f"u{number}" for number in range(37)]
_FRONTS = 195


def report_failures(
    health: EngineHealth, engine: str, count: int, *, unreachable: bool = False
) -> None:
    """Reports one failure from each of several fronts within 0.1 s."""
    for number in range(count):
        now = number * 0.1 / count
        front = f"f{number}"
        health.record_failed(engine, front, now, unreachable=unreachable)


class TestEngineHealth:
    def test_two_unreachable_failures_eject_an_engine(self) -> None:
        health = EngineHealth()
        report_failures(health, "u1", 1, unreachable=True)
        assert not health.is_ejected("u1", 0.1)
        report_failures(health, "u1", 2, unreachable=True)
        assert health.is_ejected("u1", 0.1)

    def test_three_failures_in_a_row_eject_an_engine(self) -> None:
        health = EngineHealth()
        report_failures(health, "u1", 2)
        assert not health.is_ejected("u1", 0.1)
        report_failures(health, "u1", 3)
        assert health.is_ejected("u1", 0.1)

    def test_one_partitioned_front_ejects_nothing(self) -> None:
        health = EngineHealth()
        for _ in range(9):
            for engine in _ENGINES:
                health.record_failed(engine, "f1", 0.0, unreachable=True)
        assert not health.find_ejected(_ENGINES, _FRONTS, 0.1)

    def test_engine_that_fails_half_of_its_requests_is_ejected(self) -> None:
        # It fails 45% of its requests, six a second from all fronts.
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

    def test_engine_that_seldom_fails_stays_in_use(self) -> None:
        # 6% of the answers are lost.
        rng = random.Random(2)
        health = EngineHealth()
        ejected = 0
        for number in range(6000):
            now = number / 6
            ejected += health.is_ejected("u1", now)
            if rng.random() < 0.06:
                health.record_failed("u1", f"f{number}", now, unreachable=False)
            else:
                health.record_served("u1", now)
        assert ejected <= 60

    def test_engine_is_probed_after_its_ejection(self) -> None:
        health = EngineHealth()
        report_failures(health, "u1", 3, unreachable=True)
        assert health.is_ejected("u1", 1.5)
        assert not health.is_ejected("u1", 1.7)
        health.record_assigned("u1", 1.7)
        assert health.is_ejected("u1", 1.8)
        health.record_served("u1", 1.9)
        assert not health.is_ejected("u1", 1.9)

    def test_repeated_ejection_lasts_longer(self) -> None:
        health = EngineHealth()
        report_failures(health, "u1", 2, unreachable=True)
        health.record_failed("u1", "f9", 2.0, unreachable=True)
        assert health.is_ejected("u1", 4.9)
        assert not health.is_ejected("u1", 5.1)

    def test_at_most_half_of_the_engines_are_ejected(self) -> None:
        health = EngineHealth()
        engines = _ENGINES[:3]
        health.discard_except(engines)
        for engine in engines[:2]:
            report_failures(health, engine, 9, unreachable=True)
        assert len(health.find_ejected(engines, _FRONTS, 0.1)) == 1

    @pytest.mark.parametrize(("share", "rate"), [(1.0, 0.45), (0.6, 0.4)])
    def test_failures_at_most_engines_eject_hardly_any(
        self, share: float, rate: float
    ) -> None:
        # Load pattern: for 4 s all engines fail 45% of their requests, or three
        # fifths of them lose 40% of their answers. If half of the engines were
        # ejected, their artifacts would be loaded elsewhere, and callers would
        # wait for these loads.
        rng = random.Random(3)
        health = EngineHealth()
        health.discard_except(_ENGINES)
        failing = _ENGINES[: int(share * len(_ENGINES))]
        samples, ejected = 0, 0
        for number in range(4 * 228):
            now = number / 228
            engine = rng.choice(_ENGINES)
            samples += 1
            ejected += len(health.find_ejected(_ENGINES, _FRONTS, now))
            if health.is_ejected(engine, now):
                continue
            health.record_assigned(engine, now)
            if engine in failing and rng.random() < rate:
                front = f"f{rng.randint(1, 195)}"
                health.record_failed(engine, front, now, unreachable=False)
            else:
                health.record_served(engine, now)
        assert ejected / samples < 0.1 * len(_ENGINES)

    def test_failing_seventh_of_the_engines_is_ejected(self) -> None:
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

    def test_few_fronts_get_no_ejections(self) -> None:
        # Load pattern: six fronts, and engines that reset channels because they
        # are at capacity. Ejecting them would overload the other engines.
        health = EngineHealth()
        report_failures(health, "u1", 6)
        assert "u1" in health.find_ejected(_ENGINES, _FRONTS, 0.1)
        assert not health.find_ejected(_ENGINES, 6, 0.1)

    def test_records_of_removed_engines_are_discarded(self) -> None:
        health = EngineHealth()
        report_failures(health, "u1", 3)
        health.discard_except({"u2"})
        assert not health.is_ejected("u1", 0.1)
