"""Runs the command line: `python -m ridgesill`."""

import signal
import sys

# Roles to which the platform sends SIGHUP when their settings have changed. The
# signal may arrive while the imports below still run, before its handler is
# installed, and would then terminate the process.
_ROLES_WITH_SIGHUP = ("front", "control", "node")

if sys.argv[1:2] and sys.argv[1] in _ROLES_WITH_SIGHUP:
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from ridgesill.app.cli import main  # noqa: E402 - SIGHUP must be ignored first

main()
