"""Runs ridgesill from the checkout: adds `src` to Python's path first."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from ridgesill.app.cli import main  # noqa: E402

main()
