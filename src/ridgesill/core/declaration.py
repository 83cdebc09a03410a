"""A configuration file as a typed value, and checks of its references."""

from collections.abc import Iterator

import attrs

from ridgesill.core.codec import register
from ridgesill.core.configuration import (
    MODEL,
    Adapter,
    DataCentre,
    Group,
    Service,
    Table,
    Team,
    make_table,
)


@register
@attrs.frozen
class Declaration:
    """The contents of a configuration file.

    Attributes:
        version: the file's version, which rises with every accepted file.
        digest: the digest of the file's text.
        based_on: the version that must be in force for this one to be
            accepted; -1 for any lower version.
    """

    version: int
    digest: str
    based_on: int
    data_centres: tuple[DataCentre, ...]
    teams: tuple[Team, ...]
    services: tuple[Service, ...]
    adapters: tuple[Group, ...]

    def table(self) -> Table:
        """Returns the configuration table that the file declares."""
        return make_table(
            self.data_centres, self.teams, self.services, self.adapters
        )


@attrs.frozen
class Mistake:
    """An invalid value in a configuration file.

    Attributes:
        section: the section of the file, such as `team a`.
        key: the key in that section.
        expected: the expected value, as a phrase for the error message.
    """

    section: str
    key: str
    expected: str


def find_mistakes(declared: Declaration) -> list[Mistake]:
    """Returns all undeclared references and adapters without versions."""
    return list(_find_mistakes(declared))


def _find_mistakes(declared: Declaration) -> Iterator[Mistake]:
    places = {d.name for d in declared.data_centres}
    teams = {t.name for t in declared.teams}
    models = {s.name for s in declared.services if s.kind == MODEL}
    known = _Known(places, teams, models)
    for team in declared.teams:
        yield from _unknown_places(f"team {team.name}", team.places, places)
    for service in declared.services:
        section = f"service {service.name}"
        yield from _unknown_places(section, service.places, places)
    for group in declared.adapters:
        for name in group.names:
            section = f"adapter {name}"
            yield from _adapter_mistakes(section, group.adapter, known)


@attrs.frozen
class _Known:
    """The declared names that adapters may refer to."""

    places: set[str]
    teams: set[str]
    models: set[str]


def _adapter_mistakes(
    section: str, adapter: Adapter, known: _Known
) -> Iterator[Mistake]:
    if adapter.team not in known.teams:
        yield Mistake(section, "team", _declared("team", adapter.team))
    if adapter.service not in known.models:
        expected = _declared("service of kind model", adapter.service)
        yield Mistake(section, "service", expected)
    if not adapter.versions:
        yield Mistake(section, "versions", "expected at least one")
    yield from _unknown_places(section, adapter.places, known.places)


def _unknown_places(
    section: str, names: tuple[str, ...], known: set[str]
) -> Iterator[Mistake]:
    for name in names:
        if name not in known:
            expected = _declared("data-centre", name)
            yield Mistake(section, "places", expected)


def _declared(kind: str, name: str) -> str:
    return f"expected a declared {kind}, not {name!r}"
