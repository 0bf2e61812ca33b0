"""Replies of the platform's services with fields of another type."""

import pytest
from returns.result import Failure

from corianderpitch.domain.jobs import Shape
from corianderpitch.domain.scheduling.orders import OrderResult, StopRun
from corianderpitch.domain.scheduling.workers import WorkerInfo
from corianderpitch.domain.scheduling.workloads import TaskRef
from corianderpitch.errors import WorkerError, WorkerProblem
from corianderpitch.ids import JobId, ServiceName, VmId, WorkerId
from corianderpitch_platform.http import Response
from corianderpitch_platform.workers import PlatformWorkerLink

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


class FixedClient:
    """Returns the given responses one after the other, the last one for ever."""

    def __init__(self, *bodies, status=200):
        self.responses = [Response(status, body) for body in bodies]

    def call(self, *arguments, **options):
        if len(self.responses) > 1:
            return self.responses.pop(0)
        return self.responses[0]


def report(body):
    link = PlatformWorkerLink()
    link._report_clients[ADDRESS] = FixedClient(body)
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
    link = PlatformWorkerLink()
    link._order_clients[ADDRESS] = FixedClient({"reason": reason}, status=409)
    order = StopRun(INFO.worker, TaskRef(JobId(JOB), 0, 1, 17), 2, 7)
    assert link.stop(INFO, order) is OrderResult.MALFORMED
