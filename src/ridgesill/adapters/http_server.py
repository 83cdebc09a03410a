"""HTTP servers based on cheroot, each with its own threads and limits."""

import math
import threading
from collections.abc import Callable, Iterable
from typing import Any

import attrs
import msgspec
from cheroot import wsgi
from cheroot.server import HTTPConnection, HTTPRequest
from eliot import write_traceback

from ridgesill.adapters.socket_closing import set_reset_on_close
from ridgesill.core.addresses import split_address

StartResponse = Callable[..., Any]
WsgiApp = Callable[[dict[str, Any], StartResponse], Iterable[bytes]]

_BACKLOG_CONNECTIONS = 1024


@attrs.frozen
class ServerLimits:
    """Limits of an HTTP server.

    Attributes:
        threads: worker threads, and so requests served at once.
        header_bytes: maximum size of a request header.
        body_bytes: maximum size of a request body.
        timeout_seconds: timeout of a read or write on a connection.
    """

    threads: int
    header_bytes: int
    body_bytes: int
    timeout_seconds: float


class _Request(HTTPRequest):  # type: ignore[misc]
    """A request whose response resets its connection unless it is complete.

    That holds for responses that only the end of the connection completes:
    those to clients of HTTP/1.0 and of status 413, unless they have a length.
    """

    def send_headers(self) -> None:
        """Writes the head of the response."""
        if not any(n.lower() == b"content-length" for n, _ in self.outheaders):
            # Set before the head is sent: should this process end, its kernel
            # closes the connection, and a plain close completes the response.
            self.conn.set_reset_on_close(True)
        super().send_headers()
        if self.chunked_write:
            self.conn.set_reset_on_close(False)

    def respond(self) -> None:
        """Calls the application and writes its response."""
        super().respond()
        # The kernel has every byte: `write` returns no earlier.
        self.conn.set_reset_on_close(False)


class _Connection(HTTPConnection):  # type: ignore[misc]
    """A connection from a client."""

    RequestHandlerClass = _Request
    _resets_on_close = False

    def set_reset_on_close(self, resets: bool) -> None:
        """Sets whether closing the connection resets it."""
        if resets == self._resets_on_close:
            return
        self._resets_on_close = resets
        set_reset_on_close(self.socket, resets)

    def close(self) -> None:
        """Closes the connection, in order unless it is set to reset."""
        if not self._resets_on_close:
            super().close()
            return
        # The base class shuts the socket down first, which ends the connection
        # in order whatever the socket is set to.
        self.rfile.close()
        self.socket.close()


class HttpServer:
    """Serves a WSGI application on its own threads.

    Args:
        address: `host:port` to listen on.
        app: the application.
        limits: threads, sizes and timeouts.
    """

    def __init__(
        self, address: str, app: WsgiApp, limits: ServerLimits
    ) -> None:
        self._server = wsgi.Server(
            split_address(address),
            _catch_errors(app),
            numthreads=limits.threads,
            max=limits.threads,
            request_queue_size=_BACKLOG_CONNECTIONS,
            timeout=math.ceil(limits.timeout_seconds),
            shutdown_timeout=1,
        )
        self._server.ConnectionClass = _Connection
        self._server.max_request_header_size = limits.header_bytes
        self._server.max_request_body_size = limits.body_bytes
        self._server.keep_alive_conn_limit = _BACKLOG_CONNECTIONS
        self._server.error_log = _discard_message  # type: ignore[method-assign]
        self._thread = threading.Thread(target=self._server.serve, daemon=True)

    def start(self) -> None:
        """Opens the port and starts to serve requests."""
        self._server.prepare()
        self._thread.start()

    def stop(self) -> None:
        """Closes the listening socket and all connections."""
        self._server.stop()


def _catch_errors(app: WsgiApp) -> WsgiApp:
    """Wraps an application; logs its exceptions and responds with 500."""

    def app_catching_errors(
        environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        try:
            return app(environ, start_response)
        except Exception:  # noqa: BLE001 - no caller handles it
            write_traceback()
            error = {"message": "an internal fault", "type": "server_error"}
            return send_response(
                json_response(500, {"error": error}), start_response
            )

    return app_catching_errors


def _discard_message(
    msg: str = "", level: int = 20, traceback: bool = False
) -> None:
    """Discards cheroot's log messages, which may contain request data."""


@attrs.frozen
class HttpResponse:
    """A complete HTTP response."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    headers: tuple[tuple[str, str], ...] = ()


_REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    413: "Payload Too Large",
    422: "Unprocessable Entity",
    429: "Too Many Requests",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


def status_line(status: int) -> str:
    """Returns a status code with its reason phrase."""
    return f"{status} {_REASON_PHRASES.get(status, 'Status')}"


def json_response(status: int, value: Any) -> HttpResponse:
    """Returns a response with a JSON body."""
    return HttpResponse(status, msgspec.json.encode(value))


def send_response(
    response: HttpResponse, start_response: StartResponse
) -> list[bytes]:
    """Starts a WSGI response and returns its body."""
    headers = [
        ("Content-Type", response.content_type),
        ("Content-Length", str(len(response.body))),
        *response.headers,
    ]
    start_response(status_line(response.status), headers)
    return [response.body]


class BodyError(Exception):
    """A request body can't be read; the message says why."""


def read_body(environ: dict[str, Any], limit: int) -> bytes:
    """Returns a request's body.

    Args:
        environ: the WSGI environment.
        limit: maximum size of the body in bytes.

    Raises:
        BodyError: the body is too large, incomplete or not received in time.
    """
    length = environ.get("CONTENT_LENGTH") or "-1"
    if not length.lstrip("-").isdigit():
        raise BodyError("Content-Length is no number")
    if int(length) > limit:
        raise BodyError(f"the body is larger than {limit} bytes")
    stream = environ["wsgi.input"]
    try:
        data = (
            stream.read(int(length))
            if int(length) >= 0
            else _read_chunked(environ, limit)
        )
    except (OSError, ValueError) as error:
        raise BodyError("the body could not be read in time") from error
    if int(length) >= 0 and len(data) < int(length):
        raise BodyError("the body ended early")
    return bytes(data)


def _read_chunked(environ: dict[str, Any], limit: int) -> bytes:
    if environ.get("HTTP_TRANSFER_ENCODING", "").lower() != "chunked":
        return b""
    data = environ["wsgi.input"].read(limit + 1)
    if len(data) > limit:
        raise BodyError(f"the body is larger than {limit} bytes")
    return bytes(data)
