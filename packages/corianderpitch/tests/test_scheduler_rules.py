"""Randomised tests of the scheduler with slow, silent and restarted workers.

Messages may be late or lost, and two holders may serve at once, as after a network
partition. The ledger of the simulated workers raises if a task runs twice.
"""

import random
from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from corianderpitch.domain.jobs import JobState, Shape
from corianderpitch.domain.scheduling.changes import JobChange
from corianderpitch.domain.scheduling.orders import (
    OrderResult,
    RequestReport,
    StartRun,
    StopRun,
)
from corianderpitch.domain.scheduling.planning import plan
from corianderpitch.domain.scheduling.progress import ActiveJob, ProgressRecord
from corianderpitch.domain.scheduling.scheduler import Scheduler
from corianderpitch.domain.scheduling.teams import Team
from corianderpitch.domain.scheduling.term import Term
from corianderpitch.domain.scheduling.workers import WorkerInfo
from corianderpitch.domain.scheduling.workloads import Queue, Step, TaskRef, Workload
from corianderpitch.ids import (
    JobId,
    QueueName,
    ServiceName,
    TeamName,
    VmId,
    WorkerId,
)
from corianderpitch_standins.simulatedworkers import RunLedger, SimulatedWorker

QUEUE = Queue(QueueName("quotes"), ServiceName("counter"), max_attempts=3)
LEASE_MS = 6000.0
START_LEASE_MS = 3000.0
ROLE_LEASE_MS = 2000.0
WORKERS = ("w1", "w2", "w3")
DELIVERIES = ("prompt", "prompt", "answers_lost", "held")
REACHABLE = (WORKERS, WORKERS, ("w1", "w2"), ("w2", "w3"), ("w1",), ())
MAX_JOBS = 6
UNAVAILABLE_JOBS = ((), (), ("job1",), ("job2", "job3"))
RUN_MS = (100.0, 800.0, 3000.0, 9000.0)


@dataclass
class Call:
    """An order or a report request in flight, or its answer."""

    holder: "Holder"
    order: object
    worker: str
    incarnation: str
    until_ms: float | None
    committed_sequence: int
    fence: int
    sent_ms: float
    answer: object = None
    clock_ms: float | None = None
    is_answered: bool = False
    is_given_up: bool = False


@dataclass
class Store:
    """Committed rows, with one version counter."""

    version: int = 0
    term_version: int = 0
    term: int = 0
    beat_ms: float = -1e9
    jobs: dict[str, tuple[Workload, int]] = field(default_factory=dict)
    progress: dict[str, ProgressRecord] = field(default_factory=dict)
    recorded: set[str] = field(default_factory=set)

    def next_version(self) -> int:
        self.version += 1
        return self.version


class Holder:
    """One term, with the work of the tasks that surround the scheduler."""

    def __init__(
        self,
        store: Store,
        now_ms: float,
        unread: tuple[str, ...] = (),
        teams: Mapping[TeamName, Team] = MappingProxyType({}),
    ):
        store.term += 1
        store.term_version = store.next_version()
        store.beat_ms = now_ms
        self.store = store
        self.renewed_ms = now_ms
        lease_ms = LEASE_MS * 1.05
        term = Term(store.term, store.term_version, now_ms + lease_ms, lease_ms)
        self.scheduler = Scheduler(term)
        self.scheduler.set_queues({QUEUE.name: QUEUE})
        self.scheduler.usage.set_teams(teams)
        self.scheduler.awaiting_report = set(store.recorded)
        self.known: set[str] = set()
        self.unread = set(unread) & set(store.jobs)
        self.scheduler.has_read_all_jobs = not self.unread
        self.pending_commit: list[JobChange] = []
        self.load_jobs(now_ms)

    def is_renewed(self, now_ms: float) -> bool:
        return now_ms - self.renewed_ms < ROLE_LEASE_MS

    def is_current(self) -> bool:
        return self.store.term_version == self.scheduler.term.version

    def load_jobs(self, now_ms: float) -> None:
        for name, (workload, version) in self.store.jobs.items():
            if name in self.known or name in self.unread:
                continue
            self.known.add(name)
            record = self.store.progress.get(name)
            if record is not None and record.state.has_ended:
                if record.state is not JobState.DONE:
                    self.scheduler.usage.note_stopped_runs(record.team)
                continue
            job = ActiveJob(workload, now_ms, version)
            if record is not None:
                job.restore(record)
            self.scheduler.add_job(job)

    def read_remaining_jobs(self, unavailable: tuple[str, ...], now_ms: float) -> None:
        """Read the jobs that were unavailable at the takeover."""
        if self.unread <= set(unavailable):
            return
        self.scheduler.request_fresh_reports(now_ms + LEASE_MS * 1.05)
        self.unread &= set(unavailable)
        self.load_jobs(now_ms)
        self.scheduler.has_read_all_jobs = not self.unread

    def commit(self, unavailable: tuple[str, ...] = ()) -> None:
        """Finish the pending commit, and begin the next one.

        The store does not answer for the ``unavailable`` jobs.
        """
        changes, self.pending_commit = self.pending_commit, []
        if not self.is_current():
            self.scheduler.requeue_changes(changes)
            self.scheduler.is_superseded = True
            return
        kept = [change for change in changes if change.job.job_id in unavailable]
        changes = [change for change in changes if change.job.job_id not in unavailable]
        workers = self.scheduler.workers_to_record()
        self.store.recorded = set(workers)
        self.scheduler.mark_recorded(workers)
        for change in changes:
            self.store.progress[change.job.job_id] = change.record
        self.store.next_version()
        self.scheduler.mark_committed(changes)
        self.scheduler.requeue_changes(kept)
        self.pending_commit = self.scheduler.pop_changes()

    def lease(self, worker: str, requested_ms: float, now_ms: float) -> float | None:
        end_ms = ROLE_LEASE_MS + LEASE_MS - 500.0
        length_ms = min(requested_ms, end_ms - (now_ms - self.renewed_ms))
        if length_ms <= 0:
            return None
        return self.scheduler.extend_lease(WorkerId(worker), length_ms, now_ms)


class SchedulerRules(RuleBasedStateMachine):
    """Holders and workers whose messages are delivered, lost or late."""

    teams: Mapping[TeamName, Team] = MappingProxyType({})
    team: TeamName | None = None
    new_ledger = RunLedger

    @initialize()
    def begin(self):
        self.now_ms = 10_000.0
        self.ledger = self.new_ledger()
        self.workers = {name: SimulatedWorker(name, self.ledger) for name in WORKERS}
        for worker in self.workers.values():
            worker.start_incarnation(self.now_ms - 100.0)
        self.store = Store()
        self.holders = [Holder(self.store, self.now_ms, teams=self.teams)]
        self.calls: list[Call] = []
        self.jobs = 0
        for worker in self.workers:
            self._list(self.holders[0], worker)
        self.holders[0].commit()

    def _list(self, holder: Holder, name: str) -> None:
        worker = self.workers[name]
        info = WorkerInfo(
            WorkerId(name),
            QUEUE.service,
            name,
            "dc1",
            Shape(2.0, 1000),
            ("a", "r1"),
            VmId(name),
            worker.incarnation_id,
        )
        holder.scheduler.set_worker(info, self.now_ms)

    @rule(count=st.integers(1, 3), steps=st.integers(1, 2))
    def submit(self, count, steps):
        self.jobs += 1
        if self.jobs > MAX_JOBS:
            return
        name = JobId(f"job{self.jobs}")
        shape = Shape(1.0, 100)
        chain = tuple(
            Step(count, shape, 500.0, after=(n - 1,) if n else ()) for n in range(steps)
        )
        workload = Workload(name, QUEUE.name, "", chain, team=self.team)
        self.store.jobs[name] = (workload, self.store.next_version())

    @rule(
        rounds=st.lists(
            st.tuples(
                st.integers(0, 3),
                st.sampled_from(DELIVERIES),
                st.sampled_from(REACHABLE),
                st.sampled_from([True, True, True, False]),
                st.sampled_from(RUN_MS),
                st.sampled_from(UNAVAILABLE_JOBS),
                st.sampled_from([True, True, False]),
                st.sampled_from([10.0, 50.0, 200.0, 900.0]),
            ),
            min_size=1,
            max_size=6,
        )
    )
    def run_holders(self, rounds):
        """Run rounds of holders: reports, a commit, orders, then some time."""
        for which, *details, ms in rounds:
            holder = self.holders[which % len(self.holders)]
            self._round(holder, *details)
            self.pass_time(ms)

    def _round(
        self, holder, delivery, reach, has_store, run_ms, unavailable, hears
    ) -> None:
        """Run one round of a holder.

        Held calls wait for the rule ``arrive``. If the answers are lost, the holder
        gets a timeout for each call. A holder that does not hear of its workers in a
        round gives orders to those that it knows, also to ones that have restarted.
        """
        if holder.scheduler.is_superseded:
            return
        if has_store and holder.is_current():
            holder.renewed_ms = self.store.beat_ms = self.now_ms
        for name in WORKERS if hears else ():
            if name in reach and self.workers[name].is_up:
                self._ask(holder, name)
                self._deliver(holder, "prompt", run_ms)
            else:
                holder.scheduler.mark_silent(WorkerId(name))
        self._run(holder, has_store, unavailable, hears)
        self._deliver(holder, delivery, run_ms)

    def _deliver(self, holder: Holder, delivery: str, run_ms: float) -> None:
        if delivery == "held":
            return
        for call in [call for call in self.calls if call.holder is holder]:
            if call.is_answered or call.is_given_up:
                continue
            if self.workers[call.worker].is_up:
                self._arrive(call, run_ms, False)
            if delivery == "prompt" and call.is_answered:
                self._answer(call)
            elif delivery == "answers_lost":
                self._give_up(call)

    def _run(
        self,
        holder: Holder,
        has_store: bool,
        unavailable: tuple[str, ...],
        hears: bool,
    ) -> None:
        if has_store and holder.is_renewed(self.now_ms):
            holder.read_remaining_jobs(unavailable, self.now_ms)
            holder.load_jobs(self.now_ms)
            for name, worker in self.workers.items():
                if worker.is_up and hears:
                    self._list(holder, name)
        if has_store:
            holder.commit(unavailable)
        holder.scheduler.expire(self.now_ms)
        plan(holder.scheduler, self.now_ms, 0.0, holder.is_renewed(self.now_ms))
        for order in holder.scheduler.pop_orders():
            self._send(holder, order)

    def _send(self, holder: Holder, order) -> None:
        scheduler = holder.scheduler
        if isinstance(order, RequestReport):
            self._ask(holder, order.worker)
            return
        until_ms = None
        if isinstance(order, StartRun):
            until_ms = holder.lease(order.worker, START_LEASE_MS, self.now_ms)
            if until_ms is None:
                scheduler.apply_order_result(order, OrderResult.NOT_SENT, self.now_ms)
                return
            scheduler.mark_sent(order, self.now_ms)
        incarnation = self.workers[order.worker].incarnation_id
        self.calls.append(
            Call(
                holder,
                order,
                order.worker,
                incarnation,
                until_ms,
                0,
                order.fence,
                self.now_ms,
            )
        )

    def _ask(self, holder: Holder, name: str) -> None:
        view = holder.scheduler.workers.get(WorkerId(name))
        if view is None:
            return
        until_ms = None
        if view.runs and not view.is_silent:
            until_ms = holder.lease(name, LEASE_MS, self.now_ms)
        fence = holder.scheduler.fence_of(WorkerId(name))
        self.calls.append(
            Call(
                holder,
                None,
                name,
                self.workers[name].incarnation_id,
                until_ms,
                view.pop_acknowledgement(self.now_ms),
                fence,
                self.now_ms,
            )
        )

    @precondition(lambda self: self.calls)
    @rule(
        which=st.integers(0, 50),
        run_ms=st.sampled_from(RUN_MS),
        fails=st.booleans(),
    )
    def arrive(self, which, run_ms, fails):
        """Deliver a call to its worker, in time or seconds late."""
        self._arrive(self.calls[which % len(self.calls)], run_ms, fails)

    def _arrive(self, call: Call, run_ms: float, fails: bool) -> None:
        worker = self.workers[call.worker]
        if call.is_answered or not worker.is_up:
            return
        if (
            call.incarnation != worker.incarnation_id
        ):  # the connection ended with the earlier incarnation
            return
        call.is_answered = True
        worker.advance(self.now_ms)
        call.clock_ms = worker.clock_ms(self.now_ms)
        match call.order:
            case StartRun():
                call.answer = worker.start(
                    call.order, call.until_ms, self.now_ms, run_ms, fails
                )
            case StopRun():
                call.answer = worker.stop(call.order, self.now_ms)
            case None:
                call.answer = worker.report(
                    call.fence, call.committed_sequence, call.until_ms, self.now_ms
                )

    @precondition(lambda self: any(call.is_answered for call in self.calls))
    @rule(which=st.integers(0, 50))
    def answer(self, which):
        """Deliver an answer to its holder, possibly out of order."""
        answered = [call for call in self.calls if call.is_answered]
        self._answer(answered[which % len(answered)])

    def _answer(self, call: Call) -> None:
        self.calls.remove(call)
        if call.is_given_up or call.holder.scheduler.is_superseded:
            return
        scheduler = call.holder.scheduler
        if call.order is not None:
            scheduler.apply_order_result(
                call.order, call.answer, self.now_ms, call.clock_ms
            )
        elif call.answer is None:
            if call.fence == scheduler.fence_of(WorkerId(call.worker)):
                scheduler.is_superseded = True
        else:
            scheduler.apply_report(
                WorkerId(call.worker), call.answer, call.sent_ms, self.now_ms
            )

    @precondition(lambda self: self.calls)
    @rule(which=st.integers(0, 50))
    def give_up(self, which):
        """Time a call out; it may still be carried out."""
        self._give_up(self.calls[which % len(self.calls)])

    def _give_up(self, call: Call) -> None:
        if call.is_given_up:
            return
        call.is_given_up = True
        scheduler = call.holder.scheduler
        if call.order is None:
            scheduler.mark_silent(WorkerId(call.worker))
        else:
            scheduler.apply_order_result(call.order, OrderResult.NO_ANSWER, self.now_ms)

    @precondition(lambda self: self.calls)
    @rule(which=st.integers(0, 50))
    def lose(self, which):
        """Lose a call that has timed out."""
        call = self.calls[which % len(self.calls)]
        if call.is_given_up:
            self.calls.remove(call)

    @rule(ms=st.sampled_from([10.0, 50.0, 200.0, 900.0, 2500.0]))
    def pass_time(self, ms):
        self.now_ms += ms
        for worker in self.workers.values():
            if worker.is_up:
                worker.advance(self.now_ms)

    @rule(worker=st.sampled_from(WORKERS))
    def crash(self, worker):
        self.workers[worker].crash()

    @rule(worker=st.sampled_from(WORKERS))
    def restart(self, worker):
        if not self.workers[worker].is_up:
            self.workers[worker].start_incarnation(self.now_ms)

    @rule(unread=st.sampled_from(UNAVAILABLE_JOBS), lists_workers=st.booleans())
    def take_over(self, unread, lists_workers):
        """Let another entry acquire the role after its lease has expired.

        The store does not answer for the ``unread`` jobs, and for the list of workers
        only later if ``lists_workers`` is false.
        """
        if len(self.holders) > 3 or self.now_ms - self.store.beat_ms < ROLE_LEASE_MS:
            return
        holder = Holder(self.store, self.now_ms, unread, self.teams)
        for name, worker in self.workers.items():
            if worker.is_up and lists_workers:
                self._list(holder, name)
        self.holders.append(holder)


TestSchedulerRules = SchedulerRules.TestCase
TestSchedulerRules.settings = settings(
    max_examples=max(400, settings().max_examples), stateful_step_count=25
)


WALK_STEPS = 250


@pytest.mark.parametrize("seed", range(1000))
def test_no_task_runs_twice_on_a_long_walk(seed):
    """Random walks, longer than Hypothesis examples and weighted towards takeovers."""
    rng = random.Random(seed)
    machine = SchedulerRules()
    machine.begin()
    for _ in range(WALK_STEPS):
        walk(machine, rng)


def _draw_unavailable(holder, rng):
    """Draw the unavailable jobs, mostly the same ones as at the takeover."""
    if holder.unread and rng.random() < 0.8:
        return tuple(sorted(holder.unread))
    return rng.choice(UNAVAILABLE_JOBS)


def _recovery_rounds(machine, rng):
    """Return rounds of the newest holder in which the store answers for all jobs."""
    which = len(machine.holders) - 1
    reach = rng.choice((("w1",), ("w1", "w2"), ("w2", "w3")))
    return [(which, "prompt", reach, True, rng.choice(RUN_MS), (), True, 10.0)] * 3


def walk(machine, rng):
    """Take one step: mostly a round of the newest holder, sometimes of an old one."""
    match rng.choices(range(7), (60, 8, 4, 8, 8, 6, 6))[0]:
        case 0:
            newest = len(machine.holders) - 1
            which = newest if rng.random() < 0.8 else rng.randrange(newest + 1)
            round_ = (
                which,
                rng.choice(DELIVERIES),
                rng.choice(REACHABLE),
                rng.random() < 0.8,
                rng.choice(RUN_MS),
                _draw_unavailable(machine.holders[which], rng),
                rng.random() < 0.7,
                rng.choice((10.0, 50.0, 200.0, 900.0)),
            )
            machine.run_holders(rounds=[round_])
        case 1:
            machine.submit(count=rng.randint(1, 3), steps=rng.randint(1, 2))
        case 2:
            machine.crash(worker=rng.choice(WORKERS))
        case 3:
            machine.restart(worker=rng.choice(WORKERS))
        case 4:
            machine.pass_time(ms=2500.0)
            machine.take_over(
                unread=rng.choice(UNAVAILABLE_JOBS), lists_workers=rng.random() < 0.5
            )
            if rng.random() < 0.5:  # the store answers before all workers do
                machine.run_holders(rounds=_recovery_rounds(machine, rng))
        case 5 if machine.calls:
            late = {"run_ms": rng.choice(RUN_MS), "fails": False}
            machine.arrive(which=rng.randrange(51), **late)
        case 6 if any(call.is_answered for call in machine.calls):
            machine.answer(which=rng.randrange(51))


@pytest.mark.parametrize("seed", range(300))
def test_no_task_runs_twice_while_workers_restart_unnoticed(seed):
    """Starts that a new process had confirmed were taken for those of the old one."""
    rng = random.Random(seed)
    machine = SchedulerRules()
    machine.begin()
    for _ in range(WALK_STEPS // 4):
        _restart_unnoticed(machine, rng)
        for _ in range(3):
            walk(machine, rng)


def _restart_unnoticed(machine, rng):
    """Restart a worker, and let the newest holder act before it hears of that."""
    worker = rng.choice(WORKERS)
    machine.crash(worker=worker)
    machine.restart(worker=worker)
    machine.submit(count=rng.randint(1, 3), steps=1)
    details = ("prompt", rng.choice(REACHABLE), True, rng.choice(RUN_MS), ())
    passing_ms = rng.choice((10.0, 200.0, 900.0))
    which = len(machine.holders) - 1
    machine.run_holders(rounds=[(which, *details, False, passing_ms)])


def test_a_task_ref_names_its_job():
    assert TaskRef(JobId("a"), 0, 1, 2).job_id == "a"


def test_progress_survives_a_takeover():
    workload = Workload(JobId("a"), QUEUE.name, "", (Step(2, Shape(1, 1), 10.0),))
    job = ActiveJob(workload, 0.0, 1)
    job.begin_occurrence(0)[0].mark_done(1)
    successor = ActiveJob(workload, 0.0, 1)
    successor.restore(job.record())
    assert successor.begin_occurrence(0)[0].pending == {0}
    assert successor.state is JobState.QUEUED
