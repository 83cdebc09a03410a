"""Replays traces of requests against running nodes over HTTP."""

import itertools
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

import attrs
import msgspec
import urllib3

from ridgesill.standin.traces import TracedRequest

_CHAT = "/v1/chat/completions"
_END_MARK = b"[DONE]"
_TAIL_BYTES = 64
_TIMEOUT_SECONDS = 120.0


@attrs.frozen
class ReplayedRequest:
    """The outcome of one replayed request.

    Attributes:
        name: name of the request in the trace.
        outcome: `completed`; `refused` for a status other than 200; `cut` for
            a stream without its end mark; `lost` for a connection error or a
            timeout.
        first_byte_seconds: time to the first byte of the body; 0 without one.
        tokens: number of events in the stream.
    """

    name: str
    outcome: str
    first_byte_seconds: float = 0.0
    tokens: int = 0


@attrs.frozen
class ReplayTotals:
    """The outcomes of a replayed trace.

    Attributes:
        requests: number of requests.
        outcomes: number of requests by outcome.
        unexpected: a message for each request whose outcome differs from the
            one stated in the trace.
        first_byte_seconds: sorted times to the first byte, of the requests
            that got one.
        tokens: total number of events in the streams.
        seconds: duration of the replay.
    """

    requests: int
    outcomes: dict[str, int]
    unexpected: tuple[str, ...]
    first_byte_seconds: tuple[float, ...]
    tokens: int
    seconds: float

    def summary(self) -> str:
        """Returns a one-line summary of counts and latencies."""
        latencies = self.first_byte_seconds or (0.0,)
        counts = " ".join(
            f"{name}={self.outcomes.get(name, 0)}"
            for name in ("completed", "refused", "cut", "lost")
        )
        return (
            f"replay: requests={self.requests} {counts} "
            f"unexpected={len(self.unexpected)} "
            f"first_p50_s={latencies[len(latencies) // 2]:.4f} "
            f"first_p95_s={latencies[int(len(latencies) * 0.95)]:.4f} "
            f"tokens={self.tokens} seconds={self.seconds:.1f}"
        )


class TraceReplayer:
    """Replays traces against nodes in round-robin order.

    Args:
        nodes: addresses of the nodes' listeners for callers, IP:PORT.
        threads: maximum number of requests in progress.
    """

    def __init__(self, nodes: tuple[str, ...], threads: int = 64) -> None:
        self._nodes = itertools.cycle(nodes)
        self._threads = threads
        self._lock = threading.Lock()
        self._http = urllib3.PoolManager(
            num_pools=len(nodes), maxsize=threads, retries=False
        )

    def replay(
        self, trace: list[TracedRequest], speed: float = 1.0
    ) -> ReplayTotals:
        """Replays a trace and returns the outcomes.

        Args:
            trace: the requests, in order of time.
            speed: factor by which to replay faster than recorded.
        """
        began = time.monotonic()
        with ThreadPoolExecutor(self._threads) as workers:
            futures = []
            for request in trace:
                due = began + request.at / speed
                time.sleep(max(due - time.monotonic(), 0.0))
                futures.append(workers.submit(self.send, request))
            played = [future.result() for future in futures]
        return _sum_up(trace, played, time.monotonic() - began)

    def send(self, request: TracedRequest) -> ReplayedRequest:
        """Sends a request to the next node and reads the whole answer."""
        with self._lock:
            node = next(self._nodes)
        try:
            return self._exchange(node, request)
        except urllib3.exceptions.HTTPError:
            return ReplayedRequest(request.name, "lost")

    def _exchange(self, node: str, request: TracedRequest) -> ReplayedRequest:
        began = time.monotonic()
        path, body = _make_target(request)
        response = self._http.request(
            "POST",
            f"http://{node}{path}",
            body=body,
            headers=_make_headers(request),
            timeout=_TIMEOUT_SECONDS,
            preload_content=False,
        )
        if response.status != 200:
            response.drain_conn()
            response.release_conn()
            return ReplayedRequest(request.name, "refused")
        latency, tokens, tail = 0.0, 0, b""
        for chunk in response.stream(65536):
            latency = latency or time.monotonic() - began
            tokens += chunk.count(b"data: {")
            tail = (tail + chunk)[-_TAIL_BYTES:]
        response.release_conn()
        is_complete = bool(request.service) or _END_MARK in tail
        outcome = "completed" if is_complete else "cut"
        return ReplayedRequest(request.name, outcome, latency, tokens)


def _make_target(request: TracedRequest) -> tuple[str, bytes]:
    if request.service:
        return f"/services/{request.service}/call", b"{}"
    message = {"role": "user", "content": request.prompt}
    document = {
        "model": request.adapter,
        "messages": [message],
        "max_tokens": request.tokens,
        "stream": True,
    }
    return _CHAT, msgspec.json.encode(document)


def _make_headers(request: TracedRequest) -> dict[str, str]:
    headers = {
        "X-Ridgesill-Priority": str(request.priority),
        "X-Ridgesill-Timeout": str(request.patience),
        "X-Ridgesill-Team": request.team,
    }
    if not request.repeatable:
        headers["Idempotency-Key"] = request.name
    return headers


def _sum_up(
    trace: list[TracedRequest], played: list[ReplayedRequest], seconds: float
) -> ReplayTotals:
    unexpected = tuple(
        f"{replayed.name}: {replayed.outcome}, not {expected.outcome}"
        for expected, replayed in zip(trace, played, strict=True)
        if replayed.outcome != expected.outcome
    )
    return ReplayTotals(
        len(trace),
        dict(Counter(replayed.outcome for replayed in played)),
        unexpected,
        tuple(
            sorted(
                replayed.first_byte_seconds
                for replayed in played
                if replayed.first_byte_seconds
            )
        ),
        sum(replayed.tokens for replayed in played),
        seconds,
    )
