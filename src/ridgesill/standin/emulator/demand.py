"""Random requests of callers: their kinds, sizes, adapters and times."""

import bisect
import itertools
import math
import random
from collections.abc import Iterator

import attrs

from ridgesill.core.serving.customers import digest_key
from ridgesill.ports.dialect import RequestFacts
from ridgesill.standin.emulator.engines import AnswerPlan


@attrs.frozen
class Size:
    """A lognormal distribution of sizes.

    Attributes:
        mean: mean of the distribution before it is capped.
        spread: standard deviation of the logarithm of the sizes.
        most: maximum; larger draws are reduced to it.
    """

    mean: float
    spread: float = 0.0
    most: float = math.inf

    def draw(self, rng: random.Random) -> float:
        """Draws a size."""
        mean_logarithm = math.log(self.mean) - self.spread**2 / 2
        return min(rng.lognormvariate(mean_logarithm, self.spread), self.most)


@attrs.frozen
class SharedPart:
    """A prompt part that several requests have in common.

    Attributes:
        tokens: distribution of the part's size, drawn once per variant.
        variants: number of variants for each variant of the part before.
    """

    tokens: Size
    variants: int = 1


@attrs.frozen
class RequestKind:
    """A kind of request. Times are in seconds.

    Attributes:
        rate: mean requests per second outside bursts.
        goal: time to the first event within which an answer is in time.
        pause_goal: longest pause between events of an answer in time.
        patience: time after which the caller abandons the request, counted
            from its first attempt.
        worth: value of an answer in time to a request of mean size.
        late_worth: value of a complete but late answer.
        prompt: tokens of the prompt part that is unique to a request.
        events: events of the answer.
        shared: prompt parts before the unique part.
        retries: attempts after the first one that a refused caller makes.
        attempts: engines that a front may try for one request.
        resumable: whether another engine may continue a broken stream.
        priority: priority of the route; 0 is the most urgent.
    """

    name: str
    rate: float
    goal: float
    pause_goal: float
    patience: float
    worth: float
    late_worth: float
    prompt: Size
    events: Size
    shared: tuple[SharedPart, ...] = ()
    retries: int = 1
    attempts: int = 2
    resumable: bool = True
    priority: int = 0


@attrs.frozen
class Popularity:
    """The popularity of adapters, which follows Zipf's law.

    Attributes:
        adapters: number of adapters.
        exponent: exponent of Zipf's law.
        share: share of the requests that name an adapter; the others use the
            base model.
        shift_every: seconds after which each popularity rank moves on to the
            next adapter.
    """

    adapters: int = 3000
    exponent: float = 1.2
    share: float = 0.95
    shift_every: float = math.inf


@attrs.frozen
class Burst:
    """A period with a higher request rate for all kinds.

    Attributes:
        at: start, in seconds from the first request.
        seconds: duration.
        factor: factor applied to the request rates.
    """

    at: float
    seconds: float
    factor: float


@attrs.frozen
class CustomerBurst:
    """A period in which one customer also requests rare adapters, each once.

    Attributes:
        at: start, in seconds from the first request.
        seconds: duration.
        factor: the customer's load in the period, as a multiple of an average
            customer's load.
        customer: name of the customer.
    """

    at: float
    seconds: float
    factor: float
    customer: str = "c0"


@attrs.frozen
class Arrival:
    """A request as a caller sends it.

    Attributes:
        at: when it is sent, in seconds from the start of the run.
        name: id of the request.
        plan: what an engine generates for it.
        worth: value of an answer in time, which grows with the size.
        late_worth: value of a complete but late answer.
        customer: name of the customer; empty if there are none.
        is_burst: whether it belongs to a customer's burst.
    """

    at: float
    name: str
    kind: RequestKind
    plan: AnswerPlan
    worth: float
    late_worth: float
    customer: str = ""
    is_burst: bool = False


class Demand:
    """Draws the requests of a run.

    Args:
        kinds: kinds of requests.
        popularity: popularity of adapters.
        bursts: periods with higher request rates.
        model: name of the base model.
        rng: source of all draws.
        customers: number of customers; each adapter belongs to one of them.
    """

    def __init__(
        self,
        kinds: tuple[RequestKind, ...],
        popularity: Popularity,
        bursts: tuple[Burst, ...],
        model: str,
        rng: random.Random,
        customers: int = 0,
    ) -> None:
        self._customers = customers
        self._kinds = kinds
        self._popularity = popularity
        self._bursts = bursts
        self._model = model
        self._rng = rng
        self._request_numbers = itertools.count()
        self._salt = rng.random()
        weights = (
            (rank + 1) ** -popularity.exponent
            for rank in range(popularity.adapters)
        )
        self._cumulative = list(itertools.accumulate(weights))
        self._adapter_by_rank = rng.sample(
            range(popularity.adapters), popularity.adapters
        )

    def draw(self, seconds: float) -> list[Arrival]:
        """Draws the requests of a number of seconds, in order of time."""
        arrivals = [
            arrival
            for kind in self._kinds
            for arrival in self._draw_kind(kind, seconds)
        ]
        return sorted(arrivals, key=lambda arrival: arrival.at)

    def draw_customer_burst(
        self, burst: CustomerBurst, rng: random.Random
    ) -> list[Arrival]:
        """Draws the requests that a customer's burst adds, in order of time.

        Args:
            burst: the burst.
            rng: source of its draws, so that all others stay the same.
        """
        self._rng = rng
        weights = [kind.rate for kind in self._kinds]
        rate = (burst.factor - 1) * sum(weights) / self._customers
        arrivals: list[Arrival] = []
        at = burst.at + rng.expovariate(rate)
        while at < burst.at + burst.seconds:
            kind = rng.choices(self._kinds, weights)[0]
            arrival = self._make_arrival(kind, at, f"x{len(arrivals)}")
            arrivals.append(attrs.evolve(arrival, is_burst=True))
            at += rng.expovariate(rate)
        return [_change_customer(a, burst.customer) for a in arrivals]

    def popular_adapters(self, engines: int, places: int) -> list[list[str]]:
        """Returns adapters for the slots of engines, as after hours of load.

        The most popular ones have copies in proportion to their requests.
        """
        copies: list[str] = []
        for rank, adapter in enumerate(self._adapter_by_rank):
            share = (rank + 1) ** -self._popularity.exponent
            count = round(share / self._cumulative[-1] * engines)
            copies.extend([f"a{adapter}"] * max(count, 1))
        copies = copies[: engines * places]
        return [copies[number::engines] for number in range(engines)]

    def _draw_kind(
        self, kind: RequestKind, seconds: float
    ) -> Iterator[Arrival]:
        most = max([1.0, *(burst.factor for burst in self._bursts)])
        at = 0.0
        while True:
            at += self._rng.expovariate(kind.rate * most)
            if at >= seconds:
                return
            if self._rng.random() < self._burst_factor(at) / most:
                yield self._make_arrival(kind, at)

    def _burst_factor(self, at: float) -> float:
        factors = (
            burst.factor
            for burst in self._bursts
            if burst.at <= at < burst.at + burst.seconds
        )
        return max(factors, default=1.0)

    def _draw_adapter(self, at: float) -> str:
        if self._rng.random() >= self._popularity.share:
            return ""
        draw = self._rng.random() * self._cumulative[-1]
        rank = bisect.bisect_left(self._cumulative, draw)
        shifted = rank + int(at / self._popularity.shift_every)
        return f"a{self._adapter_by_rank[shifted % len(self._adapter_by_rank)]}"

    def _make_arrival(
        self, kind: RequestKind, at: float, rare_adapter: str = ""
    ) -> Arrival:
        number = next(self._request_numbers)
        name = f"r{number}"
        parts = []
        path = kind.name
        for shared in kind.shared:
            path += f".{self._rng.randrange(shared.variants)}"
            # Seeded by the part's path, so that all requests of a run that
            # share a part agree on its size.
            part_rng = random.Random(f"{self._salt} {path}")
            parts.append((path, max(int(shared.tokens.draw(part_rng)), 1)))
        parts.append((name, max(int(kind.prompt.draw(self._rng)), 1)))
        events = max(int(kind.events.draw(self._rng)), 1)
        prompt = sum(tokens for _, tokens in parts)
        facts = RequestFacts(
            request=name,
            host="",
            model=self._model,
            adapter=rare_adapter or self._draw_adapter(at),
            prompt_tokens=prompt,
            answer_tokens=events,
            parts=tuple(parts),
            patience=kind.patience,
        )
        plan = AnswerPlan(facts, events)
        size_factor = _size_factor(kind, prompt, events)
        arrival = Arrival(
            at,
            name,
            kind,
            plan,
            kind.worth * size_factor,
            kind.late_worth * size_factor,
        )
        if not self._customers:
            return arrival
        owned = int(facts.adapter[1:]) if facts.adapter else number
        return _change_customer(arrival, f"c{owned % self._customers}")


def _change_customer(arrival: Arrival, customer: str) -> Arrival:
    """Returns a request as another customer sends it, with its key."""
    facts = attrs.evolve(
        arrival.plan.facts, key_digest=digest_key(customer.encode())
    )
    plan = attrs.evolve(arrival.plan, facts=facts)
    return attrs.evolve(arrival, plan=plan, customer=customer)


def _size_factor(kind: RequestKind, prompt: int, events: int) -> float:
    """Returns a request's worth relative to one of mean size.

    Larger requests are worth more: 0.3 of the worth is fixed and 0.7 is
    proportional to the size, up to 4 times the mean worth. A generated token
    counts as much as 10 prompt tokens, and an event has 4 tokens.
    """
    shared = sum(part.tokens.mean for part in kind.shared)
    mean = kind.prompt.mean + shared + 10 * 4 * kind.events.mean
    size = prompt + 10 * 4 * events
    return min(0.3 + 0.7 * size / mean, 4.0)
