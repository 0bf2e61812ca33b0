"""Connections that all go silent at the same time, while new ones work.

Only a timeout shows that a connection is dead. How long a client is out of service
must not depend on how many connections it keeps.
"""

import random

import eventlet
import pytest
from eventlet import hubs
from returns.result import Success
from silentserver import SilentServer
from simulation import STORE_PORT, Network, ServiceFaults, SimulatedHub, sleep_ms

from corianderpitch.adapters.partedtable import PartitionedTable
from corianderpitch.clock import SystemClock
from corianderpitch.daemon.roles import RoleLease
from corianderpitch.domain.jobs import Shape
from corianderpitch.domain.scheduling.orders import OrderResult, StopRun
from corianderpitch.domain.scheduling.workers import WorkerInfo
from corianderpitch.domain.scheduling.workloads import TaskRef
from corianderpitch.ids import EntryId, JobId, ServiceName, VmId, WorkerId
from corianderpitch_platform import http
from corianderpitch_platform.http import JsonClient, NoResponse, Response
from corianderpitch_platform.machines import PlatformVmPools
from corianderpitch_platform.store import PlatformStore
from corianderpitch_platform.workers import PlatformWorkerLink

IDLE = 16
TIMEOUT_MS = 60.0
TASK = TaskRef(JobId("612ea6cecc1b0001"), 0, 0, 0)
ROLE_LEASE_MS, RENEW_INTERVAL_MS, CHECK_INTERVAL_MS = 2000.0, 500.0, 100.0


@pytest.fixture
def server():
    server = SilentServer()
    yield server
    server.close()


def call(client, **options):
    return client.call("POST", "/x", {}, TIMEOUT_MS, **options)


def is_silent(response):
    return isinstance(response, NoResponse) and response.is_timeout


def open_connections(server, client, count=IDLE):
    """Let a client keep connections that have all worked."""
    server.delay_s = 0.02
    threads = [eventlet.spawn(call, client) for _ in range(count)]
    assert all(isinstance(thread.wait(), Response) for thread in threads)
    server.delay_s = 0.0
    assert server.accepted == count


def test_one_timeout_shows_that_all_idle_connections_are_dead(server):
    """A client worked through them one by one, for the time of a timeout each."""
    client = JsonClient(server.address)
    open_connections(server, client)
    server.silence()
    assert is_silent(call(client))
    assert isinstance(call(client), Response)
    assert server.accepted == IDLE + 1


def test_connections_in_use_all_time_out_within_the_same_time(server):
    client = JsonClient(server.address)
    open_connections(server, client)
    server.silence()
    threads = [eventlet.spawn(call, client) for _ in range(IDLE // 2)]
    assert all(is_silent(thread.wait()) for thread in threads)
    assert isinstance(call(client), Response)


def test_a_connection_that_has_worked_since_is_kept(server):
    client = JsonClient(server.address)
    open_connections(server, client, 2)
    server.silence(only=0)
    clients = [eventlet.spawn(call, client) for _ in range(2)]
    assert sorted(is_silent(thread.wait()) for thread in clients) == [False, True]
    assert isinstance(call(client), Response)
    assert server.accepted == 2


def test_a_request_that_may_be_repeated_is_sent_over_a_new_connection(server):
    client = JsonClient(server.address)
    open_connections(server, client)
    server.silence()
    assert isinstance(call(client, may_repeat=True), Response)


def test_a_request_is_not_repeated_after_a_timeout_on_a_new_connection(server):
    server.is_mute = True
    client = JsonClient(server.address)
    assert is_silent(call(client, may_repeat=True))
    assert server.accepted == 1


def test_a_store_reads_on_after_all_connections_have_gone_silent(server):
    store = PlatformStore(server.address, SystemClock())
    threads = [eventlet.spawn(store.read, "jobs", "") for _ in range(IDLE)]
    assert all(isinstance(thread.wait(), Success) for thread in threads)
    server.silence()
    assert isinstance(store.read("jobs", ""), Success)


def test_a_timeout_of_a_report_shows_that_the_connection_for_orders_is_dead(server):
    """Each worker's next order waited for a timeout of its own."""
    link = PlatformWorkerLink(lambda: True)
    worker = WorkerInfo(
        WorkerId("i-1"),
        ServiceName("s"),
        server.address,
        "zone-a",
        Shape(8.0, 8000),
        ("a", "r1"),
        VmId("m-1"),
        "1",
    )
    order = StopRun(worker.worker, TASK, 1, fence=7)
    assert link.stop(worker, order) is OrderResult.DONE
    assert isinstance(link.report(worker, 7, 0, None, 0), Success)
    server.silence()
    assert not isinstance(link.report(worker, 7, 0, None, 0), Success)
    assert link.stop(worker, order) is OrderResult.DONE


def test_vms_are_listed_again_after_one_timeout(server):
    pools = PlatformVmPools(server.address)
    threads = [eventlet.spawn(pools.list_vms) for _ in range(2)]
    assert all(isinstance(thread.wait(), Success) for thread in threads)
    server.silence()
    assert not isinstance(pools.list_vms(), Success)
    assert isinstance(pools.list_vms(), Success)


class Holder:
    """An entry that holds the role, and renews it as a term does."""

    def __init__(self, network):
        self.network = network
        host, _ = network.add_link("e1")
        self.store = PlatformStore(f"{host}:{STORE_PORT}", network.clock)
        self.role = RoleLease(
            "scheduler",
            EntryId("e1"),
            PartitionedTable(self.store),
            network.clock,
            RENEW_INTERVAL_MS,
            ROLE_LEASE_MS,
            self.store,
        )
        assert self.role.try_acquire()
        self.has_lapsed = False
        eventlet.spawn(self._renew)
        eventlet.spawn(self._watch)

    def keep_connections(self):
        """Read many rows at once, so that the connections stay open."""
        threads = [eventlet.spawn(self.store.read, "jobs", "") for _ in range(IDLE)]
        for thread in threads:
            thread.wait()

    def _renew(self):
        while True:
            self.role.renew()
            sleep_ms(CHECK_INTERVAL_MS)

    def _watch(self):
        while True:
            self.has_lapsed |= not self.role.has_valid_lease
            sleep_ms(10.0)


@pytest.mark.parametrize(
    "slow_ms", [(1.0, 15.0), (300.0, 300.0)], ids=["quick", "slow"]
)
@pytest.mark.parametrize("after_ms", range(0, 500, 100))
def test_a_holder_keeps_its_role_when_all_connections_go_silent(after_ms, slow_ms):
    """All leases of lasting tasks lapsed: no entry could renew the role for 8 s."""
    hubs.use_hub(SimulatedHub)
    try:
        with pytest.MonkeyPatch.context() as patch:
            network = Network(random.Random(1))
            patch.setattr(http, "Connection", network.connect)
            holder = Holder(network)
            network.store_faults = ServiceFaults(slow_ms)
            sleep_ms(1500.0)
            holder.keep_connections()
            sleep_ms(1000.0 + after_ms)
            network.silence()
            sleep_ms(6000.0)
    finally:
        hubs.use_hub()
    assert not holder.has_lapsed
