"""Upstreams that note what they run, so that promises can be checked."""

import asyncio
import itertools
import random
import time
from typing import Any

import attrs
import msgspec

from testing.app.engine_world import MODEL, SimulatedEngine
from testing.app.front_world import Call, ScriptedUpstream
from testing.platform_world import send_http_request

PLACES = 4
_HEARTBEAT_SECONDS = 0.5
_EVENTS = 3
_NOT_RUN = "Not-Run: 1"
# A request whose body begins so ends every upstream that begins it.
HARMFUL = b"harmful"
# How long an upstream that ended so is away, in seconds.
_AWAY_SECONDS = (0.8, 2.0)
_incarnations = itertools.count(1)


@attrs.define
class Arrival:
    """A harmful request that reached an upstream.

    Attributes:
        ended: whether the upstream began it, and so ended.
    """

    at: float
    upstream: str
    ended: bool


@attrs.frozen
class Word:
    """What an upstream said of itself in an answer.

    Attributes:
        request: that it answered.
        rest: seconds for which it wants nothing from that front.
        leaves: whether it said that it leaves.
        limit: requests a second that it takes from all fronts; 0 for none.
    """

    request: str
    at: float
    rest: float = 0.0
    leaves: bool = False
    limit: float = 0.0


@attrs.define
class Heard:
    """What one start of an upstream got and said.

    Attributes:
        arrivals: when each request came, by its id.
        limits: each limit that it began to name, and when; 0 for none.
    """

    arrivals: list[tuple[str, float]] = attrs.Factory(list)
    words: list[Word] = attrs.Factory(list)
    limits: list[tuple[float, float]] = attrs.Factory(list)


@attrs.frozen
class Named:
    """Whose request an upstream was told that it ran.

    Attributes:
        knew_key: whether it also got the caller's key.
    """

    customer: str
    at: float
    knew_key: bool


@attrs.define
class Ledger:
    """What all upstreams have run, and in whose name they were ordered.

    Attributes:
        runs: how often each request was run, by its id.
        orders: holder, fencing token and time of each order, by engine.
        harmful: arrivals of each harmful request, by its body.
        heard: what each start of an upstream got and said, by its name.
        named: whose each run was, by the request's id.
    """

    runs: dict[str, int] = attrs.Factory(dict)
    orders: dict[str, list[tuple[str, int, float]]] = attrs.Factory(dict)
    harmful: dict[bytes, list[Arrival]] = attrs.Factory(dict)
    heard: dict[str, Heard] = attrs.Factory(dict)
    named: dict[str, Named] = attrs.Factory(dict)

    def note_run(self, made: Call) -> None:
        """Counts a run."""
        request = made.header("request-id")
        self.runs[request] = self.runs.get(request, 0) + 1
        now = asyncio.get_running_loop().time()
        customer = made.header("tenant")
        knew_key = bool(made.header("credential"))
        self.named[request] = Named(customer, now, knew_key)


class SoakUpstream:
    """A plain service that may fail, fall and come back.

    Args:
        service: its name.
        ledger: where it notes what it runs.
        controls: addresses that take heartbeats.
        rng: the source of its faults.
    """

    def __init__(
        self,
        service: str,
        ledger: Ledger,
        controls: list[str],
        rng: random.Random,
    ) -> None:
        self.service = service
        self.refusing = 0.0
        self.hanging = 0.0
        # Share of requests that it turns away, asking for so many seconds.
        self.tired = 0.0
        self.rest = 0.0
        self._ledger = ledger
        self._controls = list(controls)
        self._rng = rng
        # For what came later than the seeds that are kept, which must not
        # change what they play.
        self._later_rng = random.Random(f"{service} {controls}")
        self._tasks: list[asyncio.Task[None]] = []
        self._returning: asyncio.Task[None] | None = None
        self._begin()

    def _begin(self) -> None:
        self.name = f"i-{next(_incarnations)}"
        self.state = "ready"
        # Whether it says in its answers that it leaves.
        self.leaves = False
        # Requests a second that it names in its answers; 0 for none.
        self.limit = 0.0
        self._sequence = 0
        self._served = ScriptedUpstream(self.name, self._serve)

    async def start(self) -> None:
        """Begins to listen and to send heartbeats."""
        await self._served.start()
        self._tasks = [asyncio.create_task(self._beat())]

    def crash(self) -> None:
        """Ends it without a word; requests in progress are cut."""
        if self._returning is not None:
            self._returning.cancel()
        for task in self._tasks:
            task.cancel()
        self._served.stop()
        for made in self._served.calls:
            if not made.writer.is_closing():
                made.reset()

    async def restart(self) -> None:
        """Starts it as another incarnation."""
        self._begin()
        await self.start()

    def _end_for_a_while(self) -> None:
        """Ends it, and has it back at the same address after a while."""
        self.crash()
        seconds = self._later_rng.uniform(*_AWAY_SECONDS)
        self._returning = asyncio.create_task(self._return(seconds))

    async def _return(self, seconds: float) -> None:
        port = int(self._served.address.rpartition(":")[2])
        await asyncio.sleep(seconds)
        self._begin()
        await self._served.start(port)
        self._tasks = [asyncio.create_task(self._beat())]

    def _is_ended_by(self, made: Call) -> bool:
        """Notes a harmful request; returns whether this one ends under it."""
        if not made.body.startswith(HARMFUL):
            return False
        now = asyncio.get_running_loop().time()
        arrivals = self._ledger.harmful.setdefault(made.body, [])
        arrivals.append(Arrival(now, self.name, ended=True))
        return True

    # -- heartbeats ----------------------------------------------------

    async def _beat(self) -> None:
        while True:
            await self._send_heartbeat()
            await asyncio.sleep(_HEARTBEAT_SECONDS)

    async def _send_heartbeat(self) -> None:
        self._sequence += 1
        said = {
            "service": self.service,
            "address": self._served.address,
            "zone": "a",
            "slots": 8,
            "state": self.state,
            "sequence": self._sequence,
            **self._holdings(),
        }
        body = msgspec.json.encode(said)
        for address in self._controls:
            path = f"/ridgesill/Instances.Heartbeat/{self.name}"
            answer = await send_http_request(
                "POST", f"http://{address}{path}", body
            )
            if answer is not None and answer.status == 200:
                return

    def _holdings(self) -> dict[str, Any]:
        return {}

    # -- requests ------------------------------------------------------

    @property
    def heard(self) -> Heard:
        """What this start of it got and said."""
        return self._ledger.heard.setdefault(self.name, Heard())

    def name_limit(self, limit: float) -> None:
        """Names a limit in all answers from now on; 0 takes it back."""
        self.limit = limit
        self.heard.limits.append((asyncio.get_running_loop().time(), limit))

    async def _serve(self, made: Call) -> None:
        if made.header("expect-instance") not in ("", self.name):
            await made.answer(421, b"", _NOT_RUN)
        elif self._is_ended_by(made):
            self._end_for_a_while()
        elif await self._turns_away(made):
            pass
        elif self._rng.random() < self.refusing:
            await made.answer(503, b"", _NOT_RUN, *self._say(made))
        else:
            await self._run(made)

    async def _run(self, made: Call) -> None:
        request = made.header("request-id")
        self._ledger.note_run(made)
        if self._rng.random() < self.hanging:
            await asyncio.sleep(3.0)
        await asyncio.sleep(self._rng.uniform(0.0, 0.05))
        stamp = f"Server-Stamp: {self.name}"
        await made.answer(200, request.encode(), stamp, *self._say(made))

    async def _turns_away(self, made: Call) -> bool:
        """Notes a request; asks for rest if it is one too many."""
        now = asyncio.get_running_loop().time()
        request = made.header("request-id")
        self.heard.arrivals.append((request, now))
        if self._later_rng.random() >= self.tired:
            return False
        self.heard.words.append(Word(request, now, rest=self.rest))
        rest = f"Retry-After: {self.rest:.2f}"
        await made.answer(503, b"", _NOT_RUN, rest, *self._say_limit(made))
        return True

    def _say(self, made: Call) -> tuple[str, ...]:
        """Returns what it says of itself in an answer."""
        return (*self._say_leaving(made), *self._say_limit(made))

    def _say_limit(self, made: Call) -> tuple[str, ...]:
        if not self.limit:
            return ()
        now = asyncio.get_running_loop().time()
        word = Word(made.header("request-id"), now, limit=self.limit)
        self.heard.words.append(word)
        return (f"Server-Limit: {self.limit:g}",)

    def _say_leaving(self, made: Call) -> tuple[str, ...]:
        if not self.leaves:
            return ()
        now = asyncio.get_running_loop().time()
        word = Word(made.header("request-id"), now, leaves=True)
        self.heard.words.append(word)
        return ("Server-Leaving: 1",)


class SoakEngine(SoakUpstream):
    """A model engine that takes orders and streams."""

    def _begin(self) -> None:
        super()._begin()
        self.engine = SimulatedEngine(self.name, PLACES)

    def _holdings(self) -> dict[str, Any]:
        return {"models": self.engine.report(time.monotonic())["models"]}

    async def _serve(self, made: Call) -> None:
        path = made.head.split(" ")[1]
        if made.header("expect-instance") not in ("", self.name):
            await made.answer(421, b"", _NOT_RUN)
        elif path == "/ridgesill/order":
            await self._take_order(made)
        elif path == "/ridgesill/report":
            said = self.engine.report(time.monotonic())
            await made.answer(200, msgspec.json.encode(said))
        elif self._is_ended_by(made):
            self._end_for_a_while()
        elif not await self._turns_away(made):
            await self._stream(made)

    async def _take_order(self, made: Call) -> None:
        now = time.monotonic()
        body = msgspec.json.decode(made.body)
        noted = (body["holder"], body["fencing_token"], now)
        self._ledger.orders.setdefault(self.name, []).append(noted)
        if "adapter" not in body:
            await made.answer(200)
            return
        await made.answer(self.engine.handle_order(body, now), b"{}")

    async def _stream(self, made: Call) -> None:
        self.engine.complete_due(time.monotonic())
        adapter = made.header("model").partition("/")[2]
        if adapter not in self.engine.held:
            await made.answer(421, b"", _NOT_RUN)
            return
        self._ledger.note_run(made)
        self.engine.adapters_in_use.add(adapter)
        try:
            await made.begin_stream(*self._say(made))
            for number in range(1, _EVENTS + 1):
                await asyncio.sleep(0.02)
                await made.send_event(number)
            await made.end_stream()
        finally:
            self.engine.adapters_in_use.discard(adapter)


MODELS = [
    {
        "name": MODEL,
        "weights_mb": 1000.0,
        "load_time_s": 0.1,
        "adapters": 40,
        "adapter_mb": 1.0,
    }
]
