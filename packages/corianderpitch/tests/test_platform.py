"""The platform's client: what was lost, what had no effect, and the pace."""

import random
import socket
import threading

import msgpack
import pytest
from returns.result import Failure, Success

from corianderpitch.adapters.memory import MemoryTable, MemoryWorkers
from corianderpitch.adapters.platformhttp import HttpPlatform
from corianderpitch.adapters.platformlimits import BACKOFF_MAX_MS, PacedPlatform
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
    """Accept one connection, read the request and send raw bytes."""
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
def test_failure_says_whether_the_effect_may_have_taken_place(answer, error):
    assert isinstance(commit(answer).failure(), error)


def test_conflict_names_the_keys():
    answer = response(b"409 Conflict", b"\x91\xa1k")
    assert commit(answer) == Failure(RowConflict(("k",)))


def test_rate_limit_says_when_to_come_back():
    answer = response(b"429 Slow", b"", b"Retry-After: 2\r\n")
    assert commit(answer) == Failure(RateLimited(2000))


def test_refused_connection_had_no_effect():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
    result = HttpPlatform(f"http://127.0.0.1:{port}").read({"k": 0})
    assert isinstance(result.failure(), PlatformUnavailable)


class FlakyTable(MemoryTable):
    def __init__(self):
        super().__init__()
        self.is_down = False
        self.reads = 0

    def read(self, known):
        self.reads += 1
        if self.is_down:
            return Failure(PlatformUnavailable("test"))
        return super().read(known)


def paced(table, clock):
    workers = MemoryWorkers({})
    return PacedPlatform(table, None, None, workers, clock, random.Random(1))


def test_outage_is_probed_ever_more_rarely_and_ends_by_itself():
    table, clock = FlakyTable(), ManualClock()
    platform = paced(table, clock)
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


def test_conflict_is_an_answer_and_causes_no_backoff():
    platform = paced(FlakyTable(), ManualClock())
    for _ in range(3):
        result = platform.commit((Check("k", 7),), ())
        assert result == Failure(RowConflict(("k",)))
    assert platform.read({"k": 0}) == Success({})


def test_list_that_has_not_changed_is_not_sent_again():
    row = [["vm1", "a", "rack", "p", "127.0.0.1:1", "live"]]
    first = response(b"200 OK", msgpack.packb(row), CLOSE + b'ETag: "v1"\r\n')
    url, requests = serve_in_turn(first, response(b"304 Not Modified", b"", CLOSE))
    platform = HttpPlatform(url)
    listed = platform.list_vms().unwrap()
    assert [vm.vm_id for vm in listed] == ["vm1"]
    assert platform.list_vms().unwrap() == listed
    assert b'If-None-Match: "v1"' in requests[1]


def test_list_of_a_platform_without_entity_tags_is_read_each_time():
    answers = [response(b"200 OK", msgpack.packb([]), CLOSE) for _ in range(2)]
    url, requests = serve_in_turn(*answers)
    platform = HttpPlatform(url)
    assert platform.list_vms() == platform.list_vms() == Success([])
    assert len(requests) == 2


def serve_in_turn(*answers):
    """Answer one connection after the other; return the URL and the requests."""
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
