"""Orders of a holder whose lease has lapsed, to workers whose process began since.

A successor knows every process to which the holder had a connection in time: it waits
for their reports, which raise their fence, or for their end. A process that began later
has seen no fence, and would start whatever the former holder orders.
"""

import json

import eventlet
import pytest

from corianderpitch.domain.jobs import Shape
from corianderpitch.domain.scheduling.orders import (
    OrderResult,
    PaceRun,
    StartRun,
    StopRun,
)
from corianderpitch.domain.scheduling.workers import WorkerInfo
from corianderpitch.domain.scheduling.workloads import TaskRef
from corianderpitch.ids import JobId, ServiceName, VmId, WorkerId
from corianderpitch_platform.workers import PlatformWorkerLink

HOST = "127.0.0.1"
WORKER = WorkerId("i-1")
TASK = TaskRef(JobId("612ea6cecc1b0001"), 0, 0, 0)
UNTIL_MS = 6000


class WorkerProcess:
    """A worker's process, which carries out every order; the next one has its port."""

    def __init__(self, port=0):
        self.orders = []
        self._listener = eventlet.listen((HOST, port), reuse_addr=True)
        self.port = self._listener.getsockname()[1]
        self._threads = [eventlet.spawn(self._accept)]

    def end(self):
        for thread in self._threads:
            thread.kill()
        self._listener.close()

    def restart(self):
        self.end()
        return WorkerProcess(self.port)

    def _accept(self):
        while True:
            connection, _ = self._listener.accept()
            self._threads.append(eventlet.spawn(self._serve, connection))

    def _serve(self, connection):
        try:
            while request := connection.recv(65536):
                self.orders.append(request.split(b" ")[1].rpartition(b"/")[2].decode())
                body = json.dumps({"clock_ms": 5}).encode()
                head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
                connection.sendall(head.encode() + body)
        finally:
            connection.close()


class Holder:
    """A holder's orders about one worker; its lease lapses with ``has_lease``."""

    def __init__(self, worker):
        self.has_lease = True
        self._link = PlatformWorkerLink(lambda: self.has_lease)
        self._info = WorkerInfo(
            WORKER,
            ServiceName("s"),
            f"{HOST}:{worker.port}",
            "zone-a",
            Shape(8.0, 8000),
            ("a", "r1"),
            VmId("m-1"),
            "1",
        )

    def start(self, number=1):
        order = StartRun(WORKER, TASK, number, "", "", fence=7)
        return self._link.start(self._info, order, UNTIL_MS).result

    def stop(self):
        return self._link.stop(self._info, StopRun(WORKER, TASK, 1, fence=7))

    def pace(self):
        return self._link.pace(self._info, PaceRun(WORKER, TASK, 1, 50, fence=7))


@pytest.fixture
def worker():
    return WorkerProcess()


def test_a_former_holder_starts_nothing_on_a_process_that_began_since(worker):
    """All tasks ran twice: the new process had not seen the successor's fence."""
    holder = Holder(worker)
    assert holder.start() is OrderResult.DONE
    holder.has_lease = False
    reborn = worker.restart()
    assert holder.start(2) is OrderResult.NOT_SENT
    assert reborn.orders == []


def test_a_former_holder_starts_nothing_on_a_process_it_had_not_reached(worker):
    """A process that began beside the end of the lease may be one that began since."""
    holder = Holder(worker)
    holder.has_lease = False
    assert holder.start() is OrderResult.NOT_SENT
    assert worker.orders == []


@pytest.mark.parametrize("order", [Holder.stop, Holder.pace], ids=["stop", "pace"])
def test_no_other_order_opens_a_connection_for_the_starts_of_a_former_holder(
    worker, order
):
    holder = Holder(worker)
    assert holder.start() is OrderResult.DONE
    holder.has_lease = False
    reborn = worker.restart()
    order(holder)
    assert holder.start(2) is OrderResult.NOT_SENT
    assert reborn.orders == []


def test_a_former_holder_goes_on_with_a_process_that_its_successor_awaits(worker):
    holder = Holder(worker)
    assert holder.start() is OrderResult.DONE
    holder.has_lease = False
    assert holder.start(2) is OrderResult.DONE
    assert holder.stop() is OrderResult.DONE
    assert worker.orders == ["run-start", "run-start", "run-stop"]


def test_a_holder_whose_lease_holds_reaches_the_new_process(worker):
    holder = Holder(worker)
    assert holder.start() is OrderResult.DONE
    reborn = worker.restart()
    assert holder.start(2) is OrderResult.DONE
    assert reborn.orders == ["run-start"]


def test_a_lease_that_lapses_while_the_connection_is_opened_counts_as_lapsed(worker):
    holder = Holder(worker)
    answers = iter([True, False, True, True])
    holder._link = PlatformWorkerLink(lambda: next(answers))
    assert holder.start() is OrderResult.NOT_SENT
    assert worker.orders == []
    assert holder.start() is OrderResult.DONE
