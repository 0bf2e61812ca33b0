"""Replays load patterns against the scheduler in simulated time.

Queues, pools and jobs resemble those of the users: short jobs of one to three steps,
and one lasting job in each queue. Only time, workers and VMs are simulated. The
production modules decide the order and placement of tasks and the sizes of pools.

>>> policy = ReplayPolicy(resizes_pools=False)
>>> report = replay(RotatingPeaks(), policy, seed=1, length_s=5)
>>> sorted(report.queues)
['q0', 'q1', 'q2', 'q3']
"""

import random
from dataclasses import dataclass, field, replace

from corianderpitch.domain.jobs import Shape
from corianderpitch.domain.scheduling.arrivals import GROWTH_LEAD_MS, ArrivalForecast
from corianderpitch.domain.scheduling.maintenance import PoolVm, VmCondition
from corianderpitch.domain.scheduling.orders import StartRun, StopRun
from corianderpitch.domain.scheduling.planning import plan
from corianderpitch.domain.scheduling.progress import ActiveJob
from corianderpitch.domain.scheduling.scheduler import Scheduler
from corianderpitch.domain.scheduling.sizing import (
    DEMAND_WINDOW_MS,
    DemandWindow,
    plan_moves,
    pool_loads,
    pool_needs,
)
from corianderpitch.domain.scheduling.teams import Team
from corianderpitch.domain.scheduling.term import Term
from corianderpitch.domain.scheduling.workers import (
    EndKind,
    ReportedEnd,
    ReportedRun,
    WorkerInfo,
    WorkerReport,
)
from corianderpitch.domain.scheduling.workloads import Queue, Step, TaskRef, Workload
from corianderpitch.ids import (
    JobId,
    QueueName,
    ServiceName,
    TeamName,
    VmId,
    WorkerId,
)

TICK_MS = 20
SIZING_INTERVAL_MS = 100
MOVE_DURATION_MS = 1500
LEASE_MS = 60_000.0
WORKER_CAPACITY = Shape(16.0, 32_768)
STANDBY = ServiceName("standby")


@dataclass(frozen=True, slots=True)
class RotatingPeaks:
    """A load whose peak moves from one queue to the next every ``peak_duration_s``.

    The queue at its peak receives ``peak_factor`` times the mean rate, and the others
    ``trough_factor`` times that rate. The rate rises evenly during the first
    ``rise_s`` of a peak. ``estimate_error`` is the standard deviation of the natural
    logarithm of the factor by which the declared run times of a step are wrong.
    """

    queues: int = 4
    mean_per_s: float = 4.5
    peak_factor: float = 4.0
    trough_factor: float = 0.05
    peak_duration_s: float = 5.0
    rise_s: float = 0.0
    estimate_error: float = 0.0

    def rate_per_s(self, queue: int, now_ms: float) -> float:
        """Return how many jobs a second a queue receives."""
        peak, into_peak_s = divmod(now_ms / 1000.0, self.peak_duration_s)
        if peak % self.queues != queue:
            return self.mean_per_s * self.trough_factor
        risen = min(1.0, into_peak_s / self.rise_s) if self.rise_s else 1.0
        return self.mean_per_s * self.peak_factor * risen


@dataclass(frozen=True, slots=True)
class TeamMix:
    """Teams that submit jobs in proportion to their weights.

    From ``flood_begins_s`` to ``flood_ends_s`` the team ``flooding`` sends
    ``flood_factor`` times its usual.
    """

    teams: tuple[Team, ...]
    flooding: TeamName = TeamName("")
    flood_factor: float = 7.0
    flood_begins_s: float = 0.0
    flood_ends_s: float = 0.0

    def surplus_rate_per_s(self, rate_per_s: float, now_ms: float) -> float:
        """Return how many jobs a second the flooding team sends beyond its usual."""
        if not self.flood_begins_s <= now_ms / 1000.0 < self.flood_ends_s:
            return 0.0
        total = sum(team.weight for team in self.teams)
        own = sum(team.weight for team in self.teams if team.name == self.flooding)
        return rate_per_s * own / total * (self.flood_factor - 1.0)


@dataclass(frozen=True, slots=True)
class ReplayPolicy:
    """How many VMs the pools have, and what decides their sizes.

    Each queue has a pool of ``workers`` VMs, and the standby pool has ``spare`` VMs.
    If ``resizes_pools`` is set, VMs move between the pools as the load changes; if
    ``counts_arrivals`` is set as well, recent arrivals count towards the load, and
    their growth over ``lead_ms``. A pool keeps the VMs of its highest demand within
    ``demand_window_ms``.
    """

    workers: int = 6
    spare: int = 6
    resizes_pools: bool = True
    counts_arrivals: bool = True
    lead_ms: float = GROWTH_LEAD_MS
    demand_window_ms: float = DEMAND_WINDOW_MS


@dataclass(slots=True)
class QueueReport:
    """Jobs of a queue or a team that ended in time or late, and how long each took.

    ``waited_ms`` holds the time until the first start of each.
    """

    in_time: int = 0
    late: int = 0
    took_ms: list[float] = field(default_factory=list)
    waited_ms: list[float] = field(default_factory=list)

    @property
    def share_in_time(self) -> float:
        """Return the share of ended jobs that met their objective."""
        return self.in_time / max(1, self.in_time + self.late)


@dataclass(slots=True)
class ReplayReport:
    """Results of a replay.

    ``vm_s`` is the time for which VMs were outside of the standby pool, summed over
    the VMs.
    """

    queues: dict[QueueName, QueueReport] = field(default_factory=dict)
    teams: dict[TeamName, QueueReport] = field(default_factory=dict)
    vm_s: float = 0.0
    moves: int = 0

    @property
    def share_in_time(self) -> float:
        """Return the share of all ended jobs that met their objective."""
        in_time = sum(q.in_time for q in self.queues.values())
        return in_time / max(1, sum(q.in_time + q.late for q in self.queues.values()))


@dataclass(slots=True)
class _SimulatedVm:
    """A VM; ``worker`` is empty while the VM is on standby or moves."""

    vm_id: VmId
    pool: ServiceName
    ready_ms: float = 0.0
    worker: WorkerId = WorkerId("")
    runs: dict[TaskRef, tuple[int, float]] = field(default_factory=dict)
    sequence: int = 0

    def to_pool_vm(self, now_ms: float) -> PoolVm:
        """Return the VM as the platform lists it."""
        is_up = now_ms >= self.ready_ms
        condition = VmCondition.UP if is_up else VmCondition.MOVING
        return PoolVm(self.vm_id, self.pool, condition, self.worker or None)


class _PatternReplay:
    def __init__(
        self,
        pattern: RotatingPeaks,
        policy: ReplayPolicy,
        seed: int,
        mix: TeamMix | None,
    ):
        self._pattern = pattern
        self._policy = policy
        self._mix = mix
        self._random = random.Random(seed)
        self._flood_random = random.Random(-seed)
        self._estimate_random = random.Random(1_000_000 + seed)
        self._scheduler = Scheduler(Term(1, 1, 0.0))
        self._queues = [
            Queue(QueueName(f"q{n}"), ServiceName(f"s{n}"), 0, 4, 1.6, target_ms=600.0)
            for n in range(pattern.queues)
        ]
        self._scheduler.set_queues({queue.name: queue for queue in self._queues})
        teams = mix.teams if mix is not None else ()
        self._scheduler.usage.set_teams({team.name: team for team in teams})
        self._vms = [
            _SimulatedVm(VmId(f"vm{n}-{m}"), queue.service)
            for n, queue in enumerate(self._queues)
            for m in range(policy.workers)
        ]
        self._vms += [
            _SimulatedVm(VmId(f"spare-{m}"), STANDBY) for m in range(policy.spare)
        ]
        self._demand = DemandWindow(policy.demand_window_ms)
        self._arrivals = ArrivalForecast(policy.lead_ms)
        self._run_times_ms: dict[tuple[JobId, int], list[float]] = {}
        self._job_count = 0
        self._worker_count = 0
        self._first_start_ms: dict[JobId, float] = {}
        self.report = ReplayReport(
            {q.name: QueueReport() for q in self._queues},
            {team.name: QueueReport() for team in teams},
        )

    def run(self, length_s: float) -> ReplayReport:
        self._start_workers(0.0)
        for queue in self._queues:
            step = Step(5, Shape(1.5, 2400), 0.0, is_lasting=True, max_unavailable=1)
            self._submit_job(queue, (step,), 0.0, self._random)
        for now_ms in range(0, int(length_s * 1000), TICK_MS):
            self._tick(float(now_ms))
        return self.report

    def _tick(self, now_ms: float) -> None:
        self._start_workers(now_ms)
        self._end_runs(now_ms)
        for number, queue in enumerate(self._queues):
            rate_per_s = self._pattern.rate_per_s(number, now_ms)
            self._submit_jobs(queue, rate_per_s, now_ms, self._random)
            if self._mix is not None:
                surplus_per_s = self._mix.surplus_rate_per_s(rate_per_s, now_ms)
                self._submit_jobs(
                    queue,
                    surplus_per_s,
                    now_ms,
                    self._flood_random,
                    self._mix.flooding,
                )
        plan(self._scheduler, now_ms, now_ms)
        for order in self._scheduler.pop_orders():
            self._execute_order(order, now_ms)
        self._commit_changes(now_ms)
        if self._policy.resizes_pools and now_ms % SIZING_INTERVAL_MS == 0:
            self._move_vms(now_ms)
        active = sum(1 for vm in self._vms if vm.pool != STANDBY)
        self.report.vm_s += active * TICK_MS / 1000.0

    def _submit_jobs(
        self,
        queue: Queue,
        rate_per_s: float,
        now_ms: float,
        rng: random.Random,
        team: TeamName | None = None,
    ) -> None:
        """Submit the jobs of one tick; without ``team`` each is of any team."""
        whole, fraction = divmod(rate_per_s * TICK_MS / 1000.0, 1.0)
        for _ in range(int(whole) + (rng.random() < fraction)):
            steps = self._draw_steps(rng)
            owner = team if team is not None else self._draw_team(rng)
            self._submit_job(queue, steps, now_ms, rng, owner)

    def _draw_team(self, rng: random.Random) -> TeamName | None:
        if self._mix is None:
            return None
        weights = [team.weight for team in self._mix.teams]
        return rng.choices(self._mix.teams, weights)[0].name

    def _draw_steps(self, rng: random.Random) -> tuple[Step, ...]:
        """Draw the steps of a short job; task counts and run times vary widely."""
        estimate_ms = 800.0 * rng.lognormvariate(0.0, 0.5)
        return tuple(
            Step(
                max(1, min(24, round(6.0 * rng.lognormvariate(-0.2, 0.6)))),
                Shape(0.88, 1300),
                estimate_ms,
                after=(number - 1,) if number else (),
            )
            for number in range(rng.choice((1, 1, 1, 2, 2, 3)))
        )

    def _submit_job(
        self,
        queue: Queue,
        steps: tuple[Step, ...],
        now_ms: float,
        rng: random.Random,
        team: TeamName | None = None,
    ) -> None:
        self._job_count += 1
        job_id = JobId(f"{self._job_count:016x}")
        declared = tuple(self._declare(step) for step in steps)
        workload = Workload(job_id, queue.name, "", declared, team=team)
        for number, step in enumerate(steps):
            self._run_times_ms[job_id, number] = [
                step.estimate_ms * rng.lognormvariate(0.0, 0.3)
                for _ in range(step.count)
            ]
        self._scheduler.add_job(ActiveJob(workload, now_ms, 2))

    def _declare(self, step: Step) -> Step:
        """Return a step with the run time that its caller declares."""
        error = self._estimate_random.lognormvariate(0.0, self._pattern.estimate_error)
        return replace(step, estimate_ms=step.estimate_ms * error)

    def _start_workers(self, now_ms: float) -> None:
        for vm in self._vms:
            if vm.worker or vm.pool == STANDBY or now_ms < vm.ready_ms:
                continue
            self._worker_count += 1
            vm.worker = WorkerId(f"w{self._worker_count}")
            vm.sequence = 0
            info = WorkerInfo(
                vm.worker,
                vm.pool,
                "",
                "here",
                WORKER_CAPACITY,
                ("a", "r1"),
                vm.vm_id,
                "1",
            )
            self._scheduler.set_worker(info, now_ms)
            self._scheduler.mark_recorded([vm.worker])
            self._apply_worker_report(vm, (), now_ms)

    def _apply_worker_report(
        self, vm: _SimulatedVm, ends: tuple[ReportedEnd, ...], now_ms: float
    ) -> None:
        running = tuple(
            ReportedRun(task, number, "", 100.0)
            for task, (number, _) in vm.runs.items()
        )
        report = WorkerReport("1", now_ms, running, ends)
        self._scheduler.apply_report(vm.worker, report, now_ms, now_ms)
        self._scheduler.extend_lease(vm.worker, LEASE_MS, now_ms)

    def _end_runs(self, now_ms: float) -> None:
        for vm in self._vms:
            ends: list[ReportedEnd] = []
            for task, (number, done_ms) in list(vm.runs.items()):
                if done_ms <= now_ms:
                    del vm.runs[task]
                    vm.sequence += 1
                    ends.append(
                        ReportedEnd(vm.sequence, task, number, EndKind.DONE, "")
                    )
            if ends:
                self._apply_worker_report(vm, tuple(ends), now_ms)

    def _execute_order(self, order, now_ms: float) -> None:
        match order:
            case StartRun(worker, task, number):
                vm = next(vm for vm in self._vms if vm.worker == worker)
                job = self._scheduler.jobs[task.job_id]
                self._first_start_ms.setdefault(job.job_id, now_ms)
                step = job.workload.steps[task.step]
                took_ms = self._run_times_ms[task.job_id, task.step][task.index]
                done_ms = float("inf") if step.is_lasting else now_ms + took_ms
                vm.runs[task] = (number, done_ms)
                self._apply_worker_report(vm, (), now_ms)
            case StopRun(worker, task, _):
                vm = next(vm for vm in self._vms if vm.worker == worker)
                vm.runs.pop(task, None)

    def _commit_changes(self, now_ms: float) -> None:
        changes = self._scheduler.pop_changes()
        self._scheduler.mark_committed(changes)
        for change in changes:
            if change.is_final:
                self._record_job_end(change.job, now_ms)

    def _record_job_end(self, job: ActiveJob, now_ms: float) -> None:
        queue = self._scheduler.queues[job.workload.queue]
        reports = [self.report.queues[queue.name]]
        if job.workload.team is not None:
            reports.append(self.report.teams[job.workload.team])
        took_ms = now_ms - job.accepted_ms
        waited_ms = self._first_start_ms[job.job_id] - job.accepted_ms
        steps = range(len(job.workload.steps))
        critical_path_ms = sum(
            max(self._run_times_ms.pop((job.job_id, n))) for n in steps
        )
        is_in_time = took_ms <= queue.stretch * critical_path_ms + queue.target_ms
        for report in reports:
            report.took_ms.append(took_ms)
            report.waited_ms.append(waited_ms)
            report.in_time += is_in_time
            report.late += not is_in_time

    def _move_vms(self, now_ms: float) -> None:
        loads = pool_loads(self._scheduler, self._arrivals, now_ms, now_ms)
        if not self._policy.counts_arrivals:
            loads = {s: replace(load, arriving=0.0) for s, load in loads.items()}
        needs = pool_needs(loads, self._demand, now_ms)
        vms = {vm.vm_id: vm.to_pool_vm(now_ms) for vm in self._vms}
        standby = frozenset((STANDBY,))
        by_id = {vm.vm_id: vm for vm in self._vms}
        for move in plan_moves(vms, self._scheduler.workers, needs, standby, {}):
            vm = by_id[move.vm]
            if vm.worker:
                self._scheduler.unlist_worker(vm.worker)
                self._scheduler.mark_silent(vm.worker)
                self._scheduler.mark_terminated([vm.worker])
            vm.pool, vm.worker = move.pool, WorkerId("")
            vm.ready_ms = now_ms + MOVE_DURATION_MS
            self.report.moves += 1


def replay(
    pattern: RotatingPeaks,
    policy: ReplayPolicy,
    seed: int,
    length_s: float,
    mix: TeamMix | None = None,
) -> ReplayReport:
    """Replay a pattern for ``length_s`` simulated seconds and return the results.

    The jobs are of the teams of a mix, if there is one.
    """
    return _PatternReplay(pattern, policy, seed, mix).run(length_s)
