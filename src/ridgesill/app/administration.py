"""Carries operators' requests out on a node."""

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

_APPLY_SECONDS = 8.0
_CATCH_UP_SECONDS = 2.0
_TRIES = 5
_NO_VERSION = -1


class NodeAdministration:
    """Implements `ports.administration.Administration`."""

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
        """Brings a declaration into force, or says why not."""
        return self._bridge.call(self._apply(operation, declared))

    def show(self) -> ConfigurationReport:
        """Returns the configuration in force."""
        return self._bridge.call(self._show())

    def status(self) -> Status:
        """Returns the state of the system."""
        return self._bridge.call(self._status())

    def drain(self) -> None:
        """Has the node take no new work and stop once it has no other."""
        self._bridge.post(self._drain)

    async def _apply(
        self, operation: str, declared: Declaration
    ) -> ApplyResult:
        await self._catch_up(declared.based_on)
        for _ in range(_TRIES):
            command = self._command(operation, declared)
            try:
                answer = await self._control.propose(command, _APPLY_SECONDS)
            except UnavailableError as error:
                detail = f"{error}; send the same file again to learn its fate"
                state = self._control.state
                return ApplyResult(
                    "unknown", state.version, state.digest, detail
                )
            if not self._is_overtaken(command, declared, answer):
                return _applied(declared, answer)
            await self._catch_up(answer.version)
        return _applied(declared, answer)

    def _command(self, operation: str, declared: Declaration) -> Configure:
        state = self._control.state
        # Computed from what this node has; the log checks that this still
        # is the version in force when the command's turn comes.
        base = state.version
        change = diff(state.table, declared.table())
        if declared.based_on >= 0 and declared.based_on != base:
            # Nothing to compute from: this can only be a resend of what is
            # in force, which the log recognises, or a conflict.
            base, change = _NO_VERSION, Change()
        return Configure(
            operation, base, declared.version, declared.digest, change
        )

    def _is_overtaken(
        self,
        command: Configure,
        declared: Declaration,
        answer: ConfigureAnswer,
    ) -> bool:
        """Whether it was refused only for the base it was computed from."""
        return (
            answer.verdict == CONFLICT
            and declared.based_on < 0
            and declared.version > answer.version
            and command.base != answer.version
        )

    async def _catch_up(self, version: int) -> None:
        await self._control.wait_for_version(version, _CATCH_UP_SECONDS)

    async def _show(self) -> ConfigurationReport:
        state = self._control.state
        fresh = self._control.is_fresh()
        return ConfigurationReport(
            state.version,
            state.digest,
            fresh,
            self._everywhere(),
            len(state.table.adapters),
            len(state.table.teams),
            len(state.table.services),
        )

    def _everywhere(self) -> bool | None:
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


def _applied(declared: Declaration, answer: ConfigureAnswer) -> ApplyResult:
    if answer.verdict == CONFLICT:
        detail = (
            f"version {answer.version} is in force; this file declares "
            f"{declared.version}. Read it with `ridgesill show`, merge, and "
            "apply with a higher version"
        )
    else:
        detail = f"version {declared.version} is accepted"
    return ApplyResult(answer.verdict, answer.version, answer.digest, detail)
