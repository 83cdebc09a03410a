"""The administration API, on its own address and protected by a token."""

import hmac
from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from ridgesill.adapters.http_server import (
    BodyError,
    HttpResponse,
    StartResponse,
    json_response,
    read_body,
    send_response,
)
from ridgesill.core.declaration import Declaration, Mistake, find_mistakes
from ridgesill.ports.administration import Administration, ApplyResult

_MAX_BODY_BYTES = 64 * 2**20
_MAX_OPERATION_ID_CHARS = 100
_DECODER = msgspec.json.Decoder(Declaration)


class AdminApp:
    """The WSGI application of the administration API.

    Args:
        token: the bearer token that clients must send.
        administration: executes the operations.
        render_metrics: returns the metrics in Prometheus' text format.
    """

    def __init__(
        self,
        token: str,
        administration: Administration,
        render_metrics: Callable[[], bytes],
    ) -> None:
        self._token = f"Bearer {token}".encode()
        self._administration = administration
        self._render_metrics = render_metrics
        self._routes: dict[tuple[str, str], Callable[..., HttpResponse]] = {
            ("POST", "/v1/configuration"): self._apply_configuration,
            ("GET", "/v1/configuration"): self._show_configuration,
            ("GET", "/v1/status"): self._show_status,
            ("POST", "/v1/drain"): self._drain,
            ("GET", "/metrics"): self._show_metrics,
        }

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serves a request."""
        return send_response(self._dispatch(environ), start_response)

    def _dispatch(self, environ: dict[str, Any]) -> HttpResponse:
        authorization = environ.get("HTTP_AUTHORIZATION", "").encode("latin-1")
        if not hmac.compare_digest(authorization, self._token):
            return HttpResponse(401)
        route = (environ["REQUEST_METHOD"], environ["PATH_INFO"])
        handler = self._routes.get(route)
        if handler is None:
            known = ", ".join(" ".join(r) for r in self._routes)
            return _error_response(404, f"no such path; known are {known}")
        return handler(environ)

    def _apply_configuration(self, environ: dict[str, Any]) -> HttpResponse:
        operation = environ.get("HTTP_X_OPERATION_ID", "")
        if not 0 < len(operation) <= _MAX_OPERATION_ID_CHARS:
            return _error_response(400, "X-Operation-Id must name this attempt")
        try:
            declared = _DECODER.decode(read_body(environ, _MAX_BODY_BYTES))
        except (BodyError, msgspec.MsgspecError) as error:
            return _error_response(400, f"no declaration: {error}")
        mistakes = find_mistakes(declared)
        if mistakes:
            return _error_response(422, "; ".join(map(_describe, mistakes)))
        applied = self._administration.apply(operation, declared)
        return json_response(_http_status(applied), _to_builtins(applied))

    def _show_configuration(self, environ: dict[str, Any]) -> HttpResponse:
        return json_response(200, _to_builtins(self._administration.show()))

    def _show_status(self, environ: dict[str, Any]) -> HttpResponse:
        return json_response(200, _to_builtins(self._administration.status()))

    def _drain(self, environ: dict[str, Any]) -> HttpResponse:
        self._administration.drain()
        return json_response(200, {"draining": True})

    def _show_metrics(self, environ: dict[str, Any]) -> HttpResponse:
        return HttpResponse(
            200, self._render_metrics(), "text/plain; version=0.0.4"
        )


def _http_status(applied: ApplyResult) -> int:
    return {"accepted": 200, "conflict": 409}.get(applied.verdict, 503)


def _to_builtins(value: Any) -> Any:
    return msgspec.to_builtins(value)


def _describe(mistake: Mistake) -> str:
    return f"[{mistake.section}] {mistake.key}: {mistake.expected}"


def _error_response(status: int, detail: str) -> HttpResponse:
    return json_response(status, {"error": detail})
