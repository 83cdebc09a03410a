"""Orders to runners."""

from typing import Protocol

from ridgesill.core.runners import Order

DONE = "done"
FAILED = "failed"
UNKNOWN = "unknown"


class Orders(Protocol):
    """Carries orders out."""

    async def send(self, order: Order) -> str:
        """Returns `done`, `failed` (it had no effect) or `unknown`."""
