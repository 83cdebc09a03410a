"""Measures the latency and processor time that a node adds, on real processes.

Requests through a node alternate with requests sent directly to the stand-in
runner.
"""

import sys
import tempfile
import threading
import time
from pathlib import Path

import msgspec
import urllib3

from bench.declarations import apply_declaration, make_declaration
from bench.usage import percentile, processor_seconds
from testing.processes import Deployment, NodeHandle, deployed, wait_until

_REQUEST_PAIRS = 400
_CALLER_COUNT = 48
_STREAM_SECONDS = 15.0
_STREAM_TOKENS = 200
_ADAPTER_COUNT = 8
_PATH = "/v1/chat/completions"


def _encode_request(model: str, tokens: int, stream: bool) -> bytes:
    message = {"role": "user", "content": "x"}
    return msgspec.json.encode(
        {
            "model": model,
            "messages": [message],
            "max_tokens": tokens,
            "stream": stream,
        }
    )


def _time_first_byte(
    pool: urllib3.PoolManager, address: str, model: str
) -> float:
    began = time.perf_counter()
    response = pool.request(
        "POST",
        f"http://{address}{_PATH}",
        body=_encode_request(model, 1, True),
        preload_content=False,
    )
    assert response.status == 200, response.data
    next(response.stream(65536))
    took = time.perf_counter() - began
    response.drain_conn()
    response.release_conn()
    return took


def measure_latency(node: NodeHandle, runner: str) -> tuple[float, float]:
    """Measures the time to the first byte that a node adds.

    Args:
        node: the node that forwards the requests.
        runner: the address of the stand-in runner.

    Returns:
        The added seconds at the 50th and at the 95th percentile.
    """
    pool = urllib3.PoolManager(retries=False, timeout=30)
    direct, through = [], []
    for number in range(_REQUEST_PAIRS):
        model = f"adapter-{number % _ADAPTER_COUNT:06d}"
        through.append(_time_first_byte(pool, node.callers, model))
        versioned_name = f"{model}@v{1 + number % _ADAPTER_COUNT % 7}"
        direct.append(_time_first_byte(pool, runner, versioned_name))
    warm_up_requests = _ADAPTER_COUNT * 2
    return (
        percentile(through[warm_up_requests:], 0.5)
        - percentile(direct[warm_up_requests:], 0.5),
        percentile(through[warm_up_requests:], 0.95)
        - percentile(direct[warm_up_requests:], 0.95),
    )


class _StreamLoad:
    """Concurrent callers that each stream one completion after another.

    Args:
        node: the node that forwards the requests.
        tokens: tokens of each completion.
    """

    def __init__(self, node: NodeHandle, tokens: int) -> None:
        self.requests = 0
        self.events = 0
        self._node = node
        self._tokens = tokens
        self._lock = threading.Lock()
        self._stop = time.monotonic() + _STREAM_SECONDS

    def run(self) -> None:
        """Runs each caller in a thread until the measuring time is over."""
        threads = [
            threading.Thread(target=self._stream_repeatedly, args=(number,))
            for number in range(_CALLER_COUNT)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _stream_repeatedly(self, number: int) -> None:
        pool = urllib3.PoolManager(retries=False, timeout=60)
        body = _encode_request(
            f"adapter-{number % _ADAPTER_COUNT:06d}", self._tokens, stream=True
        )
        while time.monotonic() < self._stop:
            answer = pool.request(
                "POST", f"http://{self._node.callers}{_PATH}", body=body
            )
            events = answer.data.count(b"data: {")
            with self._lock:
                self.requests += answer.status == 200
                self.events += events


def _measure_throughput(
    node: NodeHandle, tokens: int
) -> tuple[float, float, float]:
    """Returns requests per second, tokens per second and cores used."""
    assert node.running is not None
    streams = _StreamLoad(node, tokens)
    before = processor_seconds(node.running.pid)
    began = time.monotonic()
    streams.run()
    took = time.monotonic() - began
    cores = (processor_seconds(node.running.pid) - before) / took
    return streams.requests / took, streams.events / took, cores


def main() -> int:
    """Measures and prints latency and throughput."""
    with tempfile.TemporaryDirectory() as name:
        deployment = Deployment(Path(name))
        node = deployment.add_node("n1", "dc0", voter=True)
        engine = {
            "load_seconds": 0.01,
            "batch": 64,
            "step_seconds": 0.002,
            "sequence_seconds": 0.0,
            "adapter_seconds": 0.0,
            "prefill_seconds": 0.0,
        }
        stand_ins = [
            deployment.add_stand_in(
                f"r{number}", "assist", "dc0", slots=8, engine=engine
            )
            for number in range(3)
        ]
        with deployed(deployment):
            wait_until(deployment.leader, "a leader")
            apply_declaration(deployment, node, make_declaration(1, 100))
            pool_name = "dc0/assist"
            wait_until(
                lambda: (
                    pool_name
                    in {p["pool"] for p in deployment.status(node)["pools"]}
                ),
                "the pool has an owner",
            )
            runner = stand_ins[0].listen
            for other in stand_ins[1:]:
                other.running.kill()
            time.sleep(4)
            p50, p95 = measure_latency(node, runner)
            short, _, short_cores = _measure_throughput(node, 1)
            _, tokens, cores = _measure_throughput(node, _STREAM_TOKENS)
    print(f"short requests: {short:.0f}/s on {short_cores:.2f} cores")
    print(f"long streams: {tokens:.0f} tokens/s on {cores:.2f} cores")
    print(
        f"path: added_first_byte_p50_ms={p50 * 1000:.2f} "
        f"added_first_byte_p95_ms={p95 * 1000:.2f} "
        f"requests_per_core_s={short / short_cores:.0f} "
        f"tokens_per_core_s={tokens / cores:.0f}"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
