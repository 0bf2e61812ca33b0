"""Client of the instances over HTTP.

Connections are reused only while they are young and only after a complete
exchange, and only so many are kept idle that all entries together stay within
an instance's connections.
"""

from collections import defaultdict
from dataclasses import dataclass

import eventlet
import urllib3
from eventlet.green import socket
from eventlet.hubs import trampoline
from returns.result import Failure, Result, Success
from urllib3.connection import HTTPConnection

from corianderpitch.clock import Clock
from corianderpitch.domain.outcomes import Answered
from corianderpitch.errors import (
    InstanceBrokeOff,
    InstanceError,
    InstanceRefused,
    InstanceSilent,
    InstanceUnreachable,
)
from corianderpitch.ids import VmId
from corianderpitch.ports import Call, Endpoint, Load

CONNECT_TIMEOUT_MS = 250.0
LOAD_TIMEOUT_MS = 250.0
MAX_IDLE_MS = 5000.0
HTTP_UNAVAILABLE = 503
NOT_RUN_HEADER = "X-Not-Run"
LEAVING_VALUE = "leaving"
DEFAULT_CONTENT_TYPE = "application/octet-stream"

_CONNECT_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)
_TIMEOUT_ERRORS = (
    eventlet.Timeout,
    urllib3.exceptions.TimeoutError,
    TimeoutError,
)
_BROKEN_ERRORS = (urllib3.exceptions.HTTPError, OSError)


@dataclass(slots=True)
class _Idle:
    connection: HTTPConnection
    since_ms: float


class HttpEndpoint(Endpoint):
    """Runs requests on instances and keeps their connections.

    Connections leave from ``source_host``, by default the system's choice.
    """

    def __init__(self, clock: Clock, source_host: str = ""):
        self._clock = clock
        self._source = (source_host, 0)
        self._idle: dict[str, list[_Idle]] = defaultdict(list)

    def run(
        self, vm_id: VmId, address: str, call: Call
    ) -> Result[Answered, InstanceError]:
        """Run a request and return its whole answer.

        Only ``InstanceUnreachable`` and ``InstanceRefused`` mean that the
        request did not run. A silent connection condemns the idle ones to the
        same instance, which may have lost their other end together.
        """
        connection = None if call.is_once else self._young_connection(address)
        is_reused = connection is not None
        if connection is None:
            connected = self._connect(vm_id, address)
            if not isinstance(connected, Success):
                return connected
            connection = connected.unwrap()
        outcome = self._exchange(vm_id, connection, call, is_reused)
        match outcome:
            case Success(_) | Failure(InstanceRefused()):
                self._keep(address, connection, call.idle_limit)
            case Failure(InstanceSilent()):
                connection.close()
                self._condemn_idle(address)
            case _:
                connection.close()
        return outcome

    def load(self, vm_id: VmId, address: str) -> Result[Load, InstanceError]:
        """Ask an instance for its load over a new connection."""
        connected = self._connect(vm_id, address)
        if not isinstance(connected, Success):
            return connected
        connection = connected.unwrap()
        connection.timeout = LOAD_TIMEOUT_MS / 1000.0
        try:
            connection.request("GET", "/load")
            report = connection.getresponse().json()
            return Success(Load(int(report["running"]), bool(report["leaving"])))
        except (*_BROKEN_ERRORS, ValueError, KeyError, TypeError):
            return Failure(InstanceUnreachable(vm_id))
        finally:
            connection.close()

    def _connect(
        self, vm_id: VmId, address: str
    ) -> Result[HTTPConnection, InstanceError]:
        host, _, port = address.rpartition(":")
        timeout_s = CONNECT_TIMEOUT_MS / 1000.0
        connection = HTTPConnection(
            host, int(port), timeout=timeout_s, source_address=self._source
        )
        try:
            connection.connect()
        except (*_CONNECT_ERRORS, OSError):
            connection.close()
            return Failure(InstanceUnreachable(vm_id))
        return Success(connection)

    def _exchange(
        self, vm_id: VmId, connection: HTTPConnection, call: Call, is_reused: bool
    ) -> Result[Answered, InstanceError]:
        headers = {
            "Content-Type": call.content_type,
            "X-Request-Id": call.request_id,
            "X-Timeout-Ms": str(int(call.timeout_ms)),
        }
        timeout_s = max(0.001, call.timeout_ms / 1000.0)
        connection.timeout = timeout_s
        try:
            with eventlet.Timeout(timeout_s):
                connection.request("POST", "/run", body=call.body, headers=headers)
                if is_reused and _is_silent(connection, call) and call.may_give_up():
                    return Failure(InstanceSilent(vm_id))
                response = connection.getresponse()
                body = response.data
        except _TIMEOUT_ERRORS:
            return Failure(InstanceSilent(vm_id))
        except _BROKEN_ERRORS:
            return Failure(InstanceBrokeOff(vm_id))
        return _read_answer(vm_id, response, body)

    def _young_connection(self, address: str) -> HTTPConnection | None:
        idle = self._idle[address]
        while idle:
            newest = idle.pop()
            is_young = self._clock.now_ms() - newest.since_ms <= MAX_IDLE_MS
            if is_young and _is_open(newest.connection):
                return newest.connection
            newest.connection.close()
        return None

    def _keep(self, address: str, connection: HTTPConnection, idle_limit: int) -> None:
        idle = self._idle[address]
        if connection.sock is None or len(idle) >= idle_limit:
            connection.close()
            return
        idle.append(_Idle(connection, self._clock.now_ms()))

    def _condemn_idle(self, address: str) -> None:
        for idle in self._idle.pop(address, []):
            idle.connection.close()


def _is_silent(connection: HTTPConnection, call: Call) -> bool:
    """Wait for the first byte of an answer; tell whether none came in time."""
    try:
        trampoline(connection.sock, read=True, timeout=call.silence_ms / 1000.0)
    except eventlet.Timeout:
        return True
    return False


def _is_open(connection: HTTPConnection) -> bool:
    """Tell whether an idle connection is open and has brought nothing."""
    flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
    try:
        connection.sock.fd.recv(1, flags)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def _read_answer(
    vm_id: VmId, response: urllib3.BaseHTTPResponse, body: bytes
) -> Result[Answered, InstanceError]:
    if not _has_known_length(response):
        return Failure(InstanceBrokeOff(vm_id))
    refusal = response.headers.get(NOT_RUN_HEADER)
    if response.status == HTTP_UNAVAILABLE and refusal is not None:
        return Failure(InstanceRefused(vm_id, refusal == LEAVING_VALUE))
    content_type = response.headers.get("Content-Type", DEFAULT_CONTENT_TYPE)
    return Success(Answered(response.status, content_type, body))


def _has_known_length(response: urllib3.BaseHTTPResponse) -> bool:
    """Tell whether the answer itself says where it ends.

    An answer cut off inside its headers parses as one without a length.
    """
    headers = response.headers
    return "Content-Length" in headers or "Transfer-Encoding" in headers
