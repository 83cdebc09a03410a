"""Bodies of answers that are held whole or thrown away, up to a bound."""

import abc
import asyncio

from ridgesill.ports.http import (
    MAX_BODY_BYTES,
    MAX_DISCARDED_BYTES,
    ChannelError,
)

# How long a body that nobody needs may take, in seconds.
_DISCARD_SECONDS = 0.2


class BodyReader(abc.ABC):
    """Reads the rest of a body piece by piece."""

    @abc.abstractmethod
    async def read_data(self) -> bytes:
        """Returns the next bytes of the body; empty once it is complete.

        Raises:
            ChannelError: the connection ended before the body did.
        """

    @abc.abstractmethod
    def cancel(self) -> None:
        """Stops the answer unless it was read completely."""

    @abc.abstractmethod
    def _to_channel_error(self, step: str, detail: str) -> ChannelError:
        """Cancels the answer; returns the error for its reader."""

    @abc.abstractmethod
    def _record_held(self, count: int) -> None:
        """Records how many bytes of the body are held."""

    async def read_rest(self, max_bytes: int = MAX_BODY_BYTES) -> bytes:
        """Returns the rest of the body.

        Args:
            max_bytes: how long it may be.

        Raises:
            ChannelError: the connection ended before the body did, or the body
                is longer.
        """
        parts = []
        length = 0
        while data := await self.read_data():
            length += len(data)
            if length > max_bytes:
                raise self._to_channel_error(
                    "body", f"longer than {max_bytes} bytes"
                )
            parts.append(data)
            self._record_held(length)
        return b"".join(parts)

    async def discard_rest(self) -> None:
        """Reads the rest of a body that nobody needs, to keep the channel.

        Closes the channel instead if the body is long or late.

        Raises:
            ChannelError: the connection ended before the body did.
        """
        length = 0
        try:
            async with asyncio.timeout(_DISCARD_SECONDS):
                while data := await self.read_data():
                    length += len(data)
                    if length > MAX_DISCARDED_BYTES:
                        self.cancel()
                        return
        except TimeoutError:
            self.cancel()
