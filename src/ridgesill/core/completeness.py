"""What is known about the end of a message whose framing doesn't mark it."""

import enum

import msgspec


class Completeness(enum.Enum):
    """What is known about the end of a message."""

    WHOLE = "whole"
    BROKEN = "broken"
    UNKNOWN = "unknown"


def judge_json(body: bytes) -> Completeness:
    """Judges a JSON document: only a number may lack its end unnoticed."""
    try:
        value = msgspec.json.decode(body)
    except msgspec.DecodeError:
        return Completeness.BROKEN
    if isinstance(value, int | float) and not isinstance(value, bool):
        return Completeness.UNKNOWN
    return Completeness.WHOLE
