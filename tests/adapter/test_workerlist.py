"""The followed list of workers during a term, with rows that any client may write."""

import json

import eventlet
import logbook
import pytest
from returns.result import Failure, Success

from corianderpitch.adapters.memorystore import MemoryRowStore
from corianderpitch.adapters.partedtable import PartitionedTable
from corianderpitch.clock import SystemClock
from corianderpitch.daemon.roles import RoleLease
from corianderpitch.daemon.scheduling.meters import JobMeters
from corianderpitch.daemon.scheduling.terms import SchedulerTerm
from corianderpitch.domain.jobs import Shape
from corianderpitch.domain.scheduling.catalog import Catalog
from corianderpitch.domain.scheduling.placing import is_schedulable
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


def encoded(**changes):
    """Return the row of a worker with some fields changed, or left out if None."""
    fields = {name: v for name, v in (ROW | changes).items() if v is not None}
    return json.dumps(fields).encode()


def with_raw(name, number):
    """Return a row in which a number is written as it stands."""
    return encoded(**{name: "RAW"}).replace(b'"RAW"', number)


def with_capacity(**changes):
    return encoded(capacity=ROW["capacity"] | changes)


ODD_ROWS = {
    "empty": b"",
    "not JSON": b"{",
    "not UTF-8": b'{"service": "\xff"}',
    "a list": b"[]",
    "nested": b"[" * 100_000 + b"]" * 100_000,
    "nested objects": b'{"a":' * 100_000 + b"1" + b"}" * 100_000,
    "nested labels": with_raw("labels", b"[" * 900 + b"]" * 900),
    "unfinished nesting": b"[" * 100_000,
    "cpu of 400 digits": with_capacity(cpu=int("9" * 400)),
    "cpu of 5000 digits": with_raw("capacity", b'{"cpu": ' + b"9" * 5000 + b"}"),
    "cpu of 30 digits": with_capacity(cpu=int("9" * 30)),
    "infinite cpu": with_capacity(cpu=float("inf")),
    "cpu not a number": with_capacity(cpu=float("nan")),
    "negative cpu": with_capacity(cpu=-1),
    "true cpu": with_capacity(cpu=True),
    "text cpu": with_capacity(cpu="8000"),
    "missing cpu": encoded(capacity={"mem_mb": 100}),
    "negative memory": with_capacity(mem_mb=-5),
    "half a GPU": with_capacity(gpus=0.5),
    "capacity a list": encoded(capacity=[8000, 100]),
    "missing capacity": encoded(capacity=None),
    "born 1e400": with_raw("born", b"1e400"),
    "born text": encoded(born="1700000000000"),
    "born fraction": encoded(born=1.5),
    "born true": encoded(born=True),
    "missing born": encoded(born=None),
    "port 0": encoded(address="10.1.0.9:0"),
    "port out of range": encoded(address="10.1.0.9:65536"),
    "port of 400 digits": encoded(address="10.1.0.9:" + "9" * 400),
    "negative port": encoded(address="10.1.0.9:-80"),
    "Arabic port": encoded(address="10.1.0.9:٣"),
    "superscript port": encoded(address="10.1.0.9:²"),
    "port with underscore": encoded(address="10.1.0.9:1_0"),
    "port with blank": encoded(address="10.1.0.9: 80"),
    "port with sign": encoded(address="10.1.0.9:+80"),
    "port with line break": encoded(address="10.1.0.9:80\n"),
    "missing port": encoded(address="10.1.0.9"),
    "missing host": encoded(address=":80"),
    "host with line break": encoded(address="10.1.0.9\r\nX: y:80"),
    "address a number": encoded(address=7),
    "missing address": encoded(address=None),
    "service a list": encoded(service=["counter"]),
    "missing service": encoded(service=None),
    "zone a number": encoded(zone=1),
    "labels a text": encoded(labels="ab"),
    "labels of numbers": encoded(labels=[1, 2]),
    "machine an object": encoded(machine={"a": 1}),
    "state unknown": encoded(state="resting"),
    "state a list": encoded(state=["ready"]),
    "missing state": encoded(state=None),
    "lone surrogate": encoded(zone="\ud800"),
}
FATAL_ROWS = ("nested", "cpu of 400 digits", "born 1e400")


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
def services():
    """Return the services of the configuration."""
    return {"counter"}


@pytest.fixture
def start_term(store, services):
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
            store,
        )
        assert role.try_acquire()
        term = SchedulerTerm(
            store,
            PlatformWorkerList(store),
            IdleLink(),
            role,
            clock,
            JobMeters(),
            lambda: Catalog(1, {}, (), dict.fromkeys(services)),
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


@pytest.mark.parametrize("odd", ODD_ROWS)
def test_an_odd_row_names_no_worker_and_the_others_hold(store, odd):
    store.put_worker("w1", ROW)
    store.put_worker("w2", ODD_ROWS[odd])
    store.put_worker("w3", ROW)
    workers = PlatformWorkerList(store)
    for changes in (workers.read().unwrap(), workers.follow(0, 0).unwrap()):
        assert [info.worker for info in changes.listed] == ["w1", "w3"]
        assert changes.gone == ("w2",)


@pytest.mark.parametrize("fields", [{}, {"seq": "x"}, {"other": [[1e308]]}])
def test_fields_that_are_not_used_are_not_checked(store, fields):
    store.put_worker("w1", ROW | fields)
    (info,) = PlatformWorkerList(store).read().unwrap().listed
    assert info.capacity == Shape(8.0, 32768, 0)
    assert info.incarnation == "1700000000000"


@pytest.mark.parametrize("odd", FATAL_ROWS)
def test_a_term_keeps_following_the_list_past_an_odd_row(store, start_term, odd):
    """The follower restarted over the same row for ever."""
    store.put_worker("w1", ROW)
    term = start_term()
    wait_until(lambda: processors_of(term, "w1") == 8.0)
    store.put_worker("odd", ODD_ROWS[odd])
    store.put_worker("w1", with_cpu(2000))
    store.put_worker("w2", ROW)
    wait_until(lambda: processors_of(term, "w2") == 8.0)
    assert processors_of(term, "w1") == 2.0
    assert processors_of(term, "odd") is None


@pytest.mark.parametrize("odd", FATAL_ROWS)
def test_a_new_holder_loads_the_list_beside_an_odd_row(store, start_term, odd):
    """The holder failed while it loaded, and so did each of its successors."""
    store.put_worker("odd", ODD_ROWS[odd])
    store.put_worker("w1", ROW)
    term = start_term()
    wait_until(lambda: processors_of(term, "w1") == 8.0)
    assert term.role.is_held


@pytest.mark.parametrize("odd", FATAL_ROWS)
def test_a_worker_whose_row_turns_odd_is_not_used_until_it_is_valid(
    store, start_term, odd
):
    """What runs there keeps its lease, so the worker itself is not dropped."""
    store.put_worker("w1", ROW)
    term = start_term()
    wait_until(lambda: processors_of(term, "w1") == 8.0)
    worker = term.scheduler.workers[WorkerId("w1")]
    store.put_worker("w1", ODD_ROWS[odd])
    wait_until(lambda: not worker.is_listed)
    assert not is_schedulable(worker, term.scheduler.leases_end_ms)
    store.put_worker("w1", ROW)
    wait_until(lambda: worker.is_listed)
    assert term.scheduler.workers[WorkerId("w1")] is worker


def test_an_odd_row_is_logged_once(store):
    store.put_worker("odd", ODD_ROWS["nested"])
    workers = PlatformWorkerList(store)
    with logbook.TestHandler() as handler:
        for _ in range(3):
            workers.read()
            store.put_worker("odd", ODD_ROWS["nested"])
        assert len(handler.records) == 1
        store.put_worker("odd", ODD_ROWS["port 0"])
        workers.read()
    causes = [record.kwargs["cause"] for record in handler.records]
    assert causes == ["not JSON", "address is not an address"]


def test_a_worker_of_an_unknown_service_is_not_used(store, start_term, services):
    """It was recorded, and each successor waited for its report or its lease."""
    store.put_worker("odd", ROW | {"service": "unheard-of"})
    store.put_worker("w1", ROW)
    term = start_term()
    wait_until(lambda: processors_of(term, "w1") == 8.0)
    store.put_worker("w2", ROW)
    wait_until(lambda: processors_of(term, "w2") == 8.0)
    assert term.scheduler.workers_to_record() == {"w1", "w2"}
    services.add("unheard-of")
    wait_until(lambda: processors_of(term, "odd") == 8.0)


def test_an_entry_of_an_unknown_service_does_not_restart_a_known_worker(
    store, start_term
):
    """Its tasks were started on another worker, beside their runs (review/9)."""
    store.put_worker("w1", ROW)
    term = start_term()
    wait_until(lambda: processors_of(term, "w1") == 8.0)
    worker = term.scheduler.workers[WorkerId("w1")]
    info = worker.info
    odd = {"service": "unheard-of", "address": "10.9.9.9:1", "born": ROW["born"] + 1}
    store.put_worker("w1", ROW | odd)
    wait_until(lambda: not worker.is_listed)
    assert worker.info == info
    assert worker.restarted_ms is None
    assert not is_schedulable(worker, term.scheduler.leases_end_ms)
    store.put_worker("w1", ROW)
    wait_until(lambda: worker.is_listed)
    assert term.scheduler.workers[WorkerId("w1")] is worker


def test_an_entry_of_an_unknown_service_is_passed_over_without_a_valid_lease(
    store, start_term
):
    store.put_worker("w1", ROW)
    term = start_term()
    wait_until(lambda: processors_of(term, "w1") == 8.0)
    store.is_refusing = True
    wait_until(lambda: not term.role.has_valid_lease)
    store.put_worker("w1", with_cpu(3000) | {"service": "unheard-of"})
    store.put_worker("w2", ROW)
    eventlet.sleep(0.5)
    assert processors_of(term, "w1") == 8.0


def test_a_known_worker_is_followed_after_its_service_was_removed(
    store, start_term, services
):
    """Its runs hold leases, and end there."""
    store.put_worker("w1", ROW)
    term = start_term()
    wait_until(lambda: processors_of(term, "w1") == 8.0)
    services.clear()
    store.put_worker("w1", with_cpu(2000))
    wait_until(lambda: processors_of(term, "w1") == 2.0)
