"""Passes the fleet owner's news on to the fronts of its data centre."""

import asyncio
from collections.abc import Callable

from ridgesill.app.change_signal import ChangeSignal
from ridgesill.app.fleet_client import FleetClient
from ridgesill.core.fleet.messages import FleetNews, WatchFleet
from ridgesill.core.fleet.relayed_news import RelayedNews
from ridgesill.core.fleet.usage import Usage, UsageReport
from ridgesill.core.serving.quotas import (
    CustomerUse,
    add_uses,
    only_spent,
)

# Least time between two answers with news to the same asker, in seconds, and
# for each process that asks: what changes in between is told in one answer.
_NEWS_SECONDS = 0.1
_NEWS_SECONDS_AN_ASKER = 0.001


async def await_news(
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
        if left <= 0 or not await changed.within(left):
            break
    spacing = _NEWS_SECONDS + _NEWS_SECONDS_AN_ASKER * askers
    await asyncio.sleep(max(began + spacing - loop.time(), 0.0))


def read_report(question: WatchFleet) -> UsageReport:
    """Returns what an asker says of the fronts that it speaks for."""
    return UsageReport(
        question.used,
        question.busy,
        question.fronts if question.is_front else 0,
        question.reported_ago,
        question.resting,
        question.uses,
    )


class NewsRelay:
    """Asks the owner once for all fronts that ask here.

    Args:
        fleet: this node's link to the owner.
    """

    def __init__(self, fleet: FleetClient) -> None:
        self._usage = Usage()
        self._used: dict[str, int] = {}
        self._uses: dict[str, CustomerUse] = {}
        self._news = RelayedNews(fleet.view)
        self._view = fleet.view
        self._changed = ChangeSignal()
        self._loop = asyncio.get_running_loop()
        fleet.watch_news(self._take)

    def _take(self, news: FleetNews) -> None:
        self._news.take(news)
        self._changed.note()

    def report(self) -> UsageReport:
        """Returns what the fronts here use, to be told the owner."""
        now = self._loop.time()
        self._usage.forget_silent(now)
        used, self._used = self._used, {}
        return self._usage.sum_up(used, self.take_uses(), now)

    def put_back(self, report: UsageReport) -> None:
        """Keeps what customers sent for the next report: nobody heard it."""
        self._uses = add_uses(only_spent(report.uses), self._uses)

    def take_uses(self) -> dict[str, CustomerUse]:
        """Returns what customers have sent since the last report."""
        uses, self._uses = self._uses, {}
        return uses

    async def answer(self, sender: str, question: WatchFleet) -> FleetNews:
        """Answers a front; epoch 0 says that it should ask the owner."""
        self._note_front(sender, question)
        if not question.epoch and not self._news.is_current(self._loop.time()):
            return self._view.remembered(question)
        if not self._news.knows(question):
            return FleetNews(0)
        await await_news(
            lambda: self._news.has_news(question),
            self._changed,
            question.wait,
            self._usage.reporters,
        )
        now = self._loop.time()
        if not self._news.is_current(now) or not self._news.knows(question):
            return FleetNews(0)
        return self._news.tell(question, now)

    def _note_front(self, sender: str, question: WatchFleet) -> None:
        self._usage.note(sender, read_report(question), self._loop.time())
        for artifact, count in question.used.items():
            self._used[artifact] = self._used.get(artifact, 0) + count
        self._uses = add_uses(self._uses, question.uses)
