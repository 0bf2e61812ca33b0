"""Client of the platform: classification of failures, backoff and the VM list."""

import random
import socket
import threading

import msgpack
import pytest
from returns.result import Failure, Success

from corianderpitch.adapters.memory import MemoryTable, MemoryWorkers
from corianderpitch.adapters.platformhttp import HttpPlatform
from corianderpitch.adapters.platformlimits import BACKOFF_MAX_MS, RateLimitedPlatform
from corianderpitch.clock import ManualClock
from corianderpitch.errors import (
    OutcomeLost,
    PlatformUnavailable,
    RateLimited,
    RowConflict,
)
from corianderpitch.ports import Check, Write

CLOSE = b"Connection: close\r\n"


def serve_once(answer):
    """Accept one connection, read the request and send ``answer`` as raw bytes.

    Returns the URL and the server's thread.
    """
    listener = socket.create_server(("127.0.0.1", 0))

    def run():
        connection, _ = listener.accept()
        connection.recv(65536)
        connection.sendall(answer)
        connection.close()
        listener.close()

    thread = threading.Thread(target=run)
    thread.start()
    return f"http://127.0.0.1:{listener.getsockname()[1]}", thread


def commit(answer):
    url, thread = serve_once(answer)
    result = HttpPlatform(url).commit((Check("k", 1),), (Write("k", b"v"),))
    thread.join()
    return result


def response(status, body=b"", headers=b""):
    length = str(len(body)).encode()
    head = b"HTTP/1.1 " + status + b"\r\nContent-Length: " + length + b"\r\n"
    return head + headers + b"\r\n" + body


@pytest.mark.parametrize(
    ("answer", "error"),
    [
        (response(b"503 Down"), PlatformUnavailable),
        (response(b"500 Broken"), OutcomeLost),
        (b"", OutcomeLost),
        (response(b"200 OK", b"abc")[:-1], OutcomeLost),
    ],
)
def test_failure_tells_whether_the_request_may_have_taken_effect(answer, error):
    assert isinstance(commit(answer).failure(), error)


def test_row_conflict_lists_the_keys():
    answer = response(b"409 Conflict", b"\x91\xa1k")
    assert commit(answer) == Failure(RowConflict(("k",)))


def test_rate_limit_error_contains_the_retry_delay():
    answer = response(b"429 Slow", b"", b"Retry-After: 2\r\n")
    assert commit(answer) == Failure(RateLimited(2000))


def test_refused_connection_is_reported_as_unavailable():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
    result = HttpPlatform(f"http://127.0.0.1:{port}").read({"k": 0})
    assert isinstance(result.failure(), PlatformUnavailable)


class FailingTable(MemoryTable):
    def __init__(self):
        super().__init__()
        self.is_down = False
        self.reads = 0

    def read(self, known_versions):
        self.reads += 1
        if self.is_down:
            return Failure(PlatformUnavailable("test"))
        return super().read(known_versions)


def rate_limited(table, clock):
    workers = MemoryWorkers({})
    return RateLimitedPlatform(table, None, None, workers, clock, random.Random(1))


def test_calls_back_off_during_an_outage_and_succeed_after_it():
    table, clock = FailingTable(), ManualClock()
    platform = rate_limited(table, clock)
    table.is_down = True
    for _ in range(600):
        platform.read({"k": 0})
        clock.advance(100.0)
    assert table.reads < 60
    assert not platform.is_reachable
    table.is_down = False
    clock.advance(BACKOFF_MAX_MS)
    assert platform.read({"k": 0}) == Success({})
    assert platform.is_reachable


def test_row_conflict_causes_no_backoff():
    platform = rate_limited(FailingTable(), ManualClock())
    for _ in range(3):
        result = platform.commit((Check("k", 7),), ())
        assert result == Failure(RowConflict(("k",)))
    assert platform.read({"k": 0}) == Success({})


def test_unchanged_vm_list_is_not_transferred_again():
    row = [["vm1", "a", "rack", "p", "127.0.0.1:1", "live"]]
    first = response(b"200 OK", msgpack.packb(row), CLOSE + b'ETag: "v1"\r\n')
    url, requests = serve_sequence(first, response(b"304 Not Modified", b"", CLOSE))
    platform = HttpPlatform(url)
    listed = platform.list_vms().unwrap()
    assert [vm.vm_id for vm in listed] == ["vm1"]
    assert platform.list_vms().unwrap() == listed
    assert b'If-None-Match: "v1"' in requests[1]


def test_vm_list_without_an_entity_tag_is_read_each_time():
    answers = [response(b"200 OK", msgpack.packb([]), CLOSE) for _ in range(2)]
    url, requests = serve_sequence(*answers)
    platform = HttpPlatform(url)
    assert platform.list_vms() == platform.list_vms() == Success([])
    assert len(requests) == 2


def serve_sequence(*answers):
    """Send one answer per connection; return the URL and the list of requests."""
    listener = socket.create_server(("127.0.0.1", 0))
    requests = []

    def run():
        with listener:
            for answer in answers:
                connection, _ = listener.accept()
                with connection:
                    requests.append(connection.recv(65536))
                    connection.sendall(answer)

    threading.Thread(target=run, daemon=True).start()
    return f"http://127.0.0.1:{listener.getsockname()[1]}", requests
