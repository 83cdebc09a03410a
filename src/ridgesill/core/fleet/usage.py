"""What fronts say they are using, added up."""

import collections

import attrs

from ridgesill.core.fleet.use_reports import Sent
from ridgesill.core.serving.limits import NamedLimit

# After this long without word a front counts as gone, in seconds; it asks at
# least twice a second.
_HEARD_SECONDS = 2.0


@attrs.frozen
class UsageReport:
    """What a front, or a relay for its fronts, tells with each question.

    Attributes:
        used: requests by artifact since the last report.
        busy: requests in progress by upstream and artifact.
        fronts: how many it speaks for.
        age: seconds since each of them has reported.
        resting: at how many of them an upstream wants no requests.
        sent: under rates, since the last report.
        limits: that upstreams have named, as far as the owner hasn't told them.
        is_relayed: whether a relay tells it for its fronts.
    """

    used: dict[str, int] = attrs.Factory(dict)
    busy: dict[str, dict[str, int]] = attrs.Factory(dict)
    fronts: int = 1
    age: float = 0.0
    resting: dict[str, int] = attrs.Factory(dict)
    sent: Sent = attrs.Factory(Sent)
    limits: dict[str, NamedLimit] = attrs.Factory(dict)
    is_relayed: bool = False


@attrs.define
class _Reporter:
    heard_at: float
    reported_at: float
    fronts: int
    busy: dict[str, dict[str, int]]
    resting: dict[str, int]


class Usage:
    """Requests in progress by upstream and artifact, from all fronts.

    The sums are kept up to date with each report, since they are looked at
    far more often than fronts report.
    """

    def __init__(self) -> None:
        self.fronts = 0
        self._reporters: dict[str, _Reporter] = {}
        self._sums: dict[str, dict[str, int]] = {}
        self._totals: dict[str, int] = {}
        self._resting: collections.Counter[str] = collections.Counter()

    @property
    def reporter_count(self) -> int:
        """How many processes report: fronts, and relays for theirs."""
        return len(self._reporters)

    def record_report(
        self, reporter: str, report: UsageReport, now: float
    ) -> None:
        """Notes what a front uses, in place of what it said before."""
        self._subtract(reporter)
        if not report.fronts:
            return
        reported_at = now - report.age
        self._reporters[reporter] = _Reporter(
            now, reported_at, report.fronts, report.busy, report.resting
        )
        self.fronts += report.fronts
        self._resting.update(report.resting)
        for name, using in report.busy.items():
            sums = self._sums.setdefault(name, {})
            for artifact, count in using.items():
                sums[artifact] = sums.get(artifact, 0) + count
            total = self._totals.get(name, 0) + sum(using.values())
            self._totals[name] = total

    def _subtract(self, reporter: str) -> None:
        known = self._reporters.pop(reporter, None)
        if known is None:
            return
        self.fronts -= known.fronts
        self._resting.subtract(known.resting)
        for name, using in known.busy.items():
            sums = self._sums[name]
            for artifact, count in using.items():
                sums[artifact] -= count
                if sums[artifact] <= 0:
                    del sums[artifact]
            self._totals[name] -= sum(using.values())
            if not sums:
                del self._sums[name]
                del self._totals[name]

    def prune_silent(self, now: float) -> None:
        """Forgets fronts that say nothing any more."""
        for name, reporter in list(self._reporters.items()):
            if now - reporter.heard_at > _HEARD_SECONDS:
                self._subtract(name)

    def has_reports_since(self, at: float) -> bool:
        """Whether every front has reported after a moment."""
        return all(r.reported_at > at for r in self._reporters.values())

    def requests_by_upstream(self) -> dict[str, int]:
        """Returns requests in progress by upstream."""
        return dict(self._totals)

    def artifacts_in_use(self, upstream: str) -> set[str]:
        """Returns the artifacts in use on an upstream."""
        return set(self._sums.get(upstream, ()))

    def resting_fronts(self) -> dict[str, int]:
        """Returns at how many fronts each upstream wants no requests."""
        return dict(+self._resting)

    def is_resting_for_most(self, upstream: str) -> bool:
        """Whether an upstream wants no requests from half of the fronts."""
        resting = self._resting[upstream]
        return resting > 0 and 2 * resting >= self.fronts

    def make_report(
        self,
        used: dict[str, int],
        limits: dict[str, NamedLimit],
        now: float,
    ) -> UsageReport:
        """Returns one report for all fronts.

        Args:
            used: requests by artifact since the last report.
            limits: that upstreams have named.
            now: the clock, in seconds.
        """
        ages = (now - r.reported_at for r in self._reporters.values())
        busy = {name: dict(using) for name, using in self._sums.items()}
        return UsageReport(
            used,
            busy,
            self.fronts,
            max(ages, default=0.0),
            self.resting_fronts(),
            limits=limits,
            is_relayed=True,
        )
