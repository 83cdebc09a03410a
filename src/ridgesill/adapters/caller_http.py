"""The callers' API: OpenAI-compatible endpoints, and plain HTTP services."""

import hashlib
import math
import secrets
import threading
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import attrs
import msgspec
from result import Err, Ok, Result

from ridgesill.adapters.http_server import (
    BodyError,
    HttpResponse,
    StartResponse,
    json_response,
    read_body,
    send_response,
    status_line,
)
from ridgesill.core import calls
from ridgesill.core.calls import Call, Refusal
from ridgesill.core.pool import messages as pool_messages
from ridgesill.core.state import State
from ridgesill.ports.runner import RunnerRequest
from ridgesill.ports.serving import (
    CallerRequest,
    IncompleteStreamError,
    Reply,
    Serving,
)

_COMPLETION_PATHS = ("/v1/chat/completions", "/v1/completions")
_SERVICES_PREFIX = "/services/"
_SAFE_METHODS = ("GET", "HEAD", "OPTIONS")
_MAX_KEY_CHARS = 200

_STATUS_BY_REASON = {
    calls.UNKNOWN_ADAPTER: 404,
    calls.UNKNOWN_VERSION: 404,
    calls.UNKNOWN_SERVICE: 404,
    calls.NO_PLACE: 403,
    calls.KEY_IN_USE: 422,
    calls.KEY_RUNNING: 409,
    calls.KEY_UNKNOWN: 409,
    pool_messages.QUEUE_FULL: 429,
    pool_messages.SHED: 429,
    "runner-failed": 502,
}
_DEFAULT_STATUS = 503

# Headers that aren't forwarded: those of one connection (RFC 9110, section
# 7.6.1), and those that are set anew for the next one.
_DROPPED_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "content-length",
    }
)
_OWN_PREFIX = "x-ridgesill-"


@attrs.frozen
class CallerLimits:
    """Limits on callers' requests.

    Attributes:
        streams: maximum number of requests in progress in this process.
        body_bytes: maximum size of a request body.
        patience: seconds that a request may wait for admission unless its
            X-Ridgesill-Timeout header says otherwise.
    """

    streams: int
    body_bytes: int
    patience: float


@attrs.frozen
class InvalidRequest:
    """Why a request is invalid.

    Attributes:
        status: the HTTP status of the response.
        detail: what the caller must change.
    """

    status: int
    detail: str


class CallerApp:
    """The WSGI application of the callers' API.

    Args:
        serving: serves valid requests.
        limits: limits on requests.
        get_state: returns the current state, with the configuration.
        is_ready: whether this node can serve requests.
    """

    def __init__(
        self,
        serving: Serving,
        limits: CallerLimits,
        get_state: Callable[[], State],
        is_ready: Callable[[], bool],
    ) -> None:
        self._serving = serving
        self._limits = limits
        self._get_state = get_state
        self._is_ready = is_ready
        self._lock = threading.Lock()
        self._in_progress = 0

    @property
    def in_progress(self) -> int:
        """Number of requests in progress."""
        return self._in_progress

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serves a request."""
        path = environ["PATH_INFO"]
        direct = self._respond_directly(environ["REQUEST_METHOD"], path)
        if direct is not None:
            return send_response(direct, start_response)
        if not self._acquire_slot():
            refusal = Refusal(calls.TOO_MANY, "too many streams here", 1.0)
            return send_response(_refusal_response(refusal), start_response)
        try:
            body = self._serve(environ, start_response)
        except BaseException:
            self._release_slot()
            raise
        return _SlotReleasingBody(body, self._release_slot)

    def _respond_directly(self, method: str, path: str) -> HttpResponse | None:
        if path == "/livez":
            return HttpResponse(200, b"ok\n", "text/plain")
        if path == "/readyz":
            ready = self._is_ready()
            text = b"ready\n" if ready else b"not ready\n"
            return HttpResponse(200 if ready else 503, text, "text/plain")
        if path == "/v1/models" and method == "GET":
            return self._list_models()
        if path in _COMPLETION_PATHS and method != "POST":
            return _invalid_response(InvalidRequest(405, f"{path} takes POST"))
        if path in _COMPLETION_PATHS or path.startswith(_SERVICES_PREFIX):
            return None
        detail = (
            f"no such path; try {_COMPLETION_PATHS[0]} or "
            f"{_SERVICES_PREFIX}NAME/"
        )
        return _invalid_response(InvalidRequest(404, detail))

    def _list_models(self) -> HttpResponse:
        table = self._get_state().table
        models = [
            {"id": name, "object": "model", "owned_by": adapter.team}
            for name, adapter in table.adapters.items()
        ]
        return json_response(200, {"object": "list", "data": models})

    def _acquire_slot(self) -> bool:
        with self._lock:
            if self._in_progress >= self._limits.streams:
                return False
            self._in_progress += 1
            return True

    def _release_slot(self) -> None:
        with self._lock:
            self._in_progress -= 1

    def _serve(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        parsed = self._parse_request(environ)
        if isinstance(parsed, Err):
            return send_response(
                _invalid_response(parsed.err_value), start_response
            )
        request = parsed.ok_value
        reply = self._serving.serve(request)
        headers = _reply_headers(request.call, reply)
        if reply.refusal is not None:
            response = _refusal_response(reply.refusal, reply.outcome, headers)
            return send_response(response, start_response)
        if isinstance(reply.body, bytes):
            response = HttpResponse(
                reply.status, reply.body, reply.content_type, headers
            )
            return send_response(response, start_response)
        start_response(
            status_line(reply.status),
            [("Content-Type", reply.content_type), *headers],
        )
        return _append_error_event(reply.body)

    # -- parsing a request ---------------------------------------------

    def _parse_request(
        self, environ: dict[str, Any]
    ) -> Result[CallerRequest, InvalidRequest]:
        try:
            body = read_body(environ, self._limits.body_bytes)
        except BodyError as error:
            too_large = "larger" in str(error)
            return Err(InvalidRequest(413 if too_large else 400, str(error)))
        options = _parse_options(environ, self._limits.patience)
        if isinstance(options, Err):
            return options
        if environ["PATH_INFO"] in _COMPLETION_PATHS:
            return self._parse_completion(environ, body, options.ok_value)
        return self._parse_service_call(environ, body, options.ok_value)

    def _parse_completion(
        self, environ: dict[str, Any], body: bytes, options: "_Options"
    ) -> Result[CallerRequest, InvalidRequest]:
        try:
            document = msgspec.json.decode(body)
        except msgspec.DecodeError:
            return Err(InvalidRequest(400, "the body is no JSON"))
        if not isinstance(document, dict):
            return Err(InvalidRequest(400, "the body must be a JSON object"))
        model = document.get("model")
        if not isinstance(model, str) or not model:
            return Err(InvalidRequest(400, "'model' must name an adapter"))
        if not isinstance(document.get("stream", False), bool):
            return Err(InvalidRequest(400, "'stream' must be true or false"))
        call = Call(
            options.request,
            model=model,
            priority=options.priority,
            patience=options.patience,
        )
        path = environ["PATH_INFO"]
        request = RunnerRequest(
            "POST", path, options.headers, document=document
        )
        return Ok(
            CallerRequest(
                call,
                request,
                options.key,
                _digest("POST", path, body),
                options.repeatable and not options.key,
                document.get("stream", False),
            )
        )

    def _parse_service_call(
        self, environ: dict[str, Any], body: bytes, options: "_Options"
    ) -> Result[CallerRequest, InvalidRequest]:
        rest = environ["PATH_INFO"][len(_SERVICES_PREFIX) :]
        name, _, path = rest.partition("/")
        query = environ.get("QUERY_STRING", "")
        method = environ["REQUEST_METHOD"]
        target = f"/{path}?{query}" if query else f"/{path}"
        service = self._get_state().table.services.get(name)
        is_safe = method in _SAFE_METHODS
        is_repeatable = service is not None and service.repeatable
        call = Call(
            options.request,
            service=name,
            team=options.team,
            priority=options.priority,
            patience=options.patience,
        )
        return Ok(
            CallerRequest(
                call,
                RunnerRequest(method, target, options.headers, body),
                "" if is_safe else options.key,
                _digest(method, rest, body),
                is_safe
                or (is_repeatable and options.repeatable and not options.key),
                streamed=False,
            )
        )


@attrs.frozen
class _Options:
    """Options from a request's headers.

    Attributes:
        request: the id that this process gave the request.
        team: the team that a service call counts for.
        key: the idempotency key; empty if there is none.
        priority: 0 to 3.
        patience: seconds that the request may wait for admission.
        repeatable: whether it may be sent again after a failure.
        headers: the headers for the runner.
    """

    request: str
    team: str
    key: str
    priority: int
    patience: float
    repeatable: bool
    headers: dict[str, str]


def _parse_options(
    environ: dict[str, Any], patience: float
) -> Result[_Options, InvalidRequest]:
    key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
    if len(key) > _MAX_KEY_CHARS:
        return Err(
            InvalidRequest(
                400, f"Idempotency-Key is over {_MAX_KEY_CHARS} characters"
            )
        )
    priority = environ.get("HTTP_X_RIDGESILL_PRIORITY", "1")
    if priority not in ("0", "1", "2", "3"):
        return Err(
            InvalidRequest(400, "X-Ridgesill-Priority must be 0, 1, 2 or 3")
        )
    seconds = environ.get("HTTP_X_RIDGESILL_TIMEOUT", str(patience))
    try:
        timeout = float(seconds)
    except ValueError:
        timeout = math.nan
    if not 0 < timeout <= 600:
        return Err(
            InvalidRequest(400, "X-Ridgesill-Timeout must be seconds, 0 to 600")
        )
    request = secrets.token_hex(8)
    headers = _forwarded_headers(environ)
    headers["X-Request-Id"] = request
    headers["X-Priority"] = priority
    return Ok(
        _Options(
            request,
            environ.get("HTTP_X_RIDGESILL_TEAM", ""),
            key,
            int(priority),
            timeout,
            environ.get("HTTP_X_RIDGESILL_REPEATABLE", "yes") != "no",
            headers,
        )
    )


def _forwarded_headers(environ: dict[str, Any]) -> dict[str, str]:
    """Returns the caller's headers to forward to the runner."""
    headers = {}
    for field, value in environ.items():
        if field.startswith("HTTP_"):
            name = field[5:].replace("_", "-").title()
            if _is_forwarded(name):
                headers[name] = value
    if environ.get("CONTENT_TYPE"):
        headers["Content-Type"] = environ["CONTENT_TYPE"]
    return headers


def _is_forwarded(name: str) -> bool:
    lower = name.lower()
    return lower not in _DROPPED_HEADERS and not lower.startswith(_OWN_PREFIX)


def _digest(method: str, path: str, body: bytes) -> str:
    digest = hashlib.sha256(f"{method} {path}\n".encode())
    digest.update(body)
    return digest.hexdigest()[:32]


# -- responses ---------------------------------------------------------


def _reply_headers(call: Call, reply: Reply) -> tuple[tuple[str, str], ...]:
    headers = [(n, v) for n, v in reply.headers if _is_forwarded(n)]
    headers.append(("X-Ridgesill-Request", call.request))
    if reply.refusal is None:
        headers.append(("X-Ridgesill-Outcome", reply.outcome))
    if reply.replayed:
        headers.append(("X-Ridgesill-Replayed", "yes"))
    if reply.admission is not None:
        admission = reply.admission
        headers.append(("X-Ridgesill-Runner", admission.runner))
        headers.append(("X-Ridgesill-Data-Centre", admission.data_centre))
    return tuple(headers)


def _refusal_response(
    refusal: Refusal,
    outcome: str = calls.NOT_RUN,
    headers: tuple[tuple[str, str], ...] = (),
) -> HttpResponse:
    status = _STATUS_BY_REASON.get(refusal.reason, _DEFAULT_STATUS)
    response = _error_response(status, refusal.reason, refusal.detail, outcome)
    extra = list(headers)
    if refusal.retry_after:
        seconds = str(math.ceil(refusal.retry_after))
        extra.append(("Retry-After", seconds))
    return attrs.evolve(response, headers=(*response.headers, *extra))


def _invalid_response(invalid: InvalidRequest) -> HttpResponse:
    return _error_response(
        invalid.status, "invalid-request", invalid.detail, calls.NOT_RUN
    )


def _error_response(
    status: int, code: str, detail: str, outcome: str
) -> HttpResponse:
    kind = "invalid_request_error" if status < 500 else "server_error"
    error = {"message": detail, "type": kind, "param": None, "code": code}
    response = json_response(status, {"error": error, "outcome": outcome})
    headers = (("X-Ridgesill-Outcome", outcome),)
    return attrs.evolve(response, headers=headers)


def _append_error_event(body: Iterator[bytes]) -> Iterator[bytes]:
    """Forwards a stream; appends an error event if it ends early."""
    try:
        yield from body
    except IncompleteStreamError as error:
        detail = {"message": str(error), "type": "server_error", "param": None}
        event = {
            "error": {**detail, "code": "stream-cut"},
            "outcome": calls.UNKNOWN,
        }
        yield b"data: " + msgspec.json.encode(event) + b"\n\n"
        # Without the exception, the server would send the final chunk, which
        # marks the response as complete.
        raise


class _SlotReleasingBody:
    """A response body that releases its request's slot when it is closed."""

    def __init__(
        self, body: Iterable[bytes], release_slot: Callable[[], None]
    ) -> None:
        self._body = body
        self._release_slot = release_slot
        self._released = False

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._body)

    def close(self) -> None:
        """Releases the slot; also called if the caller disconnects."""
        close = getattr(self._body, "close", None)
        if close is not None:
            close()
        if not self._released:
            self._released = True
            self._release_slot()
