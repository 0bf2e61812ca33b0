"""Demo of a fleet under load that checks its guarantees: ``make demo``.

The demo takes less than a minute and needs no preparation. Three data centres
with entries and instances serve callers of all five Polsterwerk services during
one configuration change, one drain and one killed entry. The report shows every
outcome. The exit code is 0 if every guarantee was met, and 1 otherwise.
"""

import os
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from corianderpitch_standins.load import CallerLoad, check_outcomes, outcomes_by_service
from corianderpitch_standins.localfleet import LocalFleet, wait_until

EXAMPLE = Path(__file__).parents[3] / "examples" / "polsterwerk"
SITES = ["graz-a", "graz-b", "leoben"]
SERVICES = ["theke", "rahmen", "hausbesuch", "zuschnitt", "werkbank"]
ENTRIES = {"graz-a": 3, "graz-b": 3, "leoben": 2}
INSTANCES_PER_SITE = 2
SETTLE_S = 2.0
CONFIG_IN_FORCE_LIMIT_S = 7.0
NO_NEW_WORK_LIMIT_S = 2.0


@dataclass(frozen=True)
class Check:
    """One guarantee, whether it was met, and the measured values."""

    guarantee: str
    is_met: bool
    detail: str


def run_command(fleet: LocalFleet, *arguments: str) -> str:
    """Run the operators' command line at the first running entry and return stdout."""
    urls = [entry.operator_url for entry in fleet.running_entries()]
    command = [sys.executable, "-m", "corianderpitch_client.main", *arguments]
    completed = subprocess.run(
        [*command, "--entries", urls[0]], capture_output=True, text=True, check=False
    )
    print(f"$ corianderpitch {' '.join(arguments)}")
    print(completed.stdout + completed.stderr)
    return completed.stdout


def start_fleet(fleet: LocalFleet) -> None:
    """Start instances and entries, and apply the example configuration."""
    vms = [
        (f"{service}-{site}-{number}", site, f"{site}-rack-{number}", service)
        for site in SITES
        for service in SERVICES
        for number in range(1, INSTANCES_PER_SITE + 1)
    ]
    fleet.add_vms(vms)
    for site, count in ENTRIES.items():
        for number in range(1, count + 1):
            fleet.start_entry(f"entry-{site}-{number}", site, wait=False)
    for entry in fleet.entries.values():
        fleet.finish_start(entry)
    run_command(fleet, "config", "apply", os.path.relpath(EXAMPLE), "--wait")
    fleet.wait_ready()
    vm_count = len(vms)
    wait_until(lambda: _active_vm_count(fleet) == vm_count, 15.0, "every VM is adopted")


def _active_vm_count(fleet: LocalFleet) -> int:
    records = fleet.vm_records().values()
    return sum(1 for record in records if record["state"] == "active")


def change_configuration(fleet: LocalFleet) -> Check:
    """Apply a configuration change and measure the time until all entries use it."""
    with tempfile.TemporaryDirectory() as config_dir:
        text = (EXAMPLE / "fleet.toml").read_text()
        changed = text.replace("default_timeout_ms = 1000", "default_timeout_ms = 1200")
        (Path(config_dir) / "fleet.toml").write_text(changed)
        started_s = time.monotonic()
        output = run_command(fleet, "config", "apply", config_dir, "--wait")
        took_s = time.monotonic() - started_s
    is_met = "accepted" in output and took_s < CONFIG_IN_FORCE_LIMIT_S
    return Check(
        "a configuration is in force everywhere within 7 s",
        is_met,
        f"{took_s:.2f} s, the command's start included",
    )


def drain_vm(fleet: LocalFleet, vm_id: str) -> Check:
    """Drain a VM under load and check that it gets no new requests."""
    started_s = time.monotonic()
    run_command(fleet, "vm", "drain", vm_id, "--wait")
    took_s = time.monotonic() - started_s
    before = fleet.instance_report(vm_id)["started"]
    time.sleep(1.0)
    after = fleet.instance_report(vm_id)["started"]
    is_met = before == after
    detail = f"drained in {took_s:.2f} s, {after - before} requests in the next second"
    return Check("a drained VM gets no new work", is_met, detail)


def kill_entry(fleet: LocalFleet) -> None:
    """Kill one entry under load."""
    entry = fleet.entries["entry-graz-a-1"]
    print(f"Killing {entry.name}.\n")
    entry.process.kill()


def slot_limit_check(fleet: LocalFleet) -> Check:
    """Check that no instance refused a request because its slots were in use."""
    reports = [fleet.instance_report(vm_id) for vm_id in fleet.vms]
    max_running = max(report["max_running"] for report in reports)
    refused = sum(report["refused_busy"] for report in reports)
    detail = f"at most {max_running} of 8 at once, {refused} sent above it"
    return Check("an instance's slots are never exceeded", refused == 0, detail)


def guarantee_checks(fleet: LocalFleet, sent: list) -> list[Check]:
    """Check the outcome of every request against the instances' run logs."""
    verdict = check_outcomes(sent, fleet.run_logs())
    answered = verdict.outcomes["answered"]
    return [
        Check("requests are served", answered > 0.9 * len(sent), f"{answered} answers"),
        Check("an answer is the caller's own", *_no_violations(verdict.wrong_answers)),
        Check("'not run' was not run", *_no_violations(verdict.run_despite_not_run)),
        Check("non-idempotent runs at most once", *_no_violations(verdict.run_twice)),
        Check("every answer is in time", *_no_violations(verdict.late)),
    ]


def _no_violations(keys: list[str]) -> tuple[bool, str]:
    return not keys, f"{len(keys)} violations {' '.join(keys[:3])}"


def print_report(sent: list, checks: list[Check]) -> None:
    """Print the outcomes by service and the result of each check."""
    print(f"{'SERVICE':<12}{'ANSWERED':>10}{'NOT RUN':>10}{'UNKNOWN':>10}")
    for service, counts in sorted(outcomes_by_service(sent).items()):
        numbers = [counts[kind] for kind in ("answered", "not_run", "unknown")]
        print(f"{service:<12}" + "".join(f"{number:>10}" for number in numbers))
    print()
    for check in checks:
        result = "held  " if check.is_met else "BROKEN"
        print(f"{result}  {check.guarantee}: {check.detail}")


def main() -> None:
    """Run the demo and exit with 0 if every guarantee was met, else with 1."""
    started_s = time.monotonic()
    with LocalFleet(SITES) as fleet:
        start_fleet(fleet)
        load = CallerLoad(fleet.running_urls, SERVICES).start()
        time.sleep(SETTLE_S)
        checks = [change_configuration(fleet), drain_vm(fleet, "theke-graz-b-1")]
        kill_entry(fleet)
        time.sleep(SETTLE_S)
        run_command(fleet, "status")
        run_command(fleet, "fleet", "show", "--pool", "theke")
        sent = load.stop()
        checks += [*guarantee_checks(fleet, sent), slot_limit_check(fleet)]
    print_report(sent, checks)
    print(f"\n{len(sent)} requests, {time.monotonic() - started_s:.0f} s in all")
    sys.exit(0 if all(check.is_met for check in checks) else 1)


if __name__ == "__main__":
    main()
