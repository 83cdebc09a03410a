"""The owner's account of what customers send, over all fronts.

Load pattern: a customer sends eight times its usual for ten seconds. Held to
its rate from the first moment on, it is refused what its limit allows; let
through until the window is full, it then gets next to nothing until the window
has passed. So the owner keeps the use of the last window, and lets what is left
of it be spent over half of the next one, beside what runs out of it.

What fronts let through is heard some tenths of a second late. So they aren't
told how much is left, but which share of what is offered may pass: it changes
only as demand does.
"""

import collections
import math
from collections.abc import Mapping

import attrs

from ridgesill.core.serving.customers import Quota
from ridgesill.core.serving.quotas import QuotaState, Uses

# Over which offers are averaged, in seconds.
_OFFERS_SECONDS = 0.6
# Width of the moments by which the use of a window is kept, in seconds.
_MOMENT_SECONDS = 0.25
# What is about to run out of the window is averaged over this, in seconds.
_EXPIRY_SECONDS = 1.0
# Share of a window within which what is left of a limit is spent.
_SPENT_WITHIN = 0.5
# Share of a limit below which nothing is refused, however fast it comes.
_FREE_SHARE = 0.75
# How far beyond a limit the owner aims, as a share of it: its count is inexact
# in both directions, and nothing below the limit should be refused.
_AIM_BEYOND = 0.05
# Fronts that fell silent may go on by their own part of each limit for as long
# as keys are relied on there, in seconds.
_SILENT_SECONDS = 5.0
_SHARE_DIGITS = 3
# From which share on a new owner doesn't take the offers for larger still.
_SHARE_LEAST = 0.05
# Share of a limit from which on fronts, and the next owner, are told what of it
# was used.
_TOLD_FROM = 0.5
# What is told is worked out anew after this long, in seconds: with 2,000
# customers that takes a millisecond, and hundreds of questions come a second.
_STATES_SECONDS = 0.05
# How far a customer gets beyond the aim at the most while fronts are cut off or
# killed, or the owner is lost, in seconds of its rate.
_INEXACT_SECONDS = 1.7


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

    def aim(self, quota: Quota) -> float:
        """Returns what the owner lets through in a window."""
        allowed = self.allowed(quota)
        needed = _INEXACT_SECONDS * quota.rate
        spare = max(self.share * allowed + self.slack - needed, 0.0)
        return allowed + min(spare, _AIM_BEYOND * allowed)


@attrs.frozen
class QuotaUse:
    """What an operator is told of a customer's limit.

    Attributes:
        allowed: tokens, or requests, in a window.
        used: in the last window.
        offers: that it sends a second.
        share: of its requests that is let through.
        refused: since this owner began.
    """

    customer: str
    allowed: float
    used: float = 0.0
    offers: float = 0.0
    share: float = 1.0
    refused: int = 0


class _Window:
    """What was let through in the last window, by moments."""

    def __init__(self, seconds: float) -> None:
        self.used = 0.0
        self._seconds = seconds
        self._moments: collections.deque[list[float]] = collections.deque()

    def add(self, spent: float, now: float) -> None:
        """Takes what was let through by now."""
        self.used += spent
        last = self._moments[-1] if self._moments else None
        if last is None or now - last[0] >= _MOMENT_SECONDS:
            self._moments.append([now, spent])
        else:
            last[1] += spent

    def fill(self, used: float, now: float) -> None:
        """Takes a use of which only the sum is known as spread evenly."""
        count = int(self._seconds / _MOMENT_SECONDS)
        for left in range(count, 0, -1):
            self.add(used / count, now - left * _MOMENT_SECONDS)

    def advance(self, now: float) -> None:
        """Forgets what has run out of the window."""
        oldest = now - self._seconds
        while self._moments and self._moments[0][0] < oldest:
            self.used -= self._moments.popleft()[1]

    def expiry(self, now: float) -> float:
        """Returns what runs out of the window a second."""
        until = now - self._seconds + _EXPIRY_SECONDS
        soon = 0.0
        for at, spent in self._moments:
            if at >= until:
                break
            soon += spent
        return soon / _EXPIRY_SECONDS


@attrs.define
class _Account:
    """A customer's use.

    Attributes:
        aim: what is let through in a window.
    """

    quota: Quota
    aim: float
    window: _Window
    spent_within: float
    offers: float = 0.0
    offers_at: float = float("-inf")
    refused: int = 0

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
        self.window.advance(now)
        offers = self.offers_rate(now)
        used = self.window.used
        if used + offers * _OFFERS_SECONDS < _FREE_SHARE * self.aim:
            return 1.0
        rate = self.window.expiry(now) - kept_back * self.quota.rate
        rate += (self.aim - used) / self.spent_within
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
        self._states: dict[str, QuotaState] = {}
        self._states_at = float("-inf")

    def set_quotas(self, quotas: Mapping[str, Quota]) -> None:
        """Takes the limits in force."""
        self._quotas = quotas
        self._states_at = float("-inf")
        for name in list(self._accounts):
            quota = quotas.get(name)
            if quota is None:
                del self._accounts[name]
                continue
            self._accounts[name].quota = quota
            self._accounts[name].aim = self._tolerance.aim(quota)

    def begin(self, states: Mapping[str, QuotaState], now: float) -> None:
        """Goes on from what an earlier owner said last."""
        self._accounts.clear()
        self._states_at = float("-inf")
        for name, state in states.items():
            quota = self._quotas.get(name)
            if quota is not None:
                account = self._accounts[name] = self._make(quota)
                account.window.fill(state.used, now)
                account.offers = quota.rate / max(state.share, _SHARE_LEAST)
                account.offers_at = now

    def _make(self, quota: Quota) -> _Account:
        seconds = self._tolerance.window
        return _Account(
            quota,
            self._tolerance.aim(quota),
            _Window(seconds),
            _SPENT_WITHIN * seconds,
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
                account = self._accounts[name] = self._make(quota)
            account.window.advance(now)
            account.window.add(use.spent, now)
            account.note_offers(use.offered, now)
            account.refused += use.offered - use.spent

    def has_limited(self, now: float) -> bool:
        """Whether some customer offers more than it may send."""
        return any(state.share < 1 for state in self.states(now).values())

    def overview(self, now: float) -> list[QuotaUse]:
        """Returns all limited customers, those that are refused most first."""
        kept_back = self._silent_share()
        uses = []
        for name, quota in self._quotas.items():
            use = QuotaUse(name, self._tolerance.allowed(quota))
            account = self._accounts.get(name)
            if account is not None:
                share = account.share(kept_back, now)
                use = attrs.evolve(
                    use,
                    used=round(account.window.used),
                    offers=round(account.offers_rate(now)),
                    share=round(share, _SHARE_DIGITS),
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
        kept_back = self._silent_share()
        states = {}
        for name, account in self._accounts.items():
            share = account.share(kept_back, now)
            used = account.window.used
            if share < 1 or used > _TOLD_FROM * account.aim:
                states[name] = QuotaState(
                    round(share, _SHARE_DIGITS), round(used)
                )
        return states
