"""Overrides named constants of the package for the duration of a run."""

import contextlib
import importlib
from collections.abc import Iterator, Mapping
from types import ModuleType

_PACKAGE = "ridgesill."
Value = float | int | bool


class UnknownConstantError(ValueError):
    """A name doesn't denote a numeric constant; says which part is missing."""


def find_constant(name: str) -> tuple[ModuleType, str]:
    """Returns the module and the attribute name of a constant.

    Args:
        name: name relative to the package, as `core.fleet.copies._SHARE`.

    Raises:
        UnknownConstantError: the module or the numeric constant doesn't
            exist.
    """
    path, _, attribute = name.rpartition(".")
    try:
        module = importlib.import_module(_PACKAGE + path)
    except (ImportError, ValueError) as error:
        raise UnknownConstantError(f"{name}: no module {path!r}") from error
    if not isinstance(getattr(module, attribute, None), float | int):
        raise UnknownConstantError(
            f"{name}: {path} has no number {attribute!r}; "
            "docs/reference/constants.md lists them"
        )
    return module, attribute


@contextlib.contextmanager
def override_constants(values: Mapping[str, Value]) -> Iterator[None]:
    """Overrides constants within a `with` block and restores them after it.

    Args:
        values: new values by name, as for `find_constant`.

    Raises:
        UnknownConstantError: a name doesn't denote a numeric constant.
    """
    saved = []
    try:
        for name, value in values.items():
            module, attribute = find_constant(name)
            saved.append((module, attribute, getattr(module, attribute)))
            setattr(module, attribute, value)
        yield
    finally:
        for module, attribute, value in reversed(saved):
            setattr(module, attribute, value)
