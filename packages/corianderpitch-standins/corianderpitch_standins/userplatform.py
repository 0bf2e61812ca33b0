"""Stand-in for the users' platform: its store, workers and machines over HTTP.

It implements the HTTP interface that the platform documents. All parts run in one
process, each on its own port, and keep their state in memory. The arguments are
the platform's configuration as JSON and the number of workers.
"""

import json
import sys
import traceback
from typing import Any
from urllib.parse import parse_qs

import eventlet
from eventlet import wsgi
from eventlet.event import Event

from corianderpitch.adapters.memorystore import MemoryRowStore
from corianderpitch.clock import SystemClock
from corianderpitch.domain.scheduling.orders import OrderResult, StartRun, StopRun
from corianderpitch.domain.scheduling.workers import EndKind
from corianderpitch.domain.scheduling.workloads import TaskRef
from corianderpitch.ids import JobId, WorkerId
from corianderpitch.ports import PartitionedKey, Write
from corianderpitch_standins.simulatedworkers import RunLedger, SimulatedWorker
from corianderpitch_standins.userprotocol import Reply
from corianderpitch_standins.userstore import StoreService

HOST = "127.0.0.1"
ADVANCE_INTERVAL_S = 0.01
HEARTBEAT_INTERVAL_S = 0.5
TASK_RUN_MS = 150.0

_END_KIND_FIELDS = {
    EndKind.DONE: "done",
    EndKind.FAILED: "failed",
    EndKind.STOPPED: "stopped",
    EndKind.LAPSED: "lapsed",
}
_REFUSAL_REASONS = {
    OrderResult.SUPERSEDED: "fence",
    OrderResult.OLD_RUN: "old",
    OrderResult.TOO_LATE: "late",
}


class UserPlatform:
    """Store, workers and machines, each served on its own port."""

    def __init__(self, config: dict[str, Any], workers: int):
        self.clock = SystemClock()
        self.rows = MemoryRowStore(self.clock)
        self.store = StoreService(self.rows, self.clock)
        self.ledger = RunLedger()
        self.handler_errors: list[str] = []
        self.is_store_down = False
        self.store_address = self._serve_http(self._serve_store)
        self.machines_address = self._serve_http(self._serve_machines)
        self.control_address = self._serve_http(self._serve_control)
        self.workers: dict[str, SimulatedWorker] = {}
        self.addresses: dict[str, str] = {}
        self._end_events: dict[str, Event] = {}
        self.maintained_machines: set[str] = set()
        self._service = config["services"][0]["name"]
        for number in range(workers):
            self._add_worker(f"i-{number}")
        self.write("op", "config", config)
        eventlet.spawn(self._advance_workers)
        eventlet.spawn(self._publish_heartbeats)

    def _serve_http(self, handler) -> str:
        listener = eventlet.listen((HOST, 0))

        def app(environ, start_response):
            length = int(environ.get("CONTENT_LENGTH") or 0)
            body = json.loads(environ["wsgi.input"].read(length) or b"{}")
            query = {
                key: values[0]
                for key, values in parse_qs(environ.get("QUERY_STRING", "")).items()
            }
            name = environ["PATH_INFO"].rpartition("/")[2]
            try:
                reply = handler(name, body | query)
            except Exception as error:  # Tests read it from the control port.
                traceback.print_exc()
                self.handler_errors.append(str(error))
                reply = Reply(200, {"clock_ms": 0})
            content = json.dumps(reply.body).encode()
            headers = [("Content-Length", str(len(content)))]
            start_response(f"{reply.status} Status", headers)
            return [content]

        eventlet.spawn(wsgi.server, listener, app, log_output=False)
        return f"{HOST}:{listener.getsockname()[1]}"

    def write(self, table: str, name: str, fields: dict[str, Any]) -> None:
        """Write a row unconditionally, as operators and workers do."""
        self.write_text(table, name, json.dumps(fields))

    def write_text(self, table: str, name: str, text: str) -> None:
        """Write a row that need not be valid, as another client may do."""
        key = PartitionedKey(table, "", name)
        self.rows.commit((), (Write(key, text.encode()),))

    def _serve_store(self, name: str, body: dict[str, Any]) -> Reply:
        if self.is_store_down:
            return Reply(503, {})
        return self.store.serve(name, body)

    def _add_worker(self, name: str) -> None:
        worker = SimulatedWorker(name, self.ledger)
        worker.start_incarnation(self.clock.now_ms())
        self.workers[name] = worker
        self.addresses[name] = self._serve_http(
            lambda call, body: self._serve_worker(worker, call, body)
        )

    def _serve_worker(
        self, worker: SimulatedWorker, name: str, body: dict[str, Any]
    ) -> Reply:
        now_ms = self.clock.now_ms()
        worker.advance(now_ms)
        if name == "hold":
            return self._renew_lease(worker, body)
        task = _parse_task(body["task"])
        fence = body["fence_token"]
        if name == "run-start":
            order = StartRun(
                WorkerId(worker.name), task, body["run"], body["spec"], "", fence
            )
            result = worker.start(order, body["until_ms"], now_ms, TASK_RUN_MS, False)
        else:
            order = StopRun(WorkerId(worker.name), task, body["run"], fence)
            result = worker.stop(order, now_ms)
        clock = {"clock_ms": int(worker.clock_ms(now_ms))}
        if result is OrderResult.DONE:
            return Reply(200, clock)
        return Reply(409, clock | {"reason": _REFUSAL_REASONS[result]})

    def _renew_lease(self, worker: SimulatedWorker, body: dict[str, Any]) -> Reply:
        """Return a worker's running and ended tasks, and renew its lease if asked to.

        The reply is held back until a task has ended or ``wait_ms`` is over. The
        wait checks only the ends and doesn't build a report each time, because
        there may be such a request for each of hundreds of workers at a time.
        """
        until_ms = self.clock.now_ms() + body.get("wait_ms", 0)
        last_seen = body["last_seen"]
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
            self._await_end(worker, last_seen, until_ms)
        running = [
            [_format_task(r.task), r.number, r.checkpoint, int(r.percent), 0]
            for r in report.running
        ]
        finished = [
            [
                e.sequence,
                _format_task(e.task),
                e.number,
                _END_KIND_FIELDS[e.kind],
                e.checkpoint,
            ]
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
        self, worker: SimulatedWorker, last_seen: int, until_ms: float
    ) -> None:
        while self.clock.now_ms() < until_ms:
            end_event = self._end_events.setdefault(worker.name, Event())
            with eventlet.Timeout((until_ms - self.clock.now_ms()) / 1000.0, False):
                end_event.wait()
            if any(end.sequence > last_seen for end in worker.ends):
                return

    def _advance_workers(self) -> None:
        while True:
            eventlet.sleep(ADVANCE_INTERVAL_S)
            for worker in self.workers.values():
                if worker.is_up:
                    worker.advance(self.clock.now_ms())
                if worker.ends and worker.name in self._end_events:
                    self._end_events.pop(worker.name).send()

    def _publish_heartbeats(self) -> None:
        while True:
            for name, worker in self.workers.items():
                self.write("servers", name, self._worker_row(name, worker))
            eventlet.sleep(HEARTBEAT_INTERVAL_S)

    def _worker_row(self, name: str, worker: SimulatedWorker) -> dict[str, Any]:
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
        if body["machine"] not in self.maintained_machines:
            self.maintained_machines.add(body["machine"])
            worker.crash()
            worker.start_incarnation(self.clock.now_ms())
        return Reply(200, {})

    def _serve_control(self, name: str, body: dict[str, Any]) -> Reply:
        """Switch faults or write a row as operators do, and return the counts."""
        match name:
            case "store":
                self.is_store_down = body["away"]
            case "history":
                self.rows.truncate_history()
            case "crash":
                worker = self.workers[body["worker"]]
                worker.crash()
                worker.start_incarnation(self.clock.now_ms())
            case "write":
                self.write(body["table"], body["name"], body["fields"])
            case "write_text":
                self.write_text(body["table"], body["name"], body["text"])
        done = sum(len(ends) for ends in self.ledger.done.values())
        running = sum(len(worker.runs) for worker in self.workers.values())
        status = self.rows.read("status", "").unwrap().rows
        return Reply(
            200,
            {
                "problems": self.handler_errors,
                "done": done,
                "running": running,
                "maintained": sorted(self.maintained_machines),
                "status": {r.key.name: json.loads(r.value) for r in status},
            },
        )


def main() -> None:
    """Serve until the process is killed.

    The first line of output is a JSON object with the ip:port of the store, the
    machines and the control port.
    """
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


def _parse_task(name: str) -> TaskRef:
    job_id, occurrence, step, index = name.split(".")
    return TaskRef(JobId(job_id), int(occurrence), int(step), int(index))


def _format_task(task: TaskRef) -> str:
    return f"{task.job_id}.{task.occurrence}.{task.step}.{task.index}"


if __name__ == "__main__":
    main()
