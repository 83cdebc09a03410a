"""Opens test connections to upstreams that may be unreachable."""

import asyncio
import random

from eliot import log_message

from ridgesill.adapters.http1.client import Connectivity, UpstreamChannels
from ridgesill.app.slot_client import SlotClient, SlotEnd
from ridgesill.core.serving.choice import Chooser, Requirements

# How often it is decided which upstreams to test, in seconds.
_INTERVAL_SECONDS = 0.1
# An upstream that owes answers and has sent nothing for this long is tested, in
# seconds: a connection that hangs shows no error for a while.
_SILENT_SECONDS = 0.6
# How long a test of a brittle upstream keeps its slot, in seconds, before the
# time for which a new connection takes one. Connections come up within it.
_SLOT_SECONDS = 0.05
# How long it waits for a slot, in seconds, and its priority.
_SLOT_PATIENCE_SECONDS = 0.15
_SLOT_PRIORITY = 0
# Other upstreams that are tested to tell an upstream that has ended from a
# front that is cut off.
_COMPARED_UPSTREAMS = 4


class ReachabilityTests:
    """Tests upstreams and records which of them can be reached.

    Args:
        chooser: knows the upstreams and what became of requests to them.
        channels: opens the connections.
        slots: grants the slots that connections may take.
    """

    def __init__(
        self, chooser: Chooser, channels: UpstreamChannels, slots: SlotClient
    ) -> None:
        self._chooser = chooser
        self._channels = channels
        self._slots = slots
        self._reachability = chooser.reachability
        self._loop = asyncio.get_running_loop()
        self._tests: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Starts the tests that are due, until cancelled."""
        while True:
            await asyncio.sleep(_INTERVAL_SECONDS)
            self.start_due()

    def start_due(self) -> None:
        """Starts the tests that are due now."""
        now = self._loop.time()
        self._chooser.silence.update(now)
        silent = self._chooser.outcomes.list_silent(now, _SILENT_SECONDS)
        if not silent and not self._reachability.has_doubts:
            return
        upstreams = self._chooser.view.upstreams
        for name in self._reachability.choose_tests(
            list(upstreams), silent, now, self._list_urgent()
        ):
            test = self._loop.create_task(
                self.test(name, upstreams[name].address)
            )
            self._tests.add(test)
            test.add_done_callback(self._tests.discard)

    def _list_urgent(self) -> list[str]:
        """Returns the unreachable upstreams of services that are cut off."""
        upstreams = self._chooser.view.upstreams
        services: dict[str, list[str]] = {}
        for name in self._reachability.list_unreachable():
            if name in upstreams:
                services.setdefault(upstreams[name].service, []).append(name)
        return [
            name
            for service, names in services.items()
            if self._chooser.is_cut_off(Requirements(service))
            for name in names
        ]

    async def test(self, upstream: str, address: str) -> None:
        """Tests an upstream now and records the outcome."""
        connectivity = await self._connect(address)
        if connectivity is Connectivity.REACHABLE:
            self.record_reached(upstream)
        elif connectivity is not Connectivity.UNKNOWN:
            self.record_unreachable(upstream, address, connectivity)

    async def has_ended(self, address: str) -> bool:
        """Whether the upstream at an address has ended.

        Its host then refuses connections. So may all hosts while this front is
        cut off, so that another upstream must be reachable.
        """
        if not await self._acquire_slot(address):
            return False
        if not await self._channels.is_refused(address):
            return False
        others = [
            upstream
            for upstream in self._chooser.view.upstreams.values()
            if upstream.address != address
        ]
        if not others:
            return True
        compared = random.sample(others, min(_COMPARED_UPSTREAMS, len(others)))
        tests = [self._connect(upstream.address) for upstream in compared]
        return Connectivity.REACHABLE in await asyncio.gather(*tests)

    async def is_there(self, address: str) -> bool:
        """Whether the process of an upstream runs, as far as is known.

        One that is leaving may refuse connections and still finish the requests
        on those it has.
        """
        connectivity = await self._connect(address)
        if connectivity is Connectivity.REFUSED:
            return self._channels.has_open(address)
        return connectivity.may_accept

    async def _connect(self, address: str) -> Connectivity:
        """Opens and closes a test connection, unless it could do harm."""
        if not await self._acquire_slot(address):
            return Connectivity.UNKNOWN
        return await self._channels.test(address)

    async def _acquire_slot(self, address: str) -> bool:
        """Whether a test connection may take a slot for a moment."""
        if not self._chooser.brittle:
            return True
        upstream = next(
            (
                each
                for each in self._chooser.view.upstreams.values()
                if each.address == address
            ),
            None,
        )
        if upstream is None or not self._slots.needs_permit(upstream.service):
            return True
        slot = await self._slots.acquire(
            [upstream], _SLOT_PRIORITY, _SLOT_PATIENCE_SECONDS
        )
        log_message(
            "upstream:test_connection",
            upstream=upstream.name,
            peer=address,
            is_granted=slot is not None,
        )
        if slot is None:
            return False
        self._loop.call_later(
            _SLOT_SECONDS, self._slots.end, slot, SlotEnd.CONNECTED
        )
        return True

    def record_reached(self, upstream: str) -> None:
        """Records that an upstream has been reached."""
        now = self._loop.time()
        if self._reachability.record_reached(upstream, now):
            self._chooser.outcomes.readmit(upstream)
            log_message("upstream:reachable", upstream=upstream)

    def record_unreachable(
        self, upstream: str, address: str, connectivity: Connectivity
    ) -> None:
        """Records that a connection to an upstream failed."""
        if connectivity is Connectivity.SILENT:
            # Connections that are already open hang as well.
            self._channels.discard_idle(address)
        if self._reachability.record_unreachable(upstream):
            log_message(
                "upstream:unreachable",
                upstream=upstream,
                peer=address,
                connectivity=connectivity.value,
                is_isolated=self._reachability.is_isolated,
            )
