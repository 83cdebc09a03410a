"""Collects the log lines of one request and summarises its outcome."""

import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

# Lines of other processes are shown if they are at most this many seconds
# before or after the request. Clocks of VMs differ by some milliseconds.
_CONTEXT_SECONDS = 0.5
_OUTCOME_TEXTS = {
    "served": "was served",
    "unverified": "was answered; nothing shows whether the answer is whole",
    "sent_on": "was sent on to another front",
    "sent_back": "was sent back by a front that can't serve it",
    "refused": "was refused, and has not run",
    "failed": "received an error response from the upstream",
    "unknown": "may have run; its answer was lost",
    "cut": "was cut off in the middle of its answer",
    "client_left": "was given up by its client",
}


class NoSuchRequestError(Exception):
    """No log line names the request."""


def read_lines(paths: Iterable[str]) -> list[dict[str, Any]]:
    """Returns the log lines in files, sorted by time; other text is ignored.

    One line of a file may hold several log lines, as when a reader of many
    processes has joined them.

    Raises:
        OSError: a file cannot be read.
    """
    lines: list[dict[str, Any]] = []
    for path in paths:
        for text in Path(path).read_text(errors="replace").splitlines():
            lines.extend(_parse_objects(text))
    return sorted(lines, key=_read_time)


def _parse_objects(text: str) -> Iterator[dict[str, Any]]:
    """Yields the JSON objects in a text that have a message type."""
    decoder = json.JSONDecoder()
    start = text.find("{")
    while start >= 0:
        try:
            found, end = decoder.raw_decode(text, start)
        except ValueError:
            end = start + 1
        else:
            if "message_type" in found:
                yield found
        start = text.find("{", end)


def explain(request: str, lines: list[dict[str, Any]]) -> str:
    """Returns a request's log lines in order, and a summary of its outcome.

    The other tries of the stream that it belongs to are included.

    Raises:
        NoSuchRequestError: no line names the request.
    """
    tries = _find_tries(request, lines)
    own_lines = [line for line in lines if line.get("request") in tries]
    if not any(line["request"] == request for line in own_lines):
        raise NoSuchRequestError(
            f"no line names request {request}; give the logs of every front "
            "and control node, and look for `log:dropped` lines near its time"
        )
    context = _find_context_lines(own_lines, lines)
    shown = sorted([*own_lines, *context], key=_read_time)
    summaries = [
        _summarise(name, [x for x in own_lines if x["request"] == name])
        for name in dict.fromkeys(line["request"] for line in own_lines)
    ]
    return "\n".join([*map(_format_line, shown), *summaries])


def _find_tries(request: str, lines: list[dict[str, Any]]) -> set[str]:
    """Returns the requests of the stream that a request began or took up."""
    first_tries = {
        line["resumes"]
        for line in lines
        if line.get("request") == request and line.get("resumes")
    }
    first_tries.add(request)
    takes = {
        line["request"]
        for line in lines
        if line.get("resumes") in first_tries and "request" in line
    }
    return first_tries | takes


def _find_context_lines(
    own_lines: list[dict[str, Any]], lines: list[dict[str, Any]]
) -> list[dict[str, Any]]:
    """Returns lines on the artifacts and upstreams that a request used.

    They come from other processes and are from the time of the request.
    """
    artifacts = {line["artifact"] for line in own_lines if line.get("artifact")}
    upstreams = {line["upstream"] for line in own_lines if line.get("upstream")}
    ended = own_lines[-1]
    started_at = _read_time(ended) - float(ended.get("seconds", 0.0))
    earliest, latest = (
        started_at - _CONTEXT_SECONDS,
        _read_time(ended) + _CONTEXT_SECONDS,
    )
    return [
        line
        for line in lines
        if earliest <= _read_time(line) <= latest
        and "request" not in line
        and _is_relevant(line, artifacts, upstreams)
    ]


def _is_relevant(
    line: dict[str, Any], artifacts: set[str], upstreams: set[str]
) -> bool:
    """Returns whether a line explains what happened to a request."""
    message_type = line["message_type"]
    if message_type in ("fleet:order", "fleet:loaded"):
        return line.get("artifact") in artifacts
    if message_type.startswith("fleet:upstream"):
        return line.get("upstream") in upstreams
    return message_type in (
        "fleet:owner_lost",
        "fleet:owner_regained",
        "fleet:owned",
        "fleet:given_up",
        "front:configuration",
    )


def _read_time(line: dict[str, Any]) -> float:
    return float(line.get("timestamp", 0.0))


def _format_line(line: dict[str, Any]) -> str:
    """Returns a log line as text: time, VM, message type and fields."""
    fields = " ".join(
        f"{key}={value}"
        for key, value in line.items()
        if key not in ("timestamp", "vm", "message_type")
        and value not in ("", None)
    )
    message_type = line["message_type"]
    return (
        f"{_read_time(line):.4f} {line.get('vm', '')} {message_type} {fields}"
    )


def _summarise(request: str, own_lines: list[dict[str, Any]]) -> str:
    """Returns a sentence on the outcome of a request."""
    ends = [line for line in own_lines if line["message_type"] == "request:end"]
    if not ends:
        return f"{request}: no end is logged; its front may have stopped"
    end = ends[-1]
    outcome = _OUTCOME_TEXTS.get(
        str(end.get("outcome")), str(end.get("outcome"))
    )
    parts = [f"{request} {outcome} after {end.get('seconds')} s"]
    if end.get("reason"):
        parts.append(f"because of: {end['reason']}")
    if end.get("waited"):
        parts.append(f"it waited {end['waited']} s for {end.get('artifact')}")
    failed = [
        x for x in own_lines if x["message_type"] == "request:attempt_failed"
    ]
    if failed:
        parts.append(f"{len(failed)} of its attempts failed")
    versions = [x["software"] for x in own_lines if x.get("software")]
    if versions:
        parts.append(f"software: {', '.join(dict.fromkeys(versions))}")
    if end.get("resumes"):
        parts.append(f"it takes up the stream of {end['resumes']}")
    return "; ".join(parts)
