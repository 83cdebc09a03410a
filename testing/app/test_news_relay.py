"""Tests of news that relays pass on, with the load of a large fleet.

Load pattern: 195 fronts in five data centres, 37 engines, and eighty changes
of what engines hold a second. Each front asks all the time.
"""

import asyncio

import pytest

from testing.app.lone_node import NAME
from testing.app.news_world import NewsWorld

pytestmark = pytest.mark.looptime

_FRONTS = 195
_ENGINES = 37
_CHANGES = 80
_SECONDS = 5.0
# A tenth of what all nodes may send for control: 26 KB a second and node.
_BYTES_MOST = 0.1 * 26_000 * 200
# Some five ms of one core a second at 0.18 ms a message, beside the fronts of
# the owner's own data centre.
_QUESTIONS_OF_A_RELAY = 15


class TestLargeFleet:
    async def start(self) -> NewsWorld:
        """Returns a large fleet whose fronts know what there is."""
        made = NewsWorld(_FRONTS, relayed=True)
        await made.start(_ENGINES)
        await asyncio.sleep(2.0)
        made.questions.clear()
        made.bytes_between = 0
        return made

    async def test_news_cross_once_for_a_data_centre(self) -> None:
        world = await self.start()
        await world.change(_SECONDS, _CHANGES)
        assert world.bytes_between / _SECONDS < _BYTES_MOST
        world.stop()

    async def test_the_owner_is_asked_by_its_own_fronts_and_by_relays(
        self,
    ) -> None:
        world = await self.start()
        await world.change(_SECONDS, _CHANGES)
        near = _FRONTS // 5 * 10
        most = near + len(world.relays) * _QUESTIONS_OF_A_RELAY
        assert world.questions[NAME] / _SECONDS < most
        world.stop()

    async def test_fronts_know_within_a_third_of_a_second(self) -> None:
        world = await self.start()
        changing = asyncio.create_task(world.change(2.0, _CHANGES))
        await asyncio.sleep(1.0)
        registry = world.owning.owner._registry
        assert registry is not None
        number = registry.number
        await asyncio.sleep(0.33)
        fronts = [c for n, c in world.clients.items() if n.startswith("f")]
        assert all(client.view.number >= number for client in fronts)
        await changing
        world.stop()

    async def test_the_owner_knows_all_fronts_and_what_they_use(self) -> None:
        world = await self.start()
        await world.change(1.0, _CHANGES)
        usage = world.owning.owner._usage
        assert usage.fronts == _FRONTS
        assert usage.requests_by_upstream() == {"e1": _FRONTS}
        front = world.clients["f1"]
        assert front.view.fronts == _FRONTS
        world.stop()

    async def test_popularity_counts_each_request_once(self) -> None:
        world = await self.start()
        loop = asyncio.get_running_loop()
        popularity = world.owning.owner._placement.popularity
        before = popularity.value("m/a1", loop.time())
        world.reported = 0
        await world.change(2.0, _CHANGES)
        counted = popularity.value("m/a1", loop.time()) - before
        # A few are on their way, and counts fade by a fortieth in the time.
        assert 0.9 * world.reported < counted < 1.05 * world.reported
        world.stop()


class TestLostRelay:
    async def start(self) -> NewsWorld:
        """Returns a fleet with one relay that freezes."""
        made = NewsWorld(40, relayed=True)
        await made.start(4)
        await asyncio.sleep(2.0)
        return made

    async def test_its_fronts_ask_the_owner_within_a_second(self) -> None:
        world = await self.start()
        world.frozen.add("r-b")
        world.load("e1", "m/a9")
        await asyncio.sleep(1.3)
        front = world.clients["f1"]
        assert front.view.upstreams["e1"].resident == {"m": 1, "m/a9": 1}
        world.stop()

    async def test_they_seldom_wait_for_it_again(self) -> None:
        world = await self.start()
        world.frozen.add("r-b")
        await asyncio.sleep(2.0)
        world.questions.clear()
        await asyncio.sleep(20.0)
        fronts = 40 // 5
        assert world.questions["r-b"] <= 4 * fronts
        world.stop()

    async def test_they_come_back_to_it(self) -> None:
        world = await self.start()
        world.frozen.add("r-b")
        await asyncio.sleep(2.0)
        world.frozen.clear()
        await asyncio.sleep(10.0)
        world.questions.clear()
        await asyncio.sleep(2.0)
        assert world.questions["r-b"] > 0
        world.stop()

    async def test_one_that_lost_the_owner_sends_its_fronts_there(self) -> None:
        world = await self.start()
        # The relay's own questions get no answer any more, while its fronts
        # still reach both.
        world.clients["r-b"]._owner = lambda: ""
        await asyncio.sleep(2.0)
        world.load("e1", "m/a9")
        await asyncio.sleep(1.0)
        front = world.clients["f1"]
        assert front.view.upstreams["e1"].resident == {"m": 1, "m/a9": 1}
        world.stop()
