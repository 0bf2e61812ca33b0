"""Answers of the callers' interface to what became of a call."""

import io

import pytest

from corianderpitch.clock import ManualClock
from corianderpitch.daemon.scheduling.intake import IntakeKind, IntakeResult
from corianderpitch.daemon.scheduling.meters import JobMeters
from corianderpitch.domain.jobs import JobState
from corianderpitch.domain.scheduling.catalog import Catalog, Route
from corianderpitch.ids import QueueName
from corianderpitch_platform.front import FrontApp

JOB = "5c0e7a21d94b36f8"


class OneOutcome:
    """An intake of which every call ends in the same way."""

    def __init__(self, result):
        self.result = result

    def submit(self, workload):
        return self.result

    def show(self, queue, job_id):
        return self.result

    def cancel(self, queue, job_id):
        return self.result


def call(app, method="GET", path=f"/q/{JOB}", body=b""):
    seen = {}

    def start(status, headers):
        seen["status"] = int(status.split()[0])
        seen["headers"] = headers

    environ = {
        "REQUEST_METHOD": method,
        "PATH_INFO": path,
        "HTTP_HOST": "shop.example",
        "CONTENT_LENGTH": str(len(body)),
        "wsgi.input": io.BytesIO(body),
    }
    seen["body"] = b"".join(app(environ, start))
    return seen


def app_with(result):
    route = Route("shop.example", "/q/", QueueName("q"))
    catalog = Catalog(1, {}, (route,), {})
    return FrontApp(OneOutcome(result), lambda: catalog, ManualClock(), JobMeters())


@pytest.mark.parametrize("method", ["GET", "DELETE"])
def test_a_caller_of_an_entry_without_the_store_is_sent_to_another_one(method):
    """An open connection stays with its entry; the store may refuse just that one."""
    app = app_with(IntakeResult(IntakeKind.NOT_DONE, retry_after_ms=1000))
    seen = call(app, method)
    assert seen["status"] == 503
    assert ("Retry-After", "1") in seen["headers"]
    assert ("Connection", "close") in seen["headers"]


def test_a_connection_stays_open_after_an_answer():
    app = app_with(IntakeResult(IntakeKind.DONE, JobState.RUNNING))
    seen = call(app)
    assert seen["status"] == 200
    assert seen["body"] == b'{"state": "running"}'
    assert "Connection" not in dict(seen["headers"])


def test_an_unknown_outcome_does_not_claim_that_nothing_was_done():
    seen = call(app_with(IntakeResult(IntakeKind.UNKNOWN)))
    assert seen["status"] == 504


def test_an_entry_that_leaves_closes_each_connection_once():
    app = app_with(IntakeResult(IntakeKind.NOT_DONE, retry_after_ms=1000))
    app.is_leaving = True
    headers = call(app)["headers"]
    assert ("Retry-After", "1") in headers
    assert headers.count(("Connection", "close")) == 1
