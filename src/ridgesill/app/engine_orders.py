"""Sends orders to engines, one at a time to each, through lease holders.

An engine counts the orders that it accepts, and refuses an order that names
another count. Once a later order was accepted, an order whose answer was lost
can therefore no longer be carried out. Sending the order again at once with the
same count shows whether the engine accepted it.
"""

import asyncio
from collections.abc import Awaitable, Callable

import attrs
from eliot import log_message

from ridgesill.adapters.http1.client import UpstreamChannels
from ridgesill.app.unknown_field_log import UnknownFieldLog
from ridgesill.core.fleet.engine_capacity import fits_from_empty
from ridgesill.core.fleet.engines import Engine, UnansweredLoad
from ridgesill.core.fleet.orders import (
    Action,
    Delivery,
    EngineReport,
    FleetOrder,
    OrderAnswer,
    OrderVerdict,
)
from ridgesill.core.fleet.sent_orders import (
    UNANSWERED_SECONDS,
    SentOrder,
    SentOrders,
)
from ridgesill.ports.dialect import EngineCalls
from ridgesill.ports.http import (
    MAX_REPORT_BYTES,
    ChannelError,
    HttpRequest,
    ResponseHead,
)
from ridgesill.ports.telemetry import BufferedTelemetry, Telemetry

# Time within which an engine answers an order, in seconds. After that the
# answer counts as lost, and another copy of the order is sent.
ORDER_TIMEOUT_SECONDS = 0.05
# Number of copies of an order that are sent while none is answered. If all are
# lost, the engine gets no orders for more than a second. With three of ten
# answers lost, that happened to one order in forty with three copies.
_MAX_COPIES = 5
# A report may be some hundred milliseconds old. It is trusted only if no order
# was accepted for this long before it, in seconds.
_REPORT_LAG_SECONDS = 0.8
# How long an engine that cannot be reached gets no orders, in seconds.
_SUSPEND_SECONDS = 1.0
# How long an engine gets no orders after it reported a load that is unknown
# here, in seconds. A base model takes 0.4 to 2 seconds.
_BUSY_SECONDS = 0.2


# The verdict on an order without an answer; None if the engine certainly did
# not get it.
_VERDICT_BY_DELIVERY = {
    Delivery.NO_ANSWER: OrderVerdict.UNKNOWN,
    Delivery.UNREACHABLE: OrderVerdict.MISDIRECTED,
    Delivery.NOT_SENT: None,
}


@attrs.frozen
class Authority:
    """The lease under which an order is sent to an engine.

    Attributes:
        holder: the VM that delivers the order.
        token: the fencing token of its lease.
        stamp: the newest stamp received from the VM, in seconds on its own
            clock.
    """

    holder: str
    token: int
    stamp: float = 0.0


@attrs.frozen
class _PlannedOrder:
    """An order that was decided on, and of which several copies may be sent.

    Attributes:
        action: whether the artifact is loaded or unloaded.
        artifact: the artifact that the order names.
        version: the version to load; 0 for the newest.
        revision: the order count of the engine when the order was decided on.
    """

    action: Action
    artifact: str
    version: int
    revision: int

    def to_order(self, engine: Engine, authority: Authority) -> FleetOrder:
        """Returns a copy of the order for the holder that delivers it."""
        return FleetOrder(
            self.action,
            engine.name,
            engine.address,
            self.artifact,
            self.version,
            authority.holder,
            authority.token,
            self.revision,
        )


# Has the holder of a lease deliver an order, and returns the engine's answer.
Deliver = Callable[[FleetOrder, Authority], Awaitable[OrderAnswer]]


class EngineOrders:
    """Sends orders to engines and requests their reports.

    Args:
        channels: the HTTP connections to the engines.
        calls: encodes orders and report requests, and decodes the answers.
        authority: returns the lease under which an engine can be sent an order
            now, or None if there is none. It is called just before each copy of
            an order is sent.
        deliver: has the holder of a lease deliver an order.
        handle_later_start: called with an engine and the report of a later
            start under the same name.
        handle_leaving: called with an engine that announces that it is leaving.
    """

    def __init__(
        self,
        channels: UpstreamChannels,
        calls: EngineCalls,
        authority: Callable[[Engine], Authority | None],
        deliver: Deliver,
        handle_later_start: Callable[[Engine, EngineReport], None] = (
            lambda _engine, _report: None
        ),
        handle_leaving: Callable[[Engine], None] = lambda _engine: None,
    ) -> None:
        self._channels = channels
        self._calls = calls
        self._authority = authority
        self._deliver = deliver
        self._handle_later_start = handle_later_start
        self._handle_leaving = handle_leaving
        self.telemetry: Telemetry = BufferedTelemetry()
        self.unknown_field_log = UnknownFieldLog(lambda: self.telemetry)
        self._sent = SentOrders()
        self._locks: dict[str, asyncio.Lock] = {}
        self._loop = asyncio.get_running_loop()

    def discard_engine(self, name: str) -> None:
        """Discards the state kept for an engine that no longer exists."""
        self._locks.pop(name, None)

    def late_orders(self, instance: str, start: int) -> list[SentOrder]:
        """Returns orders to other starts that a start may still carry out."""
        return self._sent.late_orders(instance, start, self._loop.time())

    def prune_expired(self) -> None:
        """Discards orders that can no longer be carried out."""
        self._sent.prune_expired(self._loop.time())

    async def send_order(
        self,
        action: Action,
        engine: Engine,
        artifact: str,
        version: int = 0,
        *,
        again: bool = False,
    ) -> OrderVerdict:
        """Sends an order until it is answered or the copies are used up.

        Args:
            action: whether to load or to unload the artifact.
            engine: the engine that gets the order.
            artifact: the artifact to load or unload.
            version: the version to load; 0 for the newest.
            again: whether the order was accepted before and only its progress
                is queried.

        Returns:
            The outcome; REFUSED also if no copy could be sent.
        """
        lock = self._locks.setdefault(engine.name, asyncio.Lock())
        async with lock:
            if engine.is_superseded:
                return OrderVerdict.MISDIRECTED
            if engine.revision is None and not await self._update_from_report(
                engine
            ):
                return OrderVerdict.REFUSED
            # All copies name this order count, whatever is learned meanwhile. A
            # copy without a count was carried out seconds late, after its slot
            # had been given to another adapter.
            planned = _PlannedOrder(
                action, artifact, version, engine.revision or 0
            )
            verdict = await self._send_copies(planned, engine, again)
            if verdict is None:
                # No copy was sent, so the engine has refused nothing and its
                # state is left unchanged.
                return OrderVerdict.REFUSED
            if not again:
                self._apply_verdict(engine, planned, verdict)
            return verdict

    async def _send_copies(
        self, planned: _PlannedOrder, engine: Engine, again: bool
    ) -> OrderVerdict | None:
        """Sends copies of an order until one is answered.

        Returns:
            The verdict; None if no copy was sent.
        """
        is_unknown = False
        for _ in range(_MAX_COPIES):
            verdict = await self._send_once(planned, engine, again)
            if verdict is None:
                # This copy was not sent; earlier ones may have been.
                break
            if verdict is OrderVerdict.REFUSED and is_unknown:
                # This copy was refused, but the engine may have accepted an
                # earlier one.
                engine.last_order_at = self._loop.time()
                break
            if verdict is not OrderVerdict.UNKNOWN:
                return verdict
            is_unknown = True
        return OrderVerdict.UNKNOWN if is_unknown else None

    async def _send_once(
        self, planned: _PlannedOrder, engine: Engine, again: bool
    ) -> OrderVerdict | None:
        """Sends one copy of an order if that is safe.

        Returns:
            The verdict; None if the copy was certainly not sent.
        """
        authority = self._authority(engine)
        if authority is None or engine.is_superseded:
            return None
        now = self._loop.time()
        if not engine.is_order_safe(
            planned.action, planned.artifact, planned.revision, now
        ):
            return None
        order = planned.to_order(engine, authority)
        if not self._is_safe_after_restart(engine, order, now):
            return None
        sent = self._sent.record(engine.instance, engine.start, order, now)
        verdict = await self._send(order, authority, engine, again)
        if verdict is not OrderVerdict.UNKNOWN:
            self._sent.discard(engine.instance, sent)
        return verdict

    def _is_safe_after_restart(
        self, engine: Engine, order: FleetOrder, now: float
    ) -> bool:
        """Returns whether an order does no harm if the engine restarts.

        The order and earlier ones without an answer may then run one after
        another on an empty engine that starts at order count 0, before the
        restart is noticed here. Four such loads in a row exceeded three adapter
        slots.

        If the order is unsafe, the engine is suspended.
        """
        chain = self._sent.possible_loads_after(engine.instance, order, now)
        if fits_from_empty(engine.spec, chain):
            return True
        engine.suspended_until = now + _SUSPEND_SECONDS
        log_message(
            "fleet:order_held_back",
            action=order.action.value,
            upstream=order.upstream,
            peer=order.address,
            artifact=order.artifact,
            revision=order.revision,
            unanswered_in_a_row=len(chain),
        )
        return False

    def _apply_verdict(
        self, engine: Engine, planned: _PlannedOrder, verdict: OrderVerdict
    ) -> None:
        """Updates the engine with the outcome of an order.

        It is not called for a query of an order that was accepted before.
        """
        now = self._loop.time()
        if verdict is OrderVerdict.TAKEN or (
            verdict is OrderVerdict.HOLDS and planned.action is Action.UNLOAD
        ):
            engine.record_accepted_order(planned.revision, now)
        elif verdict is OrderVerdict.UNKNOWN:
            if planned.action is Action.LOAD:
                expires_at = now + UNANSWERED_SECONDS
                load = UnansweredLoad(expires_at, planned.revision)
                engine.unanswered[planned.artifact] = load
            mark_revision_unknown(engine, "no_answer")
            engine.suspended_until = now + _SUSPEND_SECONDS
        elif verdict is OrderVerdict.MISDIRECTED:
            engine.suspended_until = now + _SUSPEND_SECONDS
        elif verdict is OrderVerdict.REFUSED and not engine.is_busy():
            engine.suspended_until = now + _REPORT_LAG_SECONDS
            # A report that was made before the refusal would show the same
            # count.
            engine.last_order_at = now
            mark_revision_unknown(engine, "refused")

    async def _send(
        self,
        order: FleetOrder,
        authority: Authority,
        engine: Engine,
        again: bool,
    ) -> OrderVerdict | None:
        """Has a copy of an order delivered, and logs the outcome.

        Returns:
            The verdict; None if the copy was certainly not sent.
        """
        began_at = self._loop.time()
        # These are logged as they were when the order was sent.
        places = engine.used_adapter_slots()
        unanswered = len(engine.unanswered)
        answer = await self._deliver(order, authority)
        verdict = self._read_verdict(answer)
        outcome = verdict.value if verdict else answer.delivery.value
        self.telemetry.record_order(order.action.value, outcome)
        log_message(
            "fleet:order",
            action=order.action.value,
            upstream=order.upstream,
            peer=order.address,
            artifact=order.artifact,
            version=order.version,
            revision=order.revision,
            holder=order.holder,
            token=order.token,
            again=again,
            places=places,
            unanswered=unanswered,
            verdict=outcome,
            status=answer.status,
            detail=answer.detail,
            seconds=round(self._loop.time() - began_at, 4),
        )
        if answer.leaves:
            self._handle_leaving(engine)
        return verdict

    def _read_verdict(self, answer: OrderAnswer) -> OrderVerdict | None:
        """Returns the verdict that an answer or its absence stands for."""
        if answer.delivery is Delivery.ANSWERED:
            return self._calls.read_verdict(answer.status)
        return _VERDICT_BY_DELIVERY[answer.delivery]

    async def _exchange(
        self, address: str, request: HttpRequest
    ) -> tuple[ResponseHead, bytes]:
        """Sends a request to an engine, and returns the answer."""
        exchange = await self._channels.send(address, request)
        try:
            head = await exchange.read_head()
            return head, await exchange.read_rest(MAX_REPORT_BYTES)
        finally:
            exchange.cancel()

    async def refresh_report(self, engine: Engine) -> None:
        """Requests a report before an order needs it, if one is needed."""
        lock = self._locks.setdefault(engine.name, asyncio.Lock())
        async with lock:
            if engine.needs_report(self._loop.time()):
                await self._update_from_report(engine)

    async def _update_from_report(self, engine: Engine) -> bool:
        """Requests a report of an engine and updates the engine with it.

        Returns:
            Whether the order count is known, so that orders can be sent.
        """
        known_revision = engine.revision
        engine.report_requested_at = self._loop.time()
        wait = engine.last_order_at + _REPORT_LAG_SECONDS - self._loop.time()
        if known_revision is None and wait > 0:
            await asyncio.sleep(wait)
        report = await self._request_report(engine)
        if report is None:
            engine.suspended_until = self._loop.time() + _SUSPEND_SECONDS
            return False
        if report.start > engine.start > 0:
            engine.is_superseded = True
            self._handle_later_start(engine, report)
            return False
        if known_revision is not None and report.revision < known_revision:
            # The report predates the last order; another one is requested
            # later.
            return True
        engine.apply_report(report, self._loop.time())
        if engine.revision is None:
            engine.suspended_until = self._loop.time() + _BUSY_SECONDS
            return False
        return True

    async def _request_report(self, engine: Engine) -> EngineReport | None:
        """Requests a report; returns None if there is no usable answer."""
        request = self._calls.write_report_request(engine.name, engine.address)
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_SECONDS):
                head, body = await self._exchange(engine.address, request)
            if self._calls.is_leaving(head):
                self._handle_leaving(engine)
            if head.status != 200:
                raise ValueError(
                    f"report request answered with status {head.status}"
                )
            report = self._calls.read_report(body)
        except (ChannelError, TimeoutError, ValueError) as error:
            log_message(
                "fleet:no_report",
                upstream=engine.name,
                peer=engine.address,
                detail=str(error) or "no answer in time",
            )
            return None
        if report.unknown:
            self.unknown_field_log.record(
                engine.name, engine.address, "report", report.unknown
            )
        log_message(
            "fleet:report",
            upstream=engine.name,
            peer=engine.address,
            start=report.start,
            revision=report.revision,
            busy=report.busy,
            resident=len(report.resident),
            incoming=len(report.incoming),
        )
        return report


def mark_revision_unknown(engine: Engine, reason: str) -> None:
    """Has the engine's order count requested before the next order.

    Args:
        engine: the engine.
        reason: the reason for the log.
    """
    log_message(
        "fleet:revision_forgotten",
        upstream=engine.name,
        peer=engine.address,
        revision=engine.revision,
        reason=reason,
        unanswered=list(engine.unanswered),
    )
    engine.revision = None
