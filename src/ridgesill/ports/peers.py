"""Messages to other nodes."""

from typing import Any, Protocol


class PeerError(Exception):
    """A message that got no answer.

    Attributes:
        step: what was being done.
        peer: the address it was done with.
    """

    def __init__(self, step: str, peer: str, detail: str) -> None:
        super().__init__(f"{step} with {peer}: {detail}")
        self.step = step
        self.peer = peer


class Peers(Protocol):
    """Sends messages; delivery is never assured."""

    def send(self, address: str, message: Any) -> None:
        """Sends a message that expects no answer."""

    async def call(self, address: str, message: Any, timeout: float) -> Any:
        """Returns the answer to a message.

        Raises:
            PeerError: there was none within `timeout` seconds.
        """
