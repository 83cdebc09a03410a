"""Times between the events of one answer.

They tell how fast an engine generates tokens, and how long it makes a stream
pause while it reads other prompts (prefill).

Load pattern: data arrives in parts of events, or with several events at once
when this process or the network was delayed. Events that were only read
together would count as gaps of zero, so that a busy front would report fast
engines.
"""

import attrs

from ridgesill.core.serving.events import EVENT_ENDS, find_last_end
from ridgesill.core.serving.load_reports import UpstreamCalls

# Least number of gaps of an answer that counts. The lower quartile of fewer
# gaps is the shortest one, which depends on chance.
_MIN_GAPS = 4
# Events that arrive within this time of each other count as one arrival, in
# seconds. No engine generates an event in less, while events that waited in
# this process are read some tens of microseconds apart.
_SAME_ARRIVAL_SECONDS = 0.001
# Gaps of one answer that are kept to find the typical one. It bounds the memory
# for answers of thousands of events.
_MAX_KEPT_GAPS = 256
# Length of the longest part of an event's end that may be missing, in bytes.
_MAX_PARTIAL_END = max(map(len, EVENT_ENDS)) - 1


@attrs.define
class StreamGaps:
    """Measures the times between the events of one answer, in seconds."""

    _gaps: list[float] = attrs.Factory(list)
    _longest: float = 0.0
    # Last bytes that may begin the end of an event.
    _tail: bytes = b""
    # Clock time of the last arrival; None before the first one.
    _arrived_at: float | None = None
    # Seconds between the last two arrivals; None if there was no earlier one.
    _gap: float | None = None
    # Number of events in the last arrival.
    _events: int = 0

    def record_data(self, data: bytes, arrived_at: float) -> None:
        """Records data that has arrived; ignores it if no event ends in it.

        Args:
            data: bytes of the answer, in order.
            arrived_at: clock time of its arrival, in seconds. It must not
                include a wait until the client has read earlier data.
        """
        data = self._tail + data
        events = sum(data.count(terminator) for terminator in EVENT_ENDS)
        rest = data[find_last_end(data) :]
        self._tail = rest[-_MAX_PARTIAL_END:]
        if events:
            self._record_events(events, arrived_at)

    def _record_events(self, events: int, arrived_at: float) -> None:
        previous_at = self._arrived_at
        if previous_at is not None:
            gap = arrived_at - previous_at
            if gap < _SAME_ARRIVAL_SECONDS:
                self._events += events
                return
            self._keep_gap()
            self._gap = gap
        self._arrived_at = arrived_at
        self._events = events

    def _keep_gap(self) -> None:
        """Divides the time before the last arrival among its events."""
        if self._gap is None:
            return
        self._longest = max(self._longest, self._gap)
        room = _MAX_KEPT_GAPS - len(self._gaps)
        self._gaps += [self._gap / self._events] * min(self._events, room)
        self._gap = None

    def restart(self) -> None:
        """Leaves out the gap before the next event.

        Called after a wait in which data may have arrived unnoticed.
        """
        self._keep_gap()
        self._arrived_at = None

    def make_calls(self) -> UpstreamCalls | None:
        """Returns the report on a stream that has ended.

        Returns:
            The typical gap, which is the lower quartile, and the longest one;
            None if the answer had too few gaps. Gaps while other prompts were
            read, or in a short slow period, are above the lower quartile.
        """
        self._keep_gap()
        if len(self._gaps) < _MIN_GAPS:
            return None
        quartile = sorted(self._gaps)[(len(self._gaps) - 1) // 4]
        return UpstreamCalls(
            paced=1, typical_gaps=quartile, longest_gaps=self._longest
        )
