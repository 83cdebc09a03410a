"""Tests of what the platform's documents are taken for."""

from typing import Any

import msgspec
import pytest

from ridgesill.core.serving.routes import Target
from ridgesill.platform.configuration import (
    InvalidConfigurationError,
    decode_configuration,
)
from ridgesill.platform.control_calls import PlatformControlCalls
from ridgesill.platform.settings import PlatformSettingsError, read_settings
from ridgesill.platform.upstreams import (
    MalformedError,
    PlatformEngines,
    read_heartbeat,
)
from ridgesill.ports.control_calls import BadCall, PutRoutesCall, PutVersionCall
from ridgesill.ports.http import HttpRequest


def route(**fields: Any) -> dict[str, Any]:
    """Returns a route as the operator sends it."""
    return {
        "name": "r1",
        "host": "a.example",
        "prefix": "/x/",
        "kind": "safe",
        "timeout_ms": 1000,
        "goal_ms": 200,
        "priority": 2,
        "service": "s1",
        "attempts": 2,
        **fields,
    }


def document(*routes: dict[str, Any], **fields: Any) -> bytes:
    """Returns a configuration as the operator sends it."""
    services = [
        {"name": "s1", "health_path": "/health", "connection_limit": 9},
        {"name": "s2", "health_path": "/health", "connection_limit": 9},
    ]
    return msgspec.json.encode(
        {"version": 3, "routes": routes, "services": services, **fields}
    )


class TestConfiguration:
    def test_milliseconds_become_seconds(self) -> None:
        table = decode_configuration(document(route()))
        found = table.find("a.example", "/x/1")
        assert (table.version, found.timeout, found.goal) == (3, 1.0, 0.2)

    def test_a_split_has_weights(self) -> None:
        split = [{"service": "s1", "weight": 9}, {"service": "s2", "weight": 1}]
        given = route(split=split)
        del given["service"]
        found = decode_configuration(document(given)).find("a.example", "/x/")
        assert found.targets == (Target("s1", 9), Target("s2", 1))

    @pytest.mark.parametrize(
        ("data", "named"),
        [
            (document(route())[:-7], "JSON"),
            (document(route(service="s9")), "s9"),
            (document(route(), route(name="r2")), "r2"),
            (document(route(timeout_ms=0)), "timeout_ms"),
            (
                document(route(split=[{"service": "s1", "weight": 0}])),
                "weights",
            ),
            (document(route(kind="odd")), "kind"),
            (b"[]", "object"),
        ],
    )
    def test_what_is_invalid_is_named(self, data: bytes, named: str) -> None:
        with pytest.raises(InvalidConfigurationError, match=named):
            decode_configuration(data)


class TestCalls:
    def test_an_invalid_document_is_a_bad_call(self) -> None:
        request = HttpRequest(
            b"POST", b"/ridgesill/Configuration.Put", (), b"{}"
        )
        call = PlatformControlCalls().read(request)
        assert isinstance(call, BadCall)
        assert call.status == 400

    def test_a_valid_one_keeps_its_bytes(self) -> None:
        data = document(route())
        request = HttpRequest(
            b"POST", b"/ridgesill/Configuration.Put", (), data
        )
        assert PlatformControlCalls().read(request) == PutRoutesCall(3, data)

    def test_an_adapter_s_version(self) -> None:
        body = b'{"model": "m", "adapter": "a1", "version": 4}'
        request = HttpRequest(b"POST", b"/ridgesill/version-put", (), body)
        call = PlatformControlCalls().read(request)
        assert call == PutVersionCall("m/a1", 4)


class TestUpstreams:
    def test_a_heartbeat(self) -> None:
        body = msgspec.json.encode(
            {
                "service": "s1",
                "address": "10.0.0.1:80",
                "zone": "a",
                "slots": 4,
                "state": "draining",
                "sequence": 7,
                "remaining_ms": 1500,
                "models": [{"name": "m", "version": 1, "adapters": ["a1@2"]}],
            }
        )
        heartbeat = read_heartbeat("i-1", body)
        assert heartbeat.draining
        assert heartbeat.gone_in == 1.5
        assert heartbeat.resident == {"m": 1, "m/a1": 2}

    def test_a_heartbeat_that_lacks_a_field(self) -> None:
        with pytest.raises(MalformedError, match="service"):
            read_heartbeat("i-1", b"{}")

    def test_a_report_s_sequence_counts_orders(self) -> None:
        body = (
            b'{"models": [], "busy_slots": true, "sequence": 9,'
            b' "incoming": ["m/a3@2"]}'
        )
        report = PlatformEngines().read_report(body)
        assert (report.revision, report.busy) == (9, True)
        assert report.incoming == {"m/a3": 2}


class TestSettings:
    def test_what_is_wrong_is_named(self, tmp_path: Any) -> None:
        path = tmp_path / "local.yaml"
        path.write_text("node: n\nzone: a\nip: 10.0.0.1\n")
        with pytest.raises(PlatformSettingsError, match="internal_ports"):
            read_settings(str(path))

    def test_unknown_fields_are_passed_over(self, tmp_path: Any) -> None:
        path = tmp_path / "local.yaml"
        path.write_text(
            "node: n\nzone: a\nip: 10.0.0.1\nnew: 1\n"
            "internal_ports: [7000, 7010]\nseeds: ['10.0.0.2:80']\n"
            "bounds: {lease_ms: 2500, budget_slack: 7}\n"
        )
        settings = read_settings(str(path))
        assert settings.peers == "10.0.0.1:7000"
        assert settings.seeds == ("10.0.0.2:7000",)
        assert settings.bounds.lease == 2.5
        assert settings.bounds.retry_slack == 7
