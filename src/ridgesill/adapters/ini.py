"""Reading of INI files with every error listed, by file, section and key."""

import configparser
from collections.abc import Callable
from pathlib import Path
from typing import Any

import attrs

# The default of a key that must be there.
REQUIRED = object()


@attrs.frozen
class Problem:
    """An error in a file.

    Attributes:
        expected: what the reader wanted to find.
    """

    file: str
    section: str
    key: str
    expected: str

    def __str__(self) -> str:
        """Returns one line for a person."""
        where = f"{self.file}: [{self.section}]" if self.section else self.file
        return f"{where} {self.key}: {self.expected}".replace(" : ", ": ")


class IniError(Exception):
    """A file that can't be used; holds all that is wrong with it."""

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems


class IniReader:
    """Reads typed values and collects what is wrong.

    Args:
        file: the name used in messages.
        text: the file's text.
    """

    def __init__(self, file: str, text: str) -> None:
        self.file = file
        self.problems: list[Problem] = []
        self.parser = configparser.ConfigParser(
            interpolation=None, default_section="", strict=True
        )
        self.parser.optionxform = str  # type: ignore[assignment,method-assign]
        try:
            self.parser.read_string(text, source=file)
        except configparser.Error as error:
            detail = " ".join(str(error).split())
            raise IniError([Problem(file, "", "", detail)]) from error

    @classmethod
    def open(cls, path: str) -> "IniReader":
        """Returns a reader of a file."""
        try:
            text = Path(path).read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            expected = f"a readable UTF-8 text file: {error}"
            raise IniError([Problem(path, "", "", expected)]) from error
        return cls(path, text)

    def sections(self) -> list[str]:
        """Returns the sections' names in the order of the file."""
        return self.parser.sections()

    def report(self, section: str, key: str, expected: str) -> None:
        """Notes an error."""
        self.problems.append(Problem(self.file, section, key, expected))

    def value(
        self,
        section: str,
        key: str,
        convert: Callable[[str], Any],
        default: Any = REQUIRED,
    ) -> Any:
        """Returns a converted value; notes an error and returns None if bad.

        Args:
            section: where it stands.
            key: its name.
            convert: raises ValueError, whose text says what is expected.
            default: used where the key is missing; without one it must be
                there.
        """
        text = self.parser.get(section, key, fallback=None)
        if text is None:
            if default is REQUIRED:
                self.report(section, key, "is missing and has no default")
                return None
            return default
        try:
            return convert(text.strip())
        except ValueError as error:
            self.report(section, key, f"{error}, not {text.strip()!r}")
            return None

    def check_keys(self, section: str, known: set[str]) -> None:
        """Notes keys that nothing reads, which most often are misspelt."""
        for key in self.parser.options(section):
            if key not in known:
                names = ", ".join(sorted(known))
                self.report(section, key, f"unknown key; known are {names}")

    def finish(self) -> None:
        """Raises `IniError` if anything was wrong."""
        if self.problems:
            raise IniError(self.problems)


def to_text(text: str) -> str:
    """Returns a text that must not be empty."""
    if not text:
        raise ValueError("expected a text")
    return text


def to_name(text: str) -> str:
    """Returns a name of letters, digits, dots, dashes and underscores."""
    if not text or not all(c.isalnum() or c in "._-" for c in text):
        raise ValueError("expected letters, digits, '.', '-' or '_'")
    return text


def to_names(text: str) -> tuple[str, ...]:
    """Returns names separated by commas."""
    return tuple(to_name(part.strip()) for part in text.split(",") if part)


def to_address(text: str) -> str:
    """Returns an address of an IP number and a port."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or int(port) > 65535:
        raise ValueError("expected IP:PORT")
    return text


def to_flag(text: str) -> bool:
    """Returns a yes or no."""
    flags = {"yes": True, "true": True, "no": False, "false": False}
    if text.lower() not in flags:
        raise ValueError("expected yes or no")
    return flags[text.lower()]


def to_number(low: float, high: float) -> Callable[[str], float]:
    """Returns a converter to a number in a range."""

    def convert(text: str) -> float:
        try:
            number = float(text)
        except ValueError:
            number = float("nan")
        if not low <= number <= high:
            raise ValueError(f"expected a number from {low:g} to {high:g}")
        return number

    return convert


def to_integer(low: int, high: int) -> Callable[[str], int]:
    """Returns a converter to a whole number in a range."""

    def convert(text: str) -> int:
        try:
            number = int(text)
        except ValueError:
            number = low - 1
        if not low <= number <= high:
            raise ValueError(f"expected a whole number from {low} to {high}")
        return number

    return convert


def to_choice(*choices: str) -> Callable[[str], str]:
    """Returns a converter to one of some words."""

    def convert(text: str) -> str:
        if text not in choices:
            raise ValueError(f"expected one of {', '.join(choices)}")
        return text

    return convert
