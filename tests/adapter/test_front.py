"""HTTP responses of the job interface, by the result of the intake."""

import io
import json

import eventlet
import pytest
from eventlet.event import Event

from corianderpitch.clock import ManualClock
from corianderpitch.daemon.scheduling.intake import IntakeKind, IntakeResult
from corianderpitch.daemon.scheduling.meters import JobMeters
from corianderpitch.daemon.scheduling.rows import pack_workload
from corianderpitch.domain.jobs import JobState, Shape
from corianderpitch.domain.scheduling.catalog import Catalog, Route
from corianderpitch.ids import QueueName
from corianderpitch_platform.front import JobsApp

JOB = "5c0e7a21d94b36f8"


class FixedResultIntake:
    """An intake whose calls all return the same result."""

    def __init__(self, result):
        self.result = result

    def submit(self, workload):
        return self.result

    def show(self, queue, job_id, team):
        return self.result

    def cancel(self, queue, job_id, team):
        return self.result


def call(app, method="GET", path=f"/q/{JOB}", body=b""):
    response = {}

    def start_response(status, headers):
        response["status"] = int(status.split()[0])
        response["headers"] = headers

    environ = {
        "REQUEST_METHOD": method,
        "PATH_INFO": path,
        "HTTP_HOST": "shop.example",
        "CONTENT_LENGTH": str(len(body)),
        "wsgi.input": io.BytesIO(body),
    }
    response["body"] = b"".join(app(environ, start_response))
    return response


def app_with_result(result):
    route = Route("shop.example", "/q/", QueueName("q"))
    catalog = Catalog(1, {}, (route,), {})
    return JobsApp(
        FixedResultIntake(result), lambda: catalog, ManualClock(), JobMeters(), None
    )


@pytest.mark.parametrize("method", ["GET", "DELETE"])
def test_unavailable_store_closes_the_callers_connection(method):
    """The store may refuse only this entry; an open connection would stay with it."""
    app = app_with_result(IntakeResult(IntakeKind.NOT_DONE, retry_after_ms=1000))
    response = call(app, method)
    assert response["status"] == 503
    assert ("Retry-After", "1") in response["headers"]
    assert ("Connection", "close") in response["headers"]


def test_connection_stays_open_after_a_successful_response():
    app = app_with_result(IntakeResult(IntakeKind.DONE, JobState.RUNNING))
    response = call(app)
    assert response["status"] == 200
    assert response["body"] == b'{"state": "running"}'
    assert "Connection" not in dict(response["headers"])


def test_unknown_outcome_is_not_reported_as_not_done():
    response = call(app_with_result(IntakeResult(IntakeKind.UNKNOWN)))
    assert response["status"] == 504


def test_shutdown_adds_the_close_header_only_once():
    app = app_with_result(IntakeResult(IntakeKind.NOT_DONE, retry_after_ms=1000))
    app.is_shutting_down = True
    headers = call(app)["headers"]
    assert ("Retry-After", "1") in headers
    assert headers.count(("Connection", "close")) == 1


class StoringIntake(FixedResultIntake):
    """Encodes each job, as storing it does."""

    def __init__(self):
        super().__init__(IntakeResult(IntakeKind.DONE))
        self.workloads = []

    def submit(self, workload):
        pack_workload(workload, 0.0)
        self.workloads.append(workload)
        return self.result


def submit(body):
    """Submit a job; returns the status, and the job if it was accepted."""
    app = app_with_result(None)
    app._intake = intake = StoringIntake()
    response = call(app, "POST", body=body)
    return response["status"], next(iter(intake.workloads), None)


STEP = {"count": 4, "cpu": 500, "mem_mb": 256, "estimate_ms": 900}


def job(step=(), **fields):
    return json.dumps({"spec": "x", "steps": [STEP | dict(step)]} | fields).encode()


def test_a_job_is_read():
    step = {"gpus": 1, "requires": "a", "long_running": True, "after": []}
    status, workload = submit(job(step, repeats=3, start_ms=5, period_ms=2.5))
    assert status == 200
    (read,) = workload.steps
    assert (read.count, read.shape) == (4, Shape(0.5, 256, 1))
    assert (read.label, read.is_lasting) == ("a", True)
    assert (workload.schedule.repeats, workload.schedule.period_ms) == (3, 2.5)


ODD_JOBS = {
    "empty": b"",
    "not JSON": b"{",
    "a list": b"[]",
    "not UTF-8": b'{"spec": "\xff"}',
    "nested": b'{"spec": "x", "steps": ' + b"[" * 20_000 + b"]" * 20_000 + b"}",
    "lone surrogate": job(spec="\ud800"),
    "spec a list": job(spec=["x"]),
    "long spec": job(spec="é" * 2001),
    "steps an object": job(steps={"0": STEP}),
    "step a number": job(steps=[7]),
    "no steps": job(steps=[]),
    "too many steps": job(steps=[STEP] * 1001),
    "infinite count": job({"count": float("inf")}),
    "count not a number": job({"count": float("nan")}),
    "count 0": job({"count": 0}),
    "count of 400 digits": job({"count": int("9" * 400)}),
    "count true": job({"count": True}),
    "count a text": job({"count": "4"}),
    "half a task": job({"count": 1.5}),
    "infinite estimate": job({"estimate_ms": float("inf")}),
    "estimate 1e400": job({"estimate_ms": "E"}).replace(b'"E"', b"1e400"),
    "negative estimate": job({"estimate_ms": -1}),
    "cpu of 400 digits": job({"cpu": int("9" * 400)}),
    "memory of 30 digits": job({"mem_mb": int("9" * 30)}),
    "negative memory": job({"mem_mb": -1}),
    "label a list": job({"requires": ["a"]}),
    "label a lone surrogate": job({"requires": "\ud800"}),
    "rack a number": job({"data_rack": 5}),
    "image an object": job({"image": {}}),
    "after a text": job({"after": "0"}),
    "after itself": job({"after": [0]}),
    "after a fraction": job({"after": [0.5]}),
    "after true": job(steps=[STEP, STEP, STEP | {"after": [True]}]),
    "repeats of 30 digits": job(repeats=int("9" * 30)),
    "infinite start": job(start_ms=float("inf")),
}


@pytest.mark.parametrize("odd", ODD_JOBS)
def test_an_odd_job_is_rejected(odd):
    """Some ended in an exception, and some were stored and hurt all later terms."""
    assert submit(ODD_JOBS[odd]) == (400, None)


class WaitingIntake(FixedResultIntake):
    """Waits for the store without end."""

    def __init__(self):
        super().__init__(None)
        self.was_left = False

    def show(self, queue, job_id, team):
        try:
            Event().wait()
        finally:
            self.was_left = True


def test_a_request_given_up_at_the_end_of_a_stop_has_an_unknown_outcome():
    """A store that does not answer must not leave the caller without an answer."""
    app = app_with_result(None)
    app._intake = intake = WaitingIntake()
    caller = eventlet.spawn(call, app)
    eventlet.sleep(0)
    assert app.in_flight == 1
    app.give_up_requests()
    assert caller.wait()["status"] == 504
    assert intake.was_left
    assert app.in_flight == 0
