"""WSGI application for callers, without a server."""

import io
from types import SimpleNamespace

import pytest
from fakes import BASE_FLEET

from corianderpitch.daemon.callers import CallerApp
from corianderpitch.domain.fleetfile import check_fleet
from corianderpitch.domain.outcomes import Answered, NotRun, Reason, Unknown
from corianderpitch.domain.tickets import Invalid, TicketStore

FLEET = (
    BASE_FLEET
    + """
[sites.b]
region = "r"
[sites.far]
region = "q"
"""
)


class CallerFixture:
    def __init__(self):
        self.outcome = Answered(200, "text/plain", b"whole")
        config = check_fleet(FLEET, {})
        documents = SimpleNamespace(config=config, is_ready=True)
        runner = SimpleNamespace(run=self.run)
        own = SimpleNamespace(entry="e1", incarnation="i1", data_center="a")
        self.app = CallerApp(own, runner, None, documents, None)
        self.requests = []

    def run(self, request):
        self.requests.append(request)
        if isinstance(self.outcome, Exception):
            raise self.outcome
        return self.outcome

    def call(self, path="/v1/services/s/requests", body=b"x", **headers):
        environ = {
            "REQUEST_METHOD": "POST",
            "PATH_INFO": path,
            "CONTENT_LENGTH": str(len(body)),
            "wsgi.input": io.BytesIO(body),
            "HTTP_X_IDEMPOTENT": "true",
            **headers,
        }
        self.status, self.headers = None, None
        return self.app(environ, self.start)

    def start(self, status, headers):
        self.status, self.headers = status, dict(headers)


@pytest.fixture
def caller():
    return CallerFixture()


def test_request_is_in_flight_until_its_answer_is_sent(caller):
    """An orderly shutdown waits for responses that a slow caller is still reading."""
    body = caller.call()
    assert b"".join(body) == b"whole"
    assert caller.app.in_flight == 1
    body.close()
    body.close()
    assert caller.app.in_flight == 0


def test_request_that_raises_is_no_longer_in_flight(caller):
    caller.outcome = RuntimeError("broken")
    with pytest.raises(RuntimeError):
        caller.call()
    assert caller.app.in_flight == 0


@pytest.mark.parametrize(
    ("outcome", "status", "name"),
    [
        (Answered(418, "x", b""), "418", "answered"),
        (NotRun(Reason.OVERLOAD, 1500), "503", "not_run"),
        (NotRun(Reason.QUOTA, 10), "429", "not_run"),
        (Unknown(Reason.INSTANCE_SILENT), "504", "unknown"),
        (Unknown(Reason.INSTANCE_BROKE_OFF), "502", "unknown"),
    ],
)
def test_outcome_determines_status_and_headers(caller, outcome, status, name):
    caller.outcome = outcome
    caller.call()
    assert caller.status.split()[0] == status
    assert caller.headers["X-Outcome"] == name
    if isinstance(outcome, NotRun):
        assert int(caller.headers["X-Retry-After-Ms"]) == outcome.retry_after_ms
        assert int(caller.headers["Retry-After"]) * 1000 >= outcome.retry_after_ms


def test_headers_override_the_defaults_of_the_site(caller):
    caller.call()
    caller.call(HTTP_X_TIMEOUT_MS="70", HTTP_X_TENANT="t", HTTP_X_CLASS="c")
    first, second = caller.requests
    assert (first.timeout_ms, first.tenant) == (2000, "default")
    assert (second.timeout_ms, second.tenant, second.class_name) == (70, "t", "c")
    assert first.request_id != second.request_id


def test_request_after_the_close_is_refused_as_not_run(caller):
    caller.app.is_closed = caller.app.is_draining = True
    caller.call()
    assert caller.headers["X-Outcome"] == "not_run"
    assert caller.headers["Connection"] == "close"
    assert caller.requests == []


def test_slots_are_borrowed_within_the_region_only():
    config = check_fleet(FLEET, {})
    assert config.base.other_sites_in_region("a") == {"b"}
    assert config.base.other_sites_in_region("unknown") == frozenset()


def test_a_ticket_that_is_not_ascii_is_refused_as_unknown():
    """A comparison that takes ASCII only raised an error, which callers saw as 500."""
    store = TicketStore("e1", "i1", b"k" * 32)
    ticket_id = store.issue("s", "t", "c", 0.0).partition(".")[0] + ".\x80"
    assert isinstance(store.begin(ticket_id, 0.0), Invalid)


@pytest.mark.parametrize("text", ["\xb2", "9" * 5000])
def test_a_number_that_cannot_be_read_is_refused_as_a_bad_request(caller, text):
    caller.call(HTTP_X_TIMEOUT_MS=text)
    assert caller.status.startswith("400")
    caller.call(CONTENT_LENGTH=text)
    assert caller.status.startswith("400")
