"""One caller's request, from its check to the last byte of its answer.

All of this runs on the worker thread that owns the caller's socket. Decisions
are asked for as messages to the event loop.
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
from ridgesill.app.once import KEPT_BODY_BYTES, Once, OnceKey, OnceResult
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

_ATTEMPTS = 4
_DONE_MARK = b"[DONE]"
_TAIL = 64


@attrs.frozen
class Services:
    """What an exchange needs of its process."""

    bridge: Bridge
    entry: Entry
    once: Once
    runners: Runners
    metrics: Metrics


class Exchanges:
    """Implements `ports.serving.Serving`."""

    def __init__(self, services: Services) -> None:
        self._services = services

    def serve(self, request: CallerRequest) -> Reply:
        """Returns the reply to a request."""
        return Exchange(self._services, request).serve()


class Exchange:
    """Serves one request."""

    def __init__(self, services: Services, request: CallerRequest) -> None:
        self._services = services
        self._request = request
        self._call = request.call
        self._began = time.monotonic()
        self._team = request.call.team
        self._once: OnceKey | None = None
        # Whether an attempt may have run: then no later one's refusal makes
        # the request `not-run`.
        self._may_have_run = False

    def serve(self) -> Reply:
        """Returns the reply; its body may still be arriving."""
        checked = self._services.bridge.call(self._check())
        if isinstance(checked, Err):
            return self._refuse(checked.err_value)
        self._team = checked.ok_value
        if self._request.key:
            standing = self._begin_once()
            if standing is not None:
                return standing
        return self._attempt()

    async def _check(self) -> Result[str, Refusal]:
        checked = self._services.entry.check(self._call)
        return checked.map(lambda target: target.team)

    # -- at most once --------------------------------------------------

    def _begin_once(self) -> Reply | None:
        request = self._request
        key = OnceKey(
            self._team, request.key, request.digest, self._call.request
        )
        outcome = self._services.bridge.call(self._services.once.begin(key))
        if isinstance(outcome, Ok):
            self._once = key
            return None
        if isinstance(outcome.err_value, Refusal):
            return self._refuse(outcome.err_value)
        return self._replay(outcome.err_value)

    def _replay(self, record: OnceRecord) -> Reply:
        if record.outcome == commands.COMPLETED and record.status:
            self._end(calls.COMPLETED)
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

    def _finish_once(self, result: OnceResult) -> None:
        if self._once is not None:
            key, self._once = self._once, None
            once = self._services.once
            self._services.bridge.call(once.finish(key, result))

    # -- attempts ------------------------------------------------------

    def _attempt(self) -> Reply:
        self._services.entry.retries.record_request()
        avoid: tuple[str, ...] = ()
        for attempt in range(_ATTEMPTS):
            call = self._numbered(attempt)
            admit = self._services.entry.admit(call, avoid)
            admitted = self._services.bridge.call(admit)
            if isinstance(admitted, Err):
                return self._give_up(admitted.err_value)
            admission = admitted.ok_value
            self._observe_admission(admission)
            outcome = self._send(admission)
            if isinstance(outcome, Ok):
                return outcome.ok_value
            failure = outcome.err_value
            self._may_have_run |= not failure.not_run
            avoid = (*avoid, admission.runner)
            if not self._may_retry(failure, attempt):
                return self._fail(failure, admission)
        raise AssertionError("the last attempt neither replied nor failed")

    def _numbered(self, attempt: int) -> Call:
        if not attempt:
            return self._call
        name = f"{self._call.request}.{attempt}"
        left = self._call.patience - (time.monotonic() - self._began)
        return attrs.evolve(self._call, request=name, patience=max(left, 0.0))

    def _may_retry(self, failure: RunnerFailure, attempt: int) -> bool:
        if attempt + 1 >= _ATTEMPTS:
            return False
        if not failure.not_run and not self._request.repeatable:
            return False
        return failure.lacks_adapter or self._services.entry.retries.acquire()

    def _send(self, admission: Admission) -> Result[Reply, RunnerFailure]:
        opened = self._services.runners.open(
            admission.address,
            self._addressed(admission),
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

    def _addressed(self, admission: Admission) -> RunnerRequest:
        request = self._request.runner_request
        if request.document is None:
            return request
        # The runner is asked for exactly the version that was admitted.
        document = {**request.document, "model": admission.adapter}
        return attrs.evolve(request, body=msgspec.json.encode(document))

    def _receive(
        self, response: RunnerResponse, admission: Admission
    ) -> Result[Reply, RunnerFailure]:
        try:
            if self._request.streamed:
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
        self._finish_once(_result_of(response, data))
        self._end(calls.COMPLETED, admission)
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
        """Yields a stream and ends the request however it ends."""
        tail = b""
        kept = bytearray()
        outcome = calls.UNKNOWN
        try:
            yield first
            tail = first[-_TAIL:]
            self._keep(kept, first)
            for chunk in chunks:
                tail = (tail + chunk)[-_TAIL:]
                self._keep(kept, chunk)
                yield chunk
            if response.status == 200 and _DONE_MARK not in tail:
                raise IncompleteStreamError("the runner's stream ended early")
            outcome = calls.COMPLETED
            response.release()
        except IncompleteAnswerError as error:
            raise IncompleteStreamError(str(error)) from error
        finally:
            # Also when the caller goes away: the closed connection makes
            # the runner cancel, and the slot's pin ends.
            if outcome != calls.COMPLETED:
                response.cancel()
            self._release(admission, FINE)
            self._finish_once(
                OnceResult(
                    outcome, response.status, response.content_type, bytes(kept)
                )
            )
            self._end(outcome, admission)

    def _keep(self, kept: bytearray, chunk: bytes) -> None:
        if self._once is not None and len(kept) <= KEPT_BODY_BYTES:
            kept += chunk

    # -- ends ----------------------------------------------------------

    def _release(self, admission: Admission, verdict: str) -> None:
        self._services.bridge.post(
            self._services.entry.finish, admission, verdict
        )

    def _give_up(self, refusal: Refusal) -> Reply:
        self._finish_once(OnceResult(self._unanswered()))
        return self._refuse(refusal)

    def _unanswered(self) -> str:
        return calls.UNKNOWN if self._may_have_run else calls.NOT_RUN

    def _fail(self, failure: RunnerFailure, admission: Admission) -> Reply:
        outcome = self._unanswered()
        self._finish_once(OnceResult(outcome))
        self._end(outcome, admission)
        detail = f"{failure.step} with {admission.runner}: {failure.detail}"
        after = 0.0 if self._may_have_run else 1.0
        refusal = Refusal("runner-failed", detail, after, admission.team)
        return Reply(502, "", b"", outcome, admission, refusal)

    def _refuse(self, refusal: Refusal) -> Reply:
        outcome = self._unanswered()
        if refusal.reason == calls.KEY_UNKNOWN:
            outcome = calls.UNKNOWN
        self._end(outcome, reason=refusal.reason)
        return Reply(0, "", b"", outcome, refusal=refusal)

    def _end(
        self,
        outcome: str,
        admission: Admission | None = None,
        reason: str = "",
    ) -> None:
        seconds = time.monotonic() - self._began
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
        seconds = time.monotonic() - self._began
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


def _result_of(response: RunnerResponse, data: bytes) -> OnceResult:
    return OnceResult(
        calls.COMPLETED, response.status, response.content_type, data
    )
