"""Small messages between nodes over UDP, without a connection to each.

A message may be lost, or arrive twice or late; senders repeat what matters.
"""

import asyncio
import zlib
from collections.abc import Callable
from typing import Any

from eliot import log_message

from ridgesill.core import codec
from ridgesill.core.addresses import split_address

# Takes the sender's address and a message.
Receiver = Callable[[str, Any], None]

_CHECKSUM_BYTES = 4
# Messages above this size might be fragmented on their way, in bytes.
_MAX_BYTES = 1200


def encode_datagram(message: Any) -> bytes:
    """Encodes a message and its checksum.

    Raises:
        ValueError: it is too large for one datagram.
    """
    body = codec.encode(message)
    if len(body) > _MAX_BYTES:
        raise ValueError(
            f"{type(message).__name__} takes {len(body)} bytes, more than "
            f"{_MAX_BYTES}: shorten its names"
        )
    return zlib.crc32(body).to_bytes(_CHECKSUM_BYTES, "big") + body


def decode_datagram(data: bytes) -> Any:
    """Decodes a message.

    Raises:
        codec.DecodeError: it was damaged on its way, or isn't known here.
    """
    checksum, body = data[:_CHECKSUM_BYTES], data[_CHECKSUM_BYTES:]
    if zlib.crc32(body).to_bytes(_CHECKSUM_BYTES, "big") != checksum:
        raise codec.DecodeError("damaged datagram: its checksum doesn't match")
    return codec.decode(body)


class PeerDatagrams(asyncio.DatagramProtocol):
    """Sends and receives datagrams at this node's address.

    Attributes:
        receiver: takes each message that arrives.
        damaged: number of datagrams that could not be decoded.
    """

    def __init__(self) -> None:
        self.receiver: Receiver = lambda address, message: None
        self.damaged = 0
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, address: str) -> None:
        """Starts to receive at an address, `host:port`.

        Raises:
            OSError: the address can't be used.
        """
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=split_address(address)
        )

    def close(self) -> None:
        """Stops to send and to receive."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def send(self, address: str, message: Any) -> None:
        """Sends a message, which may be lost on its way.

        One that is too large is logged and dropped.
        """
        if self._transport is None:
            return
        try:
            data = encode_datagram(message)
        except ValueError as error:
            log_message("peer:not_sent", peer=address, detail=str(error))
            return
        self._transport.sendto(data, split_address(address))

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decodes a message and passes it to the receiver."""
        sender = f"{addr[0]}:{addr[1]}"
        try:
            message = decode_datagram(data)
        except codec.DecodeError as error:
            self.damaged += 1
            log_message("peer:damaged", peer=sender, detail=str(error))
            return
        self.receiver(sender, message)

    def error_received(self, exc: Exception) -> None:
        """Logs that an earlier message could not be delivered."""
        log_message("peer:undelivered", detail=str(exc))
