"""Which runner serves, which one loads, and what leaves for it."""

from ridgesill.core.pool.context import PoolState
from ridgesill.core.pool.messages import Admit
from ridgesill.core.pool.slots import READY, RunnerState
from ridgesill.core.pool.waiting import Waiter

_SAME_ADAPTER_BONUS = 0.25
_WORTH_STEP = 0.5


class Placement:
    """Ranks runners and adapters of a pool.

    A pass over the queue begins with `begin_pass`; what is worked out for a
    runner is kept for the rest of it, unless `forget` says that it changed.
    """

    def __init__(self, context: PoolState) -> None:
        self._context = context
        self._worths: dict[str, float | None] = {}

    def begin_pass(self) -> None:
        """Forgets what was worked out before."""
        self._worths.clear()

    def forget(self, runner: str) -> None:
        """Notes that a runner has changed within a pass."""
        self._worths.pop(runner, None)

    def choose_ready(self, admit: Admit, now: float) -> RunnerState | None:
        """Returns the best runner that can begin a request now."""
        candidates = [
            runner
            for runner in self._context.runners.values()
            if runner.is_ready(admit.adapter)
            and runner.has_room(now)
            and self._context.is_live(runner, now)
        ]
        preferred = [r for r in candidates if r.name not in admit.avoid]
        return min(
            preferred or candidates,
            key=lambda runner: self._load_score(runner, admit.adapter),
            default=None,
        )

    def _load_score(
        self, runner: RunnerState, adapter: str
    ) -> tuple[float, str]:
        """Ranks runners that hold an adapter; the lowest is the best.

        A sequence whose adapter is already in the batch costs less than one
        that brings another adapter into it.
        """
        slot = runner.slots.get(adapter)
        bonus = _SAME_ADAPTER_BONUS if slot and slot.pins else 0.0
        return (self._signed_share(runner) - bonus, runner.name)

    def _signed_share(self, runner: RunnerState) -> float:
        """Ranks runners by how full they are.

        For stalls and first tokens the emptiest is the best; for batches the
        fullest, whose next step costs the least for one more sequence.
        """
        share = runner.in_flight / max(runner.announcement.capacity, 1)
        return share * (1.0 - 2.0 * self._context.batch_weight)

    def needs_copy(
        self, group: list[Waiter], holders: list[RunnerState], now: float
    ) -> bool:
        """Whether those who wait are worth another copy of a hot adapter."""
        others = [r for r in self._context.runners.values() if r not in holders]
        spare = sum(
            r.announcement.capacity - r.in_flight
            for r in others
            if r.has_room(now)
        )
        if spare <= 0:
            return False
        capacity = max(r.announcement.capacity for r in holders)
        return len(group) >= max(
            self._context.limits.copy_margin * capacity, 1.0
        )

    def choose_target(
        self, adapter: str, holders: list[RunnerState], now: float
    ) -> RunnerState | None:
        """Returns the runner whose worst adapter is worth the least."""
        best: tuple[float, float, str] | None = None
        chosen = None
        for runner in self._context.runners.values():
            if runner in holders or not self._may_load(runner, adapter, now):
                continue
            worth = self._worst_worth(runner, now)
            if worth is None:
                continue
            score = (
                self._coarse(worth),
                self._signed_share(runner),
                runner.name,
            )
            if best is None or score < best:
                best, chosen = score, runner
        return chosen

    def _coarse(self, worth: float) -> float:
        """Returns a worth, the coarser the more that batches count."""
        step = _WORTH_STEP * self._context.batch_weight
        return worth // step if step else worth

    def _may_load(self, runner: RunnerState, adapter: str, now: float) -> bool:
        paused = self._context.paused_until.get((runner.name, adapter), now)
        return (
            runner.has_room(now)
            and self._context.is_live(runner, now)
            and paused <= now
        )

    def _worst_worth(self, runner: RunnerState, now: float) -> float | None:
        """Returns the worth of what a load would displace; None if nothing.

        It is kept for the rest of a pass over the queue, unless the runner
        changes in it.
        """
        if runner.name not in self._worths:
            self._worths[runner.name] = self._find_worth(runner, now)
        return self._worths[runner.name]

    def _find_worth(self, runner: RunnerState, now: float) -> float | None:
        reserved = sum(
            1
            for load in self._context.loads.values()
            if load.runner == runner.name and load.adapter not in runner.slots
        )
        if runner.free_slots() - reserved > 0:
            return 0.0
        victim = self.choose_victim(runner, now)
        if victim is None or reserved:
            return None
        return self._worth(victim, now)

    def choose_victim(self, runner: RunnerState, now: float) -> str | None:
        """Returns the adapter to unload first; None if none may be."""
        if now < self._context.unloads_at:
            return None
        candidates = [
            adapter
            for adapter, slot in runner.slots.items()
            if adapter
            and slot.state == READY
            and not slot.is_pinned
            and not self._context.waiting.group(adapter)
        ]
        return min(
            candidates, key=lambda a: (self._worth(a, now), a), default=None
        )

    def _worth(self, adapter: str, now: float) -> float:
        copies = sum(
            1 for r in self._context.runners.values() if adapter in r.slots
        )
        return self._context.popularity.value(adapter, now) / max(copies, 1)
