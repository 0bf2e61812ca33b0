"""Jobs on workers while schedulers die, entries are replaced and workers fail."""

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
    return fleet.ask_operator("/v1/jobs", requests)


def states(fleet):
    return {j["job_id"]: j["state"] for j in fleet.ask_operator("/v1/jobs") or ()}


def tasks(fleet):
    return fleet.platform_counts()["tasks"]


def scheduler_of(fleet):
    status = fleet.ask_operator("/v1/status") or {"entries": []}
    holders = [e["entry"] for e in status["entries"] if e["is_scheduler"]]
    return fleet.entries[holders[0]] if holders else None


def test_jobs_survive_the_death_of_their_scheduler_and_of_every_entry(fleet):
    names = [f"j{n}" for n in range(40)]
    submit(fleet, names, run_ms=400)
    wait_until(lambda: tasks(fleet)["starts"], 15.0, "a first start")
    scheduler_of(fleet).process.kill()
    time.sleep(1.0)
    for entry in fleet.running_entries():
        entry.process.kill()
    for number in range(2):
        fleet.start_entry(f"new{number}", "a")
    wait_until(
        lambda: set(states(fleet).values()) == {"done"}, 60.0, "every job is done"
    )
    report = tasks(fleet)
    assert set(report["peak"].values()) == {1}, "a job ran twice at once"
    assert len(report["starts"]) == len(names)


def test_urgent_job_starts_in_time_under_a_flood(fleet):
    submit(fleet, [f"flood{n}" for n in range(60)], processors=2.0, run_ms=3000)
    wait_until(lambda: len(tasks(fleet)["starts"]) >= 8, 15.0, "the flood runs")
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
        lambda: any(start[1] == "urgent" for start in tasks(fleet)["starts"]),
        10.0,
        "the urgent job starts",
    )
    assert time.monotonic() - submitted_s < URGENT_LIMIT_S


def test_bad_worker_is_quarantined_and_bad_job_given_up(fleet):
    fleet.control_platform(bad_workers=["w0"])
    names = [f"j{n}" for n in range(24)]
    submit(fleet, names, run_ms=50)
    submit(fleet, ["bad"], run_ms=50, fails=True)
    wait_until(
        lambda: set(states(fleet).values()) <= {"done", "failed"}, 60.0, "all ended"
    )
    found = states(fleet)
    assert found.pop("bad") == "failed"
    assert set(found.values()) == {"done"}
    status = fleet.ask_operator("/v1/status")
    quarantined = [w for e in status["entries"] for w in e["quarantined"]]
    assert quarantined == ["w0"]


def test_task_whose_lease_lapsed_runs_again_and_never_twice_at_once(fleet):
    """The platform loses its memory of renewals while it is away."""
    submit(fleet, ["long"], run_ms=2500)
    wait_until(lambda: tasks(fleet)["starts"], 15.0, "the start")
    fleet.control_platform(is_down=True, lapse_leases=True)
    time.sleep(1.0)
    fleet.control_platform(is_down=False)
    wait_until(lambda: states(fleet) == {"long": "done"}, 30.0, "done")
    report = tasks(fleet)
    assert report["peak"] == {"long": 1}
    assert [start[0] for start in report["starts"]] == ["long.1", "long.2"]
