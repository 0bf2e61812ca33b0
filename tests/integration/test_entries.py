"""Tests of entries that are killed, paused, replaced or cut off under load."""

import json
import time

import pytest
from fleets import (
    base_text,
    busy_refusals,
    check_guarantees,
    post_request,
    start_fleet,
    start_load,
)

from corianderpitch_standins.localfleet import wait_until


@pytest.fixture
def fleet():
    fleet = start_fleet(("a", "b"))
    yield fleet
    fleet.close()


def answered_share(verdict):
    return verdict.outcomes["answered"] / sum(verdict.outcomes.values())


def test_killed_entry_breaks_no_guarantee(fleet):
    callers = start_load(fleet)
    time.sleep(1.0)
    fleet.entries["a0"].process.kill()
    time.sleep(2.0)
    verdict = check_guarantees(fleet, callers.stop())
    assert busy_refusals(fleet) == 0
    assert answered_share(verdict) > 0.95


def test_slots_hold_when_an_owner_dies_while_all_are_in_use(fleet):
    """Guards against a take-over that gives out slots that runs still use.

    The runs last longer than the other entries wait before they take over the
    slots of a killed entry.
    """
    callers = start_load(
        fleet, threads=80, run_ms=2000.0, pause_ms=0.0, timeout_ms=8000
    )
    time.sleep(2.5)
    fleet.entries["a0"].process.kill()
    fleet.entries["b1"].process.kill()
    time.sleep(3.0)
    check_guarantees(fleet, callers.stop())
    assert busy_refusals(fleet) == 0


def test_connections_of_an_instance_stay_within_its_limit(fleet):
    """Guards against more connections to an instance than its configured limit.

    The limit covers the connections of running requests, the idle connections of
    all entries and the probes together.
    """
    text = base_text("ab").replace(
        "instance_connections = 64", "instance_connections = 24"
    )
    fleet.apply_config(text, 1, "fewer")
    wait_until(lambda: set(fleet.revisions().values()) == {2}, 7.0, "in force")
    callers = start_load(fleet, threads=96, run_ms=100.0, pause_ms=0.0)
    time.sleep(3.0)
    check_guarantees(fleet, callers.stop())
    max_connections = {
        vm_id: fleet.instance_report(vm_id)["max_connections"] for vm_id in fleet.vms
    }
    assert all(8 <= count <= 24 for count in max_connections.values()), max_connections


def test_paused_entry_breaks_no_guarantee_when_resumed(fleet):
    """Guards against a resumed entry that still acts as the owner of its services.

    The entry is paused for longer than the others wait before they take over.
    """
    callers = start_load(fleet, threads=72, run_ms=200.0, pause_ms=0.0)
    time.sleep(2.0)
    fleet.entries["a0"].process.pause()
    time.sleep(2.5)
    fleet.entries["a0"].process.resume()
    time.sleep(1.5)
    sent = callers.stop()
    in_time = [s for s in sent if s.outcome.total_ms < 2500.0]
    check_guarantees(fleet, in_time)
    late = [s for s in sent if s.outcome.total_ms >= 2500.0]
    runs = [key for log in fleet.run_logs() for key in log]
    assert all(runs.count(s.key) <= 1 for s in late if not s.is_idempotent)
    assert busy_refusals(fleet) == 0


def test_graceful_stop_interrupts_no_request_and_hands_over_tickets(fleet):
    stopping_entry = fleet.entries["a1"]
    redirect = post_request(
        fleet, stopping_entry, "s1", "", **{"X-Idempotent": "false"}
    )
    unused = post_request(fleet, stopping_entry, "s1", "", **{"X-Idempotent": "false"})
    path, unused_path = redirect.headers["Location"], unused.headers["Location"]
    body = json.dumps({"key": "order", "run_ms": 10})
    answer = fleet.http.request("POST", stopping_entry.url + path, body=body)
    callers = start_load(fleet)
    time.sleep(0.5)
    urls = [e.url for e in fleet.running_entries() if e is not stopping_entry]
    callers.entries = lambda: urls
    assert stopping_entry.process.terminate() == 0
    time.sleep(0.5)
    verdict = check_guarantees(fleet, callers.stop())
    assert verdict.outcomes["unknown"] == 0
    other = fleet.entries["b0"]
    again = fleet.http.request("POST", other.url + path, body=body)
    assert again.data == answer.data
    fresh = json.dumps({"key": "fresh", "run_ms": 10})
    late = fleet.http.request("POST", other.url + unused_path, body=fresh)
    assert late.status == 200
    runs = [key for log in fleet.run_logs() for key in log]
    assert (runs.count("order"), runs.count("fresh")) == (1, 1)


def test_ticket_of_a_killed_entry_is_reported_unknown_at_once(fleet):
    issuer = fleet.entries["a1"]
    redirect = post_request(fleet, issuer, "s1", "", **{"X-Idempotent": "false"})
    issuer.process.kill()
    started_s = time.monotonic()
    url = fleet.entries["b0"].url + redirect.headers["Location"]
    headers = {"X-Timeout-Ms": "10000"}
    response = fleet.http.request("POST", url, body="{}", headers=headers)
    assert response.headers["X-Outcome"] == "unknown"
    assert time.monotonic() - started_s < 5.0


def test_callers_are_served_while_the_platform_is_down(fleet):
    """Guards against failed requests and unusable new entries during an outage.

    A new entry gets members and configuration from its peers.
    """
    fleet.control_platform(is_down=True)
    callers = start_load(fleet)
    time.sleep(1.0)
    peer = fleet.entries["a0"].process.addresses["peers"]
    fleet.start_entry("a9", "a", "--peers", peer)
    wait_until(
        lambda: post_request(fleet, fleet.entries["a9"], "s1", "{}").status == 200,
        10.0,
        "the new entry serves",
    )
    fleet.wait_ready()
    time.sleep(1.0)
    sent = callers.stop()
    check_guarantees(fleet, sent)
    assert [s.outcome for s in sent if s.outcome.outcome != "answered"] == []
    fleet.control_platform(is_down=False)
    wait_until(
        lambda: fleet.apply_config(base_text("ab", default_timeout_ms=700), 1, "up"),
        15.0,
        "a change is accepted after the outage",
    )
    wait_until(lambda: set(fleet.revisions().values()) == {2}, 7.0, "in force")


def test_partitioned_data_centre_serves_and_catches_up(fleet):
    fleet.set_rules(*fleet.site_partition_rules("b"))
    callers = start_load(fleet)
    accepted = fleet.apply_config(base_text("ab", default_timeout_ms=900), 1, "cut")
    assert accepted == {"revision": 2}
    time.sleep(2.0)
    verdict = check_guarantees(fleet, callers.stop())
    assert answered_share(verdict) > 0.95
    revisions_seen = fleet.revisions()
    assert {revisions_seen["a0"], revisions_seen["a1"]} == {2}
    fleet.set_rules()
    wait_until(
        lambda: list(fleet.revisions().values()) == [2, 2, 2, 2], 10.0, "caught up"
    )


def test_data_centre_without_platform_gets_a_change_from_its_peers(fleet):
    fleet.set_rules(*fleet.platform_partition_rules("b"))
    fleet.apply_config(base_text("ab", default_timeout_ms=900), 1, "peers")
    wait_until(
        lambda: list(fleet.revisions().values()) == [2, 2, 2, 2], 7.0, "in force"
    )


def test_revision_never_decreases_when_every_entry_is_replaced(fleet):
    for revision in range(1, 4):
        text = base_text("ab", default_timeout_ms=1000 + revision)
        fleet.apply_config(text, revision, f"op{revision}")
    old_names = list(fleet.entries)
    for name in old_names:
        new_entry = fleet.start_entry(f"{name}n", name[0])
        wait_until(
            lambda entry=new_entry: (
                post_request(fleet, entry, "s1", "{}").status == 200
            ),
            15.0,
            "the new entry serves",
        )
        assert fleet.entries[name].process.terminate() == 0
        assert set(fleet.revisions().values()) == {4}
