"""Schedules of faults, and playing one on the paused clock."""

import asyncio
import random
from collections.abc import Callable
from functools import singledispatch

import attrs
import looptime

from ridgesill.core.fleet.sent_orders import UNANSWERED_SECONDS
from testing.explorer.world import ExplorerWorld, Late

# Until leases are granted and the first loads are there, in seconds.
_BEGIN_SECONDS = 1.6
# After the last fault, in seconds: orders go on while some still run late.
# Books are true once loads have ended and a report has come, which is asked for
# when the last order without an answer can't be carried out any more.
_CALM_SECONDS = 1.5
_SETTLE_SECONDS = UNANSWERED_SECONDS + 4.0
# After how many seconds an order without an answer is carried out; most soon
# enough that much of what was known then still holds.
_FATES = (0.0, 2.0, 2.0, 2.5, 3.0, 4.0, 6.0, 12.0)


@attrs.frozen
class LoseAnswers:
    """For a while some orders get no answer and run late."""

    seconds: float
    share: float
    fates: tuple[float, ...]


@attrs.frozen
class Restart:
    """An engine starts again, under its name or a new one."""

    engine: int
    same_name: bool


@attrs.frozen
class CutOff:
    """An engine is cut off."""

    engine: int
    seconds: float


@attrs.frozen
class CutOneWay:
    """An engine is cut off one way; see `ExplorerWorld.cut_one_way`."""

    engine: int
    seconds: float
    way: str


@attrs.frozen
class Leave:
    """An engine leaves, and another one takes its address."""

    engine: int


@attrs.frozen
class ReplaceOwner:
    """The owner is lost."""

    knows: bool


@attrs.frozen
class Use:
    """Requests use what an engine holds."""

    engine: int


@attrs.frozen
class Pause:
    """Nothing new for a while."""

    seconds: float


Event = (
    LoseAnswers
    | Restart
    | CutOff
    | CutOneWay
    | Leave
    | ReplaceOwner
    | Use
    | Pause
)


@attrs.frozen
class Schedule:
    """What happens, and the seed of what isn't said.

    Attributes:
        weighed: whether engines load base models too, and have little room.
    """

    seed: int
    events: tuple[Event, ...]
    weighed: bool = False


@singledispatch
def _begin(event: Event, world: ExplorerWorld) -> float:
    """Has an event happen; returns the seconds until the next."""
    raise TypeError(f"no event: {event}")


@_begin.register
def _(event: LoseAnswers, world: ExplorerWorld) -> float:
    until = world.loop.time() + event.seconds
    world.late = Late(until, event.share, event.fates)
    return 0.0


@_begin.register
def _(event: Restart, world: ExplorerWorld) -> float:
    world.restart(event.engine, same_name=event.same_name)
    return 0.0


@_begin.register
def _(event: CutOff, world: ExplorerWorld) -> float:
    world.cut(event.engine, event.seconds)
    return 0.0


@_begin.register
def _(event: CutOneWay, world: ExplorerWorld) -> float:
    world.cut_one_way(event.engine, event.seconds, event.way)
    return 0.0


@_begin.register
def _(event: Leave, world: ExplorerWorld) -> float:
    world.leave(event.engine)
    return 0.0


@_begin.register
def _(event: ReplaceOwner, world: ExplorerWorld) -> float:
    world.replace_owner(knows=event.knows)
    return 0.0


@_begin.register
def _(event: Use, world: ExplorerWorld) -> float:
    world.use(event.engine)
    return 0.0


@_begin.register
def _(event: Pause, world: ExplorerWorld) -> float:
    return event.seconds


async def _play(schedule: Schedule) -> tuple[list[str], ExplorerWorld]:
    world = ExplorerWorld(schedule.seed, weighed=schedule.weighed)
    world.start()
    await asyncio.sleep(_BEGIN_SECONDS)
    try:
        for event in schedule.events:
            await asyncio.sleep(_begin(event, world))
            if world.find_fallen():
                break
        found = await _calm(world)
    finally:
        await world.stop()
    return found, world


async def _calm(world: ExplorerWorld) -> list[str]:
    """Returns what doesn't hold once nothing new happens."""
    calm_from = max(world.loop.time(), world.last_late_at) + _CALM_SECONDS
    while world.loop.time() < calm_from and not world.find_fallen():
        await asyncio.sleep(0.5)
        calm_from = max(calm_from, world.last_late_at)
    world.stop_callers()
    settled_at = world.loop.time() + _SETTLE_SECONDS
    while world.loop.time() < settled_at and not world.find_fallen():
        await asyncio.sleep(0.5)
        if not world.unanswered_wants and not world.find_untrue_books():
            break
    if fallen := world.find_fallen():
        return [f"{name} was ordered over its places" for name in fallen]
    found = world.find_untrue_books()
    if world.unanswered_wants:
        found.append(f"{world.unanswered_wants} wants weren't answered")
    if not await _is_served(world):
        found.append("nothing is loaded any more")
    return found


async def _is_served(world: ExplorerWorld) -> bool:
    """Whether an adapter is still brought to an engine when asked for."""
    until = world.loop.time() + _SETTLE_SECONDS
    while world.loop.time() < until:
        if await world.want(world.find_usable_artifact()):
            return True
        await asyncio.sleep(0.5)
    return False


def play(schedule: Schedule) -> tuple[list[str], ExplorerWorld]:
    """Plays a schedule; returns what didn't hold, and the world."""
    loop = looptime.new_event_loop(start=0.0, noop_cycles=2)
    try:
        return loop.run_until_complete(_play(schedule))
    finally:
        loop.close()


def draw_schedule(seed: int, *, wide: bool = False) -> Schedule:
    """Returns a random schedule.

    Args:
        seed: of the schedule.
        wide: whether engines also leave, are cut off one way and, in half of
            the schedules, load base models.
    """
    rng = random.Random(seed)
    makers = [*_make_makers(rng), *(_make_wide_makers(rng) if wide else ())]
    weights = [weight for weight, _ in makers]
    drawn = rng.choices(makers, weights, k=rng.randint(4, 12))
    events = tuple(make() for _, make in drawn)
    return Schedule(seed, events, wide and rng.random() < 0.5)


def _make_makers(rng: random.Random) -> list[tuple[int, Callable[[], Event]]]:
    """Returns what draws an event of each kind, with how often."""
    return [
        (
            3,
            lambda: LoseAnswers(
                rng.choice((0.5, 2.0, 6.0)),
                rng.choice((0.3, 0.6, 0.9)),
                tuple(rng.choice(_FATES) for _ in range(3)),
            ),
        ),
        (2, lambda: Restart(rng.randrange(2), rng.random() < 0.8)),
        (1, lambda: CutOff(rng.randrange(2), rng.choice((0.3, 1.0, 3.0)))),
        (1, lambda: ReplaceOwner(rng.random() < 0.7)),
        (1, lambda: Use(rng.randrange(2))),
        (4, lambda: Pause(rng.choice((0.05, 0.2, 0.6, 1.5, 2.5)))),
    ]


def _make_wide_makers(
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
    """Leaves out events for as long as a schedule still fails."""
    for number in reversed(range(len(schedule.events))):
        events = (
            *schedule.events[:number],
            *schedule.events[number + 1 :],
        )
        shorter = attrs.evolve(schedule, events=events)
        if fails(shorter):
            schedule = shorter
    return schedule
