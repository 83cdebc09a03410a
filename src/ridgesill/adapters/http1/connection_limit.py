"""Bounds the connections that clients of a process keep open together."""

import resource
import sys
from typing import Protocol

from eliot import log_message

# Share of the descriptors that clients' connections may take. Upstreams, other
# nodes and files need the rest.
_CLIENTS_SHARE = 0.75
# Interval at which closed connections are logged, at the most, in seconds.
_LOG_INTERVAL_SECONDS = 1.0


class WaitingConnection(Protocol):
    """A connection, as far as it waits for its client."""

    @property
    def name(self) -> str:
        """Address of the client."""

    def make_room(self) -> None:
        """Ends the connection; refuses a request that is being received."""


class ConnectionLimit:
    """Closes connections that wait for their clients when there are too many.

    Connections that have brought no request yet and those that wait for the
    next one are two groups. The one that has waited longest of the larger group
    goes first: neither clients that connect and send nothing, nor those that
    stay after a request, can take the places of the other group. Connections
    whose requests are in progress are never closed.

    Args:
        descriptors: descriptors of the VM; those of the process if 0.
    """

    def __init__(self, descriptors: int = 0) -> None:
        self._bound = int(
            (descriptors or _read_process_limit()) * _CLIENTS_SHARE
        )
        self._open: set[WaitingConnection] = set()
        # Connections without a request in progress, the longest wait first.
        self._unused: dict[WaitingConnection, None] = {}
        self._idle: dict[WaitingConnection, None] = {}
        self._closed_count = 0
        self._logged_at = float("-inf")

    @property
    def count(self) -> int:
        """Number of open connections."""
        return len(self._open)

    def add(self, connection: WaitingConnection, now: float) -> None:
        """Adds a new connection; closes another one if there are too many.

        Nothing is closed if all others have requests in progress.

        Args:
            connection: the connection.
            now: the loop's clock, in seconds.
        """
        self._open.add(connection)
        while len(self._open) > self._bound and (self._unused or self._idle):
            self._close(self._choose_victim(), now)
        self._unused[connection] = None

    def _choose_victim(self) -> WaitingConnection:
        larger = (
            self._unused if len(self._unused) > len(self._idle) else self._idle
        )
        return next(iter(larger))

    def begin_request(self, connection: WaitingConnection) -> None:
        """Records that a request of a connection is in progress."""
        self._unused.pop(connection, None)
        self._idle.pop(connection, None)

    def end_request(self, connection: WaitingConnection) -> None:
        """Records that a connection waits for its client."""
        if connection in self._open:
            self._idle[connection] = None

    def discard(self, connection: WaitingConnection) -> None:
        """Removes a connection that has ended."""
        self.begin_request(connection)
        self._open.discard(connection)

    def _close(self, victim: WaitingConnection, now: float) -> None:
        self.discard(victim)
        self._log_closed(victim, now)
        victim.make_room()

    def _log_closed(self, victim: WaitingConnection, now: float) -> None:
        self._closed_count += 1
        if now - self._logged_at < _LOG_INTERVAL_SECONDS:
            return
        log_message(
            "channel:closed_for_room",
            peer=victim.name,
            count=self._closed_count,
            open=len(self._open),
            bound=self._bound,
        )
        self._logged_at = now
        self._closed_count = 0


def _read_process_limit() -> int:
    """Returns how many descriptors this process may have."""
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return sys.maxsize if limit == resource.RLIM_INFINITY else limit
