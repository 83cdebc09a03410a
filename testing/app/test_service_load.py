"""Tests of the wiring of load control: logs, figures and the registry."""

import collections
from collections.abc import Iterator

import eliot.testing
import pytest

from ridgesill.app.service_load import ServiceLoad
from ridgesill.core.fleet.messages import Heartbeat
from ridgesill.core.fleet.registry import Registry
from ridgesill.core.fleet.use_reports import Sent
from ridgesill.core.serving.customers import Customer, Customers, Quota
from ridgesill.core.serving.load_reports import RequestClass, UpstreamCalls
from ridgesill.core.serving.rates import RateUse
from ridgesill.core.serving.routes import (
    EngineSpec,
    Route,
    RouteTable,
    Service,
    Target,
)

_UPSTREAMS = [f"u{n}" for n in range(4)]
_SMALL = RequestClass("s", 0, "small")
_LARGE = RequestClass("s", 0, "large")


def make_table() -> RouteTable:
    """Returns a plain service, engines, and a small and a large customer."""
    route = Route("r", "h", "/", "safe", 1.0, 0.342, 0, (Target("s"),))
    engine = EngineSpec(4, 9.0, 4, 1.0, ())
    customers = (
        Customer("small", None, Quota(50.0, 50.0)),
        Customer("large", None, Quota(150.0, 150.0)),
    )
    services = [Service("s", "/", 0), Service("e", "/", 0, engine)]
    return RouteTable(1, [route], services, customers=Customers(customers, {}))


class LoadWorld:
    """An owner's load control with four upstreams and an engine."""

    def __init__(self) -> None:
        self.now = 0.0
        self.registry = Registry(1, 9.0)
        for name, service in [*((u, "s") for u in _UPSTREAMS), ("e1", "e")]:
            beat = Heartbeat(name, service, f"{name}:80", "a", 6, False, 1)
            self.registry.handle_heartbeat(beat, 0.0)
        self.load = ServiceLoad()
        self.load.apply_table(make_table())
        self.load.begin(0.0)
        self.logger = eliot.MemoryLogger()

    def play(
        self, seconds: float, offers: int, busy: int, failing: str = ""
    ) -> bool:
        """Plays reports; returns whether an update made news.

        Args:
            seconds: how long.
            offers: requests of each customer in 0.1 s.
            busy: requests in progress on each upstream.
            failing: upstream that fails all requests.
        """
        is_news = False
        for _ in range(round(10 * seconds)):
            self.now += 0.1
            use = RateUse(offers, offers)
            calls = {u: UpstreamCalls(9, 2.0) for u in _UPSTREAMS}
            if failing:
                calls[failing] = UpstreamCalls(failed=9)
            sent = Sent(offers={_SMALL.key: use, _LARGE.key: use}, calls=calls)
            self.load.record(sent, 0.2, self.now)
            busy_by_name = dict.fromkeys(_UPSTREAMS, busy)
            is_news |= self.load.update(
                self.registry, busy_by_name, 59, self.now
            )
        return is_news

    def logged(self, kind: str) -> list[dict[str, object]]:
        """Returns the logged messages of a kind."""
        messages = self.logger.messages
        return [m for m in messages if m.get("message_type") == kind]


@pytest.fixture
def world() -> Iterator[LoadWorld]:
    made = LoadWorld()
    previous = eliot.testing.swap_logger(made.logger)
    yield made
    eliot.testing.swap_logger(previous)


class TestOverloadLog:
    def test_beginning_change_and_end_are_logged_once(
        self, world: LoadWorld
    ) -> None:
        assert not world.play(2.0, 10, 5)
        assert world.play(3.0, 30, 20)
        world.play(3.0, 60, 20)
        # 80 requests a second, of the 108 that fit: with 200, as before the
        # overload, the restriction holds.
        world.play(3.0, 4, 1)
        lines = world.logged("fleet:overload")
        changes = collections.Counter(line["change"] for line in lines)
        assert changes["began"] == changes["ended"] == 1
        # The offered load rises from 200 to 600 and to 1,200 in steps of a
        # fifth.
        assert 2 <= changes["changed"] <= 15
        assert lines[0]["service"] == "s"

    def test_implausible_reports_are_logged(self, world: LoadWorld) -> None:
        world.play(1.0, 10, 5)
        sent = Sent(calls={"u1": UpstreamCalls(10**9, 1.0)})
        world.load.record(sent, 0.1, world.now)
        (line,) = world.logged("fleet:absurd_report")
        assert line["subject"] == "u1"


class TestLoadStates:
    def test_an_ejection_is_set_and_logged(self, world: LoadWorld) -> None:
        world.play(1.0, 10, 5)
        assert world.play(0.5, 10, 5, failing="u1")
        assert world.registry.upstreams["u1"].is_ejected
        (line,) = world.logged("fleet:ejected")
        assert line["upstream"] == "u1" and line["is_ejected"]

    def test_engines_are_left_alone(self, world: LoadWorld) -> None:
        # Their paces are set by another part of the owner.
        world.registry.set_load_state("e1", 1.4, True)
        world.play(1.0, 10, 5)
        assert world.registry.upstreams["e1"].pace == 1.4

    def test_with_too_few_fronts_all_are_readmitted(
        self, world: LoadWorld
    ) -> None:
        world.play(1.5, 10, 5, failing="u1")
        assert world.load.update(world.registry, {}, 6, world.now)
        assert not world.registry.upstreams["u1"].is_ejected


class TestShares:
    def test_quotas_are_the_weights_of_customers(
        self, world: LoadWorld
    ) -> None:
        # Both offer 300 of 350; the large one usually sends three times as
        # much as the small one.
        world.play(3.0, 30, 20)
        shares = world.load.make_news(world.now)["s"].shares
        small, large = (shares[c.key].share for c in (_SMALL, _LARGE))
        assert large > 1.5 * small

    def test_a_node_that_gives_up_restricts_nothing(
        self, world: LoadWorld
    ) -> None:
        world.play(3.0, 30, 20)
        assert world.load.lowest_share() < 0.8
        assert world.load.capacity() == pytest.approx(350, rel=0.2)
        world.load.end()
        assert not world.load.is_restricting
        assert world.load.lowest_share() == 1.0
        assert world.load.capacity() == world.load.expected_returns() == 0
