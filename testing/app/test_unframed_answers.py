"""Tests of answers whose end no framing marks: they may be broken off."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

import pytest
from eliot import add_destinations, remove_destination

from ridgesill.app.answer_end import AnswerEnd
from ridgesill.app.answer_relay import AnswerRelay
from ridgesill.core.completeness import Completeness
from ridgesill.standin.emulator.clock import run_on_virtual_clock
from testing.app.front_world import (
    Answer,
    Call,
    FrontWorld,
    ScriptedUpstream,
)

STREAM = {"model": "base/a1", "token_counts": "10,70"}
EVENT_STREAM = "text/event-stream"
JSON = "application/json"
EVENTS = b"id: 1\ndata: x\n\nid: 2\ndata: x\n\n"
PART = b"id: 3\nda"
LEAVING = "Server-Leaving: 1"
MARK = b"id: 3\ndata: [DONE]\n\n"
# More than the kernel takes for a client that reads nothing.
LONG_EVENTS = b"id: 1\ndata: %s\n\n" % (b"x" * 2**20) * 12

Script = Callable[[Call], Awaitable[None]]


def end_unframed(content_type: str, body: bytes) -> Script:
    """Returns a script that sends a body and closes the connection."""

    async def answer(call: Call) -> None:
        await call.begin_unframed(content_type)
        await call.send(body)
        call.writer.close()

    return answer


async def end_chunks_inside_an_event(call: Call) -> None:
    await call.begin_stream()
    await call.send_event(1)
    await call.send(b"8\r\n%s\r\n" % PART)
    await call.end_stream()


async def resume_framed(call: Call) -> None:
    """Sends event 3, after which the stream ends, in chunks."""
    await call.begin_stream()
    for number in range(int(call.header("last-event-id") or 0) + 1, 4):
        await call.send_event(number)
    await call.end_stream()


async def add_engine(
    world: FrontWorld, name: str, script: Script
) -> ScriptedUpstream:
    return await world.add(name, script, "engine", base__a1=1)


async def ask(world: FrontWorld, path: str) -> Answer:
    """Sends a request of the kind that the path stands for."""
    client = await world.open()
    headers = {} if path.startswith(("/safe", "/unsafe")) else STREAM
    body = b"" if path.startswith("/safe") else b"b"
    return await client.ask(path, body, **headers)


@contextlib.contextmanager
def collect_lines(message_type: str) -> Iterator[list[dict[str, Any]]]:
    """Collects the log lines of a type."""
    lines: list[dict[str, Any]] = []

    def record(line: dict[str, Any]) -> None:
        if line.get("message_type") == message_type:
            lines.append(line)

    add_destinations(record)
    # The first destination also gets what was logged before it was added.
    lines.clear()
    try:
        yield lines
    finally:
        remove_destination(record)


class TestBrokenStreams:
    async def test_a_stream_that_ends_inside_an_event_does_not_look_complete(
        self, world: FrontWorld
    ) -> None:
        await add_engine(world, "u1", end_unframed(EVENT_STREAM, EVENTS + PART))
        answer = await ask(world, "/stream/x")
        assert (answer.status, answer.complete) == (200, False)
        assert answer.body.startswith(EVENTS)

    async def test_chunks_that_end_inside_an_event_do_not_look_complete(
        self, world: FrontWorld
    ) -> None:
        await add_engine(world, "u1", end_chunks_inside_an_event)
        assert not (await ask(world, "/stream/x")).complete

    async def test_a_stream_without_an_event_is_no_answer(
        self, world: FrontWorld
    ) -> None:
        await add_engine(world, "u1", end_unframed(EVENT_STREAM, b""))
        assert (await ask(world, "/stream/x")).status == 502

    async def test_a_stream_without_its_end_mark_does_not_look_complete(
        self, world: FrontWorld
    ) -> None:
        async def whole(call: Call) -> None:
            await call.begin_stream()
            await call.send(b"%x\r\n%s\r\n" % (len(MARK), MARK))
            await call.end_stream()

        upstream = await add_engine(world, "u1", whole)
        assert (await ask(world, "/stream/x")).complete
        upstream.script = end_unframed(EVENT_STREAM, EVENTS)
        assert not (await ask(world, "/stream/x")).complete

    async def test_a_stream_of_an_upstream_that_crashed_does_not_look_complete(
        self, world: FrontWorld
    ) -> None:
        async def crash(call: Call) -> None:
            await call.begin_unframed(EVENT_STREAM)
            await call.send(EVENTS)
            upstream.stop()
            call.writer.close()

        upstream = await add_engine(world, "u1", crash)
        assert not (await ask(world, "/stream/x")).complete

    async def test_a_stream_of_an_upstream_that_left_does_not_look_complete(
        self, world: FrontWorld
    ) -> None:
        """Guards against departures that cut the streams in progress."""

        async def leave(call: Call) -> None:
            await call.begin_unframed(EVENT_STREAM, LEAVING)
            await call.send(EVENTS)
            upstream.stop()
            call.writer.close()

        upstream = await add_engine(world, "u1", leave)
        with collect_lines("request:answer_end") as lines:
            answer = await ask(world, "/stream/x")
        assert (answer.body, answer.complete) == (EVENTS, False)
        assert lines[0]["completeness"] == "broken"

    async def test_an_unread_channel_does_not_show_that_an_upstream_is_there(
        self, world: FrontWorld
    ) -> None:
        """Guards against channels whose end isn't noticed for a slow client."""

        async def answer(call: Call) -> None:
            await call.begin_unframed(EVENT_STREAM)
            if call.number == 0:
                call.writer.write(LONG_EVENTS)
                filled.set()
                await call.wait_closed()
                return
            await call.send(EVENTS)
            await ends.wait()
            upstream.stop()
            for each in upstream.calls:
                each.writer.transport.abort()
            call.writer.close()

        filled, ends = asyncio.Event(), asyncio.Event()
        upstream = await add_engine(world, "u1", answer)
        slow, client = await world.open(), await world.open()
        slow.writer.transport.pause_reading()
        await slow.send("/stream/x", b"b", **STREAM)
        await asyncio.wait_for(filled.wait(), 5.0)
        await asyncio.sleep(0.5)
        await client.send("/stream/x", b"b", **STREAM)
        await asyncio.sleep(0.2)
        ends.set()
        assert not (await client.read()).complete

    async def test_a_stream_cut_just_before_its_deadline_looks_incomplete(
        self, world: FrontWorld
    ) -> None:
        """Guards against too little time to ask whether an upstream runs."""

        async def crash(call: Call) -> None:
            await call.begin_unframed(EVENT_STREAM)
            await call.send(EVENTS)
            # In half of the time that is left, the front can't ask after 30 ms.
            await asyncio.sleep(0.95)
            upstream.stop()
            call.writer.close()

        upstream = await add_engine(world, "u1", crash)
        client = await world.open()
        answer = await client.ask(
            "/stream/x", b"b", request_deadline="1000", **STREAM
        )
        assert (answer.body, answer.complete) == (EVENTS, False)

    async def test_a_stream_that_a_cut_of_all_ways_ends_does_not_look_complete(
        self, world: FrontWorld
    ) -> None:
        async def cut(call: Call) -> None:
            await call.begin_unframed(EVENT_STREAM)
            await call.send(EVENTS)
            for upstream in upstreams:
                upstream.stop()
            call.writer.close()

        upstreams = [
            await add_engine(world, name, cut) for name in ("u1", "u2")
        ]
        assert not (await ask(world, "/stream/x")).complete

    @pytest.mark.parametrize("body", [EVENTS, EVENTS + PART])
    async def test_a_broken_stream_is_resumed_after_its_last_whole_event(
        self, world: FrontWorld, body: bytes
    ) -> None:
        async def crash(call: Call) -> None:
            if call.header("last-event-id"):
                await resume_framed(call)
                return
            await call.begin_unframed(EVENT_STREAM)
            await call.send(body)
            for upstream in upstreams:
                if call in upstream.calls:
                    upstream.stop()
            call.writer.close()

        upstreams = [await add_engine(world, n, crash) for n in ("u1", "u2")]
        answer = await ask(world, "/resume/x")
        assert (answer.complete, answer.framed) == (True, False)
        assert answer.body == EVENTS + b"id: 3\ndata: x\n\n"
        resumed = [c for u in upstreams for c in u.calls][-1]
        assert {len(u.calls) for u in upstreams} == {1}, resumed.head

    async def test_chunks_do_not_end_as_whole_after_an_unverified_part(
        self, world: FrontWorld
    ) -> None:
        async def begin(call: Call) -> None:
            if call.header("last-event-id"):
                await end_unframed(EVENT_STREAM, b"id: 2\ndata: x\n\n")(call)
                return
            await call.begin_stream()
            await call.send_event(1)
            call.reset()

        for name in ("u1", "u2"):
            await add_engine(world, name, begin)
        answer = await ask(world, "/resume/x")
        assert (answer.framed, answer.complete) == (True, False)


class TestUnverifiedAnswers:
    async def test_a_stream_that_may_be_whole_ends_with_its_connection(
        self, world: FrontWorld
    ) -> None:
        await add_engine(world, "u1", end_unframed(EVENT_STREAM, EVENTS))
        with collect_lines("request:end") as ends:
            answer = await ask(world, "/stream/x")
        assert (answer.complete, answer.framed) == (True, False)
        assert answer.headers["connection"] == "close"
        assert answer.body == EVENTS
        assert [line["outcome"] for line in ends] == ["unverified"]

    def test_a_stream_that_ends_just_before_its_deadline_may_be_whole(
        self,
    ) -> None:
        """Guards against whole answers that are broken off as late."""
        unknown = AnswerEnd(Completeness.UNKNOWN)

        async def is_there() -> bool:
            await asyncio.sleep(0.001)
            return True

        async def check() -> AnswerEnd:
            relay = object.__new__(AnswerRelay)
            relay._loop = asyncio.get_running_loop()
            relay.deadline = relay._loop.time() + 0.05
            return await relay._check_sender(is_there(), unknown)

        assert run_on_virtual_clock(check()) == unknown

    async def test_a_leaving_upstream_that_goes_on_serving_may_end_a_stream(
        self, world: FrontWorld
    ) -> None:
        """Guards against whole answers that are broken off at a departure."""
        both_arrived = asyncio.Event()

        async def leave(call: Call) -> None:
            if call.number:
                both_arrived.set()
            await both_arrived.wait()
            await call.begin_unframed(EVENT_STREAM, LEAVING)
            await call.send(EVENTS)
            if call.number:
                await call.wait_closed()
            # It accepts no more connections and finishes what it has.
            upstream.stop()
            call.writer.close()

        upstream = await add_engine(world, "u1", leave)
        client, other = await world.open(), await world.open()
        await client.send("/stream/x", b"b", **STREAM)
        await other.send("/stream/x", b"b", **STREAM)
        answer = await client.read()
        assert (answer.body, answer.complete) == (EVENTS, True)

    async def test_a_stream_with_its_end_mark_is_whole(
        self, world: FrontWorld
    ) -> None:
        await add_engine(world, "u1", end_unframed(EVENT_STREAM, EVENTS + MARK))
        with collect_lines("request:end") as ends:
            answer = await ask(world, "/stream/x")
        assert answer.complete
        assert [line["outcome"] for line in ends] == ["served"]

    @pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x"])
    async def test_a_body_that_may_be_whole_ends_with_its_connection(
        self, world: FrontWorld, path: str
    ) -> None:
        await world.add("u1", end_unframed("text/plain", b"all of it"))
        answer = await ask(world, path)
        assert (answer.body, answer.complete) == (b"all of it", True)
        assert not answer.framed

    async def test_a_whole_json_document_is_framed(
        self, world: FrontWorld
    ) -> None:
        await world.add("u1", end_unframed(JSON, b'{"a": [1, 2]}'))
        answer = await ask(world, "/unsafe/x")
        assert (answer.body, answer.framed) == (b'{"a": [1, 2]}', True)

    async def test_the_log_tells_how_the_end_was_known(
        self, world: FrontWorld
    ) -> None:
        await add_engine(world, "u1", end_unframed(EVENT_STREAM, EVENTS + PART))
        with collect_lines("request:answer_end") as lines:
            await ask(world, "/stream/x")
        line = lines[0]
        assert (line["ended_by"], line["completeness"]) == (
            "connection",
            "broken",
        )
        assert (line["bytes"], line["events"]) == (len(EVENTS + PART), 2)


class TestBrokenBodies:
    async def test_a_json_document_cut_in_the_middle_is_not_delivered(
        self, world: FrontWorld
    ) -> None:
        await world.add("u1", end_unframed(JSON, b'{"a": [1, '))
        answer = await ask(world, "/unsafe/x")
        assert (answer.status, answer.body) == (502, b"")

    async def test_a_safe_request_goes_elsewhere_after_a_cut_document(
        self, world: FrontWorld
    ) -> None:
        async def cut_once(call: Call) -> None:
            if sum(len(u.calls) for u in upstreams) == 1:
                await end_unframed(JSON, b'{"a": [1, ')(call)
            else:
                await call.answer(200, b'{"a": []}')

        upstreams = [await world.add(n, cut_once) for n in ("u1", "u2")]
        answer = await ask(world, "/safe/x")
        assert (answer.status, answer.body) == (200, b'{"a": []}')

    async def test_an_upstream_that_crashed_did_not_finish_its_answer(
        self, world: FrontWorld
    ) -> None:
        async def crash(call: Call) -> None:
            await call.begin_unframed("text/plain")
            await call.send(b"half")
            upstream.stop()
            call.writer.close()

        upstream = await world.add("u1", crash)
        assert (await ask(world, "/unsafe/x")).status == 502


class TestCallers:
    async def test_an_older_client_sees_that_a_stream_was_broken_off(
        self, world: FrontWorld
    ) -> None:
        async def cut(call: Call) -> None:
            await call.begin_stream()
            await call.send_event(1)
            call.reset()

        await add_engine(world, "u1", cut)
        client = await world.open()
        client.writer.write(
            b"POST /stream/x HTTP/1.0\r\nhost: a.example\r\nmodel: base/a1\r\n"
            b"content-length: 1\r\n\r\nb"
        )
        answer = await client.read()
        assert (answer.framed, answer.complete) == (False, False)

    async def test_pipelined_requests_do_not_break_off_the_answer(
        self, world: FrontWorld
    ) -> None:
        async def answer(call: Call) -> None:
            await call.begin_unframed(EVENT_STREAM)
            await call.send(EVENTS)
            await asyncio.sleep(0.1)
            call.writer.close()

        upstream = await add_engine(world, "u1", answer)
        client = await world.open()
        await client.send("/stream/x", b"b", **STREAM)
        await client.send("/stream/x", b"b", **STREAM)
        # The client is slow to read, and sends once more after the end.
        await asyncio.sleep(0.3)
        await client.send("/stream/x", b"b", **STREAM)
        first = await client.read()
        assert (first.body, first.complete) == (EVENTS, True)
        assert len(upstream.calls) == 1

    async def test_a_response_resets_its_connection_until_all_of_it_is_sent(
        self, world: FrontWorld
    ) -> None:
        """Guards against a killed process that completes a response."""

        async def answer(call: Call) -> None:
            await call.begin_unframed(EVENT_STREAM)
            await call.send(LONG_EVENTS)
            call.writer.close()

        await add_engine(world, "u1", answer)
        client = await world.open()
        client.writer.transport.pause_reading()  # type: ignore[attr-defined]
        await client.send("/stream/x", b"b", **STREAM)
        await asyncio.sleep(0.3)
        (connection,) = world.connections
        transport = connection._transport
        assert transport.get_write_buffer_size() > 0
        assert resets_on_close(transport)
        client.writer.transport.resume_reading()  # type: ignore[attr-defined]
        got = await client.read()
        assert (got.body, got.complete) == (LONG_EVENTS, True)
        assert not resets_on_close(transport)

    async def test_an_aborted_response_stays_broken_off(
        self, world: FrontWorld
    ) -> None:
        """Guards against an end of the task that takes the reset back."""

        async def wait(call: Call) -> None:
            await call.begin_unframed(EVENT_STREAM)
            await call.send(EVENTS)
            await call.wait_closed()

        await add_engine(world, "u1", wait)
        client = await world.open()
        await client.send("/stream/x", b"b", request_deadline="300", **STREAM)
        answer = await client.read()
        assert (answer.body, answer.complete) == (EVENTS, False)


def resets_on_close(transport: asyncio.Transport) -> bool:
    """Whether the kernel resets the connection when its process ends."""
    connected = transport.get_extra_info("socket")
    option = connected.getsockopt(socket.SOL_SOCKET, socket.SO_LINGER, 8)
    return struct.unpack("ii", option) == (1, 0)
