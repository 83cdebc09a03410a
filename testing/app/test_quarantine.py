"""Tests of a front's part in finding requests that end their upstreams."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import attrs
import pytest

from ridgesill.app import quarantine
from ridgesill.app.control import UnavailableError
from ridgesill.app.quarantine import Quarantine
from ridgesill.core import codec
from ridgesill.core.commands import (
    ClearSuspects,
    LiftQuarantine,
    NoteUpstreamEnd,
    PutFingerprintKey,
)
from ridgesill.core.fleet.messages import Upstream
from ridgesill.core.log.messages import Entry
from ridgesill.core.serving import recent_answers
from ridgesill.core.serving.fingerprints import Fingerprinter, Identity
from ridgesill.core.state import State
from testing.app.front_world import Call, FrontWorld, ScriptedUpstream

HARMFUL = Identity(b"POST", "a.example", b"/ask/x", "10.0.0.1", b"harmful")
HARMLESS = attrs.evolve(HARMFUL, body=b"harmless")


def upstream(number: int) -> Upstream:
    """Returns a start of an upstream."""
    return Upstream(f"i-{number}", "plain", f"10.0.1.{number}:80", "a", 4)


@attrs.define
class SharedLog:
    """Commands of all fronts, and the state that they make."""

    state: State = attrs.Factory(State)
    commands: list[Any] = attrs.Factory(list)
    is_led: bool = True
    watchers: list[Any] = attrs.Factory(list)

    async def propose(self, command: Any, timeout: float) -> Any:
        """Applies a command, and tells those who watch."""
        if not self.is_led:
            await asyncio.sleep(0.01)
            raise UnavailableError("no leader")
        self.commands.append(command)
        entry = Entry(self.state.index + 1, 1, codec.encode(command))
        done = self.state.apply(entry)
        for watcher in self.watchers:
            watcher(self.state)
        return done


@attrs.define
class Fronts:
    """Two fronts that share a log; upstreams in `gone` refuse channels."""

    log: SharedLog
    first: Quarantine
    second: Quarantine
    gone: set[str]

    async def cut(
        self, front: Quarantine, number: int, *identities: Identity
    ) -> None:
        """Has a front see an upstream break requests off."""
        for identity in identities:
            front.record_cut(upstream(number), identity)
        await asyncio.sleep(0.06)

    def is_refused(self, front: Quarantine, identity: Identity) -> bool:
        """Whether a front refuses a request."""
        suspect = front.find_suspect(identity)
        return suspect is not None and front.is_quarantined(suspect)


@pytest.fixture
async def fronts(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[Fronts]:
    """Returns two fronts, before upstreams that are all gone."""
    monkeypatch.setattr(quarantine, "_MAX_KEY_DELAY_SECONDS", 0.0)
    log = SharedLog()
    gone = {upstream(number).address for number in range(9)}

    async def is_refused(address: str) -> bool:
        return address in gone

    made = Fronts(log, Quarantine(is_refused), Quarantine(is_refused), gone)
    log.watchers = [made.first.apply_state, made.second.apply_state]
    await log.propose(ClearSuspects(()), 1.0)
    tasks = [
        asyncio.create_task(front.run(log.propose))
        for front in (made.first, made.second)
    ]
    await asyncio.sleep(0.01)
    yield made
    for task in tasks:
        task.cancel()


class TestEnds:
    async def test_ends_at_several_fronts_add_up(self, fronts: Fronts) -> None:
        await fronts.cut(fronts.first, 1, HARMFUL, HARMLESS)
        await fronts.cut(fronts.second, 2, HARMFUL)
        assert not fronts.is_refused(fronts.first, HARMFUL)
        await fronts.cut(fronts.first, 3, HARMFUL)
        for front in (fronts.first, fronts.second):
            assert fronts.is_refused(front, HARMFUL)
            assert not fronts.is_refused(front, HARMLESS)

    async def test_a_caller_with_several_addresses_is_one(
        self, fronts: Fronts
    ) -> None:
        # Its requests came to fronts of three data centres, each of which sees
        # addresses of its own: of 417 requests none came from another one's.
        for number in (1, 2, 3):
            source = attrs.evolve(HARMFUL, caller=f"10.{number}.0.1")
            await fronts.cut(fronts.first, number, source)
        source = attrs.evolve(HARMFUL, caller="10.4.0.1")
        assert fronts.is_refused(fronts.second, source)

    async def test_an_upstream_that_is_there_has_not_ended(
        self, fronts: Fronts
    ) -> None:
        fronts.gone.clear()
        for number in range(1, 6):
            await fronts.cut(fronts.first, number, HARMFUL)
        assert fronts.first.find_suspect(HARMFUL) is None
        assert not any(
            isinstance(command, NoteUpstreamEnd)
            for command in fronts.log.commands
        )

    async def test_all_that_one_end_cuts_is_told_at_once(
        self, fronts: Fronts
    ) -> None:
        await fronts.cut(fronts.first, 1, HARMFUL, HARMLESS, HARMFUL)
        told = [c for c in fronts.log.commands if type(c) is NoteUpstreamEnd]
        assert [len(command.aboard) for command in told] == [2]

    async def test_a_front_counts_its_own_while_nobody_leads(
        self, fronts: Fronts
    ) -> None:
        await fronts.cut(fronts.second, 1, HARMFUL)
        fronts.log.is_led = False
        await fronts.cut(fronts.first, 2, HARMFUL)
        await fronts.cut(fronts.first, 3, HARMFUL)
        assert fronts.is_refused(fronts.first, HARMFUL)
        assert not fronts.is_refused(fronts.second, HARMFUL)
        fronts.log.is_led = True
        await asyncio.sleep(0.1)
        assert fronts.is_refused(fronts.second, HARMFUL)

    async def test_a_front_that_starts_knows_what_the_log_knows(
        self, fronts: Fronts
    ) -> None:
        for number in (1, 2, 3):
            await fronts.cut(fronts.first, number, HARMFUL)

        async def is_refused(address: str) -> bool:
            return False

        started = Quarantine(is_refused)
        started.apply_state(State.load(fronts.log.state.dump(with_once=False)))
        assert fronts.is_refused(started, HARMFUL)

    async def test_there_is_one_key(self, fronts: Fronts) -> None:
        drawn = [c for c in fronts.log.commands if type(c) is PutFingerprintKey]
        assert drawn
        assert fronts.log.state.fingerprint_key == drawn[0].key


class TestAnswers:
    async def test_a_whole_answer_anywhere_clears_a_request(
        self, fronts: Fronts
    ) -> None:
        await fronts.cut(fronts.first, 1, HARMLESS)
        await fronts.cut(fronts.first, 2, HARMLESS)
        suspect = fronts.second.find_suspect(HARMLESS)
        assert suspect is not None
        fronts.second.clear_suspect(suspect)
        await asyncio.sleep(0.02)
        assert fronts.first.find_suspect(HARMLESS) is None
        await fronts.cut(fronts.first, 3, HARMLESS)
        assert not fronts.is_refused(fronts.first, HARMLESS)

    async def test_what_was_answered_a_moment_ago_is_not_suspected(
        self, fronts: Fronts
    ) -> None:
        # One that everybody sends, word for word, is aboard of whatever ends:
        # three upstreams ended within a second, and it was refused for a
        # quarter of one, though it had been answered all the time before.
        for number in (1, 2, 3):
            fronts.first.record_answered(HARMLESS.local_hash())
            await fronts.cut(fronts.first, number, HARMFUL, HARMLESS)
        assert not fronts.is_refused(fronts.first, HARMLESS)
        assert fronts.is_refused(fronts.first, HARMFUL)

    async def test_an_answer_of_long_ago_says_nothing(
        self, fronts: Fronts, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # It may end upstreams of a later version.
        monkeypatch.setattr(recent_answers, "_RETENTION_SECONDS", 0.01)
        fronts.first.record_answered(HARMFUL.local_hash())
        await asyncio.sleep(0.02)
        for number in (1, 2, 3):
            await fronts.cut(fronts.first, number, HARMFUL)
        assert fronts.is_refused(fronts.first, HARMFUL)

    async def test_an_operator_lifts_a_quarantine(self, fronts: Fronts) -> None:
        for number in (1, 2, 3):
            await fronts.cut(fronts.first, number, HARMFUL)
        suspect = fronts.first.find_suspect(HARMFUL)
        assert suspect is not None
        await fronts.log.propose(LiftQuarantine(suspect.content), 1.0)
        assert fronts.first.find_suspect(HARMFUL) is None
        assert fronts.second.find_suspect(HARMFUL) is None


class TestCost:
    async def test_a_whole_request_is_hashed_only_beside_a_suspect(
        self, fronts: Fronts, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        taken: list[Identity] = []
        take = Fingerprinter.compute

        def note(self: Fingerprinter, identity: Identity) -> Any:
            taken.append(identity)
            return take(self, identity)

        monkeypatch.setattr(Fingerprinter, "compute", note)
        assert fronts.first.find_suspect(HARMFUL) is None
        assert not taken
        await fronts.cut(fronts.first, 1, HARMFUL)
        taken.clear()
        elsewhere = attrs.evolve(HARMFUL, target=b"/other")
        assert fronts.second.find_suspect(elsewhere) is None
        assert not taken
        assert fronts.second.find_suspect(HARMLESS) is None
        assert taken == [HARMLESS]


class TestForwarding:
    async def test_the_fourth_send_is_refused_for_long(self) -> None:
        world = FrontWorld()
        await world.start()
        log = SharedLog()
        log.watchers.append(world.front.quarantine.apply_state)
        await log.propose(PutFingerprintKey(b"key"), 1.0)
        client = await world.open()
        for number in range(3):
            ending: list[ScriptedUpstream] = []

            async def end(
                call: Call, ending: list[ScriptedUpstream] = ending
            ) -> None:
                ending[0].stop()
                call.reset()

            ending.append(await world.add(f"u{number}", end))
            assert (await client.ask("/unsafe/x", b"harmful")).status == 502
            await asyncio.sleep(0.1)
            world.fleet.view.upstreams.clear()

        async def answer(call: Call) -> None:
            await call.answer(200, b"fine", "Server-Stamp: s1")

        last = await world.add("u3", answer)
        refused = await client.ask("/unsafe/x", b"harmful")
        assert refused.status == 503
        assert float(refused.headers["retry-after"]) >= 3600
        assert not last.calls
        assert (await client.ask("/unsafe/x", b"other")).status == 200
        await world.stop()

    async def test_an_answer_that_ends_with_its_channel_clears_nobody(
        self,
    ) -> None:
        # Without a length, an end of the upstream looks like the answer's.
        world = FrontWorld()
        await world.start()

        async def answer(call: Call) -> None:
            await call.send(b"HTTP/1.1 200 OK\r\n\r\nhalf of it")
            call.writer.close()

        await world.add("u1", answer)
        noted: list[int] = []
        world.front.quarantine.record_answered = noted.append  # type: ignore
        client = await world.open()
        assert (await client.ask("/unsafe/x", b"b")).status == 200
        assert not noted
        await world.stop()


class TestCommands:
    def test_a_cleared_request_is_told_by_its_whole(self) -> None:
        taken = Fingerprinter(b"key").compute(HARMLESS)
        state = State()
        for index, name in enumerate(("i-1", "i-2"), start=1):
            noted = NoteUpstreamEnd(name, (taken,))
            state.apply(Entry(index, 1, codec.encode(noted)))
        cleared = ClearSuspects((taken,))
        state.apply(Entry(3, 1, codec.encode(cleared)))
        assert not state.suspects
