"""Writes the answer to a client's request, or to the front that sent it on."""

import asyncio

from ridgesill.app.answer_end import judge_body
from ridgesill.app.front import Front
from ridgesill.ports.http import (
    ChannelError,
    Headers,
    HttpRequest,
    Responder,
    ResponseHead,
)

_BODILESS_STATUSES = frozenset((204, 304))
_EMPTY_BODY = (b"content-length", b"0")


class ClientAnswer:
    """The answer to one request.

    Args:
        front: the front that answers.
        request: as the client sent it.
        responder: sends the answer.

    Attributes:
        is_framed: whether the head that was sent marks the end of the answer.
    """

    def __init__(
        self, front: Front, request: HttpRequest, responder: Responder
    ) -> None:
        self.is_framed = True
        self._front = front
        self._request = request
        self._responder = responder

    @property
    def has_started(self) -> bool:
        """Whether any part has been sent."""
        return self._responder.started

    @property
    def is_for_front(self) -> bool:
        """Whether another front asked for it."""
        return self._request.is_from_front and self._front.links is not None

    # -- streams -------------------------------------------------------

    def send_head(self, head: ResponseHead, software: str = "") -> None:
        """Sends the head of a stream unless it has been sent.

        Args:
            head: as the upstream sent it.
            software: the upstream's version, which another front is told.
        """
        if self._responder.started:
            return
        self.is_framed = head.is_framed
        headers = self._front.dialect.filter_answer_headers(head)
        links = self._front.links
        if self._request.is_from_front and links is not None:
            told = links.dialect.make_software_headers(software)
            headers = (*told, *headers)
        self._begin(head.status, headers, head.reason, is_framed=head.is_framed)

    async def send_data(self, data: bytes) -> None:
        """Sends a part of the body, and waits while the client is slow."""
        self._responder.send_data(data)
        await self._responder.drain()

    def finish(self, rest: bytes = b"") -> None:
        """Sends the rest of a stream, and its end."""
        if rest:
            self._responder.send_data(rest)
        self._responder.finish()

    def check_framing(self, head: ResponseHead, peer: str) -> None:
        """Keeps the chunks of a stream from ending after an unverified part.

        Raises:
            ChannelError: this part ends with its connection, and the stream
                was begun with chunks.
        """
        if self.has_started and self.is_framed and not head.is_framed:
            raise ChannelError("body", peer, "ended by its connection", True)

    def abort(self) -> None:
        """Breaks the answer off, so that it doesn't look complete."""
        self._responder.abort()

    # -- whole answers -------------------------------------------------

    def deliver(self, head: ResponseHead, body: bytes) -> None:
        """Sends an answer; unframed if nothing shows that it is whole."""
        is_whole = judge_body(head, body).is_whole
        headers = self._front.dialect.filter_answer_headers(head)
        has_body = self._request.method != b"HEAD" and (
            head.status not in _BODILESS_STATUSES
        )
        if has_body:
            headers = _replace_length(headers, len(body) if is_whole else None)
        self._begin(head.status, headers, head.reason, is_framed=is_whole)
        self.finish(body)

    def send_status(self, status: int, retry_after: float) -> None:
        """Sends an answer of the front's own.

        Args:
            status: HTTP status.
            retry_after: seconds until the client may return; 0 to name none.
        """
        dialect = self._front.dialect
        headers = dialect.make_retry_headers(retry_after) if retry_after else ()
        self._send_empty(status, headers)

    def send_back(self, status: int, reason: str) -> None:
        """Tells the front that sent the request to ask another one."""
        assert self._front.links is not None
        dialect = self._front.links.dialect
        self._send_empty(status, dialect.make_front_refusal_headers(reason))

    def _make_applied_headers(self) -> Headers:
        """Returns the headers that tell a front what is applied here.

        A front that names nothing would pass them to its client.
        """
        links = self._front.links
        if links is None or not self._request.is_from_front:
            return ()
        if links.dialect.read_applied(self._request.headers) is None:
            return ()
        now = asyncio.get_running_loop().time()
        applied = self._front.describe_applied(now)
        return links.dialect.make_applied_headers(applied)

    def _begin(
        self,
        status: int,
        headers: Headers,
        reason: bytes = b"",
        *,
        is_framed: bool = True,
    ) -> None:
        """Sends a head, to a front with what is applied here."""
        told = (*self._make_applied_headers(), *headers)
        self._responder.send_head(status, told, reason, is_framed=is_framed)

    def _send_empty(self, status: int, headers: Headers) -> None:
        self._begin(status, (*headers, _EMPTY_BODY))
        self._responder.finish()


def _replace_length(headers: Headers, length: int | None) -> Headers:
    """Returns headers that name a length; none if it is None."""
    others = tuple(h for h in headers if h[0] != b"content-length")
    if length is None:
        return others
    return (*others, (b"content-length", b"%d" % length))
