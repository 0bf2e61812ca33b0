"""What a team has running stays within its quota, whatever its holder cannot know."""

import random
from dataclasses import replace

import pytest
from schedulers import (
    NOW_MS,
    QUEUE,
    add_worker,
    crash,
    make_job,
    make_scheduler,
    report,
    running,
    starts,
)
from test_scheduler_rules import SchedulerRules, walk

from corianderpitch.domain.jobs import Shape
from corianderpitch.domain.quotas import UNLIMITED, Quota
from corianderpitch.domain.scheduling.orders import OrderResult
from corianderpitch.domain.scheduling.scheduler import Scheduler
from corianderpitch.domain.scheduling.teams import Team
from corianderpitch.domain.scheduling.term import Term
from corianderpitch.domain.scheduling.usage import fits_quota
from corianderpitch.domain.scheduling.workloads import Step
from corianderpitch.ids import JobId, ServiceName, TeamName, WorkerId
from corianderpitch_standins.simulatedworkers import RunLedger

TEAM, OTHER = TeamName("counter-staff"), TeamName("yard-staff")
EIGHT_TASKS = (Step(8, Shape(1.0, 100), 100.0),)


def team(processors, name=TEAM, **limits):
    return {name: Team(name, 1.0, Quota(processors, **limits))}


def make_team_scheduler(processors=3.0, **limits):
    scheduler = make_scheduler(("w1", "w2", "w3"))
    scheduler.usage.set_teams(team(processors, **limits))
    return scheduler


def team_job(name="a", steps=EIGHT_TASKS, owner=TEAM, version=9):
    job = make_job(name, steps, version)
    job.workload = replace(job.workload, team=owner)
    return job


def test_a_team_starts_no_more_than_its_quota_admits():
    scheduler = make_team_scheduler()
    scheduler.add_job(team_job())
    assert len(starts(scheduler)) == 3


@pytest.mark.parametrize(
    ("quota", "expected"),
    [
        (Quota(UNLIMITED), 8),
        (Quota(UNLIMITED, max_memory_mb=250), 2),
        (Quota(UNLIMITED, max_accelerators=0), 8),
    ],
)
def test_each_resource_is_limited_by_itself(quota, expected):
    scheduler = make_team_scheduler()
    scheduler.usage.set_teams({TEAM: Team(TEAM, 1.0, quota)})
    scheduler.add_job(team_job())
    assert len(starts(scheduler)) == expected


def test_jobs_without_a_team_and_of_other_teams_are_not_limited():
    scheduler = make_team_scheduler()
    scheduler.add_job(team_job("a"))
    scheduler.add_job(team_job("b", owner=OTHER))
    scheduler.add_job(make_job("c"))
    by_job = [order.task.job_id for order in starts(scheduler)]
    assert by_job.count("a") == 3
    assert by_job.count("b") == 8
    assert by_job.count("c") == 1


def test_a_quota_is_shared_by_all_services():
    """Each pool counted by itself would run a quota's worth of tasks."""
    scheduler = make_team_scheduler()
    other = replace(QUEUE, name="orders", service=ServiceName("bench"))
    scheduler.set_queues({QUEUE.name: QUEUE, other.name: other})
    add_worker(scheduler, "w4", service=other.service)
    scheduler.add_job(team_job("a"))
    job = team_job("b")
    job.workload = replace(job.workload, queue=other.name)
    scheduler.add_job(job)
    assert len(starts(scheduler)) == 3


def test_a_filler_counts_with_its_processors():
    """It reserves none on its worker, but its team has it running all the same."""
    scheduler = make_team_scheduler()
    scheduler.add_job(team_job(steps=[replace(EIGHT_TASKS[0], is_filler=True)]))
    assert len(starts(scheduler)) == 3


def test_a_gang_starts_only_if_the_quota_admits_all_of_it():
    scheduler = make_team_scheduler()
    scheduler.add_job(team_job("a", [Step(2, Shape(1.0, 100), 100.0)]))
    assert len(starts(scheduler)) == 2
    scheduler.add_job(team_job("b", [Step(2, Shape(1.0, 100), 100.0, is_gang=True)]))
    assert not starts(scheduler)


def test_an_order_without_an_answer_counts():
    """It may still be carried out, beside what would start in its place."""
    scheduler = make_team_scheduler()
    scheduler.add_job(team_job())
    for order in starts(scheduler):
        scheduler.apply_order_result(order, OrderResult.NO_ANSWER, NOW_MS)
    assert not starts(scheduler)


def test_runs_of_a_cancelled_job_count_until_their_ends_are_listed():
    scheduler = make_team_scheduler()
    scheduler.add_job(team_job("a"))
    orders = starts(scheduler)
    for order in orders:
        scheduler.apply_order_result(order, OrderResult.DONE, NOW_MS)
    scheduler.cancel_job(JobId("a"))
    scheduler.add_job(team_job("b"))
    assert not starts(scheduler)
    for name in {order.worker for order in orders}:
        report(scheduler, name, requested_ms=NOW_MS + 1.0)
    assert len(starts(scheduler)) == 3


def test_runs_on_a_silent_worker_count_until_its_process_has_ended():
    scheduler = make_team_scheduler()
    scheduler.add_job(team_job())
    (name,) = {order.worker for order in starts(scheduler)}
    scheduler.mark_silent(WorkerId(name), NOW_MS)
    assert not starts(scheduler)
    crash(scheduler, name, NOW_MS)
    assert starts(scheduler, NOW_MS + 1.0)


def test_a_lowered_quota_stops_nothing_and_a_raised_one_counts_at_once():
    scheduler = make_team_scheduler()
    scheduler.add_job(team_job())
    assert len(starts(scheduler)) == 3
    scheduler.usage.set_teams(team(1.0))
    assert not starts(scheduler)
    scheduler.usage.set_teams(team(5.0))
    assert len(starts(scheduler)) == 2


def test_a_team_that_the_configuration_has_dropped_keeps_its_quota():
    scheduler = make_team_scheduler()
    scheduler.usage.set_teams(team(1.0, OTHER))
    scheduler.add_job(team_job())
    assert len(starts(scheduler)) == 3


def test_a_task_larger_than_a_lowered_quota_runs_alone():
    """Its job was accepted under a larger quota, and is owed all the same."""
    scheduler = make_team_scheduler(0.5)
    scheduler.add_job(team_job())
    assert len(starts(scheduler)) == 1
    assert not starts(scheduler)


def test_a_gang_beyond_the_quota_is_known_to_be_hopeless():
    gang = (replace(EIGHT_TASKS[0], is_gang=True),)
    assert not fits_quota(team_job(steps=gang).workload, team(7.0))
    assert fits_quota(team_job(steps=gang).workload, team(8.0))
    assert fits_quota(team_job().workload, team(1.0))
    assert fits_quota(make_job(steps=gang).workload, team(1.0))


def take_over(*awaited):
    """Return a successor that knows w1 to w3, and which of them have not reported."""
    scheduler = Scheduler(Term(2, 10, NOW_MS + 6000.0))
    scheduler.set_queues({QUEUE.name: QUEUE})
    scheduler.usage.set_teams(team(6.0))
    scheduler.awaiting_report = {WorkerId(name) for name in awaited}
    for name in ("w1", "w2", "w3"):
        if name not in awaited:
            add_worker(scheduler, name)
    return scheduler


def test_after_a_takeover_unknown_runs_count_at_their_most():
    """A job that comes after the takeover would be started beside them."""
    scheduler = take_over("w4")
    scheduler.add_job(team_job("old", [Step(2, Shape(1.0, 100), 100.0)], version=9))
    scheduler.add_job(team_job("new", version=11))
    assert len(starts(scheduler)) == 4
    scheduler.awaiting_report.clear()
    assert len(starts(scheduler)) == 2


def test_a_team_without_older_jobs_does_not_wait_for_a_silent_worker():
    scheduler = take_over("w4")
    scheduler.add_job(team_job("new", version=11))
    assert len(starts(scheduler)) == 6


def test_runs_that_a_predecessor_was_stopping_count_as_large_as_their_worker():
    scheduler = take_over("w4")
    scheduler.usage.note_stopped_runs(TEAM)
    scheduler.add_job(team_job("new", version=11))
    assert len(starts(scheduler)) == 2


def test_reported_runs_of_unknown_size_count_as_large_as_the_room_on_their_worker():
    """They are of jobs that have ended, and are stopped; their teams are not known."""
    scheduler = take_over()
    other = make_scheduler()
    other.add_job(make_job("ended"))
    (order,) = starts(other)
    report(scheduler, "w1", [running(order)])
    scheduler.add_job(team_job("new", version=11))
    assert len(starts(scheduler)) == 2
    report(scheduler, "w1", requested_ms=NOW_MS + 1.0)
    assert len(starts(scheduler)) == 4


QUOTA = 2.0


class QuotaLedger(RunLedger):
    """Raises if more tasks run at once, on all workers, than the quota admits."""

    def record_start(self, task, worker, now_ms):
        super().record_start(task, worker, now_ms)
        at_work = sum(1 for workers in self.running.values() if workers)
        assert at_work <= QUOTA, f"QUOTA: {at_work} tasks at work"


class QuotaRules(SchedulerRules):
    """The machine of lost and late messages, whose jobs all belong to one team."""

    teams = team(QUOTA)
    team = TEAM
    new_ledger = QuotaLedger

    def cancel(self, rng):
        """Cancel a job at the newest holder, which commits the end later."""
        jobs = list(self.holders[-1].scheduler.jobs)
        if jobs:
            self.holders[-1].scheduler.cancel_job(rng.choice(jobs))


@pytest.mark.parametrize("seed", range(400))
def test_a_quota_holds_on_a_long_walk(seed):
    """Takeovers, late orders, silent workers and cancellations in any order."""
    rng = random.Random(seed)
    machine = QuotaRules()
    machine.begin()
    for _ in range(200):
        walk(machine, rng)
        if rng.random() < 0.05:
            machine.cancel(rng)
