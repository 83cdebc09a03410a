"""Builds the program as one executable file, `dist/ridgesill`."""

import subprocess
import sys
from pathlib import Path

_ROOT = Path(__file__).parent.parent
_SITE = _ROOT / "build" / "site"
_OUTPUT = _ROOT / "dist" / "ridgesill"
_PIP = [sys.executable, "-m", "pip", "install", "-q"]
_PIP += ["--disable-pip-version-check", "--upgrade", "--target", str(_SITE)]


def build(output: Path = _OUTPUT) -> Path:
    """Builds the file and returns its path."""
    output.parent.mkdir(parents=True, exist_ok=True)
    requirements = str(_ROOT / "requirements" / "runtime.txt")
    subprocess.run(
        [*_PIP, "--require-hashes", "--no-deps", "-r", requirements],
        check=True,
    )
    subprocess.run(
        [*_PIP, "--no-deps", "--no-build-isolation", str(_ROOT)], check=True
    )
    subprocess.run(
        [
            sys.executable,
            "-m",
            "shiv",
            "--site-packages",
            str(_SITE),
            "--entry-point",
            "ridgesill.app.cli:main",
            "--python",
            "/usr/bin/env python3.11",
            "--reproducible",
            "--output-file",
            str(output),
        ],
        check=True,
    )
    return output


def main() -> int:
    """Builds the file and says where it is."""
    output = build()
    print(f"build: file={output} bytes={output.stat().st_size}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
