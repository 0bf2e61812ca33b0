"""``JsonClient`` with servers whose responses are malformed, late or missing."""

import contextlib
import socket as plain_socket

import eventlet
import pytest
from eventlet.green import socket as green
from eventlet.hubs import trampoline

from corianderpitch.ids import EntryId, ServiceName, VmId
from corianderpitch.ports import VmOrderResult
from corianderpitch_platform.http import JsonClient, NoResponse, Response
from corianderpitch_platform.machines import PlatformVmPools

HOST = "127.0.0.1"
COMPLETE_RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n{"a": 1}'


class Server:
    """Serves one script per connection; responds to each request with its next part."""

    def __init__(self, *scripts):
        self.listener = eventlet.listen((HOST, 0))
        self.address = f"{HOST}:{self.listener.getsockname()[1]}"
        self.requests = []
        self.accepted = 0
        self.closed = []
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
        self.closed.append(True)
        with contextlib.suppress(OSError):
            connection.shutdown(green.SHUT_RDWR)
        connection.close()

    def wait_until_closed(self, count):
        with eventlet.Timeout(5.0):
            while len(self.closed) < count:
                eventlet.sleep(0.005)


def call(client, timeout_ms=2000.0, **more):
    return client.call("POST", "/x", {"b": 2}, timeout_ms, **more)


def test_connection_is_reused():
    server = Server([COMPLETE_RESPONSE, COMPLETE_RESPONSE, COMPLETE_RESPONSE])
    client = JsonClient(server.address)
    assert [call(client) for _ in range(3)] == [Response(200, {"a": 1})] * 3
    assert server.accepted == 1


def test_request_has_its_headers_and_content_length():
    server = Server([COMPLETE_RESPONSE])
    call(JsonClient(server.address), headers={"X-Some": "one"})
    head, _, body = server.requests[0].partition(b"\r\n\r\n")
    assert head.startswith(b"POST /x HTTP/1.1\r\n")
    assert b"\r\nX-Some: one\r\n" in head
    assert head.endswith(b"\r\nContent-Length: 7")
    assert body == b'{"b":2}'


@pytest.mark.parametrize(
    "answer",
    [
        [COMPLETE_RESPONSE[:10], COMPLETE_RESPONSE[10:50], COMPLETE_RESPONSE[50:]],
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        b'3\r\n{"a\r\n5\r\n": 1}\r\n0\r\n\r\n',
        b"HTTP/1.1 100 Continue\r\n\r\n" + COMPLETE_RESPONSE,
        b'HTTP/1.0 200 OK\r\n\r\n{"a": 1}',
    ],
    ids=["in parts", "chunked", "after an interim answer", "until the end"],
)
def test_complete_responses_are_read(answer):
    server = Server([answer])
    assert call(JsonClient(server.address)) == Response(200, {"a": 1})


def test_body_that_is_not_json_is_none():
    server = Server([COMPLETE_RESPONSE.replace(b"{", b"<")])
    assert call(JsonClient(server.address)) == Response(200, None)


@pytest.mark.parametrize(
    "answer",
    [
        b"",
        COMPLETE_RESPONSE[:20],
        COMPLETE_RESPONSE[:-2],
        b"SSH-2.0-x\r\n",
        COMPLETE_RESPONSE + COMPLETE_RESPONSE,
    ],
    ids=["none", "half a head", "half a body", "not HTTP", "two at once"],
)
def test_outcome_is_unknown_without_a_complete_response(answer):
    server = Server([answer])
    result = call(JsonClient(server.address))
    assert isinstance(result, NoResponse)
    assert result.was_sent


def test_connection_is_not_reused_after_a_timeout():
    server = Server([[], COMPLETE_RESPONSE], [COMPLETE_RESPONSE])
    client = JsonClient(server.address)
    assert call(client, timeout_ms=60.0) == NoResponse(
        True, "TimeoutError", is_timeout=True
    )
    assert call(client) == Response(200, {"a": 1})
    assert server.accepted == 2


@pytest.mark.parametrize("is_killed", [False, True], ids=["timed out", "killed"])
def test_request_that_is_given_up_is_not_delivered_later(is_killed):
    # After an orderly close, bytes that a cut holds up are delivered when it ends.
    listener = eventlet.listen((HOST, 0))
    client = JsonClient(f"{HOST}:{listener.getsockname()[1]}")
    task = eventlet.spawn(call, client, timeout_ms=60.0)
    connection, _ = listener.accept()
    assert connection.recv(65536)
    if is_killed:
        task.kill()
    else:
        assert task.wait() == NoResponse(True, "TimeoutError", is_timeout=True)
    trampoline(connection, read=True, timeout=5.0)
    with pytest.raises(ConnectionResetError):
        connection.fd.recv(1)  # a green socket reports a reset as the end


def test_orders_about_vms_are_dropped_that_do_not_reach_the_service_in_time():
    server = Server([COMPLETE_RESPONSE])
    pools = PlatformVmPools(server.address)
    pools.move(VmId("m"), ServiceName("s"), EntryId("e"), 1, lambda: True)
    (idle,) = pools._client._idle
    timeout_ms = idle.connection._socket.getsockopt(
        green.IPPROTO_TCP, plain_socket.TCP_USER_TIMEOUT
    )
    assert timeout_ms == pools.order_timeout_ms


def test_slow_response_is_abandoned_at_the_deadline():
    single_bytes = [bytes([byte]) for byte in COMPLETE_RESPONSE]
    server = Server([single_bytes])
    result = call(JsonClient(server.address), timeout_ms=80.0)
    assert isinstance(result, NoResponse)


def test_connection_closed_while_idle_is_replaced():
    server = Server([COMPLETE_RESPONSE], [COMPLETE_RESPONSE])
    client = JsonClient(server.address)
    call(client)
    server.wait_until_closed(1)
    assert call(client) == Response(200, {"a": 1})
    assert server.accepted == 2


def test_connection_is_not_reused_after_connection_close():
    closing = COMPLETE_RESPONSE.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
    server = Server([closing, COMPLETE_RESPONSE], [COMPLETE_RESPONSE])
    client = JsonClient(server.address)
    call(client)
    assert call(client) == Response(200, {"a": 1})
    assert server.accepted == 2


def test_request_to_a_closed_port_was_not_sent():
    listener = eventlet.listen((HOST, 0))
    address = f"{HOST}:{listener.getsockname()[1]}"
    listener.close()
    result = call(JsonClient(address))
    assert isinstance(result, NoResponse)
    assert not result.was_sent


@pytest.mark.parametrize("text", ["a\r\nX-Other: b", "a\n", "\u2028"])
def test_header_value_cannot_inject_a_header(text):
    server = Server([COMPLETE_RESPONSE])
    result = call(JsonClient(server.address), headers={"X-Some": text})
    assert isinstance(result, NoResponse)
    assert not result.was_sent
    assert not server.requests


def test_connection_is_not_reused_after_its_thread_was_killed():
    server = Server([[], COMPLETE_RESPONSE], [COMPLETE_RESPONSE])
    client = JsonClient(server.address)
    task = eventlet.spawn(call, client)
    eventlet.sleep(0.05)
    task.kill()
    assert call(client) == Response(200, {"a": 1})
    assert server.accepted == 2


def test_nothing_is_sent_if_the_request_is_not_wanted_once_the_connection_is_there():
    server = Server([COMPLETE_RESPONSE])
    client = JsonClient(server.address)
    result = call(client, may_send=lambda: False)
    assert isinstance(result, NoResponse)
    assert not result.was_sent
    assert not server.requests
    assert call(client, may_send=lambda: True) == Response(200, {"a": 1})
    assert server.accepted == 1


def test_a_request_is_checked_once_the_server_has_its_connection():
    # The check was made first, and the request sent after a wait for the connection.
    server = Server([COMPLETE_RESPONSE])
    accepted = []

    def may_send():
        with eventlet.Timeout(1.0, False):
            while not server.accepted:
                eventlet.sleep(0.005)
        accepted.append(server.accepted)
        return True

    assert call(JsonClient(server.address), may_send=may_send) == Response(
        200, {"a": 1}
    )
    assert accepted == [1]


@pytest.mark.parametrize(
    "send",
    [
        lambda pools, may_send: pools.maintain(VmId("m"), 1, EntryId("e"), 1, may_send),
        lambda pools, may_send: pools.move(
            VmId("m"), ServiceName("s"), EntryId("e"), 1, may_send
        ),
    ],
    ids=["maintenance", "move"],
)
def test_no_order_about_a_vm_is_sent_once_it_may_not_be(send):
    server = Server([COMPLETE_RESPONSE])
    pools = PlatformVmPools(server.address)
    assert send(pools, lambda: False) is VmOrderResult.NOT_SENT
    assert not server.requests
    assert send(pools, lambda: True) is VmOrderResult.DONE
    assert len(server.requests) == 1


def test_an_error_after_the_request_was_sent_does_not_say_that_it_was_not(monkeypatch):
    server = Server([COMPLETE_RESPONSE])
    client = JsonClient(server.address)

    def fail(self, request, timeout_ms):
        self._socket.sendall(request)
        raise ValueError

    monkeypatch.setattr("corianderpitch_platform.http.Connection.exchange", fail)
    with pytest.raises(ValueError):
        call(client)
