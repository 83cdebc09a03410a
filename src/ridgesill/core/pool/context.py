"""What the parts of a pool's owner share."""

from typing import Any

import attrs

from ridgesill.core.pool.messages import Admit, Refused, Reply
from ridgesill.core.pool.popularity import Popularity
from ridgesill.core.pool.slots import RunnerState
from ridgesill.core.pool.waiting import Waiter, WaitingQueue


@attrs.frozen
class PoolLimits:
    """Limits and tunings of a pool.

    Attributes:
        queue: requests that may wait.
        half_life: of popularity, in seconds.
        announce_patience: seconds of silence after which a runner counts as
            gone.
        order_deadline: seconds within which an order must begin.
        report_lag: seconds by which a runner's reports may lag.
        copy_margin: how much more in flight a copy must save to be loaded,
            as a share of a runner's capacity.
    """

    queue: int = 256
    half_life: float = 30.0
    announce_patience: float = 3.0
    order_deadline: float = 1.0
    report_lag: float = 2.0
    copy_margin: float = 0.5


@attrs.define
class Load:
    """A load that waits for its permit or runs.

    Attributes:
        victim: the adapter that is unloaded first; empty for none.
    """

    permit: str
    runner: str
    adapter: str
    requested_at: float
    is_ordered: bool = False
    victim: str = ""


@attrs.define
class PoolState:
    """The state of one pool.

    Attributes:
        starts_at: from when orders and admissions are allowed; until then
            an earlier owner's lease may still run.
        unloads_at: from when unloads are allowed; until then entry nodes may
            not yet have told which requests they hold here.
        loads: by permit.
        paused_until: until when an adapter that failed to load is not tried
            again on a runner, by runner and adapter.
        output: messages for others, in order.
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
        """Returns the runners with a slot for an adapter, ready or not."""
        return [r for r in self.runners.values() if adapter in r.slots]

    def is_loading(self, adapter: str) -> bool:
        """Whether a load of an adapter is asked for or runs."""
        return any(load.adapter == adapter for load in self.loads.values())

    def is_live(self, runner: RunnerState, now: float) -> bool:
        """Whether a runner has announced itself lately."""
        return now - runner.announced_at <= self.limits.announce_patience

    def refuse_waiter(self, waiter: Waiter, reason: str, after: float) -> None:
        """Takes a request out of the queue and refuses it."""
        self.waiting.remove(waiter)
        self.refuse_request(waiter.admit, reason, after)

    def refuse_request(self, admit: Admit, reason: str, after: float) -> None:
        """Refuses a request that is not in the queue."""
        refused = Refused(admit.request, reason, round(max(after, 0.1), 3))
        self.output.append(Reply(admit.node, refused))
