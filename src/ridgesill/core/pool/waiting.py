"""Queue of the requests that wait for a runner, fair between teams."""

import attrs

from ridgesill.core.pool.messages import Admit


@attrs.define
class Waiter:
    """A waiting request.

    Attributes:
        admit: the request for admission.
        arrived_at: when it arrived, in seconds.
        virtual_start: virtual start time; fair queueing serves the lowest.
        is_stalled: whether it has had to wait for a load.
        missing_since: when it started to wait for a load, in seconds.
    """

    admit: Admit
    arrived_at: float
    virtual_start: float
    is_stalled: bool = False
    missing_since: float = 0.0

    @property
    def deadline(self) -> float:
        """The time by which the request must have started, in seconds."""
        return self.arrived_at + self.admit.patience

    @property
    def order(self) -> tuple[int, float, float]:
        """Sort key: by priority, then by virtual start, then by arrival."""
        return (self.admit.priority, self.virtual_start, self.arrived_at)


class WaitingQueue:
    """Start-time fair queueing over teams, grouped by adapter.

    Each request of a team advances the team's virtual time by the inverse of
    its weight, so a burst of one team doesn't delay other teams.
    """

    def __init__(self) -> None:
        self._groups: dict[str, list[Waiter]] = {}
        self._finish_times: dict[str, float] = {}
        self._virtual_time = 0.0
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def add(self, admit: Admit, now: float) -> Waiter:
        """Adds a request to the queue."""
        start = max(self._virtual_time, self._finish_times.get(admit.team, 0.0))
        self._finish_times[admit.team] = start + 1.0 / max(admit.weight, 0.01)
        waiter = Waiter(admit, now, start)
        group = self._groups.setdefault(admit.adapter, [])
        group.append(waiter)
        group.sort(key=_sort_key)
        self._count += 1
        return waiter

    def remove(self, waiter: Waiter) -> None:
        """Removes a request, whether it is served or not."""
        group = self._groups[waiter.admit.adapter]
        group.remove(waiter)
        self._count -= 1
        if not group:
            del self._groups[waiter.admit.adapter]
        if not self._count:
            self._finish_times.clear()
            self._virtual_time = 0.0

    def serve(self, waiter: Waiter) -> None:
        """Removes a request to be served and advances the virtual time."""
        self._virtual_time = max(self._virtual_time, waiter.virtual_start)
        self.remove(waiter)

    def groups(self) -> list[list[Waiter]]:
        """Returns the groups in the order of their first requests."""
        return sorted(self._groups.values(), key=lambda g: g[0].order)

    def group(self, adapter: str) -> list[Waiter]:
        """Returns the requests that wait for an adapter, in order."""
        return self._groups.get(adapter, [])

    def all(self) -> list[Waiter]:
        """Returns all waiting requests."""
        return [w for group in self._groups.values() for w in group]

    def find(self, request: str) -> Waiter | None:
        """Returns the waiting request with an id; None if it isn't waiting."""
        for waiter in self.all():
            if waiter.admit.request == request:
                return waiter
        return None

    def find_least_important(self) -> Waiter | None:
        """Returns the request that would be served last, to shed it first."""
        return max(self.all(), key=_sort_key, default=None)


def _sort_key(waiter: Waiter) -> tuple[int, float, float]:
    return waiter.order
