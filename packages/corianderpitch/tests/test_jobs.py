"""The job task with an in-memory table, role changes and lost answers."""

from types import SimpleNamespace

import pytest
from fakes import BASE_FLEET, LossyTable
from returns.result import Failure, Success

from corianderpitch.adapters.memory import MemoryWorkers
from corianderpitch.clock import ManualClock
from corianderpitch.daemon.joboperations import JobOperations, JobRequest
from corianderpitch.daemon.jobs import JOB_SCHEDULER_LEASE_MS, JobSchedulerTask
from corianderpitch.domain.fleetfile import check_fleet
from corianderpitch.domain.jobs import Priority, Shape, Task, TaskState, Worker
from corianderpitch.domain.membership import MemberInfo
from corianderpitch.errors import JobRefusal, OutcomeLost

FLEET = (
    BASE_FLEET
    + """
[teams.small]
max_processors = 2.0
"""
)


class Site:
    def __init__(self):
        self.clock = ManualClock()
        self.table = LossyTable()
        listed = tuple(Worker(f"w{n}", "r", Shape(4.0, 4000)) for n in range(2))
        self.workers = MemoryWorkers({"a": listed})
        self.documents = SimpleNamespace(config=check_fleet(FLEET, {}), is_ready=True)
        self.operations = JobOperations(
            self.table, self.workers, self.documents, self.clock
        )
        self.task = self.new_task("e1")
        assert self.task.try_acquire_role()

    def new_task(self, entry):
        own = MemberInfo(entry, "i", "a", "x:1")
        members = SimpleNamespace(has_highest_name=lambda: True)
        return JobSchedulerTask(
            own, members, self.documents, self.table, self.workers, self.clock
        )

    def submit(self, *numbers, team="t", processors=1.0, priority=Priority.ORDINARY):
        shape = Shape(processors, 100)
        requests = [
            JobRequest(f"j{n}", team, "k", shape, "", priority) for n in numbers
        ]
        return self.operations.submit("a", requests)

    def round(self):
        self.clock.advance(300.0)
        self.task.run_round()

    def end(self, job_id, state=TaskState.DONE):
        spec = [s for s in self.workers.started if s.job_id == job_id][-1]
        usage = Shape(1.0, 100)
        task = Task(spec.task_id, spec.job_id, spec.worker, state, usage)
        self.workers.set_task(task)

    def states(self):
        return {j.job_id: j.state.value for j in self.operations.jobs("a").unwrap()}


@pytest.fixture
def site():
    return Site()


def test_job_runs_and_ends(site):
    site.submit(1)
    site.round()
    assert site.states() == {"j1": "running"}
    site.round()
    site.end("j1")
    site.round()
    assert site.states() == {"j1": "done"}
    assert len(site.workers.started) == 1


def test_submission_repeated_after_a_lost_answer_runs_once(site):
    site.table.lose = 1
    assert isinstance(site.submit(1), Failure)
    assert isinstance(site.submit(1), Success)
    for _ in range(3):
        site.round()
    assert [s.job_id for s in site.workers.started] == ["j1"]


@pytest.mark.parametrize(
    ("team", "processors", "refusal"),
    [("t", 5.0, JobRefusal.TOO_LARGE), ("small", 3.0, JobRefusal.OVER_QUOTA)],
)
def test_job_that_can_never_run_is_refused(site, team, processors, refusal):
    failure = site.submit(1, team=team, processors=processors).failure()
    assert failure.refusal is refusal
    assert site.states() == {}


def test_successor_starts_a_committed_job_under_the_same_task_id(site):
    """The holder crashes after it commits a start and before it starts the task."""
    site.submit(1)
    site.workers.start_task = lambda spec: Failure(OutcomeLost("holder crashes here"))
    site.round()
    assert site.states() == {"j1": "running"}
    del site.workers.start_task
    successor = site.new_task("e2")
    successor.try_acquire_role()
    site.clock.advance(JOB_SCHEDULER_LEASE_MS)
    assert successor.try_acquire_role()
    site.task = successor
    site.round()
    assert [s.task_id for s in site.workers.started] == ["j1.1"]


def test_job_that_failed_once_goes_on_although_the_workers_cannot_be_listed(site):
    """No worker was known, so that one failure counted as failures on all of them."""
    site.submit(1)
    site.round()
    successor = site.new_task("e2")
    successor.try_acquire_role()
    site.clock.advance(JOB_SCHEDULER_LEASE_MS)
    assert successor.try_acquire_role()
    site.task = successor
    site.workers.list_workers = lambda _: Failure(OutcomeLost("not listed"))
    site.end("j1", TaskState.FAILED)
    site.round()
    assert site.states() == {"j1": "queued"}
    del site.workers.list_workers
    site.round()
    assert site.states() == {"j1": "running"}


def test_holder_paused_past_its_lease_changes_nothing(site):
    successor = site.new_task("e2")
    successor.try_acquire_role()
    site.clock.advance(JOB_SCHEDULER_LEASE_MS)
    assert successor.try_acquire_role()
    site.submit(1)
    site.task.run_round()
    assert not site.task.is_holder
    assert site.states() == {"j1": "queued"}
    successor.run_round()
    assert site.states() == {"j1": "running"}


def test_holder_paused_within_a_round_changes_nothing(site):
    """The pause falls after the renewal of the lease and before the commit."""
    successor = site.new_task("e2")
    successor.try_acquire_role()
    site.submit(1)
    read_tasks = site.workers.changed_tasks

    def read_tasks_after_pause(data_center, cursor):
        site.workers.changed_tasks = read_tasks
        site.clock.advance(JOB_SCHEDULER_LEASE_MS)
        successor.try_acquire_role()
        site.clock.advance(JOB_SCHEDULER_LEASE_MS)
        assert successor.try_acquire_role()
        return read_tasks(data_center, cursor)

    site.workers.changed_tasks = read_tasks_after_pause
    site.round()
    assert site.states() == {"j1": "queued"}
    assert site.workers.started == []


def test_lost_commit_answer_does_not_start_a_task_twice(site):
    site.submit(1)
    site.round()
    site.submit(2)
    site.table.lose = 3
    for _ in range(4):
        site.round()
    started = [s.task_id for s in site.workers.started]
    assert started == ["j1.1", "j2.1"]


def test_burst_of_cancellations_cancels_every_job(site):
    site.submit(*range(250), processors=0.5)
    site.round()
    cancelled = site.operations.cancel("a", [f"j{n}" for n in range(250)])
    assert len(cancelled.unwrap()) == 250
    for _ in range(4):
        site.round()
    assert set(site.states().values()) == {"cancelled"}


def test_cancelling_an_unknown_job_is_refused(site):
    failure = site.operations.cancel("a", ["nope"]).failure()
    assert failure.refusal is JobRefusal.NO_SUCH_JOB


def test_jobs_of_a_drained_worker_move_to_another(site):
    site.submit(1)
    site.round()
    first = site.workers.started[0].worker
    site.operations.set_worker_drained("a", first, True)
    for _ in range(3):
        site.round()
    last = site.workers.started[-1]
    assert (last.task_id, last.worker != first) == ("j1.2", True)
    assert site.workers.stopped == ["j1.1"]


def test_leases_of_running_tasks_are_renewed(site):
    site.submit(1)
    site.round()
    site.round()
    assert site.workers.renewed == {"j1.1"}


def test_urgent_job_starts_in_time_behind_a_long_queue(site):
    site.submit(*range(100), processors=2.0)
    site.round()
    site.submit(900, processors=2.0, priority=Priority.URGENT)
    submitted_ms = site.clock.now_ms()
    while site.states()["j900"] != "running":
        site.round()
    assert site.clock.now_ms() - submitted_ms <= 1500.0
