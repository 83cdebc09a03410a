"""The owner's news as another node passes them on to fronts.

Load pattern: 195 fronts in five data centres, and some eighty changes a second
while adapters are loaded and give way. Told to each front by the owner, every
change crosses from data centre to data centre once for each front, and the
owner's processor answers some 660 questions a second. A relay in each data
centre asks once for all of its fronts.
"""

import collections

from ridgesill.core.fleet.messages import (
    FleetNews,
    UpstreamChange,
    WatchFleet,
)
from ridgesill.core.fleet.registry import FleetView

# Changes kept for those who ask; who is further behind gets everything. Some
# ten seconds of them on a busy day, while a front asks each half a second.
_CHANGES_KEPT = 1024
# A relay that has had no word of the owner for this long is no use to fronts,
# in seconds: an owner without news answers each half a second.
_STALE_SECONDS = 0.9


class RelayedNews:
    """Numbered changes, as their owner counts them.

    A front may go from the owner to a relay and back at any number.

    Args:
        view: of this node, which takes the same news.
    """

    def __init__(self, view: FleetView) -> None:
        self._view = view
        self._epoch = 0
        self._number = 0
        self._settled = True
        self._changes: collections.deque[tuple[int, UpstreamChange]] = (
            collections.deque(maxlen=_CHANGES_KEPT)
        )

    def apply_news(self, news: FleetNews) -> None:
        """Takes what the owner has said, after the view has."""
        if news.epoch < self._epoch:
            return
        if news.whole or news.epoch != self._epoch:
            self._changes.clear()
        else:
            # An owner counts each change that it tells.
            first = news.number - len(news.changes) + 1
            self._changes.extend(enumerate(news.changes, first))
        self._epoch = news.epoch
        self._number = news.number
        self._settled = news.settled

    def is_current(self, now: float) -> bool:
        """Whether the owner has been heard lately."""
        return now - self._view.updated_at <= _STALE_SECONDS

    def can_answer(self, question: WatchFleet) -> bool:
        """Whether an asker's owner is known here."""
        return 0 < self._epoch >= question.epoch

    def has_news(self, question: WatchFleet) -> bool:
        """Whether there is something that an asker doesn't know."""
        if question.epoch != self._epoch:
            return question.epoch < self._epoch
        if self._view.limits:
            return True
        if any(state.is_limiting for state in self._view.quotas.values()):
            return True
        return question.number < self._number

    def make_news(self, question: WatchFleet, now: float) -> FleetNews:
        """Returns what has changed since a question's number, or everything."""
        age = max(now - self._view.updated_at, 0.0)
        is_whole = self._is_too_far_behind(question)
        return FleetNews(
            self._epoch,
            # One that has asked the owner itself may be ahead.
            self._number if is_whole else max(self._number, question.number),
            is_whole,
            self._everything() if is_whole else self._since(question.number),
            self._view.fronts,
            self._view.busy,
            self._settled,
            age,
            self._view.quotas,
            self._view.limits,
            self._view.sends,
            knows_uses=self._view.knows_uses,
        )

    def _is_too_far_behind(self, question: WatchFleet) -> bool:
        if question.epoch != self._epoch or question.number <= 0:
            return True
        oldest = self._changes[0][0] if self._changes else self._number + 1
        return question.number < oldest - 1

    def _since(self, number: int) -> tuple[UpstreamChange, ...]:
        return tuple(change for n, change in self._changes if n > number)

    def _everything(self) -> tuple[UpstreamChange, ...]:
        return tuple(
            UpstreamChange(upstream.name, upstream)
            for upstream in self._view.confirmed_upstreams()
        )
