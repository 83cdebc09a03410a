"""Compares routing with baseline policies by replaying traces.

Replays run on a simulated clock: the traces of two deployments with three
seeds, at 80% and at 130% of the rate at which the engines or the weight store
are saturated.
"""

import argparse
import asyncio
import multiprocessing
import random
import sys
from collections import Counter
from collections.abc import Callable, Coroutine
from typing import Any

import attrs
import looptime
from result import Err

from bench.baselines import BASELINES, LruRunner, WeightStoreLimiter
from bench.usage import percentile
from ridgesill.core.calls import Admission, Call
from ridgesill.core.configuration import (
    PLAIN,
    Adapter,
    DataCentre,
    Service,
    Team,
    group_adapters,
    make_table,
)
from ridgesill.core.pool.context import PoolLimits
from ridgesill.core.state import State
from ridgesill.standin.engine import Engine, EngineModel, Sequence
from ridgesill.standin.traces import (
    TracedRequest,
    Workload,
    adapter_name,
    count_offline_misses,
    make_trace,
)
from testing.world import RunnerSpec, World

_SEEDS = (1, 2, 3)
_RIDGESILL = "ridgesill"
_TOKENS_PER_REQUEST = 100.0
_DRAIN_SECONDS = 60.0
_PATIENCE_SECONDS = 10.0


@attrs.frozen
class Site:
    """The parameters of an emulated deployment and its trace.

    Attributes:
        name: the name of the site.
        places: the data centres.
        service: the name of the model service.
        runners: the number of its runners.
        plain: the name of the plain service.
        store_rate: adapter loads that the weight store allows per second.
        store_concurrency: adapter loads that it allows at the same time.
        batch_weight: the batch weight in the service's configuration.
        exponent: the exponent of the adapters' popularity in the trace.
        absent_share: the share of requests whose adapter is not loaded, if
            slots are pooled, adapters are kept by decayed frequency and loads
            take no time.
    """

    name: str
    places: tuple[str, ...]
    service: str
    runners: int
    plain: str
    store_rate: float
    store_concurrency: int
    batch_weight: float
    exponent: float
    absent_share: float

    @property
    def model(self) -> EngineModel:
        """The engine model.

        With its load time, `store_concurrency` loads at a time reach
        `store_rate`.
        """
        return EngineModel(
            slots=8,
            batch=16,
            load_seconds=self.store_concurrency / self.store_rate,
            step_seconds=0.008,
            sequence_seconds=0.0004,
            adapter_seconds=0.001,
            prefill_seconds=0.004,
        )

    @property
    def saturating_rate(self) -> float:
        """Requests per second that saturate the engines or the store."""
        return min(
            self.engine_saturating_rate, self.store_rate / self.absent_share
        )

    @property
    def engine_saturating_rate(self) -> float:
        """Requests per second that saturate all engines.

        Assumes full batches and that every adapter is loaded.
        """
        model = self.model
        step = model.step_seconds + model.batch * model.sequence_seconds
        step += model.slots * model.adapter_seconds
        step += model.prefill_seconds * model.batch / _TOKENS_PER_REQUEST
        return self.runners * model.batch / step / _TOKENS_PER_REQUEST


TAMBAL = Site(
    "tambal",
    ("bdg-a", "bdg-b", "ckr-1"),
    "asisten",
    9,
    "rondaapp",
    9.0,
    4,
    0.0,
    1.2,
    0.285,
)
TANURU = Site(
    "tanuru",
    ("njiro", "sakina", "themi"),
    "msaidizi",
    6,
    "hifadhi-api",
    4.0,
    3,
    1.0,
    1.2,
    0.33,
)
_SITES = {site.name: site for site in (TAMBAL, TANURU)}


@attrs.frozen
class Run:
    """The parameters of one replay.

    Attributes:
        site: the name of the site.
        policy: the name of the routing policy.
        load: the request rate as a share of the saturating rate.
        seed: the seed of the trace and of all random choices.
        seconds: the length of the trace.
    """

    site: str
    policy: str
    load: float
    seed: int
    seconds: float


@attrs.define
class ReplayResult:
    """The counts and times of one replay.

    Attributes:
        requests: requests for adapters.
        stalls: requests that waited until their adapter was loaded.
        first_tokens: seconds until the first token, of completed requests.
        in_time: completed requests whose first token came within their
            patience.
        refused: requests for adapters that were not admitted.
        late: requests that gave up waiting for their adapter or a slot.
        wrong: faults at the engines, such as an adapter unloaded in use.
        doubled: requests that were started more than once.
        false_not_run: requests refused as not run that had been started.
        tokens: tokens that the engines generated.
        busy: seconds in which an engine was busy, summed over the engines.
        loads: adapter loads.
        offline: the fewest misses possible if the trace is known in advance.
        seconds: the length of the trace.
    """

    requests: int = 0
    stalls: int = 0
    first_tokens: list[float] = attrs.Factory(list)
    in_time: int = 0
    refused: int = 0
    late: int = 0
    wrong: int = 0
    doubled: int = 0
    false_not_run: int = 0
    tokens: int = 0
    busy: float = 0.0
    loads: int = 0
    offline: int = 0
    seconds: float = 0.0

    @property
    def first_token_p95(self) -> float:
        """Seconds to the first token at the 95th percentile.

        Requests without a token count as the patience.
        """
        missing = [_PATIENCE_SECONDS] * (self.requests - len(self.first_tokens))
        return percentile(self.first_tokens + missing, 0.95)

    @property
    def batch(self) -> float:
        """Tokens per second in which an engine was busy."""
        return self.tokens / self.busy if self.busy else 0.0

    @property
    def goodput(self) -> float:
        """Requests per second that completed with their first token in time."""
        return self.in_time / self.seconds


class Replay:
    """Replays a trace with a routing policy.

    Args:
        run: the parameters of the replay.
    """

    def __init__(self, run: Run) -> None:
        self.run = run
        self.site = _SITES[run.site]
        self.result = ReplayResult(seconds=run.seconds)
        self.start_counts: Counter[str] = Counter()
        self._loop = asyncio.get_running_loop()
        self._rng = random.Random(run.seed)
        self.trace = make_trace(
            Workload(
                run.seconds,
                self.site.saturating_rate * run.load,
                exponent=self.site.exponent,
                plain_service=self.site.plain,
                mean_tokens=_TOKENS_PER_REQUEST,
            ),
            run.seed,
        )

    async def play(self) -> ReplayResult:
        """Replays the whole trace and returns the counts."""
        serve, engines = self._make_policy()
        tasks = []
        start = self._loop.time()
        for request in self.trace:
            await asyncio.sleep(max(start + request.at - self._loop.time(), 0))
            tasks.append(asyncio.ensure_future(self._serve(serve, request)))
        await asyncio.wait(tasks, timeout=_DRAIN_SECONDS)
        for task in tasks:
            task.cancel()
        self._count_engine_work(engines)
        return self.result

    def _make_policy(self) -> tuple[Any, list[Engine]]:
        if self.run.policy == _RIDGESILL:
            ridgesill = RidgesillPolicy(self)
            return ridgesill.serve, ridgesill.model_engines()
        baseline = BaselinePolicy(self)
        return baseline.serve, [r.engine for r in baseline.runners]

    async def _serve(
        self,
        serve: Callable[[TracedRequest], Coroutine[Any, Any, None]],
        request: TracedRequest,
    ) -> None:
        if request.adapter:
            self.result.requests += 1
        await serve(request)

    async def generate(
        self, engine: Engine, request: TracedRequest, name: str, began: float
    ) -> bool:
        """Runs a request on an engine.

        Args:
            engine: the engine that the policy chose.
            request: the request of the trace.
            name: the name of the sequence on the engine.
            began: when the request arrived, on the event loop's clock.

        Returns:
            Whether the request completed.
        """
        adapter = f"{request.adapter}@v1"
        ended: asyncio.Future[Exception | None] = self._loop.create_future()
        first: list[float] = []

        def on_token(number: int) -> None:
            if not number:
                first.append(self._loop.time() - began)

        def on_end(error: Exception | None) -> None:
            if not ended.done():
                ended.set_result(error)

        self.start_counts[request.name] += 1
        sequence = Sequence(
            name, adapter, request.tokens, request.prompt, on_token, on_end
        )
        try:
            engine.submit(sequence)
        except Exception as fault:  # noqa: BLE001 - any refusal is a fault
            self.result.wrong += 1
            print(f"fault: {fault!r} at {self._loop.time():.3f}: {request}")
            return False
        error = await ended
        if error is not None:
            self.result.wrong += 1
            return False
        self.result.first_tokens.append(first[0])
        if first[0] <= request.patience:
            self.result.in_time += 1
        return True

    def _count_engine_work(self, engines: list[Engine]) -> None:
        result = self.result
        result.tokens = sum(e.counts.tokens for e in engines)
        result.busy = sum(e.counts.busy_seconds for e in engines)
        result.loads = sum(e.counts.loads for e in engines)
        result.wrong += sum(e.counts.unloads_in_use for e in engines)
        result.doubled = sum(1 for n in self.start_counts.values() if n > 1)
        slots = self.site.model.slots * self.site.runners
        result.offline = count_offline_misses(self.trace, slots)


class RidgesillPolicy:
    """Routes with Ridgesill's own decision code over fake ports.

    Args:
        replay: the replay that sends the requests.
    """

    def __init__(self, replay: Replay) -> None:
        self._replay = replay
        site = replay.site
        self._rng = random.Random(replay.run.seed)
        self._loop = asyncio.get_running_loop()
        runners = [
            RunnerSpec(
                f"r{number}",
                site.service,
                site.places[number % len(site.places)],
                site.model,
                site.model.batch,
            )
            for number in range(site.runners)
        ]
        runners += [
            RunnerSpec(f"p{n}", site.plain, place, EngineModel(slots=0), 32)
            for n, place in enumerate(site.places)
        ]
        nodes = [site.places[n % len(site.places)] for n in range(6)]
        self.world = World(
            nodes, runners, make_state(site), PoolLimits(), self._rng
        )
        self.world.start()

    def model_engines(self) -> list[Engine]:
        """Returns the engines of the model service."""
        service = self._replay.site.service
        places = self.world.runner_specs
        return [
            engine
            for name, engine in self.world.engines.items()
            if places[name].service == service
        ]

    async def serve(self, request: TracedRequest) -> None:
        """Serves a request through a randomly chosen node."""
        node = self._rng.choice(list(self.world.nodes.values()))
        began = self._loop.time()
        call = Call(
            request.name,
            service=request.service,
            model=request.adapter,
            team=request.team,
            priority=request.priority,
            patience=request.patience,
        )
        admitted = await node.entry.admit(call)
        if isinstance(admitted, Err):
            result = self._replay.result
            result.refused += bool(request.adapter)
            result.false_not_run += bool(
                self._replay.start_counts[request.name]
            )
            return
        admission = admitted.ok_value
        try:
            await self._run_admitted(request, admission, began)
        finally:
            node.entry.finish(admission)

    async def _run_admitted(
        self, request: TracedRequest, admission: Admission, began: float
    ) -> None:
        if not request.adapter:
            self._replay.start_counts[request.name] += 1
            await asyncio.sleep(0.02)
            return
        if admission.stalled > 0:
            self._replay.result.stalls += 1
        engine = self.world.engines[admission.runner]
        name = admission.request
        await self._replay.generate(engine, request, name, began)


class BaselinePolicy:
    """Routes with a baseline policy, whose runners share no decisions.

    Args:
        replay: the replay that sends the requests.
    """

    def __init__(self, replay: Replay) -> None:
        self._replay = replay
        site = replay.site
        self._loop = asyncio.get_running_loop()
        rng = random.Random(replay.run.seed)
        store = WeightStoreLimiter(site.store_rate, site.store_concurrency)
        self._choose = BASELINES[replay.run.policy](rng)
        self.runners = []
        self._tasks = []
        for _ in range(site.runners):
            engine = Engine(site.model, rng)
            self._tasks.append(asyncio.ensure_future(engine.run()))
            runner = LruRunner(engine, site.model.batch, store)
            self.runners.append(runner)

    async def serve(self, request: TracedRequest) -> None:
        """Serves a request unless its patience ends before it can start."""
        if not request.adapter:
            return
        began = self._loop.time()
        adapter = f"{request.adapter}@v1"
        runner = self._choose(adapter, self.runners)
        try:
            stalled = await asyncio.wait_for(
                runner.acquire(adapter), request.patience
            )
        except TimeoutError:
            self._replay.result.late += 1
            self._replay.result.stalls += 1
            return
        self._replay.result.stalls += stalled
        try:
            await self._replay.generate(
                runner.engine, request, request.name, began
            )
        finally:
            runner.release(adapter)


def make_state(site: Site) -> State:
    """Returns the configuration state of a deployment."""
    adapters = [
        (adapter_name(n), Adapter(f"team{n % 12}", site.service, ("v1",)))
        for n in range(3000)
    ]
    state = State()
    state.version = 1
    state.table = make_table(
        [DataCentre(name, "region") for name in site.places],
        [Team(f"team{n}") for n in range(12)],
        [
            Service(
                site.service,
                load_rate=site.store_rate,
                load_concurrency=site.store_concurrency,
                batch_weight=site.batch_weight,
            ),
            Service(site.plain, PLAIN, repeatable=False),
        ],
        group_adapters(adapters),
    )
    return state


def play(run: Run) -> tuple[Run, ReplayResult]:
    """Runs one replay on a simulated clock of its own."""
    loop = looptime.new_event_loop(start=0, noop_cycles=1)
    asyncio.set_event_loop(loop)
    try:

        async def run_replay() -> ReplayResult:
            return await Replay(run).play()

        return run, loop.run_until_complete(run_replay())
    finally:
        tasks = asyncio.all_tasks(loop)
        for task in tasks:
            task.cancel()
        gathered = asyncio.gather(*tasks, return_exceptions=True)
        loop.run_until_complete(gathered)
        loop.close()


def mean(
    replays: list[ReplayResult], metric: Callable[[ReplayResult], float]
) -> float:
    """Returns the mean of a metric over seeds."""
    return sum(metric(result) for result in replays) / len(replays)


def summarise(results: dict[tuple[str, str, float], list[ReplayResult]]) -> str:
    """Returns the summary lines.

    They compare Ridgesill with the best baseline and count its faults.
    """

    def ratio(
        site: str,
        load: float,
        metric: Callable[[ReplayResult], float],
        best: Any,
    ) -> float:
        ridgesill = mean(results[(site, _RIDGESILL, load)], metric)
        others = [mean(results[(site, b, load)], metric) for b in BASELINES]
        return ridgesill / best(others)

    ridgesill = [
        result
        for (_, policy, _), replays in results.items()
        for result in replays
        if policy == _RIDGESILL
    ]
    stalls = ratio("tambal", 0.8, lambda s: s.stalls, min)
    first = ratio("tambal", 0.8, lambda s: s.first_token_p95, min)
    batch = ratio("tanuru", 0.8, lambda s: s.batch, max)
    goodput = ratio("tambal", 1.3, lambda s: s.goodput, max)
    goodput_tanuru = ratio("tanuru", 1.3, lambda s: s.goodput, max)
    tambal = results[("tambal", _RIDGESILL, 0.8)]
    offline = mean(tambal, lambda s: s.stalls) / mean(
        tambal, lambda s: s.offline
    )
    return (
        f"bound: tambal_stalls_vs_offline={offline:.2f}\n"
        f"goodput_130 by site: tambal={goodput:.2f} "
        f"tanuru={goodput_tanuru:.2f}\n"
        f"routing: tambal_stalls_vs_best={stalls:.2f} "
        f"tambal_ttft_p95_vs_best={first:.2f} "
        f"tanuru_batch_vs_best={batch:.2f} "
        f"goodput_130_vs_best={min(goodput, goodput_tanuru):.2f} "
        f"wrong={sum(s.wrong for s in ridgesill)} "
        f"false_not_run={sum(s.false_not_run for s in ridgesill)} "
        f"doubled={sum(s.doubled for s in ridgesill)}"
    )


def print_table(
    results: dict[tuple[str, str, float], list[ReplayResult]],
) -> None:
    """Prints the means over seeds for each site, load and policy."""
    print(
        f"{'site':8}{'load':>5} {'policy':16}{'requests':>9}{'stalls':>8}"
        f"{'ttft p50':>9}{'ttft p95':>9}{'tok/busy s':>11}{'goodput':>8}"
        f"{'refused':>8}{'late':>6}{'loads':>7}{'offline':>8}"
    )
    for (site, policy, load), replays in sorted(results.items()):
        print(
            f"{site:8}{load:5.1f} {policy:16}"
            f"{mean(replays, lambda s: s.requests):9.0f}"
            f"{mean(replays, lambda s: s.stalls):8.0f}"
            f"{mean(replays, lambda s: percentile(s.first_tokens, 0.5)):9.3f}"
            f"{mean(replays, lambda s: s.first_token_p95):9.3f}"
            f"{mean(replays, lambda s: s.batch):11.1f}"
            f"{mean(replays, lambda s: s.goodput):8.2f}"
            f"{mean(replays, lambda s: s.refused):8.0f}"
            f"{mean(replays, lambda s: s.late):6.0f}"
            f"{mean(replays, lambda s: s.loads):7.0f}"
            f"{mean(replays, lambda s: s.offline):8.0f}"
        )


def main() -> int:
    """Runs all replays; returns 0 if those of Ridgesill had no faults."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=600.0)
    parser.add_argument("--seeds", type=int, default=len(_SEEDS))
    parser.add_argument("--processes", type=int, default=6)
    options = parser.parse_args()
    runs = [
        Run(site, policy, load, seed, options.seconds)
        for site in _SITES
        for policy in (_RIDGESILL, *BASELINES)
        for load in (0.8, 1.3)
        for seed in _SEEDS[: options.seeds]
    ]
    results: dict[tuple[str, str, float], list[ReplayResult]] = {}
    with multiprocessing.Pool(options.processes) as workers:
        for run, result in workers.imap_unordered(play, runs):
            key = (run.site, run.policy, run.load)
            results.setdefault(key, []).append(result)
    print_table(results)
    print(summarise(results))
    faults = sum(
        s.wrong + s.doubled + s.false_not_run
        for (_, policy, _), replays in results.items()
        if policy == _RIDGESILL
        for s in replays
    )
    return int(bool(faults))


if __name__ == "__main__":
    sys.exit(main())
