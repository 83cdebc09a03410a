"""The settings file that the platform gives to each process (YAML)."""

import os
from pathlib import Path
from typing import Any

import attrs
import yaml

from ridgesill.core.addresses import with_port

# The environment variable that holds the file's path.
_PATH_VARIABLE = "RIDGESILL_SETTINGS"


# Own address for peers where something stands before it, as the fault soak's
# proxies do; deploy/system.toml may set it under `env`.
_PEERS_LISTEN_VARIABLE = "RIDGESILL_PEERS_LISTEN"
# Where each role serves its figures; deploy/system.toml names the same.
_METRICS_PORT = 9464
METRICS_PATH = "/metrics"


class PlatformSettingsError(Exception):
    """A settings file that can't be used; names file, field and expectation."""

    def __init__(self, path: str, field: str, expected: str) -> None:
        super().__init__(
            f"{path}: {field}: expected {expected}; the platform writes this "
            "file, so ask its operators to correct it"
        )
        self.path = path
        self.field = field


@attrs.frozen
class Bounds:
    """The platform's time limits and shares; times in seconds.

    Attributes:
        drain: after a confirmed departure, no request may reach an upstream.
        grace: between SIGTERM and SIGKILL.
        configuration: within which a change is in force everywhere.
        lease: within which two VMs must not both give orders.
        retry_share: of requests that may be sent again, over `retry_window`.
        retry_slack: requests more that may be sent again in that window.
        version: within which a new adapter version is in force.
        revocation: within which a key that was taken away is refused by every
            front, in touch or not; infinite where only those in touch must.
        quota_window: over which customers' limits are judged.
        quota_share: of a limit, by which a window may go beyond it.
        quota_slack: tokens or requests beside that.
    """

    drain_seconds: float = 2.0
    grace_seconds: float = 8.0
    configuration_seconds: float = 2.0
    lease_seconds: float = 3.0
    retry_share: float = 0.2
    retry_window_seconds: float = 10.0
    retry_slack: float = 50.0
    version_seconds: float = 5.0
    revocation_seconds: float = float("inf")
    quota_window_seconds: float = 8.0
    quota_share: float = 0.1
    quota_slack: float = 0.0


@attrs.frozen
class PlatformSettings:
    """What a process is told at its start.

    Attributes:
        vm: the VM's name.
        data_centre: where it stands.
        callers: address for clients; empty if this role has none.
        readiness: address for the balancer's question.
        control: address for upstreams and the operator.
        peers: address at which the project's own processes reach this one.
        peers_listen: address on which it takes their messages; the same
            unless something forwards between the two.
        metrics: address for this process's figures.
        seeds: addresses, for the project's own processes, of the first VMs
            that serve control.
        is_first_start: whether the whole deployment starts on empty disks.
        data_folder: empty for a VM without a disk.
        losses: VMs with a disk that may be lost at once.
        heartbeat: seconds between an upstream's heartbeats.
    """

    vm: str
    data_centre: str
    client_address: str
    readiness_address: str
    control_address: str
    peer_address: str
    peer_listen_address: str
    metrics_address: str
    seeds: tuple[str, ...]
    is_first_start: bool
    data_folder: str
    tolerated_losses: int
    heartbeat_seconds: float
    bounds: Bounds

    @property
    def voters(self) -> int:
        """How many voters bear the loss of `losses` of them."""
        return 2 * self.tolerated_losses + 1


def get_settings_path() -> str:
    """Returns the path of this process's settings file."""
    path = os.environ.get(_PATH_VARIABLE, "")
    if not path:
        raise PlatformSettingsError(_PATH_VARIABLE, "value", "a file's path")
    return path


def read_settings(path: str) -> PlatformSettings:
    """Returns the settings in a file; unknown fields are passed over.

    Raises:
        PlatformSettingsError: the file can't be read or a field is wrong.
    """
    try:
        document = yaml.load(Path(path).read_text(), Loader=_LOADER)
    except (OSError, yaml.YAMLError) as error:
        raise PlatformSettingsError(path, "file", f"YAML ({error})") from error
    if not isinstance(document, dict):
        raise PlatformSettingsError(path, "file", "a table of fields")
    return _Reader(path, document).read()


_LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


class _Reader:
    """Takes typed values out of the document."""

    def __init__(self, path: str, document: dict[str, Any]) -> None:
        self._path = path
        self._document = document

    def read(self) -> PlatformSettings:
        """Returns all settings."""
        listen = self._table("listen")
        port = self._peer_port()
        peers = f"{self._text('ip')}:{port}"
        tolerance = self._table("tolerance")
        return PlatformSettings(
            vm=self._text("node"),
            data_centre=self._text("zone"),
            client_address=str(listen.get("front") or ""),
            readiness_address=str(listen.get("ready") or ""),
            control_address=str(listen.get("control") or ""),
            peer_address=peers,
            peer_listen_address=os.environ.get(_PEERS_LISTEN_VARIABLE) or peers,
            metrics_address=f"{self._text('ip')}:{_METRICS_PORT}",
            seeds=tuple(with_port(seed, port) for seed in self._seeds()),
            is_first_start=bool(self._document.get("bootstrap", False)),
            data_folder=str(self._document.get("data_directory") or ""),
            tolerated_losses=int(tolerance.get("machines", 0)),
            heartbeat_seconds=self._heartbeat(),
            bounds=self._bounds(),
        )

    def _text(self, field: str) -> str:
        value = self._document.get(field)
        if not isinstance(value, str) or not value:
            raise PlatformSettingsError(self._path, field, "a text")
        return value

    def _table(self, field: str) -> dict[str, Any]:
        value = self._document.get(field) or {}
        if not isinstance(value, dict):
            raise PlatformSettingsError(self._path, field, "a table")
        return value

    def _seeds(self) -> list[str]:
        seeds = self._document.get("seeds")
        if not isinstance(seeds, list) or not seeds:
            raise PlatformSettingsError(
                self._path, "seeds", "a list of IP:PORT"
            )
        return [str(seed) for seed in seeds]

    def _peer_port(self) -> int:
        ports = self._document.get("internal_ports")
        if not isinstance(ports, list) or not ports:
            raise PlatformSettingsError(
                self._path, "internal_ports", "the first and the last port"
            )
        return int(ports[0])

    def _heartbeat(self) -> float:
        # Milliseconds on the platform.
        return float(self._document.get("heartbeat_interval_ms", 1000)) / 1000

    def _bounds(self) -> Bounds:
        given = self._table("bounds")
        default = Bounds()

        def milliseconds(name: str, fallback: float) -> float:
            return float(given.get(name, fallback * 1000)) / 1000

        return Bounds(
            drain_seconds=milliseconds("drain_ms", default.drain_seconds),
            grace_seconds=float(given.get("grace_s", default.grace_seconds)),
            configuration_seconds=milliseconds(
                "config_ms", default.configuration_seconds
            ),
            lease_seconds=milliseconds("lease_ms", default.lease_seconds),
            retry_share=float(given.get("budget_ratio", default.retry_share)),
            retry_window_seconds=float(
                given.get("budget_window_s", default.retry_window_seconds)
            ),
            retry_slack=float(given.get("budget_slack", default.retry_slack)),
            version_seconds=milliseconds("version_ms", default.version_seconds),
            revocation_seconds=milliseconds(
                "revoke_ms", default.revocation_seconds
            )
            if given.get("strict_revocation")
            else default.revocation_seconds,
            quota_window_seconds=float(
                given.get("quota_window_s", default.quota_window_seconds)
            ),
            quota_share=float(given.get("quota_excess", default.quota_share)),
            quota_slack=float(given.get("quota_slack", default.quota_slack)),
        )
