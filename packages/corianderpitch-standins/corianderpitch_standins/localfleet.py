"""A fleet of local processes for integration tests, the demo and the benchmark."""

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


class ProcessStartError(Exception):
    """The first line of a process is no ready line, or the process printed none."""


class ConditionNotMet(Exception):
    """A condition did not become true before the timeout."""


def wait_until(
    condition: Callable[[], Any],
    timeout_s: float = 10.0,
    description: str = "condition",
) -> Any:
    """Poll until ``condition`` returns a true value, and return that value.

    Raises
    ------
    ConditionNotMet
        If no true value is returned within ``timeout_s``. The message names
        the condition by ``description``.
    """
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        value = condition()
        if value:
            return value
        time.sleep(POLL_S)
    raise ConditionNotMet(f"{description} not met within {timeout_s} s")


class Process:
    """A Python module run as a process, and the addresses that it listens on."""

    def __init__(self, module: str, arguments: list[str], verbose: bool = False):
        stderr = None if verbose else subprocess.DEVNULL
        self._popen = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdout=subprocess.PIPE,
            stderr=stderr,
            text=True,
            # A paused process would otherwise receive SIGHUP from the shell.
            start_new_session=True,
        )
        self._module = module
        self.is_paused = False
        self.addresses: dict[str, str] = {}

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._popen.pid

    def wait_ready(self) -> "Process":
        """Wait for the ready line and read the process's addresses from it.

        Example of a ready line: ``ready http=127.0.0.1:8000``.

        Raises
        ------
        ProcessStartError
            If the first line of output is no ready line, or there is none because
            the process ended.
        """
        line = self._popen.stdout.readline()
        if not line.startswith("ready"):
            raise ProcessStartError(
                f"{self._module} printed {line!r} instead of a ready line"
            )
        pairs = [part.split("=", 1) for part in line.split()[1:]]
        self.addresses = dict(pairs)
        return self

    def pause(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.is_paused = True
        os.kill(self.pid, signal.SIGSTOP)

    def resume(self) -> None:
        """Continue a paused process with SIGCONT."""
        os.kill(self.pid, signal.SIGCONT)
        self.is_paused = False

    def kill(self) -> None:
        """Kill the process with SIGKILL and wait for its end."""
        self._popen.kill()
        self._popen.wait()

    def terminate(self) -> int:
        """Send SIGTERM, wait for the process's end and return its exit code."""
        self._popen.terminate()
        return self._popen.wait(STOP_TIMEOUT_S)

    def send_sigterm(self) -> None:
        """Send SIGTERM without waiting for the process's end."""
        self._popen.terminate()

    @property
    def is_running(self) -> bool:
        """Return whether the process has not ended; a paused process counts."""
        return self._popen.poll() is None


@dataclass
class Vm:
    """An endpoint VM and the process of its instance."""

    vm_id: str
    data_center: str
    rack: str
    pool: str
    process: Process
    map_number: int
    address: str

    @property
    def control_address(self) -> str:
        """Return the instance's own ip:port, which bypasses the proxy."""
        return self.process.addresses["http"]


@dataclass
class EntryProcess:
    """An entry, its data centre and its process.

    ``peer_map_number`` is the proxy's map to the peers' port, -1 without a proxy.
    ``has_been_ready`` stays true once the entry was ready.
    """

    name: str
    data_center: str
    process: Process
    peer_map_number: int = -1
    has_been_ready: bool = False

    @property
    def url(self) -> str:
        """Return the URL for callers."""
        return f"http://{self.process.addresses['callers']}"

    @property
    def operator_url(self) -> str:
        """Return the URL for operators."""
        return f"http://{self.process.addresses['operators']}"


@dataclass
class LocalFleet:
    """Platform, fault proxy, VMs and entries as processes.

    The caller ends them with :meth:`close` or a ``with`` statement. Every entry
    connects to the platform and to its peers through the proxy and from the
    loopback address of its data centre, so that a rule of the proxy can cut off a
    data centre from the platform or from other data centres. ``has_proxy=False``
    starts entries and VMs without proxy.
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
        self.platform_mapping = self.control_proxy("/maps", {"target": target})

    def __enter__(self) -> "LocalFleet":
        return self

    def __exit__(self, *exception: object) -> None:
        self.close()

    def host(self, data_center: str) -> str:
        """Return the loopback address of a data centre."""
        return f"127.0.{self.data_centers.index(data_center) + 1}.1"

    def control_proxy(self, path: str, command: dict[str, Any]) -> Any:
        """Send a control request to the proxy and return its JSON reply."""
        url = f"http://{self.proxy.addresses['http']}{path}"
        return self.http.request("POST", url, json=command).json()

    def set_rules(self, *rules: dict[str, Any]) -> None:
        """Replace all rules of the proxy; without arguments, end all faults."""
        self.control_proxy("/rules", {"rules": list(rules)})

    def platform_partition_rules(self, *data_centers: str) -> list[dict[str, Any]]:
        """Return proxy rules that cut off data centres from the platform."""
        maps = [self.platform_mapping["map"]]
        return [
            {"source": self.host(dc), "maps": maps, "mode": "cut"}
            for dc in data_centers
        ]

    def site_partition_rules(self, data_center: str) -> list[dict[str, Any]]:
        """Return proxy rules that isolate a data centre.

        They cut it off from the other data centres and from the platform.
        """
        own_maps = [
            e.peer_map_number
            for e in self.entries.values()
            if e.data_center == data_center
        ]
        other_maps = [
            e.peer_map_number
            for e in self.entries.values()
            if e.data_center != data_center
        ]
        rules = self.platform_partition_rules(data_center)
        rules.append(
            {"source": self.host(data_center), "maps": other_maps, "mode": "cut"}
        )
        for other in self.data_centers:
            if other != data_center:
                rules.append(
                    {"source": self.host(other), "maps": own_maps, "mode": "cut"}
                )
        return rules

    def control_platform(self, **command: Any) -> None:
        """Change faults, VMs or workers of the platform."""
        url = f"http://{self.platform.addresses['http']}/control"
        self.http.request("POST", url, json=command)

    def platform_counts(self) -> dict[str, Any]:
        """Return the platform's counts of requests, VM actions and tasks."""
        url = f"http://{self.platform.addresses['http']}/counts"
        return self.http.request("GET", url).json()

    def add_vms(
        self, vm_specs: list[tuple[str, str, str, str]], slots: int = 8
    ) -> None:
        """Start VMs and add them to the platform's list.

        Parameters
        ----------
        vm_specs
            Id, data centre, rack and pool of each VM.
        slots
            Requests that each instance runs at the same time.
        """
        started = []
        for vm_id, data_center, rack, pool in vm_specs:
            arguments = ["--slots", str(slots), "--seed", str(len(self.vms) + 1)]
            process = Process(INSTANCE, arguments, self.verbose)
            new_map = {"map": -1, "address": ""}
            if self.has_proxy:
                new_map = self.control_proxy("/maps", {})
            number, address = new_map["map"], new_map["address"]
            vm = Vm(vm_id, data_center, rack, pool, process, number, address)
            self.vms[vm_id] = vm
            started.append(vm)
        for vm in started:
            vm.process.wait_ready()
            if self.has_proxy:
                target = {"target": vm.control_address}
                self.control_proxy(f"/maps/{vm.map_number}", target)
            else:
                vm.address = vm.control_address
        self.control_platform(vms=[_list_row(vm, "live") for vm in started])

    def set_listed_status(self, vm_id: str, status: str) -> None:
        """Change a VM's status in the platform's list."""
        self.control_platform(vms=[_list_row(self.vms[vm_id], status)])

    def instance_report(self, vm_id: str) -> dict[str, Any]:
        """Return an instance's run log and counters."""
        url = f"http://{self.vms[vm_id].control_address}/log"
        return self.http.request("GET", url).json()

    def control_vm(self, vm_id: str, **command: Any) -> None:
        """Change the state or the faults of an instance."""
        url = f"http://{self.vms[vm_id].control_address}/control"
        self.http.request("POST", url, json=command)

    def start_entry(
        self, name: str, data_center: str, *arguments: str, wait: bool = True
    ) -> EntryProcess:
        """Start an entry.

        Parameters
        ----------
        name
            Name of the entry.
        data_center
            Data centre of the entry.
        *arguments
            Further flags of the daemon.
        wait
            Whether to wait until the entry listens. Without it, the caller calls
            :meth:`finish_start` later.
        """
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
        peer_map_number = {"map": -1}
        if self.has_proxy:
            peer_map_number = self.control_proxy("/maps", {})
            flags["--platform"] = f"http://{self.platform_mapping['address']}"
            flags["--peer-advertise"] = peer_map_number["address"]
        command = [part for pair in flags.items() for part in pair]
        process = Process(DAEMON, [*command, *arguments], self.verbose)
        entry = EntryProcess(name, data_center, process, peer_map_number["map"])
        self.entries[name] = entry
        if wait:
            self.finish_start(entry)
        return entry

    def finish_start(self, entry: EntryProcess) -> None:
        """Wait until an entry listens, and point its peer map of the proxy to it."""
        entry.process.wait_ready()
        if self.has_proxy:
            target = {"target": entry.process.addresses["peers"]}
            self.control_proxy(f"/maps/{entry.peer_map_number}", target)

    def wait_ready(self, timeout_s: float = START_TIMEOUT_S) -> None:
        """Wait until every entry whose process runs is ready."""
        for entry in self.entries.values():
            if entry.process.is_running:
                wait_until(
                    lambda url=entry.url: self._is_ready(url), timeout_s, entry.name
                )
                entry.has_been_ready = True

    def _is_ready(self, url: str) -> bool:
        try:
            return self.http.request("GET", f"{url}/readyz").status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def running_entries(self) -> list[EntryProcess]:
        """Return the entries that have printed their ready line and still run."""
        entries = list(self.entries.values())
        return [e for e in entries if e.process.addresses and e.process.is_running]

    def running_urls(self) -> list[str]:
        """Return the URLs for callers of running entries that have been ready once.

        A load balancer would choose among these.
        """
        return [entry.url for entry in self.running_entries() if entry.has_been_ready]

    def send_operator_request(
        self,
        path: str,
        body: dict[str, Any] | None = None,
        entry: EntryProcess | None = None,
    ) -> Any:
        """Send an operator's request and return the JSON reply.

        Parameters
        ----------
        path
            Path of the request.
        body
            JSON body of a ``POST``; ``None`` sends a ``GET``.
        entry
            The entry to ask. By default all running entries are asked in turn,
            until one replies with status 200.

        Returns
        -------
        Any
            The reply, or ``None`` if no entry replied with status 200. Paused
            entries are skipped.
        """
        method = "GET" if body is None else "POST"
        for candidate in [entry] if entry else self.running_entries():
            if candidate.process.is_paused:
                continue
            try:
                url = f"{candidate.operator_url}{path}"
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
        """Apply a configuration without overlays, at ``entry`` or any running entry."""
        change = {
            "based_on": based_on,
            "operation_id": operation_id,
            "author": "test",
            "base_text": text,
            "overlay_texts": {},
        }
        return self.send_operator_request("/v1/config/apply", change, entry)

    def metric(self, entry: EntryProcess, name: str) -> float:
        """Return the sum of an entry's metrics whose lines start with ``name``."""
        text = self.http.request("GET", f"{entry.url}/metrics").data.decode()
        lines = [line for line in text.splitlines() if line.startswith(name)]
        return sum(float(line.rsplit(" ", 1)[1]) for line in lines)

    def vm_records(self) -> dict[str, dict[str, Any]]:
        """Return the record and the ``wait`` reason of each VM, by VM id."""
        vms = self.send_operator_request("/v1/fleet") or []
        return {vm["vm_id"]: {**vm["record"], "wait": vm["wait"]} for vm in vms}

    def revisions(self) -> dict[str, int]:
        """Return the configuration revision in force at each entry that replies."""
        status = self.send_operator_request("/v1/status") or {"entries": []}
        return {e["entry"]: e["revision"] for e in status["entries"]}

    def run_logs(self) -> list[list[str]]:
        """Return the run log of each instance: the keys of the requests that it ran."""
        return [self.instance_report(vm_id)["log"] for vm_id in self.vms]

    def close(self) -> None:
        """Kill every process that this fleet started."""
        processes = [e.process for e in self.entries.values()]
        processes += [vm.process for vm in self.vms.values()]
        for process in [*processes, self.proxy, self.platform]:
            process.kill()


def _list_row(vm: Vm, status: str) -> list[str]:
    return [vm.vm_id, vm.data_center, vm.rack, vm.pool, vm.address, status]
