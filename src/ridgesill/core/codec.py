"""Encodes typed messages and commands as MessagePack.

Every class that is sent to another process or stored on disk is registered
under its class name; data with any other name is rejected.
"""

from typing import Any, TypeVar

import msgspec

T = TypeVar("T", bound=type)

_CLASSES: dict[str, type] = {}
_DECODERS: dict[str, msgspec.msgpack.Decoder] = {}
_ENVELOPE = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])
_ENCODER = msgspec.msgpack.Encoder()


class DecodeError(ValueError):
    """The data is not a registered message; the text says what was found."""


def register(cls: T) -> T:
    """Registers an `attrs` class with the codec; a class decorator.

    Raises:
        ValueError: a class of the same name is registered already.
    """
    if cls.__name__ in _CLASSES:
        raise ValueError(
            f"{cls.__name__} is registered twice; rename one of the classes"
        )
    _CLASSES[cls.__name__] = cls
    return cls


def encode(message: Any) -> bytes:
    """Returns the encoded bytes of a registered message.

    Raises:
        DecodeError: the class of the message is not registered.
    """
    name = type(message).__name__
    if name not in _CLASSES:
        raise DecodeError(f"{name} is not a registered message")
    return _ENCODER.encode((name, message))


def decode(data: bytes) -> Any:
    """Returns the message encoded in some bytes.

    Raises:
        DecodeError: the data is malformed or no registered message.
    """
    try:
        name, body = _ENVELOPE.decode(data)
        return _decoder(name).decode(body)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise DecodeError(f"undecodable message: {error}") from error


def _decoder(name: str) -> msgspec.msgpack.Decoder:
    # Decoders are built on first use, since a node needs few of them.
    decoder = _DECODERS.get(name)
    if decoder is None:
        if name not in _CLASSES:
            raise DecodeError(f"unknown message {name!r}")
        decoder = msgspec.msgpack.Decoder(_CLASSES[name])
        _DECODERS[name] = decoder
    return decoder


def to_builtins(message: Any) -> Any:
    """Returns a message as plain dicts, lists, strings and numbers."""
    return msgspec.to_builtins(message)
