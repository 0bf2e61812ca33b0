"""The strict HTTP parser refuses malformed requests, sent as raw bytes."""

import socket as plain_socket

import eventlet
import pytest
from eventlet import wsgi
from eventlet.green import socket

from corianderpitch.daemon.httpprotocol import (
    StrictProtocol,
    read_arrived_requests,
)

MALFORMED = {
    "two lengths": b"Content-Length: 0\r\nContent-Length: 44\r\n\r\n",
    "length and encoding": b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
    "folded": b"X-A: 1\r\n folded\r\nContent-Length: 0\r\n\r\n",
    "space before colon": b"Content-Length : 0\r\n\r\n",
    "no colon": b"garbage\r\n\r\n",
    "negative length": b"Content-Length: -1\r\n\r\n",
    "signed length": b"Content-Length: +1\r\n\r\n",
    "too large": b"X-A: " + b"a" * 70_000 + b"\r\n\r\n",
}
SMUGGLED_REQUEST = b"GET /smuggled HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"


@pytest.fixture
def server():
    """Serve an application that records the paths of the requests that reach it."""
    paths = []

    def app(environ, start):
        paths.append(environ["PATH_INFO"])
        start("200 OK", [("Content-Length", "0")])
        return [b""]

    listener = eventlet.listen(("127.0.0.1", 0))
    thread = eventlet.spawn(
        wsgi.server, listener, app, log_output=False, protocol=StrictProtocol
    )
    yield listener.getsockname(), paths
    thread.kill()


def exchange(address, data):
    connection = socket.socket()
    connection.connect(address)
    connection.sendall(data)
    connection.settimeout(2.0)
    answer = b""
    try:
        while chunk := connection.recv(65536):
            answer += chunk
    except (TimeoutError, ConnectionResetError):
        pass
    connection.close()
    return answer


@pytest.mark.parametrize("name", MALFORMED)
def test_malformed_request_is_refused_and_bytes_after_it_are_not_run(server, name):
    address, paths = server
    answer = exchange(
        address, b"POST / HTTP/1.1\r\nHost: x\r\n" + MALFORMED[name] + SMUGGLED_REQUEST
    )
    assert answer.startswith(b"HTTP/1.1 4")
    assert b"X-Outcome: not_run" in answer
    assert answer.count(b"HTTP/1.1 ") == 1
    assert paths == []


def test_invalid_request_line_is_refused_with_the_same_headers(server):
    address, paths = server
    answer = exchange(address, b"\x00\x01garbage\r\n\r\n")
    assert b"X-Outcome: not_run" in answer
    assert b"<html" not in answer.lower()
    assert paths == []


def test_well_formed_request_is_served(server):
    address, paths = server
    answer = exchange(
        address, b"GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
    )
    assert answer.startswith(b"HTTP/1.1 200")
    assert paths == ["/a"]


def test_requests_that_came_while_the_process_was_held_up_are_read(server):
    """A stopping entry closed connections whose requests it had not read."""
    address, paths = server
    eventlet.sleep(0)
    # A plain socket lets no other green thread run.
    with plain_socket.create_connection(address) as connection:
        connection.sendall(b"GET /late HTTP/1.1\r\nHost: x\r\n\r\n")
        assert paths == []
        read_arrived_requests()
    assert paths == ["/late"]
