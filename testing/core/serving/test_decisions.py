"""Tests of retry budgets, passive health checks, choice and events."""

import collections
import random

import attrs

from ridgesill.core.fleet.messages import DRAINING, FleetNews, Upstream
from ridgesill.core.fleet.messages import UpstreamChange as Change
from ridgesill.core.fleet.registry import FleetView
from ridgesill.core.serving.choice import Chooser, Requirements
from ridgesill.core.serving.events import EventSplitter
from ridgesill.core.serving.outcomes import Outcomes
from ridgesill.core.serving.retries import RetryBounds, ServiceRetries

PLAIN = Requirements("s")


def make_upstream(
    name: str, data_centre: str = "a", **fields: object
) -> Upstream:
    """Returns an upstream of service `s` with four slots."""
    address = f"10.0.0.{name[-1]}:80"
    return Upstream(name, "s", address, data_centre, 4, **fields)  # type: ignore[arg-type]


def make_chooser(*upstreams: Upstream) -> Chooser:
    """Returns the chooser of a front in data centre `a`."""
    view = FleetView()
    changes = tuple(Change(u.name, u) for u in upstreams)
    view.apply_news(FleetNews(1, 1, True, changes), 0.0)
    return Chooser("a", view, Outcomes(), random.Random(1))


class TestRetries:
    def test_fronts_share_the_retry_budget(self) -> None:
        retries = ServiceRetries(RetryBounds(0.2, 50.0, 10.0))
        for _ in range(100):
            retries.record_request(1.0)
        alone = retries.remaining(1.0, 1)
        assert alone <= 0.2 * 100 + 50
        assert 0 < retries.remaining(1.0, 10) < alone

    def test_a_spent_budget_is_restored_after_the_window(self) -> None:
        retries = ServiceRetries(RetryBounds(0.2, 5.0, 10.0))
        spent = 0
        while retries.acquire(1.0, 1):
            spent += 1
        assert 0 < spent <= 5
        assert not retries.acquire(9.0, 1)
        assert retries.acquire(12.0, 1)


class TestOutcomes:
    def test_an_upstream_that_keeps_failing_is_ejected_for_a_while(
        self,
    ) -> None:
        outcomes = Outcomes()
        for _ in range(5):
            outcomes.record_failure("u1", 10.0)
        assert outcomes.is_ejected("u1", 10.1)
        assert not outcomes.is_ejected("u1", 30.0)

    def test_an_unreachable_upstream_is_ejected_at_once(self) -> None:
        outcomes = Outcomes()
        assert outcomes.record_failure("u1", 10.0, unreachable=True)
        assert outcomes.is_ejected("u1", 10.1)

    def test_a_silent_upstream_with_requests_is_ejected(self) -> None:
        outcomes = Outcomes()
        outcomes.record_sent("u1", 10.0)
        assert not outcomes.is_ejected("u1", 10.5)
        assert outcomes.is_ejected("u1", 11.5)
        outcomes.record_byte("u1", 11.6)
        assert not outcomes.is_ejected("u1", 11.7)

    def test_a_silent_upstream_without_requests_is_not_ejected(self) -> None:
        outcomes = Outcomes()
        outcomes.record_sent("u1", 10.0)
        outcomes.record_end("u1")
        assert not outcomes.is_ejected("u1", 20.0)


class TestChoice:
    def test_the_local_data_centre_is_preferred_while_it_has_free_slots(
        self,
    ) -> None:
        chooser = make_chooser(
            make_upstream("u1", "b"), make_upstream("u2", "a")
        )
        assert chooser.choose(PLAIN, (), 0.0).name == "u2"
        for _ in range(4):
            chooser.record_start("u2", "")
        assert chooser.choose(PLAIN, (), 0.0).name == "u1"

    def test_fluctuating_counts_send_few_requests_to_other_data_centres(
        self,
    ) -> None:
        # Load pattern: a plain service with one request of 50 ms in six slots
        # per upstream, whose counts 195 fronts receive five times a second.
        local, remote = make_upstream("u1", "a"), make_upstream("u2", "b")
        chooser = make_chooser(
            attrs.evolve(local, slots=6), attrs.evolve(remote, slots=6)
        )
        chooser.view.fronts = 195
        rng = random.Random(7)
        remote_count = 0
        for number in range(300):
            counts = {
                u: sum(rng.random() < 0.13 for _ in range(6))
                for u in ("u1", "u2")
            }
            chooser.view.busy = counts
            chooser.update_means(number * 0.2)
            chosen = chooser.choose(PLAIN, (), number * 0.2)
            remote_count += chosen.name == "u2"
        assert remote_count <= 0.05 * 300

    def test_a_local_burst_uses_other_data_centres_within_a_second(
        self,
    ) -> None:
        local, remote = make_upstream("u1", "a"), make_upstream("u2", "b")
        chooser = make_chooser(
            attrs.evolve(local, slots=6), attrs.evolve(remote, slots=6)
        )
        for number in range(5):
            chooser.view.busy = {"u1": 6, "u2": 1}
            chooser.update_means(100.0 + number * 0.2)
        assert chooser.choose(PLAIN, (), 101.0).name == "u2"

    def test_many_fronts_do_not_fill_one_upstream_after_another(self) -> None:
        # Load pattern: 75 fronts that receive each other's counts 0.1 s late,
        # five times a second, and 210 calls per second of 45 ms for three
        # upstreams with six slots. If all fronts choose the least busy upstream
        # by the mean, all calls go to one at a time, and about 20 per second
        # find its queue full.
        placed = [make_upstream(f"u{n}", dc) for n, dc in enumerate("aab")]
        upstreams = [attrs.evolve(u, slots=6) for u in placed]
        choosers = [make_chooser(*upstreams) for _ in range(75)]
        for number, chooser in enumerate(choosers):
            chooser.data_centre = "abc"[number % 3]
            chooser._rng = random.Random(number)
            chooser.view.fronts = 75
        rng = random.Random(5)
        calls: list[tuple[float, str]] = []
        counts: list[dict[str, int]] = [{}]
        most = 0
        for step in range(10 * 210):
            now = step / 210
            calls = [call for call in calls if call[0] > now]
            busy = collections.Counter(name for _, name in calls)
            most = max(most, max(busy.values(), default=0))
            if step % 42 == 21:
                counts.append(dict(busy))
            if step % 42 == 0:
                for chooser in choosers:
                    chooser.view.busy = counts[-1]
                    chooser.update_means(now)
            chosen = rng.choice(choosers).choose(PLAIN, (), now)
            work = rng.expovariate(1 / 0.045)
            # Without a free slot, a call waits for those before it.
            waits = max(busy[chosen.name] - 5, 0) * 0.045 / 6
            calls.append((now + work + waits, chosen.name))
        assert most <= 14

    def test_many_slots_do_not_attract_all_requests_to_the_local_upstream(
        self,
    ) -> None:
        # If all 64 slots of an engine count, local engines get 20 more requests
        # than remote ones and answer late.
        local, remote = make_upstream("u1", "a"), make_upstream("u2", "b")
        chooser = make_chooser(
            attrs.evolve(local, slots=64), attrs.evolve(remote, slots=64)
        )
        for _ in range(10):
            chooser.record_start("u1", "")
        assert chooser.choose(PLAIN, (), 0.0).name == "u2"

    def test_a_draining_upstream_gets_no_requests(self) -> None:
        chooser = make_chooser(make_upstream("u1", state=DRAINING))
        assert chooser.choose(PLAIN, (), 0.0) is None

    def test_only_a_holder_of_the_right_version_is_chosen(self) -> None:
        old = make_upstream("u1", resident={"m/a1": 1})
        new = make_upstream("u2", "b", resident={"m/a1": 2})
        chooser = make_chooser(old, new)
        requirements = Requirements("s", "m/a1", 2)
        assert chooser.choose(requirements, (), 0.0).name == "u2"
        assert chooser.choose(requirements, ("u2",), 0.0) is None

    def test_at_most_half_of_the_upstreams_are_ejected(self) -> None:
        chooser = make_chooser(make_upstream("u1"), make_upstream("u2"))
        for name in ("u1", "u2"):
            chooser.outcomes.record_failure(name, 0.0, unreachable=True)
        assert chooser.choose(PLAIN, (), 0.1) is not None

    def test_requests_of_other_fronts_count_as_load(self) -> None:
        chooser = make_chooser(make_upstream("u1"), make_upstream("u2"))
        chooser.view.busy = {"u1": 4}
        assert chooser.choose(PLAIN, (), 0.0).name == "u2"


class TestEvents:
    def test_only_complete_events_are_returned(self) -> None:
        splitter = EventSplitter()
        assert splitter.feed(b"id: 1\ndata: x\n\nid: 2\nda") == (
            b"id: 1\ndata: x\n\n"
        )
        assert splitter.last_id == "1"
        assert splitter.feed(b"ta: y\n\n") == b"id: 2\ndata: y\n\n"
        assert splitter.last_id == "2"

    def test_a_partial_event_is_discarded(self) -> None:
        splitter = EventSplitter()
        splitter.feed(b"id: 1\n\nid: 2\nda")
        splitter.discard_partial()
        assert splitter.feed(b"id: 2\ndata: y\n\n") == b"id: 2\ndata: y\n\n"
