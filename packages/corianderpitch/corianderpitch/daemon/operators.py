"""Operators' HTTP interface, as a WSGI application with JSON bodies."""

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
    FoundVm,
    WaveRequest,
)
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
_WAVE_STATES = {
    "pause": WaveState.PAUSED,
    "resume": WaveState.RUNNING,
    "abort": WaveState.ABORTED,
}
_WORKER_VERBS = ("drain", "return")
_VM_KINDS = {kind.value: kind for kind in OperationKind}


@dataclasses.dataclass(frozen=True, slots=True)
class VmRequestBody:
    """Body of a request for an operation on a VM."""

    operation_id: OperationId
    target_pool: PoolName | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class FleetTexts:
    """Body of a request to check a fleet file."""

    base_text: str
    overlay_texts: dict[str, str]


class BadOperatorRequest(CorianderpitchError):
    """The operator's request does not have the documented form."""

    def __init__(self, status: HTTPStatus, detail: str):
        super().__init__(detail)
        self.status = status
        self.detail = detail


class OperatorApp:
    """Serves the operators' command line."""

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
        """Handle one HTTP request."""
        try:
            status, value = self._route(environ)
        except BadOperatorRequest as error:
            status = error.status
            value = {"error": "bad_request", "detail": error.detail}
        body = json.dumps(_plain(value)).encode()
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
            case (_, "v1", "config", *rest):
                return self._config(method, rest, environ)
            case ("GET", "v1", "fleet"):
                return _answer(self._fleet.fleet().map(self._with_waits))
            case ("POST", "v1", "vms", vm_id, verb):
                return self._vm(VmId(vm_id), verb, environ)
            case (_, "v1", "waves", *rest):
                return self._wave(method, rest, environ)
            case (_, "v1", "jobs", *rest):
                return self._job(method, rest, environ)
            case ("POST", "v1", "workers", worker, verb) if verb in _WORKER_VERBS:
                site = _site(environ, self._site)
                marks = self._jobs.set_drained(site, WorkerId(worker), verb == "drain")
                return _answer(marks)
        raise BadOperatorRequest(HTTPStatus.NOT_FOUND, f"no {method} {path}")

    def _status(self) -> dict[str, Any]:
        entries, silent = self._statuses.collect()
        return {"entries": entries, "silent": silent}

    def _with_waits(self, found: list[FoundVm]) -> list[dict[str, Any]]:
        entries, _ = self._statuses.collect()
        waits = {w.vm_id: w.wait.value for entry in entries for w in entry.waits}
        return [{**_plain(vm), "wait": waits.get(vm.vm_id)} for vm in found]

    def _config(
        self, method: str, rest: list[str], environ: Environ
    ) -> tuple[HTTPStatus, Any]:
        match (method, *rest):
            case ("GET",):
                return _answer(self._configs.config_head())
            case ("GET", "history"):
                return _answer(self._configs.config_history())
            case ("GET", "revisions", number) if number.isdigit():
                revision = Revision(int(number))
                return _answer(self._configs.config_revision(revision))
            case ("GET", "diff", old, new) if old.isdigit() and new.isdigit():
                return _answer(self._difference(int(old), int(new)))
            case ("POST", "check"):
                texts = _read(environ, FleetTexts)
                checked = self._configs.check_config(
                    texts.base_text, texts.overlay_texts
                )
                return _answer(checked.bind(_all_clear))
            case ("POST", "apply"):
                change = _read(environ, ConfigChange)
                accepted = self._configs.apply_config(change)
                return _answer(accepted.map(lambda revision: {"revision": revision}))
        raise BadOperatorRequest(HTTPStatus.NOT_FOUND, "no such config request")

    def _difference(self, old: int, new: int) -> Result[dict[str, str], OperationError]:
        before = self._configs.config_revision(Revision(old))
        after = self._configs.config_revision(Revision(new))
        return before.bind(
            lambda b: after.map(lambda a: {"difference": config_difference(b, a)})
        )

    def _vm(self, vm_id: VmId, verb: str, environ: Environ) -> tuple[HTTPStatus, Any]:
        if verb == "return":
            return _answer(self._fleet.return_vm(vm_id))
        if verb not in _VM_KINDS:
            raise BadOperatorRequest(HTTPStatus.NOT_FOUND, f"no operation {verb}")
        body = _read(environ, VmRequestBody)
        kind = _VM_KINDS[verb]
        if (kind is OperationKind.MOVE) != (body.target_pool is not None):
            detail = "target_pool goes with move, and only with move"
            raise BadOperatorRequest(HTTPStatus.BAD_REQUEST, detail)
        operation = VmOperation(body.operation_id, kind, body.target_pool)
        return _answer(self._fleet.request_vm(vm_id, operation))

    def _wave(
        self, method: str, rest: list[str], environ: Environ
    ) -> tuple[HTTPStatus, Any]:
        match (method, *rest):
            case ("GET",):
                return _answer(self._fleet.waves())
            case ("POST",):
                request = _read(environ, WaveRequest)
                return _answer(self._fleet.create_wave(request))
            case ("GET", name):
                return _answer(self._fleet.wave(WaveName(name)))
            case ("POST", name, verb) if verb in _WAVE_STATES:
                state = _WAVE_STATES[verb]
                return _answer(self._fleet.set_wave_state(WaveName(name), state))
        raise BadOperatorRequest(HTTPStatus.NOT_FOUND, "no such wave request")

    def _job(
        self, method: str, rest: list[str], environ: Environ
    ) -> tuple[HTTPStatus, Any]:
        site = _site(environ, self._site)
        match (method, *rest):
            case ("GET",):
                return _answer(self._jobs.jobs(site))
            case ("POST",):
                requests = _read(environ, list[JobRequest])
                if not requests:
                    raise BadOperatorRequest(HTTPStatus.BAD_REQUEST, "no jobs given")
                return _answer(self._jobs.submit(site, requests))
            case ("POST", "cancel"):
                job_ids = _read(environ, list[JobId])
                return _answer(self._jobs.cancel(site, job_ids))
        raise BadOperatorRequest(HTTPStatus.NOT_FOUND, "no such job request")


def _all_clear(
    problems: list[Problem],
) -> Result[dict[str, list[Problem]], OperationError]:
    if problems:
        return Failure(ConfigInvalid(tuple(problems)))
    return Success({"problems": []})


def _site(environ: Environ, own: DataCenterId) -> DataCenterId:
    """Return the data centre that a request names, or the entry's own."""
    query = urllib.parse.parse_qs(environ.get("QUERY_STRING", ""))
    return DataCenterId(query.get("site", [own])[0])


def _read(environ: Environ, body_type: type) -> Any:
    length = environ.get("CONTENT_LENGTH") or "0"
    if not length.isdigit() or int(length) > MAX_BODY_BYTES:
        detail = f"the body may have {MAX_BODY_BYTES} bytes"
        raise BadOperatorRequest(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, detail)
    data = environ["wsgi.input"].read(int(length))
    try:
        return pydantic.TypeAdapter(body_type).validate_json(data)
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        path = ".".join(str(part) for part in first["loc"])
        detail = f"{path}: {first['msg']}"
        raise BadOperatorRequest(HTTPStatus.BAD_REQUEST, detail) from None


def _answer(result: Result[Any, OperationError]) -> tuple[HTTPStatus, Any]:
    match result:
        case Success(value):
            return HTTPStatus.OK, value
        case Failure(error):
            name = _error_name(error)
            return _status_of(error), {"error": name, **_plain(error)}


def _status_of(error: OperationError) -> HTTPStatus:
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
    words = []
    for character in type(error).__name__:
        words.append(f"_{character.lower()}" if character.isupper() else character)
    return "".join(words).lstrip("_")


def _plain(value: Any) -> Any:
    """Return a value made only of what JSON can hold."""
    if dataclasses.is_dataclass(value):
        names = [field.name for field in dataclasses.fields(value)]
        return {name: _plain(getattr(value, name)) for name in names}
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, dict):
        return {key: _plain(item) for key, item in value.items()}
    if isinstance(value, list | tuple | frozenset):
        return [_plain(item) for item in value]
    return value
