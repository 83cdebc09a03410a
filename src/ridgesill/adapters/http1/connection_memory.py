"""Bounds what the connections of a process hold in memory together."""

from typing import Protocol

from eliot import log_message

from ridgesill.core.serving.held_bytes import HeldBytes

# Share of the VM's memory that connections may hold. A body is held up to three
# times over while it is forwarded.
_HELD_SHARE = 0.125
# The bound where the VM's memory isn't known, in bytes.
_DEFAULT_BYTES = 64 * 2**20
# Smaller amounts aren't counted, so that ordinary requests cost nothing here.
_COUNTED_BYTES = 16 * 1024


class Holder(Protocol):
    """A connection, as far as what it holds is concerned."""

    @property
    def name(self) -> str:
        """Address of the client."""

    def shed(self) -> None:
        """Refuses the request that is received, or ends the connection."""


class ConnectionMemory:
    """Counts what connections hold, and sheds those that hold most.

    Requests in progress count, but no connection is shed because of them: these
    requests may have run.

    Args:
        vm_bytes: memory of the VM; 0 if unknown.
    """

    def __init__(self, vm_bytes: float = 0.0) -> None:
        self._bound = vm_bytes * _HELD_SHARE or _DEFAULT_BYTES
        # Bytes of the request in progress by connection.
        self._requests: dict[str, int] = {}
        self._in_progress = 0
        self._held = HeldBytes(self._bound)
        self._holders: dict[str, Holder] = {}

    @property
    def total(self) -> int:
        """Bytes that all connections hold."""
        return self._held.total + self._in_progress

    def reserve(self, body_bytes: int) -> None:
        """Makes room for at least two bodies of the largest size.

        Args:
            body_bytes: the largest size of a body.
        """
        self._bound = max(self._bound, 2.0 * body_bytes)

    def record(self, holder: Holder, held: int) -> None:
        """Replaces what a connection holds; sheds others, or it, if too much.

        Args:
            holder: the connection.
            held: bytes that it holds, without requests in progress.
        """
        if held < _COUNTED_BYTES:
            self.discard(holder)
            return
        key = _make_key(holder)
        self._holders[key] = holder
        self._held.record(key, "", held)
        self._shed_excess()

    def discard(self, holder: Holder) -> None:
        """Removes a connection that holds nothing."""
        key = _make_key(holder)
        if self._holders.pop(key, None) is not None:
            self._held.discard(key)

    def admits(self, held: int) -> bool:
        """Whether a request may be in progress beside all that is held.

        Args:
            held: bytes that its head and body take.
        """
        is_small = held < _COUNTED_BYTES
        return is_small or not self.total or self.total + held <= self._bound

    def begin_request(self, holder: Holder, held: int) -> None:
        """Counts a request that is in progress from now on.

        Args:
            holder: its connection.
            held: bytes that its head and body take.
        """
        self._requests[_make_key(holder)] = held
        self._in_progress += held

    def end_request(self, holder: Holder) -> None:
        """Removes the request that a connection had in progress."""
        self._in_progress -= self._requests.pop(_make_key(holder), 0)

    def _holds_alone(self, key: str) -> bool:
        """Whether one connection holds all that is large enough to count."""
        others_in_progress = self._in_progress - self._requests.get(key, 0)
        return len(self._holders) == 1 and others_in_progress < _COUNTED_BYTES

    def _shed_excess(self) -> None:
        self._held.bound = self._bound - self._in_progress
        while self._holders and (key := self._held.find_excess()):
            if self._holds_alone(key):
                # A single large answer is delivered to a slow client.
                return
            holder = self._holders.pop(key)
            log_message(
                "channel:shed",
                peer=holder.name,
                held=self._held.count(key),
                total=self.total,
                bound=self._bound,
            )
            self._held.discard(key)
            holder.shed()


def _make_key(holder: Holder) -> str:
    """Returns what identifies a connection among those of all listeners."""
    return str(id(holder))
