"""Stand-in for the users' platform: its store, workers and machines over HTTP.

It implements the HTTP interface that the platform documents. All parts run in one
process, each on its own port, and keep their state in memory. The arguments are
the platform's configuration as JSON, the number of workers, which are spread over the
services, and the number of machines that are off in the standby service.
"""

import json
import random
import sys
import traceback
from collections.abc import Callable
from dataclasses import asdict, dataclass
from functools import partial
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
from corianderpitch_standins.usermachines import Machine, MachineService
from corianderpitch_standins.userprotocol import Reply, Request
from corianderpitch_standins.userstore import StoreService, parts_of

HOST = "127.0.0.1"
ADVANCE_INTERVAL_S = 0.01
HEARTBEAT_INTERVAL_S = 0.5
TASK_RUN_MS = 150.0
MACHINE_DOWN_MS = 1000.0
SILENCE_S = 5.0  # longer than any caller waits for an answer
MAX_LATE_MS = 2000.0

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


@dataclass
class CallFaults:
    """How the store or the machine service answers.

    A call takes up to ``slow_ms`` longer. ``silent_share`` of the calls are carried
    out, at once or later, and get no answer.
    """

    slow_ms: float = 0.0
    silent_share: float = 0.0


class UserPlatform:
    """Store, workers and machines, each served on its own port."""

    def __init__(self, config: dict[str, Any], workers: int, standby: int = 0):
        self.clock = SystemClock()
        self.rows = MemoryRowStore(self.clock)
        self.store = StoreService(self.rows, self.clock)
        self.ledger = RunLedger()
        self.handler_errors: list[str] = []
        self.is_store_down = False
        self.store_faults, self.machine_faults = CallFaults(), CallFaults()
        self.order_faults = CallFaults()
        self.away_parts: frozenset[str] = frozenset()
        self.are_parts_silent = False
        self._rng = random.Random(0)
        self.machines = MachineService(
            self.clock, MACHINE_DOWN_MS, self._stop_machine, self._start_machine
        )
        self.store_address = self._serve_http(self._serve_store)
        self.machines_address = self._serve_http(self._serve_machines)
        self.control_address = self._serve_http(self._serve_control)
        self.workers: dict[str, SimulatedWorker] = {}
        self.addresses: dict[str, str] = {}
        self._end_events: dict[str, Event] = {}
        services = config["services"]
        serving = [s["name"] for s in services if not s.get("standby")]
        self._standby = [s["name"] for s in services if s.get("standby")]
        for number in range(workers):
            self._add_worker(f"i-{number}", serving[number % len(serving)])
        for number in range(workers, workers + standby):
            self._add_worker(f"i-{number}", self._standby[0])
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
                holder = environ.get("HTTP_X_DUTY_HOLDER", "")
                fence = int(environ.get("HTTP_X_FENCE_TOKEN") or 0)
                instance = environ.get("HTTP_X_EXPECT_INSTANCE", "")
                reply = handler(Request(name, body | query, holder, fence, instance))
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

    def _serve_store(self, request: Request) -> Reply:
        if self.is_store_down:
            return Reply(503, {})
        if not self.away_parts.isdisjoint(parts_of(request.fields)):
            eventlet.sleep(SILENCE_S if self.are_parts_silent else 0.0)
            return Reply(503, {})
        return self._carry_out(
            lambda: self.store.serve(request.name, request.fields), self.store_faults
        )

    def _carry_out(self, execute: Callable[[], Reply], faults: CallFaults) -> Reply:
        """Carry out a call slowly, or without an answer."""
        is_silent = self._rng.random() < faults.silent_share
        late_ms = self._rng.choice((0.0, self._rng.uniform(0.0, MAX_LATE_MS)))
        before_ms = late_ms if is_silent else self._rng.uniform(0.0, faults.slow_ms)
        eventlet.sleep(before_ms / 1000.0)
        reply = execute()
        eventlet.sleep(self._rng.uniform(0.0, faults.slow_ms) / 1000.0)
        if is_silent:
            eventlet.sleep(SILENCE_S)
        return reply

    def _add_worker(self, name: str, service: str) -> None:
        worker = SimulatedWorker(name, self.ledger)
        self.workers[name] = worker
        machine = Machine(f"m-{name}", service)
        self.addresses[name] = self._serve_http(
            lambda request: self._serve_worker(machine, worker, request)
        )
        self.machines.add(machine)
        worker.crash()
        self._start_machine(machine)

    def _stop_machine(self, machine: Machine) -> None:
        """End the worker of a machine and remove its row."""
        if not machine.worker:
            return
        key = PartitionedKey("servers", "", machine.worker)
        machine.worker = ""
        self._worker_of(machine).crash()
        self.rows.commit((), (Write(key, None),))

    def _start_machine(self, machine: Machine) -> None:
        """Start a worker with a new id on a machine, unless it is on standby."""
        if machine.pool in self._standby:
            return
        machine.lives += 1
        suffix = f".{machine.lives}" if machine.lives > 1 else ""
        machine.worker = machine.name.removeprefix("m-") + suffix
        self._worker_of(machine).start_incarnation(self.clock.now_ms())

    def _worker_of(self, machine: Machine) -> SimulatedWorker:
        return self.workers[machine.name.removeprefix("m-")]

    def _serve_worker(
        self, machine: Machine, worker: SimulatedWorker, request: Request
    ) -> Reply:
        if not worker.is_up:
            eventlet.sleep(SILENCE_S)
            return Reply(503, {})
        if request.instance not in ("", machine.worker):
            return Reply(421, {})
        if request.name == "hold":
            worker.advance(self.clock.now_ms())
            return self._renew_lease(worker, request.fields)
        incarnation_id = worker.incarnation_id

        def execute() -> Reply:
            if not worker.is_up or worker.incarnation_id != incarnation_id:
                return Reply(421, {})  # the process that was asked has ended
            return self._execute_order(worker, request)

        return self._carry_out(execute, self.order_faults)

    def _execute_order(self, worker: SimulatedWorker, request: Request) -> Reply:
        name, body = request.name, request.fields
        now_ms = self.clock.now_ms()
        worker.advance(now_ms)
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
        incarnation_id = worker.incarnation_id
        while True:
            if not worker.is_up or worker.incarnation_id != incarnation_id:
                return Reply(421, {})  # the process that was asked has ended
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
            self.machines.advance()
            for worker in self.workers.values():
                if worker.is_up:
                    worker.advance(self.clock.now_ms())
                if worker.ends and worker.name in self._end_events:
                    self._end_events.pop(worker.name).send()

    def _publish_heartbeats(self) -> None:
        while True:
            for machine in self.machines.machines.values():
                if machine.worker:
                    self.write("servers", machine.worker, self._worker_row(machine))
            eventlet.sleep(HEARTBEAT_INTERVAL_S)

    def _worker_row(self, machine: Machine) -> dict[str, Any]:
        worker = self._worker_of(machine)
        return {
            "service": machine.pool,
            "address": self.addresses[worker.name],
            "zone": "here",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "capacity": {"cpu": 4000, "mem_mb": 8000, "gpus": 0},
            "labels": ["a", "r1"],
            "machine": machine.name,
            "born": int(worker.incarnation_id),
            "clock_ms": int(worker.clock_ms(self.clock.now_ms())),
            "seq": 1,
        }

    def _serve_machines(self, request: Request) -> Reply:
        if request.name == "machines":
            execute = self.machines.list_machines
        else:
            order = self.machines.receive(
                request.name, request.fields, request.holder, request.fence
            )
            execute = partial(self.machines.carry_out, order)
        return self._carry_out(execute, self.machine_faults)

    def _set_away_parts(self, share: float = 0.0, silent: bool = False) -> None:
        """Let a share of the partitions of jobs refuse all calls, or leave them."""
        parts = [
            part
            for part in self.rows.list_partitions("jobs").unwrap()
            if self._rng.random() < share
        ]
        self.away_parts = frozenset(parts)
        self.are_parts_silent = silent

    def _serve_control(self, request: Request) -> Reply:
        """Switch faults or write a row as operators do, and return the counts."""
        body = request.fields
        match request.name:
            case "store":
                self.is_store_down = body["away"]
            case "store-faults":
                self.store_faults = CallFaults(**body)
            case "machine-faults":
                self.machine_faults = CallFaults(**body)
            case "order-faults":
                self.order_faults = CallFaults(**body)
            case "store-parts":
                self._set_away_parts(**body)
            case "orders":
                orders = [asdict(order) for order in self.machines.arrivals]
                return Reply(200, {"orders": orders})
            case "runs":
                starts = [asdict(start) for start in self.ledger.starts_by_text]
                started_ms = self.ledger.last_start_ms()
                return Reply(200, {"started_ms": started_ms, "starts": starts})
            case "history":
                self.rows.truncate_history()
            case "crash":
                worker = self.workers[body["worker"]]
                if worker.is_up:
                    worker.crash()
                    worker.start_incarnation(self.clock.now_ms())
            case "slow":
                self.workers[body["worker"]].slowness = body["factor"]
            case "replace":
                machine = self.machines.machines[f"m-{body['worker']}"]
                if machine.worker:
                    self._stop_machine(machine)
                    self._start_machine(machine)
            case "write":
                self.write(body["table"], body["name"], body["fields"])
            case "write_text":
                self.write_text(body["table"], body["name"], body["text"])
        done = sum(len(ends) for ends in self.ledger.done.values())
        running = sum(len(worker.runs) for worker in self.workers.values())
        maintained = [m.name for m in self.machines.machines.values() if m.begun_waves]
        status = self.rows.read("status", "").unwrap().rows
        return Reply(
            200,
            {
                "problems": self.handler_errors,
                "done": done,
                "running": running,
                "maintained": sorted(maintained),
                "most_down": self.machines.most_down,
                "status": {r.key.name: json.loads(r.value) for r in status},
            },
        )


def main() -> None:
    """Serve until the process is killed.

    The first line of output is a JSON object with the ip:port of the store, the
    machines and the control port.
    """
    config = json.loads(sys.argv[1])
    counts = [int(argument) for argument in sys.argv[2:]]
    platform = UserPlatform(config, *counts)
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
