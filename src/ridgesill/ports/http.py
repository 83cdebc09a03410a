"""What the data path says and hears over HTTP, without sockets."""

from typing import Protocol

import attrs

Headers = tuple[tuple[bytes, bytes], ...]


def find_header(headers: Headers, name: bytes) -> str:
    """Returns a header's value, or an empty text; names are lower case."""
    for key, value in headers:
        if key == name:
            return value.decode("latin-1")
    return ""


# Headers that concern one channel only (RFC 9110, 7.6.1).
_CHANNEL_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)


def drop_hop_by_hop_headers(
    headers: Headers, keep: frozenset[bytes] = frozenset()
) -> Headers:
    """Returns the headers that travel beyond one channel.

    Args:
        headers: all headers, names in lower case.
        keep: names that travel on even where the sender lists them as
            concerning its channel only.
    """
    listed = {
        name.strip()
        for key, value in headers
        if key == b"connection"
        for name in value.lower().split(b",")
    }
    dropped = _CHANNEL_HEADERS | (listed - keep)
    return tuple(
        (name, value) for name, value in headers if name not in dropped
    )


@attrs.frozen
class HttpRequest:
    """A whole request.

    Attributes:
        target: path and query, as sent.
        headers: names in lower case.
        arrived_at: when its head had arrived, on the runtime's clock.
        peer: the address that it came from.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""
    arrived_at: float = 0.0
    peer: str = ""

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")


class Responder(Protocol):
    """Answers one request."""

    @property
    def started(self) -> bool:
        """Whether the head of the answer has been sent."""

    def send_head(
        self, status: int, headers: Headers, reason: bytes = b""
    ) -> None:
        """Sends the head of an answer."""

    def send_data(self, data: bytes) -> None:
        """Sends a part of the body."""

    async def drain(self) -> None:
        """Waits until the client has read enough of what was sent."""

    def finish(self) -> None:
        """Ends the answer as complete."""

    def abort(self) -> None:
        """Closes the channel, so that the answer can't look complete."""


@attrs.frozen
class ResponseHead:
    """The head of an upstream's answer; header names in lower case."""

    status: int
    headers: Headers
    reason: bytes = b""

    @property
    def has_delimited_body(self) -> bool:
        """Whether a body that was cut off shows; else its channel's end is its.

        By a length, or in chunks.
        """
        for name, _ in self.headers:
            if name in (b"content-length", b"transfer-encoding"):
                return True
        return False


class ChannelError(Exception):
    """An exchange with an upstream that ended without a whole answer.

    Attributes:
        step: `connect`, `send`, `head` or `body`.
        peer: the upstream's address.
        sent: whether any byte of the request may have reached it.
    """

    def __init__(self, step: str, peer: str, detail: str, sent: bool) -> None:
        super().__init__(f"{step} with {peer}: {detail}")
        self.step = step
        self.peer = peer
        self.sent = sent
