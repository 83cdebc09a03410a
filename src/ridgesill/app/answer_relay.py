"""Passes the bodies of answers on to the client and judges their ends."""

import asyncio
from collections.abc import Coroutine
from typing import Any

import attrs
from eliot import log_message

from ridgesill.adapters.http1.client import (
    Exchange,
    UpstreamChannels,
)
from ridgesill.app.answer_end import (
    PEER_GONE,
    WHOLE,
    AnswerEnd,
    StreamTail,
    judge_body,
    judge_stream,
)
from ridgesill.app.client_answer import ClientAnswer
from ridgesill.app.front import Front
from ridgesill.app.front_hop import HopAnswer
from ridgesill.app.quarantine import PROBE_DELAY_SECONDS
from ridgesill.app.upstream_search import UpstreamSearch
from ridgesill.core.completeness import Completeness
from ridgesill.core.fleet.messages import Upstream
from ridgesill.core.serving.events import (
    EventSplitter,
    EventTooLongError,
    find_last_end,
)
from ridgesill.core.serving.stream_gaps import StreamGaps
from ridgesill.ports.dialect import RequestFacts
from ridgesill.ports.http import ChannelError, ResponseHead

# After a longer wait for a client that reads slowly, data may have arrived from
# the upstream before this process noticed it; in seconds.
_SLOW_CLIENT_SECONDS = 0.005


class AnswerRelay:
    """Passes on the answers to one request.

    Args:
        front: the state that all requests of the front share.
        facts: what the client states about the request.
        search: is told when a prompt has been read.
        answer: the answer to the client.

    Attributes:
        service: service of the request.
        deadline: when the request times out, on the loop's clock.
        splitter: splits a stream that may be resumed; None for others.
        sent_at: when the request was last sent to an upstream; 0 if never.
        first_event_at: when the first part of a stream arrived; 0 before.
        attempt_event_at: when the upstream that has the request now had sent a
            whole event; 0 before.
    """

    def __init__(
        self,
        front: Front,
        facts: RequestFacts,
        search: UpstreamSearch,
        answer: ClientAnswer,
    ) -> None:
        self.service = ""
        self.deadline = 0.0
        self.splitter: EventSplitter | None = None
        self.sent_at = 0.0
        self.first_event_at = 0.0
        self.attempt_event_at = 0.0
        self._front = front
        self._facts = facts
        self._search = search
        self._answer = answer
        self._loop = asyncio.get_running_loop()

    def begin_attempt(self) -> None:
        """Records that the request is sent to an upstream now."""
        self.sent_at = self._loop.time()
        self.attempt_event_at = 0.0

    @property
    def last_event(self) -> str:
        """Id of the last event that the client has; empty without one."""
        if self.splitter is None:
            return self._facts.last_event
        return self.splitter.last_id

    # -- whole bodies --------------------------------------------------

    async def read_body(
        self, upstream: Upstream, exchange: Exchange, head: ResponseHead
    ) -> tuple[bytes, AnswerEnd]:
        """Returns an answer's body and what is known about its end.

        Raises:
            ChannelError: the body was broken off.
        """
        body = await exchange.read_rest()
        end = judge_body(head, body)
        if end.is_unknown:
            end = await self._check_upstream(upstream, end)
        self._log_answer_end(
            upstream.name, upstream.address, head, end, len(body), 0
        )
        if end.is_broken:
            raise ChannelError("body", upstream.address, end.reason, True)
        return body, end

    async def _check_upstream(
        self, upstream: Upstream, end: AnswerEnd
    ) -> AnswerEnd:
        """Returns the end of an answer that may have been broken off.

        If its upstream has ended too, or can't be reached any more, that broke
        it off, also if the upstream had announced that it leaves: its process
        may end before its answers do. The answer is ready, so the check takes
        at most half of the time that is left.
        """
        test = self._front.reachability_tests.is_there
        return await self._check_sender(test(upstream.address), end)

    async def _check_sender(
        self, test: Coroutine[Any, Any, bool], end: AnswerEnd
    ) -> AnswerEnd:
        """Returns the same end if the sender is known to be still there.

        Args:
            test: returns whether the sender accepts connections.
            end: how the answer ended.
        """
        seconds = max(self.deadline - self._loop.time(), 0.0) / 2
        delay = min(PROBE_DELAY_SECONDS, seconds / 2)
        try:
            is_there = await asyncio.wait_for(_run_later(test, delay), seconds)
        except TimeoutError:
            # A host that is silent accepts no connections either.
            is_there = False
        return end if is_there else PEER_GONE

    # -- streams -------------------------------------------------------

    async def relay_stream(
        self, upstream: Upstream, exchange: Exchange, head: ResponseHead
    ) -> AnswerEnd:
        """Passes a stream on; in whole events if the route may resume it.

        The head of an unframed stream is sent with its first data: if it is
        broken off before, the client gets a status that says so.

        Raises:
            ChannelError: the stream was broken off.
        """
        if head.is_framed:
            self._send_head(upstream, head)
        splitter = self.splitter
        if splitter is not None:
            splitter.discard_partial()
        gaps = StreamGaps()
        tail = StreamTail(counts_events=not head.is_framed)
        try:
            await self._relay_data(upstream, exchange, head, gaps, tail)
        finally:
            self._record_gaps(upstream, gaps)
        end = await self._judge_stream(upstream, head, tail)
        self._log_answer_end(
            upstream.name,
            upstream.address,
            head,
            end,
            tail.byte_count,
            tail.event_count,
        )
        if end.is_broken:
            raise ChannelError("body", upstream.address, end.reason, True)
        self._send_head(upstream, head)
        self._answer.finish(splitter.partial if splitter is not None else b"")
        return end

    def _send_head(self, upstream: Upstream, head: ResponseHead) -> None:
        if self._answer.is_for_front and not self._answer.has_started:
            # The other front is told one version, so it can't change after.
            self._search.software = upstream.software
        self._answer.send_head(head, upstream.software)

    async def _relay_data(
        self,
        upstream: Upstream,
        exchange: Exchange,
        head: ResponseHead,
        gaps: StreamGaps,
        tail: StreamTail,
    ) -> None:
        """Passes on the data of a stream and measures its gaps."""
        outcomes = self._front.chooser.outcomes
        splitter = self.splitter
        while data := await exchange.read_data():
            arrived_at = self._loop.time()
            outcomes.record_byte(upstream.name, arrived_at)
            tail.feed(data)
            if splitter is not None:
                data = self._split(splitter, data, upstream)
            if data:
                gaps.record_data(data, arrived_at)
                self._search.report_reading_ended(was_read=True)
                self._record_first_event()
                self._record_begun(data)
                self._send_head(upstream, head)
                if splitter is not None:
                    self._search.software = upstream.software
                await self._answer.send_data(data)
                if self._loop.time() - arrived_at > _SLOW_CLIENT_SECONDS:
                    gaps.restart()

    def _split(
        self, splitter: EventSplitter, data: bytes, upstream: Upstream
    ) -> bytes:
        """Returns the events that the data complete.

        Raises:
            ChannelError: the stream has no end of an event.
        """
        try:
            return splitter.feed(data)
        except EventTooLongError as error:
            raise ChannelError(
                "body", upstream.address, str(error), True
            ) from error

    # -- answers of other fronts ---------------------------------------

    async def read_from_front(
        self, answer: HopAnswer, head: ResponseHead
    ) -> bytes:
        """Returns the body of another front's answer.

        Args:
            answer: the answer.
            head: its head as an upstream sent it.

        Raises:
            ChannelError: the body was broken off.
        """
        body = await answer.exchange.read_rest()
        await self._check_front_end(
            answer, head, judge_body(head, body), len(body)
        )
        return body

    async def relay_from_front(
        self, answer: HopAnswer, head: ResponseHead, software: str | None
    ) -> None:
        """Passes on a stream that another front serves.

        Args:
            answer: the answer of that front.
            head: its head as an upstream sent it.
            software: the version that serves it there; None if unknown.

        Raises:
            ChannelError: the stream was broken off.
        """
        if head.is_framed:
            self._answer.send_head(head)
        tail = StreamTail(counts_events=not head.is_framed)
        while data := await answer.exchange.read_data():
            tail.feed(data)
            self._answer.send_head(head)
            self._search.software = software
            self.first_event_at = self.first_event_at or self._loop.time()
            await self._answer.send_data(data)
        # The other front may have sent it to a service whose streams have no
        # end mark.
        end = judge_stream(head, tail, expects_mark=False)
        await self._check_front_end(
            answer, head, end, tail.byte_count, tail.event_count
        )

    async def _check_front_end(
        self,
        answer: HopAnswer,
        head: ResponseHead,
        end: AnswerEnd,
        byte_count: int,
        event_count: int = 0,
    ) -> None:
        """Judges and logs the end of another front's answer.

        A front that is killed resets its connections, so an end that may be
        whole is what that front has judged. One of the previous release closes
        them in order.

        Raises:
            ChannelError: the answer was broken off.
        """
        peer = answer.front.address
        if end.is_unknown and not answer.resets_when_killed:
            links = self._front.links
            assert links is not None
            test = _accepts_connections(links.channels, peer)
            end = await self._check_sender(test, end)
        self._log_answer_end("", peer, head, end, byte_count, event_count)
        if end.is_broken:
            raise ChannelError("body", peer, end.reason, True)

    async def _judge_stream(
        self, upstream: Upstream, head: ResponseHead, tail: StreamTail
    ) -> AnswerEnd:
        """Judges the end of a stream that has been read to its end."""
        marked = self._front.marked_services
        end = judge_stream(head, tail, expects_mark=self.service in marked)
        if head.is_framed and end.is_whole:
            if tail.has_end_mark:
                marked.add(self.service)
            else:
                marked.discard(self.service)
        if not end.is_unknown:
            return end
        if self._answer.has_started and self._answer.is_framed:
            # An earlier upstream began the answer. To end its chunks would
            # claim that this upstream's part is whole.
            return attrs.evolve(end, completeness=Completeness.BROKEN)
        return await self._check_upstream(upstream, end)

    # -- what is recorded ----------------------------------------------

    def _log_answer_end(
        self,
        upstream: str,
        peer: str,
        head: ResponseHead,
        end: AnswerEnd,
        byte_count: int,
        event_count: int,
    ) -> None:
        """Logs the end of an answer unless its framing shows that it is whole.

        Answers that end by their framing are the rule; `request:end` alone
        tells of them.
        """
        if head.is_framed and end == WHOLE:
            return
        log_message(
            "request:answer_end",
            request=self._facts.request,
            upstream=upstream,
            peer=peer,
            ended_by="framing" if head.is_framed else "connection",
            completeness=end.completeness.value,
            reason=end.reason,
            bytes=byte_count,
            events=event_count,
        )

    def _record_gaps(self, upstream: Upstream, gaps: StreamGaps) -> None:
        calls = gaps.make_calls()
        if calls is not None:
            self._front.service_admission.record_calls(upstream.name, calls)

    def _record_begun(self, data: bytes) -> None:
        """Records that the upstream writes, once it has sent a whole event.

        A part of its first event may be all that it wrote before it ended.
        """
        if self.attempt_event_at or not find_last_end(data):
            return
        self.attempt_event_at = self._loop.time()
        self._front.quarantine.record_parts_answered(self._facts.shared_parts)

    def _record_first_event(self) -> None:
        """Records the time until the first event, once for the request."""
        if self.first_event_at:
            return
        now = self.first_event_at = self._loop.time()
        event_seconds = now - self.sent_at
        self._front.admission_control(self.service).record_first_event(
            event_seconds, now
        )
        tokens = self._facts.prompt_tokens
        self._front.prefill_rate(self.service).record(tokens, event_seconds)


async def _accepts_connections(
    channels: UpstreamChannels, address: str
) -> bool:
    """Whether connections to another front come up, as far as is known."""
    return (await channels.test(address)).may_accept


async def _run_later(test: Coroutine[Any, Any, bool], delay: float) -> bool:
    await asyncio.sleep(delay)
    return await test
