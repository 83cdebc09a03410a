"""Tests of the news that a relay keeps and passes on to fronts."""

import random

import attrs

from ridgesill.core.fleet.messages import FleetNews, Heartbeat, WatchFleet
from ridgesill.core.fleet.registry import FleetView, Registry
from ridgesill.core.fleet.relayed_news import RelayedNews

_PATIENCE = 4.8


def heartbeat(name: str, sequence: int) -> Heartbeat:
    """Returns a heartbeat of an engine without adapters."""
    address = f"10.0.1.{name[1:]}:80"
    return Heartbeat(name, "s", address, "a", 12, False, sequence, {"m": 1})


def ask(view: FleetView) -> WatchFleet:
    """Returns the question of a node with this view."""
    return WatchFleet(view.epoch, view.number, 0.5)


class Relay:
    """A node that gets news from an owner and answers fronts."""

    def __init__(self) -> None:
        self.view = FleetView()
        self.news = RelayedNews(self.view)

    def ask_owner(self, owner: Registry, now: float) -> None:
        """Gets the owner's news."""
        news = owner.make_news(ask(self.view), 3, {"u1": 2}, now)
        self.view.apply_news(news, now)
        self.news.apply_news(news)

    def answer(self, front: FleetView, now: float) -> FleetNews:
        """Answers a front and applies the answer to its view."""
        news = self.news.make_news(ask(front), now)
        front.apply_news(news, now)
        return news


class TestRelayedNews:
    def test_front_receives_the_owner_s_changes(self) -> None:
        owner, relay, front = Registry(3, _PATIENCE), Relay(), FleetView()
        owner.handle_heartbeat(heartbeat("u1", 1), 0.0)
        relay.ask_owner(owner, 0.0)
        first = relay.answer(front, 0.0)
        assert first.whole
        owner.set_resident("u1", {"m": 1, "m/a1": 4})
        relay.ask_owner(owner, 0.2)
        news = relay.answer(front, 0.3)
        assert not news.whole
        assert len(news.changes) == 1
        assert front.upstreams["u1"].resident == {"m": 1, "m/a1": 4}
        assert (front.fronts, front.busy) == (3, {"u1": 2})

    def test_age_counts_from_the_owner_s_answer(self) -> None:
        owner, relay, front = Registry(3, _PATIENCE), Relay(), FleetView()
        relay.ask_owner(owner, 1.0)
        assert abs(relay.answer(front, 1.4).age - 0.4) < 1e-9
        assert abs(front.updated_at - 1.0) < 1e-9
        assert relay.news.is_current(1.8)
        assert not relay.news.is_current(2.0)

    def test_fronts_switch_between_owner_and_relays_at_any_number(self) -> None:
        # In each step one of the two relays may get the owner's news, and the
        # front asks a relay or the owner. The front must end up with the
        # owner's state, whichever relay was behind.
        for seed in range(30):
            self.run_schedule(random.Random(seed))

    def run_schedule(self, rng: random.Random) -> None:
        """Runs random changes of artifacts and questions of one front."""
        owner, front = Registry(3, _PATIENCE), FleetView()
        relays = [Relay(), Relay()]
        for number in range(1, 4):
            owner.handle_heartbeat(heartbeat(f"u{number}", 1), 0.0)
        for relay in relays:
            relay.ask_owner(owner, 0.0)
        for _ in range(60):
            name = f"u{rng.randint(1, 3)}"
            held = {f"m/a{rng.randint(1, 4)}": rng.randint(1, 9)}
            owner.set_resident(name, {"m": 1, **held})
            if rng.random() < 0.5:
                rng.choice(relays).ask_owner(owner, 0.0)
            asked = rng.randint(0, 2)
            if asked < 2:
                relays[asked].answer(front, 0.0)
            else:
                front.apply_news(owner.make_news(ask(front), 3, {}, 0.0), 0.0)
        relays[0].ask_owner(owner, 0.0)
        relays[0].answer(front, 0.0)
        assert front.number == owner.number
        assert {
            name: attrs.evolve(upstream)
            for name, upstream in owner.upstreams.items()
        } == front.upstreams

    def test_relay_behind_the_front_reverts_nothing(self) -> None:
        owner, relay, front = Registry(3, _PATIENCE), Relay(), FleetView()
        owner.handle_heartbeat(heartbeat("u1", 1), 0.0)
        relay.ask_owner(owner, 0.0)
        owner.set_resident("u1", {"m": 1, "m/a1": 1})
        front.apply_news(owner.make_news(ask(front), 3, {}, 0.0), 0.0)
        assert not relay.news.has_news(ask(front))
        news = relay.answer(front, 0.0)
        assert (news.whole, news.changes) == (False, ())
        assert front.number == owner.number
        assert "m/a1" in front.upstreams["u1"].resident

    def test_front_far_behind_gets_the_full_state(self) -> None:
        owner, relay, front = Registry(3, _PATIENCE), Relay(), FleetView()
        owner.handle_heartbeat(heartbeat("u1", 1), 0.0)
        relay.ask_owner(owner, 0.0)
        relay.answer(front, 0.0)
        for number in range(1500):
            owner.set_resident("u1", {"m": 1, "m/a1": number})
            relay.ask_owner(owner, 0.0)
        assert relay.answer(front, 0.0).whole

    def test_news_of_a_new_owner_replaces_the_earlier_state(self) -> None:
        relay, front = Relay(), FleetView()
        first, second = Registry(3, _PATIENCE), Registry(9, _PATIENCE)
        first.handle_heartbeat(heartbeat("u1", 1), 0.0)
        relay.ask_owner(first, 0.0)
        relay.answer(front, 0.0)
        second.handle_heartbeat(heartbeat("u2", 1), 0.5)
        relay.ask_owner(second, 0.5)
        assert relay.news.has_news(ask(front))
        assert relay.answer(front, 0.5).whole
        assert set(front.upstreams) == {"u2"}

    def test_relay_cannot_answer_for_an_unknown_owner(self) -> None:
        relay = Relay()
        assert not relay.news.can_answer(WatchFleet(0, 0, 0.5))
        relay.ask_owner(Registry(3, _PATIENCE), 0.0)
        assert relay.news.can_answer(WatchFleet(0, 0, 0.5))
        assert not relay.news.can_answer(WatchFleet(9, 1, 0.5))

    def test_unconfirmed_upstreams_are_not_passed_on(self) -> None:
        relay, front = Relay(), FleetView()
        first, second = Registry(3, _PATIENCE), Registry(9, _PATIENCE)
        first.handle_heartbeat(heartbeat("u1", 1), 0.0)
        relay.ask_owner(first, 0.0)
        second.begin_settling(1.0)
        second.handle_heartbeat(heartbeat("u2", 1), 1.0)
        relay.ask_owner(second, 1.0)
        news = relay.answer(front, 1.0)
        assert [change.name for change in news.changes] == ["u2"]
        assert not news.settled
