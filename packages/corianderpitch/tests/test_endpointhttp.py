"""Idle connections to instances: how many are kept, and for how long."""

import pytest

from corianderpitch.adapters.endpointhttp import MAX_IDLE_MS, HttpEndpoint
from corianderpitch.clock import ManualClock


class Connection:
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


def test_no_more_than_the_limit_are_kept(endpoint):
    connections = [Connection() for _ in range(4)]
    for connection in connections:
        endpoint.keep("vm:1", connection, 2)
    assert [c.is_open for c in connections] == [True, True, False, False]


def test_connection_to_a_vm_that_is_never_used_again_is_closed(endpoint, clock):
    old, young = Connection(), Connection()
    endpoint.keep("gone:1", old, 4)
    clock.advance(MAX_IDLE_MS - 1.0)
    endpoint.keep("gone:1", young, 4)
    clock.advance(2.0)
    endpoint.keep("vm:1", Connection(), 4)
    assert not old.is_open
    assert young.is_open
    clock.advance(MAX_IDLE_MS + 1.0)
    endpoint.keep("vm:1", Connection(), 4)
    assert not young.is_open


def test_silent_connection_condemns_the_idle_ones(endpoint):
    idle, other = Connection(), Connection()
    endpoint.keep("vm:1", idle, 4)
    endpoint.keep("vm:2", other, 4)
    endpoint.condemn_idle("vm:1")
    assert not idle.is_open
    assert other.is_open
