"""Tests of the owner's token buckets for rates over all fronts."""

import pytest

from ridgesill.core.fleet.rate_ledger import RateLedger, Tolerance
from ridgesill.core.serving.customers import Quota
from ridgesill.core.serving.rates import (
    FrontRates,
    RateState,
    RateUse,
)
from ridgesill.standin.emulator.quotas import (
    FrontOutage,
    QuotaEmulation,
    QuotaPlan,
)

QUOTA = Quota(1000.0, 1000.0, counts_tokens=True)
LARGEST = Quota(145_000.0, 145_000.0, counts_tokens=True)
SMALLEST = Quota(29_000.0, 29_000.0, counts_tokens=True)
# Tolerated excess beyond a tenth of the limit, in tokens a window.
TOLERATED_TOKENS = 110_000


def make_ledger() -> RateLedger:
    made = RateLedger()
    made.set_quotas({"c": QUOTA})
    return made


class TestOffersRates:
    def test_follow_the_reported_offers(self) -> None:
        ledger = make_ledger()
        for tenth in range(50):
            ledger.record_uses({"c": RateUse(10, 60)}, tenth / 10)
        assert ledger.offers_rates(4.95)["c"] == pytest.approx(600, rel=0.1)


class TestShares:
    def test_customer_below_its_limit_has_no_state(self) -> None:
        ledger = make_ledger()
        for tenth in range(50):
            ledger.record_uses({"c": RateUse(60, 60)}, tenth / 10)
        assert ledger.states(5.0) == {}

    @pytest.mark.parametrize("usual", [0, 55])
    def test_customer_far_beyond_its_limit_gets_its_rate_at_an_even_pace(
        self, usual: int
    ) -> None:
        ledger = make_ledger()
        share = 1.0
        passed = []
        for tenth in range(300):
            offered = usual if tenth < 80 else 400
            spent = round(offered * share)
            ledger.record_uses({"c": RateUse(spent, offered)}, tenth / 10)
            state = ledger.states(tenth / 10).get("c")
            share = state.share if state else 1.0
            passed.append(spent)
        windows = [sum(passed[n : n + 80]) for n in range(220)]
        seconds = [sum(passed[n : n + 10]) for n in range(90, 290)]
        assert max(windows) < 1.1 * 9000
        assert min(seconds) > 900

    def test_customers_without_a_limit_are_not_counted(self) -> None:
        ledger = make_ledger()
        ledger.record_uses({"other": RateUse(9, 9)}, 0.0)
        assert ledger.states(0.0) == {}

    def test_lowered_limit_applies_at_once(self) -> None:
        ledger = make_ledger()
        for tenth in range(30):
            ledger.record_uses({"c": RateUse(60, 60)}, tenth / 10)
        ledger.set_quotas({"c": Quota(100.0, 100.0, counts_tokens=True)})
        ledger.record_uses({"c": RateUse(60, 60)}, 3.0)
        assert ledger.states(3.0)["c"].share < 0.5

    @pytest.mark.parametrize(
        "states", [{}, {"c": RateState(1.0, 400.0)}], ids=["calm", "near"]
    )
    def test_new_owner_excuses_what_was_allowed_without_one(
        self, states: dict[str, RateState]
    ) -> None:
        # Load pattern: there is no leader for six seconds. Fronts let through
        # what the limit allows and report all of it at once.
        ledger = make_ledger()
        ledger.restore(states, 4.0, 10.0)
        ledger.record_uses({"c": RateUse(6000, 100)}, 10.1, 6.1)
        ledger.record_uses({"c": RateUse(100, 100)}, 10.2)
        state = ledger.states(10.3).get("c")
        assert state is None or state.share == 1

    def test_unused_allowance_without_an_owner_is_lost(self) -> None:
        ledger = make_ledger()
        ledger.restore({}, 4.0, 10.0)
        ledger.record_uses({"c": RateUse(100, 100)}, 10.1, 6.1)
        ledger.record_uses({"c": RateUse(3000, 3000)}, 13.0)
        assert ledger.states(13.0)["c"].level < 0

    def test_new_owner_restores_the_last_level(self) -> None:
        ledger = make_ledger()
        ledger.restore({"c": RateState(0.2, -700.0)}, 10.0, 10.0)
        assert ledger.states(10.0)["c"].level == -700


class TestTolerance:
    def test_bucket_fills_faster_within_the_tolerance(self) -> None:
        tolerance = Tolerance(slack=110_000.0)
        tolerated = 0.1 * tolerance.allowed(LARGEST) + 110_000
        rate = tolerance.fill_rate(LARGEST, is_steady=True)
        assert LARGEST.rate < rate < LARGEST.rate + 0.7 * tolerated / 8

    def test_bucket_fills_slower_while_fronts_are_silent(self) -> None:
        ledger = RateLedger(Tolerance(slack=110_000.0))
        ledger.set_quotas({"c": SMALLEST})
        ledger.record_fronts(10, 0.0)
        ledger.record_uses({"c": RateUse(60_000, 60_000)}, 0.0)
        share_with_all_fronts = ledger.states(0.1)["c"].share
        ledger.record_fronts(6, 0.2)
        assert ledger.states(0.2)["c"].share < share_with_all_fronts

    def test_bucket_fills_at_the_rate_without_tolerance(self) -> None:
        tolerance = Tolerance(share=0.0)
        assert tolerance.fill_rate(QUOTA, is_steady=True) == QUOTA.rate


class TestManyCustomers:
    def test_states_are_not_computed_for_each_question(self) -> None:
        ledger = RateLedger()
        ledger.set_quotas({f"c{n}": QUOTA for n in range(2_000)})
        uses = {f"c{n}": RateUse(9_000, 9_000) for n in range(2_000)}
        ledger.record_uses(uses, 0.0)
        first = ledger.states(1.0)
        assert all(ledger.states(1.0 + n / 1e4) is first for n in range(300))
        assert ledger.states(1.1) is not first


class TestLoads:
    """Limits over all fronts under loads far beyond them."""

    @pytest.mark.parametrize("quota", [LARGEST, SMALLEST])
    @pytest.mark.parametrize("fronts", [6, 74])
    def test_one_customer_sends_far_beyond_its_usual(
        self, quota: Quota, fronts: int
    ) -> None:
        # Load pattern: the customer sends 7.5 times its usual load for 7 s.
        # Each front gets 0.4 of its requests a second, of 200 to 9,200 tokens.
        plan = QuotaPlan(fronts, quota, seconds=20.0)
        play = QuotaEmulation(plan, FrontRates).run()
        assert (
            play.excess_tokens
            < 0.1 * play.allowed_window_tokens + TOLERATED_TOKENS
        )
        assert play.refused_share_before_hot == 0
        assert play.hot_passed_share > 0.8

    def test_two_fifths_of_the_fronts_are_cut_off(self) -> None:
        plan = QuotaPlan(
            74, LARGEST, seconds=20.0, outages=(FrontOutage(9.0, 4.5, 0.4),)
        )
        play = QuotaEmulation(plan, FrontRates).run()
        assert (
            play.excess_tokens
            < 0.1 * play.allowed_window_tokens + TOLERATED_TOKENS
        )

    def test_seven_tenths_of_the_fronts_are_killed_twice(self) -> None:
        outages = tuple(FrontOutage(at, 1.0, 0.7, True) for at in (11.0, 15.0))
        plan = QuotaPlan(74, LARGEST, seconds=20.0, outages=outages)
        play = QuotaEmulation(plan, FrontRates).run()
        assert (
            play.excess_tokens
            < 0.1 * play.allowed_window_tokens + TOLERATED_TOKENS
        )

    def test_owner_is_lost_as_a_customer_exceeds_its_limit(self) -> None:
        plan = QuotaPlan(
            74, LARGEST, seconds=20.0, owner_lost_at=9.5, ownerless_seconds=3.5
        )
        play = QuotaEmulation(plan, FrontRates).run()
        assert (
            play.excess_tokens
            < 0.1 * play.allowed_window_tokens + TOLERATED_TOKENS
        )

    @pytest.mark.parametrize("forgets", [False, True])
    @pytest.mark.parametrize("gap", [0.2, 1.0, 4.0, 8.0, 12.0, 30.0])
    def test_owners_are_lost_under_a_customer_within_its_limit(
        self, gap: float, forgets: bool
    ) -> None:
        plan = QuotaPlan(
            20,
            LARGEST,
            seconds=20.0 + 3 * (gap + 4.0),
            usual_share=0.7,
            hot_factor=1.0,
            owner_lost_at=10.0,
            ownerless_seconds=gap,
            owner_losses=3,
            owner_starts_empty=forgets,
        )
        for seed in (1, 2):
            play = QuotaEmulation(plan, FrontRates, seed).run()
            assert play.refused_share_with_owner < 0.001
            assert (
                play.excess_tokens
                < 0.1 * play.allowed_window_tokens + TOLERATED_TOKENS
            )

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_a_limit_is_lowered_under_load(self, seed: int) -> None:
        plan = QuotaPlan(74, LARGEST, hot_until=28.0, lowered_at=13.0)
        play = QuotaEmulation(plan, FrontRates, seed).run()
        assert (
            play.excess_tokens
            < 0.1 * play.allowed_window_tokens + TOLERATED_TOKENS
        )
