"""Tests that a stream goes on at the software version that began it."""

import asyncio
import functools
from collections.abc import AsyncIterator

import attrs
import pytest

from ridgesill.adapters.peer_datagrams import PeerDatagrams
from ridgesill.app.stream_keeping import StreamKeeping
from ridgesill.core.commands import Node
from ridgesill.core.fleet.messages import FleetNews, UpstreamChange
from ridgesill.core.fleet.registry import FleetView
from ridgesill.core.serving.stream_origins import SoftwareHistory, StreamOrigins
from testing.app.front_world import (
    Answer,
    Call,
    FrontWorld,
    Script,
    ScriptedUpstream,
)
from testing.app.test_forwarding import LIMITED, require_keys
from testing.processes import free_address

STREAM = {"model": "base/a1", "token_counts": "10,70"}
_REPORT = b'{"sequence": 0, "born": 8}'


@attrs.define
class Runners:
    """Upstreams that name their version in each event.

    Attributes:
        breaks: whether they break off new streams after the first event.
        started: versions that began a stream, by request id.
    """

    breaks: bool = True
    started: dict[str, str] = attrs.Factory(dict)

    async def add(
        self, world: FrontWorld, name: str, version: str
    ) -> ScriptedUpstream:
        """Adds an upstream that writes its version into each event."""

        async def stream(call: Call) -> None:
            last = int(call.header("last-event-id") or 0)
            request = call.header("request-id")
            if not last:
                self.started[request] = version
            await call.begin_stream()
            for number in range(last + 1, 4):
                await send_event(call, number, version)
                if self.breaks and not last:
                    await asyncio.sleep(0.05)
                    call.reset()
                    return
            await call.end_stream()

        return await world.add(
            name, stream, "engine", software=version, base__a1=1
        )


async def send_event(call: Call, number: int, version: str) -> None:
    """Sends an event that names a version."""
    data = b"id: %d\ndata: %s\n\n" % (number, version.encode())
    await call.send(b"%x\r\n%s\r\n" % (len(data), data))


def list_versions(*answers: Answer) -> set[bytes]:
    """Returns the versions that wrote the events of some answers."""
    lines = b"".join(answer.body for answer in answers).split(b"\n")
    return {line[6:] for line in lines if line.startswith(b"data: ")}


async def add_two_versions(fronts: list[FrontWorld], runners: Runners) -> None:
    """Adds u1 with v1 and u2 with v2, which all fronts know."""
    for name, version in (("u1", "v1"), ("u2", "v2")):
        await runners.add(fronts[0], name, version)
    for other in fronts[1:]:
        other.share_upstreams(fronts[0])


def answer_report(
    upstream: ScriptedUpstream, status: int, body: bytes, surplus_id: str = ""
) -> None:
    """Has an upstream answer requests for its report, and others as before.

    Args:
        upstream: the upstream.
        status: status of its report.
        body: its report.
        surplus_id: id of a request whose second answer comes before the first
            report; empty for none.
    """
    answer_stream = upstream.script
    surplus_ids = [surplus_id] if surplus_id else []

    async def answer(call: Call) -> None:
        if not call.head.startswith("GET /ridgesill/report"):
            await answer_stream(call)
            return
        while surplus_ids:
            await call.send(
                b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
                b"Request-Id: %s\r\n\r\nagain" % surplus_ids.pop().encode()
            )
        await call.answer(status, body)

    upstream.script = answer


async def send_late_report(answer: Script, call: Call) -> None:
    """Sends the report once more before the answer to a request."""
    if call.head.startswith("POST"):
        length = len(_REPORT)
        await call.send(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length + _REPORT
        )
    await answer(call)


def begin_stream(world: FrontWorld, start: int) -> None:
    """Has a front know that the stream r1 began at a start of u1."""
    world.change("u1", start=start)
    upstream = world.fleet.view.upstreams["u1"]
    world.front.streams.record("", "r1", upstream, 1, 3.0)


async def begin_where_reported(
    fronts: list[FrontWorld], status: int, report: bytes
) -> ScriptedUpstream:
    """Has the stream r1 begin at start 8 of u1, where two versions serve.

    Returns:
        The upstream u1, which answers requests for its report as given.
    """
    await add_two_versions(fronts, Runners(breaks=False))
    u1 = fronts[0].find_upstream("u1")
    answer_report(u1, status, report)
    begin_stream(fronts[0], start=8)
    return u1


@pytest.fixture
async def fronts() -> AsyncIterator[list[FrontWorld]]:
    """Yields three running fronts that know each other."""
    worlds = [FrontWorld() for _ in range(3)]
    for world in worlds:
        await world.start()
        world.link_to(*(other for other in worlds if other is not world))
    yield worlds
    for world in worlds:
        await world.stop()


class TestInOneAnswer:
    async def test_a_broken_stream_is_not_resumed_at_another_version(
        self, world: FrontWorld
    ) -> None:
        runners = Runners()
        for version in ("v1", "v2"):
            await runners.add(world, version, version)
        client = await world.open()
        loop = asyncio.get_running_loop()
        began = loop.time()
        answer = await client.ask("/resume/x", b"b", **STREAM)
        assert len(list_versions(answer)) == 1
        assert not answer.complete
        assert loop.time() - began < 0.5

    async def test_a_broken_stream_is_resumed_at_its_version(
        self, world: FrontWorld
    ) -> None:
        runners = Runners()
        for name, version in (("u1", "v1"), ("u2", "v1"), ("u3", "v2")):
            await runners.add(world, name, version)
        loop = asyncio.get_running_loop()
        client = await world.open()
        for _ in range(4):
            until = loop.time() + 0.03
            world.front.chooser.unavailable.record_rest("u3", until)
            answer = await client.ask("/resume/x", b"b", **STREAM)
            assert (list_versions(answer), answer.complete) == ({b"v1"}, True)


class TestOverTries:
    async def test_a_stream_taken_up_at_another_front_stays_at_its_version(
        self, fronts: list[FrontWorld]
    ) -> None:
        runners = Runners()
        await add_two_versions(fronts, runners)
        for number in range(8):
            runners.breaks = True
            first = await (await fronts[0].open()).ask(
                "/resume/x", b"b", request_id=f"r{number}", **STREAM
            )
            runners.breaks = False
            second = await (await fronts[1 + number % 2].open()).ask(
                "/resume/x",
                b"b",
                request_id=f"s{number}",
                resumes=f"r{number}",
                last_event_id="1",
                **STREAM,
            )
            assert (second.status, second.complete) == (200, True)
            assert len(list_versions(first, second)) == 1

    async def test_a_killed_front_s_streams_are_known_to_others(
        self, fronts: list[FrontWorld]
    ) -> None:
        runners = Runners()
        await add_two_versions(fronts, runners)
        client = await fronts[0].open()
        runners.breaks = False
        hold = asyncio.Event()

        async def begin(call: Call) -> None:
            runners.started["r1"] = "v2"
            await call.begin_stream()
            await send_event(call, 1, "v2")
            await hold.wait()

        fronts[0].find_upstream("u2").script = begin
        fronts[0].front.chooser.unavailable.record_leaving("u1", 0.0)
        await client.send("/resume/x", b"b", **STREAM)
        await client.reader.readuntil(b"id: 1")
        fronts[0].datagrams.close()
        second = await fronts[1].take_up("r1", "1")
        assert list_versions(second) == {b"v2"}
        hold.set()

    async def test_a_head_without_an_event_begins_no_stream(
        self, fronts: list[FrontWorld]
    ) -> None:
        async def send_head_only(call: Call) -> None:
            await call.begin_stream()
            await asyncio.sleep(0.08)
            call.reset()

        runners = Runners()
        for name, version in (("u1", "v1"), ("u2", "v2"), ("u3", "v1")):
            await runners.add(fronts[0], name, version)
        fronts[0].find_upstream("u1").script = send_head_only
        fronts[1].share_upstreams(fronts[0])
        unavailable = fronts[0].front.chooser.unavailable
        now = asyncio.get_running_loop().time()
        unavailable.record_rest("u2", now + 0.05)
        unavailable.record_rest("u3", now + 9.0)
        first = await (await fronts[0].open()).ask("/resume/x", **STREAM)
        second = await fronts[1].take_up("r1", "1")
        assert list_versions(first) == {b"v2"}
        assert list_versions(second) == {b"v2"}

    async def test_a_stream_begun_before_the_second_version_is_known(
        self, fronts: list[FrontWorld]
    ) -> None:
        runners = Runners()
        await runners.add(fronts[0], "u1", "v1")
        first = await (await fronts[0].open()).ask("/resume/x", **STREAM)
        assert list_versions(first) == {b"v1"}
        await runners.add(fronts[0], "u2", "v2")
        await runners.add(fronts[0], "u3", "v2")
        fronts[1].share_upstreams(fronts[0])
        await asyncio.sleep(0.15)
        second = await fronts[1].take_up("r1", "1")
        assert list_versions(second) == {b"v1"}

    async def test_only_streams_that_may_be_taken_up_are_told_all_at_once(
        self, fronts: list[FrontWorld]
    ) -> None:
        runners = Runners(breaks=False)
        await runners.add(fronts[0], "u1", "v1")
        client = await fronts[0].open()
        for number in range(5):
            await client.ask("/resume/x", request_id=f"w{number}", **STREAM)
        runners.breaks = True
        await client.ask("/resume/x", request_id="b1", **STREAM)
        told: list[object] = []
        fronts[1].datagrams.receiver = lambda _, message: told.append(message)
        await runners.add(fronts[0], "u2", "v2")
        await asyncio.sleep(0.15)
        assert len(told) == 1

    @pytest.mark.parametrize(
        "named", ["", "unknown", "x" * 3000, "\xff\xfe;,=", "r1 "]
    )
    async def test_an_unknown_stream_is_refused_at_once(
        self, fronts: list[FrontWorld], named: str
    ) -> None:
        runners = Runners(breaks=False)
        await add_two_versions(fronts, runners)
        loop = asyncio.get_running_loop()
        began = loop.time()
        answer = await fronts[1].take_up(named, "1")
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0
        assert loop.time() - began < 0.5

    async def test_one_version_for_long_needs_no_record(
        self, fronts: list[FrontWorld]
    ) -> None:
        runners = Runners()
        await runners.add(fronts[0], "u1", "v1")
        await runners.add(fronts[0], "u2", "v1")
        fronts[1].share_upstreams(fronts[0])
        answer = await fronts[1].take_up("unknown", "1")
        assert (answer.status, answer.complete) == (200, True)

    async def test_stale_news_prove_no_single_version(
        self, fronts: list[FrontWorld]
    ) -> None:
        runners = Runners()
        await runners.add(fronts[0], "u1", "v1")
        fronts[1].share_upstreams(fronts[0])
        for world in fronts:
            world.news_age = 5.0
        assert (await fronts[1].take_up("unknown", "1")).status == 503

    async def test_a_stream_whose_version_is_gone_is_refused_at_once(
        self, fronts: list[FrontWorld]
    ) -> None:
        runners = Runners()
        await add_two_versions(fronts, runners)
        await (await fronts[0].open()).ask("/resume/x", **STREAM)
        began = runners.started["r1"]
        fronts[1].remove("u1" if began == "v1" else "u2")
        answer = await fronts[1].take_up("r1", "1")
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 1.0

    async def test_another_customer_s_stream_is_not_known(
        self, fronts: list[FrontWorld]
    ) -> None:
        runners = Runners()
        await add_two_versions(fronts, runners)
        for world in fronts:
            mine = attrs.evolve(LIMITED, name="mine", quota=None)
            other = attrs.evolve(LIMITED, name="other", quota=None)
            require_keys(world, "/resume/x", key=mine, key2=other)
        await (await fronts[0].open()).ask(
            "/resume/x", credential="key", **STREAM
        )
        theirs = await fronts[1].take_up("r1", "1", credential="key2")
        mine_again = await fronts[1].take_up("r1", "1", credential="key")
        assert (theirs.status, mine_again.status) == (503, 200)

    async def test_an_id_that_began_two_streams_names_neither(
        self, fronts: list[FrontWorld]
    ) -> None:
        runners = Runners()
        await add_two_versions(fronts, runners)
        for world, leaving in ((fronts[0], "u1"), (fronts[1], "u2")):
            world.front.chooser.unavailable.record_leaving(leaving, 0.0)
            await (await world.open()).ask("/resume/x", **STREAM)
        assert (await fronts[2].take_up("r1", "1")).status == 503

    async def test_a_restart_with_other_software_makes_its_streams_doubtful(
        self, fronts: list[FrontWorld]
    ) -> None:
        runners = Runners()
        for name, version in (("u1", "v1"), ("u2", "v2")):
            await runners.add(fronts[0], name, version)
        fronts[0].front.chooser.unavailable.record_leaving("u2", 0.0)
        await (await fronts[0].open()).ask("/resume/x", **STREAM)
        fronts[0].change("u1", software="v3")
        fronts[1].share_upstreams(fronts[0])
        await asyncio.sleep(0.15)
        assert (await fronts[1].take_up("r1", "1")).status == 503

    async def test_made_up_ids_keep_few_questions_waiting(
        self, fronts: list[FrontWorld]
    ) -> None:
        runners = Runners()
        for name, version in (("u1", "v1"), ("u2", "v2")):
            await runners.add(fronts[0], name, version)
        fronts[1].datagrams.close()
        fronts[2].datagrams.close()
        streams = fronts[0].front.streams
        loop = asyncio.get_running_loop()
        began = loop.time()
        found = await asyncio.gather(
            *(streams.find("", f"made{n}", "engine") for n in range(3000))
        )
        assert set(found) == {None}
        assert loop.time() - began < 2.0


class TestThroughAnotherFront:
    async def test_a_stream_sent_on_stays_at_its_version(
        self, fronts: list[FrontWorld]
    ) -> None:
        runners = Runners()
        for name, version in (("u1", "v1"), ("u2", "v2"), ("u3", "v1")):
            await runners.add(fronts[2], name, version)
        cut = fronts[0]
        cut.share_upstreams(fronts[2], free_address())
        for name in cut.fleet.view.upstreams:
            cut.front.chooser.reachability.record_unreachable(name)
        fronts[1].share_upstreams(fronts[2])
        for number in range(6):
            runners.breaks = True
            client = await cut.open()
            first = await client.ask(
                "/resume/x", b"b", request_id=f"r{number}", **STREAM
            )
            assert "ridgesill-software" not in first.headers
            assert len(list_versions(first)) == 1
            runners.breaks = False
            second = await cut.take_up(f"r{number}", "1")
            assert (second.status, second.complete) == (200, True)
            assert len(list_versions(first, second)) == 1

    async def test_a_front_of_the_previous_release_is_not_relied_on(
        self, fronts: list[FrontWorld]
    ) -> None:
        async def stream(call: Call) -> None:
            await call.begin_stream()
            await send_event(call, 2, "v2")
            await call.end_stream()

        runners = Runners(breaks=False)
        for name, version in (("u1", "v1"), ("u2", "v2")):
            await runners.add(fronts[1], name, version)
        cut = fronts[0]
        cut.share_upstreams(fronts[1], free_address())
        older = await cut.add("older", stream, "plain")
        cut.link_to_address(older.address)
        for name in ("u1", "u2"):
            cut.front.chooser.reachability.record_unreachable(name)
        u1 = cut.fleet.view.upstreams["u1"]
        cut.front.streams.record("", "r1", u1, 1, 3.0)
        answer = await cut.take_up("r1", "1")
        assert (answer.status, len(older.calls)) == (502, 1)
        assert older.calls[0].header("ridgesill-software") == "=v1"

    async def test_clients_can_require_no_version(
        self, world: FrontWorld
    ) -> None:
        upstream = await Runners(breaks=False).add(world, "u1", "v1")
        client = await world.open()
        answer = await client.ask(
            "/resume/x", ridgesill_software="=v2", **STREAM
        )
        assert answer.status == 200
        assert upstream.calls[0].header("ridgesill-software") == ""


class TestRestarts:
    async def test_a_later_start_at_the_same_address_does_not_get_the_stream(
        self, fronts: list[FrontWorld]
    ) -> None:
        report = b'{"sequence": 0, "born": 9}'
        u1 = await begin_where_reported(fronts, 200, report)
        assert (await fronts[0].take_up("r1", "1")).status == 503
        assert [call.head[:5] for call in u1.calls] == ["GET /"]

    @pytest.mark.parametrize("report", [(200, b"{}"), (404, b"")])
    async def test_an_upstream_that_tells_no_start_is_used(
        self, fronts: list[FrontWorld], report: tuple[int, bytes]
    ) -> None:
        await begin_where_reported(fronts, *report)
        assert (await fronts[0].take_up("r1", "1")).status == 200

    @pytest.mark.parametrize(
        "answer", [(200, b"x"), (200, b"[]"), (421, b""), (500, b"")]
    )
    async def test_an_answer_that_is_no_report_names_no_start(
        self, fronts: list[FrontWorld], answer: tuple[int, bytes]
    ) -> None:
        """Guards against a surplus answer that is taken for a report."""
        u1 = await begin_where_reported(fronts, *answer)
        assert (await fronts[0].take_up("r1", "1")).status == 503
        assert all(call.head.startswith("GET /") for call in u1.calls)

    async def test_a_surplus_answer_is_not_taken_for_the_report(
        self, fronts: list[FrontWorld]
    ) -> None:
        """Guards against a client that gets a report as its answer."""
        runners = Runners(breaks=False)
        u1 = await runners.add(fronts[0], "u1", "v1")
        fronts[0].change("u1", start=8)
        answer_report(u1, 200, _REPORT, surplus_id="r1")
        client = await fronts[0].open()
        await client.ask("/resume/x", b"b", **STREAM)
        await runners.add(fronts[0], "u2", "v2")
        answer = await fronts[0].take_up("r1", "1")
        assert (answer.status, list_versions(answer)) == (200, {b"v1"})
        assert [call.head[:4] for call in u1.calls] == [
            "POST",
            "GET ",
            "GET ",
            "POST",
        ]

    async def test_a_second_report_is_not_taken_for_the_answer(
        self, fronts: list[FrontWorld]
    ) -> None:
        """Guards against a client that gets a late report as its answer."""
        u1 = await begin_where_reported(fronts, 200, _REPORT)
        u1.script = functools.partial(send_late_report, u1.script)
        for _ in range(2):
            answer = await fronts[0].take_up("r1", "1")
            assert (answer.status, list_versions(answer)) == (200, {b"v1"})

    async def test_many_idle_channels_of_an_earlier_start_cost_no_request(
        self, fronts: list[FrontWorld]
    ) -> None:
        """Guards against a refusal because the first channels are outdated."""
        u1 = await begin_where_reported(fronts, 200, _REPORT)
        channels = fronts[0].front.channels
        idle = [await channels.acquire(u1.address) for _ in range(5)]
        for channel in idle:
            channel.start = 7
            channels.release_unused(channel)
        answer = await fronts[0].take_up("r1", "1")
        assert (answer.status, list_versions(answer)) == (200, {b"v1"})


def cut_off_last(fronts: list[FrontWorld]) -> None:
    """Leaves the last front without the others' answers and later news."""
    for front in fronts[:-1]:
        front.datagrams.close()
    fronts[-1].fleet.view.asked_at = 0.0


class TestFrontOutOfStep:
    async def begin_at_new_version(self, fronts: list[FrontWorld]) -> None:
        """Begins r1 at v2, of which the last front hears nothing."""
        runners = Runners()
        await runners.add(fronts[0], "u1", "v1")
        for other in fronts[1:]:
            other.share_upstreams(fronts[0])
        await runners.add(fronts[0], "u2", "v2")
        fronts[1].share_upstreams(fronts[0])
        fronts[0].front.chooser.unavailable.record_leaving("u1", 0.0)
        await (await fronts[0].open()).ask("/resume/x", **STREAM)
        assert runners.started == {"r1": "v2"}
        await asyncio.sleep(0.05)
        fronts[2].front.streams._origins = StreamOrigins()

    async def test_it_joins_no_stream_of_a_version_that_it_has_not_heard_of(
        self, fronts: list[FrontWorld]
    ) -> None:
        """Guards against a front that trusts its own view of one version."""
        await self.begin_at_new_version(fronts)
        assert (await fronts[2].take_up("r1", "1")).status == 503

    async def test_others_do_not_believe_its_view_of_one_version(
        self, fronts: list[FrontWorld]
    ) -> None:
        """Guards against a keeper out of step that is believed."""
        await self.begin_at_new_version(fronts)
        fronts[0].datagrams.close()
        fronts[1].front.streams._origins = StreamOrigins()
        assert (await fronts[1].take_up("r1", "1")).status == 503

    async def test_cut_off_from_all_fronts_it_waits_for_the_owner_s_news(
        self, fronts: list[FrontWorld]
    ) -> None:
        """Guards against news from before the stream began."""
        await self.begin_at_new_version(fronts)
        cut_off_last(fronts)
        assert (await fronts[2].take_up("r1", "1")).status == 503

    async def test_news_that_become_fresh_meanwhile_are_confirmed_too(
        self, fronts: list[FrontWorld]
    ) -> None:
        """Guards against old news that count as new once others are silent."""
        await self.begin_at_new_version(fronts)
        cut_off_last(fronts)
        fronts[2].news_age = 5.0
        taken = asyncio.create_task(fronts[2].take_up("r1", "1"))
        await asyncio.sleep(0.1)
        fronts[2].news_age = 0.0
        assert (await taken).status == 503

    async def test_later_news_of_one_version_let_streams_go_on(
        self, fronts: list[FrontWorld]
    ) -> None:
        """Guards against refusals of all streams while fronts are cut off."""
        runners = Runners(breaks=False)
        await runners.add(fronts[2], "u1", "v1")
        cut_off_last(fronts)
        taken = asyncio.create_task(fronts[2].take_up("r1", "1"))
        await asyncio.sleep(0.3)
        fronts[2].fleet.view.asked_at = asyncio.get_running_loop().time()
        assert (await taken).status == 200


@attrs.define
class ControlKeeper:
    """A control node that keeps what is known of streams and versions."""

    address: str
    view: FleetView
    datagrams: PeerDatagrams
    streams: StreamKeeping

    def share_upstreams(self, world: FrontWorld) -> None:
        """Gives the control node the view of a front."""
        upstreams = world.fleet.view.upstreams.values()
        changes = tuple(UpstreamChange(u.name, u) for u in upstreams)
        number = self.view.number + 1
        self.view.apply_news(FleetNews(1, number, True, changes), 0.0)
        self.streams.handle_news()


@pytest.fixture
async def control(fronts: list[FrontWorld]) -> AsyncIterator[ControlKeeper]:
    """Yields a control node that the fronts know."""
    address = free_address()
    view, datagrams = FleetView(), PeerDatagrams()
    streams = StreamKeeping(address, view, datagrams)
    await datagrams.start(address)
    nodes = [
        Node(world.front_address, "1", world.front_address, "a")
        for world in fronts
    ]
    nodes.append(Node(address, "1", address, "a", f"{address}.0"))
    for world in fronts:
        world.front.streams.set_nodes(nodes)
    yield ControlKeeper(address, view, datagrams, streams)
    datagrams.close()


class TestAllFrontsKilled:
    async def test_streams_go_on_at_the_version_that_began_them(
        self, fronts: list[FrontWorld], control: ControlKeeper
    ) -> None:
        """Guards against records of streams that end with the fronts."""
        runners = Runners()
        await add_two_versions(fronts, runners)
        control.share_upstreams(fronts[0])
        first = await (await fronts[0].open()).ask("/resume/x", **STREAM)
        for world in fronts:
            world.restart_streams()
        second = await fronts[1].take_up("r1", "1")
        assert (second.status, second.complete) == (200, True)
        assert len(list_versions(first, second)) == 1

    async def test_streams_go_on_where_one_version_served_all_the_time(
        self, fronts: list[FrontWorld], control: ControlKeeper
    ) -> None:
        """Guards against versions that only the fronts remember."""
        await Runners(breaks=False).add(fronts[0], "u1", "v1")
        control.share_upstreams(fronts[0])
        for world in fronts:
            world.restart_streams()
        assert (await fronts[0].take_up("r1", "1")).status == 200

    async def test_control_nodes_are_told_of_few_streams_of_many_fronts(
        self, fronts: list[FrontWorld], control: ControlKeeper
    ) -> None:
        """Guards against control nodes that records keep from their work."""
        told: list[object] = []
        control.datagrams.receiver = lambda _, message: told.append(message)
        await add_two_versions(fronts[:1], Runners(breaks=False))
        streams = fronts[0].front.streams
        upstream = fronts[0].fleet.view.upstreams["u1"]
        for number in range(1000):
            streams.record("", f"s{number}", upstream, 1, 3.0)
        await asyncio.sleep(0.2)
        # 60 a second for one control node and three fronts, saved up for 5 s.
        assert 90 <= len(told) <= 105

    async def test_a_control_node_that_was_killed_too_knows_nothing(
        self, fronts: list[FrontWorld], control: ControlKeeper
    ) -> None:
        """Guards against an empty memory taken for one version."""
        await Runners(breaks=False).add(fronts[0], "u1", "v1")
        now = asyncio.get_running_loop().time()
        control.streams._history = SoftwareHistory(now)
        control.share_upstreams(fronts[0])
        for world in fronts:
            world.restart_streams()
        assert (await fronts[0].take_up("r1", "1")).status == 503

    @pytest.mark.parametrize("versions", [("v1", "v2"), ("v2",)])
    async def test_streams_are_not_joined_from_what_is_left(
        self, fronts: list[FrontWorld], versions: tuple[str, ...]
    ) -> None:
        """Guards against fronts that take all they see for all there was."""
        runners = Runners(breaks=False)
        for world in fronts:
            world.restart_streams()
        for version in versions:
            await runners.add(fronts[0], version, version)
        for other in fronts[1:]:
            other.share_upstreams(fronts[0])
        for world in fronts:
            answer = await world.take_up("r1", "1")
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) > 0
