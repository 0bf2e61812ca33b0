"""Regression tests for single scheduler decisions that were once wrong."""

from dataclasses import replace
from types import SimpleNamespace

import eventlet
import pytest
from returns.result import Failure
from schedulers import (
    NOW_MS,
    QUEUE,
    add_worker,
    done,
    make_job,
    make_scheduler,
    report,
    running,
    starts,
)

from corianderpitch.adapters.memorystore import MemoryRowStore
from corianderpitch.adapters.partedtable import PartitionedTable
from corianderpitch.clock import ManualClock
from corianderpitch.daemon.roles import RoleLease
from corianderpitch.daemon.scheduling.cleanup import RowCleanup
from corianderpitch.daemon.scheduling.commits import CommitTask
from corianderpitch.daemon.scheduling.diversions import DivertedJobs
from corianderpitch.daemon.scheduling.holder import SchedulerTask
from corianderpitch.daemon.scheduling.links import WorkerTask
from corianderpitch.daemon.scheduling.meters import JobMeters
from corianderpitch.daemon.scheduling.rows import JOBS_TABLE, home_partition, job_id_of
from corianderpitch.domain.jobs import JobState, Shape
from corianderpitch.domain.scheduling.candidates import ElectionPriority
from corianderpitch.domain.scheduling.catalog import WaveOrder
from corianderpitch.domain.scheduling.evacuation import evacuate
from corianderpitch.domain.scheduling.maintenance import (
    PoolVm,
    VmCondition,
    WaveProgress,
    is_empty,
    plan_wave,
)
from corianderpitch.domain.scheduling.orders import OrderResult, StopRun
from corianderpitch.domain.scheduling.planning import plan
from corianderpitch.domain.scheduling.progress import (
    MAX_ACTIVE_OCCURRENCES,
    ActiveJob,
)
from corianderpitch.domain.scheduling.scheduler import Scheduler
from corianderpitch.domain.scheduling.term import Term
from corianderpitch.domain.scheduling.workers import (
    EndKind,
    ReportedEnd,
    ReportedRun,
    WorkerInfo,
)
from corianderpitch.domain.scheduling.workloads import Schedule, Step, TaskRef
from corianderpitch.errors import OutcomeLost, WorkerError, WorkerProblem
from corianderpitch.ids import (
    EntryId,
    JobId,
    VmId,
    WorkerId,
)


def test_a_job_that_has_ended_is_not_added_again():
    """A snapshot that was read before the end is committed still lists the job."""
    scheduler = make_scheduler()
    scheduler.add_job(make_job())
    (order,) = starts(scheduler)
    report(scheduler, order.worker, ended=[done(order)])
    scheduler.add_job(make_job())
    assert starts(scheduler) == []


def test_tasks_of_a_silent_worker_restart_elsewhere_after_its_lease_expires():
    scheduler = make_scheduler()
    scheduler.add_job(make_job())
    (order,) = starts(scheduler)
    scheduler.extend_lease(order.worker, 2000.0, NOW_MS)
    scheduler.mark_silent(order.worker)
    scheduler.expire(NOW_MS + 1900.0)
    assert starts(scheduler, NOW_MS + 1900.0) == []
    scheduler.expire(NOW_MS + 2200.0)
    (again,) = starts(scheduler, NOW_MS + 2200.0)
    assert again.worker != order.worker
    assert again.number > order.number


def test_a_predecessors_lease_still_holds_for_a_worker_that_answered_once():
    """The worker answers a new holder, and becomes silent before it gets a lease."""
    scheduler = Scheduler(Term(2, 5, NOW_MS + 6000.0))
    scheduler.set_queues({QUEUE.name: QUEUE})
    for name in ("w1", "w2"):
        add_worker(scheduler, name)
    job = make_job(version=2)
    scheduler.add_job(job)
    run = ReportedRun(TaskRef(job.job_id, 0, 0, 0), 1, "", 50.0)
    report(scheduler, "w1", running=[run])
    scheduler.mark_silent(WorkerId("w1"))
    scheduler.expire(NOW_MS + 5900.0)
    assert starts(scheduler, NOW_MS + 5900.0) == []
    scheduler.expire(NOW_MS + 6100.0)
    assert len(starts(scheduler, NOW_MS + 6100.0)) == 1


def test_tasks_of_a_terminated_worker_restart_before_its_lease_expires():
    scheduler = make_scheduler()
    scheduler.add_job(make_job())
    (order,) = starts(scheduler)
    scheduler.extend_lease(order.worker, 6000.0, NOW_MS)
    scheduler.mark_silent(order.worker)
    scheduler.mark_terminated([order.worker])
    (again,) = starts(scheduler)
    assert again.worker != order.worker


def test_a_holder_with_an_expired_lease_restarts_no_task():
    scheduler = make_scheduler()
    scheduler.add_job(make_job())
    (order,) = starts(scheduler)
    scheduler.mark_silent(order.worker)
    scheduler.mark_terminated([order.worker])
    plan(scheduler, NOW_MS, 0.0, may_restart=False)
    assert scheduler.pop_orders() == []


def test_a_late_list_entry_of_a_known_incarnation_keeps_its_runs():
    scheduler = make_scheduler(("w1",))
    scheduler.add_job(make_job())
    (order,) = starts(scheduler)
    report(scheduler, "w1", [running(order)], incarnation="2")
    info = scheduler.workers[WorkerId("w1")].info
    restarted = WorkerInfo(
        info.worker, info.service, info.address, info.zone, info.capacity,
        info.labels, info.vm, "2",
    )  # fmt: skip
    scheduler.set_worker(restarted, NOW_MS)
    assert order.task in scheduler.workers[WorkerId("w1")].runs


def test_a_task_that_failed_too_often_fails_its_job():
    scheduler = make_scheduler()
    scheduler.add_job(make_job())
    workers = []
    for _ in range(QUEUE.max_attempts):
        (order,) = starts(scheduler)
        workers.append(order.worker)
        end = ReportedEnd(1, order.task, order.number, EndKind.FAILED, "")
        report(scheduler, order.worker, ended=[end])
    assert len(set(workers)) == QUEUE.max_attempts
    (change,) = scheduler.pop_changes()
    assert change.record.state is JobState.FAILED


def fail_next_start(scheduler, sequence=1):
    (order,) = starts(scheduler)
    failed = ReportedEnd(sequence, order.task, order.number, EndKind.FAILED, "")
    report(scheduler, order.worker, ended=[failed])


def test_a_job_of_an_unknown_queue_is_not_failed_before_its_last_attempt():
    """Its first failure ended it, with attempts left, under a removed queue.

    The same was so under a holder that had not read the newest configuration yet.
    """
    scheduler = make_scheduler(workers=("w1",))
    scheduler.add_job(make_job())
    (order,) = starts(scheduler)
    scheduler.set_queues({})
    failed = ReportedEnd(1, order.task, order.number, EndKind.FAILED, "")
    report(scheduler, "w1", ended=[failed])
    assert "a" in scheduler.jobs
    assert not scheduler.has_final_changes
    scheduler.set_queues({QUEUE.name: QUEUE})
    fail_next_start(scheduler, 2)
    (change,) = [c for c in scheduler.pop_changes() if c.is_final]
    assert change.record.state is JobState.FAILED


@pytest.mark.parametrize("is_same_term", [True, False])
def test_a_job_that_used_its_attempts_under_an_unknown_queue_is_failed(is_same_term):
    """No run may be started after the last attempt, once the queue is known."""
    predecessor = make_scheduler(workers=("w1",))
    started = make_job()
    predecessor.add_job(started)
    fail_next_start(predecessor)
    (order,) = starts(predecessor)
    scheduler = make_scheduler(workers=("w1",))
    scheduler.set_queues({})
    job = make_job()
    job.restore(started.record())
    scheduler.add_job(job)
    failed = ReportedEnd(2, order.task, order.number, EndKind.FAILED, "")
    report(scheduler, "w1", ended=[failed])
    assert "a" in scheduler.jobs
    if is_same_term:
        scheduler.set_queues({QUEUE.name: QUEUE})
    else:
        scheduler = make_scheduler(workers=("w1",))
        recovered = make_job()
        recovered.restore(job.record())
        scheduler.add_job(recovered)
    assert starts(scheduler) == []
    (change,) = [c for c in scheduler.pop_changes() if c.is_final]
    assert change.record.state is JobState.FAILED


def test_a_failed_end_counts_once_after_a_takeover():
    job = make_job()
    first = job.begin_occurrence(0)[0]
    first.failed[0] = {7}
    successor = make_job()
    successor.restore(job.record())
    scheduler = make_scheduler()
    scheduler.add_job(successor)
    task = make_job().begin_occurrence(0)[0]
    assert task.pending == {0}
    (order,) = starts(scheduler)
    end = ReportedEnd(1, order.task, 7, EndKind.FAILED, "")
    report(scheduler, order.worker, running=[running(order)], ended=[end])
    assert scheduler.jobs[JobId("a")].begin_occurrence(0)[0].failed == {0: {7}}


def test_lasting_tasks_move_one_at_a_time_while_all_others_serve():
    step = Step(3, Shape(1.0, 100), is_lasting=True, estimate_ms=0.0, max_per_worker=1)
    scheduler = make_scheduler(("w1", "w2", "w3", "w4"))
    scheduler.add_job(make_job(steps=(step,)))
    orders = starts(scheduler)
    by_worker = {order.worker: order for order in orders}
    for worker, order in by_worker.items():
        report(scheduler, worker, running=[running(order)])
    for worker in list(by_worker)[:2]:
        scheduler.workers[worker].is_evacuating = True
    evacuate(scheduler, NOW_MS)
    stops = [o for o in scheduler.pop_orders() if isinstance(o, StopRun)]
    assert len(stops) == 1


def test_backlogged_pools_keep_their_vms_until_the_wave_is_urgent():
    scheduler = make_scheduler(("w1",))
    vms = {
        VmId("vm-w1"): PoolVm(
            VmId("vm-w1"), QUEUE.service, VmCondition.UP, WorkerId("w1")
        )
    }
    order = WaveOrder(1, (VmId("vm-w1"),), 30_000.0, 1)
    wave = WaveProgress(order, due_ms=NOW_MS + 30_000.0)
    backlogged = frozenset({QUEUE.service})
    arguments = (vms, scheduler.workers, frozenset())
    assert plan_wave(wave, *arguments, backlogged, set(), NOW_MS) == ([], set())
    late_ms = NOW_MS + 25_000.0
    assert plan_wave(wave, *arguments, backlogged, set(), late_ms)[1] == {
        WorkerId("w1")
    }


def end_of_predecessors_run(job_id, sequence):
    """Return the end of a run that a predecessor has started."""
    return ReportedEnd(
        sequence, TaskRef(JobId(job_id), 0, 0, 0), 1, EndKind.DONE, "saved"
    )


class TestEndsOfUnreadJobs:
    """Ends that a new holder gets while some partitions cannot be read."""

    def test_a_run_whose_end_follows_one_of_an_unread_job_is_not_lost(self):
        """Otherwise the task restarts, although its end is processed later."""
        scheduler = make_scheduler(("w1",))
        scheduler.has_read_all_jobs = False
        scheduler.add_job(make_job())
        (order,) = starts(scheduler)
        scheduler.apply_order_result(order, OrderResult.DONE, NOW_MS)
        ended = [end_of_predecessors_run("unread", 1), done(order, 2)]
        report(scheduler, "w1", ended=ended, requested_ms=NOW_MS + 10.0)
        assert starts(scheduler, NOW_MS + 20.0) == []
        assert JobId("a") in scheduler.ended

    def test_an_end_of_an_unread_job_is_kept_until_the_job_is_read(self):
        scheduler = make_scheduler(("w1",))
        scheduler.has_read_all_jobs = False
        ended = [end_of_predecessors_run("late", 1)]
        report(scheduler, "w1", ended=ended)
        worker = scheduler.workers[WorkerId("w1")]
        assert worker.committed_sequence == 0
        scheduler.add_job(make_job("late", version=1))
        scheduler.has_read_all_jobs = True
        report(scheduler, "w1", ended=ended)
        assert JobId("late") in scheduler.ended
        scheduler.mark_committed(scheduler.pop_changes())
        assert worker.committed_sequence == 1

    def test_an_end_of_an_unknown_job_is_dropped_once_all_jobs_are_read(self):
        scheduler = make_scheduler(("w1",))
        scheduler.has_read_all_jobs = False
        report(scheduler, "w1", ended=[end_of_predecessors_run("gone", 1)])
        scheduler.has_read_all_jobs = True
        report(scheduler, "w1", ended=[end_of_predecessors_run("gone", 1)])
        assert scheduler.workers[WorkerId("w1")].committed_sequence == 1


def workers_emptied_by_wave(count, time_left_ms):
    """Return the workers of a busy pool that a wave empties at the same time."""
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
    return plan_wave(wave, *arguments, NOW_MS)[1]


def test_a_large_pool_empties_as_many_vms_at_once_as_its_wave_needs():
    """A wave of 18 VMs of one pool was late, because one was emptied at a time."""
    assert len(workers_emptied_by_wave(18, time_left_ms=30_000.0)) == 3
    assert len(workers_emptied_by_wave(18, time_left_ms=6_000.0)) == 18


def test_a_small_pool_empties_one_vm_at_a_time():
    assert len(workers_emptied_by_wave(3, time_left_ms=30_000.0)) == 1


def job_rows(store):
    """Return the rows of all jobs."""
    parts = store.list_partitions(JOBS_TABLE).unwrap()
    return [row for part in parts for row in store.read(JOBS_TABLE, part).unwrap().rows]


def make_commits():
    """Create a clock, a store, a scheduler and the task that commits its changes."""
    clock = ManualClock(1000.0)
    store = MemoryRowStore(clock)
    role = RoleLease(
        "scheduler", EntryId("e1"), PartitionedTable(store), clock, 500.0, 2000.0
    )
    assert role.try_acquire()
    scheduler = make_scheduler()
    diverted = DivertedJobs(store, role, scheduler)
    cleanup = RowCleanup(store, role, scheduler, diverted, clock, 120_000.0)
    commits = CommitTask(
        store, role, scheduler, diverted, clock, JobMeters(), lambda: None, cleanup
    )
    return clock, store, scheduler, commits, cleanup


class TestCommits:
    """Commits to a store that accepts at most 100 entries per transaction."""

    def test_many_cancelled_jobs_fit_into_transactions(self):
        _, store, scheduler, commits, _ = make_commits()
        sizes = []
        original_commit = store.commit

        def counting_commit(checks, writes):
            sizes.append(len(checks) + len(writes))
            return original_commit(checks, writes)

        store.commit = counting_commit
        for number in range(60):
            scheduler.add_job(make_job(f"job{number}"))
            scheduler.cancel_job(JobId(f"job{number}"))
        assert commits.commit_all()
        assert max(sizes) <= 100
        assert len(job_rows(store)) == 60

    def test_ended_jobs_are_deleted_after_their_retention_time(self):
        clock, store, scheduler, commits, cleanup = make_commits()
        scheduler.add_job(make_job())
        scheduler.cancel_job(JobId("a"))
        assert commits.commit_all()
        cleanup.purge_ended_jobs()
        assert len(job_rows(store)) == 1
        clock.advance(200_000.0)
        cleanup.purge_ended_jobs()
        assert job_rows(store) == []


def test_a_newly_acquired_role_is_not_acquired_again_before_its_first_renewal():
    clock = ManualClock(1000.0)
    store = MemoryRowStore(clock)

    def lease(entry):
        table = PartitionedTable(store)
        return RoleLease("scheduler", EntryId(entry), table, clock, 500.0, 2000.0)

    first, second, third = lease("e1"), lease("e2"), lease("e3")
    assert first.try_acquire()
    first.renew()
    for waiting in (second, third):
        assert not waiting.try_acquire()
    clock.advance(2500.0)
    assert second.try_acquire()
    assert not third.try_acquire()


def test_a_worker_that_was_dropped_and_returns_gets_no_lower_fence():
    scheduler = make_scheduler(("w1",))
    scheduler.add_job(make_job())
    (order,) = starts(scheduler)
    scheduler.apply_order_result(order, OrderResult.NO_ANSWER, NOW_MS)
    raised = scheduler.fence_of(WorkerId("w1"))
    assert raised > order.fence
    scheduler.mark_silent(WorkerId("w1"))
    scheduler.mark_terminated([WorkerId("w1")])
    scheduler.unlist_worker(WorkerId("w1"))
    scheduler.expire(NOW_MS + 10_000.0)
    assert WorkerId("w1") not in scheduler.workers
    add_worker(scheduler, "w1")
    assert scheduler.fence_of(WorkerId("w1")) >= raised


def test_no_two_terms_share_an_epoch():
    """A term may end while the role is still held."""
    clock = ManualClock(1000.0)
    table = PartitionedTable(MemoryRowStore(clock))
    role = RoleLease("scheduler", EntryId("e1"), table, clock, 500.0, 2000.0)
    epochs = []

    class StubTerm:
        scheduler = Scheduler(Term(1, 1, 0.0))

        def run(self):
            epochs.append(role.epoch)
            if len(epochs) == 3:
                task.resign()

        def stop(self):
            pass

    task = SchedulerTask(
        role, lambda _: StubTerm(), clock, lambda: ElectionPriority(True)
    )
    with eventlet.Timeout(5.0):
        task.run()
    assert epochs == [1, 2, 3]


def test_a_report_that_arrives_after_a_later_one_marks_no_run_as_lost():
    """Both were requested after the order, and arrive in the opposite order."""
    scheduler = make_scheduler(("w1",))
    scheduler.add_job(make_job())
    (order,) = starts(scheduler)
    report(scheduler, "w1", running=[running(order)], requested_ms=NOW_MS + 2.0)
    report(scheduler, "w1", requested_ms=NOW_MS + 1.0)
    assert order.task in scheduler.workers[WorkerId("w1")].runs
    assert starts(scheduler, NOW_MS + 3.0) == []


class RecordingLink:
    """A link to workers that records the ends of leases, and fails."""

    def __init__(self):
        self.leases = []

    def report(self, info, fence, committed_sequence, until_ms, wait_ms):
        self.leases.append(until_ms)
        return Failure(WorkerError(WorkerProblem.UNANSWERED))


class TestUnreadPartitions:
    """At a takeover, the store answers for only some of its partitions."""

    def make_late_run(self, number=3):
        job = make_job("late", version=2)
        task = TaskRef(job.job_id, 0, 0, 0)
        return job, ReportedRun(task, number, "", 50.0)

    def test_a_run_of_an_unread_job_is_not_stopped(self):
        scheduler = make_scheduler(("w1",))
        scheduler.has_read_all_jobs = False
        _, run = self.make_late_run()
        report(scheduler, "w1", running=[run])
        assert scheduler.pop_orders() == []
        scheduler.has_read_all_jobs = True
        report(scheduler, "w1", running=[run], requested_ms=NOW_MS + 600.0)
        assert [type(order) for order in scheduler.pop_orders()] == [StopRun]

    def test_a_worker_that_runs_an_unread_job_is_not_empty(self):
        """The VM of such a worker was moved, which ended nine lasting tasks."""
        scheduler = make_scheduler(("w1",))
        worker = scheduler.workers[WorkerId("w1")]
        assert is_empty(worker)
        scheduler.has_read_all_jobs = False
        job, run = self.make_late_run()
        report(scheduler, "w1", running=[run])
        assert not is_empty(worker)
        scheduler.add_job(job)
        scheduler.has_read_all_jobs = True
        report(scheduler, "w1", running=[run], requested_ms=NOW_MS + 1.0)
        assert not is_empty(worker)
        end = ReportedEnd(1, run.task, run.number, EndKind.DONE, "")
        report(scheduler, "w1", ended=[end], requested_ms=NOW_MS + 2.0)
        scheduler.mark_committed(scheduler.pop_changes())
        assert is_empty(worker)

    def test_the_lease_of_a_run_of_an_unread_job_is_renewed(self):
        scheduler = make_scheduler(("w1",))
        scheduler.has_read_all_jobs = False
        _, run = self.make_late_run()
        report(scheduler, "w1", running=[run])
        link = RecordingLink()
        role = SimpleNamespace(renewal_age_ms=0.0)
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

    def test_an_end_of_an_unread_job_is_processed_once_the_job_is_read(self):
        scheduler = make_scheduler(("w1",))
        scheduler.has_read_all_jobs = False
        job, run = self.make_late_run()
        end = ReportedEnd(1, run.task, run.number, EndKind.DONE, "")
        report(scheduler, "w1", ended=[end])
        assert scheduler.workers[WorkerId("w1")].processed_sequence == 0
        scheduler.add_job(job)
        report(scheduler, "w1", ended=[end])
        assert scheduler.workers[WorkerId("w1")].processed_sequence == 1
        (change,) = scheduler.pop_changes()
        assert change.record.state is JobState.DONE

    def test_a_job_that_is_read_late_waits_for_reports_of_all_workers(self):
        """Its task may be running, even after the predecessor's leases have expired."""
        scheduler = make_scheduler(("w1",))
        scheduler.has_read_all_jobs = False
        job, run = self.make_late_run()
        late_ms = NOW_MS + 20_000.0
        report(scheduler, "w1", running=[run], requested_ms=late_ms)
        scheduler.request_fresh_reports(late_ms + 6000.0)
        scheduler.add_job(job)
        scheduler.has_read_all_jobs = True
        assert starts(scheduler, late_ms) == []
        report(scheduler, "w1", running=[run], requested_ms=late_ms)
        assert starts(scheduler, late_ms) == []
        assert list(job.runs())[0].number == run.number


class TestPartitionedCommits:
    """A partition that does not answer must not delay the others."""

    def fail_part(self, store, part):
        original_commit = store.commit

        def failing_commit(checks, writes):
            if any(entry.key.part == part for entry in (*checks, *writes)):
                return Failure(OutcomeLost("silent"))
            return original_commit(checks, writes)

        store.commit = failing_commit

    def test_other_partitions_are_committed_and_their_ends_released(self):
        _, store, scheduler, commits, _ = make_commits()
        names = [f"job{number}" for number in range(12)]
        for name in names:
            scheduler.add_job(make_job(name))
        orders = starts(scheduler)
        failing_part = home_partition(QUEUE.name, JobId("job0"))
        self.fail_part(store, failing_part)
        for order in orders:
            sequence = scheduler.workers[order.worker].processed_sequence + 1
            report(scheduler, order.worker, ended=[done(order, sequence)])
        assert not commits.commit_all()
        ended = [j for j in names if j not in scheduler.jobs]
        stored = {job_id_of(row.key) for row in job_rows(store)}
        assert stored == {
            j for j in ended if home_partition(QUEUE.name, j) != failing_part
        }
        assert stored
        waiting_workers = {
            o.worker
            for o in orders
            if home_partition(QUEUE.name, o.task.job_id) == failing_part
        }
        for name, worker in scheduler.workers.items():
            assert (worker.committed_sequence == worker.processed_sequence) == (
                name not in waiting_workers
            )

    def test_delayed_changes_are_committed_when_the_partition_is_back(self):
        clock, store, scheduler, commits, cleanup = make_commits()
        original_commit = store.commit
        scheduler.add_job(make_job("job0"))
        scheduler.add_job(make_job("job1"))
        self.fail_part(store, home_partition(QUEUE.name, JobId("job0")))
        scheduler.cancel_job(JobId("job0"))
        scheduler.cancel_job(JobId("job1"))
        assert not commits.commit_all()
        store.commit = original_commit
        clock.advance(1000.0)
        assert commits.commit_all()
        assert len(job_rows(store)) == 2

    def test_an_end_is_kept_while_a_later_end_of_its_job_is_not_committed(self):
        """The job ends during the commit of its first end, and the commit fails."""
        scheduler = make_scheduler()
        scheduler.add_job(make_job(steps=(Step(2, Shape(3.0, 100), 100.0),)))
        first, second = starts(scheduler)
        report(scheduler, first.worker, ended=[done(first)])
        changes = scheduler.pop_changes()
        report(scheduler, second.worker, ended=[done(second)])
        scheduler.requeue_changes(changes)
        again = scheduler.pop_changes()
        assert [change.is_final for change in again] == [True]
        scheduler.requeue_changes(again)
        committed = {order.worker: 0 for order in (first, second)}
        assert committed == {
            w: v.committed_sequence for w, v in scheduler.workers.items()
        }
        scheduler.mark_committed(scheduler.pop_changes())
        assert all(
            worker.committed_sequence == 1 for worker in scheduler.workers.values()
        )

    def test_ends_of_a_job_whose_final_record_waits_are_kept(self):
        """A successor that finds no final record still needs these ends."""
        scheduler = make_scheduler()
        scheduler.add_job(make_job(steps=(Step(2, Shape(3.0, 100), 100.0),)))
        first, second = starts(scheduler)
        scheduler.cancel_job(JobId("a"))
        changes = scheduler.pop_changes()
        report(scheduler, second.worker, ended=[done(second)])
        assert scheduler.workers[second.worker].committed_sequence == 0
        scheduler.mark_committed(changes)
        assert scheduler.workers[second.worker].committed_sequence == 1

    def test_a_later_end_is_kept_behind_an_uncommitted_one(self):
        scheduler = make_scheduler(("w1",))
        scheduler.add_job(make_job("a"))
        scheduler.add_job(make_job("b"))
        orders = starts(scheduler)
        ends = [done(order, n + 1) for n, order in enumerate(orders)]
        report(scheduler, "w1", ended=ends)
        changes = {change.job.job_id: change for change in scheduler.pop_changes()}
        first, second = (changes[order.task.job_id] for order in orders)
        scheduler.mark_committed([second])
        scheduler.requeue_changes([first])
        assert scheduler.workers[WorkerId("w1")].committed_sequence == 0
        scheduler.mark_committed(scheduler.pop_changes())
        assert scheduler.workers[WorkerId("w1")].committed_sequence == 2


def test_a_job_that_repeats_without_a_pause_does_not_stop_the_planning_of_others():
    """All occurrences that were due began in one round, however many there were."""
    scheduler = make_scheduler()
    workload = replace(make_job("b").workload, schedule=Schedule(3000, 1.0, 0.0))
    endless = ActiveJob(workload, 0.0, 9)
    scheduler.add_job(endless)
    scheduler.add_job(make_job("a"))
    plan(scheduler, NOW_MS, 10.0)
    assert len(endless.occurrences) == MAX_ACTIVE_OCCURRENCES
    orders = scheduler.pop_orders()
    for sequence, order in enumerate(orders, 1):
        report(scheduler, order.worker, ended=[done(order, sequence)])
    plan(scheduler, NOW_MS, 10.0)
    assert endless.finished > 0
    assert len(endless.occurrences) == MAX_ACTIVE_OCCURRENCES
