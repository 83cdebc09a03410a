"""Emulated callers: they send, wait, leave, and come back once refused."""

import asyncio
import random
from collections.abc import Callable

from ridgesill.app.forwarding import Forwarding
from ridgesill.app.front import Front
from ridgesill.ports.http import Headers
from ridgesill.standin.emulator.demand import Arrival
from ridgesill.standin.emulator.messages import make_request, read_after
from ridgesill.standin.emulator.worth import Outcome

_OK = 200
# A caller gives a stream up after a gap of two seconds, four times the goal or
# eight times the pause, whichever is longest (the platform's protocol).
_GAP_LEAST = 2.0
_GAP_GOALS = 4.0
_GAP_PAUSES = 8.0
# A caller waits as told, up to this share of the time that it has left.
_WAIT_SHARE = 1 / 3


class CallerResponder:
    """Takes the answer to one try, as `ports.http.Responder`.

    Args:
        on_event: called with each part of a stream's body.
    """

    def __init__(self, on_event: Callable[[bytes], None]) -> None:
        self.started = False
        self.status = 0
        self.headers: Headers = ()
        self.finished = False
        self.aborted = False
        self._on_event = on_event

    def send_head(
        self, status: int, headers: Headers, reason: bytes = b""
    ) -> None:
        """Takes the head."""
        self.started = True
        self.status = status
        self.headers = headers

    def send_data(self, data: bytes) -> None:
        """Takes events."""
        if self.status == _OK:
            self._on_event(data)

    async def drain(self) -> None:
        """Waits for nothing: callers read at once."""

    def finish(self) -> None:
        """Takes the end."""
        self.finished = True

    def abort(self) -> None:
        """Takes a broken channel."""
        self.aborted = True


class Caller:
    """One request with its tries.

    Args:
        arrival: the request.
        fronts: those that it may meet.
        rng: the source of chance.
        delay: to a front, one way, in seconds.
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
        self._began = 0.0
        self._last = 0.0

    async def run(self) -> Outcome:
        """Sends the request, and once more when told to come back."""
        self._began = self._last = self._loop.time()
        kind = self.outcome.arrival.kind
        for attempt in range(kind.retries + 1):
            responder = await self._try()
            if responder.status == _OK or not responder.finished:
                break
            self.outcome.refused += 1
            if attempt == kind.retries:
                break
            wait = read_after(responder.headers)
            left = self._began + kind.patience - self._loop.time()
            await asyncio.sleep(min(wait or 0.1, left * _WAIT_SHARE))
        return self.outcome

    async def _try(self) -> CallerResponder:
        await asyncio.sleep(self._delay)
        now = self._loop.time()
        front = self._rng.choice(self._fronts)
        responder = CallerResponder(self._note_event)
        arrival = self.outcome.arrival
        request = make_request(arrival.name, f"/{arrival.kind.name}/x", now)
        forwarding = Forwarding(front, request, responder)
        front.in_progress += 1
        task = asyncio.create_task(forwarding.run())
        try:
            await self._await_answer(task)
        finally:
            front.in_progress -= 1
        self.outcome.held += self._loop.time() - now
        self.outcome.offered |= forwarding.was_sent
        complete = responder.finished and responder.status == _OK
        self.outcome.complete = complete
        return responder

    async def _await_answer(self, task: asyncio.Task[None]) -> None:
        """Waits for the end, and leaves when it takes too long."""
        kind = self.outcome.arrival.kind
        gap = max(
            _GAP_LEAST, _GAP_GOALS * kind.goal, _GAP_PAUSES * kind.pause_goal
        )
        self._last = self._loop.time()
        while not task.done():
            leave_at = min(self._last + gap, self._began + kind.patience)
            left = leave_at - self._loop.time()
            if left <= 0:
                task.cancel()
            await asyncio.wait([task], timeout=max(left, 0.001))
        if not task.cancelled() and task.exception() is not None:
            raise task.exception()  # type: ignore[misc]

    def _note_event(self, data: bytes) -> None:
        """Notes an event; it still takes the way to the caller."""
        now = self._loop.time()
        outcome = self.outcome
        if outcome.first is None:
            outcome.first = now + self._delay - self._began
        else:
            outcome.pause = max(outcome.pause, now - self._last)
        self._last = now
