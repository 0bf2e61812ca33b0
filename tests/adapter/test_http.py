"""Calls to the platform against servers that answer badly, late or not at all."""

import contextlib

import eventlet
import pytest
from eventlet.green import socket as green

from corianderpitch_platform.http import Answer, JsonClient, Unanswered

HOST = "127.0.0.1"
WHOLE = b'HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n{"a": 1}'


class Server:
    """Sends the bytes of one script a connection, a part for each request."""

    def __init__(self, *scripts):
        self.listener = eventlet.listen((HOST, 0))
        self.address = f"{HOST}:{self.listener.getsockname()[1]}"
        self.requests = []
        self.accepted = 0
        self.ended = []
        self._scripts = list(scripts)
        eventlet.spawn(self._accept)

    def _accept(self):
        while self._scripts:
            connection, _ = self.listener.accept()
            self.accepted += 1
            eventlet.spawn(self._serve, connection, self._scripts.pop(0))

    def _serve(self, connection, parts):
        for part in parts:
            request = connection.recv(65536)
            if not request:
                break
            self.requests.append(request)
            for piece in part if isinstance(part, list) else [part]:
                connection.sendall(piece)
                eventlet.sleep(0.005)
        self.ended.append(True)
        with contextlib.suppress(OSError):
            connection.shutdown(green.SHUT_RDWR)
        connection.close()

    def wait_ended(self, count):
        with eventlet.Timeout(5.0):
            while len(self.ended) < count:
                eventlet.sleep(0.005)


def call(client, timeout_ms=2000.0, **more):
    return client.call("POST", "/x", {"b": 2}, timeout_ms, **more)


def test_a_connection_is_used_again():
    server = Server([WHOLE, WHOLE, WHOLE])
    client = JsonClient(server.address)
    assert [call(client) for _ in range(3)] == [Answer(200, {"a": 1})] * 3
    assert server.accepted == 1


def test_a_request_carries_its_headers_and_its_length():
    server = Server([WHOLE])
    call(JsonClient(server.address), headers={"X-Some": "one"})
    head, _, body = server.requests[0].partition(b"\r\n\r\n")
    assert head.startswith(b"POST /x HTTP/1.1\r\n")
    assert b"\r\nX-Some: one\r\n" in head
    assert head.endswith(b"\r\nContent-Length: 7")
    assert body == b'{"b":2}'


@pytest.mark.parametrize(
    "answer",
    [
        [WHOLE[:10], WHOLE[10:50], WHOLE[50:]],
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        b'3\r\n{"a\r\n5\r\n": 1}\r\n0\r\n\r\n',
        b"HTTP/1.1 100 Continue\r\n\r\n" + WHOLE,
        b'HTTP/1.0 200 OK\r\n\r\n{"a": 1}',
    ],
    ids=["in parts", "chunked", "after an interim answer", "until the end"],
)
def test_whole_answers_are_read(answer):
    server = Server([answer])
    assert call(JsonClient(server.address)) == Answer(200, {"a": 1})


def test_a_body_that_is_no_json_is_none():
    server = Server([WHOLE.replace(b"{", b"<")])
    assert call(JsonClient(server.address)) == Answer(200, None)


@pytest.mark.parametrize(
    "answer",
    [b"", WHOLE[:20], WHOLE[:-2], b"SSH-2.0-x\r\n", WHOLE + WHOLE],
    ids=["none", "half a head", "half a body", "not HTTP", "two at once"],
)
def test_without_a_whole_answer_the_outcome_is_unknown(answer):
    server = Server([answer])
    result = call(JsonClient(server.address))
    assert isinstance(result, Unanswered)
    assert result.was_sent


def test_a_silent_connection_is_given_up_and_not_used_again():
    server = Server([[], WHOLE], [WHOLE])
    client = JsonClient(server.address)
    assert call(client, timeout_ms=60.0) == Unanswered(True, "TimeoutError")
    assert call(client) == Answer(200, {"a": 1})
    assert server.accepted == 2


def test_an_answer_in_drops_is_given_up_at_the_deadline():
    drops = [bytes([byte]) for byte in WHOLE]
    server = Server([drops])
    result = call(JsonClient(server.address), timeout_ms=80.0)
    assert isinstance(result, Unanswered)


def test_a_connection_closed_while_idle_is_replaced():
    server = Server([WHOLE], [WHOLE])
    client = JsonClient(server.address)
    call(client)
    server.wait_ended(1)
    assert call(client) == Answer(200, {"a": 1})
    assert server.accepted == 2


def test_an_answer_that_closes_is_not_followed_by_another():
    closing = WHOLE.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
    server = Server([closing, WHOLE], [WHOLE])
    client = JsonClient(server.address)
    call(client)
    assert call(client) == Answer(200, {"a": 1})
    assert server.accepted == 2


def test_what_was_never_sent_had_no_effect():
    listener = eventlet.listen((HOST, 0))
    address = f"{HOST}:{listener.getsockname()[1]}"
    listener.close()
    result = call(JsonClient(address))
    assert isinstance(result, Unanswered)
    assert not result.was_sent


@pytest.mark.parametrize("text", ["a\r\nX-Other: b", "a\n", "\u2028"])
def test_a_header_cannot_break_out_of_its_line(text):
    server = Server([WHOLE])
    result = call(JsonClient(server.address), headers={"X-Some": text})
    assert isinstance(result, Unanswered)
    assert not result.was_sent
    assert not server.requests


def test_a_killed_task_leaves_no_half_exchange():
    server = Server([[], WHOLE], [WHOLE])
    client = JsonClient(server.address)
    task = eventlet.spawn(call, client)
    eventlet.sleep(0.05)
    task.kill()
    assert call(client) == Answer(200, {"a": 1})
    assert server.accepted == 2
