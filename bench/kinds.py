"""Plays days with one kind of fault each in an emulation program.

    python -m bench.kinds PROGRAM SITE [--only KIND ...] [--jobs N]

PROGRAM is started as `PROGRAM run SITE DAY --why TEXT`. Each day is the first
one of the SITE file, with an entry of kinds.toml in its faults or, for planned
work, in its plan. The SITE file is not changed. Prints a Markdown table row for
each day.
"""

import argparse
import concurrent.futures
import re
import subprocess
import sys
import tempfile
import tomllib
from pathlib import Path
from typing import Any

import attrs

_KINDS_FILE = Path(__file__).with_name("kinds.toml")
_DAY_HEADER = re.compile(r"^\[\[day\]\]$", re.MULTILINE)
_NO_FAULTS = "faults = []"
_THRESHOLDS = re.compile(r"^(goal|floor_\w+) = .*$", re.MULTILINE)
# A day takes about a minute of processor time on a small site.
_TIMEOUT_SECONDS = 600


@attrs.frozen
class Day:
    """A day with one kind of fault.

    Attributes:
        name: the kind and the strength of the fault.
        text: the day in the TOML format of a site file.
    """

    name: str
    text: str


def read_days(site: Path, only: list[str]) -> list[Day]:
    """Returns a weak and a strong day for each kind of fault.

    Args:
        site: the site file, whose first day is the template.
        only: the kinds to return, or all if empty.
    """
    template = _DAY_HEADER.split(site.read_text(), maxsplit=2)[1]
    kinds = tomllib.loads(_KINDS_FILE.read_text())
    chosen = {k: v for k, v in kinds.items() if not only or k in only}
    return [
        _make_day(template, kind, strength, entries)
        for kind, entries in chosen.items()
        for strength in ("weak", "strong")
    ]


def _make_day(template: str, kind: str, strength: str, entries: dict) -> Day:
    name = f"{kind}-{strength}"
    lines = [_format_entry(kind, entry) for entry in entries[strength]]
    if entries.get("plan"):
        text = template.replace("plan = [\n", "plan = [\n" + "".join(lines), 1)
    else:
        text = template.replace(_NO_FAULTS, f"faults = [\n{''.join(lines)}]", 1)
    text = re.sub(r'^name = ".*"$', f'name = "{name}"', text, flags=re.M)
    return Day(name, f"[[day]]{_THRESHOLDS.sub('', text)}")


def _format_entry(kind: str, entry: dict[str, Any]) -> str:
    fields = {"kind": kind, **entry}
    formatted = ", ".join(
        f'{key} = "{value}"' if isinstance(value, str) else f"{key} = {value}"
        for key, value in fields.items()
    )
    return f"  {{ {formatted} }},\n"


def play_day(program: str, site: Path, day: Day) -> str:
    """Plays a day.

    Args:
        program: the path of the emulation program.
        site: the site file.
        day: the day to play.

    Returns:
        A table row with the name, the score and the broken rules.

    Raises:
        subprocess.TimeoutExpired: the day took longer than allowed.
    """
    with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
        file.write(day.text)
        file.flush()
        done = subprocess.run(
            [program, "run", str(site), file.name, "--why", f"own: {day.name}"],
            capture_output=True,
            text=True,
            timeout=_TIMEOUT_SECONDS,
            check=False,
        )
    lines = done.stdout.splitlines()
    row = next((x for x in lines if x.startswith(day.name)), "")
    fields = row.split()
    broken_rules = [
        x.strip() for x in lines if re.match(r"^[A-Z]{3,}\b.*:", x.strip())
    ]
    score = fields[3] if len(fields) > 3 else "not played"
    return f"| {day.name} | {score} | {'; '.join(broken_rules) or 'kept'} |"


def main() -> int:
    """Plays the chosen days, several at a time."""
    parser = argparse.ArgumentParser(prog="bench.kinds")
    parser.add_argument("program")
    parser.add_argument("site", type=Path)
    parser.add_argument("--only", nargs="*", default=[])
    parser.add_argument("--jobs", type=int, default=4)
    options = parser.parse_args()
    days = read_days(options.site, options.only)
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        plays = [
            pool.submit(play_day, options.program, options.site, day)
            for day in days
        ]
        for done in concurrent.futures.as_completed(plays):
            print(done.result(), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
