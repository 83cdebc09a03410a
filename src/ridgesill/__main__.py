"""Runs the command line: `python -m ridgesill`."""

import signal
import sys

# Roles that a platform tells of changed settings by SIGHUP. It may come right
# after a start, while the modules below are still being imported, and would
# then end the process.
_TOLD_BY_HANGUP = ("front", "control", "node")

if sys.argv[1:2] and sys.argv[1] in _TOLD_BY_HANGUP:
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from ridgesill.app.cli import main  # noqa: E402 - see above

main()
