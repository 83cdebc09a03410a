"""Tests of one request's life, over fake ports."""

import asyncio
from collections.abc import Iterator
from typing import Any

import attrs
import pytest
from result import Err, Ok, Result

from ridgesill.app.exchange import Exchanges, Services
from ridgesill.core import calls
from ridgesill.core.calls import Admission, Call, Refusal, Target
from ridgesill.core.pool.messages import FAILED, FINE
from ridgesill.core.routing import RetryBudget
from ridgesill.ports.runner import (
    IncompleteAnswerError,
    RunnerFailure,
    RunnerRequest,
)
from ridgesill.ports.serving import CallerRequest, IncompleteStreamError, Reply

_NOT_SENT = RunnerFailure("connect", "r:1", "refused", not_run=True)
_UNSURE = RunnerFailure("request", "r:1", "reset", not_run=False)
_NO_RUNNER = Refusal("no-runner", "none", 2.0)


class FakeBridge:
    """Runs coroutines at once."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()

    def call(self, coroutine: Any) -> Any:
        """Returns a coroutine's result."""
        return self._loop.run_until_complete(coroutine)

    def post(self, function: Any, *args: Any) -> None:
        """Calls a function."""
        function(*args)


class FakeEntry:
    """Admits by a script; notes what was given back."""

    def __init__(
        self, script: list[Refusal | None], retries: RetryBudget
    ) -> None:
        self.retries = retries
        self.finished: list[str] = []
        self.asked: list[tuple[str, ...]] = []
        self._script = script

    def check(self, call: Call) -> Result[Target, Refusal]:
        """Finds every call right."""
        return Ok(Target("s", "a@1", "t", frozenset({"east"})))

    async def admit(
        self, call: Call, avoid: tuple[str, ...] = ()
    ) -> Result[Admission, Refusal]:
        """Returns what the script says."""
        self.asked.append(avoid)
        refusal = self._script.pop(0)
        if refusal is not None:
            return Err(refusal)
        number = len(self.asked)
        return Ok(
            Admission(
                call.request,
                "east/s",
                f"r{number}",
                "r:1",
                "i",
                "east",
                "a@1",
                "t",
                "s",
                0.0,
                0.0,
                1,
            )
        )

    def finish(self, admission: Admission, verdict: str = FINE) -> None:
        """Notes the verdict."""
        self.finished.append(verdict)


class FakeResponse:
    """An answer in chunks, the last of which may be a cut."""

    status = 200
    content_type = "text/event-stream"
    other_headers = ()

    def __init__(self, chunks: list[bytes | None]) -> None:
        self.ended = ""
        self._chunks = chunks

    def chunks(self) -> Iterator[bytes]:
        """Yields the chunks; None stands for a cut."""
        for chunk in self._chunks:
            if chunk is None:
                raise IncompleteAnswerError("cut")
            yield chunk

    def read(self) -> bytes:
        """Returns the whole body."""
        return b"".join(self.chunks())

    def release(self) -> None:
        """Notes a whole answer."""
        self.ended = "released"

    def cancel(self) -> None:
        """Notes a cancelled one."""
        self.ended = "cancelled"


class FakeRunners:
    """Answers by a script."""

    def __init__(self, script: list[FakeResponse | RunnerFailure]) -> None:
        self._script = script

    def open(
        self, address: str, request: RunnerRequest, *, repeatable: bool
    ) -> Any:
        """Returns what the script says."""
        answer = self._script.pop(0)
        return Err(answer) if isinstance(answer, RunnerFailure) else Ok(answer)


class FakeMetrics:
    """Takes all observations."""

    def __getattr__(self, name: str) -> Any:
        return lambda *_args, **_kwargs: None


@attrs.define
class Bench:
    """An exchange over fakes."""

    admissions: list[Refusal | None]
    answers: list[FakeResponse | RunnerFailure]
    retries: RetryBudget = attrs.Factory(RetryBudget)
    entry: FakeEntry = attrs.field(init=False)

    def serve(self, **fields: Any) -> Reply:
        """Serves a request."""
        self.entry = FakeEntry(self.admissions, self.retries)
        services = Services(
            FakeBridge(),  # type: ignore[arg-type]
            self.entry,  # type: ignore[arg-type]
            None,  # type: ignore[arg-type]
            FakeRunners(self.answers),  # type: ignore[arg-type]
            FakeMetrics(),  # type: ignore[arg-type]
        )
        request = CallerRequest(
            Call("q", model="a"),
            RunnerRequest("POST", "/", {}, document={}),
            "",
            "digest",
            repeatable=True,
            streamed=False,
        )
        return Exchanges(services).serve(attrs.evolve(request, **fields))


class TestRetries:
    def test_what_was_not_sent_is_sent_elsewhere(self) -> None:
        bench = Bench([None, None], [_NOT_SENT, FakeResponse([b"x"])])
        reply = bench.serve(repeatable=False)
        assert reply.outcome == calls.COMPLETED
        assert bench.entry.asked == [(), ("r1",)]
        assert bench.entry.finished == [FAILED, FINE]

    def test_what_may_have_run_is_sent_again_if_repeatable(self) -> None:
        bench = Bench([None, None], [_UNSURE, FakeResponse([b"x"])])
        assert bench.serve().outcome == calls.COMPLETED

    def test_what_may_have_run_is_not_sent_again_otherwise(self) -> None:
        bench = Bench([None], [_UNSURE])
        reply = bench.serve(repeatable=False)
        assert reply.outcome == calls.UNKNOWN
        assert reply.status == 502

    def test_a_refusal_after_an_unsure_attempt_is_not_not_run(self) -> None:
        bench = Bench([None, _NO_RUNNER], [_UNSURE])
        assert bench.serve().outcome == calls.UNKNOWN

    def test_a_failure_after_an_unsure_attempt_is_not_not_run(self) -> None:
        answers = [_UNSURE, _NOT_SENT, _NOT_SENT, _NOT_SENT]
        bench = Bench([None] * 4, answers)
        assert bench.serve().outcome == calls.UNKNOWN

    def test_a_refusal_without_an_attempt_is_not_run(self) -> None:
        bench = Bench([_NO_RUNNER], [])
        assert bench.serve().outcome == calls.NOT_RUN

    def test_without_a_budget_it_fails_at_once(self) -> None:
        empty = RetryBudget(share=0.0, burst=0.0, saved=0.0)
        bench = Bench([None], [_NOT_SENT], empty)
        assert bench.serve().outcome == calls.NOT_RUN
        assert len(bench.entry.asked) == 1


class TestStream:
    def test_a_whole_stream_releases_its_connection(self) -> None:
        response = FakeResponse([b"data: {}", b"data: [DONE]"])
        bench = Bench([None], [response])
        reply = bench.serve(streamed=True)
        assert b"".join(reply.body) == b"data: {}data: [DONE]"
        assert response.ended == "released"
        assert bench.entry.finished == [FINE]

    @pytest.mark.parametrize("chunks", [[b"data: {}", None], [b"data: {}"]])
    def test_a_cut_stream_says_so(self, chunks: list[bytes | None]) -> None:
        response = FakeResponse(chunks)
        bench = Bench([None], [response])
        reply = bench.serve(streamed=True)
        with pytest.raises(IncompleteStreamError):
            b"".join(reply.body)
        assert response.ended == "cancelled"
        assert bench.entry.finished == [FINE]

    def test_a_caller_that_leaves_cancels_it(self) -> None:
        response = FakeResponse([b"data: {}", b"data: [DONE]"])
        bench = Bench([None], [response])
        body = bench.serve(streamed=True).body
        assert not isinstance(body, bytes)
        next(body)
        body.close()  # type: ignore[attr-defined]
        assert response.ended == "cancelled"
        assert bench.entry.finished == [FINE]

    def test_one_cut_before_its_first_byte_is_tried_elsewhere(self) -> None:
        answers = [FakeResponse([None]), FakeResponse([b"data: [DONE]"])]
        reply = Bench([None, None], answers).serve(streamed=True)
        assert b"".join(reply.body) == b"data: [DONE]"
