"""Callers that keep their connections open and record their outcomes."""

import asyncio
import random
from collections.abc import Callable

import attrs

from testing.app.front_world import Client
from testing.platform_world import ROUTE_HOST
from testing.soak.upstreams import MODEL

_ADAPTERS = 12
_ANSWER_TIMEOUT_SECONDS = 4.0
# Statuses that guarantee that a request has not run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
SAFE, UNSAFE, STREAM = "safe", "unsafe", "stream"
# Requests to the service that a hot customer overloads.
SHARED = "shared"


@attrs.define
class RequestOutcome:
    """The outcome of a request, as its caller saw it.

    Attributes:
        request: The request's id.
        kind: Kind of request: safe, unsafe, stream or shared.
        front: Name of the front that it was sent to.
        began: Loop time in seconds at which it was sent.
        ended: Loop time in seconds at which its outcome was known; 0 before.
        status: Status of the answer; 0 when there was none.
        complete: Whether the whole answer arrived.
        is_correct: False if a successful answer was not for this request.
        cut: Whether the connection ended before the answer did.
        retry_after: Seconds in the answer's Retry-After; 0 without one.
        key: The key that the caller sent.
    """

    request: str
    kind: str
    front: str
    began: float
    ended: float = 0.0
    status: int = 0
    complete: bool = False
    is_correct: bool = True
    cut: bool = False
    retry_after: float = 0.0
    key: str = ""


class Caller:
    """Sends requests one after the other over a connection that it keeps open.

    Args:
        name: Prefix of the request ids.
        front: Name and address of the front to call.
        rng: Random generator for the choice of requests and pauses.
        outcomes: List to which the outcome of each request is added.
        choose_key: Returns the key for the next request.
    """

    def __init__(
        self,
        name: str,
        front: tuple[str, str],
        rng: random.Random,
        outcomes: list[RequestOutcome],
        choose_key: Callable[[], str],
    ) -> None:
        self._choose_key = choose_key
        self._name = name
        self._front, self._address = front
        self._rng = rng
        self._outcomes = outcomes
        self._client: Client | None = None
        self._source = "127.0.0.1"
        self._count = 0

    async def run(self) -> None:
        """Sends requests until cancelled."""
        while True:
            await self.ask(self._rng.choice((SAFE, UNSAFE, UNSAFE, STREAM)))
            await asyncio.sleep(self._rng.uniform(0.0, 0.04))

    async def ask(self, kind: str) -> RequestOutcome:
        """Sends one request, and records and returns its outcome."""
        self._count += 1
        loop = asyncio.get_running_loop()
        request = f"{self._name}-{self._count}"
        outcome = RequestOutcome(
            request, kind, self._front, loop.time(), key=self._choose_key()
        )
        self._outcomes.append(outcome)
        try:
            async with asyncio.timeout(_ANSWER_TIMEOUT_SECONDS):
                await self._exchange(outcome)
        except TimeoutError:
            self.close()
        except (OSError, asyncio.IncompleteReadError, ValueError, IndexError):
            outcome.cut = self._client is not None
            self.close()
        outcome.ended = loop.time()
        return outcome

    async def _exchange(self, outcome: RequestOutcome) -> None:
        """Sends a request and fills in its outcome from the answer.

        The request claims to be from the customer mallory, so that a front that
        trusts this header instead of the key is found.
        """
        if self._client is None:
            host, _, port = self._address.rpartition(":")
            self._client = Client(
                *await asyncio.open_connection(
                    host, port, local_addr=(self._source, 0)
                )
            )
        headers = {
            "host": ROUTE_HOST,
            "request_deadline": "3000",
            "credential": outcome.key,
            "tenant": "mallory",
        }
        if outcome.kind == STREAM:
            adapter = self._choose_adapter()
            headers["model"] = f"{MODEL}/a{adapter}"
            headers["token_counts"] = "10,20"
        answer = await self._client.ask(
            f"/{outcome.kind}/x",
            self._make_body(),
            request_id=outcome.request,
            **headers,
        )
        outcome.status = answer.status
        outcome.retry_after = float(answer.headers.get("retry-after", 0.0))
        outcome.complete = answer.complete
        outcome.cut = not answer.complete
        if answer.status == 200:
            outcome.is_correct = self._is_correct_answer(
                outcome, answer.headers, answer.body
            )
        if outcome.cut or answer.headers.get("connection") == "close":
            self.close()

    def _choose_adapter(self) -> int:
        return int(self._rng.paretovariate(0.9)) % _ADAPTERS

    def _make_body(self) -> bytes:
        return b""

    def _is_correct_answer(
        self, outcome: RequestOutcome, headers: dict[str, str], body: bytes
    ) -> bool:
        if outcome.kind == STREAM:
            has_event = [
                b"id: %d\ndata: x\n\n" % number in body for number in (1, 2, 3)
            ]
            return all(has_event) or not outcome.complete
        return body.decode() == outcome.request and "server-stamp" in headers

    def close(self) -> None:
        """Closes the connection if it has one."""
        if self._client is not None:
            self._client.close()
            self._client = None


class RepeatingCaller:
    """Sends the same request repeatedly, each time to a random front.

    Each front sees the request from a different source address, as when a
    customer calls from several data centres.

    Args:
        name: Prefix of the request ids.
        fronts: Names and addresses of the fronts.
        kind: Kind of the request.
        body: Body of the request; its prefix makes the request harmful.
        rng: Random generator for the choice of fronts and pauses.
        outcomes: List to which the outcome of each request is added.
        choose_key: Returns the key for the next request.
    """

    def __init__(
        self,
        name: str,
        fronts: list[tuple[str, str]],
        kind: str,
        body: bytes,
        rng: random.Random,
        outcomes: list[RequestOutcome],
        choose_key: Callable[[], str],
    ) -> None:
        self._kind = kind
        self._rng = rng
        adapter = rng.randrange(_ADAPTERS)
        self._callers = [
            _FixedRequestCaller(
                f"{name}-{number}",
                front,
                rng,
                outcomes,
                _FixedRequest(body, adapter, f"127.0.0.{number + 2}"),
                choose_key,
            )
            for number, front in enumerate(fronts)
        ]

    async def run(self, least: float = 0.05, most: float = 0.6) -> None:
        """Sends the request until cancelled.

        Args:
            least: Shortest pause between two requests, in seconds.
            most: Longest pause between two requests, in seconds.
        """
        while True:
            await self._rng.choice(self._callers).ask(self._kind)
            await asyncio.sleep(self._rng.uniform(least, most))


@attrs.frozen
class _FixedRequest:
    """The parts of a repeated request that stay the same.

    Attributes:
        body: Body of the request.
        adapter: Number of the adapter that a stream asks for.
        source: Source address of the connection.
    """

    body: bytes
    adapter: int
    source: str


class _FixedRequestCaller(Caller):
    """A caller whose requests all have the same body and adapter."""

    def __init__(
        self,
        name: str,
        front: tuple[str, str],
        rng: random.Random,
        outcomes: list[RequestOutcome],
        fixed_request: _FixedRequest,
        choose_key: Callable[[], str],
    ) -> None:
        super().__init__(name, front, rng, outcomes, choose_key)
        self._fixed_request = fixed_request
        self._source = fixed_request.source

    def _make_body(self) -> bytes:
        return self._fixed_request.body

    def _choose_adapter(self) -> int:
        return self._fixed_request.adapter
