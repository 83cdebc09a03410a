"""Tests of the driver of a replica; the replica has tests of its own."""

import asyncio
import errno
import random

import pytest

from ridgesill.app.log_driver import LogDriver
from ridgesill.core.commands import PutRoutes
from ridgesill.core.log.messages import Entry, HardState
from ridgesill.core.log.replica import make_initial_snapshot
from testing.app.control_world import MemoryStorage, _run_inline

pytestmark = pytest.mark.looptime


class FullStorage(MemoryStorage):
    """Storage whose writes fail while `is_full` is set."""

    is_full = False

    def append(
        self, hard_state: HardState | None, entries: list[Entry]
    ) -> None:
        if self.is_full:
            raise OSError(errno.ENOSPC, "No space left on device")
        super().append(hard_state, entries)


class TestFullDisk:
    async def test_nothing_is_acknowledged_until_the_write_succeeds(
        self,
    ) -> None:
        storage = FullStorage("a.0", make_initial_snapshot(("a.0",), b""))
        driver = LogDriver(
            storage,
            lambda _to, _message: None,
            lambda: None,
            run_blocking=_run_inline,
            rng=random.Random(1),
        )
        driver_task = asyncio.create_task(driver.run())
        while not driver.is_leader:
            await asyncio.sleep(0.1)
        storage.is_full = True
        answer = asyncio.create_task(driver.propose(PutRoutes(1, b"x")))
        await asyncio.sleep(5.0)
        assert not answer.done()
        assert not driver_task.done()
        storage.is_full = False
        await asyncio.wait_for(answer, 2.0)
        assert driver.state.routes_version == 1
        driver_task.cancel()
