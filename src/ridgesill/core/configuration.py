"""The operators' configuration as a compact table, and changes of it."""

from collections.abc import Iterable, Mapping

import attrs

from ridgesill.core.codec import register

MODEL = "model"
PLAIN = "plain"

# What an adapter's `places` may be instead of a list of data centres.
ANYWHERE = ()


@register
@attrs.frozen
class DataCentre:
    """A data centre that runners and nodes may stand in."""

    name: str
    region: str


@register
@attrs.frozen
class Team:
    """A team.

    Attributes:
        weight: its share of a contended runner against other teams.
        places: data centres its data may reach; empty for anywhere.
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
        base_model: the base model its runners serve; empty for plain ones.
        fenced: whether its runners refuse orders under an old epoch.
        repeatable: whether a call may be sent again if its fate is unknown.
        places: data centres it may be called in; empty for anywhere.
        load_rate: adapter loads a second that the weight store allows.
        load_concurrency: loads at once that the weight store allows.
        batch_weight: what batch efficiency is worth against load stalls,
            from 0 (only stalls count) to 1 (only batches count).
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
    """What adapters of equal declaration share; names map to one of these.

    Attributes:
        versions: the versions that may be asked for; the first is served
            when a request names none.
        places: allowed data centres; empty leaves it to team and service.
    """

    team: str
    service: str
    versions: tuple[str, ...]
    places: tuple[str, ...] = ANYWHERE


@register
@attrs.frozen
class Group:
    """The names of adapters of equal declaration.

    Shipped as one object for each name, 76,000 adapters took a node 41 MB to
    receive; grouped, the names are nearly all there is (docs/CAPACITY.md).
    """

    adapter: Adapter
    names: tuple[str, ...]


@register
@attrs.frozen
class Change:
    """The difference between two tables, as shipped to every node.

    Small kinds are replaced whole; adapters, of which there are tens of
    thousands, only where they differ.
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
        """Brings a change into force."""
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
        """Returns the change that makes this table out of an empty one."""
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
    """Returns the change that makes one table out of another."""
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
    """Returns adapters grouped by equal declaration."""
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
    """Returns a table of these declarations."""
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
