"""Log lines as JSON, by eliot."""

import sys

import eliot


def open_log(path: str) -> None:
    """Sends log lines to a file, or to standard error."""
    target = open(path, "a", buffering=1) if path else sys.stderr  # noqa: SIM115
    eliot.to_file(target)
