"""Tests of what goes on to an upstream, whatever a client sends."""

import asyncio
from collections.abc import AsyncIterator

import pytest

from ridgesill.core.fleet.messages import READY
from ridgesill.core.serving.customers import digest_key
from ridgesill.platform.requests import PlatformDialect
from ridgesill.ports.dialect import ForwardOptions
from ridgesill.ports.http import Headers, HttpRequest, ResponseHead
from testing.app.front_world import Call, FrontWorld

RESERVED = (
    "Hold",
    "Pin-Duration",
    "Kv-Backup",
    "Kv-From",
    "Kv-Fetch",
    "Expect-Instance",
    "Expect-Version",
    "Request-Priority",
    "Credential",
    "Tenant",
)
IDENTITY = ("Request-Id", "Model", "Token-Counts", "Prompt-Prefix")


def forward(*headers: tuple[str, str]) -> Headers:
    """Returns the headers that reach an upstream."""
    given = tuple((n.lower().encode(), v.encode()) for n, v in headers)
    request = HttpRequest(b"POST", b"/x", given, b"body")
    return (
        PlatformDialect()
        .write_upstream_request(request, ForwardOptions("u1", 1.0))
        .headers
    )


async def answer_ok(call: Call) -> None:
    await call.answer(200)


@pytest.fixture
async def world() -> AsyncIterator[FrontWorld]:
    """Returns a front without upstreams."""
    made = FrontWorld()
    await made.start()
    yield made
    await made.stop()


class TestReservedHeaders:
    @pytest.mark.parametrize("name", RESERVED)
    def test_a_client_can_t_set_one(self, name: str) -> None:
        # Four of them travelled on; engines refused such requests, and plain
        # services ran them.
        sent = forward((name, "smuggled"), (name.upper(), "again"))
        assert b"smuggled" not in [value for _, value in sent]
        assert b"again" not in [value for _, value in sent]

    @pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x"])
    async def test_none_reaches_an_upstream_in_any_place(
        self, world: FrontWorld, path: str
    ) -> None:
        upstream = await world.add("u1", answer_ok)
        client = await world.open()
        smuggled = "".join(
            f"{name}: 1\r\n{name.swapcase()}:\t2\r\n" for name in RESERVED
        )
        client.writer.write(
            f"POST {path} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r1\r\n"
            f"{smuggled}Transfer-Encoding: chunked\r\nTrailer: Hold\r\n\r\n"
            "4;hold=1;kv-from=2\r\nbody\r\n0\r\nHold: 3\r\n"
            "Kv-From: 4\r\n\r\n".encode()
        )
        assert (await client.read()).status == 200
        call = upstream.calls[0]
        assert call.body == b"body"
        for name in ("hold", "pin-duration", "kv-backup", "kv-from"):
            assert name not in call.head.lower()
        assert call.header("expect-instance") == "u1"

    async def test_the_next_request_of_the_channel_is_untouched(
        self, world: FrontWorld
    ) -> None:
        upstream = await world.add("u1", answer_ok)
        client = await world.open()
        await client.ask("/unsafe/x", b"one", hold="1", kv_from="a:1/2")
        answer = await client.ask("/unsafe/x", b"two")
        assert answer.status == 200
        assert [call.body for call in upstream.calls] == [b"one", b"two"]


class TestCallers:
    @pytest.mark.parametrize(
        "sent",
        [
            (),
            (("Credential", ""),),
            (("Credential", "  "),),
            (("Credential", "k1"), ("Credential", "k2")),
        ],
    )
    def test_none_or_several_keys_are_no_key(
        self, sent: tuple[tuple[str, str], ...]
    ) -> None:
        headers = tuple((n.lower().encode(), v.encode()) for n, v in sent)
        facts = PlatformDialect().read_request(
            HttpRequest(b"GET", b"/x", headers)
        )
        assert facts.key_digest == b""

    @pytest.mark.parametrize("key", [b"k1", b"\xff\x00", b"x" * 16_000])
    def test_any_bytes_may_be_tried_as_a_key(self, key: bytes) -> None:
        request = HttpRequest(b"GET", b"/x", ((b"credential", key),))
        facts = PlatformDialect().read_request(request)
        assert facts.key_digest == digest_key(key)

    def test_an_upstream_learns_the_customer_from_this_side_only(self) -> None:
        headers = (
            (b"tenant", b"mallory"),
            (b"credential", b"k1"),
            (b"connection", b"tenant, credential"),
        )
        terms = ForwardOptions("u1", 1.0, customer="alice")
        request = HttpRequest(b"GET", b"/x", headers)
        sent = PlatformDialect().write_upstream_request(request, terms).headers
        assert [v for n, v in sent if n == b"tenant"] == [b"alice"]
        assert b"k1" not in [v for _, v in sent]


class TestIdentity:
    @pytest.mark.parametrize("name", IDENTITY)
    def test_a_client_can_t_have_it_dropped(self, name: str) -> None:
        # A name in `Connection` concerns the channel only and is dropped.
        sent = forward(("Connection", f"close, {name}"), (name, "own"))
        assert (name.lower().encode(), b"own") in sent

    def test_others_in_any_connection_header_are_dropped(self) -> None:
        sent = forward(
            ("Connection", "close"), ("Connection", "X-Hop"), ("X-Hop", "1")
        )
        assert not [name for name, _ in sent if name == b"x-hop"]


class TestRests:
    @pytest.mark.parametrize(
        ("asked", "rest"),
        [
            (b"3", 3.0),
            (b"2.5", 2.5),
            (b"2.9999999999999996", 3.0),
            (b"86400", 60.0),
            (b"-1", 0.0),
            (b"Wed, 02 Dec 2026 10:00:00 GMT", 0.0),
            (b"1e3", 0.0),
            (b"9" * 400, 0.0),
        ],
    )
    def test_seconds_are_granted_up_to_a_minute(
        self, asked: bytes, rest: float
    ) -> None:
        head = ResponseHead(503, ((b"retry-after", asked),))
        word = PlatformDialect().read_upstream_word(head)
        assert word.rest == pytest.approx(rest)
        assert bool(word.unread) == (rest in (0.0, 60.0))

    def test_only_a_503_asks_for_rest(self) -> None:
        head = ResponseHead(200, ((b"retry-after", b"3"),))
        assert not PlatformDialect().read_upstream_word(head).rest


class TestWordsTogether:
    def test_a_rest_and_a_limit(self) -> None:
        headers = ((b"retry-after", b"2"), (b"server-limit", b"1.8"))
        word = PlatformDialect().read_upstream_word(ResponseHead(503, headers))
        assert (word.rest, word.limit) == (2.0, 1.8)

    def test_a_limit_and_leaving(self) -> None:
        headers = ((b"server-leaving", b"1"), (b"server-limit", b"1.8"))
        word = PlatformDialect().read_upstream_word(ResponseHead(200, headers))
        assert (word.leaves, word.limit) == (True, 1.8)

    def test_a_limit_of_one_that_has_another_s_address(self) -> None:
        headers = ((b"instance-id", b"i-2"), (b"server-limit", b"1.8"))
        word = PlatformDialect().read_upstream_word(ResponseHead(421, headers))
        assert (word.instance, word.limit) == ("i-2", 1.8)


class TestNumbers:
    @pytest.mark.parametrize(
        "number", ["9" * 400, "\xb2", "-1", "1e9", "\xb9,7"]
    )
    @pytest.mark.parametrize("name", ["Request-Deadline", "Token-Counts"])
    async def test_one_that_is_none_ends_no_request(
        self, world: FrontWorld, name: str, number: str
    ) -> None:
        await world.add("u1", answer_ok)
        client = await world.open()
        client.writer.write(
            "GET /safe/x HTTP/1.1\r\nHost: a.example\r\n"
            f"{name}: {number}\r\n\r\n".encode("latin-1")
        )
        assert (await asyncio.wait_for(client.read(), 2.0)).status == 200


class TestMalformed:
    @pytest.mark.parametrize(
        "line", ["Hold : 1", "Kv-From\x00: 1", "Ho ld: 1", ": 1", "Hold: \x00"]
    )
    async def test_a_malformed_header_is_refused_and_nothing_is_run(
        self, world: FrontWorld, line: str
    ) -> None:
        upstream = await world.add("u1", answer_ok)
        client = await world.open()
        client.writer.write(
            f"GET /safe/x HTTP/1.1\r\nHost: a.example\r\n{line}\r\n\r\n".encode(
                "latin-1"
            )
        )
        assert (await asyncio.wait_for(client.read(), 2.0)).status == 400
        assert upstream.calls == []
        other = await world.open()
        assert (await other.ask("/safe/x")).status == 200
        assert world.fleet.view.upstreams["u1"].state == READY
