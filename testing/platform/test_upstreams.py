"""Tests of decoding upstreams' messages, including invalid ones."""

from typing import Any

import msgspec
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from ridgesill.core.fleet.orders import Action, FleetOrder
from ridgesill.core.fleet.registry import Registry
from ridgesill.platform.control_calls import PlatformControlCalls
from ridgesill.platform.upstreams import (
    MalformedError,
    PlatformEngines,
    read_heartbeat,
)
from ridgesill.ports.control_calls import BadCall, HeartbeatCall, LeaveCall
from ridgesill.ports.http import HttpRequest

_HEARTBEAT_FIELDS = {
    "service": "s1",
    "address": "10.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "cold_remaining_ms": 0,
    "models": [{"name": "m", "version": 1, "adapters": ["a1@2"]}],
    "sequence": 50,
    "born": 1_000,
}
_REQUIRED_FIELDS = (
    "service",
    "address",
    "zone",
    "version",
    "slots",
    "state",
    "sequence",
)
_HEARTBEAT_PATH = b"/ridgesill/Instances.Heartbeat/"


def make_heartbeat(**changes: Any) -> bytes:
    """Returns an encoded heartbeat with the given fields changed."""
    return msgspec.json.encode({**_HEARTBEAT_FIELDS, **changes})


def read_call(body: bytes, path: bytes = _HEARTBEAT_PATH + b"i-1") -> object:
    """Decodes the call with this body and path."""
    return PlatformControlCalls().read(HttpRequest(b"POST", path, (), body))


class TestRestarts:
    def test_heartbeats_after_a_restart_under_the_same_name_are_accepted(
        self,
    ) -> None:
        # A restarted upstream keeps its identifier but counts its heartbeats
        # from 1 again. Without the start time they look older than the last
        # heartbeat before the restart and are ignored, so that the upstream
        # looks silent and the artifacts it held before stay registered.
        registry = Registry(1, 5.0)
        assert registry.handle_heartbeat(
            read_heartbeat("i-1", make_heartbeat()), 0.0
        )
        restarted = make_heartbeat(born=2_000, sequence=1, models=[])
        assert registry.handle_heartbeat(read_heartbeat("i-1", restarted), 1.0)
        delayed = read_heartbeat("i-1", make_heartbeat(sequence=51))
        assert not registry.handle_heartbeat(delayed, 1.1)
        assert [u.resident for u in registry.upstreams.values()] == [{}]


class TestIncarnationNames:
    def test_order_names_the_upstream_by_its_own_identifier(self) -> None:
        name = read_heartbeat("i-1", make_heartbeat()).name
        assert name != "i-1"
        order = FleetOrder(
            Action.LOAD, name, "10.0.0.1:80", "m/a1", 0, "vm", 7, 3
        )
        request = PlatformEngines().write_order_request(order)
        assert (b"expect-instance", b"i-1") in request.headers
        assert msgspec.json.decode(request.body)["expected_revision"] == 3

    def test_report_carries_the_start_time(self) -> None:
        report = PlatformEngines().read_report(b'{"sequence": 3, "born": 7}')
        assert (report.revision, report.start) == (3, 7)


_INVALID_VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.lists(st.integers(), max_size=2),
    st.dictionaries(st.text(max_size=3), st.integers(), max_size=2),
    st.floats(allow_nan=False, allow_infinity=False),
)


class TestInvalidMessages:
    @given(field=st.sampled_from(_REQUIRED_FIELDS), wrong=_INVALID_VALUES)
    @example(field="state", wrong="resting")
    @example(field="sequence", wrong=-1)
    @example(field="sequence", wrong=10**400)
    @example(field="sequence", wrong="7")
    @example(field="slots", wrong=0)
    @example(field="slots", wrong=-4)
    @example(field="address", wrong="nowhere")
    @example(field="address", wrong="10.0.0.1:port")
    @example(field="address", wrong="10.0.0.1:99999")
    @example(field="service", wrong="")
    @example(field="models", wrong=7)
    @example(field="models", wrong=[7])
    @example(field="models", wrong=[{"name": "m", "adapters": [3]}])
    @example(field="models", wrong=[{"name": "m", "adapters": ["a1@x"]}])
    @example(field="born", wrong=1.5)
    @example(field="born", wrong="1000")
    @example(field="version", wrong=2)
    @example(field="version", wrong="")
    def test_error_names_a_missing_or_invalid_field(
        self, field: str, wrong: Any
    ) -> None:
        # Guards against lenient decoding that converts any type to a string,
        # takes every state but one for ready, and fails with an internal error
        # if `models` is not a list.
        call = read_call(make_heartbeat(**{field: wrong}))
        assert isinstance(call, BadCall)
        assert call.status == 400
        assert field in call.detail
        assert len(call.detail) <= 300
        fields = {
            name: value
            for name, value in _HEARTBEAT_FIELDS.items()
            if name != field
        }
        without = read_call(msgspec.json.encode(fields))
        if field in _REQUIRED_FIELDS:
            assert isinstance(without, BadCall)
            assert field in without.detail

    @given(st.binary(max_size=200))
    @example(b'{"state": "\xff"}')
    @example(b"[" * 100_000)
    @example(b'{"new": ' + b"[" * 100_000 + b"]" * 100_000 + b"}")
    @example(b"null")
    @example(b"9" * 10_000)
    def test_malformed_bodies_and_identifiers_are_rejected(
        self, body: bytes
    ) -> None:
        # Guards against internal errors on deeply nested bodies, and against
        # accepting any text as an identifier.
        assert isinstance(read_call(body), BadCall)
        for name in (b"", b"a b", b"i\x7f", b"i" * 300, b"i/j", b"i#2"):
            assert isinstance(
                read_call(make_heartbeat(), _HEARTBEAT_PATH + name), BadCall
            )

    @given(st.dictionaries(st.text(max_size=8), st.integers(), max_size=3))
    def test_unknown_fields_are_ignored(self, more: dict[str, int]) -> None:
        new = {f"new-{name}": value for name, value in more.items()}
        assert isinstance(read_call(make_heartbeat(**new)), HeartbeatCall)

    @given(st.binary(max_size=200))
    @example(b"[" * 100_000)
    @example(b'{"sequence": "7"}')
    @example(b'{"sequence": 7, "models": 3}')
    @example(b'{"sequence": 7, "incoming": ["m/a1@x"]}')
    @example(b'{"sequence": -1}')
    def test_malformed_report_is_rejected(self, body: bytes) -> None:
        with pytest.raises(MalformedError):
            PlatformEngines().read_report(body)

    def test_a_report_of_more_names_than_an_engine_holds_is_rejected(
        self,
    ) -> None:
        """Guards against a control node that one valid report ends."""
        names = [f"a{number}" for number in range(4096)]
        models = [{"name": "m", "adapters": names[1:]}]
        assert isinstance(
            read_call(make_heartbeat(models=models)), HeartbeatCall
        )
        models = [{"name": "m", "adapters": names}]
        call = read_call(make_heartbeat(models=models))
        assert isinstance(call, BadCall)
        assert "models: 4097" in call.detail
        report = msgspec.json.encode({"sequence": 7, "models": models})
        with pytest.raises(MalformedError, match="models: 4097"):
            PlatformEngines().read_report(report)
        incoming = msgspec.json.encode(
            {"sequence": 7, "incoming": [*names, "b"]}
        )
        with pytest.raises(MalformedError, match="incoming: 4097"):
            PlatformEngines().read_report(incoming)

    def test_leave_body_is_empty_or_holds_the_start_time(self) -> None:
        path = b"/ridgesill/Instances.Leave/i-1"
        assert read_call(b"", path) == LeaveCall("i-1", 0)
        assert read_call(b'{"born": 7}', path) == LeaveCall("i-1", 7)
        call = read_call(b'{"born": "7"}', path)
        assert isinstance(call, BadCall)
        assert "born" in call.detail
