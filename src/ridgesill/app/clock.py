"""An event loop whose clock also counts while the machine is suspended."""

import asyncio
import time


class BootClockLoop(asyncio.SelectorEventLoop):
    """An event loop that uses the boot-time clock.

    Leases are checked against `time()`. The monotonic clock stops while a VM
    is suspended, so an owner could still use a lease that has expired and
    been granted to another owner.
    """

    def time(self) -> float:
        """Returns the seconds since the machine booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
