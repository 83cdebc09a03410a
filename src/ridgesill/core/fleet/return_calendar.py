"""When the callers that an overloaded service refuses should return.

Load pattern: 59 fronts refuse 245 calls a second for some seconds, and all tell
their callers to retry after the same time. The callers return together, meet
the same overload, and are refused for good. Fronts can't avoid it by
themselves, since none knows how many callers the others have refused.
"""

import math

import attrs

# Bookings are kept by time slices of this length, in seconds.
_SLICE_SECONDS = 0.1
# Share of the callers for whom a window has room at least. Room is counted from
# its end on: a little of it before a time with many bookings would stretch the
# window over that time.
_ROOM_SHARE = 0.8
# How long refused callers wait at most unless the owner states it, in seconds:
# a third of the 4.2 s for which clients of plain services wait.
_LONGEST_WAIT_SECONDS = 1.4
# Shortest window, in seconds: room for many callers at once is no reason to
# have them return at one moment.
_MIN_WINDOW_SECONDS = 0.25
# Time until callers that are refused now are booked here, in seconds: the age
# of news at a front, until its next report, and until the owner's next update.
# All callers refused in the meantime are told of the same room.
_BOOKING_LAG_SECONDS = 0.5
# Least number of callers for whom a window has room.
_MIN_ROOM = 1.0
# Time constant of the moving mean of the rate of refusals, in seconds.
_REFUSALS_MEAN_SECONDS = 0.5
# Time after which a caller that hasn't returned isn't expected anymore, in
# seconds: it has given up, or its front has died.
_OVERDUE_SECONDS = 1.0


@attrs.frozen
class ReturnWindow:
    """When callers that are refused now should return.

    Attributes:
        starts_in: seconds until there is room for them.
        lasts: seconds over which they should spread their return.
    """

    starts_in: float
    lasts: float


class ReturnCalendar:
    """Expected returns of one service's refused callers.

    Callers count as told to return within the window found last, evenly spread
    over it, and not later than clients wait.

    Args:
        longest_wait: seconds after which a front tells refused callers to
            return at the latest.
    """

    def __init__(self, longest_wait: float = _LONGEST_WAIT_SECONDS) -> None:
        self._longest_wait = longest_wait
        self._slices = math.ceil(longest_wait / _SLICE_SECONDS)
        # Number of callers expected, by number of the time slice.
        self._bookings: dict[int, float] = {}
        self._free_rate = 0.0
        self._refusals_rate = 0.0
        self._refusals_at = float("-inf")
        self._coming_refusals_rate = 0.0
        self._window = ReturnWindow(0.0, _MIN_WINDOW_SECONDS)

    @property
    def expected(self) -> float:
        """Number of callers that are expected to return."""
        return sum(self._bookings.values())

    def record_refused(self, count: int, now: float) -> None:
        """Books the return of callers that were refused for the first time.

        Args:
            count: number of callers; those that were refused before don't
                return again.
            now: clock time, in seconds.
        """
        if count <= 0:
            return
        has_room = self._window.starts_in < self._longest_wait
        mean = self._decayed_refusals_rate(now)
        self._refusals_rate = mean + count / _REFUSALS_MEAN_SECONDS
        self._refusals_at = now
        if not has_room:
            # They are told to return as late as clients wait, without a
            # booking, and compete with new callers then.
            return
        starts_in = self._window.starts_in
        ends_in = min(starts_in + self._window.lasts, self._longest_wait)
        first = _find_slice(now + starts_in)
        slices = max(_find_slice(now + ends_in) - first, 1)
        for number in range(first, first + slices):
            booked = self._bookings.get(number, 0.0)
            self._bookings[number] = booked + count / slices

    def record_returned(self, count: int, now: float) -> None:
        """Removes callers that have returned, those due first at first."""
        left = float(count)
        for number in sorted(self._bookings):
            if left <= 0:
                break
            returned = min(self._bookings[number], left)
            left -= returned
            self._bookings[number] -= returned
        self._drop_old(now)

    def update(
        self, free_rate: float, now: float, refusals_rate: float = 0.0
    ) -> None:
        """Sets the rate that is available to returning callers.

        Args:
            free_rate: requests a second.
            now: clock time, in seconds.
            refusals_rate: new callers a second that fronts are about to refuse
                by the latest decisions. As an overload begins, reports show
                the first refusals only 0.5 s later.
        """
        self._free_rate = max(free_rate, 0.0)
        self._coming_refusals_rate = refusals_rate
        self._drop_old(now)

    def find_window(self, now: float) -> ReturnWindow:
        """Returns the time with room for the callers that are refused now.

        Without room for most of them as long as clients wait, the window starts
        after that time.
        """
        wanted = self._expected_refusals_rate(now) * _BOOKING_LAG_SECONDS
        current = _find_slice(now)
        spares = self._find_spares(current, wanted)
        if sum(spares) < max(wanted, _MIN_ROOM):
            self._window = ReturnWindow(self._longest_wait, _MIN_WINDOW_SECONDS)
            return self._window
        last = current + len(spares)
        first = last - _count_needed(spares, _ROOM_SHARE * wanted)
        self._window = _make_window(first, last, now)
        return self._window

    def _find_spares(self, current: int, wanted: float) -> list[float]:
        """Returns the free room of each time slice until all find room."""
        slice_room = self._free_rate * _SLICE_SECONDS
        # Callers that are due but haven't come may all come now.
        waiting = sum(n for at, n in self._bookings.items() if at < current)
        spares: list[float] = []
        found = 0.0
        for number in range(current, current + self._slices):
            waiting += self._bookings.get(number, 0.0) - slice_room
            spares.append(max(-waiting, 0.0))
            waiting = max(waiting, 0.0)
            found += spares[-1]
            if found >= max(wanted, _MIN_ROOM):
                break
        return spares

    def _expected_refusals_rate(self, now: float) -> float:
        recorded = self._decayed_refusals_rate(now)
        return max(recorded, self._coming_refusals_rate)

    def _decayed_refusals_rate(self, now: float) -> float:
        age = max(now - self._refusals_at, 0.0)
        return self._refusals_rate * math.exp(-age / _REFUSALS_MEAN_SECONDS)

    def _drop_old(self, now: float) -> None:
        oldest = _find_slice(now - _OVERDUE_SECONDS)
        for number, count in list(self._bookings.items()):
            if number < oldest or count <= 0:
                del self._bookings[number]


def _count_needed(spares: list[float], room: float) -> int:
    """Returns how many of the last slices have some room together."""
    found = 0.0
    for count, spare in enumerate(reversed(spares), 1):
        found += spare
        if found >= room:
            return count
    return len(spares)


def _find_slice(at: float) -> int:
    return math.floor(at / _SLICE_SECONDS)


def _make_window(first: int, last: int, now: float) -> ReturnWindow:
    """Returns the window from one slice to another."""
    starts_in = max(first * _SLICE_SECONDS - now, 0.0)
    lasts = last * _SLICE_SECONDS - now - starts_in
    return ReturnWindow(starts_in, max(lasts, _MIN_WINDOW_SECONDS))
