"""What operators can ask of a node."""

from typing import Protocol

import attrs

from ridgesill.core.declaration import Declaration


@attrs.frozen
class ApplyResult:
    """What became of a file.

    Attributes:
        verdict: `accepted`, `conflict`, or `unknown` when no leader answered
            and the same file must be sent again to learn its fate.
        version: the version in force.
        digest: its digest.
        detail: for a person.
    """

    verdict: str
    version: int
    digest: str
    detail: str


@attrs.frozen
class NodeReport:
    """A node as the leader knows it."""

    name: str
    data_centre: str
    version: int
    applied: int
    draining: bool
    voter: bool


@attrs.frozen
class RunnerReport:
    """A runner as its owner knows it."""

    name: str
    service: str
    data_centre: str
    resident: tuple[str, ...]
    in_flight: int
    leaving: bool


@attrs.frozen
class PoolReport:
    """A pool and its owner."""

    pool: str
    owner: str
    epoch: int


@attrs.frozen
class ConfigurationReport:
    """The configuration in force on the node that was asked.

    Attributes:
        fresh: whether the node can confirm that it still is in force.
        everywhere: whether every live node has it in force; None if this
            node does not lead and can't tell.
    """

    version: int
    digest: str
    fresh: bool
    everywhere: bool | None
    adapters: int
    teams: int
    services: int


@attrs.frozen
class Status:
    """The state of the system as the node that was asked knows it."""

    node: str
    incarnation: str
    leader: str
    voters: tuple[str, ...]
    fresh: bool
    version: int
    index: int
    nodes: tuple[NodeReport, ...]
    pools: tuple[PoolReport, ...]
    runners: tuple[RunnerReport, ...]


class Administration(Protocol):
    """Carries operators' requests out; used from worker threads."""

    def apply(self, operation: str, declared: Declaration) -> ApplyResult:
        """Brings a declaration into force, or says why not."""

    def show(self) -> ConfigurationReport:
        """Returns the configuration in force."""

    def status(self) -> Status:
        """Returns the state of the system."""

    def drain(self) -> None:
        """Has the node take no new work and stop once it has no other."""
