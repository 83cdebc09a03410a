"""Replays traces against running nodes, as their callers would."""

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
_DONE_MARK = b"[DONE]"
_TAIL = 64
_TIMEOUT = 120.0


@attrs.frozen
class Played:
    """What became of one request.

    Attributes:
        outcome: `completed`, `refused`, `cut` or `lost`.
        first: seconds to the first byte; 0 without an answer.
        tokens: events of its stream.
    """

    name: str
    outcome: str
    first: float = 0.0
    tokens: int = 0


@attrs.frozen
class Totals:
    """What became of a whole trace.

    Attributes:
        unexpected: requests whose outcome is not the one stated.
        first: seconds to the first byte of the answered ones, sorted.
    """

    requests: int
    outcomes: dict[str, int]
    unexpected: tuple[str, ...]
    first: tuple[float, ...]
    tokens: int
    seconds: float

    def line(self) -> str:
        """Returns the summary line."""
        first = self.first or (0.0,)
        counts = " ".join(
            f"{name}={self.outcomes.get(name, 0)}"
            for name in ("completed", "refused", "cut", "lost")
        )
        return (
            f"replay: requests={self.requests} {counts} "
            f"unexpected={len(self.unexpected)} "
            f"first_p50_s={first[len(first) // 2]:.4f} "
            f"first_p95_s={first[int(len(first) * 0.95)]:.4f} "
            f"tokens={self.tokens} seconds={self.seconds:.1f}"
        )


class Player:
    """Plays traces against nodes in turn.

    Args:
        nodes: addresses of the callers' listeners.
        threads: requests in progress at once.
    """

    def __init__(self, nodes: tuple[str, ...], threads: int = 64) -> None:
        self._nodes = itertools.cycle(nodes)
        self._threads = threads
        self._lock = threading.Lock()
        self._http = urllib3.PoolManager(
            num_pools=len(nodes), maxsize=threads, retries=False
        )

    def play(self, trace: list[TracedRequest], speed: float = 1.0) -> Totals:
        """Plays a trace and returns what became of it.

        Args:
            trace: the requests, in order of time.
            speed: how many times faster than recorded.
        """
        began = time.monotonic()
        with ThreadPoolExecutor(self._threads) as workers:
            futures = []
            for request in trace:
                due = began + request.at / speed
                time.sleep(max(due - time.monotonic(), 0.0))
                futures.append(workers.submit(self.send, request))
            played = [future.result() for future in futures]
        return _total(trace, played, time.monotonic() - began)

    def send(self, request: TracedRequest) -> Played:
        """Sends one request and reads its whole answer."""
        with self._lock:
            node = next(self._nodes)
        try:
            return self._exchange(node, request)
        except urllib3.exceptions.HTTPError:
            return Played(request.name, "lost")

    def _exchange(self, node: str, request: TracedRequest) -> Played:
        began = time.monotonic()
        path, body = _addressed(request)
        response = self._http.request(
            "POST",
            f"http://{node}{path}",
            body=body,
            headers=_headers(request),
            timeout=_TIMEOUT,
            preload_content=False,
        )
        if response.status != 200:
            response.drain_conn()
            response.release_conn()
            return Played(request.name, "refused")
        first, tokens, tail = 0.0, 0, b""
        for chunk in response.stream(65536):
            first = first or time.monotonic() - began
            tokens += chunk.count(b"data: {")
            tail = (tail + chunk)[-_TAIL:]
        response.release_conn()
        whole = bool(request.service) or _DONE_MARK in tail
        outcome = "completed" if whole else "cut"
        return Played(request.name, outcome, first, tokens)


def _addressed(request: TracedRequest) -> tuple[str, bytes]:
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


def _headers(request: TracedRequest) -> dict[str, str]:
    headers = {
        "X-Ridgesill-Priority": str(request.priority),
        "X-Ridgesill-Timeout": str(request.patience),
        "X-Ridgesill-Team": request.team,
    }
    if not request.repeatable:
        headers["Idempotency-Key"] = request.name
    return headers


def _total(
    trace: list[TracedRequest], played: list[Played], seconds: float
) -> Totals:
    unexpected = tuple(
        f"{was.name}: {was.outcome}, not {asked.outcome}"
        for asked, was in zip(trace, played, strict=True)
        if was.outcome != asked.outcome
    )
    return Totals(
        len(trace),
        dict(Counter(was.outcome for was in played)),
        unexpected,
        tuple(sorted(was.first for was in played if was.first)),
        sum(was.tokens for was in played),
        seconds,
    )
