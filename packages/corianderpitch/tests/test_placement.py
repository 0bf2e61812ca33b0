"""Placement of jobs respects capacities, quotas, priorities and failures."""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from corianderpitch.domain.jobs import (
    Job,
    JobState,
    Priority,
    Shape,
    Task,
    TaskState,
    Worker,
    start,
)
from corianderpitch.domain.placement import (
    MIN_USAGE_SAMPLES,
    JobChange,
    JobsSnapshot,
    StopTask,
    UsageEstimator,
    WorkerFailureTracker,
    apply_task_reports,
    fits_any_worker,
    place_jobs,
)
from corianderpitch.domain.quotas import UNLIMITED, Quota

URGENT, ORDINARY = Priority.URGENT, Priority.ORDINARY


def job(number, team="t", priority=ORDINARY, processors=1.0, **changes):
    shape = Shape(processors, 100)
    new_job = Job(f"j{number}", team, "k", priority, shape, "", number)
    return replace(new_job, **changes)


def running(number, worker, **changes):
    return start(job(number, **changes), worker)


def worker(name, processors=4.0, accelerators=0):
    return Worker(name, "rack", Shape(processors, 1000, accelerators))


def snapshot(jobs, workers, tasks=(), quotas=None, drained=frozenset()):
    return JobsSnapshot(
        {item.job_id: item for item in jobs},
        {item.worker: item for item in workers},
        {item.task_id: item for item in tasks},
        quotas or {},
        Quota(100.0),
        drained,
    )


def placed(jobs_snapshot, quarantined=frozenset(), estimator=None):
    steps = place_jobs(jobs_snapshot, estimator or UsageEstimator(), quarantined)
    starts = {s.job.job_id: s.job.worker for s in steps if isinstance(s, JobChange)}
    stops = [s.task_id for s in steps if isinstance(s, StopTask)]
    return starts, stops


shapes = st.builds(Shape, st.floats(0.1, 6.0), st.integers(1, 1500), st.integers(0, 2))
any_jobs = st.lists(
    st.tuples(shapes, st.sampled_from(Priority), st.sampled_from("ab")), max_size=25
)
any_workers = st.lists(shapes, min_size=1, max_size=5)


any_quota = st.builds(
    Quota,
    st.floats(0.5, 20.0),
    st.integers(1, 5000) | st.just(UNLIMITED),
    st.integers(0, 5) | st.just(UNLIMITED),
)


@given(any_jobs, any_workers, any_quota)
def test_no_worker_is_overcommitted_and_no_quota_exceeded(jobs, capacities, quota):
    workers = [Worker(f"w{n}", "r", c) for n, c in enumerate(capacities)]
    queued = [
        replace(job(n, team, priority), shape=shape)
        for n, (shape, priority, team) in enumerate(jobs)
    ]
    jobs_snapshot = snapshot(queued, workers, quotas={"a": quota, "b": quota})
    steps = place_jobs(jobs_snapshot, UsageEstimator(), frozenset())
    started = [step.job for step in steps if isinstance(step, JobChange)]
    for item in workers:
        total = Shape(0.0, 0, 0)
        for started_job in started:
            if started_job.worker == item.worker:
                total = total.plus(started_job.shape)
        assert total.processors <= item.capacity.processors + 1e-6
        assert total.memory_mb <= item.capacity.memory_mb
        assert total.accelerators <= item.capacity.accelerators
    for team in "ab":
        team_shapes = [j.shape for j in started if j.team == team]
        assert sum(s.processors for s in team_shapes) <= quota.max_processors + 1e-6
        assert sum(s.memory_mb for s in team_shapes) <= quota.max_memory_mb
        assert sum(s.accelerators for s in team_shapes) <= quota.max_accelerators


def test_quota_counts_running_jobs():
    jobs = [running(1, "w1", processors=1.5), job(2, processors=1.0)]
    jobs_snapshot = snapshot(jobs, [worker("w1")], quotas={"t": Quota(2.0)})
    assert placed(jobs_snapshot) == ({}, [])
    admitted = snapshot(jobs, [worker("w1")], quotas={"t": Quota(2.5)})
    assert placed(admitted) == ({"j2": "w1"}, [])


def test_urgent_job_goes_first_then_the_team_with_the_least_usage():
    jobs = [
        job(1, "big"),
        job(2, "small"),
        job(3, "big", URGENT),
        running(4, "w1", team="big"),
    ]
    starts, _ = placed(snapshot(jobs, [worker("w1", 3.0)]))
    assert set(starts) == {"j3", "j2"}


def test_urgent_job_preempts_an_ordinary_one_on_a_full_worker():
    jobs = [running(1, "w1", processors=4.0), job(2, priority=URGENT, processors=2.0)]
    starts, stops = placed(snapshot(jobs, [worker("w1")]))
    assert (starts, stops) == ({}, ["j1.1"])


def test_urgent_job_does_not_preempt_another_urgent_one():
    jobs = [
        running(1, "w1", processors=4.0, priority=URGENT),
        job(2, priority=URGENT, processors=2.0),
    ]
    assert placed(snapshot(jobs, [worker("w1")])) == ({}, [])


def test_job_is_placed_on_the_best_fitting_worker():
    workers = [worker("w1", 8.0), worker("w2", 2.0), worker("w3", 2.0, 1)]
    starts, _ = placed(snapshot([job(1, processors=2.0)], workers))
    assert starts == {"j1": "w2"}


def test_declared_size_is_corrected_from_usage():
    estimator = UsageEstimator()
    for _ in range(MIN_USAGE_SAMPLES):
        estimator.observe("k", Shape(1.0, 50))
    jobs = [job(n, processors=4.0) for n in range(4)]
    starts, _ = placed(snapshot(jobs, [worker("w1")]), estimator=estimator)
    assert len(starts) == 3
    for _ in range(MIN_USAGE_SAMPLES):
        estimator.observe("k", Shape(3.0, 50))
    starts, _ = placed(snapshot(jobs, [worker("w1")]), estimator=estimator)
    assert len(starts) == 1


def test_drained_and_quarantined_workers_get_no_jobs():
    workers = [worker("w1"), worker("w2")]
    jobs_snapshot = snapshot(
        [job(1), running(2, "w1")], workers, drained=frozenset({"w1"})
    )
    assert placed(jobs_snapshot, quarantined=frozenset({"w2"})) == ({}, ["j2.1"])


def test_job_larger_than_every_worker_is_recognised():
    workers = [worker("w1"), worker("w2", 2.0, 1)]
    assert fits_any_worker(Shape(4.0, 1000), workers)
    assert not fits_any_worker(Shape(4.0, 1000, 1), workers)


@pytest.mark.parametrize(
    ("quota", "is_admitted"),
    [
        (Quota(4.0), True),
        (Quota(3.0), False),
        (Quota(4.0, max_memory_mb=999), False),
        (Quota(4.0, max_memory_mb=1000, max_accelerators=0), False),
        (Quota(4.0, max_memory_mb=1000, max_accelerators=1), True),
    ],
)
def test_quota_limits_each_resource(quota, is_admitted):
    assert quota.admits(Shape(4.0, 1000, 1)) is is_admitted


def test_team_with_the_smaller_dominant_share_goes_first():
    """Team a has used most of its memory, team b half of its processors."""
    quotas = {"a": Quota(100.0, max_memory_mb=100), "b": Quota(10.0)}
    a = replace(running(1, "w1", processors=1.0), team="a", shape=Shape(1.0, 80))
    b = replace(running(2, "w1", processors=5.0), team="b", shape=Shape(5.0, 10))
    queued = [job(3, "a", processors=1.0), job(4, "b", processors=1.0)]
    queued = [replace(item, shape=Shape(1.0, 10)) for item in queued]
    jobs_snapshot = snapshot(
        [a, b, *queued], [worker("w1", processors=7.0)], quotas=quotas
    )
    assert placed(jobs_snapshot) == ({"j4": "w1"}, [])


def apply_report(failures, item, state, workers):
    task = Task(item.task_id, item.job_id, item.worker, state, Shape(0.0, 0))
    [step] = apply_task_reports(snapshot([item], workers, [task]), failures, 7)
    return step.job


def test_faulty_jobs_are_distinguished_from_faulty_workers():
    """A job that fails on every worker is failed; its workers stay in use."""
    workers = [worker(f"w{n}") for n in range(4)]
    failures = WorkerFailureTracker()
    for number in range(5):
        faulty_job = job(f"bad{number}")
        for name in ("w0", "w1", "w2"):
            faulty_job = apply_report(
                failures, start(faulty_job, name), TaskState.FAILED, workers
            )
        assert faulty_job.state is JobState.FAILED
    assert failures.quarantined() == frozenset()
    for number in range(3):
        healthy_job = job(f"good{number}")
        healthy_job = apply_report(
            failures, start(healthy_job, "w3"), TaskState.FAILED, workers
        )
        healthy_job = apply_report(
            failures, start(healthy_job, "w0"), TaskState.DONE, workers
        )
        assert healthy_job.state is JobState.DONE
    assert failures.quarantined() == frozenset({"w3"})


def test_job_fails_after_failing_on_every_capable_worker():
    workers = [worker("w0"), worker("w1", 0.5)]
    ended = apply_report(
        WorkerFailureTracker(), running(1, "w0"), TaskState.FAILED, workers
    )
    assert ended.state is JobState.FAILED


def test_lapsed_task_is_queued_again_unless_its_job_is_cancelled():
    workers = [worker("w0")]
    item = running(1, "w0")
    assert (
        apply_report(WorkerFailureTracker(), item, TaskState.LAPSED, workers).task_id
        is None
    )
    cancelled = replace(item, is_cancelled=True)
    ended = apply_report(WorkerFailureTracker(), cancelled, TaskState.STOPPED, workers)
    assert ended.state is JobState.CANCELLED


def test_running_job_is_not_placed_on_a_second_worker():
    """A worker that does not report keeps its task until the lease has lapsed."""
    item = running(1, "w0")
    jobs_snapshot = snapshot([item], [worker("w1")])
    assert apply_task_reports(jobs_snapshot, WorkerFailureTracker(), 0) == []
    assert placed(jobs_snapshot) == ({}, [])
