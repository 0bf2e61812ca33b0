"""HTTP responses of the job interface, by the result of the intake."""

import io
import json

import eventlet
import logbook
import pytest
from eventlet.event import Event
from returns.result import Failure, Success

from corianderpitch.clock import ManualClock
from corianderpitch.daemon.scheduling.intake import IntakeKind, IntakeResult
from corianderpitch.daemon.scheduling.meters import JobMeters
from corianderpitch.daemon.scheduling.rows import pack_workload
from corianderpitch.daemon.scheduling.teamkeys import (
    ConfigurationUnconfirmed,
    UnknownKey,
)
from corianderpitch.domain.jobs import JobState, Shape
from corianderpitch.domain.quotas import Quota
from corianderpitch.domain.scheduling.catalog import Catalog, Route
from corianderpitch.domain.scheduling.teams import Team
from corianderpitch.ids import QueueName, TeamName
from corianderpitch_platform.front import JobsApp

JOB = "5c0e7a21d94b36f8"
TEAM = Team(TeamName("yard-staff"), 1.0, Quota(8.0))
KEY = "pqk8bdk9eevyxq2yyaza"


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


def call(app, method="GET", path=f"/q/{JOB}", body=b"", authorization=None):
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
    if authorization is not None:
        environ["HTTP_AUTHORIZATION"] = authorization
    response["body"] = b"".join(app(environ, start_response))
    return response


def app_with_result(result, keys=None):
    route = Route("shop.example", "/q/", QueueName("q"), is_public=keys is None)
    catalog = Catalog(1, {}, (route,), {}, teams={TEAM.name: TEAM})
    return JobsApp(
        FixedResultIntake(result), lambda: catalog, ManualClock(), JobMeters(), keys
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


class FixedKeys:
    """Knows one key."""

    def __init__(self, problem=None):
        self._problem = problem or UnknownKey()

    def find_team(self, key):
        return Success(TEAM.name) if key == KEY else Failure(self._problem)


ODD_HEADERS = {
    "none": None,
    "empty": "",
    "no key": "Token ",
    "another key": "Token x",
    "another scheme": f"Bearer {KEY}",
    "no scheme": KEY,
    "two spaces": f"Token  {KEY}",
    "not ASCII": "Token k\xe9y",
    "long": "Token " + "x" * 10_000,
}


@pytest.mark.parametrize("odd", ODD_HEADERS)
@pytest.mark.parametrize("method", ["POST", "GET", "DELETE"])
def test_a_call_without_a_known_key_is_refused(method, odd):
    app = app_with_result(IntakeResult(IntakeKind.DONE), FixedKeys())
    response = call(app, method, body=job(), authorization=ODD_HEADERS[odd])
    assert response["status"] == 401
    assert ("WWW-Authenticate", "Token") in response["headers"]


def test_waiting_jobs_are_counted_only_for_a_known_key():
    app = app_with_result(IntakeResult(IntakeKind.DONE), FixedKeys())
    assert call(app, path="/q/")["status"] == 401


def test_a_key_that_cannot_be_told_from_a_new_one_is_refused_for_a_while():
    """An entry that cannot read the configuration must not answer 401."""
    keys = FixedKeys(ConfigurationUnconfirmed())
    app = app_with_result(IntakeResult(IntakeKind.DONE), keys)
    response = call(app, authorization="Token new")
    assert response["status"] == 503
    assert ("Retry-After", "1") in response["headers"]


def test_a_job_belongs_to_the_team_of_the_key():
    app = app_with_result(None, FixedKeys())
    app._intake = intake = StoringIntake()
    call(app, "POST", body=job(), authorization=f"Token {KEY}")
    assert [workload.team for workload in intake.workloads] == [TEAM.name]


def test_a_gang_that_its_teams_quota_never_admits_is_refused_at_once():
    app = app_with_result(None, FixedKeys())
    app._intake = intake = StoringIntake()
    gang = job({"cpu": 2001, "gang": True})
    assert call(app, "POST", body=gang, authorization=f"Token {KEY}")["status"] == 400
    assert not intake.workloads


def test_no_key_is_logged_or_answered():
    app = app_with_result(IntakeResult(IntakeKind.ID_TAKEN), FixedKeys())
    with logbook.TestHandler() as records:
        good = call(app, "POST", body=job(), authorization=f"Token {KEY}")
        bad = call(app, "POST", body=job(), authorization=f"Token {KEY}x")
    assert (good["status"], bad["status"]) == (409, 401)
    assert KEY not in str(records.formatted_records)
    assert KEY.encode() not in good["body"] + bad["body"]


def test_a_job_over_its_teams_share_is_told_when_to_come_back():
    result = IntakeResult(IntakeKind.OVER_SHARE, retry_after_ms=3400)
    response = call(app_with_result(result), "POST", body=job())
    assert response["status"] == 429
    assert ("Retry-After", "3") in response["headers"]
    assert "Connection" not in dict(response["headers"])
