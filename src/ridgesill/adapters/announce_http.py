"""The listener at which runners announce themselves."""

from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from ridgesill.adapters.http_server import (
    BodyError,
    StartResponse,
    json_answer,
    read_body,
    send_answer,
)
from ridgesill.core.runners import Announcement

ANNOUNCE_PATH = "/v1/runners/announce"

_BODY_MOST = 256 * 1024
_DECODER = msgspec.json.Decoder(Announcement)


class AnnounceApp:
    """The WSGI application of the runners' listener."""

    def __init__(self, take: Callable[[Announcement], None]) -> None:
        self._take = take

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Takes one announcement."""
        if environ["PATH_INFO"] != ANNOUNCE_PATH:
            answer = json_answer(404, {"error": f"try POST {ANNOUNCE_PATH}"})
            return send_answer(answer, start_response)
        try:
            said = _DECODER.decode(read_body(environ, _BODY_MOST))
        except (BodyError, msgspec.MsgspecError) as error:
            answer = json_answer(400, {"error": f"no announcement: {error}"})
            return send_answer(answer, start_response)
        self._take(said)
        return send_answer(json_answer(200, {}), start_response)
