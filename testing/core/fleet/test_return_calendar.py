"""Tests of the times at which refused callers should return."""

import random

import pytest

from ridgesill.core.fleet.return_calendar import ReturnCalendar

TICK = 0.1


def make_calendar(free_rate: float) -> ReturnCalendar:
    made = ReturnCalendar()
    made.update(free_rate, 0.0)
    return made


def test_without_refusals_there_is_room_now() -> None:
    window = make_calendar(50.0).find_window(0.0)
    assert window.starts_in == 0
    assert 0.2 <= window.lasts <= 0.5


@pytest.mark.parametrize(("free_rate", "refused"), [(0.0, 0.0), (20.0, 300.0)])
def test_without_room_callers_are_sent_beyond_what_clients_wait(
    free_rate: float, refused: float
) -> None:
    """Guards against room promised to 150 callers where 28 fit."""
    calendar = ReturnCalendar()
    calendar.update(free_rate, 0.0, refused)
    window = calendar.find_window(0.0)
    assert window.starts_in >= 1.4
    assert window.lasts > 0


def test_a_time_with_bookings_is_left_out_of_the_window() -> None:
    """Guards against a window from now on because of a little room before.

    50 callers are due within 0.3 to 0.55 s, which takes until 1.3 s.
    """
    calendar = make_calendar(50.0)
    calendar.find_window(0.0)
    calendar.record_refused(50, 0.3)
    calendar.update(50.0, 0.3, 20.0)
    window = calendar.find_window(0.3)
    assert window.starts_in >= 0.9


@pytest.mark.parametrize(("free_rate", "refused"), [(60, 45), (26, 20), (8, 6)])
def test_those_told_to_return_find_room(free_rate: int, refused: int) -> None:
    """Guards against returns of many fronts that meet at one moment.

    Reports and news are 0.2 s old each. Of those that return, 0.9 must fit in
    the free rate, as enforced over the 0.6 s of the ledger's moving mean.
    """
    rng = random.Random(1)
    calendar = make_calendar(free_rate)
    news = [calendar.find_window(0.0)] * 3
    reports = [(0, 0)] * 3
    due: list[float] = []
    fitted = returned = level = 0.0
    for tick in range(1, 300):
        now = tick * TICK
        back = sum(at <= now for at in due)
        due = [at for at in due if at > now]
        window = news[-3]
        count = int(refused * TICK + rng.random())
        due += [
            now + window.starts_in + rng.random() * window.lasts
            for _ in range(count)
        ]
        returned += back
        level = min(level + free_rate * TICK, free_rate * 0.6)
        served = min(back, level)
        level -= served
        fitted += served
        reports.append((count, back))
        calendar.record_refused(reports[-3][0], now)
        calendar.record_returned(reports[-3][1], now)
        calendar.update(free_rate, now)
        news.append(calendar.find_window(now))
    assert returned > 0.9 * refused * 28
    assert fitted >= 0.9 * returned


def test_a_burst_of_refusals_is_spread_over_the_free_rate() -> None:
    """Guards against Retry-After of a constant 0.5 s, after which all met.

    The room for the 100 that are booked takes 2 s, and that for the 50 that
    are refused before they are booked another.
    """
    calendar = ReturnCalendar(longest_wait=10.0)
    calendar.update(50.0, 0.0)
    for tick in range(10):
        calendar.record_refused(10, tick * TICK)
        window = calendar.find_window(tick * TICK)
    assert window.starts_in <= 2.0 + TICK
    assert 2.0 - TICK <= window.starts_in + window.lasts <= 3.0 + TICK


def test_callers_that_do_not_return_are_dropped_after_a_second() -> None:
    """Guards against room kept for callers of fronts that have died."""
    calendar = make_calendar(10.0)
    calendar.record_refused(40, 0.0)
    busy = calendar.find_window(0.5)
    assert calendar.expected == pytest.approx(40)
    assert busy.starts_in > 1
    calendar.update(10.0, 1.5)
    assert calendar.expected == 0
    assert calendar.find_window(3.5).starts_in == 0


def test_returned_callers_are_not_expected_anymore() -> None:
    """Guards against room kept for callers that have come already."""
    calendar = make_calendar(45.0)
    calendar.record_refused(40, 0.0)
    assert calendar.find_window(0.3).starts_in > 0.5
    calendar.record_returned(40, 0.3)
    assert calendar.expected == 0
    assert calendar.find_window(0.3).starts_in < 2 * TICK


def test_a_long_overload_leaves_no_room_reserved_after_it() -> None:
    """Guards against bookings later than clients wait.

    245 calls a second refused for 10 s, a third of which return; 59 a second
    are free afterwards. Bookings end 1.4 s later and are dropped after 1 s.
    """
    calendar = make_calendar(26.0)
    for tick in range(100):
        calendar.record_refused(25, tick * TICK)
        calendar.record_returned(8, tick * TICK)
        calendar.find_window(tick * TICK)
    calendar.update(59.0, 12.5)
    assert calendar.find_window(12.5).starts_in == 0
