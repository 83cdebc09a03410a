"""Sends a request on to a front that can reach the upstreams."""

import asyncio
from collections.abc import Callable

import attrs
from eliot import log_message

from ridgesill.adapters.http1.client import Exchange
from ridgesill.app.front import FrontLinks
from ridgesill.core.commands import Node
from ridgesill.ports.dialect import AppliedState, FrontOptions
from ridgesill.ports.http import ChannelError, HttpRequest, ResponseHead

# Fronts that one request is sent to, at most.
MAX_FRONTS = 10
# Reasons of a front that has an older or a newer configuration than the front
# that asks it.
BEHIND = "behind"
AHEAD = "ahead"
# A channel that was idle for longer isn't used: the front may just have closed
# it, and a request that isn't idempotent would be lost.
_MAX_IDLE_SECONDS = 3.0
# A front whose answer begins later than this may have as little way to the
# upstreams as this one, and isn't asked for a while, in seconds.
_SLOW_SECONDS = 1.0


@attrs.frozen
class HopAnswer:
    """The answer of another front, of which the head has been read.

    Attributes:
        front: the front that answers.
        exchange: reads the body.
        head: the head of the answer.
        resets_when_killed: whether the connection is reset if that front ends
            before the answer. A front of the previous release, which doesn't
            say what it has applied, closes it in order.
    """

    front: Node
    exchange: Exchange
    head: ResponseHead
    resets_when_killed: bool = True


class FrontHop:
    """Finds a front that serves one request on behalf of this one.

    A front that can't help says so at once, and the request has not run there.
    Any other answer is final: that front decided by the configuration that this
    one has.

    Args:
        links: the way to other fronts.
        request: as the client sent it.
        options: what has changed since; `send` sets the time that is left, and
            what is applied here.
        name: id of the request, for the log.
        get_applied: returns what this front has applied.

    Attributes:
        may_have_run: whether a front got the request and broke off.
        is_pending: whether a front has the request and hasn't sent it back.
        newer_version: oldest version of the fronts that are ahead of this one,
            so that their answers would show what this one's next answers take
            back; 0 if none is.
    """

    def __init__(
        self,
        links: FrontLinks,
        request: HttpRequest,
        options: FrontOptions,
        name: str,
        get_applied: Callable[[], AppliedState],
    ) -> None:
        self.may_have_run = False
        self.is_pending = False
        self.newer_version = 0
        self._links = links
        self._request = request
        self._options = options
        self._name = name
        self._get_applied = get_applied
        self._loop = asyncio.get_running_loop()
        self._asked: list[str] = []
        self._ahead: set[str] = set()

    async def send(
        self, deadline: float, is_repeatable: Callable[[], bool]
    ) -> HopAnswer | None:
        """Returns the answer of a front, or None if nobody can help.

        Fronts that are ahead are asked again by a later call. The caller must
        read the answer or cancel it, and then call `end`.

        Args:
            deadline: of the request, on the loop's clock.
            is_repeatable: returns whether the request may run twice, by the
                configuration in force here.
        """
        peers = self._links.fronts
        self.newer_version = 0
        self._asked = [name for name in self._asked if name not in self._ahead]
        self._ahead.clear()
        while len(self._asked) < MAX_FRONTS:
            if self.may_have_run and not is_repeatable():
                return None
            peer = peers.choose(self._asked, self._loop.time())
            if peer is None:
                return None
            self._asked.append(peer.name)
            peers.record_start(peer.name)
            asked_at = self._loop.time()
            answer = None
            try:
                answer = await self._ask(peer, deadline)
            finally:
                if answer is None:
                    peers.record_end(peer.name)
            if answer is not None:
                if self._loop.time() - asked_at > _SLOW_SECONDS:
                    peers.record_refusal(peer, self._loop.time())
                else:
                    peers.record_help(peer)
                return answer
            if peer.name not in self._ahead:
                peers.record_refusal(peer, self._loop.time())
        return None

    def _record_ahead(
        self, peer: Node, ours: AppliedState, theirs: AppliedState | None
    ) -> None:
        """Records that a front can help once this one has its version."""
        if theirs is None or theirs.version <= ours.version:
            # Waiting for it would end at once, and it would be asked for ever.
            return
        self._ahead.add(peer.name)
        versions = (self.newer_version or theirs.version, theirs.version)
        self.newer_version = min(versions)

    def end(self, answer: HopAnswer) -> None:
        """Ends an exchange, which may have been read in part."""
        answer.exchange.cancel()
        self._links.fronts.record_end(answer.front.name)

    async def _ask(self, peer: Node, deadline: float) -> HopAnswer | None:
        """Returns the answer of a front, or None if it can't help."""
        dialect = self._links.dialect
        exchange: Exchange | None = None
        seconds_left = deadline - self._loop.time()
        applied = self._get_applied()
        options = attrs.evolve(
            self._options, seconds_left=seconds_left, applied=applied
        )
        theirs: AppliedState | None = None
        try:
            exchange = await self._links.channels.send(
                peer.address,
                dialect.write_front_request(self._request, options),
                max_idle_seconds=_MAX_IDLE_SECONDS,
            )
            self.is_pending = True
            head = await exchange.read_head()
            theirs = dialect.read_applied(head.headers)
            reason = dialect.read_front_refusal(head)
            if not reason:
                answer = HopAnswer(peer, exchange, head, theirs is not None)
                exchange = None
                return answer
            self.is_pending = False
            if reason == AHEAD:
                self._record_ahead(peer, applied, theirs)
            await exchange.discard_rest()
        except ChannelError as error:
            self.may_have_run |= self.is_pending
            self.is_pending = False
            reason = str(error)
        finally:
            if exchange is not None:
                exchange.cancel()
        log_message(
            "request:front_refused",
            request=self._name,
            peer=peer.address,
            reason=reason,
            version=applied.version,
            peer_version=theirs.version if theirs else 0,
        )
        return None
