"""The promises, checked from what callers and upstreams saw."""

import attrs

from testing.soak.clients import PROMISES, UNSAFE, Told
from testing.soak.faults import Happened
from testing.soak.upstreams import Arrival, Ledger
from testing.soak.world import SoakWorld

_LEASE_SECONDS = 1.0
# An order that was on its way when its sender was paused may arrive after.
_THAW_SECONDS = 0.4
# How far from a fault a request must be so that planned work alone explains
# what became of it, in seconds.
_AFTERMATH = 3.0

# Ends after which a request is known to be harmful, and the seconds until all
# fronts in touch know it (the platform's bounds).
_ENDS_LEAST = 3
_CONTACT_SECONDS = 3.0


def count_late_arrivals(arrivals: list[Arrival]) -> int:
    """Returns how often a harmful request was sent on once it was known."""
    ends = [arrival.at for arrival in arrivals if arrival.ended]
    if len(ends) < _ENDS_LEAST:
        return 0
    known_at = ends[_ENDS_LEAST - 1] + _CONTACT_SECONDS
    return sum(arrival.at > known_at for arrival in arrivals)


@attrs.define
class Verdict:
    """What a seed showed.

    Attributes:
        requests: how many were sent.
        broken: each broken promise, by its kind.
    """

    seed: int
    requests: int = 0
    broken: dict[str, list[str]] = attrs.Factory(dict)

    def note(self, kind: str, detail: str) -> None:
        """Notes a broken promise."""
        self.broken.setdefault(kind, []).append(detail)

    def count(self, kind: str) -> int:
        """Returns how often a promise was broken."""
        return len(self.broken.get(kind, ()))


def judge(seed: int, world: SoakWorld, happened: list[Happened]) -> Verdict:
    """Checks everything that can be checked after the end."""
    verdict = Verdict(seed, len(world.told))
    for told in world.told:
        _judge_request(verdict, told, world.ledger.runs.get(told.request, 0))
        if _is_cut_by_plan(told, world.ledger, happened):
            verdict.note("cut", f"{told.request} at {told.front}")
    for line in world.reverted:
        verdict.note("reverted", line)
    _judge_orders(verdict, world)
    for upstream in world.upstreams:
        engine = getattr(upstream, "engine", None)
        if engine is not None and engine.fell:
            verdict.note("overfull", upstream.name)
    return verdict


def _judge_request(verdict: Verdict, told: Told, runs: int) -> None:
    if told.kind == UNSAFE and runs > 1:
        verdict.note("doubled", f"{told.request} ran {runs} times")
    if told.status in PROMISES and runs:
        verdict.note("false_not_run", f"{told.request}: {told.status}, ran")
    if not told.right:
        verdict.note("wrong", told.request)


def _is_cut_by_plan(
    told: Told, ledger: Ledger, happened: list[Happened]
) -> bool:
    """Whether planned work alone cut a request that was passed on."""
    if not told.cut or told.request not in ledger.runs:
        return False
    near = [
        fault
        for fault in happened
        if fault.began - 0.1 < told.ended and told.began < fault.ended + 1.0
    ]
    harmed = any(
        not fault.planned
        and fault.began - 0.1 < told.ended
        and told.began < fault.ended + _AFTERMATH
        for fault in happened
    )
    return bool(near) and not harmed


def _judge_orders(verdict: Verdict, world: SoakWorld) -> None:
    for engine, orders in world.ledger.orders.items():
        for before, after in zip(orders, orders[1:], strict=False):
            if before[0] == after[0]:
                continue
            if _was_paused(world, after):
                continue
            if after[1] <= before[1]:
                verdict.note("fencing", f"{engine}: {before} then {after}")
            elif after[2] - before[2] < _LEASE_SECONDS:
                verdict.note("two_holders", f"{engine}: {before} then {after}")


def _was_paused(world: SoakWorld, order: tuple[str, int, float]) -> bool:
    holder, _, at = order
    for vm in world.controls:
        if holder.startswith(f"{vm.ip}:"):
            thawed = world.paused_until.get(vm.name, float("-inf"))
            return 0.0 <= at - thawed < _THAW_SECONDS
    return False
