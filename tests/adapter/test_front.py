"""HTTP responses of the job interface, by the result of the intake."""

import io

import pytest

from corianderpitch.clock import ManualClock
from corianderpitch.daemon.scheduling.intake import IntakeKind, IntakeResult
from corianderpitch.daemon.scheduling.meters import JobMeters
from corianderpitch.domain.jobs import JobState
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

    def show(self, queue, job_id):
        return self.result

    def cancel(self, queue, job_id):
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
        FixedResultIntake(result), lambda: catalog, ManualClock(), JobMeters()
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
