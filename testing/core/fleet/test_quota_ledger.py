"""Tests of the owner's account of what customers send."""

import pytest

from ridgesill.core.fleet.quota_ledger import QuotaLedger, Tolerance
from ridgesill.core.serving.customers import Quota
from ridgesill.core.serving.quotas import CustomerUse, QuotaState
from ridgesill.standin.emulator.quotas import (
    Plan,
    QuotaEmulation,
    Silence,
    share_parts,
)

QUOTA = Quota(1000.0, 1000.0, counts_tokens=True)
LARGEST = Quota(145_000.0, 145_000.0, counts_tokens=True)
SMALLEST = Quota(29_000.0, 29_000.0, counts_tokens=True)
# What the users' limits allow beyond a tenth, in tokens a window.
SLACK = 110_000


def make() -> QuotaLedger:
    made = QuotaLedger()
    made.set_quotas({"c": QUOTA})
    return made


class TestShares:
    def test_one_below_its_limit_is_not_named(self) -> None:
        ledger = make()
        for tenth in range(50):
            ledger.note({"c": CustomerUse(60, 60)}, tenth / 10)
        assert ledger.states(5.0) == {}

    def test_one_far_beyond_it_gets_what_the_limit_allows(self) -> None:
        ledger = make()
        share = 1.0
        passed = []
        for tenth in range(300):
            spent = round(400 * share)
            ledger.note({"c": CustomerUse(spent, 400)}, tenth / 10)
            state = ledger.states(tenth / 10).get("c")
            share = state.share if state else 1.0
            passed.append(spent)
        windows = [sum(passed[n : n + 80]) for n in range(220)]
        assert max(windows) < 1.1 * 9000
        assert windows[-1] == pytest.approx(9000, rel=0.05)

    def test_it_is_never_left_without_anything(self) -> None:
        # A window that was filled at once lets next to nothing pass until it
        # is over.
        ledger = make()
        share = 1.0
        passed = []
        for tenth in range(200):
            offered = 55 if tenth < 80 else 400
            spent = round(offered * share)
            ledger.note({"c": CustomerUse(spent, offered)}, tenth / 10)
            state = ledger.states(tenth / 10).get("c")
            share = state.share if state else 1.0
            passed.append(spent)
        seconds = [sum(passed[n : n + 10]) for n in range(80, 190)]
        assert min(seconds) > 500

    def test_customers_without_a_limit_are_not_counted(self) -> None:
        ledger = make()
        ledger.note({"other": CustomerUse(9, 9)}, 0.0)
        assert ledger.states(0.0) == {}

    def test_a_lowered_limit_binds_at_once(self) -> None:
        ledger = make()
        for tenth in range(30):
            ledger.note({"c": CustomerUse(60, 60)}, tenth / 10)
        ledger.set_quotas({"c": Quota(100.0, 100.0, counts_tokens=True)})
        ledger.note({"c": CustomerUse(60, 60)}, 3.0)
        assert ledger.states(3.0)["c"].share < 0.5

    def test_a_new_owner_goes_on_from_the_last_word(self) -> None:
        ledger = make()
        ledger.begin({"c": QuotaState(0.2, 8000.0)}, 10.0)
        assert ledger.states(10.0)["c"].used == 8000


class TestTolerance:
    def test_the_aim_is_a_little_beyond_the_limit(self) -> None:
        tolerance = Tolerance(slack=110_000.0)
        allowed = tolerance.allowed(SMALLEST)
        assert allowed < tolerance.aim(SMALLEST) <= 1.05 * allowed

    def test_it_leaves_room_for_what_the_count_misses(self) -> None:
        tolerance = Tolerance(slack=110_000.0)
        allowed = tolerance.allowed(LARGEST)
        most = 1.1 * allowed + 110_000
        assert tolerance.aim(LARGEST) + 1.5 * LARGEST.rate < most

    def test_without_any_slack_it_is_the_limit(self) -> None:
        assert Tolerance().aim(QUOTA) == Tolerance().allowed(QUOTA)


class TestManyCustomers:
    def test_what_is_told_is_not_worked_out_for_each_question(self) -> None:
        ledger = QuotaLedger()
        ledger.set_quotas({f"c{n}": QUOTA for n in range(2_000)})
        uses = {f"c{n}": CustomerUse(9_000, 9_000) for n in range(2_000)}
        ledger.note(uses, 0.0)
        first = ledger.states(1.0)
        assert all(ledger.states(1.0 + n / 1e4) is first for n in range(300))
        assert ledger.states(1.1) is not first


class TestLoads:
    """The limit over all fronts, under loads that go far beyond it."""

    @pytest.mark.parametrize("quota", [LARGEST, SMALLEST])
    @pytest.mark.parametrize("fronts", [6, 74])
    def test_one_customer_sends_far_beyond_its_usual(
        self, quota: Quota, fronts: int
    ) -> None:
        # Load pattern: 7.5 times its usual for 7 s, at fronts that see 0.4
        # requests a second of it each, of 200 to 9,200 tokens.
        plan = Plan(fronts, quota, seconds=20.0)
        play = QuotaEmulation(plan, share_parts).play()
        assert play.excess < 0.1 * play.allowed_in_window + SLACK
        assert play.refused_calm == 0
        assert play.passed_hot > 0.8

    def test_two_fifths_of_the_fronts_are_cut_off(self) -> None:
        plan = Plan(
            74, LARGEST, seconds=20.0, silences=(Silence(9.0, 4.5, 0.4),)
        )
        play = QuotaEmulation(plan, share_parts).play()
        assert play.excess < 0.1 * play.allowed_in_window + SLACK

    def test_seven_tenths_of_the_fronts_are_killed_twice(self) -> None:
        silences = tuple(Silence(at, 1.0, 0.7, True) for at in (11.0, 15.0))
        plan = Plan(74, LARGEST, seconds=20.0, silences=silences)
        play = QuotaEmulation(plan, share_parts).play()
        assert play.excess < 0.1 * play.allowed_in_window + SLACK

    def test_the_owner_is_lost_as_a_customer_turns_hot(self) -> None:
        plan = Plan(
            74, LARGEST, seconds=20.0, owner_lost_at=9.5, owner_seconds=3.5
        )
        play = QuotaEmulation(plan, share_parts).play()
        assert play.excess < 0.1 * play.allowed_in_window + SLACK

    def test_a_limit_is_lowered_under_load(self) -> None:
        plan = Plan(74, LARGEST, hot_until=28.0, lowered_at=13.0)
        play = QuotaEmulation(plan, share_parts).play()
        assert play.excess < 0.1 * play.allowed_in_window + SLACK
