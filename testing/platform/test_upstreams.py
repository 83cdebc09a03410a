"""Tests of what upstreams say of themselves, and of what others write."""

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

_SAID = {
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
_NEEDED = ("service", "address", "zone", "slots", "state", "sequence")
_HEARTBEAT = b"/ridgesill/Instances.Heartbeat/"


def say(**changes: Any) -> bytes:
    """Returns what an upstream says, with changes."""
    return msgspec.json.encode({**_SAID, **changes})


def read(body: bytes, path: bytes = _HEARTBEAT + b"i-1") -> object:
    """Returns the call that a body makes."""
    return PlatformControlCalls().read(HttpRequest(b"POST", path, (), body))


class TestRestarts:
    def test_one_that_starts_again_under_its_name_is_heard(self) -> None:
        # A runner may start again under the name that it had. Its counts then
        # begin anew, and its status reports were passed over as older than
        # the last one of before: for as long as the name was known it stayed
        # silent, and what it had held stayed in the books.
        registry = Registry(1, 5.0)
        assert registry.handle_heartbeat(read_heartbeat("i-1", say()), 0.0)
        again = say(born=2_000, sequence=1, models=[])
        assert registry.handle_heartbeat(read_heartbeat("i-1", again), 1.0)
        late = read_heartbeat("i-1", say(sequence=51))
        assert not registry.handle_heartbeat(late, 1.1)
        assert [u.resident for u in registry.upstreams.values()] == [{}]


class TestNames:
    def test_an_order_names_what_the_upstream_answers_to(self) -> None:
        name = read_heartbeat("i-1", say()).name
        assert name != "i-1"
        order = FleetOrder(
            Action.LOAD, name, "10.0.0.1:80", "m/a1", 0, "vm", 7, 3
        )
        request = PlatformEngines().write_order_request(order)
        assert (b"expect-instance", b"i-1") in request.headers
        assert msgspec.json.decode(request.body)["expected_revision"] == 3

    def test_a_report_tells_the_start(self) -> None:
        report = PlatformEngines().read_report(b'{"sequence": 3, "born": 7}')
        assert (report.revision, report.start) == (3, 7)


_WRONG = st.one_of(
    st.none(),
    st.booleans(),
    st.lists(st.integers(), max_size=2),
    st.dictionaries(st.text(max_size=3), st.integers(), max_size=2),
    st.floats(allow_nan=False, allow_infinity=False),
)


class TestForeignWriters:
    @given(field=st.sampled_from(_NEEDED), wrong=_WRONG)
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
    def test_a_field_missing_or_of_another_type_is_refused_by_its_name(
        self, field: str, wrong: Any
    ) -> None:
        # Strings were made of any type, and any state but one was taken for
        # ready; a list of models that was none ended in an error of our own.
        call = read(say(**{field: wrong}))
        assert isinstance(call, BadCall)
        assert call.status == 400
        assert field in call.detail
        assert len(call.detail) <= 300
        said = {name: value for name, value in _SAID.items() if name != field}
        without = read(msgspec.json.encode(said))
        if field in _NEEDED:
            assert isinstance(without, BadCall)
            assert field in without.detail

    @given(st.binary(max_size=200))
    @example(b'{"state": "\xff"}')
    @example(b"[" * 100_000)
    @example(b'{"new": ' + b"[" * 100_000 + b"]" * 100_000 + b"}")
    @example(b"null")
    @example(b"9" * 10_000)
    def test_what_cannot_be_read_is_refused(self, body: bytes) -> None:
        # Deep nesting ended in an error of our own; any text was a name.
        assert isinstance(read(body), BadCall)
        for name in (b"", b"a b", b"i\x7f", b"i" * 300, b"i/j", b"i#2"):
            assert isinstance(read(say(), _HEARTBEAT + name), BadCall)

    @given(st.dictionaries(st.text(max_size=8), st.integers(), max_size=3))
    def test_fields_that_are_not_known_are_passed_over(
        self, more: dict[str, int]
    ) -> None:
        new = {f"new-{name}": value for name, value in more.items()}
        assert isinstance(read(say(**new)), HeartbeatCall)

    @given(st.binary(max_size=200))
    @example(b"[" * 100_000)
    @example(b'{"sequence": "7"}')
    @example(b'{"sequence": 7, "models": 3}')
    @example(b'{"sequence": 7, "incoming": ["m/a1@x"]}')
    @example(b'{"sequence": -1}')
    def test_a_report_that_cannot_be_read_is_no_report(
        self, body: bytes
    ) -> None:
        with pytest.raises(MalformedError):
            PlatformEngines().read_report(body)

    def test_a_departure_may_say_nothing_or_its_start(self) -> None:
        path = b"/ridgesill/Instances.Leave/i-1"
        assert read(b"", path) == LeaveCall("i-1", 0)
        assert read(b'{"born": 7}', path) == LeaveCall("i-1", 7)
        call = read(b'{"born": "7"}', path)
        assert isinstance(call, BadCall)
        assert "born" in call.detail
