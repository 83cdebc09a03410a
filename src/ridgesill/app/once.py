"""Records of requests that run at most once."""

import time

import attrs
from eliot import log_message
from result import Err, Ok, Result

from ridgesill.app.control import Control, UnavailableError
from ridgesill.core import calls, commands
from ridgesill.core.calls import Refusal
from ridgesill.core.commands import BeginOnce, FinishOnce, OnceRecord

_BEGIN_SECONDS = 5.0
_FINISH_SECONDS = 30.0
MAX_RECORDED_BODY_BYTES = 64 * 1024


@attrs.frozen
class OnceKey:
    """Names a request that runs at most once.

    Attributes:
        digest: of the request, so that a key is not reused for another.
        request: the id of this attempt.
    """

    team: str
    key: str
    digest: str
    request: str


@attrs.frozen
class OnceResult:
    """What is recorded of a finished request."""

    outcome: str
    status: int = 0
    content_type: str = ""
    body: bytes = b""


class OnceRecords:
    """Makes records durable before and after a request runs."""

    def __init__(self, control: Control) -> None:
        self._control = control

    async def begin(self, key: OnceKey) -> Result[None, OnceRecord | Refusal]:
        """Records that a request is about to run.

        Returns:
            Ok if it may run now; else the record that stands, or a refusal.
        """
        node = self._control.node.incarnation
        command = BeginOnce(
            key.team, key.key, key.digest, node, key.request, time.time()
        )
        try:
            answer = await self._control.propose(command, _BEGIN_SECONDS)
        except UnavailableError as error:
            # Perhaps recorded, but it has not run; frees the key if so.
            await self._try_finish(key, OnceResult(calls.NOT_RUN), 0.5)
            return Err(Refusal(calls.NO_LEADER, str(error), 2.0, key.team))
        if answer.begun:
            return Ok(None)
        return Err(_explain(key, answer.record))

    async def finish(self, key: OnceKey, result: OnceResult) -> None:
        """Records what became of a request."""
        await self._try_finish(key, result, _FINISH_SECONDS)

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


def _explain(key: OnceKey, record: OnceRecord) -> OnceRecord | Refusal:
    if record.outcome == commands.FULL:
        detail = "too many keys are held; try again later"
        return Refusal(calls.KEYS_FULL, detail, 60.0, key.team)
    if record.digest != key.digest:
        detail = "this Idempotency-Key was used for another request"
        return Refusal(calls.KEY_IN_USE, detail, 0.0, key.team)
    return record
