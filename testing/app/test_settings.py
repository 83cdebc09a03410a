"""Tests of reading settings and configuration files."""

from pathlib import Path

import pytest
from syrupy.assertion import SnapshotAssertion

from ridgesill.adapters.configuration_ini import read_configuration
from ridgesill.adapters.ini import IniError
from ridgesill.app.settings import read_settings

_GOOD = """
[node]
name = vm1
data_centre = east
[listen]
callers = 127.0.0.1:1
admin = 127.0.0.1:2
runners = 127.0.0.1:3
peers = 127.0.0.1:4
[voters]
seeds = vm1=127.0.0.1:4, vm2=127.0.0.1:5
[admin]
token_file = token
"""


@pytest.fixture(autouse=True)
def in_folder(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.chdir(tmp_path)
    Path("token").write_text("secret")


def read_problems(text: str) -> list[str]:
    """Returns the problems that reading a settings file reports."""
    Path("vm1.ini").write_text(text)
    with pytest.raises(IniError) as error:
        read_settings("vm1.ini")
    return [str(problem) for problem in error.value.problems]


class TestReadSettings:
    def test_missing_keys_get_defaults(self) -> None:
        Path("vm1.ini").write_text(_GOOD)
        settings = read_settings("vm1.ini")
        assert settings.seeds["vm2"] == "127.0.0.1:5"
        assert settings.lease_seconds == 4.0
        assert not settings.uses_tls

    def test_all_errors_are_listed(self, snapshot: SnapshotAssertion) -> None:
        text = _GOOD.replace("name = vm1", "name = vm 1")
        text = text.replace("callers = 127.0.0.1:1", "callers = here")
        text = text.replace("peers = 127.0.0.1:4\n", "")
        text = text.replace("token_file = token", "token_file = gone")
        text += "[limits]\nstreams = many\nstraems = 3\n[extra]\na = 1\n"
        text += "[tls]\ncertificate = token\n"
        assert read_problems(text) == snapshot

    def test_a_missing_file_is_named(self) -> None:
        with pytest.raises(IniError, match="nowhere.ini"):
            read_settings("nowhere.ini")

    def test_a_file_that_is_not_ini_is_named(self) -> None:
        assert "vm1.ini" in read_problems("not an ini file")[0]


class TestReadConfiguration:
    def test_all_errors_are_listed(self, snapshot: SnapshotAssertion) -> None:
        Path("site.ini").write_text(
            "[configuration]\nversion = soon\n"
            "[data-centre east]\nregion = coast\n"
            "[team crews]\nweight = -1\nplaces = east, moon\n"
            "[service assist]\nkind = magic\n"
            "[adapter a]\nteam = nobody\nservice = assist\nversions = v1\n"
            "[adapter b]\nteam = crews\nservice = none\ncolour = red\n"
            "[planet mars]\n"
        )
        with pytest.raises(IniError) as error:
            read_configuration("site.ini")
        assert [str(p) for p in error.value.problems] == snapshot

    def test_comments_and_spaces_do_not_change_the_digest(self) -> None:
        Path("one.ini").write_text("[configuration]\nversion = 1\n")
        Path("two.ini").write_text("# x\n[configuration]\nversion=1\n")
        one, two = map(read_configuration, ("one.ini", "two.ini"))
        assert one.digest == two.digest
