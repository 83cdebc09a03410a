"""A small deployment on loopback addresses, and the stand-ins around it.

Only the standard library is used. Each machine has an address of its own in
127.0.0.0/8, so that ports are alike on all machines, as on the platform.
"""

import asyncio
import contextlib
import json
import logging
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "ficu95.example"
# The words with which a case ends.
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CannotRunError(Exception):
    """The case couldn't be set up, so that it shows nothing."""


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder):
        self._file = open(Path(folder) / "record.txt", "w", buffering=1)
        self._began = time.monotonic()

    def add(self, text):
        """Writes one line with the seconds since the start."""
        self._file.write(f"{time.monotonic() - self._began:9.3f} {text}\n")

    def say(self, text):
        """The same, and prints it."""
        self.add(text)
        print(text, flush=True)


def free_port():
    """Returns a port that is free now.

    It lies below those that the system gives to outgoing channels, one of which
    might take it before it is used.
    """
    for _ in range(200):
        port = random.randrange(11000, 29000)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            probe.bind(("127.0.0.1", port))
            return port
    raise CannotRunError("no port is free")


class Machine:
    """A machine with one process of the system."""

    def __init__(self, name, role, ip, folder):
        self.name, self.role, self.ip = name, role, ip
        self.settings = folder / f"{name}.yaml"
        self.disk = folder / name if role == "control" else None
        self.log = folder / f"{name}.log"
        self.environment = {}
        self.process = None

    def start(self):
        """Starts the process with the command of the deploy file."""
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["RIDGESILL_SETTINGS"] = str(self.settings)
        environment |= self.environment
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "ridgesill", self.role],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number):
        """Sends a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        """Kills the process and waits for its end."""
        if self.process is not None:
            self.signal(signal.SIGKILL)
            self.process.wait()
            self.process = None


class Deployment:
    """The machines of a small deployment, with the bounds of tanuru-book."""

    def __init__(self, record, fronts=2, controls=5, bounds=None, limits=None):
        if not (ROOT / "target" / "deps" / "ridgesill").is_dir():
            raise CannotRunError("target/deps: run the build of the deploy file")
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.ports = {
            name: free_port() for name in ("front", "ready", "control", "peers")
        }
        self.network = random.randrange(10, 250)
        self.controls = [
            Machine(f"core-{n}", "control", f"127.{self.network}.1.{n + 1}",
                    self.folder)
            for n in range(controls)
        ]
        self.fronts = [
            Machine(f"front-{n}", "front", f"127.{self.network}.2.{n + 1}",
                    self.folder)
            for n in range(fronts)
        ]
        self._bounds = {
            "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000,
            "acknowledge_ms": 4000, "catch_up_s": 4, "drain_ms": 2000,
            "grace_s": 8, "loss_slack_ms": 200, "config_ms": 2000,
            "revert_slack_ms": 250, "stretch_limit_ms": 5000,
            "budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 54,
            "recovery_s": 12, "pass_ms": 120, "retry_after_s": 0,
            "require_fencing": False, "lease_ms": 3000, "thaw_ms": 300,
            "ceiling_window_s": 5, "ceiling_excess": 1.1, "version_ms": 5000,
        } | (bounds or {})
        self._limits = limits or {}
        for machine in self.machines:
            self.write_settings(machine, bootstrap=True)

    @property
    def machines(self):
        """All machines."""
        return [*self.controls, *self.fronts]

    def write_settings(self, machine, bootstrap):
        """Writes the settings file, as at a start on the platform."""
        is_core = machine.role == "control"
        names = ("control",) if is_core else ("front", "ready")
        limits = {
            "cpu_share": 0.86 if is_core else 0.537,
            "cores": 3 if is_core else 2,
            "memory_mb": 296 if is_core else 300,
            "file_descriptors": 4096 if is_core else 4100,
            "link_mbps": 1000.0,
            "disk_mb": 128 if is_core else 0,
        } | self._limits.get(machine.role, {})
        # JSON is YAML too.
        machine.settings.write_text(json.dumps({
            "node": machine.name, "role": machine.role,
            "machine_class": "core" if is_core else "front",
            "serves": ["control"] if is_core else ["front"],
            "ip": machine.ip, "zone": "njiro", "region": "arusha",
            "zones": {"njiro": "arusha"},
            "listen": {
                name: f"{machine.ip}:{self.ports[name]}" for name in names
            },
            "internal_ports": [self.ports["peers"], self.ports["peers"] + 15],
            "seeds": [
                f"{core.ip}:{self.ports['control']}"
                for core in self.controls[:3]
            ],
            "bootstrap": bootstrap, "loss_counts": is_core, "limits": limits,
            "data_directory": str(machine.disk) if is_core else None,
            "discovery": "register", "entry": "virtual_ip",
            "heartbeat_interval_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry",
                          "recover", "fleet", "stream", "engine"],
            "tolerance": {"machines": (len(self.controls) - 1) // 2,
                          "zones": 0, "regions": 0},
            "bounds": self._bounds, "config_mode": "highest",
        }))

    def start(self):
        """Starts all machines, as at the first start of the system."""
        for machine in self.machines:
            machine.start()

    def restart(self, machine):
        """Starts a process again; only the first start is a bootstrap."""
        machine.kill()
        self.write_settings(machine, bootstrap=False)
        machine.start()

    def close(self):
        """Ends all processes; keeps nothing."""
        for machine in self.machines:
            machine.signal(signal.SIGCONT)
            machine.kill()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def address(self, machine, port):
        """Returns the host and the named port of a machine."""
        return machine.ip, self.ports[port]

    # -- the operator --------------------------------------------------

    async def put(self, document, seconds=30.0):
        """Sends a configuration until it is acknowledged; returns the time.

        The pauses between tries grow, as on the platform.
        """
        body = json.dumps(document).encode()
        deadline = time.monotonic() + seconds
        pause, tries = 0.05, 0
        while time.monotonic() < deadline:
            core = self.controls[tries % len(self.controls)]
            tries += 1
            answer = await ask(
                *self.address(core, "control"), "POST",
                "/ridgesill/Configuration.Put", body,
                {"Content-Type": "application/json"}, 2.0)
            status = answer.status if answer else None
            if status == 200:
                self.record.add(
                    f"version {document['version']} acknowledged by"
                    f" {core.name}")
                return time.monotonic()
            self.record.add(
                f"version {document['version']}: {core.name} -> {status}")
            await asyncio.sleep(pause)
            pause = min(pause * 1.5, 0.5)
        return None

    async def get(self):
        """Returns the configuration that some core machine reads back."""
        for core in self.controls:
            answer = await ask(*self.address(core, "control"), "GET",
                               "/ridgesill/Configuration.Get", b"", {}, 2.0)
            if answer and answer.status == 200:
                return json.loads(answer.body)
        return None

    async def is_ready(self, front):
        """Whether a front says that it is ready."""
        answer = await ask(*self.address(front, "ready"), "GET",
                           "/ridgesill/ready", b"", {}, 1.0)
        return answer is not None and answer.status == 200

    async def wait_ready(self, seconds=40.0):
        """Waits until all fronts are ready."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if all([await self.is_ready(front) for front in self.fronts]):
                return
            await asyncio.sleep(0.2)
        raise CannotRunError("the fronts didn't get ready")


class Answer:
    """An HTTP answer.

    `is_whole` says whether its length or its last chunk has come.
    """

    def __init__(self, status, headers, body, is_whole):
        self.status, self.headers = status, headers
        self.body, self.is_whole = body, is_whole


async def read_head(reader):
    """Returns the first line and the headers, with names in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_chunks(reader):
    """Yields the chunks of a body."""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        data = await reader.readexactly(size)
        await reader.readline()
        if not size:
            return
        yield data


async def read_body(reader, headers, has_rest):
    """Returns a body; one without a length goes on to the end if allowed."""
    if "chunked" in headers.get("transfer-encoding", ""):
        return b"".join([data async for data in read_chunks(reader)])
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if has_rest else b""


def encode_request(method, path, body, headers, host):
    """Returns the bytes of a request."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def ask(ip, port, method, path, body, headers, seconds, host=None):
    """Sends a request on a new channel; returns its answer or None."""
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(encode_request(
                method, path, body, headers, host or f"{ip}:{port}"))
            first, found = await read_head(reader)
            status = int(first.split()[1])
            try:
                data = await read_body(reader, found, True)
            except (asyncio.IncompleteReadError, ValueError, OSError):
                return Answer(status, found, b"", False)
            return Answer(status, found, data, True)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            with contextlib.suppress(Exception):
                writer.transport.abort()


def run_case(folder, case):
    """Runs a case and exits with 0 (held), 1 (broken) or 2 (couldn't run).

    Args:
        folder: of the case.
        case: takes the record and whether there is trouble; returns whether
            the rule held.
    """
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.say("with the disruption" if has_trouble else "no disruption")

    # Channels that the other side has closed are part of every case.
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)

    async def bounded():
        async with asyncio.timeout(110):
            held = await case(record, has_trouble)
            # Lets the channels of the stand-ins end.
            await asyncio.sleep(0.2)
            return held

    # Ends the processes of the case also if it is asked to stop.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    try:
        held = asyncio.run(bounded())
    except Exception as error:
        # An error of the case itself is no verdict on the rule.
        record.say(f"couldn't run: {error!r}")
        sys.exit(COULD_NOT_RUN)
    record.say("the rule held" if held else "the rule was broken")
    sys.exit(HELD if held else BROKEN)
