"""Processes whose clients keep no limit: they live, and within their memory."""

import asyncio
import os
import resource
from collections.abc import AsyncIterator
from pathlib import Path

import attrs
import msgspec
import pytest

from testing.clients_crowd import Crowd, repeat
from testing.platform_world import (
    ROUTE_HOST,
    PlatformDeployment,
    Vm,
    make_document,
    send_http_request,
)

pytestmark = pytest.mark.process

_CLIENTS = 100
_PRESSED_SECONDS = 8.0
# What each process is told that its VM has, and must stay within. Without
# clients it takes 45 to 50 MB.
_MEMORY_MB = 80
_DESCRIPTORS = 400
# More than a process has descriptors for.
_IDLE_CLIENTS = 600
# Longer than a test waits for an answer.
_LONG_IDLE_MS = 60_000
# How long an attempt waits for an answer.
_ANSWER_SECONDS = 1.0
_HEADER_BYTES = 16 * 1024
_BODY_BYTES = 2**20
_METRICS_PORT = 9464

_HOST = b"Host: %s\r\n" % ROUTE_HOST.encode()
_USUAL = _HOST + b"Request-Id: r9\r\nRequest-Deadline: 900\r\n"
_POST = b"POST /first/x HTTP/1.1\r\n" + _USUAL
_GET = b"GET /first/x HTTP/1.1\r\n" + _USUAL + b"\r\n"
_HUGE_LENGTH = b"Content-Length: 524288000\r\n\r\n"
_CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
_BODY = repeat(b"x")
_CHUNK = b"%x\r\n%s\r\n" % (len(_BODY), _BODY)
_READY = b"GET /ridgesill/ready HTTP/1.1\r\n" + _HOST + b"\r\n"


@attrs.frozen
class Pressure:
    """What each client of a crowd sends.

    Attributes:
        beginning: once for each connection.
        piece: again and again after it; empty for nothing.
        pause_seconds: pause after each piece.
    """

    beginning: bytes
    piece: bytes = b""
    pause_seconds: float = 0.0


# Inside the limit on a head. Each header takes many times its bytes in memory.
_MANY_HEADERS = b"".join(b"a%x:\r\n" % number for number in range(2300))
_HEAD_OF_MANY_HEADERS = Pressure(
    _POST + _MANY_HEADERS + b"Content-Length: 9\r\n\r\n"
)

# By the limit that the clients don't keep.
_AT_CLIENT_ADDRESS = {
    "announced_body": Pressure(_POST + _HUGE_LENGTH, _BODY),
    "endless_chunks": Pressure(_POST + _CHUNKED, _CHUNK),
    "tiny_chunks": Pressure(_POST + _CHUNKED, repeat(b"1\r\nx\r\n")),
    "unfinished_body": Pressure(
        _POST
        + b"Content-Length: %d\r\n\r\n" % _BODY_BYTES
        + b"x" * (_BODY_BYTES - 1)
    ),
    "requests_ahead": Pressure(b"", repeat(_GET)),
    "bare_requests_ahead": Pressure(
        b"", repeat(b"GET /first/x HTTP/1.1\r\nHost: h\r\n\r\n")
    ),
    "unrouted_requests_ahead": Pressure(
        b"", repeat(b"GET /none HTTP/1.1\r\n" + _HOST + b"\r\n")
    ),
    "body_behind_a_request": Pressure(_GET + _POST + _HUGE_LENGTH, _BODY),
    "head_of_many_headers": _HEAD_OF_MANY_HEADERS,
    "requests_of_many_headers": Pressure(
        b"", repeat(_GET[:-2] + _MANY_HEADERS + b"\r\n")
    ),
}
_AT_READINESS_ADDRESS = {
    "requests_ahead": Pressure(b"", repeat(_READY)),
    "announced_body": Pressure(_POST + _HUGE_LENGTH, _BODY),
}
_AT_FRONTS_ADDRESS = {
    kind: _AT_CLIENT_ADDRESS[kind]
    for kind in ("announced_body", "unfinished_body", "unrouted_requests_ahead")
}
_AT_METRICS_ADDRESS = {
    "requests_ahead": Pressure(
        b"", repeat(b"GET /metrics HTTP/1.1\r\n" + _HOST + b"\r\n")
    ),
}
_AT_CONTROL_ADDRESS = {
    "announced_body": Pressure(
        b"POST /ridgesill/Configuration.Put HTTP/1.1\r\n"
        + _HOST
        + _HUGE_LENGTH,
        _BODY,
    ),
    "endless_chunks": Pressure(
        b"POST /ridgesill/Configuration.Put HTTP/1.1\r\n" + _HOST + _CHUNKED,
        _CHUNK,
    ),
    "requests_ahead": Pressure(
        b"",
        repeat(
            b"GET /ridgesill/Configuration.Get HTTP/1.1\r\n" + _HOST + b"\r\n"
        ),
    ),
    "head_of_many_headers": _HEAD_OF_MANY_HEADERS,
}


# What the clients send that then keep their connections, or come back to them
# after a pause.
_IDLE = {
    "nothing": Pressure(b""),
    "a_part_of_a_body": Pressure(_POST + b"Content-Length: 9\r\n\r\nhalf"),
    "a_request": Pressure(_GET),
    "a_request_a_second": Pressure(b"", _GET, 1.0),
}


@pytest.fixture
async def deployment(tmp_path: Path) -> AsyncIterator[PlatformDeployment]:
    """Yields a front and a control node on VMs with little memory."""
    settings = {
        "limits": {
            "memory_mb": _MEMORY_MB,
            "file_descriptors": _DESCRIPTORS,
        }
    }
    made = PlatformDeployment(tmp_path, 1, 1, settings, settings)
    try:
        await made.start()
        await made.put_configuration(_make_document())
        await made.wait_until_served(made.fronts[0], "/first/x")
        yield made
    finally:
        made.stop()


def limit_descriptors(vm: Vm) -> None:
    """Gives a process no more descriptors than its VM has."""
    assert vm.process is not None
    limits = (_DESCRIPTORS, _DESCRIPTORS)
    resource.prlimit(vm.process.pid, resource.RLIMIT_NOFILE, limits)


def _make_document(version: int = 1, idle_ms: int = 15_000) -> bytes:
    """Returns a configuration with low limits on clients."""
    document = msgspec.json.decode(make_document(version, "/first/"))
    document["limits"] = {
        "header_bytes": _HEADER_BYTES,
        "body_bytes": _BODY_BYTES,
        "header_ms": 3000,
        "idle_ms": idle_ms,
    }
    return msgspec.json.encode(document)


def make_crowd(address: str, pressure: Pressure) -> Crowd:
    """Returns clients that aren't started yet."""
    return Crowd(
        address, pressure.beginning, pressure.piece, pressure.pause_seconds
    )


async def ask_on_new_connection(address: str) -> bytes | None:
    """Sends a request on a connection of its own; returns an answer of 200.

    `send_http_request` may use a connection that was open before a crowd came.
    """
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(_ANSWER_SECONDS):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(_GET)
                head = await reader.readuntil(b"\r\n\r\n")
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    return head if head.startswith(b"HTTP/1.1 200") else None


async def press(address: str, pressure: Pressure) -> None:
    """Has a crowd press for a while, and leave."""
    crowd = make_crowd(address, pressure)
    crowd.start(_CLIENTS)
    await asyncio.sleep(_PRESSED_SECONDS)
    await crowd.stop()


def check_process(vm: Vm, memory_mb: int = _MEMORY_MB) -> None:
    """Checks that a process lives and has stayed within its VM's limits.

    Args:
        vm: the VM of the process.
        memory_mb: its memory, in megabytes.
    """
    process = vm.process
    assert process is not None
    assert process.poll() is None
    folder = Path(f"/proc/{process.pid}")
    status = (folder / "status").read_text()
    peak = next(s for s in status.splitlines() if s.startswith("VmHWM"))
    assert int(peak.split()[1]) * 1024 <= memory_mb * 1e6
    assert len(os.listdir(folder / "fd")) <= _DESCRIPTORS


@pytest.mark.parametrize("kind", _AT_CLIENT_ADDRESS)
async def test_a_front_outlives_its_clients(
    deployment: PlatformDeployment, kind: str
) -> None:
    front = deployment.fronts[0]
    address = deployment.client_address(front)
    await press(address, _AT_CLIENT_ADDRESS[kind])
    check_process(front)
    await deployment.wait_until_served(front, "/first/x")


@pytest.mark.parametrize("kind", _AT_READINESS_ADDRESS)
async def test_a_front_outlives_clients_of_its_readiness(
    deployment: PlatformDeployment, kind: str
) -> None:
    front = deployment.fronts[0]
    address = deployment.readiness_address(front)
    await press(address, _AT_READINESS_ADDRESS[kind])
    check_process(front)
    await deployment.wait_until_served(front, "/first/x")


@pytest.mark.parametrize("kind", _AT_FRONTS_ADDRESS)
async def test_a_front_outlives_clients_of_its_address_for_fronts(
    deployment: PlatformDeployment, kind: str
) -> None:
    front = deployment.fronts[0]
    await press(f"{front.ip}:{deployment.peers_port}", _AT_FRONTS_ADDRESS[kind])
    check_process(front)
    await deployment.wait_until_served(front, "/first/x")


@pytest.mark.parametrize("kind", _AT_METRICS_ADDRESS)
async def test_a_front_outlives_clients_of_its_metrics(
    deployment: PlatformDeployment, kind: str
) -> None:
    front = deployment.fronts[0]
    await press(f"{front.ip}:{_METRICS_PORT}", _AT_METRICS_ADDRESS[kind])
    check_process(front)
    await deployment.wait_until_served(front, "/first/x")


@pytest.mark.parametrize("kind", _AT_CONTROL_ADDRESS)
async def test_a_control_node_outlives_its_callers(
    deployment: PlatformDeployment, kind: str
) -> None:
    control = deployment.controls[0]
    address = deployment.control_address(control)
    await press(address, _AT_CONTROL_ADDRESS[kind])
    check_process(control)
    url = f"http://{address}/ridgesill/Configuration.Get"

    async def read() -> object | None:
        answer = await send_http_request("GET", url)
        return answer if answer and answer.status == 200 else None

    await deployment.poll(read)


@pytest.mark.parametrize("kind", _IDLE)
async def test_callers_are_served_beside_clients_that_stay_idle(
    deployment: PlatformDeployment, kind: str
) -> None:
    """Guards against clients that take all descriptors of a front."""
    front = deployment.fronts[0]
    await deployment.put_configuration(_make_document(2, _LONG_IDLE_MS))
    await deployment.wait_until_served(front, "/first/x")
    limit_descriptors(front)
    address = deployment.client_address(front)
    crowd = make_crowd(address, _IDLE[kind])
    crowd.start(_IDLE_CLIENTS)
    await asyncio.sleep(_PRESSED_SECONDS)
    check_process(front)
    await deployment.wait_until_served(front, "/first/x")
    await deployment.poll(lambda: ask_on_new_connection(address))
    await crowd.stop()


async def test_a_control_node_answers_beside_callers_that_stay_idle(
    deployment: PlatformDeployment,
) -> None:
    control = deployment.controls[0]
    limit_descriptors(control)
    crowd = Crowd(deployment.control_address(control), b"", b"")
    crowd.start(_IDLE_CLIENTS)
    await asyncio.sleep(_PRESSED_SECONDS)
    check_process(control)
    await deployment.put_configuration(make_document(2, "/first/", "/second/"))
    await deployment.wait_until_served(deployment.fronts[0], "/second/x")
    await crowd.stop()
