"""Damaged messages of every registered kind, and damaged streams."""

import asyncio
import enum
import struct
import tracemalloc
import types
import typing
import zlib
from collections.abc import AsyncIterator, Callable
from typing import Any

import attrs
import pytest
from google.protobuf.message import DecodeError as ProtobufDecodeError

# Registers the messages of all processes.
import ridgesill.app.control_process
import ridgesill.app.front_process
import ridgesill.app.node  # noqa: F401
from ridgesill.adapters import peer_rpc
from ridgesill.adapters.peer_rpc import (
    PeerLinks,
    PeerServer,
    decode_body,
    encode_body,
)
from ridgesill.adapters.wire.peer_pb2 import Envelope
from ridgesill.core import codec
from ridgesill.core.following import AskLatest, Latest
from ridgesill.ports.peers import PeerError
from testing.processes import free_address
from testing.soak.proxy import FaultyProxy

_KINDS = sorted(codec._CLASSES)
# Size headers of MessagePack strings, byte strings, arrays and maps that claim
# 4 GiB of contents.
_FALSE_SIZES = [bytes([code]) + b"\xff" * 4 for code in b"\xdb\xc6\xdd\xdf"]
# Memory that reading a message with a false size may take, in bytes.
_MAX_MEMORY_BYTES = 2**20
_PLAIN_VALUES = {int: 3, float: 0.5, str: "name", bytes: b"bytes", bool: True}


def make_message(hint: Any) -> Any:
    """Returns a value of a type with no empty field and no empty collection."""
    contents = typing.get_args(hint)
    match typing.get_origin(hint):
        case types.UnionType | typing.Union:
            return make_message(contents[0])
        case builtin if builtin is dict:
            return {make_message(contents[0]): make_message(contents[1])}
        case builtin if builtin is not None:
            return builtin(make_message(c) for c in contents if c is not ...)
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return next(iter(hint))
    if attrs.has(hint):
        hints = typing.get_type_hints(hint)
        return hint(**{name: make_message(hints[name]) for name in hints})
    return _PLAIN_VALUES[hint]


def flip_bits(data: bytes) -> list[bytes]:
    """Returns the data with each of its bits flipped in turn."""
    return [
        data[:at] + bytes([data[at] ^ 1 << bit]) + data[at + 1 :]
        for at in range(len(data))
        for bit in range(8)
    ]


class ReceivedStream:
    """A stream on which these envelopes arrive; collects the replies."""

    def __init__(self, received: list[Envelope]) -> None:
        self.replies: list[Envelope] = []
        self._received = received

    async def __aiter__(self) -> AsyncIterator[Envelope]:
        for envelope in self._received:
            yield envelope
            await asyncio.sleep(0)
        await asyncio.sleep(0.02)

    async def send_message(self, reply: Envelope) -> None:
        """Collects a reply."""
        self.replies.append(reply)


class Receiver:
    """A server whose handler collects messages.

    Attributes:
        handled: sender and message of each call of the handler.
        logged: step and peer of each log line on damage.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.handled: list[tuple[str, Any]] = []
        self.logged: list[tuple[str, str]] = []
        self.server = PeerServer(self._handle, "b#1")
        monkeypatch.setattr(peer_rpc, "log_message", self._record)

    async def _handle(self, sender: str, message: Any) -> Any:
        self.handled.append((sender, message))
        return Latest(7)

    def _record(self, kind: str, **fields: Any) -> None:
        if kind == "peer:damaged":
            self.logged.append((fields["step"], fields["peer"]))

    async def receive(self, *envelopes: Envelope) -> list[Envelope]:
        """Returns the replies to envelopes that arrive on one stream."""
        stream = ReceivedStream(list(envelopes))
        await self.server.Exchange(stream)  # type: ignore[arg-type]
        return stream.replies


def make_envelope(message: Any) -> Envelope:
    """Returns a signed call with a message."""
    envelope = Envelope(call=9, sender="a#1", body=encode_body(message))
    peer_rpc.sign(envelope)
    return envelope


def parse_all(encoded: list[bytes]) -> list[Envelope]:
    """Returns the envelopes that can be parsed at all."""
    envelopes = []
    for data in encoded:
        try:
            envelopes.append(Envelope.FromString(data))
        except ProtobufDecodeError:
            continue
    return envelopes


@pytest.mark.parametrize("name", _KINDS)
class TestKinds:
    def test_it_decodes_to_the_same_message(self, name: str) -> None:
        message = make_message(codec._CLASSES[name])
        assert decode_body(encode_body(message)) == message

    def test_a_truncated_body_is_an_error(self, name: str) -> None:
        body = encode_body(make_message(codec._CLASSES[name]))
        for length in range(len(body)):
            with pytest.raises(codec.DecodeError):
                decode_body(body[:length])

    def test_a_false_size_takes_no_memory(self, name: str) -> None:
        """Guards against space that is reserved for what never arrives."""
        plain = codec.encode(make_message(codec._CLASSES[name]))
        tracemalloc.start()
        try:
            for at in range(len(plain)):
                for size in _FALSE_SIZES:
                    with pytest.raises(codec.DecodeError):
                        decode_body(plain[:at] + size + plain[at + 1 :])
            assert tracemalloc.get_traced_memory()[1] < _MAX_MEMORY_BYTES
        finally:
            tracemalloc.stop()

    async def test_a_flipped_bit_never_reaches_the_handler(
        self, name: str, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a message that differs from the one that was sent.

        Without a checksum 46 in 100 flips of a body leave a message that can
        be decoded, such as a vote with another term of the log, and some flips
        of an envelope an empty one that passes as a ping.
        """
        message = make_message(codec._CLASSES[name])
        sent = make_envelope(message)
        arrived = parse_all(flip_bits(sent.SerializeToString()))
        receiver = Receiver(monkeypatch)
        await receiver.receive(sent, *arrived)
        assert receiver.handled == [("a#1", message)]
        assert receiver.logged == [("request", "a#1")] * len(arrived)

    async def test_an_expanding_body_costs_one_call(
        self, name: str, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(peer_rpc, "_MAX_BODY_BYTES", 100_000)
        message = make_message(codec._CLASSES[name])
        bomb = Envelope(call=8, sender="a#1")
        bomb.body = zlib.compress(codec.encode(message) + bytes(200_000))
        peer_rpc.sign(bomb)
        receiver = Receiver(monkeypatch)
        replies = await receiver.receive(bomb, make_envelope(message))
        assert [bool(reply.error) for reply in replies] == [True, False]
        assert receiver.logged == [("request", "a#1")]
        assert receiver.handled == [("a#1", message)]


class TestEnvelopes:
    async def test_one_without_a_checksum_is_read(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against refusing nodes of the previous release."""
        envelope = make_envelope(AskLatest())
        envelope.checksum = 0
        receiver = Receiver(monkeypatch)
        (reply,) = await receiver.receive(envelope)
        assert decode_body(reply.body) == Latest(7)

    async def test_a_message_that_its_handler_fails_on_costs_one_call(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        receiver = Receiver(monkeypatch)

        async def fail(_sender: str, message: Any) -> Any:
            raise KeyError(type(message).__name__)

        receiver.server._handler = fail
        replies = await receiver.receive(
            make_envelope(AskLatest()), make_envelope(Latest(1))
        )
        assert [reply.error for reply in replies] == ["'AskLatest'", "'Latest'"]
        assert receiver.logged == [("AskLatest", "a#1"), ("Latest", "a#1")]


def _truncate(data: bytes) -> bytes:
    return data[:-3]


def _flip_last_byte(data: bytes) -> bytes:
    return data[:-1] + bytes([data[-1] ^ 0x10])


def _claim_huge_message(data: bytes) -> bytes:
    """Replaces the size of a gRPC message that ends a chunk."""
    at = data.rindex(b"\x00\x00\x00\x00", 0, len(data) - 5)
    return data[:at] + struct.pack(">BI", 0, 2**31) + data[at + 5 :]


def _drop_frame_header(data: bytes) -> bytes:
    return data[9:]


class TestStreams:
    @pytest.mark.parametrize("is_answer", [True, False])
    @pytest.mark.parametrize(
        "damage",
        [_truncate, _flip_last_byte, _claim_huge_message, _drop_frame_header],
    )
    async def test_damage_costs_one_call_or_stream(
        self,
        damage: Callable[[bytes], bytes],
        is_answer: bool,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        """Guards against a link that stays silent after one damaged chunk."""
        receiver = Receiver(monkeypatch)
        lines: list[dict[str, Any]] = []
        monkeypatch.setattr(
            peer_rpc,
            "log_message",
            lambda _kind, **fields: lines.append(fields),
        )
        behind = free_address()
        await receiver.server.start(behind)
        proxy = FaultyProxy(free_address(), behind)
        await proxy.start()
        links = PeerLinks("a#1")
        address = "{}:{}".format(*proxy.address)
        assert await links.call(address, AskLatest(), 1.0) == Latest(7)
        await asyncio.sleep(0.05)
        lines.clear()
        proxy.damage_next(damage, is_answer=is_answer)
        with pytest.raises(PeerError):
            await links.call(address, AskLatest(), 3.0)
        assert lines
        assert all(line["step"] and line["peer"] for line in lines)
        await asyncio.sleep(0.2)
        assert await links.call(address, AskLatest(), 1.0) == Latest(7)
        await links.close()
        proxy.stop()
        await receiver.server.stop()
