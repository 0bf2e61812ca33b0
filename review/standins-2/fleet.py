"""A small deployment on loopback: stand-ins, the project's entries, and callers.

The entries are started with the command of the deploy file, as processes of their
own. ``run_case`` runs one case: it writes the record, ends all processes, and exits
with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
"""

import asyncio
import contextlib
import itertools
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from httpserver import call
from minions import Machines, Minion
from store import Store

ROOT = Path(__file__).resolve().parents[2]
CALLER_HOST = "shop.example"
READY_TIMEOUT_S = 30.0
MAX_CASE_S = 110.0
GRACE_S = 6
PORTS = (20_000, 32_000)  # below the range that the system chooses from
SETTINGS = """
node = "{name}"
role = "entry"
machine_class = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "here"
region = "region"
bootstrap = {bootstrap}
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
orders = "push"
[listen]
front = "{front}"
ready = "{ready}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4100
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = {grace_s}
config_apply_ms = 2000
recovery_s = 12
hold_max_ms = 6000
kill_grace_ms = 200
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
notice_ms = 4500
migrate_s = 1.5
maintenance_s = 2
require_fence = false
lease_ms = 3000
[platform]
address = "{store}"
form = "table"
writes_per_s = 800
reads_per_s = 2000
txn_ms = 4.0
partition_writes_s = 250
row_bytes = 65536
cross_shard = true
retention_s = 20
[cloud]
address = "{machines}"
rate_per_s = 64.0
duties = []
duty_per_s = 64.0
"""


class CannotRun(Exception):
    """The case could not run, so that it says nothing about the rule."""


@dataclass
class Route:
    """A queue of the manifest, and the number of attempts of its subtasks."""

    name: str
    service: str
    max_attempts: int = 2

    @property
    def prefix(self) -> str:
        """Return the prefix of the paths of its jobs."""
        return f"/{self.name}/"

    def fields(self) -> dict[str, Any]:
        """Return the route as the manifest spells it."""
        return {
            "name": self.name,
            "host": CALLER_HOST,
            "prefix": self.prefix,
            "kind": "non_idempotent",
            "timeout_ms": 3000,
            "target_duration_ms": 600,
            "priority": 0,
            "service": self.service,
            "max_attempts": self.max_attempts,
            "stretch": 1.6,
        }


@dataclass
class Entry:
    """A process of the project."""

    name: str
    process: asyncio.subprocess.Process
    front: str
    ready: str
    log: Path

    @property
    def is_holder(self) -> bool:
        """Return whether its log says that it holds the scheduler's role."""
        text = self.log.read_text()
        is_running = self.process.returncode is None
        return is_running and text.count("Term begins.") > text.count("Term ends.")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to this process."""
        self.process.send_signal(number)


@dataclass
class Fleet:
    """All stand-ins and processes of one case."""

    folder: Path
    record_path: Path
    routes: list[Route]
    entries: list[Entry] = field(default_factory=list)

    def __post_init__(self):
        self.began_s = time.monotonic()
        self.record_path.write_text("")
        self.store = Store()
        self.machines = Machines(self.store, self.record)
        self._starts = itertools.count(1)
        self._manifest_version = 0
        self._ip = _random_loopback_ip()
        self._tasks: set[asyncio.Task] = set()
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            self._command = tomllib.load(file)["roles"]["entry"]["run"].split(" ")

    @property
    def now_s(self) -> float:
        """Return the time since the beginning of the case, in seconds."""
        return time.monotonic() - self.began_s

    def record(self, event: str, **details: Any) -> None:
        """Write one line to the record."""
        words = " ".join(f"{key}={value}" for key, value in details.items())
        with open(self.record_path, "a") as file:
            file.write(f"{self.now_s:8.3f} {event} {words}\n")

    def spawn(self, work: Awaitable[None]) -> asyncio.Task:
        """Run something beside the case, until it ends."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        return task

    async def start(self, minions: int, entries: int) -> None:
        """Start the platform and its minions, then the entries."""
        await self.store.server.start()
        await self.machines.server.start()
        await self.set_manifest(self.routes)
        services = sorted({route.service for route in self.routes})
        for service in services:
            for number in range(minions):
                await self.machines.add(service, f"r-{number}")
        started = [
            await self.start_entry(f"edge-{n + 1}", is_first=True)
            for n in range(entries)
        ]
        for entry in started:
            await self.wait_for(self.is_ready(entry), "an entry is ready")
        await self.wait_for(self._has_holder, "an entry holds the role")
        await asyncio.sleep(3.5)  # all are in touch, and the holder knows its minions

    async def set_manifest(self, routes: list[Route]) -> None:
        """Write the next version of the manifest, with these routes."""
        self._manifest_version += 4
        services = sorted({route.service for route in self.routes})
        manifest = {
            "version": self._manifest_version,
            "routes": [route.fields() for route in routes],
            "services": [
                {"name": name, "health_path": "/healthz", "rejects_overload": True}
                for name in services
            ],
            "limits": {"header_bytes": 16384, "body_bytes": 262144},
        }
        await self.store.put("op", "config", manifest)
        names = [route.name for route in routes]
        self.record("manifest acked", version=self._manifest_version, routes=names)

    async def start_entry(self, name: str, is_first: bool = False) -> Entry:
        """Start a process of the project with the command of the deploy file."""
        ip = self._ip
        front, ready = _free_address(ip), _free_address(ip)
        path = self.folder / f"{name}-{next(self._starts)}.toml"
        path.write_text(
            SETTINGS.format(
                name=name,
                ip=ip,
                front=front,
                ready=ready,
                grace_s=GRACE_S,
                bootstrap="true" if is_first else "false",
                store=self.store.server.address,
                machines=self.machines.server.address,
            )
        )
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment = kept | {
            "CORIANDERPITCH_SETTINGS": str(path),
            "CORIANDERPITCH_METRICS_PORT": "0",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        log_path = path.with_suffix(".log")
        with open(log_path, "w") as log:
            process = await asyncio.create_subprocess_exec(
                *self._command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        entry = Entry(name, process, front, ready, log_path)
        self.entries.append(entry)
        self.record("entry starts", entry=name)
        return entry

    def is_ready(self, entry: Entry) -> Callable[[], Awaitable[bool]]:
        """Return a condition: the entry says that it is ready."""

        async def condition() -> bool:
            path = "/corianderpitch/ready"
            status, _ = await call(entry.ready, "GET", path, timeout_s=0.5)
            return status == 200

        return condition

    async def _has_holder(self) -> bool:
        return any(entry.is_holder for entry in self.entries)

    @property
    def holder(self) -> Entry:
        """Return the entry that holds the scheduler's role."""
        holders = [entry for entry in self.entries if entry.is_holder]
        if len(holders) != 1:
            raise CannotRun(f"{len(holders)} entries say that they hold the role")
        return holders[0]

    @property
    def others(self) -> list[Entry]:
        """Return the running entries that do not hold the role."""
        return [
            e for e in self.entries if not e.is_holder and e.process.returncode is None
        ]

    async def wait_for(
        self,
        condition: Callable[[], Awaitable[bool]],
        what: str,
        within_s: float = READY_TIMEOUT_S,
    ) -> None:
        """Wait until a condition holds; the case cannot run if it does not."""
        until_s = time.monotonic() + within_s
        while not await condition():
            if time.monotonic() > until_s:
                raise CannotRun(f"not within {within_s:.0f} s: {what}")
            await asyncio.sleep(0.05)

    async def ask(
        self,
        entry: Entry,
        method: str,
        path: str,
        body: Any = None,
        timeout_s: float = 3.0,
    ) -> tuple[int | None, dict[str, Any]]:
        """Make one call as a caller, and record it with its answer."""
        self.record("caller sends", call=method, path=path, entry=entry.name)
        status, fields = await call(
            entry.front, method, path, body, CALLER_HOST, timeout_s
        )
        state = fields.get("state", "-")
        self.record("caller gets", call=method, path=path, status=status, state=state)
        return status, fields

    async def crash(self, minion: Minion, down_s: float) -> None:
        """Crash a minion; a new one follows on its machine."""
        self.spawn(self.machines.crash(minion, down_s))

    async def close(self) -> None:
        """End all processes that were started, and the stand-ins."""
        for entry in self.entries:
            if entry.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    entry.process.send_signal(signal.SIGCONT)
                    entry.process.kill()
                await entry.process.wait()
        for task in self._tasks:
            task.cancel()


def _random_loopback_ip() -> str:
    """Return a loopback address of which hardly anybody else uses the ports.

    Entries share ports: two cases side by side must not listen on the same one.
    """
    numbers = [random.SystemRandom().randrange(2, 250) for _ in range(3)]
    return ".".join(map(str, [127, *numbers]))


def _free_address(ip: str) -> str:
    """Return an address whose port the system gives to nobody by itself."""
    while True:
        port = random.SystemRandom().randrange(*PORTS)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((ip, port))
            return f"{ip}:{port}"


def run_case(
    case_folder: Path,
    routes: list[Route],
    minions: int,
    entries: int,
    play: Callable[[Fleet, bool], Awaitable[list[str]]],
) -> None:
    """Run a case and exit; ``play`` returns what broke the rule.

    Its second argument is false if ``TROUBLE=0`` asks for no disruption.
    """
    sys.exit(asyncio.run(_run(case_folder, routes, minions, entries, play)))


async def _run(
    case_folder: Path,
    routes: list[Route],
    minions: int,
    entries: int,
    play: Callable[[Fleet, bool], Awaitable[list[str]]],
) -> int:
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    stop = asyncio.current_task().cancel
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop)
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder), case_folder / "record.txt", routes)
        try:
            async with asyncio.timeout(MAX_CASE_S):
                await fleet.start(minions, entries)
                broken = await play(fleet, has_trouble)
        except (Exception, asyncio.CancelledError) as error:
            traceback.print_exc()
            fleet.record("the case could not run", cause=repr(error))
            print(f"the case could not run: {error!r}")
            return 2
        finally:
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                for entry in fleet.entries:
                    Path(keep, entry.log.name).write_text(entry.log.read_text())
            for line in locals().get("broken", []):
                fleet.record("RULE BROKEN", what=line)
            await fleet.close()
    for line in broken:
        print(line)
    print("broken" if broken else "held")
    return 1 if broken else 0
