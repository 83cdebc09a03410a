"""Tests of serving a caller's request, over fake ports."""

import asyncio
from collections.abc import Iterator
from typing import Any

import attrs
import pytest
from result import Err, Ok, Result

from ridgesill.app.exchange import ExchangeServices, RequestServer
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

_NOT_RUN_FAILURE = RunnerFailure("connect", "r:1", "refused", not_run=True)
_MAYBE_RUN_FAILURE = RunnerFailure("request", "r:1", "reset", not_run=False)
_NO_RUNNER = Refusal("no-runner", "none", 2.0)


class FakeBridge:
    """Runs coroutines on a loop of its own, in the calling thread."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()

    def call(self, coroutine: Any) -> Any:
        """Returns a coroutine's result."""
        return self._loop.run_until_complete(coroutine)

    def post(self, function: Any, *args: Any) -> None:
        """Calls a function."""
        function(*args)


class FakeEntry:
    """Admits or refuses calls by a script, and records the verdicts.

    Args:
        script: for each call, why it is refused; None to admit it.
        retries: the retry budget.
    """

    def __init__(
        self, script: list[Refusal | None], retries: RetryBudget
    ) -> None:
        self.retries = retries
        self.finished: list[str] = []
        self.avoided: list[tuple[str, ...]] = []
        self._script = script

    def check(self, call: Call) -> Result[Target, Refusal]:
        """Accepts every call."""
        return Ok(Target("s", "a@1", "t", frozenset({"east"})))

    async def admit(
        self, call: Call, avoid: tuple[str, ...] = ()
    ) -> Result[Admission, Refusal]:
        """Returns a grant, or the refusal that is next in the script."""
        self.avoided.append(avoid)
        refusal = self._script.pop(0)
        if refusal is not None:
            return Err(refusal)
        number = len(self.avoided)
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
        """Records the verdict."""
        self.finished.append(verdict)


class FakeResponse:
    """An answer in chunks.

    Args:
        chunks: of the body; None where the answer is cut.
    """

    status = 200
    content_type = "text/event-stream"
    other_headers = ()

    def __init__(self, chunks: list[bytes | None]) -> None:
        self.ended = ""
        self._chunks = chunks

    def chunks(self) -> Iterator[bytes]:
        """Yields the chunks until the answer is cut or ends."""
        for chunk in self._chunks:
            if chunk is None:
                raise IncompleteAnswerError("cut")
            yield chunk

    def read(self) -> bytes:
        """Returns the whole body."""
        return b"".join(self.chunks())

    def release(self) -> None:
        """Records that the answer was read completely."""
        self.ended = "released"

    def cancel(self) -> None:
        """Records that the answer was cancelled."""
        self.ended = "cancelled"


class FakeUnframedError(FakeResponse):
    """An error's answer with neither a length nor chunks."""

    status = 500
    content_type = "text/plain"

    def read(self) -> bytes:
        """Fails, since nothing shows that the body is whole."""
        raise IncompleteAnswerError("neither a length nor chunks")


class FakeRunners:
    """Answers or fails requests by a script."""

    def __init__(self, script: list[FakeResponse | RunnerFailure]) -> None:
        self._script = script

    def open(
        self, address: str, request: RunnerRequest, *, repeatable: bool
    ) -> Any:
        """Returns the next item of the script."""
        answer = self._script.pop(0)
        return Err(answer) if isinstance(answer, RunnerFailure) else Ok(answer)


class FakeMetrics:
    """Ignores all observations."""

    def __getattr__(self, name: str) -> Any:
        return lambda *_args, **_kwargs: None


@attrs.define
class ExchangeFixture:
    """Serves a request over fakes.

    Attributes:
        admissions: for each attempt, why it is refused; None to admit it.
        answers: for each attempt that is admitted.
        retries: the retry budget.
        entry: the fake entry, once a request was served.
    """

    admissions: list[Refusal | None]
    answers: list[FakeResponse | RunnerFailure]
    retries: RetryBudget = attrs.Factory(RetryBudget)
    entry: FakeEntry = attrs.field(init=False)

    def serve(self, **fields: Any) -> Reply:
        """Serves a request, with some fields changed from the default."""
        self.entry = FakeEntry(self.admissions, self.retries)
        services = ExchangeServices(
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
        return RequestServer(services).serve(attrs.evolve(request, **fields))


class TestRetries:
    def test_a_request_that_was_not_sent_is_sent_to_another_runner(
        self,
    ) -> None:
        fixture = ExchangeFixture(
            [None, None], [_NOT_RUN_FAILURE, FakeResponse([b"x"])]
        )
        reply = fixture.serve(repeatable=False)
        assert reply.outcome == calls.COMPLETED
        assert fixture.entry.avoided == [(), ("r1",)]
        assert fixture.entry.finished == [FAILED, FINE]

    def test_a_request_that_may_have_run_is_sent_again_if_repeatable(
        self,
    ) -> None:
        fixture = ExchangeFixture(
            [None, None], [_MAYBE_RUN_FAILURE, FakeResponse([b"x"])]
        )
        assert fixture.serve().outcome == calls.COMPLETED

    def test_a_request_that_may_have_run_is_not_sent_again_otherwise(
        self,
    ) -> None:
        fixture = ExchangeFixture([None], [_MAYBE_RUN_FAILURE])
        reply = fixture.serve(repeatable=False)
        assert reply.outcome == calls.UNKNOWN
        assert reply.status == 502

    def test_a_refusal_after_a_possible_run_has_an_unknown_outcome(
        self,
    ) -> None:
        fixture = ExchangeFixture([None, _NO_RUNNER], [_MAYBE_RUN_FAILURE])
        assert fixture.serve().outcome == calls.UNKNOWN

    def test_a_failure_after_a_possible_run_has_an_unknown_outcome(
        self,
    ) -> None:
        answers = [
            _MAYBE_RUN_FAILURE,
            _NOT_RUN_FAILURE,
            _NOT_RUN_FAILURE,
            _NOT_RUN_FAILURE,
        ]
        fixture = ExchangeFixture([None] * 4, answers)
        assert fixture.serve().outcome == calls.UNKNOWN

    def test_a_refusal_without_an_attempt_has_the_outcome_not_run(self) -> None:
        fixture = ExchangeFixture([_NO_RUNNER], [])
        assert fixture.serve().outcome == calls.NOT_RUN

    def test_without_a_retry_budget_a_request_fails_at_once(self) -> None:
        empty = RetryBudget(share=0.0, burst=0.0, saved=0.0)
        fixture = ExchangeFixture([None], [_NOT_RUN_FAILURE], empty)
        assert fixture.serve().outcome == calls.NOT_RUN
        assert len(fixture.entry.avoided) == 1


class TestStream:
    def test_a_complete_stream_releases_its_connection(self) -> None:
        response = FakeResponse([b"data: {}", b"data: [DONE]"])
        fixture = ExchangeFixture([None], [response])
        reply = fixture.serve(streamed=True)
        assert b"".join(reply.body) == b"data: {}data: [DONE]"
        assert response.ended == "released"
        assert fixture.entry.finished == [FINE]

    @pytest.mark.parametrize("chunks", [[b"data: {}", None], [b"data: {}"]])
    def test_a_cut_stream_raises_an_error(
        self, chunks: list[bytes | None]
    ) -> None:
        response = FakeResponse(chunks)
        fixture = ExchangeFixture([None], [response])
        reply = fixture.serve(streamed=True)
        with pytest.raises(IncompleteStreamError):
            b"".join(reply.body)
        assert response.ended == "cancelled"
        assert fixture.entry.finished == [FINE]

    def test_a_caller_that_leaves_cancels_the_stream(self) -> None:
        response = FakeResponse([b"data: {}", b"data: [DONE]"])
        fixture = ExchangeFixture([None], [response])
        body = fixture.serve(streamed=True).body
        assert not isinstance(body, bytes)
        next(body)
        body.close()  # type: ignore[attr-defined]
        assert response.ended == "cancelled"
        assert fixture.entry.finished == [FINE]

    def test_an_error_cut_in_order_does_not_look_complete(self) -> None:
        """Guards against a last chunk behind an error that was cut short."""
        response = FakeUnframedError([b"the engine has no me"])
        reply = ExchangeFixture([None], [response]).serve(
            streamed=True, repeatable=False
        )
        assert (reply.status, reply.body) == (502, b"")
        assert (reply.outcome, response.ended) == (calls.UNKNOWN, "cancelled")

    def test_an_error_for_a_stream_is_passed_on(self) -> None:
        response = FakeResponse([b"{}"])
        response.status = 500
        reply = ExchangeFixture([None], [response]).serve(streamed=True)
        assert (reply.status, reply.body) == (500, b"{}")
        assert response.ended == "released"

    def test_a_stream_cut_before_its_first_byte_is_tried_elsewhere(
        self,
    ) -> None:
        answers = [FakeResponse([None]), FakeResponse([b"data: [DONE]"])]
        reply = ExchangeFixture([None, None], answers).serve(streamed=True)
        assert b"".join(reply.body) == b"data: [DONE]"
