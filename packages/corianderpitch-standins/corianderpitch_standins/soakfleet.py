"""Processes of a soak: the stand-in of the platform, a fault proxy and the entries.

Each entry reaches the store and the machine service through maps of its own in the
proxy, so that it can be cut off alone. Signals, cuts and disturbances of an entry are
recorded, because some rules hold only for entries in touch.
"""

import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import urllib3

from corianderpitch.clock import SystemClock
from corianderpitch_standins.localfleet import PROXY, Process, wait_until
from corianderpitch_standins.ordercheck import Disturbance
from corianderpitch_standins.soakteams import SoakTeams

ROOT = Path(__file__).resolve().parents[3]
HOST = "127.0.0.1"
READY_TIMEOUT_S = 30.0
READY_ANSWER_S = 0.5
GRACE_S = 2.0
CONTACT_MS = 3000.0
PORTS = (20_000, 32_000)  # below the range of ports that the system chooses from
EXIT_SLACK_S = 1.0
SERVICES = ("counter", "bench")
WORKERS, STANDBY_MACHINES = 6, 4
CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": f"{service}-jobs",
            "host": "shop.example",
            "prefix": f"/{service}/",
            "service": service,
            "max_attempts": 2,
            "stretch": 1.6,
            "target_duration_ms": 600,
        }
        for service in SERVICES
    ],
    "services": [
        *({"name": service, "standby": False} for service in SERVICES),
        {"name": "rest", "standby": True},
    ],
    "limits": {"header_bytes": 16384, "body_bytes": 4096},
}
SETTINGS = """
node = "{name}"
ip = "127.0.0.1"
zone = "here"
region = "r"
[listen]
front = "{front}"
ready = "{ready}"
[bounds]
hold_max_ms = 6000
drain_ms = 2000
grace_s = {grace_s}
status_s = 120
lease_ms = 3000
notice_ms = 4500
migrate_s = 1
maintenance_s = 1
require_fence = false
[platform]
address = "{store}"
writes_per_s = 600
reads_per_s = 2000
[cloud]
address = "{machines}"
duty_per_s = 215.0
"""


@dataclass
class SoakEntry:
    """The process of an entry, its addresses and its maps in the proxy.

    ``stopping_since_ms`` is when it was told to end, 0 before that.
    """

    name: str
    process: subprocess.Popen
    front: str
    ready: str
    log: Path
    maps: dict[str, int]
    settings: Path
    stopping_since_ms: float = 0.0
    is_killed: bool = False
    _has_started: bool = False

    @property
    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self.process.poll() is None

    @property
    def has_started(self) -> bool:
        """Return whether the entry's log says that it serves callers."""
        if not self._has_started:
            self._has_started = "Entry started." in self.log.read_text()
        return self._has_started

    @property
    def is_holder(self) -> bool:
        """Return whether the entry's log says that it holds the scheduler's role."""
        text = self.log.read_text()
        return self.is_running and text.count("Term begins.") > text.count("Term ends.")


@dataclass
class SoakFleet:
    """All processes of a soak; ``close`` ends those that it has started.

    With ``has_teams`` callers of the first service need a key.
    """

    folder: Path
    has_teams: bool = False
    entries: list[SoakEntry] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    findings: list[str] = field(default_factory=list)

    def __post_init__(self):
        self.clock = SystemClock()
        self._http = urllib3.PoolManager(retries=False, timeout=10.0)
        self._maps: dict[str, dict[str, dict[str, Any]]] = {}
        self._rules: list[dict[str, Any]] = []
        self._starts = 0
        self.teams = SoakTeams(CONFIG, SERVICES[0], self.clock, self._write_config)
        config = self.teams.fields() if self.has_teams else CONFIG
        command = [sys.executable, "-m", "corianderpitch_standins.userplatform"]
        counts = [str(WORKERS), str(STANDBY_MACHINES)]
        with open(self.folder / "platform.log", "w") as log:
            self._platform = subprocess.Popen(
                [*command, json.dumps(config), *counts],
                stdout=subprocess.PIPE,
                stderr=log,
                text=True,
                start_new_session=True,
            )
        self._addresses = json.loads(self._platform.stdout.readline())
        self._proxy = Process(PROXY, []).wait_ready()

    def start_entry(self, name: str) -> SoakEntry:
        """Start a process of the entry ``name``."""
        front, ready = _free_address(), _free_address()
        if name not in self._maps:
            self._maps[name] = self._open_maps()
        maps = self._maps[name]
        self._starts += 1
        path = self.folder / f"{name}-{self._starts}.toml"
        addresses = {service: maps[service]["address"] for service in maps}
        path.write_text(
            SETTINGS.format(
                name=name, front=front, ready=ready, grace_s=GRACE_S, **addresses
            )
        )
        log_path = path.with_suffix(".log")
        self.disturb(name, 0.0)
        with open(log_path, "w") as log:
            process = subprocess.Popen(
                [sys.executable, str(ROOT / "platform" / "serve.py")],
                env=os.environ | {"CORIANDERPITCH_SETTINGS": str(path)},
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        numbers = {service: maps[service]["map"] for service in maps}
        entry = SoakEntry(name, process, front, ready, log_path, numbers, path)
        self.entries.append(entry)
        return entry

    def _write_config(self, fields: dict[str, Any]) -> None:
        self.control("write", table="op", name="config", fields=fields)

    def _open_maps(self) -> dict[str, dict[str, Any]]:
        return {
            service: self._control_proxy("/maps", {"target": self._addresses[service]})
            for service in ("store", "machines")
        }

    def _control_proxy(self, path: str, command: dict[str, Any]) -> Any:
        url = f"http://{self._proxy.addresses['http']}{path}"
        return self._http.request("POST", url, json=command).json()

    def control(self, action: str = "report", **fields: Any) -> dict[str, Any]:
        """Switch faults of the platform or write a row; returns its reply."""
        url = f"http://{self._addresses['control']}/{action}"
        return self._http.request("POST", url, json=fields).json()

    def disturb(self, name: str, duration_ms: float) -> None:
        """Note that an entry, or all with an empty name, is disturbed from now on."""
        now_ms = self.clock.now_ms()
        self.disturbances.append(Disturbance(name, now_ms, now_ms + duration_ms))

    def is_disturbed(self, name: str, from_ms: float, until_ms: float) -> bool:
        """Tell whether an entry was not in touch at some time of a span."""
        near = self._disturbances_near(from_ms, until_ms)
        return any(item.entry in ("", name) for item in near)

    def has_trouble(self, from_ms: float, until_ms: float) -> bool:
        """Tell whether any entry was not in touch at some time of a span."""
        return bool(self._disturbances_near(from_ms, until_ms))

    def _disturbances_near(self, from_ms: float, until_ms: float) -> list[Disturbance]:
        return [
            item
            for item in self.disturbances
            if item.began_ms <= until_ms and item.ended_ms + CONTACT_MS >= from_ms
        ]

    def begin_cut(self, entry: SoakEntry, services: list[str], mode: str) -> Any:
        """Add a rule of the proxy for some maps of an entry, and return it."""
        maps = [entry.maps[service] for service in services]
        rule = {"source": HOST, "maps": maps, "mode": mode, "delay_ms": 150.0}
        self._rules.append(rule)
        self._control_proxy("/rules", {"rules": self._rules})
        return rule

    def end_cut(self, rule: Any) -> None:
        """Remove a rule of the proxy, if it is still there."""
        self._rules = [other for other in self._rules if other is not rule]
        self._control_proxy("/rules", {"rules": self._rules})

    def silence_connections(self, entry: SoakEntry) -> None:
        """Let an entry's open connections to services go silent; new ones work."""
        self.end_cut(self.begin_cut(entry, list(entry.maps), "freeze_old"))

    def end_faults(self) -> None:
        """End all cuts and faults of the services, and continue all processes."""
        self._rules = []
        self._control_proxy("/rules", {"rules": []})
        self.control("store", away=False)
        self.control("store-faults")
        self.control("machine-faults")
        self.control("order-faults")
        self.control("store-parts")
        for entry in self.running():
            self.signal(entry, signal.SIGCONT)

    def signal(self, entry: SoakEntry, number: signal.Signals) -> None:
        """Send a signal to an entry that this fleet has started."""
        if not entry.is_running:
            return
        if number is signal.SIGTERM and not entry.stopping_since_ms:
            entry.stopping_since_ms = self.clock.now_ms()
        entry.is_killed |= number is signal.SIGKILL
        entry.process.send_signal(number)

    def running(self) -> list[SoakEntry]:
        """Return the entries whose processes run, including those that stop."""
        return [entry for entry in self.entries if entry.is_running]

    def serving(self) -> list[SoakEntry]:
        """Return the entries that run and were not told to stop."""
        return [entry for entry in self.running() if not entry.stopping_since_ms]

    def is_ready(self, entry: SoakEntry) -> bool:
        """Tell whether an entry answers that it is ready."""
        if not entry.has_started:
            return False
        url = f"http://{entry.ready}/corianderpitch/ready"
        try:
            return self._http.request("GET", url, timeout=READY_ANSWER_S).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def wait_ready(self) -> None:
        """Wait until all serving entries are ready."""
        wait_until(
            lambda: all(self.is_ready(entry) for entry in self.serving()),
            READY_TIMEOUT_S,
            "all entries ready",
        )

    def check_processes(self) -> None:
        """Add findings for processes that ended by themselves or ended badly."""
        for entry in self.entries:
            code = entry.process.poll()
            if code is None or entry.is_killed:
                continue
            is_asked = entry.stopping_since_ms > 0.0
            if is_asked and code == -signal.SIGTERM and not entry.has_started:
                continue
            if not is_asked or code != 0:
                self.findings.append(f"{entry.log.stem} ended with {code}")
                entry.is_killed = True  # report it once
        if self._platform.poll() is not None or not self._proxy.is_running:
            raise RuntimeError("the stand-in of the platform or the proxy has ended")

    def close(self) -> None:
        """Kill the processes that this fleet has started."""
        for entry in self.entries:
            entry.process.kill()
            entry.process.wait()
        self._proxy.kill()
        self._platform.kill()
        self._platform.wait()


def _free_address() -> str:
    """Return an address whose port the system gives to nobody by itself.

    Other processes ask the system for any free port at all times; one of them could
    get the port before the entry listens.
    """
    while True:
        port = random.SystemRandom().randrange(*PORTS)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((HOST, port))
            return f"{HOST}:{port}"
