"""Tests of the weight store's allocator."""

from ridgesill.core.pool.messages import AskPermit
from ridgesill.core.pool.permits import PERMIT_LIFETIME, Allocator


def ask(name: str, urgency: int = 1) -> AskPermit:
    """Returns a question for a permit."""
    return AskPermit(name, "east/s", "s", urgency)


def granted(allocator: Allocator, now: float) -> list[str]:
    """Returns the permits granted at a time."""
    return [grant.permit for grant in allocator.tick(now)]


class TestAllocator:
    def test_it_begins_empty(self) -> None:
        allocator = Allocator(9.0, 4, now=0.0)
        allocator.ask(ask("a"))
        assert granted(allocator, 0.0) == []

    def test_no_more_than_allowed_run_at_once(self) -> None:
        allocator = Allocator(9.0, 4, now=0.0)
        for number in range(10):
            allocator.ask(ask(f"p{number}"))
        assert len(granted(allocator, 10.0)) == 4
        allocator.end("p0")
        assert len(granted(allocator, 20.0)) == 1

    def test_the_rate_is_kept(self) -> None:
        allocator = Allocator(9.0, 4, now=0.0)
        total = 0
        for step in range(100):
            allocator.ask(ask(f"p{step}"))
            for permit in granted(allocator, step * 0.1):
                allocator.end(permit)
                total += 1
        assert total <= 9.0 * 9.9

    def test_the_most_urgent_goes_first(self) -> None:
        allocator = Allocator(1.0, 1, now=0.0)
        allocator.ask(ask("low", 1))
        allocator.ask(ask("high", 9))
        assert granted(allocator, 1.0) == ["high"]

    def test_a_lost_holder_frees_its_permit_in_the_end(self) -> None:
        allocator = Allocator(9.0, 1, now=0.0)
        allocator.ask(ask("lost"))
        allocator.ask(ask("next"))
        assert granted(allocator, 1.0) == ["lost"]
        assert granted(allocator, 2.0) == []
        assert granted(allocator, 1.1 + PERMIT_LIFETIME) == ["next"]

    def test_a_question_taken_back_is_not_granted(self) -> None:
        allocator = Allocator(9.0, 4, now=0.0)
        allocator.ask(ask("a"))
        allocator.end("a")
        assert granted(allocator, 10.0) == []
