"""Tests of the logs that real node processes write."""

import msgspec
import pytest

from testing.clients import chat, request
from testing.processes import Deployment

pytestmark = pytest.mark.process

_SECRET = "crew-7-asphalt-cooling"


class TestLogs:
    def test_prompts_and_tokens_are_never_logged(
        self, serving: Deployment
    ) -> None:
        node = serving.nodes["n1"]
        chat(node, "a1", content=_SECRET)
        chat(node, "unheard-of", content=_SECRET)
        request(node, "POST", "/v1/chat/completions", _SECRET.encode())
        headers = {"Idempotency-Key": "logs", "Authorization": _SECRET}
        body = _SECRET.encode()
        request(node, "POST", "/services/tickets/new", body, headers)
        serving.admin(node, "GET", "/v1/status")
        for path in serving.folder.glob("n*.*"):
            if path.suffix in (".log", ".out"):
                text = path.read_text()
                assert _SECRET not in text, path
                assert serving.token not in text, path

    def test_lines_are_json_and_the_end_has_step_and_peer(
        self, serving: Deployment
    ) -> None:
        node = serving.nodes["n1"]
        answer = chat(node, "a1")
        request_id = answer.headers["X-Ridgesill-Request"]
        lines = [
            msgspec.json.decode(line)
            for line in node.log.read_bytes().splitlines()
        ]
        request_lines = [
            line for line in lines if line.get("request") == request_id
        ]
        assert request_lines[-1]["step"] == "end"
        assert request_lines[-1]["outcome"] == "completed"
        assert request_lines[-1]["peer"]
