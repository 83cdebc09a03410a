"""Tests of identifying customers by their keys."""

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
FRESH = ConfigurationFreshness(0.1, 4.5)


def make_route(*, is_public: bool = False) -> Route:
    return Route(
        "r", "a", "/x/", SAFE, 1.0, 0.2, 0, (Target("s"),), is_public=is_public
    )


class TestKeys:
    def test_a_known_key_identifies_its_customer(self) -> None:
        found = check_caller(make_route(), CUSTOMERS, digest_key(b"k1"), FRESH)
        assert found == Ok(ALICE)

    @pytest.mark.parametrize("digest", [b"", digest_key(b"k2")])
    def test_an_unknown_or_missing_key_is_refused(self, digest: bytes) -> None:
        found = check_caller(make_route(), CUSTOMERS, digest, FRESH)
        assert found == Err(UNKNOWN_KEY)

    def test_a_public_route_needs_no_key(self) -> None:
        stale = ConfigurationFreshness(9.0, 4.5)
        found = check_caller(make_route(is_public=True), CUSTOMERS, b"", stale)
        assert found == Ok(None)

    def test_no_key_is_needed_without_configured_customers(self) -> None:
        assert check_caller(make_route(), None, b"", FRESH) == Ok(None)

    def test_an_empty_customer_list_refuses_every_key(self) -> None:
        found = check_caller(make_route(), Customers((), {}), b"", FRESH)
        assert found == Err(UNKNOWN_KEY)

    @given(st.binary(max_size=64))
    def test_only_identical_bytes_match_a_key(self, key: bytes) -> None:
        found = CUSTOMERS.find(digest_key(key))
        assert (found is ALICE) == (key == b"k1")


class TestStaleness:
    def test_a_stale_front_refuses_known_keys(self) -> None:
        stale = ConfigurationFreshness(4.5, 4.5)
        found = check_caller(make_route(), CUSTOMERS, digest_key(b"k1"), stale)
        assert found == Err(STALE)

    def test_a_front_that_lags_does_not_reject_unknown_keys(self) -> None:
        # Clients don't retry after a 401, so a front must be certain of it.
        lagging = ConfigurationFreshness(2.0, 4.5)
        found = check_caller(
            make_route(), CUSTOMERS, digest_key(b"k2"), lagging
        )
        assert found == Err(STALE)

    def test_configuration_is_missing_at_the_start(self) -> None:
        assert ConfigurationFreshness(float("inf"), 4.5).is_missing


class TestLabels:
    def test_only_the_largest_customers_have_their_own_label(self) -> None:
        everyone = tuple(
            Customer(f"c{n}", None, Quota(float(n + 1), 1.0)) for n in range(20)
        )
        customers = Customers(everyone, {})
        labels = {customers.label(customer) for customer in everyone}
        assert "c19" in labels
        assert "others" in labels
        assert len(labels) == 9
