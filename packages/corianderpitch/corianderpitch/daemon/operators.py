"""HTTP interface for operators, as a WSGI application with JSON bodies."""

import dataclasses
import enum
import json
import urllib.parse
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any

import pydantic
from returns.result import Failure, Result, Success

from corianderpitch.daemon.configoperations import (
    ConfigChange,
    ConfigOperations,
    config_difference,
)
from corianderpitch.daemon.fleetoperations import (
    FleetOperations,
    FleetVm,
    WaveRequest,
)
from corianderpitch.daemon.httpprotocol import parse_count
from corianderpitch.daemon.joboperations import JobOperations, JobRequest
from corianderpitch.daemon.statuses import StatusCollector
from corianderpitch.domain.problems import Problem
from corianderpitch.domain.vms import OperationKind, VmOperation, VmRefusal
from corianderpitch.domain.waves import WaveState
from corianderpitch.errors import (
    ConfigConflict,
    ConfigInvalid,
    CorianderpitchError,
    JobRefusal,
    JobRefused,
    NoSuchRevision,
    OperationError,
    OutcomeLost,
    PlatformUnavailable,
    RateLimited,
    RowConflict,
    VmRefused,
    WaveRefusal,
    WaveRefused,
)
from corianderpitch.ids import (
    DataCenterId,
    JobId,
    OperationId,
    PoolName,
    Revision,
    VmId,
    WaveName,
    WorkerId,
)

MAX_BODY_BYTES = 4 * 1024 * 1024

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]
_WAVE_STATE_BY_ACTION = {
    "pause": WaveState.PAUSED,
    "resume": WaveState.RUNNING,
    "abort": WaveState.ABORTED,
}
_WORKER_ACTIONS = ("drain", "return")
_OPERATION_KINDS = {kind.value: kind for kind in OperationKind}


@dataclasses.dataclass(frozen=True, slots=True)
class VmRequestBody:
    """Body of a request for an operation on a VM."""

    operation_id: OperationId
    target_pool: PoolName | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class FleetTexts:
    """Body of a request to check a fleet file and its overlays."""

    base_text: str
    overlay_texts: dict[str, str]


class BadOperatorRequest(CorianderpitchError):
    """The operator's request is unknown or malformed; ``status`` is the response's."""

    def __init__(self, status: HTTPStatus, detail: str):
        super().__init__(detail)
        self.status = status
        self.detail = detail


class OperatorApp:
    """Serves the requests of the operators' command line."""

    def __init__(
        self,
        site: DataCenterId,
        config_operations: ConfigOperations,
        fleet_operations: FleetOperations,
        job_operations: JobOperations,
        statuses: StatusCollector,
    ):
        self._site = site
        self._configs = config_operations
        self._fleet = fleet_operations
        self._jobs = job_operations
        self._statuses = statuses

    def __call__(self, environ: Environ, start: StartResponse) -> Iterable[bytes]:
        """Handle one HTTP request; every response has a JSON body."""
        try:
            status, value = self._route(environ)
        except BadOperatorRequest as error:
            status = error.status
            value = {"error": "bad_request", "detail": error.detail}
        body = json.dumps(_to_json_value(value)).encode()
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        start(f"{status.value} {status.phrase}", headers)
        return [body]

    def _route(self, environ: Environ) -> tuple[HTTPStatus, Any]:
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        match (method, *path.strip("/").split("/")):
            case ("GET", "v1", "status"):
                return HTTPStatus.OK, self._status()
            case (_, "v1", "config", *segments):
                return self._route_config(method, segments, environ)
            case ("GET", "v1", "fleet"):
                return _response(self._fleet.fleet().map(self._with_wait_reasons))
            case ("POST", "v1", "vms", vm_id, action):
                return self._route_vm(VmId(vm_id), action, environ)
            case (_, "v1", "waves", *segments):
                return self._route_wave(method, segments, environ)
            case (_, "v1", "jobs", *segments):
                return self._route_job(method, segments, environ)
            case ("POST", "v1", "workers", worker, action) if action in _WORKER_ACTIONS:
                site = _requested_site(environ, self._site)
                marks = self._jobs.set_worker_drained(
                    site, WorkerId(worker), action == "drain"
                )
                return _response(marks)
        raise BadOperatorRequest(
            HTTPStatus.NOT_FOUND, f"unknown request {method} {path}"
        )

    def _status(self) -> dict[str, Any]:
        entries, silent = self._statuses.collect()
        return {"entries": entries, "silent": silent}

    def _with_wait_reasons(self, vms: list[FleetVm]) -> list[dict[str, Any]]:
        entries, _ = self._statuses.collect()
        reasons = {w.vm_id: w.wait.value for entry in entries for w in entry.waits}
        return [{**_to_json_value(vm), "wait": reasons.get(vm.vm_id)} for vm in vms]

    def _route_config(
        self, method: str, segments: list[str], environ: Environ
    ) -> tuple[HTTPStatus, Any]:
        match (method, *segments):
            case ("GET",):
                return _response(self._configs.config_head())
            case ("GET", "history"):
                return _response(self._configs.config_history())
            case ("GET", "revisions", number):
                revision = _parse_revision(number)
                return _response(self._configs.config_revision(revision))
            case ("GET", "diff", old, new):
                revisions = _parse_revision(old), _parse_revision(new)
                return _response(self._difference(*revisions))
            case ("POST", "check"):
                texts = _parse_body(environ, FleetTexts)
                checked = self._configs.check_config(
                    texts.base_text, texts.overlay_texts
                )
                return _response(checked.bind(_check_response))
            case ("POST", "apply"):
                change = _parse_body(environ, ConfigChange)
                result = self._configs.apply_config(change)
                return _response(result.map(lambda revision: {"revision": revision}))
        raise BadOperatorRequest(
            HTTPStatus.NOT_FOUND, "unknown request under /v1/config"
        )

    def _difference(
        self, old: Revision, new: Revision
    ) -> Result[dict[str, str], OperationError]:
        old_record = self._configs.config_revision(old)
        new_record = self._configs.config_revision(new)
        return old_record.bind(
            lambda old_config: new_record.map(
                lambda new_config: {
                    "difference": config_difference(old_config, new_config)
                }
            )
        )

    def _route_vm(
        self, vm_id: VmId, action: str, environ: Environ
    ) -> tuple[HTTPStatus, Any]:
        if action == "return":
            return _response(self._fleet.return_vm(vm_id))
        if action not in _OPERATION_KINDS:
            raise BadOperatorRequest(
                HTTPStatus.NOT_FOUND, f"unknown VM operation {action}"
            )
        body = _parse_body(environ, VmRequestBody)
        kind = _OPERATION_KINDS[action]
        if (kind is OperationKind.MOVE) != (body.target_pool is not None):
            detail = "target_pool is required for move, and not allowed otherwise"
            raise BadOperatorRequest(HTTPStatus.BAD_REQUEST, detail)
        operation = VmOperation(body.operation_id, kind, body.target_pool)
        return _response(self._fleet.request_vm_operation(vm_id, operation))

    def _route_wave(
        self, method: str, segments: list[str], environ: Environ
    ) -> tuple[HTTPStatus, Any]:
        match (method, *segments):
            case ("GET",):
                return _response(self._fleet.waves())
            case ("POST",):
                request = _parse_body(environ, WaveRequest)
                return _response(self._fleet.create_wave(request))
            case ("GET", name):
                return _response(self._fleet.wave(WaveName(name)))
            case ("POST", name, action) if action in _WAVE_STATE_BY_ACTION:
                state = _WAVE_STATE_BY_ACTION[action]
                return _response(self._fleet.set_wave_state(WaveName(name), state))
        raise BadOperatorRequest(
            HTTPStatus.NOT_FOUND, "unknown request under /v1/waves"
        )

    def _route_job(
        self, method: str, segments: list[str], environ: Environ
    ) -> tuple[HTTPStatus, Any]:
        site = _requested_site(environ, self._site)
        match (method, *segments):
            case ("GET",):
                return _response(self._jobs.jobs(site))
            case ("POST",):
                requests = _parse_body(environ, list[JobRequest])
                if not requests:
                    raise BadOperatorRequest(
                        HTTPStatus.BAD_REQUEST, "the list of jobs must not be empty"
                    )
                return _response(self._jobs.submit(site, requests))
            case ("POST", "cancel"):
                job_ids = _parse_body(environ, list[JobId])
                return _response(self._jobs.cancel(site, job_ids))
        raise BadOperatorRequest(HTTPStatus.NOT_FOUND, "unknown request under /v1/jobs")


def _check_response(
    problems: list[Problem],
) -> Result[dict[str, list[Problem]], OperationError]:
    if problems:
        return Failure(ConfigInvalid(tuple(problems)))
    return Success({"problems": []})


def _requested_site(environ: Environ, own: DataCenterId) -> DataCenterId:
    """Return the data centre named in a request's query, or the entry's own."""
    query = urllib.parse.parse_qs(environ.get("QUERY_STRING", ""))
    return DataCenterId(query.get("site", [own])[0])


def _parse_revision(text: str) -> Revision:
    number = parse_count(text)
    if number is None:
        detail = "the number of a revision consists of digits"
        raise BadOperatorRequest(HTTPStatus.NOT_FOUND, detail)
    return Revision(number)


def _parse_body(environ: Environ, body_type: type) -> Any:
    """Return a request's body as ``body_type``.

    Raise ``BadOperatorRequest`` if the body is too large or malformed.
    """
    length = parse_count(environ.get("CONTENT_LENGTH") or "0")
    if length is None or length > MAX_BODY_BYTES:
        detail = f"Content-Length must be a number of at most {MAX_BODY_BYTES} bytes"
        raise BadOperatorRequest(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, detail)
    data = environ["wsgi.input"].read(length)
    try:
        return pydantic.TypeAdapter(body_type).validate_json(data)
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        path = ".".join(str(part) for part in first["loc"])
        detail = f"{path}: {first['msg']}"
        raise BadOperatorRequest(HTTPStatus.BAD_REQUEST, detail) from None


def _response(result: Result[Any, OperationError]) -> tuple[HTTPStatus, Any]:
    match result:
        case Success(value):
            return HTTPStatus.OK, value
        case Failure(error):
            name = _error_name(error)
            return _http_status(error), {"error": name, **_to_json_value(error)}


def _http_status(error: OperationError) -> HTTPStatus:
    match error:
        case ConfigInvalid():
            return HTTPStatus.UNPROCESSABLE_ENTITY
        case ConfigConflict() | RowConflict():
            return HTTPStatus.CONFLICT
        case VmRefused(refusal=VmRefusal.NO_SUCH_VM):
            return HTTPStatus.NOT_FOUND
        case WaveRefused(refusal=WaveRefusal.NO_SUCH_WAVE) | NoSuchRevision():
            return HTTPStatus.NOT_FOUND
        case JobRefused(refusal=JobRefusal.NO_SUCH_JOB | JobRefusal.NO_SUCH_SITE):
            return HTTPStatus.NOT_FOUND
        case JobRefused():
            return HTTPStatus.UNPROCESSABLE_ENTITY
        case VmRefused() | WaveRefused():
            return HTTPStatus.CONFLICT
        case RateLimited() | PlatformUnavailable():
            return HTTPStatus.SERVICE_UNAVAILABLE
        case OutcomeLost():
            return HTTPStatus.GATEWAY_TIMEOUT


def _error_name(error: OperationError) -> str:
    """Return the name of an error's class in snake case, which is sent to operators."""
    words = []
    for character in type(error).__name__:
        words.append(f"_{character.lower()}" if character.isupper() else character)
    return "".join(words).lstrip("_")


def _to_json_value(value: Any) -> Any:
    """Return a value converted to types that JSON can represent."""
    if dataclasses.is_dataclass(value):
        names = [field.name for field in dataclasses.fields(value)]
        return {name: _to_json_value(getattr(value, name)) for name in names}
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, dict):
        return {key: _to_json_value(item) for key, item in value.items()}
    if isinstance(value, list | tuple | frozenset):
        return [_to_json_value(item) for item in value]
    return value
