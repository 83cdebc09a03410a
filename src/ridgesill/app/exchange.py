"""Serves a caller's request, from its check to the last byte of the answer.

This code runs on the worker thread that owns the caller's socket. It calls into
the event loop, through the bridge, for each decision.
"""

import time
from collections.abc import Iterator

import attrs
import msgspec
from eliot import log_message
from result import Err, Ok, Result

from ridgesill.adapters.metrics import Metrics
from ridgesill.app.bridge import Bridge
from ridgesill.app.entry import Entry
from ridgesill.app.once import (
    MAX_RECORDED_BODY_BYTES,
    OnceKey,
    OnceRecords,
    OnceResult,
)
from ridgesill.core import calls, commands
from ridgesill.core.calls import Admission, Call, Refusal
from ridgesill.core.commands import OnceRecord
from ridgesill.core.pool.messages import ABSENT, FAILED, FINE
from ridgesill.ports.runner import (
    IncompleteAnswerError,
    RunnerFailure,
    RunnerRequest,
    RunnerResponse,
    Runners,
)
from ridgesill.ports.serving import CallerRequest, IncompleteStreamError, Reply

_MAX_ATTEMPTS = 4
# Other statuses answer a request for a stream with a whole body.
_STREAM_STATUS = 200
# Ends each complete stream; looked for in the last bytes only.
_DONE_MARK = b"[DONE]"
_TAIL_BYTES = 64


@attrs.frozen
class ExchangeServices:
    """The parts of the process that an exchange uses.

    Attributes:
        bridge: calls into the event loop.
        entry: admits calls.
        once: keeps the outcomes of requests with idempotency keys.
        runners: sends requests to runners.
        metrics: counts and times requests.
    """

    bridge: Bridge
    entry: Entry
    once: OnceRecords
    runners: Runners
    metrics: Metrics


class RequestServer:
    """Serves each request in an exchange of its own.

    Implements `ports.serving.Serving`.
    """

    def __init__(self, services: ExchangeServices) -> None:
        self._services = services

    def serve(self, request: CallerRequest) -> Reply:
        """Returns the reply to a request."""
        return Exchange(self._services, request).serve()


class Exchange:
    """Serves one request.

    Args:
        services: the parts of the process that the exchange uses.
        request: the caller's request.
    """

    def __init__(
        self, services: ExchangeServices, request: CallerRequest
    ) -> None:
        self._services = services
        self._request = request
        self._call = request.call
        self._started_at = time.monotonic()
        self._team = request.call.team
        self._once_key: OnceKey | None = None
        # Once an attempt may have run, the outcome can't be `not-run` any more,
        # whatever becomes of later attempts.
        self._may_have_run = False

    def serve(self) -> Reply:
        """Returns the reply; the body of a stream is read as it is sent on."""
        checked = self._services.bridge.call(self._check())
        if isinstance(checked, Err):
            return self._refuse(checked.err_value)
        self._team = checked.ok_value
        if self._request.key:
            earlier_reply = self._check_idempotency()
            if earlier_reply is not None:
                return earlier_reply
        return self._attempt()

    async def _check(self) -> Result[str, Refusal]:
        checked = self._services.entry.check(self._call)
        return checked.map(lambda target: target.team)

    # -- idempotency keys ----------------------------------------------

    def _check_idempotency(self) -> Reply | None:
        """Reserves the idempotency key for this request.

        Returns:
            The reply to send if the key can't be reserved, such as the reply to
            the first request with it.
        """
        request = self._request
        key = OnceKey(
            self._team, request.key, request.digest, self._call.request
        )
        outcome = self._services.bridge.call(self._services.once.begin(key))
        if isinstance(outcome, Ok):
            self._once_key = key
            return None
        if isinstance(outcome.err_value, Refusal):
            return self._refuse(outcome.err_value)
        return self._replay(outcome.err_value)

    def _replay(self, record: OnceRecord) -> Reply:
        if record.outcome == commands.COMPLETED and record.status:
            self._record_end(calls.COMPLETED)
            return Reply(
                record.status,
                record.content_type,
                record.body,
                calls.COMPLETED,
                replayed=True,
            )
        if record.outcome == commands.RUNNING:
            detail = "the first request with this key is running"
            return self._refuse(Refusal(calls.KEY_RUNNING, detail, 1.0))
        detail = "the first request with this key ran, or may have run"
        if record.outcome == commands.COMPLETED:
            detail = "the first request ran; its answer was too large to keep"
        return self._refuse(Refusal(calls.KEY_UNKNOWN, detail))

    def _record_once_result(self, result: OnceResult) -> None:
        if self._once_key is not None:
            key, self._once_key = self._once_key, None
            once = self._services.once
            self._services.bridge.call(once.finish(key, result))

    # -- attempts ------------------------------------------------------

    def _attempt(self) -> Reply:
        self._services.entry.retries.record_request()
        avoid: tuple[str, ...] = ()
        for attempt in range(_MAX_ATTEMPTS):
            call = self._make_attempt_call(attempt)
            admit = self._services.entry.admit(call, avoid)
            admitted = self._services.bridge.call(admit)
            if isinstance(admitted, Err):
                return self._give_up(admitted.err_value)
            admission = admitted.ok_value
            self._observe_admission(admission)
            outcome = self._send_attempt(admission)
            if isinstance(outcome, Ok):
                return outcome.ok_value
            failure = outcome.err_value
            self._may_have_run |= not failure.not_run
            avoid = (*avoid, admission.runner)
            if not self._may_retry(failure, attempt):
                return self._fail(failure, admission)
        raise AssertionError(
            "the last attempt returned neither reply nor failure"
        )

    def _make_attempt_call(self, attempt: int) -> Call:
        if not attempt:
            return self._call
        name = f"{self._call.request}.{attempt}"
        seconds_left = self._call.patience - (
            time.monotonic() - self._started_at
        )
        return attrs.evolve(
            self._call, request=name, patience=max(seconds_left, 0.0)
        )

    def _may_retry(self, failure: RunnerFailure, attempt: int) -> bool:
        if attempt + 1 >= _MAX_ATTEMPTS:
            return False
        if not failure.not_run and not self._request.repeatable:
            return False
        return failure.lacks_adapter or self._services.entry.retries.acquire()

    def _send_attempt(
        self, admission: Admission
    ) -> Result[Reply, RunnerFailure]:
        opened = self._services.runners.open(
            admission.address,
            self._make_runner_request(admission),
            repeatable=self._request.repeatable,
        )
        if isinstance(opened, Err):
            failure = opened.err_value
            self._release(
                admission, ABSENT if failure.lacks_adapter else FAILED
            )
            self._log_failure(failure, admission)
            return Err(failure)
        return self._receive(opened.ok_value, admission)

    def _make_runner_request(self, admission: Admission) -> RunnerRequest:
        request = self._request.runner_request
        if request.document is None:
            return request
        # The adapter is named with the version that was admitted.
        document = {**request.document, "model": admission.adapter}
        return attrs.evolve(request, body=msgspec.json.encode(document))

    def _receive(
        self, response: RunnerResponse, admission: Admission
    ) -> Result[Reply, RunnerFailure]:
        try:
            if self._request.streamed and response.status == _STREAM_STATUS:
                chunks = response.chunks()
                first = next(chunks, b"")
                self._observe_first_byte()
                body = self._relay(response, admission, first, chunks)
                return Ok(self._reply(response, body, admission))
            data = response.read()
        except IncompleteAnswerError as error:
            response.cancel()
            self._release(admission, FAILED)
            failure = RunnerFailure(
                "answer", admission.address, str(error), False
            )
            self._log_failure(failure, admission)
            return Err(failure)
        response.release()
        self._observe_first_byte()
        self._release(admission, FINE)
        self._record_once_result(_make_result(response, data))
        self._record_end(calls.COMPLETED, admission)
        return Ok(self._reply(response, data, admission))

    def _reply(
        self,
        response: RunnerResponse,
        body: bytes | Iterator[bytes],
        admission: Admission,
    ) -> Reply:
        return Reply(
            response.status,
            response.content_type,
            body,
            calls.COMPLETED,
            admission,
            headers=response.other_headers,
        )

    def _relay(
        self,
        response: RunnerResponse,
        admission: Admission,
        first: bytes,
        chunks: Iterator[bytes],
    ) -> Iterator[bytes]:
        """Yields a stream, and ends the request when the stream ends.

        Raises:
            CutError: if the runner's stream ends before it is complete.
        """
        tail = b""
        kept = bytearray()
        outcome = calls.UNKNOWN
        try:
            yield first
            tail = first[-_TAIL_BYTES:]
            self._keep_body(kept, first)
            for chunk in chunks:
                tail = (tail + chunk)[-_TAIL_BYTES:]
                self._keep_body(kept, chunk)
                yield chunk
            if _DONE_MARK not in tail:
                raise IncompleteStreamError("the runner's stream ended early")
            outcome = calls.COMPLETED
            response.release()
        except IncompleteAnswerError as error:
            raise IncompleteStreamError(str(error)) from error
        finally:
            # This runs also when the caller disconnects: closing the
            # connection makes the runner cancel its work, and the release
            # ends the pin on the slot.
            if outcome != calls.COMPLETED:
                response.cancel()
            self._release(admission, FINE)
            self._record_once_result(
                OnceResult(
                    outcome, response.status, response.content_type, bytes(kept)
                )
            )
            self._record_end(outcome, admission)

    def _keep_body(self, kept: bytearray, chunk: bytes) -> None:
        if self._once_key is not None and len(kept) <= MAX_RECORDED_BODY_BYTES:
            kept += chunk

    # -- end of the request --------------------------------------------

    def _release(self, admission: Admission, verdict: str) -> None:
        self._services.bridge.post(
            self._services.entry.finish, admission, verdict
        )

    def _give_up(self, refusal: Refusal) -> Reply:
        self._record_once_result(OnceResult(self._failure_outcome()))
        return self._refuse(refusal)

    def _failure_outcome(self) -> str:
        return calls.UNKNOWN if self._may_have_run else calls.NOT_RUN

    def _fail(self, failure: RunnerFailure, admission: Admission) -> Reply:
        outcome = self._failure_outcome()
        self._record_once_result(OnceResult(outcome))
        self._record_end(outcome, admission)
        detail = f"{failure.step} with {admission.runner}: {failure.detail}"
        after = 0.0 if self._may_have_run else 1.0
        refusal = Refusal("runner-failed", detail, after, admission.team)
        return Reply(502, "", b"", outcome, admission, refusal)

    def _refuse(self, refusal: Refusal) -> Reply:
        outcome = self._failure_outcome()
        if refusal.reason == calls.KEY_UNKNOWN:
            outcome = calls.UNKNOWN
        self._record_end(outcome, reason=refusal.reason)
        return Reply(0, "", b"", outcome, refusal=refusal)

    def _record_end(
        self,
        outcome: str,
        admission: Admission | None = None,
        reason: str = "",
    ) -> None:
        seconds = time.monotonic() - self._started_at
        self._services.metrics.observe_end(
            self._team, self._call.priority, outcome, seconds
        )
        log_message(
            "request:end",
            request=self._call.request,
            step="end",
            peer=admission.address if admission else "",
            team=self._team,
            adapter=admission.adapter if admission else "",
            outcome=outcome,
            reason=reason,
            seconds=round(seconds, 4),
        )

    def _observe_admission(self, admission: Admission) -> None:
        self._services.metrics.observe_admission(
            self._team,
            self._call.priority,
            waited=admission.waited,
            stalled=admission.stalled,
            batch=admission.batch,
        )

    def _observe_first_byte(self) -> None:
        seconds = time.monotonic() - self._started_at
        self._services.metrics.observe_first_byte(
            self._team, self._call.priority, seconds
        )

    def _log_failure(
        self, failure: RunnerFailure, admission: Admission
    ) -> None:
        log_message(
            "request:runner_failed",
            request=self._call.request,
            step=failure.step,
            peer=failure.peer,
            runner=admission.runner,
            not_run=failure.not_run,
            detail=failure.detail,
        )


def _make_result(response: RunnerResponse, data: bytes) -> OnceResult:
    return OnceResult(
        calls.COMPLETED, response.status, response.content_type, data
    )
