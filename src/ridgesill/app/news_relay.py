"""Passes the fleet owner's news on to the fronts of its data centre."""

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

# Least time between two answers with news to the same asker, in seconds, and
# for each process that asks: what changes in between is told in one answer.
_NEWS_SECONDS = 0.1
_NEWS_SECONDS_AN_ASKER = 0.001


async def wait_for_news(
    has_news: Callable[[], bool],
    changed: ChangeSignal,
    wait: float,
    askers: int,
) -> None:
    """Waits until there is something to tell, or an asker must be answered.

    Args:
        has_news: whether there is something.
        changed: noted when there may be.
        wait: seconds that the asker waits without news.
        askers: how many processes ask here.
    """
    loop = asyncio.get_running_loop()
    began = loop.time()
    while not has_news():
        left = began + wait - loop.time()
        if left <= 0 or not await changed.wait(left):
            break
    spacing = _NEWS_SECONDS + _NEWS_SECONDS_AN_ASKER * askers
    await asyncio.sleep(max(began + spacing - loop.time(), 0.0))


def extract_usage(question: WatchFleet) -> UsageReport:
    """Returns what an asker says of the fronts that it speaks for."""
    return UsageReport(
        question.used,
        question.busy,
        question.fronts if question.is_front else 0,
        question.reported_ago,
        question.resting,
    )


def extract_sent(report: UseReport, now: float) -> Sent:
    """Returns what a report says was sent under rates."""
    return Sent(report.uses, report.sends, now - report.span)


class NewsRelay:
    """Asks the owner once for all fronts that ask here.

    Args:
        fleet: this node's link to the owner.
    """

    def __init__(self, fleet: FleetClient) -> None:
        self._fleet = fleet
        self._usage = Usage()
        self._used: dict[str, int] = {}
        self._taken = ReceivedReports()
        # That fronts here have heard upstreams name.
        self._limits = UpstreamLimits()
        self._news = RelayedNews(fleet.view)
        self._view = fleet.view
        self._changed = ChangeSignal()
        self._loop = asyncio.get_running_loop()
        fleet.add_news_listener(self._take)

    def _take(self, news: FleetNews) -> None:
        self._news.apply_news(news)
        self._limits.discard_except(self._view.upstreams, self._loop.time())
        self._changed.notify()

    def make_usage_report(self) -> UsageReport:
        """Returns what the fronts here use, to be told the owner."""
        now = self._loop.time()
        self._usage.prune_silent(now)
        self._taken.prune_silent(now)
        used, self._used = self._used, {}
        return self._usage.make_report(used, self._limits.report(now), now)

    async def handle_watch(
        self, sender: str, question: WatchFleet
    ) -> FleetNews:
        """Answers a front; epoch 0 says that it should ask the owner."""
        now = self._loop.time()
        is_current = self._news.is_current(now)
        is_known = is_current and self._news.can_answer(question)
        taken = self._note_front(
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

    def _note_front(
        self, sender: str, question: WatchFleet, *, accepts: bool
    ) -> tuple[int, ...]:
        """Takes what an asker says; returns the reports that were taken."""
        now = self._loop.time()
        if accepts or not question.is_front:
            self._usage.record_report(sender, extract_usage(question), now)
        if accepts:
            self._limits.merge(question.limits, now)
            for artifact, count in question.used.items():
                self._used[artifact] = self._used.get(artifact, 0) + count
        return self._taken.handle_reports(
            sender,
            question.reports,
            now,
            accepts=accepts,
            count=lambda r: self._fleet.pending_reports.add(
                extract_sent(r, now)
            ),
        )
