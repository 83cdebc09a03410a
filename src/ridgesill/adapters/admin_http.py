"""The administration interface, on its own address and behind a token."""

import hmac
from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from ridgesill.adapters.http_server import (
    Answer,
    BodyError,
    StartResponse,
    json_answer,
    read_body,
    send_answer,
)
from ridgesill.core.declaration import Declaration, Mistake, find_mistakes
from ridgesill.ports.administration import Administration, ApplyResult

_BODY_MOST = 64 * 2**20
_OPERATION_MOST = 100
_DECODER = msgspec.json.Decoder(Declaration)


class AdminApp:
    """The WSGI application of the administration listener.

    Args:
        token: what callers must send as a bearer token.
        administration: carries requests out.
        render_metrics: returns the metrics page.
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
        self._routes: dict[tuple[str, str], Callable[..., Answer]] = {
            ("POST", "/v1/configuration"): self._apply,
            ("GET", "/v1/configuration"): self._show,
            ("GET", "/v1/status"): self._status,
            ("POST", "/v1/drain"): self._drain,
            ("GET", "/metrics"): self._metrics,
        }

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serves one request."""
        return send_answer(self._answer(environ), start_response)

    def _answer(self, environ: dict[str, Any]) -> Answer:
        given = environ.get("HTTP_AUTHORIZATION", "").encode("latin-1")
        if not hmac.compare_digest(given, self._token):
            return Answer(401)
        route = (environ["REQUEST_METHOD"], environ["PATH_INFO"])
        handler = self._routes.get(route)
        if handler is None:
            known = ", ".join(" ".join(r) for r in self._routes)
            return _error(404, f"no such path; known are {known}")
        return handler(environ)

    def _apply(self, environ: dict[str, Any]) -> Answer:
        operation = environ.get("HTTP_X_OPERATION_ID", "")
        if not 0 < len(operation) <= _OPERATION_MOST:
            return _error(400, "X-Operation-Id must name this attempt")
        try:
            declared = _DECODER.decode(read_body(environ, _BODY_MOST))
        except (BodyError, msgspec.MsgspecError) as error:
            return _error(400, f"no declaration: {error}")
        mistakes = find_mistakes(declared)
        if mistakes:
            return _error(422, "; ".join(map(_line, mistakes)))
        applied = self._administration.apply(operation, declared)
        return json_answer(_status_of(applied), _as_json(applied))

    def _show(self, environ: dict[str, Any]) -> Answer:
        return json_answer(200, _as_json(self._administration.show()))

    def _status(self, environ: dict[str, Any]) -> Answer:
        return json_answer(200, _as_json(self._administration.status()))

    def _drain(self, environ: dict[str, Any]) -> Answer:
        self._administration.drain()
        return json_answer(200, {"draining": True})

    def _metrics(self, environ: dict[str, Any]) -> Answer:
        return Answer(200, self._render_metrics(), "text/plain; version=0.0.4")


def _status_of(applied: ApplyResult) -> int:
    return {"accepted": 200, "conflict": 409}.get(applied.verdict, 503)


def _as_json(value: Any) -> Any:
    return msgspec.to_builtins(value)


def _line(mistake: Mistake) -> str:
    return f"[{mistake.section}] {mistake.key}: {mistake.expected}"


def _error(status: int, detail: str) -> Answer:
    return json_answer(status, {"error": detail})
