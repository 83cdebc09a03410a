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

ADAPTER_SLOTS = 4
_HEARTBEAT_SECONDS = 0.5
_STREAM_EVENTS = 3
_NOT_RUN = "Not-Run: 1"
# A request whose body begins so ends every upstream that begins it.
HARMFUL = b"harmful"
# How long an upstream that ended so is away, in seconds.
_DOWNTIME_SECONDS = (0.8, 2.0)
_incarnations = itertools.count(1)


@attrs.define
class Arrival:
    """A harmful request that reached an upstream.

    Attributes:
        crashed: whether the upstream began it, and so ended.
    """

    at: float
    upstream: str
    crashed: bool


@attrs.frozen
class Announcement:
    """What an upstream said of itself in an answer.

    Attributes:
        request: that it answered.
        rest: seconds for which it wants nothing from that front.
        leaves: whether it said that it leaves.
        limit: requests a second that it takes from all fronts; 0 for none.
    """

    request: str
    at: float
    retry_after: float = 0.0
    is_leaving: bool = False
    limit: float = 0.0


@attrs.define
class InstanceRecord:
    """What one start of an upstream got and said.

    Attributes:
        arrivals: when each request came, by its id.
        limits: each limit that it began to name, and when; 0 for none.
    """

    arrivals: list[tuple[str, float]] = attrs.Factory(list)
    announcements: list[Announcement] = attrs.Factory(list)
    limits: list[tuple[float, float]] = attrs.Factory(list)


@attrs.frozen
class RunIdentity:
    """Whose request an upstream was told that it ran.

    Attributes:
        knew_key: whether it also got the caller's key.
    """

    customer: str
    at: float
    received_key: bool


@attrs.define
class Ledger:
    """What all upstreams have run, and in whose name they were ordered.

    Attributes:
        runs: how often each request was run, by its id.
        orders: holder, fencing token and time of each order, by engine.
        harmful: arrivals of each harmful request, by its body.
        instances: what each start of an upstream got and said, by its name.
        identities: whose each run was, by the request's id.
    """

    runs: dict[str, int] = attrs.Factory(dict)
    orders: dict[str, list[tuple[str, int, float]]] = attrs.Factory(dict)
    harmful: dict[bytes, list[Arrival]] = attrs.Factory(dict)
    instances: dict[str, InstanceRecord] = attrs.Factory(dict)
    identities: dict[str, RunIdentity] = attrs.Factory(dict)

    def record_run(self, call: Call) -> None:
        """Counts a run."""
        request = call.header("request-id")
        self.runs[request] = self.runs.get(request, 0) + 1
        now = asyncio.get_running_loop().time()
        customer = call.header("tenant")
        received_key = bool(call.header("credential"))
        self.identities[request] = RunIdentity(customer, now, received_key)


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
        self.refuse_share = 0.0
        self.hang_share = 0.0
        # Share of requests that it turns away, asking for so many seconds.
        self.retry_after_share = 0.0
        self.retry_after = 0.0
        self._ledger = ledger
        self._controls = list(controls)
        self._rng = rng
        # For what came later than the seeds that are kept, which must not
        # change what they play.
        self._extra_rng = random.Random(f"{service} {controls}")
        self._tasks: list[asyncio.Task[None]] = []
        self._restart_task: asyncio.Task[None] | None = None
        self._begin_incarnation()

    def _begin_incarnation(self) -> None:
        self.name = f"i-{next(_incarnations)}"
        self.state = "ready"
        # Whether it says in its answers that it leaves.
        self.is_leaving = False
        # Requests a second that it names in its answers; 0 for none.
        self.limit = 0.0
        self._sequence = 0
        self._scripted_server = ScriptedUpstream(self.name, self._serve)

    async def start(self) -> None:
        """Begins to listen and to send heartbeats."""
        await self._scripted_server.start()
        self._tasks = [asyncio.create_task(self._send_heartbeats())]

    def crash(self) -> None:
        """Ends it without a word; requests in progress are cut."""
        if self._restart_task is not None:
            self._restart_task.cancel()
        for task in self._tasks:
            task.cancel()
        self._scripted_server.stop()
        for call in self._scripted_server.calls:
            if not call.writer.is_closing():
                call.reset()

    async def restart(self) -> None:
        """Starts it as another incarnation."""
        self._begin_incarnation()
        await self.start()

    def _crash_temporarily(self) -> None:
        """Ends it, and has it back at the same address after a while."""
        self.crash()
        seconds = self._extra_rng.uniform(*_DOWNTIME_SECONDS)
        self._restart_task = asyncio.create_task(self._restart_after(seconds))

    async def _restart_after(self, seconds: float) -> None:
        port = int(self._scripted_server.address.rpartition(":")[2])
        await asyncio.sleep(seconds)
        self._begin_incarnation()
        await self._scripted_server.start(port)
        self._tasks = [asyncio.create_task(self._send_heartbeats())]

    def _record_if_harmful(self, call: Call) -> bool:
        """Notes a harmful request; returns whether this one ends under it."""
        if not call.body.startswith(HARMFUL):
            return False
        now = asyncio.get_running_loop().time()
        arrivals = self._ledger.harmful.setdefault(call.body, [])
        arrivals.append(Arrival(now, self.name, crashed=True))
        return True

    # -- heartbeats ----------------------------------------------------

    async def _send_heartbeats(self) -> None:
        while True:
            await self._send_heartbeat()
            await asyncio.sleep(_HEARTBEAT_SECONDS)

    async def _send_heartbeat(self) -> None:
        self._sequence += 1
        said = {
            "service": self.service,
            "address": self._scripted_server.address,
            "zone": "a",
            "slots": 8,
            "state": self.state,
            "sequence": self._sequence,
            **self._engine_fields(),
        }
        body = msgspec.json.encode(said)
        for address in self._controls:
            path = f"/ridgesill/Instances.Heartbeat/{self.name}"
            answer = await send_http_request(
                "POST", f"http://{address}{path}", body
            )
            if answer is not None and answer.status == 200:
                return

    def _engine_fields(self) -> dict[str, Any]:
        return {}

    # -- requests ------------------------------------------------------

    @property
    def record(self) -> InstanceRecord:
        """What this start of it got and said."""
        return self._ledger.instances.setdefault(self.name, InstanceRecord())

    def name_limit(self, limit: float) -> None:
        """Names a limit in all answers from now on; 0 takes it back."""
        self.limit = limit
        self.record.limits.append((asyncio.get_running_loop().time(), limit))

    async def _serve(self, call: Call) -> None:
        if call.header("expect-instance") not in ("", self.name):
            await call.answer(421, b"", _NOT_RUN)
        elif self._record_if_harmful(call):
            self._crash_temporarily()
        elif await self._refuse_with_retry_after(call):
            pass
        elif self._rng.random() < self.refuse_share:
            await call.answer(
                503, b"", _NOT_RUN, *self._announcement_headers(call)
            )
        else:
            await self._run(call)

    async def _run(self, call: Call) -> None:
        request = call.header("request-id")
        self._ledger.record_run(call)
        if self._rng.random() < self.hang_share:
            await asyncio.sleep(3.0)
        await asyncio.sleep(self._rng.uniform(0.0, 0.05))
        stamp = f"Server-Stamp: {self.name}"
        await call.answer(
            200, request.encode(), stamp, *self._announcement_headers(call)
        )

    async def _refuse_with_retry_after(self, call: Call) -> bool:
        """Notes a request; asks for rest if it is one too many."""
        now = asyncio.get_running_loop().time()
        request = call.header("request-id")
        self.record.arrivals.append((request, now))
        if self._extra_rng.random() >= self.retry_after_share:
            return False
        self.record.announcements.append(
            Announcement(request, now, retry_after=self.retry_after)
        )
        retry_after = f"Retry-After: {self.retry_after:.2f}"
        await call.answer(
            503, b"", _NOT_RUN, retry_after, *self._limit_headers(call)
        )
        return True

    def _announcement_headers(self, call: Call) -> tuple[str, ...]:
        """Returns what it says of itself in an answer."""
        return (*self._leaving_headers(call), *self._limit_headers(call))

    def _limit_headers(self, call: Call) -> tuple[str, ...]:
        if not self.limit:
            return ()
        now = asyncio.get_running_loop().time()
        announcement = Announcement(
            call.header("request-id"), now, limit=self.limit
        )
        self.record.announcements.append(announcement)
        return (f"Server-Limit: {self.limit:g}",)

    def _leaving_headers(self, call: Call) -> tuple[str, ...]:
        if not self.is_leaving:
            return ()
        now = asyncio.get_running_loop().time()
        announcement = Announcement(
            call.header("request-id"), now, is_leaving=True
        )
        self.record.announcements.append(announcement)
        return ("Server-Leaving: 1",)


class SoakEngine(SoakUpstream):
    """A model engine that takes orders and streams."""

    def _begin_incarnation(self) -> None:
        super()._begin_incarnation()
        self.engine = SimulatedEngine(self.name, ADAPTER_SLOTS)

    def _engine_fields(self) -> dict[str, Any]:
        return {"models": self.engine.report(time.monotonic())["models"]}

    async def _serve(self, call: Call) -> None:
        path = call.head.split(" ")[1]
        if call.header("expect-instance") not in ("", self.name):
            await call.answer(421, b"", _NOT_RUN)
        elif path == "/ridgesill/order":
            await self._handle_order(call)
        elif path == "/ridgesill/report":
            said = self.engine.report(time.monotonic())
            await call.answer(200, msgspec.json.encode(said))
        elif self._record_if_harmful(call):
            self._crash_temporarily()
        elif not await self._refuse_with_retry_after(call):
            await self._stream(call)

    async def _handle_order(self, call: Call) -> None:
        now = time.monotonic()
        body = msgspec.json.decode(call.body)
        received_order = (body["holder"], body["fencing_token"], now)
        self._ledger.orders.setdefault(self.name, []).append(received_order)
        if "adapter" not in body:
            await call.answer(200)
            return
        await call.answer(self.engine.handle_order(body, now), b"{}")

    async def _stream(self, call: Call) -> None:
        self.engine.complete_due(time.monotonic())
        adapter = call.header("model").partition("/")[2]
        if adapter not in self.engine.held:
            await call.answer(421, b"", _NOT_RUN)
            return
        self._ledger.record_run(call)
        self.engine.adapters_in_use.add(adapter)
        try:
            await call.begin_stream(*self._announcement_headers(call))
            for number in range(1, _STREAM_EVENTS + 1):
                await asyncio.sleep(0.02)
                await call.send_event(number)
            await call.end_stream()
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
