"""A short seeded soak, and every seed that ever failed."""

import asyncio
import random
from pathlib import Path

import pytest

from testing.soak.__main__ import run_seed, summarize
from testing.soak.checks import Verdict, judge
from testing.soak.clients import RequestOutcome
from testing.soak.faults import InjectedFault
from testing.soak.keys import LIMITED, Key, KeyRing
from testing.soak.proxy import FaultyProxy, Mode
from testing.soak.upstreams import (
    Announcement,
    Arrival,
    InstanceRecord,
    Ledger,
    RunIdentity,
)

_SHORT = [(1, 5.0, 3, 2), (2, 5.0, 3, 2)]
_REGRESSIONS = Path(__file__).with_name("regressions.txt")


def read_regressions() -> list[tuple[int, float, int, int]]:
    """Returns what the file of regressions names."""
    lines = _REGRESSIONS.read_text().splitlines()
    rows = [line.split(maxsplit=4) for line in lines if line[:1].isdigit()]
    return [(int(r[0]), float(r[1]), int(r[2]), int(r[3])) for r in rows]


class TestSeeds:
    @pytest.mark.process
    @pytest.mark.parametrize("case", [*_SHORT, *read_regressions()])
    def test_every_promise_is_kept(
        self, case: tuple[int, float, int, int]
    ) -> None:
        verdict = run_seed(*case)
        assert verdict.requests > 100
        assert not verdict.violations, verdict.violations


class RecordedWorld:
    """What `judge` looks at, without any process."""

    def __init__(self, *outcomes: RequestOutcome) -> None:
        self.outcomes = list(outcomes)
        self.ledger = Ledger()
        self.keys = KeyRing(random.Random(1))
        self.reverted: list[str] = []
        self.upstreams: list[object] = []
        self.controls: list[object] = []
        self.paused_until: dict[str, float] = {}
        self.disturbed: dict[str, list[float]] = {}

    def judge(self, *injected: InjectedFault) -> Verdict:
        """Returns the verdict."""
        return judge(1, self, list(injected))  # type: ignore[arg-type]


class TestChecks:
    def test_an_unsafe_request_that_ran_twice_is_found(self) -> None:
        world = RecordedWorld(
            RequestOutcome("r1", "unsafe", "f", 0.0, 1.0, 200, True)
        )
        world.ledger.runs["r1"] = 2
        assert world.judge().count("doubled") == 1

    def test_a_refusal_of_what_ran_is_found(self) -> None:
        world = RecordedWorld(
            RequestOutcome("r1", "unsafe", "f", 0.0, 1.0, 503, True)
        )
        world.ledger.runs["r1"] = 1
        assert world.judge().count("false_not_run") == 1

    @pytest.mark.parametrize(
        ("name", "planned", "cut"), [("terminate", True, 1), ("kill", False, 0)]
    )
    def test_only_planned_work_must_cut_nothing(
        self, name: str, planned: bool, cut: int
    ) -> None:
        outcome = RequestOutcome("r1", "unsafe", "f", 5.0, 6.0, cut=True)
        world = RecordedWorld(outcome)
        world.ledger.runs["r1"] = 1
        fault = InjectedFault(name, 4.8, 7.0, planned)
        assert world.judge(fault).count("cut") == cut

    def test_an_upstream_that_ends_is_no_planned_work(self) -> None:
        outcome = RequestOutcome("r1", "unsafe", "f", 5.0, 6.0, cut=True)
        world = RecordedWorld(outcome)
        world.ledger.runs["r1"] = 1
        world.ledger.harmful[b"x"] = [Arrival(5.9, "i-1", crashed=True)]
        fault = InjectedFault("terminate", 4.8, 7.0, planned=True)
        assert not world.judge(fault).count("cut")
        world.ledger.harmful[b"x"] = [Arrival(6.1, "i-1", crashed=True)]
        assert world.judge(fault).count("cut") == 1

    def test_two_holders_within_the_lease_are_found(self) -> None:
        world = RecordedWorld()
        world.ledger.orders["i-1"] = [("a:1", 3, 1.0), ("b:1", 4, 1.5)]
        assert world.judge().count("two_holders") == 1
        world.ledger.orders["i-1"] = [("a:1", 4, 1.0), ("b:1", 3, 9.0)]
        assert world.judge().count("fencing") == 1

    def test_a_harmful_request_that_is_sent_on_is_found(self) -> None:
        world = RecordedWorld()
        ends = [Arrival(at, f"i-{at}", True) for at in (1.0, 2.0, 3.0)]
        late = [Arrival(at, "i-9", True) for at in (6.1, 6.2, 6.3, 6.4)]
        world.ledger.harmful[b"x"] = [*ends, Arrival(5.9, "i-8", True), *late]
        assert world.judge().count("harmful") == 1
        world.ledger.harmful[b"x"].pop()
        assert not world.judge().count("harmful")

    def test_a_harmless_request_that_is_held_back_is_found(self) -> None:
        outcome = RequestOutcome(
            "harmless-1", "safe", "f", 0.0, 0.1, 503, retry_after=3600.0
        )
        assert RecordedWorld(outcome).judge().count("shut_out") == 1

    def test_sends_into_a_rest_are_found(self) -> None:
        outcomes = [
            RequestOutcome(f"r{n}", "safe", "f", n, n + 0.1) for n in range(5)
        ]
        world = RecordedWorld(*outcomes)
        record = world.ledger.instances["i-1"] = InstanceRecord()
        record.announcements.append(Announcement("r0", 0.0, retry_after=4.0))
        record.arrivals += [(f"r{n}", float(n)) for n in (1, 2, 3)]
        assert world.judge().count("rest") == 1
        world.disturbed["f"] = [0.5]
        assert not world.judge().count("rest")

    def test_sends_to_one_that_leaves_are_found(self) -> None:
        outcomes = [
            RequestOutcome(f"r{n}", "safe", "f", n, n + 0.1) for n in range(4)
        ]
        world = RecordedWorld(*outcomes)
        record = world.ledger.instances["i-1"] = InstanceRecord()
        record.announcements.append(Announcement("r0", 0.0, is_leaving=True))
        record.arrivals.append(("r2", 2.0))
        assert not world.judge().count("leaving")
        record.arrivals.append(("r3", 3.0))
        assert world.judge().count("leaving") == 1

    def test_an_upstream_that_gets_more_than_it_names_is_found(self) -> None:
        outcomes = [
            RequestOutcome(f"r{n}", "safe", "f", n / 10, n / 10)
            for n in range(60)
        ]
        world = RecordedWorld(*outcomes)
        record = world.ledger.instances["i-1"] = InstanceRecord()
        record.limits.append((0.0, 2.0))
        record.announcements.append(Announcement("r0", 0.0, limit=2.0))
        record.arrivals += [(f"r{n}", n / 10) for n in range(60)]
        assert world.judge().count("named_limit") == 1
        record.limits.append((1.0, 12.0))
        assert not world.judge().count("named_limit")
        world.ledger.instances["i-1"].limits.pop()
        world.disturbed["f"] = [0.5]
        assert not world.judge().count("named_limit")

    def test_a_front_that_was_not_told_is_not_counted(self) -> None:
        outcomes = [
            RequestOutcome(f"r{n}", "safe", "f", n / 10, n / 10)
            for n in range(60)
        ]
        world = RecordedWorld(*outcomes)
        record = world.ledger.instances["i-1"] = InstanceRecord()
        record.limits.append((0.0, 2.0))
        record.arrivals += [(f"r{n}", n / 10) for n in range(60)]
        assert not world.judge().count("named_limit")

    def test_the_line_names_every_total(self) -> None:
        verdict = Verdict(3, 10, {"doubled": ["r1", "r2"]})
        assert summarize([verdict, Verdict(4, 5)]) == (
            "soak: seeds=2 requests=15 lost=0 doubled=2 false_not_run=0"
            " reverted=0 cut=0 harmful=0 shut_out=0 rest=0 leaving=0"
            " customer=0 revoked=0 refused_key=0 limit=0"
            " refused_within=0 named_limit=0 open=1"
        )


class TestProxy:
    async def test_it_passes_swallows_and_resets(self) -> None:
        async def echo(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            while data := await reader.read(100):
                writer.write(data)

        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        proxy = FaultyProxy("127.0.0.1:0", f"127.0.0.1:{port}")
        await proxy.start()
        reader, writer = await asyncio.open_connection(*proxy.address)
        writer.write(b"one")
        assert await asyncio.wait_for(reader.read(100), 1.0) == b"one"
        proxy.mode = Mode.NO_ANSWERS
        writer.write(b"two")
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.read(100), 0.2)
        proxy.reset()
        with pytest.raises(ConnectionResetError):
            await asyncio.wait_for(reader.read(100), 1.0)
        proxy.stop()
        server.close()


class TestKeyChecks:
    def world(self, outcome: RequestOutcome, key: Key) -> RecordedWorld:
        """Returns a world in which one caller used a key."""
        world = RecordedWorld(outcome)
        world.keys.keys["k"] = key
        outcome.key = "k"
        return world

    def test_a_run_for_a_key_that_was_taken_away_is_found(self) -> None:
        outcome = RequestOutcome("r1", "safe", "f", 10.0, 10.1, 200, True)
        world = self.world(outcome, Key("k", "bob", 0.0, 6.9, 7.0))
        world.ledger.identities["r1"] = RunIdentity(
            "bob", 10.0, received_key=False
        )
        assert world.judge().count("revoked") == 1

    def test_one_within_the_bound_may_run(self) -> None:
        outcome = RequestOutcome("r1", "safe", "f", 8.0, 8.1, 200, True)
        world = self.world(outcome, Key("k", "bob", 0.0, 6.9, 7.0))
        world.ledger.identities["r1"] = RunIdentity(
            "bob", 8.0, received_key=False
        )
        assert not world.judge().violations

    def test_an_upstream_that_learns_a_key_is_found(self) -> None:
        outcome = RequestOutcome("r1", "safe", "f", 8.0, 8.1, 200, True)
        world = self.world(outcome, Key("k", "bob", 0.0))
        world.ledger.identities["r1"] = RunIdentity(
            "bob", 8.0, received_key=True
        )
        assert world.judge().count("customer") == 1

    def test_one_that_is_told_another_customer_is_found(self) -> None:
        outcome = RequestOutcome("r1", "safe", "f", 8.0, 8.1, 200, True)
        world = self.world(outcome, Key("k", "bob", 0.0))
        world.ledger.identities["r1"] = RunIdentity(
            "mallory", 8.0, received_key=False
        )
        assert world.judge().count("customer") == 1

    def test_a_key_in_force_that_is_called_unknown_is_found(self) -> None:
        outcome = RequestOutcome("r1", "safe", "f", 8.0, 8.1, 401, True)
        world = self.world(outcome, Key("k", "bob", 0.0))
        assert world.judge().count("refused_key") == 1

    def test_a_refusal_within_a_limit_is_found(self) -> None:
        outcome = RequestOutcome("r1", "safe", "f", 8.0, 8.1, 429, True)
        world = self.world(outcome, Key("k", "bob", 0.0))
        assert world.judge().count("refused_within") == 1

    def test_a_new_key_may_be_unknown_for_a_while(self) -> None:
        outcome = RequestOutcome("r1", "safe", "f", 8.0, 8.1, 401, True)
        world = self.world(outcome, Key("k", "bob", 7.5))
        assert not world.judge().violations

    def test_a_customer_beyond_its_limit_is_found(self) -> None:
        world = RecordedWorld()
        for number in range(100):
            identity = RunIdentity(LIMITED, number / 20, received_key=False)
            world.ledger.identities[f"r{number}"] = identity
        assert world.judge().count("limit") == 1
