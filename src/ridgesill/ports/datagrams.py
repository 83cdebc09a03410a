"""Interface for small messages to other nodes that may be lost."""

from collections.abc import Callable
from typing import Any, Protocol


class Datagrams(Protocol):
    """Sends and receives small messages.

    Attributes:
        receiver: takes the sender's address and each message that arrives.
    """

    receiver: Callable[[str, Any], None]

    def send(self, address: str, message: Any) -> None:
        """Sends a message, which may be lost on its way."""
