"""Runs the command line: `python -m ridgesill`."""

from ridgesill.app.cli import main

main()
