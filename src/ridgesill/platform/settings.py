"""Reads the YAML settings file that the platform writes for each process."""

import os
from pathlib import Path
from typing import Any

import attrs
import yaml

from ridgesill.core.addresses import with_port
from ridgesill.core.serving.front_load import VmLimits

# The environment variable that holds the path of the settings file.
_PATH_VARIABLE = "RIDGESILL_SETTINGS"


# The address to listen on for peers if it differs from the advertised one, as
# behind the proxies of the fault soak; deploy/system.toml may set it in `env`.
_PEERS_LISTEN_VARIABLE = "RIDGESILL_PEERS_LISTEN"
# A host that fronts connect to instead of each upstream's own, if upstreams are
# behind proxies on the same ports, as in the fault soak.
_UPSTREAM_HOST_VARIABLE = "RIDGESILL_UPSTREAM_HOST"
# Set to `off` in the environment, it keeps fronts from refusing requests by
# their own load where the VMs of fronts differ in size.
_FRONT_LIMITS_VARIABLE = "RIDGESILL_FRONT_LIMITS"
# Each role serves its metrics here; deploy/system.toml must name the same port
# and path.
_METRICS_PORT = 9464
METRICS_PATH = "/metrics"
# The contract that clients press beyond the usual, and that they and engines
# may read slowly.
_SLOW_PEERS_CONTRACT = "pressure"
_BYTES_PER_MB = 1e6
_BYTES_PER_MBIT = 1e6 / 8


class PlatformSettingsError(Exception):
    """The settings file is missing, unreadable or invalid.

    Attributes:
        path: the file, or the environment variable that should name it.
        field: the invalid field.
    """

    def __init__(self, path: str, field: str, expected: str) -> None:
        super().__init__(
            f"{path}: {field}: expected {expected}; the platform writes this "
            "file, so ask its operators to correct it"
        )
        self.path = path
        self.field = field


@attrs.frozen
class Bounds:
    """Time limits and shares that the platform requires.

    Attributes:
        drain_seconds: once this time has passed since an upstream's leave was
            acknowledged, no request may reach it.
        grace_seconds: time between SIGTERM and SIGKILL.
        configuration_seconds: time within which a configuration change must be
            in force on all fronts.
        catch_up_seconds: time after its start within which a control node
            counts as lost.
        lease_seconds: time within which two VMs must not both send orders.
        retry_share: share of requests that may be retried in
            `retry_window_seconds`.
        retry_slack: requests that may be retried in that window in addition.
        version_seconds: time within which a new adapter version must be in
            force.
        revocation_seconds: time within which every front must refuse a revoked
            key, even a front that is partitioned; infinite if only connected
            fronts must.
        quota_window_seconds: window over which customers' quotas are checked.
        quota_share: share of a quota by which a window may exceed it.
        quota_slack: tokens or requests by which a window may exceed a quota in
            addition.
    """

    drain_seconds: float = 2.0
    grace_seconds: float = 8.0
    configuration_seconds: float = 2.0
    catch_up_seconds: float = 4.0
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
    """The settings of one process.

    Attributes:
        vm: the VM's name.
        data_centre: the VM's data centre.
        client_address: listens for clients; empty if this role serves none.
        readiness_address: listens for the load balancer's readiness checks.
        control_address: listens for upstreams and the operator.
        peer_address: the address that is advertised to other ridgesill
            processes.
        peer_listen_address: listens for their messages; differs from
            `peer_address` only behind a proxy.
        metrics_address: serves this process's metrics.
        seeds: peer addresses of the first VMs that run control nodes.
        is_first_start: whether the whole deployment starts with empty disks.
        data_folder: folder for durable data; empty for a VM without a disk.
        tolerated_losses: VMs with a disk that may fail at the same time.
        heartbeat_seconds: interval between an upstream's heartbeats.
        bounds: time limits and shares that the platform requires.
        limits: limits of the VM.
        has_slow_peers: whether clients press beyond the usual, and clients and
            engines may read slowly.
        refuses_when_full: whether fronts may refuse requests by their own
            load.
        regions: region of each data centre, where the platform names them.
        upstream_host: host to connect to instead of each upstream's own; empty
            for none.
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
    limits: VmLimits = VmLimits()
    has_slow_peers: bool = False
    refuses_when_full: bool = True
    upstream_host: str = ""
    regions: dict[str, str] = attrs.Factory(dict)

    @property
    def voters(self) -> int:
        """The number of voters that tolerates `tolerated_losses`."""
        return 2 * self.tolerated_losses + 1


def get_settings_path() -> str:
    """Returns the path of this process's settings file."""
    path = os.environ.get(_PATH_VARIABLE, "")
    if not path:
        raise PlatformSettingsError(_PATH_VARIABLE, "value", "a file path")
    return path


def read_settings(path: str) -> PlatformSettings:
    """Reads a settings file; ignores unknown fields.

    Raises:
        PlatformSettingsError: the file can't be read or a field is invalid.
    """
    try:
        document = yaml.load(Path(path).read_text(), Loader=_LOADER)
    except (OSError, yaml.YAMLError) as error:
        raise PlatformSettingsError(path, "file", f"YAML ({error})") from error
    if not isinstance(document, dict):
        raise PlatformSettingsError(path, "file", "a mapping of fields")
    return _SettingsReader(path, document).read()


_LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


class _SettingsReader:
    """Converts the parsed document to typed settings."""

    def __init__(self, path: str, document: dict[str, Any]) -> None:
        self._path = path
        self._document = document

    def read(self) -> PlatformSettings:
        """Returns all settings."""
        listen = self._get_table("listen")
        port = self._read_peer_port()
        peer_address = f"{self._get_text('ip')}:{port}"
        tolerance = self._get_table("tolerance")
        return PlatformSettings(
            vm=self._get_text("node"),
            data_centre=self._get_text("zone"),
            client_address=str(listen.get("front") or ""),
            readiness_address=str(listen.get("ready") or ""),
            control_address=str(listen.get("control") or ""),
            peer_address=peer_address,
            peer_listen_address=os.environ.get(_PEERS_LISTEN_VARIABLE)
            or peer_address,
            metrics_address=f"{self._get_text('ip')}:{_METRICS_PORT}",
            seeds=tuple(with_port(seed, port) for seed in self._read_seeds()),
            is_first_start=bool(self._document.get("bootstrap", False)),
            data_folder=str(self._document.get("data_directory") or ""),
            tolerated_losses=int(tolerance.get("machines", 0)),
            heartbeat_seconds=self._read_heartbeat_seconds(),
            bounds=self._read_bounds(),
            limits=self._read_limits(),
            has_slow_peers=_SLOW_PEERS_CONTRACT in self._read_contracts(),
            refuses_when_full=os.environ.get(_FRONT_LIMITS_VARIABLE) != "off",
            upstream_host=os.environ.get(_UPSTREAM_HOST_VARIABLE, ""),
            regions={
                str(zone): str(region)
                for zone, region in self._get_table("zones").items()
            },
        )

    def _get_text(self, field: str) -> str:
        value = self._document.get(field)
        if not isinstance(value, str) or not value:
            raise PlatformSettingsError(self._path, field, "a non-empty string")
        return value

    def _get_table(self, field: str) -> dict[str, Any]:
        value = self._document.get(field) or {}
        if not isinstance(value, dict):
            raise PlatformSettingsError(self._path, field, "a mapping")
        return value

    def _read_seeds(self) -> list[str]:
        seeds = self._document.get("seeds")
        if not isinstance(seeds, list) or not seeds:
            raise PlatformSettingsError(
                self._path, "seeds", "a non-empty list of IP:PORT"
            )
        return [str(seed) for seed in seeds]

    def _read_peer_port(self) -> int:
        ports = self._document.get("internal_ports")
        if not isinstance(ports, list) or not ports:
            raise PlatformSettingsError(
                self._path, "internal_ports", "a list [FIRST_PORT, LAST_PORT]"
            )
        return int(ports[0])

    def _read_heartbeat_seconds(self) -> float:
        # The platform gives milliseconds.
        return float(self._document.get("heartbeat_interval_ms", 1000)) / 1000

    def _get_number(self, table: str, name: str, default: float = 0.0) -> float:
        value = self._get_table(table).get(name)
        if value is None or value == "":
            return default
        is_number = isinstance(value, int | float) and not isinstance(
            value, bool
        )
        if not is_number or not 0 <= value < float("inf"):
            raise PlatformSettingsError(
                self._path, f"{table}.{name}", "a number, 0 or more"
            )
        return float(value)

    def _read_bounds(self) -> Bounds:
        bounds = self._get_table("bounds")
        defaults = Bounds()

        def get_number(name: str, default: float) -> float:
            return self._get_number("bounds", name, default)

        def get_seconds(name: str, default_seconds: float) -> float:
            return get_number(name, default_seconds * 1000) / 1000

        return Bounds(
            drain_seconds=get_seconds("drain_ms", defaults.drain_seconds),
            grace_seconds=get_number("grace_s", defaults.grace_seconds),
            configuration_seconds=get_seconds(
                "config_ms", defaults.configuration_seconds
            ),
            catch_up_seconds=get_number(
                "catch_up_s", defaults.catch_up_seconds
            ),
            lease_seconds=get_seconds("lease_ms", defaults.lease_seconds),
            retry_share=get_number("budget_ratio", defaults.retry_share),
            retry_window_seconds=get_number(
                "budget_window_s", defaults.retry_window_seconds
            ),
            retry_slack=get_number("budget_slack", defaults.retry_slack),
            version_seconds=get_seconds("version_ms", defaults.version_seconds),
            revocation_seconds=get_seconds(
                "revoke_ms", defaults.revocation_seconds
            )
            if bounds.get("strict_revocation")
            else defaults.revocation_seconds,
            quota_window_seconds=get_number(
                "quota_window_s", defaults.quota_window_seconds
            ),
            quota_share=get_number("quota_excess", defaults.quota_share),
            quota_slack=get_number("quota_slack", defaults.quota_slack),
        )

    def _read_limits(self) -> VmLimits:
        # The share is of each core: a VM of 3 cores with a share of 0.86 has
        # 2.58 cores.
        cores = self._get_number("limits", "cores") or 1.0
        return VmLimits(
            processor_share=self._get_number("limits", "cpu_share") * cores,
            memory_bytes=self._get_number("limits", "memory_mb")
            * _BYTES_PER_MB,
            descriptors=int(self._get_number("limits", "file_descriptors")),
            link_bytes_per_second=self._get_number("limits", "link_mbps")
            * _BYTES_PER_MBIT,
        )

    def _read_contracts(self) -> list[str]:
        contracts = self._document.get("contracts") or []
        if not isinstance(contracts, list) or not all(
            isinstance(name, str) for name in contracts
        ):
            raise PlatformSettingsError(
                self._path, "contracts", "a list of names"
            )
        return contracts
