"""An entry node's side of admission: which owner is asked, and when again."""

import asyncio
from collections.abc import Callable, Set
from typing import Any

import attrs
from result import Err, Ok, Result

from ridgesill.core.calls import (
    DRAINING,
    STALE,
    Admission,
    Call,
    Refusal,
    Target,
)
from ridgesill.core.membership import pool_name, pool_parts
from ridgesill.core.pool.hints import PoolHints
from ridgesill.core.pool.messages import (
    FINE,
    NO_RUNNER,
    NOT_OWNER,
    Admit,
    Digest,
    Finished,
    Granted,
    Holding,
    Pin,
    Refused,
)
from ridgesill.core.routing import RetryBudget, rank_pools
from ridgesill.core.state import State
from ridgesill.core.targets import find_target
from ridgesill.ports.peers import PeerError, Peers

_ASK_AGAIN = 0.25
_ANSWER_MARGIN = 0.5
_HOLDING_EVERY = 1.0
# How long a pool that lost its owner is taken to be between two, in seconds:
# an election takes up to two, a new leader listens for four by default, and
# the only node that hears the pool's runners may be starting again meanwhile.
_HANDOVER_SECONDS = 10.0


@attrs.frozen
class StateView:
    """How admission reads the control plane.

    Attributes:
        state: returns the state as applied here.
        is_fresh: returns whether it may be relied on now.
        is_draining: returns whether this node takes no new work.
    """

    state: Callable[[], State]
    is_fresh: Callable[[], bool]
    is_draining: Callable[[], bool]


class Entry:
    """Admits calls and keeps what they were granted.

    Args:
        node: this node, as name#incarnation.
        view: the control plane.
        peers: sends messages to other nodes.
    """

    def __init__(self, node: str, view: StateView, peers: Peers) -> None:
        self.hints: dict[str, PoolHints] = {}
        self.retries = RetryBudget()
        self._node = node
        self._view = view
        self._peers = peers
        self._held: dict[str, Admission] = {}
        self._epochs: dict[str, int] = {}
        self._owned: set[str] = set()
        # When pools lost their owner, on the loop's clock.
        self._vacant_since: dict[str, float] = {}
        self._loop = asyncio.get_running_loop()

    @property
    def grant_count(self) -> int:
        """How many grants this node holds."""
        return len(self._held)

    def apply_digest(self, digest: Digest) -> None:
        """Takes an owner's hints."""
        self.hints.setdefault(digest.pool, PoolHints()).apply_digest(digest)

    def check(self, call: Call) -> Result[Target, Refusal]:
        """Checks a call against the configuration in force."""
        if self._view.is_draining():
            return Err(Refusal(DRAINING, "this node is stopping", 1.0))
        if not self._view.is_fresh():
            # It can't know whether a place has been withdrawn
            # (docs/design/staleness.md).
            detail = "this node can't confirm the configuration in force"
            return Err(Refusal(STALE, detail, 2.0))
        return find_target(call, self._view.state().table)

    async def admit(
        self, call: Call, avoid: tuple[str, ...] = ()
    ) -> Result[Admission, Refusal]:
        """Returns a runner for a call, or why there is none.

        Args:
            call: the request.
            avoid: runners that have just failed it.
        """
        deadline = self._loop.time() + call.patience
        while True:
            checked = self.check(call)
            if isinstance(checked, Err):
                return checked
            target = checked.ok_value
            outcome = await self._ask_pools(call, target, avoid, deadline)
            if isinstance(outcome, Ok):
                return outcome
            refusal = outcome.err_value
            left = deadline - self._loop.time()
            if refusal.reason != NOT_OWNER or left <= _ASK_AGAIN:
                return Err(_final(refusal))
            await asyncio.sleep(_ASK_AGAIN)

    def finish(self, admission: Admission, verdict: str = FINE) -> None:
        """Ends a grant."""
        if self._held.pop(admission.request, None) is None:
            return
        message = Finished(admission.request, admission.pool, verdict)
        self._send_owner(admission.pool, message)

    def apply_owners(self) -> None:
        """Takes in who owns which pool.

        New owners are told at once what this node holds of their pools.
        """
        owners = self._view.state().owners
        self._note_vacant(owners.keys())
        pools = {held.pool for held in self._held.values()}
        epochs = {p: owners[p].epoch for p in pools if p in owners}
        if any(self._epochs.get(p) != epoch for p, epoch in epochs.items()):
            self.send_holdings(set())
        self._epochs = epochs

    def _note_vacant(self, owned: Set[str]) -> None:
        if owned == self._owned:
            # As after nearly all that is applied, keyed requests among it.
            return
        now = self._loop.time()
        for pool in self._owned - owned:
            self._vacant_since[pool] = now
        self._owned = set(owned)
        self._vacant_since = {
            pool: since
            for pool, since in self._vacant_since.items()
            if pool not in owned and now - since < _HANDOVER_SECONDS
        }

    def _is_handed_over(self, pool: str) -> bool:
        """Whether a pool without an owner will soon have its next one."""
        since = self._vacant_since.get(pool, float("-inf"))
        return self._loop.time() - since < _HANDOVER_SECONDS

    async def report_holdings(self) -> None:
        """Tells each owner regularly what this node holds of its pool."""
        before: set[str] = set()
        while True:
            await asyncio.sleep(_HOLDING_EVERY)
            before = self.send_holdings(before)

    def send_holdings(self, before: set[str]) -> set[str]:
        """Sends what is held; pools held before get a last, empty one."""
        pins: dict[str, list[Pin]] = {pool: [] for pool in before}
        for held in self._held.values():
            pin = Pin(
                held.request,
                held.runner,
                held.incarnation,
                held.adapter,
                held.team,
            )
            pins.setdefault(held.pool, []).append(pin)
        for pool, listed in pins.items():
            self._send_owner(pool, Holding(self._node, pool, tuple(listed)))
        return {pool for pool, listed in pins.items() if listed}

    async def _ask_pools(
        self,
        call: Call,
        target: Target,
        avoid: tuple[str, ...],
        deadline: float,
    ) -> Result[Admission, Refusal]:
        candidates = self._pools(target)
        if not candidates:
            detail = "no runner of it stands in an allowed data centre"
            return Err(Refusal(NO_RUNNER, detail, 2.0, target.team))
        key = target.adapter or call.request
        refusals = []
        for pool in rank_pools(key, candidates, self.hints):
            outcome = await self._ask(call, target, pool, avoid, deadline)
            if isinstance(outcome, Ok):
                return outcome
            refusals.append(outcome.err_value)
        return Err(min(refusals, key=_soonest))

    def _pools(self, target: Target) -> list[str]:
        """Returns the pools that can admit it, now or when handed over.

        Without the second, 8 of 104 requests were refused while three nodes
        were restarted in turn under load; with it none of 304.
        """
        owners = self._view.state().owners
        pools = [pool_name(place, target.service) for place in target.places]
        return [p for p in pools if p in owners or self._is_handed_over(p)]

    async def _ask(
        self,
        call: Call,
        target: Target,
        pool: str,
        avoid: tuple[str, ...],
        deadline: float,
    ) -> Result[Admission, Refusal]:
        address = self._owner_address(pool)
        left = deadline - self._loop.time()
        if not address or left <= 0:
            return Err(Refusal(NOT_OWNER, f"{pool} has no owner", 2.0))
        admit = Admit(
            call.request,
            self._node,
            pool,
            target.adapter,
            target.team,
            call.priority,
            left,
            target.weight,
            avoid,
        )
        try:
            answer = await self._peers.call(
                address, admit, left + _ANSWER_MARGIN
            )
        except PeerError as error:
            # The owner may have granted it; it hears that this was for
            # nothing, and nothing was sent to a runner.
            self._send_owner(pool, Finished(call.request, pool))
            return Err(Refusal(NOT_OWNER, str(error), 2.0, target.team))
        except asyncio.CancelledError:
            self._send_owner(pool, Finished(call.request, pool))
            raise
        return self._take_answer(answer, target, pool)

    def _take_answer(
        self, answer: Any, target: Target, pool: str
    ) -> Result[Admission, Refusal]:
        if isinstance(answer, Refused):
            detail = f"{pool}: {answer.reason}"
            return Err(
                Refusal(answer.reason, detail, answer.retry_after, target.team)
            )
        if not isinstance(answer, Granted):
            raise TypeError(f"unexpected answer {type(answer).__name__}")
        return self._hold(answer, target, pool)

    def _hold(
        self, granted: Granted, target: Target, pool: str
    ) -> Result[Admission, Refusal]:
        data_centre, _ = pool_parts(pool)
        admission = Admission(
            granted.request,
            pool,
            granted.runner,
            granted.address,
            granted.incarnation,
            data_centre,
            target.adapter,
            target.team,
            target.service,
            granted.waited,
            granted.stalled,
            granted.batch,
        )
        self._held[granted.request] = admission
        if not self._view.is_fresh():
            # Long enough went by for the place to have been withdrawn.
            self.finish(admission)
            return Err(Refusal(STALE, "freshness was lost while waiting", 2.0))
        return Ok(admission)

    def _owner_address(self, pool: str) -> str:
        state = self._view.state()
        owner = state.owners.get(pool)
        node = state.nodes.get(owner.node) if owner else None
        return node.address if node else ""

    def _send_owner(self, pool: str, message: Any) -> None:
        address = self._owner_address(pool)
        if address:
            self._peers.send(address, message)


def _soonest(refusal: Refusal) -> tuple[bool, float]:
    # One that a new owner may soon lift is worth asking again about.
    return (refusal.reason != NOT_OWNER, refusal.retry_after)


def _final(refusal: Refusal) -> Refusal:
    if refusal.reason != NOT_OWNER:
        return refusal
    return attrs.evolve(
        refusal, reason=NO_RUNNER, retry_after=max(refusal.retry_after, 1.0)
    )
