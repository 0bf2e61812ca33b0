"""Pool of idle connections to instances: its size limit and expiry."""

import pytest

from corianderpitch.adapters.endpointhttp import MAX_IDLE_MS, HttpEndpoint
from corianderpitch.clock import ManualClock


class FakeConnection:
    def __init__(self):
        self.sock = object()

    def close(self):
        self.sock = None

    @property
    def is_open(self):
        return self.sock is not None


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def endpoint(clock):
    return HttpEndpoint(clock)


def test_idle_connections_beyond_the_limit_are_closed(endpoint):
    connections = [FakeConnection() for _ in range(4)]
    for connection in connections:
        endpoint.release_connection("vm:1", connection, 2)
    assert [c.is_open for c in connections] == [True, True, False, False]


def test_expired_connection_to_an_unused_vm_is_closed(endpoint, clock):
    expired, recent = FakeConnection(), FakeConnection()
    endpoint.release_connection("gone:1", expired, 4)
    clock.advance(MAX_IDLE_MS - 1.0)
    endpoint.release_connection("gone:1", recent, 4)
    clock.advance(2.0)
    endpoint.release_connection("vm:1", FakeConnection(), 4)
    assert not expired.is_open
    assert recent.is_open
    clock.advance(MAX_IDLE_MS + 1.0)
    endpoint.release_connection("vm:1", FakeConnection(), 4)
    assert not recent.is_open


def test_closing_idle_connections_affects_only_one_instance(endpoint):
    idle, other = FakeConnection(), FakeConnection()
    endpoint.release_connection("vm:1", idle, 4)
    endpoint.release_connection("vm:2", other, 4)
    endpoint.close_idle_connections("vm:1")
    assert not idle.is_open
    assert other.is_open
