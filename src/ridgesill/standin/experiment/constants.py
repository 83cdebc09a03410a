"""Variants of decisions: named constants with other values, for one run."""

import contextlib
import importlib
from collections.abc import Iterator, Mapping
from types import ModuleType

_PACKAGE = "ridgesill."
Value = float | int | bool


class UnknownConstantError(ValueError):
    """A name that is no number's; says which part isn't there."""


def find_constant(name: str) -> tuple[ModuleType, str]:
    """Returns the module and attribute of a constant.

    Args:
        name: within the package, as `core.fleet.copies._SHARE`.

    Raises:
        UnknownConstantError: there is no such number.
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
def with_constants(values: Mapping[str, Value]) -> Iterator[None]:
    """Gives constants other values for a while."""
    before = []
    try:
        for name, value in values.items():
            module, attribute = find_constant(name)
            before.append((module, attribute, getattr(module, attribute)))
            setattr(module, attribute, value)
        yield
    finally:
        for module, attribute, value in reversed(before):
            setattr(module, attribute, value)
