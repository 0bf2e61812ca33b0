"""Benchmark of an entry on the users' platform: processor time for each task.

One entry with the scheduler's role runs in one process, and the platform's stand-in
in another. Jobs of eight tasks are submitted by twenty teams at a fixed rate. The
processor time that the kernel counts for the entry is divided by the number of
completed tasks.
"""

import json
import os
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import psutil
import urllib3

from corianderpitch_standins.benchreport import Report
from corianderpitch_standins.localfleet import wait_until

ROOT = Path(__file__).resolve().parents[3]
HOST = "127.0.0.1"
WORKER_COUNTS = (30, 180, 276)
JOBS_PER_S = 15.0
TASKS_PER_JOB = 8
LOAD_S = 6.0
IDLE_PERIOD_S = 3.0
TIMEOUT_S = 30.0
MAX_TASK_MS = 1.0
MAX_GROWTH_SHARE = 0.2
SERVICE = "counter"
CALLER_HEADERS = {"Host": "shop.example", "Content-Type": "application/json"}
TEAMS = 20
_TENANTS = [
    {
        "name": f"team{number}",
        "api_keys": [f"key{number}"],
        "weight": JOBS_PER_S,
        "cap": {"cpu": 1_000_000},
    }
    for number in range(TEAMS)
]

_CONFIG = {
    "version": 1,
    "routes": [
        {
            "name": "quotes",
            "host": "shop.example",
            "prefix": "/quotes/",
            "service": SERVICE,
            "max_attempts": 2,
            "stretch": 1.6,
            "target_duration_ms": 600,
            "public": False,
        }
    ],
    "tenants": _TENANTS,
    "services": [{"name": SERVICE, "standby": False}],
    "limits": {"header_bytes": 16384, "body_bytes": 4096},
}
_SETTINGS = """
node = "e0"
ip = "127.0.0.1"
zone = "here"
region = "r"
[listen]
front = "{front}"
ready = "{ready}"
[bounds]
hold_max_ms = 6000
grace_s = 1
status_s = 120
lease_ms = 3000
[platform]
address = "{store}"
[cloud]
address = "{machines}"
"""


@dataclass(frozen=True, slots=True)
class TaskCost:
    """Processor time of an entry.

    ``idle_share`` is the share of a core that it uses without jobs, and ``task_ms``
    is the additional time for each task.
    """

    idle_share: float
    task_ms: float
    tasks: int


def _free_address() -> str:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return f"{HOST}:{probe.getsockname()[1]}"


class _EntryOnPlatform:
    """The stand-in of the platform and one entry, each in its own process."""

    def __init__(self, folder: Path, workers: int):
        self._http = urllib3.PoolManager(retries=False, timeout=5.0)
        self._job_count = 0
        command = [sys.executable, "-W", "ignore", "-m"]
        command += ["corianderpitch_standins.userplatform", json.dumps(_CONFIG)]
        self._platform_process = subprocess.Popen(
            [*command, str(workers)], stdout=subprocess.PIPE, text=True
        )
        self._addresses = json.loads(self._platform_process.stdout.readline())
        self._front, ready = _free_address(), _free_address()
        settings = folder / "entry.toml"
        settings.write_text(
            _SETTINGS.format(front=self._front, ready=ready, **self._addresses)
        )
        environment = os.environ | {"CORIANDERPITCH_SETTINGS": str(settings)}
        self._entry_process = subprocess.Popen(
            [sys.executable, str(ROOT / "platform" / "serve.py")],
            env=environment,
            stdout=subprocess.DEVNULL,
        )
        self._entry_usage = psutil.Process(self._entry_process.pid)
        wait_until(lambda: self._is_entry_ready(ready), TIMEOUT_S, "the entry is ready")

    def _is_entry_ready(self, address: str) -> bool:
        try:
            url = f"http://{address}/corianderpitch/ready"
            return self._http.request("GET", url).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def processor_s(self) -> float:
        """Return the processor time that the entry has used so far."""
        times = self._entry_usage.cpu_times()
        return times.user + times.system

    def completed_tasks(self) -> int:
        """Return how many tasks the workers have completed."""
        url = f"http://{self._addresses['control']}/seen"
        return json.loads(self._http.request("POST", url, body=b"{}").data)["done"]

    def submit(self) -> None:
        """Submit a job; raise ``RuntimeError`` unless it is accepted."""
        self._job_count += 1
        step: dict[str, Any] = {"count": TASKS_PER_JOB, "cpu": 1000, "mem_mb": 100}
        body = {"spec": "x", "steps": [step | {"estimate_ms": 150}]}
        url = f"http://{self._front}/quotes/{self._job_count:016x}"
        key = {"Authorization": f"Token key{self._job_count % TEAMS}"}
        answer = self._http.request(
            "POST", url, body=json.dumps(body).encode(), headers=CALLER_HEADERS | key
        )
        if answer.status != 200:
            raise RuntimeError(
                f"the entry answered a job with status {answer.status} instead of 200"
            )

    def close(self) -> None:
        """End both processes."""
        self._entry_process.terminate()
        self._entry_process.wait(timeout=10.0)
        self._platform_process.kill()
        self._platform_process.wait(timeout=10.0)


def bench_tasks(report: Report) -> None:
    """Measure the processor time for a task with different numbers of workers."""
    report.heading("processor time of an entry for a task")
    costs = [_measure(workers) for workers in WORKER_COUNTS]
    for workers, cost in zip(WORKER_COUNTS, costs, strict=True):
        name = f"{workers} workers, {cost.tasks} tasks"
        report.note(f"{name}, at rest", f"{100.0 * cost.idle_share:.1f} % of a core")
        report.at_most(f"{name}, for a task", cost.task_ms, MAX_TASK_MS, "ms")
    growth = costs[-1].task_ms / costs[0].task_ms - 1.0
    report.at_most("growth to the most workers", growth, MAX_GROWTH_SHARE, "of it")


def _measure(workers: int) -> TaskCost:
    with tempfile.TemporaryDirectory() as folder:
        platform = _EntryOnPlatform(Path(folder), workers)
        try:
            return _run_load(platform, workers)
        finally:
            platform.close()


def _run_load(platform: _EntryOnPlatform, workers: int) -> TaskCost:
    time.sleep(IDLE_PERIOD_S)
    before_s = platform.processor_s()
    time.sleep(IDLE_PERIOD_S)
    idle_share = (platform.processor_s() - before_s) / IDLE_PERIOD_S
    before_s, completed, started_s = (
        platform.processor_s(),
        platform.completed_tasks(),
        time.monotonic(),
    )
    jobs = int(JOBS_PER_S * LOAD_S)
    for number in range(jobs):
        due_s = started_s + number / JOBS_PER_S
        time.sleep(max(0.0, due_s - time.monotonic()))
        platform.submit()
    expected = completed + jobs * TASKS_PER_JOB
    wait_until(
        lambda: platform.completed_tasks() >= expected, TIMEOUT_S, "all tasks are done"
    )
    took_s = time.monotonic() - started_s
    used_s = platform.processor_s() - before_s - idle_share * took_s
    tasks = jobs * TASKS_PER_JOB
    return TaskCost(idle_share, 1000.0 * used_s / tasks, tasks)
