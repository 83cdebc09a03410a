"""Tests of the weight store's allocator."""

from ridgesill.core.pool.messages import AskPermit
from ridgesill.core.pool.permits import PERMIT_LIFETIME_SECONDS, PermitAllocator


def ask(name: str, urgency: int = 1) -> AskPermit:
    """Returns a question for a permit."""
    return AskPermit(name, "east/s", "s", urgency)


def granted(allocator: PermitAllocator, now: float) -> list[str]:
    """Returns the permits granted at a time."""
    return [grant.permit for grant in allocator.grant(now)]


class TestAllocator:
    def test_it_begins_empty(self) -> None:
        allocator = PermitAllocator(9.0, 4, refilled_at=0.0)
        allocator.enqueue(ask("a"))
        assert granted(allocator, 0.0) == []

    def test_no_more_than_allowed_run_at_once(self) -> None:
        allocator = PermitAllocator(9.0, 4, refilled_at=0.0)
        for number in range(10):
            allocator.enqueue(ask(f"p{number}"))
        assert len(granted(allocator, 10.0)) == 4
        allocator.release("p0")
        assert len(granted(allocator, 20.0)) == 1

    def test_the_rate_is_kept(self) -> None:
        allocator = PermitAllocator(9.0, 4, refilled_at=0.0)
        total = 0
        for step in range(100):
            allocator.enqueue(ask(f"p{step}"))
            for permit in granted(allocator, step * 0.1):
                allocator.release(permit)
                total += 1
        assert total <= 9.0 * 9.9

    def test_the_most_urgent_goes_first(self) -> None:
        allocator = PermitAllocator(1.0, 1, refilled_at=0.0)
        allocator.enqueue(ask("low", 1))
        allocator.enqueue(ask("high", 9))
        assert granted(allocator, 1.0) == ["high"]

    def test_a_lost_holder_frees_its_permit_in_the_end(self) -> None:
        allocator = PermitAllocator(9.0, 1, refilled_at=0.0)
        allocator.enqueue(ask("lost"))
        allocator.enqueue(ask("next"))
        assert granted(allocator, 1.0) == ["lost"]
        assert granted(allocator, 2.0) == []
        assert granted(allocator, 1.1 + PERMIT_LIFETIME_SECONDS) == ["next"]

    def test_a_question_taken_back_is_not_granted(self) -> None:
        allocator = PermitAllocator(9.0, 4, refilled_at=0.0)
        allocator.enqueue(ask("a"))
        allocator.release("a")
        assert granted(allocator, 10.0) == []
