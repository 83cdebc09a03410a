"""Emulated engines and the channels to them."""

import asyncio
import collections
from collections.abc import Callable

import attrs
import msgspec

from ridgesill.core.fleet.messages import Heartbeat
from ridgesill.ports.dialect import RequestFacts
from ridgesill.ports.http import ChannelError, HttpRequest, ResponseHead
from ridgesill.standin.emulator.batch import Batch, EngineShape, Sequence
from ridgesill.standin.emulator.messages import (
    not_run,
    read_order,
    read_terms,
    write_verdict,
)
from ridgesill.standin.emulator.places import Places

_Part = ResponseHead | bytes | ChannelError

_OK = 200
_MISDIRECTED = 421
# What a connection that is refused costs, in seconds.
_REFUSED_SECONDS = 0.003


@attrs.frozen
class AnswerPlan:
    """What an engine makes for a request.

    Attributes:
        events: of the whole answer.
    """

    facts: RequestFacts
    events: int


class EmulatedEngine:
    """One incarnation of an engine.

    Args:
        name: of the incarnation.
        address: where it is reached.
        data_centre: where it stands.
        shape: how it reads and makes tokens.
        places: what it holds.
        plans: of all requests, by id.
        versions: the newest of each adapter.
    """

    def __init__(
        self,
        name: str,
        address: str,
        data_centre: str,
        shape: EngineShape,
        places: Places,
        plans: dict[str, AnswerPlan],
        versions: dict[str, int],
    ) -> None:
        self.name = name
        self.address = address
        self.data_centre = data_centre
        self.places = places
        self.batch = Batch(shape)
        self.is_up = True
        self._plans = plans
        self._versions = versions
        self._sequence = 0

    def heartbeat(self, service: str) -> Heartbeat:
        """Returns what it says of itself now."""
        self._sequence += 1
        return Heartbeat(
            self.name,
            service,
            self.address,
            self.data_centre,
            self.batch.shape.slots,
            False,
            self._sequence,
            dict(self.places.held),
        )

    def crash(self) -> None:
        """Ends it and cuts its answers."""
        self.is_up = False
        self.batch.end_all("the engine is gone")

    def serve(self, request: HttpRequest, exchange: "EmulatedExchange") -> None:
        """Begins a request, or says that it does not run."""
        name, terms = read_terms(request)
        plan = self._plans[name]
        artifact = plan.facts.artifact
        held = self.places.held.get(artifact, 0)
        if terms.upstream != self.name or held < max(terms.version, 1):
            exchange.put_head(not_run(_MISDIRECTED))
            return
        done = int(terms.last_event or 0)
        sequence = Sequence(
            name,
            artifact,
            plan.facts.parts,
            max(plan.events - done, 1),
            terms.priority,
            lambda number: exchange.put_event(done + number),
            exchange.end,
        )
        exchange.on_cancel = lambda: self.batch.cancel(name)
        self.batch.add(sequence)

    def take_call(
        self, request: HttpRequest, exchange: "EmulatedExchange"
    ) -> None:
        """Carries out an order, or reports."""
        order = read_order(request)
        if order is None:
            said = msgspec.json.encode(self.places.report())
            exchange.put_whole(_OK, said)
            return
        newest = max(self._versions.get(order.artifact, 0), 1)
        using = self.batch.artifacts()
        verdict = self.places.order(order, using, newest)
        if order.artifact not in self.places.held:
            self.batch.cache.drop(order.artifact)
        exchange.put_whole(write_verdict(verdict), b"")


class EmulatedExchange:
    """One request and its answer; as `adapters.http1.client.Exchange`.

    Args:
        address: the upstream's.
        delay: one way, in seconds.
    """

    def __init__(self, address: str, delay: float) -> None:
        self.on_cancel: Callable[[], None] = _do_nothing
        self._address = address
        self._delay = delay
        self._loop = asyncio.get_running_loop()
        self._parts: asyncio.Queue[_Part] = asyncio.Queue()
        self._link: collections.deque[_Part] = collections.deque()
        self._has_head = False
        self._ended = False

    # -- the upstream's side -------------------------------------------

    def _put(self, part: _Part) -> None:
        # Timers of one moment fire in any order; the link keeps it.
        self._link.append(part)
        self._loop.call_later(self._delay, self._deliver)

    def _deliver(self) -> None:
        self._parts.put_nowait(self._link.popleft())

    def put_head(self, head: ResponseHead) -> None:
        """Sends a head without a body."""
        self._put(head)
        self._put(b"")

    def put_whole(self, status: int, body: bytes) -> None:
        """Sends a whole answer."""
        self._put(ResponseHead(status, ()))
        if body:
            self._put(body)
        self._put(b"")

    def put_event(self, number: int) -> None:
        """Sends an event of a stream, and the head before the first."""
        if not self._has_head:
            self._has_head = True
            self._put(ResponseHead(_OK, ()))
        self._put(b"id: %d\ndata: x\n\n" % number)

    def end(self, reason: str) -> None:
        """Ends the answer, or cuts it for a reason."""
        self._ended = True
        if reason:
            step = "body" if self._has_head else "head"
            self._put(ChannelError(step, self._address, reason, True))
        else:
            self._put(b"")

    # -- the front's side ----------------------------------------------

    async def _next(self) -> ResponseHead | bytes:
        part = await self._parts.get()
        if isinstance(part, ChannelError):
            raise part
        return part

    async def read_head(self) -> ResponseHead:
        """Returns the head of the answer."""
        head = await self._next()
        assert isinstance(head, ResponseHead)
        return head

    async def read_data(self) -> bytes:
        """Returns the next part of the body, empty at its end."""
        data = await self._next()
        assert isinstance(data, bytes)
        return data

    async def read_rest(self) -> bytes:
        """Returns what is left of the body."""
        parts = []
        while data := await self.read_data():
            parts.append(data)
        return b"".join(parts)

    def cancel(self) -> None:
        """Has the upstream stop, unless it has ended."""
        if not self._ended:
            self._ended = True
            self._loop.call_later(self._delay, self.on_cancel)


class EmulatedChannels:
    """Carries requests and orders; as `adapters.http1.client.UpstreamChannels`.

    Args:
        engines: by address.
        delay: one way, in seconds.
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
        """Sends a request."""
        return self.start_exchange(await self.acquire(address), request)

    async def acquire(
        self, address: str, *, max_idle_seconds: float = 60.0, max_open: int = 0
    ) -> str:
        """Returns an address that takes requests, in place of a channel."""
        engine = self._engines.get(address)
        if engine is None or not engine.is_up:
            await asyncio.sleep(_REFUSED_SECONDS)
            raise ChannelError("connect", address, "refused", False)
        return address

    def release_unused(self, channel: str) -> None:
        """Does nothing: no channel is kept."""

    def start_exchange(
        self, channel: str, request: HttpRequest
    ) -> EmulatedExchange:
        """Sends a request to an address that was taken."""
        engine = self._engines[channel]
        exchange = EmulatedExchange(channel, self._delay)
        is_call = request.target.startswith((b"/order", b"/report"))
        take = engine.take_call if is_call else engine.serve
        asyncio.get_running_loop().call_later(
            self._delay, take, request, exchange
        )
        return exchange

    async def is_refused(self, address: str) -> bool:
        """Whether an engine is down."""
        engine = self._engines.get(address)
        return engine is None or not engine.is_up

    def prune(self) -> None:
        """Does nothing: no channel is kept."""


def _do_nothing() -> None:
    """Stands where an upstream has nothing to stop."""
