"""The followed list of workers during a term, with rows that any client may write."""

import json

import eventlet
import pytest
from returns.result import Failure, Success

from corianderpitch.adapters.memorystore import MemoryRowStore
from corianderpitch.adapters.partedtable import PartitionedTable
from corianderpitch.clock import SystemClock
from corianderpitch.daemon.roles import RoleLease
from corianderpitch.daemon.scheduling.meters import JobMeters
from corianderpitch.daemon.scheduling.terms import SchedulerTerm
from corianderpitch.domain.scheduling.workers import WorkerReport
from corianderpitch.errors import PlatformUnavailable
from corianderpitch.ids import EntryId, WorkerId
from corianderpitch.ports import PartitionedKey, Write
from corianderpitch_platform.workers import WORKERS_TABLE, PlatformWorkerList

ROLE_LEASE_MS = 300.0
WAIT_S = 5.0
ROW = {
    "service": "counter",
    "address": "10.1.0.9:8080",
    "zone": "graz-a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_left_ms": 0,
    "capacity": {"cpu": 8000, "mem_mb": 32768, "gpus": 0},
    "labels": ["a", "r1"],
    "machine": "m-1",
    "born": 1700000000000,
    "seq": 4,
}


class Store(MemoryRowStore):
    """A store that can refuse all transactions of the entry."""

    is_refusing = False

    def commit(self, checks, writes):
        if self.is_refusing:
            return Failure(PlatformUnavailable("status 503", was_answered=True))
        return super().commit(checks, writes)

    def put_worker(self, name, value):
        """Write a row as a worker or another client does."""
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        key = PartitionedKey(WORKERS_TABLE, "", name)
        MemoryRowStore.commit(self, (), (Write(key, value),))


class IdleLink:
    """Workers on which nothing runs."""

    def report(self, info, fence, committed_sequence, until_ms, wait_ms):
        eventlet.sleep(0.05)
        return Success(WorkerReport(info.incarnation, 1000.0, (), ()))

    def disconnect(self, info):
        pass


@pytest.fixture
def store():
    return Store(SystemClock())


@pytest.fixture
def start_term(store):
    """Return a function that acquires the role and begins a term."""
    terms = []

    def start():
        clock = SystemClock()
        role = RoleLease(
            "scheduler",
            EntryId("e1"),
            PartitionedTable(store),
            clock,
            50.0,
            ROLE_LEASE_MS,
            store.time_ms,
        )
        assert role.try_acquire()
        term = SchedulerTerm(
            store,
            PlatformWorkerList(store),
            IdleLink(),
            role,
            clock,
            JobMeters(),
            dict,
            6000.0,
            ROLE_LEASE_MS,
            120_000.0,
            (),
            lambda: False,
        )
        term.role = role
        term.thread = eventlet.spawn(term.run)
        terms.append(term)
        return term

    yield start
    for term in terms:
        term.stop()
        term.thread.kill()


def wait_until(condition):
    """Wait until a condition holds; fails the test after ``WAIT_S``."""
    with eventlet.Timeout(WAIT_S):
        while not condition():
            eventlet.sleep(0.01)


def processors_of(term, name):
    worker = term.scheduler.workers.get(WorkerId(name))
    return worker.info.capacity.processors if worker is not None else None


def with_cpu(cpu):
    return ROW | {"capacity": ROW["capacity"] | {"cpu": cpu}}


def test_a_shrink_is_followed_while_the_role_cannot_be_renewed(store, start_term):
    """Tasks that never ran are still started then, and overfilled the worker."""
    store.put_worker("w1", ROW)
    term = start_term()
    wait_until(lambda: processors_of(term, "w1") == 8.0)
    store.is_refusing = True
    wait_until(lambda: not term.role.has_valid_lease)
    store.put_worker("w1", with_cpu(2000))
    wait_until(lambda: processors_of(term, "w1") == 2.0)


def test_a_restart_is_not_followed_while_the_role_cannot_be_renewed(store, start_term):
    """A successor may have started the lost tasks again."""
    store.put_worker("w1", ROW)
    term = start_term()
    wait_until(lambda: processors_of(term, "w1") == 8.0)
    store.is_refusing = True
    wait_until(lambda: not term.role.has_valid_lease)
    store.put_worker("w1", with_cpu(2000) | {"born": ROW["born"] + 1})
    eventlet.sleep(0.5)
    assert processors_of(term, "w1") == 8.0
    store.is_refusing = False
    wait_until(lambda: processors_of(term, "w1") == 2.0)
