"""Reports of the amounts sent under rates, each counted exactly once.

A question or its answer may be lost, or the node that accepted a report may no
longer own the fleet. If the amounts were then reported to another node, those
that the first one had accepted would count twice, and again with each node that
passes them on. So a report is sent to one node only, until that node has
answered whether it accepted it.
"""

import collections
from collections.abc import Callable, Collection, Iterable

import attrs

from ridgesill.core.codec import register
from ridgesill.core.serving.load_reports import UpstreamCalls, add_calls
from ridgesill.core.serving.rates import RateUse, add_uses

# Age at which a report that no node has accepted is dropped, in seconds: it is
# then outside of the windows over which rates are enforced.
MAX_REPORT_AGE_SECONDS = 8.0
# Length of the time slices by which unreported amounts are kept, in seconds, so
# that old ones can be dropped without the rest.
_SLICE_SECONDS = 1.0
# Decisions kept for each reporter. It sends about ten reports a second and
# repeats none that is older than the maximum age.
_MAX_KEPT_DECISIONS = 256
# Time without a question after which a reporter's decisions are dropped, in
# seconds.
_REPORTER_KEPT_SECONDS = 30.0


@register
@attrs.frozen
class UseReport:
    """Amounts that a front, or a relay for its fronts, has sent under rates.

    Attributes:
        number: number of the report, unique for its reporter.
        uses: use of quotas, by customer.
        sends: use of named limits, by upstream.
        span: seconds since the first of these requests was sent.
        offers: requests offered and admitted, by key of their class.
        calls: what the answers of upstreams have shown, by upstream.
    """

    number: int
    uses: dict[str, RateUse] = attrs.Factory(dict)
    sends: dict[str, RateUse] = attrs.Factory(dict)
    span: float = 0.0
    offers: dict[str, RateUse] = attrs.Factory(dict)
    calls: dict[str, UpstreamCalls] = attrs.Factory(dict)


@attrs.frozen
class Sent:
    """Amounts sent under rates since a time.

    Attributes:
        uses: use of quotas, by customer.
        sends: use of named limits, by upstream.
        since: clock time at which the first request was sent, in seconds.
        offers: requests offered and admitted, by key of their class.
        calls: what the answers of upstreams have shown, by upstream.
    """

    uses: dict[str, RateUse] = attrs.Factory(dict)
    sends: dict[str, RateUse] = attrs.Factory(dict)
    since: float = float("inf")
    offers: dict[str, RateUse] = attrs.Factory(dict)
    calls: dict[str, UpstreamCalls] = attrs.Factory(dict)

    def __bool__(self) -> bool:
        """Whether there is anything to report."""
        return bool(self.uses or self.sends or self.offers or self.calls)

    def plus(self, other: "Sent") -> "Sent":
        """Returns the sum of both amounts, since the earlier time."""
        return Sent(
            add_uses(self.uses, other.uses),
            add_uses(self.sends, other.sends),
            min(self.since, other.since),
            add_uses(self.offers, other.offers),
            add_calls(self.calls, other.calls),
        )


class OutgoingReports:
    """The reporter's side: amounts that no node has confirmed yet."""

    def __init__(self) -> None:
        self._number = 0
        # Amounts not yet in a report, by time slice.
        self._unassigned: dict[int, Sent] = {}
        # Reports that a node hasn't answered yet, by node and report number.
        self._assigned: dict[str, dict[int, Sent]] = {}

    def add(self, sent: Sent) -> None:
        """Adds amounts to be reported."""
        if sent:
            slice_number = int(sent.since // _SLICE_SECONDS)
            known = self._unassigned.get(slice_number)
            self._unassigned[slice_number] = known.plus(sent) if known else sent

    def take_unassigned(self) -> list[Sent]:
        """Removes and returns the amounts that are in no report yet."""
        unassigned, self._unassigned = self._unassigned, {}
        return list(unassigned.values())

    def make_reports(self, node: str, now: float) -> tuple[UseReport, ...]:
        """Returns the reports to send to a node now.

        These are the ones that it hasn't answered yet and a new one for each
        slice of unreported amounts.
        """
        self._drop_old(now)
        for sent in self.take_unassigned():
            self._number += 1
            self._assigned.setdefault(node, {})[self._number] = sent
        return tuple(
            UseReport(
                number,
                sent.uses,
                sent.sends,
                max(now - sent.since, 0.0),
                sent.offers,
                sent.calls,
            )
            for number, sent in self._assigned.get(node, {}).items()
        )

    def handle_answer(
        self, node: str, asked: Iterable[UseReport], taken: Collection[int]
    ) -> None:
        """Applies a node's answer to the reports that were sent to it.

        The amounts of refused reports go to the next node under new numbers, so
        that the refusing node can't accept them from a delayed copy of the
        question.

        Args:
            node: name of the node.
            asked: reports in the question.
            taken: numbers of the reports that the node accepted.
        """
        assigned = self._assigned.get(node, {})
        for report in asked:
            sent = assigned.pop(report.number, None)
            if sent is not None and report.number not in taken:
                self.add(sent)
        if not assigned:
            self._assigned.pop(node, None)

    def _drop_old(self, now: float) -> None:
        for slice_number, sent in list(self._unassigned.items()):
            if sent.since < now - MAX_REPORT_AGE_SECONDS:
                del self._unassigned[slice_number]
        for node, assigned in list(self._assigned.items()):
            for number, sent in list(assigned.items()):
                if sent.since < now - MAX_REPORT_AGE_SECONDS:
                    del assigned[number]
            if not assigned:
                del self._assigned[node]

    def total_spent(self, name: str) -> int:
        """Returns a customer's spent amount in all unconfirmed reports."""
        kept = list(self._unassigned.values())
        for assigned in self._assigned.values():
            kept.extend(assigned.values())
        return sum(s.uses[name].spent for s in kept if name in s.uses)


@attrs.define
class _Reporter:
    """Decisions on the reports of one reporter.

    Attributes:
        heard_at: clock time of its last question, in seconds.
        decisions: whether each report was accepted, by number.
    """

    heard_at: float
    decisions: collections.OrderedDict[int, bool]


class ReceivedReports:
    """The receiving node's side: which reports it has accepted or refused."""

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
        """Counts each new report if this node accepts reports now.

        The decision on a report is final: a repeated report is neither counted
        again nor accepted after a refusal.

        Args:
            reporter: name of the reporter, unique for each of its starts.
            reports: reports in its question, which may have been sent before.
            now: clock time, in seconds.
            accepts: whether this node accepts new reports.
            count: called with each report to be counted.

        Returns:
            The numbers of those reports that this node has accepted, now or
            before.
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
        while len(known.decisions) > _MAX_KEPT_DECISIONS:
            known.decisions.popitem(last=False)
        return tuple(taken)

    def prune_silent(self, now: float) -> None:
        """Removes reporters that have sent no question for a while."""
        for name, known in list(self._reporters.items()):
            if now - known.heard_at > _REPORTER_KEPT_SECONDS:
                del self._reporters[name]
