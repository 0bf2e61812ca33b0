"""Entries on the users' platform, as real processes against its stand-in."""

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
HEADERS = {"Host": "shop.example", "Content-Type": "application/json"}


def free_address():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return f"{HOST}:{probe.getsockname()[1]}"


class Place:
    """The stand-in, some entries, and a caller."""

    def __init__(self, folder, entries):
        self.folder = folder
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
        wait_until(self.all_ready, 15.0, "all entries ready")

    def start_entry(self, name):
        front, ready = free_address(), free_address()
        path = self.folder / f"{name}.toml"
        path.write_text(
            SETTINGS.format(name=name, front=front, ready=ready, **self.addresses)
        )
        environment = os.environ | {"CORIANDERPITCH_SETTINGS": str(path)}
        with open(self.folder / f"{name}.log", "w") as log:
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

    def call(self, method, path, entry="e0", body=None, headers=HEADERS):
        front = self.entries[entry][1]
        data = json.dumps(body).encode() if body is not None else None
        return self.http.request(
            method, f"http://{front}{path}", body=data, headers=headers
        )

    def submit(self, steps, entry="e0"):
        job = f"{next(self.ids):016x}"
        answer = self.call(
            "POST", f"/quotes/{job}", entry, {"spec": "text", "steps": steps}
        )
        assert answer.status == 200, answer.status
        return job

    def state(self, job, entry="e0"):
        answer = self.call("GET", f"/quotes/{job}", entry)
        return json.loads(answer.data)["state"] if answer.status == 200 else None

    def control(self, wish="report", **fields):
        url = f"http://{self.addresses['control']}/{wish}"
        body = json.dumps(fields).encode()
        return json.loads(self.http.request("POST", url, body=body).data)

    def holder(self):
        for name, (process, _, _) in self.entries.items():
            text = (self.folder / f"{name}.log").read_text()
            began = text.count("Tenure begins.")
            if process.poll() is None and began > text.count("Tenure ends."):
                return name
        return None

    def close(self):
        for process, _, _ in self.entries.values():
            process.kill()
            process.wait()
        self.platform.kill()
        self.platform.wait()


@pytest.fixture
def place(tmp_path):
    found = Place(tmp_path, entries=3)
    yield found
    report = found.control()
    found.close()
    assert report["problems"] == []


STEPS = [
    {"count": 4, "cpu": 500, "mem_mb": 100, "estimate_ms": 150},
    {"count": 2, "cpu": 500, "mem_mb": 100, "estimate_ms": 150, "after": [0]},
]


def test_a_job_of_two_steps_is_completed_and_shown_by_every_entry(place):
    job = place.submit(STEPS)
    wait_until(lambda: place.state(job, "e1") == "completed", 15.0, "completed")
    assert place.state(job, "e2") == "completed"
    assert place.control()["done"] == 6


def test_a_job_handed_in_again_is_one_job(place):
    job = place.submit(STEPS)
    body = {"spec": "text", "steps": STEPS}
    assert place.call("POST", f"/quotes/{job}", "e1", body).status == 200
    wait_until(lambda: place.state(job) == "completed", 15.0, "completed")
    assert place.call("POST", f"/quotes/{job}", "e2", body).status == 200
    assert place.control()["done"] == 6


def test_a_killed_holder_is_succeeded_and_no_task_runs_twice(place):
    wait_until(place.holder, 10.0, "a holder")
    jobs = [place.submit(STEPS * 1) for _ in range(6)]
    holder = place.holder()
    process = place.entries[holder][0]
    process.send_signal(signal.SIGKILL)
    process.wait()
    other = next(name for name in place.entries if name != holder)
    for job in jobs:
        wait_until(lambda j=job: place.state(j, other) == "completed", 20.0, job)
    assert place.control()["done"] == 36


def test_jobs_go_on_after_the_store_was_away(place):
    job = place.submit(STEPS)
    place.control("store", away=True)
    refused = place.call(
        "POST", f"/quotes/{'a' * 16}", body={"spec": "", "steps": STEPS}
    )
    assert refused.status == 503
    assert "Retry-After" in refused.headers
    place.control("store", away=False)
    wait_until(lambda: place.state(job) == "completed", 20.0, "completed")
    assert place.state("a" * 16) is None


def test_a_store_that_drops_its_history_is_read_anew(place):
    place.control("history")
    job = place.submit(STEPS)
    wait_until(lambda: place.state(job) == "completed", 15.0, "completed")


def test_a_worker_that_comes_back_loses_nothing(place):
    steps = [{"count": 12, "cpu": 1000, "mem_mb": 100, "estimate_ms": 150}]
    job = place.submit(steps)
    place.control("crash", worker="i-0")
    wait_until(lambda: place.state(job) == "completed", 20.0, "completed")


def test_a_cancelled_job_stops_and_stays_cancelled(place):
    lasting = [{"count": 2, "cpu": 500, "mem_mb": 100, "long_running": True}]
    job = place.submit(lasting)
    wait_until(lambda: place.state(job) == "running", 10.0, "running")
    assert place.call("DELETE", f"/quotes/{job}", "e1").status == 200
    assert place.state(job, "e2") == "cancelled"
    wait_until(lambda: place.control()["running"] == 0, 5.0, "nothing runs")
    assert place.call("DELETE", f"/quotes/{'b' * 16}").status == 410


def test_a_wave_is_carried_out_and_reported(place):
    wave = {"wave": 1, "machines": ["m-i-0", "m-i-2"], "deadline_s": 20, "cap": 1}
    place.control("write", table="op", name="wave/1", fields=wave)
    done = {"wave/1": {"state": "completed"}}
    wait_until(lambda: place.control()["status"] == done, 20.0, "wave completed")
    assert place.control()["maintained"] == ["m-i-0", "m-i-2"]


def test_entries_that_lie_are_no_workers(place):
    fields = {"service": "counter", "address": 7, "state": "ready"}
    place.control("write", table="servers", name="i-lie", fields=fields)
    job = place.submit(STEPS)
    wait_until(lambda: place.state(job) == "completed", 15.0, "completed")


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
def test_calls_that_cannot_be_served_are_refused(place, method, path, body, status):
    assert place.call(method, path, body=body).status == status


def test_waiting_jobs_are_counted(place):
    answer = place.call("GET", "/quotes/")
    assert json.loads(answer.data) == {"waiting": 0}


def test_an_entry_leaves_in_order(place):
    holder = wait_until(place.holder, 10.0, "a holder") or place.holder()
    process = place.entries[holder][0]
    process.send_signal(signal.SIGTERM)
    assert process.wait(timeout=10) == 0
    other = next(name for name in place.entries if name != holder)
    job = place.submit(STEPS, other)
    wait_until(lambda: place.state(job, other) == "completed", 15.0, "completed")


def test_settings_are_read_again_and_a_bad_file_changes_nothing(place):
    process, _, ready = place.entries["e0"]
    path, log = place.folder / "e0.toml", place.folder / "e0.log"
    good = path.read_text()
    path.write_text(good.replace("grace_s = 2", "grace_s = 3"))
    process.send_signal(signal.SIGHUP)
    said = '"message": "Settings read again.", "changed": ["grace_ms"]'
    wait_until(lambda: said in log.read_text(), 5.0, "settings read again")
    path.write_text("node = ")
    process.send_signal(signal.SIGHUP)
    refused = "Settings not taken over."
    wait_until(lambda: refused in log.read_text(), 5.0, "settings refused")
    path.write_text(good)
    assert place.is_ready(ready)
    job = place.submit(STEPS)
    wait_until(lambda: place.state(job) == "completed", 15.0, "completed")
