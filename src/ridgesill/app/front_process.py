"""The front process of a VM, which accepts and forwards clients' requests."""

import asyncio
import functools
import random
import signal
from collections.abc import Callable, Iterable

from eliot import log_message

from ridgesill.adapters.http1.client import UpstreamChannels
from ridgesill.adapters.http1.connection_limit import ConnectionLimit
from ridgesill.adapters.http1.connection_memory import ConnectionMemory
from ridgesill.adapters.http1.server import HttpListener, ServerConnection
from ridgesill.adapters.http1.slow_readers import SlowReaders
from ridgesill.adapters.peer_datagrams import PeerDatagrams
from ridgesill.adapters.peer_rpc import PeerLinks
from ridgesill.app.fleet_client import FleetClient
from ridgesill.app.forwarding import serve_request
from ridgesill.app.front import Front, FrontLinks
from ridgesill.app.front_load_sampler import FrontLoadSampler
from ridgesill.app.platform_node import (
    CONNECT_TIMEOUT_SECONDS,
    FRESH_NEWS_SECONDS,
    decode_newer_routes,
    make_control,
    make_node,
    make_stream_keeping,
)
from ridgesill.app.telemetry import Instruments, serve_metrics
from ridgesill.app.traffic import log_traffic
from ridgesill.core.commands import Node
from ridgesill.core.fleet.messages import FrontRoom
from ridgesill.core.fleet.relays import find_relays
from ridgesill.core.fleet.usage import UsageReport
from ridgesill.core.serving.choice import Chooser
from ridgesill.core.serving.front_load import (
    FrontLoad,
    LoadSample,
    VmLimits,
    are_uneven,
)
from ridgesill.core.serving.held_bytes import HeldBytes
from ridgesill.core.serving.outcomes import Outcomes
from ridgesill.core.serving.peer_fronts import PeerFronts
from ridgesill.core.serving.retries import RetryBounds
from ridgesill.core.serving.routes import BODILESS_LIMITS, RouteTable
from ridgesill.platform.control_calls import READY_PATH
from ridgesill.platform.requests import PlatformDialect
from ridgesill.platform.settings import METRICS_PATH, PlatformSettings
from ridgesill.ports.http import HttpRequest, Responder
from ridgesill.ports.telemetry import Telemetry

# A front without news from the owner for this long reports itself as not ready:
# it can't have adapters loaded, while other fronts may. The owner answers each
# 0.5 s even without news. During an election all fronts become unready, which
# has no effect: while few fronts of a data centre are ready, the balancer uses
# all of them.
_MAX_NEWS_AGE_SECONDS = 1.5
# `FRESH_NEWS_SECONDS` for news through a relay, which answers each half second
# as the owner does.
_FRESH_RELAYED_NEWS_SECONDS = 1.9
# How often idle channels to upstreams are closed, which upstreams close
# themselves after some seconds, and how often expired entries are pruned.
_PRUNE_INTERVAL_SECONDS = 1.0
# Time after SIGTERM until the balancer sends no new channels: it checks
# readiness once a second and acts on the second negative answer.
_NOTICE_SECONDS = 3.0
# Time after SIGTERM from which requests that may outlast the process are
# refused. It is a little shorter than the notice, to include requests that are
# under way then.
_REFUSE_AFTER_SECONDS = 2.8
# A front that receives nothing from the log serves callers with keys for this
# share of the time within which a revoked key must be refused.
_REVOCATION_SHARE = 0.9
# Share of the VM's memory that may hold answers for slow readers.
_HELD_SHARE = 0.25
# The process stops this long before it would be sent SIGKILL.
_GRACE_MARGIN_SECONDS = 0.7
_DRAIN_POLL_SECONDS = 0.05
# Time limit for connecting to another front, which is in the same region. A
# request may meet several that have just lost power.
_FRONT_CONNECT_SECONDS = 0.15


class FrontProcess:
    """Connects and runs all parts of a front.

    Args:
        settings: the platform's settings for this process.
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
        self.control.add_listener(self._apply_state)
        self.fleet = FleetClient(
            self._peers,
            self.control.leader_address,
            settings.peer_address,
            self._make_usage_report,
            settings.seeds,
            self._relay_address,
        )
        bounds = settings.bounds
        # Apart from that of clients, so that neither costs the other.
        self._answer_memory = ConnectionMemory(settings.limits.memory_bytes)
        self._links = FrontLinks(
            PeerFronts(
                node.name,
                settings.data_centre,
                settings.regions,
                random.Random(),
            ),
            UpstreamChannels(
                _FRONT_CONNECT_SECONDS,
                memory=self._answer_memory,
                # A front's own refusals carry no id, and it answers once.
                requires_ids=False,
            ),
            PlatformDialect(),
        )
        self._datagrams = PeerDatagrams()
        self._streams = make_stream_keeping(
            settings,
            node,
            self.fleet.view,
            self._datagrams,
            self._find_max_news_age,
        )
        self.front = Front(
            Chooser(settings.data_centre, self.fleet.view, Outcomes()),
            self.fleet,
            UpstreamChannels(
                CONNECT_TIMEOUT_SECONDS,
                settings.upstream_host,
                self._answer_memory,
            ),
            PlatformDialect(),
            RetryBounds(
                bounds.retry_share,
                bounds.retry_slack,
                bounds.retry_window_seconds,
            ),
            self.control.freshness,
            bounds.revocation_seconds * _REVOCATION_SHARE,
            settings.vm,
            self._links,
            self._streams,
        )
        self.front.reports_load = settings.has_slow_peers
        may_refuse = settings.refuses_when_full or settings.has_slow_peers
        if settings.limits and may_refuse:
            self.front.load = FrontLoad()
        self.fleet.add_listener(self.front.discovery_signal.notify)
        self.fleet.add_listener(self._apply_fleet_news)
        self.fleet.add_listener(self._streams.handle_news)
        memory = ConnectionMemory(settings.limits.memory_bytes)
        self._connection_memory = memory
        connection_limit = ConnectionLimit(settings.limits.descriptors)
        self._connection_limit = connection_limit
        self._client_listener = HttpListener(
            settings.client_address,
            functools.partial(serve_request, self.front),
            memory=memory,
            connection_limit=connection_limit,
        )
        self._client_listener.sends_clients_away = self._sends_clients_away
        self._front_listener = HttpListener(
            settings.peer_listen_address,
            self._serve_front_request,
            memory=memory,
            connection_limit=connection_limit,
        )
        if settings.has_slow_peers and settings.limits.memory_bytes:
            bound = settings.limits.memory_bytes * _HELD_SHARE
            self._client_listener.slow_readers = SlowReaders(HeldBytes(bound))
        self._readiness_listener = HttpListener(
            settings.readiness_address,
            self._answer_readiness,
            BODILESS_LIMITS,
            memory,
            connection_limit,
        )

    async def _serve_front_request(
        self, request: HttpRequest, responder: Responder
    ) -> None:
        """Serves a request that another front can't serve."""
        request = self._links.dialect.read_front_request(request)
        await serve_request(self.front, request, responder)

    def _apply_fleet_news(self) -> None:
        self.front.chooser.update_means(self._loop.time())
        view = self.fleet.view
        self.front.chooser.brittle.apply_view(view)
        if view.knows_uses:
            self.front.quotas.apply_news(
                view.quotas, view.fronts, view.updated_at
            )
        else:
            self.front.quotas.update_front_count(view.fronts)
        self.front.limits.apply_news(view)
        self.front.service_admission.apply_news(view)

    def _make_usage_report(self) -> UsageReport:
        chooser = self.front.chooser
        now = self._loop.time()
        resting = chooser.unavailable.list_resting(now)
        return UsageReport(
            self.front.collect_request_counts(),
            chooser.report_busy(),
            resting=dict.fromkeys(resting, 1),
            sent=self.front.collect_sent(now),
            limits=self.front.limits.list_unreported(self.fleet.view, now),
            rooms=self._report_room(),
        )

    def _report_room(self) -> dict[str, FrontRoom]:
        load = self.front.load
        if load is None or not load.is_enabled:
            return {}
        with_room = 0 if load.is_full else 1
        return {self._settings.data_centre: FrontRoom(1, with_room)}

    def _find_max_news_age(self) -> float:
        """Returns up to which age news name each software version, seconds."""
        is_relayed = bool(self._relay_address())
        return _FRESH_RELAYED_NEWS_SECONDS if is_relayed else FRESH_NEWS_SECONDS

    def _relay_address(self) -> str:
        """Returns the address of the relay of the owner's news.

        Empty if the news are read from the owner itself.
        """
        leader = self.control.leader_name()
        if not self._relays or any(n.name == leader for n in self._relays):
            return ""
        return self._relays[0].address

    # -- configuration -------------------------------------------------

    def _apply_state(self) -> None:
        state = self.control.state
        self._relays = find_relays(self._node, state.nodes.values())
        self._links.fronts.set_nodes(state.nodes.values())
        self._streams.set_nodes(state.nodes.values())
        self.front.versions = state.artifact_versions
        self.front.applied_index = state.index
        self.front.quarantine.apply_state(state)
        table = decode_newer_routes(state, self.front.table)
        if table is not None:
            self._apply_table(table, state.index)
        self.front.discovery_signal.notify()
        if self.front.load is not None:
            self._apply_limits(self.front.load, state.nodes.values())

    def _apply_table(self, table: RouteTable, index: int) -> None:
        self.front.table = table
        self._streams.set_table(table)
        if table.limits is not None:
            self._client_listener.limits = table.limits
            self._front_listener.limits = table.limits
            self._connection_memory.reserve(table.limits.body_bytes)
        log_message("front:configuration", version=table.version, index=index)

    def _apply_limits(self, load: FrontLoad, nodes: Iterable[Node]) -> None:
        """Sets by which limits this front decides that it is full."""
        limits = self._settings.limits
        if self._settings.refuses_when_full and are_uneven(nodes):
            load.set_limits(limits, self.front.table.shortest_goal)
            return
        # With slow clients a narrow link delays all answers, on VMs of any
        # size. Otherwise fronts of one size are equally full, and refusals
        # would find no front with more room.
        link = limits.link_bytes_per_second
        applied = VmLimits(link_bytes_per_second=link)
        is_slow = self._settings.has_slow_peers
        load.set_limits(applied if is_slow else VmLimits(), float("inf"))

    # -- readiness -----------------------------------------------------

    def is_ready(self) -> bool:
        """Whether the balancer should send new clients here."""
        view = self.fleet.view
        has_recent_news = (
            self._loop.time() - view.updated_at < _MAX_NEWS_AGE_SECONDS
        )
        return bool(
            self.front.table.version
            and view.epoch
            and has_recent_news
            and not self._draining
            and not self._is_stale()
            and not self._is_behind()
            and not self.front.chooser.is_cut_off_entirely()
            and not self._leaves_clients_to_others()
        )

    def _leaves_clients_to_others(self) -> bool:
        """Whether this front is full while most others have room."""
        load = self.front.load
        if load is None:
            return False
        now = self._loop.time()
        view = self.fleet.view
        room = view.rooms.get(self._settings.data_centre, FrontRoom())
        return not load.may_take_clients(
            room.fronts, room.with_room, now - view.updated_at, now
        )

    def _sends_clients_away(self) -> bool:
        """Whether clients should connect anew, to reach another front."""
        if not self.front.chooser.is_cut_off_entirely():
            return False
        return self._links.fronts.has_local_help()

    def _is_behind(self) -> bool:
        """Whether a newer configuration has long been known, and not got.

        Other fronts have it by then. A front that no control node answers knows
        of none and serves on, as all others do.
        """
        bound = self._settings.bounds.configuration_seconds
        return self.control.seconds_behind() > bound

    def _is_stale(self) -> bool:
        """Whether the configuration is too old to serve callers with keys."""
        if self.front.table.customers is None:
            return False
        return self.front.configuration_freshness(self._loop.time()).is_stale

    async def _answer_readiness(
        self, request: HttpRequest, responder: Responder
    ) -> None:
        status = 404
        if request.path == READY_PATH:
            status = 200 if self.is_ready() else 503
        responder.send_head(status, ((b"content-length", b"0"),))
        responder.finish()

    # -- running -------------------------------------------------------

    async def run(self) -> None:
        """Runs until SIGTERM or SIGINT, and then drains."""
        self._loop.add_signal_handler(signal.SIGTERM, self._drain)
        self._loop.add_signal_handler(signal.SIGINT, self._drain)
        self._loop.add_signal_handler(signal.SIGHUP, self._reload)
        await self._client_listener.start()
        await self._front_listener.start()
        await self._datagrams.start(self._settings.peer_listen_address)
        await self._readiness_listener.start()
        coroutines = [
            self.control.follow(),
            self.fleet.run(),
            self._prune_regularly(),
            self.front.reachability_tests.run(),
            self._streams.run(),
            self.front.slots.run(),
            self.front.quarantine.run(self.control.propose),
            serve_metrics(
                self._settings.metrics_address,
                METRICS_PATH,
                Instruments(self._gauges(), self._swap_telemetry),
                self._connection_memory,
                self._connection_limit,
            ),
            log_traffic(self._peers.traffic),
        ]
        if self.front.load is not None:
            sampler = FrontLoadSampler(self.front.load, self._client_listener)
            coroutines.append(sampler.run())
        tasks = [self._loop.create_task(coroutine) for coroutine in coroutines]
        log_message(
            "front:started",
            vm=self._settings.vm,
            data_centre=self._settings.data_centre,
            peers=self._settings.peer_address,
        )
        stopping = self._loop.create_task(self._stopping.wait())
        await asyncio.wait(
            [stopping, *tasks], return_when=asyncio.FIRST_COMPLETED
        )
        for task in tasks:
            if task.done() and task.exception() is not None:
                raise task.exception()  # type: ignore[misc]
            task.cancel()
        await self._client_listener.stop()
        await self._front_listener.stop()
        await self._readiness_listener.stop()
        self._datagrams.close()
        log_message("front:stopped", vm=self._settings.vm)

    async def _prune_regularly(self) -> None:
        while True:
            await asyncio.sleep(_PRUNE_INTERVAL_SECONDS)
            self.front.channels.prune()
            self._links.channels.prune()
            known = set(self.fleet.view.upstreams)
            self.front.chooser.outcomes.discard_except(known)
            self.front.chooser.reachability.discard_except(known)
            self.front.chooser.brittle.discard_except(known)
            now = self._loop.time()
            self.front.chooser.unavailable.discard_except(known, now)
            self.front.limits.discard_except(known, now)
            self.front.upstream_words.resend_leaves(
                self.fleet.view.upstreams.values()
            )

    def _swap_telemetry(self, telemetry: Telemetry) -> Telemetry:
        previous, self.front.telemetry = self.front.telemetry, telemetry
        return previous

    def _gauges(self) -> dict[str, Callable[[], float]]:
        view = self.fleet.view
        load = self.front.load
        readers = self._client_listener.slow_readers
        return {
            "ridgesill_connection_bytes": (
                lambda: self._connection_memory.total
            ),
            "ridgesill_connections": lambda: self._connection_limit.count,
            "ridgesill_answer_bytes": lambda: self._answer_memory.total,
            "ridgesill_held_bytes": (
                lambda: readers.held.total if readers is not None else 0
            ),
            **(_load_gauges(load) if load is not None else {}),
            "ridgesill_requests_in_progress": lambda: self.front.in_progress,
            "ridgesill_configuration_version": (
                lambda: self.front.table.version
            ),
            "ridgesill_configuration_seconds_behind": (
                self.control.seconds_behind
            ),
            "ridgesill_view_age_seconds": (
                lambda: min(self._loop.time() - view.updated_at, 1e9)
            ),
            "ridgesill_upstreams": lambda: len(view.upstreams),
            "ridgesill_unreachable_upstreams": (
                self.front.chooser.reachability.count_unreachable
            ),
            "ridgesill_fronts": lambda: view.fronts,
            "ridgesill_quarantined_requests": self.front.quarantine.count,
            "ridgesill_quarantined_parts": self.front.quarantine.count_parts,
            "ridgesill_damaged_messages": (
                lambda: self._peers.traffic.damaged + self._datagrams.damaged
            ),
            "ridgesill_limited_upstreams": self.front.limits.count,
            "ridgesill_service_capacity": self.front.service_admission.capacity,
            "ridgesill_lowest_admitted_share": (
                self.front.service_admission.lowest_share
            ),
        }

    def _drain(self) -> None:
        if self._draining:
            return
        self._draining = True
        log_message("front:draining", in_progress=self.front.in_progress)
        self._drain_task = self._loop.create_task(self._finish_requests())

    async def _finish_requests(self) -> None:
        began = self._loop.time()
        deadline = (
            began + self._settings.bounds.grace_seconds - _GRACE_MARGIN_SECONDS
        )
        self.front.begin_stop(began + _REFUSE_AFTER_SECONDS, deadline)
        self._client_listener.drain()
        self._front_listener.drain()
        await asyncio.sleep(_NOTICE_SECONDS)
        # The listener stays open: while fewer than half of a data centre's
        # fronts are ready, the balancer sends clients to all of them, and a
        # refusal with a retry delay serves clients better than a refused
        # connection.
        for connection in self._list_connections():
            connection.close_if_idle()
        # Waits for the channels to close, not for the count of requests in
        # progress: a request that has just been read isn't counted yet and will
        # be forwarded.
        await self._wait_for_channels(deadline)
        # A client that connected between this point and the end of the process
        # would be cut, possibly after an upstream ran its request. The listener
        # is closed first, and a connection that was accepted just before shows
        # up within a poll interval.
        self._client_listener.close()
        self._front_listener.close()
        await asyncio.sleep(_DRAIN_POLL_SECONDS)
        await self._wait_for_channels(deadline)
        await self._refuse_unfinished()
        self._stopping.set()

    async def _refuse_unfinished(self) -> None:
        """Refuses what clients are still sending at the end of the grace."""
        connections = self._list_connections()
        for connection in connections:
            connection.refuse_if_unfinished()
        if connections:
            # Closing with unread bytes would discard the refusals.
            await asyncio.sleep(_DRAIN_POLL_SECONDS)

    async def _wait_for_channels(self, deadline: float) -> None:
        """Waits until all client channels are closed, or until a deadline.

        Args:
            deadline: on the loop's clock, in seconds.
        """
        while self._list_connections() and self._loop.time() < deadline:
            await asyncio.sleep(_DRAIN_POLL_SECONDS)

    def _list_connections(self) -> list[ServerConnection]:
        """Returns the connections of clients and of other fronts."""
        return [
            *self._client_listener.connections,
            *self._front_listener.connections,
        ]

    def _reload(self) -> None:
        # Only the list of seeds may change while the process runs, and it isn't
        # read again.
        log_message("front:reloaded")


def _load_gauges(load: FrontLoad) -> dict[str, Callable[[], float]]:
    """Returns the gauges of what a front decides by about its own load."""

    def last() -> LoadSample:
        return load.last or LoadSample(0.0)

    return {
        "ridgesill_loop_lag": lambda: last().lag_seconds,
        "ridgesill_loop_turn": lambda: last().turn_seconds or 0.0,
        "ridgesill_processor_use": lambda: load.processor_use,
        "ridgesill_processor_clock_usable": lambda: load.is_clock_usable,
        "ridgesill_memory_bytes": lambda: last().memory_bytes,
        "ridgesill_descriptors": lambda: last().descriptors,
        "ridgesill_link_waiting_bytes": lambda: last().waiting_bytes,
        "ridgesill_front_refused_share": lambda: load.refused_share,
    }
