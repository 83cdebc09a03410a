"""The owner's account of what customers send, over all fronts.

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
from ridgesill.core.serving.quotas import QuotaState, Uses

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
# The longest time without an owner that a new one makes up for, in seconds.
_WITHOUT_OWNER_MOST = 10.0
# Fronts that fell silent may go on by their own part of each limit for as long
# as keys are relied on there, in seconds.
_SILENT_SECONDS = 5.0
# Digits of a share that fronts are told.
_SHARE_DIGITS = 3
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
    """What an operator is told of a customer's limit.

    Attributes:
        allowed: tokens, or requests, in a window.
        offers: that it sends a second.
        share: of its requests that is let through.
        level: what it may still send at once; negative once beyond.
        refused: since this owner began.
    """

    customer: str
    allowed: float
    offers: float = 0.0
    share: float = 1.0
    level: float = 0.0
    refused: int = 0


@attrs.define
class _Account:
    """A customer's bucket, and what it offers."""

    quota: Quota
    level: float
    at: float
    offers: float = 0.0
    offers_at: float = float("-inf")
    refused: int = 0

    def advance(self, rate: float, depth: float, now: float) -> None:
        """Fills the bucket at a rate up to now, but not beyond a depth."""
        passed = max(now - self.at, 0.0)
        self.level = min(self.level + rate * passed, depth)
        self.at = now

    def note_offers(self, offered: int, now: float) -> None:
        """Adds offers to their moving rate."""
        self.offers = self.offers_rate(now) + offered / _OFFERS_SECONDS
        self.offers_at = now

    def offers_rate(self, now: float) -> float:
        """Returns what is offered a second."""
        return self.offers * math.exp((self.offers_at - now) / _OFFERS_SECONDS)

    def share(self, rate: float, now: float) -> float:
        """Returns the share of the offers that may pass.

        Args:
            rate: at which the bucket fills.
            now: the clock, in seconds.
        """
        level = min(self.level, self.quota.burst)
        rate = max(rate + level / _LEVEL_SECONDS, 0.0)
        offers = self.offers_rate(now)
        return 1.0 if offers <= rate else rate / offers


class QuotaLedger:
    """All customers' accounts.

    Args:
        tolerance: of the limits.
    """

    def __init__(self, tolerance: Tolerance | None = None) -> None:
        self._tolerance = tolerance or Tolerance()
        self._quotas: Mapping[str, Quota] = {}
        self._accounts: dict[str, _Account] = {}
        self._fronts_most = 0
        self._fronts_most_at = float("-inf")
        self._fronts = 0
        self._states: dict[str, QuotaState] = {}
        self._states_at = float("-inf")
        self._begun_at = float("-inf")
        # How long nobody owned the fleet before this owner, in seconds.
        self._without_owner = 0.0

    def set_quotas(self, quotas: Mapping[str, Quota]) -> None:
        """Takes the limits in force."""
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

    def begin(
        self, states: Mapping[str, QuotaState], told_at: float, now: float
    ) -> None:
        """Goes on from what an earlier owner said last.

        Args:
            states: as it told them.
            told_at: when it did; minus infinity where there was none.
            now: the clock, in seconds.
        """
        self._accounts.clear()
        self._begun_at = now
        gap = now - told_at
        self._without_owner = gap if gap <= _WITHOUT_OWNER_MOST else 0.0
        self._states_at = float("-inf")
        for name, state in states.items():
            quota = self._quotas.get(name)
            if quota is not None:
                offers = quota.rate / max(state.share, _SHARE_LEAST)
                level = state.level + self._without_owner * quota.rate
                self._accounts[name] = _Account(quota, level, now, offers, now)

    def note_fronts(self, fronts: int, now: float) -> None:
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
        account.advance(rate, self._depth(account.quota, now), now)
        return rate

    def _depth(self, quota: Quota, now: float) -> float:
        """Returns how much a bucket holds.

        While an owner is new, also what has filled it without an owner: fronts
        have yet to report what they let through in that time.
        """
        if now - self._begun_at >= _NEW_SECONDS:
            return quota.burst
        return quota.burst + self._without_owner * quota.rate

    def note(self, uses: Uses, now: float) -> None:
        """Takes what fronts report."""
        for name, use in uses.items():
            quota = self._quotas.get(name)
            if quota is None:
                continue
            account = self._accounts.get(name)
            if account is None:
                account = _Account(quota, self._depth(quota, now), now)
                self._accounts[name] = account
            self._fill(account, now)
            account.level -= use.spent
            account.note_offers(use.offered, now)
            account.refused += max(use.offered - use.spent, 0)

    def has_limited(self, now: float) -> bool:
        """Whether some customer offers more than it may send."""
        return any(state.share < 1 for state in self.states(now).values())

    def overview(self, now: float) -> list[QuotaUse]:
        """Returns all limited customers, those that are refused most first."""
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
                    level=round(account.level),
                    refused=account.refused,
                )
            uses.append(use)
        return sorted(uses, key=lambda use: (-use.refused, use.customer))

    def states(self, now: float) -> dict[str, QuotaState]:
        """Returns the customers that are near their limits, or beyond."""
        if now - self._states_at >= _STATES_SECONDS:
            self._states = self._work_out_states(now)
            self._states_at = now
        return self._states

    def _work_out_states(self, now: float) -> dict[str, QuotaState]:
        states = {}
        for name, account in self._accounts.items():
            share = account.share(self._fill(account, now), now)
            if share < 1 or account.level < _TOLD_BELOW * account.quota.burst:
                states[name] = QuotaState(
                    round(share, _SHARE_DIGITS), round(account.level)
                )
        return states
