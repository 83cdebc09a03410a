"""The owner's side of the permits for slots of brittle upstreams."""

import asyncio
import itertools
from collections.abc import Callable, Iterable

import attrs
from eliot import log_message

from ridgesill.core.fleet.brittle_bounds import HeardBrittle
from ridgesill.core.fleet.messages import NOT_BRITTLE, Upstream
from ridgesill.core.fleet.registry import Registry
from ridgesill.core.fleet.slot_permits import (
    HeldSlots,
    RequestSlot,
    SlotAnswer,
    SlotPermits,
)

# How long a new owner waits for the reports of all fronts before it grants
# slots, in seconds. A front learns of it within half a second.
_REPORTS_SECONDS = 1.0
_UNCERTAIN = SlotAnswer(is_certain=False)


@attrs.define(eq=False)
class _Waiting:
    """A request that waits for a slot.

    Attributes:
        holder: identity of its front's process.
        request: as the front sent it.
        order: of its arrival.
        granted: set to the name of the upstream.
    """

    holder: str
    request: RequestSlot
    order: int
    granted: asyncio.Future[str]

    @property
    def rank(self) -> tuple[int, int]:
        """What decides who gets the next slot; the lowest is first."""
        return self.request.priority, self.order


class SlotDesk:
    """Grants the slots of brittle upstreams while this node owns the fleet.

    Args:
        registry: returns the upstreams; None while another node owns them.
        count_fronts: returns the number of fronts that there should be.
        notify_news: called when there is news for the fronts.
    """

    def __init__(
        self,
        registry: Callable[[], Registry | None],
        count_fronts: Callable[[], int],
        notify_news: Callable[[], None],
    ) -> None:
        self._registry = registry
        self._count_fronts = count_fronts
        self._notify_news = notify_news
        self._loop = asyncio.get_running_loop()
        self._permits = SlotPermits()
        self._waiting: list[_Waiting] = []
        self._orders = itertools.count()
        self._began_at = float("-inf")

    def begin(self, upstreams: Iterable[Upstream]) -> None:
        """Begins without knowledge of what fronts hold, as a new owner does."""
        self._permits = SlotPermits()
        self._permits.start_full(upstreams, self._loop.time())
        self._began_at = self._loop.time()

    def end(self) -> None:
        """Answers those that wait when this node gives up the fleet."""
        for waiting in self._waiting:
            if not waiting.granted.done():
                waiting.granted.set_result("")

    def update(self, registry: Registry) -> None:
        """Frees what silent fronts held; called a few times a second."""
        if registry.brittle_bounds or self._waiting:
            self._permits.prune(registry.upstreams, self._loop.time())
            self._serve_waiting()

    def list_full(self, service: str) -> list[str]:
        """Returns the brittle upstreams of a service without a free slot."""
        registry = self._registry()
        if registry is None or not registry.brittle_bounds:
            return []
        now = self._loop.time()
        return [
            upstream.name
            for upstream in registry.upstreams.values()
            if upstream.service == service
            and upstream.brittle != NOT_BRITTLE
            and not self._permits.has_room(upstream, now)
        ]

    def handle_heard(self, heard: HeardBrittle) -> None:
        """Records what an upstream has stated to a front."""
        registry = self._registry()
        if registry is None:
            return
        sent_at = self._loop.time() - max(heard.sent_ago, 0.0)
        changed = registry.record_brittle(heard.upstream, heard.bound, sent_at)
        if not changed:
            return
        # These were serving before they became brittle.
        self._permits.start_full(changed, self._loop.time())
        log_message(
            "fleet:brittle",
            upstream=heard.upstream,
            bound=heard.bound,
            service=changed[0].service,
            changed=len(changed),
        )
        self._notify_news()

    def handle_held(self, sender: str, held: HeldSlots) -> None:
        """Applies a front's report."""
        registry = self._registry()
        if registry is None:
            return
        counted = {
            name: self._permits.count_held(name) for name in held.rejected
        }
        now = self._loop.time()
        self._permits.report(sender, held, registry.upstreams, now)
        for name, count in held.rejected.items():
            self._log_rejected(registry, sender, name, count, counted[name])
        self._serve_waiting()

    def _log_rejected(
        self,
        registry: Registry,
        sender: str,
        name: str,
        count: int,
        held: int,
    ) -> None:
        """Logs rejections that no permit accounts for, and what they change."""
        upstream = registry.upstreams.get(name)
        if upstream is None:
            return
        now = self._loop.time()
        service = upstream.service
        overheads = self._permits.overheads
        log_message(
            "fleet:slot_rejected",
            upstream=name,
            count=count,
            held=held,
            front=sender,
            limit=self._permits.find_limit(upstream, now),
            settle=round(overheads.settle_seconds(service, now), 4),
            linger=round(overheads.linger_seconds(service, now), 4),
        )

    async def provide(self, sender: str, request: RequestSlot) -> SlotAnswer:
        """Grants a slot, once one is free, or answers that there is none."""
        registry = self._registry()
        if registry is None or not self._knows_holders():
            return _UNCERTAIN
        free = self._find_unbounded(registry, request)
        if free and self._is_new():
            # Fronts ask only where they know an upstream to be brittle.
            return _UNCERTAIN
        if free:
            return SlotAnswer(free)
        granted = self._grant(sender, request)
        if granted or self._is_queue_full(registry, request):
            return self._make_answer(registry, granted)
        future = self._loop.create_future()
        waiting = _Waiting(sender, request, next(self._orders), future)
        self._waiting.append(waiting)
        try:
            async with asyncio.timeout(request.patience):
                return self._make_answer(registry, await future)
        except TimeoutError:
            return SlotAnswer()
        finally:
            self._waiting.remove(waiting)

    def _make_answer(self, registry: Registry, granted: str) -> SlotAnswer:
        """Returns an answer with what is known of the upstream's service."""
        upstream = registry.upstreams.get(granted)
        if upstream is None:
            return SlotAnswer(granted)
        now = self._loop.time()
        service = upstream.service
        overheads = self._permits.overheads
        return SlotAnswer(
            granted,
            settle_seconds=overheads.settle_seconds(service, now),
            linger_seconds=overheads.linger_seconds(service, now),
        )

    def _is_new(self) -> bool:
        """Whether some fronts may not have told this owner what they know."""
        return self._loop.time() < self._began_at + _REPORTS_SECONDS

    def _knows_holders(self) -> bool:
        if not self._is_new():
            return True
        return self._permits.count_reporters() >= max(self._count_fronts(), 1)

    def _find_unbounded(self, registry: Registry, request: RequestSlot) -> str:
        """Returns the first upstream that isn't brittle; empty for none."""
        for name in request.upstreams:
            known = registry.upstreams.get(name)
            if known is not None and known.brittle == NOT_BRITTLE:
                return name
        return ""

    def _grant(self, sender: str, request: RequestSlot) -> str:
        registry = self._registry()
        if registry is None:
            return ""
        upstreams = [
            registry.upstreams[name]
            for name in request.upstreams
            if name in registry.upstreams
        ]
        now = self._loop.time()
        return self._permits.grant(
            sender, request.number, upstreams, now, request.connected
        )

    def _is_queue_full(self, registry: Registry, request: RequestSlot) -> bool:
        """Whether more requests wait than slots can become free for."""
        names = set(request.upstreams)
        slots = sum(
            registry.upstreams[name].slots
            for name in names
            if name in registry.upstreams
        )
        competing = sum(
            not names.isdisjoint(waiting.request.upstreams)
            for waiting in self._waiting
        )
        return competing >= slots

    def _serve_waiting(self) -> None:
        full: set[str] = set()
        for waiting in sorted(self._waiting, key=lambda w: w.rank):
            if waiting.granted.done():
                continue
            if full.issuperset(waiting.request.upstreams):
                continue
            granted = self._grant(waiting.holder, waiting.request)
            if granted:
                waiting.granted.set_result(granted)
            else:
                full.update(waiting.request.upstreams)
