"""Keeps, and passes on, what upstreams say of themselves in answers."""

import asyncio
from collections.abc import Iterable

import attrs
from eliot import log_message

from ridgesill.app.fleet_client import FleetClient
from ridgesill.core.fleet.messages import READY, HeardLeave, Upstream
from ridgesill.core.serving.unavailable import Unavailable
from ridgesill.ports.dialect import UpstreamWord


@attrs.frozen
class HeardIn:
    """In whose answer something was said.

    Attributes:
        request: its id.
        status: of the answer.
        chosen_by: who chose the upstream: the front or the owner.
    """

    request: str
    status: int
    chosen_by: str


class UpstreamWords:
    """Takes what upstreams say in the heads of answers.

    Args:
        unavailable: the upstreams that want no requests from here.
        fleet: the link to the owner, who learns of departures.
    """

    def __init__(self, unavailable: Unavailable, fleet: FleetClient) -> None:
        self._unavailable = unavailable
        self._fleet = fleet
        self._loop = asyncio.get_running_loop()
        self._telling: dict[str, asyncio.Task[None]] = {}

    def take(
        self, upstream: Upstream, word: UpstreamWord, heard_in: HeardIn
    ) -> None:
        """Takes what an upstream has said in an answer."""
        log_message(
            "request:upstream_word",
            upstream=upstream.name,
            peer=upstream.address,
            **attrs.asdict(heard_in),
            **attrs.asdict(word),
        )
        now = self._loop.time()
        if word.rest:
            self._unavailable.note_rest(upstream.name, now + word.rest)
        # With its address, another one has all that is meant for it.
        is_replaced = word.instance not in ("", _instance(upstream))
        if not word.leaves and not is_replaced:
            return
        if self._unavailable.note_leaving(upstream.name, now):
            self._tell(upstream)

    def remind(self, upstreams: Iterable[Upstream]) -> None:
        """Tells the owner again of what leaves and it still calls ready.

        An owner that has just started may not have heard it.
        """
        for upstream in upstreams:
            is_known = upstream.state != READY
            if not is_known and self._unavailable.is_leaving(upstream.name):
                self._tell(upstream)

    def _tell(self, upstream: Upstream) -> None:
        if upstream.name in self._telling:
            return
        leave = HeardLeave(_instance(upstream), upstream.start)
        telling = self._loop.create_task(self._fleet.tell_leave(leave))
        self._telling[upstream.name] = telling
        telling.add_done_callback(lambda _: self._telling.pop(upstream.name))


def _instance(upstream: Upstream) -> str:
    """Returns what an upstream calls itself."""
    return upstream.instance or upstream.name
