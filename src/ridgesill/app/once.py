"""Durable records of idempotent requests, which run at most once."""

import time

import attrs
from eliot import log_message
from result import Err, Ok, Result

from ridgesill.app.control import Control, UnavailableError
from ridgesill.core import calls, commands
from ridgesill.core.calls import Refusal
from ridgesill.core.commands import BeginOnce, FinishOnce, OnceRecord

_BEGIN_TIMEOUT_SECONDS = 5.0
_FINISH_TIMEOUT_SECONDS = 30.0
# Longer bodies are not recorded; the record then has status 0.
MAX_RECORDED_BODY_BYTES = 64 * 1024


@attrs.frozen
class OnceKey:
    """Identifies a request that runs at most once.

    Attributes:
        team: the team that sent the request.
        key: the value of its Idempotency-Key header.
        digest: digest of the request, which detects a key that is reused for
            a different request.
        request: the id of this attempt.
    """

    team: str
    key: str
    digest: str
    request: str


@attrs.frozen
class OnceResult:
    """The recorded result of a finished request.

    Attributes:
        outcome: one of the outcomes in `core.calls`.
        status: HTTP status of the response; 0 if there was none.
        content_type: content type of the response.
        body: body of the response.
    """

    outcome: str
    status: int = 0
    content_type: str = ""
    body: bytes = b""


class OnceRecords:
    """Commits a record to the log before and after a request runs.

    Args:
        control: the node's control plane, which commits the records.
    """

    def __init__(self, control: Control) -> None:
        self._control = control

    async def begin(self, key: OnceKey) -> Result[None, OnceRecord | Refusal]:
        """Records that a request is about to run.

        Returns:
            Ok if the request may run now; otherwise the existing record of
            the same key, or a refusal.
        """
        node = self._control.node.incarnation
        command = BeginOnce(
            key.team, key.key, key.digest, node, key.request, time.time()
        )
        try:
            answer = await self._control.propose(
                command, _BEGIN_TIMEOUT_SECONDS
            )
        except UnavailableError as error:
            # The record may have been committed although the request has not
            # run. Recording it as not run frees the key.
            await self._try_finish(key, OnceResult(calls.NOT_RUN), 0.5)
            return Err(Refusal(calls.NO_LEADER, str(error), 2.0, key.team))
        if answer.begun:
            return Ok(None)
        return Err(_explain_rejection(key, answer.record))

    async def finish(self, key: OnceKey, result: OnceResult) -> None:
        """Records the result of a request; logs it if that fails."""
        await self._try_finish(key, result, _FINISH_TIMEOUT_SECONDS)

    async def _try_finish(
        self, key: OnceKey, result: OnceResult, seconds: float
    ) -> None:
        body = (
            result.body if len(result.body) <= MAX_RECORDED_BODY_BYTES else b""
        )
        status = result.status if body or not result.body else 0
        command = FinishOnce(
            key.team,
            key.key,
            key.request,
            result.outcome,
            status,
            result.content_type,
            body,
        )
        try:
            await self._control.propose(command, seconds)
        except UnavailableError as error:
            log_message(
                "once:not_recorded", request=key.request, detail=str(error)
            )


def _explain_rejection(
    key: OnceKey, record: OnceRecord
) -> OnceRecord | Refusal:
    """Returns the record to answer from, or why its key cannot be used."""
    if record.outcome == commands.FULL:
        detail = "too many keys are held; try again later"
        return Refusal(calls.KEYS_FULL, detail, 60.0, key.team)
    if record.digest != key.digest:
        detail = "this Idempotency-Key was used for another request"
        return Refusal(calls.KEY_IN_USE, detail, 0.0, key.team)
    return record
