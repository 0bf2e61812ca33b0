"""Requests in hand while an entry is stopped, reloaded or configured anew.

Callers are threads that note when the last byte of a request was sent and when its
connection ended. A call that was sent well before the end must have an answer.
"""

import json
import random
import signal
import socket
import threading
import time
from dataclasses import dataclass

import pytest

from corianderpitch_standins.localfleet import wait_until
from corianderpitch_standins.soakfleet import (
    CONFIG,
    EXIT_SLACK_S,
    GRACE_S,
    SoakFleet,
)

LOSS_SLACK_S = 0.2
EXIT_TIMEOUT_S = 15.0
CALL_TIMEOUT_S = 10.0
RECEIVE_BYTES = 65536
KILL_S = GRACE_S + EXIT_SLACK_S  # a process that is still there is killed
STEPS = [{"count": 1, "cpu": 100, "mem_mb": 10, "estimate_ms": 50}]


@dataclass(frozen=True, slots=True)
class Call:
    """A request, when it was sent and ended, and its status if it had an answer."""

    method: str
    path: str
    sent_s: float
    ended_s: float
    status: int | None

    @property
    def is_lost(self):
        return self.status is None and self.ended_s - self.sent_s > LOSS_SLACK_S


def encode(method, path, body=None):
    data = json.dumps(body).encode() if body is not None else b""
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: shop.example\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
    )
    return head.encode() + data


def submission(number):
    path = f"/counter/{number:016x}"
    return "POST", path, {"spec": "text", "steps": STEPS}


def receive(opened):
    """Return the status of one answer and whether the connection stays open.

    The status is ``None`` if the answer is not complete.
    """
    data = b""
    try:
        while b"\r\n\r\n" not in data:
            part = opened.recv(RECEIVE_BYTES)
            if not part:
                return None, False
            data += part
        head, _, body = data.partition(b"\r\n\r\n")
        lines = head.decode().lower().split("\r\n")
        length = next(int(x[15:]) for x in lines if x.startswith("content-length:"))
        while len(body) < length:
            part = opened.recv(RECEIVE_BYTES)
            if not part:
                return None, False
            body += part
    except OSError:
        return None, False
    return int(lines[0].split()[1]), "connection: close" not in lines


def connect(entry):
    host, _, port = entry.front.rpartition(":")
    return socket.create_connection((host, int(port)), CALL_TIMEOUT_S)


def exchange(opened, method, path, body=None):
    """Make a call; returns it, and whether the connection stays open."""
    sent_s = time.monotonic()
    try:
        opened.sendall(encode(method, path, body))
        sent_s = time.monotonic()
    except OSError:
        return Call(method, path, sent_s, sent_s, None), False
    status, stays_open = receive(opened)
    return Call(method, path, sent_s, time.monotonic(), status), stays_open


class Caller(threading.Thread):
    """Makes calls to one entry until it is gone, or until stopped."""

    def __init__(self, entry, number, keeps_connection=True, pause_s=0.0):
        super().__init__(daemon=True)
        self._entry = entry
        self._number = number
        self._rng = random.Random(number)
        self._keeps_connection = keeps_connection
        self._pause_s = pause_s
        self.calls = []
        self.is_stopped = False

    def run(self):
        while not self.is_stopped:
            try:
                with connect(self._entry) as opened:
                    self._use(opened)
            except OSError:
                time.sleep(0.02)
                if not self._entry.is_running:
                    return

    def _use(self, opened):
        stays_open = True
        while stays_open and not self.is_stopped:
            call, stays_open = exchange(opened, *self._next_request())
            self.calls.append(call)
            stays_open = stays_open and self._keeps_connection
            time.sleep(self._rng.uniform(0.0, self._pause_s))

    def _next_request(self):
        number = self._number * 100_000 + len(self.calls) + 1
        if self._rng.random() < 0.5:
            return submission(number)
        return self._rng.choice(
            (
                ("GET", f"/counter/{number - 1:016x}"),
                ("DELETE", f"/counter/{number - 1:016x}"),
                ("GET", "/counter/"),
            )
        )


@pytest.fixture
def fleet(tmp_path):
    soak_fleet = SoakFleet(tmp_path)
    try:
        yield soak_fleet
    finally:
        soak_fleet.close()


@pytest.fixture
def entry(fleet):
    started = fleet.start_entry("e0")
    fleet.wait_ready()
    wait_until(lambda: started.is_holder, 10.0, "a scheduler")
    return started


def start_callers(entry, count, **options):
    callers = [Caller(entry, number + 1, **options) for number in range(count)]
    for caller in callers:
        caller.start()
    return callers


def stop_and_kill(fleet, entry, kill_s=KILL_S):
    """Stop an entry as the platform does; return its exit code."""
    fleet.signal(entry, signal.SIGTERM)
    deadline_s = time.monotonic() + kill_s
    while entry.is_running and time.monotonic() < deadline_s:
        time.sleep(0.01)
    entry.process.kill()
    return entry.process.wait(EXIT_TIMEOUT_S)


def lost_calls(callers):
    for caller in callers:
        caller.is_stopped = True
        caller.join(CALL_TIMEOUT_S)
    return [call for caller in callers for call in caller.calls if call.is_lost]


def test_an_entry_ends_in_time_beside_callers_that_keep_connecting(fleet, entry):
    """There was always a request in hand, so that the process was killed."""
    callers = start_callers(entry, 16, keeps_connection=False, pause_s=0.02)
    time.sleep(0.5)
    assert stop_and_kill(fleet, entry) == 0
    assert not lost_calls(callers)


def test_requests_in_hand_are_answered_in_time_beside_a_store_that_is_often_silent(
    fleet, entry
):
    """The release of the role and each call waited for the store for too long."""
    callers = start_callers(entry, 16, pause_s=0.1)
    fleet.control("store-faults", silent_share=0.8)
    assert stop_and_kill(fleet, entry, GRACE_S) == 0
    assert not lost_calls(callers)


def test_a_request_that_arrives_while_an_ending_entry_is_held_up_is_answered(
    fleet, entry
):
    """The process ended without another look at its connections."""
    with connect(entry) as opened:
        exchange(opened, "GET", "/counter/")
        fleet.signal(entry, signal.SIGTERM)
        text = "All requests completed"
        wait_until(lambda: text in entry.log.read_text(), 5.0, "the end")
        fleet.signal(entry, signal.SIGSTOP)
        with connect(entry) as fresh:  # the system accepts it meanwhile
            for connection in (opened, fresh):
                connection.sendall(encode("GET", "/counter/"))
            time.sleep(0.5)
            fleet.signal(entry, signal.SIGCONT)
            statuses = [receive(connection)[0] for connection in (opened, fresh)]
    assert statuses == [503, 503]
    assert entry.process.wait(EXIT_TIMEOUT_S) == 0


def write_config(fleet, version, rng):
    """Write a configuration without some route, or with other limits."""
    routes = rng.sample(CONFIG["routes"], rng.randint(1, len(CONFIG["routes"])))
    limits = {"header_bytes": 16384, "body_bytes": rng.choice((1024, 4096))}
    fields = CONFIG | {"version": version, "routes": routes, "limits": limits}
    fleet.control("write", table="op", name="config", fields=fields)


@pytest.mark.parametrize("seed", [1, 2])
def test_no_call_is_lost_over_stops_reloads_and_configurations(fleet, seed):
    """Signals and configurations overlap; callers use their connections to the end."""
    rng = random.Random(seed)
    entries = [fleet.start_entry(f"e{number}") for number in range(3)]
    fleet.wait_ready()
    callers = [
        caller for entry in entries for caller in start_callers(entry, 6, pause_s=0.02)
    ]
    stop_from_s = time.monotonic() + 1.0
    version = CONFIG["version"]
    while any(entry.is_running for entry in entries):
        entry = rng.choice(entries)
        match rng.choice(("reload", "configuration", "stop")):
            case "reload":
                fleet.signal(entry, signal.SIGHUP)
            case "configuration":
                version += rng.randint(1, 3)
                write_config(fleet, version, rng)
            case "stop" if time.monotonic() > stop_from_s and rng.random() < 0.2:
                fleet.signal(entry, signal.SIGTERM)
        time.sleep(rng.uniform(0.0, 0.1))
    assert not lost_calls(callers)
    assert [entry.process.returncode for entry in entries] == [0] * 3
    answers = {call.status for caller in callers for call in caller.calls}
    assert answers <= {200, 404, 410, 413, 503, 504, None}
