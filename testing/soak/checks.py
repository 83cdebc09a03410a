"""The promises, checked from what callers and upstreams saw."""

import bisect

import attrs

from testing.platform_world import (
    QUOTA_EXCESS,
    QUOTA_SLACK,
    QUOTA_WINDOW_SECONDS,
    REVOKE_SECONDS,
)
from testing.soak.clients import PROMISES, UNSAFE, Told
from testing.soak.faults import Happened
from testing.soak.keys import LIMIT, LIMITED, WITHIN
from testing.soak.limits import find_excess
from testing.soak.upstreams import Arrival, Heard, Ledger
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


# An upstream that asked for rest gets no more than this many requests from a
# front from half a second after it asked until the rest is over, and one that
# leaves none that came to a front two seconds after it had passed that on (the
# platform's bounds).
_SENDS_INTO_REST = 2
_REST_FROM_SECONDS = 0.5
_DRAIN_SECONDS = 2.0
_SENDS_WHEN_KNOWN = 3
# A refusal for so long is one of a request in quarantine.
_LONG_SECONDS = 600.0


# Seconds after a new key was acknowledged from which no front may say that
# there is none, however cut off it is: longer than a front may be sure for.
_KEY_KNOWN_SECONDS = 1.5
_UNKNOWN_KEY = 401
_BEYOND_QUOTA = 429


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
    for told in world.told:
        _judge_key(verdict, world, told)
    _judge_limit(verdict, world)
    _judge_orders(verdict, world)
    _judge_quarantine(verdict, world)
    for name, heard in world.ledger.heard.items():
        _judge_words(verdict, world, name, heard)
        _judge_named_limits(verdict, world, name, heard)
    for upstream in world.upstreams:
        engine = getattr(upstream, "engine", None)
        if engine is not None and engine.is_overfull:
            verdict.note("overfull", upstream.name)
    return verdict


def _judge_request(verdict: Verdict, told: Told, runs: int) -> None:
    if told.kind == UNSAFE and runs > 1:
        verdict.note("doubled", f"{told.request} ran {runs} times")
    if told.status in PROMISES and runs:
        verdict.note("false_not_run", f"{told.request}: {told.status}, ran")
    if not told.right:
        verdict.note("wrong", told.request)


def _judge_key(verdict: Verdict, world: SoakWorld, told: Told) -> None:
    """Checks that keys count while they are in force, and name a customer."""
    key = world.keys.keys.get(told.key)
    if key is None:
        return
    named = world.ledger.named.get(told.request)
    if named is not None:
        if named.customer != key.customer or named.knew_key:
            verdict.note("customer", f"{told.request}: {named}")
        if told.began > key.dropped_at + REVOKE_SECONDS:
            verdict.note("revoked", f"{told.request} at {told.front}: {key}")
    known_at = key.added_at + _KEY_KNOWN_SECONDS
    is_in_force = known_at < told.began and told.ended < key.dropped_from
    if told.status == _BEYOND_QUOTA and key.customer == WITHIN:
        verdict.note("refused_within", f"{told.request} at {told.front}")
    if told.status == _UNKNOWN_KEY and is_in_force:
        verdict.note("refused_key", f"{told.request} at {told.front}: {key}")


def _judge_limit(verdict: Verdict, world: SoakWorld) -> None:
    """Checks what ran of the limited customer in any window."""
    allowed = (QUOTA_WINDOW_SECONDS * LIMIT + LIMIT) * (1 + QUOTA_EXCESS)
    times = sorted(
        named.at
        for named in world.ledger.named.values()
        if named.customer == LIMITED
    )
    for first, at in enumerate(times):
        end = bisect.bisect_right(times, at + QUOTA_WINDOW_SECONDS)
        if end - first > allowed + QUOTA_SLACK:
            verdict.note("limit", f"{end - first} requests from {at:.2f} s on")
            return


def _is_cut_by_plan(
    told: Told, ledger: Ledger, happened: list[Happened]
) -> bool:
    """Whether planned work alone cut a request that was passed on.

    An upstream that ends under a harmful request cuts what else it serves.
    """
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
    ended = any(
        told.began <= arrival.at <= told.ended
        for arrivals in ledger.harmful.values()
        for arrival in arrivals
        if arrival.ended
    )
    return bool(near) and not harmed and not ended


def _judge_quarantine(verdict: Verdict, world: SoakWorld) -> None:
    """Checks that a harmful request is held back, and nothing else is."""
    for body, arrivals in world.ledger.harmful.items():
        late = count_late_arrivals(arrivals)
        if late > _SENDS_WHEN_KNOWN:
            verdict.note("harmful", f"{body!r}: {late} sends once known")
    for told in world.told:
        is_harmful = told.request.startswith("harmful")
        if told.after > _LONG_SECONDS and not is_harmful:
            verdict.note("shut_out", f"{told.request} at {told.front}")


def _judge_words(
    verdict: Verdict, world: SoakWorld, upstream: str, heard: Heard
) -> None:
    """Checks that an upstream got nothing that it had said it didn't want."""
    told = {t.request: t for t in world.told}
    arrivals = [(told[r], at) for r, at in heard.arrivals if r in told]
    for word in heard.words:
        if word.request not in told:
            continue
        answered = told[word.request]
        later = [
            (sent, at)
            for sent, at in arrivals
            if sent.front == answered.front
            and at > word.at
            and not _was_disturbed(world, sent.front, word.at, at)
        ]
        first, last = word.at + _REST_FROM_SECONDS, word.at + word.rest
        into = [sent for sent, at in later if first < at < last]
        if len(into) > _SENDS_INTO_REST:
            verdict.note("rest", f"{upstream}: {len(into)} from {word}")
        if not word.leaves or not answered.ended:
            continue
        known_at = answered.ended + _DRAIN_SECONDS
        after = [sent for sent, _ in later if sent.began > known_at]
        if after:
            verdict.note("leaving", f"{upstream}: {after[0].request}")


def _judge_named_limits(
    verdict: Verdict, world: SoakWorld, upstream: str, heard: Heard
) -> None:
    """Checks that an upstream got no more than it had named.

    Fronts that were disturbed since they were told don't count.
    """
    told = {t.request: t for t in world.told}

    def front_of(request: str) -> str:
        sent = told.get(request)
        if sent is None:
            return ""
        since = heard.limits[0][0] if heard.limits else 0.0
        is_disturbed = _was_disturbed(world, sent.front, since, sent.ended)
        return "" if is_disturbed else sent.front

    excess = find_excess(heard, front_of)
    if excess is not None:
        verdict.note("named_limit", f"{upstream}: {excess}")


def _was_disturbed(
    world: SoakWorld, vm: str, since: float, until: float
) -> bool:
    times = world.disturbed.get(vm, [])
    return any(since <= at <= until for at in times)


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
