"""A deployment on the platform as real processes on loopback addresses.

Each VM is an address of 127.0.0.0/8, so that ports are alike on all of them.
The upstream is a plain service inside the test, which sends heartbeats.
"""

import asyncio
import os
import shutil
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import attrs
import msgspec
import urllib3
import yaml

from testing.processes import free_address

ROUTE_HOST = "a.example"
_HEARTBEAT_SECONDS = 0.5
_READY_SECONDS = 20.0
# What the settings of each process say of keys and limits.
REVOKE_SECONDS = 2
QUOTA_WINDOW_SECONDS = 8
QUOTA_EXCESS = 0.1
QUOTA_SLACK = 20


def make_document(version: int, *prefixes: str) -> bytes:
    """Returns a configuration with a safe route for each prefix."""
    routes = [
        {
            "name": f"r{number}",
            "host": ROUTE_HOST,
            "prefix": prefix,
            "kind": "safe",
            "timeout_ms": 2000,
            "goal_ms": 200,
            "priority": 0,
            "service": "plain",
            "attempts": 2,
        }
        for number, prefix in enumerate(prefixes)
    ]
    services = [
        {"name": "plain", "health_path": "/health", "connection_limit": 50}
    ]
    document = {"version": version, "routes": routes, "services": services}
    return msgspec.json.encode(document)


@attrs.define
class Vm:
    """A VM and the process on it."""

    name: str
    role: str
    ip: str
    settings: Path
    data: Path | None
    environment: dict[str, str] = attrs.Factory(dict)
    process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Starts its process; its log goes beside its settings."""
        log = self.settings.with_suffix(".log").open("ab")
        environment = {
            **os.environ,
            **self.environment,
            "RIDGESILL_SETTINGS": str(self.settings),
        }
        self.process = subprocess.Popen(
            [sys.executable, "-m", "ridgesill", self.role],
            env=environment,
            stdout=log,
            stderr=subprocess.STDOUT,
        )

    def signal(self, number: int) -> None:
        """Sends its process a signal."""
        if self.process is not None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kills its process and waits until it is gone."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()
            self.process = None

    def wipe(self) -> None:
        """Empties its disk."""
        if self.data is not None:
            shutil.rmtree(self.data, ignore_errors=True)


class PlainUpstream:
    """Answers every request, and tells a control node that it is there."""

    def __init__(self, controls: list[str]) -> None:
        self.address = free_address()
        self.served = 0
        self.state = "ready"
        self._controls = controls
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._beating: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begins to listen and to send heartbeats."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        self._beating = asyncio.create_task(self._beat())

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                self.served += 1
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine"
                )
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def _beat(self) -> None:
        while True:
            for control in self._controls:
                if await self.send_heartbeat():
                    break
                self._controls.append(self._controls.pop(0))
                del control
            await asyncio.sleep(_HEARTBEAT_SECONDS)

    async def send_heartbeat(self) -> bool:
        """Sends a heartbeat; returns whether it was acknowledged."""
        self._sequence += 1
        body = {
            "service": "plain",
            "address": self.address,
            "zone": "a",
            "slots": 8,
            "state": self.state,
            "sequence": self._sequence,
        }
        url = f"http://{self._controls[0]}/ridgesill/Instances.Heartbeat/u1"
        answer = await call("POST", url, msgspec.json.encode(body))
        return answer is not None and answer.status == 200

    def stop(self) -> None:
        """Ends it."""
        if self._server is not None:
            self._server.close()
        if self._beating is not None:
            self._beating.cancel()


async def call(method: str, url: str, body: bytes = b"", **headers: str) -> Any:
    """Returns an answer, or None if there was none within a second."""
    return await asyncio.to_thread(_call, method, url, body, headers)


def _call(method: str, url: str, body: bytes, headers: dict[str, str]) -> Any:
    try:
        return urllib3.request(
            method,
            url,
            body=body or None,
            headers={k.replace("_", "-"): v for k, v in headers.items()},
            timeout=1.0,
            retries=False,
        )
    except urllib3.exceptions.HTTPError:
        return None


class PlatformDeployment:
    """Control nodes and fronts.

    Args:
        folder: for settings, disks and logs.
        controls: how many control nodes.
        fronts: how many fronts.
    """

    def __init__(
        self, folder: Path, controls: int = 3, fronts: int = 2
    ) -> None:
        self._folder = folder
        # A part of the address that no other test run uses.
        self._net = 1 + os.getpid() % 250
        self._ports = [int(free_address().rpartition(":")[2]) for _ in range(4)]
        self.controls = [self._make("control", n) for n in range(controls)]
        self.fronts = [self._make("front", n) for n in range(fronts)]
        self.upstream = PlainUpstream(
            [self.control_address(vm) for vm in self.controls]
        )
        for vm in self.vms:
            self._write(vm, first=True)

    @property
    def vms(self) -> list[Vm]:
        """All VMs."""
        return [*self.controls, *self.fronts]

    def _make(self, role: str, number: int) -> Vm:
        third = 1 if role == "control" else 2
        name = f"{role}-{number}"
        data = self._folder / name if role == "control" else None
        return Vm(
            name,
            role,
            f"127.{self._net}.{third}.{number + 1}",
            self._folder / f"{name}.yaml",
            data,
        )

    def _write(self, vm: Vm, *, first: bool) -> None:
        front, ready, control, peers = self._ports
        if vm.role == "front":
            listen = {"front": f"{vm.ip}:{front}", "ready": f"{vm.ip}:{ready}"}
        else:
            listen = {"control": f"{vm.ip}:{control}"}
        settings = {
            "node": vm.name,
            "zone": "a",
            "ip": vm.ip,
            "listen": listen,
            "internal_ports": [peers, peers + 9],
            "seeds": [f"{c.ip}:{control}" for c in self.controls],
            "bootstrap": first,
            "data_directory": str(vm.data) if vm.data else None,
            "tolerance": {"machines": len(self.controls) // 2},
            "heartbeat_interval_ms": 1000 * _HEARTBEAT_SECONDS,
            "bounds": {
                "grace_s": 6,
                "lease_ms": 1000,
                "strict_revocation": True,
                "revoke_ms": REVOKE_SECONDS * 1000,
                "quota_window_s": QUOTA_WINDOW_SECONDS,
                "quota_excess": QUOTA_EXCESS,
                "quota_slack": QUOTA_SLACK,
            },
        }
        vm.settings.write_text(yaml.safe_dump(settings))

    def control_address(self, vm: Vm) -> str:
        """Returns a control node's address for upstreams and operators."""
        return f"{vm.ip}:{self._ports[2]}"

    async def start(self) -> None:
        """Starts everything for the first time."""
        for vm in self.vms:
            vm.start()
        await self.upstream.start()

    def restart(self, vm: Vm) -> None:
        """Starts a VM's process again."""
        self._write(vm, first=False)
        vm.start()

    def stop(self) -> None:
        """Ends everything."""
        self.upstream.stop()
        for vm in self.vms:
            vm.kill()

    # -- what operators and clients do ---------------------------------

    async def put_configuration(self, document: bytes) -> None:
        """Sends a configuration until it is acknowledged."""
        path = "/ridgesill/Configuration.Put"
        await self.poll(lambda: self._ask_controls("POST", path, document))

    async def read_version(self) -> int:
        """Returns the version that a control node is sure of."""
        path = "/ridgesill/Configuration.Get"
        answer = await self.poll(lambda: self._ask_controls("GET", path))
        return int(msgspec.json.decode(answer.data)["version"])

    async def _ask_controls(
        self, method: str, path: str, body: bytes = b""
    ) -> Any:
        for vm in self.controls:
            url = f"http://{self.control_address(vm)}{path}"
            answer = await call(method, url, body)
            if answer is not None and answer.status == 200:
                return answer
        return None

    async def send_request(self, front: Vm, path: str) -> Any:
        """Sends a client's request; returns the answer or None."""
        return await call(
            "GET",
            f"http://{front.ip}:{self._ports[0]}{path}",
            host=ROUTE_HOST,
            request_id="r1",
            request_deadline="900",
        )

    async def wait_until_served(self, front: Vm, path: str) -> None:
        """Waits until a front serves a path."""

        async def try_once() -> Any:
            answer = await self.send_request(front, path)
            return answer if answer and answer.status == 200 else None

        await self.poll(try_once)

    async def poll(self, attempt: Any, seconds: float = _READY_SECONDS) -> Any:
        """Tries until something comes back; returns it."""
        deadline = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < deadline:
            result = await attempt()
            if result is not None:
                return result
            await asyncio.sleep(0.05)
        raise AssertionError(f"nothing within {seconds} s; {self.logs()}")

    def logs(self) -> str:
        """Returns the ends of all logs, for a failed test."""
        ends = []
        for vm in self.vms:
            path = vm.settings.with_suffix(".log")
            text = path.read_text(errors="replace") if path.exists() else ""
            ends.append(f"{vm.name}: {text[-600:]}")
        return "\n".join(ends)
