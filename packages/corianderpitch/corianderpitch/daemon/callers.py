"""WSGI application for callers: requests, tickets, health checks and metrics."""

import itertools
import json
import math
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

from eventlet import Timeout

from corianderpitch.daemon.documents import DocumentTask
from corianderpitch.daemon.httpprotocol import parse_count
from corianderpitch.daemon.metrics import Metrics
from corianderpitch.daemon.requests import Request, RequestRunner
from corianderpitch.daemon.tickets import TicketService
from corianderpitch.domain.fleetsections import ServiceSettings
from corianderpitch.domain.membership import MemberInfo
from corianderpitch.domain.outcomes import (
    Answered,
    NotRun,
    Outcome,
    OutcomeKind,
    Reason,
    Unknown,
    outcome_kind,
)
from corianderpitch.domain.tickets import parse_ticket
from corianderpitch.errors import CorianderpitchError
from corianderpitch.ids import ClassName, RequestId, ServiceName, TenantName, TicketId

BODY_TIMEOUT_MS = 5000.0
MAX_TIMEOUT_MS = 600_000
MAX_NAME_CHARACTERS = 64
SHUTDOWN_RETRY_AFTER_MS = 100
DEFAULT_CONTENT_TYPE = "application/octet-stream"

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class BadRequest(CorianderpitchError):
    """The request is invalid and is refused before any part of it runs."""

    def __init__(self, status: HTTPStatus, detail: str):
        super().__init__(detail)
        self.status = status
        self.detail = detail


@dataclass(frozen=True, slots=True)
class Reply:
    """An HTTP response."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


_STATUS_BY_REASON = {
    Reason.NO_SUCH_SERVICE: HTTPStatus.NOT_FOUND,
    Reason.QUOTA: HTTPStatus.TOO_MANY_REQUESTS,
    Reason.TICKET_EXPIRED: HTTPStatus.GONE,
    Reason.INSTANCE_SILENT: HTTPStatus.GATEWAY_TIMEOUT,
    Reason.INSTANCE_BROKE_OFF: HTTPStatus.BAD_GATEWAY,
    Reason.ISSUER_LOST: HTTPStatus.BAD_GATEWAY,
}


class _ResponseBody:
    """Body of a response; the WSGI server calls ``close`` after sending it."""

    def __init__(self, app: "CallerApp"):
        self._app: CallerApp | None = app
        self.data = b""

    def __iter__(self) -> Iterator[bytes]:
        yield self.data

    def close(self) -> None:
        """Count the request as ended; further calls have no effect."""
        if self._app is not None:
            self._app.in_flight -= 1
            self._app = None


class CallerApp:
    """Accepts requests and tickets, runs them and returns their outcomes.

    Attributes
    ----------
    is_draining
        Whether the entry is shutting down. ``/readyz`` then answers 503, and
        every response closes its connection.
    is_closed
        Whether new requests to services are refused, also on open connections.
    in_flight
        Number of HTTP requests whose response has not been sent completely.
    """

    def __init__(
        self,
        own: MemberInfo,
        runner: RequestRunner,
        tickets: TicketService,
        documents: DocumentTask,
        metrics: Metrics,
    ):
        self._own = own
        self._runner = runner
        self._tickets = tickets
        self._documents = documents
        self._metrics = metrics
        self._request_numbers = itertools.count()
        self.is_draining = False
        self.is_closed = False
        self.in_flight = 0

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Handle one HTTP request; it is in flight until its response has been sent."""
        self.in_flight += 1
        body = _ResponseBody(self)
        try:
            reply = self._route(environ)
        except BadRequest as error:
            reply = _bad_request_reply(error)
        except BaseException:
            body.close()
            raise
        headers = [*reply.headers, ("Content-Length", str(len(reply.body)))]
        if self.is_draining:
            headers.append(("Connection", "close"))
        start_response(f"{reply.status} {_reason_phrase(reply.status)}", headers)
        body.data = reply.body
        return body

    def _route(self, environ: Environ) -> Reply:
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        match (method, *path.strip("/").split("/")):
            case ("POST", "v1", "services", service, "requests"):
                return self._post_request(ServiceName(service), environ)
            case ("POST", "v1", "services", service, "tickets"):
                return self._post_ticket(ServiceName(service), environ)
            case ("POST", "v1", "tickets", ticket):
                return self._use_ticket(TicketId(ticket), environ, has_body=True)
            case ("GET", "v1", "tickets", ticket):
                return self._use_ticket(TicketId(ticket), environ, has_body=False)
            case ("GET", "healthz"):
                return _text_reply(HTTPStatus.OK, "ok\n")
            case ("GET", "readyz"):
                return self._readiness()
            case ("GET", "metrics"):
                body, content_type = self._metrics.render()
                return Reply(200, (("Content-Type", content_type),), body)
        raise BadRequest(HTTPStatus.NOT_FOUND, f"no {method} {path}")

    def _readiness(self) -> Reply:
        if self.is_draining:
            return _text_reply(HTTPStatus.SERVICE_UNAVAILABLE, "leaving\n")
        if not self._documents.is_ready:
            return _text_reply(HTTPStatus.SERVICE_UNAVAILABLE, "no configuration\n")
        return _text_reply(HTTPStatus.OK, "ready\n")

    def _post_request(self, service: ServiceName, environ: Environ) -> Reply:
        settings = self._settings(service)
        tenant, class_name = _tenant(environ), _class_name(environ)
        if not _is_idempotent(environ):
            ticket = self._tickets.issue(service, tenant, class_name)
            return _ticket_reply(HTTPStatus.TEMPORARY_REDIRECT, ticket)
        timeout_ms = _timeout_ms(environ, settings.default_timeout_ms)
        body = _read_body(environ, settings.max_body_bytes)
        request = Request(
            self._next_request_id(),
            service,
            tenant,
            class_name,
            timeout_ms,
            True,
            _content_type(environ),
            body,
        )
        if self.is_closed:
            refusal = NotRun(Reason.SHUTTING_DOWN, SHUTDOWN_RETRY_AFTER_MS)
            return _outcome_reply(refusal, request.request_id)
        return _outcome_reply(self._runner.run(request), request.request_id)

    def _post_ticket(self, service: ServiceName, environ: Environ) -> Reply:
        self._settings(service)
        ticket = self._tickets.issue(service, _tenant(environ), _class_name(environ))
        return _ticket_reply(HTTPStatus.CREATED, ticket)

    def _use_ticket(
        self, ticket_id: TicketId, environ: Environ, *, has_body: bool
    ) -> Reply:
        ticket = parse_ticket(ticket_id)
        if ticket is None:
            raise BadRequest(HTTPStatus.NOT_FOUND, "no such ticket")
        settings = self._settings(ticket.service)
        timeout_ms = _timeout_ms(environ, settings.default_timeout_ms)
        body = _read_body(environ, settings.max_body_bytes) if has_body else None
        outcome = self._tickets.use(ticket_id, timeout_ms, _content_type(environ), body)
        if outcome is None and has_body:
            raise BadRequest(HTTPStatus.NOT_FOUND, "no such ticket")
        if outcome is None:
            return _text_reply(HTTPStatus.NOT_FOUND, "not started\n")
        return _outcome_reply(outcome, RequestId(ticket_id))

    def _settings(self, service: ServiceName) -> ServiceSettings:
        config = self._documents.config
        if config is None:
            raise BadRequest(HTTPStatus.SERVICE_UNAVAILABLE, "no configuration yet")
        site = config.for_site(self._own.data_center)
        if service not in site.services:
            raise BadRequest(HTTPStatus.NOT_FOUND, f"no service {service}")
        return site.services[service]

    def _next_request_id(self) -> RequestId:
        number = next(self._request_numbers)
        return RequestId(f"{self._own.entry}.{self._own.incarnation}.{number}")


def _tenant(environ: Environ) -> TenantName:
    return TenantName(_header_value(environ, "HTTP_X_TENANT", "X-Tenant"))


def _class_name(environ: Environ) -> ClassName:
    return ClassName(_header_value(environ, "HTTP_X_CLASS", "X-Class"))


def _header_value(environ: Environ, key: str, header: str) -> str:
    value = environ.get(key, "default")
    is_plain = value.isascii() and value.replace("-", "").replace("_", "").isalnum()
    if not is_plain or len(value) > MAX_NAME_CHARACTERS:
        detail = f"{header} must be 1 to {MAX_NAME_CHARACTERS} letters, digits, - and _"
        raise BadRequest(HTTPStatus.BAD_REQUEST, detail)
    return value


def _is_idempotent(environ: Environ) -> bool:
    value = environ.get("HTTP_X_IDEMPOTENT", "false").lower()
    if value not in ("true", "false"):
        raise BadRequest(HTTPStatus.BAD_REQUEST, "X-Idempotent must be true or false")
    return value == "true"


def _timeout_ms(environ: Environ, default_ms: int) -> int:
    timeout_ms = parse_count(environ.get("HTTP_X_TIMEOUT_MS", str(default_ms)))
    if timeout_ms is None or not 1 <= timeout_ms <= MAX_TIMEOUT_MS:
        detail = f"X-Timeout-Ms must be 1 to {MAX_TIMEOUT_MS}"
        raise BadRequest(HTTPStatus.BAD_REQUEST, detail)
    return timeout_ms


def _content_type(environ: Environ) -> str:
    return environ.get("CONTENT_TYPE") or DEFAULT_CONTENT_TYPE


def _read_body(environ: Environ, max_bytes: int) -> bytes:
    """Read the whole body.

    Raises
    ------
    BadRequest
        If the length of the body is missing, not a number or above ``max_bytes``,
        or if the body is not received completely within ``BODY_TIMEOUT_MS``.
    """
    if "HTTP_TRANSFER_ENCODING" in environ:
        detail = "send a Content-Length, not a Transfer-Encoding"
        raise BadRequest(HTTPStatus.LENGTH_REQUIRED, detail)
    text = environ.get("CONTENT_LENGTH") or ""
    if not text:
        raise BadRequest(HTTPStatus.LENGTH_REQUIRED, "Content-Length is required")
    length = parse_count(text)
    if length is None:
        raise BadRequest(HTTPStatus.BAD_REQUEST, "Content-Length is not a number")
    if length > max_bytes:
        detail = f"the body may have {max_bytes} bytes"
        raise BadRequest(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, detail)
    try:
        with Timeout(BODY_TIMEOUT_MS / 1000.0):
            body = environ["wsgi.input"].read(length)
    except (Timeout, TimeoutError):
        detail = "the body came too slowly"
        raise BadRequest(HTTPStatus.REQUEST_TIMEOUT, detail) from None
    except (OSError, ValueError):
        body = b""
    if len(body) != length:
        raise BadRequest(HTTPStatus.BAD_REQUEST, "the body ended early")
    return body


def _outcome_reply(outcome: Outcome, request_id: RequestId) -> Reply:
    common_headers = (
        ("X-Outcome", outcome_kind(outcome).value),
        ("X-Request-Id", request_id),
    )
    match outcome:
        case Answered(status, content_type, body):
            return Reply(
                status, (*common_headers, ("Content-Type", content_type)), body
            )
        case NotRun(reason, retry_after_ms):
            retry_after_s = max(1, math.ceil(retry_after_ms / 1000.0))
            headers = (
                *common_headers,
                ("Content-Type", "application/json"),
                ("Retry-After", str(retry_after_s)),
                ("X-Retry-After-Ms", str(retry_after_ms)),
            )
            status = _STATUS_BY_REASON.get(reason, HTTPStatus.SERVICE_UNAVAILABLE)
            return Reply(status, headers, _outcome_body(outcome, retry_after_ms))
        case Unknown(reason):
            headers = (*common_headers, ("Content-Type", "application/json"))
            status = _STATUS_BY_REASON.get(reason, HTTPStatus.BAD_GATEWAY)
            return Reply(status, headers, _outcome_body(outcome, None))


def _outcome_body(outcome: NotRun | Unknown, retry_after_ms: int | None) -> bytes:
    fields: dict[str, Any] = {
        "outcome": outcome_kind(outcome).value,
        "reason": outcome.reason.value,
    }
    if retry_after_ms is not None:
        fields["retry_after_ms"] = retry_after_ms
    return json.dumps(fields).encode()


def _ticket_reply(status: HTTPStatus, ticket: TicketId) -> Reply:
    location = f"/v1/tickets/{ticket}"
    body = json.dumps({"ticket": ticket, "location": location}).encode()
    headers = (("Location", location), ("Content-Type", "application/json"))
    return Reply(status, headers, body)


def _bad_request_reply(error: BadRequest) -> Reply:
    """Return the response to an invalid request.

    It closes the connection, because the end of the request may be uncertain.
    """
    body = json.dumps({"outcome": "not_run", "detail": error.detail}).encode()
    headers = (
        ("X-Outcome", OutcomeKind.NOT_RUN.value),
        ("Content-Type", "application/json"),
        ("Connection", "close"),
    )
    return Reply(error.status, headers, body)


def _text_reply(status: HTTPStatus, text: str) -> Reply:
    return Reply(status, (("Content-Type", "text/plain"),), text.encode())


def _reason_phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Status"
