"""Tests of the endpoint for runners' announcements."""

import io
import json
from typing import Any

import eliot.testing

from ridgesill.adapters.announce_http import ANNOUNCE_PATH, AnnounceApp

_ANNOUNCEMENT = {
    "name": "r1",
    "incarnation": "i1",
    "service": "s",
    "data_centre": "a",
    "address": "127.0.0.1:80",
    "slots": 2,
    "capacity": 4,
}


def announce(app: AnnounceApp, **changes: Any) -> None:
    """Sends an announcement with additional or changed fields."""
    body = json.dumps({**_ANNOUNCEMENT, **changes}).encode()
    environ = {
        "PATH_INFO": ANNOUNCE_PATH,
        "REQUEST_METHOD": "POST",
        "CONTENT_LENGTH": str(len(body)),
        "wsgi.input": io.BytesIO(body),
    }
    list(app(environ, lambda *_args: lambda _data: None))


class TestUnknownFields:
    def test_unknown_field_is_logged_once_per_incarnation(self) -> None:
        announcements: list[object] = []
        app = AnnounceApp(announcements.append)
        logger = eliot.MemoryLogger()
        previous_logger = eliot.testing.swap_logger(logger)
        try:
            announce(app)
            announce(app, mood="sad")
            announce(app, mood="sad")
            announce(app, mood="sad", incarnation="i2")
        finally:
            eliot.testing.swap_logger(previous_logger)
        unknown_fields = [message["word"] for message in logger.messages]
        assert unknown_fields == ["mood", "mood"]
        assert len(announcements) == 4
