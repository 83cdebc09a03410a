"""Tests of the replicated state machine and the configuration table."""

from typing import Any

import attrs

from ridgesill.core import codec, commands
from ridgesill.core.commands import (
    BeginOnce,
    Configure,
    FinishOnce,
    GrantPool,
    JoinNode,
    Node,
    PutArtifactVersion,
    PutRoutes,
    ReleasePool,
    RemoveNode,
)
from ridgesill.core.configuration import (
    Adapter,
    Change,
    DataCentre,
    Group,
    Service,
    Table,
    Team,
    diff,
    make_table,
)
from ridgesill.core.log.messages import Entry
from ridgesill.core.state import (
    ONCE_LIFETIME_SECONDS,
    State,
    is_needed_without_disk,
    once_key,
)


class LocalLog:
    """Applies commands to a state without replication."""

    def __init__(self) -> None:
        self.state = State()
        self.index = 0

    def apply(self, command: Any) -> Any:
        """Applies a command at the next index and returns its answer."""
        self.index += 1
        return self.state.apply(Entry(self.index, 1, codec.encode(command)))


def make_declared_table(versions: tuple[str, ...] = ("v1",)) -> Table:
    """Returns a table that declares one adapter with these versions."""
    return make_table(
        [DataCentre("east", "coast"), DataCentre("west", "coast")],
        [Team("crews", places=("east",))],
        [Service("assist")],
        [Group(Adapter("crews", "assist", versions), ("a",))],
    )


def configure(
    version: int, base: int = 0, digest: str = "", operation: str = ""
) -> Configure:
    """Returns a command that configures a version."""
    digest = digest or f"d{version}"
    operation = operation or f"o{version}-{digest}"
    change = diff(Table(), make_declared_table((f"v{version}",)))
    return Configure(operation, base, version, digest, change)


class TestConfigure:
    def test_a_higher_version_is_accepted(self) -> None:
        log = LocalLog()
        answer = log.apply(configure(1))
        assert answer.verdict == commands.ACCEPTED
        assert log.state.table.adapters["a"].versions == ("v1",)

    def test_the_first_of_two_files_with_equal_versions_wins(self) -> None:
        log = LocalLog()
        first = log.apply(configure(1, digest="x"))
        second = log.apply(configure(1, digest="y"))
        assert first.verdict == commands.ACCEPTED
        assert second.verdict == commands.CONFLICT
        assert (second.version, second.digest) == (1, "x")

    def test_a_resend_gets_the_first_answer(self) -> None:
        log = LocalLog()
        command = configure(1)
        first = log.apply(command)
        log.apply(configure(2, base=1))
        assert log.apply(command) == first
        assert log.state.version == 2

    def test_the_same_file_under_another_operation_is_accepted_once(
        self,
    ) -> None:
        log = LocalLog()
        first = log.apply(configure(1, operation="one"))
        second = log.apply(configure(1, operation="two"))
        assert second == first

    def test_an_outdated_base_is_a_conflict(self) -> None:
        log = LocalLog()
        log.apply(configure(1))
        answer = log.apply(configure(3, base=0))
        assert answer.verdict == commands.CONFLICT
        assert log.state.version == 1

    def test_a_version_never_goes_back(self) -> None:
        log = LocalLog()
        log.apply(configure(5))
        answer = log.apply(configure(4, base=5))
        assert answer.verdict == commands.CONFLICT

    def test_an_entry_applied_before_changes_nothing(self) -> None:
        state = State()
        entry = Entry(1, 1, codec.encode(configure(1)))
        state.apply(entry)
        state.apply(Entry(2, 1, codec.encode(configure(2, base=1))))
        state.apply(entry)
        assert state.version == 2


NODE = Node("n1", "x", "127.0.0.1:1", "east")


class TestRoutes:
    def test_the_highest_version_stays_in_force(self) -> None:
        log = LocalLog()
        log.apply(PutRoutes(5, b"five"))
        log.apply(PutRoutes(3, b"three"))
        log.apply(PutRoutes(5, b"other"))
        assert log.state.routes_document == b"five"
        log.apply(PutRoutes(9, b"nine"))
        assert (log.state.routes_version, log.state.routes_document) == (
            9,
            b"nine",
        )

    def test_artifact_versions_never_decrease(self) -> None:
        log = LocalLog()
        log.apply(PutArtifactVersion("m/a1", 4))
        log.apply(PutArtifactVersion("m/a1", 2))
        assert log.state.artifact_versions == {"m/a1": 4}

    def test_a_snapshot_keeps_routes_and_artifact_versions(self) -> None:
        log = LocalLog()
        log.apply(PutRoutes(5, b"five"))
        log.apply(PutArtifactVersion("m/a1", 4))
        loaded = State.load(log.state.dump())
        assert loaded.routes_document == b"five"
        assert loaded.artifact_versions == {"m/a1": 4}


class TestOwners:
    def test_a_first_owner_need_not_wait_for_a_lease(self) -> None:
        log = LocalLog()
        log.apply(GrantPool("east/assist", "n1", "x"))
        assert log.state.owners["east/assist"].released

    def test_an_owner_after_an_unreleased_one_must_wait(self) -> None:
        log = LocalLog()
        log.apply(GrantPool("east/assist", "n1", "x"))
        log.apply(GrantPool("east/assist", "n2", "y"))
        assert not log.state.owners["east/assist"].released

    def test_epochs_increase(self) -> None:
        log = LocalLog()
        log.apply(GrantPool("east/assist", "n1", "x"))
        first = log.state.owners["east/assist"].epoch
        log.apply(GrantPool("east/assist", "n2", "y"))
        assert log.state.owners["east/assist"].epoch > first

    def test_an_owner_after_a_release_need_not_wait(self) -> None:
        log = LocalLog()
        log.apply(GrantPool("east/assist", "n1", "x"))
        epoch = log.state.owners["east/assist"].epoch
        log.apply(ReleasePool("east/assist", epoch))
        log.apply(GrantPool("east/assist", "n2", "y"))
        assert log.state.owners["east/assist"].released

    def test_a_late_release_changes_nothing(self) -> None:
        log = LocalLog()
        log.apply(GrantPool("east/assist", "n1", "x"))
        epoch = log.state.owners["east/assist"].epoch
        log.apply(GrantPool("east/assist", "n2", "y"))
        log.apply(ReleasePool("east/assist", epoch))
        assert log.state.owners["east/assist"].node == "n2"

    def test_a_grant_applied_before_changes_nothing(self) -> None:
        state = State()
        first = Entry(1, 1, codec.encode(GrantPool("east/assist", "n1", "x")))
        second = Entry(2, 1, codec.encode(GrantPool("east/assist", "n2", "y")))
        for entry in (first, second, first):
            state.apply(entry)
        assert state.owners["east/assist"].node == "n2"

    def test_a_removal_of_an_earlier_incarnation_changes_nothing(self) -> None:
        log = LocalLog()
        log.apply(JoinNode(NODE))
        log.apply(JoinNode(attrs.evolve(NODE, incarnation="y")))
        log.apply(RemoveNode("n1", "x"))
        assert log.state.nodes["n1"].incarnation == "y"


def begin(request: str, at: float = 0.0, node: str = "x") -> BeginOnce:
    """Returns a command that begins a request under the key `k`."""
    return BeginOnce("crews", "k", "digest", node, request, at)


def finish(request: str, outcome: str) -> FinishOnce:
    """Returns a command that finishes a request begun by `begin`."""
    return FinishOnce("crews", "k", request, outcome, 200, "text", b"body")


class TestOnce:
    def test_a_key_begins_once(self) -> None:
        log = LocalLog()
        assert log.apply(begin("r1")).begun
        answer = log.apply(begin("r2"))
        assert not answer.begun
        assert answer.record.outcome == commands.RUNNING

    def test_the_same_attempt_proposed_twice_is_still_begun(self) -> None:
        log = LocalLog()
        log.apply(begin("r1"))
        assert log.apply(begin("r1")).begun

    def test_a_finished_request_is_answered_from_the_record(self) -> None:
        log = LocalLog()
        log.apply(begin("r1"))
        log.apply(finish("r1", commands.COMPLETED))
        record = log.apply(begin("r2")).record
        assert (record.outcome, record.body) == (commands.COMPLETED, b"body")

    def test_a_request_that_did_not_run_frees_its_key(self) -> None:
        log = LocalLog()
        log.apply(begin("r1"))
        log.apply(finish("r1", commands.NOT_RUN))
        assert log.apply(begin("r2")).begun

    def test_a_late_finish_of_another_attempt_changes_nothing(self) -> None:
        log = LocalLog()
        log.apply(begin("r1"))
        log.apply(finish("r1", commands.NOT_RUN))
        log.apply(begin("r2"))
        log.apply(finish("r1", commands.NOT_RUN))
        assert not log.apply(begin("r3")).begun

    def test_a_removed_node_makes_its_requests_unknown(self) -> None:
        log = LocalLog()
        log.apply(JoinNode(NODE))
        log.apply(begin("r1", node="x"))
        log.apply(RemoveNode("n1", "x"))
        record = log.apply(begin("r2")).record
        assert record.outcome == commands.UNKNOWN

    def test_records_expire(self) -> None:
        log = LocalLog()
        log.apply(begin("r1", at=0.0))
        assert log.apply(begin("r2", at=ONCE_LIFETIME_SECONDS + 1)).begun

    def test_nodes_without_a_disk_do_not_need_records(self) -> None:
        assert not is_needed_without_disk(codec.encode(begin("r1")))
        assert not is_needed_without_disk(codec.encode(finish("r1", "unknown")))
        assert is_needed_without_disk(codec.encode(configure(1)))


class TestDump:
    def test_a_loaded_state_equals_the_dumped(self) -> None:
        log = LocalLog()
        log.apply(configure(1))
        log.apply(JoinNode(NODE))
        log.apply(GrantPool("east/assist", "n1", "x"))
        log.apply(begin("r1"))
        loaded = State.load(log.state.dump())
        assert loaded.dump() == log.state.dump()
        assert loaded.table.adapters == log.state.table.adapters
        assert once_key("crews", "k") in loaded.once

    def test_a_dump_can_leave_out_records(self) -> None:
        log = LocalLog()
        log.apply(begin("r1"))
        assert not State.load(log.state.dump(with_once=False)).once


class TestTable:
    def test_allowed_places_are_the_intersection(self) -> None:
        declared = make_declared_table()
        adapter = declared.adapters["a"]
        assert declared.allowed_places(adapter) == {"east"}

    def test_equal_declarations_share_one_object(self) -> None:
        made = make_table(
            adapters=[
                Group(Adapter("t", "s", ("v1",)), ("a",)),
                Group(Adapter("t", "s", ("v1",)), ("b",)),
            ]
        )
        assert made.adapters["a"] is made.adapters["b"]

    def test_a_change_carries_only_what_differs(self) -> None:
        old = make_declared_table()
        new = make_declared_table()
        new.adapters["b"] = Adapter("crews", "assist", ("v1",))
        del new.adapters["a"]
        change = diff(old, new)
        assert [group.names for group in change.adapters] == [("b",)]
        assert change.removed == ("a",)

    def test_removed_adapters_leave(self) -> None:
        declared = make_declared_table()
        declared.apply(Change(removed=("a",)))
        assert not declared.adapters
