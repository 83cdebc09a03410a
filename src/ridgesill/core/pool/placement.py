"""Which runner serves, which one loads, and what leaves for it."""

from ridgesill.core.pool.context import PoolState
from ridgesill.core.pool.messages import Admit
from ridgesill.core.pool.slots import READY, RunnerState
from ridgesill.core.pool.waiting import Waiter

_SAME_ADAPTER_BONUS = 0.25
_COST_STEP = 0.5


class Placement:
    """Ranks runners and adapters of a pool.

    A pass over the queue begins with `begin_pass`; what is worked out for a
    runner is kept for the rest of it, unless `forget` says that it changed.
    """

    def __init__(self, state: PoolState) -> None:
        self._state = state
        self._eviction_costs: dict[str, float | None] = {}

    def begin_pass(self) -> None:
        """Forgets what was worked out before."""
        self._eviction_costs.clear()

    def invalidate(self, runner: str) -> None:
        """Notes that a runner has changed within a pass."""
        self._eviction_costs.pop(runner, None)

    def choose_ready(self, admit: Admit, now: float) -> RunnerState | None:
        """Returns the best runner that can begin a request now."""
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
        """Ranks runners that hold an adapter; the lowest is the best.

        A sequence whose adapter is already in the batch costs less than one
        that brings another adapter into it.
        """
        slot = runner.slots.get(adapter)
        bonus = _SAME_ADAPTER_BONUS if slot and slot.pins else 0.0
        return (self._fill_score(runner) - bonus, runner.name)

    def _fill_score(self, runner: RunnerState) -> float:
        """Ranks runners by how full they are.

        For stalls and first tokens the emptiest is the best; for batches the
        fullest, whose next step costs the least for one more sequence.
        """
        share = runner.in_flight / max(runner.announcement.capacity, 1)
        return share * (1.0 - 2.0 * self._state.batch_weight)

    def needs_copy(
        self, group: list[Waiter], holders: list[RunnerState], now: float
    ) -> bool:
        """Whether those who wait are worth another copy of a hot adapter."""
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
        """Returns the runner whose worst adapter is worth the least."""
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
        """Returns a worth, the coarser the more that batches count."""
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
        """Returns the worth of what a load would displace; None if nothing.

        It is kept for the rest of a pass over the queue, unless the runner
        changes in it.
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
        """Returns the adapter to unload first; None if none may be."""
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
