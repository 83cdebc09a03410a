"""Traces of requests: file format, generation from a seed and analysis.

A trace file has one `TracedRequest` per line as JSON, in order of time.
"""

import random
from collections.abc import Iterable, Iterator
from pathlib import Path

import attrs
import msgspec


@attrs.frozen
class TracedRequest:
    """A request in a trace, with the outcome to expect from a replay.

    Attributes:
        at: when it is sent, in seconds from the start of the trace.
        name: name that is unique within the trace.
        adapter: name of an adapter; "" for a call of a plain service.
        service: name of a plain service; "" for a model request.
        team: name of the team that sends the request.
        tokens: number of tokens to generate.
        priority: priority that is sent with the request; 0 is the most
            urgent.
        patience: timeout that is sent with the request, in seconds.
        repeatable: whether the request may run twice; otherwise it is sent
            with an idempotency key.
        prompt: text of the prompt; equal prompts share a prefix.
        outcome: `completed`, or `refused` if the request must not run.
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
    """The parameters of a generated trace.

    Attributes:
        seconds: duration of the trace.
        rate: mean model requests per second, without bursts.
        adapters: number of adapters.
        exponent: exponent of Zipf's law for the popularity of adapters.
        shift_seconds: interval after which half of the popular adapters are
            replaced by others.
        popular_adapters: number of adapters that count as popular.
        burst_interval_seconds: mean time between bursts for one adapter.
        burst_size: requests in a burst.
        mean_tokens: mean number of generated tokens.
        plain_rate: mean calls per second of the plain service.
        plain_service: name of the plain service.
        teams: number of teams; adapters are assigned to them in turn.
    """

    seconds: float
    rate: float
    adapters: int = 3000
    exponent: float = 1.1
    shift_seconds: float = 150.0
    popular_adapters: int = 50
    burst_interval_seconds: float = 40.0
    burst_size: int = 20
    mean_tokens: float = 100.0
    plain_rate: float = 1.0
    plain_service: str = "rondaapp"
    teams: int = 12


def adapter_name(number: int) -> str:
    """Returns the name of an adapter in generated traces."""
    return f"adapter-{number:04d}"


def make_trace(workload: Workload, seed: int) -> list[TracedRequest]:
    """Generates a trace; equal arguments give equal traces."""
    rng = random.Random(seed)
    requests = [
        *_make_model_requests(workload, rng),
        *_make_bursts(workload, rng),
        *_make_plain_calls(workload, rng),
    ]
    requests.sort(key=lambda request: request.at)
    return [
        attrs.evolve(request, name=f"q{number}")
        for number, request in enumerate(requests)
    ]


def _make_model_requests(
    workload: Workload, rng: random.Random
) -> Iterator[TracedRequest]:
    ranks = range(workload.adapters)
    weights = [1.0 / (rank + 1) ** workload.exponent for rank in ranks]
    order = list(ranks)
    rng.shuffle(order)
    at = 0.0
    next_shift = workload.shift_seconds
    totals = _cumulative_sums(weights)
    while True:
        at += rng.expovariate(workload.rate)
        if at >= workload.seconds:
            return
        if at >= next_shift:
            _shift_popularity(order, workload, rng)
            next_shift += workload.shift_seconds
        number = rng.choices(order, cum_weights=totals)[0]
        yield _make_request(at, number, workload, rng)


def _cumulative_sums(weights: Iterable[float]) -> list[float]:
    total = 0.0
    totals = []
    for weight in weights:
        total += weight
        totals.append(total)
    return totals


def _shift_popularity(
    order: list[int], workload: Workload, rng: random.Random
) -> None:
    """Swaps every second popular adapter with a random unpopular one."""
    for rank in range(0, workload.popular_adapters, 2):
        other = rng.randrange(workload.popular_adapters, workload.adapters)
        order[rank], order[other] = order[other], order[rank]


def _make_request(
    at: float, number: int, workload: Workload, rng: random.Random
) -> TracedRequest:
    tokens = max(int(rng.expovariate(1.0 / workload.mean_tokens)), 4)
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


def _make_bursts(
    workload: Workload, rng: random.Random
) -> Iterator[TracedRequest]:
    at = rng.uniform(0, workload.burst_interval_seconds)
    while at < workload.seconds:
        number = rng.randrange(workload.adapters)
        for _ in range(workload.burst_size):
            moment = at + rng.uniform(0, 2.0)
            if moment < workload.seconds:
                yield _make_request(moment, number, workload, rng)
        at += rng.expovariate(1.0 / workload.burst_interval_seconds)


def _make_plain_calls(
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
            service=workload.plain_service,
            priority=0,
            repeatable=rng.random() > 0.5,
        )


def write_trace(requests: Iterable[TracedRequest], path: Path) -> None:
    """Writes a trace to a file."""
    with path.open("wb") as file:
        for request in requests:
            file.write(msgspec.json.encode(request) + b"\n")


def read_trace(path: Path) -> list[TracedRequest]:
    """Reads a trace from a file.

    Raises:
        ValueError: a line isn't a valid request; names the line.
        OSError: the file can't be read.
    """
    requests = []
    for number, line in enumerate(path.read_bytes().splitlines(), 1):
        try:
            requests.append(msgspec.json.decode(line, type=TracedRequest))
        except msgspec.MsgspecError as error:
            raise ValueError(f"{path}: line {number}: {error}") from error
    return requests


def count_offline_misses(requests: Iterable[TracedRequest], slots: int) -> int:
    """Counts the misses of Belady's optimal replacement over a trace.

    This is a lower bound for any policy. All slots form one pool, and the
    adapter whose next use is farthest in the future is evicted; that may be
    the one just requested.

    Args:
        requests: trace, in order of time; plain calls are ignored.
        slots: total number of adapter slots.
    """
    sequence = [request.adapter for request in requests if request.adapter]
    next_use = _next_uses(sequence)
    held: dict[str, int] = {}
    misses = 0
    for position, adapter in enumerate(sequence):
        if adapter not in held:
            misses += 1
        held[adapter] = next_use[position]
        if len(held) > slots:
            farthest = max(held, key=held.__getitem__)
            del held[farthest]
    return misses


def _next_uses(sequence: list[str]) -> list[int]:
    next_use = [len(sequence)] * len(sequence)
    next_position: dict[str, int] = {}
    for position in range(len(sequence) - 1, -1, -1):
        adapter = sequence[position]
        next_use[position] = next_position.get(adapter, len(sequence))
        next_position[adapter] = position
    return next_use
