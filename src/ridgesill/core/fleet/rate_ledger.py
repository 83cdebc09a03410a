"""The owner's account of what is sent under rates, over all fronts.

A rate is a customer's limit, or what an upstream takes from all fronts.

Load pattern: a customer sends eight times its usual for ten seconds. A count of
the last window lets it fill the window at once, and then next to nothing until
that has passed. A bucket that fills all the time lets it have the same at an
even pace.

What fronts let through is heard some tenths of a second late. So they aren't
told how much is left, but which share of what is offered may pass: it changes
only as demand does.
"""

import math
from collections.abc import Mapping

import attrs

from ridgesill.core.serving.customers import Quota
from ridgesill.core.serving.rates import DECIDE_LOCALLY, RateState, Uses

# Over which offers are averaged, in seconds.
_OFFERS_SECONDS = 0.6
# Within which what a bucket holds may be spent, or is to be won back, in
# seconds; twice what news take from front to front.
_LEVEL_SECONDS = 0.8
# Share of what is borne beyond a limit that the owner lets through while it
# hears all fronts, and seconds of a customer's rate that its count is behind.
_BORNE_SHARE = 0.65
_BEHIND_SECONDS = 0.3
# For how long an owner is new: what fronts let through before it began is still
# being reported, in seconds.
_NEW_SECONDS = 2.0
# How long it takes until what is offered is known, in seconds.
_LEARN_SECONDS = 1.2
# How often what is allowed in a window one report may hold; more is an error of
# the reporter's, and would refuse everything for as long.
_ABSURD_FACTOR = 10.0
# Fronts that fell silent may go on by their own part of each limit for as long
# as keys are relied on there, in seconds.
_SILENT_SECONDS = 5.0
# Digits of a share that operators and fronts are told: an upstream may take one
# request of thousands.
_SHARE_DIGITS = 3
_TOLD_SHARE_DIGITS = 6
# From which share on a new owner doesn't take the offers for larger still.
_SHARE_LEAST = 0.05
# Share of a burst from which on down fronts, and the next owner, are told what
# is left.
_TOLD_BELOW = 0.5
# What is told is worked out anew after this long, in seconds: it grows with
# customers, and fronts ask far more often.
_STATES_SECONDS = 0.05


@attrs.frozen
class Tolerance:
    """How far customers may go beyond their limits, over all fronts.

    Attributes:
        window: seconds over which it is judged.
        share: of what the limit allows in a window.
        slack: tokens, or requests, beside that.
    """

    window: float = 8.0
    share: float = 0.1
    slack: float = 0.0

    def allowed(self, quota: Quota) -> float:
        """Returns what a limit allows in a window."""
        return self.window * quota.rate + quota.burst

    def fill_rate(self, quota: Quota, *, is_steady: bool) -> float:
        """Returns at which rate a customer's bucket fills.

        Nothing within the limit should be refused, and its count is inexact in
        both directions. So it is a little more than the limit's rate, unless
        fronts that aren't heard may be spending the rest of what is borne.
        """
        if not is_steady:
            return quota.rate
        borne = self.share * self.allowed(quota) + self.slack
        spare = max(borne - _BEHIND_SECONDS * quota.rate, 0.0)
        return quota.rate + _BORNE_SHARE * spare / self.window


@attrs.frozen
class QuotaUse:
    """What an operator is told of a rate.

    Attributes:
        name: whose it is.
        allowed: tokens, or requests, in a window.
        offers: that come a second.
        share: of them that is let through.
        level: what may still be sent at once; negative once beyond.
        refused: since this owner began.
    """

    name: str
    allowed: float
    offers: float = 0.0
    share: float = 1.0
    level: float = 0.0
    refused: int = 0


@attrs.define
class _Account:
    """A bucket, and what is offered to it.

    Attributes:
        offers_known_at: until then too little is known of the offers.
        refilled: what the time without an owner has won back.
        unowned: the longest time without an owner that reports have told of,
            in seconds.
        excused: of what was sent in that time.
    """

    quota: Quota
    level: float
    at: float
    offers: float = 0.0
    offers_at: float = float("-inf")
    refused: int = 0
    offers_known_at: float = float("-inf")
    refilled: float = 0.0
    unowned: float = 0.0
    excused: float = 0.0

    def advance(self, rate: float, depth: float, now: float) -> None:
        """Fills the bucket at a rate up to now, but not beyond a depth."""
        passed = max(now - self.at, 0.0)
        self.level = min(self.level + rate * passed, depth)
        self.at = now

    def note_offers(self, offered: int, span: float, now: float) -> None:
        """Adds offers of some seconds to their moving rate."""
        seconds = max(span, _OFFERS_SECONDS)
        self.offers = self.offers_rate(now) + offered / seconds
        self.offers_at = now

    def excuse(self, spent: float, unowned: float) -> float:
        """Returns how much of what was sent without an owner was allowed.

        Args:
            spent: without an owner.
            unowned: for how long there was none, as far as a report tells.
        """
        self.unowned = max(self.unowned, unowned)
        allowed = self.quota.rate * self.unowned - self.refilled
        excused = min(max(allowed - self.excused, 0.0), max(spent, 0.0))
        self.excused += excused
        return excused

    def offers_rate(self, now: float) -> float:
        """Returns what is offered a second."""
        return self.offers * math.exp((self.offers_at - now) / _OFFERS_SECONDS)

    def share(self, rate: float, now: float) -> float:
        """Returns the share of the offers that may pass.

        Args:
            rate: at which the bucket fills.
            now: the clock, in seconds.
        """
        if now < self.offers_known_at:
            return DECIDE_LOCALLY
        level = min(self.level, self.quota.burst)
        rate = max(rate + level / _LEVEL_SECONDS, 0.0)
        offers = self.offers_rate(now)
        return 1.0 if offers <= rate else rate / offers


class RateLedger:
    """The accounts of all rates.

    Args:
        tolerance: of the rates.
        learns_offers: whether a rate begins while requests are under way, so
            that it is kept by parts until the offers are known.
    """

    def __init__(
        self, tolerance: Tolerance | None = None, *, learns_offers: bool = False
    ) -> None:
        self._tolerance = tolerance or Tolerance()
        self._learns_offers = learns_offers
        self._quotas: Mapping[str, Quota] = {}
        self._accounts: dict[str, _Account] = {}
        self._fronts_most = 0
        self._fronts_most_at = float("-inf")
        self._fronts = 0
        self._states: dict[str, RateState] = {}
        self._states_at = float("-inf")
        self._begun_at = float("-inf")

    def set_quotas(self, quotas: Mapping[str, Quota]) -> None:
        """Takes the rates in force."""
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
        self, states: Mapping[str, RateState], told_at: float, now: float
    ) -> None:
        """Goes on from what an earlier owner said last.

        Args:
            states: as it told them.
            told_at: when it did; minus infinity where there was none.
            now: the clock, in seconds.
        """
        self._accounts.clear()
        self._begun_at = now
        self._states_at = float("-inf")
        gap = min(now - told_at, self._tolerance.window)
        for name, state in states.items():
            quota = self._quotas.get(name)
            if quota is not None:
                account = self._open(quota, now)
                level = max(state.level, self._floor(quota))
                account.refilled = min(gap * quota.rate, quota.burst - level)
                account.level = level + account.refilled
                if not self._learns_offers:
                    share = max(state.share, _SHARE_LEAST)
                    account.offers = quota.rate / share
                    account.offers_at = now
                    account.offers_known_at = now
                self._accounts[name] = account

    def _open(self, quota: Quota, now: float) -> _Account:
        if not self._learns_offers:
            return _Account(quota, quota.burst, now)
        known_at = now + _LEARN_SECONDS
        return _Account(quota, 0.0, now, offers_known_at=known_at)

    def _floor(self, quota: Quota) -> float:
        """Returns the lowest level, from which a window is enough to return."""
        return -quota.rate * self._tolerance.window

    def record_fronts(self, fronts: int, now: float) -> None:
        """Notes how many fronts report now."""
        is_old = now - self._fronts_most_at > _SILENT_SECONDS
        if fronts >= self._fronts_most or is_old:
            self._fronts_most = fronts
            self._fronts_most_at = now
        self._fronts = fronts

    def _silent_share(self) -> float:
        if not self._fronts_most:
            return 0.0
        return 1 - self._fronts / self._fronts_most

    def _fill(self, account: _Account, now: float) -> float:
        """Brings a bucket up to now; returns at which rate it fills."""
        silent = self._silent_share()
        is_new = now - self._begun_at < _NEW_SECONDS
        rate = self._tolerance.fill_rate(
            account.quota, is_steady=not is_new and not silent
        )
        rate -= silent * account.quota.rate
        account.advance(rate, account.quota.burst, now)
        return rate

    def record_uses(
        self, uses: Uses, now: float, span: float = 0.0
    ) -> list[str]:
        """Takes what fronts report.

        Args:
            uses: by name.
            now: the clock, in seconds.
            span: seconds since the first of it was sent. What is older than
                the window counts no more.

        Returns:
            The names of absurd sums, which are bounded.
        """
        window = self._tolerance.window
        kept = min(window / span, 1.0) if span > 0 else 1.0
        absurd = []
        for name, use in uses.items():
            quota = self._quotas.get(name)
            if quota is None:
                continue
            account = self._find(name, quota, now)
            self._fill(account, now)
            most = _ABSURD_FACTOR * self._tolerance.allowed(quota)
            if use.spent > most:
                absurd.append(name)
            spent = min(use.spent, most) * kept
            spent -= self._excuse(account, spent, min(span, window), now)
            level = min(account.level - spent, quota.burst)
            account.level = max(level, self._floor(quota))
            account.note_offers(use.offered, span, now)
            account.refused += max(use.offered - use.spent, 0)
        return absurd

    def _find(self, name: str, quota: Quota, now: float) -> _Account:
        account = self._accounts.get(name)
        if account is None:
            account = self._accounts[name] = self._open(quota, now)
        return account

    def _excuse(
        self, account: _Account, spent: float, span: float, now: float
    ) -> float:
        """Returns what the time without an owner allowed of a report.

        The bucket didn't fill then beyond what it holds, while requests went
        on; only the rest of what they spent may count now.
        """
        unowned = span - (now - self._begun_at)
        if unowned <= 0:
            return 0.0
        return account.excuse(spent * unowned / span, unowned)

    def has_limiting_rate(self, now: float) -> bool:
        """Whether some customer offers more than it may send."""
        return any(s.is_limiting for s in self.states(now).values())

    def overview(self, now: float) -> list[QuotaUse]:
        """Returns all rates, those under which most was refused first."""
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
        """Returns the rates that are nearly used up, or more than that."""
        if now - self._states_at >= _STATES_SECONDS:
            self._states = self._work_out_states(now)
            self._states_at = now
        return self._states

    def _work_out_states(self, now: float) -> dict[str, RateState]:
        states = {}
        if self._learns_offers:
            for name, quota in self._quotas.items():
                self._find(name, quota, now)
        for name, account in self._accounts.items():
            share = account.share(self._fill(account, now), now)
            is_near = account.level < _TOLD_BELOW * account.quota.burst
            if share < 1 or is_near or self._learns_offers:
                states[name] = RateState(
                    round(share, _TOLD_SHARE_DIGITS),
                    round(account.level, 1),
                )
        return states
