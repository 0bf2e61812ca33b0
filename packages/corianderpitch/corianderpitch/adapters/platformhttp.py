"""HTTP client of the platform's services, with MessagePack bodies.

A failure before the request was sent is reported as ``PlatformUnavailable``. A later
failure is ``OutcomeLost``, because the request may have taken effect.
"""

from collections.abc import Mapping
from typing import Any

import msgpack
import urllib3
from returns.result import Failure, Result, Success

from corianderpitch.domain.jobs import (
    Shape,
    Task,
    TaskState,
    Worker,
    WorkerState,
)
from corianderpitch.domain.platform import ListedVm, VmAction, VmActionState, VmStatus
from corianderpitch.errors import (
    CommitError,
    OutcomeLost,
    PlatformError,
    PlatformUnavailable,
    RateLimited,
    RowConflict,
)
from corianderpitch.ids import DataCenterId, OperationId, TaskId
from corianderpitch.ports import (
    Check,
    Row,
    TableService,
    TaskChanges,
    TaskSpec,
    VmActions,
    VmList,
    Workers,
    Write,
)

CONNECT_TIMEOUT_S = 0.5
READ_TIMEOUT_S = 2.0
HTTP_OK = 200
HTTP_NOT_MODIFIED = 304
HTTP_CONFLICT = 409
HTTP_TOO_MANY_REQUESTS = 429
HTTP_UNAVAILABLE = 503

_CONNECT_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)


class HttpPlatform(TableService, VmList, VmActions, Workers):
    """The platform's table, VM list, VM actions and workers.

    Connections are bound to the local address ``source_host``; by default the
    operating system chooses it.
    """

    def __init__(self, base_url: str, source_host: str = ""):
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S)
        self._base_url = base_url
        self._vm_list_etag = ""
        self._vm_list: list[ListedVm] = []
        self._pool = urllib3.PoolManager(
            timeout=timeout,
            retries=False,
            maxsize=4,
            source_address=(source_host, 0),
        )

    def read(
        self, known_versions: Mapping[str, int]
    ) -> Result[dict[str, Row], PlatformError]:
        """Read the rows whose version differs from that in ``known_versions``."""
        rows = self._post("/table/read", dict(known_versions))
        return rows.map(lambda items: {row[0]: Row(*row) for row in items})

    def scan(self, prefix: str) -> Result[list[Row], PlatformError]:
        """Read the rows under a prefix, in key order."""
        rows = self._post("/table/scan", prefix)
        return rows.map(lambda items: [Row(*row) for row in items])

    def commit(
        self, checks: tuple[Check, ...], writes: tuple[Write, ...]
    ) -> Result[dict[str, int], CommitError]:
        """Write all rows if every check holds."""
        check_items = [[check.key, check.version] for check in checks]
        write_items = [[write.key, write.value] for write in writes]
        return self._post("/table/commit", [check_items, write_items])

    def list_vms(self) -> Result[list[ListedVm], PlatformError]:
        """Return every VM that the platform lists.

        The list is large and seldom changes, so it is requested with the entity
        tag of the last answer (RFC 9110, section 13.1.2), and compressed.
        """
        headers = {"If-None-Match": self._vm_list_etag, "Accept-Encoding": "gzip"}
        match self._request("GET", "/vms/list", None, headers):
            case Success(response) if response.status == HTTP_NOT_MODIFIED:
                return Success(self._vm_list)
            case Success(response):
                return _read_response(response).map(
                    lambda rows: self._store_vm_list(response, rows)
                )
            case failure:
                return failure

    def start(self, action: VmAction) -> Result[VmActionState, PlatformError]:
        """Start an action, or return the state of the one already started."""
        fields = [action.operation_id, action.vm_id, action.kind.value, action.pool]
        return self._post("/vms/start", fields).map(VmActionState)

    def state(self, operation_id: OperationId) -> Result[VmActionState, PlatformError]:
        """Return the current state of an action."""
        return self._post("/vms/state", operation_id).map(VmActionState)

    def list_workers(
        self, data_center: DataCenterId
    ) -> Result[list[Worker], PlatformError]:
        """Return the workers of a data centre."""
        items = self._post("/workers/list", data_center)
        return items.map(lambda rows: [_read_worker(row) for row in rows])

    def changed_tasks(
        self, data_center: DataCenterId, cursor: int
    ) -> Result[TaskChanges, PlatformError]:
        """Return the tasks that changed after ``cursor``."""
        answer = self._post("/tasks/changed", [data_center, cursor])
        return answer.map(
            lambda fields: TaskChanges(
                fields[0], tuple(_read_task(row) for row in fields[1])
            )
        )

    def start_task(self, spec: TaskSpec) -> Result[None, PlatformError]:
        """Start a task under a lease."""
        fields = [spec.task_id, spec.job_id, spec.worker, _shape_fields(spec.shape)]
        return self._post("/tasks/start", [*fields, spec.command, spec.lease_ms])

    def renew_tasks(
        self, task_ids: tuple[TaskId, ...], lease_ms: int
    ) -> Result[None, PlatformError]:
        """Renew the leases of tasks."""
        return self._post("/tasks/renew", [list(task_ids), lease_ms])

    def stop_task(
        self, task_id: TaskId, has_checkpoint: bool
    ) -> Result[None, PlatformError]:
        """Stop a task."""
        return self._post("/tasks/stop", [task_id, has_checkpoint])

    def _store_vm_list(
        self, response: urllib3.BaseHTTPResponse, rows: list[list[Any]]
    ) -> list[ListedVm]:
        self._vm_list_etag = response.headers.get("ETag", "")
        self._vm_list = [_read_vm(row) for row in rows]
        return self._vm_list

    def _post(self, path: str, body: Any) -> Result[Any, Any]:
        headers = {"Content-Type": "application/msgpack"}
        return self._request("POST", path, msgpack.packb(body), headers).bind(
            _read_response
        )

    def _request(
        self, method: str, path: str, body: bytes | None, headers: dict[str, str]
    ) -> Result[urllib3.BaseHTTPResponse, PlatformError]:
        url = self._base_url + path
        try:
            return Success(self._pool.request(method, url, body=body, headers=headers))
        except _CONNECT_ERRORS as error:
            return Failure(PlatformUnavailable(type(error).__name__))
        except urllib3.exceptions.HTTPError as error:
            return Failure(OutcomeLost(type(error).__name__))


def _read_response(response: urllib3.BaseHTTPResponse) -> Result[Any, Any]:
    match response.status:
        case status if status == HTTP_OK:
            return Success(msgpack.unpackb(response.data))
        case status if status == HTTP_CONFLICT:
            return Failure(RowConflict(tuple(msgpack.unpackb(response.data))))
        case status if status == HTTP_TOO_MANY_REQUESTS:
            retry_after_s = float(response.headers.get("Retry-After", "1"))
            return Failure(RateLimited(int(retry_after_s * 1000)))
        case status if status == HTTP_UNAVAILABLE:
            return Failure(PlatformUnavailable("refused"))
        case status:
            return Failure(OutcomeLost(f"status {status}"))


def _read_vm(row: list[Any]) -> ListedVm:
    vm_id, data_center, rack, pool, address, status = row
    return ListedVm(vm_id, data_center, rack, pool, address, VmStatus(status))


def _read_worker(row: list[Any]) -> Worker:
    worker, rack, capacity, state = row
    return Worker(worker, rack, Shape(*capacity), WorkerState(state))


def _read_task(row: list[Any]) -> Task:
    task_id, job_id, worker, state, usage = row
    return Task(task_id, job_id, worker, TaskState(state), Shape(*usage))


def _shape_fields(shape: Shape) -> list[float]:
    return [shape.processors, shape.memory_mb, shape.accelerators]
