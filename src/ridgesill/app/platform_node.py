"""What fronts and control nodes on the users' platform are built from alike."""

import secrets
import zlib

from ridgesill.app.control import Control, ControlSettings
from ridgesill.core.commands import Node
from ridgesill.core.serving.routes import RouteTable
from ridgesill.core.state import State
from ridgesill.platform.configuration import decode_configuration
from ridgesill.platform.settings import PlatformSettings
from ridgesill.ports.peers import Peers

# A front leaves a voter that has been out of touch with the leader for longer
# than this, in seconds: a change must be in force two seconds after it was
# accepted. Voters ask the leader at least as often as the wait says.
_FOLLOW_LEASE_SECONDS = 1.2
_FOLLOW_WAIT_SECONDS = 0.3
# Within which a channel to an upstream must come up, in seconds.
CONNECT_SECONDS = 0.4


def make_node(settings: PlatformSettings, voter: str = "") -> Node:
    """Returns this process as its peers know it, named by its address."""
    return Node(
        settings.peer_address,
        secrets.token_hex(4),
        settings.peer_address,
        settings.data_centre,
        voter,
    )


def make_control(
    settings: PlatformSettings, node: Node, peers: Peers
) -> Control:
    """Returns a node's part in the control plane."""
    return Control(
        node,
        ControlSettings(
            {seed: seed for seed in settings.seeds},
            lease=_FOLLOW_LEASE_SECONDS,
            follow_wait=_FOLLOW_WAIT_SECONDS,
            max_voters=settings.voters,
            names_are_addresses=True,
        ),
        peers,
        lambda: (),
    )


def read_newer_table(state: State, held: RouteTable) -> RouteTable | None:
    """Returns the routes in force if they are later than those held."""
    if state.routes_version <= held.version:
        return None
    return decode_configuration(zlib.decompress(state.routes_document))
