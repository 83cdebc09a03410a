"""Tests of the limits and contracts in the platform's settings."""

from pathlib import Path
from typing import Any

import pytest
import yaml

from ridgesill.core.serving.front_load import VmLimits
from ridgesill.platform.settings import (
    PlatformSettings,
    PlatformSettingsError,
    read_settings,
)


def read(folder: Path, **fields: Any) -> PlatformSettings:
    """Returns the settings of a file with the required and more fields."""
    document = {
        "node": "f1",
        "zone": "a",
        "ip": "10.0.0.1",
        "internal_ports": [7000, 7009],
        "seeds": ["10.0.0.2:8000"],
        **fields,
    }
    path = folder / "settings.yaml"
    path.write_text(yaml.safe_dump(document))
    return read_settings(str(path))


class TestLimits:
    def test_limits_are_converted_to_bytes_and_seconds(
        self, tmp_path: Path
    ) -> None:
        limits = {
            "cpu_share": 0.516,
            "cores": 1,
            "memory_mb": 200,
            "file_descriptors": 4100,
            "link_mbps": 5.0,
        }
        settings = read(tmp_path, limits=limits)
        assert settings.limits == VmLimits(0.516, 200e6, 4100, 625e3)

    @pytest.mark.parametrize(
        "limits", [None, {}, {"cores": 0, "memory_mb": None}]
    )
    def test_missing_limits_and_zeros_are_no_limits(
        self, tmp_path: Path, limits: Any
    ) -> None:
        assert not read(tmp_path, limits=limits).limits

    @pytest.mark.parametrize("value", [-1, "many", True, float("nan")])
    def test_an_invalid_limit_is_named(
        self, tmp_path: Path, value: Any
    ) -> None:
        with pytest.raises(PlatformSettingsError, match="limits.memory_mb"):
            read(tmp_path, limits={"memory_mb": value})


class TestBounds:
    @pytest.mark.parametrize(
        "bounds", [None, {}, {"catch_up_s": None, "lease_ms": "", "other": "x"}]
    )
    def test_missing_bounds_have_defaults(
        self, tmp_path: Path, bounds: Any
    ) -> None:
        settings = read(tmp_path, bounds=bounds)
        assert settings.bounds.catch_up_seconds == 4.0
        assert settings.bounds.lease_seconds == 3.0

    @pytest.mark.parametrize("name", ["catch_up_s", "lease_ms", "budget_ratio"])
    @pytest.mark.parametrize(
        "value", [-1, "soon", True, [4], float("nan"), float("inf")]
    )
    def test_an_invalid_bound_is_named(
        self, tmp_path: Path, name: str, value: Any
    ) -> None:
        with pytest.raises(PlatformSettingsError, match=f"bounds.{name}"):
            read(tmp_path, bounds={name: value})


class TestFrontLimits:
    @pytest.mark.parametrize(
        ("value", "expected"), [(None, True), ("on", True), ("off", False)]
    )
    def test_only_off_disables_refusals_by_load(
        self,
        tmp_path: Path,
        monkeypatch: pytest.MonkeyPatch,
        value: str | None,
        expected: bool,
    ) -> None:
        monkeypatch.delenv("RIDGESILL_FRONT_LIMITS", raising=False)
        if value is not None:
            monkeypatch.setenv("RIDGESILL_FRONT_LIMITS", value)
        assert read(tmp_path).refuses_when_full == expected


class TestContracts:
    @pytest.mark.parametrize(
        ("contracts", "expected"),
        [(None, False), (["other"], False), (["other", "pressure"], True)],
    )
    def test_slow_peers_are_named_by_a_contract(
        self, tmp_path: Path, contracts: Any, expected: bool
    ) -> None:
        settings = read(tmp_path, contracts=contracts)
        assert settings.has_slow_peers == expected

    def test_a_single_name_is_not_a_list(self, tmp_path: Path) -> None:
        with pytest.raises(PlatformSettingsError, match="contracts"):
            read(tmp_path, contracts="pressure")
