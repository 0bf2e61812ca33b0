"""Stand-ins for the users' platform, minions and consumers, and the entries under test.

Everything but the entries runs in one asyncio process and keeps its state in memory.
The entries are separate processes, started with the command of the deploy file. The
stand-ins follow ``PROTOCOL.md`` and use only the standard library.
"""

import asyncio
import base64
import contextlib
import json
import os
import shlex
import signal
import socket
import sys
import time
import tomllib
import zlib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qsl, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"

# The bounds of the site polsterwerk-quotes, as SYSTEM.md states them.
BOUNDS = {
    "contact_ms": 3000,
    "ack_ms": 4000,
    "drain_ms": 2000,
    "grace_s": 6,
    "config_apply_ms": 2000,
    "hold_max_ms": 6000,
    "kill_grace_ms": 200,
    "gang_wait_ms": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "checkpoint_interval_s": 2,
    "restore_ms": 600,
    "notice_ms": 4500,
    "migrate_s": 1.5,
    "maintenance_s": 2,
    "lease_ms": 3000,
}
HEARTBEAT_S = 1.5
TRANSACTION_S = 0.004
STEP_S = 0.01  # how often minions look at their runs
MAX_WAIT_MS = 2000
KEEP_ALIVE_S = 5.0  # of an idle connection to a minion

SETTINGS = """
node = "{name}"
role = "entry"
machine_class = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "{zone}"
region = "steiermark"
bootstrap = {bootstrap}
discovery = "platform"
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
{bounds}
require_fence = false
[platform]
address = "{store}"
form = "table"
writes_per_s = 600
reads_per_s = 2000
txn_ms = 4.0
row_bytes = 65536
cross_shard = true
retention_s = 20
[cloud]
address = "{cloud}"
rate_per_s = 64.0
duty_per_s = 64.0
"""


def now_ms() -> float:
    """Return the time of the platform's steady clock."""
    return time.monotonic() * 1000.0


def free_address() -> str:
    """Return a loopback address with a port that is free now, a new one each time.

    The port is below those that the system gives to outgoing connections, so that it
    stays free while a process is down. Cases that run side by side begin at different
    ports.
    """
    for port in _ports:
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((HOST, port))
            return f"{HOST}:{port}"
    raise OSError("no port is free")


_ports = iter(range(20_000 + os.getpid() % 120 * 100, 32_000))


class Record:
    """The file ``record.txt`` of a case: what was sent, answered and run."""

    def __init__(self, path: Path):
        self._file = path.open("w", encoding="utf-8")
        self._began_ms = now_ms()

    def add(self, kind: str, **fields: Any) -> None:
        """Write one line with the time since the start in seconds."""
        told = " ".join(f"{name}={value}" for name, value in fields.items())
        at_s = (now_ms() - self._began_ms) / 1000.0
        self._file.write(f"{at_s:8.3f} {kind} {told}\n")
        self._file.flush()


# HTTP.

Handler = Callable[[str, str, dict[str, str], dict[str, Any]], Awaitable[Any]]


class Server:
    """An HTTP/1.1 server; a handler returns a status and a body, or ``None``.

    For ``None`` nothing is answered and the connection stays open. A connection that
    waits for a request for ``idle_s`` is closed.
    """

    def __init__(self, handler: Handler, idle_s: float | None = None):
        self._handler = handler
        self._idle_s = idle_s
        self._life = 0
        self._is_dark = False
        self.address = free_address()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen at the address."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def stop(self) -> None:
        """Stop to listen, and reset all connections, as a killed process does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    def lose_power(self) -> None:
        """Go silent: all connections hang, new ones too, until ``regain_power``."""
        self._is_dark = True
        self._life += 1
        self._writers.clear()

    def regain_power(self) -> None:
        """Serve again; a connection from before is reset once its peer sends on it."""
        self._is_dark = False
        self._life += 1

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        writer.get_extra_info("socket").setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
        )
        life = self._life
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError):
            while line := await asyncio.wait_for(reader.readline(), self._idle_s):
                if self._is_dark:
                    await reader.read()
                    return
                if life != self._life:
                    writer.transport.abort()
                    return
                method, target, _ = line.decode("latin-1").split()
                headers = await _read_headers(reader)
                length = int(headers.get("content-length", 0))
                content = await reader.readexactly(length)
                url = urlsplit(target)
                body = json.loads(content) if content else {}
                body |= dict(parse_qsl(url.query, keep_blank_values=True))
                answer = await self._handler(method, url.path, headers, body)
                if answer is None or life != self._life:
                    await reader.read()
                    break
                status, fields = answer
                data = json.dumps(fields).encode()
                head = f"HTTP/1.1 {status} S\r\nContent-Length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
        self._writers.discard(writer)
        writer.close()


async def _read_headers(reader: asyncio.StreamReader) -> dict[str, str]:
    headers: dict[str, str] = {}
    while (line := (await reader.readline()).decode("latin-1").strip()) != "":
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return headers


async def call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: Any = None,
    timeout_s: float = 3.0,
) -> tuple[int, Any]:
    """Make one HTTP call on a new connection; status 0 stands for no answer."""
    host, _, port = address.rpartition(":")
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            data = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(data)}"]
            lines += [f"{k}: {v}" for k, v in (headers or {}).items()]
            writer.write("\r\n".join([*lines, "", ""]).encode() + data)
            status = int((await reader.readline()).split()[1])
            answer = await _read_headers(reader)
            content = await reader.readexactly(int(answer.get("content-length", 0)))
            return status, json.loads(content) if content else {}
    except (OSError, asyncio.IncompleteReadError, IndexError, ValueError):
        return 0, {}
    finally:
        if writer is not None:
            writer.close()


# The platform's store.


class Store:
    """The platform's table store; transactions are linearizable."""

    def __init__(self):
        self.rows: dict[tuple[str, str, str], tuple[int, bytes]] = {}
        self._changed: dict[tuple[str, str, str], int] = {}
        self.version = 1000
        self._event = asyncio.Event()
        self.server = Server(self._handle)

    def write(self, table: str, key: str, fields: dict[str, Any] | None) -> None:
        """Write or remove a row as the operator and the minions do."""
        value = None if fields is None else json.dumps(fields).encode()
        self._apply([((table, "", key), value)])

    def _apply(self, writes: list[tuple[tuple[str, str, str], bytes | None]]) -> None:
        self.version += 1
        for key, value in writes:
            self._changed[key] = self.version
            if value is None:
                self.rows.pop(key, None)
            else:
                self.rows[key] = (self.version, value)
        event, self._event = self._event, asyncio.Event()
        event.set()

    async def _handle(
        self, method: str, path: str, headers: dict[str, str], body: dict[str, Any]
    ) -> Any:
        await asyncio.sleep(TRANSACTION_S)
        match path.rpartition("/")[2]:
            case "rows-tx":
                return self._transact(body)
            case "rows-get":
                return self._get(body)
            case "rows-parts":
                return self._list_parts(body)
            case "rows-feed":
                return await self._feed(body)
        return 404, {}

    def _answer(self, **fields: Any) -> tuple[int, Any]:
        return 200, {**fields, "row_version": self.version, "now_ms": int(now_ms())}

    def _transact(self, body: dict[str, Any]) -> tuple[int, Any]:
        checks = [(_key(e), e["row_version"]) for e in body.get("expected_rev", [])]
        writes = [(_key(e), base64.b64decode(e["value"])) for e in body.get("put", [])]
        writes += [(_key(e), None) for e in body.get("remove", [])]
        parts = {key[1] for key, _ in [*checks, *writes]}
        if len(checks) + len(writes) > 100 or (
            len(parts) > 1 and not body.get("cross_shard")
        ):
            return 400, {}
        if any(key[0] in ("op", "servers") for key, _ in writes):
            return 403, {}
        if any(self.rows.get(key, (0, b""))[0] != v for key, v in checks):
            rows = [self._row(key) for key, _ in checks if key in self.rows]
            return 412, {"rows": rows, "row_version": self.version}
        self._apply(writes)
        return self._answer()

    def _row(self, key: tuple[str, str, str]) -> dict[str, Any]:
        fields = {"table": key[0], "part": key[1], "key": key[2]}
        if key not in self.rows:
            return fields | {"deleted": True, "row_version": self._changed[key]}
        version, value = self.rows[key]
        return fields | {
            "value": base64.b64encode(value).decode(),
            "row_version": version,
        }

    def _get(self, body: dict[str, Any]) -> tuple[int, Any]:
        first, end = body.get("from", ""), body.get("to", "")
        limit = min(500, int(body.get("limit", 500)))
        place = (body["table"], body.get("part", ""))
        keys = sorted(
            key
            for key in self.rows
            if key[:2] == place and key[2] >= first and (not end or key[2] < end)
        )
        rows = [self._row(key) for key in keys[:limit]]
        return self._answer(rows=rows, has_more=len(keys) > limit)

    def _list_parts(self, body: dict[str, Any]) -> tuple[int, Any]:
        parts = sorted({key[1] for key in self.rows if key[0] == body["table"]})
        after = body.get("after")
        parts = [part for part in parts if after is None or part > after]
        return self._answer(parts=parts[:1000])

    async def _feed(self, body: dict[str, Any]) -> tuple[int, Any]:
        after = int(body["after"])
        until_ms = now_ms() + int(body.get("wait_ms", 0))
        while True:
            changed = sorted(
                (version, key)
                for key, version in self._changed.items()
                if key[0] == body["table"] and version > after
            )
            left_s = (until_ms - now_ms()) / 1000.0
            if changed or left_s <= 0:
                return self._answer(rows=[self._row(key) for _, key in changed])
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._event.wait(), left_s)


def _key(entry: dict[str, Any]) -> tuple[str, str, str]:
    return entry["table"], entry.get("part", ""), entry["key"]


# Minions.


class Run:
    """A subtask at work on a minion.

    ``work`` is the content of the job's spec: ``ms`` is how long the subtask works,
    ``gang`` the number of members of its gang, and ``saves`` whether it checkpoints.
    """

    def __init__(self, task: str, number: int, work: dict[str, Any], checkpoint: str):
        self.task = task
        self.number = number
        self.work = work
        self.given = checkpoint
        self.told = checkpoint  # the value in the minion's last list that was answered
        self.started_ms = now_ms()
        self.working_ms: float | None = None if work.get("gang") else now_ms()

    @property
    def restored_ms(self) -> int:
        """Return the progress that the checkpoint of the start stands for."""
        return int(self.given[:8], 16) if self.given else 0

    @property
    def progress_ms(self) -> float:
        """Return how much work is done."""
        if self.working_ms is None:
            return self.restored_ms
        spent_ms = now_ms() - self.working_ms
        if self.given:
            spent_ms = max(0.0, spent_ms - BOUNDS["restore_ms"])
        return self.restored_ms + spent_ms

    @property
    def saved(self) -> str:
        """Return the newest checkpoint, which a gang's members have in common."""
        interval_ms = BOUNDS["checkpoint_interval_s"] * 1000
        if not self.work.get("saves") or self.working_ms is None:
            return self.given
        done_ms = int(self.progress_ms // interval_ms) * interval_ms
        if done_ms <= self.restored_ms:
            return self.given
        return checkpoint_value(self.task, done_ms)


def checkpoint_value(task: str, progress_ms: int) -> str:
    """Return the checkpoint of a step's progress."""
    step = task.rpartition(".")[0]
    return f"{progress_ms:08x}{zlib.crc32(step.encode()):08x}"


class Minion:
    """One machine with its minion, which guards its capacity.

    ``applied_late`` is called with the name and body of each order. If it returns a
    number of seconds, the order gets no answer and is carried out after that time.
    """

    def __init__(
        self,
        world: "World",
        number: int,
        service: str,
        labels: tuple[str, str],
        cpu: int,
    ):
        self.world = world
        self.name = f"i-{number:04x}"
        self.machine = f"m-{number:04x}"
        self.service = service
        self.labels = labels
        self.cpu = cpu
        self.server = Server(self._handle, KEEP_ALIVE_S)
        self.is_up = False
        self._was_dark = False
        self.held = asyncio.Event()
        self.applied_late: Callable[[str, dict[str, Any]], float | None] | None = None

    async def boot(self, first_report_s: float = 0.0) -> None:
        """Start a new life under the same id; it knows nothing of the one before.

        Its first status report comes ``first_report_s`` after it listens.
        """
        self.born = int(time.time() * 1000)
        self.booted_ms = now_ms()
        self.fence = 0
        self.seq = 0
        self.lease_ms = 0.0
        self.runs: dict[str, Run] = {}
        self.ended: dict[str, int] = {}
        self.ends: list[list[Any]] = []
        self.end_count = 0
        self.is_up = True
        self.change = asyncio.Event()
        if self._was_dark:
            self.server.regain_power()
        else:
            await self.server.start()
        self._was_dark = False
        self.world.record.add("minion-up", minion=self.name, born=self.born)
        if first_report_s:
            self.beat_ms = now_ms() + first_report_s * 1000.0 - HEARTBEAT_S * 1000.0
        else:
            self.beat()

    async def crash(self) -> None:
        """End the process at once, with everything that runs on it."""
        self.world.record.add("minion-crash", minion=self.name, runs=sorted(self.runs))
        self.is_up = False
        for run in list(self.runs.values()):
            self.world.on_run_over(self, run, "crashed")
        self.runs = {}
        await self.server.stop()

    async def go_dark(self) -> None:
        """Lose power: everything that runs ends, and nothing is answered any more."""
        self.world.record.add("minion-dark", minion=self.name, runs=sorted(self.runs))
        self.is_up, self._was_dark = False, True
        for run in list(self.runs.values()):
            self.world.on_run_over(self, run, "crashed")
        self.runs = {}
        self.server.lose_power()

    @property
    def clock_ms(self) -> float:
        """Return the time of the minion's own steady clock."""
        return now_ms() - self.booted_ms

    def beat(self) -> None:
        """Write the status report into the store."""
        self.seq += 1
        self.beat_ms = now_ms()
        fields = {
            "service": self.service,
            "address": self.server.address,
            "zone": "graz-a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": self.seq,
            "capacity": {"cpu": self.cpu, "mem_mb": 32768, "gpus": 0},
            "labels": list(self.labels),
            "machine": self.machine,
            "born": self.born,
            "clock_ms": int(self.clock_ms),
        }
        self.world.store.write("servers", self.name, fields)

    def step(self) -> None:
        """End the runs that are done, and all of them when the lease expires."""
        if not self.is_up:
            return
        if self.runs and self.clock_ms >= self.lease_ms:
            for run in list(self.runs.values()):
                self.end(run, "lapsed")
        for run in list(self.runs.values()):
            gang = run.work.get("gang")
            waited_ms = now_ms() - run.started_ms
            if run.working_ms is not None and run.progress_ms >= run.work["ms"]:
                self.end(run, "failed" if run.work.get("fails") else "done")
            elif (
                gang and run.working_ms is None and waited_ms >= BOUNDS["gang_wait_ms"]
            ):
                self.end(run, "alone")

    def end(self, run: Run, how: str) -> None:
        """List the end of a run."""
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        self.ended[run.task] = max(self.ended.get(run.task, 0), run.number)
        self.end_count += 1
        saved = "" if how == "done" else run.saved
        self.ends.append([self.end_count, run.task, run.number, how, saved])
        self.world.record.add(
            "end", minion=self.name, task=run.task, run=run.number, how=how, saved=saved
        )
        self._notify()
        self.world.on_run_over(self, run, how)

    async def next_hold(self) -> None:
        """Wait until the holder of the scheduler's role asks for the list of runs."""
        self.held.clear()
        await self.held.wait()

    def _notify(self) -> None:
        event, self.change = self.change, asyncio.Event()
        event.set()

    async def _handle(
        self, method: str, path: str, headers: dict[str, str], body: dict[str, Any]
    ) -> Any:
        if headers.get("x-expect-instance", self.name) != self.name:
            return 421, {}
        name = path.rpartition("/")[2]
        if name == "hold":
            return await self._hold(body)
        if name not in ("run-start", "run-stop", "pace"):
            return 404, {}
        late_s = self.applied_late(name, body) if self.applied_late else None
        if late_s is not None:
            self.world.record.add("unanswered", minion=self.name, call=name, **body)
            self.world.spawn(self._carry_out_late(name, body, late_s))
            return None
        return self._carry_out(name, body, is_late=False)

    async def _carry_out_late(
        self, name: str, body: dict[str, Any], late_s: float
    ) -> None:
        born = self.born
        await asyncio.sleep(late_s)
        if self.is_up and self.born == born:
            self._carry_out(name, body, is_late=True)

    def _refuse(self, reason: str) -> tuple[int, Any]:
        return 409, {"clock_ms": int(self.clock_ms), "reason": reason}

    def _extend(self, until_ms: float) -> None:
        limit_ms = self.clock_ms + BOUNDS["hold_max_ms"]
        self.lease_ms = max(self.lease_ms, min(until_ms, limit_ms))

    def _carry_out(self, name: str, body: dict[str, Any], is_late: bool) -> Any:
        answer = self._execute(name, body, is_late)
        self.world.record.add(
            "order",
            minion=self.name,
            call=name,
            task=body["task"],
            run=body["run"],
            fence=body["fence_token"],
            checkpoint=body.get("checkpoint", ""),
            status=answer[0],
            reason=answer[1].get("reason", ""),
            late=is_late,
        )
        return answer

    def _execute(self, name: str, body: dict[str, Any], is_late: bool) -> Any:
        task, number = body["task"], body["run"]
        if body.get("fence_token", 0) < self.fence:
            return self._refuse("fence")
        self.fence = body.get("fence_token", 0)
        run = self.runs.get(task)
        if name == "run-stop":
            if run is not None and run.number <= number:
                self.end(run, "stopped")
            self.ended[task] = max(self.ended.get(task, 0), number)
        elif name == "run-start":
            if body["until_ms"] <= self.clock_ms:
                return self._refuse("late")
            self._extend(body["until_ms"])
            if run is not None and run.number == number:
                return 200, {"clock_ms": int(self.clock_ms)}
            if run is not None or number <= self.ended.get(task, 0):
                return self._refuse("old")
            cpu = self.world.cpu_of(task)
            if sum(self.world.cpu_of(t) for t in self.runs) + cpu > self.cpu:
                return self._refuse("room")
            started = Run(
                task, number, json.loads(body["spec"]), body.get("checkpoint", "")
            )
            self.runs[task] = started
            self._notify()
            self.world.on_start(self, started, is_late)
        return 200, {"clock_ms": int(self.clock_ms)}

    async def _hold(self, body: dict[str, Any]) -> Any:
        if body.get("fence_token", 0) < self.fence:
            return self._refuse("fence")
        self.fence = body.get("fence_token", 0)
        if "until_ms" in body:
            self._extend(body["until_ms"])
        self.held.set()
        self.ends = [end for end in self.ends if end[0] > body.get("last_seen", 0)]
        until_ms = now_ms() + min(MAX_WAIT_MS, body.get("wait_ms", 0))
        born = self.born
        while not self.ends and (left_ms := until_ms - now_ms()) > 0:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.change.wait(), left_ms / 1000.0)
        if not self.is_up or self.born != born:
            return None
        running = []
        for run in self.runs.values():
            run.told = run.saved
            percent = min(99, int(100 * run.progress_ms / run.work["ms"]))
            running.append([run.task, run.number, run.told, percent, 0])
        return 200, {
            "clock_ms": int(self.clock_ms),
            "born": self.born,
            "running": running,
            "finished": [list(end) for end in self.ends[:500]],
        }


# The entries under test.


class Entry:
    """A process of the project, started with the command of the deploy file."""

    def __init__(self, name: str, world: "World"):
        self.name = name
        self._world = world
        self.front, self.ready = free_address(), free_address()
        self.path = world.folder / f"{name}.toml"
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, is_first: bool = False) -> None:
        """Start the process, as the platform does."""
        bounds = "\n".join(f"{name} = {value}" for name, value in BOUNDS.items())
        self.path.write_text(
            SETTINGS.format(
                name=self.name,
                zone="graz-a",
                bootstrap=str(is_first).lower(),
                front=self.front,
                ready=self.ready,
                bounds=bounds,
                store=self._world.store.server.address,
                cloud=self._world.cloud.address,
            )
        )
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["entry"]
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment |= role.get("env", {})
        # Several entries share one address here, so each gets a port of its own.
        port = free_address().rpartition(":")[2]
        environment["CORIANDERPITCH_METRICS_PORT"] = port
        environment["CORIANDERPITCH_SETTINGS"] = str(self.path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        log = (self._world.folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            *shlex.split(role["run"]),
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )
        log.close()
        self._world.record.add("entry-start", entry=self.name)

    async def end(self, number: signal.Signals) -> None:
        """Send a signal to the process and wait for its end, at most ``grace_s``."""
        if self.process is None or self.process.returncode is not None:
            return
        self._world.record.add("entry-signal", entry=self.name, signal=number.name)
        self.process.send_signal(number)
        try:
            await asyncio.wait_for(self.process.wait(), BOUNDS["grace_s"])
        except TimeoutError:
            self.process.kill()
            await self.process.wait()

    @property
    def memory_mb(self) -> float:
        """Return the memory that the process occupies, 0 if it does not run."""
        if self.process is None or self.process.returncode is not None:
            return 0.0
        try:
            pages = Path(f"/proc/{self.process.pid}/statm").read_text().split()[1]
        except (OSError, IndexError):
            return 0.0
        return int(pages) * os.sysconf("SC_PAGE_SIZE") / 2**20

    async def is_ready(self) -> bool:
        """Return whether the entry reports itself ready."""
        status, _ = await call(
            self.ready, "GET", "/corianderpitch/ready", timeout_s=0.5
        )
        return status == 200


class World:
    """The whole deployment: store, machine service, minions, entries, consumers."""

    def __init__(self, record: Record, folder: Path):
        self.record = record
        self.folder = folder
        self.store = Store()
        self.cloud = Server(self._serve_machines)
        self.minions: list[Minion] = []
        self.entries: list[Entry] = []
        self.jobs: dict[str, dict[str, Any]] = {}
        self.starts: list[tuple[float, str, str, bool]] = []
        self.overs: list[tuple[float, str, str]] = []
        self.memory_kills = 0
        self._tasks: set[asyncio.Task] = set()

    def spawn(self, work: Awaitable[None]) -> None:
        """Run work in the background until the end."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def start(self, entries: int = 3) -> None:
        """Start the platform, the minions and the entries, and wait until ready."""
        await self.store.server.start()
        await self.cloud.start()
        self._write_config()
        for minion in self.minions:
            await minion.boot()
        self.spawn(self._run_minions())
        for number in range(1, entries + 1):
            self.entries.append(Entry(f"edge-{number}", self))
        for entry in self.entries:
            await entry.start(is_first=True)
        await self.wait_for("all entries ready", self._all_ready, 20.0)
        await self.wait_for("a holder", self._has_holder, 20.0)
        await asyncio.sleep(3.0)  # the holder reads the minions' reports

    def _write_config(self) -> None:
        services = sorted({minion.service for minion in self.minions})
        routes = [
            {
                "name": f"queue-{service}",
                "host": "pule25.example",
                "prefix": f"/{service}/",
                "service": service,
                "priority": 0,
                "max_attempts": 4,
                "stretch": 1.6,
                "target_duration_ms": 600,
            }
            for service in services
        ]
        self.config = {
            "version": 7,
            "routes": routes,
            "services": [
                {"name": name, "rejects_overload": True, "standby": False}
                for name in services
            ],
            "limits": {"header_bytes": 16384, "body_bytes": 262144},
        }
        self.store.write("op", "config", self.config)

    async def _all_ready(self) -> bool:
        return all([await entry.is_ready() for entry in self.entries])

    async def _has_holder(self) -> bool:
        return self.holder() is not None

    def holder(self) -> Entry | None:
        """Return the entry that wrote the newest term of the scheduler's role."""
        for key, (_, value) in self.store.rows.items():
            if key[0] == "role" and key[2].endswith("epoch"):
                named = zlib.decompress(value)
                return next((e for e in self.entries if e.name.encode() in named), None)
        return None

    async def wait_for(
        self, what: str, check: Callable[[], Awaitable[bool]], within_s: float
    ) -> bool:
        """Wait until a check holds; raise if it does not in time."""
        until_ms = now_ms() + within_s * 1000.0
        while now_ms() < until_ms:
            if await check():
                return True
            await asyncio.sleep(0.05)
        raise TimeoutError(what)

    async def _run_minions(self) -> None:
        while True:
            await asyncio.sleep(STEP_S)
            self._join_gangs()
            for minion in self.minions:
                minion.step()
                if minion.is_up and now_ms() - minion.beat_ms >= HEARTBEAT_S * 1000.0:
                    minion.beat()
                is_silent = now_ms() - minion.beat_ms > 3 * HEARTBEAT_S * 1000.0
                listed = ("servers", "", minion.name) in self.store.rows
                if not minion.is_up and is_silent and listed:
                    self.store.write("servers", minion.name, None)

    def _join_gangs(self) -> None:
        """Let the members of a gang work once all of one run are there.

        All must have been started with the same checkpoint.
        """
        waiting: dict[tuple[str, int, str], list[Run]] = {}
        for minion in self.minions:
            for run in minion.runs.values() if minion.is_up else ():
                if run.work.get("gang") and run.working_ms is None:
                    key = (run.task.rpartition(".")[0], run.number, run.given)
                    waiting.setdefault(key, []).append(run)
        for (step, number, checkpoint), members in waiting.items():
            if len(members) == members[0].work["gang"]:
                self.record.add(
                    "gang-works", step=step, run=number, checkpoint=checkpoint
                )
                for run in members:
                    run.working_ms = now_ms()

    def on_start(self, minion: Minion, run: Run, is_late: bool) -> None:
        """Note that a minion has started a subtask."""
        self.starts.append((now_ms(), run.task, minion.name, is_late))

    def on_run_over(self, minion: Minion, run: Run, how: str) -> None:
        """Note the end of a run, and break the other members of its gang."""
        self.overs.append((now_ms(), run.task, how))
        if not run.work.get("gang") or run.working_ms is None or how == "broken":
            return
        for other in self.minions:
            for member in list(other.runs.values()) if other.is_up else ():
                is_same_step = (
                    member.task.rpartition(".")[0] == run.task.rpartition(".")[0]
                )
                if is_same_step and member.number == run.number:
                    other.end(member, "done" if how == "done" else "broken")

    async def limit_memory(self, entry: Entry, limit_mb: float) -> None:
        """Kill an entry that exceeds its memory, and start it again, as the platform.

        It is started after a short delay.
        """
        while True:
            await asyncio.sleep(0.02)
            used_mb = entry.memory_mb
            if used_mb > limit_mb:
                self.record.add(
                    "memory-exceeded", entry=entry.name, used_mb=round(used_mb)
                )
                self.memory_kills += 1
                await entry.end(signal.SIGKILL)
                await asyncio.sleep(1.0)
                await entry.start()

    def cpu_of(self, task: str) -> int:
        """Return the thousandths of a core that a subtask requests."""
        job, _, step, _ = task.split(".")
        return self.jobs[job]["steps"][int(step)].get("cpu", 0)

    async def _serve_machines(
        self, method: str, path: str, headers: dict[str, str], body: dict[str, Any]
    ) -> Any:
        if path.rpartition("/")[2] != "machines":
            self.record.add("machine-order", path=path, **body)
            return 409, {"reason": "busy"}
        rows = [
            {
                "machine": minion.machine,
                "pool": minion.service,
                "state": "up" if minion.is_up else "down",
                "zone": "graz-a",
                "labels": list(minion.labels),
                "capacity": {"cpu": minion.cpu, "mem_mb": 32768, "gpus": 0},
                "id": minion.name if minion.is_up else "",
            }
            for minion in self.minions
        ]
        return 200, {"machines": rows, "next_token": ""}

    # Consumers.

    async def call_entry(
        self, entry: Entry, method: str, path: str, body: Any = None
    ) -> tuple[int, Any]:
        """Make a consumer's call and record it with its answer."""
        headers = {
            "Host": "pule25.example",
            "Content-Type": "application/json",
            "X-Deadline-Ms": "3000",
        }
        status, answer = await call(entry.front, method, path, headers, body)
        self.record.add(
            "call",
            entry=entry.name,
            method=method,
            path=path,
            status=status,
            answer=answer,
        )
        return status, answer

    async def submit(
        self, entry: Entry, job: str, service: str, body: dict[str, Any]
    ) -> float:
        """Hand a job in until it is accepted; return the time of the ack."""
        self.jobs[job] = body
        for _ in range(5):
            status, _ = await self.call_entry(entry, "POST", f"/{service}/{job}", body)
            if status == 200:
                return now_ms()
            await asyncio.sleep(0.3)
        raise TimeoutError("a job was not accepted")

    async def state(self, job: str, service: str) -> str:
        """Return the state of a job as any entry that runs tells it."""
        for entry in self.entries:
            if entry.process is None or entry.process.returncode is not None:
                continue
            status, answer = await self.call_entry(entry, "GET", f"/{service}/{job}")
            if status == 200:
                return answer["state"]
            if status == 410:
                return "unknown"
        return "no answer"

    async def close(self) -> None:
        """End all processes that were started."""
        for entry in self.entries:
            if entry.process is not None and entry.process.returncode is None:
                entry.process.kill()
                await entry.process.wait()
        for server in (
            self.store.server,
            self.cloud,
            *(m.server for m in self.minions),
        ):
            await server.stop()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.sleep(0.1)


def subtasks_running(world: World, job: str) -> list[str]:
    """Return the subtasks of a job that run now."""
    return sorted(
        task
        for minion in world.minions
        if minion.is_up
        for task in minion.runs
        if task.startswith(job + ".")
    )


def minion_of(world: World, task: str) -> Minion | None:
    """Return the minion on which a subtask runs."""
    for minion in world.minions:
        if minion.is_up and task in minion.runs:
            return minion
    return None


def play(case: Callable[[World, bool], Awaitable[bool]], folder: Path) -> None:
    """Play a case and exit: 1 if the rule was broken, 0 if it held, 2 if it failed.

    ``case`` returns whether the rule held. Its second argument tells whether the
    disruption is to take place, which ``TROUBLE=0`` in the environment prevents.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record.add("begin", trouble=has_trouble)
    temporary = Path(os.environ["CASE_TMP"])
    sys.exit(asyncio.run(_play(case, record, temporary, has_trouble)))


async def _play(
    case: Callable[[World, bool], Awaitable[bool]],
    record: Record,
    temporary: Path,
    has_trouble: bool,
) -> int:
    world = World(record, temporary)
    playing = asyncio.current_task()
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, playing.cancel)
    try:
        async with asyncio.timeout(110.0):
            is_kept = await case(world, has_trouble)
    except (Exception, asyncio.CancelledError) as error:  # The case could not run.
        record.add("could-not-run", error=repr(error))
        print(f"could not run: {error!r}")
        return 2
    finally:
        await world.close()
    record.add("verdict", rule="held" if is_kept else "broken")
    print("the rule held" if is_kept else "the rule was broken")
    return 0 if is_kept else 1
