"""Keeps, and passes on, what upstreams say of themselves in answers."""

import asyncio

import attrs
from eliot import log_message

from ridgesill.app.fleet_client import FleetClient
from ridgesill.core.fleet.messages import HeardLeave, Upstream
from ridgesill.core.serving.unavailable import Unavailable
from ridgesill.ports.dialect import UpstreamWord


@attrs.frozen
class Answered:
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
        self._telling: set[asyncio.Task[None]] = set()

    def take(
        self, upstream: Upstream, word: UpstreamWord, answered: Answered
    ) -> None:
        """Takes what an upstream has said in an answer."""
        if word == UpstreamWord():
            return
        log_message(
            "request:upstream_word",
            upstream=upstream.name,
            peer=upstream.address,
            **attrs.asdict(answered),
            **attrs.asdict(word),
        )
        instance = upstream.instance or upstream.name
        if word.instance and word.instance != instance:
            # Its address is another one's: it has ended, and its successor's
            # heartbeat tells the owner.
            self._unavailable.note_leaving(upstream.name)
        if word.rest:
            until = self._loop.time() + word.rest
            self._unavailable.note_rest(upstream.name, until)
        if word.leaves and self._unavailable.note_leaving(upstream.name):
            self._tell(HeardLeave(instance, upstream.start))

    def _tell(self, leave: HeardLeave) -> None:
        telling = self._loop.create_task(self._fleet.tell_leave(leave))
        self._telling.add(telling)
        telling.add_done_callback(self._telling.discard)
