"""The settings of `finchwayd`: flags, each with a `FINCHWAY_*` environment variable.

A flag takes precedence over its variable. All errors are collected and reported together, each
with the flag or variable it comes from.
"""

from __future__ import annotations

import ipaddress
import os
from collections.abc import Mapping
from pathlib import Path

from absl import flags
from msgspec import Struct

from finchway.exceptions import Finding, SettingsError
from finchway.gateway import Bounds
from finchway.transport import DEFAULT_DESCRIPTORS, DEFAULT_MEMORY_MB

ENTRY = "entry"
CONTROL = "control"
GATEWAY = "gateway"
_ROLES = (ENTRY, CONTROL, GATEWAY)
_LOG_LEVELS = ("debug", "info", "warning", "error")
_ENV_PREFIX = "FINCHWAY_"
# A process without clients holds about half of this memory.
MIN_MEMORY_MB = 100
MIN_DESCRIPTORS = 256
# Variables of the `finchway` command, which may be set in the same shell.
CLI_VARIABLES = frozenset(
    {"FINCHWAY_API", "FINCHWAY_CREDENTIAL", "FINCHWAY_CA_FILE", "FINCHWAY_OUTPUT"}
)


class Settings(Struct, frozen=True, kw_only=True):
    """The validated settings of one process; addresses of roles it does not have are empty."""

    instance: str
    roles: tuple[str, ...]
    zone: str
    entry_address: str
    api_address: str
    peer_address: str
    control_peers: tuple[str, ...]
    data_folder: Path | None
    platform_address: str
    keys_file: Path | None
    tls_certificate: Path | None
    tls_key: Path | None
    log_level: str
    log_json: bool
    isolated_after_s: float
    lease_s: float
    heartbeat_s: float
    loan_s: float
    clock_margin_s: float
    election_s: float
    drain_limit_s: float
    relay_above: int
    region: str = ""
    gateway_address: str = ""
    zones: dict[str, str] = {}
    founders: tuple[tuple[str, str], ...] = ()
    founding: bool = False
    open_joining: bool = False
    bounds: Bounds = Bounds()
    peer_listen: str = ""
    memory_mb: int = DEFAULT_MEMORY_MB
    max_descriptors: int = DEFAULT_DESCRIPTORS

    @property
    def peer_bind(self) -> str:
        """The address to bind for connections from other finchway processes."""
        return self.peer_listen or self.peer_address


class _Flag(Struct, frozen=True):
    name: str
    default: str
    help: str


_FLAGS = (
    _Flag("instance", "", "Name of this instance, such as e1. Required."),
    _Flag("roles", "entry,control", "Roles of this process: entry, control, gateway."),
    _Flag("zone", "", "Availability zone that this instance lies in. Required for entries."),
    _Flag("entry_address", "", "IP:port where callers are served. Required for entries."),
    _Flag("region", "", "Region that this instance lies in. Required for gateways."),
    _Flag("gateway_address", "", "IP:port where a gateway serves callers. Required for gateways."),
    _Flag("zones", "", "Regions of the zones, such as north-a=north,south-a=south."),
    _Flag("api_address", "", "IP:port of the resource API. Required for control."),
    _Flag("peer_address", "", "IP:port for finchway's other processes. Required."),
    _Flag("peer_listen", "", "IP:port to bind, if others reach --peer_address by way of it."),
    _Flag("control_peers", "", "Peer addresses of the control replicas, separated by commas."),
    _Flag("data_folder", "", "Folder of the control replica's files. Required for control."),
    _Flag("platform_address", "", "IP:port of the platform's list of instances, if there is one."),
    _Flag("keys_file", "", "CURVE key pair of the deployment; encrypts links between processes."),
    _Flag("tls_certificate", "", "PEM file with the certificate for callers and operators."),
    _Flag("tls_key", "", "PEM file with the private key of the certificate."),
    _Flag("log_level", "info", "One of debug, info, warning, error."),
    _Flag("log_json", "true", "Log lines as JSON objects: true or false."),
    _Flag("isolated_after_s", "10", "Seconds without control and fellows until an entry stops."),
    _Flag("lease_s", "3", "Seconds for which a heartbeat confirms an entry."),
    _Flag("heartbeat_s", "0.2", "Seconds between an entry's heartbeats."),
    _Flag("loan_s", "1", "Seconds for which slots are lent."),
    _Flag("clock_margin_s", "0.5", "Margin in seconds for clocks that run at different speeds."),
    _Flag("election_s", "1", "Shortest election time of the replicated log in seconds."),
    _Flag("relay_above", "32", "Live entries above which heartbeats go through relays."),
    _Flag(
        "memory_mb",
        str(DEFAULT_MEMORY_MB),
        "Memory of the process in MB, of which clients together may hold three fifths.",
    ),
    _Flag(
        "max_descriptors",
        str(DEFAULT_DESCRIPTORS),
        "File descriptors of the process, of which clients may use three quarters but for 200.",
    ),
    _Flag("drain_limit_s", "120", "Longest planned stop in seconds, whatever is in flight."),
)


def define_flags(values: flags.FlagValues) -> None:
    """Define the flags of `finchwayd`."""
    for flag in _FLAGS:
        variable = _ENV_PREFIX + flag.name.upper()
        text = f"{flag.help} Environment: {variable}. Default: {flag.default or 'none'}."
        flags.DEFINE_string(flag.name, None, text, flag_values=values)


def read_settings(values: flags.FlagValues, environment: Mapping[str, str]) -> Settings:
    """Combine flags, environment and defaults, and validate them.

    Raises `SettingsError` with all findings, each with the flag or variable it comes from.
    """
    return _Reader(values, environment).read()


class _Reader:
    """Reads the settings and collects all errors."""

    def __init__(self, values: flags.FlagValues, environment: Mapping[str, str]) -> None:
        self._findings: list[Finding] = []
        self._raw: dict[str, str] = {}
        self._places: dict[str, str] = {}
        for flag in _FLAGS:
            flag_value = values[flag.name].value
            variable = _ENV_PREFIX + flag.name.upper()
            self._places[flag.name] = f"--{flag.name}"
            if flag_value is not None:
                self._raw[flag.name] = flag_value
            elif variable in environment:
                self._raw[flag.name] = environment[variable]
                self._places[flag.name] = variable
            else:
                self._raw[flag.name] = flag.default
        known = CLI_VARIABLES | {_ENV_PREFIX + flag.name.upper() for flag in _FLAGS}
        for variable in sorted(set(environment) - known):
            if variable.startswith(_ENV_PREFIX):
                self._findings.append(Finding(variable, "unknown setting", "see finchwayd --help"))

    def read(self) -> Settings:
        roles = self._roles()
        entry, control, gateway = ENTRY in roles, CONTROL in roles, GATEWAY in roles
        settings = Settings(
            instance=self._name("instance"),
            roles=roles,
            zone=self._name("zone", required=entry or gateway),
            entry_address=self._address("entry_address", required=entry),
            api_address=self._address("api_address", required=control),
            peer_address=self._address("peer_address", required=True),
            peer_listen=self._address("peer_listen"),
            control_peers=self._peers(required=not control),
            data_folder=self._folder(required=control),
            platform_address=self._address("platform_address"),
            keys_file=self._file("keys_file"),
            tls_certificate=self._file("tls_certificate"),
            tls_key=self._file("tls_key"),
            log_level=self._choice("log_level", _LOG_LEVELS),
            log_json=self._choice("log_json", ("true", "false")) == "true",
            isolated_after_s=self._seconds("isolated_after_s", 0.0),
            lease_s=self._seconds("lease_s", 0.1),
            heartbeat_s=self._seconds("heartbeat_s", 0.02),
            loan_s=self._seconds("loan_s", 0.1),
            clock_margin_s=self._seconds("clock_margin_s", 0.0),
            election_s=self._seconds("election_s", 0.1),
            drain_limit_s=self._seconds("drain_limit_s", 0.0),
            relay_above=self._integer("relay_above"),
            region=self._name("region", required=gateway),
            gateway_address=self._address("gateway_address", required=gateway),
            zones=self._zones(),
            memory_mb=self._integer("memory_mb", MIN_MEMORY_MB),
            max_descriptors=self._integer("max_descriptors", MIN_DESCRIPTORS),
        )
        self._check_combinations(settings)
        if self._findings:
            raise SettingsError(self._findings, "settings")
        return settings

    def _check_combinations(self, settings: Settings) -> None:
        if settings.lease_s < 3 * settings.heartbeat_s:
            problem = f"{settings.lease_s:g} s is shorter than three heartbeats"
            self._add_finding("lease_s", problem, f"at least {3 * settings.heartbeat_s:g}")
        if (settings.tls_certificate is None) != (settings.tls_key is None):
            self._add_finding(
                "tls_certificate", "certificate and key are given together or not at all"
            )

    def _add_finding(self, name: str, problem: str, hint: str = "") -> None:
        self._findings.append(Finding(self._places[name], problem, hint))

    def _roles(self) -> tuple[str, ...]:
        roles = tuple(part.strip() for part in self._raw["roles"].split(",") if part.strip())
        for role in roles:
            if role not in _ROLES:
                self._add_finding("roles", f"unknown role {role!r}", "entry, control, gateway")
        if not roles:
            self._add_finding("roles", "at least one role is needed", "entry, control, gateway")
        return roles

    def _name(self, name: str, required: bool = True) -> str:
        value = self._raw[name]
        if not value and required:
            self._add_finding(name, "is required")
        elif value and not all(
            c.isalnum() and c.islower() or c.isdigit() or c in ".-" for c in value
        ):
            self._add_finding(
                name, f"{value!r} is not a valid name", "lower-case letters, digits, . and -"
            )
        return value

    def _address(self, name: str, required: bool = False) -> str:
        value = self._raw[name]
        if not value:
            if required:
                self._add_finding(name, "is required", "IP:port")
            return ""
        problem = check_address(value)
        if problem:
            self._add_finding(name, problem, "IP:port, host names are not resolved")
        return value

    def _zones(self) -> dict[str, str]:
        zones = {}
        for part in self._raw["zones"].split(","):
            zone, separator, region = part.strip().partition("=")
            if separator and zone and region:
                zones[zone] = region
            elif part.strip():
                self._add_finding(
                    "zones", f"{part.strip()!r} is not ZONE=REGION", "north-a=north,..."
                )
        return zones

    def _peers(self, required: bool) -> tuple[str, ...]:
        peers = tuple(p.strip() for p in self._raw["control_peers"].split(",") if p.strip())
        for index, peer in enumerate(peers):
            problem = check_address(peer)
            if problem:
                place = f"{self._places['control_peers']}[{index}]"
                self._findings.append(Finding(place, problem, "IP:port"))
        if required and not peers:
            self._add_finding("control_peers", "is required for a process without the control role")
        return peers

    def _folder(self, required: bool) -> Path | None:
        value = self._raw["data_folder"]
        if not value:
            if required:
                self._add_finding("data_folder", "is required for control")
            return None
        path = Path(value)
        if path.exists() and not path.is_dir():
            self._add_finding("data_folder", f"{value} is not a directory")
        return path

    def _file(self, name: str) -> Path | None:
        value = self._raw[name]
        if not value:
            return None
        path = Path(value)
        if not os.access(path, os.R_OK):
            self._add_finding(name, f"{value} cannot be read")
        return path

    def _choice(self, name: str, choices: tuple[str, ...]) -> str:
        value = self._raw[name].lower()
        if value not in choices:
            self._add_finding(name, f"{value!r} is not known", f"one of {', '.join(choices)}")
        return value

    def _integer(self, name: str, minimum: int = 0) -> int:
        value = self._raw[name]
        if not (value.isascii() and value.isdigit()):
            self._add_finding(name, f"{value!r} is not a whole number")
            return minimum
        if int(value) < minimum:
            self._add_finding(name, f"{value} is too small", f"at least {minimum}")
        return int(value)

    def _seconds(self, name: str, minimum: float) -> float:
        try:
            value = float(self._raw[name])
        except ValueError:
            self._add_finding(name, f"{self._raw[name]!r} is not a number of seconds")
            return 1.0
        if not minimum <= value <= 86_400:
            self._add_finding(name, f"{value:g} is out of range", f"from {minimum:g} to 86400")
        return value


def check_address(value: str) -> str:
    """Return the error in an `IP:port` address, or an empty string if it is valid."""
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return f"{value!r} has no IP address"
    if not port.isdigit() or not 0 < int(port) < 65_536:
        return f"{value!r} has no port between 1 and 65535"
    return ""
