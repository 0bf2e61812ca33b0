"""Accepted jobs keep their progress over outages and changes of the holder.

Simulated workers keep the ends of their runs until a holder has taken note of them.
A random script lets the store refuse calls, lose answers and apply writes late, lets
workers restart or leave the list, and lets the role pass to a new holder, while the
former one still acts for some time.
"""

import random
from dataclasses import dataclass, field, replace

import pytest
from returns.result import Failure
from schedulers import ONE_STEP, QUEUE, make_job
from test_jobreader import BACKOFF_MS, PartialOutageStore, TermHarness

from corianderpitch.adapters.memorystore import MemoryRowStore
from corianderpitch.clock import ManualClock
from corianderpitch.daemon.scheduling.intake import Intake, IntakeKind
from corianderpitch.daemon.scheduling.rows import (
    DIVERTED_KEY,
    JOBS_TABLE,
    job_partitions,
    progress_key,
    queue_partitions,
    unpack_progress,
)
from corianderpitch.domain.jobs import JobState, Shape
from corianderpitch.domain.scheduling.orders import OrderResult, StartRun, StopRun
from corianderpitch.domain.scheduling.planning import plan
from corianderpitch.domain.scheduling.workers import (
    EndKind,
    ReportedEnd,
    ReportedRun,
    WorkerInfo,
    WorkerReport,
)
from corianderpitch.domain.scheduling.workloads import TaskRef
from corianderpitch.errors import OutcomeLost
from corianderpitch.ids import JobId, VmId, WorkerId

NAMES = [f"job{n}" for n in range(6)]
STEPS = (replace(ONE_STEP[0], count=3), replace(ONE_STEP[0], count=2, after=(0,)))
LEASE_MS = 2000.0
THREADS = (
    "follow",
    "read_late",
    "divert",
    "list_workers",
    "fetch_reports",
    "plan",
    "commit",
)
LOCKED = {"divert", "commit"}  # these wait for each other
MAX_DEPTH = 3  # of threads that wait for each other's calls


class FaultyStore(PartialOutageStore):
    """A store that also loses the answers of some writes that it has applied."""

    lost_share = 0.0
    draw = random.Random(0)
    interleave = staticmethod(lambda: None)

    def read(self, *where):
        self.interleave()
        result = super().read(*where)
        self.interleave()
        return result

    def commit(self, checks, writes):
        self.interleave()
        result = super().commit(checks, writes)
        self.interleave()
        if self.draw.random() < self.lost_share:
            return Failure(OutcomeLost("lost"))
        return result


@dataclass
class SimulatedWorker:
    """A worker's process: it runs what it is told to, and keeps the ends."""

    name: str
    clock: ManualClock
    incarnation: int = 1
    fence: int = 0
    leased_until_ms: float = 0.0
    running: dict[TaskRef, int] = field(default_factory=dict)
    ended: list[ReportedEnd] = field(default_factory=list)
    sequence: int = 0
    is_listed: bool = True
    is_reachable: bool = True

    def info(self):
        return WorkerInfo(
            WorkerId(self.name),
            QUEUE.service,
            self.name,
            "here",
            Shape(4.0, 8000),
            ("a", "r1"),
            VmId(f"vm-{self.name}"),
            str(self.incarnation),
        )

    def restart(self):
        self.incarnation += 1
        self.fence = self.sequence = 0
        self.running.clear()
        self.ended.clear()

    def end(self, task, kind):
        self.sequence += 1
        number = self.running.pop(task)
        self.ended.append(ReportedEnd(self.sequence, task, number, kind, ""))

    def lapse(self):
        if self.clock.now_ms() > self.leased_until_ms:
            for task in list(self.running):
                self.end(task, EndKind.LAPSED)


class Fleet:
    """The workers, the store and the holders, and what has certainly happened."""

    def __init__(self, seed):
        self.draw = random.Random(seed)
        self.clock = ManualClock(1000.0)
        self.store = FaultyStore(self.clock)
        self.store.draw = random.Random(seed + 1)
        self.workers = [SimulatedWorker(f"w{n}", self.clock) for n in range(3)]
        self.accepted = set()
        self.noted_done = set()
        self.failed_runs = {}
        self.holders = []
        self.active = []
        self.holder_in_action = None
        self.may_restart = True
        self.change_holder()

    def change_holder(self):
        self.store.deferred, self.store.lost_share = None, 0.0
        self.store.unavailable.discard(DIVERTED_KEY.part)
        holder = TermHarness(self.store, self.clock, f"e{len(self.holders)}")
        now_ms = self.clock.now_ms()
        holder.scheduler.leases_end_ms = now_ms + LEASE_MS * 1.05
        recorded = holder.commits.read_recorded_workers().unwrap()
        holder.scheduler.awaiting_report |= set(recorded)
        while not holder.reader.load():
            self.store.unavailable = set()
        holder.version = holder.reader._version
        self.holders.append(holder)

    def record_of(self, job_id):
        """Return the job's record in the store, whichever partition holds it."""
        records = []
        for part in job_partitions(QUEUE.name, job_id):
            key = progress_key(part, job_id)
            rows = MemoryRowStore.read(
                self.store, JOBS_TABLE, part, key.name, key.name + "/"
            )
            records += [unpack_progress(row.value) for row in rows.unwrap().rows]
        ended = [record for record in records if record.state.has_ended]
        return (ended or records or [None])[0]

    def forget_ends(self, worker, last_seen):
        """Forget ends at a worker; the store must know their effect by now."""
        for end in worker.ended:
            if end.sequence > last_seen:
                continue
            record = self.record_of(end.task.job_id)
            step = record and record.steps.get((end.task.occurrence, end.task.step))
            is_final = record is not None and record.state.has_ended
            is_done = step is not None and end.task.index in step.done
            if end.kind is EndKind.DONE:
                assert is_final or is_done, f"end of {end.task} is forgotten"
                self.noted_done.add(end.task)
            if end.kind is EndKind.FAILED and not (is_final or is_done):
                numbers = step.failed.get(end.task.index, ()) if step else ()
                assert end.number in numbers, f"failure of {end.task} is forgotten"
        worker.ended = [end for end in worker.ended if end.sequence > last_seen]

    def serve(self, holder):
        """Let a holder do once what its threads do."""
        scheduler = holder.scheduler
        if not holder.role.is_held or scheduler.is_superseded:
            return
        self.holder_in_action = holder
        self.store.interleave = self.interleave
        for activity in THREADS:
            self.act(activity)
        self.store.interleave = lambda: None

    def interleave(self):
        """Let other threads of the holder act while one waits for an answer."""
        if len(self.active) < MAX_DEPTH and self.draw.random() < 0.2:
            self.act(self.draw.choice(THREADS))

    def act(self, activity):
        takes_lock = activity in LOCKED and LOCKED.intersection(self.active)
        if activity in self.active or takes_lock:
            return
        self.active.append(activity)
        getattr(self, activity)(self.holder_in_action)
        self.active.pop()

    def follow(self, holder):
        if not holder.role.has_valid_lease:
            return
        changes = self.store.follow(JOBS_TABLE, holder.version, 0).unwrap()
        holder.reader.apply_rows(changes.rows)
        holder.version = changes.version

    def read_late(self, holder):
        if holder.role.has_valid_lease:
            holder.reader.read_unread()
            holder.cleanup.delete_misplaced_rows()

    def divert(self, holder):
        if holder.role.has_valid_lease:
            holder.reader.record_diversions()

    def list_workers(self, holder):
        for worker in self.workers if holder.role.has_valid_lease else ():
            if worker.is_listed:
                holder.scheduler.set_worker(worker.info(), self.clock.now_ms())
            else:
                holder.scheduler.unlist_worker(WorkerId(worker.name))

    def fetch_reports(self, holder):
        for worker in self.workers:
            if WorkerId(worker.name) in holder.scheduler.workers:
                self.report(holder, worker)

    def plan(self, holder):
        now_ms = self.clock.now_ms()
        holder.scheduler.expire(now_ms)
        plan(holder.scheduler, now_ms, 0.0, holder.role.has_valid_lease)
        for order in holder.scheduler.pop_orders():
            self.execute(holder, order)

    def commit(self, holder):
        if holder.commits._record_workers():
            holder.commits.commit_all()

    def report(self, holder, worker):
        scheduler, now_ms = holder.scheduler, self.clock.now_ms()
        view = scheduler.workers[WorkerId(worker.name)]
        fence = scheduler.fence_of(WorkerId(worker.name))
        is_expected = view.info.incarnation == str(worker.incarnation)
        if not worker.is_reachable or not is_expected:
            scheduler.mark_silent(WorkerId(worker.name), now_ms)
            return
        if fence < worker.fence:
            scheduler.is_superseded = True
            return
        worker.fence = fence
        worker.lapse()
        if view.is_running and holder.role.renewal_age_ms < LEASE_MS:
            until_ms = scheduler.extend_lease(WorkerId(worker.name), LEASE_MS, now_ms)
            worker.leased_until_ms = max(worker.leased_until_ms, until_ms or 0.0)
        self.forget_ends(worker, view.committed_sequence)
        reported = [ReportedRun(t, n, "", 50.0) for t, n in worker.running.items()]
        report = WorkerReport(
            str(worker.incarnation), now_ms, tuple(reported), tuple(worker.ended)
        )
        self.interleave()
        if self.draw.random() < 0.9:  # else the answer is lost
            scheduler.apply_report(WorkerId(worker.name), report, now_ms, now_ms)
        else:
            scheduler.mark_silent(WorkerId(worker.name), now_ms)

    def execute(self, holder, order):
        worker = next((w for w in self.workers if w.name == order.worker), None)
        if worker is None or not isinstance(order, StartRun | StopRun):
            return
        scheduler, now_ms = holder.scheduler, self.clock.now_ms()
        if WorkerId(worker.name) not in scheduler.workers:
            return
        order = scheduler.with_current_fence(order)
        view = scheduler.workers[WorkerId(worker.name)]
        if view.info.incarnation != str(worker.incarnation) or not worker.is_reachable:
            result = OrderResult.NO_ANSWER
        elif order.fence < worker.fence:
            result = OrderResult.SUPERSEDED
        else:
            worker.fence = order.fence
            worker.lapse()
            self.carry_out(worker, order)
            is_answered = self.draw.random() < 0.9
            result = OrderResult.DONE if is_answered else OrderResult.NO_ANSWER
        self.interleave()
        scheduler.apply_order_result(order, result, now_ms)

    def carry_out(self, worker, order):
        match order:
            case StartRun() if order.task not in worker.running:
                assert order.task not in self.noted_done, f"{order.task} starts again"
                worker.running[order.task] = order.number
                until_ms = self.clock.now_ms() + LEASE_MS
                worker.leased_until_ms = max(worker.leased_until_ms, until_ms)
            case StopRun() if worker.running.get(order.task) == order.number:
                worker.end(order.task, EndKind.STOPPED)

    def disturb(self):
        parts = (*queue_partitions(QUEUE.name), DIVERTED_KEY.part)
        worker = self.draw.choice(self.workers)
        match self.draw.randrange(12):
            case 0 | 1 | 2:
                name = self.draw.choice(NAMES)
                job = make_job(name, STEPS)
                intake = Intake(self.store, self.clock)
                if intake.submit(job.workload).kind is IntakeKind.DONE:
                    self.accepted.add(name)
            case 3:
                self.store.unavailable = set(
                    self.draw.sample(parts, self.draw.randrange(4))
                )
            case 4:
                self.store.lost_share = self.draw.choice([0.0, 0.0, 0.3])
            case 5:
                if self.store.deferred is None:
                    self.store.deferred = []
                else:
                    self.apply_deferred()
            case 6:
                self.apply_deferred()
                self.change_holder()
            case 7:
                worker.is_reachable = not worker.is_reachable
            case 8:
                worker.is_listed = not worker.is_listed
            case 9 if self.may_restart:
                self.may_restart = False  # several crashes would end a job
                worker.restart()
            case 10 if self.holders[-1].role.has_valid_lease:
                self.holders[-1].reader.load_jobs()
            case _:
                self.clock.advance(BACKOFF_MS)

    def apply_deferred(self):
        deferred, self.store.deferred = self.store.deferred or [], None
        for checks, writes in deferred:
            MemoryRowStore.commit(self.store, checks, writes)

    def end_some_runs(self, failed_share):
        for worker in self.workers:
            worker.lapse()
            for task in list(worker.running):
                if self.draw.random() < 0.5:
                    is_failed = self.draw.random() < failed_share
                    kind = EndKind.FAILED if is_failed else EndKind.DONE
                    if is_failed:
                        self.failed_runs[task] = self.failed_runs.get(task, 0) + 1
                    worker.end(task, kind)

    def play(self, steps):
        for _ in range(steps):
            self.disturb()
            self.end_some_runs(0.1)
            for holder in self.holders[-2:]:
                holder.role.renew()
                self.serve(holder)
            self.clock.advance(50.0)

    def calm_down(self):
        self.apply_deferred()
        self.store.unavailable = set()
        for worker in self.workers:
            worker.is_reachable = worker.is_listed = True
        self.change_holder()
        for _ in range(60):
            self.holders[-1].role.renew()
            self.serve(self.holders[-1])
            self.end_some_runs(0.0)
            self.clock.advance(150.0)


@pytest.mark.parametrize("seed", range(60))
def test_no_progress_of_an_accepted_job_is_forgotten(seed):
    fleet = Fleet(seed)
    fleet.play(120)
    fleet.calm_down()
    fleet.clock.advance(BACKOFF_MS)
    assert fleet.accepted
    for name in fleet.accepted:
        shown = Intake(fleet.store, fleet.clock).show(QUEUE.name, JobId(name))
        failures = [n for t, n in fleet.failed_runs.items() if t.job_id == name]
        has_cause = max(failures, default=0) >= QUEUE.max_attempts
        assert shown.state is JobState.DONE or (
            shown.state is JobState.FAILED and has_cause
        ), name
