"""Which VM delivers the orders to each engine, and from when.

Load pattern: the leader of the log is lost, or cut off, a few times a day. When
it delivered all orders itself, nothing was loaded until its lease was over, 3.8
seconds, and a tenth of the requests of that time were refused. So orders are
delivered by other VMs, for each engine by one that holds its lease: a leader's
successor goes on with the same holders at once, and the loss of a holder stops
the loads of its engines alone.

A holder delivers an order only while the leader's word is fresh: each order
carries the last stamp that the leader has heard from that holder, which is the
holder's own clock. So a leader knows, without comparing clocks, until when a
holder that falls silent may still deliver.
"""

from collections.abc import Callable, Collection, Iterable, Mapping

import attrs

from ridgesill.core.state import Owner

# Prefix of the pools in the log that stand for an engine's orders.
ORDER_POOL_PREFIX = "orders/"
# How old a stamp may be when its holder delivers an order, in seconds: five
# times as long as holders take to send the next one, so that lost packets
# don't stop them; all that a longer one costs is a later successor.
STAMP_LIFETIME_SECONDS = 0.5
# How often holders send one, in seconds.
STAMP_INTERVAL_SECONDS = 0.1
# A leader uses only a holder that it has heard within this time, in seconds;
# the rest of the stamp's life is for the way of the order.
_USABLE_SECONDS = 0.35
# Added to the lease of a holder that fell silent, in seconds: an order on its
# way.
_MARGIN = 0.15
# How long a new leader hears holders before it grants what nobody holds, in
# seconds: else all would go to the first that is heard.
_GATHER_SECONDS = 0.5


@attrs.frozen
class EngineLocation:
    """Where an engine is reached, and its data centre."""

    address: str
    data_centre: str


@attrs.frozen
class LeaseGrant:
    """A lease to be granted: orders to an address, through a node."""

    address: str
    node: str


@attrs.frozen
class LeaseHolder:
    """A VM that delivers orders.

    Attributes:
        name: of the node, which is its address.
        token: the fencing token of its lease.
        stamp: the last that was heard from it, on its own clock.
    """

    name: str
    token: int
    stamp: float


@attrs.define
class _Heard:
    stamp: float
    at: float
    data_centre: str


class OrderLeases:
    """A leader's view of the holders of order leases.

    Args:
        lease: seconds within which two VMs must not both give orders.
    """

    def __init__(self, lease: float) -> None:
        # From the last stamp of a silent holder until another may order: the
        # stamp's life, the lease, and an order on its way.
        self._free_after = STAMP_LIFETIME_SECONDS + lease + _MARGIN
        self._heard: dict[str, _Heard] = {}
        # Who was last used for each address, and when.
        self._used: dict[str, tuple[str, float]] = {}
        self._began_at = 0.0
        self._silent_from = float("-inf")

    def begin(self, now: float, predecessor_until: float) -> None:
        """Begins a leadership.

        Args:
            now: the clock, in seconds.
            predecessor_until: until when an earlier leader may have sent
                orders to holders.
        """
        self._heard.clear()
        self._used.clear()
        self._began_at = now
        self._silent_from = predecessor_until

    def record_stamp(
        self, name: str, stamp: float, data_centre: str, now: float
    ) -> None:
        """Notes a stamp of a VM that can hold leases."""
        self._heard[name] = _Heard(stamp, now, data_centre)

    def is_reachable(self, name: str, now: float) -> bool:
        """Whether orders can go through a VM now."""
        heard = self._heard.get(name)
        return heard is not None and now - heard.at <= _USABLE_SECONDS

    def find_holder(
        self, address: str, owners: Mapping[str, Owner], now: float
    ) -> LeaseHolder | None:
        """Returns the VM that may deliver orders to an engine now, if any."""
        owner = owners.get(ORDER_POOL_PREFIX + address)
        if owner is None or not self.is_reachable(owner.node, now):
            return None
        if now < self._other_until(address, owner.node):
            return None
        stamp = self._heard[owner.node].stamp
        return LeaseHolder(owner.node, owner.epoch, stamp)

    def record_use(self, address: str, name: str, now: float) -> None:
        """Notes that an order goes to an address through a VM."""
        self._used[address] = (name, now)

    def _other_until(self, address: str, name: str) -> float:
        """Returns until when another VM's last order forbids this one's.

        A grant that was proposed while its holder was silent may be applied
        after that holder was heard and used again.
        """
        used, at = self._used.get(address, (name, 0.0))
        if used == name:
            return float("-inf")
        return at + self._free_after

    @property
    def delivered_until(self) -> float:
        """Until when orders of an earlier leader may have been delivered."""
        return self._silent_from + STAMP_LIFETIME_SECONDS

    def reassignable_from(self, name: str) -> float:
        """Returns from when another VM may order what a silent one held.

        It may have fallen silent after a word to this leader, while an earlier
        one, which doesn't know that it leads no more, still sends orders.
        """
        heard = self._heard.get(name)
        silent_from = self._silent_from
        if heard is not None:
            silent_from = max(silent_from, heard.at)
        return silent_from + self._free_after

    def orders_possible_from(
        self,
        addresses: Iterable[str],
        owners: Mapping[str, Owner],
        now: float,
    ) -> float:
        """Returns from when any of some engines can be ordered.

        Minus infinity when one can be now: the caller's clock has moved on.
        """
        moments = [float("inf")]
        for address in addresses:
            owner = owners.get(ORDER_POOL_PREFIX + address)
            if owner is None:
                moments.append(max(self._began_at + _GATHER_SECONDS, now))
            elif self.find_holder(address, owners, now) is not None:
                return float("-inf")
            else:
                moments.append(max(self.reassignable_from(owner.node), now))
        # A holder that has not been heard yet mostly is within a stamp's time.
        if now < self._began_at + _GATHER_SECONDS:
            moments.append(self._began_at + _GATHER_SECONDS)
        return min(moments)

    def choose_grants(
        self,
        places: Iterable[EngineLocation],
        owners: Mapping[str, Owner],
        leader: str,
        now: float,
    ) -> list[LeaseGrant]:
        """Returns the grants to propose.

        Those that nobody holds, or a VM that is silent and whose lease is
        over. The leader itself holds none while there are others, since it is
        what is lost most often and costs an election already.
        """
        if now < self._began_at + _GATHER_SECONDS:
            return []
        alive = {name for name in self._heard if self.is_reachable(name, now)}
        candidates = alive - {leader} or alive
        counts = dict.fromkeys(candidates, 0)
        wanting = []
        for place in places:
            owner = owners.get(ORDER_POOL_PREFIX + place.address)
            if owner is not None and owner.node in counts:
                counts[owner.node] += 1
            if self._is_free(owner, alive, now):
                wanting.append(place)
        grants = []
        for place in wanting:
            name = self._choose(place, counts)
            if name:
                counts[name] += 1
                grants.append(LeaseGrant(place.address, name))
        return grants

    def _is_free(
        self, owner: Owner | None, alive: Collection[str], now: float
    ) -> bool:
        if owner is None:
            return True
        return owner.node not in alive and now >= self.reassignable_from(
            owner.node
        )

    def _choose(self, place: EngineLocation, counts: dict[str, int]) -> str:
        """Returns who holds least; of those, one near the engine."""

        def cost(name: str) -> tuple[int, bool, str]:
            is_far = self._heard[name].data_centre != place.data_centre
            return counts[name], is_far, name

        return min(counts, key=cost, default="")


def leased_addresses(owners: Mapping[str, Owner]) -> list[str]:
    """Returns the engines' addresses for which a lease is granted."""
    return [
        pool.removeprefix(ORDER_POOL_PREFIX)
        for pool in owners
        if pool.startswith(ORDER_POOL_PREFIX)
    ]


class OrderGate:
    """A holder's decision whether it may deliver an order.

    Args:
        name: of this node.
        clock: the steady clock, in seconds.
    """

    def __init__(self, name: str, clock: Callable[[], float]) -> None:
        self._name = name
        self._clock = clock
        self._term = 0

    def may_deliver(self, holder: str, stamp: float, term: int) -> bool:
        """Whether an order's word is fresh.

        Args:
            holder: the VM that is to deliver it.
            stamp: the last that its sender has heard from here.
            term: of its sender's leadership; an earlier leader's orders are
                passed over once a later one's has come.
        """
        if holder != self._name or term < self._term:
            return False
        self._term = term
        return 0 <= self._clock() - stamp <= STAMP_LIFETIME_SECONDS
