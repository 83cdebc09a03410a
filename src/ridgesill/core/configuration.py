"""The operators' configuration as a compact table, and changes to it."""

from collections.abc import Iterable, Mapping

import attrs

from ridgesill.core.codec import register

MODEL = "model"
PLAIN = "plain"

# The value of `places` that restricts nothing.
ANYWHERE = ()


@register
@attrs.frozen
class DataCentre:
    """A data centre in which runners and nodes may run."""

    name: str
    region: str


@register
@attrs.frozen
class Team:
    """A team, to which requests are accounted.

    Attributes:
        weight: its share of a contended runner against other teams.
        places: data centres that its data may reach; empty for any.
    """

    name: str
    weight: float = 1.0
    places: tuple[str, ...] = ANYWHERE


@register
@attrs.frozen
class Service:
    """A model service (runners with adapter slots) or a plain one.

    Attributes:
        kind: `model` or `plain`.
        base_model: the base model that its runners serve; empty for plain.
        fenced: whether its runners refuse orders with an old epoch.
        repeatable: whether a call may be sent again if its outcome is
            unknown.
        places: data centres in which it may be called; empty for any.
        load_rate: adapter loads per second that the weight store allows.
        load_concurrency: concurrent loads that the weight store allows.
        batch_weight: the weight of batch efficiency against load stalls, from
            0 (only stalls count) to 1 (only batch efficiency counts).
    """

    name: str
    kind: str = MODEL
    base_model: str = ""
    fenced: bool = False
    repeatable: bool = True
    places: tuple[str, ...] = ANYWHERE
    load_rate: float = 9.0
    load_concurrency: int = 4
    batch_weight: float = 0.0


@register
@attrs.frozen(hash=True)
class Adapter:
    """An adapter declaration, shared by all adapters that are declared alike.

    Attributes:
        versions: the versions that may be requested; the first is served
            when a request names none.
        places: allowed data centres; empty if only the team's and the
            service's restrictions apply.
    """

    team: str
    service: str
    versions: tuple[str, ...]
    places: tuple[str, ...] = ANYWHERE


@register
@attrs.frozen
class Group:
    """The names of all adapters that share one declaration.

    Sent as one object for each name, 76,000 adapters took a node 41 MB to
    receive; grouped, the names make up nearly all of the data
    (docs/CAPACITY.md).
    """

    adapter: Adapter
    names: tuple[str, ...]


@register
@attrs.frozen
class Change:
    """The difference between two tables, as sent to every node.

    Data centres, teams and services are few and are replaced whole. Of the
    adapters, of which there are tens of thousands, only those that differ are
    sent.

    Attributes:
        adapters: new and changed adapters.
        removed: the names of removed adapters.
    """

    data_centres: tuple[DataCentre, ...] = ()
    teams: tuple[Team, ...] = ()
    services: tuple[Service, ...] = ()
    adapters: tuple[Group, ...] = ()
    removed: tuple[str, ...] = ()


@attrs.define
class Table:
    """The configuration in force, by name."""

    data_centres: dict[str, DataCentre] = attrs.Factory(dict)
    teams: dict[str, Team] = attrs.Factory(dict)
    services: dict[str, Service] = attrs.Factory(dict)
    adapters: dict[str, Adapter] = attrs.Factory(dict)
    _shared: dict[Adapter, Adapter] = attrs.Factory(dict)

    def apply(self, change: Change) -> None:
        """Applies a change to this table."""
        self.data_centres = {d.name: d for d in change.data_centres}
        self.teams = {t.name: t for t in change.teams}
        self.services = {s.name: s for s in change.services}
        for name in change.removed:
            self.adapters.pop(name, None)
        for group in change.adapters:
            adapter = self._shared.setdefault(group.adapter, group.adapter)
            for name in group.names:
                self.adapters[name] = adapter

    def change_from_empty(self) -> Change:
        """Returns the change that turns an empty table into this one."""
        return diff(Table(), self)

    def allowed_places(self, adapter: Adapter) -> frozenset[str]:
        """Returns the data centres in which an adapter may run."""
        allowed = frozenset(self.data_centres)
        team = self.teams[adapter.team]
        service = self.services[adapter.service]
        for places in (adapter.places, team.places, service.places):
            if places:
                allowed &= frozenset(places)
        return allowed

    def service_places(self, service: Service) -> frozenset[str]:
        """Returns the data centres in which a plain service may run."""
        if service.places:
            return frozenset(service.places) & frozenset(self.data_centres)
        return frozenset(self.data_centres)


def diff(old: Table, new: Table) -> Change:
    """Returns the change that turns the old table into the new one."""
    return Change(
        tuple(new.data_centres.values()),
        tuple(new.teams.values()),
        tuple(new.services.values()),
        _changed_adapters(old.adapters, new.adapters),
        tuple(name for name in old.adapters if name not in new.adapters),
    )


def _changed_adapters(
    old: Mapping[str, Adapter], new: Mapping[str, Adapter]
) -> tuple[Group, ...]:
    return group_adapters(
        (name, adapter)
        for name, adapter in new.items()
        if old.get(name) != adapter
    )


def group_adapters(
    named: Iterable[tuple[str, Adapter]],
) -> tuple[Group, ...]:
    """Groups adapters by equal declaration."""
    groups: dict[Adapter, list[str]] = {}
    for name, adapter in named:
        groups.setdefault(adapter, []).append(name)
    return tuple(
        Group(adapter, tuple(names)) for adapter, names in groups.items()
    )


def make_table(
    data_centres: Iterable[DataCentre] = (),
    teams: Iterable[Team] = (),
    services: Iterable[Service] = (),
    adapters: Iterable[Group] = (),
) -> Table:
    """Returns a table with these declarations."""
    table = Table()
    table.apply(
        Change(
            tuple(data_centres),
            tuple(teams),
            tuple(services),
            tuple(adapters),
        )
    )
    return table
