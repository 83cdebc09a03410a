"""Interface for operators' requests to a node."""

from typing import Protocol

import attrs

from ridgesill.core.declaration import Declaration


@attrs.frozen
class ApplyResult:
    """The result of applying a declaration.

    Attributes:
        verdict: `accepted`, `conflict`, or `unknown` if no leader answered; in
            that case the same file must be sent again to learn the result.
        version: the version in force.
        digest: digest of the declaration in force.
        detail: explanation for the operator.
    """

    verdict: str
    version: int
    digest: str
    detail: str


@attrs.frozen
class NodeReport:
    """A node's state as known to the leader.

    Attributes:
        name: name of the node.
        data_centre: data centre of the node.
        version: the configuration version that the node has.
        applied: index of the last log entry that the node has applied.
        draining: whether the node takes no new work.
        voter: whether the node votes in the log's elections.
    """

    name: str
    data_centre: str
    version: int
    applied: int
    draining: bool
    voter: bool


@attrs.frozen
class RunnerReport:
    """A runner's state as known to the owner of its pool.

    Attributes:
        name: name of the runner.
        service: the service that the runner belongs to.
        data_centre: data centre of the runner.
        resident: adapters that the runner holds.
        in_flight: requests that are running on it.
        leaving: whether it is shutting down.
    """

    name: str
    service: str
    data_centre: str
    resident: tuple[str, ...]
    in_flight: int
    leaving: bool


@attrs.frozen
class PoolReport:
    """A pool, the node that owns it and the epoch of that ownership."""

    pool: str
    owner: str
    epoch: int


@attrs.frozen
class ConfigurationReport:
    """The configuration in force on the node that answers.

    Attributes:
        version: version of the configuration.
        digest: digest of the configuration.
        fresh: whether the node can confirm that this version is still current.
        everywhere: whether it is in force on every live node; None if the
            answering node is not the leader and can't tell.
        adapters: number of adapters.
        teams: number of teams.
        services: number of services.
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
    """The state of the system as known to the node that answers.

    Attributes:
        node: name of the answering node.
        incarnation: the answering node's incarnation.
        leader: name of the leader; empty if unknown.
        voters: names of the log's voters.
        fresh: whether the node can confirm that its state is current.
        version: version of the configuration in force.
        index: index of the last log entry that the node has applied.
        nodes: nodes that the leader has recently heard from.
        pools: all pools that have an owner.
        runners: the runners of the pools that this node owns.
    """

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
    """Carries out operators' requests; called from worker threads."""

    def apply(self, operation: str, declared: Declaration) -> ApplyResult:
        """Applies a declaration.

        Args:
            operation: id of the operation; repeating it is idempotent.
            declared: the declaration to bring into force.
        """

    def show(self) -> ConfigurationReport:
        """Returns the configuration in force."""

    def status(self) -> Status:
        """Returns the state of the system."""

    def drain(self) -> None:
        """Stops accepting new work; the node exits when its work is done."""
