"""Sends requests and orders to runners over HTTP, based on urllib3."""

import asyncio
import threading
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import urllib3
from eliot import log_message
from result import Err, Ok, Result

from ridgesill.adapters.http1.connection_memory import ConnectionMemory
from ridgesill.adapters.runner_pool import make_pool_manager
from ridgesill.core.completeness import Completeness, judge_json
from ridgesill.core.runners import FENCE, LOAD, Order
from ridgesill.ports import orders
from ridgesill.ports.http import MAX_BODY_BYTES, MAX_DISCARDED_BYTES
from ridgesill.ports.runner import (
    IncompleteAnswerError,
    RunnerFailure,
    RunnerRequest,
)

EPOCH_HEADER = "X-Fencing-Epoch"
DEADLINE_HEADER = "X-Order-Deadline"
UNSTARTED_HEADER = "X-Unstarted"

_MAX_HOSTS = 1024
_CONNECT_SECONDS = 1.0
_ORDER_TIMEOUT_SECONDS = 10.0
_ORDER_PATHS = {
    LOAD: "/v1/load_lora_adapter",
    "unload": "/v1/unload_lora_adapter",
    FENCE: "/v1/fence",
}
_NOT_SENT_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)
_CHUNK_BYTES = 65536
_BODILESS_STATUSES = frozenset((204, 304))


class _AnswerMemory:
    """Bounds what all threads hold together of answers that are read whole.

    Args:
        memory: counts it.
    """

    def __init__(self, memory: ConnectionMemory) -> None:
        self._lock = threading.Lock()
        self._memory = memory

    def record(self, response: "HttpRunnerResponse", held: int) -> None:
        """Replaces what is held of an answer, in bytes; sheds the longest.

        Of one that has been shed nothing is held any more.
        """
        with self._lock:
            if not response.is_shed:
                self._memory.record(response, held)

    def discard(self, response: "HttpRunnerResponse") -> None:
        """Removes an answer that has been read or given up."""
        with self._lock:
            self._memory.discard(response)


class HttpRunnerResponse:
    """Implements `ports.runner.RunnerResponse` and `connection_memory.Holder`.

    Args:
        response: the response, whose body has not been read.
        address: the runner's `host:port`.
        memory: bounds what is held of all answers.

    Attributes:
        name: the runner's address.
        status: HTTP status.
        headers: of the response.
        is_shed: whether what has been read was dropped.
    """

    def __init__(
        self,
        response: urllib3.BaseHTTPResponse,
        address: str,
        memory: _AnswerMemory,
    ) -> None:
        self._response = response
        self._memory = memory
        self._parts: list[bytes] = []
        self.is_shed = False
        self.name = address
        self.status = response.status
        self.headers = response.headers

    @property
    def content_type(self) -> str:
        """The response's content type."""
        return self.headers.get("Content-Type", "application/octet-stream")

    @property
    def other_headers(self) -> tuple[tuple[str, str], ...]:
        """All headers except the content type."""
        return tuple(
            (name, value)
            for name, value in self.headers.items()
            if name.lower() != "content-type"
        )

    def chunks(self) -> Iterator[bytes]:
        """Yields the body as it arrives.

        Raises:
            IncompleteAnswerError: the connection ended before the body did.
        """
        try:
            yield from self._response.stream(_CHUNK_BYTES)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise IncompleteAnswerError(str(error)) from error

    def read(self) -> bytes:
        """Returns the complete body.

        Raises:
            IncompleteAnswerError: the connection ended before the body did, or
                nothing shows that it didn't, or the body is too long.
        """
        try:
            body = self._read_parts()
        finally:
            self._parts.clear()
            self._memory.discard(self)
        if self._is_framed() or judge_json(body) is Completeness.WHOLE:
            return body
        raise IncompleteAnswerError(
            "the answer has neither a length nor chunks, and is no complete "
            "JSON document"
        )

    def _read_parts(self) -> bytes:
        length = 0
        for part in self.chunks():
            length += len(part)
            if length > MAX_BODY_BYTES:
                raise self._give_up(f"longer than {MAX_BODY_BYTES} bytes")
            self._parts.append(part)
            self._memory.record(self, length)
            if self.is_shed:
                break
        body = b"".join(self._parts)
        # Another thread may also shed it while the end of the body is awaited.
        if self.is_shed:
            raise self._give_up("too long for the memory that is left")
        return body

    def _give_up(self, reason: str) -> IncompleteAnswerError:
        self.cancel()
        return IncompleteAnswerError(f"the answer is {reason}")

    def shed(self) -> None:
        """Drops what has been read; called by any thread."""
        self.is_shed = True
        self._parts.clear()

    def _is_framed(self) -> bool:
        """Whether something else than the connection ends the body."""
        response = self._response
        return (
            response.status in _BODILESS_STATUSES
            or response.chunked
            or response.length_remaining is not None
        )

    def release(self) -> None:
        """Returns the connection to its pool; the body must have been read."""
        self._response.release_conn()

    def cancel(self) -> None:
        """Closes the connection, which makes the runner cancel the request."""
        self._response.close()


class HttpRunners:
    """Implements `ports.runner.Runners`.

    Args:
        silence_seconds: how long a runner may send nothing while its response
            is awaited or read.
        memory: bounds what is held of answers that are read whole; of its own
            if omitted.
    """

    def __init__(
        self, silence_seconds: float, memory: ConnectionMemory | None = None
    ) -> None:
        self._memory = _AnswerMemory(memory or ConnectionMemory())
        self._timeout = urllib3.Timeout(
            connect=_CONNECT_SECONDS, read=silence_seconds
        )
        self._pool = make_pool_manager(
            _MAX_HOSTS, self._timeout, connections=64
        )

    def open(
        self, address: str, request: RunnerRequest, *, repeatable: bool
    ) -> Result[HttpRunnerResponse, RunnerFailure]:
        """Sends a request and returns when the response headers have arrived.

        A request that isn't repeatable is sent on a new connection. If a
        runner closes a reused one, it is unknown whether it received the
        request.

        Args:
            address: the runner's `host:port`.
            request: the request.
            repeatable: whether it can safely be sent twice.
        """
        url = f"http://{address}{request.path}"
        try:
            if repeatable:
                response = self._send(self._pool, url, request)
            else:
                unshared_pool = make_pool_manager(1, self._timeout)
                response = self._send(unshared_pool, url, request)
        except _NOT_SENT_ERRORS as error:
            return Err(RunnerFailure("connect", address, str(error), True))
        except urllib3.exceptions.HTTPError as error:
            return Err(RunnerFailure("request", address, str(error), False))
        return self._to_result(response, address)

    def _to_result(
        self, response: urllib3.BaseHTTPResponse, address: str
    ) -> Result[HttpRunnerResponse, RunnerFailure]:
        if response.headers.get(UNSTARTED_HEADER, "") != "true":
            return Ok(HttpRunnerResponse(response, address, self._memory))
        detail = f"status {response.status}, not started"
        absent = response.status == 404
        _discard(response)
        return Err(RunnerFailure("start", address, detail, True, absent))

    def _send(
        self, pool: urllib3.PoolManager, url: str, request: RunnerRequest
    ) -> urllib3.BaseHTTPResponse:
        return pool.request(
            request.method,
            url,
            body=request.body,
            headers=request.headers,
            preload_content=False,
            redirect=False,
        )


def _discard(response: urllib3.BaseHTTPResponse) -> None:
    """Reads a short body, so that the connection lasts, or closes it."""
    try:
        body = response.read(MAX_DISCARDED_BYTES)
    except (urllib3.exceptions.HTTPError, OSError) as error:
        log_message("runner:body_cut_short", detail=str(error))
        response.close()
        return
    if len(body) < MAX_DISCARDED_BYTES:
        response.release_conn()
    else:
        response.close()


class HttpOrders:
    """Implements `ports.orders.Orders`."""

    def __init__(self) -> None:
        timeout = urllib3.Timeout(
            connect=_CONNECT_SECONDS, read=_ORDER_TIMEOUT_SECONDS
        )
        self._pool = make_pool_manager(_MAX_HOSTS, timeout)
        self._threads = ThreadPoolExecutor(16, "orders")

    async def send(self, order: Order) -> str:
        """Sends an order and returns one of the verdicts in `ports.orders`."""
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._threads, self._post, order)

    def _post(self, order: Order) -> str:
        headers = {
            EPOCH_HEADER: str(order.epoch),
            DEADLINE_HEADER: str(order.deadline),
        }
        try:
            response = self._pool.request(
                "POST",
                f"http://{order.address}{_ORDER_PATHS[order.action]}",
                json={"lora_name": order.adapter},
                headers=headers,
                preload_content=False,
            )
            _discard(response)
        except _NOT_SENT_ERRORS as error:
            return _log_failed_order(order, orders.FAILED, str(error))
        except urllib3.exceptions.HTTPError as error:
            return _log_failed_order(order, orders.UNKNOWN, str(error))
        if response.status == 200:
            return orders.DONE
        return _log_failed_order(
            order, orders.FAILED, f"status {response.status}"
        )


def _log_failed_order(order: Order, verdict: str, detail: str) -> str:
    log_message(
        "order:not_done",
        step=order.action,
        peer=order.address,
        runner=order.runner,
        adapter=order.adapter,
        verdict=verdict,
        detail=detail,
    )
    return verdict
