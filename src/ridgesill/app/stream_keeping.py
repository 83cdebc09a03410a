"""Keeps where streams began, so that any front can take them up.

A front tells a few others, the keepers of a stream, at which software version
it is about to begin; the stream's id names the keepers. While a service has had
one version for long, nothing needs to be told. One keeper is a control node, so
that what is known outlives the loss of all fronts.
"""

import asyncio
import functools
import random
from collections.abc import Callable, Iterable, Mapping

import attrs
from eliot import log_message

from ridgesill.core.codec import register
from ridgesill.core.commands import Node
from ridgesill.core.fleet.messages import Upstream
from ridgesill.core.fleet.registry import FleetView
from ridgesill.core.rendezvous import rank
from ridgesill.core.serving.rates import LocalBucket
from ridgesill.core.serving.routes import RouteTable
from ridgesill.core.serving.stream_origins import (
    SoftwareHistory,
    StreamOrigin,
    StreamOrigins,
    is_possibly_restarted,
    kept_seconds,
    make_stream_key,
)
from ridgesill.ports.datagrams import Datagrams

# Fronts that are told where a stream begins. Each is in another data centre
# where there are enough.
KEEPERS = 3
# Keepers that are asked in one round, the rounds, and how long one may last, in
# seconds. The second round reaches those that were keepers before fronts were
# added or lost; datagrams to either may get lost.
_ROUNDS = (KEEPERS, 2 * KEEPERS, 2 * KEEPERS)
_ROUND_SECONDS = 0.08
# How long further answers are awaited after one that knows the stream, in
# seconds.
_FURTHER_ANSWERS_SECONDS = 0.01
# How long a take-up waits for news that were asked for after it, if no other
# front answers, and how often it looks, in seconds.
_CONFIRM_SECONDS = 1.5
_CONFIRM_POLL_SECONDS = 0.05
# Versions that an answer names: two already show that none is the only one.
_MAX_NAMED_VERSIONS = 2
# Control nodes that are told where a stream begins, and that are asked.
_CONTROL_KEEPERS = 1
_ASKED_CONTROL_KEEPERS = 2
# Records that all fronts together tell one control node, per second, and what
# may be saved up, in seconds: 60 records take 10 KB.
_CONTROL_RECORDS_PER_SECOND = 60.0
_CONTROL_BURST_SECONDS = 5.0
# Takes that wait for keepers at once, at most. Ids may be made up.
_MAX_QUESTIONS = 200
# How often it is decided whether streams must be told to others, in seconds.
_INTERVAL_SECONDS = 0.1
# How often keepers are chosen anew after fronts came or went, and how often
# streams that can't be taken up any more are forgotten, in seconds.
_UPKEEP_SECONDS = 1.0

# Sources of what is known of a stream.
OWN = "own"
KEEPER = "keeper"
SOLE_VERSION = "sole_version"


@register
@attrs.frozen
class FindOrigin:
    """Asks a keeper where a stream began.

    Attributes:
        number: of the question, at the asking front.
        key: see `make_stream_key`.
        service: service that the stream is taken up at.
    """

    number: int
    key: bytes
    service: str


@register
@attrs.frozen
class OriginAnswer:
    """Answers a `FindOrigin`.

    Attributes:
        number: of the question.
        origin: where the stream began; None if the keeper doesn't know.
        sole: the only version of the service that was known lately; None if
            there were several, or if there may have been.
        versions: versions of the service that the keeper has known lately; the
            first two if there are more.
    """

    number: int
    origin: StreamOrigin | None = None
    sole: str | None = None
    versions: tuple[str, ...] = ()


@attrs.frozen
class FoundVersion:
    """At which version a stream began.

    Attributes:
        service: the service that it began at.
        software: the version.
        source: who knew it: `OWN`, `KEEPER` or `SOLE_VERSION`.
    """

    service: str
    software: str
    source: str


@attrs.define
class _OwnStream:
    """A stream that began at this front.

    Attributes:
        began_at: when its request was sent, on the loop's clock.
        is_certain: whether no later start of the upstream can be serving it.
        is_whole: whether all of it has been sent to its client.
        told: the keepers that were told where it began, by node identity.
    """

    began_at: float
    is_certain: bool
    is_whole: bool = False
    told: set[str] = attrs.Factory(set)


@attrs.define
class _Question:
    """A question that keepers have yet to answer."""

    message: FindOrigin
    answered: asyncio.Event
    asked: dict[str, Node] = attrs.Factory(dict)
    answers: dict[str, OriginAnswer] = attrs.Factory(dict)

    def find_origin(self) -> StreamOrigin | None:
        """Returns what all answers say together."""
        origins = [a.origin for a in self.answers.values() if a.origin]
        return (
            functools.reduce(StreamOrigin.merge, origins) if origins else None
        )

    def find_sole(self, own: OriginAnswer) -> str | None:
        """Returns the only version of the service, if anybody knows it.

        A version that any other front has known speaks against it: the one that
        knows only one may be out of step.

        Args:
            own: what this front would answer.
        """
        answers = [own, *self.answers.values()]
        soles = {a.sole for a in answers if a.sole is not None}
        versions = soles.union(*(answer.versions for answer in answers))
        return versions.pop() if soles and len(versions) == 1 else None


def choose_keepers(
    key: bytes, fronts: Mapping[str, Node], count: int
) -> list[Node]:
    """Returns the fronts that keep a stream, of as many data centres as can be.

    Args:
        key: key of the stream.
        fronts: all fronts, by name.
        count: number of keepers, at most.
    """
    ranked = [fronts[name] for name in rank(key.hex(), fronts)]
    chosen: list[Node] = []
    data_centres: set[str] = set()
    for node in ranked:
        if len(chosen) == count:
            return chosen
        if node.data_centre not in data_centres:
            data_centres.add(node.data_centre)
            chosen.append(node)
    names = {node.name for node in chosen}
    rest = [node for node in ranked if node.name not in names]
    return [*chosen, *rest][:count]


class StreamKeeping:
    """Records where streams begin, and finds where earlier ones began.

    Args:
        name: name of this node, a front or a control node.
        view: this node's view of the upstreams.
        datagrams: the way to other fronts; None where there are none.
        is_news_fresh: returns whether the owner's last news are so recent that
            this front must have heard of any new version.
        since: from when on this front knows all versions, on the loop's clock;
            minus infinity for the first start of a deployment.
    """

    def __init__(
        self,
        name: str,
        view: FleetView,
        datagrams: Datagrams | None = None,
        is_news_fresh: Callable[[], bool] = lambda: True,
        since: float = float("-inf"),
    ) -> None:
        self._name = name
        self._view = view
        self._datagrams = datagrams
        self._is_news_fresh = is_news_fresh
        self._history = SoftwareHistory(since)
        self._origins = StreamOrigins()
        # Streams that began here, by key. A stream that was sent whole is kept
        # as well: its client may not have got all of it.
        self._own: dict[bytes, _OwnStream] = {}
        self._must_tell_again = False
        self._upkeep_at = 0.0
        self._fronts: dict[str, Node] = {}
        self._controls: dict[str, Node] = {}
        # Records that may be sent to control nodes.
        self._control_allowance = LocalBucket(0.0, 0.0)
        self._questions: dict[int, _Question] = {}
        self._question_number = random.getrandbits(32)
        # Longest time for which streams of each service are taken up, seconds.
        self._take_up_seconds: dict[str, float] = {}
        self._told_services: set[str] = set()
        self._seen_records = -1
        self._starts: dict[str, Upstream] = {}
        self._loop = asyncio.get_running_loop()
        if datagrams is not None:
            datagrams.receiver = self._receive

    # -- what is known of the deployment -------------------------------

    def set_nodes(self, nodes: Iterable[Node]) -> None:
        """Sets the nodes of the deployment."""
        known = {node.name: node for node in nodes}
        fronts = {name: n for name, n in known.items() if not n.voter}
        controls = {name: n for name, n in known.items() if n.voter}
        if (fronts, controls) != (self._fronts, self._controls):
            self._fronts = fronts
            self._controls = controls
            self._must_tell_again = True

    def set_table(self, table: RouteTable) -> None:
        """Sets the routes, which say how long streams may last."""
        for service, seconds in table.longest_stream_timeouts().items():
            known = self._take_up_seconds.get(service, 0.0)
            self._take_up_seconds[service] = max(known, kept_seconds(seconds))

    async def run(self) -> None:
        """Tells others of streams once that is necessary, until cancelled."""
        while True:
            await asyncio.sleep(_INTERVAL_SECONDS)
            self.update()

    def handle_news(self) -> None:
        """Adopts news of the upstreams at once if their records changed."""
        if self._view.records != self._seen_records:
            self.update()

    def update(self) -> None:
        """Decides of which services streams are told to others."""
        now = self._loop.time()
        self._update_history(now)
        told = {
            service
            for service in self._take_up_seconds
            if self._find_sole(service, now) is None
        }
        added, self._told_services = told - self._told_services, told
        for service in added:
            log_message("streams:told", service=service)
        self._tell_own(added)
        if now >= self._upkeep_at:
            self._upkeep_at = now + _UPKEEP_SECONDS
            self._do_upkeep(now)

    def _do_upkeep(self, now: float) -> None:
        """Tells new keepers of streams, and forgets old streams."""
        self._origins.discard_expired(now)
        kept = {origin.key for origin in self._list_own(now)}
        self._own = {key: own for key, own in self._own.items() if key in kept}
        if self._must_tell_again:
            self._must_tell_again = False
            self._tell_own(self._told_services)

    def _update_history(self, now: float) -> None:
        """Adopts changes of the upstreams' records."""
        if self._view.records == self._seen_records:
            return
        self._seen_records = self._view.records
        upstreams = self._view.upstreams.values()
        self._history.update(upstreams, now)
        starts = {u.instance or u.name: u for u in upstreams}
        changed = [
            upstream
            for instance, upstream in starts.items()
            if instance in self._starts
            and self._starts[instance].software != upstream.software
        ]
        self._starts = starts
        if changed:
            self._doubt_streams(changed, now)

    def _doubt_streams(self, changed: list[Upstream], now: float) -> None:
        """Marks streams that may have begun at a later start of an upstream."""
        for origin in self._list_own(now):
            own = self._own[origin.key]
            if own.is_certain:
                continue
            if is_possibly_restarted(origin, now - own.began_at, changed):
                doubted = attrs.evolve(
                    origin, is_ambiguous=True, attempt=origin.attempt + 1
                )
                self._origins.record(doubted, now)
                own.told.clear()
                self._tell(doubted)

    def _find_sole(self, service: str, now: float) -> str | None:
        """Returns a service's only version lately; None if in doubt."""
        if not self._is_news_fresh():
            return None
        seconds = self._find_take_up_seconds(service)
        return self._history.find_sole(service, now, seconds)

    def _find_take_up_seconds(self, service: str) -> float:
        return self._take_up_seconds.get(service, kept_seconds(0.0))

    # -- streams that begin here ---------------------------------------

    def record(
        self,
        customer: str,
        request: str,
        upstream: Upstream,
        attempt: int,
        timeout: float,
        *,
        is_certain: bool = False,
    ) -> bytes:
        """Records that a stream is about to begin at an upstream.

        Args:
            customer: the customer that sent the request.
            request: id of the request.
            upstream: where it is being sent.
            attempt: number of this attempt.
            timeout: seconds that the stream may take.
            is_certain: whether no later start of the upstream can be serving.

        Returns:
            The key of the stream.
        """
        now = self._loop.time()
        origin = StreamOrigin(
            make_stream_key(customer, request),
            upstream.service,
            upstream.software,
            upstream.instance or upstream.name,
            self._name,
            attempt,
            kept_seconds(timeout),
        )
        origin = self._origins.record(origin, now)
        self._own[origin.key] = _OwnStream(now, is_certain)
        if upstream.service in self._told_services:
            self._tell(origin)
        return origin.key

    def record_whole(self, key: bytes) -> None:
        """Records that all of a stream has been sent to its client."""
        own = self._own.get(key)
        if own is not None:
            own.is_whole = True

    def is_told(self, service: str) -> bool:
        """Whether a service may have had several versions lately."""
        return service in self._told_services

    def is_ambiguous(self, key: bytes) -> bool:
        """Whether it is unknown at which version a stream of here began."""
        now = self._loop.time()
        self._update_history(now)
        origin = self._origins.find(key, now)
        return origin is not None and origin.is_ambiguous

    def _list_own(self, now: float) -> list[StreamOrigin]:
        found = (self._origins.find(key, now) for key in list(self._own))
        return [origin for origin in found if origin is not None]

    def _tell_own(self, services: Iterable[str]) -> None:
        """Tells the keepers of this front's own streams of some services.

        Those that were sent whole are left out: there are many more of them,
        and hardly any is taken up.
        """
        wanted = set(services)
        if not wanted:
            return
        for origin in self._list_own(self._loop.time()):
            if origin.service in wanted and not self._own[origin.key].is_whole:
                self._tell(origin)

    def _tell(self, origin: StreamOrigin) -> None:
        """Tells the keepers of an own stream that haven't been told yet."""
        if self._datagrams is None:
            return
        told = self._own[origin.key].told
        fronts = choose_keepers(origin.key, self._fronts, KEEPERS)
        controls = choose_keepers(origin.key, self._controls, _CONTROL_KEEPERS)
        for node in (*fronts, *controls):
            if node.name == self._name or node.identity in told:
                continue
            if node.voter and not self._take_allowance():
                continue
            told.add(node.identity)
            self._datagrams.send(node.address, origin)

    def _take_allowance(self) -> bool:
        """Returns whether a control node may be told of one more stream."""
        controls_per_front = len(self._controls) / max(len(self._fronts), 1)
        rate = _CONTROL_RECORDS_PER_SECOND * controls_per_front
        # The bucket may be overdrawn by one record.
        capacity = _CONTROL_BURST_SECONDS * rate - 1.0
        now = self._loop.time()
        return self._control_allowance.acquire(1, rate, capacity, now)

    # -- streams that are taken up -------------------------------------

    async def find(
        self, customer: str, request: str, service: str
    ) -> FoundVersion | None:
        """Returns at which version a stream began; None if nobody knows.

        Args:
            customer: the customer that takes it up.
            request: id of the request that brought its first event; empty if
                the client doesn't say.
            service: service at which it is taken up.
        """
        began_at = self._loop.time()
        self._update_history(began_at)
        key = make_stream_key(customer, request)
        own = self._origins.find(key, began_at)
        if own is not None:
            return _make_found(own, OWN)
        sole = self._find_sole(service, began_at)
        if not request or len(self._questions) >= _MAX_QUESTIONS:
            return await self._confirm_sole(service, sole, began_at)
        # In the usual case nobody has to know the stream, and one round shows
        # that no front knows another version.
        rounds = _ROUNDS if sole is None else _ROUNDS[:1]
        question = await self._ask_keepers(key, service, rounds)
        if not question.answers:
            return await self._confirm_sole(service, sole, began_at)
        origin = question.find_origin()
        if origin is None:
            return self._find_agreed(question)
        self._origins.record(origin, self._loop.time())
        return _make_found(origin, KEEPER)

    def _find_agreed(self, question: _Question) -> FoundVersion | None:
        """Returns the only version that any front has known lately."""
        own = self._make_answer(question.message, None)
        sole = question.find_sole(own)
        if sole is None:
            return None
        source = KEEPER if own.sole is None else SOLE_VERSION
        return FoundVersion(question.message.service, sole, source)

    def _make_answer(
        self, message: FindOrigin, origin: StreamOrigin | None
    ) -> OriginAnswer:
        """Returns what this front knows of a stream and its service."""
        now = self._loop.time()
        self._update_history(now)
        service = message.service
        sole = None if origin else self._find_sole(service, now)
        seconds = self._find_take_up_seconds(service)
        lately = self._history.list_lately(service, now, seconds)
        named = tuple(sorted(lately)[:_MAX_NAMED_VERSIONS])
        return OriginAnswer(message.number, origin, sole, named)

    async def _confirm_sole(
        self, service: str, sole: str | None, began_at: float
    ) -> FoundVersion | None:
        """Returns a service's only version once later news confirm it.

        No other front has told whether the stream began at a version that this
        front hasn't heard of yet. News that were asked for after the take-up
        name each version at which it can have begun.
        """
        if sole is None:
            return None
        deadline = began_at + _CONFIRM_SECONDS
        while self._has_others() and self._view.asked_at < began_at:
            if self._loop.time() >= deadline:
                return None
            await asyncio.sleep(_CONFIRM_POLL_SECONDS)
        now = self._loop.time()
        self._update_history(now)
        if self._find_sole(service, now) != sole:
            return None
        return FoundVersion(service, sole, SOLE_VERSION)

    def _has_others(self) -> bool:
        return any(name != self._name for name in self._fronts)

    async def _ask_keepers(
        self, key: bytes, service: str, rounds: Iterable[int]
    ) -> _Question:
        """Asks keepers until one knows the stream; returns all answers."""
        self._question_number += 1
        message = FindOrigin(self._question_number, key, service)
        question = _Question(message, asyncio.Event())
        self._questions[message.number] = question
        try:
            for count in rounds:
                self._ask(question, count)
                await self._await_answers(question)
                if question.find_origin() is not None:
                    break
                if question.answers and self._find_agreed(question):
                    break
        finally:
            del self._questions[message.number]
        return question

    def _ask(self, question: _Question, count: int) -> None:
        """Asks the keepers that haven't answered yet."""
        if self._datagrams is None:
            return
        message = question.message
        fronts = choose_keepers(message.key, self._fronts, count)
        controls = choose_keepers(
            message.key, self._controls, _ASKED_CONTROL_KEEPERS
        )
        for node in (*fronts, *controls):
            if node.name == self._name or node.address in question.answers:
                continue
            question.asked[node.address] = node
            self._datagrams.send(node.address, message)

    async def _await_answers(self, question: _Question) -> None:
        """Waits until all have answered, one knows it, or the round is over."""
        deadline = self._loop.time() + _ROUND_SECONDS
        while len(question.answers) < len(question.asked):
            question.answered.clear()
            left = deadline - self._loop.time()
            try:
                await asyncio.wait_for(question.answered.wait(), max(left, 0.0))
            except TimeoutError:
                return
            if question.find_origin() is not None:
                # An older record may be the first to arrive.
                further = self._loop.time() + _FURTHER_ANSWERS_SECONDS
                deadline = min(deadline, further)

    # -- messages ------------------------------------------------------

    def _receive(self, sender: str, message: object) -> None:
        _handle(message, self, sender)

    def record_told(self, origin: StreamOrigin) -> None:
        """Records a stream that another front is about to begin."""
        self._origins.record(origin, self._loop.time())

    def answer(self, sender: str, message: FindOrigin) -> None:
        """Answers another front's question."""
        if self._datagrams is None:
            return
        origin = self._origins.find(message.key, self._loop.time())
        self._datagrams.send(sender, self._make_answer(message, origin))

    def handle_answer(self, sender: str, message: OriginAnswer) -> None:
        """Records an answer to a question of this front."""
        question = self._questions.get(message.number)
        if question is not None and sender in question.asked:
            question.answers[sender] = message
            question.answered.set()


def _make_found(origin: StreamOrigin, source: str) -> FoundVersion | None:
    if origin.is_ambiguous:
        return None
    return FoundVersion(origin.service, origin.software, source)


@functools.singledispatch
def _handle(message: object, keeping: StreamKeeping, sender: str) -> None:
    """Handles a message of another front."""
    kind = type(message).__name__
    log_message("streams:unknown_message", peer=sender, kind=kind)


@_handle.register
def _(message: StreamOrigin, keeping: StreamKeeping, sender: str) -> None:
    del sender
    keeping.record_told(message)


@_handle.register
def _(message: FindOrigin, keeping: StreamKeeping, sender: str) -> None:
    keeping.answer(sender, message)


@_handle.register
def _(message: OriginAnswer, keeping: StreamKeeping, sender: str) -> None:
    keeping.handle_answer(sender, message)
