"""Requests permits for adapter loads, orders them, handles their results."""

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

# Failed loads of an adapter after which its waiting requests are refused.
_MAX_FAILED_LOADS = 3
# Pause after the first failed load of an adapter on a runner; it doubles with
# each further failure.
_FAILED_LOAD_PAUSE_SECONDS = 2.0
_PERMIT_TIMEOUT_SECONDS = 5.0
# Weight of the newest load in the mean duration of a load.
_SMOOTHING = 0.2


class Loads:
    """The loads of a pool.

    Attributes:
        seconds: moving mean of the duration of a load, in seconds.
    """

    def __init__(self, state: PoolState, placement: Placement) -> None:
        self.seconds = 0.5
        self._state = state
        self._placement = placement
        self._failed: dict[str, int] = {}
        self._has_no_target = False
        self._ids = itertools.count()

    def begin_pass(self) -> None:
        """Resets what is remembered within one pass over the queue."""
        self._has_no_target = False

    def handle_permit(self, message: GrantPermit, now: float) -> None:
        """Starts the load that a permit is for, or another load instead."""
        load = self._state.loads.get(message.permit)
        if load is None:
            self._return_permit(message.permit)
            return
        # The state may have changed since the permit was requested: the waiting
        # requests may be served or cancelled, or the runner may have no slot.
        if not self._start_load(load, now) and not self._start_other_load(
            load, now
        ):
            self.cancel(load)

    def cancel(self, load: Load) -> None:
        """Removes a load and returns its permit."""
        self._state.loads.pop(load.permit, None)
        self._return_permit(load.permit)

    def cancel_unordered(self) -> None:
        """Cancels all loads that have not been ordered."""
        for load in list(self._state.loads.values()):
            if not load.is_ordered:
                self.cancel(load)

    def cancel_on_runner(self, runner: str) -> None:
        """Cancels all loads on a runner."""
        for load in list(self._state.loads.values()):
            if load.runner == runner:
                self.cancel(load)

    def tick(self, now: float) -> None:
        """Cancels loads whose permit request the allocator may have lost.

        The next pass over the queue requests a new permit.
        """
        for load in list(self._state.loads.values()):
            if (
                not load.is_ordered
                and now - load.requested_at > _PERMIT_TIMEOUT_SECONDS
            ):
                self.cancel(load)

    def _return_permit(self, permit: str) -> None:
        return_message = ReturnPermit(permit, self._state.service)
        self._state.output.append(ToAllocator(return_message))

    def request_load(
        self, group: list[Waiter], adapter: str, now: float
    ) -> None:
        """Requests a load of an adapter if its waiting requests justify one."""
        holders = self._state.holders(adapter)
        if self._state.is_loading(adapter):
            self._record_stall(group, holders, now)
            return
        if holders and not self._placement.needs_copy(group, holders, now):
            return
        self._record_stall(group, holders, now)
        if not holders and self._has_no_target:
            return
        runner = self._placement.choose_target(adapter, holders, now)
        if runner is not None:
            self._request_permit(runner, adapter, len(group), now)
        elif not holders:
            # No adapter can be evicted, so the rest of this pass skips the
            # search. Under overload it would run for hundreds of waiters.
            self._has_no_target = True

    def _record_stall(
        self, group: list[Waiter], holders: list[RunnerState], now: float
    ) -> None:
        if holders and any(h.is_ready(group[0].admit.adapter) for h in holders):
            return
        for waiter in group:
            if not waiter.is_stalled:
                waiter.is_stalled = True
                waiter.missing_since = now

    def _request_permit(
        self, runner: RunnerState, adapter: str, urgency: int, now: float
    ) -> None:
        permit = f"{self._state.pool}#{self._state.epoch}#{next(self._ids)}"
        self._state.loads[permit] = Load(permit, runner.name, adapter, now)
        self._placement.invalidate(runner.name)
        ask = AskPermit(permit, self._state.pool, self._state.service, urgency)
        self._state.output.append(ToAllocator(ask))

    def _start_load(self, load: Load, now: float) -> bool:
        """Orders a load; returns False if it is impossible or not needed."""
        runner = self._state.runners.get(load.runner)
        wanted = self._state.waiting.group(load.adapter)
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

    def _start_other_load(self, load: Load, now: float) -> bool:
        """Uses a permit for the first other adapter that needs a load.

        Returning the permit would waste it: it has already been counted
        against the rate of the weight store.
        """
        self._placement.begin_pass()
        del self._state.loads[load.permit]
        for group in self._state.waiting.groups():
            adapter = group[0].admit.adapter
            if not adapter or self._state.is_loading(adapter):
                continue
            if self._state.holders(adapter):
                continue
            runner = self._placement.choose_target(adapter, [], now)
            if runner is None:
                break
            substitute = Load(
                load.permit, runner.name, adapter, load.requested_at
            )
            self._state.loads[load.permit] = substitute
            return self._start_load(substitute, now)
        self._state.loads[load.permit] = load
        return False

    def _order_unload(
        self, runner: RunnerState, adapter: str, now: float
    ) -> None:
        slot = runner.slots[adapter]
        slot.enter(UNLOADING, now)
        self.order(UNLOAD, runner, adapter)

    def order(self, action: str, runner: RunnerState, adapter: str) -> None:
        """Sends an order to a runner, fenced by the epoch of this owner."""
        order = Order(
            action,
            runner.name,
            runner.announcement.address,
            adapter,
            self._state.epoch,
            self._state.limits.order_deadline,
        )
        self._state.output.append(SendOrder(order))

    def handle_result(self, order: Order, verdict: str, now: float) -> None:
        """Handles the result of an order to load or unload.

        Args:
            order: the order.
            verdict: `done`, `failed` or `unknown`.
            now: the current time, in seconds.
        """
        load = self._find_load(order)
        if load is not None:
            self.cancel(load)
        runner = self._state.runners.get(order.runner)
        if runner is None:
            return
        if order.action == LOAD:
            self._finish_load(runner, order.adapter, verdict, now)
        elif order.action == UNLOAD:
            self._finish_unload(runner, order.adapter, verdict, now)

    def _find_load(self, order: Order) -> Load | None:
        if order.action != LOAD:
            return None
        for load in self._state.loads.values():
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
            load_seconds = now - slot.since
            self.seconds += _SMOOTHING * (load_seconds - self.seconds)
            slot.enter(READY, now)
            self._failed.pop(adapter, None)
            return
        if verdict == "failed":
            del runner.slots[adapter]
        else:
            slot.enter(SUSPECT, now)
        self._record_failed_load(runner, adapter, now)

    def _record_failed_load(
        self, runner: RunnerState, adapter: str, now: float
    ) -> None:
        failed = self._failed.get(adapter, 0) + 1
        self._failed[adapter] = failed
        pause = _FAILED_LOAD_PAUSE_SECONDS * 2 ** min(failed - 1, 5)
        self._state.paused_until[(runner.name, adapter)] = now + pause
        if failed < _MAX_FAILED_LOADS:
            return
        del self._failed[adapter]
        for waiter in list(self._state.waiting.group(adapter)):
            self._state.refuse_waiter(waiter, LOAD_FAILED, pause)

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
        for load in list(self._state.loads.values()):
            if (load.runner, load.victim) == (runner.name, adapter):
                self._continue_load(load, runner, verdict)

    def _continue_load(
        self, load: Load, runner: RunnerState, verdict: str
    ) -> None:
        """Orders a load once its victim is unloaded, or cancels the load."""
        load.victim = ""
        if verdict == "done":
            self.order(LOAD, runner, load.adapter)
            return
        runner.slots.pop(load.adapter, None)
        self.cancel(load)
