"""Chooses runners for requests and loads, and adapters to evict."""

from ridgesill.core.pool.context import PoolState
from ridgesill.core.pool.messages import Admit
from ridgesill.core.pool.slots import READY, RunnerState
from ridgesill.core.pool.waiting import Waiter

# Advantage of a runner whose batch already uses the adapter, as a share of its
# capacity.
_SAME_ADAPTER_BONUS = 0.25
# Rounding step of eviction costs at a batch weight of 1.
_COST_STEP = 0.5


class Placement:
    """Ranks the runners and adapters of a pool.

    `begin_pass` starts a pass over the queue. The eviction cost of a runner is
    cached for the rest of the pass, unless `invalidate` is called for it.
    """

    def __init__(self, state: PoolState) -> None:
        self._state = state
        self._eviction_costs: dict[str, float | None] = {}

    def begin_pass(self) -> None:
        """Starts a pass over the queue; clears the cached eviction costs."""
        self._eviction_costs.clear()

    def invalidate(self, runner: str) -> None:
        """Drops the cached eviction cost of a runner that has changed."""
        self._eviction_costs.pop(runner, None)

    def choose_ready(self, admit: Admit, now: float) -> RunnerState | None:
        """Returns the best runner that can start a request now, or None."""
        candidates = [
            runner
            for runner in self._state.runners.values()
            if runner.is_ready(admit.adapter)
            and runner.has_room(now)
            and self._state.is_live(runner, now)
        ]
        preferred = [r for r in candidates if r.name not in admit.avoid]
        return min(
            preferred or candidates,
            key=lambda runner: self._score_runner(runner, admit.adapter),
            default=None,
        )

    def _score_runner(
        self, runner: RunnerState, adapter: str
    ) -> tuple[float, str]:
        """Returns a sort key of a runner for an adapter; the lowest is best.

        A sequence whose adapter is already in the batch costs less than one
        that adds another adapter to it.
        """
        slot = runner.slots.get(adapter)
        bonus = _SAME_ADAPTER_BONUS if slot and slot.pins else 0.0
        return (self._fill_score(runner) - bonus, runner.name)

    def _fill_score(self, runner: RunnerState) -> float:
        """Returns a score of how full a runner is; the lowest is best.

        For stalls and the time to the first token, the emptiest runner is best;
        for batch throughput the fullest, where one more sequence costs least.
        """
        share = runner.in_flight / max(runner.announcement.capacity, 1)
        return share * (1.0 - 2.0 * self._state.batch_weight)

    def needs_copy(
        self, group: list[Waiter], holders: list[RunnerState], now: float
    ) -> bool:
        """Whether enough requests wait to load another copy of an adapter."""
        others = [r for r in self._state.runners.values() if r not in holders]
        spare = sum(
            r.announcement.capacity - r.in_flight
            for r in others
            if r.has_room(now)
        )
        if spare <= 0:
            return False
        capacity = max(r.announcement.capacity for r in holders)
        return len(group) >= max(self._state.limits.copy_margin * capacity, 1.0)

    def choose_target(
        self, adapter: str, holders: list[RunnerState], now: float
    ) -> RunnerState | None:
        """Returns the runner with the lowest eviction cost for a load."""
        best: tuple[float, float, str] | None = None
        chosen = None
        for runner in self._state.runners.values():
            if runner in holders or not self._may_load(runner, adapter, now):
                continue
            cost = self._eviction_cost(runner, now)
            if cost is None:
                continue
            score = (
                self._coarsen(cost),
                self._fill_score(runner),
                runner.name,
            )
            if best is None or score < best:
                best, chosen = score, runner
        return chosen

    def _coarsen(self, cost: float) -> float:
        """Rounds a cost down, to larger steps with a higher batch weight.

        Runners with equal rounded costs are ranked by how full they are.
        """
        step = _COST_STEP * self._state.batch_weight
        return cost // step if step else cost

    def _may_load(self, runner: RunnerState, adapter: str, now: float) -> bool:
        paused = self._state.paused_until.get((runner.name, adapter), now)
        return (
            runner.has_room(now)
            and self._state.is_live(runner, now)
            and paused <= now
        )

    def _eviction_cost(self, runner: RunnerState, now: float) -> float | None:
        """Returns the value of the adapter that a load would evict.

        Returns:
            0 if a slot is free, None if no adapter may be evicted. The result
            is cached for the rest of the pass.
        """
        if runner.name not in self._eviction_costs:
            self._eviction_costs[runner.name] = self._compute_eviction_cost(
                runner, now
            )
        return self._eviction_costs[runner.name]

    def _compute_eviction_cost(
        self, runner: RunnerState, now: float
    ) -> float | None:
        reserved = sum(
            1
            for load in self._state.loads.values()
            if load.runner == runner.name and load.adapter not in runner.slots
        )
        if runner.free_slots() - reserved > 0:
            return 0.0
        victim = self.choose_victim(runner, now)
        if victim is None or reserved:
            return None
        return self._adapter_value(victim, now)

    def choose_victim(self, runner: RunnerState, now: float) -> str | None:
        """Returns the adapter to unload first; None if none may be unloaded."""
        if now < self._state.unloads_at:
            return None
        candidates = [
            adapter
            for adapter, slot in runner.slots.items()
            if adapter
            and slot.state == READY
            and not slot.is_pinned
            and not self._state.waiting.group(adapter)
        ]
        return min(
            candidates,
            key=lambda a: (self._adapter_value(a, now), a),
            default=None,
        )

    def _adapter_value(self, adapter: str, now: float) -> float:
        copies = sum(
            1 for r in self._state.runners.values() if adapter in r.slots
        )
        return self._state.popularity.value(adapter, now) / max(copies, 1)
