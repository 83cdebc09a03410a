"""Finds fields of JSON objects that a decoder ignores."""

from collections.abc import Collection

import msgspec

# Unknown names come from callers; they are cut to this length for the log.
_MAX_NAME_CHARACTERS = 40
_FIELDS = msgspec.json.Decoder(dict[str, msgspec.Raw])


def find_unknown_fields(body: bytes, known: Collection[str]) -> tuple[str, ...]:
    """Returns the names of the unknown fields of a JSON object, sorted.

    Args:
        body: the encoded object; must be valid JSON.
        known: the names of the known fields.

    Raises:
        msgspec.MsgspecError: the body is not a JSON object.
    """
    unknown = _FIELDS.decode(body).keys() - set(known)
    return tuple(sorted(name[:_MAX_NAME_CHARACTERS] for name in unknown))
