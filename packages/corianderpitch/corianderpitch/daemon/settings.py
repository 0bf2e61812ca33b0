"""Settings of ``corianderpitchd`` from flags and environment variables."""

import ipaddress
import re
from dataclasses import dataclass
from typing import Annotated

from cyclopts import Parameter

from corianderpitch.daemon.logs import LogFormat
from corianderpitch.errors import SettingsError

ENVIRONMENT_PREFIX = "CORIANDERPITCH_"
MAX_PORT = 65535
MAX_DRAIN_GRACE_MS = 60_000
_NAME_PATTERN = re.compile(r"[a-z0-9]([a-z0-9-]{0,38}[a-z0-9])?")


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port; with port 0 the operating system chooses a port."""

    host: str
    port: int

    @classmethod
    def from_text(cls, name: str, text: str) -> "Address":
        """Parse ``ip:port``; ``name`` is the setting that an error names.

        Raises
        ------
        SettingsError
            If the text is not an IP address and a port.
        """
        host, _, port = text.rpartition(":")
        try:
            ipaddress.ip_address(host.strip("[]"))
            port_number = int(port)
        except ValueError:
            port_number = -1
        if not 0 <= port_number <= MAX_PORT:
            problem = f"{text!r} is not ip:port with an IP number and port 0..65535"
            raise SettingsError(name, _flag_or_variable(name), problem)
        return cls(host.strip("[]"), port_number)

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@Parameter(name="*")
@dataclass(frozen=True, kw_only=True)
class Settings:
    """Settings of one entry.

    Parameters
    ----------
    entry
        Name of this entry, unique in the fleet: lower-case letters, digits and
        hyphens, at most 40.
    data_center
        Data centre that this entry runs in.
    listen
        ip:port for callers (HTTP).
    operator_listen
        ip:port for operators (HTTP).
    peer_listen
        ip:port for the other entries (msgpack over TCP).
    peer_advertise
        ip:port at which the other entries reach peer_listen, if it differs.
    platform
        URL of the platform's services, http://ip:port. Without it the daemon
        uses a sample platform in its own memory.
    peers
        ip:port of entries to query for the members when the platform is
        unavailable.
    drain_grace_ms
        Time in milliseconds, 0 to 60000, after SIGTERM between reporting "not
        ready" and closing the listener for callers.
    log_format
        Format of the log lines.
    log_level
        Lowest level that is logged.
    """

    entry: str
    data_center: str
    listen: str = "127.0.0.1:0"
    operator_listen: str = "127.0.0.1:0"
    peer_listen: str = "127.0.0.1:0"
    peer_advertise: str = ""
    platform: str = ""
    peers: Annotated[tuple[str, ...], Parameter(consume_multiple=True)] = ()
    drain_grace_ms: int = 1000
    log_format: LogFormat = "text"
    log_level: str = "info"

    def check(self) -> None:
        """Check that every value is allowed.

        Raises
        ------
        SettingsError
            For the first value that is not allowed.
        """
        _check_name("entry", self.entry)
        _check_name("data-center", self.data_center)
        Address.from_text("listen", self.listen)
        Address.from_text("operator-listen", self.operator_listen)
        Address.from_text("peer-listen", self.peer_listen)
        if self.peer_advertise:
            Address.from_text("peer-advertise", self.peer_advertise)
        for peer in self.peers:
            Address.from_text("peers", peer)
        if self.platform:
            self._check_platform()
        if not 0 <= self.drain_grace_ms <= MAX_DRAIN_GRACE_MS:
            problem = f"{self.drain_grace_ms} is not in 0..{MAX_DRAIN_GRACE_MS} ms"
            raise SettingsError(
                "drain-grace-ms", _flag_or_variable("drain-grace-ms"), problem
            )
        allowed_levels = ("debug", "info", "notice", "warning", "error")
        if self.log_level not in allowed_levels:
            problem = f"{self.log_level!r} is not one of {', '.join(allowed_levels)}"
            raise SettingsError("log-level", _flag_or_variable("log-level"), problem)

    def _check_platform(self) -> None:
        scheme, _, rest = self.platform.partition("://")
        if scheme != "http":
            problem = f"{self.platform!r} is not http://ip:port"
            raise SettingsError("platform", _flag_or_variable("platform"), problem)
        Address.from_text("platform", rest)


def _check_name(name: str, value: str) -> None:
    if not _NAME_PATTERN.fullmatch(value):
        problem = (
            f"{value!r} is not 1 to 40 lower-case letters, digits and inner hyphens"
        )
        raise SettingsError(name, _flag_or_variable(name), problem)


def _flag_or_variable(name: str) -> str:
    variable = ENVIRONMENT_PREFIX + name.upper().replace("-", "_")
    return f"--{name} or {variable}"
