"""Tests of detecting and refusing requests that end their upstreams."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import attrs
import pytest

from ridgesill.app import quarantine
from ridgesill.app.control import UnavailableError
from ridgesill.app.quarantine import Quarantine, hold_part
from ridgesill.core import codec
from ridgesill.core.commands import (
    ClearSuspects,
    LiftQuarantine,
    NoteUpstreamEnd,
    PutFingerprintKey,
)
from ridgesill.core.fleet.messages import Upstream
from ridgesill.core.harmful_parts import SuspectPart
from ridgesill.core.log.messages import Entry
from ridgesill.core.serving.fingerprints import Fingerprinter, Identity
from ridgesill.core.state import State
from testing.app.front_world import Call, FrontWorld, ScriptedUpstream

HARMFUL = Identity(b"POST", "a.example", b"/ask/x", "10.0.0.1", b"harmful")
HARMLESS = attrs.evolve(HARMFUL, body=b"harmless")


def upstream(number: int) -> Upstream:
    """Returns the upstream with a number."""
    return Upstream(f"i-{number}", "plain", f"10.0.1.{number}:80", "a", 4)


@attrs.define
class SharedLog:
    """A log that all fronts share, and the state after its commands.

    Attributes:
        state: after all commands.
        commands: that were proposed and applied.
        is_led: whether there is a leader; proposals fail otherwise.
        watchers: called with the state after each command.
    """

    state: State = attrs.Factory(State)
    commands: list[Any] = attrs.Factory(list)
    is_led: bool = True
    watchers: list[Any] = attrs.Factory(list)

    async def propose(self, command: Any, timeout: float) -> Any:
        """Applies a command and calls the watchers."""
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
    """Two fronts that share a log.

    Attributes:
        log: the log.
        first: the quarantine of one front.
        second: the quarantine of the other front.
        gone: addresses of upstreams that refuse connections.
    """

    log: SharedLog
    first: Quarantine
    second: Quarantine
    gone: set[str]

    async def cut(
        self, front: Quarantine, number: int, *identities: Identity
    ) -> None:
        """Has a front observe that an upstream cut requests."""
        for identity in identities:
            front.record_cut(upstream(number), identity, has_begun=False)
        await asyncio.sleep(0.06)

    def is_refused(self, front: Quarantine, identity: Identity) -> bool:
        """Whether a front refuses a request."""
        suspect = front.find_suspect(identity)
        return suspect is not None and front.is_quarantined(suspect)


@pytest.fixture
async def fronts(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[Fronts]:
    """Yields two fronts whose upstreams are all gone."""
    monkeypatch.setattr(quarantine, "_MAX_KEY_DELAY_SECONDS", 0.0)
    log = SharedLog()
    gone = {upstream(number).address for number in range(9)}

    async def is_refused(address: str) -> bool:
        return address in gone

    created = Fronts(log, Quarantine(is_refused), Quarantine(is_refused), gone)
    log.watchers = [created.first.apply_state, created.second.apply_state]
    await log.propose(ClearSuspects(()), 1.0)
    tasks = [
        asyncio.create_task(front.run(log.propose))
        for front in (created.first, created.second)
    ]
    await asyncio.sleep(0.01)
    yield created
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

    async def test_a_request_from_several_addresses_counts_as_one(
        self, fronts: Fronts
    ) -> None:
        # Fronts in three data centres saw one caller under different addresses:
        # none of its 417 requests came from an address that a front of another
        # data centre saw.
        for number in (1, 2, 3):
            source = attrs.evolve(HARMFUL, caller=f"10.{number}.0.1")
            await fronts.cut(fronts.first, number, source)
        source = attrs.evolve(HARMFUL, caller="10.4.0.1")
        assert fronts.is_refused(fronts.second, source)

    async def test_an_upstream_that_accepts_connections_has_not_ended(
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

    async def test_the_requests_cut_by_one_end_are_reported_together(
        self, fronts: Fronts
    ) -> None:
        await fronts.cut(fronts.first, 1, HARMFUL, HARMLESS, HARMFUL)
        reported = [
            c for c in fronts.log.commands if type(c) is NoteUpstreamEnd
        ]
        assert [len(command.aboard) for command in reported] == [2]

    async def test_a_front_counts_its_own_observations_without_a_leader(
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

    async def test_a_front_that_starts_reads_suspects_from_the_log(
        self, fronts: Fronts
    ) -> None:
        for number in (1, 2, 3):
            await fronts.cut(fronts.first, number, HARMFUL)

        async def is_refused(address: str) -> bool:
            return False

        started = Quarantine(is_refused)
        started.apply_state(State.load(fronts.log.state.dump(with_once=False)))
        assert fronts.is_refused(started, HARMFUL)

    async def test_all_fronts_use_the_first_key(self, fronts: Fronts) -> None:
        key_commands = [
            c for c in fronts.log.commands if type(c) is PutFingerprintKey
        ]
        assert key_commands
        assert fronts.log.state.fingerprint_key == key_commands[0].key


class TestAmbiguousEnds:
    async def test_a_trial_frees_the_harmless_one_of_two_that_were_aboard(
        self, fronts: Fronts
    ) -> None:
        for number in (1, 2, 3):
            await fronts.cut(fronts.first, number, HARMFUL, HARMLESS)
        both = (fronts.first, fronts.second)
        assert all(fronts.is_refused(front, HARMLESS) for front in both)
        fingerprint = fronts.first.find_suspect(HARMLESS)
        assert fingerprint is not None
        taken = 0
        deadline = asyncio.get_running_loop().time() + 3.0
        while not taken and asyncio.get_running_loop().time() < deadline:
            for front in both:
                held = front.find_held_request(fingerprint)
                taken += front.takes_trial(held)
            await asyncio.sleep(0.02)
        assert taken == 1
        fronts.first.clear_suspect(fingerprint)
        await asyncio.sleep(0.05)
        assert not any(fronts.is_refused(front, HARMLESS) for front in both)
        assert all(fronts.is_refused(front, HARMFUL) for front in both)

    async def test_a_request_that_was_alone_is_never_tried(
        self, fronts: Fronts
    ) -> None:
        for number in (1, 2, 3):
            await fronts.cut(fronts.first, number, HARMFUL)
        fingerprint = fronts.first.find_suspect(HARMFUL)
        assert fingerprint is not None
        await asyncio.sleep(1.1)
        held = fronts.first.find_held_request(fingerprint)
        assert not fronts.first.takes_trial(held)
        await asyncio.sleep(0.1)
        assert not fronts.first.takes_trial(held)


class TestAnswers:
    async def test_a_complete_answer_at_any_front_clears_a_request(
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

    async def test_a_request_that_was_just_answered_is_not_suspected(
        self, fronts: Fronts
    ) -> None:
        # A request that all clients send alike is in progress at any upstream
        # that ends. When three upstreams ended within a second, such a request
        # was refused for a quarter of a second, though it had been answered all
        # the time.
        for number in (1, 2, 3):
            fronts.first.record_answered(HARMLESS.local_hash())
            await fronts.cut(fronts.first, number, HARMFUL, HARMLESS)
        assert not fronts.is_refused(fronts.first, HARMLESS)
        assert fronts.is_refused(fronts.first, HARMFUL)

    async def test_an_old_answer_does_not_clear_a_request(
        self, fronts: Fronts, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # The request may end upstreams of a version that came later.
        monkeypatch.setattr(fronts.first._answered_requests, "retention", 0.01)
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
    async def test_a_request_is_hashed_only_if_its_target_is_suspected(
        self, fronts: Fronts, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        hashed: list[Identity] = []
        compute = Fingerprinter.compute

        def compute_and_record(self: Fingerprinter, identity: Identity) -> Any:
            hashed.append(identity)
            return compute(self, identity)

        monkeypatch.setattr(Fingerprinter, "compute", compute_and_record)
        assert fronts.first.find_suspect(HARMFUL) is None
        assert not hashed
        await fronts.cut(fronts.first, 1, HARMFUL)
        hashed.clear()
        elsewhere = attrs.evolve(HARMFUL, target=b"/other")
        assert fronts.second.find_suspect(elsewhere) is None
        assert not hashed
        assert fronts.second.find_suspect(HARMLESS) is None
        assert hashed == [HARMLESS]


class TestForwarding:
    async def test_the_fourth_attempt_is_refused_with_a_long_retry_delay(
        self,
    ) -> None:
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

    async def test_an_answer_that_ends_with_its_channel_clears_no_request(
        self,
    ) -> None:
        # Without a length, the end of the answer can't be told from the end of
        # the upstream.
        world = FrontWorld()
        await world.start()

        async def answer(call: Call) -> None:
            await call.send_raw_answer("HTTP/1.1 200 OK\r\n", b"half of it")
            call.writer.close()

        await world.add("u1", answer)
        recorded: list[int] = []
        world.front.quarantine.record_answered = recorded.append  # type: ignore
        client = await world.open()
        assert (await client.ask("/unsafe/x", b"b")).status == 200
        assert not recorded
        await world.stop()


class TestCommands:
    def test_a_request_is_cleared_by_its_whole_fingerprint(self) -> None:
        fingerprint = Fingerprinter(b"key").compute(HARMLESS)
        state = State()
        for index, name in enumerate(("i-1", "i-2"), start=1):
            recorded = NoteUpstreamEnd(name, (fingerprint,))
            state.apply(Entry(index, 1, codec.encode(recorded)))
        cleared = ClearSuspects((fingerprint,))
        state.apply(Entry(3, 1, codec.encode(cleared)))
        assert not state.suspects


def with_parts(number: int, *parts: str) -> Identity:
    """Returns a request of its own that contains parts."""
    body = b"request %d" % number
    return attrs.evolve(HARMFUL, body=body, parts=parts)


class TestParts:
    async def test_ends_under_different_requests_add_up_at_all_fronts(
        self, fronts: Fronts
    ) -> None:
        observers = (fronts.first, fronts.second, fronts.first)
        for number, front in enumerate(observers):
            await fronts.cut(front, number, with_parts(number, "s", "bad"))
        for front in observers:
            found = front.find_harmful_part(["s", "bad"])
            assert found is not None
            assert found.is_quarantined

    async def test_a_part_that_another_front_has_answered_on_is_not_blamed(
        self, fronts: Fronts
    ) -> None:
        fronts.second.record_parts_answered(["s"])
        for number in range(4):
            await fronts.cut(
                fronts.first, number, with_parts(number, "s", "bad")
            )
            await asyncio.sleep(0.15)
        for front in (fronts.first, fronts.second):
            assert front.find_harmful_part(["bad"]) is not None
            assert front.find_harmful_part(["s"]) is None

    async def test_requests_that_had_brought_events_blame_no_part(
        self, fronts: Fronts
    ) -> None:
        for number in range(4):
            identity = with_parts(number, "part")
            fronts.first.record_cut(upstream(number), identity, has_begun=True)
            await asyncio.sleep(0.06)
        assert fronts.first.find_harmful_part(["part"]) is None

    async def test_a_front_counts_its_own_ends_without_a_leader(
        self, fronts: Fronts
    ) -> None:
        fronts.log.is_led = False
        for number in range(3):
            await fronts.cut(fronts.first, number, with_parts(number, "bad"))
        assert fronts.first.find_harmful_part(["bad"]) is not None
        assert fronts.second.find_harmful_part(["bad"]) is None
        fronts.log.is_led = True
        await asyncio.sleep(0.1)
        assert fronts.second.find_harmful_part(["bad"]) is not None

    async def test_one_front_at_a_time_tries_a_part_that_is_held(
        self, fronts: Fronts, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(quarantine, "_PART_TRIALS", (0.1, 60.0))
        for number in range(3):
            await fronts.cut(fronts.first, number, with_parts(number, "held"))
        both = (fronts.first, fronts.second)
        found = fronts.first.find_harmful_part(["held"])
        assert found is not None
        held = hold_part(found)
        assert not any(front.takes_trial(held) for front in both)
        await asyncio.sleep(0.25)
        # Each front asks for leave, and refuses this request.
        assert not any(front.takes_trial(held) for front in both)
        await asyncio.sleep(0.05)
        assert sum(front.takes_trial(held) for front in both) == 1
        fronts.first.record_parts_answered(["held"])
        await asyncio.sleep(0.2)
        assert fronts.second.find_harmful_part(["held"]) is None

    async def test_a_trial_that_no_upstream_has_run_is_made_again(
        self,
    ) -> None:
        world = FrontWorld()
        await world.start()

        async def turn_away(call: Call) -> None:
            await call.answer(503, b"", "Not-Run: 1")

        upstreams = [await world.add("u1", turn_away)]
        held = SuspectPart("part", ("i-1", "i-2", "i-3"), ("r1", "r2"))
        front = world.front.quarantine
        front.find_harmful_part = lambda parts: held  # type: ignore
        front._trials.watch([hold_part(held)], 0.0)
        front._trials.grant("part", asyncio.get_running_loop().time())
        client = await world.open()
        for _ in range(3):
            answer = await client.ask(
                "/unsafe/x", b"b", prompt_prefix="p:1,q:1"
            )
            assert answer.status == 503
        assert len(upstreams[0].calls) == 3
        await world.stop()

    async def test_an_operator_lifts_the_quarantine_of_a_part(
        self, fronts: Fronts
    ) -> None:
        for number in range(3):
            await fronts.cut(fronts.first, number, with_parts(number, "bad"))
        found = fronts.first.find_harmful_part(["bad"])
        assert found is not None
        await fronts.log.propose(LiftQuarantine(found.part), 1.0)
        assert fronts.second.find_harmful_part(["bad"]) is None
