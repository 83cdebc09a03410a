"""Tests of what the platform's documents are taken for."""

import time
from typing import Any

import msgspec
import pytest
from hypothesis import given as drawn
from hypothesis import strategies as st

from ridgesill.core.serving.customers import Customer, Quota, digest_key
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
        assert settings.peer_address == "10.0.0.1:7000"
        assert settings.seeds == ("10.0.0.2:7000",)
        assert settings.bounds.lease_seconds == 2.5
        assert settings.bounds.retry_slack == 7


def tenant(name: str = "alice", *keys: str, **fields: Any) -> dict[str, Any]:
    """Returns a customer as the operator sends it."""
    return {"name": name, "api_keys": list(keys), **fields}


_SCALARS = st.none() | st.booleans() | st.floats() | st.text() | st.integers()


def _nest(children: Any) -> Any:
    fields = st.sampled_from(["name", "api_keys", "rate_per_s", "unit"])
    return st.lists(children) | st.dictionaries(fields, children)


class TestCustomers:
    def test_a_key_names_its_customer(self) -> None:
        quota = {
            "priority": 1,
            "unit": "tokens",
            "plain_tokens": 200,
            "rate_per_s": 500,
            "burst": 700,
        }
        given = document(route(), tenants=[tenant("alice", "k1", **quota)])
        customers = decode_configuration(given).customers
        assert customers is not None
        expected = Customer("alice", 1, Quota(500.0, 700.0, True, 200))
        assert customers.find(digest_key(b"k1")) == expected

    def test_without_customers_nobody_needs_a_key(self) -> None:
        assert decode_configuration(document(route())).customers is None

    def test_a_limit_of_nothing_is_none(self) -> None:
        given = document(route(), tenants=[tenant("alice", "k1")])
        customers = decode_configuration(given).customers
        assert customers is not None
        assert not customers.quotas

    def test_a_route_may_be_public(self) -> None:
        table = decode_configuration(document(route(public=True)))
        found = table.find("a.example", "/x/1")
        assert found is not None
        assert found.is_public

    @pytest.mark.parametrize(
        "tenants",
        [
            [tenant("alice", "k1"), tenant("bob", "k1")],
            [tenant("alice", "k1"), tenant("alice", "k2")],
            [tenant("alice", "")],
            [tenant("alice", "a b")],
            [tenant("alice", "k\n")],
            [tenant("alice", "x" * 257)],
            [tenant("", "k1")],
            [tenant("a\r\nb", "k1")],
            [tenant("alice", "k1", rate_per_s=-1)],
            [tenant("alice", "k1", rate_per_s="9")],
            [tenant("alice", "k1", unit="bytes")],
            [{"name": "alice", "api_keys": "k1"}],
            ["alice"],
            "alice",
        ],
    )
    def test_what_makes_no_sense_is_refused(self, tenants: Any) -> None:
        with pytest.raises(InvalidConfigurationError, match="nothing was"):
            decode_configuration(document(route(), tenants=tenants))

    def test_no_error_shows_a_key(self) -> None:
        tenants = [tenant("alice", "s3cret"), tenant("bob", "s3cret")]
        with pytest.raises(InvalidConfigurationError) as caught:
            decode_configuration(document(route(), tenants=tenants))
        assert "s3cret" not in str(caught.value)
        assert "alice" in str(caught.value)

    @drawn(st.recursive(_SCALARS, _nest, max_leaves=8))
    def test_any_other_document_is_refused_or_read(self, tenants: Any) -> None:
        try:
            decode_configuration(document(route(), tenants=tenants))
        except InvalidConfigurationError as error:
            assert "nothing was changed" in str(error)

    def test_ten_thousand_customers_decode_in_time(self) -> None:
        tenants = [
            tenant(f"c{n}", *(f"key-{n}-{k}" for k in range(50)))
            for n in range(10_000)
        ]
        given = document(route(), tenants=tenants)
        began = time.process_time()
        decode_configuration(given)
        # A fifth of the shortest time in which a change must be in force,
        # on a core that is shared with another process.
        assert time.process_time() - began < 4.0
