"""Tests of the paces of engines, from what fronts report of streams.

Load pattern: eight answers a second on each engine, whose events come every
40 ms at speed 1.2 and every 90 ms at speed 0.55.
"""

from collections.abc import Callable

import pytest

from ridgesill.core.fleet.engine_pace import EnginePaces
from ridgesill.core.serving.load_reports import UpstreamCalls

FAST, SLOW = 0.04, 0.087
ENGINES = {"slow": SLOW, "f1": FAST, "f2": FAST, "f3": FAST}
MAX_STREAMS = 99.0


def make_calls(gap: float, ratio: float = 1.5, paced: int = 1) -> UpstreamCalls:
    """Returns a report on streams with a typical gap, in seconds.

    Args:
        gap: the typical gap.
        ratio: the longest gap as a multiple of it.
        paced: number of streams.
    """
    return UpstreamCalls(
        paced=paced, typical_gaps=gap * paced, longest_gaps=gap * ratio * paced
    )


def play(
    paces: EnginePaces,
    begin: float,
    end: float,
    gap_at: Callable[[str, float], float] = lambda name, _now: ENGINES[name],
    ratio: float = 1.5,
) -> None:
    """Reports eight streams a second on each engine, and updates the paces."""
    for step in range(round(begin * 8), round(end * 8)):
        for name in ENGINES:
            calls = make_calls(gap_at(name, step / 8), ratio)
            paces.record_calls("s", name, calls, MAX_STREAMS, step / 8)
        paces.update({"s": list(ENGINES)}, step / 8)


@pytest.fixture
def settled() -> EnginePaces:
    """Paces after five seconds of reports."""
    paces = EnginePaces()
    play(paces, 0.0, 5.0)
    return paces


class TestPace:
    # Reports are up to 0.3 s old, so 2.7 s of them must do.
    def test_a_slow_engine_is_known_within_three_seconds(self) -> None:
        paces = EnginePaces()
        play(paces, 0.0, 2.7)
        assert paces.pace("slow") == pytest.approx(1.7, abs=0.1)
        assert paces.pace("f1") == pytest.approx(0.8, abs=0.1)

    def test_an_engine_that_becomes_slow_is_known_within_three_seconds(
        self, settled: EnginePaces
    ) -> None:
        gaps = {**ENGINES, "f1": SLOW}
        play(settled, 5.0, 7.7, lambda name, _now: gaps[name])
        assert settled.pace("f1") > 1.2

    @pytest.mark.parametrize("offset", [0.0, 0.1, 0.2, 0.3])
    @pytest.mark.parametrize("begin", [0.0, 5.0])
    def test_a_slow_period_changes_a_pace_by_a_tenth_at_most(
        self, begin: float, offset: float
    ) -> None:
        def gap_at(name: str, now: float) -> float:
            is_slow = name == "f1" and 0 <= now - begin - offset < 0.5
            return ENGINES[name] * (2.5 if is_slow else 1.0)

        paces = EnginePaces()
        play(paces, 0.0, 5.0)
        usual = paces.pace("f1")
        paces = EnginePaces()
        if begin:
            play(paces, 0.0, begin)
        for second in range(4):
            play(paces, begin + second, begin + second + 1, gap_at)
            if begin or second >= 2:
                assert abs(paces.pace("f1") - usual) <= 0.1 + 1e-9

    def test_equal_engines_have_pace_1(self) -> None:
        # Guards against placement that changes where engines don't differ.
        paces = EnginePaces()
        wobble = {"slow": 1.05, "f1": 0.96, "f2": 1.0, "f3": 1.02}
        play(paces, 0.0, 9.0, lambda name, _now: FAST * wobble[name])
        assert {paces.pace(name) for name in ENGINES} == {1.0}

    def test_streams_beside_many_prompts_do_not_count(
        self, settled: EnginePaces
    ) -> None:
        # Guards against paces that tell how many prompts an engine reads.
        before = settled.pace("f1")
        gaps = {**ENGINES, "f1": 4 * FAST}
        for step in range(40, 80):
            settled.record_read("f1", 0.7 / 8, step / 8)
            play(
                settled, step / 8, (step + 1) / 8, lambda name, _now: gaps[name]
            )
            assert settled.pace("f1") == before

    def test_new_and_restarted_engines_begin_at_1(
        self, settled: EnginePaces
    ) -> None:
        settled.update({"s": ["slow#2", "f1", "f2", "f3"]}, 5.0)
        assert settled.pace("slow#2") == settled.pace("slow") == 1.0

    def test_a_silent_engine_keeps_its_pace(self, settled: EnginePaces) -> None:
        before = settled.pace("slow")
        settled.update({"s": list(ENGINES)}, 500.0)
        assert settled.pace("slow") == before > 1.5


class TestAdopt:
    def test_a_new_owner_keeps_the_paces_while_it_measures(
        self, settled: EnginePaces
    ) -> None:
        # Guards against an owner that hears of the slow engine first and takes
        # it for the mean of the service.
        successor = EnginePaces()
        for name in ENGINES:
            successor.adopt(name, settled.published_pace(name))
        for step in range(40):
            now = step / 8
            successor.record_calls(
                "s", "slow", make_calls(SLOW), MAX_STREAMS, now
            )
            successor.update({"s": list(ENGINES)}, now)
            for name in ENGINES:
                assert successor.pace(name) == pytest.approx(
                    settled.pace(name), abs=0.1
                )

    @pytest.mark.parametrize("pace", [float("nan"), float("inf")])
    def test_a_damaged_pace_is_not_adopted(self, pace: float) -> None:
        paces = EnginePaces()
        paces.adopt("e1", pace)
        assert paces.pace("e1") == 1.0


class TestAbsurdFigures:
    @pytest.mark.parametrize(
        "calls",
        [
            UpstreamCalls(paced=-5, typical_gaps=0.2, longest_gaps=0.3),
            UpstreamCalls(paced=0, typical_gaps=0.2, longest_gaps=0.3),
            UpstreamCalls(paced=1, typical_gaps=-0.04, longest_gaps=0.1),
            UpstreamCalls(paced=1, typical_gaps=0.2, longest_gaps=0.1),
            UpstreamCalls(paced=1, typical_gaps=float("nan"), longest_gaps=1.0),
            UpstreamCalls(
                paced=1, typical_gaps=0.04, longest_gaps=float("inf")
            ),
            make_calls(FAST * 1000),
            make_calls(FAST / 1000),
            make_calls(FAST * 3, paced=10**9),
        ],
    )
    def test_a_wrong_report_is_told_and_changes_no_pace(
        self, settled: EnginePaces, calls: UpstreamCalls
    ) -> None:
        before = settled.pace("f1")
        assert not settled.record_calls("s", "f1", calls, MAX_STREAMS, 5.0)
        play(settled, 5.0, 9.0)
        assert settled.pace("f1") == before

    def test_usual_and_empty_reports_are_plausible(
        self, settled: EnginePaces
    ) -> None:
        # A slow engine in a slow period is no error of a front.
        for calls in (make_calls(SLOW * 2.5), UpstreamCalls(answered=3)):
            assert settled.record_calls("s", "slow", calls, MAX_STREAMS, 5.0)

    def test_a_pace_is_bounded_however_wrong_reports_are(
        self, settled: EnginePaces
    ) -> None:
        gaps = {**ENGINES, "f1": 90.0}
        play(settled, 5.0, 20.0, lambda name, _now: gaps[name])
        assert settled.pace("f1") <= 4.0


class TestLatePauseShare:
    def test_it_is_unknown_without_long_gaps(
        self, settled: EnginePaces
    ) -> None:
        assert settled.late_pause_share("slow", 0.01) == 0.0
        assert settled.late_pause_share("unknown", 0.01) == 0.0

    def test_it_follows_the_pace_and_ignores_other_gaps(
        self, settled: EnginePaces
    ) -> None:
        # A sixth of the streams runs beside a long prompt, also if that reads
        # on fast engines only.
        for second in range(5, 25):
            play(settled, second, second + 1.0)
            long_calls = make_calls(FAST, ratio=4.4)
            settled.record_calls("s", "f1", long_calls, MAX_STREAMS, second)
        settled.update({"s": list(ENGINES)}, 25.0)
        for engine, gap in (("f1", 0.176), ("slow", 0.383)):
            assert settled.late_pause_share(engine, 0.9 * gap) == 1.0
            assert settled.late_pause_share(engine, 1.1 * gap) == 0.0


class TestReadingPaces:
    """The fallback for engines whose streams have too few events."""

    def test_a_pace_from_streams_takes_precedence(
        self, settled: EnginePaces
    ) -> None:
        before = settled.pace("f1")
        for _ in range(50):
            settled.record_reading("f1", 2.0)
            settled.record_reading("other", 2.0)
        assert settled.pace("f1") == before
        assert settled.pace("other") > 1.5
        assert settled.published_pace("other") == 1.0
