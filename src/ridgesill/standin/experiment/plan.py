"""What an experiment plays: a TOML file of scenarios and variants."""

import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import attrs

from ridgesill.standin.emulator.batch import EngineShape
from ridgesill.standin.emulator.demand import (
    Burst,
    Popularity,
    RequestKind,
    SharedPart,
    Size,
)
from ridgesill.standin.emulator.scenario import Crash, Scenario
from ridgesill.standin.experiment.constants import (
    UnknownConstantError,
    Value,
    find_constant,
)

# Types of nested tables, by the class and field that they stand in; a list of
# tables where the field is a tuple.
_NESTED: dict[tuple[type, str], type] = {
    (Scenario, "shapes"): EngineShape,
    (Scenario, "kinds"): RequestKind,
    (Scenario, "popularity"): Popularity,
    (Scenario, "bursts"): Burst,
    (Scenario, "crashes"): Crash,
    (RequestKind, "prompt"): Size,
    (RequestKind, "events"): Size,
    (RequestKind, "shared"): SharedPart,
    (SharedPart, "tokens"): Size,
}


class PlanError(Exception):
    """A file that can't be played; names file, line and what to correct."""

    def __init__(self, path: str, line: int, detail: str) -> None:
        super().__init__(f"{path}:{line}: {detail}")
        self.line = line


@attrs.frozen
class Variant:
    """Decisions with other constants; none for the decisions as they are."""

    name: str
    constants: dict[str, Value] = attrs.Factory(dict)


@attrs.frozen
class Plan:
    """An experiment.

    Attributes:
        measured: what was seen on real days, by scenario and figure.
    """

    seeds: int
    scenarios: tuple[Scenario, ...]
    variants: tuple[Variant, ...]
    measured: dict[str, dict[str, float]] = attrs.Factory(dict)


def read_plan(path: str) -> Plan:
    """Returns the experiment in a file.

    Raises:
        PlanError: it isn't TOML, or a name or value in it is wrong.
        OSError: it can't be read.
    """
    text = Path(path).read_text()
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise PlanError(path, 1, f"not TOML: {error}") from error
    return _Reader(path, text).read(document)


class _Reader:
    """Makes typed values of a document."""

    def __init__(self, path: str, text: str) -> None:
        self._path = path
        self._lines = text.splitlines()

    def read(self, document: dict[str, Any]) -> Plan:
        """Returns all of it."""
        known = {"seeds", "kinds", "shapes", "scenario", "variant"}
        self._refuse_unknown("the file", document, known)
        shared = {k: document[k] for k in ("kinds", "shapes") if k in document}
        scenarios, measured = [], {}
        for table in document.get("scenario", []):
            given = {**shared, **table}
            measured[str(given.get("name"))] = given.pop("measured", {})
            scenarios.append(self._make(Scenario, given))
        if not scenarios:
            raise self._error("scenario", "at least one [[scenario]] is needed")
        variants = [self._variant(t) for t in document.get("variant", [])]
        return Plan(
            int(document.get("seeds", 4)),
            tuple(scenarios),
            tuple(variants) or (Variant("as it is"),),
            measured,
        )

    def _variant(self, table: dict[str, Any]) -> Variant:
        self._refuse_unknown("a variant", table, {"name", "constants"})
        constants = table.get("constants", {})
        for name in constants:
            try:
                find_constant(name)
            except UnknownConstantError as error:
                raise self._error(name, str(error)) from error
        return Variant(str(table.get("name", "unnamed")), dict(constants))

    def _make(self, kind: type, table: Mapping[str, Any]) -> Any:
        names = {field.name for field in attrs.fields(kind)}
        self._refuse_unknown(kind.__name__, table, names)
        given = {
            name: self._value(kind, name, value)
            for name, value in table.items()
        }
        try:
            return kind(**given)
        except TypeError as error:
            key = next(iter(table), "")
            raise self._error(key, f"{kind.__name__}: {error}") from error

    def _value(self, kind: type, name: str, value: Any) -> Any:
        nested = _NESTED.get((kind, name))
        if isinstance(value, list):
            if nested is None:
                return tuple(value)
            return tuple(self._make(nested, item) for item in value)
        if nested is not None:
            if not isinstance(value, dict):
                raise self._error(name, f"{name}: expected a table")
            return self._make(nested, value)
        return value

    def _refuse_unknown(
        self, where: str, table: Mapping[str, Any], known: set[str]
    ) -> None:
        for name in table:
            if name not in known:
                expected = ", ".join(sorted(known))
                detail = f"{where} has no {name!r}; it may have: {expected}"
                raise self._error(name, detail)

    def _error(self, name: str, detail: str) -> PlanError:
        numbers = (n for n, line in enumerate(self._lines, 1) if name in line)
        return PlanError(self._path, next(numbers, 1), detail)
