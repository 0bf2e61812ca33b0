"""What a team sends beyond its share runs only in the room that others leave."""

import functools
import statistics

import pytest
from schedulers import NOW_MS, QUEUE, add_worker, make_scheduler, starts
from test_usage import OTHER, TEAM, team_job

from corianderpitch.domain.jobs import Shape
from corianderpitch.domain.quotas import UNLIMITED, Quota
from corianderpitch.domain.scheduling.arrivals import ArrivalForecast
from corianderpitch.domain.scheduling.planning import backlogged_services
from corianderpitch.domain.scheduling.shares import SHARE_WINDOW_MS, ShareMeter
from corianderpitch.domain.scheduling.sizing import pool_loads
from corianderpitch.domain.scheduling.teams import Team
from corianderpitch.domain.scheduling.workloads import Step
from corianderpitch.ids import TeamName
from corianderpitch_standins.loadreplay import (
    ReplayPolicy,
    RotatingPeaks,
    TeamMix,
    replay,
)

ANY = Quota(UNLIMITED)
WINDOW_S = SHARE_WINDOW_MS / 1000.0


def make_team(weight, name=TEAM, quota=ANY):
    return Team(name, weight, quota)


@pytest.mark.parametrize("weight", [1, 5])
def test_jobs_at_the_rate_of_a_teams_weight_are_all_within_its_share(weight):
    meter = ShareMeter()
    times_ms = [n * 1000.0 / weight for n in range(200)]
    assert not any(meter.is_beyond_share(make_team(weight), at) for at in times_ms)


def test_of_a_flood_the_rate_of_the_weight_and_one_window_are_within_the_share():
    meter = ShareMeter()
    within = [
        at_ms
        for at_ms in range(0, 10_000, 50)  # 20 a second
        if not meter.is_beyond_share(make_team(2.0), float(at_ms))
    ]
    assert len(within) == pytest.approx(2.0 * (10.0 + WINDOW_S), abs=2)


def test_a_team_without_weight_has_no_share():
    assert ShareMeter().is_beyond_share(make_team(0.0), 0.0)


def test_one_teams_flood_does_not_use_up_the_share_of_another():
    meter = ShareMeter()
    for _ in range(100):
        meter.is_beyond_share(make_team(1.0), 0.0)
    assert not meter.is_beyond_share(make_team(1.0, OTHER), 0.0)


def make_flooded_scheduler(quota=ANY):
    """Return a scheduler with eight jobs of one team, two of them beyond its share."""
    scheduler = make_scheduler(("w1", "w2"))
    teams = (make_team(1.0, quota=quota), make_team(1.0, OTHER))
    scheduler.usage.set_teams({team.name: team for team in teams})
    for number in range(8):
        job = team_job(f"flood-{number}", [Step(1, Shape(1.0, 100), 100.0)])
        job.accepted_ms = NOW_MS
        scheduler.add_job(job)
    return scheduler


def test_a_later_and_larger_job_of_another_team_goes_before_a_flood():
    scheduler = make_flooded_scheduler()
    scheduler.add_job(team_job("other", [Step(4, Shape(1.0, 100), 900.0)], OTHER))
    first = [order.task.job_id for order in starts(scheduler)]
    assert len(first) == 8
    assert first.count("other") == 2  # six of the flood are within its share


def test_a_flood_runs_where_there_is_room():
    scheduler = make_flooded_scheduler()
    add_worker(scheduler, "w3")
    assert len(starts(scheduler)) == 8


def test_a_flood_leaves_room_for_the_next_job_of_another_team():
    """Its tasks run to their end, so that the next job would wait for them."""
    scheduler = make_flooded_scheduler()
    assert len(starts(scheduler)) == 7
    scheduler.add_job(team_job("other", [Step(1, Shape(1.0, 100), 900.0)], OTHER))
    assert [order.task.job_id for order in starts(scheduler)] == ["other"]


def test_a_flood_does_not_count_as_load_that_must_be_served():
    scheduler = make_flooded_scheduler()
    scheduler.count_usage()
    load = pool_loads(scheduler, ArrivalForecast(), NOW_MS, 0.0)[QUEUE.service]
    assert load.waiting == pytest.approx(6 / 4)
    assert load.late == pytest.approx(2 / 4)


def test_no_worker_is_asked_for_tasks_that_a_quota_does_not_admit():
    """It would be taken from another pool and stand idle."""
    scheduler = make_flooded_scheduler(Quota(3.0))
    scheduler.count_usage()
    load = pool_loads(scheduler, ArrivalForecast(), NOW_MS, 0.0)[QUEUE.service]
    assert load.waiting + load.late == pytest.approx(3 / 4)


def test_a_pool_is_not_backlogged_by_tasks_that_a_quota_does_not_admit():
    """Its maintenance would wait until it is late."""
    scheduler = make_flooded_scheduler(Quota(3.0))
    assert len(starts(scheduler)) == 3
    assert not backlogged_services(scheduler)


TWENTY_TEAMS = tuple(
    Team(TeamName(f"team{n}"), weight, ANY)
    for n, weight in enumerate((5, 3, 2, *[1] * 17))
)
PEAKS = RotatingPeaks(mean_per_s=4.5, peak_factor=5.0)
FULL = ReplayPolicy(workers=6, spare=0)


@functools.cache
def replay_teams(mix, seed):
    return replay(PEAKS, FULL, seed, 20.0, mix).teams


def mean_wait_ms(mix, flooding):
    """Return the mean wait of the jobs of all teams but one."""
    return statistics.mean(
        wait_ms
        for seed in range(1, 7)
        for name, team in replay_teams(mix, seed).items()
        if name != flooding
        for wait_ms in team.waited_ms
    )


@pytest.mark.parametrize("flooding", ["team0", "team10"])
def test_a_flood_by_one_team_moves_the_waits_of_others_by_a_tenth_at_most(flooding):
    """Twenty teams, one at seven times its usual for six seconds, full pools."""
    flood = TeamMix(TWENTY_TEAMS, TeamName(flooding), 7.0, 6.0, 12.0)
    usual = TeamMix(TWENTY_TEAMS)
    assert mean_wait_ms(flood, flooding) <= 1.1 * mean_wait_ms(usual, flooding)
