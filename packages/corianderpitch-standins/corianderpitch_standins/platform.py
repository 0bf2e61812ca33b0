"""Stand-in for the platform: table, VM list, VM actions, workers and tasks over HTTP.

``POST /control`` takes a JSON object and changes the stand-in while it runs.
These fields switch faults:

- ``is_down``: every request but those to ``/control`` and ``/counts`` gets 503;
- ``delay_ms``: every reply is delayed;
- ``lose_answers``: the number of commits whose reply is lost: the commit takes
  effect, and the client gets 500;
- ``rate_per_s``: requests above this rate get 429; 0 means no limit;
- ``list_lag_ms``: the age of the VM list that is returned.

``action_ms`` sets the duration of a VM action, and ``vms`` adds or replaces
VMs. The module :mod:`corianderpitch_standins.workers` describes the fields for
workers.
"""

import warnings

warnings.filterwarnings("ignore", message="\\s*Eventlet is deprecated")

import eventlet

eventlet.monkey_patch()

import argparse
import contextlib
import json
import time
from collections import Counter
from dataclasses import replace
from typing import Any

import msgpack
import urllib3
from returns.result import Failure, Success

from corianderpitch.adapters.memory import MemoryTable
from corianderpitch.domain.platform import (
    ListedVm,
    VmAction,
    VmActionKind,
    VmActionState,
    VmStatus,
)
from corianderpitch.ports import Check, Write
from corianderpitch_standins.jsonserver import RawReply, announce_ready, listen, serve
from corianderpitch_standins.workers import FakeWorkers

DEFAULT_ACTION_MS = 100.0


class Platform:
    """The platform's services and the faults that are switched on."""

    def __init__(self):
        self._table = MemoryTable()
        self._workers = FakeWorkers()
        self._vms: dict[str, ListedVm] = {}
        self._list_history: list[tuple[float, dict[str, ListedVm]]] = []
        self._actions: dict[str, VmActionState] = {}
        self._performed_counts: Counter[str] = Counter()
        self._request_counts: Counter[str] = Counter()
        self._http = urllib3.PoolManager(retries=False, timeout=2.0)
        self._is_down = False
        self._delay_ms = 0.0
        self._replies_to_drop = 0
        self._rate_per_s = 0.0
        self._tokens = 0.0
        self._refilled_s = time.monotonic()
        self._list_lag_ms = 0.0
        self._action_ms = DEFAULT_ACTION_MS

    def handle(self, method: str, path: str, body: bytes) -> Any:
        """Handle one HTTP request."""
        match path:
            case "/control":
                return self._control(json.loads(body))
            case "/counts":
                return {
                    "requests": dict(self._request_counts),
                    "performed": dict(self._performed_counts),
                    "tasks": self._workers.report(),
                }
        if self._is_down:
            return RawReply("503 Service Unavailable", b"")
        if not self._acquire_token():
            headers = (("Retry-After", "1"),)
            return RawReply("429 Too Many Requests", b"", headers)
        eventlet.sleep(self._delay_ms / 1000.0)
        self._request_counts[path] += 1
        return self._serve(path, msgpack.unpackb(body) if body else None)

    def _serve(self, path: str, body: Any) -> RawReply:
        match path:
            case "/table/read":
                rows = self._table.read(body).unwrap().values()
                return _msgpack_reply([[r.key, r.version, r.value] for r in rows])
            case "/table/scan":
                rows = self._table.scan(body).unwrap()
                return _msgpack_reply([[r.key, r.version, r.value] for r in rows])
            case "/table/commit":
                return self._commit(body)
            case "/vms/list":
                listed = [_vm_fields(vm) for vm in self._lagging_list().values()]
                return _msgpack_reply(listed, is_cacheable=True)
            case "/vms/start":
                return _msgpack_reply(self._start_action(*body).value)
            case "/vms/state":
                state = self._actions.get(body, VmActionState.UNKNOWN)
                return _msgpack_reply(state.value)
        if path.startswith(("/workers/", "/tasks/")):
            return _msgpack_reply(self._workers.serve(path, body))
        return RawReply("404 Not Found", b"")

    def _commit(self, body: Any) -> RawReply:
        checks = tuple(Check(*item) for item in body[0])
        writes = tuple(Write(*item) for item in body[1])
        result = self._table.commit(checks, writes)
        if self._replies_to_drop > 0:
            self._replies_to_drop -= 1
            return RawReply("500 Answer Lost", b"")
        match result:
            case Success(versions):
                return _msgpack_reply(versions)
            case Failure(conflict):
                packed = msgpack.packb(list(conflict.keys))
                return RawReply("409 Conflict", packed)

    def _start_action(
        self, operation_id: str, vm_id: str, kind: str, pool: str | None
    ) -> VmActionState:
        if operation_id not in self._actions:
            self._actions[operation_id] = VmActionState.RUNNING
            self._performed_counts[operation_id] += 1
            action = VmAction(operation_id, vm_id, VmActionKind(kind), pool)
            eventlet.spawn_n(self._perform, action)
        return self._actions[operation_id]

    def _perform(self, action: VmAction) -> None:
        vm = self._vms[action.vm_id]
        self._control_instance(vm, {"stop": True})
        eventlet.sleep(self._action_ms / 1000.0)
        if action.kind is VmActionKind.STOP:
            self._set_vm(replace(vm, status=VmStatus.STOPPED))
        else:
            self._control_instance(vm, {"leaving": False})
            self._set_vm(replace(vm, pool=action.pool or vm.pool))
        self._actions[action.operation_id] = VmActionState.DONE

    def _control_instance(self, vm: ListedVm, command: dict[str, Any]) -> None:
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            self._http.request("POST", f"http://{vm.address}/control", json=command)

    def _set_vm(self, vm: ListedVm) -> None:
        self._vms = {**self._vms, vm.vm_id: vm}
        self._list_history.append((time.monotonic(), self._vms))

    def _lagging_list(self) -> dict[str, ListedVm]:
        """Return the VM list, by VM id, as it was ``list_lag_ms`` ago."""
        visible_s = time.monotonic() - self._list_lag_ms / 1000.0
        visible = [vms for listed_s, vms in self._list_history if listed_s <= visible_s]
        return visible[-1] if visible else {}

    def _acquire_token(self) -> bool:
        if self._rate_per_s <= 0.0:
            return True
        now_s = time.monotonic()
        new_tokens = (now_s - self._refilled_s) * self._rate_per_s
        self._tokens = min(self._rate_per_s, self._tokens + new_tokens)
        self._refilled_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _control(self, command: dict[str, Any]) -> dict[str, Any]:
        self._is_down = command.get("is_down", self._is_down)
        self._delay_ms = command.get("delay_ms", self._delay_ms)
        self._replies_to_drop = command.get("lose_answers", self._replies_to_drop)
        self._rate_per_s = command.get("rate_per_s", self._rate_per_s)
        self._list_lag_ms = command.get("list_lag_ms", self._list_lag_ms)
        self._action_ms = command.get("action_ms", self._action_ms)
        self._workers.control(command)
        for fields in command.get("vms", ()):
            self._set_vm(ListedVm(*fields[:5], VmStatus(fields[5])))
        return {}


def _msgpack_reply(value: Any, is_cacheable: bool = False) -> RawReply:
    content_type = ("Content-Type", "application/msgpack")
    return RawReply("200 OK", msgpack.packb(value), (content_type,), is_cacheable)


def _vm_fields(vm: ListedVm) -> list[str]:
    return [vm.vm_id, vm.data_center, vm.rack, vm.pool, vm.address, vm.status.value]


def main() -> None:
    """Serve the platform until the process ends."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", default="127.0.0.1")
    arguments = parser.parse_args()
    listener = listen(arguments.host)
    announce_ready(http=listener)
    serve(listener, Platform().handle)


if __name__ == "__main__":
    main()
