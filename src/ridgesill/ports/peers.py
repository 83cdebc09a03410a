"""Interface for messages to other nodes."""

from typing import Any, Protocol


class PeerError(Exception):
    """A message to another node got no answer.

    Attributes:
        step: the operation that failed.
        peer: address of the other node.
    """

    def __init__(self, step: str, peer: str, detail: str) -> None:
        super().__init__(f"{step} with {peer}: {detail}")
        self.step = step
        self.peer = peer


class Peers(Protocol):
    """Sends messages to other nodes; delivery is not guaranteed."""

    def send(self, address: str, message: Any) -> None:
        """Sends a message that expects no answer."""

    async def call(self, address: str, message: Any, timeout: float) -> Any:
        """Sends a message and returns its answer.

        Raises:
            PeerError: no answer arrived within `timeout` seconds.
        """
