"""Emulated engines and the connections to them."""

import asyncio
import collections
from collections.abc import Callable

import attrs
import msgspec

from ridgesill.adapters.http1.bodies import BodyReader
from ridgesill.adapters.http1.client import Connectivity
from ridgesill.core.fleet.messages import Heartbeat
from ridgesill.ports.dialect import RequestFacts
from ridgesill.ports.http import ChannelError, HttpRequest, ResponseHead
from ridgesill.standin.emulator.adapter_slots import AdapterSlots
from ridgesill.standin.emulator.batch import Batch, EngineShape, Sequence
from ridgesill.standin.emulator.messages import (
    encode_verdict,
    make_not_run_head,
    read_order,
    read_terms,
)

_AnswerPart = ResponseHead | bytes | ChannelError

_STATUS_OK = 200
_STATUS_MISDIRECTED = 421
# Time until an attempt to connect to a stopped engine fails.
_CONNECT_REFUSED_SECONDS = 0.003


@attrs.frozen
class AnswerPlan:
    """What an engine generates for a request.

    Attributes:
        facts: what the front knows about the request.
        events: number of events in the whole answer.
    """

    facts: RequestFacts
    events: int


class EmulatedEngine:
    """One incarnation of an engine.

    Args:
        name: unique name of the incarnation.
        address: address of the engine, which all its incarnations share.
        data_centre: name of the data centre.
        shape: capacity and speed.
        adapter_slots: artifacts that the engine holds.
        plans: answers to generate, by request id.
        versions: newest version of each adapter, updated from outside.
    """

    def __init__(
        self,
        name: str,
        address: str,
        data_centre: str,
        shape: EngineShape,
        adapter_slots: AdapterSlots,
        plans: dict[str, AnswerPlan],
        versions: dict[str, int],
    ) -> None:
        self.name = name
        self.address = address
        self.data_centre = data_centre
        self.adapter_slots = adapter_slots
        self.batch = Batch(shape)
        self.is_up = True
        self._plans = plans
        self._versions = versions
        self._sequence = 0

    def heartbeat(self, service: str) -> Heartbeat:
        """Returns the next heartbeat, with the artifacts held now.

        Args:
            service: service that the engine belongs to.
        """
        self._sequence += 1
        return Heartbeat(
            self.name,
            service,
            self.address,
            self.data_centre,
            self.batch.shape.slots,
            False,
            self._sequence,
            dict(self.adapter_slots.held),
        )

    def crash(self) -> None:
        """Stops the engine and breaks all streams in progress."""
        self.is_up = False
        self.batch.abort_all("the engine is gone")

    def handle_request(
        self, request: HttpRequest, exchange: "EmulatedExchange"
    ) -> None:
        """Starts a request, or answers 421 if the engine can't run it.

        The answer is 421 if the request names another incarnation or an
        artifact version that the engine doesn't hold.
        """
        name, terms = read_terms(request)
        plan = self._plans[name]
        artifact = plan.facts.artifact
        held = self.adapter_slots.held.get(artifact, 0)
        if terms.upstream != self.name or held < max(terms.version, 1):
            exchange.send_head(make_not_run_head(_STATUS_MISDIRECTED))
            return
        events_done = int(terms.last_event or 0)
        sequence = Sequence(
            name,
            artifact,
            plan.facts.parts,
            max(plan.events - events_done, 1),
            terms.priority,
            lambda number: exchange.send_event(events_done + number),
            exchange.end,
        )
        exchange.on_cancel = lambda: self.batch.cancel(name)
        self.batch.add(sequence)

    def handle_call(
        self, request: HttpRequest, exchange: "EmulatedExchange"
    ) -> None:
        """Executes a fleet order, or answers a request for a report."""
        order = read_order(request)
        if order is None:
            encoded_report = msgspec.json.encode(
                self.adapter_slots.make_report()
            )
            exchange.send_whole(_STATUS_OK, encoded_report)
            return
        newest = max(self._versions.get(order.artifact, 0), 1)
        using = self.batch.artifacts()
        verdict = self.adapter_slots.handle_order(order, using, newest)
        if order.artifact not in self.adapter_slots.held:
            self.batch.cache.discard_artifact(order.artifact)
        exchange.send_whole(encode_verdict(verdict), b"")


class EmulatedExchange(BodyReader):
    """One request and its answer; replaces `adapters.http1.client.Exchange`.

    Args:
        address: address of the upstream.
        delay: one-way network delay, in seconds.

    Attributes:
        on_cancel: called at the upstream when the front cancels.
    """

    def __init__(self, address: str, delay: float) -> None:
        self.on_cancel: Callable[[], None] = _do_nothing
        self._address = address
        self._delay = delay
        self._loop = asyncio.get_running_loop()
        self._parts: asyncio.Queue[_AnswerPart] = asyncio.Queue()
        self._in_transit: collections.deque[_AnswerPart] = collections.deque()
        self._has_head = False
        self._ended = False

    # -- the upstream's side -------------------------------------------

    def _send(self, part: _AnswerPart) -> None:
        # Timers that are due at the same time fire in any order; the queue
        # keeps the parts in the order in which they were sent.
        self._in_transit.append(part)
        self._loop.call_later(self._delay, self._deliver)

    def _deliver(self) -> None:
        self._parts.put_nowait(self._in_transit.popleft())

    def send_head(self, head: ResponseHead) -> None:
        """Sends an answer with a head and no body."""
        self._send(head)
        self._send(b"")

    def send_whole(self, status: int, body: bytes) -> None:
        """Sends a complete answer."""
        self._send(ResponseHead(status, ()))
        if body:
            self._send(body)
        self._send(b"")

    def send_event(self, number: int) -> None:
        """Sends an event of a stream, preceded by the head if it is first."""
        if not self._has_head:
            self._has_head = True
            self._send(ResponseHead(_STATUS_OK, ()))
        self._send(b"id: %d\ndata: x\n\n" % number)

    def end(self, reason: str) -> None:
        """Ends the answer, or breaks the connection if a reason is given."""
        self._ended = True
        if reason:
            step = "body" if self._has_head else "head"
            self._send(ChannelError(step, self._address, reason, True))
        else:
            self._send(b"")

    # -- the front's side ----------------------------------------------

    async def _receive(self) -> ResponseHead | bytes:
        part = await self._parts.get()
        if isinstance(part, ChannelError):
            raise part
        return part

    async def read_head(self) -> ResponseHead:
        """Waits for the head of the answer.

        Raises:
            ChannelError: the upstream broke the connection.
        """
        head = await self._receive()
        assert isinstance(head, ResponseHead)
        return head

    async def read_data(self) -> bytes:
        """Waits for the next chunk of the body; returns b"" at its end.

        Raises:
            ChannelError: the upstream broke the connection.
        """
        data = await self._receive()
        assert isinstance(data, bytes)
        return data

    def shed(self) -> None:
        """Stops the answer."""
        self.cancel()

    def _record_held(self, count: int) -> None:
        """Does nothing: emulated fronts have memory for all answers."""

    def _to_channel_error(self, step: str, detail: str) -> ChannelError:
        self.cancel()
        return ChannelError(step, self._address, detail, True)

    def cancel(self) -> None:
        """Tells the upstream to stop, unless the answer has ended."""
        if not self._ended:
            self._ended = True
            self._loop.call_later(self._delay, self.on_cancel)


class EmulatedChannels:
    """Replaces `adapters.http1.client.UpstreamChannels`.

    A channel is just the address of an engine; no connections are pooled.

    Args:
        engines: running and stopped engines, by address.
        delay: one-way network delay, in seconds.
    """

    def __init__(
        self, engines: dict[str, EmulatedEngine], delay: float
    ) -> None:
        self._engines = engines
        self._delay = delay

    async def send(
        self,
        address: str,
        request: HttpRequest,
        *,
        max_idle_seconds: float = 60.0,
        max_open: int = 0,
    ) -> EmulatedExchange:
        """Sends a request to an address.

        Raises:
            ChannelError: no engine runs at the address.
        """
        return self.start_exchange(await self.acquire(address), request)

    async def acquire(
        self,
        address: str,
        *,
        max_idle_seconds: float = 60.0,
        max_open: int = 0,
        is_patient: bool = False,
        is_new: bool = False,
    ) -> str:
        """Returns the address of a running engine, in place of a channel.

        Raises:
            ChannelError: no engine runs at the address.
        """
        engine = self._engines.get(address)
        if engine is None or not engine.is_up:
            await asyncio.sleep(_CONNECT_REFUSED_SECONDS)
            raise ChannelError("connect", address, "refused", False)
        return address

    def has_open(self, address: str) -> bool:
        """Whether an engine runs at the address."""
        engine = self._engines.get(address)
        return engine is not None and engine.is_up

    def release_unused(self, channel: str) -> None:
        """Does nothing: no channel is kept."""

    def start_exchange(
        self,
        channel: str,
        request: HttpRequest,
        *,
        is_held: bool = False,
    ) -> EmulatedExchange:
        """Sends a request to an address that `take` returned."""
        engine = self._engines[channel]
        exchange = EmulatedExchange(channel, self._delay)
        is_call = request.target.startswith((b"/order", b"/report"))
        take = engine.handle_call if is_call else engine.handle_request
        asyncio.get_running_loop().call_later(
            self._delay, take, request, exchange
        )
        return exchange

    async def test(self, address: str) -> Connectivity:
        """Returns that nothing is known: no front is cut off here."""
        return Connectivity.UNKNOWN

    async def is_refused(self, address: str) -> bool:
        """Returns whether no engine runs at an address."""
        engine = self._engines.get(address)
        return engine is None or not engine.is_up

    def discard_idle(self, address: str) -> None:
        """Does nothing: no channel is kept."""

    def prune(self) -> None:
        """Does nothing: no channel is kept."""


def _do_nothing() -> None:
    """Default for `EmulatedExchange.on_cancel`."""
