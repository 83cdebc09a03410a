"""Tests of an owner's news as another node passes them on."""

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
    """Returns the question of a front."""
    return WatchFleet(view.epoch, view.number, 0.5)


class Relay:
    """A node that takes an owner's news and passes them on."""

    def __init__(self) -> None:
        self.view = FleetView()
        self.news = RelayedNews(self.view)

    def follow(self, owner: Registry, now: float) -> None:
        """Asks the owner."""
        news = owner.make_news(ask(self.view), 3, {"u1": 2}, now)
        self.view.apply_news(news, now)
        self.news.apply_news(news)

    def tell(self, front: FleetView, now: float) -> FleetNews:
        """Answers a front."""
        news = self.news.make_news(ask(front), now)
        front.apply_news(news, now)
        return news


class TestRelayedNews:
    def test_a_front_learns_what_the_owner_said(self) -> None:
        owner, relay, front = Registry(3, _PATIENCE), Relay(), FleetView()
        owner.handle_heartbeat(heartbeat("u1", 1), 0.0)
        relay.follow(owner, 0.0)
        first = relay.tell(front, 0.0)
        assert first.whole
        owner.set_resident("u1", {"m": 1, "m/a1": 4})
        relay.follow(owner, 0.2)
        news = relay.tell(front, 0.3)
        assert not news.whole
        assert len(news.changes) == 1
        assert front.upstreams["u1"].resident == {"m": 1, "m/a1": 4}
        assert (front.fronts, front.busy) == (3, {"u1": 2})

    def test_its_age_counts_from_the_owner_s_word(self) -> None:
        owner, relay, front = Registry(3, _PATIENCE), Relay(), FleetView()
        relay.follow(owner, 1.0)
        assert abs(relay.tell(front, 1.4).age - 0.4) < 1e-9
        assert abs(front.updated_at - 1.0) < 1e-9
        assert relay.news.is_current(1.8)
        assert not relay.news.is_current(2.0)

    def test_fronts_go_between_owner_and_relays_at_any_number(self) -> None:
        # Each step one of the two relays follows, and the front asks one of
        # the three. It must never end with something else than the owner has,
        # whichever of them was behind.
        for seed in range(30):
            self.play(random.Random(seed))

    def play(self, rng: random.Random) -> None:
        """Plays changes of holdings, and questions of one front."""
        owner, front = Registry(3, _PATIENCE), FleetView()
        relays = [Relay(), Relay()]
        for number in range(1, 4):
            owner.handle_heartbeat(heartbeat(f"u{number}", 1), 0.0)
        for relay in relays:
            relay.follow(owner, 0.0)
        for _ in range(60):
            name = f"u{rng.randint(1, 3)}"
            held = {f"m/a{rng.randint(1, 4)}": rng.randint(1, 9)}
            owner.set_resident(name, {"m": 1, **held})
            if rng.random() < 0.5:
                rng.choice(relays).follow(owner, 0.0)
            asked = rng.randint(0, 2)
            if asked < 2:
                relays[asked].tell(front, 0.0)
            else:
                front.apply_news(owner.make_news(ask(front), 3, {}, 0.0), 0.0)
        relays[0].follow(owner, 0.0)
        relays[0].tell(front, 0.0)
        assert front.number == owner.number
        assert {
            name: attrs.evolve(upstream)
            for name, upstream in owner.upstreams.items()
        } == front.upstreams

    def test_one_that_is_behind_takes_nothing_back(self) -> None:
        owner, relay, front = Registry(3, _PATIENCE), Relay(), FleetView()
        owner.handle_heartbeat(heartbeat("u1", 1), 0.0)
        relay.follow(owner, 0.0)
        owner.set_resident("u1", {"m": 1, "m/a1": 1})
        front.apply_news(owner.make_news(ask(front), 3, {}, 0.0), 0.0)
        assert not relay.news.has_news(ask(front))
        news = relay.tell(front, 0.0)
        assert (news.whole, news.changes) == (False, ())
        assert front.number == owner.number
        assert "m/a1" in front.upstreams["u1"].resident

    def test_one_who_is_far_behind_gets_everything(self) -> None:
        owner, relay, front = Registry(3, _PATIENCE), Relay(), FleetView()
        owner.handle_heartbeat(heartbeat("u1", 1), 0.0)
        relay.follow(owner, 0.0)
        relay.tell(front, 0.0)
        for number in range(1500):
            owner.set_resident("u1", {"m": 1, "m/a1": number})
            relay.follow(owner, 0.0)
        assert relay.tell(front, 0.0).whole

    def test_another_owner_s_news_replace_the_earlier_one_s(self) -> None:
        relay, front = Relay(), FleetView()
        first, second = Registry(3, _PATIENCE), Registry(9, _PATIENCE)
        first.handle_heartbeat(heartbeat("u1", 1), 0.0)
        relay.follow(first, 0.0)
        relay.tell(front, 0.0)
        second.handle_heartbeat(heartbeat("u2", 1), 0.5)
        relay.follow(second, 0.5)
        assert relay.news.has_news(ask(front))
        assert relay.tell(front, 0.5).whole
        assert set(front.upstreams) == {"u2"}

    def test_it_does_not_answer_for_an_owner_that_it_has_not_heard(
        self,
    ) -> None:
        relay = Relay()
        assert not relay.news.can_answer(WatchFleet(0, 0, 0.5))
        relay.follow(Registry(3, _PATIENCE), 0.0)
        assert relay.news.can_answer(WatchFleet(0, 0, 0.5))
        assert not relay.news.can_answer(WatchFleet(9, 1, 0.5))

    def test_what_a_new_owner_has_not_heard_yet_is_not_passed_on(self) -> None:
        relay, front = Relay(), FleetView()
        first, second = Registry(3, _PATIENCE), Registry(9, _PATIENCE)
        first.handle_heartbeat(heartbeat("u1", 1), 0.0)
        relay.follow(first, 0.0)
        second.begin_settling(1.0)
        second.handle_heartbeat(heartbeat("u2", 1), 1.0)
        relay.follow(second, 1.0)
        news = relay.tell(front, 1.0)
        assert [change.name for change in news.changes] == ["u2"]
        assert not news.settled
