"""Tests of which wants get a place first."""

from ridgesill.core.fleet.messages import WantArtifact
from ridgesill.core.fleet.wants import ArtifactWaiters, Waiter, WantQueue


def waiting(adapter: str, asked_at: float, *goals: float) -> ArtifactWaiters:
    """Returns a want with a request for each goal."""
    want = WantArtifact("s", f"base/{adapter}", 0)
    return ArtifactWaiters(want, asked_at, [Waiter(goal) for goal in goals])


def order(*wants: ArtifactWaiters, now: float) -> list[str]:
    """Returns the adapters in the order in which they get a place."""
    queue = WantQueue()
    for want in wants:
        queue.add(want)
    return [w.want.artifact.partition("/")[2] for w in queue.ranked(now)]


class TestWantQueue:
    def test_those_that_can_be_in_time_go_before_those_that_are_late(
        self,
    ) -> None:
        late = waiting("late", 0.0, 0.6)
        fresh = waiting("fresh", 1.0, 1.6)
        assert order(late, fresh, now=1.0) == ["fresh", "late"]

    def test_the_nearest_goal_goes_first_among_them(self) -> None:
        patient = waiting("patient", 0.0, 1.0)
        hasty = waiting("hasty", 0.0, 0.6)
        assert order(patient, hasty, now=0.0) == ["hasty", "patient"]

    def test_one_load_for_many_requests_goes_before_one_for_few(self) -> None:
        few = waiting("few", 0.0, 0.6)
        many = waiting("many", 0.1, 0.7, 0.7)
        assert order(few, many, now=0.1) == ["many", "few"]

    def test_what_waits_no_more_is_forgotten(self) -> None:
        queue = WantQueue()
        want = waiting("a1", 0.0, 0.6)
        queue.add(want)
        queue.discard(want)
        assert want not in queue
        assert not len(queue)

    def test_what_gives_its_place_back_soon_goes_first(self) -> None:
        # Answers of 300 tokens held most places, and long prompts with short
        # answers waited behind them.
        drafts = [
            ArtifactWaiters(
                WantArtifact("s", f"base/d{n}", 0, answer_tokens=300),
                0.0,
                [Waiter(0.6)],
            )
            for n in range(3)
        ]
        digest = ArtifactWaiters(
            WantArtifact("s", "base/digest", 0, answer_tokens=50),
            0.1,
            [Waiter(0.9, 0.3)],
        )
        assert order(*drafts, digest, now=0.1)[0] == "digest"

    def test_a_long_prompt_is_late_sooner(self) -> None:
        assert Waiter(0.6, 0.03).can_meet_goal(0.2)
        assert not Waiter(0.6, 0.3).can_meet_goal(0.2)
