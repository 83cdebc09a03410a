"""Builds the program as one executable file, `dist/ridgesill`."""

import subprocess
import sys
from pathlib import Path

_ROOT = Path(__file__).parent.parent
_SITE_PACKAGES = _ROOT / "build" / "site"
_OUTPUT = _ROOT / "dist" / "ridgesill"
_PIP_INSTALL = [sys.executable, "-m", "pip", "install", "-q"]
_PIP_INSTALL += [
    "--disable-pip-version-check",
    "--upgrade",
    "--target",
    str(_SITE_PACKAGES),
]


def build(output: Path = _OUTPUT) -> Path:
    """Builds the executable file.

    Args:
        output: where the file is written.

    Returns:
        The path of the file.

    Raises:
        subprocess.CalledProcessError: pip or shiv failed.
    """
    output.parent.mkdir(parents=True, exist_ok=True)
    requirements = str(_ROOT / "requirements" / "runtime.txt")
    subprocess.run(
        [*_PIP_INSTALL, "--require-hashes", "--no-deps", "-r", requirements],
        check=True,
    )
    subprocess.run(
        [*_PIP_INSTALL, "--no-deps", "--no-build-isolation", str(_ROOT)],
        check=True,
    )
    subprocess.run(
        [
            sys.executable,
            "-m",
            "shiv",
            "--site-packages",
            str(_SITE_PACKAGES),
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
    """Builds the executable file and prints its path and size."""
    output = build()
    print(f"build: file={output} bytes={output.stat().st_size}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
