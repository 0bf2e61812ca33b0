"""Soak of entries on the users' platform: ``make soak``.

Entries run as processes against the stand-in of the platform, while waves of
maintenance are carried out, the load moves between two services, and a seeded script
of troubles hits the entries and the services from outside. The checks see only what
the machine service, the workers and the callers have seen. The exit code is 1 if
there are findings; logs, orders and the script are kept in a folder.

    python -m corianderpitch_standins.soak --seed 1 --seconds 60 --entries 5
"""

import json
import random
import signal
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

import cyclopts

from corianderpitch_standins.localfleet import ConditionNotMet, wait_until
from corianderpitch_standins.ordercheck import OrderRules
from corianderpitch_standins.soakcallers import Caller, Job
from corianderpitch_standins.soakfleet import (
    CONTACT_MS,
    SERVICES,
    STANDBY_MACHINES,
    WORKERS,
    SoakFleet,
)
from corianderpitch_standins.soaktroubles import Script
from corianderpitch_standins.usermachines import OrderArrival

RULES = OrderRules(lease_ms=3000.0, contact_ms=CONTACT_MS)
LOSS_SLACK_MS = 200.0
CANCEL_MS = 3000.0
ENDED_WELL = ("", "completed")
CALLERS = 8
PEAK_S = 4.0
WAVE_DEADLINE_S = 30
SETTLE_S = 40.0  # finish_s, and time for the work that is still queued


@dataclass
class Soak:
    """One seeded soak and its findings."""

    seed: int
    length_s: float
    entry_count: int
    folder: Path
    keeps_ids: bool = False
    findings: list[str] = field(default_factory=list)
    waves: dict[str, int] = field(default_factory=dict)

    def run(self) -> list[str]:
        """Run the soak to its end and return the findings."""
        self._fleet = SoakFleet(self.folder, has_teams=True)
        self._rng = random.Random(self.seed + 1)
        self._callers = [
            Caller(self._fleet, number, self.seed, _busy_service)
            for number in range(CALLERS)
        ]
        try:
            self._run()
        finally:
            for caller in self._callers:
                caller.is_stopped = True
            self._fleet.close()
        self.findings += self._fleet.findings
        for caller in self._callers:
            self.findings += caller.findings
        self.findings = list(dict.fromkeys(self.findings))
        return self.findings

    def _run(self) -> None:
        for number in range(self.entry_count):
            self._fleet.start_entry(f"e{number}")
        self._fleet.wait_ready()
        for caller in self._callers:
            caller.start()
        self._script = Script(self._fleet, self.seed, self.entry_count, self.keeps_ids)
        until_s = time.monotonic() + self.length_s
        self._add_wave(until_s)
        self._script.run(until_s)
        self._settle()
        self._check()
        self._save()

    def _add_wave(self, until_s: float) -> None:
        """Write a wave as operators do, and plan the next one."""
        machines = [f"m-i-{number}" for number in range(WORKERS + STANDBY_MACHINES)]
        number = len(self.waves) + 1
        cap = self._rng.choice((2, 3, len(machines)))
        self.waves[str(number)] = cap
        fields = {
            "wave": number,
            "machines": self._rng.sample(machines, self._rng.randint(2, 8)),
            "deadline_s": WAVE_DEADLINE_S,
            "cap": cap,
        }
        self._fleet.control("write", table="op", name=f"wave/{number}", fields=fields)
        pause_s = self._rng.uniform(2.0, 6.0)
        if time.monotonic() + pause_s < until_s:
            self._script.later(pause_s, lambda: self._add_wave(until_s))

    def _settle(self) -> None:
        """Wait without troubles until all accepted jobs and all waves are done."""
        self._calm_ms = self._fleet.clock.now_ms() + CONTACT_MS
        for number in range(max(0, 2 - len(self._fleet.serving()))):
            self._fleet.start_entry(f"last{number}")
        for caller in self._callers:
            caller.is_submitting = False
        self._fleet.teams.raise_caps()
        try:
            self._fleet.wait_ready()
            wait_until(self._is_settled, SETTLE_S, "all jobs and waves done")
        except ConditionNotMet as error:
            self.findings.append(str(error))
        self._fleet.check_processes()

    def _is_settled(self) -> bool:
        time.sleep(0.2)
        return not self._open_jobs() and not self._open_waves()

    def _jobs(self) -> list[Job]:
        return [job for caller in self._callers for job in list(caller.jobs)]

    def _open_jobs(self) -> list[str]:
        return [job.path for job in self._jobs() if job.accepted_ms and not job.state]

    def _open_waves(self) -> list[str]:
        status = self._fleet.control()["status"]
        completed = {"state": "completed"}
        return [w for w in self.waves if status.get(f"wave/{w}") != completed]

    def _check(self) -> None:
        """Check what the machine service, the workers and the callers have seen."""
        report = self._fleet.control()
        self.findings += report["problems"]
        self.findings += [f"{path}: accepted, not done" for path in self._open_jobs()]
        self.findings += [f"wave {wave}: not done" for wave in self._open_waves()]
        for wave, down in report["most_down"].items():
            if down > self.waves[wave]:
                self.findings.append(f"wave {wave}: {down} VMs down at once")
        runs = self._fleet.control("runs")
        started_ms = runs["started_ms"]
        self.findings += self._fleet.teams.find_excess(runs["starts"])
        for job in self._jobs():
            self._check_job(job, started_ms.get(job.path.rpartition("/")[2]))
        orders = self._orders()
        breaks = RULES.find_breaks(orders, self._fleet.disturbances)
        self.findings += [str(item) for item in breaks]
        self._check_broken_calls()

    def _check_job(self, job: Job, started_ms: float | None) -> None:
        """Check a job, of which a task was last started at a time, ``None`` if never.

        After an acknowledged cancelling nothing may start, but for what is still on its
        way while there are troubles.
        """
        allowed = ("", "completed", "cancelled") if job.cancelled_ms else ENDED_WELL
        if job.state not in allowed:
            self.findings.append(f"{job.path}: shown as {job.state}")
        if started_ms is None:
            return
        if job.was_refused:
            self.findings.append(f"{job.path}: refused, but started")
        if job.cancelled_ms:
            late_ms = started_ms - max(job.cancelled_ms, self._calm_ms) - CANCEL_MS
            if late_ms > 0 or self._starts_late_in_touch(job, started_ms):
                self.findings.append(f"{job.path}: cancelled, but started later")

    def _starts_late_in_touch(self, job: Job, started_ms: float) -> bool:
        """Return whether a cancelled job was started late with no trouble near."""
        due_ms = job.cancelled_ms + CANCEL_MS
        return started_ms > due_ms and not self._fleet.has_trouble(due_ms, started_ms)

    def _orders(self) -> list[OrderArrival]:
        rows = self._fleet.control("orders")["orders"]
        return [OrderArrival(**row) for row in rows]

    def _check_broken_calls(self) -> None:
        """Add findings for calls that a calm or stopping entry has broken off."""
        for caller in self._callers:
            for call in caller.broken_calls:
                is_read = call.ended_ms - call.sent_ms > LOSS_SLACK_MS
                if is_read and not self._fleet.is_disturbed(
                    call.entry, call.sent_ms, call.ended_ms
                ):
                    took_ms = call.ended_ms - call.sent_ms
                    self.findings.append(
                        f"{call.entry}: a call was broken off after {took_ms:.0f} ms"
                    )

    def _save(self) -> None:
        rows = self._fleet.control("orders")["orders"]
        orders = "\n".join(json.dumps(row) for row in rows)
        (self.folder / "orders.jsonl").write_text(orders)
        (self.folder / "troubles.txt").write_text("\n".join(self._script.log))

    def summary(self) -> str:
        """Return one line on what the soak has done."""
        jobs, orders = self._jobs(), (self.folder / "orders.jsonl").read_text()
        accepted = sum(1 for job in jobs if job.accepted_ms)
        refused = sum(1 for job in jobs if job.was_refused)
        cancelled = sum(1 for job in jobs if job.cancelled_ms)
        holders = {json.loads(line)["holder"] for line in orders.splitlines()}
        return (
            f"seed {self.seed}: {len(self._script.log)} troubles, {len(jobs)} jobs, "
            f"{accepted} accepted, {refused} refused, {cancelled} cancelled, "
            f"{len(self.waves)} waves, "
            f"{len(orders.splitlines())} orders by {len(holders)} holders, "
            f"{len(self._fleet.entries)} processes, {len(self.findings)} findings"
        )


def _busy_service() -> str:
    """Return the service that gets most of the load now."""
    return SERVICES[int(time.monotonic() / PEAK_S) % len(SERVICES)]


def _end(number: int, frame: object) -> None:
    """End the soak in order; a second SIGTERM must not interrupt that."""
    signal.signal(number, signal.SIG_IGN)
    sys.exit(1)


def main(
    *,
    seed: int = 1,
    seeds: int = 1,
    seconds: float = 60.0,
    entries: int = 4,
    folder: Path = Path("soak-logs"),
    keeps_ids: bool = False,
) -> None:
    """Run soaks with consecutive seeds, and exit with 1 if there are findings.

    Parameters
    ----------
    seed
        The first seed.
    seeds
        The number of soaks.
    seconds
        The length of the troubles of each soak.
    entries
        The number of entries that run at the same time.
    folder
        Receives a folder of logs for each seed.
    keeps_ids
        Whether a worker that crashes starts anew under its old id.
    """
    # Without it, SIGTERM would end the soak before it ends its processes.
    signal.signal(signal.SIGTERM, _end)
    failed = []
    for number in range(seed, seed + seeds):
        seed_folder = folder / f"seed-{number}"
        seed_folder.mkdir(parents=True, exist_ok=True)
        soak = Soak(number, seconds, entries, seed_folder, keeps_ids)
        findings = soak.run()
        print(soak.summary(), flush=True)
        for finding in findings:
            print(f"  {finding}", flush=True)
        failed += [number] if findings else []
    if failed:
        print(f"seeds with findings: {failed}; logs in {folder}")
        sys.exit(1)


if __name__ == "__main__":
    cyclopts.run(main)
