"""The process on a VM that clients reach: takes and forwards requests."""

import asyncio
import functools
import signal
from collections.abc import Callable

from eliot import log_message

from ridgesill.adapters.http1.client import UpstreamChannels
from ridgesill.adapters.http1.server import HttpListener
from ridgesill.adapters.peer_rpc import PeerLinks
from ridgesill.app.fleet_client import FleetClient
from ridgesill.app.forwarding import serve_request
from ridgesill.app.front import Front
from ridgesill.app.platform_node import (
    CONNECT_SECONDS,
    make_control,
    make_node,
    read_newer_table,
)
from ridgesill.app.telemetry import Instruments, serve_metrics
from ridgesill.app.traffic import tell_traffic
from ridgesill.core.commands import Node
from ridgesill.core.fleet.relays import find_relays
from ridgesill.core.fleet.usage import UsageReport
from ridgesill.core.serving.choice import Chooser
from ridgesill.core.serving.outcomes import Outcomes
from ridgesill.core.serving.retries import RetryBounds
from ridgesill.platform.control_calls import READY_PATH
from ridgesill.platform.requests import PlatformDialect
from ridgesill.platform.settings import METRICS_PATH, PlatformSettings
from ridgesill.ports.http import HttpRequest, Responder
from ridgesill.ports.telemetry import Telemetry

# A front that has had no news for this long calls itself not ready, in seconds:
# it can't have adapters loaded, and others may. An owner without news answers
# each 0.5 s, and elections that all fronts wait for change nothing, since the
# balancer uses all fronts of a data centre when few are ready.
_OUT_OF_TOUCH_SECONDS = 1.5
# How often channels that rested for too long are closed, in seconds; upstreams
# let them rest for some.
_SWEEP_SECONDS = 1.0
# After SIGTERM, until the balancer has surely stopped sending new channels:
# it asks once a second and believes the second answer.
_NOTICE_SECONDS = 3.0
# From then on, after SIGTERM, requests that may outlast the process are
# refused; a little before the notice ends, for what is on its way. Seconds.
_SERVES_SECONDS = 2.8
# Share of the time within which a key that was taken away must be refused, for
# which a front without word of the log goes on serving callers with keys.
_REVOCATION_SHARE = 0.9
# Kept back from the time until SIGKILL, in seconds.
_GRACE_MARGIN = 0.7
_DRAIN_TICK = 0.05


class FrontProcess:
    """All of a front.

    Args:
        settings: what the platform says.
    """

    def __init__(self, settings: PlatformSettings) -> None:
        self._settings = settings
        self._loop = asyncio.get_running_loop()
        self._stopping = asyncio.Event()
        self._draining = False
        node = make_node(settings)
        self._node = node
        self._relays: list[Node] = []
        self._peers = PeerLinks(node.identity)
        self.control = make_control(settings, node, self._peers)
        self._peers.traffic.is_far = self.control.is_far
        self.control.add_listener(self._note_state)
        self.fleet = FleetClient(
            self._peers,
            self.control.leader_address,
            settings.peers,
            self._usage,
            settings.seeds,
            self._relay_address,
        )
        bounds = settings.bounds
        self.front = Front(
            Chooser(settings.data_centre, self.fleet.view, Outcomes()),
            self.fleet,
            UpstreamChannels(CONNECT_SECONDS),
            PlatformDialect(),
            RetryBounds(
                bounds.retry_share, bounds.retry_slack, bounds.retry_window
            ),
            self.control.freshness,
            bounds.revocation * _REVOCATION_SHARE,
            settings.vm,
        )
        self.fleet.add_listener(self.front.learned.note)
        self.fleet.add_listener(self._note_news)
        self._callers = HttpListener(
            settings.callers, functools.partial(serve_request, self.front)
        )
        self._readiness = HttpListener(settings.readiness, self._tell_ready)

    def _note_news(self) -> None:
        self.front.chooser.update_means(self._loop.time())
        view = self.fleet.view
        if view.knows_uses:
            self.front.quotas.apply_news(
                view.quotas, view.fronts, view.updated_at
            )
        else:
            self.front.quotas.update_front_count(view.fronts)
        self.front.limits.apply_news(view)

    def _usage(self) -> UsageReport:
        chooser = self.front.chooser
        now = self._loop.time()
        resting = chooser.unavailable.list_resting(now)
        return UsageReport(
            self.front.take_used(),
            chooser.report_busy(),
            resting=dict.fromkeys(resting, 1),
            sent=self.front.take_sent(),
            limits=self.front.limits.list_unreported(self.fleet.view, now),
        )

    def _relay_address(self) -> str:
        """Returns the node to ask for the owner's news; empty for the owner."""
        leader = self.control.leader_name()
        if not self._relays or any(n.name == leader for n in self._relays):
            return ""
        return self._relays[0].address

    # -- configuration -------------------------------------------------

    def _note_state(self) -> None:
        state = self.control.state
        self._relays = find_relays(self._node, state.nodes.values())
        self.front.versions = state.artifact_versions
        self.front.quarantine.take(state)
        table = read_newer_table(state, self.front.table)
        if table is None:
            return
        self.front.table = table
        self.front.learned.note()
        if table.limits is not None:
            self._callers.limits = table.limits
        log_message(
            "front:configuration", version=table.version, index=state.index
        )

    # -- readiness -----------------------------------------------------

    def is_ready(self) -> bool:
        """Whether the balancer should send new clients here."""
        view = self.fleet.view
        is_in_touch = (
            self._loop.time() - view.updated_at < _OUT_OF_TOUCH_SECONDS
        )
        return bool(
            self.front.table.version
            and view.epoch
            and is_in_touch
            and not self._draining
            and not self._is_stale()
        )

    def _is_stale(self) -> bool:
        """Whether callers with keys get nothing here."""
        if self.front.table.customers is None:
            return False
        return self.front.knowledge(self._loop.time()).is_stale

    async def _tell_ready(
        self, request: HttpRequest, responder: Responder
    ) -> None:
        status = 404
        if request.path == READY_PATH:
            status = 200 if self.is_ready() else 503
        responder.send_head(status, ((b"content-length", b"0"),))
        responder.finish()

    # -- running -------------------------------------------------------

    async def run(self) -> None:
        """Runs until SIGTERM."""
        self._loop.add_signal_handler(signal.SIGTERM, self._drain)
        self._loop.add_signal_handler(signal.SIGINT, self._drain)
        self._loop.add_signal_handler(signal.SIGHUP, self._reload)
        await self._callers.start()
        await self._readiness.start()
        works = (
            self.control.follow(),
            self.fleet.run(),
            self._sweep(),
            self.front.quarantine.run(self.control.propose),
            serve_metrics(
                self._settings.metrics,
                METRICS_PATH,
                Instruments(self._gauges(), self._swap_telemetry),
            ),
            tell_traffic(self._peers.traffic),
        )
        tasks = [self._loop.create_task(work) for work in works]
        log_message(
            "front:started",
            vm=self._settings.vm,
            data_centre=self._settings.data_centre,
            peers=self._settings.peers,
        )
        stopping = self._loop.create_task(self._stopping.wait())
        await asyncio.wait(
            [stopping, *tasks], return_when=asyncio.FIRST_COMPLETED
        )
        for task in tasks:
            if task.done() and task.exception() is not None:
                raise task.exception()  # type: ignore[misc]
            task.cancel()
        await self._callers.stop()
        await self._readiness.stop()
        log_message("front:stopped", vm=self._settings.vm)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_SECONDS)
            self.front.channels.prune()
            known = set(self.fleet.view.upstreams)
            self.front.chooser.outcomes.discard_except(known)
            now = self._loop.time()
            self.front.chooser.unavailable.discard_except(known, now)
            self.front.limits.discard_except(known, now)
            self.front.words.remind(self.fleet.view.upstreams.values())

    def _swap_telemetry(self, telemetry: Telemetry) -> Telemetry:
        before, self.front.telemetry = self.front.telemetry, telemetry
        return before

    def _gauges(self) -> dict[str, Callable[[], float]]:
        view = self.fleet.view
        return {
            "ridgesill_requests_in_progress": lambda: self.front.in_progress,
            "ridgesill_configuration_version": (
                lambda: self.front.table.version
            ),
            "ridgesill_view_age_seconds": (
                lambda: min(self._loop.time() - view.updated_at, 1e9)
            ),
            "ridgesill_upstreams": lambda: len(view.upstreams),
            "ridgesill_fronts": lambda: view.fronts,
            "ridgesill_quarantined_requests": self.front.quarantine.count,
            "ridgesill_limited_upstreams": self.front.limits.count,
        }

    def _drain(self) -> None:
        if self._draining:
            return
        self._draining = True
        log_message("front:draining", in_progress=self.front.in_progress)
        self._drain_task = self._loop.create_task(self._finish_work())

    async def _finish_work(self) -> None:
        began = self._loop.time()
        deadline = began + self._settings.bounds.grace - _GRACE_MARGIN
        self.front.refuses_from = began + _SERVES_SECONDS
        self.front.stops_at = deadline
        self._callers.drain()
        await asyncio.sleep(_NOTICE_SECONDS)
        # It goes on listening: while fewer than half of a data centre's fronts
        # are ready the balancer sends clients to all of them, and a refusal
        # with when to come back serves them better than a channel that doesn't
        # come up.
        for connection in list(self._callers.connections):
            connection.close_if_idle()
        # By the channels, not by what is in progress: a request that has just
        # been read isn't counted yet, and is sent on in the next moment.
        await self._wait_for_channels(deadline)
        # Who comes between that and the end would be cut: a request that an
        # upstream had run was. One accepted in the last moment shows a little
        # later.
        self._callers.close()
        await asyncio.sleep(_DRAIN_TICK)
        await self._wait_for_channels(deadline)
        self._stopping.set()

    async def _wait_for_channels(self, deadline: float) -> None:
        """Waits until no client's channel is open, or until a deadline."""
        while self._callers.connections and self._loop.time() < deadline:
            await asyncio.sleep(_DRAIN_TICK)

    def _reload(self) -> None:
        # What may change at run time is the list of seeds.
        log_message("front:reloaded")
