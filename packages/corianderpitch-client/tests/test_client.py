"""Exit codes, messages and retries of the operators' command line."""

import json
import threading
from http.server import BaseHTTPRequestHandler, HTTPServer

import pytest

from corianderpitch_client import api, main
from corianderpitch_client.errors import ExitCode


class FakeEntry:
    """HTTP server that answers each request with the next prepared (status, value)."""

    def __init__(self):
        self.answers = []
        self.requests = []
        fake = self

        class Handler(BaseHTTPRequestHandler):
            def _answer(self):
                length = int(self.headers.get("Content-Length") or 0)
                body = json.loads(self.rfile.read(length) or "null")
                fake.requests.append((self.command, self.path, body))
                status, value = fake.answers.pop(0)
                data = json.dumps(value).encode()
                self.send_response(status)
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            do_GET = do_POST = _answer

            def log_message(self, *arguments):
                pass

        self._server = HTTPServer(("127.0.0.1", 0), Handler)
        self._thread = threading.Thread(target=self._server.serve_forever)
        self._thread.start()
        self.url = f"http://127.0.0.1:{self._server.server_port}"

    def close(self):
        self._server.shutdown()
        self._thread.join()
        self._server.server_close()


@pytest.fixture
def entry(monkeypatch):
    fake = FakeEntry()
    monkeypatch.setenv("CORIANDERPITCH_ENTRIES", fake.url)
    monkeypatch.setattr(api, "RETRY_BACKOFF_S", 0.0)
    monkeypatch.setattr(api, "POLL_INTERVAL_S", 0.0)
    yield fake
    fake.close()


def run(monkeypatch, *arguments):
    monkeypatch.setattr("sys.argv", ["corianderpitch", *arguments])
    try:
        main.main()
    except SystemExit as error:
        return error.code
    return ExitCode.OK


@pytest.mark.parametrize(
    ("status", "value", "code", "expected_text"),
    [
        (404, {"error": "vm_refused", "refusal": "no_such_vm", "nearest": "vm1"},
         ExitCode.REFUSED, "Did you mean vm1?"),
        (409, {"error": "row_conflict", "keys": []}, ExitCode.CONFLICT, "try again"),
        (400, {"error": "bad_request", "detail": "x"}, ExitCode.USAGE, "x"),
    ],
)  # fmt: skip
def test_exit_code_and_advice_by_kind_of_failure(
    entry, monkeypatch, capsys, status, value, code, expected_text
):
    entry.answers = [(status, value)]
    assert run(monkeypatch, "vm", "drain", "vm9") == code
    assert expected_text in capsys.readouterr().err


@pytest.mark.parametrize(
    ("error", "code"),
    [
        ("outcome_lost", ExitCode.OUTCOME_LOST),
        ("platform_unavailable", ExitCode.UNAVAILABLE),
    ],
)
def test_failed_changes_are_retried_with_the_same_id(entry, monkeypatch, error, code):
    entry.answers = [(504, {"error": error, "detail": ""})] * 4
    assert run(monkeypatch, "vm", "reboot", "vm1") == code
    ids = {body["operation_id"] for _, _, body in entry.requests}
    assert (len(entry.requests), len(ids)) == (4, 1)


def test_invalid_config_lists_every_problem(entry, monkeypatch, capsys, tmp_path):
    (tmp_path / "fleet.toml").write_text("name = 1")
    problem = {"file": "fleet.toml", "path": "name", "kind": "x", "detail": "bad"}
    entry.answers = [(422, {"error": "config_invalid", "problems": [problem] * 2})]
    code = run(monkeypatch, "config", "check", str(tmp_path))
    assert code == ExitCode.INVALID_CONFIG
    assert capsys.readouterr().err.count("fleet.toml: name: bad") == 2


def test_missing_folder_is_a_usage_error(entry, monkeypatch, tmp_path):
    assert run(monkeypatch, "config", "check", str(tmp_path)) == ExitCode.USAGE


def test_error_names_the_unreachable_entries(monkeypatch, capsys):
    arguments = ("status", "--entries", "http://127.0.0.1:1")
    assert run(monkeypatch, *arguments) == ExitCode.UNAVAILABLE
    assert "http://127.0.0.1:1" in capsys.readouterr().err


def test_wrong_flag_is_a_usage_error(entry, monkeypatch):
    assert run(monkeypatch, "vm", "drain", "vm1", "--nope") == ExitCode.USAGE


def test_next_entry_is_used_when_the_first_is_unreachable(entry, monkeypatch, capsys):
    entry.answers = [(200, [])]
    arguments = ("fleet", "show", "--output", "json", "--entries")
    assert run(monkeypatch, *arguments, "http://127.0.0.1:1", entry.url) == 0
    assert json.loads(capsys.readouterr().out) == []


def vm(state, operation=None, wait=None):
    record = {"state": state, "operation": operation, "pool": "p", "rack": "r"}
    return {"vm_id": "vm1", "data_center": "a", "record": record, "wait": wait}


def test_wait_shows_progress_until_the_operation_is_done(entry, monkeypatch, capsys):
    reboot = {"kind": "reboot"}
    entry.answers = [
        (200, vm("active", reboot)),
        (200, [vm("active", reboot, "budget")]),
        (200, [vm("draining", reboot)]),
        (200, [vm("active")]),
    ]
    assert run(monkeypatch, "vm", "reboot", "vm1", "--wait") == 0
    shown = capsys.readouterr()
    assert "waits: budget" in shown.err
    assert "draining" in shown.err
    assert "is done" in shown.out


def test_wait_timeout_has_its_own_exit_code(entry, monkeypatch):
    draining = vm("draining", {"kind": "reboot"})
    entry.answers = [(200, draining)] + [(200, [draining])] * 10_000
    arguments = ("vm", "reboot", "vm1", "--wait", "--wait-timeout-ms", "50")
    assert run(monkeypatch, *arguments) == ExitCode.TIMED_OUT


def test_retried_submission_has_the_same_job_ids(entry, monkeypatch):
    lost = (504, {"error": "outcome_lost", "detail": ""})
    entry.answers = [lost, (200, [])]
    assert run(monkeypatch, "job", "submit", "team", "cmd", "--count", "3") == 0
    first, second = (body for _, _, body in entry.requests)
    assert first == second
    assert len({job["job_id"] for job in first}) == 3
