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
    JobsView,
    StopTask,
    UsageEstimator,
    WorkerRecord,
    can_ever_run,
    place_jobs,
    settle_tasks,
)
from corianderpitch.domain.quotas import UNLIMITED, Quota

URGENT, ORDINARY = Priority.URGENT, Priority.ORDINARY


def job(number, team="t", priority=ORDINARY, processors=1.0, **changes):
    shape = Shape(processors, 100)
    made = Job(f"j{number}", team, "k", priority, shape, "", number)
    return replace(made, **changes)


def running(number, worker, **changes):
    return start(job(number, **changes), worker)


def worker(name, processors=4.0, accelerators=0):
    return Worker(name, "rack", Shape(processors, 1000, accelerators))


def view(jobs, workers, tasks=(), quotas=None, drained=frozenset()):
    return JobsView(
        {item.job_id: item for item in jobs},
        {item.worker: item for item in workers},
        {item.task_id: item for item in tasks},
        quotas or {},
        Quota(100.0),
        drained,
    )


def placed(found, quarantined=frozenset(), sizes=None):
    steps = place_jobs(found, sizes or UsageEstimator(), quarantined)
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
def test_no_worker_is_overbooked_and_no_quota_exceeded(jobs, capacities, quota):
    workers = [Worker(f"w{n}", "r", c) for n, c in enumerate(capacities)]
    queued = [
        replace(job(n, team, priority), shape=shape)
        for n, (shape, priority, team) in enumerate(jobs)
    ]
    found = view(queued, workers, quotas={"a": quota, "b": quota})
    steps = place_jobs(found, UsageEstimator(), frozenset())
    started = [step.job for step in steps if isinstance(step, JobChange)]
    for item in workers:
        total = Shape(0.0, 0, 0)
        for one in started:
            if one.worker == item.worker:
                total = total.plus(one.shape)
        assert total.processors <= item.capacity.processors + 1e-6
        assert total.memory_mb <= item.capacity.memory_mb
        assert total.accelerators <= item.capacity.accelerators
    for team in "ab":
        mine = [one.shape for one in started if one.team == team]
        assert sum(s.processors for s in mine) <= quota.max_processors + 1e-6
        assert sum(s.memory_mb for s in mine) <= quota.max_memory_mb
        assert sum(s.accelerators for s in mine) <= quota.max_accelerators


def test_quota_counts_what_runs_already():
    jobs = [running(1, "w1", processors=1.5), job(2, processors=1.0)]
    found = view(jobs, [worker("w1")], quotas={"t": Quota(2.0)})
    assert placed(found) == ({}, [])
    enough = view(jobs, [worker("w1")], quotas={"t": Quota(2.5)})
    assert placed(enough) == ({"j2": "w1"}, [])


def test_urgent_goes_first_and_then_the_team_that_uses_least():
    jobs = [
        job(1, "big"),
        job(2, "small"),
        job(3, "big", URGENT),
        running(4, "w1", team="big"),
    ]
    starts, _ = placed(view(jobs, [worker("w1", 3.0)]))
    assert set(starts) == {"j3", "j2"}


def test_urgent_job_checkpoints_an_ordinary_one_when_nothing_is_free():
    jobs = [running(1, "w1", processors=4.0), job(2, priority=URGENT, processors=2.0)]
    starts, stops = placed(view(jobs, [worker("w1")]))
    assert (starts, stops) == ({}, ["j1.1"])


def test_urgent_job_does_not_stop_another_urgent_one():
    jobs = [
        running(1, "w1", processors=4.0, priority=URGENT),
        job(2, priority=URGENT, processors=2.0),
    ]
    assert placed(view(jobs, [worker("w1")])) == ({}, [])


def test_job_is_placed_where_it_leaves_the_least_room():
    workers = [worker("w1", 8.0), worker("w2", 2.0), worker("w3", 2.0, 1)]
    starts, _ = placed(view([job(1, processors=2.0)], workers))
    assert starts == {"j1": "w2"}


def test_declared_size_is_corrected_from_usage():
    sizes = UsageEstimator()
    for _ in range(MIN_USAGE_SAMPLES):
        sizes.observe("k", Shape(1.0, 50))
    jobs = [job(n, processors=4.0) for n in range(4)]
    starts, _ = placed(view(jobs, [worker("w1")]), sizes=sizes)
    assert len(starts) == 3
    for _ in range(MIN_USAGE_SAMPLES):
        sizes.observe("k", Shape(3.0, 50))
    starts, _ = placed(view(jobs, [worker("w1")]), sizes=sizes)
    assert len(starts) == 1


def test_drained_and_quarantined_workers_get_nothing():
    workers = [worker("w1"), worker("w2")]
    found = view([job(1), running(2, "w1")], workers, drained=frozenset({"w1"}))
    assert placed(found, quarantined=frozenset({"w2"})) == ({}, ["j2.1"])


def test_jobs_that_can_never_run_are_known():
    workers = [worker("w1"), worker("w2", 2.0, 1)]
    assert can_ever_run(Shape(4.0, 1000), workers)
    assert not can_ever_run(Shape(4.0, 1000, 1), workers)


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


def test_team_that_uses_the_smaller_part_of_what_it_uses_most_goes_first():
    """Team a has used most of its memory, team b half of its processors."""
    quotas = {"a": Quota(100.0, max_memory_mb=100), "b": Quota(10.0)}
    a = replace(running(1, "w1", processors=1.0), team="a", shape=Shape(1.0, 80))
    b = replace(running(2, "w1", processors=5.0), team="b", shape=Shape(5.0, 10))
    queued = [job(3, "a", processors=1.0), job(4, "b", processors=1.0)]
    queued = [replace(item, shape=Shape(1.0, 10)) for item in queued]
    found = view([a, b, *queued], [worker("w1", processors=7.0)], quotas=quotas)
    assert placed(found) == ({"j4": "w1"}, [])


def settle(record, item, state, workers):
    task = Task(item.task_id, item.job_id, item.worker, state, Shape(0.0, 0))
    [step] = settle_tasks(view([item], workers, [task]), record, 7)
    return step.job


def test_bad_jobs_and_bad_workers_are_told_apart():
    """A job that fails everywhere is given up; its workers stay in use."""
    workers = [worker(f"w{n}") for n in range(4)]
    record = WorkerRecord()
    for number in range(5):
        bad = job(f"bad{number}")
        for name in ("w0", "w1", "w2"):
            bad = settle(record, start(bad, name), TaskState.FAILED, workers)
        assert bad.state is JobState.FAILED
    assert record.quarantined() == frozenset()
    for number in range(3):
        good = job(f"good{number}")
        good = settle(record, start(good, "w3"), TaskState.FAILED, workers)
        good = settle(record, start(good, "w0"), TaskState.DONE, workers)
        assert good.state is JobState.DONE
    assert record.quarantined() == frozenset({"w3"})


def test_job_is_given_up_when_every_able_worker_has_failed_it():
    workers = [worker("w0"), worker("w1", 0.5)]
    ended = settle(WorkerRecord(), running(1, "w0"), TaskState.FAILED, workers)
    assert ended.state is JobState.FAILED


def test_lapsed_task_is_queued_again_and_a_cancelled_one_is_not():
    workers = [worker("w0")]
    item = running(1, "w0")
    assert settle(WorkerRecord(), item, TaskState.LAPSED, workers).task_id is None
    cancelled = replace(item, is_cancelled=True)
    ended = settle(WorkerRecord(), cancelled, TaskState.STOPPED, workers)
    assert ended.state is JobState.CANCELLED


def test_running_task_is_not_given_to_a_second_worker():
    """A worker that says nothing keeps its task until its lease has lapsed."""
    item = running(1, "w0")
    found = view([item], [worker("w1")])
    assert settle_tasks(found, WorkerRecord(), 0) == []
    assert placed(found) == ({}, [])
