"""Tests that the deploy file agrees with the program."""

import tomllib
from pathlib import Path

import pytest

from ridgesill.app.cli import Commands
from ridgesill.platform import settings

_DEPLOY_FILE = Path(__file__).parents[2] / "deploy" / "system.toml"
_ROLES = tomllib.loads(_DEPLOY_FILE.read_text())["roles"]


class TestDeployFile:
    @pytest.mark.parametrize("role", _ROLES)
    def test_each_role_is_a_command(self, role: str) -> None:
        words = _ROLES[role]["run"].split()
        assert words[:3] == ["python3", "-m", "ridgesill"]
        assert hasattr(Commands, words[3])

    @pytest.mark.parametrize("role", _ROLES)
    def test_metrics_are_served_at_the_stated_port_and_path(
        self, role: str
    ) -> None:
        port, _, path = _ROLES[role]["metrics"].partition("/")
        assert int(port) == settings._METRICS_PORT
        assert f"/{path}" == settings.METRICS_PATH
