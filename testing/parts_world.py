"""Upstreams that end when they begin to write on a part of a prompt."""

import asyncio
import enum
import random
from pathlib import Path

import attrs

from testing.app.front_world import Call
from testing.service_world import SERVICE, ServiceWorld
from testing.soak.upstreams import Ledger, SoakUpstream

# Part that the sound and the harmful requests begin with.
SHARED_PART = "5c1e07a2"
HARMFUL_PART = "bad0bad0"
_READ_SECONDS = 0.1
_WRITE_SECONDS = 0.3
# How long an upstream that ended stays away.
DOWN_SECONDS = 3.0
_EVENTS = 3


class EndsAt(enum.Enum):
    """What a front has of the answer when its upstream ends."""

    NOTHING = "before any head"
    HEAD = "after the head"


@attrs.define
class PartsLedger(Ledger):
    """What happened under harmful parts.

    Attributes:
        harmful_parts: parts that end upstreams.
        ends: loop time of each end.
        harmful_sends: loop time, and address of the sender, of each request
            with such a part that reached an upstream.
    """

    harmful_parts: set[str] = attrs.Factory(lambda: {HARMFUL_PART})
    ends: list[float] = attrs.Factory(list)
    harmful_sends: list[tuple[float, str]] = attrs.Factory(list)


def read_parts(call: Call) -> list[str]:
    """Returns the ids of the parts of a request's prompt."""
    text = call.header("prompt-prefix")
    return [item.partition(":")[0].strip() for item in text.split(",")]


class PartsUpstream(SoakUpstream):
    """A service of streams that ends as it begins to write on some parts."""

    def __init__(
        self,
        service: str,
        ledger: PartsLedger,
        controls: list[str],
        rng: random.Random,
        ends_at: EndsAt,
    ) -> None:
        super().__init__(service, ledger, controls, rng)
        self.parts_ledger = ledger
        self._ends_at = ends_at

    async def _serve(self, call: Call) -> None:
        incarnation = self.name
        loop = asyncio.get_running_loop()
        is_harmful = any(
            part in self.parts_ledger.harmful_parts for part in read_parts(call)
        )
        if is_harmful:
            peer = call.writer.get_extra_info("peername")
            sender = peer[0] if peer else ""
            self.parts_ledger.harmful_sends.append((loop.time(), sender))
        await asyncio.sleep(_READ_SECONDS)
        if incarnation != self.name:
            return
        if not is_harmful or self._ends_at is EndsAt.HEAD:
            await call.begin_stream()
        if is_harmful:
            # Others of the batch get an event in the same turn.
            await asyncio.sleep(0.002)
            if incarnation == self.name:
                self.end()
            return
        for number in range(1, _EVENTS + 1):
            await call.send_event(number)
            await asyncio.sleep(_WRITE_SECONDS / _EVENTS)
        await call.end_stream()

    def end(self) -> None:
        """Ends this incarnation; the next one starts after some seconds."""
        if self._restart_task is not None and not self._restart_task.done():
            return
        self.parts_ledger.ends.append(asyncio.get_running_loop().time())
        self.crash()
        self._restart_task = asyncio.create_task(
            self._restart_after(DOWN_SECONDS)
        )


class PartsWorld(ServiceWorld):
    """Fronts before upstreams that a part of prompts ends.

    Args:
        folder: directory for settings, disks and logs.
        fronts: number of fronts.
        upstreams: number of upstreams.
        ends_at: what fronts have of an answer as an upstream ends.
    """

    def __init__(
        self,
        folder: Path,
        fronts: int = 6,
        upstreams: int = 8,
        ends_at: EndsAt = EndsAt.HEAD,
    ) -> None:
        super().__init__(folder, fronts, "stream")
        self.ledger = PartsLedger()
        self.parts_upstreams = [
            PartsUpstream(
                SERVICE,
                self.ledger,
                self.control_addresses,
                random.Random(1),
                ends_at,
            )
            for _ in range(upstreams)
        ]
        self.upstreams = self.parts_upstreams
