"""A route that moves, comes and goes, and what answers tell of versions."""

import asyncio
import bisect
import heapq
import random
from typing import TYPE_CHECKING

import attrs

from testing.soak.clients import Caller, RequestOutcome
from testing.soak.upstreams import SoakUpstream

if TYPE_CHECKING:
    from testing.platform_world import Vm
    from testing.soak.world import SoakWorld

# Service of the route.
MOVING = "moving"
_UPSTREAMS = 2
# Requests per second to each front, and how many of them may be unanswered.
_RATE = 25.0
_MAX_CALLERS = 50
# Share of new versions in which the route changes, and share of these changes
# after which there is no route.
_CHANGE_SHARE = 0.6
_GONE_SHARE = 0.25
# From this many seconds after a front's answer showed a version, requests sent
# to it must not be answered by an older one.
_SHOWN_SECONDS = 0.25


def make_upstreams(
    world: "SoakWorld", controls: list[str]
) -> list[SoakUpstream]:
    """Returns the upstreams of the service, which no fault hits."""
    return [
        SoakUpstream(
            MOVING,
            world.ledger,
            controls,
            random.Random(f"{number} moving {world.seed}"),
        )
        for number in range(_UPSTREAMS)
    ]


@attrs.frozen
class PutVersion:
    """A version of the configuration that was sent to control nodes.

    Attributes:
        version: The version.
        sent_at: Loop time in seconds at which it was first sent.
        prefix: Name of the route's prefix; empty without the route.
    """

    version: int
    sent_at: float
    prefix: str


class RouteMoves:
    """The prefixes of the route over the versions of the configuration.

    No prefix is used again after a change, so that an answer tells which
    versions it can be from.

    Args:
        rng: Random generator for the changes.

    Attributes:
        versions: All versions that were sent, the oldest first.
    """

    def __init__(self, rng: random.Random) -> None:
        self.versions: list[PutVersion] = []
        self._rng = rng
        self._prefixes = [f"{MOVING}-0"]
        self._is_gone = False

    def draft(self, version: int, now: float) -> str:
        """Returns the route's prefix in the next version, empty for none.

        Args:
            version: The version, higher than all before.
            now: Loop time in seconds.
        """
        if self._rng.random() < _CHANGE_SHARE:
            self._is_gone = self._rng.random() < _GONE_SHARE
            if not self._is_gone:
                self._prefixes.append(f"{MOVING}-{len(self._prefixes)}")
        prefix = "" if self._is_gone else self._prefixes[-1]
        self.versions.append(PutVersion(version, now, prefix))
        return prefix

    def choose(self, rng: random.Random) -> str:
        """Returns the newest prefix or the one before, for a request."""
        return rng.choice(self._prefixes[-2:])

    def find_oldest(self, outcome: RequestOutcome, least: int) -> int | None:
        """Returns the oldest version that can have given an answer.

        Args:
            outcome: A request whose kind is a prefix, with status 200 or 404.
            least: The oldest version that is allowed.

        Returns:
            The version; None if only older ones give this answer.
        """
        has_route = outcome.status == 200
        for put in self.versions:
            if (
                put.version >= least
                and put.sent_at <= outcome.ended
                and (put.prefix == outcome.kind) == has_route
            ):
                return put.version
        return None


class MovingLoad:
    """Sends requests to prefixes of the route at a front, at random times.

    Requests that a frozen front holds keep no others from being sent.

    Args:
        world: The deployment.
        vm: The front.
    """

    def __init__(self, world: "SoakWorld", vm: "Vm") -> None:
        self._world = world
        self._vm = vm
        self._rng = random.Random(f"{MOVING} {vm.name} {world.seed}")
        self._callers: list[Caller] = []
        self._idle: list[Caller] = []

    async def run(self) -> None:
        """Sends requests until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                while True:
                    await asyncio.sleep(self._rng.expovariate(_RATE))
                    if self._idle or len(self._callers) < _MAX_CALLERS:
                        caller = self._take_idle()
                        prefix = self._world.moves.choose(self._rng)
                        group.create_task(self._ask(caller, prefix))
        finally:
            for caller in self._callers:
                caller.close()

    async def _ask(self, caller: Caller, prefix: str) -> None:
        await caller.ask(prefix)
        self._idle.append(caller)

    def _take_idle(self) -> Caller:
        """Returns a caller without a request, a new one if there is none."""
        if self._idle:
            return self._idle.pop()
        caller = Caller(
            f"{MOVING}-{self._vm.name}-{len(self._callers)}",
            (self._vm.name, self._world.client_address(self._vm)),
            self._rng,
            self._world.outcomes,
            self._world.choose_steady_key,
        )
        self._callers.append(caller)
        return caller


def list_regressed(world: "SoakWorld") -> list[str]:
    """Returns answers by an older version than their front had shown.

    Only what the same process of a front has shown counts.
    """
    lives: dict[tuple[str, int], list[RequestOutcome]] = {}
    for outcome in world.outcomes:
        if outcome.kind.startswith(MOVING) and outcome.status in (200, 404):
            starts = world.starts.get(outcome.front, [])
            life = bisect.bisect_right(starts, outcome.began)
            lives.setdefault((outcome.front, life), []).append(outcome)
    return [
        line
        for outcomes in lives.values()
        for line in _list_regressed_in_life(world.moves, outcomes)
    ]


def _list_regressed_in_life(
    moves: RouteMoves, outcomes: list[RequestOutcome]
) -> list[str]:
    """Returns the answers by older versions of one process of a front."""
    found = []
    shown_at, least = 0.0, 0
    # Times of answers, with the versions that they show.
    answers: list[tuple[float, int]] = []
    for outcome in sorted(outcomes, key=lambda each: each.began):
        while answers and answers[0][0] + _SHOWN_SECONDS < outcome.began:
            at, shown = heapq.heappop(answers)
            if shown > least:
                shown_at, least = at, shown
        version = moves.find_oldest(outcome, least)
        if version is None:
            found.append(
                f"{outcome.request} at {outcome.front}: {outcome.status} for"
                f" {outcome.kind}, sent {outcome.began - shown_at:.2f} s after"
                f" version {least} was shown"
            )
        else:
            heapq.heappush(answers, (outcome.ended, version))
    return found
