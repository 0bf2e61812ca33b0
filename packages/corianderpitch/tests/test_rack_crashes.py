"""Seeded runs of a pool whose racks crash in series, with no task to blame.

The workers of a crashed rack are dark: orders to them get no answer, and the holder
notices their silence late. They come back with other names.
"""

import random
from dataclasses import dataclass, field

import pytest
from schedulers import NOW_MS, QUEUE, make_job

from corianderpitch.domain.jobs import Shape
from corianderpitch.domain.scheduling.orders import (
    OrderResult,
    RequestReport,
    StartRun,
    StopRun,
)
from corianderpitch.domain.scheduling.planning import plan
from corianderpitch.domain.scheduling.scheduler import Scheduler
from corianderpitch.domain.scheduling.term import Term
from corianderpitch.domain.scheduling.workers import (
    EndKind,
    ReportedEnd,
    ReportedRun,
    WorkerInfo,
    WorkerReport,
)
from corianderpitch.domain.scheduling.workloads import Step
from corianderpitch.ids import JobId, VmId, WorkerId

STEP_MS = 50.0
RACKS = ("r1", "r2", "r3")
PROCESSORS = 16.0
DARK_MS = 3000.0
CRASH_INTERVAL_MS = 3600.0  # shifts against the peaks
LIST_INTERVAL_MS = 400.0
ANSWER_TIMEOUT_MS = 400.0
IDLE_REPORT_WAIT_MS = 2000.0
REPORT_WAIT_MS = 1000.0
PEAK_INTERVAL_MS = 5000.0
PEAK_MS = 2000.0
PEAK_FACTOR = 2.5
TRAFFIC_MS = 24_000.0
PLAY_MS = 40_000.0
MAX_WAIT_MS = 3000.0
LASTING_JOBS = 6
MAX_TASKS = 6


@dataclass(frozen=True)
class Load:
    """Size of the pool, and of the tasks that keep a share of it in use."""

    workers_per_rack: int
    processors: tuple[float, ...]
    estimates_ms: tuple[float, ...]
    share: float

    @property
    def jobs_per_step(self):
        """Return how many jobs are submitted on average in 50 ms."""
        mean_tasks = (1 + MAX_TASKS) / 2.0
        mean_processors = sum(self.processors) / len(self.processors)
        mean_ms = sum(self.estimates_ms) / len(self.estimates_ms)
        capacity = len(RACKS) * self.workers_per_rack * PROCESSORS
        per_ms = self.share * capacity / (mean_tasks * mean_processors * mean_ms)
        return per_ms * STEP_MS


@dataclass
class RackWorker:
    """One life of a worker: its runs with their ends, and its unforgotten ends."""

    name: str
    rack: str
    runs: dict = field(default_factory=dict)
    ends: list = field(default_factory=list)
    sequence: int = 0

    @property
    def free(self):
        return PROCESSORS - sum(processors for _, _, processors in self.runs.values())


class Racks:
    """The workers, and one holder that sees them through late or missing answers."""

    def __init__(self, seed, load):
        self.rng = random.Random(seed)
        self.load = load
        self.now_ms = NOW_MS
        self.lives = 0
        self.workers = {}
        self.steps = {}
        self.states = {}
        self.timers = []  # time, action
        self.waits_ms = {}
        self.longest_waits_ms = {}
        self.scheduler = Scheduler(Term(1, 5, NOW_MS))
        self.scheduler.set_queues({QUEUE.name: QUEUE})
        for rack in RACKS:
            self.add_rack(rack)
        for worker in self.workers.values():
            self.report(worker)
        self.commit()

    def submit(self, name, step):
        self.steps[name] = step
        self.scheduler.add_job(make_job(name, [step]))

    def add_rack(self, rack):
        for _ in range(self.load.workers_per_rack):
            self.lives += 1
            worker = RackWorker(WorkerId(f"life{self.lives}"), rack)
            self.workers[worker.name] = worker

    def crash_rack(self, rack):
        """Crash a rack; its workers fall silent one after the other."""
        for worker in [w for w in self.workers.values() if w.rack == rack]:
            del self.workers[worker.name]
            wait_ms = REPORT_WAIT_MS if worker.runs else IDLE_REPORT_WAIT_MS
            self.after(self.rng.uniform(0.0, wait_ms), self.mark_silent, worker.name)
        self.after(DARK_MS, self.add_rack, rack)

    def after(self, delay_ms, action, *args):
        self.timers.append((self.now_ms + delay_ms, action, args))

    def mark_silent(self, name):
        self.scheduler.mark_silent(name, self.now_ms)

    def step(self):
        self.now_ms += STEP_MS
        for timer in [t for t in self.timers if t[0] <= self.now_ms]:
            self.timers.remove(timer)
            timer[1](*timer[2])
        for worker in list(self.workers.values()):
            self.end_runs(worker)
            self.report(worker)
        if self.now_ms % LIST_INTERVAL_MS == 0:
            self.read_list()
        self.scheduler.expire(self.now_ms)
        plan(self.scheduler, self.now_ms, 0.0)
        for order in self.scheduler.pop_orders():
            self.execute(order)
        self.commit()
        self.measure_waits()

    def read_list(self):
        """Read the list of VMs, which names the processes that run."""
        known = self.scheduler.workers
        silent = [n for n in known if known[n].is_silent and n not in self.workers]
        self.scheduler.mark_terminated(sorted(silent))

    def end_runs(self, worker):
        for task, (number, until_ms, _) in list(worker.runs.items()):
            if until_ms <= self.now_ms:
                del worker.runs[task]
                worker.sequence += 1
                end = ReportedEnd(worker.sequence, task, number, EndKind.DONE, "")
                worker.ends.append(end)

    def report(self, worker):
        info = WorkerInfo(
            worker.name, QUEUE.service, worker.name, f"zone-{worker.rack}",
            Shape(PROCESSORS, 32000), ("a", worker.rack), VmId(worker.name), "1",
        )  # fmt: skip
        self.scheduler.set_worker(info, self.now_ms)
        running = tuple(
            ReportedRun(task, number, "", 100.0)
            for task, (number, _, _) in worker.runs.items()
        )
        report = WorkerReport("1", self.now_ms, running, tuple(worker.ends))
        self.scheduler.apply_report(worker.name, report, self.now_ms, self.now_ms)

    def execute(self, order):
        worker = self.workers.get(order.worker)
        if worker is None:
            self.after(ANSWER_TIMEOUT_MS, self.time_out, order)
            return
        match order:
            case StartRun():
                self.start(worker, order)
            case StopRun():
                worker.runs.pop(order.task, None)

    def time_out(self, order):
        match order:
            case RequestReport():
                self.mark_silent(order.worker)
            case _ if order.worker in self.scheduler.workers:
                result = OrderResult.NO_ANSWER
                self.scheduler.apply_order_result(order, result, self.now_ms)

    def start(self, worker, order):
        self.scheduler.apply_order_result(order, OrderResult.DONE, self.now_ms)
        step = self.steps[order.task.job_id]
        lasts_ms = 1e9 if step.is_lasting else step.estimate_ms
        until_ms = self.now_ms + lasts_ms
        worker.runs[order.task] = (order.number, until_ms, step.shape.processors)
        assert worker.free >= 0.0

    def commit(self):
        self.scheduler.mark_recorded(self.scheduler.workers_to_record())
        changes = self.scheduler.pop_changes()
        for change in changes:
            if change.is_final:
                self.states[change.job.job_id] = change.record.state
        self.scheduler.mark_committed(changes)
        for worker in self.workers.values():
            view = self.scheduler.workers[worker.name]
            worker.ends = [
                end for end in worker.ends if end.sequence > view.committed_sequence
            ]

    def measure_waits(self):
        """Measure how long tasks wait that have room twice over."""
        running = {task for w in self.workers.values() for task in w.runs}
        running_jobs = {task.job_id for task in running}
        waiting = set()
        for name, job in self.scheduler.jobs.items():
            (step,) = job.steps()
            if name in running_jobs and not step.step.is_lasting:
                continue
            if self.has_room_twice(step.step):
                at_work = {task.index for task in running if task.job_id == name}
                missing = set(range(step.step.count)) - step.done - at_work
                waiting |= {(name, index) for index in missing}
        self.waits_ms = {k: self.waits_ms.get(k, 0.0) + STEP_MS for k in waiting}
        for key, wait_ms in self.waits_ms.items():
            longest_ms = self.longest_waits_ms.get(key, 0.0)
            self.longest_waits_ms[key] = max(longest_ms, wait_ms)

    def has_room_twice(self, step):
        """Return whether two tasks fit, and half of the capacity is not in use."""
        free = [worker.free for worker in self.workers.values()]
        in_use = len(free) * PROCESSORS - sum(free)
        if not step.is_lasting and 2.0 * in_use > len(free) * PROCESSORS:
            return False
        return sum(int(f / step.shape.processors) for f in free) >= 2

    def submit_some(self):
        """Submit the jobs of 50 ms; the load peaks in turns."""
        is_peak = self.now_ms % PEAK_INTERVAL_MS < PEAK_MS
        mean = self.load.jobs_per_step * (PEAK_FACTOR if is_peak else 0.0)
        for _ in range(int(mean + self.rng.random())):
            shape = Shape(self.rng.choice(self.load.processors), 10)
            estimate_ms = self.rng.choice(self.load.estimates_ms)
            step = Step(self.rng.randint(1, MAX_TASKS), shape, estimate_ms)
            self.submit(JobId(f"job{len(self.steps)}"), step)


def play(seed, load):
    """Submit jobs for 24 s while racks crash, and play on until all could end."""
    racks = Racks(seed, load)
    for number in range(LASTING_JOBS):
        count = racks.rng.randint(2, MAX_TASKS)
        step = Step(count, Shape(0.5, 10), 500.0, is_lasting=True)
        racks.submit(JobId(f"lasting{number}"), step)
    next_crash_ms = NOW_MS + CRASH_INTERVAL_MS
    while racks.now_ms < NOW_MS + PLAY_MS:
        if racks.now_ms < NOW_MS + TRAFFIC_MS:
            racks.submit_some()
            if racks.now_ms >= next_crash_ms:
                next_crash_ms += CRASH_INTERVAL_MS
                racks.crash_rack(racks.rng.choice(RACKS))
        racks.step()
    return racks


LOADS = {
    "large tasks": Load(3, (0.5, 1.0, 2.0), (400.0, 1000.0, 3000.0), 0.4),
    "small tasks": Load(3, (0.25, 0.5), (400.0, 800.0), 0.15),
    "few workers": Load(1, (0.25, 0.5), (400.0, 800.0), 0.2),
}


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("load", LOADS.values(), ids=LOADS.keys())
def test_no_job_waits_long_for_room_that_it_has(seed, load):
    racks = play(seed, load)
    assert max(racks.longest_waits_ms.values(), default=0.0) <= MAX_WAIT_MS
    ended = [name for name in racks.states if name.startswith("job")]
    assert len(ended) == len(racks.steps) - LASTING_JOBS
