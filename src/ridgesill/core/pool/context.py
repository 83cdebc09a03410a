"""The state of a pool that the parts of its owner share."""

from typing import Any

import attrs

from ridgesill.core.pool.messages import Admit, Refused, Reply
from ridgesill.core.pool.popularity import Popularity
from ridgesill.core.pool.slots import RunnerState
from ridgesill.core.pool.waiting import Waiter, WaitingQueue


@attrs.frozen
class PoolLimits:
    """Limits and tuning parameters of a pool.

    Attributes:
        queue: highest number of waiting requests.
        half_life: half-life of adapter popularity, in seconds.
        announce_patience: seconds without an announcement after which a runner
            gets no new work.
        order_deadline: seconds within which a runner must start an order.
        report_lag: seconds by which the reports of a runner may lag.
        copy_margin: number of waiting requests from which another copy of an
            adapter is loaded, as a share of a runner's capacity.
    """

    queue: int = 256
    half_life: float = 30.0
    announce_patience: float = 3.0
    order_deadline: float = 1.0
    report_lag: float = 2.0
    copy_margin: float = 0.5


@attrs.define
class Load:
    """A load of an adapter that waits for its permit or is running.

    Attributes:
        permit: id of the permit.
        runner: name of the runner that loads.
        adapter: the adapter to load.
        requested_at: when the permit was requested, in seconds.
        is_ordered: whether the runner was sent an order.
        victim: the adapter that is unloaded first; empty if there is none.
    """

    permit: str
    runner: str
    adapter: str
    requested_at: float
    is_ordered: bool = False
    victim: str = ""


@attrs.define
class PoolState:
    """The state of one pool; all times are in seconds.

    Attributes:
        pool: name of the pool.
        service: name of the service that its runners belong to.
        epoch: the fencing number of this ownership.
        starts_at: from when orders and grants are allowed; before that, the
            lease of an earlier owner may still be valid.
        unloads_at: from when unloads are allowed; before that, entry nodes may
            not yet have reported the requests that they hold here.
        limits: limits and tuning parameters.
        batch_weight: 0 to prefer empty runners, 1 to prefer full ones.
        popularity: request frequencies by adapter.
        runners: the known runners, by name.
        waiting: the requests that wait for a runner.
        loads: the loads in progress, by permit.
        paused_until: when an adapter that failed to load may be tried again on
            a runner, by runner and adapter.
        output: messages to send, in order.
    """

    pool: str
    service: str
    epoch: int
    starts_at: float
    unloads_at: float
    limits: PoolLimits
    batch_weight: float
    popularity: Popularity
    runners: dict[str, RunnerState] = attrs.Factory(dict)
    waiting: WaitingQueue = attrs.Factory(WaitingQueue)
    loads: dict[str, Load] = attrs.Factory(dict)
    paused_until: dict[tuple[str, str], float] = attrs.Factory(dict)
    output: list[Any] = attrs.Factory(list)

    def holders(self, adapter: str) -> list[RunnerState]:
        """Returns the runners with a slot for an adapter, in any state."""
        return [r for r in self.runners.values() if adapter in r.slots]

    def is_loading(self, adapter: str) -> bool:
        """Whether a load of an adapter waits for its permit or is running."""
        return any(load.adapter == adapter for load in self.loads.values())

    def is_live(self, runner: RunnerState, now: float) -> bool:
        """Whether a runner has announced itself within the allowed time."""
        return now - runner.announced_at <= self.limits.announce_patience

    def refuse_waiter(self, waiter: Waiter, reason: str, after: float) -> None:
        """Removes a waiting request from the queue and refuses it.

        Args:
            waiter: the waiting request.
            reason: the reason to send.
            after: seconds after which a retry makes sense.
        """
        self.waiting.remove(waiter)
        self.refuse_request(waiter.admit, reason, after)

    def refuse_request(self, admit: Admit, reason: str, after: float) -> None:
        """Refuses a request that is not in the queue.

        Args:
            admit: the request.
            reason: the reason to send.
            after: seconds after which a retry makes sense.
        """
        refused = Refused(admit.request, reason, round(max(after, 0.1), 3))
        self.output.append(Reply(admit.node, refused))
