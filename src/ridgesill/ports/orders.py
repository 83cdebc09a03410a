"""Interface for sending orders to runners."""

from typing import Protocol

from ridgesill.core.runners import Order

DONE = "done"
FAILED = "failed"
UNKNOWN = "unknown"


class Orders(Protocol):
    """Sends orders to runners."""

    async def send(self, order: Order) -> str:
        """Sends an order and waits for its result.

        Returns:
            `done`, `failed` if the order had no effect, or `unknown`.
        """
