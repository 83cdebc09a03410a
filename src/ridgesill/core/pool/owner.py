"""The owner of a pool: assigns requests to runners and decides on loads.

One node decides for all runners of a service in a data centre, so slots,
requests in flight and queues are counted in one place. The owner does no input
or output: messages are passed to its methods, and `take_output` returns the
messages to send.
"""

from functools import singledispatchmethod
from typing import Any

from ridgesill.core.pool.context import PoolLimits, PoolState
from ridgesill.core.pool.hints import DigestBuilder
from ridgesill.core.pool.loads import Loads
from ridgesill.core.pool.messages import (
    ABSENT,
    FAILED,
    NO_RUNNER,
    QUEUE_FULL,
    SHED,
    TOO_LATE,
    Admit,
    Digest,
    Finished,
    Granted,
    GrantPermit,
    Holding,
    Pin,
    Reply,
)
from ridgesill.core.pool.pins import Pins
from ridgesill.core.pool.placement import Placement
from ridgesill.core.pool.popularity import Popularity
from ridgesill.core.pool.slots import (
    LOADING,
    READY,
    SUSPECT,
    RunnerState,
    Slot,
)
from ridgesill.core.pool.waiting import Waiter
from ridgesill.core.runners import FENCE, Announcement, Order

# Weight of the newest request in the mean service time.
_SMOOTHING = 0.05


class PoolOwner:
    """Decides for one pool; all times are in seconds.

    Args:
        pool: name of the pool.
        service: name of the service that its runners belong to.
        epoch: the fencing number of this ownership.
        starts_at: from when orders and grants are allowed; before that, the
            lease of an earlier owner may still be valid.
        unloads_at: from when unloads are allowed; before that, entry nodes may
            not yet have reported the requests that they hold here.
        limits: limits and tuning parameters.
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
        limits = limits or PoolLimits()
        self._state = PoolState(
            pool,
            service,
            epoch,
            starts_at,
            max(unloads_at, starts_at),
            limits,
            batch_weight,
            Popularity(limits.half_life),
        )
        self.pool = pool
        self.service = service
        self.epoch = epoch
        self.limits = limits
        self.runners = self._state.runners
        self.waiting = self._state.waiting
        self._placement = Placement(self._state)
        self._loads = Loads(self._state, self._placement)
        self._pins = Pins(self._state)
        self._digests = DigestBuilder(pool, epoch)
        self._fencing: set[str] = set()
        self._mean_service_seconds = 1.0

    @property
    def starts_at(self) -> float:
        """From when this owner grants and sends orders, in seconds."""
        return self._state.starts_at

    def take_output(self) -> list[Any]:
        """Returns the outputs since the last call."""
        output = self._state.output
        self._state.output = []
        return output

    def build_digest(
        self, receivers: frozenset[str], now: float
    ) -> Digest | None:
        """Returns the digest to send to entry nodes; None if none is due."""
        resident = frozenset(
            adapter
            for runner in self.runners.values()
            for adapter, slot in runner.slots.items()
            if slot.state in (READY, LOADING)
        )
        spare = sum(
            max(r.announcement.capacity - r.in_flight, 0)
            for r in self.runners.values()
            if not r.announcement.leaving
        )
        waiting = len(self.waiting)
        return self._digests.build(resident, spare, waiting, receivers, now)

    def entry_nodes(self) -> set[str]:
        """Returns the entry nodes with a waiting or granted request here."""
        waiting = {waiter.admit.node for waiter in self.waiting.all()}
        return waiting | self._pins.nodes

    def is_idle(self) -> bool:
        """Whether no load, granted request or waiting request is left."""
        return not (len(self._pins) or self._state.loads or len(self.waiting))

    def cancel_unordered_loads(self) -> None:
        """Cancels loads that have not been ordered, before a handover."""
        self._loads.cancel_unordered()

    def refuse_waiting(self) -> None:
        """Refuses all waiting requests, before a handover."""
        for waiter in self.waiting.all():
            self._state.refuse_waiter(waiter, NO_RUNNER, 1.0)

    @singledispatchmethod
    def receive(self, message: Any, now: float) -> None:
        """Handles a message from an entry node, a runner or the allocator.

        Raises:
            TypeError: the message is of a type that pools don't handle.
        """
        raise TypeError(
            f"no pool owner handles messages of type {type(message).__name__}"
        )

    # -- admission -----------------------------------------------------

    @receive.register
    def _(self, message: Admit, now: float) -> None:
        self._state.popularity.record(message.adapter, now)
        if not self._has_live_runner(message, now):
            self._state.refuse_request(message, NO_RUNNER, 2.0)
            return
        wait = self._estimate_wait(message, now)
        if wait > message.patience:
            self._state.refuse_request(message, TOO_LATE, wait)
            return
        waiter = self.waiting.add(message, now)
        if len(self.waiting) > self.limits.queue:
            self._shed_least_important(waiter, now)
        self.dispatch(now)

    def _has_live_runner(self, message: Admit, now: float) -> bool:
        return any(
            not runner.announcement.leaving and self._state.is_live(runner, now)
            for runner in self.runners.values()
        )

    def _shed_least_important(self, newest: Waiter, now: float) -> None:
        least = self.waiting.find_least_important()
        if least is None:
            return
        reason = QUEUE_FULL if least is newest else SHED
        self._state.refuse_waiter(least, reason, self._estimate_drain_seconds())

    def _estimate_wait(self, message: Admit, now: float) -> float:
        """Estimates the seconds until a request starts."""
        wait = max(self.starts_at - now, 0.0)
        ready = [
            runner
            for runner in self.runners.values()
            if runner.is_ready(message.adapter)
        ]
        if any(runner.has_room(now) for runner in ready):
            return wait
        wait += self._estimate_queue_seconds(message)
        if not ready and message.adapter:
            wait += self._loads.seconds
        return wait

    def _estimate_queue_seconds(self, message: Admit) -> float:
        capacity = sum(r.announcement.capacity for r in self.runners.values())
        spare = capacity - len(self._pins)
        if spare > 0:
            return 0.0
        ahead = sum(
            1
            for waiter in self.waiting.all()
            if waiter.admit.priority <= message.priority
        )
        return (ahead + 1) * self._mean_service_seconds / max(capacity, 1)

    def _estimate_drain_seconds(self) -> float:
        capacity = sum(r.announcement.capacity for r in self.runners.values())
        waiting = len(self.waiting) + 1
        return max(waiting * self._mean_service_seconds / max(capacity, 1), 0.5)

    # -- dispatch ------------------------------------------------------

    def dispatch(self, now: float) -> None:
        """Grants runners to requests and requests loads of missing adapters."""
        if now < self.starts_at:
            return
        self._placement.begin_pass()
        self._loads.begin_pass()
        for group in self.waiting.groups():
            self._dispatch_group(group, now)

    def _dispatch_group(self, group: list[Waiter], now: float) -> None:
        adapter = group[0].admit.adapter
        for waiter in list(group):
            runner = self._placement.choose_ready(waiter.admit, now)
            if runner is None:
                break
            self._grant(waiter, runner, now)
        remaining = self.waiting.group(adapter)
        if remaining and adapter:
            self._loads.request_load(remaining, adapter, now)

    def _grant(self, waiter: Waiter, runner: RunnerState, now: float) -> None:
        admit = waiter.admit
        self._placement.invalidate(runner.name)
        self.waiting.serve(waiter)
        pin = Pin(
            admit.request,
            runner.name,
            runner.announcement.incarnation,
            admit.adapter,
            admit.team,
        )
        self._pins.add(pin, admit.node, now)
        waited = now - waiter.arrived_at
        granted = Granted(
            admit.request,
            runner.name,
            runner.announcement.address,
            runner.announcement.incarnation,
            waited,
            now - waiter.missing_since if waiter.is_stalled else 0.0,
            runner.in_flight,
        )
        self._state.output.append(Reply(admit.node, granted))

    # -- orders --------------------------------------------------------

    @receive.register
    def _(self, message: GrantPermit, now: float) -> None:
        self._loads.handle_permit(message, now)
        self.dispatch(now)

    def handle_order_result(
        self, order: Order, verdict: str, now: float
    ) -> None:
        """Handles the result of an order.

        Args:
            order: the order.
            verdict: `done`, `failed` (it certainly had no effect) or
                `unknown`.
            now: the current time, in seconds.
        """
        if order.action == FENCE:
            self._finish_fence(order, verdict, now)
        else:
            self._loads.handle_result(order, verdict, now)
        self.dispatch(now)

    def _finish_fence(self, order: Order, verdict: str, now: float) -> None:
        self._fencing.discard(order.runner)
        runner = self.runners.get(order.runner)
        if runner is not None and verdict == "done":
            runner.fenced_epoch = self.epoch
            self._start_once_all_fenced(now)

    def _start_once_all_fenced(self, now: float) -> None:
        is_fenced = all(
            runner.fenced_epoch == self.epoch
            for runner in self.runners.values()
        )
        if is_fenced:
            # All runners now refuse the orders of earlier owners.
            self._state.starts_at = min(self.starts_at, now)

    # -- ends of requests ----------------------------------------------

    @receive.register
    def _(self, message: Finished, now: float) -> None:
        pin = self._pins.get(message.request)
        if pin is None:
            self._remove_waiter(message.request)
            return
        service_seconds = self._pins.age(message.request, now)
        runner = self.runners.get(pin.runner)
        self._pins.end(message.request)
        if runner is not None:
            self._apply_verdict(runner, pin, message.verdict, now)
        if message.verdict not in (FAILED, ABSENT):
            change = service_seconds - self._mean_service_seconds
            self._mean_service_seconds += _SMOOTHING * change
        self.dispatch(now)

    def _apply_verdict(
        self, runner: RunnerState, pin: Pin, verdict: str, now: float
    ) -> None:
        if verdict == FAILED:
            runner.record_failure(now)
        elif verdict == ABSENT:
            slot = runner.slots.get(pin.adapter)
            if slot and not slot.pins:
                runner.remove_adapter(pin.adapter, now)
        else:
            runner.record_success()

    def _remove_waiter(self, request: str) -> None:
        waiter = self.waiting.find(request)
        if waiter is not None:
            self.waiting.remove(waiter)

    @receive.register
    def _(self, message: Holding, now: float) -> None:
        self._pins.reconcile(message, now)
        self.dispatch(now)

    def handle_lost_node(self, node: str) -> None:
        """Drops the waiting requests of a lost entry node.

        Its granted requests may still run; the reports of runners count them.
        """
        self._pins.handle_lost_node(node)
        for waiter in self.waiting.all():
            if waiter.admit.node == node:
                self.waiting.remove(waiter)

    # -- runners -------------------------------------------------------

    @receive.register
    def _(self, message: Announcement, now: float) -> None:
        runner = self.runners.get(message.name)
        if runner is None:
            self.runners[message.name] = self._make_runner_state(message, now)
        elif runner.announcement.incarnation != message.incarnation:
            self._replace_restarted(runner, message, now)
        elif message.sequence >= runner.announcement.sequence:
            runner.announcement = message
            runner.announced_at = now
            self._reconcile(runner, now)
        self.dispatch(now)

    def _make_runner_state(
        self, message: Announcement, now: float
    ) -> RunnerState:
        runner = RunnerState(message, now)
        for adapter in message.resident:
            slot = Slot(READY, now)
            slot.reported = message.active.get(adapter, 0)
            runner.slots[adapter] = slot
        return runner

    def _replace_restarted(
        self, runner: RunnerState, message: Announcement, now: float
    ) -> None:
        """Replaces a restarted runner, which has lost slots and requests."""
        self._pins.end_on_runner(runner.name)
        self._loads.cancel_on_runner(runner.name)
        self.runners[runner.name] = self._make_runner_state(message, now)

    def _reconcile(self, runner: RunnerState, now: float) -> None:
        """Reconciles the known slots with a report, which may lag."""
        report = runner.announcement
        for adapter, slot in list(runner.slots.items()):
            if not adapter or now - slot.since <= self.limits.report_lag:
                continue
            slot.reported = self._count_unexplained(
                slot, report.active.get(adapter, 0)
            )
            if adapter in report.resident:
                if slot.state == SUSPECT:
                    slot.state = READY
            elif slot.state in (READY, SUSPECT) and not slot.is_pinned:
                del runner.slots[adapter]
        runner.add_reported(now, self.limits.report_lag)

    def _count_unexplained(self, slot: Slot, active: int) -> int:
        return max(active - len(slot.pins), 0)

    # -- time ----------------------------------------------------------

    def tick(self, now: float) -> None:
        """Refuses requests that can't start in time and dispatches others."""
        for waiter in self.waiting.all():
            if now >= waiter.deadline:
                self._state.refuse_waiter(
                    waiter, TOO_LATE, self._estimate_drain_seconds()
                )
        self._loads.tick(now)
        self._prune_silent_runners(now)
        self.dispatch(now)

    def _prune_silent_runners(self, now: float) -> None:
        for runner in list(self.runners.values()):
            silent_seconds = now - runner.announced_at
            is_gone = silent_seconds > 10 * self.limits.announce_patience
            if is_gone and not runner.in_flight:
                del self.runners[runner.name]
        if not self.runners:
            for waiter in self.waiting.all():
                self._state.refuse_waiter(waiter, NO_RUNNER, 2.0)

    def fence(self) -> None:
        """Orders every runner to accept only orders of this epoch or later.

        Once all have done so, the owner need not wait for the end of the
        earlier lease.
        """
        for runner in self.runners.values():
            is_fenced = runner.fenced_epoch == self.epoch
            if not is_fenced and runner.name not in self._fencing:
                self._fencing.add(runner.name)
                self._loads.order(FENCE, runner, "")
