"""The owner's token buckets for rates that hold over all fronts.

A rate is a customer's quota or the limit that an upstream has named.

Load pattern: a customer sends eight times its usual load for ten seconds. A
count over the last window would let it use up the window at once and then pass
next to nothing until the window has moved on. A token bucket that fills
continuously passes the same amount at an even pace.

Reports of what fronts let through arrive some tenths of a second late. The
owner therefore doesn't tell fronts the remaining amount but the share of the
offered load that may pass, which changes only when demand does.
"""

import math
from collections.abc import Mapping

import attrs

from ridgesill.core.serving.customers import Quota
from ridgesill.core.serving.rates import DECIDE_LOCALLY, RateState, Uses

# Time constant of the moving mean of the offered load, in seconds.
_OFFERS_MEAN_SECONDS = 0.6
# Time in which a bucket's level may be spent, or a negative level is to be made
# up, in seconds; twice the time that news takes from front to front.
_LEVEL_HORIZON_SECONDS = 0.8
# Share of the tolerance beyond a limit that the owner lets through while all
# fronts report, and the lag of its count, in seconds of a customer's rate.
_USED_TOLERANCE_SHARE = 0.65
_COUNT_LAG_SECONDS = 0.3
# How long an owner counts as new, in seconds: fronts are still reporting what
# they let through before it took over.
_NEW_OWNER_SECONDS = 2.0
# Time until the offered load is known, in seconds.
_LEARN_OFFERS_SECONDS = 1.2
# Largest plausible amount of one report, as a multiple of the amount allowed in
# a window. A larger one is the reporter's error; counted in full, it would have
# all requests refused until the rate has made up for it.
_MAX_PLAUSIBLE_FACTOR = 10.0
# How long fronts that have stopped reporting may go on sending within their own
# part of each limit, in seconds: as long as a front without news trusts its
# copy of the customers' keys.
_SILENT_FRONT_SECONDS = 5.0
# Decimal places of a share as shown to operators and as sent to fronts; fronts
# need more since an upstream may take one request of thousands.
_SHARE_DIGITS = 3
_SENT_SHARE_DIGITS = 6
# Lowest share from which a new owner infers the offered load; a lower share
# counts as this one.
_MIN_RESTORED_SHARE = 0.05
# Share of the burst below which a bucket's level is sent to fronts, and through
# them to the next owner.
_REPORT_BELOW_SHARE = 0.5
# How long computed states are reused, in seconds: the cost of computing them
# grows with the number of customers, and fronts ask far more often.
_STATES_CACHE_SECONDS = 0.05


@attrs.frozen
class Tolerance:
    """Tolerated excess over limits, summed over all fronts.

    Attributes:
        window: window over which the excess is measured, in seconds.
        share: tolerated excess as a share of what a limit allows in a window.
        slack: further tolerated excess in a window, in tokens or requests.
    """

    window: float = 8.0
    share: float = 0.1
    slack: float = 0.0

    def allowed(self, quota: Quota) -> float:
        """Returns what a limit allows in a window, in tokens or requests."""
        return self.window * quota.rate + quota.burst

    def fill_rate(self, quota: Quota, *, is_steady: bool) -> float:
        """Returns the rate at which a customer's bucket fills, per second.

        Requests within the limit should never be refused, and the count is
        inexact in both directions. The bucket therefore fills a little faster
        than the limit's rate, unless fronts that don't report may be spending
        the rest of the tolerance.

        Args:
            quota: the limit.
            is_steady: whether all fronts report and the owner isn't new.
        """
        if not is_steady:
            return quota.rate
        tolerated = self.share * self.allowed(quota) + self.slack
        spare = max(tolerated - _COUNT_LAG_SECONDS * quota.rate, 0.0)
        return quota.rate + _USED_TOLERANCE_SHARE * spare / self.window


@attrs.frozen
class QuotaUse:
    """State of a rate as shown to operators, in tokens or requests.

    Attributes:
        name: customer or upstream that the rate belongs to.
        allowed: amount allowed in a window.
        offers: offered load per second.
        share: share of the offered load that may pass.
        level: amount that may be sent at once; negative beyond the limit.
        refused: amount refused since this owner took over.
    """

    name: str
    allowed: float
    offers: float = 0.0
    share: float = 1.0
    level: float = 0.0
    refused: int = 0


@attrs.define
class _Account:
    """Token bucket of a rate and the load offered to it.

    Times are clock times, in seconds; amounts are in tokens or requests.

    Attributes:
        quota: rate and burst of the bucket.
        level: amount in the bucket; negative beyond the limit.
        at: time to which `level` applies.
        offers: offered load per second at `offers_at`.
        offers_at: time of the latest report of offers.
        refused: amount refused since this owner took over.
        offers_known_at: time from which on `offers` is reliable.
        refilled: amount added to the bucket for the time without an owner.
        unowned_seconds: longest time without an owner that a report has
            covered, in seconds.
        excused: amount sent in that time that was allowed and not counted.
    """

    quota: Quota
    level: float
    at: float
    offers: float = 0.0
    offers_at: float = float("-inf")
    refused: int = 0
    offers_known_at: float = float("-inf")
    refilled: float = 0.0
    unowned_seconds: float = 0.0
    excused: float = 0.0

    def advance(self, rate: float, depth: float, now: float) -> None:
        """Fills the bucket until now.

        Args:
            rate: amount added per second; may be negative.
            depth: highest level.
            now: clock time, in seconds.
        """
        passed = max(now - self.at, 0.0)
        self.level = min(self.level + rate * passed, depth)
        self.at = now

    def record_offers(self, offered: int, span: float, now: float) -> None:
        """Adds reported offers to the moving mean.

        Args:
            offered: offered amount.
            span: time that the report covers, in seconds.
            now: clock time, in seconds.
        """
        seconds = max(span, _OFFERS_MEAN_SECONDS)
        self.offers = self.offers_rate(now) + offered / seconds
        self.offers_at = now

    def excuse_unowned(self, spent: float, unowned_seconds: float) -> float:
        """Returns how much of the amount sent without an owner was allowed.

        Args:
            spent: reported amount sent without an owner.
            unowned_seconds: time without an owner that the report covers.
        """
        self.unowned_seconds = max(self.unowned_seconds, unowned_seconds)
        allowed = self.quota.rate * self.unowned_seconds - self.refilled
        excused = min(max(allowed - self.excused, 0.0), max(spent, 0.0))
        self.excused += excused
        return excused

    def offers_rate(self, now: float) -> float:
        """Returns the offered load per second, with its decay until now."""
        return self.offers * math.exp(
            (self.offers_at - now) / _OFFERS_MEAN_SECONDS
        )

    def share(self, rate: float, now: float) -> float:
        """Returns the share of the offered load that may pass.

        Args:
            rate: amount per second at which the bucket fills.
            now: clock time, in seconds.

        Returns:
            A share from 0 to 1, or `BY_OWN_PART` while the offered load is
            unknown.
        """
        if now < self.offers_known_at:
            return DECIDE_LOCALLY
        level = min(self.level, self.quota.burst)
        rate = max(rate + level / _LEVEL_HORIZON_SECONDS, 0.0)
        offers = self.offers_rate(now)
        return 1.0 if offers <= rate else rate / offers


class RateLedger:
    """The token buckets of all rates.

    Args:
        tolerance: tolerated excess over the rates.
        learns_offers: whether rates come into force while requests are already
            being sent. Each front then keeps to its own part of a new rate
            until the offered load is known.
    """

    def __init__(
        self, tolerance: Tolerance | None = None, *, learns_offers: bool = False
    ) -> None:
        self._tolerance = tolerance or Tolerance()
        self._learns_offers = learns_offers
        self._quotas: Mapping[str, Quota] = {}
        self._accounts: dict[str, _Account] = {}
        self._max_fronts = 0
        self._max_fronts_at = float("-inf")
        self._fronts = 0
        self._states: dict[str, RateState] = {}
        self._states_at = float("-inf")
        self._restored_at = float("-inf")

    def set_quotas(self, quotas: Mapping[str, Quota]) -> None:
        """Replaces the rates in force, by name."""
        if quotas == self._quotas:
            return
        self._quotas = quotas
        self._states_at = float("-inf")
        for name in list(self._accounts):
            quota = quotas.get(name)
            if quota is None:
                del self._accounts[name]
                continue
            account = self._accounts[name]
            account.quota = quota
            account.level = min(account.level, quota.burst)

    def restore(
        self, states: Mapping[str, RateState], sent_at: float, now: float
    ) -> None:
        """Restores the buckets from the last news of an earlier owner.

        Args:
            states: states in this news, by name.
            sent_at: clock time of the news; minus infinity if there are none.
            now: clock time, in seconds.
        """
        self._accounts.clear()
        self._restored_at = now
        self._states_at = float("-inf")
        gap = min(now - sent_at, self._tolerance.window)
        for name, state in states.items():
            quota = self._quotas.get(name)
            if quota is not None:
                account = self._open_account(quota, now)
                level = max(state.level, self._min_level(quota))
                account.refilled = min(gap * quota.rate, quota.burst - level)
                account.level = level + account.refilled
                if not self._learns_offers:
                    share = max(state.share, _MIN_RESTORED_SHARE)
                    account.offers = quota.rate / share
                    account.offers_at = now
                    account.offers_known_at = now
                self._accounts[name] = account

    def _open_account(self, quota: Quota, now: float) -> _Account:
        if not self._learns_offers:
            return _Account(quota, quota.burst, now)
        known_at = now + _LEARN_OFFERS_SECONDS
        return _Account(quota, 0.0, now, offers_known_at=known_at)

    def _min_level(self, quota: Quota) -> float:
        """Returns the lowest level, which refills to 0 within a window."""
        return -quota.rate * self._tolerance.window

    def record_fronts(self, fronts: int, now: float) -> None:
        """Records the number of fronts that report now."""
        is_old = now - self._max_fronts_at > _SILENT_FRONT_SECONDS
        if fronts >= self._max_fronts or is_old:
            self._max_fronts = fronts
            self._max_fronts_at = now
        self._fronts = fronts

    def _silent_share(self) -> float:
        if not self._max_fronts:
            return 0.0
        return 1 - self._fronts / self._max_fronts

    def _fill(self, account: _Account, now: float) -> float:
        """Fills a bucket until now; returns its fill rate per second.

        Fronts that have stopped reporting may be sending within their own parts
        of the rate, so their parts are subtracted.
        """
        silent = self._silent_share()
        is_new = now - self._restored_at < _NEW_OWNER_SECONDS
        rate = self._tolerance.fill_rate(
            account.quota, is_steady=not is_new and not silent
        )
        rate -= silent * account.quota.rate
        account.advance(rate, account.quota.burst, now)
        return rate

    def record_uses(
        self, uses: Uses, now: float, span: float = 0.0
    ) -> list[str]:
        """Counts the uses that a report contains.

        Args:
            uses: uses by name of the rate.
            now: clock time, in seconds.
            span: seconds since the first of these requests was sent. The part
                older than the window isn't counted.

        Returns:
            The names whose amounts are implausibly large; of these only the
            largest plausible amount is counted.
        """
        window = self._tolerance.window
        kept = min(window / span, 1.0) if span > 0 else 1.0
        implausible = []
        for name, use in uses.items():
            quota = self._quotas.get(name)
            if quota is None:
                continue
            account = self._find_account(name, quota, now)
            self._fill(account, now)
            max_spent = _MAX_PLAUSIBLE_FACTOR * self._tolerance.allowed(quota)
            if use.spent > max_spent:
                implausible.append(name)
            spent = min(use.spent, max_spent) * kept
            spent -= self._excuse_unowned(
                account, spent, min(span, window), now
            )
            level = min(account.level - spent, quota.burst)
            account.level = max(level, self._min_level(quota))
            account.record_offers(use.offered, span, now)
            account.refused += max(use.offered - use.spent, 0)
        return implausible

    def _find_account(self, name: str, quota: Quota, now: float) -> _Account:
        account = self._accounts.get(name)
        if account is None:
            account = self._accounts[name] = self._open_account(quota, now)
        return account

    def _excuse_unowned(
        self, account: _Account, spent: float, span: float, now: float
    ) -> float:
        """Returns how much of a report the time without an owner allowed.

        Requests went on in that time, while the bucket was filled for it only
        up to its burst. Only the amount beyond what the rate allowed counts.
        """
        unowned_seconds = span - (now - self._restored_at)
        if unowned_seconds <= 0:
            return 0.0
        return account.excuse_unowned(
            spent * unowned_seconds / span, unowned_seconds
        )

    def raise_offers(self, name: str, rate: float, now: float) -> None:
        """Raises the moving mean of an offered load to a rate per second.

        For rises that are certain: the mean shows only a part of them as long
        as its time constant.
        """
        account = self._accounts.get(name)
        if account is not None and rate > account.offers_rate(now):
            account.offers = rate
            account.offers_at = now
            self._states_at = float("-inf")

    def offers_rates(self, now: float) -> dict[str, float]:
        """Returns the offered loads per second that are known, by name."""
        return {n: a.offers_rate(now) for n, a in self._accounts.items()}

    def has_limiting_rate(self, now: float) -> bool:
        """Whether any rate lets less than the whole offered load pass."""
        return any(s.is_limiting for s in self.states(now).values())

    def overview(self, now: float) -> list[QuotaUse]:
        """Returns all rates for operators, the most refused ones first."""
        uses = []
        for name, quota in self._quotas.items():
            allowed = self._tolerance.allowed(quota)
            use = QuotaUse(name, allowed, level=quota.burst)
            account = self._accounts.get(name)
            if account is not None:
                share = account.share(self._fill(account, now), now)
                use = attrs.evolve(
                    use,
                    offers=round(account.offers_rate(now)),
                    share=round(share, _SHARE_DIGITS),
                    level=round(account.level, 1),
                    refused=account.refused,
                )
            uses.append(use)
        return sorted(uses, key=lambda use: (-use.refused, use.name))

    def states(self, now: float) -> dict[str, RateState]:
        """Returns the states of the rates that are nearly or fully used up.

        With `learns_offers` it returns the states of all rates.
        """
        if now - self._states_at >= _STATES_CACHE_SECONDS:
            self._states = self._compute_states(now)
            self._states_at = now
        return self._states

    def _compute_states(self, now: float) -> dict[str, RateState]:
        states = {}
        if self._learns_offers:
            for name, quota in self._quotas.items():
                self._find_account(name, quota, now)
        for name, account in self._accounts.items():
            share = account.share(self._fill(account, now), now)
            is_near = account.level < _REPORT_BELOW_SHARE * account.quota.burst
            if share < 1 or is_near or self._learns_offers:
                states[name] = RateState(
                    round(share, _SENT_SHARE_DIGITS),
                    round(account.level, 1),
                )
        return states
