"""Callers that keep their channels, and what they were told."""

import asyncio
import random
from collections.abc import Callable

import attrs

from testing.app.front_world import Client
from testing.platform_world import ROUTE_HOST
from testing.soak.upstreams import MODEL

_ADAPTERS = 12
_ANSWER_SECONDS = 4.0
# Statuses that promise that a request has not run and never will.
PROMISES = frozenset((408, 421, 429, 503))
SAFE, UNSAFE, STREAM = "safe", "unsafe", "stream"


@attrs.define
class Told:
    """What became of a request, as its caller saw it.

    Attributes:
        status: of the answer; 0 when there was none.
        complete: whether the answer came whole.
        right: whether a success was the answer to this request.
        cut: whether the channel ended before the answer did.
        after: seconds after which it may come back, if it was told.
        key: of its caller.
    """

    request: str
    kind: str
    front: str
    began: float
    ended: float = 0.0
    status: int = 0
    complete: bool = False
    right: bool = True
    cut: bool = False
    after: float = 0.0
    key: str = ""


class Caller:
    """Sends requests one after the other, on a channel that it keeps.

    Args:
        name: begins its requests' ids.
        front: name and address of the front that it calls.
        rng: the source of chance.
        told: where it notes what it is told.
        key: returns the key that it uses now.
    """

    def __init__(
        self,
        name: str,
        front: tuple[str, str],
        rng: random.Random,
        told: list[Told],
        key: Callable[[], str],
    ) -> None:
        self._key = key
        self._name = name
        self._front, self._address = front
        self._rng = rng
        self._told = told
        self._client: Client | None = None
        self._source = "127.0.0.1"
        self._count = 0

    async def run(self) -> None:
        """Sends requests until cancelled."""
        while True:
            await self.ask(self._rng.choice((SAFE, UNSAFE, UNSAFE, STREAM)))
            await asyncio.sleep(self._rng.uniform(0.0, 0.04))

    async def ask(self, kind: str) -> Told:
        """Sends one request and notes what becomes of it."""
        self._count += 1
        loop = asyncio.get_running_loop()
        request = f"{self._name}-{self._count}"
        told = Told(request, kind, self._front, loop.time(), key=self._key())
        self._told.append(told)
        try:
            async with asyncio.timeout(_ANSWER_SECONDS):
                await self._exchange(told)
        except TimeoutError:
            self._drop()
        except (OSError, asyncio.IncompleteReadError, ValueError, IndexError):
            told.cut = self._client is not None
            self._drop()
        told.ended = loop.time()
        return told

    async def _exchange(self, told: Told) -> None:
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
            "credential": told.key,
            "tenant": "mallory",
        }
        if told.kind == STREAM:
            number = self._adapter()
            headers["model"] = f"{MODEL}/a{number}"
            headers["token_counts"] = "10,20"
        answer = await self._client.ask(
            f"/{told.kind}/x",
            self._body(),
            request_id=told.request,
            **headers,
        )
        told.status = answer.status
        told.after = float(answer.headers.get("retry-after", 0.0))
        told.complete = answer.complete
        told.cut = not answer.complete
        if answer.status == 200:
            told.right = self._is_right(told, answer.headers, answer.body)
        if told.cut or answer.headers.get("connection") == "close":
            self._drop()

    def _adapter(self) -> int:
        return int(self._rng.paretovariate(0.9)) % _ADAPTERS

    def _body(self) -> bytes:
        return b""

    def _is_right(
        self, told: Told, headers: dict[str, str], body: bytes
    ) -> bool:
        if told.kind == STREAM:
            whole = [b"id: %d" % number in body for number in (1, 2, 3)]
            return all(whole) or not told.complete
        return body.decode() == told.request and "server-stamp" in headers

    def _drop(self) -> None:
        if self._client is not None:
            self._client.close()
            self._client = None


class RepeatingCaller:
    """Sends the same request again and again, at any front.

    Each front sees it come from another address, as where a caller's machines
    stand in several data centres.

    Args:
        name: begins its requests' ids.
        fronts: names and addresses of the fronts.
        kind: of its request.
        body: of its request; by its beginning it may be a harmful one.
        rng: the source of chance.
        told: where it notes what it is told.
        key: returns the key that it uses now.
    """

    def __init__(
        self,
        name: str,
        fronts: list[tuple[str, str]],
        kind: str,
        body: bytes,
        rng: random.Random,
        told: list[Told],
        key: Callable[[], str],
    ) -> None:
        self._kind = kind
        self._rng = rng
        adapter = rng.randrange(_ADAPTERS)
        self._callers = [
            _SameRequest(
                f"{name}-{number}",
                front,
                rng,
                told,
                _Repeated(body, adapter, f"127.0.0.{number + 2}"),
                key,
            )
            for number, front in enumerate(fronts)
        ]

    async def run(self, least: float = 0.05, most: float = 0.6) -> None:
        """Sends it until cancelled, with pauses of some seconds."""
        while True:
            await self._rng.choice(self._callers).ask(self._kind)
            await asyncio.sleep(self._rng.uniform(least, most))


@attrs.frozen
class _Repeated:
    body: bytes
    adapter: int
    source: str


class _SameRequest(Caller):
    def __init__(
        self,
        name: str,
        front: tuple[str, str],
        rng: random.Random,
        told: list[Told],
        repeated: _Repeated,
        key: Callable[[], str],
    ) -> None:
        super().__init__(name, front, rng, told, key)
        self._repeated = repeated
        self._source = repeated.source

    def _body(self) -> bytes:
        return self._repeated.body

    def _adapter(self) -> int:
        return self._repeated.adapter
