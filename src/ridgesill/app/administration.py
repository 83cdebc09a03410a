"""Executes the requests of operators on a node."""

from collections.abc import Callable

from ridgesill.app.bridge import Bridge
from ridgesill.app.control import Control, UnavailableError
from ridgesill.app.pools import Pools
from ridgesill.core.commands import CONFLICT, Configure, ConfigureAnswer
from ridgesill.core.configuration import Change, diff
from ridgesill.core.declaration import Declaration
from ridgesill.core.following import Beat
from ridgesill.ports.administration import (
    ApplyResult,
    ConfigurationReport,
    NodeReport,
    PoolReport,
    RunnerReport,
    Status,
)

_APPLY_TIMEOUT_SECONDS = 8.0
_CATCH_UP_TIMEOUT_SECONDS = 2.0
_MAX_ATTEMPTS = 5
_NO_VERSION = -1


class NodeAdministration:
    """Implements `ports.administration.Administration`.

    Args:
        bridge: runs the work on the event loop for worker threads.
        control: the node's part in the control plane.
        pools: the pools that the node owns.
        drain: starts to drain the node.
    """

    def __init__(
        self,
        bridge: Bridge,
        control: Control,
        pools: Pools,
        drain: Callable[[], None],
    ) -> None:
        self._bridge = bridge
        self._control = control
        self._pools = pools
        self._drain = drain

    def apply(self, operation: str, declared: Declaration) -> ApplyResult:
        """Applies a declaration; the result says whether it was accepted."""
        return self._bridge.call(self._apply(operation, declared))

    def show(self) -> ConfigurationReport:
        """Returns a summary of the configuration in force."""
        return self._bridge.call(self._show())

    def status(self) -> Status:
        """Returns the state of the system as this node knows it."""
        return self._bridge.call(self._status())

    def drain(self) -> None:
        """Makes the node refuse new work and stop once it has none left."""
        self._bridge.post(self._drain)

    async def _apply(
        self, operation: str, declared: Declaration
    ) -> ApplyResult:
        await self._catch_up(declared.based_on)
        for _ in range(_MAX_ATTEMPTS):
            command = self._build_command(operation, declared)
            try:
                answer = await self._control.propose(
                    command, _APPLY_TIMEOUT_SECONDS
                )
            except UnavailableError as error:
                detail = f"{error}; send the same file again to learn its fate"
                state = self._control.state
                return ApplyResult(
                    "unknown", state.version, state.digest, detail
                )
            if not self._has_outdated_base(command, declared, answer):
                return _make_applied(declared, answer)
            await self._catch_up(answer.version)
        return _make_applied(declared, answer)

    def _build_command(
        self, operation: str, declared: Declaration
    ) -> Configure:
        state = self._control.state
        # The change is computed from this node's version. The log checks when
        # it applies the command that this version is still in force.
        base = state.version
        change = diff(state.table, declared.table())
        if declared.based_on >= 0 and declared.based_on != base:
            # This node lacks the version that the file is based on. The file
            # is either a resend of the version in force, which the log
            # recognises, or a conflict.
            base, change = _NO_VERSION, Change()
        return Configure(
            operation, base, declared.version, declared.digest, change
        )

    def _has_outdated_base(
        self,
        command: Configure,
        declared: Declaration,
        answer: ConfigureAnswer,
    ) -> bool:
        """Returns whether only an outdated base caused a conflict."""
        return (
            answer.verdict == CONFLICT
            and declared.based_on < 0
            and declared.version > answer.version
            and command.base != answer.version
        )

    async def _catch_up(self, version: int) -> None:
        await self._control.wait_for_version(version, _CATCH_UP_TIMEOUT_SECONDS)

    async def _show(self) -> ConfigurationReport:
        state = self._control.state
        fresh = self._control.is_fresh()
        return ConfigurationReport(
            state.version,
            state.digest,
            fresh,
            self._is_in_force_everywhere(),
            len(state.table.adapters),
            len(state.table.teams),
            len(state.table.services),
        )

    def _is_in_force_everywhere(self) -> bool | None:
        """Returns whether all nodes have this version; None if not leader."""
        if not self._control.is_leader:
            return None
        state = self._control.state
        versions = {b.node.name: b.version for b in self._control.live_beats()}
        versions[self._control.node.name] = state.version
        return all(versions.get(name) == state.version for name in state.nodes)

    async def _status(self) -> Status:
        control = self._control
        state = control.state
        voters = control.driver.replica.voters.voters if control.driver else ()
        return Status(
            control.node.name,
            control.node.incarnation,
            control.leader_name(),
            voters,
            control.is_fresh(),
            state.version,
            state.index,
            tuple(_node_report(beat) for beat in control.live_beats()),
            tuple(
                PoolReport(pool, owner.node, owner.epoch)
                for pool, owner in sorted(state.owners.items())
            ),
            self._runner_reports(),
        )

    def _runner_reports(self) -> tuple[RunnerReport, ...]:
        return tuple(
            RunnerReport(
                runner.name,
                owner.service,
                runner.announcement.data_centre,
                tuple(sorted(a for a in runner.slots if a)),
                runner.in_flight,
                runner.announcement.leaving,
            )
            for owner in self._pools.owners
            for runner in owner.runners.values()
        )


def _node_report(beat: Beat) -> NodeReport:
    return NodeReport(
        beat.node.name,
        beat.node.data_centre,
        beat.version,
        beat.applied,
        beat.draining,
        bool(beat.node.voter),
    )


def _make_applied(
    declared: Declaration, answer: ConfigureAnswer
) -> ApplyResult:
    if answer.verdict == CONFLICT:
        detail = (
            f"version {answer.version} is in force; this file declares "
            f"{declared.version}. Read it with `ridgesill show`, merge, and "
            "apply with a higher version"
        )
    else:
        detail = f"version {declared.version} is accepted"
    return ApplyResult(answer.verdict, answer.version, answer.digest, detail)
