"""Pins: the requests that use adapters, and the entry nodes they came from."""

from ridgesill.core.pool.context import PoolState
from ridgesill.core.pool.messages import Holding, Pin


class Pins:
    """The requests that were granted a runner of a pool, by request id."""

    def __init__(self, state: PoolState) -> None:
        self._state = state
        self._pins: dict[str, Pin] = {}
        self._pinned_at: dict[str, float] = {}
        self._by_node: dict[str, set[str]] = {}

    def __len__(self) -> int:
        return len(self._pins)

    @property
    def nodes(self) -> set[str]:
        """The entry nodes that were granted a runner."""
        return set(self._by_node)

    def get(self, request: str) -> Pin | None:
        """Returns the pin of a request; None if it has none."""
        return self._pins.get(request)

    def age(self, request: str, now: float) -> float:
        """Returns the seconds since a request was granted its runner."""
        return now - self._pinned_at[request]

    def add(self, pin: Pin, node: str, now: float) -> None:
        """Adds a pin that an entry node holds."""
        self._pins[pin.request] = pin
        self._pinned_at[pin.request] = now
        self._by_node.setdefault(node, set()).add(pin.request)
        self._state.runners[pin.runner].pin(pin)

    def end(self, request: str) -> None:
        """Removes the pin of a request."""
        pin = self._pins.pop(request)
        del self._pinned_at[request]
        for held in self._by_node.values():
            held.discard(request)
        runner = self._state.runners.get(pin.runner)
        if runner is not None:
            runner.unpin(pin)

    def end_on_runner(self, runner: str) -> None:
        """Removes all pins on a runner that has lost its requests."""
        for pin in list(self._pins.values()):
            if pin.runner == runner:
                self.end(pin.request)

    def reconcile(self, message: Holding, now: float) -> None:
        """Adds the pins that a node lists and removes those it doesn't."""
        listed = {pin.request for pin in message.pins}
        for pin in message.pins:
            self._add_reported(pin, message.node, now)
        held = self._by_node.get(message.node, set())
        for request in list(held - listed):
            # The node may not have received a recent grant yet.
            if self.age(request, now) > self._state.limits.report_lag:
                self.end(request)

    def handle_lost_node(self, node: str) -> None:
        """Replaces the pins of a lost node by the reports of the runners.

        Its requests may still be running, so an adapter stays loaded until its
        runner reports no more requests for it.
        """
        for request in self._by_node.pop(node, set()):
            pin = self._pins.pop(request)
            del self._pinned_at[request]
            runner = self._state.runners.get(pin.runner)
            if runner is None:
                continue
            runner.unpin(pin)
            slot = runner.slots.get(pin.adapter)
            if slot is not None:
                slot.reported += 1

    def _add_reported(self, pin: Pin, node: str, now: float) -> None:
        runner = self._state.runners.get(pin.runner)
        if pin.request in self._pins or runner is None:
            return
        if runner.announcement.incarnation == pin.incarnation:
            self.add(pin, node, now)
