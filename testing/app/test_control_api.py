"""Tests of the calls that the operator and upstreams make."""

from collections.abc import AsyncIterator

import msgspec
import pytest

from ridgesill.app.control_api import ControlApi
from ridgesill.core.commands import NoteUpstreamEnd
from ridgesill.core.serving.fingerprints import Fingerprint
from ridgesill.core.serving.routes import RouteTable, Service
from ridgesill.platform.configuration import decode_configuration
from ridgesill.platform.control_calls import PlatformControlCalls
from ridgesill.ports.http import Headers, HttpRequest
from testing.app.lone_node import LoneNode, storage_of
from testing.platform.test_configuration import make_document, make_route

pytestmark = pytest.mark.looptime

_PUT = b"/ridgesill/Configuration.Put"
_GET = b"/ridgesill/Configuration.Get"
_BEAT = b"/ridgesill/Instances.Heartbeat/u1"
# All that each heartbeat names; one that lacks a field is refused.
_SAID = {
    "service": "s1",
    "address": "10.0.1.1:80",
    "zone": "a",
    "slots": 4,
    "state": "ready",
    "sequence": 1,
}

_LIST = b"/ridgesill/Quarantine.List"
_LIFT = b"/ridgesill/Quarantine.Lift/"


class Recorder:
    """Implements `ports.http.Responder`; keeps the answer."""

    def __init__(self) -> None:
        self.started = False
        self.status = 0
        self.body = b""

    def send_head(
        self, status: int, headers: Headers, reason: bytes = b""
    ) -> None:
        self.started = True
        self.status = status

    def send_data(self, data: bytes) -> None:
        self.body += data

    async def drain(self) -> None:
        return

    def finish(self) -> None:
        return

    def abort(self) -> None:
        raise AssertionError("an answer to a call was cut off")


class Api:
    """The control address of a node that leads alone."""

    def __init__(self) -> None:
        self.node = LoneNode(storage_of(""))
        self._api = ControlApi(
            self.node.control,
            self.node.owner,
            PlatformControlCalls(),
            lambda: "10.0.0.1:80",
        )

    async def call(self, path: bytes, body: bytes = b"") -> Recorder:
        """Makes a call."""
        method = b"POST" if body else b"GET"
        answer = Recorder()
        await self._api.serve(HttpRequest(method, path, (), body), answer)
        return answer


@pytest.fixture
async def api() -> AsyncIterator[Api]:
    """Returns the API of a node that owns the fleet."""
    made = Api()
    await made.node.start()
    yield made
    made.node.stop()


class TestConfiguration:
    async def test_what_was_put_is_read_back_byte_for_byte(
        self, api: Api
    ) -> None:
        data = make_document(make_route())
        assert (await api.call(_PUT, data)).status == 200
        answer = await api.call(_GET)
        assert (answer.status, answer.body) == (200, data)

    async def test_the_same_or_an_older_one_is_taken_and_changes_nothing(
        self, api: Api
    ) -> None:
        data = make_document(make_route())
        await api.call(_PUT, data)
        assert (await api.call(_PUT, data)).status == 200
        other = make_document(make_route(prefix="/y/"))
        assert (await api.call(_PUT, other)).status == 200
        older = make_document(make_route(prefix="/z/"), version=1)
        assert (await api.call(_PUT, older)).status == 200
        assert (await api.call(_GET)).body == data

    async def test_an_invalid_one_is_refused_and_changes_nothing(
        self, api: Api
    ) -> None:
        data = make_document(make_route())
        await api.call(_PUT, data)
        bad = make_document(make_route(service="nobody"), version=9)
        answer = await api.call(_PUT, bad)
        assert answer.status == 400
        assert b"nobody" in answer.body
        assert (await api.call(_GET)).body == data

    async def test_before_the_first_there_is_none(self, api: Api) -> None:
        assert (await api.call(_GET)).status == 404


class TestHeartbeats:
    async def test_one_is_acknowledged_with_where_to_send_the_next(
        self, api: Api
    ) -> None:
        body = msgspec.json.encode(_SAID)
        answer = await api.call(_BEAT, body)
        assert answer.status == 200
        assert msgspec.json.decode(answer.body) == {
            "heartbeat_address": "10.0.0.1:80"
        }

    async def test_without_an_owner_it_is_sent_elsewhere(self) -> None:
        api = Api()
        body = msgspec.json.encode(_SAID)
        assert (await api.call(_BEAT, body)).status == 503

    async def test_one_of_a_service_that_no_configuration_names_is_refused(
        self, api: Api
    ) -> None:
        # It was accepted, and told to all nodes.
        said = {**_SAID, "service": "s9"}
        api.node.owner.apply_table(RouteTable(1, [], [Service("s1", "/", 0)]))
        answer = await api.call(_BEAT, msgspec.json.encode(said))
        assert answer.status == 400
        assert b"service" in answer.body
        answer = await api.call(_BEAT, msgspec.json.encode(_SAID))
        assert answer.status == 200

    async def test_one_that_can_not_be_read(self, api: Api) -> None:
        assert (await api.call(_BEAT, b"{}")).status == 400


class TestQuarantine:
    async def _hold(self, api: Api) -> str:
        held = Fingerprint("target", "content", "caller")
        for number in range(3):
            noted = NoteUpstreamEnd(f"i-{number}", (held,))
            await api.node.control.propose(noted, 1.0)
        return held.content

    async def test_operators_see_what_is_held_and_lift_it(
        self, api: Api
    ) -> None:
        content = await self._hold(api)
        listed = await api.call(_LIST)
        assert msgspec.json.decode(listed.body) == [
            {"request": content, "ended": ["i-0", "i-1", "i-2"]}
        ]
        lifted = await api.call(_LIFT + content.encode(), b"{}")
        assert lifted.status == 200
        listed = await api.call(_LIST)
        assert msgspec.json.decode(listed.body) == []

    async def test_what_is_not_held_can_not_be_lifted(self, api: Api) -> None:
        lifted = await api.call(_LIFT + b"unknown", b"{}")
        assert lifted.status == 404


class TestQuotas:
    async def test_operators_see_what_customers_use(self, api: Api) -> None:
        customer = {"name": "alice", "api_keys": ["s3cret"], "rate_per_s": 5}
        put = make_document(make_route(), tenants=[{**customer, "burst": 7}])
        assert (await api.call(_PUT, put)).status == 200
        api.node.owner.apply_table(decode_configuration(put))
        listed = await api.call(b"/ridgesill/Quotas.List")
        (said,) = msgspec.json.decode(listed.body)
        assert (said["customer"], said["allowed"]) == ("alice", 8 * 5 + 7)
        assert b"s3cret" not in listed.body

    async def test_another_node_names_the_one_that_knows(
        self, api: Api
    ) -> None:
        api.node.owner._give_up()
        listed = await api.call(b"/ridgesill/Quotas.List")
        assert listed.status == 503
        assert b"owner is" in listed.body
