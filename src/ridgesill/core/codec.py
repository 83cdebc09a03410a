"""Encodes the typed messages and commands as MessagePack.

Every class that crosses a process or reaches a disk is registered under its
own name, so that an unknown name is an error rather than a guess.
"""

from typing import Any, TypeVar

import msgspec

T = TypeVar("T", bound=type)

_CLASSES: dict[str, type] = {}
_DECODERS: dict[str, msgspec.msgpack.Decoder] = {}
_ENVELOPE = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])
_ENCODER = msgspec.msgpack.Encoder()


class DecodeError(ValueError):
    """Bytes that hold no registered message; says what was found."""


def register(cls: T) -> T:
    """Makes an `attrs` class known to the codec (a class decorator)."""
    if cls.__name__ in _CLASSES:
        raise ValueError(f"{cls.__name__} is registered twice")
    _CLASSES[cls.__name__] = cls
    return cls


def encode(message: Any) -> bytes:
    """Returns the bytes of a registered message."""
    name = type(message).__name__
    if name not in _CLASSES:
        raise DecodeError(f"{name} is not a registered message")
    return _ENCODER.encode((name, message))


def decode(data: bytes) -> Any:
    """Returns the message that `encode` made these bytes from.

    Raises:
        DecodeError: the bytes hold no registered message.
    """
    try:
        name, body = _ENVELOPE.decode(data)
        return _decoder(name).decode(body)
    except msgspec.MsgspecError as error:
        raise DecodeError(f"undecodable message: {error}") from error


def _decoder(name: str) -> msgspec.msgpack.Decoder:
    # Decoders are built at first use: a node never needs most of them.
    decoder = _DECODERS.get(name)
    if decoder is None:
        if name not in _CLASSES:
            raise DecodeError(f"unknown message {name!r}")
        decoder = msgspec.msgpack.Decoder(_CLASSES[name])
        _DECODERS[name] = decoder
    return decoder


def to_builtins(message: Any) -> Any:
    """Returns a message as dicts, lists and numbers."""
    return msgspec.to_builtins(message)
