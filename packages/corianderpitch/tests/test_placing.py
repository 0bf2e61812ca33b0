"""Placement at peak load, when a step's tasks share one ranking of the workers."""

import random
from dataclasses import replace

import pytest
from schedulers import NOW_MS, add_worker, make_job, make_scheduler, starts

from corianderpitch.domain.jobs import Shape
from corianderpitch.domain.scheduling import planning, starting
from corianderpitch.domain.scheduling.placing import choose_worker
from corianderpitch.domain.scheduling.planning import plan
from corianderpitch.domain.scheduling.workloads import Step
from corianderpitch.ids import WorkerId

WORKERS = 60
JOBS = 40


def random_step(rng):
    return Step(
        rng.randint(1, 12),
        Shape(rng.uniform(0.3, 6.0), rng.choice([100, 4000])),
        100.0,
        data_rack=rng.choice(["", "r1"]),
        max_per_worker=rng.choice([0, 0, 2]),
        is_filler=rng.random() < 0.1,
    )


def overloaded_scheduler(seed):
    """Return a scheduler with more waiting tasks than its pool can run."""
    rng = random.Random(seed)
    scheduler = make_scheduler(workers=())
    for number in range(WORKERS):
        add_worker(scheduler, f"w{number:02}", rng.choice([4.0, 8.0, 16.0]))
    for number in range(JOBS):
        job = make_job(f"{number:016x}", [random_step(rng)])
        if rng.random() < 0.3:
            job.add_failed_worker(0, 0, WorkerId(f"w{rng.randrange(WORKERS):02}"))
        scheduler.add_job(job)
    return scheduler


def start_one_by_one(scheduler, job, step, indexes, workers, now_ms):
    """Start a step's tasks with a separate choice among all workers for each."""
    for index in sorted(indexes):
        failed_workers = job.failed_on.get((step.number, index), frozenset())
        worker = choose_worker(step, index, workers, failed_workers)
        if worker is None:
            return
        scheduler.start(job, step, index, worker, now_ms)


@pytest.mark.parametrize("seed", range(12))
def test_a_shared_ranking_places_tasks_like_separate_choices(seed, monkeypatch):
    shared = starts(overloaded_scheduler(seed))
    monkeypatch.setattr(planning, "start_tasks", start_one_by_one)
    single = starts(overloaded_scheduler(seed))
    assert len(shared) > WORKERS
    assert shared == single


def test_the_workers_are_ranked_once_per_step(monkeypatch):
    ranked_steps = []
    rank = starting.rank_workers

    def count(step, workers):
        ranked_steps.append(step)
        return rank(step, workers)

    monkeypatch.setattr(starting, "rank_workers", count)
    scheduler = make_scheduler(workers=[f"w{n}" for n in range(WORKERS)])
    scheduler.add_job(make_job(steps=[Step(200, Shape(1.0, 10), 100.0)]))
    plan(scheduler, NOW_MS, 0.0)
    assert len(scheduler.pop_orders()) == 200
    assert len(ranked_steps) == 1


GANG = Step(2, Shape(0.5, 100), 100.0, is_gang=True)


def test_a_gang_of_fillers_waits_for_a_worker_that_shrank_below_its_runs():
    """Its memory was free; the round failed when no worker could be chosen."""
    scheduler = make_scheduler(("w1",), processors=8.0)
    scheduler.add_job(make_job("a", [Step(4, Shape(1.0, 100), 100.0)]))
    assert len(starts(scheduler)) == 4
    worker = scheduler.workers[WorkerId("w1")]
    scheduler.set_worker(replace(worker.info, capacity=Shape(2.0, 8000)), NOW_MS)
    scheduler.add_job(make_job("b", [replace(GANG, is_filler=True)]))
    assert starts(scheduler) == []


def test_a_gang_that_fits_only_by_a_rounded_division_waits():
    """28.0 // 2.8 is 10, but only 9 tasks fit when each start is subtracted."""
    scheduler = make_scheduler(("w1",), processors=28.0)
    step = replace(GANG, count=10, shape=Shape(2.8, 100))
    scheduler.add_job(make_job("a", [step]))
    assert starts(scheduler) == []
    add_worker(scheduler, "w2", 28.0)
    assert len(starts(scheduler)) == 10
