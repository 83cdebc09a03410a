"""Tests of the headers that are forwarded to, and read from, upstreams."""

import asyncio
from collections.abc import AsyncIterator

import pytest

from ridgesill.core.fleet.messages import READY
from ridgesill.core.serving.customers import digest_key
from ridgesill.platform.requests import PlatformDialect
from ridgesill.ports.dialect import ForwardOptions
from ridgesill.ports.http import Headers, HttpRequest, ResponseHead
from testing.app.front_world import Call, FrontWorld

RESERVED_HEADERS = (
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
IDENTITY_HEADERS = ("Request-Id", "Model", "Token-Counts", "Prompt-Prefix")


def forward_with_headers(*headers: tuple[str, str]) -> Headers:
    """Returns the headers forwarded to an upstream for a client's headers."""
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
    """Yields a started front without upstreams."""
    made = FrontWorld()
    await made.start()
    yield made
    await made.stop()


class TestReservedHeaders:
    @pytest.mark.parametrize("name", RESERVED_HEADERS)
    def test_client_values_are_dropped(self, name: str) -> None:
        # If a client's reserved header is forwarded, an engine rejects the
        # request and a plain service runs it.
        sent = forward_with_headers((name, "smuggled"), (name.upper(), "again"))
        assert b"smuggled" not in [value for _, value in sent]
        assert b"again" not in [value for _, value in sent]

    @pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x"])
    async def test_no_variant_of_a_reserved_header_reaches_an_upstream(
        self, world: FrontWorld, path: str
    ) -> None:
        upstream = await world.add("u1", answer_ok)
        client = await world.open()
        smuggled = "".join(
            f"{name}: 1\r\n{name.swapcase()}:\t2\r\n"
            for name in RESERVED_HEADERS
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

    async def test_next_request_on_the_connection_is_unaffected(
        self, world: FrontWorld
    ) -> None:
        upstream = await world.add("u1", answer_ok)
        client = await world.open()
        await client.ask("/unsafe/x", b"one", hold="1", kv_from="a:1/2")
        answer = await client.ask("/unsafe/x", b"two")
        assert answer.status == 200
        assert [call.body for call in upstream.calls] == [b"one", b"two"]


class TestCallerKeys:
    @pytest.mark.parametrize(
        "sent",
        [
            (),
            (("Credential", ""),),
            (("Credential", "  "),),
            (("Credential", "k1"), ("Credential", "k2")),
        ],
    )
    def test_missing_or_repeated_key_is_ignored(
        self, sent: tuple[tuple[str, str], ...]
    ) -> None:
        headers = tuple((n.lower().encode(), v.encode()) for n, v in sent)
        facts = PlatformDialect().read_request(
            HttpRequest(b"GET", b"/x", headers)
        )
        assert facts.key_digest == b""

    @pytest.mark.parametrize("key", [b"k1", b"\xff\x00", b"x" * 16_000])
    def test_any_bytes_are_accepted_as_a_key(self, key: bytes) -> None:
        request = HttpRequest(b"GET", b"/x", ((b"credential", key),))
        facts = PlatformDialect().read_request(request)
        assert facts.key_digest == digest_key(key)

    def test_only_the_front_sets_the_customer(self) -> None:
        headers = (
            (b"tenant", b"mallory"),
            (b"credential", b"k1"),
            (b"connection", b"tenant, credential"),
        )
        options = ForwardOptions("u1", 1.0, customer="alice")
        request = HttpRequest(b"GET", b"/x", headers)
        sent = (
            PlatformDialect().write_upstream_request(request, options).headers
        )
        assert [v for n, v in sent if n == b"tenant"] == [b"alice"]
        assert b"k1" not in [v for _, v in sent]


class TestIdentityHeaders:
    @pytest.mark.parametrize("name", IDENTITY_HEADERS)
    def test_forwarded_even_if_listed_in_connection(self, name: str) -> None:
        # Headers that `Connection` lists are hop-by-hop and usually dropped.
        sent = forward_with_headers(
            ("Connection", f"close, {name}"), (name, "own")
        )
        assert (name.lower().encode(), b"own") in sent

    def test_other_headers_in_any_connection_header_are_dropped(self) -> None:
        sent = forward_with_headers(
            ("Connection", "close"), ("Connection", "X-Hop"), ("X-Hop", "1")
        )
        assert not [name for name, _ in sent if name == b"x-hop"]


class TestRetryAfter:
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
    def test_rest_is_limited_to_sixty_seconds(
        self, asked: bytes, rest: float
    ) -> None:
        head = ResponseHead(503, ((b"retry-after", asked),))
        word = PlatformDialect().read_upstream_word(head)
        assert word.rest == pytest.approx(rest)
        assert bool(word.unread) == (rest in (0.0, 60.0))

    def test_retry_after_counts_only_in_a_503(self) -> None:
        head = ResponseHead(200, ((b"retry-after", b"3"),))
        assert not PlatformDialect().read_upstream_word(head).rest


class TestUpstreamHeadersTogether:
    def test_rest_and_limit(self) -> None:
        headers = ((b"retry-after", b"2"), (b"server-limit", b"1.8"))
        word = PlatformDialect().read_upstream_word(ResponseHead(503, headers))
        assert (word.rest, word.limit) == (2.0, 1.8)

    def test_leaving_and_limit(self) -> None:
        headers = ((b"server-leaving", b"1"), (b"server-limit", b"1.8"))
        word = PlatformDialect().read_upstream_word(ResponseHead(200, headers))
        assert (word.leaves, word.limit) == (True, 1.8)

    def test_limit_of_an_instance_at_another_one_s_address(self) -> None:
        headers = ((b"instance-id", b"i-2"), (b"server-limit", b"1.8"))
        word = PlatformDialect().read_upstream_word(ResponseHead(421, headers))
        assert (word.instance, word.limit) == ("i-2", 1.8)


class TestNumbers:
    @pytest.mark.parametrize(
        "number", ["9" * 400, "\xb2", "-1", "1e9", "\xb9,7"]
    )
    @pytest.mark.parametrize("name", ["Request-Deadline", "Token-Counts"])
    async def test_invalid_number_does_not_fail_the_request(
        self, world: FrontWorld, name: str, number: str
    ) -> None:
        await world.add("u1", answer_ok)
        client = await world.open()
        client.writer.write(
            "GET /safe/x HTTP/1.1\r\nHost: a.example\r\n"
            f"{name}: {number}\r\n\r\n".encode("latin-1")
        )
        assert (await asyncio.wait_for(client.read(), 2.0)).status == 200


class TestMalformedHeaders:
    @pytest.mark.parametrize(
        "line", ["Hold : 1", "Kv-From\x00: 1", "Ho ld: 1", ": 1", "Hold: \x00"]
    )
    async def test_request_is_rejected_and_not_run(
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
