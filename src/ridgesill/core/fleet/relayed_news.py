"""The owner's news, kept by a relay to answer fronts.

Load pattern: 195 fronts in five data centres, and about 80 changes a second
while adapters are loaded and unloaded. If the owner answers each front itself,
every change crosses between data centres once for each front, and the owner
answers about 660 questions a second. A relay in each data centre asks once for
all of its fronts.
"""

import collections

from ridgesill.core.fleet.messages import (
    FleetNews,
    UpstreamChange,
    WatchFleet,
)
from ridgesill.core.fleet.registry import FleetView

# Changes kept for incremental news; an asker further behind gets the full
# state. At 80 changes a second this is over ten seconds, and a front asks every
# half second.
_MAX_KEPT_CHANGES = 1024
# Age of the owner's last answer from which on a relay sends its fronts to the
# owner, in seconds: an owner without news answers every half second.
_STALE_SECONDS = 0.9


class RelayedNews:
    """Changes kept under the numbers that their owner gave them.

    A front may therefore switch between the owner and relays at any number.

    Args:
        view: this node's view, to which the same news is applied first.
    """

    def __init__(self, view: FleetView) -> None:
        self._view = view
        self._epoch = 0
        self._number = 0
        self._settled = True
        self._changes: collections.deque[tuple[int, UpstreamChange]] = (
            collections.deque(maxlen=_MAX_KEPT_CHANGES)
        )

    def apply_news(self, news: FleetNews) -> None:
        """Stores the owner's news; call it after the view has applied them."""
        if news.epoch < self._epoch:
            return
        if news.whole or news.epoch != self._epoch:
            self._changes.clear()
        else:
            # The numbers of an owner's changes are consecutive.
            first = news.number - len(news.changes) + 1
            self._changes.extend(enumerate(news.changes, first))
        self._epoch = news.epoch
        self._number = news.number
        self._settled = news.settled

    def is_current(self, now: float) -> bool:
        """Whether the owner's last answer is recent enough to pass on."""
        return now - self._view.updated_at <= _STALE_SECONDS

    def can_answer(self, question: WatchFleet) -> bool:
        """Whether this relay has news of the asker's epoch or a later one."""
        return 0 < self._epoch >= question.epoch

    def has_news(self, question: WatchFleet) -> bool:
        """Whether there is anything that the asker needs to be told now."""
        if question.epoch != self._epoch:
            return question.epoch < self._epoch
        if self._view.limits:
            return True
        if any(state.is_limiting for state in self._view.quotas.values()):
            return True
        if any(service.shares for service in self._view.services.values()):
            return True
        return question.number < self._number

    def make_news(self, question: WatchFleet, now: float) -> FleetNews:
        """Answers a question with the changes since its number.

        The answer holds the full state if the question is from another epoch
        or further behind than the kept changes.
        """
        age = max(now - self._view.updated_at, 0.0)
        is_whole = self._is_too_far_behind(question)
        return FleetNews(
            self._epoch,
            # A front that has asked the owner itself may be ahead.
            self._number if is_whole else max(self._number, question.number),
            is_whole,
            self._all_changes()
            if is_whole
            else self._changes_since(question.number),
            self._view.fronts,
            self._view.busy,
            self._settled,
            age,
            self._view.quotas,
            self._view.limits,
            self._view.sends,
            knows_uses=self._view.knows_uses,
            services=self._view.services,
            rooms=self._view.rooms,
        )

    def _is_too_far_behind(self, question: WatchFleet) -> bool:
        if question.epoch != self._epoch or question.number <= 0:
            return True
        oldest = self._changes[0][0] if self._changes else self._number + 1
        return question.number < oldest - 1

    def _changes_since(self, number: int) -> tuple[UpstreamChange, ...]:
        return tuple(change for n, change in self._changes if n > number)

    def _all_changes(self) -> tuple[UpstreamChange, ...]:
        return tuple(
            UpstreamChange(upstream.name, upstream)
            for upstream in self._view.confirmed_upstreams()
        )
