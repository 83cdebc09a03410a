"""The event loop of a process, on a clock that freezing does not stop."""

import asyncio
import time


class BootClockLoop(asyncio.SelectorEventLoop):
    """An event loop whose time also counts while the machine is suspended.

    Leases are checked on `time()`; with the monotonic clock of a suspended
    VM, an owner could believe in a lease that has long been granted anew.
    """

    def time(self) -> float:
        """Returns seconds since the machine started."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
