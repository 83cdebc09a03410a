"""Reports of what was sent under rates, each counted once.

A question may be lost, or its answer, or the node that took it may not own the
fleet any more. Told again to another node, what the first one had taken would
count twice, and twice more with each node that passes it on. So a report goes
to one node until that node has said whether it took it.
"""

import collections
from collections.abc import Callable, Collection, Iterable

import attrs

from ridgesill.core.codec import register
from ridgesill.core.serving.rates import RateUse, add_uses

# After this long a report is dropped that nobody has taken, in seconds: it is
# outside of the spans over which rates are judged.
MAX_REPORT_AGE_SECONDS = 8.0
# What nobody has taken is kept apart by when it was sent, in seconds, so that
# what is old can be dropped without the rest.
_SLICE_SECONDS = 1.0
# Decisions kept for a reporter: it tells some ten reports a second, and no
# longer than it keeps them.
_DECISIONS_KEPT = 256
# A reporter that has been silent for this long is forgotten, in seconds.
_REPORTER_SECONDS = 30.0


@register
@attrs.frozen
class UseReport:
    """What a front, or a relay for its fronts, has sent under rates.

    Attributes:
        number: of the report, by its reporter.
        uses: by customer.
        sends: by upstream that has named a limit.
        span: seconds since the first of it was sent.
    """

    number: int
    uses: dict[str, RateUse] = attrs.Factory(dict)
    sends: dict[str, RateUse] = attrs.Factory(dict)
    span: float = 0.0


@attrs.frozen
class Sent:
    """What was sent since some moment."""

    uses: dict[str, RateUse] = attrs.Factory(dict)
    sends: dict[str, RateUse] = attrs.Factory(dict)
    since: float = float("inf")

    def __bool__(self) -> bool:
        """Whether it is anything."""
        return bool(self.uses or self.sends)

    def plus(self, other: "Sent") -> "Sent":
        """Returns the sum of two."""
        return Sent(
            add_uses(self.uses, other.uses),
            add_uses(self.sends, other.sends),
            min(self.since, other.since),
        )


class OutgoingReports:
    """A reporter's side: what no node has confirmed to have taken."""

    def __init__(self) -> None:
        self._number = 0
        # By the slice of time in which it was sent.
        self._untold: dict[int, Sent] = {}
        # By node: what it was told and hasn't answered for, by number.
        self._told: dict[str, dict[int, Sent]] = {}

    def add(self, sent: Sent) -> None:
        """Takes what is to be told."""
        if sent:
            slice_number = int(sent.since // _SLICE_SECONDS)
            known = self._untold.get(slice_number)
            self._untold[slice_number] = known.plus(sent) if known else sent

    def take_unassigned(self) -> list[Sent]:
        """Returns what no node has been told, and forgets it here."""
        untold, self._untold = self._untold, {}
        return list(untold.values())

    def make_reports(self, node: str, now: float) -> tuple[UseReport, ...]:
        """Returns what a node is to be told now."""
        self._drop_old(now)
        for sent in self.take_unassigned():
            self._number += 1
            self._told.setdefault(node, {})[self._number] = sent
        return tuple(
            UseReport(number, sent.uses, sent.sends, max(now - sent.since, 0.0))
            for number, sent in self._told.get(node, {}).items()
        )

    def handle_answer(
        self, node: str, asked: Iterable[UseReport], taken: Collection[int]
    ) -> None:
        """Notes what a node has said of the reports that it was told.

        What it refused goes to the next node under another number: a late copy
        of the question must not have it taken after all.
        """
        told = self._told.get(node, {})
        for report in asked:
            sent = told.pop(report.number, None)
            if sent is not None and report.number not in taken:
                self.add(sent)
        if not told:
            self._told.pop(node, None)

    def _drop_old(self, now: float) -> None:
        for slice_number, sent in list(self._untold.items()):
            if sent.since < now - MAX_REPORT_AGE_SECONDS:
                del self._untold[slice_number]
        for node, told in list(self._told.items()):
            for number, sent in list(told.items()):
                if sent.since < now - MAX_REPORT_AGE_SECONDS:
                    del told[number]
            if not told:
                del self._told[node]

    def total_spent(self, name: str) -> int:
        """Returns what is kept of a customer's use."""
        kept = list(self._untold.values())
        for told in self._told.values():
            kept.extend(told.values())
        return sum(s.uses[name].spent for s in kept if name in s.uses)


@attrs.define
class _Reporter:
    heard_at: float
    decisions: collections.OrderedDict[int, bool]


class ReceivedReports:
    """A node's side: which reports it has taken."""

    def __init__(self) -> None:
        self._reporters: dict[str, _Reporter] = {}

    def handle_reports(
        self,
        reporter: str,
        reports: Iterable[UseReport],
        now: float,
        *,
        accepts: bool,
        count: Callable[[UseReport], None],
    ) -> tuple[int, ...]:
        """Counts each report that is new, unless none can be accepted now.

        Args:
            reporter: who tells them, by its start.
            reports: that it tells, some of them perhaps again.
            now: the clock, in seconds.
            accepts: whether this node can have them counted.
            count: counts one.

        Returns:
            The numbers of those that this node has taken, now or before.
        """
        known = self._reporters.get(reporter)
        if known is None:
            known = _Reporter(now, collections.OrderedDict())
            self._reporters[reporter] = known
        known.heard_at = now
        taken = []
        for report in reports:
            if report.number not in known.decisions:
                known.decisions[report.number] = accepts
                if accepts:
                    count(report)
            if known.decisions[report.number]:
                taken.append(report.number)
        while len(known.decisions) > _DECISIONS_KEPT:
            known.decisions.popitem(last=False)
        return tuple(taken)

    def prune_silent(self, now: float) -> None:
        """Forgets reporters that say nothing any more."""
        for name, known in list(self._reporters.items()):
            if now - known.heard_at > _REPORTER_SECONDS:
                del self._reporters[name]
