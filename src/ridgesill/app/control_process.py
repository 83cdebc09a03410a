"""The control process on a VM with a disk: votes and may own the fleet."""

import asyncio
import signal
from collections.abc import Callable
from functools import singledispatchmethod
from pathlib import Path
from typing import Any

from eliot import log_message

from ridgesill.adapters.file_log import FileLog
from ridgesill.adapters.http1.client import UpstreamChannels
from ridgesill.adapters.http1.connection_limit import ConnectionLimit
from ridgesill.adapters.http1.connection_memory import ConnectionMemory
from ridgesill.adapters.http1.server import HttpListener
from ridgesill.adapters.peer_datagrams import PeerDatagrams
from ridgesill.adapters.peer_rpc import PeerLinks, PeerServer
from ridgesill.app.control_api import ControlApi
from ridgesill.app.fleet_client import FleetClient
from ridgesill.app.fleet_owner import FleetOwner, find_last_owner
from ridgesill.app.formation import Formation
from ridgesill.app.log_driver import LogDriver, ReplicaMessage
from ridgesill.app.platform_node import (
    CONNECT_TIMEOUT_SECONDS,
    LOG_TIMING,
    decode_newer_routes,
    make_control,
    make_node,
    make_stream_keeping,
)
from ridgesill.app.telemetry import Instruments, serve_metrics
from ridgesill.app.traffic import log_traffic
from ridgesill.core.addresses import split_address, with_port
from ridgesill.core.fleet.brittle_bounds import HeardBrittle
from ridgesill.core.fleet.messages import (
    HeardHeartbeat,
    HeardLeave,
    ReadingEnded,
    WantArtifact,
    WatchFleet,
)
from ridgesill.core.fleet.orders import DeliverOrder, HolderAlive
from ridgesill.core.fleet.rate_ledger import Tolerance
from ridgesill.core.fleet.slot_permits import HeldSlots, RequestSlot
from ridgesill.core.fleet.usage import UsageReport
from ridgesill.core.following import AskLatest, Follow, Propose
from ridgesill.core.voter_changes import node_name_of
from ridgesill.platform.control_calls import PlatformControlCalls
from ridgesill.platform.settings import METRICS_PATH, PlatformSettings
from ridgesill.platform.upstreams import PlatformEngines
from ridgesill.ports.peers import PeerError

# When a node that has just started stands for election, in seconds: the last
# owner of the fleet first, and each further voter this much later. With random
# delays, three voters that all had to vote needed two elections.
_FIRST_ELECTION_SECONDS = 0.15
_ELECTION_STAGGER_SECONDS = 0.2
# How long calls in progress may take to end after SIGTERM, in seconds.
_STOP_SECONDS = 0.3
# How long a voter that stops waits for a learner to take its vote, as a share
# of the time between SIGTERM and SIGKILL. It outlasts an election.
_HANDOVER_SHARE = 0.5


class ControlProcess:
    """All components of a control node.

    Args:
        settings: the node's settings.
    """

    def __init__(self, settings: PlatformSettings) -> None:
        self._settings = settings
        self._loop = asyncio.get_running_loop()
        self._stopping = asyncio.Event()
        self._storage = FileLog(Path(settings.data_folder))
        self._formation = Formation(
            self._storage,
            settings.peer_address,
            settings.seeds,
            settings.voters,
            is_first_start=settings.is_first_start,
        )
        self._node = make_node(settings, self._formation.identity)
        self._peers = PeerLinks(
            self._node.identity,
            own_address=settings.peer_address,
            handler=self._handle,
        )
        self.control = make_control(settings, self._node, self._peers)
        self.fleet = FleetClient(
            self._peers,
            self.control.leader_address,
            settings.peer_address,
            self._report_usage,
            others=settings.seeds,
        )
        self.owner = FleetOwner(
            self.control,
            self.fleet,
            UpstreamChannels(
                CONNECT_TIMEOUT_SECONDS,
                memory=ConnectionMemory(settings.limits.memory_bytes),
                keeps_spares=True,
            ),
            PlatformEngines(),
            settings.bounds.lease_seconds,
            settings.heartbeat_seconds,
            tolerance=Tolerance(
                settings.bounds.quota_window_seconds,
                settings.bounds.quota_share,
                settings.bounds.quota_slack,
            ),
        )
        self._datagrams = PeerDatagrams()
        # Fronts that were all killed at once learn here at which versions their
        # streams began.
        self._streams = make_stream_keeping(
            settings, self._node, self.fleet.view, self._datagrams
        )
        self.fleet.add_listener(self._streams.handle_news)
        # Deployments without this contract are served as before.
        self.owner.service_load.is_enabled = settings.has_slow_peers
        self.control.add_listener(self._apply_state)
        api = ControlApi(
            self.control,
            self.owner,
            PlatformControlCalls(),
            self._heartbeat_address,
        )
        self._connection_memory = ConnectionMemory(settings.limits.memory_bytes)
        self._connection_limit = ConnectionLimit(settings.limits.descriptors)
        self._calls = HttpListener(
            settings.control_address,
            api.serve,
            memory=self._connection_memory,
            connection_limit=self._connection_limit,
        )
        self._peer_server = PeerServer(
            self._handle, self._node.identity, self._peers.traffic
        )
        self._peers.traffic.is_far = self.control.is_far

    def _heartbeat_address(self) -> str:
        """Returns the owner's control address; empty if it is unknown.

        All control nodes use the same port.
        """
        owner = self.control.leader_address()
        if not owner:
            return ""
        _, port = split_address(self._settings.control_address)
        return with_port(owner, port)

    def _report_usage(self) -> UsageReport:
        """Returns the use reported by the fronts that get news from here."""
        return self.owner.relay.make_usage_report()

    def _apply_state(self) -> None:
        table = decode_newer_routes(self.control.state, self.owner.table)
        if table is not None:
            self.owner.apply_table(table)
            self._streams.set_table(table)

    # -- messages ------------------------------------------------------

    async def _handle(self, sender: str, message: Any) -> Any:
        if self.control.driver is None:
            if isinstance(message, Follow):
                self._formation.record_node(message.beat.node)
            step = type(message).__name__
            raise PeerError(step, self._node.name, "no log is formed here yet")
        return await self._handle_message(message, sender)

    @singledispatchmethod
    async def _handle_message(self, message: Any, sender: str) -> Any:
        step = type(message).__name__
        raise PeerError(step, sender, "a control node takes no such message")

    @_handle_message.register
    async def _(self, message: ReplicaMessage, sender: str) -> None:
        if self.control.driver is not None:
            self.control.driver.receive(message)

    @_handle_message.register
    async def _(self, message: Follow, sender: str) -> Any:
        return await self.control.handle_follow(message)

    @_handle_message.register
    async def _(self, message: Propose, sender: str) -> Any:
        return await self.control.handle_propose(message)

    @_handle_message.register
    async def _(self, message: AskLatest, sender: str) -> Any:
        return await self.control.handle_ask_latest()

    @_handle_message.register
    async def _(self, message: WatchFleet, sender: str) -> Any:
        return await self.owner.handle_watch(sender, message)

    @_handle_message.register
    async def _(self, message: WantArtifact, sender: str) -> Any:
        return await self.owner.handle_want(message)

    @_handle_message.register
    async def _(self, message: ReadingEnded, sender: str) -> None:
        await self.owner.handle_reading_ended(sender, message)

    @_handle_message.register
    async def _(self, message: HeardHeartbeat, sender: str) -> Any:
        return await self.owner.handle_forwarded(message)

    @_handle_message.register
    async def _(self, message: HeardLeave, sender: str) -> Any:
        return await self.owner.handle_forwarded(message)

    @_handle_message.register
    async def _(self, message: HolderAlive, sender: str) -> None:
        self.owner.handle_holder_alive(message)

    @_handle_message.register
    async def _(self, message: DeliverOrder, sender: str) -> Any:
        return await self.owner.holder.handle_order(message)

    @_handle_message.register
    async def _(self, message: RequestSlot, sender: str) -> Any:
        return await self.owner.handle_slot_request(sender, message)

    @_handle_message.register
    async def _(self, message: HeldSlots, sender: str) -> Any:
        return self.owner.handle_held_slots(sender, message)

    @_handle_message.register
    async def _(self, message: HeardBrittle, sender: str) -> None:
        self.owner.handle_heard_brittle(message)

    # -- running -------------------------------------------------------

    async def run(self) -> None:
        """Runs until SIGTERM or SIGINT."""
        self._loop.add_signal_handler(signal.SIGTERM, self._stopping.set)
        self._loop.add_signal_handler(signal.SIGINT, self._stopping.set)
        self._loop.add_signal_handler(signal.SIGHUP, self._reload)
        await self._peer_server.start(self._settings.peer_listen_address)
        await self._datagrams.start(self._settings.peer_listen_address)
        await self._calls.start()
        stopping = self._loop.create_task(self._stopping.wait())
        running = self._loop.create_task(self._run_tasks())
        log_message(
            "control:started",
            vm=self._settings.vm,
            voter=self._node.voter,
            peers=self._settings.peer_address,
        )
        await asyncio.wait(
            [stopping, running], return_when=asyncio.FIRST_COMPLETED
        )
        if running.done() and running.exception() is not None:
            raise running.exception()  # type: ignore[misc]
        grace_seconds = self._settings.bounds.grace_seconds
        await self.control.hand_over_vote(_HANDOVER_SHARE * grace_seconds)
        await asyncio.sleep(_STOP_SECONDS)
        running.cancel()
        self._datagrams.close()
        await self._calls.stop()
        log_message("control:stopped", vm=self._settings.vm)

    async def _run_tasks(self) -> None:
        await self._formation.form(self._node)
        driver = LogDriver(
            self._storage,
            self.control.send_to_replica,
            self.control.notify_applied,
            LOG_TIMING,
        )
        self._schedule_first_election(driver)
        self.control.driver = driver
        self.control.notify_applied()
        async with asyncio.TaskGroup() as group:
            group.create_task(driver.run())
            group.create_task(self.control.follow())
            group.create_task(self.control.lead())
            group.create_task(self.owner.run())
            group.create_task(self.owner.holder.run())
            group.create_task(self.fleet.run())
            group.create_task(self._streams.run())
            group.create_task(
                serve_metrics(
                    self._settings.metrics_address,
                    METRICS_PATH,
                    Instruments(
                        self._gauges(driver), self.owner.swap_telemetry
                    ),
                    self._connection_memory,
                    self._connection_limit,
                )
            )
            group.create_task(log_traffic(self._peers.traffic))

    def _gauges(self, driver: LogDriver) -> dict[str, Callable[[], float]]:
        return {
            "ridgesill_configuration_version": (
                lambda: driver.state.routes_version
            ),
            "ridgesill_connections": lambda: self._connection_limit.count,
            "ridgesill_connection_bytes": (
                lambda: self._connection_memory.total
            ),
            "ridgesill_log_term": lambda: driver.replica.term,
            "ridgesill_log_index": lambda: driver.state.index,
            "ridgesill_log_leads": lambda: float(driver.is_leader),
            "ridgesill_fleet_owned": lambda: float(self.owner.is_owner()),
            "ridgesill_damaged_messages": (
                lambda: self._peers.traffic.damaged + self._datagrams.damaged
            ),
            "ridgesill_service_capacity": self.owner.service_load.capacity,
            "ridgesill_lowest_admitted_share": (
                self.owner.service_load.lowest_share
            ),
            "ridgesill_expected_returns": (
                self.owner.service_load.expected_returns
            ),
        }

    def _schedule_first_election(self, driver: LogDriver) -> None:
        """Schedules elections so that voters that start together take turns."""
        last_owner = find_last_owner(driver)
        voters = sorted(
            driver.replica.voters.voters,
            key=lambda identity: (
                node_name_of(identity) != last_owner,
                identity,
            ),
        )
        if self._node.voter not in voters:
            return
        position = voters.index(self._node.voter)
        delay = _FIRST_ELECTION_SECONDS + position * _ELECTION_STAGGER_SECONDS
        driver.replica.schedule_election(self._loop.time(), delay)

    def _reload(self) -> None:
        log_message("control:reloaded")
