"""Reads INI files and reports all errors by file, section and key."""

import configparser
from collections.abc import Callable
from pathlib import Path
from typing import Any

import attrs

# Default that marks a key as required.
REQUIRED = object()


@attrs.frozen
class Problem:
    """An error in an INI file.

    Attributes:
        section: the section; empty for an error of the whole file.
        key: the key; empty for an error of the whole section.
        expected: what was expected instead, or what is wrong.
    """

    file: str
    section: str
    key: str
    expected: str

    def __str__(self) -> str:
        """Returns a one-line error message."""
        where = f"{self.file}: [{self.section}]" if self.section else self.file
        return f"{where} {self.key}: {self.expected}".replace(" : ", ": ")


class IniError(Exception):
    """An INI file is invalid.

    Attributes:
        problems: all errors found in the file.
    """

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems


class IniReader:
    """Reads typed values from an INI file and collects errors.

    Args:
        file: the file name used in error messages.
        text: the file's content.

    Raises:
        IniError: the text is not valid INI syntax.
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
        """Returns a reader of a file.

        Raises:
            IniError: the file can't be read or is not valid INI syntax.
        """
        try:
            text = Path(path).read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            expected = f"a readable UTF-8 text file: {error}"
            raise IniError([Problem(path, "", "", expected)]) from error
        return cls(path, text)

    def sections(self) -> list[str]:
        """Returns the section names in file order."""
        return self.parser.sections()

    def report(self, section: str, key: str, expected: str) -> None:
        """Records an error; `finish` raises it."""
        self.problems.append(Problem(self.file, section, key, expected))

    def value(
        self,
        section: str,
        key: str,
        convert: Callable[[str], Any],
        default: Any = REQUIRED,
    ) -> Any:
        """Returns a converted value.

        Records an error and returns None if the value is invalid or a
        required key is missing.

        Args:
            section: the section name.
            key: the key name.
            convert: converts the text; raises ValueError with a message that
                says what is expected.
            default: returned if the key is missing; the key is required
                if no default is given.
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
        """Records an error for each unknown key; most are misspelt ones."""
        for key in self.parser.options(section):
            if key not in known:
                names = ", ".join(sorted(known))
                self.report(section, key, f"unknown key; known are {names}")

    def finish(self) -> None:
        """Raises `IniError` if any error was recorded."""
        if self.problems:
            raise IniError(self.problems)


def to_text(text: str) -> str:
    """Returns the text; raises ValueError if it is empty."""
    if not text:
        raise ValueError("expected a non-empty text")
    return text


def to_name(text: str) -> str:
    """Returns a name; raises ValueError if it has other characters.

    Letters, digits, dots, dashes and underscores are allowed.
    """
    if not text or not all(c.isalnum() or c in "._-" for c in text):
        raise ValueError("expected letters, digits, '.', '-' or '_'")
    return text


def to_names(text: str) -> tuple[str, ...]:
    """Returns comma-separated names; raises ValueError for an invalid one."""
    return tuple(to_name(part.strip()) for part in text.split(",") if part)


def to_address(text: str) -> str:
    """Returns an address; raises ValueError unless it is `IP:PORT`."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or int(port) > 65535:
        raise ValueError("expected IP:PORT")
    return text


def to_flag(text: str) -> bool:
    """Returns the value of yes, true, no or false; else raises ValueError."""
    flags = {"yes": True, "true": True, "no": False, "false": False}
    if text.lower() not in flags:
        raise ValueError("expected yes or no")
    return flags[text.lower()]


def to_number(low: float, high: float) -> Callable[[str], float]:
    """Returns a converter to a number from `low` to `high`, inclusive."""

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
    """Returns a converter to an integer from `low` to `high`, inclusive."""

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
    """Returns a converter that accepts only the given texts."""

    def convert(text: str) -> str:
        if text not in choices:
            raise ValueError(f"expected one of {', '.join(choices)}")
        return text

    return convert
