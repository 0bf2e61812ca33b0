"""HTTP client of the instances.

A connection is reused only after a complete exchange and only if it has been idle
for at most ``MAX_IDLE_MS``. The number of idle connections is limited, so that all
entries together stay within an instance's connection limit.
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
    InstanceDisconnected,
    InstanceError,
    InstanceRefused,
    InstanceTimedOut,
    InstanceUnreachable,
)
from corianderpitch.ids import VmId
from corianderpitch.ports import Call, Endpoint, Exchange, Load

CONNECT_TIMEOUT_MS = 250.0
LOAD_TIMEOUT_MS = 250.0
MAX_IDLE_MS = 5000.0
MIN_TIMEOUT_S = 0.001
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
_TRANSFER_ERRORS = (urllib3.exceptions.HTTPError, OSError)


@dataclass(slots=True)
class _IdleConnection:
    connection: HTTPConnection
    since_ms: float


class HttpEndpoint(Endpoint):
    """Sends requests to instances and pools the connections to them.

    Connections are bound to the local address ``source_host``; by default the
    operating system chooses it.
    """

    def __init__(self, clock: Clock, source_host: str = ""):
        self._clock = clock
        self._source_address = (source_host, 0)
        self._idle: dict[str, list[_IdleConnection]] = defaultdict(list)
        self._next_sweep_ms = 0.0

    def start(
        self, vm_id: VmId, address: str, call: Call
    ) -> Result[Exchange, InstanceError]:
        """Send a request over a reused connection or a new one."""
        connection = (
            None if call.needs_new_connection else self._pop_idle_connection(address)
        )
        is_reused = connection is not None
        if connection is None:
            connected = self._connect(vm_id, address)
            if not isinstance(connected, Success):
                return connected
            connection = connected.unwrap()
        exchange = HttpExchange(
            self, self._clock, vm_id, address, connection, call, is_reused
        )
        return exchange.send()

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
        except (*_TRANSFER_ERRORS, ValueError, KeyError, TypeError):
            return Failure(InstanceUnreachable(vm_id))
        finally:
            connection.close()

    def _connect(
        self, vm_id: VmId, address: str
    ) -> Result[HTTPConnection, InstanceError]:
        host, _, port = address.rpartition(":")
        timeout_s = CONNECT_TIMEOUT_MS / 1000.0
        connection = HTTPConnection(
            host, int(port), timeout=timeout_s, source_address=self._source_address
        )
        try:
            connection.connect()
        except (*_CONNECT_ERRORS, OSError):
            connection.close()
            return Failure(InstanceUnreachable(vm_id))
        return Success(connection)

    def _pop_idle_connection(self, address: str) -> HTTPConnection | None:
        idle = self._idle[address]
        while idle:
            newest = idle.pop()
            is_recent = self._clock.now_ms() - newest.since_ms <= MAX_IDLE_MS
            if is_recent and _is_open(newest.connection):
                return newest.connection
            newest.connection.close()
        return None

    def release_connection(
        self, address: str, connection: HTTPConnection, idle_limit: int
    ) -> None:
        """Keep a connection for reuse, or close it if ``idle_limit`` is reached."""
        self._close_expired()
        idle = self._idle[address]
        if connection.sock is None or len(idle) >= idle_limit:
            connection.close()
            return
        idle.append(_IdleConnection(connection, self._clock.now_ms()))

    def _close_expired(self) -> None:
        """Close connections that were idle for longer than ``MAX_IDLE_MS``.

        This includes those to VMs that are never used again.
        """
        now_ms = self._clock.now_ms()
        if now_ms < self._next_sweep_ms:
            return
        self._next_sweep_ms = now_ms + MAX_IDLE_MS
        for address, idle in list(self._idle.items()):
            recent = [i for i in idle if now_ms - i.since_ms <= MAX_IDLE_MS]
            for expired in idle[: len(idle) - len(recent)]:
                expired.connection.close()
            if recent:
                self._idle[address] = recent
            else:
                del self._idle[address]

    def close_idle_connections(self, address: str) -> None:
        """Close the idle connections to an instance."""
        for idle in self._idle.pop(address, []):
            idle.connection.close()


class HttpExchange(Exchange):
    """One HTTP request on one connection.

    The connection is kept for reuse only after a complete answer. If no answer begins
    before the exchange ends, the idle connections to the same instance are closed
    too, because their remote ends may have been lost at the same time.
    """

    def __init__(
        self,
        endpoint: HttpEndpoint,
        clock: Clock,
        vm_id: VmId,
        address: str,
        connection: HTTPConnection,
        call: Call,
        is_reused: bool,
    ):
        self.is_reused = is_reused
        self._endpoint = endpoint
        self._clock = clock
        self._vm_id = vm_id
        self._address = address
        self._connection = connection
        self._call = call
        self._deadline_ms = clock.now_ms() + call.timeout_ms

    def send(self) -> Result[Exchange, InstanceError]:
        """Send the request."""
        headers = {
            "Content-Type": self._call.content_type,
            "X-Request-Id": self._call.request_id,
            "X-Timeout-Ms": str(int(self._call.timeout_ms)),
        }
        self._connection.timeout = self._remaining_s()
        is_sent = False
        try:
            with eventlet.Timeout(self._remaining_s()):
                self._connection.request(
                    "POST", "/run", body=self._call.body, headers=headers
                )
            is_sent = True
            return Success(self)
        except _TIMEOUT_ERRORS:
            self._endpoint.close_idle_connections(self._address)
            return Failure(InstanceTimedOut(self._vm_id))
        except _TRANSFER_ERRORS:
            return Failure(InstanceDisconnected(self._vm_id))
        finally:
            if not is_sent:
                self._connection.close()

    def wait_for_first_byte(self, within_ms: float) -> bool:
        """Wait for the first byte of the answer; return whether it came in time."""
        try:
            trampoline(self._connection.sock, read=True, timeout=within_ms / 1000.0)
        except eventlet.Timeout:
            return False
        return True

    def finish(self) -> Result[Answered, InstanceError]:
        """Wait for the whole answer and release the connection."""
        is_unanswered = True
        is_complete = False
        try:
            with eventlet.Timeout(self._remaining_s()):
                response = self._connection.getresponse()
                is_unanswered = False
                answer = _read_answer(self._vm_id, response, response.data)
            is_complete = _is_complete_answer(answer)
            return answer
        except _TIMEOUT_ERRORS:
            return Failure(InstanceTimedOut(self._vm_id))
        except _TRANSFER_ERRORS:
            is_unanswered = False
            return Failure(InstanceDisconnected(self._vm_id))
        finally:
            self._release(is_complete, is_unanswered)

    def _release(self, is_complete: bool, is_unanswered: bool) -> None:
        """Keep or close the connection.

        This also runs when the exchange is killed because another attempt was
        answered first.
        """
        if is_complete:
            self._endpoint.release_connection(
                self._address, self._connection, self._call.idle_limit
            )
            return
        self._connection.close()
        if is_unanswered:
            self._endpoint.close_idle_connections(self._address)

    def _remaining_s(self) -> float:
        remaining_ms = self._deadline_ms - self._clock.now_ms()
        return max(MIN_TIMEOUT_S, remaining_ms / 1000.0)


def _is_open(connection: HTTPConnection) -> bool:
    """Return whether an idle connection is open and has no unread data."""
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
    if not _has_explicit_end(response):
        return Failure(InstanceDisconnected(vm_id))
    not_run_reason = response.headers.get(NOT_RUN_HEADER)
    if response.status == HTTP_UNAVAILABLE and not_run_reason is not None:
        return Failure(InstanceRefused(vm_id, not_run_reason == LEAVING_VALUE))
    content_type = response.headers.get("Content-Type", DEFAULT_CONTENT_TYPE)
    return Success(Answered(response.status, content_type, body))


def _is_complete_answer(answer: Result[Answered, InstanceError]) -> bool:
    match answer:
        case Success(_) | Failure(InstanceRefused()):
            return True
    return False


def _has_explicit_end(response: urllib3.BaseHTTPResponse) -> bool:
    """Return whether the headers define where the answer ends.

    An answer that is truncated inside its headers parses as one without a length.
    """
    headers = response.headers
    return "Content-Length" in headers or "Transfer-Encoding" in headers
