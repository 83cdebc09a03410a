"""Real processes on loopback, for tests, the demo and measurements."""

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
_POLL = 0.05
_HELD: list[socket.socket] = []


def free_address() -> str:
    """Returns a loopback address that the OS has just found free.

    The socket stays bound, without listening, so that the OS gives the port
    to nobody else; a listener that allows reuse may still bind to it. Two
    nodes were once given the same port (issue 3).
    """
    held = socket.socket()
    held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    held.bind(("127.0.0.1", 0))
    _HELD.append(held)
    return f"127.0.0.1:{held.getsockname()[1]}"


def wait_until(condition: Any, what: str, seconds: float = 30.0) -> Any:
    """Returns a condition's first true value, or fails after `seconds`."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(_POLL)
    raise AssertionError(f"{what}: not within {seconds} s")


@attrs.define
class RunningProcess:
    """A process that this harness started."""

    command: list[str]
    output: Path
    process: subprocess.Popen | None = None

    def start(self) -> None:
        """Starts it."""
        with self.output.open("ab") as out:
            self.process = subprocess.Popen(
                self.command, stdout=out, stderr=out, stdin=subprocess.DEVNULL
            )

    @property
    def pid(self) -> int:
        """Its process id."""
        assert self.process is not None
        return self.process.pid

    @property
    def is_running(self) -> bool:
        """Whether it has not ended."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: int) -> None:
        """Sends it a signal."""
        if self.is_running:
            os.kill(self.pid, number)

    def kill(self) -> None:
        """Ends it at once."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait(10)

    def stop(self, seconds: float = 30.0) -> int:
        """Asks it to stop and returns its exit code."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        assert self.process is not None
        return self.process.wait(seconds)


def ridgesill(*arguments: str) -> list[str]:
    """Returns the command that runs the program with arguments."""
    return [sys.executable, "-m", "ridgesill.app.cli", *arguments]


@attrs.define
class NodeHandle:
    """A node's process and its addresses."""

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
        """Whether its readiness endpoint says so."""
        return self.get(self.callers, "/readyz") == 200

    def is_live(self) -> bool:
        """Whether it answers at all."""
        return self.get(self.callers, "/livez") == 200

    def get(self, address: str, path: str) -> int:
        """Returns the status of a GET, or 0."""
        try:
            return urllib3.request(
                "GET", f"http://{address}{path}", timeout=2, retries=False
            ).status
        except urllib3.exceptions.HTTPError:
            return 0


@attrs.define
class StandInHandle:
    """A stand-in's process and its addresses."""

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
        """Path of its journal."""
        return self.folder / f"{self.name}.journal"

    def events(self) -> list[dict[str, Any]]:
        """Returns what its journal lists."""
        if not self.journal.exists():
            return []
        lines = self.journal.read_bytes().splitlines()
        return [msgspec.json.decode(line) for line in lines]


class Deployment:
    """Nodes and stand-ins under one folder; ends all it started.

    Args:
        folder: where settings, data and logs go.
        settings: more sections and keys of every node.
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
        self._extra = settings or {}
        self._started: list[RunningProcess] = []

    # -- making -----------------------------------------------------------

    def add_node(
        self, name: str, data_centre: str, *, voter: bool = False
    ) -> NodeHandle:
        """Adds a node; it is started by `start_node`."""
        node = NodeHandle(name, data_centre, self.folder, voter)
        self.nodes[name] = node
        return node

    def add_stand_in(
        self, name: str, service: str, data_centre: str, **fields: Any
    ) -> StandInHandle:
        """Adds a stand-in; it is started by `start_stand_in`."""
        stand_in = StandInHandle(
            name, service, data_centre, self.folder, **fields
        )
        self.stand_ins[name] = stand_in
        return stand_in

    def write_settings(self) -> None:
        """Writes the settings of all that was added."""
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
        for name, extra in self._extra.items():
            sections[name] = {**sections.get(name, {}), **extra}
        return _ini(sections)

    def _stand_in_settings(self, stand_in: StandInHandle) -> str:
        near = [
            node.runners
            for node in self.nodes.values()
            if node.data_centre == stand_in.data_centre
        ]
        announce = near or [node.runners for node in self.nodes.values()]
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

    def found(self) -> None:
        """Founds the log of the voters."""
        for node in self.nodes.values():
            if node.is_voter:
                self.run("found", str(node.settings))

    def start_all(self) -> None:
        """Starts all that was added and waits until it answers."""
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
        """Waits until every running node serves and knows all owners."""
        wanted = {
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
                return bool(status) and wanted <= {
                    pool["pool"] for pool in status["pools"]
                }

            wait_until(knows_owners, f"{node.name} knows the owners")

    def _launch(self, command: list[str], name: str) -> RunningProcess:
        running = RunningProcess(command, self.folder / f"{name}.out")
        running.start()
        self._started.append(running)
        return running

    def run(self, *arguments: str, check: bool = True) -> str:
        """Runs a command of the program to its end; returns its output."""
        done = subprocess.run(
            ridgesill(*arguments),
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        if check and done.returncode:
            raise AssertionError(f"{arguments}: {done.stdout}{done.stderr}")
        return done.stdout + done.stderr

    def close(self) -> None:
        """Ends every process that was started."""
        for running in self._started:
            running.signal(signal.SIGCONT)
            running.kill()

    # -- using ----------------------------------------------------------------

    def admin(
        self,
        node: NodeHandle,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> Any:
        """Returns a node's administration answer, or None without one."""
        sent = {"Authorization": f"Bearer {self.token}", **(headers or {})}
        try:
            answer = urllib3.request(
                method,
                f"http://{node.admin}{path}",
                body=body,
                headers=sent,
                timeout=15,
                retries=False,
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
        """Returns what a node has in force."""
        return self.admin(node, "GET", "/v1/configuration")

    def leader(self) -> NodeHandle | None:
        """Returns the node that says that it leads."""
        for node in self.nodes.values():
            if node.running and node.running.is_running:
                status = self.status(node)
                if status and status["leader"] == node.name:
                    return node
        return None

    def apply(self, node: NodeHandle, text: str, operation: str = "") -> str:
        """Applies a configuration's text through the command line."""
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
    """Founds and starts a deployment; ends it in any case."""
    try:
        deployment.write_settings()
        deployment.found()
        deployment.start_all()
        yield deployment
    finally:
        deployment.close()
