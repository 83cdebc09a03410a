"""Generates the reference page of all constants from the source code.

`python -m testing.constants` writes the page.
"""

import ast
import re
from collections.abc import Iterator
from pathlib import Path

import attrs

_ROOT = Path(__file__).parent.parent
PAGE = _ROOT / "docs" / "reference" / "constants.md"
_SOURCES = _ROOT / "src" / "ridgesill"
_NAME = re.compile(r"_?[A-Z][A-Z0-9_]*$")
_HEAD = """\
# Named figures

Each timeout, limit, weight and threshold in the code, with the comment that
stands above it. Written by `python -m testing.constants`; a test compares the
page with the code.
"""


@attrs.frozen
class Constant:
    """A numeric constant of a module and the comment above it."""

    module: str
    name: str
    value: str
    comment: str


def read_constants() -> Iterator[Constant]:
    """Yields the numeric constants of all modules but generated ones."""
    for path in sorted(_SOURCES.rglob("*.py")):
        if "wire" not in path.parts:
            yield from _read_module(path)


def _read_module(path: Path) -> Iterator[Constant]:
    text = path.read_text()
    lines = text.splitlines()
    module = str(path.relative_to(_SOURCES))
    for node in ast.parse(text).body:
        if not isinstance(node, ast.Assign) or len(node.targets) != 1:
            continue
        target = node.targets[0]
        if not isinstance(target, ast.Name) or not _NAME.match(target.id):
            continue
        if _is_numeric(node.value):
            value = ast.unparse(node.value)
            comment = _comment_above(lines, node.lineno - 1)
            yield Constant(module, target.id, value, comment)


def _is_numeric(value: ast.expr) -> bool:
    """Whether an expression contains only numbers and arithmetic."""
    parts = [n for n in ast.walk(value) if isinstance(n, ast.expr)]
    numbers = [n for n in parts if isinstance(n, ast.Constant)]
    if not numbers or any(isinstance(n.value, str | bytes) for n in numbers):
        return False
    allowed = (ast.Constant, ast.BinOp, ast.UnaryOp)
    return all(isinstance(n, allowed) for n in parts)


def _comment_above(lines: list[str], index: int) -> str:
    """Returns the comment above a line and the constants just before it."""
    index -= 1
    while index >= 0 and _NAME.match(lines[index].partition(" = ")[0]):
        index -= 1
    comment: list[str] = []
    while index >= 0 and lines[index].startswith("#"):
        comment.insert(0, lines[index].lstrip("# "))
        index -= 1
    return " ".join(comment)


def write_page() -> str:
    """Returns the text of the page."""
    parts = [_HEAD]
    module = ""
    for constant in read_constants():
        if constant.module != module:
            module = constant.module
            parts.append(
                f"\n## {module}\n\n| name | value | |\n|---|---|---|\n"
            )
        comment = constant.comment.replace("|", "\\|")
        parts.append(f"| `{constant.name}` | {constant.value} | {comment} |\n")
    return "".join(parts)


if __name__ == "__main__":
    PAGE.write_text(write_page())
