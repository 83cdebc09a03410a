"""A small deployment on loopback addresses, with stand-ins around it.

Starts ridgesill's own programs with the commands of `deploy/system.toml`, one
process per machine, each machine at its own address in 127.0.0.0/8. Clients,
servers ("runners") and the operator are played here. Only the standard library
is used.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]

# Figures of sites/tanuru-book.toml and of the example in DEPLOY.md.
ZONES = ("njiro", "sakina", "themi")
HEARTBEAT_SECONDS = 1.2
GRACE_SECONDS = 8.0
FRONT_PORT = 8149
READY_PORT = 8141
CONTROL_PORT = 8144
INTERNAL_PORTS = (7380, 7395)
METRICS_PORT = 9464
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "acknowledge_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_ms": 2000,
    "revert_slack_ms": 250,
    "stretch_limit_ms": 5000,
    "budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 54,
    "recovery_s": 12,
    "pass_ms": 120,
    "retry_after_s": 0,
    "require_fencing": False,
    "lease_ms": 3000,
    "thaw_ms": 300,
    "ceiling_window_s": 5,
    "ceiling_excess": 1.1,
    "version_ms": 5000,
}
CONTRACTS = [
    "base", "drain", "config", "cost", "retry", "recover", "fleet", "stream",
    "engine",
]


class CannotRun(Exception):
    """The case couldn't be set up; it shows nothing."""


class Record:
    """Writes what was sent, answered and run to `record.txt` of a case."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self.began = time.monotonic()

    def __call__(self, text: str) -> None:
        seconds = time.monotonic() - self.began
        self._file.write(f"{seconds:9.4f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        self._file.close()


class Machine:
    """A machine and the one process that runs on it."""

    def __init__(self, name: str, role: str, ip: str, zone: str) -> None:
        self.name, self.role, self.ip, self.zone = name, role, ip, zone
        self.process: subprocess.Popen | None = None
        self.stopped = False
        # Variables that its process gets besides the usual ones.
        self.environment: dict[str, str] = {}


class Deployment:
    """The processes of a deployment."""

    def __init__(self, record: Record, controls: int = 5, fronts: int = 4):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._runs = {n: r["run"].split() for n, r in deploy["roles"].items()}
        second = _free_second_byte(controls, fronts)
        self.subnet = f"127.{second}"
        self.controls = [
            Machine(f"core-{n}", "control", f"{self.subnet}.1.{n + 1}",
                    ZONES[n % 3])
            for n in range(controls)
        ]
        self.fronts = [
            Machine(f"front-{n}", "front", f"{self.subnet}.2.{n + 1}",
                    ZONES[n % 3])
            for n in range(fronts)
        ]

    @property
    def machines(self) -> list[Machine]:
        return [*self.controls, *self.fronts]

    def add_control(self) -> Machine:
        """Adds a machine of the core that isn't started yet."""
        number = len(self.controls)
        machine = Machine(
            f"core-{number}", "control", f"{self.subnet}.1.{number + 1}",
            ZONES[number % 3],
        )
        self.controls.append(machine)
        return machine

    def write_settings(self, machine: Machine, *, bootstrap: bool) -> Path:
        """Writes a machine's settings; JSON is YAML too."""
        is_front = machine.role == "front"
        listen = (
            {"front": f"{machine.ip}:{FRONT_PORT}",
             "ready": f"{machine.ip}:{READY_PORT}"}
            if is_front
            else {"control": f"{machine.ip}:{CONTROL_PORT}"}
        )
        data = None
        if not is_front:
            data = str(self.folder / f"disk-{machine.name}")
            Path(data).mkdir(exist_ok=True)
        settings = {
            "node": machine.name,
            "role": machine.role,
            "machine_class": "front" if is_front else "core",
            "serves": ["front"] if is_front else ["control"],
            "ip": machine.ip,
            "zone": machine.zone,
            "region": "arusha",
            "zones": {zone: "arusha" for zone in ZONES},
            "listen": listen,
            "internal_ports": list(INTERNAL_PORTS),
            "seeds": [f"{c.ip}:{CONTROL_PORT}" for c in self.controls[:3]],
            "bootstrap": bootstrap,
            "loss_counts": not is_front,
            "limits": {
                "cpu_share": 0.537 if is_front else 0.86,
                "cores": 2 if is_front else 3,
                "memory_mb": 300 if is_front else 296,
                "file_descriptors": 4100 if is_front else 4096,
                "link_mbps": 1000.0,
                "disk_mb": 0 if is_front else 128,
            },
            "data_directory": data,
            "discovery": "register",
            "entry": "virtual_ip",
            "heartbeat_interval_ms": int(HEARTBEAT_SECONDS * 1000),
            "contracts": CONTRACTS,
            "tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "config_mode": "highest",
        }
        path = self.folder / f"{machine.name}.yaml"
        path.write_text(json.dumps(settings, indent=1))
        return path

    def start(self, machine: Machine, *, bootstrap: bool) -> None:
        """Starts a machine's process with the command of the deploy file."""
        settings = self.write_settings(machine, bootstrap=bootstrap)
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/tmp"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "RIDGESILL_SETTINGS": str(settings),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            **machine.environment,
        }
        log = (self.folder / f"{machine.name}.log").open("ab")
        machine.process = subprocess.Popen(
            self._runs[machine.role],
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        log.close()
        self.record(
            f"platform: start {machine.name} {machine.ip} "
            f"bootstrap={str(bootstrap).lower()}"
        )

    def kill(self, machine: Machine) -> None:
        """Kills a machine's process."""
        if machine.process is not None:
            machine.process.send_signal(signal.SIGKILL)
            self.record(f"platform: SIGKILL {machine.name} {machine.ip}")

    def end(self) -> None:
        """Ends all processes and removes the temporary folder."""
        for machine in self.machines:
            if machine.process is not None:
                try:
                    machine.process.send_signal(signal.SIGKILL)
                except ProcessLookupError:
                    pass
        for machine in self.machines:
            if machine.process is not None:
                machine.process.wait()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def is_running(self, machine: Machine) -> bool:
        return machine.process is not None and machine.process.poll() is None

    async def wait_until_ready(self, seconds: float = 40.0) -> None:
        """Waits until every front answers 200 at its `ready` address."""
        until = time.monotonic() + seconds
        waiting = list(self.fronts)
        while waiting:
            if time.monotonic() > until:
                raise CannotRun(f"not ready: {[m.name for m in waiting]}")
            for machine in list(waiting):
                answer = await call(
                    machine.ip, READY_PORT, "GET", "/ridgesill/ready"
                )
                if answer is not None and answer[0] == 200:
                    waiting.remove(machine)
            await asyncio.sleep(0.1)

    async def put_configuration(
        self, document: dict, seconds: float, pause: float = 0.2
    ) -> float | None:
        """Sends a configuration until a 200; returns the time of that."""
        version = document["version"]
        body = json.dumps(document).encode()
        until = time.monotonic() + seconds
        number = 0
        while time.monotonic() < until:
            machine = self.controls[number % len(self.controls)]
            number += 1
            answer = await call(
                machine.ip, CONTROL_PORT, "POST",
                "/ridgesill/Configuration.Put", body,
            )
            status = answer[0] if answer else "no answer"
            self.record(
                f"operator: Configuration.Put version={version} at "
                f"{machine.name}: {status}"
            )
            if status == 200:
                return time.monotonic()
            await asyncio.sleep(pause)
        return None


def _free_second_byte(controls: int, fronts: int) -> int:
    """Returns a second byte under which all addresses are free."""
    for _ in range(50):
        second = random.randint(10, 250)
        wanted = [
            (f"127.{second}.1.{n + 1}", port)
            for n in range(controls)
            for port in (CONTROL_PORT, INTERNAL_PORTS[0], METRICS_PORT)
        ] + [
            (f"127.{second}.2.{n + 1}", port)
            for n in range(fronts)
            for port in (
                FRONT_PORT, READY_PORT, INTERNAL_PORTS[0], METRICS_PORT
            )
        ]
        if all(_is_free(ip, port) for ip, port in wanted):
            return second
    raise CannotRun("no free loopback addresses")


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


# -- HTTP/1.1 ------------------------------------------------------------


async def read_message(reader: asyncio.StreamReader):
    """Reads a message; returns its first line, headers and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                break
            body += chunk[:-2]
    return first, headers, body


async def call(ip, port, method, path, body=b"", timeout=1.0):
    """Makes one call on a new channel; returns (status, body) or None."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, port)
            head = f"{method} {path} HTTP/1.1\r\nHost: {ip}:{port}\r\n"
            if method == "POST":
                head += (
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n"
                )
            writer.write(head.encode() + b"Connection: close\r\n\r\n" + body)
            first, _, answer = await read_message(reader)
            return int(first.split()[1]), answer
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


# -- stand-ins -----------------------------------------------------------


class PlainServer:
    """A sound server of a plain service, as PROTOCOL.md describes it."""

    def __init__(self, deployment: Deployment, name: str, service: str,
                 ip: str, zone: str, slots: int = 6) -> None:
        self.name, self.service, self.zone = name, service, zone
        self.ip, self.port = ip, 8080
        self._deployment = deployment
        self._record = deployment.record
        self._slots = slots
        self._sequence = 0
        self.beat_address = ""
        self._listener = None
        self._task = None
        self.work_seconds = 0.03
        # Arrivals: (time, request id, whether it was run).
        self.arrivals: list[tuple[float, str, bool]] = []

    async def start(self) -> None:
        self._listener = await asyncio.start_server(
            self._serve, self.ip, self.port
        )
        self._task = asyncio.create_task(self._send_beats())

    async def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()
        if self._listener is not None:
            self._listener.close()

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                first, headers, _ = await read_message(reader)
                now = time.monotonic()
                identifier = headers.get("request-id", "")
                wanted = headers.get("expect-instance", self.name)
                if wanted != self.name:
                    status, extra = "421 Misdirected Request", ""
                    self.arrivals.append((now, identifier, False))
                else:
                    self.arrivals.append((now, identifier, True))
                    await asyncio.sleep(self.work_seconds)
                    status = "200 OK"
                    extra = f"Server-Stamp: {self.name}.{identifier}\r\n"
                body = f"{self.name} {identifier}".encode()
                writer.write(
                    (
                        f"HTTP/1.1 {status}\r\nRequest-Id: {identifier}\r\n"
                        f"{extra}Content-Length: {len(body)}\r\n\r\n"
                    ).encode()
                    + body
                )
                await writer.drain()
                self._record(
                    f"server {self.name}: {first} {identifier}: {status}"
                )
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _send_beats(self) -> None:
        while True:
            await self.send_beat()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def beat_body(self) -> dict:
        return {
            "service": self.service,
            "address": f"{self.ip}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self._slots,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": self._sequence,
        }

    async def send_beat(self) -> None:
        self._sequence += 1
        answer, _ = await self._call_control(
            f"/ridgesill/Instances.Heartbeat/{self.name}",
            json.dumps(self.beat_body()).encode(),
        )
        if answer is not None:
            told = json.loads(answer[1] or b"{}").get("heartbeat_address")
            self.beat_address = told or self.beat_address

    async def _call_control(self, path: str, body: bytes):
        """Calls the told address, then the other control nodes, until 2xx."""
        addresses = [f"{c.ip}:{CONTROL_PORT}" for c in self._deployment.controls]
        if self.beat_address:
            addresses.insert(0, self.beat_address)
        for address in addresses:
            ip, _, port = address.rpartition(":")
            answer = await call(ip, int(port), "POST", path, body)
            if answer is not None and 200 <= answer[0] < 300:
                return answer, address
            if address == self.beat_address:
                self.beat_address = ""
        return None, ""


def make_document(version: int, routes: list[dict], services: list[str]):
    """Returns a configuration of plain services."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": s, "health_path": "/health", "connection_limit": 100,
             "protocol": "h1", "tls": False}
            for s in services
        ],
        "limits": {"header_bytes": 16384, "body_bytes": 4194304,
                   "header_ms": 3000, "idle_ms": 15000},
    }


def make_route(name: str, host: str, prefix: str, service: str,
               kind: str = "safe", attempts: int = 2) -> dict:
    """Returns a route like `slot-status` of the site."""
    return {
        "name": name, "host": host, "prefix": prefix, "kind": kind,
        "timeout_ms": 1000, "goal_ms": 200, "priority": 0, "service": service,
        "attempts": attempts,
    }


def run_case(folder: Path, play, **sizes) -> int:
    """Runs a case; returns 1 if the rule was broken, 0 if it held, else 2.

    Args:
        folder: folder of the case; gets `record.txt`.
        play: coroutine function of a deployment and whether there is trouble;
            returns a text for each breach.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record(f"case: trouble={int(trouble)}")
    deployment = None

    def stop(_number, _frame):
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, stop)
    try:
        deployment = Deployment(record, **sizes)

        async def limited():
            async with asyncio.timeout(110):
                return await play(deployment, trouble)

        breaches = asyncio.run(limited())
    except (CannotRun, TimeoutError, KeyboardInterrupt, OSError) as error:
        record(f"case: could not run: {error!r}")
        print(f"could not run: {error!r}")
        return 2
    finally:
        if deployment is not None:
            deployment.end()
    for breach in breaches:
        record(f"breach: {breach}")
        print(breach)
    record(f"result: {'broken' if breaches else 'held'}")
    print("the rule was broken" if breaches else "the rule held")
    record.close()
    return 1 if breaches else 0
