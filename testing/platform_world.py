"""A deployment on the platform, run as real processes on loopback addresses.

Each VM has its own address in 127.0.0.0/8, so that all VMs use the same ports.
The upstream is a plain service that runs in the test process and sends
heartbeats.
"""

import asyncio
import os
import re
import shutil
import signal
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import attrs
import msgspec
import urllib3
import yaml

from testing.processes import free_address

ROUTE_HOST = "a.example"
_ID_LINE = re.compile(rb"request-id:[^\r]*\r\n", re.IGNORECASE)
_HEARTBEAT_SECONDS = 0.5
_POLL_SECONDS = 20.0
# Bounds on key revocation and quotas in the settings of each process.
REVOKE_SECONDS = 2
QUOTA_WINDOW_SECONDS = 8
QUOTA_EXCESS = 0.1
QUOTA_SLACK = 20


def make_document(version: int, *prefixes: str) -> bytes:
    """Returns a configuration document with one safe route per prefix."""
    return _make_document(
        version,
        [
            _make_route(f"r{number}", prefix)
            for number, prefix in enumerate(prefixes)
        ],
    )


def make_kinds_document(
    kinds: Sequence[str], timeout_ms: int = 2000, **limits: int
) -> bytes:
    """Returns a document with a route for each kind, at `/<kind>/`.

    Args:
        kinds: kinds of routes.
        timeout_ms: timeout of the routes, in milliseconds.
        **limits: limits on clients.
    """
    routes = [
        _make_route(kind, f"/{kind}/", kind, timeout_ms) for kind in kinds
    ]
    return _make_document(1, routes, limits=limits)


def _make_route(
    name: str, prefix: str, kind: str = "safe", timeout_ms: int = 2000
) -> dict[str, Any]:
    return {
        "name": name,
        "host": ROUTE_HOST,
        "prefix": prefix,
        "kind": kind,
        "timeout_ms": timeout_ms,
        "goal_ms": 200,
        "priority": 0,
        "service": "plain",
        "attempts": 2,
    }


def _make_document(
    version: int, routes: list[dict[str, Any]], **further: Any
) -> bytes:
    services = [
        {"name": "plain", "health_path": "/health", "connection_limit": 50}
    ]
    document = {"version": version, "routes": routes, "services": services}
    return msgspec.json.encode(document | further)


@attrs.define
class Vm:
    """A VM and the ridgesill process that runs on it."""

    name: str
    role: str
    ip: str
    settings_file: Path
    data_folder: Path | None
    environment: dict[str, str] = attrs.Factory(dict)
    process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Starts the process; writes its log next to its settings file."""
        log = self.settings_file.with_suffix(".log").open("ab")
        environment = {
            **os.environ,
            **self.environment,
            "RIDGESILL_SETTINGS": str(self.settings_file),
        }
        self.process = subprocess.Popen(
            [sys.executable, "-m", "ridgesill", self.role],
            env=environment,
            stdout=log,
            stderr=subprocess.STDOUT,
        )

    def signal(self, number: int) -> None:
        """Sends a signal to the process if it runs."""
        if self.process is not None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kills the process and waits until it has exited."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()
            self.process = None

    def wipe(self) -> None:
        """Deletes the data on the VM's disk."""
        if self.data_folder is not None:
            shutil.rmtree(self.data_folder, ignore_errors=True)


def make_proof_lines(head: bytes) -> bytes:
    """Returns the header lines by which a success belongs to its request.

    Args:
        head: of the request; no id is named if it names none.
    """
    line = _ID_LINE.search(head)
    return b"Server-Stamp: s\r\n" + (line[0] if line else b"")


class PlainUpstream:
    """Answers every request, and sends heartbeats to a control node."""

    def __init__(self, controls: list[str]) -> None:
        self.address = free_address()
        self.served_requests = 0
        self.state = "ready"
        self._controls = controls
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._heartbeat_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts listening and sending heartbeats."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        self._heartbeat_task = asyncio.create_task(self._send_heartbeats())

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while not writer.is_closing():
                head = await reader.readuntil(b"\r\n\r\n")
                await self._answer(head, reader, writer)
        except (
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
            ConnectionError,
        ):
            pass
        finally:
            writer.close()

    async def _answer(
        self,
        head: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answers a request, of which `reader` has the body."""
        self.served_requests += 1
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n")
        writer.write(make_proof_lines(head) + b"\r\nfine")

    async def _send_heartbeats(self) -> None:
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
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "sequence": self._sequence,
        }
        url = f"http://{self._controls[0]}/ridgesill/Instances.Heartbeat/u1"
        answer = await send_http_request("POST", url, msgspec.json.encode(body))
        return answer is not None and answer.status == 200

    def stop(self) -> None:
        """Stops listening and sending heartbeats."""
        if self._server is not None:
            self._server.close()
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()


async def send_http_request(
    method: str, url: str, body: bytes = b"", **headers: str
) -> Any:
    """Sends a request; returns None without an answer within a second."""
    return await asyncio.to_thread(
        _send_http_request, method, url, body, headers
    )


def _send_http_request(
    method: str, url: str, body: bytes, headers: dict[str, str]
) -> Any:
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
    """A deployment of control nodes, fronts and one upstream.

    Args:
        folder: folder for settings, disks and logs.
        controls: number of control nodes.
        fronts: number of fronts.
        front_settings: further fields of the fronts' settings.
        control_settings: the same for the control nodes.
    """

    def __init__(
        self,
        folder: Path,
        controls: int = 3,
        fronts: int = 2,
        front_settings: dict[str, Any] | None = None,
        control_settings: dict[str, Any] | None = None,
    ) -> None:
        self._folder = folder
        self._further_settings = {
            "front": front_settings or {},
            "control": control_settings or {},
        }
        # Second byte of all addresses; differs between concurrent test runs.
        self._second_byte = 1 + os.getpid() % 250
        self._ports = [int(free_address().rpartition(":")[2]) for _ in range(4)]
        self.controls = [self._make_vm("control", n) for n in range(controls)]
        self.fronts = [self._make_vm("front", n) for n in range(fronts)]
        self.upstream = PlainUpstream(
            [self.control_address(vm) for vm in self.controls]
        )
        for vm in self.vms:
            self._write_settings(vm, first=True)

    @property
    def peers_port(self) -> int:
        """The port at which nodes reach each other."""
        return self._ports[3]

    @property
    def vms(self) -> list[Vm]:
        """All VMs."""
        return [*self.controls, *self.fronts]

    def _make_vm(self, role: str, number: int) -> Vm:
        third_byte = 1 if role == "control" else 2
        name = f"{role}-{number}"
        data = self._folder / name if role == "control" else None
        return Vm(
            name,
            role,
            f"127.{self._second_byte}.{third_byte}.{number + 1}",
            self._folder / f"{name}.yaml",
            data,
        )

    def _write_settings(self, vm: Vm, *, first: bool) -> None:
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
            "data_directory": str(vm.data_folder) if vm.data_folder else None,
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
        settings.update(self._further_settings[vm.role])
        vm.settings_file.write_text(yaml.safe_dump(settings))

    def client_address(self, vm: Vm) -> str:
        """Returns the address of a front for clients."""
        return f"{vm.ip}:{self._ports[0]}"

    def readiness_address(self, vm: Vm) -> str:
        """Returns the address at which a front says whether it is ready."""
        return f"{vm.ip}:{self._ports[1]}"

    def control_address(self, vm: Vm) -> str:
        """Returns the address of a control node for upstreams and operators."""
        return f"{vm.ip}:{self._ports[2]}"

    async def start(self) -> None:
        """Starts all processes for the first time, and the upstream."""
        for vm in self.vms:
            vm.start()
        await self.upstream.start()

    def restart(self, vm: Vm) -> None:
        """Starts a VM's process again, no longer as a first start."""
        self._write_settings(vm, first=False)
        vm.start()

    def stop(self) -> None:
        """Stops the upstream and kills all processes."""
        self.upstream.stop()
        for vm in self.vms:
            vm.kill()

    # -- operators' and clients' requests ------------------------------

    async def put_configuration(self, document: bytes) -> None:
        """Sends a configuration document until it is acknowledged."""
        path = "/ridgesill/Configuration.Put"
        await self.poll(lambda: self._ask_controls("POST", path, document))

    async def read_version(self) -> int:
        """Returns the configuration version that a control node confirms."""
        path = "/ridgesill/Configuration.Get"
        answer = await self.poll(lambda: self._ask_controls("GET", path))
        return int(msgspec.json.decode(answer.data)["version"])

    async def _ask_controls(
        self, method: str, path: str, body: bytes = b""
    ) -> Any:
        for vm in self.controls:
            url = f"http://{self.control_address(vm)}{path}"
            answer = await send_http_request(method, url, body)
            if answer is not None and answer.status == 200:
                return answer
        return None

    async def send_request(self, front: Vm, path: str) -> Any:
        """Sends a client's request; returns None without an answer."""
        return await send_http_request(
            "GET",
            f"http://{front.ip}:{self._ports[0]}{path}",
            host=ROUTE_HOST,
            request_id="r1",
            request_deadline="900",
        )

    async def wait_until_served(self, front: Vm, path: str) -> None:
        """Waits until a front answers requests for a path with 200."""

        async def request_once() -> Any:
            answer = await self.send_request(front, path)
            return answer if answer and answer.status == 200 else None

        await self.poll(request_once)

    async def poll(self, attempt: Any, seconds: float = _POLL_SECONDS) -> Any:
        """Repeats an attempt until it returns a result other than None.

        Raises:
            AssertionError: there was no result within `seconds`.
        """
        deadline = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < deadline:
            result = await attempt()
            if result is not None:
                return result
            await asyncio.sleep(0.05)
        raise AssertionError(f"no result within {seconds} s; {self.logs()}")

    def logs(self) -> str:
        """Returns the last 600 characters of each process's log."""
        ends = []
        for vm in self.vms:
            path = vm.settings_file.with_suffix(".log")
            text = path.read_text(errors="replace") if path.exists() else ""
            ends.append(f"{vm.name}: {text[-600:]}")
        return "\n".join(ends)
