"""Tests of the administration API with real processes."""

import pytest
import urllib3

from bench.demo import make_configuration
from testing.clients import chat
from testing.processes import Deployment, NodeHandle, send_request

pytestmark = pytest.mark.process


@pytest.fixture
def node(serving: Deployment) -> NodeHandle:
    return serving.nodes["n2"]


def get(node: NodeHandle, path: str, token: str) -> urllib3.BaseHTTPResponse:
    """Returns the response to a GET request with a token."""
    headers = {"Authorization": token} if token else {}
    url = f"http://{node.admin}{path}"
    return send_request("GET", url, headers=headers)


class TestToken:
    @pytest.mark.parametrize("token", ["", "Bearer wrong", "Basic x"])
    def test_response_without_valid_token_is_empty_401(
        self, node: NodeHandle, token: str
    ) -> None:
        for path in ("/v1/status", "/v1/nothing", "/metrics"):
            answer = get(node, path, token)
            assert (answer.status, answer.data) == (401, b"")


class TestStatus:
    def test_status_lists_nodes_voters_and_pools(
        self, serving: Deployment
    ) -> None:
        leader = serving.leader()
        assert leader is not None
        status = serving.status(leader)
        assert {n["name"] for n in status["nodes"]} == {"n1", "n2", "n3"}
        assert len(status["voters"]) == 3
        pools = {pool["pool"] for pool in status["pools"]}
        assert {"east/assist", "west/assist", "east/tickets"} <= pools

    def test_configuration_version_has_reached_all_nodes(
        self, serving: Deployment
    ) -> None:
        leader = serving.leader()
        assert leader is not None
        shown = serving.show(leader)
        assert shown["version"] == 1
        assert shown["fresh"] is True
        assert shown["everywhere"] is True


class TestMetrics:
    def test_histograms_carry_team_and_class(
        self, node: NodeHandle, serving: Deployment
    ) -> None:
        assert chat(node, "a1", {"X-Ridgesill-Priority": "2"}).status == 200
        page = get(node, "/metrics", f"Bearer {serving.token}").data.decode()
        assert "ridgesill_configuration_version 1.0" in page
        labels = '{class="2",team="crews"}'
        for name in (
            "first_byte_seconds",
            "total_seconds",
            "load_stall_seconds",
            "queue_wait_seconds",
            "batch_size",
        ):
            assert f"ridgesill_{name}_count{labels} 1.0" in page


class TestApply:
    def test_invalid_file_is_rejected_with_all_errors(
        self, node: NodeHandle, serving: Deployment
    ) -> None:
        text = make_configuration().replace("version = 1", "version = 2", 1)
        text = text.replace("team = crews", "team = nobody", 1)
        text += "\n[adapter worse]\nteam = potters\nservice = tickets\n"
        answer = serving.apply(node, text)
        assert "[adapter a1] team" in answer
        assert "[adapter worse] versions" in answer
        assert serving.show(node)["version"] == 1

    def test_the_same_file_again_is_accepted(
        self, node: NodeHandle, serving: Deployment
    ) -> None:
        answer = serving.apply(node, make_configuration())
        assert "version 1 is accepted" in answer

    def test_same_version_with_other_content_is_rejected(
        self, node: NodeHandle, serving: Deployment
    ) -> None:
        text = make_configuration() + "\n[team late]\n"
        answer = serving.apply(node, text)
        assert "version 1 is in force" in answer
