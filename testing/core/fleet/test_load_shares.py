"""Tests of who may load and evict adapters.

Load pattern: one of 16 customers sends many times its usual load, with adapters
that are requested only once.
"""

import pytest

from ridgesill.core.fleet.load_shares import (
    LoadRound,
    LoadShares,
    find_weights,
)
from ridgesill.core.serving.customers import Quota

OTHERS = [f"c{number}" for number in range(1, 16)]


def make_shares(weights: dict[str, float] | None = None) -> LoadShares:
    """Returns the shares after each of the others has had one load."""
    shares = LoadShares(weights or {})
    for name in OTHERS:
        shares.record_load([name], 0.0)
    return shares


def count_free_loads(shares: LoadShares, in_progress: int = 0) -> int:
    """Returns how many loads the hot customer starts without a claim."""
    load_round = LoadRound(shares, {"hot"}, 24.0, in_progress, 0.0)
    for number in range(100):
        if load_round.find_claim({"hot"}) is not None:
            return number
        load_round.record_started({"hot"})
    return 100


class TestFindWeights:
    def test_units_of_quotas_are_not_mixed(self) -> None:
        # Guards against a quota in tokens that weighs a thousand times one in
        # requests.
        weights = find_weights(
            {
                "a": Quota(3000.0, 0.0, counts_tokens=True),
                "b": Quota(1000.0, 0.0, counts_tokens=True),
                "c": Quota(2.0, 0.0),
            }
        )
        assert weights == {"a": 1.5, "b": 0.5, "c": 1.0}


class TestFairShare:
    def test_a_burst_within_one_round_is_limited(self) -> None:
        # Guards against shares that are read once for a round: a customer
        # started 70 loads in it, which kept the store busy for 3 s.
        assert count_free_loads(make_shares()) <= 24 / 16 * 7.2 + 2

    def test_a_larger_quota_allows_more_loads(self) -> None:
        few = count_free_loads(make_shares())
        assert count_free_loads(make_shares({"hot": 4.0})) > 2 * few

    def test_a_single_customer_may_have_all_loads(self) -> None:
        assert count_free_loads(LoadShares({})) == 100

    def test_the_share_returns_after_the_burst(self) -> None:
        shares = make_shares()
        for _ in range(24):
            shares.record_load(["hot"], 0.0)
        later = 20.0
        load_round = LoadRound(shares, {"hot", *OTHERS}, 24.0, 0, later)
        assert load_round.find_claim({"hot"}) is None

    def test_fronts_of_the_previous_release_are_one_customer(self) -> None:
        # They name no customer. Guards against a share without a bound for all
        # their requests together.
        shares = make_shares()
        for _ in range(24):
            shares.record_load([""], 0.0)
        load_round = LoadRound(shares, {"", *OTHERS}, 24.0, 0, 0.0)
        assert load_round.find_claim({""}) is not None
        assert load_round.find_claim({"c1"}) is None

    def test_a_shared_load_counts_in_parts(self) -> None:
        shares = LoadShares({})
        shares.record_load(["a", "b"], 0.0)
        shares.record_load(["c"], 0.0)
        assert shares.load_rate("a", 0.0) == pytest.approx(
            shares.load_rate("c", 0.0) / 2
        )


class TestLanes:
    @pytest.mark.parametrize(
        ("in_progress", "may_start"), [(0, True), (7, True), (8, False)]
    )
    def test_loads_above_the_share_leave_the_store_its_speed(
        self, in_progress: int, *, may_start: bool
    ) -> None:
        # Guards against a queue in the store, where no order is kept. With
        # nobody else in it the customer has the whole rate of the store.
        shares = make_shares()
        for _ in range(24):
            shares.record_load(["hot"], 0.0)
        load_round = LoadRound(shares, {"hot"}, 24.0, in_progress, 0.0)
        claim = load_round.find_claim({"hot"})
        assert claim is not None
        assert load_round.may_start(claim) == may_start

    def test_a_customer_without_slots_is_not_tried_again(self) -> None:
        shares = make_shares()
        for _ in range(24):
            shares.record_load(["hot"], 0.0)
        load_round = LoadRound(shares, {"hot"}, 24.0, 0, 0.0)
        claim = load_round.find_claim({"hot"})
        assert claim is not None
        load_round.record_without_slot(claim)
        assert not load_round.may_start(claim)


class TestClaim:
    def test_an_adapter_belongs_to_its_only_user(self) -> None:
        shares = LoadShares({})
        shares.record_use("m/own", "hot", 0.0)
        for customer in ("hot", "other"):
            shares.record_use("m/both", customer, 0.0)
        claim = shares.make_claim("hot", 1.0)
        assert [claim.is_own(a) for a in ("m/own", "m/both", "m/new")] == [
            True,
            False,
            False,
        ]

    def test_only_recent_uses_by_others_count(self) -> None:
        shares = LoadShares({})
        shares.record_use("m/own", "hot", 0.0)
        shares.record_use("m/other", "other", 0.0)
        claim = shares.make_claim("hot", 1.0)
        assert [claim.is_needed(a) for a in ("m/own", "m/other")] == [
            False,
            True,
        ]
        assert not shares.make_claim("hot", 11.0).is_needed("m/other")

    def test_old_uses_are_removed(self) -> None:
        # Guards against memory that grows with every adapter ever requested.
        shares = LoadShares({})
        for number in range(1000):
            shares.record_use(f"m/a{number}", "hot", float(number))
        assert len(shares._used_at) <= 130
