"""Tests of the callers' API with real processes."""

import pytest

from testing.clients import (
    CHAT_PATH,
    chat,
    chat_body,
    open_stream,
    request,
    send_raw,
)
from testing.processes import Deployment, NodeHandle, wait_until

pytestmark = pytest.mark.process


@pytest.fixture
def node(serving: Deployment) -> NodeHandle:
    return serving.nodes["n1"]


class TestBadInput:
    def test_a_body_that_is_not_json(self, node: NodeHandle) -> None:
        answer = request(node, "POST", CHAT_PATH, b"{nope")
        assert answer.status == 400
        assert answer.outcome == "not-run"
        assert answer.error["code"] == "invalid-request"
        assert "JSON" in answer.error["message"]

    @pytest.mark.parametrize(
        "body", [b"[]", b"{}", b'{"model": 3}', b'{"model": "a1", "stream": 1}']
    )
    def test_a_body_of_the_wrong_shape(
        self, node: NodeHandle, body: bytes
    ) -> None:
        assert request(node, "POST", CHAT_PATH, body).status == 400

    def test_a_body_that_is_too_large(self, node: NodeHandle) -> None:
        body = chat_body("a1", content="x" * 70_000)
        head = f"POST {CHAT_PATH} HTTP/1.1\r\nHost: x\r\n"
        head += f"Content-Length: {len(body)}\r\n\r\n"
        answer = send_raw(node, head.encode() + body)
        assert b"413" in answer.split(b"\r\n")[0]

    def test_an_unknown_adapter(self, node: NodeHandle) -> None:
        answer = chat(node, "unheard-of")
        assert (answer.status, answer.outcome) == (404, "not-run")
        assert answer.error["code"] == "unknown-adapter"

    def test_unknown_version_error_lists_known_versions(
        self, node: NodeHandle
    ) -> None:
        answer = chat(node, "a1@v9")
        assert answer.status == 404
        assert "v2, v1" in answer.error["message"]

    def test_an_adapter_that_no_data_centre_may_serve(
        self, node: NodeHandle
    ) -> None:
        answer = chat(node, "a23")
        assert (answer.status, answer.outcome) == (403, "not-run")

    def test_refusal_without_a_runner_has_retry_after(
        self, node: NodeHandle
    ) -> None:
        answer = chat(node, "lonely", {"X-Ridgesill-Timeout": "1"})
        assert (answer.status, answer.outcome) == (503, "not-run")
        assert int(answer.headers["Retry-After"]) >= 1

    def test_a_header_that_is_too_long(self, node: NodeHandle) -> None:
        head = f"GET /livez HTTP/1.1\r\nHost: x\r\nX-Long: {'y' * 70_000}\r\n"
        answer = send_raw(node, head.encode() + b"\r\n")
        assert b" 200 " not in answer.split(b"\r\n")[0]

    def test_a_slow_client_is_disconnected(self, node: NodeHandle) -> None:
        head = (
            f"POST {CHAT_PATH} HTTP/1.1\r\nHost: x\r\n"
            "Content-Length: 100\r\n\r\n"
        )
        answer = send_raw(node, head.encode() + b"{", seconds=8.0)
        assert b" 200 " not in answer.split(b"\r\n")[0]
        assert node.is_live()

    def test_an_unknown_path(self, node: NodeHandle) -> None:
        assert request(node, "GET", "/v1/nothing").status == 404

    def test_admin_paths_are_not_served_to_callers(
        self, node: NodeHandle, serving: Deployment
    ) -> None:
        headers = {"Authorization": f"Bearer {serving.token}"}
        for path in ("/v1/configuration", "/v1/status", "/metrics"):
            assert request(node, "GET", path, headers=headers).status == 404

    @pytest.mark.parametrize(
        "headers",
        [
            {"X-Ridgesill-Priority": "9"},
            {"X-Ridgesill-Timeout": "soon"},
            {"X-Ridgesill-Timeout": "-1"},
            {"Idempotency-Key": "k" * 300},
        ],
    )
    def test_invalid_headers(
        self, node: NodeHandle, headers: dict[str, str]
    ) -> None:
        assert chat(node, "a1", headers).status == 400


class TestStream:
    def test_stream_is_complete(self, node: NodeHandle) -> None:
        response, chunks = open_stream(node, "a1", max_tokens=5)
        data = b"".join(chunks)
        assert response.headers["X-Ridgesill-Outcome"] == "completed"
        assert data.count(b"data: {") == 5
        assert data.rstrip().endswith(b"data: [DONE]")

    def test_disconnected_caller_frees_its_slot(
        self, node: NodeHandle, serving: Deployment
    ) -> None:
        response, chunks = open_stream(node, "a3", max_tokens=100_000)
        next(chunks)
        response.close()

        def is_cancelled() -> bool:
            return any(
                event["event"] == "cancel"
                for stand_in in serving.stand_ins.values()
                for event in stand_in.events()
            )

        wait_until(is_cancelled, "the runner's stream is cancelled")

        def is_free() -> bool:
            runners = [
                runner
                for other in serving.nodes.values()
                for runner in serving.status(other)["runners"]
            ]
            return all(runner["in_flight"] == 0 for runner in runners)

        wait_until(is_free, "the slot is free")


class TestModels:
    def test_it_lists_adapters(self, node: NodeHandle) -> None:
        answer = request(node, "GET", "/v1/models")
        assert answer.status == 200
        assert b'"a1"' in answer.data


class TestPlainService:
    def test_a_call_is_forwarded(self, node: NodeHandle) -> None:
        answer = request(node, "POST", "/services/tickets/new", b"{}")
        assert (answer.status, answer.outcome) == (200, "completed")

    def test_headers_are_forwarded_both_ways(self, node: NodeHandle) -> None:
        headers = {"X-Trace": "abc", "X-Ridgesill-Team": "crews"}
        answer = request(node, "POST", "/services/tickets/new", b"{}", headers)
        assert answer.headers["X-Echo-Trace"] == "abc"
        assert "X-Echo-Team" not in answer.headers

    def test_an_unknown_service(self, node: NodeHandle) -> None:
        assert request(node, "GET", "/services/none/").status == 404


class TestIdempotencyKey:
    def test_resend_to_another_node_gets_the_first_response(
        self, serving: Deployment
    ) -> None:
        headers = {"Idempotency-Key": "resend"}
        path = "/services/tickets/new"
        answers = [
            request(node, "POST", path, b"{}", headers)
            for node in serving.nodes.values()
        ]
        assert {answer.status for answer in answers} == {200}
        assert len({answer.data for answer in answers}) == 1
        assert "X-Ridgesill-Replayed" in answers[1].headers

    def test_reuse_of_a_key_for_another_request_is_refused(
        self, node: NodeHandle
    ) -> None:
        headers = {"Idempotency-Key": "reused"}
        path = "/services/tickets/new"
        request(node, "POST", path, b"one", headers)
        answer = request(node, "POST", path, b"two", headers)
        assert (answer.status, answer.outcome) == (422, "not-run")

    def test_a_refused_request_frees_its_key(self, node: NodeHandle) -> None:
        headers = {"Idempotency-Key": "freed", "X-Ridgesill-Timeout": "0.5"}
        first = chat(node, "lonely", headers)
        second = chat(node, "lonely", headers)
        assert first.outcome == second.outcome == "not-run"
        assert second.error["code"] == "no-runner"

    def test_response_of_a_model_call_is_replayed(
        self, serving: Deployment
    ) -> None:
        headers = {"Idempotency-Key": "model"}
        first = chat(serving.nodes["n1"], "a5", headers)
        second = chat(serving.nodes["n3"], "a5", headers)
        assert first.status == 200
        assert first.data == second.data
