"""Tests of the requests that an overloaded front refuses."""

import collections
import itertools
import random
from collections.abc import Iterable, Iterator

import attrs
import pytest

from ridgesill.core.serving.front_load import FrontLoad, LoadSample, VmLimits

STEP = 0.1
GOAL = 0.2
LIMITS = VmLimits(0.5, 200e6, 4000, 625e3)


class Replay:
    """Feeds a front's load with samples, ten a second."""

    def __init__(self, seconds: float = 5.0) -> None:
        self.load = FrontLoad(LIMITS)
        self.load.shortest_goal = GOAL
        self.now = 0.0
        self._used = 0.0
        self.run(seconds)

    def run(self, seconds: float, use: float = 0.1, **values: float) -> float:
        """Feeds samples for some time; returns the refused share then."""
        for _ in range(round(seconds / STEP)):
            self.now += STEP
            self._used += use * STEP
            sample = LoadSample(self.now, processor_seconds=self._used)
            self.load.record(attrs.evolve(sample, **values))
        return self.load.refused_share


class TestFull:
    def test_a_front_that_just_starts_refuses_nothing(self) -> None:
        # A start uses all processor time for imports and delays the loop.
        assert not Replay(0.0).run(1.9, use=0.5, lag_seconds=0.4)

    @pytest.mark.parametrize("hiccup", [0.02, 0.5, 5.0])
    def test_a_single_hiccup_refuses_nothing(self, hiccup: float) -> None:
        replay = Replay()
        assert not replay.run(0.3, lag_seconds=hiccup)
        assert not replay.run(1.0)

    def test_sustained_lag_refuses_a_part(self) -> None:
        replay = Replay()
        assert not replay.run(0.3, lag_seconds=GOAL / 9)
        assert 0 < replay.run(0.2, lag_seconds=GOAL / 9) < 0.2

    def test_a_falling_lag_refuses_no_more(self) -> None:
        # Otherwise the share overshoots while a backlog is worked off.
        replay = Replay()
        share = replay.run(0.6, lag_seconds=0.3)
        for lag in (0.25, 0.2, 0.15, 0.1, 0.05):
            assert replay.run(STEP, lag_seconds=lag) <= share

    @pytest.mark.parametrize(
        ("name", "bound", "limit"),
        [
            ("memory_bytes", 0.85 * 200e6, 200e6),
            ("descriptors", 0.85 * 4000, 4000),
        ],
    )
    def test_memory_and_descriptors_refuse_by_their_excess(
        self, name: str, bound: float, limit: float
    ) -> None:
        # A share that grew as long as the excess lasts would end at nearly all
        # requests: resident memory hardly falls when fewer are admitted.
        assert not Replay().run(5.0, **{name: bound})
        middle = Replay().run(5.0, **{name: (bound + limit) / 2})
        assert middle == pytest.approx(0.5)
        assert Replay().run(5.0, **{name: limit}) == pytest.approx(0.95)

    def test_bytes_that_wait_at_the_link_refuse_a_part(self) -> None:
        assert not Replay().run(2.0, waiting_bytes=0.25 * 625e3)
        assert Replay().run(2.0, waiting_bytes=0.5 * 625e3) == 0.5

    def test_a_narrow_link_is_found_and_left_in_time(self) -> None:
        """Guards against late answers while refusals begin or end late."""
        replay = Replay()
        replay.run(3.0)
        assert replay.run(0.4, waiting_bytes=4e6) > 0.9
        assert replay.run(0.5, waiting_bytes=0) == 0

    def test_without_limits_only_lag_counts(self) -> None:
        load = FrontLoad(VmLimits())
        for number in range(100):
            at = number * STEP
            load.record(LoadSample(at, 0.5, 2 * at, 9e9, 9999, 9e9))
        assert not load.refused_share


class TestClock:
    def test_a_clock_that_reports_a_whole_core_refuses_nothing(self) -> None:
        # Load pattern: the VM has half a core, and the clock counts a whole one
        # all the time. Fronts that believed it refused nine in ten requests.
        replay = Replay(0.0)
        assert not any(replay.run(STEP, use=1.0) for _ in range(300))
        assert not replay.load.is_clock_usable

    def test_a_clock_that_becomes_wrong_is_not_used_again(self) -> None:
        replay = Replay()
        assert replay.run(3.0, use=0.5) > 0.2
        assert not replay.run(1.6, use=1.0)
        assert not replay.run(10.0, use=0.5)
        assert not replay.load.is_clock_usable

    def test_a_clock_that_is_right_stays_in_use(self) -> None:
        # A span of 0.5 s may have parts of six periods of 0.1 s, one of 1 s has
        # parts of at most eleven.
        replay = Replay()
        for _ in range(10):
            replay.run(0.5, use=0.6)
            replay.run(0.5, use=0.46)
        assert replay.load.is_clock_usable
        assert replay.load.is_full

    def test_use_that_requests_do_not_cause_refuses_only_once(self) -> None:
        # A clock that reports just the limit all the time can't be told from a
        # right one, until hardly any request is left that could cause the use.
        replay = Replay()
        replay.run(20.0, use=0.5)
        assert not replay.load.is_clock_usable
        assert not replay.run(10.0, use=0.5)
        assert not any(replay.run(STEP, use=0.5) for _ in range(600))

    def test_without_the_clock_lag_is_noticed_within_half_a_second(
        self,
    ) -> None:
        replay = Replay(0.0)
        assert not replay.run(5.0, use=1.0)
        assert replay.run(0.5, use=1.0, lag_seconds=0.05, turn_seconds=0.05)


class TestThrottling:
    def test_an_idle_front_that_is_stopped_refuses_nothing(self) -> None:
        # A VM with 0.39 cores may be stopped for 61 ms in each 0.1 s. Timers
        # are late by as much, and fewer requests wouldn't change that.
        replay = Replay()
        values = {"lag_seconds": 0.061, "turn_seconds": 0.0001}
        assert not any(replay.run(STEP, **values) for _ in range(300))

    def test_a_stop_within_single_turns_refuses_nothing(self) -> None:
        replay = Replay()
        for _ in range(50):
            replay.run(STEP, lag_seconds=0.06, turn_seconds=0.002)
            assert not replay.run(STEP, lag_seconds=0.06, turn_seconds=0.06)

    def test_a_short_front_whose_turns_take_long_refuses_a_part(self) -> None:
        replay = Replay()
        assert replay.run(0.5, lag_seconds=0.04, turn_seconds=0.06)

    def test_longer_turns_reduce_the_share_as_fast_as_short_ones(self) -> None:
        # A loop with turns of 0.2 s is sampled five times a second.
        replay = Replay()
        for _ in range(10):
            replay.now += 0.1
            replay.run(STEP, lag_seconds=0.2, turn_seconds=0.2)
        assert replay.load.refused_share > 0.5


class TestHysteresis:
    def test_use_near_the_bound_changes_the_share_slowly(self) -> None:
        # Load pattern: use varies by a tenth around the bound. A share that
        # followed each sample would send clients back and forth.
        replay = Replay()
        replay.run(3.0, use=0.5)
        shares = [
            replay.run(0.5, use=use)
            for use in itertools.islice(itertools.cycle((0.4, 0.44)), 20)
        ]
        steps = [abs(b - a) for a, b in itertools.pairwise(shares)]
        assert max(steps) <= 0.02

    def test_a_front_with_room_admits_all_again(self) -> None:
        replay = Replay()
        assert replay.run(5.0, use=0.5) > 0.4
        assert replay.run(2.0) > 0
        assert not replay.run(10.0)


class TestPriorities:
    def test_the_least_urgent_are_refused_first(self) -> None:
        replay = Replay()
        rng = random.Random(5)
        refused = dict.fromkeys((0, 1, 2), 0)
        for second in range(20):
            # A refused share of 0.4, of which priority 2 has 0.25.
            memory = 0.91 * 200e6 if second >= 10 else 0.0
            for _ in range(10):
                replay.run(STEP, memory_bytes=memory)
                for priority in (0, 1, 2, 0):
                    is_refused = replay.load.refuses(priority, rng.random())
                    refused[priority] += is_refused
        assert refused[0] == 0
        assert 40 <= refused[1] <= 80
        assert refused[2] == 100


class TestReadiness:
    def fill(self) -> Replay:
        """Returns a front that has been full for long enough."""
        replay = Replay()
        replay.run(5.0, memory_bytes=200e6)
        return replay

    def test_a_full_front_leaves_its_clients_to_others_with_room(self) -> None:
        replay = self.fill()
        assert not replay.load.may_take_clients(9, 6, 0.3, replay.now)

    @pytest.mark.parametrize(
        ("fronts", "with_room", "age"),
        [(9, 5, 0.3), (0, 0, 0.3), (1, 0, 0.3), (9, 9, 1.1)],
    )
    def test_it_stays_ready_unless_two_thirds_are_known_to_have_room(
        self, fronts: int, with_room: int, age: float
    ) -> None:
        replay = self.fill()
        load = replay.load
        assert load.may_take_clients(fronts, with_room, age, replay.now)

    def test_it_becomes_ready_once_it_refuses_nothing(self) -> None:
        replay = self.fill()
        load = replay.load
        assert not load.may_take_clients(9, 8, 0.3, replay.now)
        replay.run(2.0)
        assert not load.may_take_clients(9, 8, 0.3, replay.now)
        replay.run(10.0)
        assert load.may_take_clients(9, 8, 0.3, replay.now)

    @pytest.mark.parametrize("spread", [0.0, 0.2, 3.0])
    @pytest.mark.parametrize("fronts", [2, 6, 85])
    def test_never_more_than_a_third_are_not_ready(
        self, fronts: int, spread: float
    ) -> None:
        # Guards against fronts that all become full within the age of their
        # news and all leave at once, whereupon no front takes clients.
        replays = [Replay() for _ in range(fronts)]
        history: list[int] = []
        for step in range(150):
            full = [step * STEP >= n * spread / fronts for n in range(fronts)]
            for replay, is_full in zip(replays, full, strict=True):
                replay.run(STEP, memory_bytes=200e6 if is_full else 0.0)
            history.append(sum(not r.load.is_full for r in replays))
            known = history[max(step - 20, 0)]
            ready = sum(
                r.load.may_take_clients(fronts, known, 0.9, r.now)
                for r in replays
            )
            assert 3 * ready >= 2 * fronts


@attrs.define
class Front:
    """A front that works on one request after the other.

    Attributes:
        cores: processor seconds per second.
        is_controlled: whether it refuses requests when it is full.
        reported_use: processor use that a wrong clock reports all the time;
            None for a clock that is right.
        load: its load.
        backlog: processor seconds of admitted requests that aren't done.
        used: processor seconds used.
        in_time: number of requests done within the goal.
        late: number of requests done later.
        refused: number of refused requests.
    """

    cores: float
    is_controlled: bool
    load: FrontLoad
    reported_use: float | None = None
    backlog: float = 0.0
    used: float = 0.0
    in_time: int = 0
    late: int = 0
    refused: int = 0

    def run(self, now: float) -> None:
        """Works for one step and records a sample at every fifth."""
        done = min(self.backlog, self.cores * PLAY_STEP)
        self.backlog -= done
        self.used += done
        lag = self.backlog / self.cores
        last = self.load.last
        if last is None or now - last.at >= STEP:
            use = self.reported_use
            used = self.used if use is None else use * now
            self.load.record(LoadSample(now, lag, used))

    def take(self, waited: float, draw: float) -> bool:
        """Serves or refuses a request; returns whether it is served."""
        if self.load.refuses(0, draw) and self.is_controlled:
            self.refused += 1
            self.backlog += REFUSAL_SECONDS
            return False
        wait = waited + self.backlog / self.cores
        self.backlog += REQUEST_SECONDS
        if wait < GOAL:
            self.in_time += 1
        else:
            self.late += 1
        return True


REQUEST_SECONDS = 0.005
REFUSAL_SECONDS = 0.0005
SMALL, LARGE = 0.387, 1.29
PLAY_STEP = 0.02


def play(
    per_front: float,
    *,
    is_controlled: bool,
    reported_use: float | None = None,
) -> list[Front]:
    """Plays 20 s of clients that are hashed to 14 small and 4 large fronts.

    A refused client returns once, after 0.1 s, at a front drawn anew. In the
    first 4 s there is only a quarter of the traffic; what happens in the 4 s
    after it has risen is not counted.
    """
    rng = random.Random(3)
    fronts = []
    for cores in [SMALL] * 14 + [LARGE] * 4:
        load = FrontLoad(VmLimits(cores))
        load.shortest_goal = GOAL
        fronts.append(Front(cores, is_controlled, load, reported_use))
    returning = collections.Counter[int]()
    owed = 0.0
    for step in range(1000):
        if step == 400:
            for front in fronts:
                front.in_time = front.late = front.refused = 0
        owed += per_front * PLAY_STEP / (4 if step < 200 else 1)
        arrivals = [(front, 0.0) for front in fronts for _ in range(int(owed))]
        owed %= 1
        arrivals += [(rng.choice(fronts), 0.1) for _ in range(returning[step])]
        for front, waited in arrivals:
            if not front.take(waited, rng.random()) and not waited:
                returning[step + round(0.1 / PLAY_STEP)] += 1
        for front in fronts:
            front.run(step * PLAY_STEP)
    return fronts


def of_size(fronts: list[Front], cores: float) -> Iterator[Front]:
    return (front for front in fronts if front.cores == cores)


def count_in_time(fronts: Iterable[Front]) -> int:
    return sum(front.in_time for front in fronts)


class TestSizes:
    def test_small_fronts_under_twice_their_load_serve_what_they_can(
        self,
    ) -> None:
        # Load pattern: clients are hashed to fronts of 0.387 and 1.29 cores
        # alike, so that small ones get twice what they can serve, and nearly
        # all of their answers would be late.
        small_capacity = SMALL / REQUEST_SECONDS
        controlled = play(2 * small_capacity, is_controlled=True)
        free = play(2 * small_capacity, is_controlled=False)
        in_time = sum(front.in_time for front in controlled)
        assert in_time >= 1.5 * sum(front.in_time for front in free)
        for front in of_size(controlled, SMALL):
            assert front.in_time >= 0.95 * (front.in_time + front.late)
            refusing = front.refused * REFUSAL_SECONDS
            possible = (12 * SMALL - refusing) / REQUEST_SECONDS
            assert front.in_time >= 0.7 * possible
        for front in of_size(controlled, LARGE):
            assert front.in_time >= 0.98 * (front.in_time + front.late)

    @pytest.mark.parametrize("factor", [1.05, 1.3, 2.0, 3.0])
    def test_lag_suffices_where_the_clock_reports_a_whole_core(
        self, factor: float
    ) -> None:
        # Guards against fronts that need the clock in order to serve what they
        # can, and against a part that serves less in time than none.
        per_front = factor * SMALL / REQUEST_SECONDS
        right = play(per_front, is_controlled=True)
        wrong = play(per_front, is_controlled=True, reported_use=1.0)
        free = play(per_front, is_controlled=False)
        assert count_in_time(wrong) >= count_in_time(free)
        assert count_in_time(wrong) >= 0.95 * count_in_time(right)
        assert count_in_time(right) >= count_in_time(free)

    @pytest.mark.parametrize("reported_use", [None, 1.0])
    def test_fronts_within_their_capacity_refuse_nothing(
        self, reported_use: float | None
    ) -> None:
        fronts = play(
            0.8 * SMALL / REQUEST_SECONDS,
            is_controlled=True,
            reported_use=reported_use,
        )
        assert not any(front.refused for front in fronts)
        assert not any(front.late for front in fronts)
