"""Tests of a front's retries, its view of outcomes, and its choice."""

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


def upstream(name: str, data_centre: str = "a", **fields: object) -> Upstream:
    """Returns an upstream of service `s` with four places."""
    address = f"10.0.0.{name[-1]}:80"
    return Upstream(name, "s", address, data_centre, 4, **fields)  # type: ignore[arg-type]


def chooser(*upstreams: Upstream) -> Chooser:
    """Returns the choice of a front in data centre `a`."""
    view = FleetView()
    changes = tuple(Change(u.name, u) for u in upstreams)
    view.apply_news(FleetNews(1, 1, True, changes), 0.0)
    return Chooser("a", view, Outcomes(), random.Random(1))


class TestRetries:
    def test_fronts_share_what_is_allowed(self) -> None:
        retries = ServiceRetries(RetryBounds(0.2, 50.0, 10.0))
        for _ in range(100):
            retries.record_request(1.0)
        alone = retries.remaining(1.0, 1)
        assert alone <= 0.2 * 100 + 50
        assert 0 < retries.remaining(1.0, 10) < alone

    def test_a_spent_budget_comes_back_with_the_window(self) -> None:
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

    def test_one_that_can_not_be_reached_is_ejected_at_once(self) -> None:
        outcomes = Outcomes()
        assert outcomes.record_failure("u1", 10.0, unreachable=True)
        assert outcomes.is_ejected("u1", 10.1)

    def test_one_that_says_nothing_while_requests_wait_is_out(self) -> None:
        outcomes = Outcomes()
        outcomes.record_sent("u1", 10.0)
        assert not outcomes.is_ejected("u1", 10.5)
        assert outcomes.is_ejected("u1", 11.5)
        outcomes.record_byte("u1", 11.6)
        assert not outcomes.is_ejected("u1", 11.7)

    def test_one_without_requests_may_be_silent(self) -> None:
        outcomes = Outcomes()
        outcomes.record_sent("u1", 10.0)
        outcomes.record_end("u1")
        assert not outcomes.is_ejected("u1", 20.0)


class TestChoice:
    def test_the_own_data_centre_goes_first_while_it_has_room(self) -> None:
        choice = chooser(upstream("u1", "b"), upstream("u2", "a"))
        assert choice.choose(PLAIN, (), 0.0).name == "u2"
        for _ in range(4):
            choice.record_start("u2", "")
        assert choice.choose(PLAIN, (), 0.0).name == "u1"

    def test_counts_that_come_and_go_send_nothing_elsewhere(self) -> None:
        # Load pattern: a plain service whose upstreams have one request of
        # 50 ms in six places, of which 195 fronts are told five times a second.
        near, far = upstream("u1", "a"), upstream("u2", "b")
        choice = chooser(
            attrs.evolve(near, slots=6), attrs.evolve(far, slots=6)
        )
        choice.view.fronts = 195
        rng = random.Random(7)
        elsewhere = 0
        for number in range(300):
            counts = {
                u: sum(rng.random() < 0.13 for _ in range(6))
                for u in ("u1", "u2")
            }
            choice.view.busy = counts
            choice.update_means(number * 0.2)
            chosen = choice.choose(PLAIN, (), number * 0.2)
            elsewhere += chosen.name == "u2"
        assert elsewhere <= 0.05 * 300

    def test_a_burst_at_the_near_one_goes_elsewhere_within_a_second(
        self,
    ) -> None:
        near, far = upstream("u1", "a"), upstream("u2", "b")
        choice = chooser(
            attrs.evolve(near, slots=6), attrs.evolve(far, slots=6)
        )
        for number in range(5):
            choice.view.busy = {"u1": 6, "u2": 1}
            choice.update_means(100.0 + number * 0.2)
        assert choice.choose(PLAIN, (), 101.0).name == "u2"

    def test_many_fronts_fill_no_upstream_one_after_the_other(self) -> None:
        # Load pattern: 75 fronts that are told of each other's requests 0.1 s
        # late, five times a second, and 210 calls of 45 ms a second for three
        # upstreams of six places. Choosing the least busy one by the mean, all
        # went to one at a time, and some 20 a second found its queue full.
        placed = [upstream(f"u{n}", dc) for n, dc in enumerate("aab")]
        upstreams = [attrs.evolve(u, slots=6) for u in placed]
        choosers = [chooser(*upstreams) for _ in range(75)]
        for number, made in enumerate(choosers):
            made.data_centre = "abc"[number % 3]
            made._rng = random.Random(number)
            made.view.fronts = 75
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
                for made in choosers:
                    made.view.busy = counts[-1]
                    made.update_means(now)
            chosen = rng.choice(choosers).choose(PLAIN, (), now)
            work = rng.expovariate(1 / 0.045)
            # Beyond its places a call waits for those before it.
            waits = max(busy[chosen.name] - 5, 0) * 0.045 / 6
            calls.append((now + work + waits, chosen.name))
        assert most <= 14

    def test_many_places_are_no_reason_to_fill_the_near_one(self) -> None:
        # Engines of 64 places got 20 requests more than those elsewhere, and
        # answered late (tanuru-book quiet-1).
        near, far = upstream("u1", "a"), upstream("u2", "b")
        choice = chooser(
            attrs.evolve(near, slots=64), attrs.evolve(far, slots=64)
        )
        for _ in range(10):
            choice.record_start("u1", "")
        assert choice.choose(PLAIN, (), 0.0).name == "u2"

    def test_one_that_leaves_gets_nothing(self) -> None:
        choice = chooser(upstream("u1", state=DRAINING))
        assert choice.choose(PLAIN, (), 0.0) is None

    def test_only_a_holder_of_the_right_version_is_chosen(self) -> None:
        old = upstream("u1", resident={"m/a1": 1})
        new = upstream("u2", "b", resident={"m/a1": 2})
        choice = chooser(old, new)
        wanted = Requirements("s", "m/a1", 2)
        assert choice.choose(wanted, (), 0.0).name == "u2"
        assert choice.choose(wanted, ("u2",), 0.0) is None

    def test_ejection_never_takes_more_than_half(self) -> None:
        choice = chooser(upstream("u1"), upstream("u2"))
        for name in ("u1", "u2"):
            choice.outcomes.record_failure(name, 0.0, unreachable=True)
        assert choice.choose(PLAIN, (), 0.1) is not None

    def test_what_other_fronts_told_counts_as_load(self) -> None:
        choice = chooser(upstream("u1"), upstream("u2"))
        choice.view.busy = {"u1": 4}
        assert choice.choose(PLAIN, (), 0.0).name == "u2"


class TestEvents:
    def test_only_whole_events_pass(self) -> None:
        splitter = EventSplitter()
        assert splitter.feed(b"id: 1\ndata: x\n\nid: 2\nda") == (
            b"id: 1\ndata: x\n\n"
        )
        assert splitter.last_id == "1"
        assert splitter.feed(b"ta: y\n\n") == b"id: 2\ndata: y\n\n"
        assert splitter.last_id == "2"

    def test_what_was_cut_off_is_forgotten(self) -> None:
        splitter = EventSplitter()
        splitter.feed(b"id: 1\n\nid: 2\nda")
        splitter.discard_partial()
        assert splitter.feed(b"id: 2\ndata: y\n\n") == b"id: 2\ndata: y\n\n"
