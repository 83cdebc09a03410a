"""Loads: asking for permits, ordering, and what becomes of orders."""

import itertools

from ridgesill.core.pool.context import Load, PoolState
from ridgesill.core.pool.messages import (
    LOAD_FAILED,
    AskPermit,
    GrantPermit,
    ReturnPermit,
    SendOrder,
    ToAllocator,
)
from ridgesill.core.pool.placement import Placement
from ridgesill.core.pool.slots import (
    LOADING,
    READY,
    SUSPECT,
    UNLOADING,
    RunnerState,
    Slot,
)
from ridgesill.core.pool.waiting import Waiter
from ridgesill.core.runners import LOAD, UNLOAD, Order

_FAILED_LOADS_MOST = 3
_FAILED_LOAD_PAUSE = 2.0
_PERMIT_PATIENCE = 5.0
_SMOOTHING = 0.2


class Loads:
    """The loads of a pool.

    Attributes:
        seconds: what a load takes, as a moving mean.
    """

    def __init__(self, context: PoolState, placement: Placement) -> None:
        self.seconds = 0.5
        self._context = context
        self._placement = placement
        self._failed: dict[str, int] = {}
        self._exhausted = False
        self._ids = itertools.count()

    def begin_pass(self) -> None:
        """Notes that a pass over the queue begins."""
        self._exhausted = False

    def handle_permit(self, message: GrantPermit, now: float) -> None:
        """Begins the load that a permit is for, or another in its place."""
        load = self._context.loads.get(message.permit)
        if load is None:
            self._give_back(message.permit)
            return
        # Much may have changed while the permit was on its way; what it was
        # asked for may be served, given up, or without a slot.
        if not self._begin_load(load, now) and not self._begin_other(load, now):
            self.cancel(load)

    def cancel(self, load: Load) -> None:
        """Ends a load and gives its permit back."""
        self._context.loads.pop(load.permit, None)
        self._give_back(load.permit)

    def cancel_unordered(self) -> None:
        """Gives up all loads that have not been ordered."""
        for load in list(self._context.loads.values()):
            if not load.is_ordered:
                self.cancel(load)

    def cancel_on_runner(self, runner: str) -> None:
        """Gives up all loads of a runner."""
        for load in list(self._context.loads.values()):
            if load.runner == runner:
                self.cancel(load)

    def tick(self, now: float) -> None:
        """Asks anew where an allocator may have lost the question."""
        for load in list(self._context.loads.values()):
            if (
                not load.is_ordered
                and now - load.requested_at > _PERMIT_PATIENCE
            ):
                self.cancel(load)

    def _give_back(self, permit: str) -> None:
        give_back = ReturnPermit(permit, self._context.service)
        self._context.output.append(ToAllocator(give_back))

    def request_load(
        self, group: list[Waiter], adapter: str, now: float
    ) -> None:
        """Asks for a load if those who wait for an adapter call for one."""
        holders = self._context.holders(adapter)
        if self._context.is_loading(adapter):
            self._note_stall(group, holders, now)
            return
        if holders and not self._placement.needs_copy(group, holders, now):
            return
        self._note_stall(group, holders, now)
        if not holders and self._exhausted:
            return
        runner = self._placement.choose_target(adapter, holders, now)
        if runner is not None:
            self._ask_load(runner, adapter, len(group), now)
        elif not holders:
            # Nothing can be displaced, so the rest of this pass need not
            # look again: under overload it would for hundreds of waiters.
            self._exhausted = True

    def _note_stall(
        self, group: list[Waiter], holders: list[RunnerState], now: float
    ) -> None:
        if holders and any(h.is_ready(group[0].admit.adapter) for h in holders):
            return
        for waiter in group:
            if not waiter.stalled:
                waiter.stalled = True
                waiter.missing_since = now

    def _ask_load(
        self, runner: RunnerState, adapter: str, urgency: int, now: float
    ) -> None:
        permit = f"{self._context.pool}#{self._context.epoch}#{next(self._ids)}"
        self._context.loads[permit] = Load(permit, runner.name, adapter, now)
        self._placement.forget(runner.name)
        ask = AskPermit(
            permit, self._context.pool, self._context.service, urgency
        )
        self._context.output.append(ToAllocator(ask))

    def _begin_load(self, load: Load, now: float) -> bool:
        """Orders a load, or returns False if it can't or need not be."""
        runner = self._context.runners.get(load.runner)
        wanted = self._context.waiting.group(load.adapter)
        if runner is None or not wanted or load.adapter in runner.slots:
            return False
        is_full = runner.free_slots() <= 0
        victim = self._placement.choose_victim(runner, now) if is_full else ""
        if victim is None:
            return False
        load.is_ordered = True
        runner.slots[load.adapter] = Slot(LOADING, now)
        if victim:
            load.victim = victim
            self._order_unload(runner, victim, now)
        else:
            self.order(LOAD, runner, load.adapter)
        return True

    def _begin_other(self, load: Load, now: float) -> bool:
        """Uses a permit for the first other adapter that waits for one.

        A permit given back has already cost the store's rate.
        """
        self._placement.begin_pass()
        del self._context.loads[load.permit]
        for group in self._context.waiting.groups():
            adapter = group[0].admit.adapter
            if not adapter or self._context.is_loading(adapter):
                continue
            if self._context.holders(adapter):
                continue
            runner = self._placement.choose_target(adapter, [], now)
            if runner is None:
                break
            other = Load(load.permit, runner.name, adapter, load.requested_at)
            self._context.loads[load.permit] = other
            return self._begin_load(other, now)
        self._context.loads[load.permit] = load
        return False

    def _order_unload(
        self, runner: RunnerState, adapter: str, now: float
    ) -> None:
        slot = runner.slots[adapter]
        slot.enter(UNLOADING, now)
        self.order(UNLOAD, runner, adapter)

    def order(self, action: str, runner: RunnerState, adapter: str) -> None:
        """Orders something of a runner under this owner's epoch."""
        order = Order(
            action,
            runner.name,
            runner.announcement.address,
            adapter,
            self._context.epoch,
            self._context.limits.order_deadline,
        )
        self._context.output.append(SendOrder(order))

    def handle_result(self, order: Order, verdict: str, now: float) -> None:
        """Takes what became of an order to load or unload."""
        load = self._load_of(order)
        if load is not None:
            self.cancel(load)
        runner = self._context.runners.get(order.runner)
        if runner is None:
            return
        if order.action == LOAD:
            self._finish_load(runner, order.adapter, verdict, now)
        elif order.action == UNLOAD:
            self._finish_unload(runner, order.adapter, verdict, now)

    def _load_of(self, order: Order) -> Load | None:
        if order.action != LOAD:
            return None
        for load in self._context.loads.values():
            if (load.runner, load.adapter) == (order.runner, order.adapter):
                return load
        return None

    def _finish_load(
        self, runner: RunnerState, adapter: str, verdict: str, now: float
    ) -> None:
        slot = runner.slots.get(adapter)
        if slot is None:
            return
        if verdict == "done":
            took = now - slot.since
            self.seconds += _SMOOTHING * (took - self.seconds)
            slot.enter(READY, now)
            self._failed.pop(adapter, None)
            return
        if verdict == "failed":
            del runner.slots[adapter]
        else:
            slot.enter(SUSPECT, now)
        self._note_failed_load(runner, adapter, now)

    def _note_failed_load(
        self, runner: RunnerState, adapter: str, now: float
    ) -> None:
        failed = self._failed.get(adapter, 0) + 1
        self._failed[adapter] = failed
        pause = _FAILED_LOAD_PAUSE * 2 ** min(failed - 1, 5)
        self._context.paused_until[(runner.name, adapter)] = now + pause
        if failed < _FAILED_LOADS_MOST:
            return
        del self._failed[adapter]
        for waiter in list(self._context.waiting.group(adapter)):
            self._context.refuse_waiter(waiter, LOAD_FAILED, pause)

    def _finish_unload(
        self, runner: RunnerState, adapter: str, verdict: str, now: float
    ) -> None:
        slot = runner.slots.get(adapter)
        if slot is None:
            return
        if verdict == "done":
            runner.remove_adapter(adapter, now)
        else:
            slot.enter(SUSPECT, now)
        for load in list(self._context.loads.values()):
            if (load.runner, load.victim) == (runner.name, adapter):
                self._go_on_loading(load, runner, verdict)

    def _go_on_loading(
        self, load: Load, runner: RunnerState, verdict: str
    ) -> None:
        """Loads into the slot that an unload has freed, or has not."""
        load.victim = ""
        if verdict == "done":
            self.order(LOAD, runner, load.adapter)
            return
        runner.slots.pop(load.adapter, None)
        self.cancel(load)
