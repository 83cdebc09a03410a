"""Measures routing against baselines by replay on the paused clock.

Both deployments' traces, three seeds, near 80% and at 130% of capacity: what
the engines could generate a second if every adapter were always loaded.
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

from bench.baselines import BASELINES, RecencyRunner, Store
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
_OURS = "ridgesill"
_TOKENS = 100.0
_DRAIN_SECONDS = 60.0
_PATIENCE = 10.0


@attrs.frozen
class Site:
    """A deployment as the traces need it.

    Attributes:
        absent_share: of requests whose adapter is absent, with decayed
            frequency over pooled slots and loads that take no time.
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
        """The engines: a load takes what the store gives at full speed."""
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
    def rate(self) -> float:
        """Requests a second at which the engines or the store are busy."""
        return min(self.engine_rate, self.store_rate / self.absent_share)

    @property
    def engine_rate(self) -> float:
        """Requests a second that keep all engines busy."""
        model = self.model
        step = model.step_seconds + model.batch * model.sequence_seconds
        step += model.slots * model.adapter_seconds
        step += model.prefill_seconds * model.batch / _TOKENS
        return self.runners * model.batch / step / _TOKENS


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
    """One replay to make."""

    site: str
    policy: str
    load: float
    seed: int
    seconds: float


@attrs.define
class Score:
    """What a replay came to."""

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
        """The 95th percentile; those never begun count as the patience."""
        missing = [_PATIENCE] * (self.requests - len(self.first_tokens))
        return percentile(self.first_tokens + missing, 0.95)

    @property
    def batch(self) -> float:
        """Tokens for each second that an engine was busy."""
        return self.tokens / self.busy if self.busy else 0.0

    @property
    def goodput(self) -> float:
        """Requests a second answered whole and begun in time."""
        return self.in_time / self.seconds


class Replay:
    """Replays a trace over a policy; counts what engines were asked."""

    def __init__(self, run: Run) -> None:
        self.run = run
        self.site = _SITES[run.site]
        self.score = Score(seconds=run.seconds)
        self.begun: Counter[str] = Counter()
        self._loop = asyncio.get_running_loop()
        self._rng = random.Random(run.seed)
        self.trace = make_trace(
            Workload(
                run.seconds,
                self.site.rate * run.load,
                exponent=self.site.exponent,
                plain_service=self.site.plain,
                mean_tokens=_TOKENS,
            ),
            run.seed,
        )

    async def play(self) -> Score:
        """Plays the whole trace."""
        serve, engines = self._policy()
        tasks = []
        start = self._loop.time()
        for request in self.trace:
            await asyncio.sleep(max(start + request.at - self._loop.time(), 0))
            tasks.append(asyncio.ensure_future(self._serve(serve, request)))
        await asyncio.wait(tasks, timeout=_DRAIN_SECONDS)
        for task in tasks:
            task.cancel()
        self._count(engines)
        return self.score

    def _policy(self) -> tuple[Any, list[Engine]]:
        if self.run.policy == _OURS:
            ours = Ours(self)
            return ours.serve, ours.model_engines()
        baseline = Baseline(self)
        return baseline.serve, [r.engine for r in baseline.runners]

    async def _serve(
        self,
        serve: Callable[[TracedRequest], Coroutine[Any, Any, None]],
        request: TracedRequest,
    ) -> None:
        if request.adapter:
            self.score.requests += 1
        await serve(request)

    async def generate(
        self, engine: Engine, request: TracedRequest, name: str, began: float
    ) -> bool:
        """Runs a request on an engine; returns whether it ended whole."""
        adapter = f"{request.adapter}@v1"
        ended: asyncio.Future[Exception | None] = self._loop.create_future()
        first: list[float] = []

        def on_token(number: int) -> None:
            if not number:
                first.append(self._loop.time() - began)

        def on_end(error: Exception | None) -> None:
            if not ended.done():
                ended.set_result(error)

        self.begun[request.name] += 1
        sequence = Sequence(
            name, adapter, request.tokens, request.prompt, on_token, on_end
        )
        try:
            engine.submit(sequence)
        except Exception as fault:  # noqa: BLE001 - any refusal is a fault
            self.score.wrong += 1
            print(f"fault: {fault!r} at {self._loop.time():.3f}: {request}")
            return False
        error = await ended
        if error is not None:
            self.score.wrong += 1
            return False
        self.score.first_tokens.append(first[0])
        if first[0] <= request.patience:
            self.score.in_time += 1
        return True

    def _count(self, engines: list[Engine]) -> None:
        score = self.score
        score.tokens = sum(e.counts.tokens for e in engines)
        score.busy = sum(e.counts.busy_seconds for e in engines)
        score.loads = sum(e.counts.loads for e in engines)
        score.wrong += sum(e.counts.unloads_in_use for e in engines)
        score.doubled = sum(1 for n in self.begun.values() if n > 1)
        slots = self.site.model.slots * self.site.runners
        score.offline = count_offline_misses(self.trace, slots)


class Ours:
    """The real decisions over fake ports."""

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
        """Serves a request through any node."""
        fake = self._rng.choice(list(self.world.nodes.values()))
        began = self._loop.time()
        call = Call(
            request.name,
            service=request.service,
            model=request.adapter,
            team=request.team,
            priority=request.priority,
            patience=request.patience,
        )
        admitted = await fake.entry.admit(call)
        if isinstance(admitted, Err):
            score = self._replay.score
            score.refused += bool(request.adapter)
            score.false_not_run += bool(self._replay.begun[request.name])
            return
        admission = admitted.ok_value
        try:
            await self._run(request, admission, began)
        finally:
            fake.entry.finish(admission)

    async def _run(
        self, request: TracedRequest, admission: Admission, began: float
    ) -> None:
        if not request.adapter:
            self._replay.begun[request.name] += 1
            await asyncio.sleep(0.02)
            return
        if admission.stalled > 0:
            self._replay.score.stalls += 1
        engine = self.world.engines[admission.runner]
        name = admission.request
        await self._replay.generate(engine, request, name, began)


class Baseline:
    """A policy without shared decisions."""

    def __init__(self, replay: Replay) -> None:
        self._replay = replay
        site = replay.site
        self._loop = asyncio.get_running_loop()
        rng = random.Random(replay.run.seed)
        store = Store(site.store_rate, site.store_concurrency)
        self._choose = BASELINES[replay.run.policy](rng)
        self.runners = []
        self._tasks = []
        for _ in range(site.runners):
            engine = Engine(site.model, rng)
            self._tasks.append(asyncio.ensure_future(engine.run()))
            runner = RecencyRunner(engine, site.model.batch, store)
            self.runners.append(runner)

    async def serve(self, request: TracedRequest) -> None:
        """Serves a request; one that waits too long is given up."""
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
            self._replay.score.late += 1
            self._replay.score.stalls += 1
            return
        self._replay.score.stalls += stalled
        try:
            await self._replay.generate(
                runner.engine, request, request.name, began
            )
        finally:
            runner.release(adapter)


def make_state(site: Site) -> State:
    """Returns the configuration of a site."""
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


def play(run: Run) -> tuple[Run, Score]:
    """Makes one replay on a clock of its own."""
    loop = looptime.new_event_loop(start=0, noop_cycles=1)
    asyncio.set_event_loop(loop)
    try:

        async def work() -> Score:
            return await Replay(run).play()

        return run, loop.run_until_complete(work())
    finally:
        tasks = asyncio.all_tasks(loop)
        for task in tasks:
            task.cancel()
        gathered = asyncio.gather(*tasks, return_exceptions=True)
        loop.run_until_complete(gathered)
        loop.close()


def mean(scores: list[Score], read: Callable[[Score], float]) -> float:
    """Returns the mean of a figure over seeds."""
    return sum(read(score) for score in scores) / len(scores)


def summarise(results: dict[tuple[str, str, float], list[Score]]) -> str:
    """Returns the summary lines."""

    def ratio(
        site: str, load: float, read: Callable[[Score], float], best: Any
    ) -> float:
        ours = mean(results[(site, _OURS, load)], read)
        others = [mean(results[(site, b, load)], read) for b in BASELINES]
        return ours / best(others)

    ours = [
        score
        for (_, policy, _), scores in results.items()
        for score in scores
        if policy == _OURS
    ]
    stalls = ratio("tambal", 0.8, lambda s: s.stalls, min)
    first = ratio("tambal", 0.8, lambda s: s.first_token_p95, min)
    batch = ratio("tanuru", 0.8, lambda s: s.batch, max)
    goodput = ratio("tambal", 1.3, lambda s: s.goodput, max)
    goodput_tanuru = ratio("tanuru", 1.3, lambda s: s.goodput, max)
    tambal = results[("tambal", _OURS, 0.8)]
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
        f"wrong={sum(s.wrong for s in ours)} "
        f"false_not_run={sum(s.false_not_run for s in ours)} "
        f"doubled={sum(s.doubled for s in ours)}"
    )


def print_table(results: dict[tuple[str, str, float], list[Score]]) -> None:
    """Prints the means over seeds."""
    print(
        f"{'site':8}{'load':>5} {'policy':16}{'requests':>9}{'stalls':>8}"
        f"{'ttft p50':>9}{'ttft p95':>9}{'tok/busy s':>11}{'goodput':>8}"
        f"{'refused':>8}{'late':>6}{'loads':>7}{'offline':>8}"
    )
    for (site, policy, load), scores in sorted(results.items()):
        print(
            f"{site:8}{load:5.1f} {policy:16}"
            f"{mean(scores, lambda s: s.requests):9.0f}"
            f"{mean(scores, lambda s: s.stalls):8.0f}"
            f"{mean(scores, lambda s: percentile(s.first_tokens, 0.5)):9.3f}"
            f"{mean(scores, lambda s: s.first_token_p95):9.3f}"
            f"{mean(scores, lambda s: s.batch):11.1f}"
            f"{mean(scores, lambda s: s.goodput):8.2f}"
            f"{mean(scores, lambda s: s.refused):8.0f}"
            f"{mean(scores, lambda s: s.late):6.0f}"
            f"{mean(scores, lambda s: s.loads):7.0f}"
            f"{mean(scores, lambda s: s.offline):8.0f}"
        )


def main() -> int:
    """Makes all replays; returns 0 if nothing went wrong."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=600.0)
    parser.add_argument("--seeds", type=int, default=len(_SEEDS))
    parser.add_argument("--processes", type=int, default=6)
    options = parser.parse_args()
    runs = [
        Run(site, policy, load, seed, options.seconds)
        for site in _SITES
        for policy in (_OURS, *BASELINES)
        for load in (0.8, 1.3)
        for seed in _SEEDS[: options.seeds]
    ]
    results: dict[tuple[str, str, float], list[Score]] = {}
    with multiprocessing.Pool(options.processes) as workers:
        for run, score in workers.imap_unordered(play, runs):
            key = (run.site, run.policy, run.load)
            results.setdefault(key, []).append(score)
    print_table(results)
    print(summarise(results))
    faults = sum(
        s.wrong + s.doubled + s.false_not_run
        for (_, policy, _), scores in results.items()
        if policy == _OURS
        for s in scores
    )
    return int(bool(faults))


if __name__ == "__main__":
    sys.exit(main())
