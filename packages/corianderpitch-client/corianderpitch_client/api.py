"""Clients of the HTTP interfaces for operators and for callers."""

import json
import time
import uuid
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import urllib3

from corianderpitch_client.errors import NoEntryReachable, RequestFailed, WaitTimedOut

OPERATOR_REQUEST_TIMEOUT_S = 10.0
MAX_POST_ATTEMPTS = 4
RETRY_BACKOFF_S = 0.5  # the delay before a retry grows linearly
POLL_INTERVAL_S = 0.1
# The client waits longer than the entry, which reports a timeout itself.
RESPONSE_GRACE_MS = 2000
HTTP_BAD_REQUEST = 400
HTTP_TEMPORARY_REDIRECT = 307
RETRIABLE_ERRORS = frozenset({"outcome_lost", "platform_unavailable", "rate_limited"})


def new_operation_id() -> str:
    """Return a unique id for a change, so that a retry has no second effect."""
    return uuid.uuid4().hex


class OperatorClient:
    """Client of the operators' interface.

    Each request is sent to the first of the entries that answers.
    """

    def __init__(self, entries: tuple[str, ...]):
        self._entries = entries
        self._http = urllib3.PoolManager(
            retries=False, timeout=OPERATOR_REQUEST_TIMEOUT_S
        )

    def get(self, path: str) -> Any:
        """Send a GET request and return the decoded JSON body.

        Raises
        ------
        NoEntryReachable
            If no entry answers.
        RequestFailed
            If an entry answers with an error.
        """
        return self._request("GET", path, None)

    def post(self, path: str, body: Any, *, is_repeatable: bool = False) -> Any:
        """Send a POST request and return the decoded JSON body.

        A request whose body has an operation id, or for which ``is_repeatable`` is
        set, has no second effect when it is repeated. It is therefore retried if an
        entry answers that the outcome was lost, the platform was unavailable or the
        platform's rate limit was exceeded. There are at most ``MAX_POST_ATTEMPTS``
        attempts.

        Raises
        ------
        NoEntryReachable
            If no entry answers.
        RequestFailed
            If an entry answers with an error, and the request is not retried again.
        """
        has_operation_id = isinstance(body, dict) and "operation_id" in body
        attempts = MAX_POST_ATTEMPTS if has_operation_id or is_repeatable else 1
        for attempt in range(1, attempts + 1):
            try:
                return self._request("POST", path, body)
            except RequestFailed as error:
                if error.name not in RETRIABLE_ERRORS or attempt == attempts:
                    raise
                time.sleep(RETRY_BACKOFF_S * attempt)
        raise AssertionError("unreachable")

    def wait(
        self,
        goal: str,
        poll: Callable[[], str | None],
        timeout_ms: int,
        on_progress: Callable[[str], None],
    ) -> None:
        """Call ``poll`` repeatedly until it returns ``None``.

        Any other result of ``poll`` describes the progress. It is passed to
        ``on_progress`` whenever it changes.

        Raises
        ------
        WaitTimedOut
            If ``poll`` has not returned ``None`` within ``timeout_ms``. ``goal``
            says in the message what was not reached.
        """
        deadline_s = time.monotonic() + timeout_ms / 1000.0
        last_progress = ""
        while time.monotonic() < deadline_s:
            progress = poll()
            if progress is None:
                return
            if progress != last_progress:
                on_progress(progress)
                last_progress = progress
            time.sleep(POLL_INTERVAL_S)
        raise WaitTimedOut(goal, timeout_ms)

    def _request(self, method: str, path: str, body: Any) -> Any:
        for entry in self._entries:
            try:
                response = self._http.request(
                    method, entry + path, json=body if method == "POST" else None
                )
            except urllib3.exceptions.HTTPError:
                continue
            return _decode_response(response)
        raise NoEntryReachable(self._entries)


def _decode_response(response: urllib3.BaseHTTPResponse) -> Any:
    body = response.json()
    if response.status >= HTTP_BAD_REQUEST:
        name = body.pop("error", "failed")
        raise RequestFailed(name, body)
    return body


@dataclass(frozen=True, slots=True)
class CallOutcome:
    """Outcome of a caller's request.

    ``outcome`` is ``answered``, ``not_run`` or ``unknown``. ``status`` and ``body``
    are those of the HTTP response; without a response, they are 0 and empty.
    ``retry_after_ms`` is the delay that the entry asks for before a retry, if any.
    ``total_ms`` is the time from the call to its outcome.
    """

    outcome: str
    status: int
    body: bytes
    retry_after_ms: int | None
    total_ms: float

    @property
    def reason(self) -> str:
        """Return why the request was not answered; empty if answered or unknown."""
        if self.outcome == "answered":
            return ""
        try:
            return str(json.loads(self.body).get("reason", ""))
        except ValueError:
            return ""


class CallerClient:
    """Client of the callers' interface.

    A request that is not idempotent is sent with a ticket, because an entry runs a
    ticket at most once.
    """

    def __init__(self, max_connections: int = 64):
        self._http = urllib3.PoolManager(
            retries=False, maxsize=max_connections, num_pools=64
        )

    def call(
        self,
        entry: str,
        service: str,
        body: bytes,
        *,
        is_idempotent: bool,
        timeout_ms: int = 2000,
        tenant: str = "default",
        class_name: str = "default",
    ) -> CallOutcome:
        """Send one request and return its outcome.

        The outcome is ``unknown`` if no response to the request arrives, and
        ``not_run`` if the client cannot get a ticket for it.
        """
        headers = {
            "X-Tenant": tenant,
            "X-Class": class_name,
            "X-Timeout-Ms": str(timeout_ms),
            "X-Idempotent": str(is_idempotent).lower(),
            "Content-Type": "application/json",
        }
        started_s = time.monotonic()
        url = f"{entry}/v1/services/{service}/requests"
        if not is_idempotent:
            ticket_url = f"{entry}/v1/services/{service}/tickets"
            response = self._post(ticket_url, b"", headers, timeout_ms)
            if response is None or "Location" not in response.headers:
                return _parse_outcome(response, started_s, default_outcome="not_run")
            url = entry + response.headers["Location"]
        response = self._post(url, body, headers, timeout_ms)
        return _parse_outcome(response, started_s, default_outcome="unknown")

    def _post(
        self, url: str, body: bytes, headers: dict[str, str], timeout_ms: int
    ) -> urllib3.BaseHTTPResponse | None:
        timeout_s = (timeout_ms + RESPONSE_GRACE_MS) / 1000.0
        try:
            return self._http.request(
                "POST", url, body=body, headers=headers, timeout=timeout_s
            )
        except urllib3.exceptions.HTTPError:
            return None


def _parse_outcome(
    response: urllib3.BaseHTTPResponse | None, started_s: float, default_outcome: str
) -> CallOutcome:
    total_ms = (time.monotonic() - started_s) * 1000.0
    if response is None:
        return CallOutcome(default_outcome, 0, b"", None, total_ms)
    retry_text = response.headers.get("X-Retry-After-Ms")
    return CallOutcome(
        response.headers.get("X-Outcome", default_outcome),
        response.status,
        response.data,
        int(retry_text) if retry_text else None,
        total_ms,
    )
