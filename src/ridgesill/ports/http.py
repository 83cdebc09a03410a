"""HTTP messages of the data path, independent of sockets."""

from typing import Protocol

import attrs

Headers = tuple[tuple[bytes, bytes], ...]

# The longest body that is held whole. Longer answers can only be streamed.
MAX_BODY_BYTES = 16 * 1024 * 1024
# The longest answer to a call that isn't a client's request.
MAX_REPORT_BYTES = 1024 * 1024
# The longest body that is read although nobody needs it, to keep a connection.
MAX_DISCARDED_BYTES = 64 * 1024


def find_header(headers: Headers, name: bytes) -> str:
    """Returns the first value of a header; empty if the header is missing.

    Args:
        headers: all headers, names in lower case.
        name: name of the header in lower case.
    """
    for key, value in headers:
        if key == name:
            return value.decode("latin-1")
    return ""


# Headers that apply to a single connection only (RFC 9110, 7.6.1).
_HOP_BY_HOP_HEADERS = frozenset(
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
    """Returns the headers without those that apply to one connection only.

    Args:
        headers: all headers, names in lower case.
        keep: names that are kept even if the sender's Connection header lists
            them.
    """
    listed = {
        name.strip()
        for key, value in headers
        if key == b"connection"
        for name in value.lower().split(b",")
    }
    dropped = _HOP_BY_HOP_HEADERS | (listed - keep)
    return tuple(
        (name, value) for name, value in headers if name not in dropped
    )


@attrs.frozen
class HttpRequest:
    """A complete request.

    Attributes:
        method: HTTP method in upper case.
        target: path and query, as sent.
        headers: all headers, names in lower case.
        body: the complete body.
        arrived_at: when the head had been received, on the event loop's clock.
        peer: address of the sender.
        is_from_front: whether another front sent it on, because it can't reach
            an upstream. It is sent on only once.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""
    arrived_at: float = 0.0
    peer: str = ""
    is_from_front: bool = False

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")


class Responder(Protocol):
    """Sends the answer to one request."""

    @property
    def started(self) -> bool:
        """Whether the head of the answer has been sent."""

    def send_head(
        self,
        status: int,
        headers: Headers,
        reason: bytes = b"",
        *,
        is_framed: bool = True,
    ) -> None:
        """Sends the head of an answer.

        Args:
            status: HTTP status.
            headers: all headers, names in lower case.
            reason: reason phrase of the status line.
            is_framed: whether a length or chunks mark the end of the body;
                otherwise the end of the connection does.
        """

    def send_data(self, data: bytes) -> None:
        """Sends a part of the body."""

    def set_customer(self, customer: str) -> None:
        """Names the customer on whose behalf the request came."""

    async def drain(self) -> None:
        """Waits until more data may be sent."""

    def finish(self) -> None:
        """Completes the answer."""

    def abort(self) -> None:
        """Ends the connection so that the answer can't look complete."""


@attrs.frozen
class ResponseHead:
    """The status line and headers of an upstream's answer.

    Attributes:
        status: HTTP status.
        headers: all headers, names in lower case.
        reason: reason phrase of the status line.
        is_framed: whether the end of the body is marked, by a length or chunks
            or because there is none. The end of the connection ends any other
            body, so that a truncated one can't be told from a whole one.
    """

    status: int
    headers: Headers
    reason: bytes = b""
    is_framed: bool = True


class ChannelError(Exception):
    """An exchange with an upstream ended without a complete answer.

    Attributes:
        step: what failed: `connect`, `send`, `head` or `body`.
        peer: the upstream's address.
        sent: whether any byte of the request may have reached the upstream.
    """

    def __init__(self, step: str, peer: str, detail: str, sent: bool) -> None:
        super().__init__(f"{step} with {peer}: {detail}")
        self.step = step
        self.peer = peer
        self.sent = sent
