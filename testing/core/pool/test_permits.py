"""Tests of the permit allocator of the weight store."""

from ridgesill.core.pool.messages import AskPermit
from ridgesill.core.pool.permits import PERMIT_LIFETIME_SECONDS, PermitAllocator


def make_request(name: str, urgency: int = 1) -> AskPermit:
    """Returns a request for a permit."""
    return AskPermit(name, "east/s", "s", urgency)


def grant_permits(allocator: PermitAllocator, now: float) -> list[str]:
    """Grants permits at a time; returns their ids."""
    return [grant.permit for grant in allocator.grant(now)]


class TestPermitAllocator:
    def test_the_bucket_starts_empty(self) -> None:
        allocator = PermitAllocator(9.0, 4, refilled_at=0.0)
        allocator.enqueue(make_request("a"))
        assert grant_permits(allocator, 0.0) == []

    def test_concurrent_loads_are_limited(self) -> None:
        allocator = PermitAllocator(9.0, 4, refilled_at=0.0)
        for number in range(10):
            allocator.enqueue(make_request(f"p{number}"))
        assert len(grant_permits(allocator, 10.0)) == 4
        allocator.release("p0")
        assert len(grant_permits(allocator, 20.0)) == 1

    def test_the_rate_is_not_exceeded(self) -> None:
        allocator = PermitAllocator(9.0, 4, refilled_at=0.0)
        total = 0
        for step in range(100):
            allocator.enqueue(make_request(f"p{step}"))
            for permit in grant_permits(allocator, step * 0.1):
                allocator.release(permit)
                total += 1
        assert total <= 9.0 * 9.9

    def test_the_most_urgent_goes_first(self) -> None:
        allocator = PermitAllocator(1.0, 1, refilled_at=0.0)
        allocator.enqueue(make_request("low", 1))
        allocator.enqueue(make_request("high", 9))
        assert grant_permits(allocator, 1.0) == ["high"]

    def test_the_permit_of_a_lost_owner_expires(self) -> None:
        allocator = PermitAllocator(9.0, 1, refilled_at=0.0)
        allocator.enqueue(make_request("lost"))
        allocator.enqueue(make_request("next"))
        assert grant_permits(allocator, 1.0) == ["lost"]
        assert grant_permits(allocator, 2.0) == []
        assert grant_permits(allocator, 1.1 + PERMIT_LIFETIME_SECONDS) == [
            "next"
        ]

    def test_a_cancelled_request_is_not_granted(self) -> None:
        allocator = PermitAllocator(9.0, 4, refilled_at=0.0)
        allocator.enqueue(make_request("a"))
        allocator.release("a")
        assert grant_permits(allocator, 10.0) == []
