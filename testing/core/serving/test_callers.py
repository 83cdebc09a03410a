"""Tests of whose request it is, and whether it may be served."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from ridgesill.core.serving.callers import (
    STALE,
    UNKNOWN_KEY,
    ConfigurationFreshness,
    check_caller,
)
from ridgesill.core.serving.customers import (
    Customer,
    Customers,
    Quota,
    digest_key,
)
from ridgesill.core.serving.routes import SAFE, Route, Target

ALICE = Customer("alice")
CUSTOMERS = Customers((ALICE,), {digest_key(b"k1"): ALICE})
NOW_KNOWN = ConfigurationFreshness(0.1, 4.5)


def route(*, is_public: bool = False) -> Route:
    return Route(
        "r", "a", "/x/", SAFE, 1.0, 0.2, 0, (Target("s"),), is_public=is_public
    )


class TestKeys:
    def test_a_known_key_names_its_customer(self) -> None:
        found = check_caller(route(), CUSTOMERS, digest_key(b"k1"), NOW_KNOWN)
        assert found == Ok(ALICE)

    @pytest.mark.parametrize("digest", [b"", digest_key(b"k2")])
    def test_any_other_is_refused(self, digest: bytes) -> None:
        found = check_caller(route(), CUSTOMERS, digest, NOW_KNOWN)
        assert found == Err(UNKNOWN_KEY)

    def test_a_public_route_needs_none(self) -> None:
        stale = ConfigurationFreshness(9.0, 4.5)
        found = check_caller(route(is_public=True), CUSTOMERS, b"", stale)
        assert found == Ok(None)

    def test_none_is_needed_where_no_customers_are_named(self) -> None:
        assert check_caller(route(), None, b"", NOW_KNOWN) == Ok(None)

    def test_no_customers_let_nobody_in(self) -> None:
        found = check_caller(route(), Customers((), {}), b"", NOW_KNOWN)
        assert found == Err(UNKNOWN_KEY)

    @given(st.binary(max_size=64))
    def test_only_the_same_bytes_are_the_key(self, key: bytes) -> None:
        found = CUSTOMERS.find(digest_key(key))
        assert (found is ALICE) == (key == b"k1")


class TestStaleness:
    def test_a_key_may_have_been_taken_away_unheard(self) -> None:
        stale = ConfigurationFreshness(4.5, 4.5)
        found = check_caller(route(), CUSTOMERS, digest_key(b"k1"), stale)
        assert found == Err(STALE)

    def test_an_unknown_key_may_have_been_added_unheard(self) -> None:
        # Clients don't come back after a 401, so it must be certain.
        behind = ConfigurationFreshness(2.0, 4.5)
        found = check_caller(route(), CUSTOMERS, digest_key(b"k2"), behind)
        assert found == Err(STALE)

    def test_nothing_is_known_at_the_start(self) -> None:
        assert ConfigurationFreshness(float("inf"), 4.5).is_missing


class TestLabels:
    def test_figures_name_the_largest_and_count_the_rest_as_one(self) -> None:
        all_of_them = tuple(
            Customer(f"c{n}", None, Quota(float(n + 1), 1.0)) for n in range(20)
        )
        customers = Customers(all_of_them, {})
        labels = {customers.label(customer) for customer in all_of_them}
        assert "c19" in labels
        assert "others" in labels
        assert len(labels) == 9
