"""The state of one runner: its slots, pins and health."""

import attrs

from ridgesill.core.pool.messages import Pin
from ridgesill.core.runners import Announcement

LOADING = "loading"
READY = "ready"
UNLOADING = "unloading"
SUSPECT = "suspect"

# Failures in a row that eject a runner. The ejection doubles with each further
# failure.
_EJECT_AFTER_FAILURES = 3
_FIRST_EJECTION_SECONDS = 2.0
_MAX_EJECTION_SECONDS = 60.0


@attrs.define
class Slot:
    """An adapter on a runner.

    Attributes:
        state: `loading`, `ready`, `unloading`, or `suspect` if the result of an
            order is unknown and only a report of the runner can show it.
        since: when it entered the state, in seconds.
        pins: the granted requests that use it, by id.
        reported: number of requests that the runner reports beyond the pins.
    """

    state: str
    since: float
    pins: dict[str, Pin] = attrs.Factory(dict)
    reported: int = 0

    @property
    def is_pinned(self) -> bool:
        """Whether a request uses the adapter or may still use it."""
        return bool(self.pins) or self.reported > 0

    def enter(self, state: str, now: float) -> None:
        """Enters a state at a time, in seconds."""
        self.state = state
        self.since = now


@attrs.define
class RunnerState:
    """A runner as the pool owner sees it; all times are in seconds.

    Attributes:
        announcement: the last announcement.
        announced_at: when it arrived.
        slots: the adapters on the runner, by name.
        in_flight: number of granted requests.
        failures: failed requests in a row.
        ejected_until: when the current or last ejection ends.
        fenced_epoch: the last epoch that the runner was fenced to.
        removed_at: when adapters were unloaded, by name; a report that lags
            still lists them.
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
        """Name of the runner."""
        return self.announcement.name

    def has_room(self, now: float) -> bool:
        """Whether the runner may be granted another request.

        After an ejection, only one request at a time until one succeeds.
        """
        if self.announcement.leaving or now < self.ejected_until:
            return False
        limit = (
            1
            if self.failures >= _EJECT_AFTER_FAILURES
            else self.announcement.capacity
        )
        return self.in_flight < limit

    def is_ready(self, adapter: str) -> bool:
        """Whether an adapter is ready; always if the name is empty (plain)."""
        if not adapter:
            return True
        slot = self.slots.get(adapter)
        return slot is not None and slot.state == READY

    def pin(self, pin: Pin) -> None:
        """Adds a granted request to the slot of its adapter."""
        slot = self.slots.get(pin.adapter)
        if slot is None:
            slot = Slot(READY, self.announced_at)
            self.slots[pin.adapter] = slot
        slot.pins[pin.request] = pin
        self.in_flight += 1

    def unpin(self, pin: Pin) -> None:
        """Removes a granted request, if the runner has it."""
        slot = self.slots.get(pin.adapter)
        if slot and slot.pins.pop(pin.request, None):
            self.in_flight -= 1

    def remove_adapter(self, adapter: str, now: float) -> None:
        """Removes an adapter that is no longer on the runner."""
        self.slots.pop(adapter, None)
        self.removed_at[adapter] = now

    def add_reported(self, now: float, lag: float) -> None:
        """Adds the adapters that the last report lists.

        Args:
            now: the current time, in seconds.
            lag: seconds by which a report may lag; adapters that were removed
                since then aren't added again.
        """
        self.removed_at = {
            name: removed_time
            for name, removed_time in self.removed_at.items()
            if now - removed_time <= lag
        }
        for adapter in self.announcement.resident:
            if adapter not in self.slots and adapter not in self.removed_at:
                self.slots[adapter] = Slot(READY, now)

    def free_slots(self) -> int:
        """Returns the number of free slots."""
        held = sum(1 for adapter in self.slots if adapter)
        return self.announcement.slots - held

    def record_failure(self, now: float) -> None:
        """Records a failed request; 3 in a row eject the runner."""
        self.failures += 1
        if self.failures >= _EJECT_AFTER_FAILURES:
            doublings = min(self.failures - _EJECT_AFTER_FAILURES, 5)
            pause = min(
                _FIRST_EJECTION_SECONDS * 2**doublings, _MAX_EJECTION_SECONDS
            )
            self.ejected_until = now + pause

    def record_success(self) -> None:
        """Records a successful request, which resets the failure count."""
        self.failures = 0
