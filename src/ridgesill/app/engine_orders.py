"""Orders to engines: one at a time to each, through who holds their lease.

An engine counts the orders it has taken, and refuses one that expects another
count. So an order whose answer was lost can't be carried out late once a later
one was taken; repeating it at once with the same count settles its fate.
"""

import asyncio
from collections.abc import Awaitable, Callable

import attrs
from eliot import log_message

from ridgesill.adapters.http1.client import UpstreamChannels
from ridgesill.app.unknown_words import UnknownWords
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
from ridgesill.ports.http import ChannelError, HttpRequest, ResponseHead
from ridgesill.ports.telemetry import BufferedTelemetry, Telemetry

# Within which an engine answers an order, in seconds, unless the answer is
# lost; another copy goes out after that.
ORDER_TIMEOUT_SECONDS = 0.05
# How often an order without an answer is given in all. When all are lost, the
# engine gets no orders for a second and more; with three in ten lost, that
# happened to one order in forty at three times.
_TIMES = 5
# A report may be some hundred milliseconds old: it is believed only when no
# order was taken for this long.
_REPORT_LAG_SECONDS = 0.8
# For how long an engine that can't be reached gets no orders, in seconds.
_SUSPEND_SECONDS = 1.0
# For how long an engine gets no orders that reports one under way which isn't
# known here, in seconds; base models take 0.4 to 2 s.
_BUSY_SECONDS = 0.2


# What a delivery without an answer says of an order; None where the engine
# surely never got it.
_VERDICTS = {
    Delivery.NO_ANSWER: OrderVerdict.UNKNOWN,
    Delivery.UNREACHABLE: OrderVerdict.MISDIRECTED,
    Delivery.NOT_SENT: None,
}


@attrs.frozen
class Authority:
    """Through whom orders to an engine are given.

    Attributes:
        holder: the VM that delivers them.
        token: the fencing token of its lease.
        stamp: the last that was heard from it, on its own clock.
    """

    holder: str
    token: int
    stamp: float = 0.0


@attrs.frozen
class _Wanted:
    """An order as it was decided, of which copies are sent.

    Attributes:
        revision: the count of orders at which it was decided.
    """

    action: Action
    artifact: str
    version: int
    revision: int

    def to_order(self, engine: Engine, authority: Authority) -> FleetOrder:
        """Returns a copy for who delivers it."""
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


# Has the holder of a lease deliver an order; returns the engine's answer.
Deliver = Callable[[FleetOrder, Authority], Awaitable[OrderAnswer]]


class EngineOrders:
    """Gives orders.

    Args:
        channels: to engines.
        calls: how orders and reports are worded.
        authority: returns through whom an engine can be ordered now, or None
            when it can't; asked just before each order leaves.
        deliver: has an order delivered.
        hear_later_start: called with an engine and the report of a later start
            under its name.
        hear_leaving: called with an engine that says that it leaves.
    """

    def __init__(
        self,
        channels: UpstreamChannels,
        calls: EngineCalls,
        authority: Callable[[Engine], Authority | None],
        deliver: Deliver,
        hear_later_start: Callable[[Engine, EngineReport], None] = (
            lambda _engine, _report: None
        ),
        hear_leaving: Callable[[Engine], None] = lambda _engine: None,
    ) -> None:
        self._channels = channels
        self._calls = calls
        self._authority = authority
        self._deliver = deliver
        self._handle_later_start = hear_later_start
        self._handle_leaving = hear_leaving
        self.telemetry: Telemetry = BufferedTelemetry()
        self.unknown_words = UnknownWords(lambda: self.telemetry)
        self._sent = SentOrders()
        self._locks: dict[str, asyncio.Lock] = {}
        self._loop = asyncio.get_running_loop()

    def discard_engine(self, name: str) -> None:
        """Forgets an engine that is gone."""
        self._locks.pop(name, None)

    def late_orders(self, instance: str, start: int) -> list[SentOrder]:
        """Returns orders of earlier starts that a start may carry out."""
        return self._sent.late_orders(instance, start, self._loop.time())

    def prune_expired(self) -> None:
        """Forgets orders that can't be carried out any more."""
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
        """Gives an order until its fate is known.

        Args:
            action: what to do.
            engine: which engine.
            artifact: what to load or unload.
            version: to load; 0 for the newest.
            again: whether it only asks how an order taken before stands.
        """
        lock = self._locks.setdefault(engine.name, asyncio.Lock())
        async with lock:
            if engine.is_superseded:
                return OrderVerdict.MISDIRECTED
            if engine.revision is None and not await self._learn(engine):
                return OrderVerdict.REFUSED
            # All copies name this count, whatever is learned meanwhile: a copy
            # that named none came seconds late, when its place was given away.
            wanted = _Wanted(action, artifact, version, engine.revision or 0)
            verdict = await self._repeat(wanted, engine, again)
            if verdict is None:
                # Nothing was sent: the engine has refused nothing.
                return OrderVerdict.REFUSED
            if not again:
                self._apply_verdict(engine, wanted, verdict)
            return verdict

    async def _repeat(
        self, wanted: _Wanted, engine: Engine, again: bool
    ) -> OrderVerdict | None:
        """Sends copies of an order until one is answered; None if none was."""
        unknown = False
        for _ in range(_TIMES):
            verdict = await self._send_once(wanted, engine, again)
            if verdict is None:
                # Nothing was sent, or no more than what came before.
                break
            if verdict is OrderVerdict.REFUSED and unknown:
                # Refused now, but a copy before it may have been taken.
                engine.last_order_at = self._loop.time()
                break
            if verdict is not OrderVerdict.UNKNOWN:
                return verdict
            unknown = True
        return OrderVerdict.UNKNOWN if unknown else None

    async def _send_once(
        self, wanted: _Wanted, engine: Engine, again: bool
    ) -> OrderVerdict | None:
        """Sends one copy, if it may leave; None if it surely wasn't sent."""
        authority = self._authority(engine)
        if authority is None or engine.is_superseded:
            return None
        now = self._loop.time()
        if not engine.is_order_safe(
            wanted.action, wanted.artifact, wanted.revision, now
        ):
            return None
        order = wanted.to_order(engine, authority)
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
        """Whether an order does no harm should the engine start again.

        Together with those without an answer it may then run on an empty
        engine, from its first count on, before anybody hears of the restart:
        four loads in a row took one of three places over them.
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
        self, engine: Engine, wanted: _Wanted, verdict: OrderVerdict
    ) -> None:
        """Notes what an order did to an engine.

        A question how an earlier order stands changes nothing there.
        """
        now = self._loop.time()
        if verdict is OrderVerdict.TAKEN or (
            verdict is OrderVerdict.HOLDS and wanted.action is Action.UNLOAD
        ):
            engine.record_accepted_order(wanted.revision, now)
        elif verdict is OrderVerdict.UNKNOWN:
            if wanted.action is Action.LOAD:
                until = now + UNANSWERED_SECONDS
                load = UnansweredLoad(until, wanted.revision)
                engine.unanswered[wanted.artifact] = load
            mark_revision_unknown(engine, "no_answer")
            engine.suspended_until = now + _SUSPEND_SECONDS
        elif verdict is OrderVerdict.MISDIRECTED:
            engine.suspended_until = now + _SUSPEND_SECONDS
        elif verdict is OrderVerdict.REFUSED and not engine.is_busy():
            engine.suspended_until = now + _REPORT_LAG_SECONDS
            # A report from before the refusal would tell the same count.
            engine.last_order_at = now
            mark_revision_unknown(engine, "refused")

    async def _send(
        self,
        order: FleetOrder,
        authority: Authority,
        engine: Engine,
        again: bool,
    ) -> OrderVerdict | None:
        """Returns what became of an order; None if it surely wasn't sent."""
        began = self._loop.time()
        # What was believed as it left, not once its answer is there.
        places = engine.used_adapter_slots()
        unanswered = len(engine.unanswered)
        answer = await self._deliver(order, authority)
        verdict = self._read(answer)
        said = verdict.value if verdict else answer.delivery.value
        self.telemetry.record_order(order.action.value, said)
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
            verdict=said,
            status=answer.status,
            detail=answer.detail,
            seconds=round(self._loop.time() - began, 4),
        )
        if answer.leaves:
            self._handle_leaving(engine)
        return verdict

    def _read(self, answer: OrderAnswer) -> OrderVerdict | None:
        if answer.delivery is Delivery.ANSWERED:
            return self._calls.read_verdict(answer.status)
        return _VERDICTS[answer.delivery]

    async def _exchange(
        self, address: str, request: HttpRequest
    ) -> tuple[ResponseHead, bytes]:
        exchange = await self._channels.send(address, request)
        try:
            head = await exchange.read_head()
            return head, await exchange.read_rest()
        finally:
            exchange.cancel()

    async def refresh_report(self, engine: Engine) -> None:
        """Learns what an engine holds before an order needs it."""
        lock = self._locks.setdefault(engine.name, asyncio.Lock())
        async with lock:
            if engine.needs_report(self._loop.time()):
                await self._learn(engine)

    async def _learn(self, engine: Engine) -> bool:
        """Learns how many orders an engine has taken, and what it holds."""
        known = engine.revision
        engine.report_requested_at = self._loop.time()
        wait = engine.last_order_at + _REPORT_LAG_SECONDS - self._loop.time()
        if known is None and wait > 0:
            await asyncio.sleep(wait)
        report = await self._ask_report(engine)
        if report is None:
            engine.suspended_until = self._loop.time() + _SUSPEND_SECONDS
            return False
        if report.start > engine.start > 0:
            engine.is_superseded = True
            self._handle_later_start(engine, report)
            return False
        if known is not None and report.revision < known:
            # From before the last order; it is asked again.
            return True
        engine.apply_report(report, self._loop.time())
        if engine.revision is None:
            engine.suspended_until = self._loop.time() + _BUSY_SECONDS
            return False
        return True

    async def _ask_report(self, engine: Engine) -> EngineReport | None:
        request = self._calls.write_report_request(engine.name, engine.address)
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_SECONDS):
                head, body = await self._exchange(engine.address, request)
            if self._calls.is_leaving(head):
                self._handle_leaving(engine)
            if head.status != 200:
                raise ValueError(f"status {head.status}")
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
            self.unknown_words.note(
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
    """Has an engine asked how many orders it has taken before the next one."""
    log_message(
        "fleet:revision_forgotten",
        upstream=engine.name,
        peer=engine.address,
        revision=engine.revision,
        reason=reason,
        unanswered=list(engine.unanswered),
    )
    engine.revision = None
