"""Stand-in of the users' platform: its store, workers and machines, over HTTP.

It speaks the pages of the platform. All parts run in one process, each on its
own port, and keep everything in memory.
"""

import base64
import json
import sys
import traceback
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs

import eventlet
from eventlet import wsgi
from eventlet.event import Event
from returns.result import Failure, Success

from corianderpitch.adapters.memorystore import MemoryRowStore
from corianderpitch.clock import SystemClock
from corianderpitch.domain.scheduling.orders import OrderResult, StartRun, StopRun
from corianderpitch.domain.scheduling.workers import EndKind
from corianderpitch.domain.scheduling.workloads import TaskRef
from corianderpitch.errors import HistoryLost
from corianderpitch.ids import JobId, WorkerId
from corianderpitch.ports import Check, PartitionedKey, Row, Write
from corianderpitch_standins.simulatedworkers import RunLedger, SimulatedWorker

HOST = "127.0.0.1"
STEP_S = 0.01
BEAT_S = 0.5
RUN_MS = 150.0

_ENDS = {
    EndKind.DONE: "done",
    EndKind.FAILED: "failed",
    EndKind.STOPPED: "stopped",
    EndKind.LAPSED: "lapsed",
}
_REASONS = {
    OrderResult.SUPERSEDED: "fence",
    OrderResult.OLD_RUN: "old",
    OrderResult.TOO_LATE: "late",
}


@dataclass
class Reply:
    """An HTTP answer."""

    status: int
    body: dict[str, Any]


class UserPlatform:
    """Store, workers and machines with their ports."""

    def __init__(self, config: dict[str, Any], workers: int):
        self.clock = SystemClock()
        self.rows = MemoryRowStore(self.clock)
        self.ledger = RunLedger()
        self.problems: list[str] = []
        self.is_store_away = False
        self.store_address = self._serve(self._serve_store)
        self.machines_address = self._serve(self._serve_machines)
        self.control_address = self._serve(self._serve_control)
        self.workers: dict[str, SimulatedWorker] = {}
        self.addresses: dict[str, str] = {}
        self._changed: dict[str, Event] = {}
        self.maintained: set[str] = set()
        self._service = config["services"][0]["name"]
        for number in range(workers):
            self._add_worker(f"i-{number}")
        self.write("op", "config", config)
        eventlet.spawn(self._pass_time)
        eventlet.spawn(self._beat)

    def _serve(self, handler) -> str:
        listener = eventlet.listen((HOST, 0))

        def app(environ, start):
            length = int(environ.get("CONTENT_LENGTH") or 0)
            body = json.loads(environ["wsgi.input"].read(length) or b"{}")
            query = {
                k: v[0] for k, v in parse_qs(environ.get("QUERY_STRING", "")).items()
            }
            name = environ["PATH_INFO"].rpartition("/")[2]
            try:
                reply = handler(name, body | query)
            except Exception as error:  # told to the tests
                traceback.print_exc()
                self.problems.append(str(error))
                reply = Reply(200, {"clock_ms": 0})
            content = json.dumps(reply.body).encode()
            headers = [("Content-Length", str(len(content)))]
            start(f"{reply.status} Status", headers)
            return [content]

        eventlet.spawn(wsgi.server, listener, app, log_output=False)
        return f"{HOST}:{listener.getsockname()[1]}"

    def write(self, table: str, name: str, fields: dict[str, Any]) -> None:
        """Write a row as operators or workers do."""
        key = PartitionedKey(table, "", name)
        self.rows.commit((), (Write(key, json.dumps(fields).encode()),))

    # The store.

    def _serve_store(self, name: str, body: dict[str, Any]) -> Reply:
        if self.is_store_away:
            return Reply(503, {})
        match name:
            case "rows-tx":
                return self._commit(body)
            case "rows-get":
                found = self.rows.read(
                    body["table"],
                    body.get("part", ""),
                    body.get("from", ""),
                    body.get("to", ""),
                ).unwrap()
                rows = [_row_fields(row) for row in found.rows]
                return self._reply({"rows": rows, "has_more": False}, found.version)
            case "rows-parts":
                parts = self.rows.list_partitions(body["table"]).unwrap()
                return self._reply({"parts": list(parts)}, 0)
            case "rows-feed":
                return self._follow(body)
        return Reply(404, {})

    def _commit(self, body: dict[str, Any]) -> Reply:
        checks = tuple(Check(_key(r), r["row_version"]) for r in body["expected_rev"])
        writes = [Write(_key(r), base64.b64decode(r["value"])) for r in body["put"]]
        writes += [Write(_key(r), None) for r in body["remove"]]
        keys = {entry.key for entry in (*checks, *writes)}
        if len(checks) + len(writes) > 100:
            return Reply(400, {})
        if len({key.part for key in keys}) > 1 and not body.get("cross_shard"):
            return Reply(400, {})
        match self.rows.commit(checks, tuple(writes)):
            case Success(version):
                return self._reply({}, version)
        return Reply(412, {"rows": []})

    def _follow(self, body: dict[str, Any]) -> Reply:
        found = self.rows.follow(
            body["table"], int(body["after"]), int(body["wait_ms"])
        )
        match found:
            case Failure(HistoryLost()):
                return Reply(410, {})
        changes = found.unwrap()
        rows = [_row_fields(row) for row in changes.rows]
        rows += [_names(key) | {"deleted": True} for key in changes.deleted]
        return self._reply({"rows": rows}, changes.version)

    def _reply(self, fields: dict[str, Any], version: int) -> Reply:
        now_ms = int(self.clock.now_ms())
        return Reply(200, fields | {"row_version": version, "now_ms": now_ms})

    # Workers.

    def _add_worker(self, name: str) -> None:
        worker = SimulatedWorker(name, self.ledger)
        worker.start_incarnation(self.clock.now_ms())
        self.workers[name] = worker
        self.addresses[name] = self._serve(
            lambda call, body: self._serve_worker(worker, call, body)
        )

    def _serve_worker(
        self, worker: SimulatedWorker, name: str, body: dict[str, Any]
    ) -> Reply:
        now_ms = self.clock.now_ms()
        worker.advance(now_ms)
        if name == "hold":
            return self._hold(worker, body)
        task = _task(body["task"])
        fence = body["fence_token"]
        if name == "run-start":
            order = StartRun(
                WorkerId(worker.name), task, body["run"], body["spec"], "", fence
            )
            result = worker.start(order, body["until_ms"], now_ms, RUN_MS, False)
        else:
            order = StopRun(WorkerId(worker.name), task, body["run"], fence)
            result = worker.stop(order, now_ms)
        clock = {"clock_ms": int(worker.clock_ms(now_ms))}
        if result is OrderResult.DONE:
            return Reply(200, clock)
        return Reply(409, clock | {"reason": _REASONS[result]})

    def _hold(self, worker: SimulatedWorker, body: dict[str, Any]) -> Reply:
        """Answer with both lists, when there is an end or the wait is over.

        Waiting looks at the ends, not at the whole report: hundreds of workers
        are waited for at a time.
        """
        until_ms = self.clock.now_ms() + body.get("wait_ms", 0)
        settled = body["last_seen"]
        while True:
            report = worker.report(
                body["fence_token"],
                body["last_seen"],
                body.get("until_ms"),
                self.clock.now_ms(),
            )
            if report is None:
                return Reply(409, {"reason": "fence", "clock_ms": 0})
            if report.ended or self.clock.now_ms() >= until_ms:
                break
            self._await_end(worker, settled, until_ms)
        running = [
            [_task_name(r.task), r.number, r.checkpoint, int(r.percent), 0]
            for r in report.running
        ]
        finished = [
            [e.sequence, _task_name(e.task), e.number, _ENDS[e.kind], e.checkpoint]
            for e in report.ended
        ]
        return Reply(
            200,
            {
                "clock_ms": int(report.clock_ms),
                "born": int(report.incarnation),
                "running": running,
                "finished": finished,
            },
        )

    def _await_end(
        self, worker: SimulatedWorker, settled: int, until_ms: float
    ) -> None:
        while self.clock.now_ms() < until_ms:
            changed = self._changed.setdefault(worker.name, Event())
            with eventlet.Timeout((until_ms - self.clock.now_ms()) / 1000.0, False):
                changed.wait()
            if any(end.sequence > settled for end in worker.ends):
                return

    def _pass_time(self) -> None:
        while True:
            eventlet.sleep(STEP_S)
            for worker in self.workers.values():
                if worker.is_up:
                    worker.advance(self.clock.now_ms())
                if worker.ends and worker.name in self._changed:
                    self._changed.pop(worker.name).send()

    def _beat(self) -> None:
        while True:
            for name, worker in self.workers.items():
                self.write("servers", name, self._entry(name, worker))
            eventlet.sleep(BEAT_S)

    def _entry(self, name: str, worker: SimulatedWorker) -> dict[str, Any]:
        return {
            "service": self._service,
            "address": self.addresses[name],
            "zone": "here",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "capacity": {"cpu": 4000, "mem_mb": 8000, "gpus": 0},
            "labels": ["a", "r1"],
            "machine": f"m-{name}",
            "born": int(worker.incarnation_id),
            "clock_ms": int(worker.clock_ms(self.clock.now_ms())),
            "seq": 1,
        }

    # Machines.

    def _serve_machines(self, name: str, body: dict[str, Any]) -> Reply:
        if name == "machines":
            machines = [
                {
                    "machine": f"m-{worker}",
                    "pool": self._service,
                    "state": "up",
                    "zone": "here",
                    "labels": ["a", "r1"],
                    "capacity": {"cpu": 4000, "mem_mb": 8000, "gpus": 0},
                    "id": worker,
                }
                for worker in self.workers
            ]
            return Reply(200, {"machines": machines, "next_token": None})
        worker = self.workers[body["machine"].removeprefix("m-")]
        if body["machine"] not in self.maintained:
            self.maintained.add(body["machine"])
            worker.crash()
            worker.start_incarnation(self.clock.now_ms())
        return Reply(200, {})

    # Tests.

    def _serve_control(self, name: str, body: dict[str, Any]) -> Reply:
        """Switch faults, write as operators do, and tell what was seen."""
        match name:
            case "store":
                self.is_store_away = body["away"]
            case "history":
                self.rows.truncate_history()
            case "crash":
                worker = self.workers[body["worker"]]
                worker.crash()
                worker.start_incarnation(self.clock.now_ms())
            case "write":
                self.write(body["table"], body["name"], body["fields"])
        done = sum(len(ends) for ends in self.ledger.done.values())
        running = sum(len(worker.runs) for worker in self.workers.values())
        status = self.rows.read("status", "").unwrap().rows
        return Reply(
            200,
            {
                "problems": self.problems,
                "done": done,
                "running": running,
                "maintained": sorted(self.maintained),
                "status": {r.key.name: json.loads(r.value) for r in status},
            },
        )


def main() -> None:
    """Serve until killed; the first line printed names the addresses."""
    config = json.loads(sys.argv[1])
    platform = UserPlatform(config, workers=int(sys.argv[2]))
    addresses = {
        "store": platform.store_address,
        "machines": platform.machines_address,
        "control": platform.control_address,
    }
    print(json.dumps(addresses), flush=True)
    while True:
        eventlet.sleep(1.0)


def _names(key: PartitionedKey) -> dict[str, str]:
    return {"table": key.table, "part": key.part, "key": key.name}


def _key(fields: dict[str, Any]) -> PartitionedKey:
    return PartitionedKey(fields["table"], fields.get("part", ""), fields["key"])


def _row_fields(row: Row) -> dict[str, Any]:
    value = base64.b64encode(row.value).decode()
    return _names(row.key) | {"value": value, "row_version": row.version}


def _task(name: str) -> TaskRef:
    job_id, occurrence, step, index = name.split(".")
    return TaskRef(JobId(job_id), int(occurrence), int(step), int(index))


def _task_name(task: TaskRef) -> str:
    return f"{task.job_id}.{task.occurrence}.{task.step}.{task.index}"


if __name__ == "__main__":
    main()
