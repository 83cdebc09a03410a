"""The settings of a stand-in, read from an INI file."""

import attrs

from ridgesill.adapters.ini import (
    IniReader,
    to_address,
    to_choice,
    to_flag,
    to_integer,
    to_name,
    to_number,
    to_text,
)
from ridgesill.standin.engine import EngineModel


@attrs.frozen
class StandInSettings:
    """The settings of a stand-in.

    Attributes:
        name: name of the runner.
        kind: `model` or `plain`.
        service: service that the runner belongs to.
        data_centre: name of the data centre.
        listen: address to serve requests on.
        announce: addresses of the nodes' listeners for runners.
        journal: path of the journal file; "" for none.
        announce_seconds: interval between announcements, in seconds.
        report_lag: seconds by which announcements are delayed.
        model: capacity and speed of the engine.
    """

    name: str
    kind: str
    service: str
    data_centre: str
    listen: str
    announce: tuple[str, ...]
    journal: str
    announce_seconds: float
    report_lag: float
    model: EngineModel


def to_addresses(text: str) -> tuple[str, ...]:
    """Parses addresses separated by commas."""
    return tuple(to_address(part.strip()) for part in text.split(","))


def read_stand_in(path: str) -> StandInSettings:
    """Reads the settings from a file.

    Raises:
        IniError: the file can't be read, or a setting is missing or wrong.
    """
    reader = IniReader.open(path)
    base = EngineModel()
    value = reader.value
    seconds = to_number(0, 600)
    model = EngineModel(
        value("engine", "slots", to_integer(0, 10_000), base.slots),
        value("engine", "batch", to_integer(1, 10_000), base.batch),
        value("engine", "load_seconds", seconds, base.load_seconds),
        value("engine", "step_seconds", seconds, base.step_seconds),
        value("engine", "sequence_seconds", seconds, base.sequence_seconds),
        value("engine", "adapter_seconds", seconds, base.adapter_seconds),
        value("engine", "prefill_seconds", seconds, base.prefill_seconds),
        value("engine", "prefixes", to_integer(1, 10**6), base.cached_prefixes),
        value("engine", "failing_loads", to_number(0, 1), 0.0),
        value("engine", "fenced", to_flag, False),
    )
    settings = StandInSettings(
        value("stand-in", "name", to_name),
        value("stand-in", "kind", to_choice("model", "plain"), "model"),
        value("stand-in", "service", to_name),
        value("stand-in", "data_centre", to_name),
        value("stand-in", "listen", to_address),
        value("stand-in", "announce", to_addresses),
        value("stand-in", "journal", to_text, ""),
        value("stand-in", "announce_seconds", to_number(0.05, 60), 1.0),
        value("stand-in", "report_lag", to_number(0, 60), 0.0),
        model,
    )
    reader.finish()
    return settings
