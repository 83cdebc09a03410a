"""Upstreams that record what they run, for checks of the guarantees."""

import asyncio
import itertools
import random
import time
import weakref
from typing import Any

import attrs
import msgspec

from testing.app.engine_world import MODEL, SimulatedEngine
from testing.app.front_world import Call, ScriptedUpstream
from testing.platform_world import send_http_request
from testing.upstream_links import UpstreamLinks

ADAPTER_SLOTS = 4
_HEARTBEAT_SECONDS = 0.5
_STREAM_EVENTS = 3
_NOT_RUN = "Not-Run: 1"
# Requests for this path get long answers: this many events of this many bytes.
SLOW_PATH = "/stream/slow"
_LONG_EVENTS = 100
_LONG_EVENT_BYTES = 100_000
# A shared upstream: seconds that a request takes, and how many requests it runs
# at a time and queues before it refuses more.
_SHARED_SECONDS = 0.15
_SHARED_RUNNING = 4
_SHARED_QUEUED = 8
# Share of plain answers and of streams that have neither a length nor chunks,
# and share of these streams that are broken off inside an event. A plain answer
# without a length clears no suspect, and the callers' requests are all alike.
_UNFRAMED_BODY_SHARE = 0.02
_UNFRAMED_STREAM_SHARE = 0.1
_BROKEN_SHARE = 0.4
# Share of the other streams that are unframed too and last long enough for a
# front or an upstream to end meanwhile, and their shortest and longest time, in
# seconds: less than the route's timeout and the time an upstream drains for.
_LASTING_SHARE = 0.25
_LASTING_SECONDS = (1.0, 2.0)
_EVENT_SECONDS = 0.02
# Share of the answers that are sent once more, in the place of the next answer
# on their connection.
_SURPLUS_SHARE = 0.05
# A request whose body has this prefix crashes every upstream that starts it.
HARMFUL = b"harmful"
# Shortest and longest time that such an upstream stays down, in seconds.
_DOWNTIME_SECONDS = (0.8, 2.0)
# Pause before an upstream tries to listen at its address again, in seconds.
_PORT_RETRY_SECONDS = 0.1
_incarnations = itertools.count(1)


@attrs.define
class Arrival:
    """A harmful request that reached an upstream.

    Attributes:
        at: Loop time of the arrival, in seconds.
        upstream: Name of the upstream's incarnation.
        crashed: Whether the upstream started the request and so crashed.
    """

    at: float
    upstream: str
    crashed: bool


@attrs.frozen
class Announcement:
    """What an upstream announced about itself in an answer.

    Attributes:
        request: Id of the request that it answered.
        at: Loop time of the answer, in seconds.
        retry_after: Seconds for which the front must send no more requests.
        is_leaving: Whether it announced that it is leaving.
        limit: Requests per second that it accepts from all fronts together; 0
            if it announced no limit.
    """

    request: str
    at: float
    retry_after: float = 0.0
    is_leaving: bool = False
    limit: float = 0.0


@attrs.define
class InstanceRecord:
    """What one incarnation of an upstream received and announced.

    Attributes:
        arrivals: Id and loop time of each request that arrived.
        senders: Address that each request came from, by its id.
        announcements: What it announced, in order.
        limits: Loop time and value of each change of its limit, in requests per
            second; 0 withdraws the limit.
    """

    arrivals: list[tuple[str, float]] = attrs.Factory(list)
    senders: dict[str, str] = attrs.Factory(dict)
    announcements: list[Announcement] = attrs.Factory(list)
    limits: list[tuple[float, float]] = attrs.Factory(list)


@attrs.frozen
class RunIdentity:
    """The identity that an upstream received with a request that it ran.

    Attributes:
        customer: Name of the customer that the front gave.
        at: Loop time of the run, in seconds.
        received_key: Whether the request still carried the caller's key.
    """

    customer: str
    at: float
    received_key: bool


@attrs.define
class Ledger:
    """What all upstreams ran, and the orders that engines received.

    Attributes:
        runs: Number of runs of each request, by its id.
        orders: Holder, fencing token and monotonic time in seconds of each
            order, by engine.
        harmful: Arrivals of each harmful request, by its body.
        instances: What each incarnation of an upstream received and announced,
            by its name.
        identities: The identity received with each run, by the request's id.
        crowded: Ids of the requests that were refused because of a full queue.
        broken_off: Ids of the requests whose answers were broken off.
    """

    runs: dict[str, int] = attrs.Factory(dict)
    orders: dict[str, list[tuple[str, int, float]]] = attrs.Factory(dict)
    harmful: dict[bytes, list[Arrival]] = attrs.Factory(dict)
    instances: dict[str, InstanceRecord] = attrs.Factory(dict)
    identities: dict[str, RunIdentity] = attrs.Factory(dict)
    crowded: set[str] = attrs.Factory(set)
    broken_off: set[str] = attrs.Factory(set)

    def record_run(self, call: Call) -> None:
        """Records a run of a request and the identity that came with it."""
        request = call.header("request-id")
        self.runs[request] = self.runs.get(request, 0) + 1
        now = asyncio.get_running_loop().time()
        customer = call.header("tenant")
        received_key = bool(call.header("credential"))
        self.identities[request] = RunIdentity(customer, now, received_key)


class SoakUpstream:
    """A plain service that can refuse, hang, crash and restart.

    Args:
        service: Name of the service.
        ledger: Where it records what it runs.
        controls: Addresses of the control nodes that take heartbeats.
        rng: Random generator for its faults and the duration of its runs.

    Attributes:
        refuse_share: Share of requests that it refuses with 503.
        hang_share: Share of requests that take 3 s longer.
    """

    def __init__(
        self,
        service: str,
        ledger: Ledger,
        controls: list[str],
        rng: random.Random,
    ) -> None:
        self.service = service
        # Version of its software, which it tells in heartbeats.
        self.software = "v1"
        # Requests that it processes at once, as its heartbeats tell.
        self.slots = 8
        self.refuse_share = 0.0
        self.hang_share = 0.0
        # Share of requests that it refuses with Retry-After, and the seconds
        # that it names there.
        self.retry_after_share = 0.0
        self.retry_after = 0.0
        self._ledger = ledger
        self._controls = list(controls)
        self._rng = rng
        # Faults that use this generator instead of `_rng` don't change what the
        # seeds in regressions.txt do.
        self._extra_rng = random.Random(f"{service} {controls}")
        self._framing_rng = random.Random(f"framing {service} {controls}")
        self._surplus_rng = random.Random(f"surplus {service} {controls}")
        self._last_answers: weakref.WeakKeyDictionary[
            asyncio.StreamWriter, tuple[Call, bytes]
        ] = weakref.WeakKeyDictionary()
        # Depends on the seed and takes nothing from the seed's generator.
        self._duration_rng = random.Random(f"durations {rng.getstate()}")
        # Links through which some fronts reach it.
        self.links: list[UpstreamLinks] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._restart_task: asyncio.Task[None] | None = None
        self._begin_incarnation()

    def _begin_incarnation(self) -> None:
        """Takes a new name and resets the state of the last incarnation."""
        self.name = f"i-{next(_incarnations)}"
        self.state = "ready"
        # Whether it announces in its answers that it is leaving.
        self.is_leaving = False
        # Requests per second that it announces in its answers; 0 for no limit.
        self.limit = 0.0
        self._sequence = 0
        self._scripted_server = ScriptedUpstream(self.name, self._serve)

    async def start(self) -> None:
        """Starts to listen and to send heartbeats."""
        await self._listen()

    async def _listen(self, port: int = 0) -> None:
        await self._start_server(port)
        for link in self.links:
            await link.add(self.address)
        self._tasks = [asyncio.create_task(self._send_heartbeats())]

    async def _start_server(self, port: int) -> None:
        """Listens at a port, as soon as no outgoing connection has it.

        Args:
            port: Where to listen; 0 for any free port.
        """
        while True:
            try:
                await self._scripted_server.start(port)
                return
            except OSError:
                if not port:
                    raise
                await asyncio.sleep(_PORT_RETRY_SECONDS)

    @property
    def address(self) -> str:
        """Where it listens; empty before its start."""
        return self._scripted_server.address

    def crash(self, *, is_planned: bool = False) -> None:
        """Stops it without notice; requests in progress are cut.

        Args:
            is_planned: Whether it has drained, so that nothing is in progress.
        """
        if self._restart_task is not None:
            self._restart_task.cancel()
        for task in self._tasks:
            task.cancel()
        self._scripted_server.stop()
        for link in self.links:
            link.close(self.address)
        # The newest request of each connection decides how that one ends.
        for call in reversed(self._scripted_server.calls):
            if not call.writer.is_closing():
                self._cut(call, is_planned=is_planned)
        # A request that is being read must not be served after the crash.
        self._scripted_server.abort_connections()

    def _cut(self, call: Call, *, is_planned: bool) -> None:
        """Ends the connection of a request as it crashes."""
        call.reset()

    async def restart(self) -> None:
        """Starts a new incarnation."""
        self._begin_incarnation()
        await self.start()

    def _crash_temporarily(self) -> None:
        """Crashes it, and restarts it later at the same address."""
        self.crash()
        seconds = self._extra_rng.uniform(*_DOWNTIME_SECONDS)
        self._restart_task = asyncio.create_task(self._restart_after(seconds))

    async def _restart_after(self, seconds: float) -> None:
        port = int(self._scripted_server.address.rpartition(":")[2])
        await asyncio.sleep(seconds)
        self._begin_incarnation()
        await self._listen(port)

    def _record_if_harmful(self, call: Call) -> bool:
        """Records the request if it is harmful; returns whether it is."""
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
        """Sends a heartbeat to the first control node that accepts it."""
        self._sequence += 1
        heartbeat = {
            "service": self.service,
            "address": self._scripted_server.address,
            "zone": "a",
            "version": self.software,
            "slots": self.slots,
            "state": self.state,
            "sequence": self._sequence,
            **self._engine_fields(),
        }
        body = msgspec.json.encode(heartbeat)
        for address in self._controls:
            path = f"/ridgesill/Instances.Heartbeat/{self.name}"
            answer = await send_http_request(
                "POST", f"http://{address}{path}", body
            )
            if answer is not None and answer.status == 200:
                return

    def _engine_fields(self) -> dict[str, Any]:
        """Returns the heartbeat fields that only engines send."""
        return {}

    # -- requests ------------------------------------------------------

    @property
    def record(self) -> InstanceRecord:
        """What this incarnation received and announced."""
        return self._ledger.instances.setdefault(self.name, InstanceRecord())

    def name_limit(self, limit: float) -> None:
        """Announces a limit in all answers from now on.

        Args:
            limit: Requests per second; 0 withdraws the limit.
        """
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

    async def _repeat_last_answer(self, call: Call, body: bytes) -> None:
        """Sends the last answer on a connection again, before this one.

        Args:
            call: the request that is answered now.
            body: of its answer, which may be sent again before the next one.
        """
        last = self._last_answers.get(call.writer)
        self._last_answers[call.writer] = (call, body)
        if last is None or self._surplus_rng.random() >= _SURPLUS_SHARE:
            return
        earlier, earlier_body = last
        await earlier.answer(200, earlier_body, f"Server-Stamp: {self.name}")

    async def _run(self, call: Call) -> None:
        request = call.header("request-id")
        self._ledger.record_run(call)
        await self._repeat_last_answer(call, request.encode())
        if self._rng.random() < self.hang_share:
            await asyncio.sleep(3.0)
        await asyncio.sleep(self._rng.uniform(0.0, 0.05))
        headers = (
            f"Server-Stamp: {self.name}",
            *self._announcement_headers(call),
        )
        if self._framing_rng.random() < _UNFRAMED_BODY_SHARE:
            await call.begin_unframed("text/plain", *headers)
            await call.send(request.encode())
            call.writer.close()
            return
        await call.answer(200, request.encode(), *headers)

    async def _refuse_with_retry_after(self, call: Call) -> bool:
        """Records a request and refuses a random share with Retry-After.

        Returns:
            Whether the request was refused.
        """
        now = asyncio.get_running_loop().time()
        request = call.header("request-id")
        self.record.arrivals.append((request, now))
        peer = call.writer.get_extra_info("peername")
        self.record.senders[request] = peer[0] if peer else ""
        if self._extra_rng.random() >= self.retry_after_share:
            return False
        self.record.announcements.append(
            Announcement(request, now, retry_after=self.retry_after)
        )
        header = f"Retry-After: {self.retry_after:.2f}"
        await call.answer(
            503, b"", _NOT_RUN, header, *self._limit_headers(call)
        )
        return True

    def _announcement_headers(self, call: Call) -> tuple[str, ...]:
        """Returns the headers of an answer with its current announcements."""
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


class SharedUpstream(SoakUpstream):
    """A plain service that can run and queue only few requests at a time."""

    def _begin_incarnation(self) -> None:
        super()._begin_incarnation()
        self._accepted = 0
        self._slots = asyncio.Semaphore(_SHARED_RUNNING)

    async def _serve(self, call: Call) -> None:
        if call.header("expect-instance") not in ("", self.name):
            await call.answer(421, b"", _NOT_RUN)
            return
        if self._accepted >= _SHARED_RUNNING + _SHARED_QUEUED:
            self._ledger.crowded.add(call.header("request-id"))
            await call.answer(503, b"", _NOT_RUN)
            return
        self._accepted += 1
        try:
            async with self._slots:
                await asyncio.sleep(_SHARED_SECONDS)
                await self._run(call)
        finally:
            self._accepted -= 1


class SoakEngine(SoakUpstream):
    """A model engine that executes orders and streams answers."""

    def _begin_incarnation(self) -> None:
        super()._begin_incarnation()
        self.engine = SimulatedEngine(self.name, ADAPTER_SLOTS)
        # Ids of the requests whose lasting streams are in progress.
        self._lasting: set[str] = set()

    def _cut(self, call: Call, *, is_planned: bool) -> None:
        """Ends the connection of a request as it crashes.

        A lasting stream is closed in order, as the kernel does for a process
        that is killed.
        """
        request = call.header("request-id")
        if request not in self._lasting:
            call.reset()
            return
        if not is_planned:
            self._ledger.broken_off.add(request)
        call.writer.close()

    def _engine_fields(self) -> dict[str, Any]:
        return {"models": self.engine.report(time.monotonic())["models"]}

    async def _serve(self, call: Call) -> None:
        path = call.head.split(" ")[1]
        if call.header("expect-instance") not in ("", self.name):
            await call.answer(421, b"", _NOT_RUN)
        elif path == "/ridgesill/order":
            await self._handle_order(call)
        elif path == "/ridgesill/report":
            report = self.engine.report(time.monotonic())
            await call.answer(200, msgspec.json.encode(report))
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
        # A new incarnation may have begun when the stream ends.
        engine = self.engine
        engine.adapters_in_use.add(adapter)
        try:
            if self._framing_rng.random() < _UNFRAMED_STREAM_SHARE:
                await self._stream_unframed(call, _EVENT_SECONDS)
                return
            is_slow = call.head.split(" ")[1] == SLOW_PATH
            if not is_slow and self._duration_rng.random() < _LASTING_SHARE:
                await self._stream_lasting(call)
                return
            await call.begin_stream(*self._announcement_headers(call))
            for number in range(1, _STREAM_EVENTS + 1):
                await asyncio.sleep(_EVENT_SECONDS)
                await call.send_event(number)
            if is_slow:
                data = b"x" * _LONG_EVENT_BYTES
                for _ in range(_LONG_EVENTS):
                    await call.send(b"%x\r\n%s\r\n" % (len(data), data))
                await call.send(b"2\r\n\n\n\r\n")
            await call.end_stream()
        finally:
            engine.adapters_in_use.discard(adapter)

    async def _stream_lasting(self, call: Call) -> None:
        """Sends an unframed stream that a crash closes in order."""
        lasting, request = self._lasting, call.header("request-id")
        lasting.add(request)
        seconds = self._duration_rng.uniform(*_LASTING_SECONDS)
        try:
            await self._stream_unframed(call, seconds / _STREAM_EVENTS)
        finally:
            lasting.discard(request)

    async def _stream_unframed(self, call: Call, event_seconds: float) -> None:
        """Sends a stream that ends with its connection, at times too early.

        Args:
            call: The request.
            event_seconds: Time before each event, in seconds.
        """
        await call.begin_unframed(
            "text/event-stream", *self._announcement_headers(call)
        )
        is_lasting = event_seconds > _EVENT_SECONDS
        rng = self._duration_rng if is_lasting else self._framing_rng
        broken_at = 0
        if rng.random() < _BROKEN_SHARE:
            broken_at = rng.randint(1, _STREAM_EVENTS)
            self._ledger.broken_off.add(call.header("request-id"))
        for number in range(1, _STREAM_EVENTS + 1):
            await asyncio.sleep(event_seconds)
            if number == broken_at:
                await call.send(b"id: %d\nda" % number)
                break
            await call.send(b"id: %d\ndata: x\n\n" % number)
        call.writer.close()


MODELS = [
    {
        "name": MODEL,
        "weights_mb": 1000.0,
        "load_time_s": 0.1,
        "adapters": 40,
        "adapter_mb": 1.0,
    }
]
