"""Malformed requests against the strict protocol, byte by byte."""

import eventlet
import pytest
from eventlet import wsgi
from eventlet.green import socket

from corianderpitch.daemon.httpprotocol import StrictProtocol

BAD = {
    "two lengths": b"Content-Length: 0\r\nContent-Length: 44\r\n\r\n",
    "length and encoding": b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
    "folded": b"X-A: 1\r\n folded\r\nContent-Length: 0\r\n\r\n",
    "space before colon": b"Content-Length : 0\r\n\r\n",
    "no colon": b"garbage\r\n\r\n",
    "negative length": b"Content-Length: -1\r\n\r\n",
    "signed length": b"Content-Length: +1\r\n\r\n",
    "too large": b"X-A: " + b"a" * 70_000 + b"\r\n\r\n",
}
SMUGGLED = b"GET /smuggled HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"


@pytest.fixture
def server():
    """A server that notes the paths which reached its application."""
    seen = []

    def app(environ, start):
        seen.append(environ["PATH_INFO"])
        start("200 OK", [("Content-Length", "0")])
        return [b""]

    listener = eventlet.listen(("127.0.0.1", 0))
    thread = eventlet.spawn(
        wsgi.server, listener, app, log_output=False, protocol=StrictProtocol
    )
    yield listener.getsockname(), seen
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


@pytest.mark.parametrize("name", BAD)
def test_a_malformed_request_is_refused_and_nothing_behind_it_runs(server, name):
    address, seen = server
    answer = exchange(address, b"POST / HTTP/1.1\r\nHost: x\r\n" + BAD[name] + SMUGGLED)
    assert answer.startswith(b"HTTP/1.1 4")
    assert b"X-Outcome: not_run" in answer
    assert answer.count(b"HTTP/1.1 ") == 1
    assert seen == []


def test_garbage_is_refused_in_the_same_form(server):
    address, seen = server
    answer = exchange(address, b"\x00\x01garbage\r\n\r\n")
    assert b"X-Outcome: not_run" in answer
    assert b"<html" not in answer.lower()
    assert seen == []


def test_a_proper_request_is_served(server):
    address, seen = server
    answer = exchange(
        address, b"GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
    )
    assert answer.startswith(b"HTTP/1.1 200")
    assert seen == ["/a"]
