"""Load and faults of an emulated plain service, and what became of its calls.

The defaults are those of deployment A of `docs/design/hard-load.md`.
"""

import math

import attrs

from ridgesill.standin.emulator.plain_upstreams import SLOW, UpstreamFault

# Worth of an answer to a caller that had to return, and of a late one.
_RETURN_WORTH = 0.65
_LATE_WORTH = 0.3


@attrs.frozen
class EmulatedRoute:
    """A route of the service; times are in seconds.

    Attributes:
        name: unique name.
        goal: time until which an answer is in time.
        patience: time that clients wait.
        is_repeatable: whether a request may run twice.
    """

    name: str
    goal: float
    patience: float
    is_repeatable: bool


_ROUTES = (
    EmulatedRoute("post", 0.344, 4.184, False),
    EmulatedRoute("get", 0.342, 4.167, True),
)


@attrs.frozen
class Burst:
    """A period with more load than usual.

    Attributes:
        at: start, in seconds.
        seconds: duration.
        factor: multiple of the usual load.
        customer: number of the customer that sends it; None for all.
    """

    at: float
    seconds: float
    factor: float
    customer: int | None = None

    def find_factor(self, customer: int | None, now: float) -> float:
        """Returns the factor on a customer's load."""
        is_active = self.at <= now < self.at + self.seconds
        return self.factor if is_active and self.customer == customer else 1.0


@attrs.frozen
class ServicePlan:
    """The load and the faults to emulate; times are in seconds.

    Attributes:
        fronts: number of fronts.
        offered: usual load, in new calls a second.
        seconds: duration.
        upstreams: number of upstreams.
        slots: requests that each serves at once.
        queue: longest queue of each.
        service_seconds: mean service time.
        routes: routes that share the load evenly.
        customers: number of customers; 0 for none.
        bursts: periods with more load.
        wave: amplitude of a wave of the load, as a share of it.
        wave_seconds: period of this wave.
        at_once_share: share of callers that ignore `Retry-After`.
        faults: faults of upstreams.
        news_seconds: one-way delay of news, drawn from this range. The owner's
            state in them is up to a tick older.
        news_lost_share: share of the news that never arrive.
        owner_lost_at: when owners are lost.
        ownerless_seconds: time until the next owner takes over.
        restarted_at: when all fronts are restarted.
    """

    fronts: int = 74
    offered: float = 203.0
    seconds: float = 12.0
    upstreams: int = 4
    slots: int = 6
    queue: int = 24
    service_seconds: float = 0.0686
    routes: tuple[EmulatedRoute, ...] = _ROUTES
    customers: int = 16
    bursts: tuple[Burst, ...] = ()
    wave: float = 0.0
    wave_seconds: float = 15.0
    at_once_share: float = 0.0
    faults: tuple[UpstreamFault, ...] = ()
    news_seconds: tuple[float, float] = (0.1, 0.2)
    news_lost_share: float = 0.0
    owner_lost_at: tuple[float, ...] = ()
    ownerless_seconds: float = 4.0
    restarted_at: float = float("inf")

    @property
    def shortest_goal(self) -> float:
        """The shortest goal of the routes, in seconds."""
        return min(route.goal for route in self.routes)

    def find_load(self, customer: int | None, now: float) -> float:
        """Returns the factor on the usual load of a customer, or of all."""
        factor = 1.0
        for burst in self.bursts:
            factor *= burst.find_factor(customer, now)
        if customer is None:
            turn = 2 * math.pi * now / self.wave_seconds
            factor *= 1 + self.wave * math.sin(turn)
        return factor

    def find_capacity(self, now: float) -> float:
        """Returns the calls a second that upstreams can serve."""
        usable = 0.0
        for number in range(self.upstreams):
            faults = [
                f
                for f in self.faults
                if f.upstream == number and f.is_active(now)
            ]
            factors = [f.factor if f.kind == SLOW else 0.0 for f in faults]
            usable += min((1 / f if f else 0.0 for f in factors), default=1.0)
        return usable * self.slots / self.service_seconds


@attrs.define(eq=False)
class Call:
    """What became of a call; times are clock times, in seconds.

    Attributes:
        route: its route.
        customer: number of its customer.
        at: when the client sent it first.
        ignores_delay: whether the client ignores `Retry-After`.
        sent_at: when the client sent its latest attempt.
        refusals: number of refusals.
        refusal_seconds: longest time until the client was told of one.
        had_room: whether the client was told a time with room for it.
        has_returned: whether the client came back after a refusal.
        answered_at: when its answer arrived; None for none.
        tries: upstreams that the latest attempt was sent to.
    """

    route: EmulatedRoute
    customer: int
    at: float
    ignores_delay: bool
    sent_at: float = 0.0
    refusals: int = 0
    refusal_seconds: float = 0.0
    had_room: bool = False
    has_returned: bool = False
    answered_at: float | None = None
    tries: list[str] = attrs.Factory(list)

    @property
    def is_in_time(self) -> bool:
        """Whether it was answered within its goal after its last attempt."""
        if self.answered_at is None:
            return False
        return self.answered_at - self.sent_at <= self.route.goal

    @property
    def worth(self) -> float:
        """Its worth, at most 1."""
        if self.answered_at is None:
            return 0.0
        if self.has_returned:
            return _RETURN_WORTH
        return 1.0 if self.is_in_time else _LATE_WORTH
