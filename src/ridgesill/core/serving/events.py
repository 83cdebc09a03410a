"""Splits a stream of server-sent events and tracks event ids."""

EVENT_ENDS = (b"\n\n", b"\r\n\r\n")
_ID_FIELD = b"id:"
# The longest event that is buffered until its end, in bytes.
MAX_EVENT_BYTES = 1024 * 1024


class EventTooLongError(Exception):
    """An event has no end within `MAX_EVENT_BYTES`."""


class EventSplitter:
    """Splits a byte stream into complete events.

    Attributes:
        last_id: id of the last complete event; empty before the first one.
    """

    def __init__(self, last_id: str = "") -> None:
        self.last_id = last_id
        self._partial = b""

    def feed(self, data: bytes) -> bytes:
        """Adds data; returns the complete events and buffers the remainder.

        Raises:
            EventTooLongError: the remainder is longer than an event may be.
        """
        buffered = self._partial + data
        end = find_last_end(buffered)
        complete = buffered[:end]
        self._partial = buffered[end:]
        if len(self._partial) > MAX_EVENT_BYTES:
            self._partial = b""
            raise EventTooLongError(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        self._record_last_id(complete)
        return complete

    def _record_last_id(self, complete: bytes) -> None:
        for line in complete.split(b"\n"):
            if line.startswith(_ID_FIELD):
                self.last_id = line[len(_ID_FIELD) :].strip().decode("latin-1")

    def discard_partial(self) -> None:
        """Discards the buffered part of an event that was cut off."""
        self._partial = b""

    @property
    def partial(self) -> bytes:
        """The buffered part of an event that is not complete yet."""
        return self._partial


def find_last_end(data: bytes) -> int:
    """Returns the end of the last complete event; 0 if there is none."""
    return max(_find_end(data, terminator) for terminator in EVENT_ENDS)


def _find_end(data: bytes, terminator: bytes) -> int:
    """Returns the end of the last event with this terminator; 0 if none."""
    index = data.rfind(terminator)
    return index + len(terminator) if index >= 0 else 0
