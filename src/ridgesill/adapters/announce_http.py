"""The listener at which runners announce themselves."""

from collections.abc import Callable, Iterable
from typing import Any

import attrs
import msgspec
from eliot import log_message

from ridgesill.adapters.http_server import (
    BodyError,
    StartResponse,
    json_answer,
    read_body,
    send_answer,
)
from ridgesill.core.recent_keys import RecentKeys
from ridgesill.core.runners import Announcement
from ridgesill.core.unknown_fields import find_unknown_fields

ANNOUNCE_PATH = "/v1/runners/announce"

_BODY_MOST = 256 * 1024
_DECODER = msgspec.json.Decoder(Announcement)
_FIELDS = tuple(field.name for field in attrs.fields(Announcement))
# Unknown fields remembered as logged.
_LOGGED_MOST = 10_000


class AnnounceApp:
    """The WSGI application of the runners' listener."""

    def __init__(self, take: Callable[[Announcement], None]) -> None:
        self._take = take
        # By runner, incarnation and field.
        self._logged = RecentKeys(_LOGGED_MOST)

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Takes one announcement."""
        if environ["PATH_INFO"] != ANNOUNCE_PATH:
            answer = json_answer(404, {"error": f"try POST {ANNOUNCE_PATH}"})
            return send_answer(answer, start_response)
        try:
            body = read_body(environ, _BODY_MOST)
            said = _DECODER.decode(body)
        except (BodyError, msgspec.MsgspecError) as error:
            answer = json_answer(400, {"error": f"no announcement: {error}"})
            return send_answer(answer, start_response)
        self._log_unknown(said, body)
        self._take(said)
        return send_answer(json_answer(200, {}), start_response)

    def _log_unknown(self, said: Announcement, body: bytes) -> None:
        """Logs fields that nothing here reads, once for each incarnation."""
        for field in find_unknown_fields(body, _FIELDS):
            if not self._logged.add((said.name, said.incarnation, field)):
                continue
            log_message(
                "runner:unknown_word",
                step="announce",
                peer=said.address,
                runner=said.name,
                word=field,
            )
