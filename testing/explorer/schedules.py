"""Generates schedules of faults and runs them on a simulated clock."""

import asyncio
import random
from collections.abc import Callable
from functools import singledispatch

import attrs
import looptime

from ridgesill.core.fleet.sent_orders import UNANSWERED_SECONDS
from testing.explorer.world import AnswerLoss, ExplorerWorld

# Time for the owner to get its leases and for the first loads to complete.
_START_UP_SECONDS = 1.6
# How long requests continue after the last fault and the last delayed order.
_QUIET_SECONDS = 1.5
# The owner's records are correct once all loads have completed and a report has
# arrived. The owner requests that report when the last order without an answer
# can no longer be executed.
_SETTLE_SECONDS = UNANSWERED_SECONDS + 4.0
# Delays after which an order without an answer is executed. Most are short, so
# that the engine has changed little since the owner sent the order.
_EXECUTION_DELAYS_SECONDS = (0.0, 2.0, 2.0, 2.5, 3.0, 4.0, 6.0, 12.0)


@attrs.frozen
class LoseAnswers:
    """Loses the answers of some orders and delays their execution.

    Attributes:
        seconds: how long this lasts.
        share: share of the orders that is affected.
        delays_seconds: execution delays, used in turn.
    """

    seconds: float
    share: float
    delays_seconds: tuple[float, ...]


@attrs.frozen
class Restart:
    """Restarts an engine under the same or a new name."""

    engine: int
    same_name: bool


@attrs.frozen
class CutOff:
    """Cuts an engine off in both directions."""

    engine: int
    seconds: float


@attrs.frozen
class CutOneWay:
    """Disrupts one direction; see `ExplorerWorld.cut_one_way`."""

    engine: int
    seconds: float
    way: str


@attrs.frozen
class Leave:
    """Drains an engine; another engine then starts at its address."""

    engine: int


@attrs.frozen
class ReplaceOwner:
    """Replaces the owner without notice.

    Attributes:
        knows_fleet: whether the successor knows the upstreams that its
            predecessor knew.
    """

    knows_fleet: bool


@attrs.frozen
class UseAdapter:
    """Has a request use an adapter that an engine holds."""

    engine: int


@attrs.frozen
class Pause:
    """Waits before the next event."""

    seconds: float


Event = (
    LoseAnswers
    | Restart
    | CutOff
    | CutOneWay
    | Leave
    | ReplaceOwner
    | UseAdapter
    | Pause
)


@attrs.frozen
class Schedule:
    """A sequence of events.

    Attributes:
        seed: seed of all random choices that the events leave open.
        events: the events in order.
        limited_memory: whether engines also load base models and have little
            memory.
    """

    seed: int
    events: tuple[Event, ...]
    limited_memory: bool = False


@singledispatch
def _inject(event: Event, world: ExplorerWorld) -> float:
    """Triggers an event; returns the seconds to wait before the next one."""
    raise TypeError(f"cannot inject an unknown kind of event: {event}")


@_inject.register
def _(event: LoseAnswers, world: ExplorerWorld) -> float:
    until = world.loop.time() + event.seconds
    world.answer_loss = AnswerLoss(until, event.share, event.delays_seconds)
    return 0.0


@_inject.register
def _(event: Restart, world: ExplorerWorld) -> float:
    world.restart(event.engine, same_name=event.same_name)
    return 0.0


@_inject.register
def _(event: CutOff, world: ExplorerWorld) -> float:
    world.cut(event.engine, event.seconds)
    return 0.0


@_inject.register
def _(event: CutOneWay, world: ExplorerWorld) -> float:
    world.cut_one_way(event.engine, event.seconds, event.way)
    return 0.0


@_inject.register
def _(event: Leave, world: ExplorerWorld) -> float:
    world.leave(event.engine)
    return 0.0


@_inject.register
def _(event: ReplaceOwner, world: ExplorerWorld) -> float:
    world.replace_owner(knows_fleet=event.knows_fleet)
    return 0.0


@_inject.register
def _(event: UseAdapter, world: ExplorerWorld) -> float:
    world.use_adapter(event.engine)
    return 0.0


@_inject.register
def _(event: Pause, world: ExplorerWorld) -> float:
    return event.seconds


async def _run_schedule(schedule: Schedule) -> tuple[list[str], ExplorerWorld]:
    world = ExplorerWorld(schedule.seed, limited_memory=schedule.limited_memory)
    world.start()
    await asyncio.sleep(_START_UP_SECONDS)
    try:
        for event in schedule.events:
            await asyncio.sleep(_inject(event, world))
            if world.find_overfull_engines():
                break
        violations = await _find_violations(world)
    finally:
        await world.stop()
    return violations, world


async def _find_violations(world: ExplorerWorld) -> list[str]:
    """Waits until all faults are over; returns the violated invariants."""
    quiet_at = (
        max(world.loop.time(), world.last_delayed_order_at) + _QUIET_SECONDS
    )
    while world.loop.time() < quiet_at and not world.find_overfull_engines():
        await asyncio.sleep(0.5)
        quiet_at = max(quiet_at, world.last_delayed_order_at)
    world.stop_callers()
    settled_at = world.loop.time() + _SETTLE_SECONDS
    while world.loop.time() < settled_at and not world.find_overfull_engines():
        await asyncio.sleep(0.5)
        if not world.pending_requests and not world.find_record_mismatches():
            break
    if overfull := world.find_overfull_engines():
        return [f"{name} was ordered beyond its capacity" for name in overfull]
    violations = world.find_record_mismatches()
    if world.pending_requests:
        violations.append(
            f"{world.pending_requests} requests for artifacts got no answer"
        )
    if not await _is_served(world):
        violations.append("no engine loads a requested adapter any more")
    return violations


async def _is_served(world: ExplorerWorld) -> bool:
    """Whether an engine still loads an adapter when one is requested."""
    until = world.loop.time() + _SETTLE_SECONDS
    while world.loop.time() < until:
        if await world.request_artifact(world.find_usable_artifact()):
            return True
        await asyncio.sleep(0.5)
    return False


def run_schedule(schedule: Schedule) -> tuple[list[str], ExplorerWorld]:
    """Runs a schedule; returns the violated invariants and the world."""
    loop = looptime.new_event_loop(start=0.0, noop_cycles=2)
    try:
        return loop.run_until_complete(_run_schedule(schedule))
    finally:
        loop.close()


def generate_schedule(seed: int, *, wide: bool = False) -> Schedule:
    """Returns a random schedule.

    Args:
        seed: seed of the schedule.
        wide: whether engines also leave, are disrupted in one direction and,
            in half of the schedules, load base models.
    """
    rng = random.Random(seed)
    makers = [
        *_list_event_makers(rng),
        *(_list_wide_event_makers(rng) if wide else ()),
    ]
    weights = [weight for weight, _ in makers]
    chosen = rng.choices(makers, weights, k=rng.randint(4, 12))
    events = tuple(make() for _, make in chosen)
    return Schedule(seed, events, wide and rng.random() < 0.5)


def _list_event_makers(
    rng: random.Random,
) -> list[tuple[int, Callable[[], Event]]]:
    """Returns a weight and a factory for each kind of event."""
    return [
        (
            3,
            lambda: LoseAnswers(
                rng.choice((0.5, 2.0, 6.0)),
                rng.choice((0.3, 0.6, 0.9)),
                tuple(rng.choice(_EXECUTION_DELAYS_SECONDS) for _ in range(3)),
            ),
        ),
        (2, lambda: Restart(rng.randrange(2), rng.random() < 0.8)),
        (1, lambda: CutOff(rng.randrange(2), rng.choice((0.3, 1.0, 3.0)))),
        (1, lambda: ReplaceOwner(rng.random() < 0.7)),
        (1, lambda: UseAdapter(rng.randrange(2))),
        (4, lambda: Pause(rng.choice((0.05, 0.2, 0.6, 1.5, 2.5)))),
    ]


def _list_wide_event_makers(
    rng: random.Random,
) -> list[tuple[int, Callable[[], Event]]]:
    return [
        (1, lambda: Leave(rng.randrange(2))),
        (
            2,
            lambda: CutOneWay(
                rng.randrange(2),
                rng.choice((0.3, 1.0, 3.0, 6.0, 12.0)),
                rng.choice(("deaf", "mute", "silent", "late")),
            ),
        ),
    ]


def shrink(schedule: Schedule, fails: Callable[[Schedule], bool]) -> Schedule:
    """Removes each event without which the schedule still fails."""
    for number in reversed(range(len(schedule.events))):
        events = (
            *schedule.events[:number],
            *schedule.events[number + 1 :],
        )
        shorter = attrs.evolve(schedule, events=events)
        if fails(shorter):
            schedule = shorter
    return schedule
