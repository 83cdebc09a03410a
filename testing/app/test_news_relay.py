"""Tests of relays under the load of a large fleet.

Load pattern: 195 fronts in five data centres, 37 engines, and 80 changes a
second of the artifacts that engines hold. Each front has a question pending at
almost any time.
"""

import asyncio
import functools

import pytest

from ridgesill.core.fleet.messages import FrontRoom
from ridgesill.core.fleet.usage import UsageReport
from ridgesill.core.serving import front_load
from testing.app.lone_node import NAME
from testing.app.news_world import NewsWorld

pytestmark = pytest.mark.looptime

_FRONTS = 195
_ENGINES = 37
_CHANGES_PER_SECOND = 80
_SECONDS = 5.0
# Bound on the bytes between data centres, a second: a tenth of the control
# traffic that all nodes may send, 26 KB a second and node.
_MAX_BYTES_PER_SECOND = 0.1 * 26_000 * 200
# Bound on the questions that one relay sends to the owner, a second: about 5 ms
# of one core a second at 0.18 ms a message. The fronts of the owner's own data
# centre ask it in addition.
_MAX_RELAY_QUESTIONS_PER_SECOND = 15


class TestLargeFleet:
    async def start(self) -> NewsWorld:
        """Returns a large fleet whose fronts have the owner's state."""
        made = NewsWorld(_FRONTS, relayed=True)
        await made.start(_ENGINES)
        await asyncio.sleep(2.0)
        made.questions.clear()
        made.bytes_between = 0
        return made

    async def test_news_crosses_once_per_data_centre(self) -> None:
        world = await self.start()
        await world.change_adapters(_SECONDS, _CHANGES_PER_SECOND)
        assert world.bytes_between / _SECONDS < _MAX_BYTES_PER_SECOND
        world.stop()

    async def test_only_near_fronts_and_relays_ask_the_owner(self) -> None:
        world = await self.start()
        await world.change_adapters(_SECONDS, _CHANGES_PER_SECOND)
        near_questions = _FRONTS // 5 * 10
        max_questions = (
            near_questions + len(world.relays) * _MAX_RELAY_QUESTIONS_PER_SECOND
        )
        assert world.questions[NAME] / _SECONDS < max_questions
        world.stop()

    async def test_fronts_receive_changes_within_a_third_of_a_second(
        self,
    ) -> None:
        world = await self.start()
        changes = asyncio.create_task(
            world.change_adapters(2.0, _CHANGES_PER_SECOND)
        )
        await asyncio.sleep(1.0)
        registry = world.owner_node.owner._registry
        assert registry is not None
        number = registry.number
        await asyncio.sleep(0.33)
        fronts = [c for n, c in world.clients.items() if n.startswith("f")]
        assert all(client.view.number >= number for client in fronts)
        await changes
        world.stop()

    async def test_owner_knows_all_fronts_and_their_usage(self) -> None:
        world = await self.start()
        await world.change_adapters(1.0, _CHANGES_PER_SECOND)
        usage = world.owner_node.owner._usage
        assert usage.fronts == _FRONTS
        assert usage.requests_by_upstream() == {"e1": _FRONTS}
        front = world.clients["f1"]
        assert front.view.fronts == _FRONTS
        world.stop()

    async def test_popularity_counts_each_request_once(self) -> None:
        world = await self.start()
        loop = asyncio.get_running_loop()
        popularity = world.owner_node.owner._placement.popularity
        before = popularity.value("m/a1", loop.time())
        world.report_count = 0
        await world.change_adapters(2.0, _CHANGES_PER_SECOND)
        counted = popularity.value("m/a1", loop.time()) - before
        # A few reports are in transit, and counts decay by a fortieth.
        assert 0.9 * world.report_count < counted < 1.05 * world.report_count
        world.stop()


class TestLostRelay:
    async def start(self) -> NewsWorld:
        """Returns a small fleet in which tests freeze a relay."""
        made = NewsWorld(40, relayed=True)
        await made.start(4)
        await asyncio.sleep(2.0)
        return made

    async def test_fronts_of_a_frozen_relay_get_the_owner_s_news_soon(
        self,
    ) -> None:
        world = await self.start()
        world.frozen.add("r-b")
        world.add_artifact("e1", "m/a9")
        await asyncio.sleep(1.3)
        front = world.clients["f1"]
        assert front.view.upstreams["e1"].resident == {"m": 1, "m/a9": 1}
        world.stop()

    async def test_fronts_seldom_ask_a_frozen_relay(self) -> None:
        world = await self.start()
        world.frozen.add("r-b")
        await asyncio.sleep(2.0)
        world.questions.clear()
        await asyncio.sleep(20.0)
        fronts = 40 // 5
        assert world.questions["r-b"] <= 4 * fronts
        world.stop()

    async def test_fronts_return_to_a_recovered_relay(self) -> None:
        world = await self.start()
        world.frozen.add("r-b")
        await asyncio.sleep(2.0)
        world.frozen.clear()
        await asyncio.sleep(10.0)
        world.questions.clear()
        await asyncio.sleep(2.0)
        assert world.questions["r-b"] > 0
        world.stop()

    async def test_relay_that_lost_the_owner_sends_its_fronts_to_it(
        self,
    ) -> None:
        world = await self.start()
        # The relay's own questions get no answer any more, while its fronts
        # still reach the relay and the owner.
        world.clients["r-b"]._owner = lambda: ""
        await asyncio.sleep(2.0)
        world.add_artifact("e1", "m/a9")
        await asyncio.sleep(1.0)
        front = world.clients["f1"]
        assert front.view.upstreams["e1"].resident == {"m": 1, "m/a9": 1}
        world.stop()


class TestRooms:
    async def test_all_fronts_know_of_a_full_one_before_it_may_leave(
        self,
    ) -> None:
        # Guards against fronts that count others as having room which are
        # already not ready. Without changes, polls take longest.
        world = NewsWorld(_FRONTS, relayed=True)
        rooms = {"f1": 1, "f2": 1}

        def report(name: str) -> UsageReport:
            data_centre = world._data_centres[name]
            room = FrontRoom(1, rooms.get(name, 1))
            return UsageReport(rooms={data_centre: room})

        fronts = {n: c for n, c in world.clients.items() if n.startswith("f")}
        for name, client in fronts.items():
            client._usage = functools.partial(report, name)
        await world.start(_ENGINES)
        await asyncio.sleep(3.0)
        assert not any(client.view.rooms for client in fronts.values())
        rooms["f1"] = rooms["f2"] = 0
        await asyncio.sleep(front_load._UNREADY_AFTER_SECONDS)
        full = [world._data_centres[name] for name in ("f1", "f2")]
        expected = {dc: FrontRoom(39, 38) for dc in full}
        assert len(expected) == 2
        assert all(client.view.rooms == expected for client in fronts.values())
        world.stop()
