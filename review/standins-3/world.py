"""The users' platform, consumers and entries of a small deployment, for one script."""

import asyncio
import itertools
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from httpserver import HttpServer, Reply, Request, call
from jobs import Job
from minions import TICK_S, Ledger, Minion
from record import Record
from store import Door, Store

ROOT = Path(__file__).resolve().parents[2]
HEARTBEAT_S = 1.5
EXPIRY_S = 4.5
MIGRATE_S = 1.5
UPKEEP_S = 2.0
BOUNDS = {
    "seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000,
    "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200,
    "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000,
    "recovery_s": 12, "hold_max_ms": 6000, "kill_grace_ms": 200,
    "gang_wait_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250,
    "finish_s": 14, "status_s": 120, "remote_factor": 2,
    "checkpoint_interval_s": 0.5, "restore_ms": 250, "notice_ms": 4500,
    "migrate_s": 1.5, "maintenance_s": 2, "require_fence": False, "lease_ms": 3000,
    "thaw_ms": 300, "rate_window_ms": 100, "impact_ms": 4000,
}  # fmt: skip


@dataclass
class Machine:
    """A machine of a pool, and the minion on it."""

    name: str
    pool: str
    minion: Minion | None
    state: str = "up"
    waves: set[int] = field(default_factory=set)
    wave: int = 0  # for which it is down
    lives: int = 1


@dataclass
class Entry:
    """One entry: its process, its settings and its way to the store."""

    name: str
    zone: str
    ip: str
    ports: dict[str, int]
    door: Door
    process: subprocess.Popen | None = None
    is_first_start: bool = True

    @property
    def front(self) -> str:
        """Return the address for consumers."""
        return f"{self.ip}:{self.ports['front']}"

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)


class World:
    """A store, machines with minions, entries and consumers."""

    def __init__(self, folder: Path, record_name: str = "record.txt", seed: int = 1):
        # Addresses of its own keep the ports of crashed minions free for their return.
        self._network = f"127.{20 + os.getpid() % 200}"
        self.record = Record(folder / record_name)
        self.jobs: dict[str, Job] = {}
        self.ledger = Ledger(self.record, self.jobs)
        self.store = Store()
        self.minions: dict[str, Minion] = {}
        self.machines: dict[str, Machine] = {}
        self.entries: list[Entry] = []
        self.rng = random.Random(seed)
        self.config: dict[str, Any] = {}
        self.temporary = Path(tempfile.mkdtemp(prefix="review3-"))
        self._cloud = HttpServer(self._serve_machines)
        self.cloud_orders: list[tuple[float, str, str, int, str]] = []
        self._tasks: list[asyncio.Task] = []
        self._job_numbers = itertools.count(1)
        self._last_beat: dict[str, float] = {}
        self.row_of_machine = self._machine_row

    # The deployment.

    async def configure(
        self, routes: list[dict[str, Any]], services: list[dict[str, Any]]
    ) -> None:
        """Write a manifest."""
        version = self.config.get("version", 0) + 3
        self.config = {
            "version": version,
            "routes": [
                {
                    "kind": "non_idempotent",
                    "timeout_ms": 3000,
                    "target_duration_ms": 600,
                    "priority": 0,
                    "max_attempts": 4,
                    "stretch": 1.6,
                }
                | route
                for route in routes
            ],
            "services": [
                {
                    "health_path": "/healthz",
                    "max_conns": 64,
                    "protocol": "h1",
                    "tls": False,
                    "rejects_overload": True,
                    "standby": False,
                }
                | service
                for service in services
            ],
            "limits": {
                "header_bytes": 16384,
                "body_bytes": 262144,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
        }
        await self.store.put("op", "config", self.config)
        self.record.write("manifest", version=version)

    async def add_minion(self, service: str, **options: Any) -> Minion:
        """Add a machine with a minion to the pool of a service."""
        number = len(self.machines)
        machine = f"m-{number:04x}"
        defaults = {
            "zone": "here",
            "labels": ["a", f"r1-{number % 2}"],
            "capacity": (16000, 32768, 0),
        }
        minion = Minion(
            self.ledger,
            f"i-{number:04x}0001",
            service,
            machine=machine,
            host=f"{self._network}.1.{number + 1}",
            **(defaults | options),
        )
        self.minions[minion.name] = minion
        self.machines[machine] = Machine(machine, service, minion)
        await minion.boot()
        await self.beat(minion)
        # Heartbeats of different minions are spread over their interval.
        self._last_beat[minion.name] -= self.rng.uniform(0.0, HEARTBEAT_S)
        return minion

    async def beat(self, minion: Minion) -> None:
        """Write a minion's entry."""
        if minion.is_up and not minion.is_cut_from_store:
            self._last_beat[minion.name] = time.monotonic()
            await self.store.put("servers", minion.name, minion.entry())

    async def crash(
        self, minion: Minion, down_s: float | None, reborn: dict[str, Any] | None = None
    ) -> None:
        """Crash a minion; it starts again under its id after ``down_s``, if at all."""
        await minion.crash()
        if down_s is None:
            machine = self.machines[minion.machine]
            machine.state, machine.minion = "down", None
            return
        await asyncio.sleep(down_s)
        for name, value in (reborn or {}).items():
            setattr(minion, name, value)
        await minion.boot()
        await self.beat(minion)

    async def add_entry(self, zone: str = "here") -> Entry:
        """Add an entry; it is started by ``start_entry``."""
        number = len(self.entries) + 1
        ip = f"{self._network}.0.{number}"
        ports = {
            name: _free_port(ip) for name in ("front", "ready", "control", "metrics")
        }
        name = f"edge-{zone}-{number}"
        entry = Entry(name, zone, ip, ports, await self.store.open_door(name))
        self.entries.append(entry)
        return entry

    async def open_paths(self) -> None:
        """Give each entry a path of its own to each minion, so that it can be cut."""
        for entry in self.entries:
            for minion in self.minions.values():
                await minion.open_gate(entry.name)
                path = minion.gates[entry.name].address
                self.store.paths[entry.name, minion.server.address] = path

    def cut_zone(self, zone: str) -> None:
        """Cut a zone off from the others and from the platform."""
        self.record.write("zone cut", zone=zone)
        for entry in self.entries:
            if entry.zone == zone:
                entry.door.mode = "silent"
            for minion in self.minions.values():
                if (entry.zone == zone) != (minion.zone == zone):
                    minion.cut_from.add(entry.name)
        for minion in self.minions.values():
            minion.is_cut_from_store |= minion.zone == zone

    def heal_zones(self) -> None:
        """End all cuts; bytes that they held up are lost."""
        self.record.write("zones whole")
        for entry in self.entries:
            entry.door.mode = ""
            entry.door.server.reset_connections()
        for minion in self.minions.values():
            minion.is_cut_from_store = False
            for name in minion.cut_from:
                minion.gates[name].reset_connections()
            minion.cut_from.clear()

    def start_entry(self, entry: Entry) -> None:
        """Start the process of an entry as the deploy file tells."""
        settings = self.temporary / f"{entry.name}.toml"
        settings.write_text(self._settings(entry))
        entry.is_first_start = False
        log = (self.temporary / f"{entry.name}.log").open("a")
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "CORIANDERPITCH_SETTINGS": str(settings),
            "CORIANDERPITCH_METRICS_PORT": str(entry.ports["metrics"]),
        }
        entry.process = subprocess.Popen(
            ["python3", "platform/serve.py"],
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.record.write("entry started", entry=entry.name, pid=entry.process.pid)

    def kill_entry(self, entry: Entry, number: int = signal.SIGKILL) -> None:
        """End or stop the process of an entry by a signal."""
        self.record.write("signal", entry=entry.name, number=int(number))
        entry.send_signal(number)
        if number == signal.SIGKILL and entry.process is not None:
            entry.process.wait()

    def _settings(self, entry: Entry) -> str:
        bounds = "".join(f"{k} = {json.dumps(v)}\n" for k, v in BOUNDS.items())
        ip, ports = entry.ip, entry.ports
        names = sorted({other.zone for other in self.entries})
        zones = "".join(f'{name} = "region"\n' for name in names)
        return (
            f'node = "{entry.name}"\nrole = "entry"\nmachine_class = "edge"\n'
            f'serves = ["edge"]\nip = "{ip}"\nzone = "{entry.zone}"\n'
            'region = "region"\ninternal_ports = [7060, 7075]\nseeds = []\n'
            f"bootstrap = {json.dumps(entry.is_first_start)}\n"
            'counts_as_loss = false\ndiscovery = "platform"\nentry = "vip"\n'
            'heartbeat_ms = 1500\norders = "push"\n'
            'contracts = ["base", "drain", "config", "cost", "recover", "sched", '
            '"platform", "advice", "upkeep", "sharing"]\n'
            f"[zones]\n{zones}"
            f'[listen]\nfront = "{ip}:{ports["front"]}"\n'
            f'ready = "{ip}:{ports["ready"]}"\n'
            f'control = "{ip}:{ports["control"]}"\n'
            "[limits]\ncpu_share = 0.537\ncores = 2\nmemory_mb = 300\n"
            "max_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n"
            "[fault_tolerance]\nmachines = 2\nzones = 1\nregions = 0\n"
            f"[bounds]\n{bounds}"
            f'[platform]\naddress = "{entry.door.server.address}"\nform = "table"\n'
            "writes_per_s = 600\nreads_per_s = 2000\ntxn_ms = 4.0\n"
            "partition_writes_s = 250\nrow_bytes = 65536\ncross_shard = true\n"
            "retention_s = 20\nblob_bytes = 8388608\nblob_ms = 25.0\n"
            "blob_mb_s = 80.0\n"
            f'[cloud]\naddress = "{self._cloud.address}"\nrate_per_s = 64.0\n'
            "duties = []\nduty_per_s = 64.0\n"
        )

    async def begin(self) -> None:
        """Start the platform's services and its clocks."""
        await self._cloud.start()
        self._tasks.append(asyncio.create_task(self._tick()))
        self._tasks.append(asyncio.create_task(self._beat_all()))

    async def until_ready(self, entry: Entry, within_s: float = 20.0) -> bool:
        """Wait until an entry is ready."""
        address = f"{entry.ip}:{entry.ports['ready']}"
        until_s = time.monotonic() + within_s
        while time.monotonic() < until_s:
            answer = await call(address, "GET", "/corianderpitch/ready", None, {}, 1.0)
            if answer is not None and answer[0] == 200:
                return True
            await asyncio.sleep(0.1)
        return False

    async def until(self, condition: Callable[[], bool], within_s: float) -> bool:
        """Wait until a condition holds; return whether it does."""
        until_s = time.monotonic() + within_s
        while not condition() and time.monotonic() < until_s:
            await asyncio.sleep(0.02)
        return condition()

    def silence_channels(self) -> None:
        """Let all open channels of entries go silent for good; new ones work."""
        servers = [door.server for door in self.store.doors]
        for minion in self.minions.values():
            servers += [minion.server, *minion.gates.values()]
        servers.append(self._cloud)
        self.record.write("all open channels go silent", servers=len(servers))
        for server in servers:
            server.mute_connections()

    def leader(self) -> Entry:
        """Return the entry that last wrote to the store under a condition."""
        return max(self.entries, key=lambda entry: entry.door.wrote_s)

    async def end(self) -> None:
        """End all processes and servers."""
        for task in self._tasks:
            task.cancel()
        for entry in self.entries:
            if entry.process is not None and entry.process.poll() is None:
                entry.process.send_signal(signal.SIGCONT)
                entry.process.kill()
                entry.process.wait()
        for minion in self.minions.values():
            await minion.close()
        for door in self.store.doors:
            await door.server.stop()
        await self._cloud.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.temporary, keep, dirs_exist_ok=True)
        shutil.rmtree(self.temporary, ignore_errors=True)
        self.record.close()

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            for minion in self.minions.values():
                minion.advance()

    async def _beat_all(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            now_s = time.monotonic()
            for minion in list(self.minions.values()):
                age_s = now_s - self._last_beat.get(minion.name, now_s)
                if minion.is_up and not minion.is_dark and age_s >= HEARTBEAT_S:
                    await self.beat(minion)
                elif age_s >= EXPIRY_S:
                    await self.store.remove("servers", minion.name)

    # The machine service.

    async def _serve_machines(self, request: Request) -> Reply:
        await asyncio.sleep(0.004)
        if request.name == "machines":
            rows = [self.row_of_machine(machine) for machine in self.machines.values()]
            return Reply(200, {"machines": rows, "next_token": None})
        body = request.json()
        if request.name not in ("machine-move", "machine-upkeep"):
            return Reply(404)
        machine = self.machines.get(body.get("machine", ""))
        holder = request.headers.get("x-duty-holder", "")
        fence = int(request.headers.get("x-fence-token", "0"))
        target = str(body.get("pool", body.get("wave")))
        self.cloud_orders.append(
            (self.record.now_s(), body["machine"], holder, fence, target)
        )
        self.record.write(
            request.name, machine=body["machine"], to=target, holder=holder, fence=fence
        )
        if machine is None:
            return Reply(400)
        if request.name == "machine-move":
            if machine.pool == body["pool"]:
                return Reply(200)
            if machine.state != "up":
                return Reply(409, {"reason": "busy"})
            self.spawn(self._replace(machine, body["pool"], "moving", MIGRATE_S))
            return Reply(200)
        if body["wave"] in machine.waves:
            return Reply(200)
        if machine.state != "up":
            return Reply(409, {"reason": "busy"})
        machine.waves.add(body["wave"])
        machine.wave = body["wave"]
        self.spawn(self._replace(machine, machine.pool, "upkeep", UPKEEP_S))
        return Reply(200)

    def spawn(self, coroutine: Any) -> None:
        """Run a coroutine until the end of the script."""
        self._tasks.append(asyncio.create_task(coroutine))

    def _machine_row(self, machine: Machine) -> dict[str, Any]:
        minion = machine.minion
        cpu, mem_mb, gpus = minion.capacity if minion else (0, 0, 0)
        row = {
            "machine": machine.name,
            "pool": machine.pool,
            "state": machine.state,
            "zone": minion.zone if minion else "here",
            "labels": minion.labels if minion else [],
            "capacity": {"cpu": cpu, "mem_mb": mem_mb, "gpus": gpus},
        }
        if minion is not None and minion.is_up:
            row["id"] = minion.name
        return row

    async def _replace(
        self, machine: Machine, pool: str, state: str, down_s: float
    ) -> None:
        old = machine.minion
        machine.state, machine.pool, machine.minion = state, pool, None
        if old is not None:
            await old.crash()
            del self.minions[old.name]
            await self.store.remove("servers", old.name)
        await asyncio.sleep(down_s)
        machine.lives += 1
        new = Minion(
            self.ledger,
            f"i-{int(machine.name[2:], 16):04x}{machine.lives:04x}",
            pool,
            old.zone if old else "here",
            old.labels if old else ["a", "r1-0"],
            old.capacity if old else (16000, 32768, 0),
            machine.name,
            old.guards if old else True,
            host=old.server.host if old else "127.0.0.1",
        )
        self.minions[new.name] = new
        await new.boot()
        machine.state, machine.minion = "up", new
        await self.beat(new)

    # Consumers.

    def new_job(self, queue: str, steps: list, **options: Any) -> Job:
        """Create a job with an id of its own."""
        number = next(self._job_numbers)
        job_id = f"{self.rng.getrandbits(48):012x}{number:04x}"
        job = Job(job_id, queue, steps, spec=f"job {number}", **options)
        self.jobs[job_id] = job
        return job

    def _route(self, queue: str) -> dict[str, Any]:
        routes = self.config["routes"]
        return next(route for route in routes if route["name"] == queue)

    async def send(
        self,
        method: str,
        job: Job,
        entry: Entry | None = None,
        timeout_s: float = 3.0,
    ) -> int | None:
        """Send one call about a job to an entry; return the status of its answer."""
        entry = entry or self.rng.choice(self.entries)
        route = self._route(job.queue)
        path = route["prefix"] + job.job_id
        headers = {"Host": route["host"], "X-Deadline-Ms": str(int(timeout_s * 1000))}
        if method == "POST" and job.sent_s is None:
            job.sent_s = self.record.now_s()
        if method == "DELETE" and job.cancel_sent_s is None:
            job.cancel_sent_s = self.record.now_s()
        body = job.body if method == "POST" else None
        answer = await call(entry.front, method, path, body, headers, timeout_s)
        status = answer[0] if answer else None
        now_s = self.record.now_s()
        state = answer[1].get("state", "") if answer else ""
        self.record.write(
            method, job=job.job_id, to=entry.name, status=status, state=state or "-"
        )
        if method == "POST":
            job.answers.append(status)
            if status is not None and 200 <= status < 300 and job.accepted_s is None:
                job.accepted_s = now_s
        elif method == "GET" and state:
            job.states.append((now_s, state))
        elif method == "DELETE" and status in (200, 410) and not job.cancel_acked_s:
            job.cancel_acked_s = now_s
        return status

    async def submit(self, job: Job, tries: int = 5, pause_s: float = 0.5) -> bool:
        """Submit a job as a consumer does, which tries again until it is accepted."""
        for _ in range(tries):
            status = await self.send("POST", job)
            if status is not None and 200 <= status < 300:
                return True
            await asyncio.sleep(pause_s)
        return False

    async def poll(
        self, jobs: list[Job], until: set[str], within_s: float, pause_s: float = 0.5
    ) -> bool:
        """Ask for the states of jobs until all are in one of some states."""
        until_s = time.monotonic() + within_s
        while time.monotonic() < until_s:
            left = [job for job in jobs if job.last_state not in until]
            if not left:
                return True
            await asyncio.gather(*(self.send("GET", job) for job in left))
            await asyncio.sleep(pause_s)
        return all(job.last_state in until for job in jobs)


def _free_port(ip: str) -> int:
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]
