"""Tests of the callers' interface on one fleet of two data centres."""

import json
import socket
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from fleets import busy_refusals, post_request, start_fleet

from corianderpitch_standins.localfleet import wait_until


@pytest.fixture(scope="module")
def fleet():
    fleet = start_fleet(("a", "b"))
    yield fleet
    fleet.close()


@pytest.fixture
def entry(fleet):
    return fleet.entries["a0"]


def raw_exchange(entry, data, close_write_side=False):
    host, port = entry.url.removeprefix("http://").split(":")
    with socket.create_connection((host, int(port)), 15.0) as connection:
        connection.sendall(data)
        if close_write_side:
            connection.shutdown(socket.SHUT_WR)
        answer = b""
        while part := connection.recv(65536):
            answer += part
    return answer.split(b"\r\n")[0].decode()


PATH = b"POST /v1/services/s1/requests HTTP/1.1\r\nHost: x\r\nX-Idempotent: true\r\n"


@pytest.mark.parametrize(
    ("head", "body", "status"),
    [
        (b"Content-Length: 10\r\n\r\n", b"abc", "400"),
        (b"Content-Length: ten\r\n\r\n", b"", "400"),
        (b"Content-Length: -1\r\n\r\n", b"", "400"),
        (b"Content-Length: 999999\r\n\r\n", b"", "413"),
        (b"Transfer-Encoding: chunked\r\n\r\n", b"0\r\n\r\n", "411"),
        (
            b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
            b"0\r\n\r\n",
            "400",
        ),
        (b"X-Timeout-Ms: 0\r\nContent-Length: 0\r\n\r\n", b"", "400"),
        (b"X-Tenant: a/b\r\nContent-Length: 0\r\n\r\n", b"", "400"),
    ],
)
def test_malformed_requests_get_a_4xx_status(entry, head, body, status):
    line = raw_exchange(entry, PATH + head + body, close_write_side=True)
    assert line.split()[1] == status


def test_slow_body_gets_408_and_delays_no_other_request(fleet, entry):
    data = PATH + b"Content-Length: 10\r\n\r\nab"
    with ThreadPoolExecutor() as pool:
        slow = pool.submit(raw_exchange, entry, data)
        while not slow.done():
            started_s = time.monotonic()
            assert post_request(fleet, entry, "s1", '{"run_ms": 5}').status == 200
            assert time.monotonic() - started_s < 1.0
            time.sleep(0.2)
    assert slow.result().split()[1] == "408"


@pytest.mark.parametrize(
    ("path", "status"),
    [
        ("/v1/services/none/requests", 404),
        ("/x", 404),
        ("/v1/tickets/forged", 404),
        ("/v1/tickets/forged.%C2%80", 404),
    ],
)
def test_unknown_paths_are_404(fleet, entry, path, status):
    response = fleet.http.request("POST", entry.url + path, body="{}")
    assert response.status == status


def test_repeated_ticket_runs_once(fleet):
    """Guards against a second run when a ticket is used repeatedly.

    Eight requests with the same ticket arrive at the same time, two at each entry.
    """
    issuer = fleet.entries["a0"]
    redirect = post_request(fleet, issuer, "s1", "", **{"X-Idempotent": "false"})
    assert redirect.status == 307
    location = redirect.headers["Location"]
    body = json.dumps({"key": "order-1", "run_ms": 200})

    def send_ticket(entry):
        headers = {"X-Timeout-Ms": "3000"}
        return fleet.http.request(
            "POST", entry.url + location, body=body, headers=headers
        )

    entries = list(fleet.entries.values()) * 2
    with ThreadPoolExecutor(len(entries)) as pool:
        answers = list(pool.map(send_ticket, entries))
    assert {a.status for a in answers} == {200}
    assert len({a.data for a in answers}) == 1
    assert sum(log.count("order-1") for log in fleet.run_logs()) == 1
    later = fleet.http.request("GET", fleet.entries["b1"].url + location)
    assert later.data == answers[0].data


def test_overload_is_refused_at_once_with_retry_after(fleet, entry):
    """Guards against queued requests that are refused late or without a retry hint.

    128 requests arrive at once, four times the slots of both data centres.
    """

    def send_request(number):
        started_s = time.monotonic()
        response = post_request(
            fleet, entry, "s2", '{"run_ms": 400}', **{"X-Timeout-Ms": "500"}
        )
        return response, time.monotonic() - started_s

    for _ in range(3):
        post_request(fleet, entry, "s2", '{"run_ms": 400}')
    with ThreadPoolExecutor(128) as pool:
        results = list(pool.map(send_request, range(128)))
    refused = [(r, s) for r, s in results if r.status == 503]
    answered = [r for r, _ in results if r.status == 200]
    assert len(answered) >= 28
    assert len(refused) == 128 - len(answered)
    for response, _ in refused:
        assert response.headers["X-Outcome"] == "not_run"
        assert int(response.headers["X-Retry-After-Ms"]) > 0
        assert int(response.headers["Retry-After"]) >= 1
    waits = sorted(seconds for _, seconds in refused)
    assert waits[len(waits) // 2] < 0.4
    assert busy_refusals(fleet) == 0


def test_requests_spill_to_the_other_data_centre(fleet, entry):
    """Guards against refusals while the other data centre has free slots.

    One data centre has 16 slots, so both must serve the 24 concurrent requests.
    """
    before = (
        fleet.instance_report("s1-b-0")["started"]
        + fleet.instance_report("s1-b-1")["started"]
    )
    with ThreadPoolExecutor(24) as pool:
        body = '{"run_ms": 300}'
        answers = list(
            pool.map(lambda _: post_request(fleet, entry, "s1", body), range(24))
        )
    after = (
        fleet.instance_report("s1-b-0")["started"]
        + fleet.instance_report("s1-b-1")["started"]
    )
    assert {a.status for a in answers} == {200}
    assert after - before >= 6


def test_truncated_answer_is_never_relayed(fleet, entry):
    """Guards against a truncated answer that reaches the caller as complete.

    The entry repeats the request or reports the outcome as unknown or not run.
    """
    maps = [vm.map_number for vm in fleet.vms.values() if vm.pool == "s1"]
    fleet.set_rules({"source": "", "maps": maps, "mode": "truncate", "after_bytes": 60})
    try:
        response = post_request(fleet, entry, "s1", '{"run_ms": 1}')
    finally:
        fleet.set_rules()
    assert response.headers["X-Outcome"] in ("unknown", "not_run")
    wait_until(
        lambda: post_request(fleet, entry, "s1", "{}").status == 200, 5.0, "recovery"
    )


def test_ticket_with_truncated_answer_is_unknown_and_ran_once(fleet, entry):
    redirect = post_request(fleet, entry, "s2", "", **{"X-Idempotent": "false"})
    url = entry.url + redirect.headers["Location"]
    body = '{"key": "broken-order", "run_ms": 1}'
    maps = [vm.map_number for vm in fleet.vms.values()]
    rule = {"source": "", "maps": maps, "mode": "truncate", "after_bytes": 60}
    fleet.set_rules(rule)
    try:
        response = fleet.http.request("POST", url, body=body)
    finally:
        fleet.set_rules()
    assert response.headers["X-Outcome"] == "unknown"
    again = fleet.http.request("POST", url, body=body)
    assert again.headers["X-Outcome"] == "unknown"
    assert sum(log.count("broken-order") for log in fleet.run_logs()) == 1


def freeze_open_connections(fleet):
    """Freeze the open connections to all instances for good; new ones work."""
    maps = [vm.map_number for vm in fleet.vms.values()]
    fleet.set_rules({"source": "", "maps": maps, "mode": "freeze_old"})
    fleet.set_rules()


def test_stale_connections_are_dropped_and_new_ones_used(fleet, entry):
    """Guards against lost answers on connections that no longer reach the instance."""
    with ThreadPoolExecutor(16) as pool:
        body = '{"run_ms": 50}'
        list(pool.map(lambda _: post_request(fleet, entry, "s1", body), range(16)))
    freeze_open_connections(fleet)
    started_s = time.monotonic()
    outcomes = [post_request(fleet, entry, "s1", "{}").status for _ in range(30)]
    assert outcomes == [200] * 30
    assert time.monotonic() - started_s < 2.0 + 30 * 0.1


def test_stale_connection_is_detected_although_runs_are_slow(fleet, entry):
    """Guards against frozen connections that pass as slow runs.

    Three slow runs take longer than half of the time to the deadline.
    """
    with ThreadPoolExecutor(16) as pool:
        body = '{"run_ms": 400}'
        list(pool.map(lambda _: post_request(fleet, entry, "s2", body), range(16)))
    freeze_open_connections(fleet)
    outcomes = [post_request(fleet, entry, "s2", "{}").status for _ in range(10)]
    assert outcomes == [200] * 10


def test_slow_run_on_a_reused_connection_is_not_aborted(fleet, entry):
    """Guards against a slow run that is mistaken for a frozen connection.

    The run takes longer than any earlier one and longer than half of the time to
    the deadline.
    """
    for _ in range(4):
        post_request(fleet, entry, "s2", '{"run_ms": 5}')
    headers = {"X-Timeout-Ms": "450"}
    statuses = [
        post_request(fleet, entry, "s2", '{"run_ms": 350}', **headers).status
        for _ in range(3)
    ]
    assert statuses == [200] * 3


def test_metrics_show_histograms_by_class_and_tenant(fleet, entry):
    post_request(
        fleet, entry, "s1", "{}", **{"X-Class": "urgent", "X-Tenant": "counters"}
    )
    text = fleet.http.request("GET", f"{entry.url}/metrics").data.decode()
    assert 'corianderpitch_total_ms_bucket{class="urgent"' in text
    assert (
        'corianderpitch_tenant_total_ms_count{service="s1",tenant="counters"}' in text
    )
    assert "corianderpitch_outcomes_total" in text
