"""Bounds what connections hold for clients that read slowly."""

from collections import deque
from collections.abc import Collection
from typing import Protocol

from eliot import log_message

from ridgesill.core.serving.held_bytes import HeldBytes, find_link_backlog

# Span over which a connection's rate is measured, in seconds. Connections that
# take turns at a narrow link send nothing at all for some tenths of a second.
_RATE_SPAN_SECONDS = 0.5


class Connection(Protocol):
    """A connection to a client, as far as its unsent bytes are concerned."""

    @property
    def name(self) -> str:
        """Address of the client, unique among open connections."""

    @property
    def customer(self) -> str:
        """The customer of its latest request; empty if unknown."""

    @property
    def written(self) -> int:
        """Bytes written to the connection so far."""

    def measure_unsent(self) -> int:
        """Returns the bytes that the client hasn't acknowledged."""

    def abort(self) -> None:
        """Closes the connection and drops its unsent bytes."""


class SlowReaders:
    """Counts what connections hold and disconnects clients above the bound.

    Args:
        held: counts the bytes.

    Attributes:
        held: see above.
        link_backlog: bytes that waited at the VM's link at both of the last two
            scans. What one scan finds may be a single large answer; with three
            scans, 2 of 8 narrow links were found too late, after half a second.
        last_backlog: the same at the last scan alone.
    """

    def __init__(self, held: HeldBytes) -> None:
        self.held = held
        self.link_backlog = 0.0
        self.last_backlog = 0.0
        self._connections: dict[str, Connection] = {}
        # Time of each scan within the span, the last one before it, and the
        # bytes sent by connection until then.
        self._scans: deque[tuple[float, dict[str, int]]] = deque()

    def record(self, connection: Connection) -> None:
        """Counts what one connection holds; disconnects down to the bound."""
        self._connections[connection.name] = connection
        self._count(connection)
        self._disconnect_excess()

    def scan(self, connections: Collection[Connection], now: float) -> None:
        """Counts what all connections hold; disconnects down to the bound.

        Args:
            connections: all open connections.
            now: the loop's clock, in seconds.
        """
        scans = self._scans
        while len(scans) > 1 and now - scans[1][0] >= _RATE_SPAN_SECONDS:
            scans.popleft()
        began, sent_before = scans[0] if scans else (0.0, {})
        last_sent = scans[-1][1] if scans else {}
        span = max(now - began, 0.01)
        sent_now: dict[str, int] = {}
        backlog = 0.0
        self._connections = {each.name: each for each in connections}
        for name, connection in self._connections.items():
            if last_sent.get(name, 0) == connection.written:
                # Nothing was unsent or has been written since: most connections
                # are idle, and asking the kernel takes 10 microseconds.
                sent_now[name] = connection.written
                continue
            held = self._count(connection)
            sent = sent_now[name] = connection.written - held
            rate_bytes = sent - sent_before.get(name, 0)
            backlog += find_link_backlog(held, rate_bytes, span)
        scans.append((now, sent_now))
        self.link_backlog = min(backlog, self.last_backlog)
        self.last_backlog = backlog
        self.held.discard_except(self._connections)
        self._disconnect_excess()

    def _count(self, connection: Connection) -> int:
        """Counts what one connection holds, and returns it in bytes."""
        unsent = connection.measure_unsent()
        self.held.record(connection.name, connection.customer, unsent)
        return unsent

    def _disconnect_excess(self) -> None:
        while name := self.held.find_excess():
            connection = self._connections[name]
            counted = self.held.count(name)
            unsent = self._count(connection)
            if unsent < counted:
                # The client has read, or left, since it was counted.
                continue
            log_message(
                "front:slow_reader",
                peer=name,
                customer=connection.customer,
                held=unsent,
                total=self.held.total,
                bound=self.held.bound,
            )
            self.held.discard(name)
            del self._connections[name]
            connection.abort()
