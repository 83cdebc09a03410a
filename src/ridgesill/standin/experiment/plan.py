"""Reads an experiment's plan: a TOML file of scenarios and variants."""

import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import attrs

from ridgesill.standin.emulator.batch import EngineShape
from ridgesill.standin.emulator.demand import (
    Burst,
    CustomerBurst,
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

# Types of nested tables, by class and field; fields that are tuples take a list
# of tables.
_NESTED_TYPES: dict[tuple[type, str], type] = {
    (Scenario, "shapes"): EngineShape,
    (Scenario, "kinds"): RequestKind,
    (Scenario, "popularity"): Popularity,
    (Scenario, "bursts"): Burst,
    (Scenario, "customer_burst"): CustomerBurst,
    (Scenario, "crashes"): Crash,
    (RequestKind, "prompt"): Size,
    (RequestKind, "events"): Size,
    (RequestKind, "shared"): SharedPart,
    (SharedPart, "tokens"): Size,
}


class PlanError(Exception):
    """A plan is invalid; the message names file, line and correction.

    Attributes:
        line: number of the line with the error, from 1.
    """

    def __init__(self, path: str, line: int, detail: str) -> None:
        super().__init__(f"{path}:{line}: {detail}")
        self.line = line


@attrs.frozen
class Variant:
    """A set of constants to override; empty for an unmodified run.

    Attributes:
        name: name in reports.
        constants: new values by name, as for `find_constant`.
    """

    name: str
    constants: dict[str, Value] = attrs.Factory(dict)


@attrs.frozen
class Plan:
    """The plan of an experiment.

    Attributes:
        seeds: number of seeds; each runs every scenario with every variant.
        scenarios: scenarios to run.
        variants: variants to compare; the first one is the baseline.
        measured: figures of real deployments to compare with, by scenario and
            figure.
    """

    seeds: int
    scenarios: tuple[Scenario, ...]
    variants: tuple[Variant, ...]
    measured: dict[str, dict[str, float]] = attrs.Factory(dict)


def read_plan(path: str) -> Plan:
    """Reads a plan from a file.

    Raises:
        PlanError: the file isn't valid TOML, or a name or value is wrong.
        OSError: the file can't be read.
    """
    text = Path(path).read_text()
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise PlanError(path, 1, f"not TOML: {error}") from error
    return _PlanReader(path, text).read(document)


class _PlanReader:
    """Converts a TOML document to a plan.

    Args:
        path: path of the file, for error messages.
        text: text of the file, to find line numbers in.
    """

    def __init__(self, path: str, text: str) -> None:
        self._path = path
        self._lines = text.splitlines()

    def read(self, document: dict[str, Any]) -> Plan:
        """Converts the whole document.

        Raises:
            PlanError: a name or value is wrong.
        """
        known = {"seeds", "kinds", "shapes", "scenario", "variant"}
        self._refuse_unknown("the file", document, known)
        shared = {k: document[k] for k in ("kinds", "shapes") if k in document}
        scenarios, measured = [], {}
        for table in document.get("scenario", []):
            arguments = {**shared, **table}
            measured[str(arguments.get("name"))] = arguments.pop("measured", {})
            scenarios.append(self._make_instance(Scenario, arguments))
        if not scenarios:
            raise self._make_error(
                "scenario", "at least one [[scenario]] is needed"
            )
        variants = [self._read_variant(t) for t in document.get("variant", [])]
        return Plan(
            int(document.get("seeds", 4)),
            tuple(scenarios),
            tuple(variants) or (Variant("as it is"),),
            measured,
        )

    def _read_variant(self, table: dict[str, Any]) -> Variant:
        self._refuse_unknown("a variant", table, {"name", "constants"})
        constants = table.get("constants", {})
        for name in constants:
            try:
                find_constant(name)
            except UnknownConstantError as error:
                raise self._make_error(name, str(error)) from error
        return Variant(str(table.get("name", "unnamed")), dict(constants))

    def _make_instance(self, kind: type, table: Mapping[str, Any]) -> Any:
        names = {field.name for field in attrs.fields(kind)}
        self._refuse_unknown(kind.__name__, table, names)
        arguments = {
            name: self._convert(kind, name, value)
            for name, value in table.items()
        }
        try:
            return kind(**arguments)
        except TypeError as error:
            key = next(iter(table), "")
            raise self._make_error(key, f"{kind.__name__}: {error}") from error

    def _convert(self, kind: type, name: str, value: Any) -> Any:
        nested = _NESTED_TYPES.get((kind, name))
        if isinstance(value, list):
            if nested is None:
                return tuple(value)
            return tuple(self._make_instance(nested, item) for item in value)
        if nested is not None:
            if not isinstance(value, dict):
                raise self._make_error(name, f"{name}: expected a table")
            return self._make_instance(nested, value)
        return value

    def _refuse_unknown(
        self, where: str, table: Mapping[str, Any], known: set[str]
    ) -> None:
        for name in table:
            if name not in known:
                expected = ", ".join(sorted(known))
                detail = f"{where} has no {name!r}; it may have: {expected}"
                raise self._make_error(name, detail)

    def _make_error(self, name: str, detail: str) -> PlanError:
        numbers = (n for n, line in enumerate(self._lines, 1) if name in line)
        return PlanError(self._path, next(numbers, 1), detail)
