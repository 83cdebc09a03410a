"""Checks of the system's guarantees against what callers and upstreams saw."""

import bisect

import attrs

from testing.platform_world import (
    QUOTA_EXCESS,
    QUOTA_SLACK,
    QUOTA_WINDOW_SECONDS,
    REVOKE_SECONDS,
)
from testing.soak.brittle import list_falls
from testing.soak.clients import NOT_RUN_STATUSES, UNSAFE, RequestOutcome
from testing.soak.faults import InjectedFault
from testing.soak.keys import COMPLIANT, LIMIT_PER_SECOND, LIMITED
from testing.soak.limits import find_excess
from testing.soak.moves import list_regressed
from testing.soak.parts import SOUND
from testing.soak.pressure import PressureRecord, check_pressure
from testing.soak.upstreams import Arrival, InstanceRecord, Ledger
from testing.soak.versions import list_mixed
from testing.soak.world import SoakWorld

_LEASE_SECONDS = 1.0
# An order that was in transit when its sender was paused may arrive up to this
# many seconds after the sender resumes.
_RESUME_SECONDS = 0.4
# A request that begins within this many seconds after an unplanned fault may
# have been cut by that fault rather than by planned work.
_AFTERMATH_SECONDS = 3.0

# Upstream crashes after which a request is known to be harmful, and the bound
# in seconds within which all fronts that can be reached learn of it.
_MIN_CRASHES = 3
_PROPAGATION_SECONDS = 3.0


def count_late_arrivals(arrivals: list[Arrival]) -> int:
    """Counts sends of a harmful request after all fronts must know of it."""
    crash_times = [arrival.at for arrival in arrivals if arrival.crashed]
    if len(crash_times) < _MIN_CRASHES:
        return 0
    known_at = crash_times[_MIN_CRASHES - 1] + _PROPAGATION_SECONDS
    return sum(arrival.at > known_at for arrival in arrivals)


# An upstream that sent Retry-After gets at most 2 requests from the front that
# it answered, counted from 0.5 s after the answer until the period ends. An
# upstream that announced that it is leaving gets no request that reaches that
# front more than 2 s after the front passed the announcing answer on.
_MAX_SENDS_DURING_RETRY_AFTER = 2
_RETRY_AFTER_GRACE_SECONDS = 0.5
_DRAIN_SECONDS = 2.0
# Upstream ends after which a part of prompts is known to be harmful.
_MIN_PART_ENDS = 5
# Late sends of a harmful request, or with a harmful part, that are allowed.
_MAX_SENDS_ONCE_KNOWN = 3


# From this many seconds after a new key was acknowledged no front may answer
# that the key is unknown, even if the front is partitioned: this is longer than
# a partitioned front may rely on the configuration that it holds.
_KEY_KNOWN_SECONDS = 1.5
_UNKNOWN_KEY_STATUS = 401
_OVER_QUOTA_STATUS = 429


# Streams of two software versions that are allowed: an upstream may start again
# under its name with other software before any process has heard of it.
_MAX_MIXED = 2


@attrs.define
class Verdict:
    """The result of running one seed.

    Attributes:
        seed: The seed that was run.
        requests: Number of requests that callers sent.
        violations: Details of each violated guarantee, by kind.
    """

    seed: int
    requests: int = 0
    violations: dict[str, list[str]] = attrs.Factory(dict)

    def record_violation(self, kind: str, detail: str) -> None:
        """Records one violation of a guarantee."""
        self.violations.setdefault(kind, []).append(detail)

    def count(self, kind: str) -> int:
        """Returns the number of violations of a kind."""
        return len(self.violations.get(kind, ()))


def judge(
    seed: int,
    world: SoakWorld,
    injected: list[InjectedFault],
    pressure: PressureRecord,
) -> Verdict:
    """Checks all guarantees that can be checked after the run.

    Args:
        seed: The seed that was run.
        world: The deployment, with what its callers and upstreams recorded.
        injected: The faults that were injected.
        pressure: What the pressure on the deployment did.

    Returns:
        The violations that were found.
    """
    verdict = Verdict(seed, len(world.outcomes))
    for outcome in world.outcomes:
        _check_request(
            verdict, outcome, world.ledger.runs.get(outcome.request, 0)
        )
        if _is_cut_by_planned_fault(outcome, world.ledger, injected):
            verdict.record_violation(
                "cut", f"{outcome.request} at {outcome.front}"
            )
    for line in world.reverted:
        verdict.record_violation("reverted", line)
    for line in list_regressed(world):
        verdict.record_violation("regressed", line)
    for outcome in world.outcomes:
        _check_key(verdict, world, outcome)
    _check_customer_limit(verdict, world)
    pressure.crowded |= world.ledger.crowded
    check_pressure(pressure, world.outcomes, verdict.record_violation)
    _check_orders(verdict, world)
    _check_quarantine(verdict, world, pressure)
    _check_services_of_some_seeds(verdict, world, pressure)
    for name, record in world.ledger.instances.items():
        _check_announcements(verdict, world, name, record)
        _check_upstream_limits(verdict, world, name, record)
    for upstream in world.upstreams:
        engine = getattr(upstream, "engine", None)
        if engine is not None and engine.is_overfull:
            verdict.record_violation("overfull", upstream.name)
    return verdict


def _check_services_of_some_seeds(
    verdict: Verdict, world: SoakWorld, pressure: PressureRecord
) -> None:
    """Checks versions, brittle upstreams and harmful parts."""
    mixed = list_mixed(world.streams)
    if len(mixed) > _MAX_MIXED:
        verdict.violations["mixed"] = mixed
    for line in list_falls(world):
        verdict.record_violation("fell", line)
    _check_harmful_parts(verdict, world)
    for request in sorted(pressure.quarantined):
        if request.startswith(SOUND):
            verdict.record_violation("shut_out", request)


def _check_harmful_parts(verdict: Verdict, world: SoakWorld) -> None:
    """Checks that few requests with a harmful part are sent once it is known.

    Sends of a front that a fault has hit since the first end don't count.
    """
    if not world.parts_upstreams:
        return
    ledger = world.parts_upstreams[0].parts_ledger
    if len(ledger.ends) < _MIN_PART_ENDS:
        return
    known_at = ledger.ends[_MIN_PART_ENDS - 1] + _PROPAGATION_SECONDS
    fronts = {vm.ip: vm.name for vm in world.fronts}
    fronts |= {links.source: name for name, links in world.links.items()}
    late = [
        f"{at:.2f} s from {fronts.get(sender, sender)}"
        for at, sender in ledger.harmful_sends
        if at > known_at
        and not _was_disturbed(
            world, fronts.get(sender, ""), ledger.ends[0], at
        )
    ]
    if len(late) > _MAX_SENDS_ONCE_KNOWN:
        verdict.violations["part"] = late


def _check_request(
    verdict: Verdict, outcome: RequestOutcome, runs: int
) -> None:
    if outcome.kind == UNSAFE and runs > 1:
        verdict.record_violation(
            "doubled", f"{outcome.request} ran {runs} times"
        )
    if outcome.status in NOT_RUN_STATUSES and runs:
        verdict.record_violation(
            "false_not_run", f"{outcome.request}: {outcome.status}, ran"
        )
    if not outcome.is_correct:
        verdict.record_violation("wrong", outcome.request)


def _check_key(
    verdict: Verdict, world: SoakWorld, outcome: RequestOutcome
) -> None:
    """Checks that a key works only while valid, and for its own customer.

    An upstream must be told the key's customer and must never see the key.
    """
    key = world.keys.keys.get(outcome.key)
    if key is None:
        return
    identity = world.ledger.identities.get(outcome.request)
    if identity is not None:
        if identity.customer != key.customer or identity.received_key:
            verdict.record_violation(
                "customer", f"{outcome.request}: {identity}"
            )
        if outcome.began > key.removed_at + REVOKE_SECONDS:
            verdict.record_violation(
                "revoked", f"{outcome.request} at {outcome.front}: {key}"
            )
    known_at = key.added_at + _KEY_KNOWN_SECONDS
    is_in_force = (
        known_at < outcome.began and outcome.ended < key.removal_sent_at
    )
    if outcome.status == _OVER_QUOTA_STATUS and key.customer == COMPLIANT:
        verdict.record_violation(
            "refused_within", f"{outcome.request} at {outcome.front}"
        )
    if outcome.status == _UNKNOWN_KEY_STATUS and is_in_force:
        verdict.record_violation(
            "refused_key", f"{outcome.request} at {outcome.front}: {key}"
        )


def _check_customer_limit(verdict: Verdict, world: SoakWorld) -> None:
    """Checks the limited customer's requests in every quota window."""
    allowed = (QUOTA_WINDOW_SECONDS * LIMIT_PER_SECOND + LIMIT_PER_SECOND) * (
        1 + QUOTA_EXCESS
    )
    times = sorted(
        identity.at
        for identity in world.ledger.identities.values()
        if identity.customer == LIMITED
    )
    for first, at in enumerate(times):
        end = bisect.bisect_right(times, at + QUOTA_WINDOW_SECONDS)
        if end - first > allowed + QUOTA_SLACK:
            verdict.record_violation(
                "limit", f"{end - first} requests from {at:.2f} s on"
            )
            return


def _is_cut_by_planned_fault(
    outcome: RequestOutcome, ledger: Ledger, injected: list[InjectedFault]
) -> bool:
    """Returns whether only planned work explains a request's cut connection.

    Only requests that an upstream ran are considered. A harmful request that
    crashes an upstream also cuts the other requests there, so a cut during such
    a crash doesn't count as planned.
    """
    if not outcome.cut or outcome.request not in ledger.runs:
        return False
    if outcome.request in ledger.broken_off:
        return False
    nearby = [
        fault
        for fault in injected
        if fault.began - 0.1 < outcome.ended
        and outcome.began < fault.ended + 1.0
    ]
    has_unplanned_fault = any(
        not fault.planned
        and fault.began - 0.1 < outcome.ended
        and outcome.began < fault.ended + _AFTERMATH_SECONDS
        for fault in injected
    )
    has_crash = any(
        outcome.began <= arrival.at <= outcome.ended
        for arrivals in ledger.harmful.values()
        for arrival in arrivals
        if arrival.crashed
    )
    return bool(nearby) and not has_unplanned_fault and not has_crash


def _check_quarantine(
    verdict: Verdict, world: SoakWorld, pressure: PressureRecord
) -> None:
    """Checks that harmful requests, and only those, are quarantined."""
    for body, arrivals in world.ledger.harmful.items():
        late = count_late_arrivals(arrivals)
        if late > _MAX_SENDS_ONCE_KNOWN:
            verdict.record_violation(
                "harmful", f"{body!r}: {late} sends once known"
            )
    for outcome in world.outcomes:
        is_harmful = outcome.request.startswith("harmful")
        if outcome.request in pressure.quarantined and not is_harmful:
            verdict.record_violation(
                "shut_out", f"{outcome.request} at {outcome.front}"
            )


def _find_sender(
    world: SoakWorld, record: InstanceRecord, outcome: RequestOutcome
) -> str:
    """Returns the front that sent a request to an upstream.

    It isn't the front that the caller asked if that one is cut off.

    Returns:
        The name; empty if several fronts may have sent it.
    """
    host = record.senders.get(outcome.request)
    linked = {links.source: name for name, links in world.links.items()}
    if host is None or host in linked:
        return linked.get(host or "", outcome.front)
    if outcome.front not in world.links:
        return outcome.front
    unlinked = [vm.name for vm in world.fronts if vm.name not in world.links]
    return unlinked[0] if len(unlinked) == 1 else ""


def _check_announcements(
    verdict: Verdict, world: SoakWorld, upstream: str, record: InstanceRecord
) -> None:
    """Checks that fronts obey an upstream's Retry-After and Server-Leaving.

    A front that was disturbed after it received the announcement is excluded,
    as it may have lost what it was told. So is one that got no answers then.
    """
    outcomes = {t.request: t for t in world.outcomes}
    arrivals = [
        (outcomes[r], _find_sender(world, record, outcomes[r]), at)
        for r, at in record.arrivals
        if r in outcomes
    ]
    for announcement in record.announcements:
        if announcement.request not in outcomes:
            continue
        answered = outcomes[announcement.request]
        front = _find_sender(world, record, answered)
        if not front or (
            front in world.links
            and world.links[front].is_muted(announcement.at)
        ):
            continue
        later = [
            (sent, at)
            for sent, sender, at in arrivals
            if sender == front
            and at > announcement.at
            and not _was_disturbed(world, front, announcement.at, at)
        ]
        begin, end = (
            announcement.at + _RETRY_AFTER_GRACE_SECONDS,
            announcement.at + announcement.retry_after,
        )
        early = [sent for sent, at in later if begin < at < end]
        if len(early) > _MAX_SENDS_DURING_RETRY_AFTER:
            verdict.record_violation(
                "rest", f"{upstream}: {len(early)} from {announcement}"
            )
        if not announcement.is_leaving or not answered.ended:
            continue
        known_at = answered.ended + _DRAIN_SECONDS
        after = [sent for sent, _ in later if sent.began > known_at]
        if after:
            verdict.record_violation(
                "leaving", f"{upstream}: {after[0].request}"
            )


def _check_upstream_limits(
    verdict: Verdict, world: SoakWorld, upstream: str, record: InstanceRecord
) -> None:
    """Checks that an upstream got no more requests than its limit allows.

    Requests through a front that was disturbed after the upstream announced its
    first limit are not counted.
    """
    outcomes = {t.request: t for t in world.outcomes}

    def front_of(request: str) -> str:
        sent = outcomes.get(request)
        if sent is None:
            return ""
        since = record.limits[0][0] if record.limits else 0.0
        # Whichever front sent it, it counts towards the limit.
        front = _find_sender(world, record, sent) or "another front"
        is_disturbed = _was_disturbed(world, front, since, sent.ended)
        return "" if is_disturbed else front

    excess = find_excess(record, front_of)
    if excess is not None:
        verdict.record_violation("named_limit", f"{upstream}: {excess}")


def _was_disturbed(
    world: SoakWorld, vm: str, since: float, until: float
) -> bool:
    """Returns whether a fault hit a VM, or ended, between two times."""
    times = world.disturbed.get(vm, [])
    return any(since <= at <= until for at in times)


def _check_orders(verdict: Verdict, world: SoakWorld) -> None:
    """Checks that each engine has one holder per lease and rising tokens.

    When the holder changes, the fencing token must rise and at least one lease
    must pass between the two holders' orders.
    """
    for engine, orders in world.ledger.orders.items():
        for before, after in zip(orders, orders[1:], strict=False):
            if before[0] == after[0]:
                continue
            if _was_paused(world, after):
                continue
            if after[1] <= before[1]:
                verdict.record_violation(
                    "fencing", f"{engine}: {before} then {after}"
                )
            elif after[2] - before[2] < _LEASE_SECONDS:
                verdict.record_violation(
                    "two_holders", f"{engine}: {before} then {after}"
                )


def _was_paused(world: SoakWorld, order: tuple[str, int, float]) -> bool:
    """Returns whether an order arrived just after its sender resumed."""
    holder, _, at = order
    for vm in world.controls:
        if holder.startswith(f"{vm.ip}:"):
            resumed_at = world.paused_until.get(vm.name, float("-inf"))
            return 0.0 <= at - resumed_at < _RESUME_SECONDS
    return False
