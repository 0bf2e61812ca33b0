"""Single decisions of the scheduler, each from a day on which it was wrong."""

from types import SimpleNamespace

import eventlet
from returns.result import Failure

from corianderpitch.adapters.memorystore import MemoryRowStore
from corianderpitch.adapters.partedtable import PartedTable
from corianderpitch.clock import ManualClock
from corianderpitch.daemon.roles import RoleLease
from corianderpitch.daemon.scheduling.commits import CommitTask
from corianderpitch.daemon.scheduling.diversions import DivertedJobs
from corianderpitch.daemon.scheduling.holder import SchedulerTask
from corianderpitch.daemon.scheduling.links import WorkerTask
from corianderpitch.daemon.scheduling.meters import JobMeters
from corianderpitch.daemon.scheduling.rows import JOBS_TABLE, home_partition, job_id_of
from corianderpitch.domain.jobs import JobState, Shape
from corianderpitch.domain.scheduling.candidates import Standing
from corianderpitch.domain.scheduling.catalog import WaveOrder
from corianderpitch.domain.scheduling.evacuation import evacuate
from corianderpitch.domain.scheduling.maintenance import (
    PoolVm,
    VmCondition,
    WaveProgress,
    is_empty,
    next_steps,
)
from corianderpitch.domain.scheduling.orders import OrderResult, StartRun, StopRun
from corianderpitch.domain.scheduling.planning import plan
from corianderpitch.domain.scheduling.progress import ActiveJob
from corianderpitch.domain.scheduling.scheduler import Scheduler, Term
from corianderpitch.domain.scheduling.workers import (
    EndKind,
    ListedEnd,
    ListedRun,
    WorkerInfo,
    WorkerReport,
)
from corianderpitch.domain.scheduling.workloads import Queue, Step, TaskRef, Workload
from corianderpitch.errors import OutcomeLost, WorkerError, WorkerProblem
from corianderpitch.ids import (
    EntryId,
    JobId,
    QueueName,
    ServiceName,
    VmId,
    WorkerId,
)

QUEUE = Queue(QueueName("quotes"), ServiceName("counter"), max_attempts=2)
NOW_MS = 50_000.0
ONE_STEP = (Step(1, Shape(1.0, 100), 100.0),)


def make_scheduler(workers=("w1", "w2"), processors=4.0):
    scheduler = Scheduler(Term(1, 5, NOW_MS))
    scheduler.set_queues({QUEUE.name: QUEUE})
    for name in workers:
        add_worker(scheduler, name, processors)
    return scheduler


def add_worker(scheduler, name, processors=4.0, service=QUEUE.service):
    info = WorkerInfo(
        WorkerId(name),
        service,
        name,
        "here",
        Shape(processors, 8000),
        ("a", "r1"),
        VmId(f"vm-{name}"),
        "1",
    )
    scheduler.set_worker(info, NOW_MS)
    scheduler.note_recorded([WorkerId(name)])
    report(scheduler, name)


def report(scheduler, name, running=(), ended=(), asked_ms=NOW_MS, life="1"):
    listed = WorkerReport(life, 1000.0, tuple(running), tuple(ended))
    scheduler.take_report(WorkerId(name), listed, asked_ms, asked_ms)


def make_job(name="a", steps=ONE_STEP, version=9):
    return ActiveJob(Workload(JobId(name), QUEUE.name, "", tuple(steps)), 0.0, version)


def starts(scheduler, now_ms=NOW_MS):
    plan(scheduler, now_ms, 0.0)
    return [o for o in scheduler.take_orders() if isinstance(o, StartRun)]


def running(order):
    return ListedRun(order.task, order.number, "", 100.0)


def done(order, sequence=1):
    return ListedEnd(sequence, order.task, order.number, EndKind.DONE, "")


def test_a_job_that_has_ended_is_not_taken_in_again():
    """A snapshot read before the end is committed still names the job."""
    scheduler = make_scheduler()
    scheduler.add_job(make_job())
    (order,) = starts(scheduler)
    report(scheduler, order.worker, ended=[done(order)])
    scheduler.add_job(make_job())
    assert starts(scheduler) == []


def test_a_silent_workers_tasks_start_elsewhere_when_its_lease_has_lapsed():
    scheduler = make_scheduler()
    scheduler.add_job(make_job())
    (order,) = starts(scheduler)
    scheduler.lease(order.worker, 2000.0, NOW_MS)
    scheduler.take_silence(order.worker)
    scheduler.expire(NOW_MS + 1900.0)
    assert starts(scheduler, NOW_MS + 1900.0) == []
    scheduler.expire(NOW_MS + 2200.0)
    (again,) = starts(scheduler, NOW_MS + 2200.0)
    assert again.worker != order.worker
    assert again.number > order.number


def test_a_predecessors_lease_counts_for_a_worker_that_was_heard_once():
    """It answered a new holder, which gave it no lease yet, and fell silent."""
    scheduler = Scheduler(Term(2, 5, NOW_MS + 6000.0))
    scheduler.set_queues({QUEUE.name: QUEUE})
    for name in ("w1", "w2"):
        add_worker(scheduler, name)
    job = make_job(version=2)
    scheduler.add_job(job)
    run = ListedRun(TaskRef(job.job_id, 0, 0, 0), 1, "", 50.0)
    report(scheduler, "w1", running=[run])
    scheduler.take_silence(WorkerId("w1"))
    scheduler.expire(NOW_MS + 5900.0)
    assert starts(scheduler, NOW_MS + 5900.0) == []
    scheduler.expire(NOW_MS + 6100.0)
    assert len(starts(scheduler, NOW_MS + 6100.0)) == 1


def test_a_worker_that_has_certainly_ended_is_not_waited_for():
    scheduler = make_scheduler()
    scheduler.add_job(make_job())
    (order,) = starts(scheduler)
    scheduler.lease(order.worker, 6000.0, NOW_MS)
    scheduler.take_silence(order.worker)
    scheduler.take_gone([order.worker])
    (again,) = starts(scheduler)
    assert again.worker != order.worker


def test_a_lapsed_holder_restarts_nothing():
    scheduler = make_scheduler()
    scheduler.add_job(make_job())
    (order,) = starts(scheduler)
    scheduler.take_silence(order.worker)
    scheduler.take_gone([order.worker])
    plan(scheduler, NOW_MS, 0.0, may_restart=False)
    assert scheduler.take_orders() == []


def test_the_entry_of_a_life_that_was_heard_keeps_its_runs():
    scheduler = make_scheduler(("w1",))
    report(scheduler, "w1", life="2")
    scheduler.add_job(make_job())
    (order,) = starts(scheduler)
    info = scheduler.workers[WorkerId("w1")].info
    newer = WorkerInfo(
        info.worker, info.service, info.address, info.zone, info.capacity,
        info.labels, info.vm, "2",
    )  # fmt: skip
    scheduler.set_worker(newer, NOW_MS)
    assert order.task in scheduler.workers[WorkerId("w1")].runs


def test_a_task_that_failed_too_often_fails_its_job():
    scheduler = make_scheduler()
    scheduler.add_job(make_job())
    workers = []
    for _ in range(QUEUE.max_attempts):
        (order,) = starts(scheduler)
        workers.append(order.worker)
        end = ListedEnd(1, order.task, order.number, EndKind.FAILED, "")
        report(scheduler, order.worker, ended=[end])
    assert len(set(workers)) == QUEUE.max_attempts
    (change,) = scheduler.take_changes()
    assert change.record.state is JobState.FAILED


def test_a_failed_end_counts_once_for_a_successor():
    job = make_job()
    first = job.begin(0)[0]
    first.failed[0] = {7}
    successor = make_job()
    successor.restore(job.record())
    scheduler = make_scheduler()
    scheduler.add_job(successor)
    task = make_job().begin(0)[0]
    assert task.pending == {0}
    (order,) = starts(scheduler)
    end = ListedEnd(1, order.task, 7, EndKind.FAILED, "")
    report(scheduler, order.worker, running=[running(order)], ended=[end])
    assert scheduler.jobs[JobId("a")].begin(0)[0].failed == {0: {7}}


def test_lasting_tasks_move_one_at_a_time_and_only_beside_ones_at_work():
    step = Step(3, Shape(1.0, 100), is_lasting=True, estimate_ms=0.0, max_per_worker=1)
    scheduler = make_scheduler(("w1", "w2", "w3", "w4"))
    scheduler.add_job(make_job(steps=(step,)))
    orders = starts(scheduler)
    by_worker = {order.worker: order for order in orders}
    for worker, order in by_worker.items():
        report(scheduler, worker, running=[running(order)])
    for worker in list(by_worker)[:2]:
        scheduler.workers[worker].is_evacuated = True
    evacuate(scheduler, NOW_MS)
    stops = [o for o in scheduler.take_orders() if isinstance(o, StopRun)]
    assert len(stops) == 1


def test_pools_under_pressure_keep_their_vms_until_the_wave_presses():
    scheduler = make_scheduler(("w1",))
    vms = {
        VmId("vm-w1"): PoolVm(
            VmId("vm-w1"), QUEUE.service, VmCondition.UP, WorkerId("w1")
        )
    }
    order = WaveOrder(1, (VmId("vm-w1"),), 30_000.0, 1)
    wave = WaveProgress(order, due_ms=NOW_MS + 30_000.0)
    pressed = frozenset({QUEUE.service})
    arguments = (vms, scheduler.workers, frozenset())
    assert next_steps(wave, *arguments, pressed, set(), NOW_MS) == ([], set())
    late_ms = NOW_MS + 25_000.0
    assert next_steps(wave, *arguments, pressed, set(), late_ms)[1] == {WorkerId("w1")}


def end_of(job_id, sequence):
    """Return the end of a run that a predecessor has started."""
    return ListedEnd(
        sequence, TaskRef(JobId(job_id), 0, 0, 0), 1, EndKind.DONE, "saved"
    )


class TestEndsOfUnreadJobs:
    """A holder that took over while the store was silent for some partitions."""

    def test_an_end_behind_one_of_an_unread_job_is_no_lost_run(self):
        """The run was started again, and its first end was taken note of later."""
        scheduler = make_scheduler(("w1",))
        scheduler.is_whole = False
        scheduler.add_job(make_job())
        (order,) = starts(scheduler)
        scheduler.take_result(order, OrderResult.DONE, NOW_MS)
        ended = [end_of("unread", 1), done(order, 2)]
        report(scheduler, "w1", ended=ended, asked_ms=NOW_MS + 10.0)
        assert starts(scheduler, NOW_MS + 20.0) == []
        assert JobId("a") in scheduler.ended

    def test_an_end_of_an_unread_job_is_kept_until_the_job_is_read(self):
        scheduler = make_scheduler(("w1",))
        scheduler.is_whole = False
        ended = [end_of("late", 1)]
        report(scheduler, "w1", ended=ended)
        worker = scheduler.workers[WorkerId("w1")]
        assert worker.settled == 0
        scheduler.add_job(make_job("late", version=1))
        scheduler.is_whole = True
        report(scheduler, "w1", ended=ended)
        assert JobId("late") in scheduler.ended
        scheduler.settle(scheduler.take_changes())
        assert worker.settled == 1

    def test_an_end_of_a_job_that_is_nowhere_is_let_go_once_all_is_read(self):
        scheduler = make_scheduler(("w1",))
        scheduler.is_whole = False
        report(scheduler, "w1", ended=[end_of("gone", 1)])
        scheduler.is_whole = True
        report(scheduler, "w1", ended=[end_of("gone", 1)])
        assert scheduler.workers[WorkerId("w1")].settled == 1


def busy_wave(count, time_left_ms):
    """Return the workers of one busy pool that a wave empties at once."""
    names = [f"w{n:02}" for n in range(count)]
    scheduler = make_scheduler(names)
    for number in range(count):
        scheduler.add_job(make_job(f"{number:016x}", [Step(1, Shape(3.0, 1), 1.0)]))
    starts(scheduler)
    vms = {
        VmId(f"vm-{name}"): PoolVm(
            VmId(f"vm-{name}"), QUEUE.service, VmCondition.UP, WorkerId(name)
        )
        for name in names
    }
    order = WaveOrder(1, tuple(vms), time_left_ms, 100, 1)
    wave = WaveProgress(order, due_ms=NOW_MS + time_left_ms)
    arguments = (vms, scheduler.workers, frozenset(), frozenset(), set())
    return next_steps(wave, *arguments, NOW_MS)[1]


def test_a_large_pool_gives_up_as_many_vms_at_once_as_its_wave_needs():
    """A wave of 18 VMs of one pool was late, for one was emptied at a time."""
    assert len(busy_wave(18, time_left_ms=30_000.0)) == 3
    assert len(busy_wave(18, time_left_ms=6_000.0)) == 18


def test_a_small_pool_gives_up_one_vm_at_a_time():
    assert len(busy_wave(3, time_left_ms=30_000.0)) == 1


def job_rows(store):
    """Return the rows of all jobs."""
    parts = store.list_parts(JOBS_TABLE).unwrap()
    return [row for part in parts for row in store.read(JOBS_TABLE, part).unwrap().rows]


def make_commits():
    """Make a task that commits what a scheduler decides, and its store."""
    clock = ManualClock(1000.0)
    store = MemoryRowStore(clock)
    role = RoleLease(
        "scheduler", EntryId("e1"), PartedTable(store), clock, 500.0, 2000.0
    )
    assert role.seek()
    scheduler = make_scheduler()
    commits = CommitTask(
        store,
        role,
        scheduler,
        DivertedJobs(store, role, scheduler),
        clock,
        JobMeters(),
        lambda: None,
        120_000.0,
    )
    return clock, store, scheduler, commits


class TestCommits:
    """Commits against a store that takes a hundred entries at most."""

    def test_many_cancelled_jobs_fit_into_transactions(self):
        _, store, scheduler, commits = make_commits()
        sizes = []
        plain = store.commit

        def counted(checks, writes):
            sizes.append(len(checks) + len(writes))
            return plain(checks, writes)

        store.commit = counted
        for number in range(60):
            scheduler.add_job(make_job(f"job{number}"))
            scheduler.cancel_job(JobId(f"job{number}"))
        assert commits.commit_all()
        assert max(sizes) <= 100
        assert len(job_rows(store)) == 60

    def test_ended_jobs_are_forgotten_after_their_time(self):
        clock, store, scheduler, commits = make_commits()
        scheduler.add_job(make_job())
        scheduler.cancel_job(JobId("a"))
        assert commits.commit_all()
        commits.purge_ended_jobs()
        assert len(job_rows(store)) == 1
        clock.advance(200_000.0)
        commits.purge_ended_jobs()
        assert job_rows(store) == []


def test_a_role_that_was_just_taken_is_not_taken_again_before_its_first_beat():
    clock = ManualClock(1000.0)
    store = MemoryRowStore(clock)

    def lease(entry):
        table = PartedTable(store)
        return RoleLease("scheduler", EntryId(entry), table, clock, 500.0, 2000.0)

    first, second, third = lease("e1"), lease("e2"), lease("e3")
    assert first.seek()
    first.renew()
    for waiting in (second, third):
        assert not waiting.seek()
    clock.advance(2500.0)
    assert second.seek()
    assert not third.seek()


def test_a_worker_that_was_forgotten_and_comes_back_is_not_given_a_lower_fence():
    scheduler = make_scheduler(("w1",))
    scheduler.add_job(make_job())
    (order,) = starts(scheduler)
    scheduler.take_result(order, OrderResult.NO_ANSWER, NOW_MS)
    raised = scheduler.fence_of(WorkerId("w1"))
    assert raised > order.fence
    scheduler.take_silence(WorkerId("w1"))
    scheduler.take_gone([WorkerId("w1")])
    scheduler.unlist_worker(WorkerId("w1"))
    scheduler.expire(NOW_MS + 10_000.0)
    assert WorkerId("w1") not in scheduler.workers
    add_worker(scheduler, "w1")
    assert scheduler.fence_of(WorkerId("w1")) >= raised


def test_no_two_tenures_share_an_epoch():
    """A tenure may end while the role is still held."""
    clock = ManualClock(1000.0)
    table = PartedTable(MemoryRowStore(clock))
    role = RoleLease("scheduler", EntryId("e1"), table, clock, 500.0, 2000.0)
    epochs = []

    class Tenure:
        scheduler = Scheduler(Term(1, 1, 0.0))

        def run(self):
            epochs.append(role.epoch)
            if len(epochs) == 3:
                task.resign()

        def stop(self):
            pass

    task = SchedulerTask(role, lambda _: Tenure(), clock, lambda: Standing(True))
    with eventlet.Timeout(5.0):
        task.run()
    assert epochs == [1, 2, 3]


def test_a_list_that_was_overtaken_by_a_later_one_proves_nothing():
    """Both were asked for after the order; the second to come was made first."""
    scheduler = make_scheduler(("w1",))
    scheduler.add_job(make_job())
    (order,) = starts(scheduler)
    report(scheduler, "w1", running=[running(order)], asked_ms=NOW_MS + 2.0)
    report(scheduler, "w1", asked_ms=NOW_MS + 1.0)
    assert order.task in scheduler.workers[WorkerId("w1")].runs
    assert starts(scheduler, NOW_MS + 3.0) == []


class LinkThatNotes:
    """A link to workers that fails, and notes until when they are leased."""

    def __init__(self):
        self.leases = []

    def report(self, info, fence, settled, until_ms, wait_ms):
        self.leases.append(until_ms)
        return Failure(WorkerError(WorkerProblem.SILENT))


class TestUnreadPartitions:
    """The store answers for some of its partitions only, at a takeover."""

    def run_of(self, number=3):
        job = make_job("late", version=2)
        task = TaskRef(job.job_id, 0, 0, 0)
        return job, ListedRun(task, number, "", 50.0)

    def test_a_run_of_a_job_that_is_not_read_yet_is_left_alone(self):
        scheduler = make_scheduler(("w1",))
        scheduler.is_whole = False
        _, run = self.run_of()
        report(scheduler, "w1", running=[run])
        assert scheduler.take_orders() == []
        scheduler.is_whole = True
        report(scheduler, "w1", running=[run], asked_ms=NOW_MS + 600.0)
        assert [type(order) for order in scheduler.take_orders()] == [StopRun]

    def test_a_worker_that_runs_an_unread_job_counts_as_running(self):
        """Its VM was moved, and nine lasting tasks ended with it."""
        scheduler = make_scheduler(("w1",))
        worker = scheduler.workers[WorkerId("w1")]
        assert is_empty(worker)
        scheduler.is_whole = False
        job, run = self.run_of()
        report(scheduler, "w1", running=[run])
        assert not is_empty(worker)
        scheduler.add_job(job)
        scheduler.is_whole = True
        report(scheduler, "w1", running=[run], asked_ms=NOW_MS + 1.0)
        assert not is_empty(worker)
        end = ListedEnd(1, run.task, run.number, EndKind.DONE, "")
        report(scheduler, "w1", ended=[end], asked_ms=NOW_MS + 2.0)
        scheduler.settle(scheduler.take_changes())
        assert is_empty(worker)

    def test_the_lease_of_a_run_of_an_unread_job_is_renewed(self):
        scheduler = make_scheduler(("w1",))
        scheduler.is_whole = False
        _, run = self.run_of()
        report(scheduler, "w1", running=[run])
        link = LinkThatNotes()
        role = SimpleNamespace(renewed_age_ms=0.0)
        WorkerTask(
            WorkerId("w1"),
            scheduler,
            link,
            role,
            None,
            ManualClock(NOW_MS),
            None,
            6000.0,
            2000.0,
            lambda: None,
        )._fetch_report(0)
        (until_ms,) = link.leases
        assert until_ms is not None
        assert until_ms > 1000.0

    def test_an_end_of_a_job_that_is_not_read_yet_is_kept_by_the_worker(self):
        scheduler = make_scheduler(("w1",))
        scheduler.is_whole = False
        job, run = self.run_of()
        end = ListedEnd(1, run.task, run.number, EndKind.DONE, "")
        report(scheduler, "w1", ended=[end])
        assert scheduler.workers[WorkerId("w1")].seen == 0
        scheduler.add_job(job)
        report(scheduler, "w1", ended=[end])
        assert scheduler.workers[WorkerId("w1")].seen == 1
        (change,) = scheduler.take_changes()
        assert change.record.state is JobState.DONE

    def test_a_job_that_is_read_late_waits_for_the_lists_of_all_workers(self):
        """Its task may run, also when all leases of the predecessor have lapsed."""
        scheduler = make_scheduler(("w1",))
        scheduler.is_whole = False
        job, run = self.run_of()
        late_ms = NOW_MS + 20_000.0
        report(scheduler, "w1", running=[run], asked_ms=late_ms)
        scheduler.hear_again(late_ms + 6000.0)
        scheduler.add_job(job)
        scheduler.is_whole = True
        assert starts(scheduler, late_ms) == []
        report(scheduler, "w1", running=[run], asked_ms=late_ms)
        assert starts(scheduler, late_ms) == []
        assert list(job.runs())[0].number == run.number


class TestPartitionedCommits:
    """A partition that does not answer holds up nothing but itself."""

    def lose_part(self, store, part):
        plain = store.commit

        def partly(checks, writes):
            if any(entry.key.part == part for entry in (*checks, *writes)):
                return Failure(OutcomeLost("silent"))
            return plain(checks, writes)

        store.commit = partly

    def test_the_others_are_committed_and_their_ends_settled(self):
        _, store, scheduler, commits = make_commits()
        names = [f"job{number}" for number in range(12)]
        for name in names:
            scheduler.add_job(make_job(name))
        orders = starts(scheduler)
        lost = home_partition(QUEUE.name, JobId("job0"))
        self.lose_part(store, lost)
        for order in orders:
            sequence = scheduler.workers[order.worker].seen + 1
            report(scheduler, order.worker, ended=[done(order, sequence)])
        assert not commits.commit_all()
        ended = [j for j in names if j not in scheduler.jobs]
        stored = {job_id_of(row.key) for row in job_rows(store)}
        assert stored == {j for j in ended if home_partition(QUEUE.name, j) != lost}
        assert stored
        held = {
            o.worker
            for o in orders
            if home_partition(QUEUE.name, o.task.job_id) == lost
        }
        for name, worker in scheduler.workers.items():
            assert (worker.settled == worker.seen) == (name not in held)

    def test_what_was_held_up_is_committed_when_the_partition_is_back(self):
        clock, store, scheduler, commits = make_commits()
        plain = store.commit
        scheduler.add_job(make_job("job0"))
        scheduler.add_job(make_job("job1"))
        self.lose_part(store, home_partition(QUEUE.name, JobId("job0")))
        scheduler.cancel_job(JobId("job0"))
        scheduler.cancel_job(JobId("job1"))
        assert not commits.commit_all()
        store.commit = plain
        clock.advance(1000.0)
        assert commits.commit_all()
        assert len(job_rows(store)) == 2

    def test_an_end_is_kept_while_a_later_end_of_its_job_is_not_committed(self):
        """The job ends while the commit of its first end is under way, and fails."""
        scheduler = make_scheduler()
        scheduler.add_job(make_job(steps=(Step(2, Shape(3.0, 100), 100.0),)))
        first, second = starts(scheduler)
        report(scheduler, first.worker, ended=[done(first)])
        changes = scheduler.take_changes()
        report(scheduler, second.worker, ended=[done(second)])
        scheduler.keep_changes(changes)
        again = scheduler.take_changes()
        assert [change.is_final for change in again] == [True]
        scheduler.keep_changes(again)
        settled = {order.worker: 0 for order in (first, second)}
        assert settled == {w: v.settled for w, v in scheduler.workers.items()}
        scheduler.settle(scheduler.take_changes())
        assert all(worker.settled == 1 for worker in scheduler.workers.values())

    def test_ends_of_a_job_whose_final_record_waits_are_kept(self):
        """A successor that reads no final record must still see them."""
        scheduler = make_scheduler()
        scheduler.add_job(make_job(steps=(Step(2, Shape(3.0, 100), 100.0),)))
        first, second = starts(scheduler)
        scheduler.cancel_job(JobId("a"))
        taken = scheduler.take_changes()
        report(scheduler, second.worker, ended=[done(second)])
        assert scheduler.workers[second.worker].settled == 0
        scheduler.settle(taken)
        assert scheduler.workers[second.worker].settled == 1

    def test_a_later_end_is_kept_behind_an_open_one(self):
        scheduler = make_scheduler(("w1",))
        scheduler.add_job(make_job("a"))
        scheduler.add_job(make_job("b"))
        orders = starts(scheduler)
        ends = [done(order, n + 1) for n, order in enumerate(orders)]
        report(scheduler, "w1", ended=ends)
        changes = {change.job.job_id: change for change in scheduler.take_changes()}
        first, second = (changes[order.task.job_id] for order in orders)
        scheduler.settle([second])
        scheduler.keep_changes([first])
        assert scheduler.workers[WorkerId("w1")].settled == 0
        scheduler.settle(scheduler.take_changes())
        assert scheduler.workers[WorkerId("w1")].settled == 2
