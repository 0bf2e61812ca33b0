"""Rows and replies of the platform's services with fields of another type."""

import json

import pytest
from returns.result import Failure, Success

from corianderpitch.adapters.memorystore import MemoryRowStore
from corianderpitch.clock import ManualClock
from corianderpitch.domain.jobs import Shape
from corianderpitch.domain.scheduling.advice import AdviceRequest
from corianderpitch.domain.scheduling.catalog import CallerLimits
from corianderpitch.domain.scheduling.orders import OrderResult, StopRun
from corianderpitch.domain.scheduling.workers import WorkerInfo
from corianderpitch.domain.scheduling.workloads import TaskRef
from corianderpitch.errors import OutcomeLost, WorkerError, WorkerProblem
from corianderpitch.ids import JobId, ServiceName, VmId, WorkerId
from corianderpitch.ports import Advice, PartitionedKey, Write
from corianderpitch_platform.advice import PlatformAdvice
from corianderpitch_platform.http import Response
from corianderpitch_platform.machines import PlatformVmPools
from corianderpitch_platform.operators import OPERATORS_TABLE, PlatformOperatorRows
from corianderpitch_platform.workers import PlatformWorkerLink, WorkerClients

ADDRESS = "10.1.0.9:8080"
INFO = WorkerInfo(
    WorkerId("w1"),
    ServiceName("counter"),
    ADDRESS,
    "here",
    Shape(8.0, 8000),
    (),
    VmId("m-1"),
    "1",
)
JOB = "5c0e7a21d94b36f8"
TASK = f"{JOB}.0.1.17"
RUN = [TASK, 2, "00ff", 41, 0.5]
END = [58, f"{JOB}.0.1.9", 1, "done", ""]
REPORT = {"clock_ms": 482113, "born": 17, "running": [RUN], "finished": [END]}


ROUTE = {"name": "r-1", "host": "a.example", "prefix": "/q/", "service": "counter"}
CONFIG = {"version": 7, "routes": [ROUTE], "services": [{"name": "counter"}]}
WAVE = {"wave": 1, "machines": ["m-1", "m-2"], "deadline_s": 20, "cap": 1}


class FixedClient:
    """Returns the given responses one after the other, the last one for ever."""

    def __init__(self, *bodies, status=200):
        self.responses = [Response(status, body) for body in bodies]

    def call(self, *arguments, **options):
        if len(self.responses) > 1:
            return self.responses.pop(0)
        return self.responses[0]


def report(body):
    link = PlatformWorkerLink(lambda: True)
    client = FixedClient(body)
    link._clients[ADDRESS] = WorkerClients(client, client)
    return link.report(INFO, 7, 57, None, 0)


def with_run(column, value):
    return REPORT | {"running": [RUN, [*RUN[:column], value, *RUN[column + 1 :]]]}


def with_end(column, value):
    return REPORT | {"finished": [END, [*END[:column], value, *END[column + 1 :]]]}


ODD_REPORTS = [
    {},
    REPORT | {"born": "17"},
    REPORT | {"born": None},
    REPORT | {"clock_ms": "482113"},
    REPORT | {"clock_ms": True},
    REPORT | {"clock_ms": 1e300},
    REPORT | {"running": {}},
    REPORT | {"running": None},
    REPORT | {"running": [7]},
    REPORT | {"running": [RUN[:3]]},
    REPORT | {"running": [TASK]},
    with_run(0, 7),
    with_run(0, "a.b"),
    with_run(0, f"{JOB}.0.1.٣"),
    with_run(0, f"{JOB}.0.1.1_0"),
    with_run(0, f"{JOB}.0.1." + "9" * 400),
    with_run(1, "2"),
    with_run(1, 2.5),
    with_run(2, {}),
    with_run(2, ["a"]),
    with_run(2, False),
    with_run(3, "nan"),
    with_run(4, "0.5"),
    REPORT | {"finished": [END[:3]]},
    with_end(0, "58"),
    with_end(1, None),
    with_end(2, -1),
    with_end(3, "vanished"),
    with_end(3, ["done"]),
    with_end(4, 5),
]


def test_a_report_is_read():
    read = report(REPORT).unwrap()
    assert read.running[0].task == TaskRef(JobId(JOB), 0, 1, 17)
    assert read.ended[0].sequence == 58
    assert (read.incarnation, read.clock_ms) == ("17", 482113.0)


@pytest.mark.parametrize("body", ODD_REPORTS)
def test_a_report_with_an_odd_field_is_malformed(body):
    """Its runs are not left out: they would count as lost and start again."""
    assert report(body) == Failure(WorkerError(WorkerProblem.MALFORMED))


@pytest.mark.parametrize("reason", [None, 7, ["fence"], {"a": 1}, "unheard"])
def test_a_refusal_for_an_odd_reason_is_malformed(reason):
    link = PlatformWorkerLink(lambda: True)
    client = FixedClient({"reason": reason}, status=409)
    link._clients[ADDRESS] = WorkerClients(client, client)
    order = StopRun(INFO.worker, TaskRef(JobId(JOB), 0, 1, 17), 2, 7)
    assert link.stop(INFO, order) is OrderResult.MALFORMED


def operator_rows(**values):
    """Return the rows of operators; two underscores in a name stand for a slash."""
    store = MemoryRowStore(ManualClock())
    for name, value in values.items():
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        key = PartitionedKey(OPERATORS_TABLE, "", name.replace("__", "/"))
        store.commit((), (Write(key, data),))
    return PlatformOperatorRows(store)


def test_the_operators_rows_are_read():
    advice = {"hint": {"decision_ms": 5, "validity_ms": 3000}}
    config = CONFIG | {"routes": [ROUTE | advice], "limits": {"body_bytes": 9}}
    changes = operator_rows(config=config, wave__1=WAVE).read().unwrap()
    (queue,) = changes.catalog.queues.values()
    assert (queue.service, queue.advice.validity_ms) == ("counter", 3000)
    assert changes.catalog.limits.body_bytes == 9
    assert changes.catalog.limits.header_bytes == CallerLimits().header_bytes
    (wave,) = changes.waves
    assert (wave.vms, wave.deadline_ms) == (("m-1", "m-2"), 20_000.0)


ODD_DOCUMENTS = [
    b"",
    b"\xff",
    b"[]",
    b"[" * 100_000,
    b'{"version": 1e400}',
    b'{"version": ' + b"9" * 400 + b"}",
]


@pytest.mark.parametrize(
    "odd",
    [
        *ODD_DOCUMENTS,
        WAVE | {"wave": "1"},
        WAVE | {"wave": None},
        WAVE | {"wave": 1.5},
        WAVE | {"machines": "m-1"},
        WAVE | {"machines": [1]},
        WAVE | {"deadline_s": "20"},
        WAVE | {"deadline_s": True},
        WAVE | {"cap": -1},
        WAVE | {"cap": []},
    ],
)
def test_an_odd_wave_is_passed_over_and_the_other_rows_hold(odd):
    """Every entry followed the rows no longer, and never served a queue."""
    rows = operator_rows(wave__1=odd, wave__2=WAVE | {"wave": 2}, config=CONFIG)
    for changes in (rows.read().unwrap(), rows.follow(0, 0).unwrap()):
        assert [wave.number for wave in changes.waves] == [2]
        assert changes.catalog.version == 7


@pytest.mark.parametrize(
    "odd",
    [
        *ODD_DOCUMENTS,
        CONFIG | {"version": "7"},
        CONFIG | {"version": None},
        CONFIG | {"routes": {}},
        CONFIG | {"routes": [7]},
        CONFIG | {"routes": [ROUTE | {"prefix": 7}]},
        CONFIG | {"routes": [ROUTE | {"name": None}]},
        CONFIG | {"routes": [ROUTE | {"priority": "0"}]},
        CONFIG | {"routes": [ROUTE | {"max_attempts": 1.5}]},
        CONFIG | {"routes": [ROUTE | {"stretch": [2]}]},
        CONFIG | {"routes": [ROUTE | {"hint": 5}]},
        CONFIG | {"routes": [ROUTE | {"hint": {"decision_ms": "5"}}]},
        CONFIG | {"services": [{"name": 5}]},
        CONFIG | {"services": [{"name": "counter", "standby": 1}]},
        CONFIG | {"limits": []},
        CONFIG | {"limits": {"body_bytes": "many"}},
    ],
)
def test_an_odd_configuration_changes_nothing_and_the_waves_hold(odd):
    rows = operator_rows(config=odd, wave__1=WAVE)
    changes = rows.read().unwrap()
    assert changes.catalog is None
    assert [wave.number for wave in changes.waves] == [1]


def vms_listed(*bodies):
    pools = PlatformVmPools(ADDRESS)
    pools._client = FixedClient(*bodies)
    return pools.list_vms().map(lambda vms: [vm.vm for vm in vms])


VM = {"machine": "m-1", "pool": "counter", "state": "up", "id": "w1"}


@pytest.mark.parametrize(
    "odd",
    [
        7,
        [],
        {},
        VM | {"machine": 7},
        VM | {"pool": ["counter"]},
        VM | {"state": ["up"]},
        VM | {"state": None},
        VM | {"id": 17},
    ],
)
def test_a_list_of_vms_with_an_odd_entry_is_a_lost_answer(odd):
    """The entry is not left out: its worker would count as ended."""
    listed = vms_listed({"machines": [VM, odd, VM | {"machine": "m-3"}]})
    assert isinstance(listed.failure(), OutcomeLost)


@pytest.mark.parametrize(
    "odd",
    [
        {},
        {"machines": {}},
        {"machines": None},
        {"machines": [], "next_token": {}},
        {"machines": [], "next_token": True},
    ],
)
def test_a_page_of_vms_that_cannot_be_read_is_a_lost_answer(odd):
    assert isinstance(vms_listed(odd).failure(), OutcomeLost)


def test_the_pages_of_vms_are_joined():
    first = {"machines": [VM], "next_token": 2}
    second = {"machines": [VM | {"machine": "m-2"}], "next_token": "x"}
    third = {"machines": [VM | {"machine": "m-3", "id": None}], "next_token": None}
    assert vms_listed(first, second, third) == Success(["m-1", "m-2", "m-3"])


def test_a_page_of_vms_that_refers_to_itself_ends_the_list():
    page = {"machines": [VM], "next_token": "x"}
    assert isinstance(vms_listed(page).failure(), OutcomeLost)


def advice(body):
    service = PlatformAdvice(ADDRESS)
    service._client = FixedClient(body)
    return service.advise(AdviceRequest(JobId(JOB), 0, 1, ("w1",)))


ALLOWED = {"allowed": [["w1", "c81e-7a21d94b"]], "validity_ms": 3000}


def test_advice_is_read():
    assert advice(ALLOWED) == Success(Advice({"w1": "c81e-7a21d94b"}, 3000.0))


@pytest.mark.parametrize(
    "odd",
    [
        {},
        ALLOWED | {"allowed": {"w1": "c81e-7a21d94b"}},
        ALLOWED | {"allowed": ["w1"]},
        ALLOWED | {"allowed": [["w1"]]},
        ALLOWED | {"allowed": [["w1", 7]]},
        ALLOWED | {"allowed": [["w1", None]]},
        ALLOWED | {"allowed": [[["w1"], "c81e-7a21d94b"]]},
        ALLOWED | {"validity_ms": "nan"},
        ALLOWED | {"validity_ms": True},
        ALLOWED | {"validity_ms": -1},
        ALLOWED | {"validity_ms": 1e300},
    ],
)
def test_advice_with_an_odd_field_is_a_lost_answer(odd):
    assert isinstance(advice(odd).failure(), OutcomeLost)
