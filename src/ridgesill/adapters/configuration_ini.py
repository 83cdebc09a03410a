"""Reads the operators' configuration from an INI file."""

import hashlib

from ridgesill.adapters.ini import (
    IniReader,
    to_choice,
    to_flag,
    to_integer,
    to_name,
    to_names,
    to_number,
)
from ridgesill.core.configuration import (
    MODEL,
    PLAIN,
    Adapter,
    DataCentre,
    Service,
    Team,
    group_adapters,
)
from ridgesill.core.declaration import Declaration, find_mistakes

_SECTION_KINDS = ("data-centre", "team", "service", "adapter")


def read_configuration(path: str) -> Declaration:
    """Returns the configuration that a file declares.

    Args:
        path: the file's path.

    Raises:
        IniError: the file is invalid; lists all errors.
    """
    return parse_configuration(IniReader.open(path))


def parse_configuration(reader: IniReader) -> Declaration:
    """Returns the configuration that a reader's text declares.

    Args:
        reader: the reader of the file; collects the errors.

    Raises:
        IniError: the text is invalid; lists all errors.
    """
    if not reader.parser.has_section("configuration"):
        reader.report("configuration", "version", "the section is missing")
        reader.finish()
    names_by_kind = _group_sections(reader)
    declared = Declaration(
        reader.value("configuration", "version", to_integer(1, 2**53)),
        _digest(reader),
        reader.value("configuration", "based_on", to_integer(0, 2**53), -1),
        tuple(
            _read_data_centre(reader, n) for n in names_by_kind["data-centre"]
        ),
        tuple(_read_team(reader, n) for n in names_by_kind["team"]),
        tuple(_read_service(reader, n) for n in names_by_kind["service"]),
        group_adapters(
            (n, _read_adapter(reader, n)) for n in names_by_kind["adapter"]
        ),
    )
    reader.check_keys("configuration", {"version", "based_on"})
    _report_mistakes(reader, declared)
    reader.finish()
    return declared


def _report_mistakes(reader: IniReader, declared: Declaration) -> None:
    reported_keys = {
        (problem.section, problem.key) for problem in reader.problems
    }
    for mistake in find_mistakes(declared):
        if (mistake.section, mistake.key) not in reported_keys:
            reader.report(mistake.section, mistake.key, mistake.expected)


def _digest(reader: IniReader) -> str:
    # Computed from the parsed content, so that changes of comments or spacing
    # keep the digest.
    digest = hashlib.sha256()
    for section in reader.sections():
        digest.update(f"[{section}]\n".encode())
        for key, value in reader.parser.items(section):
            digest.update(f"{key}={value}\n".encode())
    return digest.hexdigest()[:32]


def _group_sections(reader: IniReader) -> dict[str, list[str]]:
    names_by_kind: dict[str, list[str]] = {kind: [] for kind in _SECTION_KINDS}
    for section in reader.sections():
        kind, _, name = section.partition(" ")
        if section == "configuration":
            continue
        if kind not in names_by_kind or not name:
            kinds = ", ".join(f"[{k} NAME]" for k in _SECTION_KINDS)
            reader.report(section, "", f"expected [configuration] or {kinds}")
            continue
        try:
            names_by_kind[kind].append(to_name(name))
        except ValueError as error:
            reader.report(section, "", str(error))
    return names_by_kind


def _read_data_centre(reader: IniReader, name: str) -> DataCentre:
    section = f"data-centre {name}"
    reader.check_keys(section, {"region"})
    return DataCentre(name, reader.value(section, "region", to_name))


def _read_team(reader: IniReader, name: str) -> Team:
    section = f"team {name}"
    reader.check_keys(section, {"weight", "places"})
    return Team(
        name,
        reader.value(section, "weight", to_number(0.01, 1000), 1.0),
        reader.value(section, "places", to_names, ()) or (),
    )


def _read_service(reader: IniReader, name: str) -> Service:
    section = f"service {name}"
    default = Service(name)
    reader.check_keys(
        section,
        {
            "kind",
            "base_model",
            "fenced",
            "repeatable",
            "places",
            "load_rate",
            "load_concurrency",
            "batch_weight",
        },
    )
    return Service(
        name,
        reader.value(section, "kind", to_choice(MODEL, PLAIN), MODEL),
        reader.value(section, "base_model", to_name, ""),
        reader.value(section, "fenced", to_flag, default.fenced),
        reader.value(section, "repeatable", to_flag, default.repeatable),
        reader.value(section, "places", to_names, ()) or (),
        reader.value(
            section, "load_rate", to_number(0.01, 10_000), default.load_rate
        ),
        reader.value(
            section,
            "load_concurrency",
            to_integer(1, 10_000),
            default.load_concurrency,
        ),
        reader.value(section, "batch_weight", to_number(0, 1), 0.0),
    )


def _read_adapter(reader: IniReader, name: str) -> Adapter:
    section = f"adapter {name}"
    reader.check_keys(section, {"team", "service", "versions", "places"})
    return Adapter(
        reader.value(section, "team", to_name),
        reader.value(section, "service", to_name),
        reader.value(section, "versions", to_names) or (),
        reader.value(section, "places", to_names, ()) or (),
    )
