"""A new owner loads one adapter too many, and the server falls.

Some servers leave an order to load an adapter unanswered and carry it out
seconds later. The control process that decides on orders is killed meanwhile.

TROUBLE=0 leaves out both: all orders are answered, and nothing is killed.
"""

import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "common"))

import deployment as d

HOST = "ficu95.example"
# Each service has one server.
SERVICES = 12
# Of the site: places for adapters at a server, and the time of a load.
ADAPTER_SLOTS = 18
LOAD_SECONDS = 0.25
REPORT_LAG_SECONDS = 0.1
MAX_INCOMING = 4
# One place stays free before the kill.
FILLED = ADAPTER_SLOTS - 1
# The adapter whose load is ordered right before the kill, and others that
# callers ask for afterwards.
LATE = "a100"
OTHERS = ("a101", "a102", "a103")
# Four of twelve orders stay unanswered (0.33; `applied_late` has x = 0.35), and
# run this many seconds later.
LATE_SECONDS = {1: 1.45, 4: 1.55, 7: 1.65, 10: 1.75}
# Time of a round of the callers.
ROUND_SECONDS = 0.54
# How long the process stays away (`node_kill` on the core: 3.5 s), and how long
# callers go on after the kill.
AWAY_SECONDS = 3.5
AFTER_SECONDS = 9.0


class Engine(d.PlainServer):
    """A server of models that follows PROTOCOL.md.

    Args:
        late_seconds: after how long it carries out an order for `LATE`, which
            it leaves unanswered; None if it answers at once.
    """

    def __init__(self, world, number, late_seconds) -> None:
        super().__init__(
            world, f"i-{number}", f"llm-{number}",
            f"{world.subnet}.3.{number + 1}", d.ZONES[number % 3], slots=64,
        )
        self.model = f"base{number}"
        self.born = int(time.time() * 1000)
        self.held: set[str] = set()
        self.incoming: dict[str, float] = {}
        self.orders_taken = 0
        self.has_fallen = ""
        self.late_seconds = late_seconds
        self.late_arrived = asyncio.Event()
        self._in_use: dict[str, int] = {}
        self._unloading = ""
        self._history: list[tuple[float, dict]] = []

    # -- state ---------------------------------------------------------

    def _update(self) -> None:
        now = time.monotonic()
        for adapter, until in list(self.incoming.items()):
            if now >= until:
                del self.incoming[adapter]
                self.held.add(adapter)
                self._keep_state(until)
        if self._unloading and not self._in_use.get(self._unloading):
            self.held.discard(self._unloading)
            self._unloading = ""
            self._keep_state(now)

    def _keep_state(self, at: float) -> None:
        self._history.append((at, self._describe()))
        del self._history[:-200]

    def _describe(self) -> dict:
        return {
            "stage": "both",
            "models": [self._describe_model()],
            "busy_slots": bool(self._unloading),
            "sequence": self.orders_taken,
            "incoming": [f"{self.model}/{a}@1" for a in self.incoming],
            "queued_requests": 0, "running_requests": 0, "kv_cache_used": 0,
            "kv_cache_total": 90000, "handle_count": 0, "born": self.born,
        }

    def _describe_model(self) -> dict:
        return {"name": self.model, "version": 1,
                "adapters": sorted(f"{a}@1" for a in self.held)}

    def _report(self) -> dict:
        """Returns its state of `REPORT_LAG_SECONDS` ago."""
        self._update()
        at = time.monotonic() - REPORT_LAG_SECONDS
        states = [state for when, state in self._history if when <= at]
        return states[-1] if states else self._describe()

    def beat_body(self) -> dict:
        self._update()
        return {**super().beat_body(), "born": self.born, "stage": "both",
                "models": [self._describe_model()]}

    # -- orders --------------------------------------------------------

    def order(self, body: dict, why: str) -> int:
        """Carries out an order; returns the status."""
        status = self._order(body)
        self._record(
            f"server {self.name}: {body['operation']} "
            f"{body.get('adapter', body['model'])} "
            f"expected_revision={body.get('expected_revision')} "
            f"holder={body['holder']} fencing_token={body['fencing_token']}"
            f"{why}: {status}; holds {len(self.held)}, "
            f"incoming {sorted(self.incoming)}"
        )
        return status

    def _order(self, body: dict) -> int:
        self._update()
        if body.get("expected_revision") not in (None, self.orders_taken):
            return 409
        adapter = body.get("adapter")
        if adapter is None:
            return 200 if body["operation"] == "load" else 409
        if body["operation"] == "load":
            if adapter in self.incoming:
                return 202
            if adapter in self.held and adapter != self._unloading:
                return 200
            if self._unloading or len(self.incoming) >= MAX_INCOMING:
                return 409
            self.orders_taken += 1
            self.incoming[adapter] = time.monotonic() + LOAD_SECONDS
            self._keep_state(time.monotonic())
            if len(self.held) + len(self.incoming) > ADAPTER_SLOTS:
                self.has_fallen = (
                    f"load of {adapter}, with {len(self.held)} held and "
                    f"{sorted(self.incoming)} incoming"
                )
            return 202
        if adapter not in self.held:
            return 200
        if self._unloading:
            return 409
        self.orders_taken += 1
        if self._in_use.get(adapter):
            self._unloading = adapter
            self._keep_state(time.monotonic())
            return 202
        self.held.discard(adapter)
        self._keep_state(time.monotonic())
        return 200

    async def _handle_order(self, body: dict) -> int | None:
        """Returns the status; None if it doesn't answer."""
        is_late = self.late_seconds is not None and body.get("adapter") == LATE
        if body.get("adapter") == LATE:
            self.late_arrived.set()
        if not is_late:
            return self.order(body, "")
        seconds, self.late_seconds = self.late_seconds, None
        self._record(
            f"server {self.name}: leaves {body} unanswered for now"
        )
        asyncio.get_running_loop().call_later(
            seconds, self.order, body, f" (carried out {seconds} s late)"
        )
        return None

    # -- calls ---------------------------------------------------------

    async def _serve(self, reader, writer) -> None:
        try:
            while not self.has_fallen:
                first, headers, body = await d.read_message(reader)
                if self.has_fallen:
                    break
                identifier = headers.get("request-id", "")
                path = first.split()[1]
                if headers.get("expect-instance", self.name) != self.name:
                    self._answer(writer, 421, identifier, b"{}")
                elif path == "/ridgesill/order":
                    status = await self._handle_order(json.loads(body))
                    if status is None:
                        await reader.read()
                        break
                    self._answer(writer, status, "", b"{}")
                elif path == "/ridgesill/report":
                    report = self._report()
                    self._record(
                        f"server {self.name}: report: sequence "
                        f"{report['sequence']}, incoming {report['incoming']}"
                    )
                    self._answer(writer, 200, "", json.dumps(report).encode())
                else:
                    await self._run(writer, identifier, headers)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def _answer(self, writer, status, identifier, body) -> None:
        named = f"Request-Id: {identifier}\r\n" if identifier else ""
        not_run = "Not-Run: 1\r\n" if status == 421 else ""
        writer.write(
            (
                f"HTTP/1.1 {status} X\r\n{named}{not_run}"
                f"Instance-Id: {self.name}\r\n"
                "Content-Type: application/json\r\n"
                f"Content-Length: {len(body)}\r\n\r\n"
            ).encode()
            + body
        )

    async def _run(self, writer, identifier, headers) -> None:
        self._update()
        adapter = headers.get("model", "").partition("/")[2]
        if adapter not in self.held or adapter == self._unloading:
            self._answer(writer, 421, identifier, b"")
            return
        self._in_use[adapter] = self._in_use.get(adapter, 0) + 1
        try:
            writer.write(
                (
                    f"HTTP/1.1 200 OK\r\nRequest-Id: {identifier}\r\n"
                    f"Server-Stamp: {self.name}.{identifier}\r\n"
                    "Content-Type: text/event-stream\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n"
                ).encode()
            )
            for number in (1, 2, 3):
                await asyncio.sleep(0.01)
                event = f"id: {number}\ndata: {identifier}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            writer.write(b"0\r\n\r\n")
        finally:
            self._in_use[adapter] -= 1


class Callers:
    """Callers of all services."""

    def __init__(self, world) -> None:
        self._world = world
        self._count = 0
        self.statuses: list[str] = []

    async def send(self, number: int, adapter: str) -> str:
        """Sends one request for an adapter; returns the status."""
        self._count += 1
        identifier = f"q{self._count:06d}"
        front = self._world.fronts[self._count % len(self._world.fronts)]
        writer, status = None, "none"
        try:
            async with asyncio.timeout(6.0):
                reader, writer = await asyncio.open_connection(
                    front.ip, d.FRONT_PORT
                )
                writer.write(
                    (
                        f"POST /llm{number}/x HTTP/1.1\r\nHost: {HOST}\r\n"
                        f"Request-Id: {identifier}\r\n"
                        f"Model: base{number}/{adapter}\r\n"
                        "Token-Counts: 500,60\r\n"
                        f"Prompt-Prefix: {self._count:x}:500\r\n"
                        "Request-Deadline: 6000\r\n"
                        "Content-Length: 2\r\n\r\n{}"
                    ).encode()
                )
                first, _, _ = await d.read_message(reader)
                status = first.split()[1]
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            pass
        finally:
            if writer is not None:
                writer.close()
        self._world.record(
            f"client: POST base{number}/{adapter} {identifier} to "
            f"{front.name}: {status}"
        )
        return status

    async def ask_until_served(self, number: int, adapter: str) -> None:
        for _ in range(20):
            if await self.send(number, adapter) == "200":
                return
            await asyncio.sleep(0.3)
        raise d.CannotRun(f"base{number}/{adapter} wasn't served")

    async def ask_regularly(self, number: int) -> None:
        """Asks for the other adapters and the late one, again and again."""
        tasks = set()
        # Callers of different services don't ask in step.
        await asyncio.sleep(number * 0.13 % ROUND_SECONDS)
        while True:
            for adapter in (*OTHERS, *OTHERS, LATE):
                task = asyncio.create_task(self.send(number, adapter))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                await asyncio.sleep(0.02)
            await asyncio.sleep(ROUND_SECONDS - 0.14)


def make_document() -> dict:
    routes = [
        {**d.make_route(f"ask{n}", HOST, f"/llm{n}/", f"llm-{n}", "stream", 1),
         "timeout_ms": 6000, "goal_ms": 600, "session_affinity": True,
         "resumable": False, "gap_target_ms": 400}
        for n in range(SERVICES)
    ]
    document = d.make_document(3, routes, [f"llm-{n}" for n in range(SERVICES)])
    for number, service in enumerate(document["services"]):
        service["connection_limit"] = 360
        service["engine"] = {
            "slots": 64, "kv_cache_tokens": 232000, "kv_token_bytes": 327680,
            "link_mbps": 1100000.0, "moves": True, "backups": True,
            "stride": 5, "at_most": 12, "host_mb": 140000.0,
            "disk_mb": 400000.0, "pin_ms": 4000.0, "hold_ms": 2000.0,
            "handle_s": 5.0, "weights_mb": 66600.0,
            "adapter_slots": ADAPTER_SLOTS, "loads_per_s": 4.4,
            "models": [{"name": f"base{number}", "weights_mb": 65100.0,
                        "load_time_s": 1.9, "adapters": 3000,
                        "adapter_mb": 12.0, "warm_s": 0.38,
                        "disk_load_s": 0.76}],
        }
    return document


async def play(world: d.Deployment, trouble: bool) -> list[str]:
    record = world.record
    for machine in world.machines:
        world.start(machine, bootstrap=True)
    if await world.put_configuration(make_document(), 30.0) is None:
        raise d.CannotRun("no configuration was acknowledged at the start")
    engines = [
        Engine(world, n, LATE_SECONDS.get(n) if trouble else None)
        for n in range(SERVICES)
    ]
    for engine in engines:
        await engine.start()
    await world.wait_until_ready()
    await asyncio.sleep(2.0)
    callers = Callers(world)
    for first in range(1, FILLED + 1, 4):
        await asyncio.gather(*(
            callers.ask_until_served(n, f"a{k}")
            for n in range(SERVICES)
            for k in range(first, min(first + 4, FILLED + 1))
        ))
    # Reports of what is held get as far as all control processes.
    await asyncio.sleep(3.0)
    if any(len(engine.held) != FILLED for engine in engines):
        raise d.CannotRun(f"held: {[len(engine.held) for engine in engines]}")
    owner = next(m for m in world.controls if m.ip in engines[0].beat_address)

    # Each service gets a request for an adapter that its server lacks.
    asking = [
        asyncio.create_task(callers.send(n, LATE)) for n in range(SERVICES)
    ]
    async with asyncio.timeout(3.0):
        for engine in engines:
            await engine.late_arrived.wait()
    if trouble:
        world.kill(owner)
    asking += [
        asyncio.create_task(callers.ask_regularly(n)) for n in range(SERVICES)
    ]
    await asyncio.sleep(AWAY_SECONDS)
    if trouble:
        world.start(owner, bootstrap=False)
    await asyncio.sleep(AFTER_SECONDS - AWAY_SECONDS)
    for task in asking:
        task.cancel()
    await asyncio.sleep(0.2)
    for engine in engines:
        await engine.stop()
    for machine in world.machines:
        if not world.is_running(machine):
            raise d.CannotRun(f"{machine.name} ended by itself")
    taken = sum(engine.orders_taken for engine in engines)
    fallen = [engine for engine in engines if engine.has_fallen]
    record(f"check: {taken} orders taken, {len(fallen)} servers have fallen")
    return [
        f"LIMIT: {engine.name} with {ADAPTER_SLOTS} adapter_slots got an order "
        f"beyond them: {engine.has_fallen}"
        for engine in fallen
    ]


if __name__ == "__main__":
    sys.exit(d.run_case(Path(__file__).resolve().parent, play, fronts=3))
