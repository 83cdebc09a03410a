"""Forms the first set of voters from a list of seeds.

At the first start of a whole deployment nobody knows how many voters there
are or where. Each node with a disk introduces itself to the seeds by asking to
follow the log. The seed with the lowest address collects them, founds the log
with all of them as voters, and no other node ever founds one. A node that
starts later on an empty disk joins as a learner under a fresh identity.
"""

import asyncio
import secrets
import time
from collections.abc import Sequence

from eliot import log_message

from ridgesill.adapters.file_log import FileLog
from ridgesill.core.commands import Node
from ridgesill.core.log.replica import make_initial_snapshot
from ridgesill.core.state import State

# How often the founder looks who has introduced itself, in seconds; all nodes
# start within some tenths.
_TICK = 0.05
# How soon a disk that refused the first identity is tried again, in seconds; a
# node can do nothing else until then.
_RETRY_SECONDS = 0.2
# Where the log starts: above 0, so that the other voters, whose disks start
# empty, are sent the snapshot that names the voters.
_FOUNDING_INDEX = 1
# Seconds after which the founder goes on with a majority of those expected.
_PATIENCE = 5.0


class Formation:
    """Gives a node its voting identity, and founds the log if it is its turn.

    Args:
        storage: the node's disk.
        name: the node's name, which is its address.
        seeds: names of the nodes that every node is told.
        expected: how many voters there should be.
        is_first_start: whether the whole deployment starts on empty disks.
    """

    def __init__(
        self,
        storage: FileLog,
        name: str,
        seeds: Sequence[str],
        expected: int,
        *,
        is_first_start: bool,
    ) -> None:
        self._storage = storage
        self._expected = expected
        self._heard: dict[str, Node] = {}
        self._founds = (
            is_first_start and not storage.identity and name == min(seeds)
        )
        if not storage.identity and not self._founds:
            _join(storage, name)
        self.identity = storage.identity or f"{name}.{secrets.token_hex(4)}"

    def record_node(self, node: Node) -> None:
        """Notes a node that introduces itself."""
        if node.voter:
            self._heard[node.name] = node

    async def form(self, own: Node) -> None:
        """Returns once this node's disk holds the start of a log."""
        if not self._founds:
            return
        self.record_node(own)
        loop = asyncio.get_running_loop()
        began = loop.time()
        while not self._is_enough(loop.time() - began):
            await asyncio.sleep(_TICK)
        state = State()
        state.nodes = dict(self._heard)
        state.skip_to(_FOUNDING_INDEX)
        voters = tuple(sorted(node.voter for node in self._heard.values()))
        snapshot = make_initial_snapshot(voters, state.dump(), _FOUNDING_INDEX)
        self._storage.initialize(self.identity, snapshot)
        log_message("log:founded", identity=self.identity, voters=voters)

    def _is_enough(self, waited: float) -> bool:
        if len(self._heard) >= self._expected:
            return True
        majority = self._expected // 2 + 1
        return waited >= _PATIENCE and len(self._heard) >= majority


def _join(storage: FileLog, name: str) -> None:
    """Gives an empty disk an identity, however long it refuses to keep one."""
    failing = False
    while True:
        try:
            storage.initialize_with_new_identity(name)
        except OSError as error:
            if not failing:
                log_message("log:disk_refuses", step="join", detail=str(error))
            failing = True
            time.sleep(_RETRY_SECONDS)
        else:
            return
