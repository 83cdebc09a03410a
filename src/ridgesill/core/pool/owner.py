"""The decisions of a pool's owner.

One node decides for all runners of a service in a data centre, so slots,
requests in flight and queues are counted in one place. Messages go in through
the methods, and what follows from them comes out of `take_output`.
"""

import itertools
from functools import singledispatchmethod
from typing import Any

import attrs

from ridgesill.core.pool.messages import (
    ABSENT,
    FAILED,
    LOAD_FAILED,
    NO_RUNNER,
    QUEUE_FULL,
    SHED,
    TOO_LATE,
    Admit,
    AskPermit,
    Digest,
    Finished,
    Granted,
    GrantPermit,
    Holding,
    Pin,
    Refused,
    Reply,
    ReturnPermit,
    SendOrder,
    ToAllocator,
)
from ridgesill.core.pool.popularity import Popularity
from ridgesill.core.pool.slots import (
    LOADING,
    READY,
    SUSPECT,
    UNLOADING,
    RunnerState,
    Slot,
)
from ridgesill.core.pool.waiting import Waiter, WaitingQueue
from ridgesill.core.runners import FENCE, LOAD, UNLOAD, Announcement, Order

_FAILED_LOADS_MOST = 3
_FAILED_LOAD_PAUSE = 2.0
_PERMIT_PATIENCE = 5.0
_SAME_ADAPTER_BONUS = 0.25
_WORTH_STEP = 0.5


@attrs.frozen
class PoolLimits:
    """Limits and tunings of a pool.

    Attributes:
        queue: requests that may wait.
        half_life: of popularity, in seconds.
        announce_patience: seconds of silence after which a runner counts as
            gone.
        order_deadline: seconds within which an order must begin.
        order_timeout: seconds after which an order's fate is unknown.
        report_lag: seconds by which a runner's reports may lag.
        copy_margin: how much more in flight a copy must save to be loaded,
            as a share of a runner's capacity.
    """

    queue: int = 256
    half_life: float = 30.0
    announce_patience: float = 3.0
    order_deadline: float = 1.0
    order_timeout: float = 10.0
    report_lag: float = 2.0
    copy_margin: float = 0.5


@attrs.define
class _Load:
    """A load that waits for its permit or runs.

    Attributes:
        victim: the adapter that is unloaded first; empty for none.
    """

    permit: str
    runner: str
    adapter: str
    asked_at: float
    ordered: bool = False
    victim: str = ""


class PoolOwner:
    """Decides for one pool.

    Args:
        pool: its name.
        service: the service of its runners.
        epoch: the fencing number of this ownership.
        starts_at: from when orders and admissions are allowed; until then
            an earlier owner's lease may still run.
        unloads_at: from when unloads are allowed; until then entry nodes may
            not yet have told which requests they hold here.
        limits: limits and tunings.
        batch_weight: 0 to 1, see `core.configuration.Service`.
    """

    def __init__(
        self,
        pool: str,
        service: str,
        epoch: int,
        starts_at: float,
        limits: PoolLimits | None = None,
        batch_weight: float = 0.0,
        unloads_at: float = float("-inf"),
    ) -> None:
        self.unloads_at = max(unloads_at, starts_at)
        self.pool = pool
        self.service = service
        self.epoch = epoch
        self.starts_at = starts_at
        self.limits = limits or PoolLimits()
        self.batch_weight = batch_weight
        self.runners: dict[str, RunnerState] = {}
        self.waiting = WaitingQueue()
        self.popularity = Popularity(self.limits.half_life)
        self._pins: dict[str, Pin] = {}
        self._pinned_at: dict[str, float] = {}
        self._by_node: dict[str, set[str]] = {}
        self._loads: dict[str, _Load] = {}
        self._failed: dict[str, int] = {}
        self._failed_until: dict[tuple[str, str], float] = {}
        self._fencing: set[str] = set()
        self._worths: dict[str, float | None] = {}
        self._exhausted = False
        self._load_seconds = 0.5
        self._service_seconds = 1.0
        self._ids = itertools.count()
        self._output: list[Any] = []

    def take_output(self) -> list[Any]:
        """Returns what has accumulated since the last call."""
        output, self._output = self._output, []
        return output

    def digest(self) -> Digest:
        """Returns what entry nodes should know of this pool."""
        resident = {
            adapter
            for runner in self.runners.values()
            for adapter, slot in runner.slots.items()
            if slot.state in (READY, LOADING)
        }
        spare = sum(
            max(r.said.capacity - r.in_flight, 0)
            for r in self.runners.values()
            if not r.said.leaving
        )
        return Digest(
            self.pool,
            self.epoch,
            tuple(sorted(resident)),
            spare,
            len(self.waiting),
        )

    def entry_nodes(self) -> set[str]:
        """Returns the entry nodes that have a request here."""
        waiting = {waiter.admit.node for waiter in self.waiting.all()}
        return waiting.union(self._by_node)

    def is_idle(self) -> bool:
        """Whether no order, request or waiter is left."""
        return not (self._pins or self._loads or len(self.waiting))

    def stop_orders(self) -> None:
        """Gives up loads not yet ordered, ahead of a handover."""
        for load in list(self._loads.values()):
            if not load.ordered:
                self._drop_load(load)

    def drain(self) -> None:
        """Refuses those who wait, ahead of a handover."""
        for waiter in self.waiting.all():
            self._refuse(waiter, NO_RUNNER, 1.0)

    @singledispatchmethod
    def receive(self, message: Any, now: float) -> None:
        """Takes a message from an entry node, a runner or the allocator."""
        raise TypeError(f"no pool message: {type(message).__name__}")

    # -- admission -----------------------------------------------------

    @receive.register
    def _(self, message: Admit, now: float) -> None:
        self.popularity.note(message.adapter, now)
        if not self._usable(message, now):
            self._refuse_now(message, NO_RUNNER, 2.0)
            return
        wait = self._expected_wait(message, now)
        if wait > message.patience:
            self._refuse_now(message, TOO_LATE, wait)
            return
        waiter = self.waiting.add(message, now)
        if len(self.waiting) > self.limits.queue:
            self._shed(waiter, now)
        self.dispatch(now)

    def _usable(self, message: Admit, now: float) -> bool:
        return any(
            not runner.said.leaving and self._is_heard(runner, now)
            for runner in self.runners.values()
        )

    def _shed(self, newest: Waiter, now: float) -> None:
        least = self.waiting.least()
        if least is None:
            return
        reason = QUEUE_FULL if least is newest else SHED
        self._refuse(least, reason, self._drain_seconds())

    def _expected_wait(self, message: Admit, now: float) -> float:
        """Estimates the seconds until a request begins."""
        wait = max(self.starts_at - now, 0.0)
        ready = [
            runner
            for runner in self.runners.values()
            if runner.is_ready(message.adapter)
        ]
        if any(runner.has_room(now) for runner in ready):
            return wait
        wait += self._queue_seconds(message)
        if not ready and message.adapter:
            wait += self._load_seconds
        return wait

    def _queue_seconds(self, message: Admit) -> float:
        capacity = sum(r.said.capacity for r in self.runners.values())
        spare = capacity - len(self._pins)
        if spare > 0:
            return 0.0
        ahead = sum(
            1
            for waiter in self.waiting.all()
            if waiter.admit.priority <= message.priority
        )
        return (ahead + 1) * self._service_seconds / max(capacity, 1)

    def _drain_seconds(self) -> float:
        capacity = sum(r.said.capacity for r in self.runners.values())
        waiting = len(self.waiting) + 1
        return max(waiting * self._service_seconds / max(capacity, 1), 0.5)

    # -- dispatch ------------------------------------------------------

    def dispatch(self, now: float) -> None:
        """Grants what can begin and loads what is missing."""
        if now < self.starts_at:
            return
        self._worths.clear()
        self._exhausted = False
        for group in self.waiting.groups():
            self._dispatch_group(group, now)

    def _dispatch_group(self, group: list[Waiter], now: float) -> None:
        adapter = group[0].admit.adapter
        for waiter in list(group):
            runner = self._choose_ready(waiter.admit, now)
            if runner is None:
                break
            self._grant(waiter, runner, now)
        remaining = self.waiting.group(adapter)
        if remaining and adapter:
            self._consider_load(remaining, adapter, now)

    def _choose_ready(self, admit: Admit, now: float) -> RunnerState | None:
        candidates = [
            runner
            for runner in self.runners.values()
            if runner.is_ready(admit.adapter)
            and runner.has_room(now)
            and self._is_heard(runner, now)
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
        share = runner.in_flight / max(runner.said.capacity, 1)
        return share * (1.0 - 2.0 * self.batch_weight)

    def _grant(self, waiter: Waiter, runner: RunnerState, now: float) -> None:
        admit = waiter.admit
        self._worths.pop(runner.name, None)
        self.waiting.serve(waiter)
        pin = Pin(
            admit.request,
            runner.name,
            runner.said.incarnation,
            admit.adapter,
            admit.team,
        )
        self._add_pin(pin, admit.node, now)
        waited = now - waiter.arrived
        granted = Granted(
            admit.request,
            runner.name,
            runner.said.address,
            runner.said.incarnation,
            waited,
            now - waiter.missing_since if waiter.stalled else 0.0,
            runner.in_flight,
        )
        self._output.append(Reply(admit.node, granted))

    def _add_pin(self, pin: Pin, node: str, now: float) -> None:
        self._pins[pin.request] = pin
        self._pinned_at[pin.request] = now
        self._by_node.setdefault(node, set()).add(pin.request)
        self.runners[pin.runner].pin(pin)

    # -- loads ---------------------------------------------------------

    def _consider_load(
        self, group: list[Waiter], adapter: str, now: float
    ) -> None:
        holders = self._holders(adapter)
        if any(load.adapter == adapter for load in self._loads.values()):
            self._note_stall(group, holders, now)
            return
        if holders and not self._deserves_copy(group, holders, now):
            return
        self._note_stall(group, holders, now)
        if not holders and self._exhausted:
            return
        runner = self._choose_target(adapter, holders, now)
        if runner is not None:
            self._ask_load(runner, adapter, len(group), now)
        elif not holders:
            # Nothing can be displaced, so the rest of this pass need not
            # look again: under overload it would for hundreds of waiters.
            self._exhausted = True

    def _holders(self, adapter: str) -> list[RunnerState]:
        return [r for r in self.runners.values() if adapter in r.slots]

    def _note_stall(
        self, group: list[Waiter], holders: list[RunnerState], now: float
    ) -> None:
        if holders and any(h.is_ready(group[0].admit.adapter) for h in holders):
            return
        for waiter in group:
            if not waiter.stalled:
                waiter.stalled = True
                waiter.missing_since = now

    def _deserves_copy(
        self, group: list[Waiter], holders: list[RunnerState], now: float
    ) -> bool:
        """Whether those who wait are worth another copy of a hot adapter."""
        others = [r for r in self.runners.values() if r not in holders]
        spare = sum(
            r.said.capacity - r.in_flight for r in others if r.has_room(now)
        )
        if spare <= 0:
            return False
        capacity = max(r.said.capacity for r in holders)
        return len(group) >= max(self.limits.copy_margin * capacity, 1.0)

    def _choose_target(
        self, adapter: str, holders: list[RunnerState], now: float
    ) -> RunnerState | None:
        """Returns the runner whose worst adapter is worth the least."""
        best: tuple[float, float, str] | None = None
        chosen = None
        for runner in self.runners.values():
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
        step = _WORTH_STEP * self.batch_weight
        return worth // step if step else worth

    def _may_load(self, runner: RunnerState, adapter: str, now: float) -> bool:
        paused = self._failed_until.get((runner.name, adapter), now)
        return (
            runner.has_room(now)
            and self._is_heard(runner, now)
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
            for load in self._loads.values()
            if load.runner == runner.name and load.adapter not in runner.slots
        )
        if runner.free_slots() - reserved > 0:
            return 0.0
        victim = self._choose_victim(runner, now)
        if victim is None or reserved:
            return None
        return self._worth(victim, now)

    def _choose_victim(self, runner: RunnerState, now: float) -> str | None:
        if now < self.unloads_at:
            return None
        candidates = [
            adapter
            for adapter, slot in runner.slots.items()
            if adapter
            and slot.state == READY
            and not slot.is_pinned
            and not self.waiting.group(adapter)
        ]
        return min(
            candidates, key=lambda a: (self._worth(a, now), a), default=None
        )

    def _worth(self, adapter: str, now: float) -> float:
        copies = sum(1 for r in self.runners.values() if adapter in r.slots)
        return self.popularity.value(adapter, now) / max(copies, 1)

    def _ask_load(
        self, runner: RunnerState, adapter: str, urgency: int, now: float
    ) -> None:
        permit = f"{self.pool}#{self.epoch}#{next(self._ids)}"
        self._loads[permit] = _Load(permit, runner.name, adapter, now)
        self._worths.pop(runner.name, None)
        ask = AskPermit(permit, self.pool, self.service, urgency)
        self._output.append(ToAllocator(ask))

    @receive.register
    def _(self, message: GrantPermit, now: float) -> None:
        load = self._loads.get(message.permit)
        if load is None:
            give_back = ReturnPermit(message.permit, self.service)
            self._output.append(ToAllocator(give_back))
            return
        # Much may have changed while the permit was on its way; what it was
        # asked for may be served, given up, or without a slot.
        if not self._begin_load(load, now) and not self._begin_other(load, now):
            self._drop_load(load)
        self.dispatch(now)

    def _begin_load(self, load: _Load, now: float) -> bool:
        """Orders a load, or returns False if it can't or need not be."""
        runner = self.runners.get(load.runner)
        wanted = self.waiting.group(load.adapter)
        if runner is None or not wanted or load.adapter in runner.slots:
            return False
        is_full = runner.free_slots() <= 0
        victim = self._choose_victim(runner, now) if is_full else ""
        if victim is None:
            return False
        load.ordered = True
        runner.slots[load.adapter] = Slot(LOADING, now)
        if victim:
            load.victim = victim
            self._order_unload(runner, victim, now)
        else:
            self._order(LOAD, runner, load.adapter)
        return True

    def _begin_other(self, load: _Load, now: float) -> bool:
        """Uses a permit for the first other adapter that waits for one.

        A permit given back has already cost the store's rate.
        """
        self._worths.clear()
        del self._loads[load.permit]
        asked = {other.adapter for other in self._loads.values()}
        for group in self.waiting.groups():
            adapter = group[0].admit.adapter
            if not adapter or adapter in asked or self._holders(adapter):
                continue
            runner = self._choose_target(adapter, [], now)
            if runner is None:
                break
            other = _Load(load.permit, runner.name, adapter, load.asked_at)
            self._loads[load.permit] = other
            return self._begin_load(other, now)
        self._loads[load.permit] = load
        return False

    def _order_unload(
        self, runner: RunnerState, adapter: str, now: float
    ) -> None:
        slot = runner.slots[adapter]
        slot.state = UNLOADING
        slot.since = now
        self._order(UNLOAD, runner, adapter)

    def _order(self, action: str, runner: RunnerState, adapter: str) -> None:
        order = Order(
            action,
            runner.name,
            runner.said.address,
            adapter,
            self.epoch,
            self.limits.order_deadline,
        )
        self._output.append(SendOrder(order))

    def _drop_load(self, load: _Load) -> None:
        self._loads.pop(load.permit, None)
        give_back = ReturnPermit(load.permit, self.service)
        self._output.append(ToAllocator(give_back))

    def finish_order(self, order: Order, verdict: str, now: float) -> None:
        """Takes what became of an order.

        Args:
            order: the order.
            verdict: `done`, `failed` (it certainly had no effect) or
                `unknown`.
            now: the clock, in seconds.
        """
        runner = self.runners.get(order.runner)
        load = self._load_of(order)
        if load is not None:
            self._drop_load(load)
        if runner is None:
            return
        if order.action == LOAD:
            self._finish_load(runner, order.adapter, verdict, now)
        elif order.action == UNLOAD:
            self._finish_unload(runner, order.adapter, verdict, now)
        elif order.action == FENCE:
            self._fencing.discard(runner.name)
            if verdict != "done":
                return
            runner.fenced_epoch = self.epoch
            self._note_fenced(now)
        self.dispatch(now)

    def _note_fenced(self, now: float) -> None:
        fenced = all(
            runner.fenced_epoch == self.epoch
            for runner in self.runners.values()
        )
        if fenced:
            # The earlier owner's orders are refused from now on.
            self.starts_at = min(self.starts_at, now)

    def _load_of(self, order: Order) -> _Load | None:
        if order.action != LOAD:
            return None
        for load in self._loads.values():
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
            self._load_seconds += 0.2 * (took - self._load_seconds)
            slot.state = READY
            slot.since = now
            self._failed.pop(adapter, None)
            return
        if verdict == "failed":
            del runner.slots[adapter]
        else:
            slot.state = SUSPECT
            slot.since = now
        self._note_failed_load(runner, adapter, now)

    def _note_failed_load(
        self, runner: RunnerState, adapter: str, now: float
    ) -> None:
        failed = self._failed.get(adapter, 0) + 1
        self._failed[adapter] = failed
        pause = _FAILED_LOAD_PAUSE * 2 ** min(failed - 1, 5)
        self._failed_until[(runner.name, adapter)] = now + pause
        if failed < _FAILED_LOADS_MOST:
            return
        del self._failed[adapter]
        for waiter in list(self.waiting.group(adapter)):
            self._refuse(waiter, LOAD_FAILED, pause)

    def _finish_unload(
        self, runner: RunnerState, adapter: str, verdict: str, now: float
    ) -> None:
        slot = runner.slots.get(adapter)
        if slot is None:
            return
        if verdict == "done":
            runner.drop(adapter, now)
        else:
            slot.state = SUSPECT
            slot.since = now
        for load in list(self._loads.values()):
            if (load.runner, load.victim) == (runner.name, adapter):
                self._go_on_loading(load, runner, verdict)

    def _go_on_loading(
        self, load: _Load, runner: RunnerState, verdict: str
    ) -> None:
        """Loads into the slot that an unload has freed, or has not."""
        load.victim = ""
        if verdict == "done":
            self._order(LOAD, runner, load.adapter)
            return
        runner.slots.pop(load.adapter, None)
        self._drop_load(load)

    # -- ends of requests ----------------------------------------------

    @receive.register
    def _(self, message: Finished, now: float) -> None:
        pin = self._pins.get(message.request)
        if pin is None:
            self._forget_waiter(message.request)
            return
        began = self._pinned_at[message.request]
        runner = self.runners.get(pin.runner)
        self._end_pin(message.request)
        if runner is not None:
            self._note_verdict(runner, pin, message.verdict, now)
        if message.verdict not in (FAILED, ABSENT):
            took = now - began
            self._service_seconds += 0.05 * (took - self._service_seconds)
        self.dispatch(now)

    def _note_verdict(
        self, runner: RunnerState, pin: Pin, verdict: str, now: float
    ) -> None:
        if verdict == FAILED:
            runner.note_failure(now)
        elif verdict == ABSENT:
            slot = runner.slots.get(pin.adapter)
            if slot and not slot.pins:
                runner.drop(pin.adapter, now)
        else:
            runner.note_success()

    def _forget_waiter(self, request: str) -> None:
        waiter = self.waiting.find(request)
        if waiter is not None:
            self.waiting.remove(waiter)

    def _end_pin(self, request: str) -> None:
        pin = self._pins.pop(request)
        del self._pinned_at[request]
        for held in self._by_node.values():
            held.discard(request)
        runner = self.runners.get(pin.runner)
        if runner is not None:
            runner.unpin(pin)

    @receive.register
    def _(self, message: Holding, now: float) -> None:
        listed = {pin.request for pin in message.pins}
        for pin in message.pins:
            self._learn_pin(pin, message.node, now)
        held = self._by_node.get(message.node, set())
        for request in list(held - listed):
            # A grant may still be on its way to the node that lists its own.
            if now - self._pinned_at[request] > self.limits.report_lag:
                self._end_pin(request)
        self.dispatch(now)

    def _learn_pin(self, pin: Pin, node: str, now: float) -> None:
        runner = self.runners.get(pin.runner)
        if pin.request in self._pins or runner is None:
            return
        if runner.said.incarnation == pin.incarnation:
            self._add_pin(pin, node, now)

    def lose_node(self, node: str) -> None:
        """Notes that an entry node is gone.

        Its requests may still run, so each pin stays until the runner
        reports that nothing runs on that adapter (`_reconcile`).
        """
        for request in self._by_node.pop(node, set()):
            pin = self._pins.pop(request)
            del self._pinned_at[request]
            runner = self.runners.get(pin.runner)
            if runner is None:
                continue
            runner.unpin(pin)
            slot = runner.slots.get(pin.adapter)
            if slot is not None:
                slot.reported += 1
        for waiter in self.waiting.all():
            if waiter.admit.node == node:
                self.waiting.remove(waiter)

    # -- runners -------------------------------------------------------

    @receive.register
    def _(self, message: Announcement, now: float) -> None:
        runner = self.runners.get(message.name)
        if runner is None:
            self.runners[message.name] = self._meet(message, now)
        elif runner.said.incarnation != message.incarnation:
            self._replace(runner, message, now)
        elif message.sequence >= runner.said.sequence:
            runner.said = message
            runner.heard_at = now
            self._reconcile(runner, now)
        self.dispatch(now)

    def _meet(self, message: Announcement, now: float) -> RunnerState:
        runner = RunnerState(message, now)
        for adapter in message.resident:
            slot = Slot(READY, now)
            slot.reported = message.active.get(adapter, 0)
            runner.slots[adapter] = slot
        return runner

    def _replace(
        self, runner: RunnerState, message: Announcement, now: float
    ) -> None:
        """Notes that a runner restarted: its slots and requests are gone."""
        for pin in list(self._pins.values()):
            if pin.runner == runner.name:
                self._end_pin(pin.request)
        for load in list(self._loads.values()):
            if load.runner == runner.name:
                self._drop_load(load)
        self.runners[runner.name] = self._meet(message, now)

    def _reconcile(self, runner: RunnerState, now: float) -> None:
        """Brings what is believed in line with a report, which may lag."""
        said = runner.said
        for adapter, slot in list(runner.slots.items()):
            if not adapter or now - slot.since <= self.limits.report_lag:
                continue
            slot.reported = self._unexplained(slot, said.active.get(adapter, 0))
            if adapter in said.resident:
                if slot.state == SUSPECT:
                    slot.state = READY
            elif slot.state in (READY, SUSPECT) and not slot.is_pinned:
                del runner.slots[adapter]
        for adapter in said.resident:
            runner.learn(adapter, now, self.limits.report_lag)

    def _unexplained(self, slot: Slot, active: int) -> int:
        return max(active - len(slot.pins), 0)

    def _is_heard(self, runner: RunnerState, now: float) -> bool:
        return now - runner.heard_at <= self.limits.announce_patience

    # -- time ----------------------------------------------------------

    def tick(self, now: float) -> None:
        """Refuses who can no longer begin in time, and goes on."""
        for waiter in self.waiting.all():
            if now >= waiter.deadline:
                self._refuse(waiter, TOO_LATE, self._drain_seconds())
        for load in list(self._loads.values()):
            if not load.ordered and now - load.asked_at > _PERMIT_PATIENCE:
                # The allocator may have changed and lost the question.
                self._drop_load(load)
        self._forget_silent(now)
        self.dispatch(now)

    def _forget_silent(self, now: float) -> None:
        for runner in list(self.runners.values()):
            silent = now - runner.heard_at
            gone = silent > 10 * self.limits.announce_patience
            if gone and not runner.in_flight:
                del self.runners[runner.name]
        if not self.runners:
            for waiter in self.waiting.all():
                self._refuse(waiter, NO_RUNNER, 2.0)

    def fence(self) -> None:
        """Tells every runner this owner's epoch, so that it need not wait."""
        for runner in self.runners.values():
            fenced = runner.fenced_epoch == self.epoch
            if not fenced and runner.name not in self._fencing:
                self._fencing.add(runner.name)
                self._order(FENCE, runner, "")

    # -- refusals ------------------------------------------------------

    def _refuse(self, waiter: Waiter, reason: str, after: float) -> None:
        self.waiting.remove(waiter)
        self._refuse_now(waiter.admit, reason, after)

    def _refuse_now(self, admit: Admit, reason: str, after: float) -> None:
        refused = Refused(admit.request, reason, round(max(after, 0.1), 3))
        self._output.append(Reply(admit.node, refused))
