"""Measures what slow readers cost a front, on real processes.

Clients that read a byte a second each are sent 20 KB a second for 15 s; 100
others read at once. The front's VM has 200 MB, of which a quarter may hold
answers.
"""

import asyncio
import sys
import tempfile
from pathlib import Path

from testing.readers_world import ReadersWorld

_SLOW_CLIENTS = (0, 100, 1000)
_FAST_CLIENTS = 100


async def _measure(folder: Path, slow: int) -> str:
    """Returns a line of the result for a number of slow clients."""
    world = ReadersWorld(folder)
    try:
        await world.start()
        world.upstream.large_part_seconds = 0.5
        await world.add_slow(slow)
        seconds = await world.measure_fast(_FAST_CLIENTS)
        await asyncio.sleep(10.0)
        again = await world.measure_fast(_FAST_CLIENTS)
        return (
            f"{slow:>5} slow: p95={seconds:.3f} s, later p95={again:.3f} s, "
            f"peak memory={world.peak_memory_bytes() / 1e6:.0f} MB, "
            f"disconnected={world.count_disconnected()}"
        )
    finally:
        world.stop()


def main() -> int:
    """Measures and prints a line for each number of slow clients."""
    for slow in _SLOW_CLIENTS:
        with tempfile.TemporaryDirectory() as name:
            print(asyncio.run(_measure(Path(name), slow)), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
