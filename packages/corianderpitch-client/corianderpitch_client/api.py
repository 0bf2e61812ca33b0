"""Clients of the operators' and the callers' HTTP interfaces."""

import json
import time
import uuid
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import urllib3

from corianderpitch_client.errors import NoEntryReachable, RequestFailed, WaitTimedOut

OPERATOR_TIMEOUT_S = 10.0
LOST_ANSWER_ATTEMPTS = 4
RETRY_PAUSE_S = 0.5
POLL_PAUSE_S = 0.1
CALL_GRACE_MS = 2000
HTTP_BAD_REQUEST = 400
HTTP_TEMPORARY_REDIRECT = 307
RETRIED = frozenset({"outcome_lost", "platform_unavailable", "rate_limited"})


def new_operation_id() -> str:
    """Return an id that makes a retry of the same change harmless."""
    return uuid.uuid4().hex


class OperatorClient:
    """Operators' requests to the first entry that answers."""

    def __init__(self, entries: tuple[str, ...]):
        self._entries = entries
        self._http = urllib3.PoolManager(retries=False, timeout=OPERATOR_TIMEOUT_S)

    def get(self, path: str) -> Any:
        """Read something.

        Raises
        ------
        NoEntryReachable
            If no entry answers.
        RequestFailed
            If an entry answers with a failure.
        """
        return self._request("GET", path, None)

    def post(self, path: str, body: Any, *, is_repeatable: bool = False) -> Any:
        """Change something.

        A body with an operation id, or one that is said to be repeatable, is
        sent again when the answer was lost or the platform was away, because a
        repeat has no second effect.
        """
        has_id = isinstance(body, dict) and "operation_id" in body
        attempts = LOST_ANSWER_ATTEMPTS if has_id or is_repeatable else 1
        for attempt in range(1, attempts + 1):
            try:
                return self._request("POST", path, body)
            except RequestFailed as error:
                if error.name not in RETRIED or attempt == attempts:
                    raise
                time.sleep(RETRY_PAUSE_S * attempt)
        raise AssertionError("unreachable")

    def wait(
        self,
        what: str,
        look: Callable[[], str | None],
        timeout_ms: int,
        show: Callable[[str], None],
    ) -> None:
        """Poll until ``look`` returns ``None``; its texts are shown as progress.

        Raises
        ------
        WaitTimedOut
            If that takes longer than ``timeout_ms``.
        """
        deadline_s = time.monotonic() + timeout_ms / 1000.0
        shown = ""
        while time.monotonic() < deadline_s:
            progress = look()
            if progress is None:
                return
            if progress != shown:
                show(progress)
                shown = progress
            time.sleep(POLL_PAUSE_S)
        raise WaitTimedOut(what, timeout_ms)

    def _request(self, method: str, path: str, body: Any) -> Any:
        for entry in self._entries:
            try:
                response = self._http.request(
                    method, entry + path, json=body if method == "POST" else None
                )
            except urllib3.exceptions.HTTPError:
                continue
            return _value(response)
        raise NoEntryReachable(self._entries)


def _value(response: urllib3.BaseHTTPResponse) -> Any:
    value = response.json()
    if response.status >= HTTP_BAD_REQUEST:
        name = value.pop("error", "failed")
        raise RequestFailed(name, value)
    return value


@dataclass(frozen=True, slots=True)
class CallOutcome:
    """How a caller's request ended.

    ``outcome`` is ``answered``, ``not_run`` or ``unknown``.
    """

    outcome: str
    status: int
    body: bytes
    retry_after_ms: int | None
    total_ms: float

    @property
    def reason(self) -> str:
        """Return why a request was not answered."""
        if self.outcome == "answered":
            return ""
        try:
            return str(json.loads(self.body).get("reason", ""))
        except ValueError:
            return ""


class CallerClient:
    """Callers' requests; a non-idempotent one goes through a ticket."""

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

        An answer that does not arrive is ``unknown``.
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
                return _outcome(response, started_s, if_lost="not_run")
            url = entry + response.headers["Location"]
        response = self._post(url, body, headers, timeout_ms)
        return _outcome(response, started_s, if_lost="unknown")

    def _post(
        self, url: str, body: bytes, headers: dict[str, str], timeout_ms: int
    ) -> urllib3.BaseHTTPResponse | None:
        timeout_s = (timeout_ms + CALL_GRACE_MS) / 1000.0
        try:
            return self._http.request(
                "POST", url, body=body, headers=headers, timeout=timeout_s
            )
        except urllib3.exceptions.HTTPError:
            return None


def _outcome(
    response: urllib3.BaseHTTPResponse | None, started_s: float, if_lost: str
) -> CallOutcome:
    total_ms = (time.monotonic() - started_s) * 1000.0
    if response is None:
        return CallOutcome(if_lost, 0, b"", None, total_ms)
    retry_text = response.headers.get("X-Retry-After-Ms")
    return CallOutcome(
        response.headers.get("X-Outcome", if_lost),
        response.status,
        response.data,
        int(retry_text) if retry_text else None,
        total_ms,
    )
