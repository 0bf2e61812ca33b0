"""Tests of jobs while schedulers are killed, entries replaced and workers fail."""

import json
import time

import pytest
from fleets import start_fleet

from corianderpitch_standins.localfleet import wait_until

URGENT_LIMIT_S = 1.5


@pytest.fixture
def fleet():
    fleet = start_fleet(("a",), min_available=1)
    workers = [["a", f"w{n}", "rack", [4.0, 8000, 0]] for n in range(4)]
    fleet.control_platform(workers=workers)
    time.sleep(0.5)
    yield fleet
    fleet.close()


def submit(fleet, names, processors=1.0, priority="ordinary", team="team", **command):
    requests = [
        {
            "job_id": name,
            "team": team,
            "kind": "kind",
            "priority": priority,
            "command": json.dumps(command),
            "shape": {"processors": processors, "memory_mb": 100},
        }
        for name in names
    ]
    return fleet.send_operator_request("/v1/jobs", requests)


def job_states(fleet):
    return {
        j["job_id"]: j["state"] for j in fleet.send_operator_request("/v1/jobs") or ()
    }


def task_report(fleet):
    return fleet.platform_counts()["tasks"]


def current_scheduler(fleet):
    status = fleet.send_operator_request("/v1/status") or {"entries": []}
    scheduler_names = [e["entry"] for e in status["entries"] if e["is_scheduler"]]
    return fleet.entries[scheduler_names[0]] if scheduler_names else None


def test_jobs_survive_the_loss_of_their_scheduler_and_of_every_entry(fleet):
    names = [f"j{n}" for n in range(40)]
    submit(fleet, names, run_ms=400)
    wait_until(lambda: task_report(fleet)["starts"], 15.0, "a first start")
    current_scheduler(fleet).process.kill()
    time.sleep(1.0)
    for entry in fleet.running_entries():
        entry.process.kill()
    for number in range(2):
        fleet.start_entry(f"new{number}", "a")
    wait_until(
        lambda: set(job_states(fleet).values()) == {"done"}, 60.0, "every job is done"
    )
    report = task_report(fleet)
    assert set(report["peak"].values()) == {1}, "a job ran twice at once"
    assert len(report["starts"]) == len(names)


def test_urgent_job_starts_in_time_under_overload(fleet):
    submit(fleet, [f"flood{n}" for n in range(60)], processors=2.0, run_ms=3000)
    wait_until(
        lambda: len(task_report(fleet)["starts"]) >= 8, 15.0, "the workers are full"
    )
    submitted_s = time.monotonic()
    submit(
        fleet,
        ["urgent"],
        processors=2.0,
        priority="urgent",
        team="other",
        run_ms=10,
    )
    wait_until(
        lambda: any(start[1] == "urgent" for start in task_report(fleet)["starts"]),
        10.0,
        "the urgent job starts",
    )
    assert time.monotonic() - submitted_s < URGENT_LIMIT_S


def test_failing_worker_is_quarantined_and_failing_job_is_ended(fleet):
    fleet.control_platform(bad_workers=["w0"])
    names = [f"j{n}" for n in range(24)]
    submit(fleet, names, run_ms=50)
    submit(fleet, ["bad"], run_ms=50, fails=True)
    wait_until(
        lambda: set(job_states(fleet).values()) <= {"done", "failed"}, 60.0, "all ended"
    )
    states_by_job = job_states(fleet)
    assert states_by_job.pop("bad") == "failed"
    assert set(states_by_job.values()) == {"done"}
    status = fleet.send_operator_request("/v1/status")
    quarantined = [w for e in status["entries"] for w in e["quarantined"]]
    assert quarantined == ["w0"]


def test_task_with_lapsed_lease_restarts_without_overlap(fleet):
    """Guards against two runs of a task at once, and against a lost task.

    While the platform is down, all leases lapse.
    """
    submit(fleet, ["long"], run_ms=2500)
    wait_until(lambda: task_report(fleet)["starts"], 15.0, "the start")
    fleet.control_platform(is_down=True, lapse_leases=True)
    time.sleep(1.0)
    fleet.control_platform(is_down=False)
    wait_until(lambda: job_states(fleet) == {"long": "done"}, 30.0, "done")
    report = task_report(fleet)
    assert report["peak"] == {"long": 1}
    assert [start[0] for start in report["starts"]] == ["long.1", "long.2"]
