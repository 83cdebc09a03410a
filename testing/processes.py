"""Runs nodes and stand-ins as processes on loopback."""

import contextlib
import os
import secrets
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import attrs
import msgspec
import urllib3

_START_SECONDS = 30.0
_POLL_SECONDS = 0.05
_RESERVED_SOCKETS: list[socket.socket] = []


def free_address() -> str:
    """Returns a free loopback address, `host:port`.

    The socket stays bound, without listening, so that the OS gives the port to
    no other socket; otherwise two nodes may get the same port. A listener that
    sets SO_REUSEADDR can still bind to it.
    """
    reserved = socket.socket()
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved.bind(("127.0.0.1", 0))
    _RESERVED_SOCKETS.append(reserved)
    return f"127.0.0.1:{reserved.getsockname()[1]}"


def send_request(
    method: str, url: str, **options: Any
) -> urllib3.BaseHTTPResponse:
    """Sends a request on a new connection and reads the whole answer.

    A server closes a kept connection that is idle for its timeout. A request
    that is on its way in that moment gets no answer, as if the process had
    ended: 12 of 2,000 requests that were sent within 0.6 s after the timeout
    were lost so.

    Args:
        method: HTTP method.
        url: absolute URL.
        **options: see `urllib3.PoolManager.request`.

    Raises:
        urllib3.exceptions.HTTPError: there was no complete answer.
    """
    with urllib3.PoolManager(retries=False) as pool:
        return pool.request(method, url, **options)


def wait_until(condition: Any, description: str, seconds: float = 30.0) -> Any:
    """Polls a condition and returns its first true value.

    Args:
        condition: called without arguments.
        description: what is waited for, for the error.
        seconds: timeout.

    Raises:
        AssertionError: if the condition isn't true in time.
    """
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(_POLL_SECONDS)
    raise AssertionError(f"{description}: not within {seconds} s")


@attrs.define
class RunningProcess:
    """A process that this harness started."""

    command: list[str]
    output: Path
    process: subprocess.Popen | None = None

    def start(self) -> None:
        """Starts the process; its output is appended to `output`."""
        with self.output.open("ab") as output_file:
            self.process = subprocess.Popen(
                self.command,
                stdout=output_file,
                stderr=output_file,
                stdin=subprocess.DEVNULL,
            )

    @property
    def pid(self) -> int:
        """Process id."""
        assert self.process is not None
        return self.process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: int) -> None:
        """Sends a signal if the process is running."""
        if self.is_running:
            os.kill(self.pid, number)

    def kill(self) -> None:
        """Sends SIGKILL and waits for the end of the process."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait(10)

    def stop(self, seconds: float = 30.0) -> int:
        """Sends SIGTERM, also to a suspended process; returns the exit code."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        assert self.process is not None
        return self.process.wait(seconds)


def ridgesill(*arguments: str) -> list[str]:
    """Returns the command that runs ridgesill with these arguments."""
    return [sys.executable, "-m", "ridgesill.app.cli", *arguments]


@attrs.define
class NodeHandle:
    """A node's process and its addresses.

    Attributes:
        callers: address for callers.
        admin: address of the administration interface.
        runners: address for announcements of runners.
        peers: address for other nodes.
    """

    name: str
    data_centre: str
    folder: Path
    is_voter: bool
    callers: str = attrs.Factory(free_address)
    admin: str = attrs.Factory(free_address)
    runners: str = attrs.Factory(free_address)
    peers: str = attrs.Factory(free_address)
    running: RunningProcess | None = None

    @property
    def settings(self) -> Path:
        """Path of its settings file."""
        return self.folder / f"{self.name}.ini"

    @property
    def data_folder(self) -> Path:
        """Path of its data folder."""
        return self.folder / f"{self.name}.data"

    @property
    def log(self) -> Path:
        """Path of its log file."""
        return self.folder / f"{self.name}.log"

    def is_ready(self) -> bool:
        """Whether its readiness endpoint answers 200."""
        return self.get(self.callers, "/readyz") == 200

    def is_live(self) -> bool:
        """Whether its liveness endpoint answers 200."""
        return self.get(self.callers, "/livez") == 200

    def get(self, address: str, path: str) -> int:
        """Returns the HTTP status of a GET request, or 0 without an answer."""
        try:
            return send_request(
                "GET", f"http://{address}{path}", timeout=2
            ).status
        except urllib3.exceptions.HTTPError:
            return 0


@attrs.define
class StandInHandle:
    """A stand-in's process and its address.

    Attributes:
        engine: further keys of the settings section `engine`.
        listen: address that it listens on.
    """

    name: str
    service: str
    data_centre: str
    folder: Path
    kind: str = "model"
    slots: int = 2
    engine: dict[str, Any] = attrs.Factory(dict)
    listen: str = attrs.Factory(free_address)
    running: RunningProcess | None = None

    @property
    def settings(self) -> Path:
        """Path of its settings file."""
        return self.folder / f"{self.name}.ini"

    @property
    def journal(self) -> Path:
        """Path of the journal, a file with one JSON event per line."""
        return self.folder / f"{self.name}.journal"

    def events(self) -> list[dict[str, Any]]:
        """Returns the events in its journal; none if there is no journal."""
        if not self.journal.exists():
            return []
        lines = self.journal.read_bytes().splitlines()
        return [msgspec.json.decode(line) for line in lines]


class Deployment:
    """Nodes and stand-ins whose files are in one folder.

    Args:
        folder: folder for settings, data and logs.
        settings: additional settings of every node, by section and key.
    """

    def __init__(
        self, folder: Path, settings: dict[str, dict[str, Any]] | None = None
    ) -> None:
        self.folder = folder
        self.nodes: dict[str, NodeHandle] = {}
        self.stand_ins: dict[str, StandInHandle] = {}
        self.token = secrets.token_hex(16)
        self.token_file = folder / "token"
        self.token_file.write_text(self.token)
        self._extra_settings = settings or {}
        self._started: list[RunningProcess] = []

    # -- setup ------------------------------------------------------------

    def add_node(
        self, name: str, data_centre: str, *, voter: bool = False
    ) -> NodeHandle:
        """Adds a node, which `start_node` starts."""
        node = NodeHandle(name, data_centre, self.folder, voter)
        self.nodes[name] = node
        return node

    def add_stand_in(
        self, name: str, service: str, data_centre: str, **fields: Any
    ) -> StandInHandle:
        """Adds a stand-in, which `start_stand_in` starts."""
        stand_in = StandInHandle(
            name, service, data_centre, self.folder, **fields
        )
        self.stand_ins[name] = stand_in
        return stand_in

    def write_settings(self) -> None:
        """Writes the settings files of all nodes and stand-ins."""
        for node in self.nodes.values():
            node.settings.write_text(self._node_settings(node))
        for stand_in in self.stand_ins.values():
            stand_in.settings.write_text(self._stand_in_settings(stand_in))

    def _node_settings(self, node: NodeHandle) -> str:
        seeds = [
            f"{n.name}={n.peers}" for n in self.nodes.values() if n.is_voter
        ]
        sections: dict[str, dict[str, Any]] = {
            "node": {"name": node.name, "data_centre": node.data_centre},
            "listen": {
                "callers": node.callers,
                "admin": node.admin,
                "runners": node.runners,
                "peers": node.peers,
            },
            "voters": {"seeds": ", ".join(seeds)},
            "admin": {"token_file": self.token_file},
            "logs": {"log_file": node.log},
        }
        if node.is_voter:
            sections["node"]["data_folder"] = node.data_folder
        for name, extra in self._extra_settings.items():
            sections[name] = {**sections.get(name, {}), **extra}
        return _ini(sections)

    def _stand_in_settings(self, stand_in: StandInHandle) -> str:
        local_addresses = [
            node.runners
            for node in self.nodes.values()
            if node.data_centre == stand_in.data_centre
        ]
        announce = local_addresses or [
            node.runners for node in self.nodes.values()
        ]
        sections = {
            "stand-in": {
                "name": stand_in.name,
                "kind": stand_in.kind,
                "service": stand_in.service,
                "data_centre": stand_in.data_centre,
                "listen": stand_in.listen,
                "announce": ", ".join(announce),
                "journal": stand_in.journal,
                "announce_seconds": 0.3,
            },
            "engine": {"slots": stand_in.slots, **stand_in.engine},
        }
        return _ini(sections)

    # -- running ------------------------------------------------------------

    def initialize_log(self) -> None:
        """Creates the initial log on each voter, with the command `found`."""
        for node in self.nodes.values():
            if node.is_voter:
                self.run("found", str(node.settings))

    def start_all(self) -> None:
        """Starts all nodes and stand-ins and waits until the nodes are live."""
        for name in self.nodes:
            self.start_node(name)
        for name in self.stand_ins:
            self.start_stand_in(name)
        for node in self.nodes.values():
            wait_until(node.is_live, f"{node.name} is live", _START_SECONDS)

    def start_node(self, name: str) -> None:
        """Starts a node."""
        node = self.nodes[name]
        node.running = self._launch(ridgesill("node", str(node.settings)), name)

    def start_stand_in(self, name: str) -> None:
        """Starts a stand-in."""
        stand_in = self.stand_ins[name]
        stand_in.running = self._launch(
            ridgesill("stand_in", str(stand_in.settings)), name
        )

    def wait_serving(self) -> None:
        """Waits until each running node is ready and knows all owners."""
        expected_pools = {
            f"{s.data_centre}/{s.service}"
            for s in self.stand_ins.values()
            if s.running and s.running.is_running
        }
        for node in self.nodes.values():
            if not (node.running and node.running.is_running):
                continue
            wait_until(node.is_ready, f"{node.name} is ready")

            def knows_owners(node: NodeHandle = node) -> bool:
                status = self.status(node)
                return bool(status) and expected_pools <= {
                    pool["pool"] for pool in status["pools"]
                }

            wait_until(knows_owners, f"{node.name} knows the owners")

    def _launch(self, command: list[str], name: str) -> RunningProcess:
        running = RunningProcess(command, self.folder / f"{name}.out")
        running.start()
        self._started.append(running)
        return running

    def run(self, *arguments: str, check: bool = True) -> str:
        """Runs a ridgesill command to its end.

        Returns:
            Standard output followed by standard error.

        Raises:
            AssertionError: if `check` is set and the command fails.
        """
        completed = subprocess.run(
            ridgesill(*arguments),
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        if check and completed.returncode:
            raise AssertionError(
                f"{arguments}: {completed.stdout}{completed.stderr}"
            )
        return completed.stdout + completed.stderr

    def close(self) -> None:
        """Kills every process that was started, also suspended ones."""
        for running in self._started:
            running.signal(signal.SIGCONT)
            running.kill()

    # -- administration -------------------------------------------------------

    def admin(
        self,
        node: NodeHandle,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> Any:
        """Sends a request to a node's administration interface.

        Returns:
            The decoded answer, or None if there is none.

        Raises:
            AssertionError: if the answer has no body.
        """
        request_headers = {
            "Authorization": f"Bearer {self.token}",
            **(headers or {}),
        }
        try:
            answer = send_request(
                method,
                f"http://{node.admin}{path}",
                body=body,
                headers=request_headers,
                timeout=15,
            )
        except urllib3.exceptions.HTTPError:
            return None
        if not answer.data:
            raise AssertionError(f"{method} {path}: {answer.status}, no body")
        return msgspec.json.decode(answer.data)

    def status(self, node: NodeHandle) -> Any:
        """Returns a node's status."""
        return self.admin(node, "GET", "/v1/status")

    def show(self, node: NodeHandle) -> Any:
        """Returns the configuration that is in force on a node."""
        return self.admin(node, "GET", "/v1/configuration")

    def leader(self) -> NodeHandle | None:
        """Returns the node that reports itself as leader, or None."""
        for node in self.nodes.values():
            if node.running and node.running.is_running:
                status = self.status(node)
                if status and status["leader"] == node.name:
                    return node
        return None

    def apply(self, node: NodeHandle, text: str, operation: str = "") -> str:
        """Applies a configuration on the command line; returns the output."""
        path = self.folder / f"apply-{secrets.token_hex(3)}.ini"
        path.write_text(text)
        return self.run(
            "apply",
            str(path),
            f"--admin={node.admin}",
            f"--token_file={self.token_file}",
            f"--operation={operation}",
            check=False,
        )


def _ini(sections: dict[str, dict[str, Any]]) -> str:
    lines = []
    for name, keys in sections.items():
        lines.append(f"[{name}]")
        lines += [f"{key} = {value}" for key, value in keys.items()]
        lines.append("")
    return "\n".join(lines)


@contextlib.contextmanager
def deployed(deployment: Deployment) -> Iterator[Deployment]:
    """Starts a deployment with a new log and kills its processes at the end."""
    try:
        deployment.write_settings()
        deployment.initialize_log()
        deployment.start_all()
        yield deployment
    finally:
        deployment.close()
