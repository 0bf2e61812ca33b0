"""Tests of entry processes against the stand-in for the users' platform."""

import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

import pytest
import urllib3

from corianderpitch_standins.localfleet import wait_until

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": "quotes",
            "host": "shop.example",
            "prefix": "/quotes/",
            "service": "counter",
            "max_attempts": 2,
            "stretch": 1.6,
            "target_duration_ms": 600,
        }
    ],
    "services": [{"name": "counter", "standby": False}],
    "limits": {"header_bytes": 16384, "body_bytes": 4096},
}
SETTINGS = """
node = "{name}"
ip = "127.0.0.1"
zone = "here"
region = "r"
[listen]
front = "{front}"
ready = "{ready}"
[bounds]
hold_max_ms = 6000
drain_ms = 2000
grace_s = 2
status_s = 120
lease_ms = 3000
notice_ms = 4500
migrate_s = 1.5
maintenance_s = 2
require_fence = false
[platform]
address = "{store}"
writes_per_s = 600
reads_per_s = 2000
[cloud]
address = "{machines}"
"""
CALL_HEADERS = {"Host": "shop.example", "Content-Type": "application/json"}


def free_address():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return f"{HOST}:{probe.getsockname()[1]}"


class UserPlatformFleet:
    """The stand-in's process, entry processes, and a client that calls them."""

    def __init__(self, config_dir, entries):
        self.config_dir = config_dir
        self.http = urllib3.PoolManager(retries=False, timeout=5.0)
        self.entries = {}
        self.ids = iter(range(1, 10_000))
        command = [sys.executable, "-m", "corianderpitch_standins.userplatform"]
        self.platform = subprocess.Popen(
            [*command, json.dumps(CONFIG), "3"], stdout=subprocess.PIPE, text=True
        )
        self.addresses = json.loads(self.platform.stdout.readline())
        for number in range(entries):
            self.start_entry(f"e{number}")

    def wait_ready(self):
        wait_until(self.all_ready, 15.0, "all entries ready")

    def start_entry(self, name):
        front, ready = free_address(), free_address()
        path = self.config_dir / f"{name}.toml"
        path.write_text(
            SETTINGS.format(name=name, front=front, ready=ready, **self.addresses)
        )
        environment = os.environ | {"CORIANDERPITCH_SETTINGS": str(path)}
        with open(self.config_dir / f"{name}.log", "w") as log:
            process = subprocess.Popen(
                [sys.executable, "platform/serve.py"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.entries[name] = (process, front, ready)

    def all_ready(self):
        return all(
            self.is_ready(ready)
            for process, _, ready in self.entries.values()
            if process.poll() is None
        )

    def is_ready(self, address):
        try:
            url = f"http://{address}/corianderpitch/ready"
            return self.http.request("GET", url).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def call_entry(self, method, path, entry="e0", body=None, headers=CALL_HEADERS):
        front = self.entries[entry][1]
        data = json.dumps(body).encode() if body is not None else None
        return self.http.request(
            method, f"http://{front}{path}", body=data, headers=headers
        )

    def submit(self, steps, entry="e0"):
        job = f"{next(self.ids):016x}"
        answer = self.call_entry(
            "POST", f"/quotes/{job}", entry, {"spec": "text", "steps": steps}
        )
        assert answer.status == 200, answer.status
        return job

    def job_state(self, job, entry="e0"):
        answer = self.call_entry("GET", f"/quotes/{job}", entry)
        return json.loads(answer.data)["state"] if answer.status == 200 else None

    def control(self, action="report", **fields):
        url = f"http://{self.addresses['control']}/{action}"
        body = json.dumps(fields).encode()
        return json.loads(self.http.request("POST", url, body=body).data)

    def current_scheduler(self):
        for name, (process, _, _) in self.entries.items():
            text = (self.config_dir / f"{name}.log").read_text()
            began = text.count("Term begins.")
            if process.poll() is None and began > text.count("Term ends."):
                return name
        return None

    def close(self):
        for process, _, _ in self.entries.values():
            process.kill()
            process.wait()
        self.platform.kill()
        self.platform.wait()


@pytest.fixture
def fleet(tmp_path):
    user_platform_fleet = UserPlatformFleet(tmp_path, entries=3)
    try:
        user_platform_fleet.wait_ready()
        yield user_platform_fleet
        report = user_platform_fleet.control()
    finally:
        user_platform_fleet.close()
    assert report["problems"] == []


STEPS = [
    {"count": 4, "cpu": 500, "mem_mb": 100, "estimate_ms": 150},
    {"count": 2, "cpu": 500, "mem_mb": 100, "estimate_ms": 150, "after": [0]},
]


def test_job_of_two_steps_completes_and_every_entry_shows_it(fleet):
    job = fleet.submit(STEPS)
    wait_until(lambda: fleet.job_state(job, "e1") == "completed", 15.0, "completed")
    assert fleet.job_state(job, "e2") == "completed"
    assert fleet.control()["done"] == 6


def test_resubmitted_job_runs_once(fleet):
    job = fleet.submit(STEPS)
    body = {"spec": "text", "steps": STEPS}
    assert fleet.call_entry("POST", f"/quotes/{job}", "e1", body).status == 200
    wait_until(lambda: fleet.job_state(job) == "completed", 15.0, "completed")
    assert fleet.call_entry("POST", f"/quotes/{job}", "e2", body).status == 200
    assert fleet.control()["done"] == 6


def test_killed_scheduler_is_replaced_and_no_task_runs_twice(fleet):
    wait_until(fleet.current_scheduler, 10.0, "a scheduler")
    jobs = [fleet.submit(STEPS * 1) for _ in range(6)]
    current_scheduler = fleet.current_scheduler()
    process = fleet.entries[current_scheduler][0]
    process.send_signal(signal.SIGKILL)
    process.wait()
    other = next(name for name in fleet.entries if name != current_scheduler)
    for job in jobs:
        wait_until(lambda j=job: fleet.job_state(j, other) == "completed", 20.0, job)
    assert fleet.control()["done"] == 36


def test_jobs_continue_after_a_store_outage(fleet):
    job = fleet.submit(STEPS)
    fleet.control("store", away=True)
    refused = fleet.call_entry(
        "POST", f"/quotes/{'a' * 16}", body={"spec": "", "steps": STEPS}
    )
    assert refused.status == 503
    assert "Retry-After" in refused.headers
    fleet.control("store", away=False)
    wait_until(lambda: fleet.job_state(job) == "completed", 20.0, "completed")
    assert fleet.job_state("a" * 16) is None


def test_lost_feed_history_triggers_a_full_read(fleet):
    fleet.control("history")
    job = fleet.submit(STEPS)
    wait_until(lambda: fleet.job_state(job) == "completed", 15.0, "completed")


def test_restarted_worker_loses_no_task(fleet):
    steps = [{"count": 12, "cpu": 1000, "mem_mb": 100, "estimate_ms": 150}]
    job = fleet.submit(steps)
    fleet.control("crash", worker="i-0")
    wait_until(lambda: fleet.job_state(job) == "completed", 20.0, "completed")


def test_cancelled_job_stops_and_stays_cancelled(fleet):
    long_running_steps = [{"count": 2, "cpu": 500, "mem_mb": 100, "long_running": True}]
    job = fleet.submit(long_running_steps)
    wait_until(lambda: fleet.job_state(job) == "running", 10.0, "running")
    assert fleet.call_entry("DELETE", f"/quotes/{job}", "e1").status == 200
    assert fleet.job_state(job, "e2") == "cancelled"
    wait_until(lambda: fleet.control()["running"] == 0, 5.0, "nothing runs")
    assert fleet.call_entry("DELETE", f"/quotes/{'b' * 16}").status == 410


def test_wave_is_carried_out_and_reported(fleet):
    wave = {"wave": 1, "machines": ["m-i-0", "m-i-2"], "deadline_s": 20, "cap": 1}
    fleet.control("write", table="op", name="wave/1", fields=wave)
    done = {"wave/1": {"state": "completed"}}
    wait_until(lambda: fleet.control()["status"] == done, 20.0, "wave completed")
    assert fleet.control()["maintained"] == ["m-i-0", "m-i-2"]


def test_malformed_worker_rows_are_ignored(fleet):
    fields = {"service": "counter", "address": 7, "state": "ready"}
    fleet.control("write", table="servers", name="i-malformed", fields=fields)
    job = fleet.submit(STEPS)
    wait_until(lambda: fleet.job_state(job) == "completed", 15.0, "completed")


ODD_WORKER = json.dumps(
    {
        "service": "counter",
        "address": f"{HOST}:1",
        "zone": "here",
        "state": "ready",
        "capacity": {"cpu": "CPU", "mem_mb": 8000, "gpus": 0},
        "labels": ["a", "r1"],
        "born": "BORN",
    }
)


@pytest.mark.parametrize(
    "text",
    [
        "[" * 100_000 + "]" * 100_000,
        ODD_WORKER.replace('"CPU"', "9" * 400).replace('"BORN"', "5"),
        ODD_WORKER.replace('"CPU"', "4000").replace('"BORN"', "1e400"),
    ],
    ids=["nested", "large", "infinite"],
)
def test_an_odd_row_stops_no_holder_and_none_of_its_successors(fleet, text):
    """The holder followed the list no longer, and no successor could load it."""
    wait_until(fleet.current_scheduler, 10.0, "a scheduler")
    fleet.control("write_text", table="servers", name="i-odd", text=text)
    job = fleet.submit(STEPS)
    wait_until(lambda: fleet.job_state(job) == "completed", 15.0, "completed")
    current_scheduler = fleet.current_scheduler()
    process = fleet.entries[current_scheduler][0]
    process.send_signal(signal.SIGKILL)
    process.wait()
    other = next(name for name in fleet.entries if name != current_scheduler)
    later = fleet.submit(STEPS, other)
    wait_until(lambda: fleet.job_state(later, other) == "completed", 20.0, "later")


@pytest.mark.parametrize(
    ("method", "path", "body", "status"),
    [
        ("POST", "/none/0000000000000001", {}, 404),
        ("POST", "/quotes/xyz", {"spec": "", "steps": STEPS}, 404),
        ("POST", "/quotes/00000000000000ff", {"spec": ""}, 400),
        ("POST", "/quotes/00000000000000ff", {"spec": "", "steps": [{}]}, 400),
        ("POST", "/quotes/00000000000000ff", {"spec": "x" * 5000, "steps": []}, 413),
        ("GET", "/quotes/00000000000000ff", None, 410),
        ("PATCH", "/quotes/00000000000000ff", None, 405),
    ],
)
def test_invalid_calls_are_refused(fleet, method, path, body, status):
    assert fleet.call_entry(method, path, body=body).status == status


def test_waiting_jobs_are_counted(fleet):
    answer = fleet.call_entry("GET", "/quotes/")
    assert json.loads(answer.data) == {"waiting": 0}


def test_entry_stops_gracefully_on_sigterm(fleet):
    current_scheduler = (
        wait_until(fleet.current_scheduler, 10.0, "a scheduler")
        or fleet.current_scheduler()
    )
    process = fleet.entries[current_scheduler][0]
    process.send_signal(signal.SIGTERM)
    assert process.wait(timeout=10) == 0
    other = next(name for name in fleet.entries if name != current_scheduler)
    job = fleet.submit(STEPS, other)
    wait_until(lambda: fleet.job_state(job, other) == "completed", 15.0, "completed")


def test_settings_are_reloaded_and_an_invalid_file_changes_nothing(fleet):
    process, _, ready = fleet.entries["e0"]
    path, log = fleet.config_dir / "e0.toml", fleet.config_dir / "e0.log"
    valid_settings = path.read_text()
    path.write_text(valid_settings.replace("grace_s = 2", "grace_s = 3"))
    process.send_signal(signal.SIGHUP)
    reloaded_line = '"message": "Settings read again.", "changed": ["grace_ms"]'
    wait_until(lambda: reloaded_line in log.read_text(), 5.0, "settings read again")
    path.write_text("node = ")
    process.send_signal(signal.SIGHUP)
    refused = "Settings not taken over."
    wait_until(lambda: refused in log.read_text(), 5.0, "settings refused")
    path.write_text(valid_settings)
    assert fleet.is_ready(ready)
    job = fleet.submit(STEPS)
    wait_until(lambda: fleet.job_state(job) == "completed", 15.0, "completed")
