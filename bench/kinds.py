"""Plays days of our own, one kind of trouble each, on the users' bench.

    python -m bench.kinds PROGRAM SITE [--only KIND ...] [--jobs N]

The day around the trouble is the first one of the site file, which stays where
it is. Prints a row for a page of results for each day.
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

_LIST = Path(__file__).with_name("kinds.toml")
_DAY = re.compile(r"^\[\[day\]\]$", re.MULTILINE)
_NO_FAULTS = "faults = []"
_FLOORS = re.compile(r"^(goal|floor_\w+) = .*$", re.MULTILINE)
# A day takes a minute of processor time on the small sites.
_PLAY_SECONDS = 600


@attrs.frozen
class Day:
    """A day with one kind of trouble."""

    name: str
    text: str


def read_days(site: Path, only: list[str]) -> list[Day]:
    """Returns the days to play."""
    first = _DAY.split(site.read_text(), maxsplit=2)[1]
    kinds = tomllib.loads(_LIST.read_text())
    chosen = {k: v for k, v in kinds.items() if not only or k in only}
    return [
        _make(first, kind, strength, entries)
        for kind, entries in chosen.items()
        for strength in ("weak", "strong")
    ]


def _make(first: str, kind: str, strength: str, entries: dict) -> Day:
    name = f"{kind}-{strength}"
    lines = [_write_entry(kind, entry) for entry in entries[strength]]
    if entries.get("plan"):
        text = first.replace("plan = [\n", "plan = [\n" + "".join(lines), 1)
    else:
        text = first.replace(_NO_FAULTS, f"faults = [\n{''.join(lines)}]", 1)
    text = re.sub(r'^name = ".*"$', f'name = "{name}"', text, flags=re.M)
    return Day(name, f"[[day]]{_FLOORS.sub('', text)}")


def _write_entry(kind: str, entry: dict[str, Any]) -> str:
    fields = {"kind": kind, **entry}
    written = ", ".join(
        f'{key} = "{value}"' if isinstance(value, str) else f"{key} = {value}"
        for key, value in fields.items()
    )
    return f"  {{ {written} }},\n"


def play(program: str, site: Path, day: Day) -> str:
    """Plays a day; returns its row."""
    with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
        file.write(day.text)
        file.flush()
        done = subprocess.run(
            [program, "run", str(site), file.name, "--why", f"own: {day.name}"],
            capture_output=True,
            text=True,
            timeout=_PLAY_SECONDS,
            check=False,
        )
    lines = done.stdout.splitlines()
    row = next((x for x in lines if x.startswith(day.name)), "")
    fields = row.split()
    rules = [
        x.strip() for x in lines if re.match(r"^[A-Z]{3,}\b.*:", x.strip())
    ]
    worth = fields[3] if len(fields) > 3 else "not played"
    return f"| {day.name} | {worth} | {'; '.join(rules) or 'kept'} |"


def main() -> int:
    """Plays all days, some at a time."""
    parser = argparse.ArgumentParser(prog="bench.kinds")
    parser.add_argument("program")
    parser.add_argument("site", type=Path)
    parser.add_argument("--only", nargs="*", default=[])
    parser.add_argument("--jobs", type=int, default=4)
    given = parser.parse_args()
    days = read_days(given.site, given.only)
    with concurrent.futures.ThreadPoolExecutor(given.jobs) as pool:
        plays = [
            pool.submit(play, given.program, given.site, day) for day in days
        ]
        for done in concurrent.futures.as_completed(plays):
            print(done.result(), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
