"""Requests that callers make: kinds, sizes, adapters and times."""

import bisect
import itertools
import math
import random
from collections.abc import Iterator

import attrs

from ridgesill.ports.dialect import RequestFacts
from ridgesill.standin.emulator.engines import AnswerPlan


@attrs.frozen
class Size:
    """A lognormal size.

    Attributes:
        mean: of the sizes.
        spread: standard deviation of their logarithm.
        most: above which none lies.
    """

    mean: float
    spread: float = 0.0
    most: float = math.inf

    def draw(self, rng: random.Random) -> float:
        """Returns a size."""
        middle = math.log(self.mean) - self.spread**2 / 2
        return min(rng.lognormvariate(middle, self.spread), self.most)


@attrs.frozen
class SharedPart:
    """A part of prompts that several requests share.

    Attributes:
        variants: how many there are, for each variant of the part before.
    """

    tokens: Size
    variants: int = 1


@attrs.frozen
class RequestKind:
    """A kind of request. Times in seconds.

    Attributes:
        rate: requests a second.
        goal: within which the first event is in time.
        pause_goal: the longest pause between events in time.
        patience: the caller's, in all.
        worth: of an answer in time to a request of mean size.
        late_worth: of one that is late.
        retries: of a refused caller.
        shared: parts of the prompt before the request's own.
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
    """Which adapters are asked for.

    Attributes:
        adapters: how many there are.
        exponent: of the Zipf law.
        share: of the requests that name an adapter at all.
        shift_every: seconds after which each rank falls to the next adapter.
    """

    adapters: int = 3000
    exponent: float = 1.2
    share: float = 0.95
    shift_every: float = math.inf


@attrs.frozen
class Burst:
    """A time with more requests of all kinds."""

    at: float
    seconds: float
    factor: float


@attrs.frozen
class Arrival:
    """A request of a caller.

    Attributes:
        worth: of an answer in time, by its size.
        late_worth: of one that is late.
    """

    at: float
    name: str
    kind: RequestKind
    plan: AnswerPlan
    worth: float
    late_worth: float


class Demand:
    """Draws the requests of a day.

    Args:
        kinds: of requests.
        popularity: of adapters.
        bursts: times with more of them.
        model: the base model.
        rng: the source of chance.
    """

    def __init__(
        self,
        kinds: tuple[RequestKind, ...],
        popularity: Popularity,
        bursts: tuple[Burst, ...],
        model: str,
        rng: random.Random,
    ) -> None:
        self._kinds = kinds
        self._popularity = popularity
        self._bursts = bursts
        self._model = model
        self._rng = rng
        self._numbers = itertools.count()
        self._salt = rng.random()
        weights = (
            (rank + 1) ** -popularity.exponent
            for rank in range(popularity.adapters)
        )
        self._cumulative = list(itertools.accumulate(weights))
        self._names = rng.sample(
            range(popularity.adapters), popularity.adapters
        )

    def draw(self, seconds: float) -> list[Arrival]:
        """Returns the requests of some seconds, in order of time."""
        arrivals = [
            arrival
            for kind in self._kinds
            for arrival in self._of(kind, seconds)
        ]
        return sorted(arrivals, key=lambda arrival: arrival.at)

    def _of(self, kind: RequestKind, seconds: float) -> Iterator[Arrival]:
        most = max([1.0, *(burst.factor for burst in self._bursts)])
        at = 0.0
        while True:
            at += self._rng.expovariate(kind.rate * most)
            if at >= seconds:
                return
            if self._rng.random() < self._factor(at) / most:
                yield self._make(kind, at)

    def _factor(self, at: float) -> float:
        factors = (
            burst.factor
            for burst in self._bursts
            if burst.at <= at < burst.at + burst.seconds
        )
        return max(factors, default=1.0)

    def _adapter(self, at: float) -> str:
        if self._rng.random() >= self._popularity.share:
            return ""
        draw = self._rng.random() * self._cumulative[-1]
        rank = bisect.bisect_left(self._cumulative, draw)
        shifted = rank + int(at / self._popularity.shift_every)
        return f"a{self._names[shifted % len(self._names)]}"

    def _make(self, kind: RequestKind, at: float) -> Arrival:
        name = f"r{next(self._numbers)}"
        parts = []
        path = kind.name
        for shared in kind.shared:
            path += f".{self._rng.randrange(shared.variants)}"
            # Equal parts have equal sizes within a day.
            sized = random.Random(f"{self._salt} {path}")
            parts.append((path, max(int(shared.tokens.draw(sized)), 1)))
        parts.append((name, max(int(kind.prompt.draw(self._rng)), 1)))
        events = max(int(kind.events.draw(self._rng)), 1)
        prompt = sum(tokens for _, tokens in parts)
        facts = RequestFacts(
            request=name,
            host="",
            model=self._model,
            adapter=self._adapter(at),
            prompt_tokens=prompt,
            answer_tokens=events,
            parts=tuple(parts),
            patience=kind.patience,
        )
        plan = AnswerPlan(facts, events)
        weight = _weigh(kind, prompt, events)
        return Arrival(
            at, name, kind, plan, kind.worth * weight, kind.late_worth * weight
        )


def _weigh(kind: RequestKind, prompt: int, events: int) -> float:
    """Returns a request's worth beside one of mean size.

    Larger answers are worth more to those who asked (the users' rules: three
    tenths, and seven by size, to four times at the most; a token made counts
    for ten read).
    """
    shared = sum(part.tokens.mean for part in kind.shared)
    mean = kind.prompt.mean + shared + 10 * 4 * kind.events.mean
    size = prompt + 10 * 4 * events
    return min(0.3 + 0.7 * size / mean, 4.0)
