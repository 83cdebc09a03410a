"""Tests of the order in which waiting requests get an adapter slot."""

from ridgesill.core.fleet.messages import WantArtifact
from ridgesill.core.fleet.wants import ArtifactWaiters, Waiter, WantQueue


def make_waiters(
    adapter: str, asked_at: float, *goals: float
) -> ArtifactWaiters:
    """Returns the waiters for an adapter, one for each goal."""
    want = WantArtifact("s", f"base/{adapter}", 0)
    return ArtifactWaiters(want, asked_at, [Waiter(goal) for goal in goals])


def rank_adapters(*waiters: ArtifactWaiters, now: float) -> list[str]:
    """Returns the adapters in the order in which they are loaded."""
    queue = WantQueue()
    for entry in waiters:
        queue.add(entry)
    return [w.want.artifact.partition("/")[2] for w in queue.ranked(now)]


class TestWantQueue:
    def test_requests_that_can_meet_their_goal_go_before_late_ones(
        self,
    ) -> None:
        late = make_waiters("late", 0.0, 0.6)
        fresh = make_waiters("fresh", 1.0, 1.6)
        assert rank_adapters(late, fresh, now=1.0) == ["fresh", "late"]

    def test_the_earliest_goal_goes_first(self) -> None:
        patient = make_waiters("patient", 0.0, 1.0)
        hasty = make_waiters("hasty", 0.0, 0.6)
        assert rank_adapters(patient, hasty, now=0.0) == ["hasty", "patient"]

    def test_one_load_for_many_requests_goes_before_one_for_few(self) -> None:
        few = make_waiters("few", 0.0, 0.6)
        many = make_waiters("many", 0.1, 0.7, 0.7)
        assert rank_adapters(few, many, now=0.1) == ["many", "few"]

    def test_discarded_requests_are_removed(self) -> None:
        queue = WantQueue()
        waiters = make_waiters("a1", 0.0, 0.6)
        queue.add(waiters)
        queue.discard(waiters)
        assert waiters not in queue
        assert not len(queue)

    def test_requests_with_short_answers_go_first(self) -> None:
        # Answers of 300 tokens held most slots, and long prompts with short
        # answers waited behind them.
        long_answers = [
            ArtifactWaiters(
                WantArtifact("s", f"base/d{n}", 0, answer_tokens=300),
                0.0,
                [Waiter(0.6)],
            )
            for n in range(3)
        ]
        short_answer = ArtifactWaiters(
            WantArtifact("s", "base/digest", 0, answer_tokens=50),
            0.1,
            [Waiter(0.9, 0.3)],
        )
        assert (
            rank_adapters(*long_answers, short_answer, now=0.1)[0] == "digest"
        )

    def test_a_long_prompt_must_start_loading_earlier(self) -> None:
        assert Waiter(0.6, 0.03).can_meet_goal(0.2)
        assert not Waiter(0.6, 0.3).can_meet_goal(0.2)
