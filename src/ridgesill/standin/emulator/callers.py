"""Emulated callers, with their timeouts and their retries after refusals."""

import asyncio
import random
from collections.abc import Callable

from ridgesill.app.forwarding import Forwarding
from ridgesill.app.front import Front
from ridgesill.ports.http import Headers
from ridgesill.standin.emulator.demand import Arrival
from ridgesill.standin.emulator.messages import make_request, read_retry_after
from ridgesill.standin.emulator.worth import Outcome

_STATUS_OK = 200
# A caller abandons a stream when no event arrives for 2 s, 4 times the
# first-event goal or 8 times the pause goal, whichever is longest.
_MIN_GAP_SECONDS = 2.0
_GAP_PER_GOAL = 4.0
_GAP_PER_PAUSE_GOAL = 8.0
# A refused caller honours Retry-After up to this share of the time left until
# its deadline.
_MAX_WAIT_SHARE = 1 / 3


class CallerResponder:
    """Receives the answer to one attempt; implements `ports.http.Responder`.

    Args:
        on_event: called with each chunk of the body of a 200 answer.

    Attributes:
        started: whether the response head has arrived.
        finished: whether the answer ended regularly.
        aborted: whether the front closed the connection early.
    """

    def __init__(self, on_event: Callable[[bytes], None]) -> None:
        self.started = False
        self.status = 0
        self.headers: Headers = ()
        self.finished = False
        self.aborted = False
        self._on_event = on_event

    def send_head(
        self,
        status: int,
        headers: Headers,
        reason: bytes = b"",
        *,
        is_framed: bool = True,
    ) -> None:
        """Records the status and headers."""
        self.started = True
        self.status = status
        self.headers = headers

    def send_data(self, data: bytes) -> None:
        """Passes body data to the caller if the status is 200."""
        if self.status == _STATUS_OK:
            self._on_event(data)

    def set_customer(self, customer: str) -> None:
        """Does nothing: nothing is counted by customer here."""

    async def drain(self) -> None:
        """Returns at once: emulated callers never apply back-pressure."""

    def finish(self) -> None:
        """Records the regular end of the answer."""
        self.finished = True

    def abort(self) -> None:
        """Records that the front closed the connection early."""
        self.aborted = True


class Caller:
    """Sends one request, with its retries, and measures the answer.

    Args:
        arrival: the request to send.
        fronts: fronts to choose from at random for each attempt.
        rng: chooses the fronts.
        delay: one-way network delay to a front, in seconds.
    """

    def __init__(
        self,
        arrival: Arrival,
        fronts: list[Front],
        rng: random.Random,
        delay: float,
    ) -> None:
        self.outcome = Outcome(arrival)
        self._fronts = fronts
        self._rng = rng
        self._delay = delay
        self._loop = asyncio.get_running_loop()
        self._began_at = 0.0
        self._last_event_at = 0.0

    async def run(self) -> Outcome:
        """Sends the request and retries after refusals.

        Sends at most `kind.retries` retries and stops after an answer with
        status 200 or an attempt that ended early.
        """
        self._began_at = self._last_event_at = self._loop.time()
        kind = self.outcome.arrival.kind
        for attempt in range(kind.retries + 1):
            responder = await self._send_once()
            if responder.status == _STATUS_OK or not responder.finished:
                break
            self.outcome.refusals += 1
            if attempt == kind.retries:
                break
            wait = read_retry_after(responder.headers)
            left = self._began_at + kind.patience - self._loop.time()
            await asyncio.sleep(min(wait or 0.1, left * _MAX_WAIT_SHARE))
        return self.outcome

    async def _send_once(self) -> CallerResponder:
        await asyncio.sleep(self._delay)
        now = self._loop.time()
        front = self._rng.choice(self._fronts)
        responder = CallerResponder(self._record_event)
        arrival = self.outcome.arrival
        request = make_request(arrival.name, f"/{arrival.kind.name}/x", now)
        forwarding = Forwarding(front, request, responder)
        front.in_progress += 1
        task = asyncio.create_task(forwarding.run())
        try:
            await self._await_answer(task)
        finally:
            front.in_progress -= 1
        self.outcome.held_seconds += self._loop.time() - now
        self.outcome.was_offered |= forwarding.was_sent
        complete = responder.finished and responder.status == _STATUS_OK
        self.outcome.complete = complete
        return responder

    async def _await_answer(self, task: asyncio.Task[None]) -> None:
        """Waits for the answer; cancels it on a long gap or at the deadline."""
        kind = self.outcome.arrival.kind
        gap = max(
            _MIN_GAP_SECONDS,
            _GAP_PER_GOAL * kind.goal,
            _GAP_PER_PAUSE_GOAL * kind.pause_goal,
        )
        self._last_event_at = self._loop.time()
        while not task.done():
            abandon_at = min(
                self._last_event_at + gap, self._began_at + kind.patience
            )
            left = abandon_at - self._loop.time()
            if left <= 0:
                task.cancel()
            await asyncio.wait([task], timeout=max(left, 0.001))
        if not task.cancelled() and task.exception() is not None:
            raise task.exception()  # type: ignore[misc]

    def _record_event(self, data: bytes) -> None:
        """Records when an event arrives at the caller.

        The front has just sent it, so the network delay is added to the time
        of the first event.
        """
        now = self._loop.time()
        outcome = self.outcome
        if outcome.first_event_seconds is None:
            outcome.first_event_seconds = now + self._delay - self._began_at
        else:
            outcome.longest_pause_seconds = max(
                outcome.longest_pause_seconds, now - self._last_event_at
            )
        self._last_event_at = now
