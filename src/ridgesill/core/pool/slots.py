"""What a pool's owner knows of one runner: slots, pins and health."""

import attrs

from ridgesill.core.pool.messages import Pin
from ridgesill.core.runners import Announcement

LOADING = "loading"
READY = "ready"
UNLOADING = "unloading"
SUSPECT = "suspect"

_EJECT_AFTER_FAILURES = 3
_FIRST_EJECTION_SECONDS = 2.0
_MAX_EJECTION_SECONDS = 60.0


@attrs.define
class Slot:
    """An adapter on a runner.

    Attributes:
        state: `loading`, `ready`, `unloading`, or `suspect` when an order's
            fate is unknown and only the runner's own report can tell.
        since: when it entered that state.
        pins: requests that use it, by id.
        reported: requests that the runner says it works on.
    """

    state: str
    since: float
    pins: dict[str, Pin] = attrs.Factory(dict)
    reported: int = 0

    @property
    def is_pinned(self) -> bool:
        """Whether a request uses it or may still use it."""
        return bool(self.pins) or self.reported > 0

    def enter(self, state: str, now: float) -> None:
        """Enters a state."""
        self.state = state
        self.since = now


@attrs.define
class RunnerState:
    """A runner as its owner sees it.

    Attributes:
        dropped: when adapters were unloaded; a report that lags still lists
            them.
    """

    announcement: Announcement
    announced_at: float
    slots: dict[str, Slot] = attrs.Factory(dict)
    in_flight: int = 0
    failures: int = 0
    ejected_until: float = float("-inf")
    fenced_epoch: int = 0
    removed_at: dict[str, float] = attrs.Factory(dict)

    @property
    def name(self) -> str:
        """The runner's name."""
        return self.announcement.name

    def has_room(self, now: float) -> bool:
        """Whether it may be given one more request."""
        if self.announcement.leaving or now < self.ejected_until:
            return False
        limit = (
            1
            if self.failures >= _EJECT_AFTER_FAILURES
            else self.announcement.capacity
        )
        return self.in_flight < limit

    def is_ready(self, adapter: str) -> bool:
        """Whether it holds an adapter (plain services hold the empty one)."""
        if not adapter:
            return True
        slot = self.slots.get(adapter)
        return slot is not None and slot.state == READY

    def pin(self, pin: Pin) -> None:
        """Adds a request."""
        slot = self.slots.get(pin.adapter)
        if slot is None:
            slot = Slot(READY, self.announced_at)
            self.slots[pin.adapter] = slot
        slot.pins[pin.request] = pin
        self.in_flight += 1

    def unpin(self, pin: Pin) -> None:
        """Ends a request, if it was there."""
        slot = self.slots.get(pin.adapter)
        if slot and slot.pins.pop(pin.request, None):
            self.in_flight -= 1

    def remove_adapter(self, adapter: str, now: float) -> None:
        """Notes that an adapter is no longer there."""
        self.slots.pop(adapter, None)
        self.removed_at[adapter] = now

    def add_reported(self, now: float, lag: float) -> None:
        """Takes the adapters that a report lists, but not those that left."""
        self.removed_at = {
            name: removed_time
            for name, removed_time in self.removed_at.items()
            if now - removed_time <= lag
        }
        for adapter in self.announcement.resident:
            if adapter not in self.slots and adapter not in self.removed_at:
                self.slots[adapter] = Slot(READY, now)

    def free_slots(self) -> int:
        """Returns how many slots hold nothing."""
        held = sum(1 for adapter in self.slots if adapter)
        return self.announcement.slots - held

    def record_failure(self, now: float) -> None:
        """Counts a failed request; too many in a row eject the runner."""
        self.failures += 1
        if self.failures >= _EJECT_AFTER_FAILURES:
            doublings = min(self.failures - _EJECT_AFTER_FAILURES, 5)
            pause = min(
                _FIRST_EJECTION_SECONDS * 2**doublings, _MAX_EJECTION_SECONDS
            )
            self.ejected_until = now + pause

    def record_success(self) -> None:
        """Ends a run of failures."""
        self.failures = 0
