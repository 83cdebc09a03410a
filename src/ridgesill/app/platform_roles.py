"""Runs the processes of the platform: fronts and control nodes."""

import asyncio
from collections.abc import Callable
from typing import Any

from ridgesill.adapters.logs import open_bounded_log
from ridgesill.app.clock import BootClockLoop
from ridgesill.platform.settings import (
    PlatformSettings,
    get_settings_path,
    read_settings,
)


def run_front() -> None:
    """Runs a front until SIGTERM."""
    from ridgesill.app.front_process import FrontProcess

    _run(FrontProcess)


def run_control() -> None:
    """Runs a control node until SIGTERM."""
    from ridgesill.app.control_process import ControlProcess

    _run(ControlProcess)


def _run(make: Callable[[PlatformSettings], Any]) -> None:
    """Reads the settings, opens the log and runs a process until it stops."""
    settings = read_settings(get_settings_path())

    async def run() -> None:
        log = open_bounded_log(settings.vm)
        try:
            await make(settings).run()
        finally:
            log.close()

    with asyncio.Runner(loop_factory=BootClockLoop) as runner:
        runner.run(run())
