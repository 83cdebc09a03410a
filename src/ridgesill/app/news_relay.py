"""Relay that passes the fleet owner's news on to fronts."""

import asyncio
from collections.abc import Callable

import attrs

from ridgesill.app.change_signal import ChangeSignal
from ridgesill.app.fleet_client import FleetClient
from ridgesill.core.fleet.messages import FleetNews, WatchFleet
from ridgesill.core.fleet.relayed_news import RelayedNews
from ridgesill.core.fleet.usage import Usage, UsageReport
from ridgesill.core.fleet.use_reports import ReceivedReports, Sent, UseReport
from ridgesill.core.serving.limits import UpstreamLimits

# Minimum time between two answers to the same asker, in seconds, and what each
# asking process adds to it. One answer holds all changes in between.
_NEWS_INTERVAL_SECONDS = 0.1
_NEWS_INTERVAL_SECONDS_PER_ASKER = 0.001


async def wait_for_news(
    has_news: Callable[[], bool],
    changed: ChangeSignal,
    wait: float,
    askers: int,
) -> None:
    """Waits until there is news or the asker's wait is over.

    Waits at least the minimum time between two answers.

    Args:
        has_news: returns whether there is news for the asker.
        changed: signals that there may be news.
        wait: longest wait without news, in seconds.
        askers: number of processes that ask this node.
    """
    loop = asyncio.get_running_loop()
    began = loop.time()
    while not has_news():
        left = began + wait - loop.time()
        if left <= 0 or not await changed.wait(left):
            break
    spacing = _NEWS_INTERVAL_SECONDS + _NEWS_INTERVAL_SECONDS_PER_ASKER * askers
    await asyncio.sleep(max(began + spacing - loop.time(), 0.0))


def extract_usage(question: WatchFleet) -> UsageReport:
    """Returns the usage that an asker reports for its fronts.

    Amounts sent under rates and named limits aren't part of it.
    """
    return UsageReport(
        question.used,
        question.busy,
        question.fronts if question.is_front else 0,
        question.reported_ago,
        question.resting,
        rooms=question.rooms,
    )


def extract_sent(report: UseReport, now: float) -> Sent:
    """Returns the content of a use report, with its time on this clock."""
    return Sent(
        report.uses,
        report.sends,
        now - report.span,
        report.offers,
        report.calls,
    )


class NewsRelay:
    """Answers fronts with the owner's news and sums up their reports.

    Args:
        fleet: this node's client, which asks the owner.
    """

    def __init__(self, fleet: FleetClient) -> None:
        self._fleet = fleet
        self._usage = Usage()
        self._used: dict[str, int] = {}
        self._received = ReceivedReports()
        # Limits that upstreams have named to the fronts that ask here.
        self._limits = UpstreamLimits()
        self._news = RelayedNews(fleet.view)
        self._view = fleet.view
        self._changed = ChangeSignal()
        self._loop = asyncio.get_running_loop()
        fleet.add_news_listener(self._apply_news)

    def _apply_news(self, news: FleetNews) -> None:
        self._news.apply_news(news)
        self._limits.discard_except(self._view.upstreams, self._loop.time())
        self._changed.notify()

    def make_usage_report(self) -> UsageReport:
        """Returns the usage of the fronts that ask here, for the owner."""
        now = self._loop.time()
        self._usage.prune_silent(now)
        self._received.prune_silent(now)
        used, self._used = self._used, {}
        return self._usage.make_report(used, self._limits.report(now), now)

    async def handle_watch(
        self, sender: str, question: WatchFleet
    ) -> FleetNews:
        """Answers a front's question.

        Epoch 0 in the answer tells the front to ask the owner itself.

        Args:
            sender: name of the asker, unique for each of its starts.
            question: the question.
        """
        now = self._loop.time()
        is_current = self._news.is_current(now)
        is_known = is_current and self._news.can_answer(question)
        taken = self._record_question(
            sender,
            question,
            accepts=is_known and not question.is_relayed,
        )
        if not question.epoch and not is_current:
            return self._view.make_bootstrap_news(question)
        if not self._news.can_answer(question):
            return FleetNews(0, taken=taken)
        await wait_for_news(
            lambda: self._news.has_news(question),
            self._changed,
            question.wait,
            self._usage.reporter_count,
        )
        now = self._loop.time()
        if not self._news.is_current(now) or not self._news.can_answer(
            question
        ):
            return FleetNews(0, taken=taken)
        return attrs.evolve(self._news.make_news(question, now), taken=taken)

    def _record_question(
        self, sender: str, question: WatchFleet, *, accepts: bool
    ) -> tuple[int, ...]:
        """Records the reports in a question.

        Args:
            sender: name of the asker.
            question: the question.
            accepts: whether this node accepts reports now.

        Returns:
            The numbers of the use reports that this node has accepted.
        """
        now = self._loop.time()
        if accepts or not question.is_front:
            self._usage.record_report(sender, extract_usage(question), now)
        if accepts:
            self._limits.merge(question.limits, now)
            for artifact, count in question.used.items():
                self._used[artifact] = self._used.get(artifact, 0) + count
        return self._received.handle_reports(
            sender,
            question.reports,
            now,
            accepts=accepts,
            count=lambda r: self._fleet.pending_reports.add(
                extract_sent(r, now)
            ),
        )
