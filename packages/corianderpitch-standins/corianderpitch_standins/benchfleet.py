"""Benchmark of real processes: throughput, roll-out, control cost and waves."""

import json
import statistics
import subprocess
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import psutil

from corianderpitch_standins.benchreport import Report, fit_line
from corianderpitch_standins.localfleet import LocalFleet, wait_until

LOAD_GENERATOR = "corianderpitch_standins.loadgenerator"
LOAD_CONNECTIONS = 32
THROUGHPUT_ROUNDS = 5
IDLE_PERIOD_S = 10.0
SETTLE_S = 20.0
NS_PER_S = 1e9
ROLL_OUT_REVISIONS = 20
BYTES_PER_MB = 1024 * 1024
# Size and change rate of the fleet for which the targets are stated.
TARGET_VMS_PER_SITE = 344
TARGET_POOLS = 21
TARGET_SITES = 16
TARGET_ENTRIES_PER_SITE = 8
TARGET_CHANGES = 2
TARGET_CHANGES_PER_S = 8300 / 86_400


def fleet_config_text(
    sites: list[str], slots: int = 8, timeout_ms: int = 2000, pools: int = 1
) -> str:
    """Return a base configuration file with one service per pool."""
    text = 'name = "bench"\n'
    for site in sites:
        text += f'[sites.{site}]\nregion = "r"\n'
    for number in range(pools):
        text += (
            f"[pools.p{number}]\nvm_processors = 1\nvm_memory_mb = 1\n"
            f'[services.s{number}]\npool = "p{number}"\ninstance_slots = {slots}\n'
            f"instance_connections = {16 * slots}\ndefault_timeout_ms = {timeout_ms}\n"
            f"budget = {{ min_available = 1 }}\n"
        )
    return text


def start_entries(fleet: LocalFleet, per_site: int) -> None:
    """Start the same number of entries in every data centre."""
    for site in fleet.data_centers:
        for number in range(per_site):
            fleet.start_entry(f"{site}-{number}", site, wait=False)
    for entry in fleet.entries.values():
        fleet.finish_start(entry)


def generate_load(address: str, path: str, rate_per_s: float = 0.0) -> dict[str, float]:
    """Run the load generator in another process and return its figures.

    A rate of 0 means a closed loop.
    """
    command = [
        sys.executable,
        "-m",
        LOAD_GENERATOR,
        "--address",
        address,
        "--path",
        path,
    ]
    command += ["--connections", str(LOAD_CONNECTIONS), "--rate-per-s", str(rate_per_s)]
    completed = subprocess.run(command, capture_output=True, text=True, check=True)
    return json.loads(completed.stdout)


def bench_throughput(report: Report) -> None:
    """Compare calls through an entry with direct calls to the instance."""
    report.heading(
        f"Throughput of one entry ({LOAD_CONNECTIONS} connections, no run time)"
    )
    with LocalFleet(["a"], has_proxy=False) as fleet:
        fleet.add_vms([("vm0", "a", "r", "p0"), ("vm1", "a", "r", "p0")], slots=64)
        start_entries(fleet, 1)
        fleet.apply_config(fleet_config_text(["a"], slots=64), 0, "first")
        fleet.wait_ready()
        wait_until(lambda: len(fleet.vm_records()) == 2, 15.0, "both VM records exist")
        time.sleep(1.0)
        direct_address = fleet.vms["vm0"].address
        entry_address = fleet.entries["a-0"].url.removeprefix("http://")
        path = "/v1/services/s0/requests"
        rates = [
            (
                generate_load(entry_address, path)["rate_per_s"],
                generate_load(direct_address, "/run")["rate_per_s"],
            )
            for _ in range(THROUGHPUT_ROUNDS)
        ]
        pairs = ", ".join(f"{entry:.0f}/{direct:.0f}" for entry, direct in rates)
        report.at_least(
            "throughput over direct, median of rounds in turn",
            statistics.median(entry / direct for entry, direct in rates),
            0.35,
            "times",
            f"requests/s {pairs}",
        )
        half_rate_per_s = min(entry for entry, _ in rates) / 2
        direct_half = generate_load(direct_address, "/run", half_rate_per_s)
        entry_half = generate_load(entry_address, path, half_rate_per_s)
        report.at_most(
            "added p50 at half load",
            entry_half["p50_ms"] - direct_half["p50_ms"],
            3.0,
            "ms",
            f"{entry_half['p50_ms']:.2f} ms against {direct_half['p50_ms']:.2f} ms",
        )


@dataclass(frozen=True)
class _RollOut:
    """How long each change took, and the platform requests during all changes."""

    took_ms: list[float]
    requests: dict[str, int]

    def __str__(self) -> str:
        changes = len(self.took_ms)
        reads = self.requests.get("/table/read", 0) / changes
        scans = self.requests.get("/table/scan", 0) / changes
        writes = self.requests.get("/table/commit", 0) / changes
        return f"{reads:.1f} reads, {scans:.1f} scans, {writes:.1f} writes"


def bench_roll_out(report: Report, sizes: tuple[int, ...] = (8, 16, 32, 64)) -> None:
    """Measure the time from a change's request until every entry applies it."""
    report.heading("Roll-out of a configuration change")
    points = []
    for size in sizes:
        roll_out = _measure_roll_out(size)
        took_ms = roll_out.took_ms
        points.append((float(size), statistics.median(took_ms)))
        worst_ms = max(took_ms)
        name = f"in force at {size} entries, worst of {len(took_ms)}"
        if size == min(sizes):
            report.at_most(name, worst_ms / 1000.0, 1.0, "s")
            report.note("platform requests a change, idle ones included", str(roll_out))
        else:
            report.note(
                name, f"{worst_ms / 1000.0:.2f} s, median {points[-1][1]:.0f} ms"
            )
    intercept_ms, slope_ms = fit_line(points)
    target_entries = TARGET_SITES * TARGET_ENTRIES_PER_SITE
    expected_s = (intercept_ms + slope_ms * target_entries) / 1000.0
    report.note("fit", f"{intercept_ms:.0f} ms + {slope_ms:.1f} ms per entry")
    report.at_most(f"worked out for {target_entries} entries", expected_s, 7.0, "s")


def _measure_roll_out(entries: int) -> _RollOut:
    sites = [f"d{number}" for number in range(max(3, entries // 4))]
    with LocalFleet(sites, has_proxy=False) as fleet:
        for number in range(entries):
            site = sites[number % len(sites)]
            fleet.start_entry(f"e{number}", site, wait=False)
        for entry in fleet.entries.values():
            fleet.finish_start(entry)
        fleet.apply_config(fleet_config_text(sites), 0, "first")
        fleet.wait_ready(60.0)
        wait_until(
            lambda: len(fleet.revisions()) == entries,
            60.0,
            "all entries report a revision",
        )
        before = fleet.platform_counts()["requests"]
        took_ms = [
            _measure_change_ms(fleet, sites, r) for r in range(1, ROLL_OUT_REVISIONS)
        ]
        after = fleet.platform_counts()["requests"]
        requests = {path: after[path] - before.get(path, 0) for path in after}
        return _RollOut(took_ms, requests)


def _measure_change_ms(fleet: LocalFleet, sites: list[str], revision: int) -> float:
    text = fleet_config_text(sites, timeout_ms=2000 + revision)
    started_s = time.monotonic()
    fleet.apply_config(text, revision, f"op{revision}")
    wait_until(
        lambda: set(fleet.revisions().values()) == {revision + 1},
        20.0,
        "the new revision is in force at every entry",
    )
    return (time.monotonic() - started_s) * 1000.0


@dataclass(frozen=True)
class ControlCost:
    """The resources that an entry uses without callers.

    ``cpu_percent`` is a share of one core. The rates of platform requests are those
    of the whole fleet.
    """

    cpu_percent: float
    resident_mb: float
    sent_bytes_per_s: float
    platform_reads_per_s: float
    platform_writes_per_s: float


def measure_control_cost(
    sites: int, per_site: int, vms_per_site: int, has_changes: bool = False
) -> ControlCost:
    """Run a fleet without callers and return the highest cost of an entry.

    If ``has_changes`` is set, the configuration changes ``TARGET_CHANGES_PER_S``
    times a second.
    """
    names = [f"d{number}" for number in range(sites)]
    with LocalFleet(names, has_proxy=False) as fleet:
        fleet.add_vms([(f"real-{site}", site, "r", "p0") for site in names])
        addresses = {site: fleet.vms[f"real-{site}"].address for site in names}
        vm_rows = [
            [f"vm-{s}-{n}", s, f"rack{n // 20}", f"p{n % TARGET_POOLS}", addresses[s]]
            + ["live"]
            for s in names
            for n in range(vms_per_site - 1)
        ]
        fleet.control_platform(vms=vm_rows)
        start_entries(fleet, per_site)
        fleet.apply_config(fleet_config_text(names, pools=TARGET_POOLS), 0, "first")
        fleet.wait_ready(60.0)
        expected = sites * vms_per_site
        wait_until(
            lambda: len(fleet.vm_records()) == expected, 60.0, "all VM records exist"
        )
        time.sleep(SETTLE_S)
        if has_changes:
            return _measure_cost_during(fleet, lambda: _apply_changes(fleet, names))
        return _measure_cost_during(fleet, lambda: time.sleep(IDLE_PERIOD_S))


def _apply_changes(fleet: LocalFleet, names: list[str]) -> None:
    """Apply the configuration changes, each through a different entry."""
    entries = list(fleet.entries.values())
    for revision in range(1, TARGET_CHANGES + 1):
        text = fleet_config_text(names, timeout_ms=2000 + revision, pools=TARGET_POOLS)
        entry = entries[revision * len(entries) // (TARGET_CHANGES + 1)]
        fleet.apply_config(text, revision, f"change{revision}", entry)
        time.sleep(1.0 / TARGET_CHANGES_PER_S)


def read_processor_time_s(pid: int) -> float:
    """Return the processor time of a single-threaded process, to the nanosecond."""
    text = Path(f"/proc/{pid}/schedstat").read_text()
    return int(text.split()[0]) / NS_PER_S


def _measure_cost_during(fleet: LocalFleet, work: Callable[[], None]) -> ControlCost:
    entries = list(fleet.entries.values())
    processes = [psutil.Process(entry.process.pid) for entry in entries]
    name = "corianderpitch_peer_sent_bytes "
    cpu_before = [read_processor_time_s(p.pid) for p in processes]
    sent_before = [fleet.metric(entry, name) for entry in entries]
    requests_before = fleet.platform_counts()["requests"]
    started_s = time.monotonic()
    work()
    took_s = time.monotonic() - started_s
    cpu_s = [
        read_processor_time_s(p.pid) - before
        for p, before in zip(processes, cpu_before, strict=True)
    ]
    sent = [
        fleet.metric(entry, name) - before
        for entry, before in zip(entries, sent_before, strict=True)
    ]
    requests = fleet.platform_counts()["requests"]
    delta = {key: requests[key] - requests_before.get(key, 0) for key in requests}
    writes = delta.get("/table/commit", 0)
    reads = delta.get("/table/read", 0) + delta.get("/table/scan", 0)
    return ControlCost(
        max(cpu_s) / took_s * 100.0,
        max(p.memory_info().rss for p in processes) / BYTES_PER_MB,
        max(sent) / took_s,
        reads / took_s,
        writes / took_s,
    )


def bench_control_cost(report: Report) -> None:
    """Measure the cost of control for an entry without callers, and its slopes."""
    report.heading(
        "Control cost of an entry (the worst of the fleet, 21 pools, no callers)"
    )
    by_vms = [(vms, measure_control_cost(1, 2, vms)) for vms in (43, 172, 344)]
    by_entries = [(per, measure_control_cost(1, per, 43)) for per in (2, 4, 8)]
    by_sites = [(sites, measure_control_cost(sites, 2, 43)) for sites in (2, 4, 8)]
    target_cost = measure_control_cost(
        TARGET_SITES, TARGET_ENTRIES_PER_SITE, TARGET_VMS_PER_SITE, has_changes=True
    )
    report.at_most("memory at the letter's size", target_cost.resident_mb, 128.0, "MB")
    report.at_most(
        "processor time at the letter's size",
        target_cost.cpu_percent,
        1.9,
        "% of a core",
    )
    report.at_most(
        "bytes sent at the letter's size", target_cost.sent_bytes_per_s, 14_000, "B/s"
    )
    report.note(
        "platform at the letter's size",
        f"{target_cost.platform_reads_per_s:.0f} reads/s, "
        f"{target_cost.platform_writes_per_s:.0f} writes/s",
    )
    for label, points in (
        ("VM", by_vms),
        ("entry in the data centre", by_entries),
        ("data centre", by_sites),
    ):
        _report_slopes(report, label, points)
    worst_cpu, worst_bytes = _extrapolate_to_target(by_vms, by_entries, by_sites)
    extrapolated = f"{worst_cpu:.2f} % of a core, {worst_bytes:.0f} B/s sent"
    report.note("worked out by these slopes", extrapolated)


def _report_slopes(
    report: Report, label: str, points: list[tuple[int, ControlCost]]
) -> None:
    for size, cost in points:
        report.note(
            f"{size} x {label}",
            f"{cost.cpu_percent:.2f} % of a core, {cost.resident_mb:.1f} MB, "
            f"{cost.sent_bytes_per_s:.0f} B/s, "
            f"{cost.platform_reads_per_s:.1f} reads/s, "
            f"{cost.platform_writes_per_s:.2f} writes/s",
        )
    _, cpu = fit_line([(float(s), c.cpu_percent) for s, c in points])
    _, memory = fit_line([(float(s), c.resident_mb * 1024) for s, c in points])
    _, sent = fit_line([(float(s), c.sent_bytes_per_s) for s, c in points])
    _, reads = fit_line([(float(s), c.platform_reads_per_s) for s, c in points])
    _, writes = fit_line([(float(s), c.platform_writes_per_s) for s, c in points])
    report.note(
        f"slope per {label}",
        f"{cpu:.4f} % of a core, {memory:.1f} KB, {sent:.1f} B/s, "
        f"{reads:.3f} reads/s, {writes:.3f} writes/s",
    )


def _extrapolate_to_target(
    by_vms: list[tuple[int, ControlCost]],
    by_entries: list[tuple[int, ControlCost]],
    by_sites: list[tuple[int, ControlCost]],
) -> tuple[float, float]:
    """Extrapolate processor time and bytes sent to the target fleet size.

    The slopes by VMs, entries and data centres are added to the cost of the smallest
    fleet.
    """
    base = by_entries[0][1]
    cpu, sent = base.cpu_percent, base.sent_bytes_per_s
    for points, size in (
        (by_vms, TARGET_VMS_PER_SITE),
        (by_entries, TARGET_ENTRIES_PER_SITE),
        (by_sites, TARGET_SITES),
    ):
        first = points[0][0]
        _, cpu_slope = fit_line([(float(s), c.cpu_percent) for s, c in points])
        _, sent_slope = fit_line([(float(s), c.sent_bytes_per_s) for s, c in points])
        cpu += max(0.0, cpu_slope) * (size - first)
        sent += max(0.0, sent_slope) * (size - first)
    return cpu, sent


def bench_wave(report: Report) -> None:
    """Measure a reboot wave over 30 VMs in three data centres."""
    report.heading("A reboot wave over 30 VMs of 5 services (actions take 100 ms)")
    sites = ["a", "b", "c"]
    with LocalFleet(sites, has_proxy=False) as fleet:
        fleet.add_vms(
            [
                (f"vm-{site}-{pool}-{n}", site, f"{site}-{n}", f"p{pool}")
                for site in sites
                for pool in range(5)
                for n in range(2)
            ]
        )
        start_entries(fleet, 2)
        text = fleet_config_text(sites, pools=5).replace(
            "min_available = 1", "min_available = 4"
        )
        fleet.apply_config(text, 0, "first")
        fleet.wait_ready()
        wait_until(lambda: len(fleet.vm_records()) == 30, 20.0, "all VM records exist")
        before = fleet.platform_counts()["requests"]
        started_s = time.monotonic()
        wave = {"name": "w", "kind": "reboot", "max_concurrent": 10}
        fleet.send_operator_request("/v1/waves", wave)
        wait_until(lambda: _wave_is_done(fleet), 120.0, "the wave is done")
        took_s = time.monotonic() - started_s
        counts = fleet.platform_counts()
        writes = counts["requests"]["/table/commit"] - before.get("/table/commit", 0)
        stops = sum(counts["performed"].values())
        report.at_most("stops over the least possible", stops / 30, 1.0, "times")
        report.note("time", f"{took_s:.1f} s, {took_s / 30:.2f} s a VM")
        report.note("table writes", f"{writes / 30:.1f} a VM, leases included")


def _wave_is_done(fleet: LocalFleet) -> bool:
    wave = fleet.send_operator_request("/v1/waves/w")
    return wave is not None and wave["state"] == "done"
