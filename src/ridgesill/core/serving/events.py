"""Server-sent events: whole events out of parts, and their ids."""

_ENDS = (b"\n\n", b"\r\n\r\n")
_ID = b"id:"


class EventSplitter:
    """Cuts a stream into whole events.

    Attributes:
        last_id: of the last whole event; empty before it.
    """

    def __init__(self, last_id: str = "") -> None:
        self.last_id = last_id
        self._rest = b""

    def feed(self, data: bytes) -> bytes:
        """Returns the whole events that are there now; keeps the rest."""
        buffered = self._rest + data
        end = max(_end_of_last(buffered, mark) for mark in _ENDS)
        whole = buffered[:end]
        self._rest = buffered[end:]
        self._note(whole)
        return whole

    def _note(self, whole: bytes) -> None:
        for line in whole.split(b"\n"):
            if line.startswith(_ID):
                self.last_id = line[len(_ID) :].strip().decode("latin-1")

    def discard_partial(self) -> None:
        """Forgets an event that was cut off."""
        self._rest = b""

    @property
    def partial(self) -> bytes:
        """What is left of an event that has not ended."""
        return self._rest


def _end_of_last(data: bytes, mark: bytes) -> int:
    """Returns where the last event that ends with a mark ends; 0 for none."""
    at = data.rfind(mark)
    return at + len(mark) if at >= 0 else 0
