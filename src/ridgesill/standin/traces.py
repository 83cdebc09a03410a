"""Traces of requests: their format, and seeded makers of both workloads.

A trace is a file of JSON lines, one `TracedRequest` each, in order of time.
"""

import random
from collections.abc import Iterable, Iterator
from pathlib import Path

import attrs
import msgspec


@attrs.frozen
class TracedRequest:
    """A request of a trace and the outcome that is asked of it.

    Attributes:
        at: seconds since the trace began.
        name: unique within the trace.
        adapter: an adapter's name; empty for a plain service.
        service: a plain service's name; empty for an adapter.
        tokens: how many tokens are generated.
        patience: seconds within which the first token is wanted.
        repeatable: whether it may run twice.
        prompt: names the prompt; equal prompts share a prefix.
        outcome: `completed`, or `refused` where it must not run.
    """

    at: float
    name: str
    adapter: str = ""
    service: str = ""
    team: str = ""
    tokens: int = 0
    priority: int = 1
    patience: float = 10.0
    repeatable: bool = True
    prompt: str = ""
    outcome: str = "completed"


@attrs.frozen
class Workload:
    """What a trace is made of.

    Attributes:
        seconds: its length.
        rate: model requests a second.
        adapters: how many there are.
        exponent: of the Zipf law of their popularity.
        shift: seconds after which half of the popular ones are others.
        popular: how many count as popular.
        burst: seconds between bursts of one adapter.
        tokens: mean of tokens generated.
        plain_rate: calls a second of the plain service.
        plain: name of the plain service.
    """

    seconds: float
    rate: float
    adapters: int = 3000
    exponent: float = 1.1
    shift: float = 150.0
    popular: int = 50
    burst: float = 40.0
    burst_size: int = 20
    tokens: float = 100.0
    plain_rate: float = 1.0
    plain: str = "rondaapp"
    teams: int = 12


def adapter_name(number: int) -> str:
    """Returns the name of an adapter of the made workloads."""
    return f"adapter-{number:04d}"


def make_trace(workload: Workload, seed: int) -> list[TracedRequest]:
    """Returns a trace; equal arguments give equal traces."""
    rng = random.Random(seed)
    requests = [
        *_model_requests(workload, rng),
        *_bursts(workload, rng),
        *_plain_calls(workload, rng),
    ]
    requests.sort(key=lambda request: request.at)
    return [
        attrs.evolve(request, name=f"q{number}")
        for number, request in enumerate(requests)
    ]


def _model_requests(
    workload: Workload, rng: random.Random
) -> Iterator[TracedRequest]:
    ranks = range(workload.adapters)
    weights = [1.0 / (rank + 1) ** workload.exponent for rank in ranks]
    order = list(ranks)
    rng.shuffle(order)
    at = 0.0
    next_shift = workload.shift
    totals = _cumulate(weights)
    while True:
        at += rng.expovariate(workload.rate)
        if at >= workload.seconds:
            return
        if at >= next_shift:
            _shift(order, workload, rng)
            next_shift += workload.shift
        number = rng.choices(order, cum_weights=totals)[0]
        yield _request(at, number, workload, rng)


def _cumulate(weights: Iterable[float]) -> list[float]:
    total = 0.0
    totals = []
    for weight in weights:
        total += weight
        totals.append(total)
    return totals


def _shift(order: list[int], workload: Workload, rng: random.Random) -> None:
    """Swaps half of the popular adapters with unpopular ones."""
    for rank in range(0, workload.popular, 2):
        other = rng.randrange(workload.popular, workload.adapters)
        order[rank], order[other] = order[other], order[rank]


def _request(
    at: float, number: int, workload: Workload, rng: random.Random
) -> TracedRequest:
    tokens = max(int(rng.expovariate(1.0 / workload.tokens)), 4)
    return TracedRequest(
        at,
        "",
        adapter_name(number),
        team=f"team{number % workload.teams}",
        tokens=min(tokens, 600),
        priority=rng.choices((0, 1, 2), (1, 7, 2))[0],
        repeatable=rng.random() > 0.1,
        prompt=f"{number}-{rng.randrange(20)}",
    )


def _bursts(workload: Workload, rng: random.Random) -> Iterator[TracedRequest]:
    at = rng.uniform(0, workload.burst)
    while at < workload.seconds:
        number = rng.randrange(workload.adapters)
        for _ in range(workload.burst_size):
            moment = at + rng.uniform(0, 2.0)
            if moment < workload.seconds:
                yield _request(moment, number, workload, rng)
        at += rng.expovariate(1.0 / workload.burst)


def _plain_calls(
    workload: Workload, rng: random.Random
) -> Iterator[TracedRequest]:
    at = 0.0
    while True:
        at += rng.expovariate(workload.plain_rate)
        if at >= workload.seconds:
            return
        yield TracedRequest(
            at,
            "",
            service=workload.plain,
            priority=0,
            repeatable=rng.random() > 0.5,
        )


def write_trace(requests: Iterable[TracedRequest], path: Path) -> None:
    """Writes a trace."""
    with path.open("wb") as file:
        for request in requests:
            file.write(msgspec.json.encode(request) + b"\n")


def read_trace(path: Path) -> list[TracedRequest]:
    """Returns the trace in a file.

    Raises:
        ValueError: a line holds no request; says which.
    """
    requests = []
    for number, line in enumerate(path.read_bytes().splitlines(), 1):
        try:
            requests.append(msgspec.json.decode(line, type=TracedRequest))
        except msgspec.MsgspecError as error:
            raise ValueError(f"{path}: line {number}: {error}") from error
    return requests


def count_offline_misses(requests: Iterable[TracedRequest], slots: int) -> int:
    """Returns how often an adapter is absent with the future known.

    The bound is Belady's: over pooled slots, what is needed last leaves. A
    request for an absent adapter need not displace anything, if it is needed
    again later than all that is held.
    """
    sequence = [request.adapter for request in requests if request.adapter]
    following = _next_uses(sequence)
    held: dict[str, int] = {}
    misses = 0
    for position, adapter in enumerate(sequence):
        if adapter not in held:
            misses += 1
        held[adapter] = following[position]
        if len(held) > slots:
            last = max(held, key=held.__getitem__)
            del held[last]
    return misses


def _next_uses(sequence: list[str]) -> list[int]:
    following = [len(sequence)] * len(sequence)
    seen: dict[str, int] = {}
    for position in range(len(sequence) - 1, -1, -1):
        adapter = sequence[position]
        following[position] = seen.get(adapter, len(sequence))
        seen[adapter] = position
    return following
