"""The settings of a node, read from one INI file."""

from pathlib import Path
from typing import Any

import attrs

from ridgesill.adapters.ini import (
    REQUIRED,
    IniError,
    IniReader,
    to_address,
    to_integer,
    to_name,
    to_number,
    to_text,
)


@attrs.frozen
class Settings:
    """A node's settings; docs/reference/settings.md explains each key.

    Attributes:
        seeds: addresses of the first voters by node name.
        data_folder: path of the log on disk, which makes the node a voter;
            empty for a node without a disk.
    """

    name: str
    data_centre: str
    data_folder: str
    drain_seconds: float
    callers: str
    admin: str
    runners: str
    peers: str
    seeds: dict[str, str]
    token_file: str
    log_file: str
    streams: int
    body_bytes: int
    header_bytes: int
    client_seconds: float
    runner_seconds: float
    patience_seconds: float
    queue: int
    lease_seconds: float
    node_patience_seconds: float
    follow_seconds: float
    certificate: str
    key: str
    authority: str

    @property
    def uses_tls(self) -> bool:
        """Returns whether nodes connect to each other over mutual TLS."""
        return bool(self.certificate)


@attrs.frozen
class _Key:
    """A settings key: its section and name, converter and default."""

    section: str
    field: str
    convert: Any
    default: Any = REQUIRED


def to_seeds(text: str) -> dict[str, str]:
    """Returns addresses by node name, from `name=IP:PORT, ...`.

    Raises:
        ValueError: an entry lacks `=`, or its name or address is not valid.
    """
    seeds = {}
    for part in text.split(","):
        name, separator, address = part.strip().partition("=")
        if not separator:
            raise ValueError("expected name=IP:PORT, separated by commas")
        seeds[to_name(name.strip())] = to_address(address.strip())
    return seeds


_KEYS = (
    _Key("node", "name", to_name),
    _Key("node", "data_centre", to_name),
    _Key("node", "data_folder", to_text, ""),
    _Key("node", "drain_seconds", to_number(0, 3600), 60.0),
    _Key("listen", "callers", to_address),
    _Key("listen", "admin", to_address),
    _Key("listen", "runners", to_address),
    _Key("listen", "peers", to_address),
    _Key("voters", "seeds", to_seeds),
    _Key("admin", "token_file", to_text),
    _Key("logs", "log_file", to_text, ""),
    _Key("limits", "streams", to_integer(1, 4096), 256),
    _Key("limits", "body_bytes", to_integer(1024, 2**30), 4 * 2**20),
    _Key("limits", "header_bytes", to_integer(1024, 2**20), 32 * 1024),
    _Key("limits", "client_seconds", to_number(0.1, 600), 10.0),
    _Key("limits", "runner_seconds", to_number(0.1, 3600), 120.0),
    _Key("limits", "patience_seconds", to_number(0.1, 600), 10.0),
    _Key("limits", "queue", to_integer(1, 100_000), 256),
    _Key("lease", "lease_seconds", to_number(0.5, 60), 4.0),
    _Key("lease", "node_patience_seconds", to_number(0.5, 60), 4.0),
    _Key("lease", "follow_seconds", to_number(0.05, 10), 0.5),
    _Key("tls", "certificate", to_text, ""),
    _Key("tls", "key", to_text, ""),
    _Key("tls", "authority", to_text, ""),
)


def read_settings(path: str) -> Settings:
    """Returns the settings in a file.

    Raises:
        IniError: the file has problems; the error lists all of them.
    """
    reader = IniReader.open(path)
    values = {
        key.field: reader.value(
            key.section, key.field, key.convert, key.default
        )
        for key in _KEYS
    }
    _check_sections(reader)
    _check_token(reader, values["token_file"])
    _check_tls(reader, values)
    reader.finish()
    return Settings(**values)


def _check_sections(reader: IniReader) -> None:
    known: dict[str, set[str]] = {}
    for key in _KEYS:
        known.setdefault(key.section, set()).add(key.field)
    for section in reader.sections():
        if section not in known:
            names = ", ".join(f"[{name}]" for name in known)
            reader.report(section, "", f"unknown section; known are {names}")
        else:
            reader.check_keys(section, known[section])


def _check_token(reader: IniReader, path: str | None) -> None:
    if path and not _has_content(path):
        expected = "expected a readable file that holds the token"
        reader.report("admin", "token_file", f"{expected}, not {path!r}")


def _check_tls(reader: IniReader, values: dict[str, Any]) -> None:
    fields = ("certificate", "key", "authority")
    given = [field for field in fields if values[field]]
    if not given:
        return
    for field in fields:
        if not values[field] or not _has_content(values[field]):
            expected = "expected a PEM file; [tls] needs all three keys"
            reader.report("tls", field, expected)


def _has_content(path: str) -> bool:
    try:
        return bool(Path(path).read_text().strip())
    except (OSError, UnicodeDecodeError):
        return False


__all__ = ["IniError", "Settings", "read_settings"]
