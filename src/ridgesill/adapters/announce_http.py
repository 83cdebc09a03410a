"""The HTTP endpoint to which runners send announcements."""

from collections.abc import Callable, Iterable
from typing import Any

import attrs
import msgspec
from eliot import log_message

from ridgesill.adapters.http_server import (
    BodyError,
    StartResponse,
    json_response,
    read_body,
    send_response,
)
from ridgesill.core.recent_keys import RecentKeys
from ridgesill.core.runners import Announcement
from ridgesill.core.unknown_fields import find_unknown_fields

ANNOUNCE_PATH = "/v1/runners/announce"

_MAX_BODY_BYTES = 256 * 1024
_DECODER = msgspec.json.Decoder(Announcement)
_KNOWN_FIELDS = tuple(field.name for field in attrs.fields(Announcement))
# Unknown fields remembered so as to log each one only once.
_MAX_LOGGED_FIELDS = 10_000


class AnnounceApp:
    """The WSGI application that receives runners' announcements.

    Args:
        handle_announcement: called with each valid announcement.
    """

    def __init__(
        self, handle_announcement: Callable[[Announcement], None]
    ) -> None:
        self._handle_announcement = handle_announcement
        # Keys are tuples of runner, incarnation and field.
        self._logged = RecentKeys(_MAX_LOGGED_FIELDS)

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serves a request with an announcement."""
        if environ["PATH_INFO"] != ANNOUNCE_PATH:
            response = json_response(
                404, {"error": f"try POST {ANNOUNCE_PATH}"}
            )
            return send_response(response, start_response)
        try:
            body = read_body(environ, _MAX_BODY_BYTES)
            announcement = _DECODER.decode(body)
        except (BodyError, msgspec.MsgspecError) as error:
            response = json_response(
                400, {"error": f"no announcement: {error}"}
            )
            return send_response(response, start_response)
        self._log_unknown_fields(announcement, body)
        self._handle_announcement(announcement)
        return send_response(json_response(200, {}), start_response)

    def _log_unknown_fields(
        self, announcement: Announcement, body: bytes
    ) -> None:
        """Logs each unknown field once for each incarnation of a runner."""
        for field in find_unknown_fields(body, _KNOWN_FIELDS):
            if not self._logged.add(
                (announcement.name, announcement.incarnation, field)
            ):
                continue
            log_message(
                "runner:unknown_word",
                step="announce",
                peer=announcement.address,
                runner=announcement.name,
                word=field,
            )
