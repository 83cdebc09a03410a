"""Fields of runners' announcements that nothing reads are logged once."""

import io
import json
from typing import Any

import eliot.testing

from ridgesill.adapters.announce_http import ANNOUNCE_PATH, AnnounceApp

_SAID = {
    "name": "r1",
    "incarnation": "i1",
    "service": "s",
    "data_centre": "a",
    "address": "127.0.0.1:80",
    "slots": 2,
    "capacity": 4,
}


def announce(app: AnnounceApp, **more: Any) -> None:
    body = json.dumps({**_SAID, **more}).encode()
    environ = {
        "PATH_INFO": ANNOUNCE_PATH,
        "REQUEST_METHOD": "POST",
        "CONTENT_LENGTH": str(len(body)),
        "wsgi.input": io.BytesIO(body),
    }
    list(app(environ, lambda *_args: lambda _data: None))


class TestUnknownFields:
    def test_each_incarnation_is_logged_once(self) -> None:
        taken: list[object] = []
        app = AnnounceApp(taken.append)
        logger = eliot.MemoryLogger()
        before = eliot.testing.swap_logger(logger)
        try:
            announce(app)
            announce(app, mood="sad")
            announce(app, mood="sad")
            announce(app, mood="sad", incarnation="i2")
        finally:
            eliot.testing.swap_logger(before)
        words = [message["word"] for message in logger.messages]
        assert words == ["mood", "mood"]
        assert len(taken) == 4
