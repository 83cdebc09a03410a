"""Tests of the division of a service's rate between classes."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ridgesill.core.fleet.fair_share import divide
from ridgesill.core.serving.load_reports import RequestClass

CUSTOMERS = ("", "a", "b", "c", "d")
# Far above the rounding errors of sums of loads up to 2,000 requests a second.
TOLERANCE = 1e-6
# What a customer has for certain besides the part shared equally.
CERTAIN_PART = 0.9


def make_class(
    customer: str = "", priority: int = 0, is_return: bool = False
) -> RequestClass:
    return RequestClass("s", priority, customer, is_return)


CLASSES = st.builds(
    make_class, st.sampled_from(CUSTOMERS), st.integers(0, 2), st.booleans()
)
LOADS = st.dictionaries(CLASSES, st.floats(0, 2_000), max_size=20)
WEIGHTS = st.dictionaries(st.sampled_from(CUSTOMERS), st.floats(0.1, 10))
RATES = st.floats(0, 1_000)


@given(RATES, LOADS, WEIGHTS)
def test_the_rate_is_used_in_full_and_never_exceeded(
    rate: float, offered: dict[RequestClass, float], weights: dict[str, float]
) -> None:
    """Guards against overload by rounding up, and against idle upstreams."""
    allowed = divide(rate, offered, weights)
    total = sum(allowed.values())
    assert total == pytest.approx(min(rate, sum(offered.values())), abs=1e-6)
    assert allowed.keys() == offered.keys()
    for one, load in offered.items():
        assert 0 <= allowed[one] <= load + TOLERANCE


@given(RATES, LOADS, WEIGHTS)
def test_less_urgent_classes_get_only_what_is_kept_until_urgent_ones_have_all(
    rate: float, offered: dict[RequestClass, float], weights: dict[str, float]
) -> None:
    """Guards against urgent requests refused in favour of less urgent ones."""
    allowed = divide(rate, offered, weights)
    total = sum(offered.values())
    for less, load in offered.items():
        least_served = 0.25 * rate * load / total if total else 0.0
        if allowed[less] <= max(0.1 * rate, least_served) + TOLERANCE:
            continue
        for more, demand in offered.items():
            if more.priority < less.priority:
                assert allowed[more] == pytest.approx(demand, abs=TOLERANCE)


@given(RATES, LOADS)
def test_no_class_is_served_less_than_a_quarter_as_often_as_all(
    rate: float, offered: dict[RequestClass, float]
) -> None:
    """Guards against starvation, as far as a class keeps to its fair part."""
    allowed = divide(rate, offered, {})
    offering = {c: load for c, load in offered.items() if load > 0}
    if not offering:
        return
    mean = min(rate / sum(offering.values()), 1.0)
    for one, load in offering.items():
        due = min(0.25 * mean * load, CERTAIN_PART * rate / len(offering) / 2)
        assert allowed[one] >= due - TOLERANCE


@given(RATES, LOADS, WEIGHTS, st.sampled_from(CUSTOMERS), st.floats(1, 100))
def test_growth_of_a_customer_lowers_none_below_its_fair_share(
    rate: float,
    offered: dict[RequestClass, float],
    weights: dict[str, float],
    grown: str,
    factor: float,
) -> None:
    """Guards against a customer that gains by sending more than it should.

    Of the most urgent priority: less urgent customers get what others leave.
    """
    loads = {
        c: load * (factor if c.customer == grown else 1.0)
        for c, load in offered.items()
    }
    allowed = divide(rate, loads, weights)
    priority = min((c.priority for c, o in loads.items() if o), default=0)
    groups = {(c.priority, c.customer) for c, o in loads.items() if o}
    all_weights = sum(weights.get(name, 1.0) for _, name in groups)
    for name in {n for p, n in groups if p == priority}:
        members = [
            c for c in loads if (c.priority, c.customer) == (priority, name)
        ]
        demand = sum(loads[c] for c in members)
        part = CERTAIN_PART * rate * weights.get(name, 1.0) / all_weights
        served = sum(allowed[c] for c in members)
        assert served >= min(demand, part) - TOLERANCE


def test_a_customer_at_ten_times_its_load_takes_nothing_from_others() -> None:
    """Load pattern A: 16 customers, one of them hot, one upstream of four lost.

    Shared in proportion to the offers, the others would be served 0.5.
    """
    offered = {make_class(f"c{n}"): 203 / 16 for n in range(1, 16)}
    offered[make_class("hot")] = 10 * 203 / 16
    offered[make_class("hot", is_return=True)] = 90.0
    allowed = divide(262, offered, {})
    for n in range(1, 16):
        assert allowed[make_class(f"c{n}")] == pytest.approx(203 / 16)


@pytest.mark.parametrize(
    ("returning", "expected"), [(30, 30), (200, 100), (1_000, 100)]
)
def test_returning_callers_go_first_up_to_half(
    returning: int, expected: float
) -> None:
    """Guards against new requests that take the room kept for returns."""
    one = make_class()
    back = make_class(is_return=True)
    allowed = divide(200, {one: 500.0, back: float(returning)}, {})
    assert allowed[back] == pytest.approx(expected)


def test_weights_scale_the_shares_of_customers() -> None:
    offered = {make_class("a"): 500.0, make_class("b"): 500.0}
    allowed = divide(100, offered, {"a": 4.0})
    assert allowed[make_class("a")] == pytest.approx(80)
