"""Tests that the owner learns the paces of engines and publishes them."""

import asyncio
from collections.abc import Iterator
from typing import Any

import pytest
from eliot import add_destinations, remove_destination

from ridgesill.app.fleet_paces import FleetPaces
from ridgesill.core.fleet.messages import Heartbeat, Upstream, WatchFleet
from ridgesill.core.fleet.registry import FleetView, Registry
from ridgesill.core.fleet.use_reports import Sent, UseReport
from ridgesill.core.serving.load_reports import UpstreamCalls
from ridgesill.core.serving.routes import RouteTable, Service
from testing.app.lone_node import LoneNode, make_voter_storage
from testing.app.test_fleet_owner import engine_table

GAPS = {"e1": 0.09, "e2": 0.04, "e3": 0.04}


def make_upstream(name: str, service: str = "s") -> Upstream:
    return Upstream(name, service, f"{name}:80", "a", 4)


def make_calls(gap: float) -> UpstreamCalls:
    return UpstreamCalls(paced=1, typical_gaps=gap, longest_gaps=2 * gap)


@pytest.fixture
def lines() -> Iterator[list[dict[str, Any]]]:
    """Log lines of the test."""
    messages: list[dict[str, Any]] = []
    add_destinations(messages.append)
    yield messages
    remove_destination(messages.append)


def find_lines(lines: list[dict[str, Any]], kind: str) -> list[dict[str, Any]]:
    return [line for line in lines if line.get("message_type") == kind]


class Owner:
    """The paces, registry and configuration of an owner."""

    def __init__(self, epoch: int, upstreams: list[Upstream]) -> None:
        self.registry = Registry(epoch, 5.0)
        self.registry.adopt(upstreams, 0.0)
        self.paces = FleetPaces()
        self.paces.adopt(upstreams)
        services = [*engine_table().services.values(), Service("p", "/", 0)]
        self.table = RouteTable(1, [], services)

    def report(
        self, begin: float, end: float, gaps: dict[str, float], age: float = 0.1
    ) -> None:
        """Records eight streams a second on each engine, and publishes."""
        for step in range(round(begin * 8), round(end * 8)):
            now = step / 8
            calls = {name: make_calls(gap) for name, gap in gaps.items()}
            sent = Sent(since=now - age, calls=calls)
            self.paces.record(sent, self.registry.upstreams, now)
            self.paces.publish(self.registry, self.table, now)

    def published(self) -> dict[str, float]:
        """Returns the paces as a front knows them."""
        view = FleetView()
        news = self.registry.make_news(WatchFleet(0, 0, 0.0), 1, {}, 99.0)
        view.apply_news(news, 0.0)
        return {u.name: u.pace for u in view.upstreams.values()}


@pytest.fixture
def owner() -> Owner:
    return Owner(1, [make_upstream(n) for n in GAPS])


class TestFleetPaces:
    def test_a_slow_engine_is_published_and_logged(
        self, owner: Owner, lines: list[dict[str, Any]]
    ) -> None:
        owner.report(0.0, 3.0, GAPS)
        assert owner.published() == {"e1": 1.6, "e2": 0.7, "e3": 0.7}
        logged = {
            line["upstream"]: line["pace"]
            for line in find_lines(lines, "fleet:pace")
        }
        assert logged == {"e1": 1.6, "e2": 0.7, "e3": 0.7}

    def test_a_steady_pace_is_no_news(
        self, owner: Owner, lines: list[dict[str, Any]]
    ) -> None:
        # Guards against changes that are sent to all fronts all the time.
        owner.report(0.0, 5.0, GAPS)
        number, logged = owner.registry.number, len(lines)
        owner.report(5.0, 30.0, GAPS)
        assert owner.registry.number == number
        assert len(lines) == logged

    def test_ejection_and_plain_upstreams_are_left_as_they_are(
        self, owner: Owner
    ) -> None:
        owner.registry.adopt([make_upstream("p1", "p")], 0.0)
        owner.registry.set_load_state("p1", 1.4, True)
        owner.registry.set_load_state("e1", 1.0, True)
        owner.report(0.0, 3.0, {**GAPS, "p1": 0.9})
        upstreams = owner.registry.upstreams
        assert (upstreams["p1"].pace, upstreams["p1"].is_ejected) == (1.4, True)
        assert (upstreams["e1"].pace, upstreams["e1"].is_ejected) == (1.6, True)

    def test_a_new_owner_begins_with_the_published_paces(
        self, owner: Owner, lines: list[dict[str, Any]]
    ) -> None:
        owner.report(0.0, 3.0, GAPS)
        before = owner.published()
        lines.clear()
        successor = Owner(2, list(owner.registry.upstreams.values()))
        successor.report(0.0, 0.2, {})
        assert successor.published() == before
        successor.report(0.2, 9.0, GAPS)
        assert successor.published() == before
        assert find_lines(lines, "fleet:pace") == []

    def test_late_reports_change_nothing(self, owner: Owner) -> None:
        # Reports that fronts keep while no owner is reachable tell old paces.
        owner.report(0.0, 3.0, GAPS, age=5.0)
        assert set(owner.published().values()) == {1.0}

    def test_an_absurd_report_is_logged_and_bounded(
        self, owner: Owner, lines: list[dict[str, Any]]
    ) -> None:
        owner.report(0.0, 3.0, GAPS)
        before = owner.published()
        owner.report(3.0, 3.1, {"e2": 1e6, "unknown": 1.0})
        owner.report(3.1, 6.0, GAPS)
        assert owner.published() == before
        absurd = find_lines(lines, "fleet:absurd_report")
        assert [line["upstream"] for line in absurd] == ["e2"]


@pytest.mark.looptime
class TestOwner:
    async def test_reports_of_fronts_set_the_paces_of_engines_once(
        self,
    ) -> None:
        # Guards against reports that count again when an answer was lost: each
        # one here is sent twice, and a doubled one with other figures.
        node = LoneNode(make_voter_storage(""))
        owner = node.owner
        owner.apply_table(engine_table())
        await node.start()
        for number, name in enumerate(GAPS):
            address = f"10.0.2.{number}:80"
            beat = Heartbeat(name, "s", address, "a", 4, False, 1, {"m": 1})
            owner.handle_heartbeat(beat)
        for number in range(1, 25):
            calls = {name: make_calls(gap) for name, gap in GAPS.items()}
            report = UseReport(number, span=0.1, calls=calls)
            doubled = UseReport(number, calls={"e2": make_calls(0.3)})
            for sent in (report, report, doubled):
                watch = WatchFleet(0, 0, 0.0, reports=(sent,))
                asking = asyncio.create_task(owner.handle_watch("f1", watch))
            await asyncio.sleep(0.125)
        news = await asking
        paces = {c.name: c.record.pace for c in news.changes if c.record}
        assert paces == {"e1": 1.6, "e2": 0.7, "e3": 0.7}
        assert owner._backlogs.paces.pace("e1") == 1.6
        node.stop()
