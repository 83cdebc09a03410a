"""Scenarios on the platform with real processes, under failure."""

import asyncio
import signal
from collections.abc import AsyncIterator
from pathlib import Path

import msgspec
import pytest

from testing.platform_world import (
    PlatformDeployment,
    make_document,
    send_http_request,
)

pytestmark = pytest.mark.process


@pytest.fixture
async def deployment(tmp_path: Path) -> AsyncIterator[PlatformDeployment]:
    """Returns a deployment that serves `/x/`."""
    made = PlatformDeployment(tmp_path)
    try:
        await made.start()
        await made.put_configuration(make_document(3, "/x/"))
        for front in made.fronts:
            await made.wait_until_served(front, "/x/1")
        yield made
    finally:
        made.stop()


async def test_a_configuration_is_in_force_on_every_front(
    deployment: PlatformDeployment,
) -> None:
    await deployment.put_configuration(make_document(7, "/x/", "/y/"))
    await asyncio.sleep(1.0)
    for front in deployment.fronts:
        assert (await deployment.send_request(front, "/y/1")).status == 200
    await deployment.put_configuration(make_document(8, "/y/"))
    await asyncio.sleep(1.0)
    for front in deployment.fronts:
        assert (await deployment.send_request(front, "/x/1")).status == 404


async def test_clients_are_served_while_no_control_node_runs(
    deployment: PlatformDeployment,
) -> None:
    for vm in deployment.controls:
        vm.kill()
    for _ in range(10):
        for front in deployment.fronts:
            assert (await deployment.send_request(front, "/x/1")).status == 200
        await asyncio.sleep(0.1)


async def test_everything_killed_at_once_comes_back_with_what_it_had(
    deployment: PlatformDeployment,
) -> None:
    for vm in deployment.vms:
        vm.kill()
    for vm in deployment.vms:
        deployment.restart(vm)
    for front in deployment.fronts:
        await deployment.wait_until_served(front, "/x/1")
    assert await deployment.read_version() == 3


async def test_a_wiped_disk_is_replaced_and_a_second_loss_survived(
    deployment: PlatformDeployment,
) -> None:
    first, second, _ = deployment.controls
    first.kill()
    first.wipe()
    deployment.restart(first)
    await deployment.put_configuration(make_document(5, "/x/"))
    # The newcomer votes once it has caught up; then another may go.
    await asyncio.sleep(4.0)
    second.kill()
    await deployment.put_configuration(make_document(6, "/x/", "/z/"))
    assert await deployment.read_version() == 6


async def test_a_front_that_is_stopped_finishes_and_goes(
    deployment: PlatformDeployment,
) -> None:
    front = deployment.fronts[0]
    front.signal(signal.SIGTERM)
    ready = f"http://{front.ip}:{deployment._ports[1]}/ridgesill/ready"
    await asyncio.sleep(0.3)
    assert (await send_http_request("GET", ready)).status == 503
    answer = await deployment.send_request(front, "/x/1")
    assert answer.status == 200
    assert answer.headers["connection"] == "close"
    assert front.process is not None
    code = await asyncio.to_thread(front.process.wait, 6.0)
    assert code == 0


async def test_an_upstream_that_leaves_gets_nothing_more(
    deployment: PlatformDeployment,
) -> None:
    deployment.upstream.state = "draining"
    while not await deployment.upstream.send_heartbeat():
        await asyncio.sleep(0.05)
    await asyncio.sleep(1.0)
    served = deployment.upstream.served_requests
    for front in deployment.fronts:
        answer = await deployment.send_request(front, "/x/1")
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0
    assert deployment.upstream.served_requests == served


async def test_every_line_of_every_process_is_json(
    deployment: PlatformDeployment,
) -> None:
    for vm in deployment.vms:
        vm.signal(signal.SIGTERM)
    for vm in deployment.vms:
        assert vm.process is not None
        await asyncio.to_thread(vm.process.wait, 8.0)
        lines = vm.settings_file.with_suffix(".log").read_text().splitlines()
        kinds = [msgspec.json.decode(line)["message_type"] for line in lines]
        assert f"{vm.role}:started" in kinds
        assert f"{vm.role}:stopped" in kinds


async def test_a_hangup_right_after_a_start_ends_nothing(
    deployment: PlatformDeployment,
) -> None:
    # Soak seed 117: settings changed while a restarted front was importing.
    front = deployment.fronts[0]
    front.kill()
    deployment.restart(front)
    await asyncio.sleep(0.12)
    for _ in range(20):
        front.signal(signal.SIGHUP)
        await asyncio.sleep(0.02)
    await deployment.wait_until_served(front, "/x/1")
