"""Builds the components of a node and runs them until it stops."""

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
from ridgesill.app.exchange import ExchangeServices, RequestServer
from ridgesill.app.log_driver import LogDriver, ReplicaMessage
from ridgesill.app.once import OnceRecords
from ridgesill.app.pools import Pools
from ridgesill.app.settings import Settings
from ridgesill.core.commands import Node, ReleasePool
from ridgesill.core.following import Follow, Propose
from ridgesill.core.pool.context import PoolLimits
from ridgesill.core.pool.messages import Digest
from ridgesill.core.runners import Announcement

# Threads of each HTTP server.
_ADMIN_THREADS = 4
_RUNNER_THREADS = 8
# Threads beyond `streams`, so that excess requests are refused promptly.
_REFUSAL_THREADS = 32
_MAX_ADMIN_BODY_BYTES = 64 * 2**20
_MAX_RUNNER_BODY_BYTES = 256 * 1024
_DRAIN_POLL_SECONDS = 0.1
# Time for the balancer to see that the node is no longer ready.
_READINESS_NOTICE_SECONDS = 2.0
_RELEASE_TIMEOUT_SECONDS = 2.0
# Time after which tasks that have not ended are cancelled again.
_CANCEL_RETRY_SECONDS = 1.0


class NodeProcess:
    """The components of one node and the tasks and servers that run them.

    Args:
        settings: the node's settings.
        token: the token that clients of the administration interface send.
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
            self._announced_pools,
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
        self.control.add_listener(self.entry.apply_owners)
        self._metrics = Metrics()
        self._register_metrics()
        self._caller_app = self._make_caller_app()
        self._servers = self._make_servers(token)
        self._peer_server = PeerServer(
            self._handle, self.identity, self._peers.traffic
        )

    # -- construction ---------------------------------------------------

    def _announced_pools(self) -> tuple[str, ...]:
        return self.pools.announced_pools()

    def _register_metrics(self) -> None:
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
        services = ExchangeServices(
            self._bridge,
            self.entry,
            OnceRecords(self.control),
            HttpRunners(settings.runner_seconds),
            self._metrics,
        )
        limits = CallerLimits(
            settings.streams, settings.body_bytes, settings.patience_seconds
        )
        return CallerApp(
            RequestServer(services),
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
        announce = AnnounceApp(self._handle_announcement)
        return [
            HttpServer(
                settings.callers,
                self._caller_app,
                self._server_limits(
                    settings.streams + _REFUSAL_THREADS, settings.body_bytes
                ),
            ),
            HttpServer(
                settings.admin,
                admin,
                self._server_limits(_ADMIN_THREADS, _MAX_ADMIN_BODY_BYTES),
            ),
            HttpServer(
                settings.runners,
                announce,
                self._server_limits(_RUNNER_THREADS, _MAX_RUNNER_BODY_BYTES),
            ),
        ]

    def _server_limits(self, threads: int, body_bytes: int) -> ServerLimits:
        return ServerLimits(
            threads,
            self._settings.header_bytes,
            body_bytes,
            self._settings.client_seconds,
        )

    def is_ready(self) -> bool:
        """Returns whether the balancer should send requests to this node."""
        return (
            not self.control.draining
            and self.control.is_fresh()
            and self.control.state.version > 0
        )

    # -- messages ------------------------------------------------------

    async def _handle(self, sender: str, message: Any) -> Any:
        return await self._handle_message(message)

    @singledispatchmethod
    async def _handle_message(self, message: Any) -> Any:
        return await self.pools.handle(message)

    @_handle_message.register
    async def _(self, message: ReplicaMessage) -> None:
        if self.control.driver is not None:
            self.control.driver.receive(message)

    @_handle_message.register
    async def _(self, message: Follow) -> Any:
        return await self.control.handle_follow(message)

    @_handle_message.register
    async def _(self, message: Propose) -> Any:
        return await self.control.handle_propose(message)

    @_handle_message.register
    async def _(self, message: Digest) -> None:
        self.entry.apply_digest(message)

    def _handle_announcement(self, announcement: Announcement) -> None:
        self._bridge.call(self.pools.handle_announcement(announcement))

    # -- running -------------------------------------------------------

    async def run(self) -> None:
        """Runs until a signal or a drain request stops the node.

        Raises:
            BaseException: the error of the first task that failed.
        """
        for number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(number, self.drain)
        self._loop.add_signal_handler(signal.SIGHUP, self._reload)
        context = self._tls.server if self._tls else None
        await self._peer_server.start(self._settings.peers, context)
        tasks = [
            asyncio.create_task(coroutine)
            for coroutine in self._list_coroutines()
        ]
        for server in self._servers:
            server.start()
        log_message("node:started", node=self.identity, voter=self.node.voter)
        failed = await self._wait_for_stop(tasks)
        await self._stop(tasks)
        if failed is not None:
            raise failed

    def _list_coroutines(self) -> list[Any]:
        coroutines = [
            self.control.follow(),
            self.control.lead(),
            self.pools.run(),
            self.entry.report_holdings(),
        ]
        if self.control.driver is not None:
            coroutines.append(self.control.driver.run())
        return coroutines

    async def _wait_for_stop(
        self, tasks: list[asyncio.Task[None]]
    ) -> BaseException | None:
        """Waits until the node stops; returns the error of a failed task."""
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
        """Refuses new work and stops once the work in progress is done.

        Stops at the latest after `drain_seconds` and the release of pools.
        """
        if not self.control.draining:
            self.control.draining = True
            log_message("node:draining", node=self.identity)
            self._drain_task = asyncio.create_task(self._drain())

    async def _drain(self) -> None:
        try:
            await self._finish_work()
            await self._release_pools()
        except Exception:  # noqa: BLE001 - the node must stop despite an error
            write_traceback()
        finally:
            self._stopping.set()

    async def _finish_work(self) -> None:
        deadline = self._loop.time() + self._settings.drain_seconds
        # The readiness check already fails. Requests that the balancer sends
        # until it notices are still served.
        await asyncio.sleep(
            min(_READINESS_NOTICE_SECONDS, self._settings.drain_seconds)
        )
        self.control.refusing_requests = True
        while self._loop.time() < deadline and self._is_busy():
            await asyncio.sleep(_DRAIN_POLL_SECONDS)

    def _is_busy(self) -> bool:
        """Returns whether requests are in progress or grants are held."""
        return bool(self._caller_app.in_progress or self.entry.grant_count)

    async def _release_pools(self) -> None:
        """Releases this node's pools, so that a new owner can start at once."""
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
                await self.control.propose(release, _RELEASE_TIMEOUT_SECONDS)
            except Exception as error:  # noqa: BLE001 - the node stops anyway
                log_message("node:not_released", detail=str(error))
                return

    def _reload(self) -> None:
        if self._tls is not None:
            self._tls.reload()
            log_message("node:certificates_reloaded", node=self.identity)

    async def _cancel(self, tasks: list[asyncio.Task[None]]) -> None:
        """Cancels tasks repeatedly until all of them have ended.

        In Python 3.11 `asyncio.wait_for` loses a cancellation that arrives
        together with its result, so cancelling once is not enough.
        """
        pending = set(tasks)
        while pending:
            for task in pending:
                task.cancel()
            _, pending = await asyncio.wait(
                pending, timeout=_CANCEL_RETRY_SECONDS
            )
            for task in pending:
                log_message("node:task_goes_on", task=str(task.get_coro()))

    async def _stop(self, tasks: list[asyncio.Task[None]]) -> None:
        await self._cancel(tasks)
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
    # A node whose folder holds no identity joins as a new voter.
    if not storage.identity:
        storage.initialize_with_new_identity(settings.name)
    return storage
