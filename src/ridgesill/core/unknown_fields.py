"""Fields of JSON objects that a decoder passes over."""

from collections.abc import Collection

import msgspec

# Of a name that nobody knows, for the log, in characters.
_SHOWN_MOST = 40
_FIELDS = msgspec.json.Decoder(dict[str, msgspec.Raw])


def find_unknown_fields(body: bytes, known: Collection[str]) -> tuple[str, ...]:
    """Returns the fields of a JSON object that nothing here knows.

    Args:
        body: an object that has been decoded before.
        known: the fields that are known.
    """
    unknown = _FIELDS.decode(body).keys() - set(known)
    return tuple(sorted(name[:_SHOWN_MOST] for name in unknown))
