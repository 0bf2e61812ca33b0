"""Settings of ``corianderpitchd``, from flags and environment variables."""

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
_NAME = re.compile(r"[a-z0-9]([a-z0-9-]{0,38}[a-z0-9])?")


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port; port 0 lets the system choose one."""

    host: str
    port: int

    @classmethod
    def from_text(cls, name: str, text: str) -> "Address":
        """Read ``ip:port``.

        Raises
        ------
        SettingsError
            If the text is not an IP address and a port.
        """
        host, _, port = text.rpartition(":")
        try:
            ipaddress.ip_address(host.strip("[]"))
            number = int(port)
        except ValueError:
            number = -1
        if not 0 <= number <= MAX_PORT:
            allowed = f"{text!r} is not ip:port with an IP number and port 0..65535"
            raise SettingsError(name, _source(name), allowed)
        return cls(host.strip("[]"), number)

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
        ip:port under which the other entries reach peer_listen, if it differs.
    platform
        URL of the platform's services, http://ip:port. Without it the daemon
        runs on a platform in its own memory.
    peers
        ip:port of entries to ask for the members when the platform is away.
    drain_grace_ms
        Time in milliseconds between reporting "not ready" and closing the
        door after SIGTERM, 0 to 60000.
    log_format
        Form of the log lines.
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
        """Check every value.

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
            allowed = f"{self.drain_grace_ms} is not in 0..{MAX_DRAIN_GRACE_MS} ms"
            raise SettingsError("drain-grace-ms", _source("drain-grace-ms"), allowed)
        levels = ("debug", "info", "notice", "warning", "error")
        if self.log_level not in levels:
            allowed = f"{self.log_level!r} is not one of {', '.join(levels)}"
            raise SettingsError("log-level", _source("log-level"), allowed)

    def _check_platform(self) -> None:
        scheme, _, rest = self.platform.partition("://")
        if scheme != "http":
            allowed = f"{self.platform!r} is not http://ip:port"
            raise SettingsError("platform", _source("platform"), allowed)
        Address.from_text("platform", rest)


def _check_name(name: str, value: str) -> None:
    if not _NAME.fullmatch(value):
        allowed = (
            f"{value!r} is not 1 to 40 lower-case letters, digits and inner hyphens"
        )
        raise SettingsError(name, _source(name), allowed)


def _source(name: str) -> str:
    variable = ENVIRONMENT_PREFIX + name.upper().replace("-", "_")
    return f"--{name} or {variable}"
