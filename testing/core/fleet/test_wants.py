"""Tests of the order in which waiting requests get an adapter slot."""

import random

from ridgesill.core import codec
from ridgesill.core.fleet.load_shares import LoadRound, LoadShares
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


def make_entry(
    adapter: str, customer: str, asked_at: float = 0.0, **fields: object
) -> ArtifactWaiters:
    """Returns one request of a customer for an adapter."""
    given: dict[str, object] = {"goal_at": 5.0, "priority": 1, **fields}
    waiter = Waiter(customer=customer, **given)  # type: ignore[arg-type]
    want = WantArtifact("s", f"base/{adapter}", 0)
    return ArtifactWaiters(want, asked_at, [waiter])


def rank_shared(
    *entries: ArtifactWaiters,
    loads: dict[str, int] | None = None,
    now: float = 0.0,
) -> list[str]:
    """Returns the order of adapters after loads of some customers."""
    shares = LoadShares({"large": 4.0})
    for customer, count in (loads or {}).items():
        for _ in range(count):
            shares.record_load([customer], now)
    queue = WantQueue(shares)
    for entry in entries:
        queue.add(entry)
    return [w.want.artifact.partition("/")[2] for w in queue.ranked(now)]


class TestCustomers:
    def test_priority_goes_before_shares_and_goals_before_priority(
        self,
    ) -> None:
        late = make_entry("late", "a", goal_at=0.1, priority=0)
        urgent = make_entry("urgent", "hot", priority=0)
        other = make_entry("other", "a", priority=1)
        ranked = rank_shared(other, late, urgent, loads={"hot": 9})
        assert ranked == ["urgent", "other", "late"]

    def test_the_customer_with_the_fewest_loads_goes_first(self) -> None:
        hot = make_entry("hot", "hot", goal_at=1.0)
        calm = make_entry("calm", "calm", goal_at=2.0)
        assert rank_shared(hot, calm, loads={"hot": 2, "calm": 1})[0] == "calm"

    def test_loads_are_weighed_by_quotas(self) -> None:
        large = make_entry("large", "large", goal_at=2.0)
        small = make_entry("small", "small", goal_at=1.0)
        ranked = rank_shared(large, small, loads={"large": 3, "small": 1})
        assert ranked == ["large", "small"]

    def test_entries_of_customers_alternate(self) -> None:
        # Guards against one customer that gets all slots that become free at
        # once.
        hot = [make_entry(f"h{n}", "hot", goal_at=1.0) for n in range(3)]
        calm = [make_entry(f"c{n}", "calm", goal_at=2.0) for n in range(2)]
        assert rank_shared(*hot, *calm) == ["h0", "c0", "h1", "c1", "h2"]

    def test_nothing_that_can_be_served_is_overtaken_for_long(self) -> None:
        old = make_entry("old", "hot", 0.0, goal_at=0.5, gives_up_at=4.0)
        gone = make_entry("gone", "hot", 0.0, goal_at=0.5, gives_up_at=2.2)
        new = make_entry("new", "calm", 1.9)
        urgent = make_entry("urgent", "calm", 1.9, priority=0)
        entries = (new, old, gone, urgent)
        loads = {"hot": 9}
        assert rank_shared(*entries, loads=loads, now=1.9) == [
            "urgent",
            "new",
            "old",
            "gone",
        ]
        assert rank_shared(*entries, loads=loads, now=2.0) == [
            "urgent",
            "old",
            "new",
            "gone",
        ]

    def test_a_burst_is_not_ahead_of_customers_within_their_share(self) -> None:
        # Guards against refusals of others: urgent requests of the burst fill
        # the queue, but others don't wait until they are loaded.
        shares = LoadShares({})
        for _ in range(24):
            shares.record_load(["hot"], 0.0)
        shares.record_load(["calm"], 0.0)
        queue = WantQueue(shares)
        for number in range(50):
            queue.add(make_entry(f"h{number}", "hot", priority=0))
        load_round = LoadRound(shares, {"hot", "calm"}, 4.0, 0, 0.0)
        calm = make_entry("c", "calm", priority=2)
        hot = make_entry("h", "hot", priority=2)
        assert queue.count_ahead(calm, load_round, 0.0) == 0
        assert queue.count_ahead(hot, load_round, 0.0) == 50


class TestWithoutCustomers:
    def test_priorities_and_customers_change_nothing(self) -> None:
        rng = random.Random(1)
        queue = WantQueue()
        entries = []
        for number in range(200):
            entry = make_entry(
                f"a{number}",
                rng.choice("abc"),
                rng.uniform(-3.0, 0.0),
                goal_at=rng.uniform(0.0, 1.0),
                priority=rng.randrange(3),
            )
            queue.add(entry)
            entries.append(entry)
        expected = sorted(
            entries,
            key=lambda w: (
                -w.value(0.0),
                w.want.answer_tokens,
                w.earliest_goal(0.0),
                w.asked_at,
            ),
        )
        assert queue.ranked(0.0) == expected


class TestPreviousRelease:
    def test_a_want_without_customer_is_the_least_urgent(self) -> None:
        want = WantArtifact("s", "base/a", 0)
        data = codec.to_builtins(want)
        del data["priority"], data["customer"]
        read = codec.decode(codec._ENCODER.encode(("WantArtifact", data)))
        assert (read.priority, read.customer) == (2, "")
