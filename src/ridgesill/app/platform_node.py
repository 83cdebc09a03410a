"""Builds the components that fronts and control nodes have in common."""

import asyncio
import secrets
import zlib
from collections.abc import Callable

from ridgesill.app.control import Control, ControlSettings
from ridgesill.app.stream_keeping import StreamKeeping
from ridgesill.core.commands import Node
from ridgesill.core.fleet.registry import FleetView
from ridgesill.core.log.messages import Timing
from ridgesill.core.serving.routes import RouteTable
from ridgesill.core.state import State
from ridgesill.core.voter_changes import VoterPolicy
from ridgesill.platform.configuration import decode_configuration
from ridgesill.platform.settings import PlatformSettings
from ridgesill.ports.datagrams import Datagrams
from ridgesill.ports.peers import Peers

# A front stops following a voter that has had no contact with the leader for
# longer than this lease, so that a change is in force two seconds after it was
# accepted. Voters ask the leader at least once per wait.
_FOLLOW_LEASE_SECONDS = 1.2
_FOLLOW_WAIT_SECONDS = 0.3
# Time since the question for the owner's news up to which they are what it
# knows. It answers each half second even without news.
FRESH_NEWS_SECONDS = 1.3
# Shorter than the default timing of the log, because the data centres are a
# millisecond apart. The shortest election timeout exceeds 1.1 s, within which a
# leader that was only killed has restarted. As the last owner, that node need
# not wait for a lease; any other leader has to wait for 3.7 s, however soon it
# is elected.
LOG_TIMING = Timing(heartbeat=0.15, election_min=1.2, election_max=1.9)
# Time limit for connecting to an upstream.
CONNECT_TIMEOUT_SECONDS = 0.4


def make_node(settings: PlatformSettings, voter: str = "") -> Node:
    """Returns this process as a node that is named by its peer address.

    Args:
        settings: settings of the process.
        voter: voting identity; empty for a node that does not vote.
    """
    return Node(
        settings.peer_address,
        secrets.token_hex(4),
        settings.peer_address,
        settings.data_centre,
        voter,
        settings.limits.processor_share,
    )


def make_control(
    settings: PlatformSettings, node: Node, peers: Peers
) -> Control:
    """Returns the control-plane component of a node."""
    return Control(
        node,
        ControlSettings(
            {seed: seed for seed in settings.seeds},
            lease=_FOLLOW_LEASE_SECONDS,
            follow_wait=_FOLLOW_WAIT_SECONDS,
            voter_policy=VoterPolicy(
                settings.voters, settings.bounds.catch_up_seconds
            ),
            names_are_addresses=True,
        ),
        peers,
        lambda: (),
    )


def make_stream_keeping(
    settings: PlatformSettings,
    node: Node,
    view: FleetView,
    datagrams: Datagrams,
    max_news_age: Callable[[], float] = lambda: FRESH_NEWS_SECONDS,
) -> StreamKeeping:
    """Returns the keeper of streams and versions of a node.

    Args:
        settings: settings of the process.
        node: this process's node.
        view: its view of the upstreams.
        datagrams: the way to other nodes.
        max_news_age: returns the time since the question for the owner's news
            up to which they are what it knows, in seconds. News that came while
            the process stood still arrived late: only the time of the question
            tells what they must hold. An owner asks nobody, so it vouches for
            no version.
    """
    loop = asyncio.get_running_loop()
    return StreamKeeping(
        node.name,
        view,
        datagrams,
        lambda: loop.time() - view.asked_at <= max_news_age(),
        float("-inf") if settings.is_first_start else loop.time(),
    )


def decode_newer_routes(state: State, held: RouteTable) -> RouteTable | None:
    """Returns the routes in force, or None if they are not newer than held."""
    if state.routes_version <= held.version:
        return None
    return decode_configuration(zlib.decompress(state.routes_document))
