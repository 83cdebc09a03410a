"""Usage of upstreams and artifacts, summed over the reports of fronts."""

import collections

import attrs

from ridgesill.core.fleet.messages import FrontRoom
from ridgesill.core.fleet.use_reports import Sent
from ridgesill.core.serving.limits import NamedLimit

# Time without a report after which a front counts as gone, in seconds; a front
# asks at least twice a second.
_SILENT_AFTER_SECONDS = 2.0


@attrs.frozen
class UsageReport:
    """Usage that a front, or a relay for its fronts, sends with a question.

    Attributes:
        used: requests by artifact since the last report.
        busy: requests in progress by upstream and artifact.
        fronts: number of fronts that the report covers.
        age: age in seconds of the oldest of their reports.
        resting: number of these fronts that an upstream has asked to pause, by
            upstream.
        sent: amounts sent under rates since the last report.
        limits: rate limits that upstreams have named and that the owner hasn't
            sent in its news.
        is_relayed: whether a relay reports for its fronts.
        rooms: room of the fronts by data centre; empty where their VMs have no
            limits.
    """

    used: dict[str, int] = attrs.Factory(dict)
    busy: dict[str, dict[str, int]] = attrs.Factory(dict)
    fronts: int = 1
    age: float = 0.0
    resting: dict[str, int] = attrs.Factory(dict)
    sent: Sent = attrs.Factory(Sent)
    limits: dict[str, NamedLimit] = attrs.Factory(dict)
    is_relayed: bool = False
    rooms: dict[str, FrontRoom] = attrs.Factory(dict)


@attrs.define
class _Reporter:
    """Last report of a front or a relay.

    Attributes:
        heard_at: clock time when the report arrived, in seconds.
        reported_at: clock time of the oldest front report in it, in seconds.
        fronts: number of fronts that it covers.
        busy: requests in progress by upstream and artifact.
        resting: number of its fronts that an upstream has asked to pause, by
            upstream.
        rooms: room of its fronts by data centre.
    """

    heard_at: float
    reported_at: float
    fronts: int
    busy: dict[str, dict[str, int]]
    resting: dict[str, int]
    rooms: dict[str, FrontRoom]


class Usage:
    """Requests in progress by upstream and artifact, over all fronts.

    Each report updates the sums, since they are read far more often than
    fronts report.

    Attributes:
        fronts: number of fronts that report, directly or through relays.
    """

    def __init__(self) -> None:
        self.fronts = 0
        self._reporters: dict[str, _Reporter] = {}
        self._sums: dict[str, dict[str, int]] = {}
        self._totals: dict[str, int] = {}
        self._resting: collections.Counter[str] = collections.Counter()

    @property
    def reporter_count(self) -> int:
        """Number of processes that report: fronts, and relays for theirs."""
        return len(self._reporters)

    def record_report(
        self, reporter: str, report: UsageReport, now: float
    ) -> None:
        """Records a report, replacing the reporter's previous one.

        A report that covers no fronts only removes the previous one.
        """
        self._subtract(reporter)
        if not report.fronts:
            return
        reported_at = now - report.age
        self._reporters[reporter] = _Reporter(
            now,
            reported_at,
            report.fronts,
            report.busy,
            report.resting,
            report.rooms,
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
        """Removes reporters without a recent report."""
        for name, reporter in list(self._reporters.items()):
            if now - reporter.heard_at > _SILENT_AFTER_SECONDS:
                self._subtract(name)

    def has_reports_since(self, at: float) -> bool:
        """Whether every front has reported after a time."""
        return all(r.reported_at > at for r in self._reporters.values())

    def requests_by_upstream(self) -> dict[str, int]:
        """Returns the number of requests in progress by upstream."""
        return dict(self._totals)

    def artifacts_in_use(self, upstream: str) -> set[str]:
        """Returns the artifacts that requests on an upstream are using."""
        return set(self._sums.get(upstream, ()))

    def resting_fronts(self) -> dict[str, int]:
        """Returns how many fronts each upstream has asked to pause."""
        return dict(+self._resting)

    def is_resting_for_most(self, upstream: str) -> bool:
        """Whether an upstream has asked half of the fronts or more to pause."""
        resting = self._resting[upstream]
        return resting > 0 and 2 * resting >= self.fronts

    def sum_rooms(self) -> dict[str, FrontRoom]:
        """Returns the room of all fronts by data centre."""
        sums: dict[str, FrontRoom] = {}
        for reporter in self._reporters.values():
            for data_centre, room in reporter.rooms.items():
                known = sums.get(data_centre)
                sums[data_centre] = room if known is None else known.plus(room)
        return sums

    def find_scarce_rooms(self) -> dict[str, FrontRoom]:
        """Returns the room of the data centres where a front is full."""
        return {
            data_centre: room
            for data_centre, room in self.sum_rooms().items()
            if room.with_room < room.fronts
        }

    def make_report(
        self,
        used: dict[str, int],
        limits: dict[str, NamedLimit],
        now: float,
    ) -> UsageReport:
        """Returns one report for all fronts, as a relay sends it.

        Args:
            used: requests by artifact since the last report.
            limits: rate limits that upstreams have named.
            now: clock time, in seconds.
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
            rooms=self.sum_rooms(),
        )
