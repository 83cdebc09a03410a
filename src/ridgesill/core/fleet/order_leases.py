"""Which VM delivers the orders to each engine, and when that may change.

Load pattern: the leader of the log is lost or cut off a few times a day. When
the leader delivered all orders itself, nothing was loaded until its lease had
expired after 3.8 seconds, and a tenth of the requests in that time were
refused. Therefore other VMs deliver the orders, for each engine the VM that
holds its order lease. A new leader continues with the same holders at once, and
the loss of a holder stops only the loads of its own engines.

A holder delivers an order only if the order is fresh. Each holder sends stamps
of its own clock to the leader, and each order carries the newest stamp that the
leader has received from the holder. The leader therefore knows, without
comparing clocks, until when a holder that has become silent may still deliver
orders.
"""

from collections.abc import Callable, Collection, Iterable, Mapping

import attrs

from ridgesill.core.state import Owner

# Prefix of the names under which the log records order leases. The log treats
# each engine's orders as a pool.
ORDER_POOL_PREFIX = "orders/"
# Greatest age of a stamp when its holder delivers an order, in seconds. This is
# five times the interval between stamps, so that lost packets do not stop a
# holder. A longer lifetime only delays the takeover by another holder.
STAMP_LIFETIME_SECONDS = 0.5
# Interval at which holders send stamps, in seconds.
STAMP_INTERVAL_SECONDS = 0.1
# A leader uses a holder only if it has received a stamp from it within this
# time, in seconds. The rest of the stamp's lifetime is left for the order to
# travel.
_HOLDER_TIMEOUT_SECONDS = 0.35
# Time for an order that is already on its way, in seconds. It is added to the
# lease of a silent holder.
_TRANSIT_MARGIN_SECONDS = 0.15
# How long a new leader collects stamps before it grants leases that nobody
# holds, in seconds. Otherwise the VM whose stamp arrives first would get all of
# them.
_DISCOVERY_SECONDS = 0.5


@attrs.frozen
class EngineLocation:
    """Where an engine is reached and in which data centre it runs.

    Attributes:
        address: host:port of the engine.
        data_centre: the name of the data centre.
    """

    address: str
    data_centre: str


@attrs.frozen
class LeaseGrant:
    """An order lease to be granted.

    Attributes:
        address: the address of the engine, as host:port.
        node: the node that is to deliver orders to it.
    """

    address: str
    node: str


@attrs.frozen
class LeaseHolder:
    """A VM that may deliver orders to an engine.

    Attributes:
        name: the name of the node, which is its address.
        token: the fencing token of the lease.
        stamp: the newest stamp received from the holder, in seconds on the
            holder's own clock.
    """

    name: str
    token: int
    stamp: float


@attrs.define
class _ReceivedStamp:
    """The newest stamp of a VM and when it arrived.

    Attributes:
        stamp: the stamp, in seconds on the VM's own clock.
        received_at: when it arrived, in seconds on the leader's clock.
        data_centre: the data centre in which the VM runs.
    """

    stamp: float
    received_at: float
    data_centre: str


class OrderLeases:
    """A leader's view of the VMs that hold order leases.

    Args:
        lease: the time within which no two VMs may both send orders to the same
            engine, in seconds.
    """

    def __init__(self, lease: float) -> None:
        # Time from the last stamp of a silent holder until another VM may
        # order: the lifetime of the stamp, the lease, and the transit of an
        # order.
        self._reassign_after_seconds = (
            STAMP_LIFETIME_SECONDS + lease + _TRANSIT_MARGIN_SECONDS
        )
        self._stamps: dict[str, _ReceivedStamp] = {}
        # The VM last used for each address, and when it was used.
        self._last_uses: dict[str, tuple[str, float]] = {}
        self._began_at = 0.0
        self._predecessor_until = float("-inf")

    def begin(self, now: float, predecessor_until: float) -> None:
        """Starts a term of leadership.

        Args:
            now: the leader's clock, in seconds.
            predecessor_until: until when an earlier leader may have sent orders
                to holders, in seconds.
        """
        self._stamps.clear()
        self._last_uses.clear()
        self._began_at = now
        self._predecessor_until = predecessor_until

    def record_stamp(
        self, name: str, stamp: float, data_centre: str, now: float
    ) -> None:
        """Records a stamp received from a VM that can hold leases."""
        self._stamps[name] = _ReceivedStamp(stamp, now, data_centre)

    def is_reachable(self, name: str, now: float) -> bool:
        """Returns whether orders can be sent through a VM now."""
        received = self._stamps.get(name)
        return (
            received is not None
            and now - received.received_at <= _HOLDER_TIMEOUT_SECONDS
        )

    def find_holder(
        self, address: str, owners: Mapping[str, Owner], now: float
    ) -> LeaseHolder | None:
        """Returns the VM that may deliver orders to an engine now, if any.

        Args:
            address: the address of the engine.
            owners: the lease holders that the log records, by pool name.
            now: the leader's clock, in seconds.
        """
        owner = owners.get(ORDER_POOL_PREFIX + address)
        if owner is None or not self.is_reachable(owner.node, now):
            return None
        if now < self._blocked_until(address, owner.node):
            return None
        stamp = self._stamps[owner.node].stamp
        return LeaseHolder(owner.node, owner.epoch, stamp)

    def record_use(self, address: str, name: str, now: float) -> None:
        """Records that an order is sent to an address through a VM."""
        self._last_uses[address] = (name, now)

    def _blocked_until(self, address: str, name: str) -> float:
        """Returns until when another VM's last order blocks orders by this one.

        A grant that was proposed while the previous holder was silent may be
        applied after that holder was heard from and used again.
        """
        last_holder, at = self._last_uses.get(address, (name, 0.0))
        if last_holder == name:
            return float("-inf")
        return at + self._reassign_after_seconds

    @property
    def delivered_until(self) -> float:
        """Until when orders of an earlier leader may have been delivered."""
        return self._predecessor_until + STAMP_LIFETIME_SECONDS

    def reassignable_from(self, name: str) -> float:
        """Returns when the leases of a silent VM may go to another VM.

        An earlier leader that does not yet know that it no longer leads may
        have sent orders through the VM after the VM's last stamp to this
        leader.
        """
        received = self._stamps.get(name)
        silent_from = self._predecessor_until
        if received is not None:
            silent_from = max(silent_from, received.received_at)
        return silent_from + self._reassign_after_seconds

    def orders_possible_from(
        self,
        addresses: Iterable[str],
        owners: Mapping[str, Owner],
        now: float,
    ) -> float:
        """Returns when at least one of the engines can be sent an order.

        Returns minus infinity if that is so already; the time of the call may
        have passed by the time the caller compares it with its clock.

        Args:
            addresses: the addresses of the engines.
            owners: the lease holders that the log records, by pool name.
            now: the leader's clock, in seconds.
        """
        times = [float("inf")]
        for address in addresses:
            owner = owners.get(ORDER_POOL_PREFIX + address)
            if owner is None:
                times.append(max(self._began_at + _DISCOVERY_SECONDS, now))
            elif self.find_holder(address, owners, now) is not None:
                return float("-inf")
            else:
                times.append(max(self.reassignable_from(owner.node), now))
        # A holder that has not been heard from yet usually sends a stamp within
        # one interval.
        if now < self._began_at + _DISCOVERY_SECONDS:
            times.append(self._began_at + _DISCOVERY_SECONDS)
        return min(times)

    def choose_grants(
        self,
        locations: Iterable[EngineLocation],
        owners: Mapping[str, Owner],
        leader: str,
        now: float,
    ) -> list[LeaseGrant]:
        """Returns the leases to grant.

        A lease is granted if nobody holds it, or if its holder is silent and
        the lease has expired. The leader gets leases only if no other VM can
        hold them: it is the node that is lost most often, and its loss already
        costs an election.

        Args:
            locations: the engines that need a holder.
            owners: the lease holders that the log records, by pool name.
            leader: the name of the node that leads.
            now: the leader's clock, in seconds.
        """
        if now < self._began_at + _DISCOVERY_SECONDS:
            return []
        alive = {name for name in self._stamps if self.is_reachable(name, now)}
        candidates = alive - {leader} or alive
        counts = dict.fromkeys(candidates, 0)
        ungranted = []
        for location in locations:
            owner = owners.get(ORDER_POOL_PREFIX + location.address)
            if owner is not None and owner.node in counts:
                counts[owner.node] += 1
            if self._is_grantable(owner, alive, now):
                ungranted.append(location)
        grants = []
        for location in ungranted:
            name = self._choose_holder(location, counts)
            if name:
                counts[name] += 1
                grants.append(LeaseGrant(location.address, name))
        return grants

    def _is_grantable(
        self, owner: Owner | None, alive: Collection[str], now: float
    ) -> bool:
        """Returns whether a lease is free or its silent holder has lost it."""
        if owner is None:
            return True
        return owner.node not in alive and now >= self.reassignable_from(
            owner.node
        )

    def _choose_holder(
        self, location: EngineLocation, counts: dict[str, int]
    ) -> str:
        """Returns the VM with the fewest leases, preferably near the engine."""

        def cost(name: str) -> tuple[int, bool, str]:
            is_far = self._stamps[name].data_centre != location.data_centre
            return counts[name], is_far, name

        return min(counts, key=cost, default="")


def leased_addresses(owners: Mapping[str, Owner]) -> list[str]:
    """Returns the addresses of the engines whose order lease is granted."""
    return [
        pool.removeprefix(ORDER_POOL_PREFIX)
        for pool in owners
        if pool.startswith(ORDER_POOL_PREFIX)
    ]


class OrderGate:
    """Decides at a holder whether an order may be delivered.

    Args:
        name: the name of this node.
        clock: returns the monotonic clock, in seconds.
    """

    def __init__(self, name: str, clock: Callable[[], float]) -> None:
        self._name = name
        self._clock = clock
        self._term = 0

    def may_deliver(self, holder: str, stamp: float, term: int) -> bool:
        """Returns whether an order is fresh and meant for this holder.

        Args:
            holder: the VM that is to deliver the order.
            stamp: the newest stamp that the sender has received from this VM,
                in seconds.
            term: the log term in which the sender leads. Orders of an earlier
                term are rejected once an order of a later term has arrived.
        """
        if holder != self._name or term < self._term:
            return False
        self._term = term
        return 0 <= self._clock() - stamp <= STAMP_LIFETIME_SECONDS
