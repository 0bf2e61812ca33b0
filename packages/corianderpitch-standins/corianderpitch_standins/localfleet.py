"""A fleet of real processes on this machine, for tests, demo and bench."""

import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import urllib3

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 15.0
POLL_S = 0.02
OPERATOR_TIMEOUT_S = 10.0

PLATFORM = "corianderpitch_standins.platform"
INSTANCE = "corianderpitch_standins.instance"
PROXY = "corianderpitch_standins.faultproxy"
DAEMON = "corianderpitch.daemon.main"


class ProcessFailed(Exception):
    """A process ended or did not become ready in time."""


class ConditionNotMet(Exception):
    """A condition did not become true in time."""


def wait_until(
    condition: Callable[[], Any], timeout_s: float = 10.0, what: str = "condition"
) -> Any:
    """Poll until ``condition`` returns a true value, and return it."""
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        value = condition()
        if value:
            return value
        time.sleep(POLL_S)
    raise ConditionNotMet(f"{what} not met within {timeout_s} s")


class Process:
    """One process and the addresses that it announced."""

    def __init__(self, module: str, arguments: list[str], verbose: bool = False):
        stderr = None if verbose else subprocess.DEVNULL
        self._popen = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdout=subprocess.PIPE,
            stderr=stderr,
            text=True,
            start_new_session=True,  # a stopped process would get the shell's SIGHUP
        )
        self._module = module
        self.is_paused = False
        self.addresses: dict[str, str] = {}

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._popen.pid

    def wait_ready(self) -> "Process":
        """Read the line that announces the addresses."""
        line = self._popen.stdout.readline()
        if not line.startswith("ready"):
            raise ProcessFailed(f"{self._module} printed {line!r}")
        pairs = [part.split("=", 1) for part in line.split()[1:]]
        self.addresses = dict(pairs)
        return self

    def pause(self) -> None:
        """Stop the process where it is."""
        self.is_paused = True
        os.kill(self.pid, signal.SIGSTOP)

    def resume(self) -> None:
        """Let a paused process go on."""
        os.kill(self.pid, signal.SIGCONT)
        self.is_paused = False

    def kill(self) -> None:
        """End the process at once."""
        self._popen.kill()
        self._popen.wait()

    def terminate(self) -> int:
        """Ask the process to leave; returns its exit code."""
        self._popen.terminate()
        return self._popen.wait(STOP_TIMEOUT_S)

    def ask_to_leave(self) -> None:
        """Send SIGTERM without waiting."""
        self._popen.terminate()

    @property
    def is_running(self) -> bool:
        """Tell whether the process runs."""
        return self._popen.poll() is None


@dataclass
class Vm:
    """An endpoint VM and its instance's process."""

    vm_id: str
    data_center: str
    rack: str
    pool: str
    process: Process
    map_number: int
    address: str

    @property
    def control_address(self) -> str:
        """Return the instance's own ip:port, past the proxy."""
        return self.process.addresses["http"]


@dataclass
class EntryProcess:
    """An entry, its data centre and its process."""

    name: str
    data_center: str
    process: Process
    peer_map: int = -1
    was_ready: bool = False

    @property
    def url(self) -> str:
        """Return the callers' URL."""
        return f"http://{self.process.addresses['callers']}"

    @property
    def operator_url(self) -> str:
        """Return the operators' URL."""
        return f"http://{self.process.addresses['operators']}"


@dataclass
class LocalFleet:
    """Platform, fault proxy, VMs and entries; end it with :meth:`close`.

    Every entry reaches the platform and its peers through the proxy, from the
    loopback address of its data centre, so that rules can cut either.
    """

    data_centers: list[str]
    verbose: bool = False
    has_proxy: bool = True
    vms: dict[str, Vm] = field(default_factory=dict)
    entries: dict[str, EntryProcess] = field(default_factory=dict)

    def __post_init__(self):
        self.http = urllib3.PoolManager(retries=False, timeout=30.0, maxsize=64)
        self.platform = Process(PLATFORM, [], self.verbose).wait_ready()
        self.proxy = Process(PROXY, [], self.verbose).wait_ready()
        target = self.platform.addresses["http"]
        self.platform_map = self.ask_proxy("/maps", {"target": target})

    def __enter__(self) -> "LocalFleet":
        return self

    def __exit__(self, *exception: object) -> None:
        self.close()

    def host(self, data_center: str) -> str:
        """Return the loopback address of a data centre."""
        return f"127.0.{self.data_centers.index(data_center) + 1}.1"

    def ask_proxy(self, path: str, command: dict[str, Any]) -> Any:
        """Send a control request to the proxy."""
        url = f"http://{self.proxy.addresses['http']}{path}"
        return self.http.request("POST", url, json=command).json()

    def set_rules(self, *rules: dict[str, Any]) -> None:
        """Replace the faults in force."""
        self.ask_proxy("/rules", {"rules": list(rules)})

    def cut_platform(self, *data_centers: str) -> list[dict[str, Any]]:
        """Return rules that cut data centres off from the platform."""
        maps = [self.platform_map["map"]]
        return [
            {"source": self.host(dc), "maps": maps, "mode": "cut"}
            for dc in data_centers
        ]

    def cut_site(self, data_center: str) -> list[dict[str, Any]]:
        """Return rules that cut a data centre off from the others and the platform."""
        inside = [
            e.peer_map for e in self.entries.values() if e.data_center == data_center
        ]
        outside = [
            e.peer_map for e in self.entries.values() if e.data_center != data_center
        ]
        rules = self.cut_platform(data_center)
        rules.append({"source": self.host(data_center), "maps": outside, "mode": "cut"})
        for other in self.data_centers:
            if other != data_center:
                rules.append(
                    {"source": self.host(other), "maps": inside, "mode": "cut"}
                )
        return rules

    def control_platform(self, **command: Any) -> None:
        """Switch faults of the platform."""
        url = f"http://{self.platform.addresses['http']}/control"
        self.http.request("POST", url, json=command)

    def platform_counts(self) -> dict[str, Any]:
        """Return the platform's counts of requests and VM actions."""
        url = f"http://{self.platform.addresses['http']}/counts"
        return self.http.request("GET", url).json()

    def add_vms(self, wanted: list[tuple[str, str, str, str]], slots: int = 8) -> None:
        """Start VMs given as (id, data centre, rack, pool) and list them."""
        started = []
        for vm_id, data_center, rack, pool in wanted:
            arguments = ["--slots", str(slots), "--seed", str(len(self.vms) + 1)]
            process = Process(INSTANCE, arguments, self.verbose)
            new_map = {"map": -1, "address": ""}
            if self.has_proxy:
                new_map = self.ask_proxy("/maps", {})
            number, address = new_map["map"], new_map["address"]
            vm = Vm(vm_id, data_center, rack, pool, process, number, address)
            self.vms[vm_id] = vm
            started.append(vm)
        for vm in started:
            vm.process.wait_ready()
            if self.has_proxy:
                target = {"target": vm.control_address}
                self.ask_proxy(f"/maps/{vm.map_number}", target)
            else:
                vm.address = vm.control_address
        self.control_platform(vms=[_listed(vm, "live") for vm in started])

    def list_vm(self, vm_id: str, status: str) -> None:
        """Change a VM's status in the platform's list."""
        self.control_platform(vms=[_listed(self.vms[vm_id], status)])

    def vm_log(self, vm_id: str) -> dict[str, Any]:
        """Return an instance's run log."""
        url = f"http://{self.vms[vm_id].control_address}/log"
        return self.http.request("GET", url).json()

    def control_vm(self, vm_id: str, **command: Any) -> None:
        """Switch faults of an instance."""
        url = f"http://{self.vms[vm_id].control_address}/control"
        self.http.request("POST", url, json=command)

    def start_entry(
        self, name: str, data_center: str, *arguments: str, wait: bool = True
    ) -> EntryProcess:
        """Start an entry behind the proxy, or without it if not ``has_proxy``."""
        host = self.host(data_center)
        flags = {
            "--entry": name,
            "--data-center": data_center,
            "--listen": f"{host}:0",
            "--operator-listen": f"{host}:0",
            "--peer-listen": f"{host}:0",
            "--platform": f"http://{self.platform.addresses['http']}",
            "--drain-grace-ms": "200",
        }
        peer_map = {"map": -1}
        if self.has_proxy:
            peer_map = self.ask_proxy("/maps", {})
            flags["--platform"] = f"http://{self.platform_map['address']}"
            flags["--peer-advertise"] = peer_map["address"]
        command = [part for pair in flags.items() for part in pair]
        process = Process(DAEMON, [*command, *arguments], self.verbose)
        entry = EntryProcess(name, data_center, process, peer_map["map"])
        self.entries[name] = entry
        if wait:
            self.finish_start(entry)
        return entry

    def finish_start(self, entry: EntryProcess) -> None:
        """Wait until an entry listens, and forward its peers to it."""
        entry.process.wait_ready()
        if self.has_proxy:
            target = {"target": entry.process.addresses["peers"]}
            self.ask_proxy(f"/maps/{entry.peer_map}", target)

    def wait_ready(self, timeout_s: float = START_TIMEOUT_S) -> None:
        """Wait until every running entry is ready."""
        for entry in self.entries.values():
            if entry.process.is_running:
                wait_until(
                    lambda url=entry.url: self._is_ready(url), timeout_s, entry.name
                )
                entry.was_ready = True

    def _is_ready(self, url: str) -> bool:
        try:
            return self.http.request("GET", f"{url}/readyz").status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def running_entries(self) -> list[EntryProcess]:
        """Return the entries that have started and not ended."""
        entries = list(self.entries.values())
        return [e for e in entries if e.process.addresses and e.process.is_running]

    def running_urls(self) -> list[str]:
        """Return the callers' URLs that the balancer would choose from."""
        return [entry.url for entry in self.running_entries() if entry.was_ready]

    def ask_operator(
        self,
        path: str,
        body: dict[str, Any] | None = None,
        entry: EntryProcess | None = None,
    ) -> Any:
        """Send an operator's request to one entry, or the first that answers well."""
        method = "GET" if body is None else "POST"
        for asked in [entry] if entry else self.running_entries():
            if asked.process.is_paused:
                continue
            try:
                url = f"{asked.operator_url}{path}"
                response = self.http.request(
                    method, url, json=body, timeout=OPERATOR_TIMEOUT_S
                )
            except urllib3.exceptions.HTTPError:
                continue
            if response.status == 200:
                return response.json()
        return None

    def apply_config(
        self,
        text: str,
        based_on: int,
        operation_id: str,
        entry: EntryProcess | None = None,
    ) -> Any:
        """Apply a configuration without overlays, through one entry or any."""
        change = {
            "based_on": based_on,
            "operation_id": operation_id,
            "author": "test",
            "base_text": text,
            "overlay_texts": {},
        }
        return self.ask_operator("/v1/config/apply", change, entry)

    def metric(self, entry: EntryProcess, name: str) -> float:
        """Return the sum of a metric of an entry over its labels."""
        text = self.http.request("GET", f"{entry.url}/metrics").data.decode()
        lines = [line for line in text.splitlines() if line.startswith(name)]
        return sum(float(line.rsplit(" ", 1)[1]) for line in lines)

    def vm_records(self) -> dict[str, dict[str, Any]]:
        """Return the VMs' records by id."""
        found = self.ask_operator("/v1/fleet") or []
        return {vm["vm_id"]: {**vm["record"], "wait": vm["wait"]} for vm in found}

    def revisions(self) -> dict[str, int]:
        """Return the revision in force at each entry that answers."""
        status = self.ask_operator("/v1/status") or {"entries": []}
        return {e["entry"]: e["revision"] for e in status["entries"]}

    def run_logs(self) -> list[list[str]]:
        """Return the run logs of all instances."""
        return [self.vm_log(vm_id)["log"] for vm_id in self.vms]

    def close(self) -> None:
        """End every process that this fleet started."""
        processes = [e.process for e in self.entries.values()]
        processes += [vm.process for vm in self.vms.values()]
        for process in [*processes, self.proxy, self.platform]:
            process.kill()


def _listed(vm: Vm, status: str) -> list[str]:
    return [vm.vm_id, vm.data_center, vm.rack, vm.pool, vm.address, status]
