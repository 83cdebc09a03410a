"""The process of a node: wires the parts and runs them until it is stopped."""

import asyncio
import functools
import secrets
import signal
from functools import singledispatchmethod
from pathlib import Path
from typing import Any

import attrs
from eliot import log_message, write_traceback

from ridgesill.adapters.admin_http import AdminApp
from ridgesill.adapters.announce_http import AnnounceApp
from ridgesill.adapters.caller_http import CallerApp, CallerLimits
from ridgesill.adapters.file_log import FileLog
from ridgesill.adapters.http_server import HttpServer, ServerLimits
from ridgesill.adapters.metrics import Metrics
from ridgesill.adapters.peer_rpc import PeerLinks, PeerServer, Traffic
from ridgesill.adapters.runner_http import HttpOrders, HttpRunners
from ridgesill.adapters.tls import PeerTls
from ridgesill.app.administration import NodeAdministration
from ridgesill.app.bridge import Bridge
from ridgesill.app.control import Control, ControlSettings
from ridgesill.app.entry import Entry, StateView
from ridgesill.app.exchange import Exchanges, Services
from ridgesill.app.log_driver import LogDriver, ReplicaMessage
from ridgesill.app.once import Once
from ridgesill.app.pools import Pools
from ridgesill.app.settings import Settings
from ridgesill.core.commands import Node, ReleasePool
from ridgesill.core.following import Follow, Propose
from ridgesill.core.pool.context import PoolLimits
from ridgesill.core.pool.messages import Digest
from ridgesill.core.runners import Announcement

_ADMIN_THREADS = 4
_RUNNER_THREADS = 8
_REFUSAL_THREADS = 32
_ADMIN_BODY = 64 * 2**20
_RUNNER_BODY = 256 * 1024
_DRAIN_TICK = 0.1
_NOTICE_SECONDS = 2.0
_LEAVE_SECONDS = 2.0
_CANCEL_SECONDS = 1.0


class NodeProcess:
    """All of a node.

    Args:
        settings: its settings.
        token: the administration token.
    """

    def __init__(self, settings: Settings, token: str) -> None:
        self._settings = settings
        self._loop = asyncio.get_running_loop()
        self._bridge = Bridge(self._loop)
        self._stopping = asyncio.Event()
        self._tls = _open_tls(settings)
        storage = _open_storage(settings)
        self.node = Node(
            settings.name,
            secrets.token_hex(4),
            settings.peers,
            settings.data_centre,
            storage.identity if storage else "",
        )
        self.identity = self.node.identity
        self._peers = PeerLinks(
            self.identity,
            lambda: self._tls.client if self._tls else None,
            settings.peers,
            self._handle,
        )
        self.control = Control(
            self.node,
            ControlSettings(
                settings.seeds,
                settings.lease_seconds,
                settings.node_patience_seconds,
                settings.follow_seconds,
            ),
            self._peers,
            self._heard_pools,
        )
        if storage is not None:
            self.control.driver = LogDriver(
                storage,
                self.control.send_to_replica,
                self.control.notify_applied,
            )
        view = StateView(
            lambda: self.control.state,
            self.control.is_fresh,
            lambda: self.control.refusing_requests,
        )
        self.pools = Pools(
            self.identity,
            view,
            self._peers,
            HttpOrders(),
            settings.lease_seconds,
            PoolLimits(queue=settings.queue),
        )
        self.entry = Entry(self.identity, view, self._peers)
        self.control.add_listener(self.pools.sync)
        self.control.add_listener(self.entry.note_owners)
        self._metrics = Metrics()
        self._wire_metrics()
        self._caller_app = self._make_caller_app()
        self._servers = self._make_servers(token)
        self._peer_server = PeerServer(
            self._handle, self.identity, self._peers.traffic
        )

    # -- wiring --------------------------------------------------------

    def _heard_pools(self) -> tuple[str, ...]:
        return self.pools.heard_pools()

    def _wire_metrics(self) -> None:
        self.pools.observe_load = self._metrics.observe_load
        control = self.control
        metrics = self._metrics
        metrics.add_gauge(
            "ridgesill_configuration_version",
            lambda: float(control.state.version),
        )
        metrics.add_gauge(
            "ridgesill_freshness_age_seconds",
            lambda: min(control.freshness.age(self._loop.time()), 1e9),
        )
        metrics.add_gauge(
            "ridgesill_requests_in_progress",
            lambda: float(self._caller_app.in_progress),
        )

        traffic = self._peers.traffic
        for field in attrs.fields(Traffic):
            metrics.add_gauge(
                f"ridgesill_peer_{field.name}",
                functools.partial(getattr, traffic, field.name),
            )

    def _make_caller_app(self) -> CallerApp:
        settings = self._settings
        services = Services(
            self._bridge,
            self.entry,
            Once(self.control),
            HttpRunners(settings.runner_seconds),
            self._metrics,
        )
        limits = CallerLimits(
            settings.streams, settings.body_bytes, settings.patience_seconds
        )
        return CallerApp(
            Exchanges(services),
            limits,
            lambda: self.control.state,
            self.is_ready,
        )

    def _make_servers(self, token: str) -> list[HttpServer]:
        settings = self._settings
        administration = NodeAdministration(
            self._bridge, self.control, self.pools, self.drain
        )
        admin = AdminApp(token, administration, self._metrics.render)
        announce = AnnounceApp(self._take_announcement)
        return [
            HttpServer(
                settings.callers,
                self._caller_app,
                self._limits(
                    settings.streams + _REFUSAL_THREADS, settings.body_bytes
                ),
            ),
            HttpServer(
                settings.admin,
                admin,
                self._limits(_ADMIN_THREADS, _ADMIN_BODY),
            ),
            HttpServer(
                settings.runners,
                announce,
                self._limits(_RUNNER_THREADS, _RUNNER_BODY),
            ),
        ]

    def _limits(self, threads: int, body_bytes: int) -> ServerLimits:
        return ServerLimits(
            threads,
            self._settings.header_bytes,
            body_bytes,
            self._settings.client_seconds,
        )

    def is_ready(self) -> bool:
        """Whether the balancer should send requests here."""
        return (
            not self.control.draining
            and self.control.is_fresh()
            and self.control.state.version > 0
        )

    # -- messages ------------------------------------------------------

    async def _handle(self, sender: str, message: Any) -> Any:
        return await self._take(message)

    @singledispatchmethod
    async def _take(self, message: Any) -> Any:
        return await self.pools.handle(message)

    @_take.register
    async def _(self, message: ReplicaMessage) -> None:
        if self.control.driver is not None:
            self.control.driver.receive(message)

    @_take.register
    async def _(self, message: Follow) -> Any:
        return await self.control.handle_follow(message)

    @_take.register
    async def _(self, message: Propose) -> Any:
        return await self.control.handle_propose(message)

    @_take.register
    async def _(self, message: Digest) -> None:
        self.entry.note_digest(message)

    def _take_announcement(self, said: Announcement) -> None:
        self._bridge.call(self.pools.announce(said))

    # -- running -------------------------------------------------------

    async def run(self) -> None:
        """Runs until stopped by a signal or an order to drain."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(number, self.drain)
        self._loop.add_signal_handler(signal.SIGHUP, self._reload)
        context = self._tls.server if self._tls else None
        await self._peer_server.start(self._settings.peers, context)
        tasks = [asyncio.create_task(work) for work in self._works()]
        for server in self._servers:
            server.start()
        log_message("node:started", node=self.identity, voter=self.node.voter)
        failed = await self._wait(tasks)
        await self._stop(tasks)
        if failed is not None:
            raise failed

    def _works(self) -> list[Any]:
        works = [
            self.control.follow(),
            self.control.lead(),
            self.pools.run(),
            self.entry.report_holdings(),
        ]
        if self.control.driver is not None:
            works.append(self.control.driver.run())
        return works

    async def _wait(
        self, tasks: list[asyncio.Task[None]]
    ) -> BaseException | None:
        """Waits for the stop; returns the error of a part that failed."""
        stopping = asyncio.create_task(self._stopping.wait())
        done, _ = await asyncio.wait(
            [stopping, *tasks], return_when=asyncio.FIRST_COMPLETED
        )
        stopping.cancel()
        for task in done:
            if task is not stopping and task.exception() is not None:
                return task.exception()
        return None

    def drain(self) -> None:
        """Takes no new work and stops once the work in progress is done."""
        if not self.control.draining:
            self.control.draining = True
            log_message("node:draining", node=self.identity)
            self._drain_task = asyncio.create_task(self._drain())

    async def _drain(self) -> None:
        try:
            await self._finish_work()
            await self._hand_over()
        except Exception:  # noqa: BLE001 - a fault must not keep it from ending
            write_traceback()
        finally:
            self._stopping.set()

    async def _finish_work(self) -> None:
        deadline = self._loop.time() + self._settings.drain_seconds
        # Readiness fails already; what the balancer still sends is served.
        await asyncio.sleep(min(_NOTICE_SECONDS, self._settings.drain_seconds))
        self.control.refusing_requests = True
        while self._loop.time() < deadline and self._is_busy():
            await asyncio.sleep(_DRAIN_TICK)

    def _is_busy(self) -> bool:
        return bool(self._caller_app.in_progress or self.entry.held)

    async def _hand_over(self) -> None:
        """Releases this node's pools, so that the next owner need not wait."""
        for owner in self.pools.owners:
            owner.cancel_unordered_loads()
            owner.refuse_waiting()
        releases = [
            ReleasePool(pool, owner.epoch)
            for pool, owner in self.control.state.owners.items()
            if owner.incarnation == self.node.incarnation
        ]
        for release in releases:
            try:
                await self.control.propose(release, _LEAVE_SECONDS)
            except Exception as error:  # noqa: BLE001 - leaving goes on
                log_message("node:not_released", detail=str(error))
                return

    def _reload(self) -> None:
        if self._tls is not None:
            self._tls.reload()
            log_message("node:certificates_reloaded", node=self.identity)

    async def _end(self, tasks: list[asyncio.Task[None]]) -> None:
        """Cancels tasks until they have ended.

        In Python 3.11 `asyncio.wait_for` loses a cancellation that comes
        together with its result, so once is not enough.
        """
        pending = set(tasks)
        while pending:
            for task in pending:
                task.cancel()
            _, pending = await asyncio.wait(pending, timeout=_CANCEL_SECONDS)
            for task in pending:
                log_message("node:task_goes_on", task=str(task.get_coro()))

    async def _stop(self, tasks: list[asyncio.Task[None]]) -> None:
        await self._end(tasks)
        for server in self._servers:
            await self._loop.run_in_executor(None, server.stop)
        await self._peers.close()
        await self._peer_server.stop()
        log_message("node:stopped", node=self.identity)


def _open_tls(settings: Settings) -> PeerTls | None:
    if not settings.uses_tls:
        return None
    return PeerTls(settings.certificate, settings.key, settings.authority)


def _open_storage(settings: Settings) -> FileLog | None:
    if not settings.data_folder:
        return None
    storage = FileLog(Path(settings.data_folder))
    if not storage.identity:
        storage.initialize_with_new_identity(settings.name)
    return storage
