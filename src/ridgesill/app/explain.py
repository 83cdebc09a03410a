"""Gathers from logs what became of one request, and says it in a sentence."""

import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

# How far from the request's own lines the owner's lines on its adapter are
# still of interest, in seconds; clocks of VMs differ by some milliseconds.
_NEARBY_SECONDS = 0.5
_ENDS = {
    "served": "was served",
    "refused": "was refused, and has not run",
    "failed": "got the upstream's own failure",
    "unknown": "may have run; its answer was lost",
    "cut": "was cut off in the middle of its answer",
    "client_left": "was given up by its client",
}


class NoSuchRequestError(Exception):
    """No line of the files names the request."""


def read_lines(paths: Iterable[str]) -> list[dict[str, Any]]:
    """Returns the JSON lines of files, by time; others are passed over.

    Several may stand in one line of a file, where a reader of many processes
    has joined them.
    """
    lines: list[dict[str, Any]] = []
    for path in paths:
        for text in Path(path).read_text(errors="replace").splitlines():
            lines.extend(_objects(text))
    return sorted(lines, key=_time)


def _objects(text: str) -> Iterator[dict[str, Any]]:
    decoder = json.JSONDecoder()
    at = text.find("{")
    while at >= 0:
        try:
            found, end = decoder.raw_decode(text, at)
        except ValueError:
            end = at + 1
        else:
            if "message_type" in found:
                yield found
        at = text.find("{", end)


def explain(request: str, lines: list[dict[str, Any]]) -> str:
    """Returns the lines on a request in order, and what became of it.

    Raises:
        NoSuchRequestError: no line names it.
    """
    own = [line for line in lines if line.get("request") == request]
    if not own:
        raise NoSuchRequestError(
            f"no line names request {request}; give the logs of every front "
            "and control node, and look for `log:dropped` lines near its time"
        )
    nearby = _lines_nearby(own, lines)
    shown = sorted([*own, *nearby], key=_time)
    return "\n".join([*map(_show, shown), _conclude(request, own)])


def _lines_nearby(
    own: list[dict[str, Any]], lines: list[dict[str, Any]]
) -> list[dict[str, Any]]:
    """Returns other processes' lines on what the request needed."""
    artifacts = {line["artifact"] for line in own if line.get("artifact")}
    upstreams = {line["upstream"] for line in own if line.get("upstream")}
    ended = own[-1]
    began_at = _time(ended) - float(ended.get("seconds", 0.0))
    first, last = began_at - _NEARBY_SECONDS, _time(ended) + _NEARBY_SECONDS
    return [
        line
        for line in lines
        if first <= _time(line) <= last
        and "request" not in line
        and _concerns(line, artifacts, upstreams)
    ]


def _concerns(
    line: dict[str, Any], artifacts: set[str], upstreams: set[str]
) -> bool:
    kind = line["message_type"]
    if kind in ("fleet:order", "fleet:loaded"):
        return line.get("artifact") in artifacts
    if kind.startswith("fleet:upstream"):
        return line.get("upstream") in upstreams
    return kind in (
        "fleet:owner_lost",
        "fleet:owner_regained",
        "fleet:owned",
        "fleet:given_up",
        "front:configuration",
    )


def _time(line: dict[str, Any]) -> float:
    return float(line.get("timestamp", 0.0))


def _show(line: dict[str, Any]) -> str:
    rest = " ".join(
        f"{key}={value}"
        for key, value in line.items()
        if key not in ("timestamp", "vm", "message_type", "request")
        and value not in ("", None)
    )
    kind = line["message_type"]
    return f"{_time(line):.4f} {line.get('vm', '')} {kind} {rest}"


def _conclude(request: str, own: list[dict[str, Any]]) -> str:
    ends = [line for line in own if line["message_type"] == "request:end"]
    if not ends:
        return f"{request}: no end is logged; its front may have been lost"
    end = ends[-1]
    said = _ENDS.get(str(end.get("outcome")), str(end.get("outcome")))
    parts = [f"{request} {said} after {end.get('seconds')} s"]
    if end.get("reason"):
        parts.append(f"because of: {end['reason']}")
    if end.get("waited"):
        parts.append(f"it waited {end['waited']} s for {end.get('artifact')}")
    failed = [x for x in own if x["message_type"] == "request:attempt_failed"]
    if failed:
        parts.append(f"{len(failed)} of its attempts failed")
    return "; ".join(parts)
