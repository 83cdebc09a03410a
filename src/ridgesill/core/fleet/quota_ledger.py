"""The owner's account of what customers send, over all fronts.

Each customer has a bucket that fills at its rate up to its burst. The owner
learns what fronts let through some tenths of a second late, so it doesn't tell
them how much is left but which share of what is offered keeps the bucket from
running empty: the share changes only as demand does, however late it is heard.
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
# Fronts that fell silent may go on by their own part of each limit for as long
# as keys are relied on there, in seconds.
_SILENT_SECONDS = 5.0
_SHARE_DIGITS = 3
# Share of a burst from which on down fronts, and the next owner, are told what
# is left.
_TOLD_BELOW = 0.5
# How far a customer gets beyond its bucket at the most while fronts are cut off
# or killed, or the owner is lost, in seconds of its rate.
_INEXACT_SECONDS = 1.6
# From which share on a new owner doesn't take the offers for larger still.
_SHARE_LEAST = 0.05


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

    def spare(self, quota: Quota) -> float:
        """Returns what of it the count over all fronts doesn't need.

        A customer that goes beyond its limit for a moment isn't refused for
        that much; what it sends for longer is held to its rate all the same.
        """
        allowed = self.window * quota.rate + quota.burst
        needed = _INEXACT_SECONDS * quota.rate
        return max(self.share * allowed + self.slack - needed, 0.0)


@attrs.frozen
class QuotaUse:
    """What an operator is told of a customer's limit.

    Attributes:
        offers: tokens, or requests, that it sends a second.
        share: of its requests that is let through.
        level: what it may still send at once; negative once beyond.
        refused: tokens, or requests, refused since this owner began.
    """

    customer: str
    rate: float
    burst: float
    offers: float = 0.0
    share: float = 1.0
    level: float = 0.0
    refused: int = 0


@attrs.define
class _Account:
    """A customer's bucket, and what it offers.

    Attributes:
        depth: the most that the bucket holds.
    """

    quota: Quota
    depth: float
    level: float
    at: float
    offers: float = 0.0
    offers_at: float = float("-inf")
    refused: int = 0

    def advance(self, now: float) -> None:
        """Brings the bucket up to now."""
        passed = max(now - self.at, 0.0)
        self.level = min(self.level + self.quota.rate * passed, self.depth)
        self.at = now

    def note_offers(self, offered: int, now: float) -> None:
        """Adds offers to their moving rate."""
        self.offers = self.offers_rate(now) + offered / _OFFERS_SECONDS
        self.offers_at = now

    def offers_rate(self, now: float) -> float:
        """Returns what is offered a second."""
        return self.offers * math.exp((self.offers_at - now) / _OFFERS_SECONDS)

    def share(self, kept_back: float, now: float) -> float:
        """Returns the share of the offers that may pass.

        Args:
            kept_back: share of the rate that others may be spending.
            now: the clock, in seconds.
        """
        rate = self.quota.rate * (1 - kept_back) + self.level / _LEVEL_SECONDS
        offers = self.offers_rate(now)
        if offers <= max(rate, 0.0):
            return 1.0
        return max(rate, 0.0) / offers


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

    def set_quotas(self, quotas: Mapping[str, Quota]) -> None:
        """Takes the limits in force."""
        self._quotas = quotas
        for name in list(self._accounts):
            quota = quotas.get(name)
            if quota is None:
                del self._accounts[name]
                continue
            account = self._accounts[name]
            account.quota = quota
            account.depth = self._depth(quota)
            account.level = min(account.level, account.depth)

    def _depth(self, quota: Quota) -> float:
        return quota.burst + self._tolerance.spare(quota)

    def begin(self, states: Mapping[str, QuotaState], now: float) -> None:
        """Goes on from what an earlier owner said last."""
        self._accounts.clear()
        for name, state in states.items():
            quota = self._quotas.get(name)
            if quota is not None:
                offers = quota.rate / max(state.share, _SHARE_LEAST)
                self._accounts[name] = _Account(
                    quota, self._depth(quota), state.level, now, offers, now
                )

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

    def note(self, uses: Uses, now: float) -> None:
        """Takes what fronts report."""
        for name, use in uses.items():
            quota = self._quotas.get(name)
            if quota is None:
                continue
            account = self._accounts.get(name)
            if account is None:
                # What it sent under an owner before isn't known.
                depth = self._depth(quota)
                account = _Account(quota, depth, quota.burst, now)
                self._accounts[name] = account
            account.advance(now)
            account.level -= use.spent
            account.note_offers(use.offered, now)
            account.refused += use.offered - use.spent

    def has_limited(self, now: float) -> bool:
        """Whether some customer offers more than it may send."""
        kept_back = self._silent_share()
        return any(
            account.share(kept_back, now) < 1
            for account in self._accounts.values()
        )

    def overview(self, now: float) -> list[QuotaUse]:
        """Returns all limited customers, those that are refused most first."""
        kept_back = self._silent_share()
        uses = []
        for name, quota in self._quotas.items():
            account = self._accounts.get(name)
            use = QuotaUse(name, quota.rate, quota.burst, level=quota.burst)
            if account is not None:
                account.advance(now)
                use = attrs.evolve(
                    use,
                    offers=round(account.offers_rate(now)),
                    share=round(account.share(kept_back, now), _SHARE_DIGITS),
                    level=round(account.level),
                    refused=account.refused,
                )
            uses.append(use)
        return sorted(uses, key=lambda use: (-use.refused, use.customer))

    def states(self, now: float) -> dict[str, QuotaState]:
        """Returns the customers that are near their limits, or beyond."""
        kept_back = self._silent_share()
        states = {}
        for name, account in self._accounts.items():
            account.advance(now)
            share = account.share(kept_back, now)
            if share < 1 or account.level < _TOLD_BELOW * account.quota.burst:
                states[name] = QuotaState(
                    round(share, _SHARE_DIGITS), round(account.level)
                )
        return states
