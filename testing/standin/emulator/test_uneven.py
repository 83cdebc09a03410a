"""Tests of placement by pace, on replays of uneven engines.

Load pattern: one engine in four at 0.55 of the speed and the others at 1.2,
slow periods of 0.6 s, 9.3 requests a second for each engine, of which one in
26 has 9,190 tokens and the others 646.
"""

import attrs
import pytest

from ridgesill.standin.emulator.uneven import Plan, Replay, Result, make_plan


def compare(plan: Plan) -> tuple[Result, Result]:
    """Returns the results by reading times and by pace on the same draws."""
    before = Replay(plan, by_pace=False).run()
    after = Replay(plan, by_pace=True).run()
    assert after.streams == before.streams > 3000
    return before, after


@pytest.mark.parametrize("seed", [1, 2, 3])
class TestReplay:
    def test_long_prompts_make_no_stream_pause_too_long(
        self, seed: int
    ) -> None:
        # Guards against long prompts on slow engines: each made four or five
        # streams pause for 0.4 s, which made 4% of all streams late.
        plan = attrs.evolve(make_plan(seed), slow_periods={})
        before, after = compare(plan)
        assert before.paused > 0.01 * before.streams
        assert after.paused <= before.paused / 20

    def test_slow_periods_undo_little_of_it(self, seed: int) -> None:
        before, after = compare(make_plan(seed))
        assert after.paused <= before.paused / 2
        assert after.paused <= 0.01 * after.streams
        assert after.late <= before.late + 0.005 * before.streams

    def test_the_paces_are_those_of_the_engines(self, seed: int) -> None:
        result = Replay(make_plan(seed, seconds=8.0), by_pace=True).run()
        for name, pace in result.paces.items():
            is_slow = int(name[1:]) % 4 == 0
            assert pace == pytest.approx(1.69 if is_slow else 0.77, abs=0.2)
            assert (result.pause_shares[name] > 0.5) == is_slow


class TestEqualEngines:
    def test_busy_engines_are_not_taken_for_slow_ones(self) -> None:
        # Guards against paces that tell the load. Engines that read prompts for
        # 0.7 of their time got paces of 0.4 to 2.5, and 2.5 times as many
        # requests were late.
        plan = attrs.evolve(
            make_plan(1, rate=26.0, seconds=20.0),
            speeds=(1.0,) * 16,
            slow_periods={},
        )
        before, after = compare(plan)
        assert set(after.paces.values()) == {1.0}
        assert after.changes == 0
        assert after.late <= before.late + 0.005 * before.streams
